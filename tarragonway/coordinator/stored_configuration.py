"""Decoded form of the configuration that the log holds."""

from collections.abc import Callable, Mapping

import structlog

from tarragonway.coordinator.machine import CoordinatorMachine
from tarragonway.core.counters import Counters
from tarragonway.core.ids import AccountId
from tarragonway.routes.model import Account, Configuration, ConfigurationError

_log = structlog.get_logger()


class StoredConfiguration:
    """Decodes the configuration in force once for each revision.

    A configuration that cannot be decoded leaves the one before in use.

    Parameters
    ----------
    machine : CoordinatorMachine
        State machine with the compressed text.
    decode : callable
        Decodes that text; raises :exc:`ConfigurationError`.
    counters : Counters
        Receives ``configuration.*`` counters.
    """

    def __init__(
        self,
        machine: CoordinatorMachine,
        decode: Callable[[bytes], Configuration],
        counters: Counters,
    ) -> None:
        self._machine = machine
        self._decode = decode
        self._counters = counters
        self._decoded_revision = -1
        self._configuration: Configuration | None = None
        self._accounts: dict[AccountId, Account] = {}

    def read(self) -> Configuration | None:
        """Return the configuration in force, or None if there is none."""
        revision = self._machine.revision
        if revision < 0:
            return None
        if revision != self._decoded_revision:
            self._decoded_revision = revision
            self._decode_current(revision)
        return self._configuration

    def read_accounts(self) -> Mapping[AccountId, Account]:
        """Return the client accounts of the configuration in force."""
        self.read()
        return self._accounts

    def _decode_current(self, revision: int) -> None:
        try:
            configuration = self._decode(self._machine.data)
        except ConfigurationError as error:
            self._counters.increment("configuration.unreadable")
            _log.error(
                "stored configuration cannot be used; the one before stays in use",
                revision=revision,
                before=self._configuration and self._configuration.revision,
                reason=str(error),
            )
            return
        self._configuration = configuration
        self._accounts = {row.id: row for row in configuration.accounts or ()}
