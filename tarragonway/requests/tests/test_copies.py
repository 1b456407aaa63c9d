"""Tests of copies between an owner and its holders; the test delivers the messages."""

import asyncio

import pytest

from tarragonway.core.counters import Counters
from tarragonway.requests.copies import CopyManager
from tarragonway.requests.live import LiveRequest
from tarragonway.requests.messages import (
    CopyAck,
    CopyProgress,
    CopyRecord,
    CopyStale,
    Heartbeat,
)
from tarragonway.requests.model import RequestRecord, RequestState
from tarragonway.requests.partners import Partners

SILENCE_S = 2.0
NAMES = ("e0", "e1", "e2")
MAX_STEPS = 200
ZONES = {f"e{n}": "abc"[n % 3] for n in range(8)}


class SimulatedNetwork:
    """A simulated network of processes, with a clock that the tests advance."""

    def __init__(self, monkeypatch):
        loop = asyncio.get_running_loop()
        self.now = 0.0
        real = loop.time()
        monkeypatch.setattr(loop, "time", lambda: real + self.now)
        self.queue = []
        self.isolated = set()
        self.adopted = []
        self.managers = {name: self.make_manager(name) for name in NAMES}

    def make_manager(self, name):
        async def adopt(record):
            self.adopted.append((name, record))

        def send(to, body):
            self.queue.append((name, to, body))

        partners = Partners(name, ZONES, SILENCE_S)
        partners.chosen = [other for other in NAMES if other != name]
        return CopyManager(
            name, "i", partners, SILENCE_S, send, adopt, lambda: True, Counters()
        )

    def deliver(self):
        while self.queue:
            source, target, body = self.queue.pop(0)
            manager = self.managers.get(target)
            if manager is None or {source, target} & self.isolated:
                continue
            match body:
                case CopyRecord():
                    manager.handle_record(source, body)
                case CopyProgress():
                    manager.handle_progress(source, body)
                case CopyAck():
                    manager.handle_ack(source, body)
                case CopyStale():
                    manager.handle_stale(body)
                case Heartbeat():
                    manager.handle_heartbeat(source, body)

    def deliver_heartbeats(self, name):
        self.managers[name].send_heartbeats()
        self.deliver()

    async def run_adoption(self, name):
        self.managers[name].adopt_lost()
        await asyncio.sleep(0)


def make_live(owner="e0", epoch=1):
    record = RequestRecord("x_e0_e1_e2", "acc", "svc", "f", 5, b"{}", owner, epoch)
    return LiveRequest(record, copied=True)


async def replicate(net, live, owner="e0"):
    net.deliver_heartbeats(owner)
    task = asyncio.create_task(net.managers[owner].replicate(live))
    for _ in range(MAX_STEPS):
        if task.done():
            break
        await asyncio.sleep(0)
        net.deliver()
    assert task.result()


def add_token(net, live, owner="e0"):
    live.add_token(len(live.tokens), "t ")
    net.managers[owner].schedule_progress(live)
    net.managers[owner].flush()


@pytest.fixture
async def net(monkeypatch):
    return SimulatedNetwork(monkeypatch)


async def test_token_is_released_only_once_a_peer_holds_it(net):
    live = make_live()
    await replicate(net, live)
    add_token(net, live)
    assert live.released == 0
    net.deliver()
    assert live.released == 1


async def test_owner_that_sends_progress_is_not_replaced(net):
    """Heartbeats may be delayed on a busy instance while tokens still arrive."""
    live = make_live()
    await replicate(net, live)
    for _ in range(5):
        net.now += SILENCE_S * 0.9
        add_token(net, live)
        net.deliver()
        for name in ("e1", "e2"):
            await net.run_adoption(name)
    assert net.adopted == []


async def test_holder_outside_the_partners_gets_heartbeats(net):
    live = make_live()
    await replicate(net, live)
    manager = net.managers["e0"]
    manager._partners.chosen = ["e5", "e6", "e7"]
    for _ in range(4):
        net.now += SILENCE_S * 0.9
        net.deliver_heartbeats("e0")
        for name in ("e1", "e2"):
            await net.run_adoption(name)
    assert net.adopted == []


async def test_silent_owner_is_replaced_by_the_first_successor(net):
    live = make_live()
    await replicate(net, live)
    add_token(net, live)
    net.deliver()
    net.now += SILENCE_S * 1.5
    await net.run_adoption("e2")
    assert net.adopted == []
    await net.run_adoption("e1")
    assert [name for name, _ in net.adopted] == ["e1"]
    assert net.adopted[0][1].tokens == ("t ",)


async def test_leaving_owner_is_replaced_at_once(net):
    live = make_live()
    await replicate(net, live)
    net.managers["e0"].announce_stop()
    net.deliver()
    await net.run_adoption("e1")
    assert [name for name, _ in net.adopted] == ["e1"]


async def test_former_owner_is_stopped_by_a_later_epoch(net):
    live = make_live()
    await replicate(net, live)
    net.isolated = {"e0"}
    later = make_live("e1", epoch=2)
    net.managers["e1"].discard_copy(later.record.id)
    await replicate(net, later, "e1")
    net.isolated = set()
    add_token(net, live)
    net.deliver()
    assert live.abandoned
    assert live.released == 0


async def test_lost_progress_is_resent(net):
    live = make_live()
    await replicate(net, live)
    add_token(net, live)
    net.queue.clear()
    add_token(net, live)
    live.finish(RequestState.DONE)
    net.managers["e0"].schedule_progress(live)
    net.managers["e0"].flush()
    net.deliver()
    net.managers["e0"].reconcile_owned()
    net.managers["e0"].flush()
    net.deliver()
    assert live.is_over
    assert net.managers["e1"].find_finished(live.record.id).tokens == ("t ", "t ")
