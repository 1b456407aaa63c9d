"""Fetching of the configuration from the coordinators, and putting it into force."""

import asyncio
from collections.abc import Callable

import structlog

from tarragonway.core.compression import DecompressionError, decompress
from tarragonway.core.counters import Counters
from tarragonway.gateway.state import GatewayState
from tarragonway.links import Link
from tarragonway.links.messages import FetchConfiguration
from tarragonway.routes.model import (
    MAX_CONFIGURATION_BYTES,
    Configuration,
    ConfigurationError,
)
from tarragonway.routes.table import RouteTable

# A request for the configuration may be repeated after this time without an answer.
FETCH_TIMEOUT_S = 0.3

_log = structlog.get_logger()


class ConfigurationFetcher:
    """Fetches each newer configuration and puts it into force.

    A configuration that cannot be used leaves the one before in force. It is not
    fetched again; the next revision is.

    Parameters
    ----------
    state : GatewayState
        Receives the configuration.
    decode : callable
        Decodes the text of a configuration; raises ConfigurationError.
    counters : Counters
        Receives ``control.*`` counters.
    """

    def __init__(
        self,
        state: GatewayState,
        decode: Callable[[bytes], Configuration],
        counters: Counters,
    ) -> None:
        self._state = state
        self._decode = decode
        self._counters = counters
        self._asked_at = float("-inf")
        self._unusable: int | None = None

    def fetch_newer(self, link: Link, revision: int) -> None:
        """Ask a coordinator that has this revision for it, if it is of use."""
        if revision <= self._state.revision or revision == self._unusable:
            return
        now = asyncio.get_running_loop().time()
        if now - self._asked_at >= FETCH_TIMEOUT_S:
            self._asked_at = now
            link.send(FetchConfiguration())

    def receive(self, link: Link, revision: int, data: bytes) -> None:
        """Put a newer configuration into force, as far as it can be used."""
        self._asked_at = float("-inf")
        before = self._state.revision
        if revision <= before:
            return
        try:
            configuration = self._decode(decompress(data, MAX_CONFIGURATION_BYTES))
            if configuration.revision != revision:
                raise ConfigurationError(f"its text has {configuration.revision}")
        except (ConfigurationError, DecompressionError) as error:
            self._reject(link, revision, str(error))
            return
        self._state.table = RouteTable(configuration)
        self._state.notify_if_complete()
        _log.info(
            "configuration is in force",
            revision=revision,
            before=before,
            source=link.peer,
            routes=len(configuration.routes),
        )

    def _reject(self, link: Link, revision: int, reason: str) -> None:
        self._counters.increment("control.unusable_configurations")
        if revision != self._unusable:
            _log.error(
                "configuration cannot be used; the one before stays in force",
                revision=revision,
                before=self._state.revision,
                source=link.peer,
                reason=reason,
            )
        self._unusable = revision
