"""Measures the growth of CPU time, memory and sizes, for ``docs/CAPACITY.md``."""

import asyncio
import gc
import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from bench.measurements import Slope, fit_slope
from tarragonway.claims import ClaimCall, ClaimStore
from tarragonway.consensus import (
    Member,
    Membership,
    Parameters,
    RaftLog,
    Replica,
    Snapshot,
)
from tarragonway.consensus.messages import Packet, VoteReply
from tarragonway.core.counters import Counters
from tarragonway.core.ids import OwnerEpoch, ProcessName
from tarragonway.endpoints import Endpoint, ObserveEndpoints
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.entry.streams import format_events
from tarragonway.lists.store import ApplyLists
from tarragonway.requests.live import LiveRequest
from tarragonway.requests.messages import CopyProgress, ProgressPart
from tarragonway.requests.model import RequestRecord
from tarragonway.rollouts import Rollout, RolloutOrder, RolloutOrders, RolloutShare
from tarragonway.rollouts.send_counts import SendResult
from tarragonway.rollouts.traffic import RolloutTraffic, RoutedRequest
from tarragonway.state import StateMachine
from tarragonway.state.machine import encode_command
from tarragonway.transport import Mailbox

CLUSTER_KEY = b"k" * 32


def _measure_cpu_us(work: Callable[[], object]) -> float:
    """Return the CPU time of ``work`` in microseconds, the lowest of three runs."""
    times = []
    for _ in range(3):
        gc.collect()
        started = time.process_time()
        work()
        times.append((time.process_time() - started) * 1e6)
    return min(times)


