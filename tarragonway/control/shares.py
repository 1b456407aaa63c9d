"""Replies of the leader to calls for shares of plan limits."""

import asyncio

from tarragonway.core.ids import AccountId, ProcessName, Revision
from tarragonway.limits.ledger import Limit, ShareLedger
from tarragonway.limits.messages import ShareCall, ShareReply
from tarragonway.lists import Lists, check_lists
from tarragonway.replication import LogDriver


class ShareServer:
    """Replies to calls for shares while this process is the leader.

    Parameters
    ----------
    ledger : ShareLedger
        Provides the lease and the number of entry processes; each term starts a new
        ledger with the same values.
    driver : LogDriver
        Provides the lists, the registered entry processes, the term and the role.
    """

    def __init__(self, ledger: ShareLedger, driver: LogDriver) -> None:
        self._ledger = ledger
        self._driver = driver
        self._term = -1
        self._revision = Revision(-1)
        self._lists: Lists = check_lists("", "")

    def answer(self, sender: ProcessName, call: ShareCall) -> ShareReply | None:
        """Return the reply, or None if this process is not the leader."""
        if not self._driver.is_leader:
            return None
        now = asyncio.get_running_loop().time()
        if self._driver.replica.term != self._term:
            self._term = self._driver.replica.term
            self._ledger = ShareLedger(self._ledger.lease_s, self._ledger.entries, now)
        self.read_lists()
        registered = frozenset(self._driver.machine.content.claims.owners)
        grants = self._ledger.grant_shares(
            sender, call.requests, self._get_limit, now, registered
        )
        return ShareReply(call.call, self._ledger.lease_s, tuple(grants))

    def read_lists(self) -> Lists:
        """Return the lists in force in this process, parsed once per revision."""
        list_store = self._driver.machine.content.lists
        if list_store.revision != self._revision:
            self._lists = check_lists(list_store.accounts_text, list_store.plans_text)
            self._revision = list_store.revision
        return self._lists

    def _get_limit(self, account_id: AccountId) -> Limit | None:
        account = self._lists.accounts.get(account_id)
        if account is None:
            return None
        plan = self._lists.get_plan(account)
        return Limit(plan.requests_per_s, plan.concurrent)
