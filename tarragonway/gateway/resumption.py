"""Resumption of streams: which version may go on, and why a stream cannot."""

import asyncio

import structlog

from tarragonway.core.counters import Counters
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.gateway.admission import DEFAULT_TIMEOUT_S
from tarragonway.gateway.attempt import Attempt, SendOutcome, VersionGone
from tarragonway.gateway.origin_guard import OriginGuard, OriginNotFound
from tarragonway.gateway.state import GatewayState
from tarragonway.versions import StreamOrigin, count_by_version

_log = structlog.get_logger()


class StreamResumption:
    """Binds attempts to the software version that began their streams.

    Parameters
    ----------
    state : GatewayState
        Endpoints in force.
    origins : OriginGuard
        Records and finds the versions that began streams.
    counters : Counters
        Receives ``request.*`` counters.
    """

    def __init__(
        self, state: GatewayState, origins: OriginGuard, counters: Counters
    ) -> None:
        self._state = state
        self._origins = origins
        self._counters = counters

    async def bind(self, attempt: Attempt) -> OriginNotFound | None:
        """Bind a stream that the caller resumes to the version that began it.

        Returns
        -------
        OriginNotFound or None
            None if the request may be sent; the reason if it may not.
        """
        if not (attempt.facts.resumes_stream and attempt.route.resumable):
            return None
        found = await self._origins.find(
            attempt.account_id, attempt.facts.resumed_attempt, attempt.route
        )
        if isinstance(found, OriginNotFound):
            return found
        attempt.origin, attempt.service = found, found.service
        return None

    def record_first_event(self, attempt: Attempt, endpoint: ListedEndpoint) -> None:
        """Bind the caller's answer to the version that begins it, and record this.

        The record lasts as long as the caller waits for the whole stream.
        """
        attempt.origin = StreamOrigin.from_endpoint(endpoint)
        if attempt.route.resumable:
            self._origins.record_began(
                attempt.account_id,
                attempt.facts.attempt,
                attempt.origin,
                attempt.facts.timeout_s or DEFAULT_TIMEOUT_S,
            )

    def explain_failure(
        self, attempt: Attempt, outcome: SendOutcome | None
    ) -> SendOutcome | None:
        """Log which endpoints there are if none of them may go on with a stream.

        Returns
        -------
        SendOutcome or None
            The outcome so far, or :class:`VersionGone` if nothing was sent and no
            endpoint of the stream's version is listed.
        """
        origin = attempt.origin
        assert origin is not None
        self._counters.increment("request.stream_without_endpoint")
        rows = list(self._state.endpoints.rows.values())
        list_age_s = asyncio.get_running_loop().time() - self._state.list_current_at
        _log.info(
            "no endpoint may go on with the stream",
            attempt=attempt.facts.attempt,
            resumed_attempt=attempt.facts.resumed_attempt,
            service=origin.service,
            version=origin.version,
            tried=sorted(attempt.tried),
            active=count_by_version(rows, origin.service),
            leaving=[row.key for row in rows if row.leaving and origin.matches(row)],
            list_age_s=round(list_age_s, 2),
        )
        loop_s = asyncio.get_running_loop().time()
        is_listed = self._state.rollouts.may_resume(
            origin.service, origin.version, loop_s
        ) and any(origin.matches(row) and not row.leaving for row in rows)
        return outcome if outcome is not None or is_listed else VersionGone()