def _measure_memory_bytes(make: Callable[[], object]) -> float:
    """Return the memory that the result of ``make`` occupies, in bytes."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def _scale_sizes(quick: bool, *sizes: int) -> list[int]:
    return [size // 4 for size in sizes] if quick else list(sizes)


def make_endpoint(number: int) -> Endpoint:
    """Return an endpoint whose fields have typical lengths."""
    return Endpoint(
        f"radgjafi-{number:04d}",  # type: ignore[arg-type]
        "radgjafi",  # type: ignore[arg-type]
        f"zone-{number % 5}",  # type: ignore[arg-type]
        f"http://10.0.{number % 250}.{number // 250}:8000",
        "gpu-8",
        3.2,
    )


def measure_state(seed: int, quick: bool) -> list[Slope]:
    """Measure memory and snapshot time by claims, memory and view size by endpoints."""
    slopes = []
    sizes = _scale_sizes(quick, 4000, 8000, 16000)
    memory = [_measure_memory_bytes(lambda n=n: _make_claim_store(n)) for n in sizes]  # type: ignore[misc]
    slopes.append(
        fit_slope("state", "memory a claim", "B", sizes, memory),
    )
    stores = [_make_claim_store(n) for n in sizes]
    snapshots = [_measure_cpu_us(lambda s=s: msgspec.msgpack.encode(s)) for s in stores]  # type: ignore[misc]
    slopes.append(fit_slope("state", "snapshot time a claim", "us", sizes, snapshots))
    counts = [165, 330, 660]
    machines = [_make_state_machine(n) for n in counts]
    byte_counts = [
        _measure_memory_bytes(lambda n=n: _make_state_machine(n))  # type: ignore[misc]
        for n in counts
    ]
    slopes.append(fit_slope("state", "memory an endpoint", "B", counts, byte_counts))
    views = [len(msgspec.msgpack.encode(m.make_view())) for m in machines]
    slopes.append(
        fit_slope("state", "bytes of a whole view an endpoint", "B", counts, views)
    )
    return slopes


def _make_claim_store(count: int) -> ClaimStore:
    store = ClaimStore()
    for number in range(count):
        call = ClaimCall(
            "parish",  # type: ignore[arg-type]
            f"key-{number:012d}",  # type: ignore[arg-type]
            f"{number:032x}",  # type: ignore[arg-type]
            f"{number:024x}",  # type: ignore[arg-type]
            "entry-1",  # type: ignore[arg-type]
            "0011223344556677",  # type: ignore[arg-type]
            40_000,
        )
        store.claim(call, 0)
    return store


def _make_state_machine(count: int) -> StateMachine:
    machine = StateMachine()
    rows = tuple(make_endpoint(n) for n in range(count))
    machine.apply(ObserveEndpoints(rows), 0)
    return machine


def measure_log(seed: int, quick: bool) -> list[Slope]:
    """Measure the leader's CPU time for commands and heartbeats, by group size.

    Raises
    ------
    RuntimeError
        If the leader does not commit all commands.
    """
    slopes = []
    counts = _scale_sizes(quick, 1000, 2000, 4000)
    for size in (3, 5, 9):
        times = [
            _measure_cpu_us(lambda n=n, s=size: _replicate_commands(s, n))  # type: ignore[misc]
            for n in counts
        ]
        title = f"leader's time a command, {size} replicas"
        slopes.append(fit_slope("log", title, "us", counts, times))
    sizes = [3.0, 5.0, 9.0]
    heartbeat_times = [
        _measure_cpu_us(lambda s=s: _exchange_heartbeats(int(s), 2000)) / 2000  # type: ignore[misc]
        for s in sizes
    ]
    slopes.append(
        fit_slope(
            "log", "leader's time a heartbeat a replica", "us", sizes, heartbeat_times
        )
    )
    return slopes


def _make_leader(size: int) -> Replica:
    members = tuple(Member(f"c{n}.a", f"c{n}") for n in range(size))  # type: ignore[arg-type]
    first = Snapshot(0, 0, Membership(members, ()))
    replica = Replica(
        members[0].id, Parameters(), random.Random(1), None, first, RaftLog()
    )
    while not replica.take_output().messages:
        replica.tick()
    for pre in (True, False):
        for member in members[1:]:
            replica.handle_message(member.id, VoteReply(1, True, pre))
    replica.take_output()
    return replica


def _replicate_commands(size: int, count: int) -> None:
    from tarragonway.consensus.messages import AppendReply

    leader = _make_leader(size)
    peers = [m.id for m in leader.membership.voters][1:]
    machine = StateMachine()
    for number in range(count):
        change = ApplyLists(f"c{number}", number, "", "", "ada")  # type: ignore[arg-type]
        leader.propose(encode_command(change, number))
        output = leader.take_output()
        for _, message in output.messages:
            packet = Packet("x", "a", "b", message)  # type: ignore[arg-type]
            msgspec.msgpack.encode(packet)
        last = leader.last_index
        for peer in peers:
            leader.handle_message(
                peer, AppendReply(leader.term, True, last, last - 1, 1)
            )
        for entry in leader.take_output().committed:
            if entry.payload:
                machine.apply_payload(entry.payload)
    if machine.content.lists.revision != count:
        raise RuntimeError(
            f"list revision is {machine.content.lists.revision} after {count} commands"
        )


def _exchange_heartbeats(size: int, count: int) -> None:
    from tarragonway.consensus.messages import AppendReply

    leader = _make_leader(size)
    peers = [m.id for m in leader.membership.voters][1:]
    for number in range(count):
        leader.tick()
        leader.tick()
        for _, message in leader.take_output().messages:
            msgspec.msgpack.encode(Packet("x", "a", "b", message))  # type: ignore[arg-type]
        last = leader.last_index
        for peer in peers:
            reply = AppendReply(leader.term, True, last, last, number)
            leader.handle_message(peer, reply)


def measure_messages(seed: int, quick: bool) -> list[Slope]:
    """Measure the CPU time of sender and receiver for a message, by its size."""
    count = 2000 if quick else 8000
    sizes = [50, 200, 800, 3200]
    costs = [asyncio.run(_measure_message_us(size, count)) for size in sizes]
    slope = fit_slope("messages", "both ends' time a byte", "us", sizes, costs)
    return [slope]


async def _measure_message_us(size: int, count: int) -> float:
    a, b = ProcessName("a"), ProcessName("b")
    peers = {a: "127.0.0.1:9871", b: "127.0.0.1:9872"}
    done = asyncio.Event()
    received = 0

    def receive(_: object) -> None:
        nonlocal received
        received += 1
        if received == count:
            done.set()

    sender = Mailbox(a, peers[a], peers, CLUSTER_KEY, str, Counters())
    receiver = Mailbox(b, peers[b], peers, CLUSTER_KEY, str, Counters())
    sender.open(receive)
    receiver.open(receive)
    body = "x" * size
    while not sender.send(b, body) or received == 0:
        await asyncio.sleep(0.01)
    received = 0
    started = time.process_time()
    for _ in range(count):
        while not sender.send(b, body):
            await asyncio.sleep(0.001)
    await asyncio.wait_for(done.wait(), 30)
    cost = (time.process_time() - started) * 1e6 / count
    sender.close()
    receiver.close()
    return cost


def measure_tokens(seed: int, quick: bool) -> list[Slope]:
    """Measure the CPU time and the copied bytes for each generated token."""
    counts = _scale_sizes(quick, 4000, 8000, 16000)
    times = [_measure_cpu_us(lambda n=n: _relay_tokens(n)) for n in counts]  # type: ignore[misc]
    parts = [1, 8, 64]
    byte_counts = [len(msgspec.msgpack.encode(_make_progress(n))) for n in parts]
    return [
        fit_slope("tokens", "event time a token", "us", counts, times),
        fit_slope("tokens", "copied bytes a token", "B", parts, byte_counts),
    ]


def measure_rollouts(seed: int, quick: bool) -> list[Slope]:
    """Measure the time that a rollout adds to the choice of an endpoint.

    Half of the endpoints have the new version, and a fourth of those takes its share.
    """
    sizes = [15, 30, 60]
    count = 1000 if quick else 5000
    slopes = []
    for share in (0.0, 0.1, 1.0):
        costs = [
            _measure_cpu_us(lambda n=n, s=share: _route_requests(n, s, count)) / count  # type: ignore[misc]
            for n in sizes
        ]
        title = f"time a request, share {share:g}, an endpoint"
        slopes.append(fit_slope("rollouts", title, "us", sizes, costs))
    return slopes


def _route_requests(endpoints: int, share: float, count: int) -> None:
    rows = [
        ListedEndpoint(
            f"e{n}@1",
            f"e{n}",
            "radgjafi",  # type: ignore[arg-type]
            f"10.0.0.{n}:8000",  # type: ignore[arg-type]
            "a",  # type: ignore[arg-type]
            12,
            False,
            version=f"v{1 + n % 2}",  # type: ignore[arg-type]
        )
        for n in range(endpoints)
    ]
    traffic = RolloutTraffic(source=random.Random(1))
    order = RolloutOrder("radgjafi", "v2", 60.0)  # type: ignore[arg-type]
    traffic.set_orders(RolloutOrders(1, (Rollout(1, order, 0.0),)), 0.0, 0.0)
    traffic.set_shares([RolloutShare(1, share, 0.25)], 0.0)
    for _ in range(count):
        request = RoutedRequest(order.service, "chat", set())
        allowed = traffic.list_allowed(rows, request, None, 0.1)
        send = traffic.start_send(allowed[0], "chat")
        traffic.record_sent(send)
        traffic.end_send(send, SendResult.ANSWERED, 100.0, True)


def _make_record() -> RequestRecord:
    return RequestRecord(
        "0123456789abcdef_entry-1_entry-2_entry-3",  # type: ignore[arg-type]
        "a",  # type: ignore[arg-type]
        "radgjafi",  # type: ignore[arg-type]
        "f",  # type: ignore[arg-type]
        5,
        b"{}",
        "entry-1",  # type: ignore[arg-type]
        OwnerEpoch(1),
    )


def _make_progress(count: int) -> CopyProgress:
    part = ProgressPart(_make_record().id, OwnerEpoch(1), 1000, ("token ",) * count)
    return CopyProgress((part,))


def _relay_tokens(count: int) -> None:
    live = LiveRequest(_make_record(), copied=False)
    for position in range(count):
        live.add_token(position, "token ")
        format_events(live.record, position, live.tokens[position : position + 1])
