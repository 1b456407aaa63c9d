"""Crash reports for contents that break endpoints, and probation of suspects."""

import asyncio
from collections.abc import Collection

import msgspec

from tarragonway.control.client import ControlClient
from tarragonway.core.counters import Counters
from tarragonway.core.decoding import UndecodableError, decode_json, drop_deep_values
from tarragonway.core.hashes import compute_fingerprint
from tarragonway.core.ids import AccountId, Fingerprint
from tarragonway.core.outcomes import Refusal, RefusalReason
from tarragonway.endpoints import Endpoint
from tarragonway.entry.dispatch import Dispatcher
from tarragonway.quarantine import (
    CrashRecorded,
    EndProbation,
    ProbationAnswer,
    ReportCrash,
    TakeProbation,
)
from tarragonway.requests.live import LiveRequest
from tarragonway.watch.client import WatchClient

LEAVING_NOTICE_GRACE_S = 1.5
# Further messages of a chat are not recorded after a crash.
MAX_SHARED_MESSAGES = 1024
CONTROL_TIMEOUT_S = 3.0


class _Message(msgspec.Struct):
    role: str = ""
    content: str = ""


class _Chat(msgspec.Struct):
    messages: list[_Message] = []


_chat_decoder = msgspec.json.Decoder(_Chat)
_NO_ACCOUNT = AccountId("")


class CrashReporter:
    """Reports contents whose streams break, unless the endpoint was leaving.

    A content with a crash report is a suspect: it runs only on probation, with no other
    suspect on the same endpoint. A quarantined content is refused.

    Parameters
    ----------
    control : ControlClient
        Sends crash reports and probation calls.
    watch : WatchClient
        Source of suspects and quarantined contents.
    dispatcher : Dispatcher
        Source of the endpoints that are leaving.
    counters : Counters
        Receives ``blame.*`` counters.
    """

    def __init__(
        self,
        control: ControlClient,
        watch: WatchClient,
        dispatcher: Dispatcher,
        counters: Counters,
    ) -> None:
        self._control = control
        self._watch = watch
        self._dispatcher = dispatcher
        self._counters = counters
        self._reported: set[Fingerprint] = set()

    async def report_broken_stream(
        self, live: LiveRequest, endpoint: Endpoint
    ) -> Refusal | None:
        """Report a broken stream as a crash, unless the endpoint was leaving.

        Returns
        -------
        Refusal or None
            The refusal if the content is quarantined; None if the request may be
            retried.
        """
        if not self._dispatcher.is_leaving(endpoint.id):
            # The reclaim notice or the endpoint list may arrive after the connection
            # breaks.
            await asyncio.sleep(LEAVING_NOTICE_GRACE_S)
        if self._dispatcher.is_leaving(endpoint.id):
            self._counters.increment("blame.explained")
            return None
        self._counters.increment("blame.reported")
        fingerprint = live.record.fingerprint
        self._reported.add(fingerprint)
        messages = list_shared_messages(live.record.body)
        command = ReportCrash(endpoint.id, fingerprint, messages)
        result = await self._control.call(command, CONTROL_TIMEOUT_S)
        if isinstance(result, CrashRecorded) and result.quarantined:
            return make_quarantine_refusal()
        return self.check_quarantine(fingerprint, live.record.body)

    def check_quarantine(self, fingerprint: Fingerprint, body: bytes) -> Refusal | None:
        """Return a refusal if the content or one of its messages is quarantined."""
        if self._is_listed(self._watch.view.quarantined, fingerprint, body):
            return make_quarantine_refusal()
        return None

    def is_suspect(self, live: LiveRequest) -> bool:
        """Return whether a request may only run on probation."""
        fingerprint = live.record.fingerprint
        return fingerprint in self._reported or self._is_listed(
            self._watch.view.suspects, fingerprint, live.record.body
        )

    def _is_listed(
        self, rows: Collection[Fingerprint], fingerprint: Fingerprint, body: bytes
    ) -> bool:
        if not rows:
            return False
        return fingerprint in rows or any(
            message in rows for message in list_shared_messages(body)
        )

    async def request_probation(self, live: LiveRequest, endpoint: Endpoint) -> bool:
        """Request probation for a suspect on an endpoint.

        Returns
        -------
        bool
            Whether the probation is granted.
        """
        command = TakeProbation(endpoint.id, live.record.fingerprint)
        result = await self._control.call(command, CONTROL_TIMEOUT_S)
        self._counters.increment("blame.probations")
        return isinstance(result, ProbationAnswer) and result.granted

    async def end_probation(
        self, live: LiveRequest, endpoint: Endpoint, cleared: bool
    ) -> None:
        """End a suspect's probation, so that the endpoint may take the next suspect.

        Parameters
        ----------
        live : LiveRequest
            The suspect's request.
        endpoint : Endpoint
            Endpoint that it ran on.
        cleared : bool
            Whether the request finished without a crash.
        """
        fingerprint = live.record.fingerprint
        if cleared:
            self._reported.discard(fingerprint)
        messages = list_shared_messages(live.record.body)
        command = EndProbation(endpoint.id, fingerprint, cleared, messages)
        await self._control.call(command, CONTROL_TIMEOUT_S)


def list_shared_messages(body: bytes) -> tuple[Fingerprint, ...]:
    """Return the fingerprints of a chat's messages but the last.

    Requests of all client accounts may share them. A body that is no chat has none.

    Examples
    --------
    >>> one = b'{"messages": [{"role": "system", "content": "x"}, {"content": "y"}]}'
    >>> two = b'{"messages": [{"role": "system", "content": "x"}, {"content": "z"}]}'
    >>> list_shared_messages(one) == list_shared_messages(two)
    True
    """
    try:
        chat = decode_json(_chat_decoder, drop_deep_values(body))
    except UndecodableError:
        return ()
    return tuple(
        compute_fingerprint(_NO_ACCOUNT, f"{row.role}\0{row.content}".encode())
        for row in chat.messages[:-1][:MAX_SHARED_MESSAGES]
    )


def make_quarantine_refusal() -> Refusal:
    """Return the refusal of a quarantined content."""
    detail = "this content has crashed endpoints; it is quarantined and not run again"
    return Refusal(RefusalReason.QUARANTINED, detail)
