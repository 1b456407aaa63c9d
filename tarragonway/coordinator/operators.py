"""HTTP interface for operators: the configuration, and calls about rollouts."""

import asyncio
from collections.abc import Callable

import msgspec
import structlog

from tarragonway.coordinator.leader_calls import JSON_HEADERS, LeaderCalls
from tarragonway.coordinator.machine import (
    ConfigurationStored,
    CoordinatorMachine,
    PutConfiguration,
    compress_configuration,
)
from tarragonway.coordinator.rollout_orders import RolloutOrderInterface
from tarragonway.core.compression import DecompressionError, decompress
from tarragonway.core.counters import Counters
from tarragonway.core.numbers import encode_integer
from tarragonway.http1.response import Request, ResponseWriter
from tarragonway.replication import LogDriver
from tarragonway.routes.model import (
    MAX_CONFIGURATION_BYTES,
    Configuration,
    ConfigurationError,
)

_log = structlog.get_logger()


class OperatorInterface:
    """Answers operators' calls on the leader, and redirects them on other members.

    Parameters
    ----------
    driver : LogDriver
        The replicated log.
    machine : CoordinatorMachine
        State machine that the log drives.
    decode : callable
        Decodes and checks a new configuration text; raises
        :exc:`ConfigurationError`.
    decode_stored : callable
        The same for a text that this or an earlier release has accepted.
    paths : tuple of str
        Paths of the calls that replace (POST) and read (GET) the configuration.
    find_leader : callable
        Returns the operator address of another process that leads, or "".
    counters : Counters
        Receives ``operator.*`` counters.
    rollouts : RolloutOrderInterface, optional
        Answers the calls about rollouts; without it there are none.
    """

    def __init__(
        self,
        driver: LogDriver,
        machine: CoordinatorMachine,
        decode: Callable[[bytes], Configuration],
        decode_stored: Callable[[bytes], Configuration],
        paths: tuple[str, str],
        find_leader: Callable[[], str],
        counters: Counters,
        rollouts: RolloutOrderInterface | None = None,
    ) -> None:
        self._driver = driver
        self._machine = machine
        self._decode = decode
        self._decode_stored = decode_stored
        self._put_path, self._get_path = paths
        self._calls = LeaderCalls(driver, find_leader, counters)
        self._counters = counters
        self._rollouts = rollouts

    async def handle(self, request: Request, writer: ResponseWriter) -> None:
        """Answer one call."""
        path = request.target.partition("?")[0]
        if (request.method, path) == ("POST", self._put_path):
            await self._handle_replace(request, writer)
        elif (request.method, path) == ("GET", self._get_path):
            await self._handle_read(request, writer)
        elif self._rollouts is None or not await self._rollouts.handle(request, writer):
            await writer.send(404, JSON_HEADERS, b'{"error": "unknown call"}')

    async def _handle_replace(self, request: Request, writer: ResponseWriter) -> None:
        try:
            configuration = self._decode(request.body)
        except ConfigurationError as error:
            if await self._may_be_stored(request.body):
                await self._answer_repeated(request, writer, error)
            else:
                await self._reject(writer, error)
            return
        if not await self._calls.require_leader(request, writer):
            return
        command = PutConfiguration(
            encode_integer(configuration.revision),
            compress_configuration(request.body),
        )
        result = await self._calls.await_confirmation(self._driver.propose(command))
        match result:
            case ConfigurationStored(revision):
                self._counters.increment("operator.acknowledged")
                _log.info(
                    "configuration committed",
                    revision=configuration.revision,
                    in_force=revision,
                    term=self._driver.replica.term,
                )
                await writer.send(200, JSON_HEADERS, b"{}")
            case _:
                await self._calls.send_unconfirmed(writer, result)

    async def _may_be_stored(self, text: bytes) -> bool:
        """Return whether an earlier release may have accepted a text.

        Text with very many brackets takes seconds, so a thread decodes it.
        """
        try:
            await asyncio.to_thread(self._decode_stored, text)
        except ConfigurationError:
            return False
        return True

    async def _answer_repeated(
        self, request: Request, writer: ResponseWriter, error: ConfigurationError
    ) -> None:
        """Acknowledge the stored text again; reject another with this error.

        An earlier release may have acknowledged what is not accepted any more.
        """
        if not await self._calls.confirm_leadership(request, writer):
            return
        if self._read_stored() != request.body:
            await self._reject(writer, error)
            return
        self._counters.increment("operator.acknowledged")
        _log.info("stored configuration acknowledged again", would_reject=str(error))
        await writer.send(200, JSON_HEADERS, b"{}")

    async def _reject(self, writer: ResponseWriter, error: ConfigurationError) -> None:
        self._counters.increment("operator.invalid")
        _log.info("configuration rejected", reason=str(error))
        body = msgspec.json.encode({"error": str(error)})
        await writer.send(400, JSON_HEADERS, body)

    def _read_stored(self) -> bytes | None:
        """Return the stored text; None if there is none or it cannot be read."""
        if not self._machine.data:
            return None
        try:
            return decompress(self._machine.data, MAX_CONFIGURATION_BYTES)
        except DecompressionError as error:
            self._counters.increment("operator.unreadable")
            _log.error(
                "stored configuration cannot be read",
                revision=self._machine.revision,
                reason=str(error),
            )
            return None

    async def _handle_read(self, request: Request, writer: ResponseWriter) -> None:
        if not await self._calls.confirm_leadership(request, writer):
            return
        text = self._read_stored()
        if text is None:
            problem = b"cannot be read" if self._machine.data else b"missing"
            body = b'{"error": "the configuration is ' + problem + b'"}'
            await writer.send(503, JSON_HEADERS, body)
            return
        await writer.send(200, JSON_HEADERS, text)
