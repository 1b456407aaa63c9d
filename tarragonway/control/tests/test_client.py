import asyncio

from tarragonway.control.client import (
    ATTEMPT_TIMEOUT_S,
    ControlClient,
    ControlUnavailable,
)
from tarragonway.control.messages import ControlRedirect, ControlReply
from tarragonway.core.counters import Counters


class ControlStub:
    """Simulated control processes: the leader replies after ``delay_s``."""

    def __init__(self, delay_s, leader="c2"):
        self.delay_s = delay_s
        self.leader = leader
        self.targets = []
        self.client = ControlClient(["c1", "c2", "c3"], self.send, Counters())

    def send(self, target, call):
        self.targets.append(target)
        loop = asyncio.get_running_loop()
        if target == self.leader:
            reply = ControlReply(call.call, call.command)
            loop.call_later(self.delay_s, self.client.handle_reply, reply)
        else:
            redirect = ControlRedirect(call.call, self.leader)
            loop.call_soon(self.client.handle_reply, redirect)


async def test_redirected_command_reaches_the_leader():
    control = ControlStub(0.0)
    assert await control.client.call("command", 1.0) == "command"
    assert control.targets == ["c1", "c2"]


async def test_reply_after_the_attempt_timeout_counts():
    """Guards against dropping a reply that arrives after its attempt timed out.

    On a busy instance each reply took longer than one attempt, and all were dropped.
    """
    control = ControlStub(ATTEMPT_TIMEOUT_S * 1.4)
    assert await control.client.call("command", ATTEMPT_TIMEOUT_S * 3) == "command"


async def test_call_without_a_reply_returns_no_control():
    control = ControlStub(9.0)
    assert isinstance(await control.client.call("command", 0.2), ControlUnavailable)
    assert not control.client._reply_queues
