"""Load generator: questions, streams, deferred requests and run-once calls.

Answers of models are compared with those that the stand-in engine gives to a prompt.
"""

import asyncio
import json
import random
import time
from typing import Any

import aiohttp
import msgspec

from standins.deployment import Deployment
from standins.engine import make_tokens

MAX_STREAM_CONNECTIONS = 60
RETRY_DELAY_S = 0.2
MAX_SENDS = 30


class Sample(msgspec.Struct):
    """Result of one request, with its resends and reattachments.

    Parameters
    ----------
    kind : str
        Kind of request, as it is named in the summary.
    seconds : float
        Time until the whole answer, in seconds.
    first_s : float
        Time in seconds until the first token, or until a deferred request was
        accepted.
    outcome : str
        ``ok``, ``wrong``, ``lost`` or ``refused``. Run-once calls also have
        ``unknown``, ``not_run``, ``again`` if no outcome was final, or a text that
        begins with ``resend differs``.
    attaches : int
        How often a stream was attached to again.
    detail : str
        Answer or error that explains the outcome.
    """

    kind: str
    seconds: float
    first_s: float
    outcome: str
    attaches: int = 0
    detail: str = ""


class Caller:
    """Sends requests through randomly chosen entry processes, as a load balancer does.

    Parameters
    ----------
    deployment : Deployment
        Deployment that receives the requests.
    session : aiohttp.ClientSession
        Connection pool.
    rng : random.Random
        Source of random entry processes, and of the demo's send intervals.
    """

    def __init__(
        self,
        deployment: Deployment,
        session: aiohttp.ClientSession,
        rng: random.Random,
    ) -> None:
        self.deployment = deployment
        self.session = session
        self.rng = rng
        self.entry_names = [peer.name for peer in deployment.cluster.entry]
        self.samples: list[Sample] = []
        self.first_outcomes: dict[str, str] = {}

    def pick(self) -> str:
        """Return the base URL of a randomly chosen entry process."""
        return "http://" + self.deployment.get_address(
            self.rng.choice(self.entry_names)
        )

    async def ask(self, kind: str, account: str, prompt: str, tokens: int) -> Sample:
        """Send an unstreamed request and check its answer.

        It is resent after connection errors and answers 429 and 503.
        """
        started = time.perf_counter()
        outcome, detail = "lost", ""
        for _ in range(MAX_SENDS):
            try:
                async with self.session.post(
                    self.pick() + "/v1/chat/completions",
                    json=self.make_body(prompt, tokens, False),
                    headers=make_headers(account),
                ) as response:
                    data = await response.json(content_type=None)
                    status = response.status
            except (aiohttp.ClientError, OSError) as error:
                detail = repr(error)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if status == 200:
                text = data["choices"][0]["message"]["content"]
                outcome = check_answer(text, prompt, tokens)
                break
            detail = str(data)
            if status not in (429, 503):
                break
            await asyncio.sleep(RETRY_DELAY_S)
        elapsed = time.perf_counter() - started
        return self.add_sample(Sample(kind, elapsed, elapsed, outcome, 0, detail))

    async def stream(self, kind: str, account: str, prompt: str, tokens: int) -> Sample:
        """Read a stream to its end.

        The request is resent until its location is known; after that, a lost
        connection is followed by a reattachment at the last event.
        """
        started = time.perf_counter()
        pieces: list[str] = []
        state: dict[str, Any] = {
            "first": 0.0,
            "location": "",
            "done": False,
            "detail": "",
        }
        attaches = 0
        for _ in range(MAX_STREAM_CONNECTIONS):
            attaches += bool(state["location"])
            try:
                await self._read_stream(account, prompt, tokens, pieces, state)
            except (aiohttp.ClientError, OSError) as error:
                state["detail"] = repr(error)
            if state["done"]:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        outcome = "lost"
        if state["done"]:
            outcome = check_answer("".join(pieces), prompt, tokens)
        elapsed = time.perf_counter() - started
        first_s = (state["first"] or time.perf_counter()) - started
        return self.add_sample(
            Sample(kind, elapsed, first_s, outcome, attaches, state["detail"])
        )

    async def _read_stream(
        self, account: str, prompt: str, tokens: int, pieces: list[str], state: dict
    ) -> None:
        headers = make_headers(account)
        if state["location"]:
            headers["Accept"] = "text/event-stream"
            headers["Last-Event-ID"] = str(len(pieces))
            request = self.session.get(self.pick() + state["location"], headers=headers)
        else:
            request = self.session.post(
                self.pick() + "/v1/chat/completions",
                json=self.make_body(prompt, tokens, True),
                headers=headers,
            )
        async with request as response:
            if response.status != 200:
                state["detail"] = await response.text()
                return
            state["location"] = response.headers.get("Location", state["location"])
            async for line in response.content:
                if line.startswith(b"id: "):
                    number = int(line[4:])
                    if number != len(pieces) + 1:
                        raise AssertionError(
                            f"event {number} received after event {len(pieces)}"
                        )
                if line.startswith(b"data: [DONE]"):
                    state["done"] = True
                elif line.startswith(b"data: {"):
                    chunk = json.loads(line[6:])
                    if "choices" not in chunk:
                        state["detail"] = str(chunk)
                        continue
                    state["first"] = state["first"] or time.perf_counter()
                    pieces.append(chunk["choices"][0]["delta"]["content"])

    async def defer(self, kind: str, account: str, prompt: str, tokens: int) -> Sample:
        """Send a deferred request, and poll any entry process for its answer."""
        started = time.perf_counter()
        headers = {**make_headers(account), "Prefer": "respond-async"}
        location, outcome, detail = "", "refused", ""
        for _ in range(MAX_SENDS):
            try:
                async with self.session.post(
                    self.pick() + "/v1/chat/completions",
                    json=self.make_body(prompt, tokens, False),
                    headers=headers,
                ) as response:
                    detail = await response.text()
                    if response.status == 202:
                        location = response.headers["Location"]
                        break
            except (aiohttp.ClientError, OSError) as error:
                detail = repr(error)
            await asyncio.sleep(RETRY_DELAY_S)
        accepted_s = time.perf_counter() - started
        if location:
            outcome, detail = await self._fetch(account, location, prompt, tokens)
        elapsed = time.perf_counter() - started
        return self.add_sample(Sample(kind, elapsed, accepted_s, outcome, 0, detail))

    async def _fetch(
        self, account: str, location: str, prompt: str, tokens: int
    ) -> tuple[str, str]:
        detail = ""
        deadline = time.perf_counter() + 90
        while time.perf_counter() < deadline:
            try:
                async with self.session.get(
                    self.pick() + location, headers=make_headers(account)
                ) as response:
                    if response.status == 200:
                        data = await response.json(content_type=None)
                        text = data["choices"][0]["message"]["content"]
                        return check_answer(text, prompt, tokens), ""
                    detail = f"{response.status} {await response.text()}"
                    if response.status not in (202, 503, 404):
                        break
            except (aiohttp.ClientError, OSError) as error:
                detail = repr(error)
            await asyncio.sleep(RETRY_DELAY_S)
        return "lost", detail

    async def call_once(
        self, kind: str, account: str, path: str, key: str, body: dict, resend: bool
    ) -> Sample:
        """Send a run-once call, and resend it until its outcome is final.

        With ``resend``, it is then sent once more; a call that ran must get the same
        answer again.
        """
        started = time.perf_counter()
        outcome, detail = "lost", ""
        for _ in range(MAX_SENDS):
            outcome, detail = await self._send_once(account, path, key, body)
            if outcome != "again":
                break
            await asyncio.sleep(RETRY_DELAY_S)
        elapsed = time.perf_counter() - started
        self.first_outcomes[key] = outcome
        if resend:
            again, second = "again", ""
            for _ in range(MAX_SENDS):
                again, second = await self._send_once(account, path, key, body)
                if again != "again":
                    break
                await asyncio.sleep(RETRY_DELAY_S)
            if outcome == "ok" and (again, second) != (outcome, detail):
                outcome = f"resend differs: {again} {second}"
        return self.add_sample(Sample(kind, elapsed, elapsed, outcome, 0, detail))

    async def _send_once(
        self, account: str, path: str, key: str, body: dict
    ) -> tuple[str, str]:
        headers = {**make_headers(account), "Idempotency-Key": key}
        url = f"{self.pick()}/services/{self.deployment.plain}{path}"
        try:
            async with self.session.post(url, json=body, headers=headers) as response:
                text = await response.text()
                if response.status == 200:
                    return "ok", text
                outcome = json.loads(text).get("outcome", "")
                if outcome == "unknown" and response.status != 409:
                    return "unknown", text
                if outcome == "not_run":
                    return "not_run", text
                return "again", text
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return "again", repr(error)

    def make_body(self, prompt: str, tokens: int, stream: bool) -> dict:
        """Return the body of a chat completions request."""
        return {
            "model": self.deployment.model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }

    def add_sample(self, sample: Sample) -> Sample:
        """Add a sample to those of the summary, and return it."""
        self.samples.append(sample)
        return sample


def make_headers(account: str) -> dict[str, str]:
    """Return the authorization header of an example client account."""
    return {"Authorization": f"Bearer {account}-key"}


def check_answer(text: str, prompt: str, tokens: int) -> str:
    """Return ``ok`` if the text is the whole answer to the prompt, else ``wrong``."""
    return "ok" if text == "".join(make_tokens(prompt, tokens)) else "wrong"
