"""Freshness and versions of an entry process's view, with a clock set by the test."""

import asyncio

import pytest

from tarragonway.core.counters import Counters
from tarragonway.state import StateMachine, View
from tarragonway.state.view import ListsChange, QuarantineChange
from tarragonway.watch import WatchPush, WatchReply
from tarragonway.watch.client import WatchClient

FRESHNESS_BOUND_S = 5.0


@pytest.fixture
def clock(monkeypatch):
    loop = asyncio.new_event_loop()
    now = [100.0]
    monkeypatch.setattr(loop, "time", lambda: now[0])
    monkeypatch.setattr(asyncio, "get_running_loop", lambda: loop)
    yield now
    loop.close()


def make_client(sent):
    def send(server, poll):
        sent.append(poll)

    return WatchClient(
        "entry-1", ["c1", "c2"], 1.0, FRESHNESS_BOUND_S, send, Counters()
    )


def poll(client, clock):
    client._send_poll(clock[0])


def test_freshness_counts_from_when_the_poll_was_sent(clock):
    sent = []
    client = make_client(sent)
    assert not client.is_fresh
    poll(client, clock)
    clock[0] += 4.0
    client.handle_reply(WatchReply(sent[0].call, 0, (), View()))
    assert client.is_fresh
    clock[0] += 0.9
    assert client.is_fresh
    clock[0] += 0.2
    assert not client.is_fresh


def test_push_alone_does_not_refresh(clock):
    client = make_client([])
    client.handle_push(WatchPush(0, 1, (QuarantineChange("f", True, False),)))
    assert client.view.quarantined
    assert not client.is_fresh


def test_older_view_is_refused(clock):
    sent = []
    client = make_client(sent)
    poll(client, clock)
    client.handle_reply(WatchReply(sent[0].call, 9, (), View(9, 3)))
    poll(client, clock)
    client.handle_reply(WatchReply(sent[1].call, 8, (), View(8, 2)))
    assert (client.view.version, client.view.revision) == (9, 3)


def test_reply_and_push_overlap_without_loss(clock):
    sent = []
    client = make_client(sent)
    poll(client, clock)
    one = QuarantineChange("f1", True, False)
    two = ListsChange(1, "", "")
    three = QuarantineChange("f3", True, False)
    client.handle_push(WatchPush(0, 1, (one,)))
    client.handle_reply(WatchReply(sent[0].call, 3, (one, two, three)))
    assert client.view.version == 3
    assert client.view.revision == 1
    assert set(client.view.quarantined) == {"f1", "f3"}
    assert client.is_fresh


def test_gap_in_pushes_is_left_to_the_next_poll(clock):
    client = make_client([])
    client.handle_push(WatchPush(4, 5, (QuarantineChange("f", True, False),)))
    assert client.view.version == 0
    assert not client.view.quarantined


def test_machine_lists_no_changes_after_an_unknown_version():
    machine = StateMachine()
    assert machine.list_changes(0) == []
    assert machine.list_changes(7) is None
