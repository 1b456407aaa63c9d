"""Structures of the two lists."""

import enum
from typing import Annotated

import msgspec
from msgspec import Meta

from tarragonway.core.hashes import hash_secret
from tarragonway.core.ids import AccountId, PlanName, ServiceName

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9\-]{0,40}$")]
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Rate = Annotated[float, Meta(gt=0, le=1_000_000)]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
Route = Annotated[str, Meta(pattern=r"^(GET|HEAD|POST|PUT|PATCH|DELETE) /\S*$")]


class _StrictStruct(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base of the lists' structures: immutable, and unknown keys are errors."""


class ServiceKind(enum.Enum):
    """Kind of a service, which decides how requests to it are sent and retried."""

    MODEL = "model"
    PLAIN = "plain"


class Account(_StrictStruct, frozen=True):
    """A client account with its plan and the SHA-256 digests of its keys."""

    id: Name
    plan: Name
    key_sha256: Annotated[list[Digest], Meta(min_length=1, max_length=8)]


class Plan(_StrictStruct, frozen=True):
    """A plan: the services and limits of the client accounts that hold it.

    ``priority`` runs from 0 (most urgent) to 9; ``weight`` is the relative share of an
    account among accounts of equal priority.
    """

    name: Name
    services: Annotated[list[Name], Meta(min_length=1)]
    requests_per_s: Rate
    concurrent: Annotated[int, Meta(ge=1, le=100_000)]
    weight: Rate = 1.0
    priority: Annotated[int, Meta(ge=0, le=9)] = 5


class Service(_StrictStruct, frozen=True):
    """A service that the system routes to.

    ``idempotent`` and ``non_idempotent`` list routes such as ``POST /bookings``; a
    route covers its own path and all paths below it. Engines of a service with a
    ``model_version`` receive orders to load it. POST, PUT, PATCH and DELETE
    of a plain service are non-idempotent unless they are listed as idempotent.
    """

    name: Name
    kind: ServiceKind
    endpoint_slots: Annotated[int, Meta(ge=1, le=4096)] = 8
    deadline_s: Seconds = 30.0
    model_version: Annotated[str, Meta(max_length=100)] = ""
    idempotent: list[Route] = []
    non_idempotent: list[Route] = []

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a request with ``method`` and ``path`` may be resent.

        Examples
        --------
        >>> service = Service(name="s", kind=ServiceKind.PLAIN,
        ...                   idempotent=["POST /search"])
        >>> service.is_idempotent("POST", "/search/all")
        True
        >>> service.is_idempotent("POST", "/searches")
        False
        """
        if any(_matches_route(route, method, path) for route in self.non_idempotent):
            return False
        if any(_matches_route(route, method, path) for route in self.idempotent):
            return True
        return method in ("GET", "HEAD", "OPTIONS")


def _matches_route(route: str, method: str, path: str) -> bool:
    route_method, _, route_path = route.partition(" ")
    if route_method != method:
        return False
    base = route_path.rstrip("/")
    return path in (route_path, base) or path.startswith(base + "/")


class AccountList(_StrictStruct, frozen=True):
    """First list: the client accounts, each with its plan and keys."""

    account: list[Account] = []


class PlanList(_StrictStruct, frozen=True):
    """Second list: the plans, and the services to which they refer."""

    plan: list[Plan] = []
    service: list[Service] = []


class Lists(msgspec.Struct, frozen=True):
    """Both lists as one immutable value, indexed for look-ups by each request.

    Examples
    --------
    >>> Lists.from_parts(AccountList(), PlanList()).find_account("secret") is None
    True
    """

    accounts: dict[AccountId, Account]
    plans: dict[PlanName, Plan]
    services: dict[ServiceName, Service]
    keys: dict[str, AccountId]

    @classmethod
    def from_parts(cls, accounts: AccountList, plans: PlanList) -> "Lists":
        """Build the indexed form of two checked lists."""
        keys = {
            digest: AccountId(account.id)
            for account in accounts.account
            for digest in account.key_sha256
        }
        return cls(
            {AccountId(account.id): account for account in accounts.account},
            {PlanName(plan.name): plan for plan in plans.plan},
            {ServiceName(service.name): service for service in plans.service},
            keys,
        )

    def find_account(self, secret: str) -> Account | None:
        """Return the client account that has the key ``secret``, or None."""
        account = self.keys.get(hash_secret(secret))
        return None if account is None else self.accounts[account]

    def get_plan(self, account: Account) -> Plan:
        """Return the plan that ``account`` holds."""
        return self.plans[PlanName(account.plan)]
