"""Checks of the two lists; errors name the file, the line and the key."""

from collections.abc import Iterable

from tarragonway.core.errors import SettingsError
from tarragonway.core.tomlfile import find_line, parse_toml
from tarragonway.lists.model import AccountList, Lists, PlanList

ACCOUNTS_NAME = "accounts.toml"
PLANS_NAME = "plans.toml"


def check_lists(accounts_text: str, plans_text: str) -> Lists:
    """Parse both lists and check that they are consistent.

    Parameters
    ----------
    accounts_text, plans_text : str
        Contents of ``accounts.toml`` and ``plans.toml``.

    Returns
    -------
    Lists
        The checked lists, indexed.

    Raises
    ------
    SettingsError
        If a list is malformed or refers to something that does not exist.

    Examples
    --------
    >>> check_lists("", "").accounts
    {}
    """
    accounts = parse_toml(accounts_text, ACCOUNTS_NAME, AccountList)
    plans = parse_toml(plans_text, PLANS_NAME, PlanList)
    _check_unique(accounts_text, ACCOUNTS_NAME, "account", "id", accounts.account)
    _check_unique(plans_text, PLANS_NAME, "plan", "name", plans.plan)
    _check_unique(plans_text, PLANS_NAME, "service", "name", plans.service)
    _check_plans(plans_text, plans)
    _check_accounts(accounts_text, accounts, plans)
    return Lists.from_parts(accounts, plans)


def _check_unique(
    text: str, name: str, table: str, field: str, items: Iterable[object]
) -> None:
    seen: set[str] = set()
    for index, item in enumerate(items):
        value = getattr(item, field)
        if value in seen:
            key = f"{table}[{index}].{field}"
            raise SettingsError(
                name,
                f"{value!r} is used twice",
                "remove one of the two tables or rename it",
                key,
                find_line(text, key),
            )
        seen.add(value)


def _check_plans(text: str, plans: PlanList) -> None:
    services = {service.name for service in plans.service}
    for index, plan in enumerate(plans.plan):
        missing = [name for name in plan.services if name not in services]
        if missing:
            key = f"plan[{index}].services"
            raise SettingsError(
                PLANS_NAME,
                f"there is no service {missing[0]!r}",
                "add a [[service]] table for it or correct the name",
                key,
                find_line(text, key),
            )


def _check_accounts(text: str, accounts: AccountList, plans: PlanList) -> None:
    names = {plan.name for plan in plans.plan}
    owners: dict[str, str] = {}
    for index, account in enumerate(accounts.account):
        if account.plan not in names:
            key = f"account[{index}].plan"
            raise SettingsError(
                ACCOUNTS_NAME,
                f"there is no plan {account.plan!r}",
                f"add it to {PLANS_NAME} or correct the name",
                key,
                find_line(text, key),
            )
        for digest in account.key_sha256:
            if owners.setdefault(digest, account.id) != account.id:
                key = f"account[{index}].key_sha256"
                raise SettingsError(
                    ACCOUNTS_NAME,
                    f"account {owners[digest]!r} has the same key",
                    "give each account keys that no other account has",
                    key,
                    find_line(text, key),
                )
