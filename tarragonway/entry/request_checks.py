"""Checks that every caller's request must pass before it is handled."""

import asyncio

import msgspec
from aiohttp import web

from tarragonway.core.outcomes import Refusal, RefusalReason
from tarragonway.lists import Account, Lists, Plan, Service
from tarragonway.settings.model import Limits
from tarragonway.watch.client import WatchClient


class Caller(msgspec.Struct, frozen=True):
    """An authenticated client account, its plan and the lists it was read from."""

    account: Account
    plan: Plan
    lists: Lists

    def find_service(self, name: str) -> Service | Refusal:
        """Return a service, or a refusal if it is unknown or not in the plan."""
        service = self.lists.services.get(name)  # type: ignore[call-overload]
        if service is None:
            detail = f"there is no service {name[:60]!r}"
            return Refusal(RefusalReason.NOT_FOUND, detail)
        if name not in self.plan.services:
            detail = f"plan {self.plan.name} may not use {name}"
            return Refusal(RefusalReason.FORBIDDEN, detail)
        return service


class RequestChecker:
    """Checks readiness, authenticates callers and reads bodies.

    ``stopping`` is set when the process stops; it then refuses all requests.

    Parameters
    ----------
    watch : WatchClient
        Source of the lists.
    limits : Limits
        Limits on the size of a body and on the time to read it.
    """

    def __init__(self, watch: WatchClient, limits: Limits) -> None:
        self.stopping = False
        self._watch = watch
        self._limits = limits

    def check_ready(self) -> Refusal | None:
        """Return a refusal if the process cannot accept requests now, else None."""
        if self.stopping:
            detail = "this instance is stopping"
            return Refusal(RefusalReason.STOPPING, detail, 1.0)
        if not self._watch.is_fresh:
            detail = "the configuration could not be confirmed with control in time"
            return Refusal(RefusalReason.CONFIGURATION_STALE, detail, 1.0)
        return None

    def authenticate(self, request: web.Request) -> Caller | Refusal:
        """Return the authenticated caller, or a refusal.

        A request is also refused if the process cannot accept requests now.
        """
        not_ready = self.check_ready()
        if not_ready is not None:
            return not_ready
        scheme, _, secret = request.headers.get("Authorization", "").partition(" ")
        account = None
        if scheme.lower() == "bearer" and secret:
            account = self._watch.lists.find_account(secret.strip())
        if account is None:
            detail = "a valid account key is required: 'Authorization: Bearer KEY'"
            return Refusal(RefusalReason.UNAUTHENTICATED, detail)
        lists = self._watch.lists
        return Caller(account, lists.get_plan(account), lists)

    async def read_body(self, request: web.Request) -> bytes | Refusal:
        """Return the whole body, or a refusal if it exceeds the size or time limit."""
        limit = self._limits.body_bytes
        if (request.content_length or 0) > limit:
            return self._refuse_size()
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(self._limits.body_read_s):
                async for part in request.content.iter_any():
                    size += len(part)
                    if size > limit:
                        return self._refuse_size()
                    parts.append(part)
        except TimeoutError:
            detail = f"the body did not arrive within {self._limits.body_read_s:g} s"
            return Refusal(RefusalReason.BAD_REQUEST, detail)
        return b"".join(parts)

    def _refuse_size(self) -> Refusal:
        detail = f"the body is larger than {self._limits.body_bytes} bytes"
        return Refusal(RefusalReason.BODY_TOO_LARGE, detail)
