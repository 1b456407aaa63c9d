"""Model of a batching model engine in virtual time.

In each step, an engine processes a chunk of the oldest prompts that are not finished,
and produces one token for each request whose prompt is. Requests beyond the slots wait.
"""

import collections

import msgspec


class EngineTiming(msgspec.Struct, frozen=True):
    """Times of an engine.

    A step takes ``step_ms`` plus ``step_request_ms`` for each running request, and
    ``prompt_token_ms`` for each prompt token that it processes, at most ``chunk``.
    """

    slots: int = 32
    chunk: int = 2048
    step_ms: float = 2.8
    step_request_ms: float = 0.05
    prompt_token_ms: float = 0.0125


class EngineRequest(msgspec.Struct):
    """A request, and the times in milliseconds at which its tokens were produced.

    ``prompt_left`` counts the prompt tokens that are not processed yet, and
    ``running_at_start`` the other requests on the engine when this one arrived.
    """

    at_ms: float
    prompt_tokens: int
    output_tokens: int
    prompt_left: int = 0
    running_at_start: int = 0
    token_times_ms: list[float] = []


class EngineModel:
    """One engine.

    Parameters
    ----------
    timing : EngineTiming
        Its speed and its number of slots.

    Examples
    --------
    >>> engine = EngineModel(EngineTiming(chunk=1000, prompt_token_ms=0.01))
    >>> request = engine.submit(EngineRequest(0.0, 2000, 2))
    >>> engine.run_until(1000.0)
    >>> [round(at_ms, 2) for at_ms in request.token_times_ms]
    [25.7, 28.55]
    """

    def __init__(self, timing: EngineTiming) -> None:
        self._timing = timing
        self._now_ms = 0.0
        self._running: list[EngineRequest] = []
        self._waiting: collections.deque[EngineRequest] = collections.deque()

    @property
    def load(self) -> int:
        """Number of running and waiting requests."""
        return len(self._running) + len(self._waiting)

    def submit(self, request: EngineRequest) -> EngineRequest:
        """Add a request that arrives at its time ``at_ms`` and return it."""
        self.run_until(request.at_ms)
        request.prompt_left = request.prompt_tokens
        request.running_at_start = self.load
        request.token_times_ms = []
        self._waiting.append(request)
        return request

    def run_until(self, end_ms: float) -> None:
        """Run all steps that begin before ``end_ms``."""
        while self._now_ms < end_ms:
            while self._waiting and len(self._running) < self._timing.slots:
                self._running.append(self._waiting.popleft())
            if not self._running:
                self._now_ms = end_ms
                return
            self._run_step()

    def _run_step(self) -> None:
        timing = self._timing
        left = timing.chunk
        for request in self._running:
            read = min(left, request.prompt_left)
            request.prompt_left -= read
            left -= read
        self._now_ms += timing.step_ms + timing.step_request_ms * len(self._running)
        self._now_ms += (timing.chunk - left) * timing.prompt_token_ms
        for request in self._running:
            if not request.prompt_left:
                request.token_times_ms.append(self._now_ms)
        self._running = [
            request
            for request in self._running
            if len(request.token_times_ms) < request.output_tokens
        ]
