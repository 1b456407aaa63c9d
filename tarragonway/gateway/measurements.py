"""Measurements of endpoints, taken from their answers to requests."""

from tarragonway.core.counters import Counters
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import Load
from tarragonway.gateway.attempt import Answered, Attempt, SendOutcome, Streamed
from tarragonway.gateway.choice import EndpointChooser
from tarragonway.gateway.estimates import Choice
from tarragonway.routes.model import EngineTraits
from tarragonway.routing.engine_speed import EngineSpeeds


class AnswerMeasurements:
    """Records loads, speeds of engines and paces of endpoints.

    A service's speed is that of a usual endpoint, so measured times are divided by the
    pace of the endpoint.

    Parameters
    ----------
    speeds : EngineSpeeds
        Learns the speed of the services' engines.
    chooser : EndpointChooser
        Learns loads and backlogs; its ``paces`` learn the paces of endpoints.
    counters : Counters
        Receives ``pace.*`` counters.
    """

    def __init__(
        self, speeds: EngineSpeeds, chooser: EndpointChooser, counters: Counters
    ) -> None:
        self._speeds = speeds
        self._chooser = chooser
        self._paces = chooser.paces
        self._counters = counters

    def record_load(self, endpoint: ListedEndpoint, load: Load, now: float) -> None:
        """Record the load and the slowdown that an endpoint reports."""
        if load.slowdown is not None:
            self._paces.record_statement(
                endpoint.service, endpoint.key, load.slowdown, now
            )
            self._counters.increment("pace.stated")
        self._chooser.record_load(endpoint, load, now)

    def record_first_event(self, attempt: Attempt, choice: Choice, now: float) -> None:
        """Record that the chosen endpoint began to answer."""
        taken_ms = (now - attempt.sent_at) * 1000
        self._chooser.record_first_event(choice, taken_ms, now)
        if attempt.facts.prompt is None:
            return
        key = choice.endpoint.key
        self._speeds.get_fit(attempt.service).record_first_event(
            choice.prompt_tokens,
            attempt.load_at_send,
            taken_ms / self._paces.get_pace(key, now),
        )
        self._record_time(choice, taken_ms, now)

    def record_outcome(
        self,
        attempt: Attempt,
        choice: Choice,
        outcome: SendOutcome,
        engine: EngineTraits | None,
        now: float,
    ) -> None:
        """Record what a complete answer shows."""
        match outcome:
            case Streamed():
                self._record_stream(attempt, choice, outcome, engine)
            case Answered(head) if head.status < 300 and attempt.facts.prompt is None:
                taken_ms = (now - attempt.sent_at) * 1000
                self._record_service_time(attempt, choice, taken_ms, now)

    def _record_stream(
        self,
        attempt: Attempt,
        choice: Choice,
        outcome: Streamed,
        engine: EngineTraits | None,
    ) -> None:
        prompt = attempt.facts.prompt
        is_whole = attempt.sends == 1 and attempt.facts.last_event_id is None
        if engine is None or prompt is None or not is_whole:
            return
        # The pauses of a stream extend over many changes of the slowdown.
        pace = self._paces.get_usual(choice.endpoint.key)
        self._speeds.get_fit(attempt.service).record_stream(
            attempt.load_at_send + 1,
            outcome.events * engine.tokens_per_event,
            prompt.output_tokens,
            [pause_ms / pace for pause_ms in outcome.pauses_ms],
            engine.tokens_per_event,
        )

    def _record_service_time(
        self, attempt: Attempt, choice: Choice, taken_ms: float, now: float
    ) -> None:
        if choice.expected_ms is not None:
            pace = self._paces.get_pace(choice.endpoint.key, now)
            self._chooser.service_times.record(attempt.service, taken_ms, pace)
        self._record_time(choice, taken_ms, now)

    def _record_time(self, choice: Choice, taken_ms: float, now: float) -> None:
        if choice.expected_ms is not None and self._paces.record_time(
            choice.endpoint.key, taken_ms, choice.expected_ms, now
        ):
            self._counters.increment("pace.measured")
