import asyncio

from tarragonway.control.client import ATTEMPT_TIMEOUT_S, ControlClient, NoControl
from tarragonway.control.messages import ControlRedirect, ControlReply
from tarragonway.core.counters import Counters


class Control:
    """Simulated control processes: the leader replies after ``delay_s``."""

    def __init__(self, delay_s, leader="c2"):
        self.delay_s = delay_s
        self.leader = leader
        self.asked = []
        self.client = ControlClient(["c1", "c2", "c3"], self.send, Counters())

    def send(self, target, call):
        self.asked.append(target)
        loop = asyncio.get_running_loop()
        if target == self.leader:
            reply = ControlReply(call.call, call.command)
            loop.call_later(self.delay_s, self.client.receive, reply)
        else:
            redirect = ControlRedirect(call.call, self.leader)
            loop.call_soon(self.client.receive, redirect)


async def test_redirect_leads_to_the_leader():
    control = Control(0.0)
    assert await control.client.call("command", 1.0) == "command"
    assert control.asked == ["c1", "c2"]


async def test_answer_later_than_a_try_still_counts():
    """Guards against dropping a reply that arrives after its attempt timed out.

    On a busy instance each reply took longer than one attempt, and all were dropped.
    """
    control = Control(ATTEMPT_TIMEOUT_S * 1.4)
    assert await control.client.call("command", ATTEMPT_TIMEOUT_S * 3) == "command"


async def test_no_answer_in_time_is_an_outcome():
    control = Control(9.0)
    assert isinstance(await control.client.call("command", 0.2), NoControl)
    assert not control.client._reply_queues
