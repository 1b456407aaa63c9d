"""Specification of election, commit and replacement of a member with a lost disk.

Members a, b and c form the group; c loses its disk and returns as d. It is removed
before d is added. Then d is lost again, at any moment, or b once d has been added.
Elections and appends are single steps over any quorum. This covers every order of their
messages that matters to safety, because a voter's answer depends on its durable state
alone. ``tarragonway.consensus`` and ``tarragonway.replication`` implement the protocol.
"""

import enum
import itertools
from typing import NamedTuple

from minicheck import Protocol

MAX_TERM = 4
MAX_LOG_LENGTH = 3
MEMBERS = ("a", "b", "c", "d")
INITIAL_VOTERS = frozenset("abc")
ENLARGED_VOTERS = frozenset("abcd")
REDUCED_VOTERS = frozenset("ab")
FINAL_VOTERS = frozenset("abd")

Log = tuple[tuple[int, str], ...]


class Mutant(enum.Enum):
    """Protocol errors, each of which the model checker must detect."""

    NONE = "none"
    VOTE_FORGOTTEN = "a wiped member keeps its identity and votes again"
    SWAP_AT_ONCE = "the new member replaces the old one in one step"
    ADDED_FIRST = "the new member is added before the old one is removed"
    STALE_LOG_WINS = "votes are given without comparing the logs"
    OLD_TERM_COUNTED = "an entry of an earlier term is committed by counting"


class State(NamedTuple):
    """State of the group; tuples have one item for each member of ``MEMBERS``.

    Attributes
    ----------
    terms : tuple of int
        Highest term that each member has stored.
    logs : tuple of Log
        Each member's log as pairs of term and kind of entry.
    present : tuple of bool
        Whether each member is running.
    leaders : tuple of int
        Leader of each term, -1 for none.
    committed : Log
        Committed entries.
    safe : bool
        False once a term has two leaders, a leader lacks a committed entry or a
        commit replaces a committed entry.
    losses : int
        Number of losses of a disk or a member.
    """

    terms: tuple[int, ...] = (0, 0, 0, 0)
    logs: tuple[Log, ...] = ((), (), (), ())
    present: tuple[bool, ...] = (True, True, True, False)
    leaders: tuple[int, ...] = (-1,) * (MAX_TERM + 1)
    committed: Log = ()
    safe: bool = True
    losses: int = 0


def make_protocol(mutant: Mutant = Mutant.NONE) -> Protocol:
    """Return the specification, altered by the protocol error ``mutant``."""

    def list_transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = _list_failures(state, mutant)
        for member in range(len(MEMBERS)):
            if state.present[member]:
                steps += _list_elections(state, member, mutant)
                steps += _list_leader_steps(state, member, mutant)
        return [(name, tuple(after)) for name, after in steps]

    return Protocol(
        name="agreement",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=list_transitions,
        invariants={
            "one_history": lambda s: s["safe"],
            "quorum_remains": lambda s: has_quorum(s["present"], s["logs"]),
        },
    )


def get_voters(log: Log) -> frozenset[str]:
    """Return the voters according to the latest membership change in a log."""
    match [kind for _, kind in log if kind != "noop"]:
        case []:
            return INITIAL_VOTERS
        case ["remove"]:
            return REDUCED_VOTERS
        case ["add"]:
            return ENLARGED_VOTERS
        case _:
            return FINAL_VOTERS


def has_quorum(present: tuple[bool, ...], logs: tuple[Log, ...]) -> bool:
    """Return whether the members that are not lost can elect one of themselves.

    Machine c counts as lost, also while it is back as d, until b is: it may be lost
    again at any moment. The most up-to-date of the others wins an election, so it needs
    a quorum of the voters according to its log.
    """
    kept = {"a", "b"} if present[1] else {"a", "d"}
    best = max(_get_last_position(logs[MEMBERS.index(name)]) for name in kept)
    configs = [
        get_voters(log)
        for name, log in zip(MEMBERS, logs, strict=True)
        if name in kept and _get_last_position(log) == best
    ]
    return all(len(config & kept) > len(config) // 2 for config in configs)


def _list_failures(state: State, mutant: Mutant) -> list[tuple[str, State]]:
    steps = []
    if state.losses == 0 and state.present[2]:
        if mutant is Mutant.VOTE_FORGOTTEN:
            wiped = _update_member(state, 2, term=0, log=())
            steps.append(("c is wiped", wiped._replace(losses=1)))
        else:
            present = (*state.present[:2], False, True)
            steps.append(("c returns as d", state._replace(present=present, losses=1)))
    if state.losses == 1 and state.present[3]:
        present = (*state.present[:3], False)
        steps.append(("d is lost again", state._replace(present=present, losses=2)))
    if state.losses == 1 and get_voters(state.committed) == FINAL_VOTERS:
        present = (state.present[0], False, *state.present[2:])
        steps.append(("b is lost", state._replace(present=present, losses=2)))
    return steps


def _list_elections(
    state: State, member: int, mutant: Mutant
) -> list[tuple[str, State]]:
    steps: list[tuple[str, State]] = []
    config = get_voters(state.logs[member])
    if MEMBERS[member] not in config:
        return steps
    for term in range(state.terms[member] + 1, MAX_TERM + 1):
        eligible = [
            i
            for i, name in enumerate(MEMBERS)
            if name in config
            and state.present[i]
            and (i == member or _grants_vote(state, i, member, term, mutant))
        ]
        for voters in itertools.combinations(eligible, len(config) // 2 + 1):
            if member in voters:
                after = _elect(state, member, term, voters)
                steps.append((f"elect {MEMBERS[member]} in {term}", after))
    return steps


def _grants_vote(
    state: State, voter: int, candidate: int, term: int, mutant: Mutant
) -> bool:
    if state.terms[voter] >= term:
        return False
    if mutant is Mutant.STALE_LOG_WINS:
        return True
    return _get_last_position(state.logs[candidate]) >= _get_last_position(
        state.logs[voter]
    )


def _get_last_position(log: Log) -> tuple[int, int]:
    return (log[-1][0] if log else 0, len(log))


def _elect(state: State, member: int, term: int, voters: tuple[int, ...]) -> State:
    terms = tuple(term if i in voters else old for i, old in enumerate(state.terms))
    safe = state.safe and state.leaders[term] in (-1, member)
    log = state.logs[member]
    # Leader completeness: a leader's log starts with all committed entries.
    safe = safe and log[: len(state.committed)] == state.committed
    leaders = tuple(member if t == term else old for t, old in enumerate(state.leaders))
    after = state._replace(terms=terms, leaders=leaders, safe=safe)
    if len(log) < MAX_LOG_LENGTH:
        after = _update_member(after, member, log=(*log, (term, "noop")))
    return after


def _list_leader_steps(
    state: State, member: int, mutant: Mutant
) -> list[tuple[str, State]]:
    term = state.terms[member]
    if not term or state.leaders[term] != member:
        return []
    log = state.logs[member]
    steps = []
    for other, name in enumerate(MEMBERS):
        if other == member or not state.present[other] or state.terms[other] > term:
            continue
        for count in range(1, len(log) + 1):
            if state.logs[other][:count] != log[:count]:
                copied = _update_member(state, other, term=term, log=log[:count])
                steps.append((f"{MEMBERS[member]} appends {count} to {name}", copied))
    steps += _list_commits(state, member, mutant)
    own_commits = [kind for t, kind in state.committed if t == term]
    change = _select_change(state, log, mutant)
    if change and own_commits and len(log) < MAX_LOG_LENGTH and log == state.committed:
        extended = _update_member(state, member, log=(*log, (term, change)))
        steps.append((f"{MEMBERS[member]} proposes {change}", extended))
    return steps


def _list_commits(state: State, member: int, mutant: Mutant) -> list[tuple[str, State]]:
    log = state.logs[member]
    config = get_voters(log)
    for count in range(len(log), len(state.committed), -1):
        holders = [
            name
            for i, name in enumerate(MEMBERS)
            if name in config
            and state.present[i]
            and state.logs[i][:count] == log[:count]
        ]
        current = log[count - 1][0] == state.terms[member]
        counted = current or mutant is Mutant.OLD_TERM_COUNTED
        if counted and len(holders) >= len(config) // 2 + 1:
            same = log[: len(state.committed)] == state.committed
            after = state._replace(committed=log[:count], safe=state.safe and same)
            return [(f"{MEMBERS[member]} commits {count}", after)]
    return []


def _select_change(state: State, log: Log, mutant: Mutant) -> str:
    kinds = {kind for _, kind in log}
    if not state.present[3]:
        return ""
    if mutant is Mutant.SWAP_AT_ONCE:
        return "" if "swap" in kinds else "swap"
    order = ("add", "remove") if mutant is Mutant.ADDED_FIRST else ("remove", "add")
    return next((kind for kind in order if kind not in kinds), "")


def _update_member(
    state: State, member: int, term: int | None = None, log: Log | None = None
) -> State:
    if term is not None:
        terms = tuple(term if i == member else t for i, t in enumerate(state.terms))
        state = state._replace(terms=terms)
    if log is not None:
        logs = tuple(log if i == member else old for i, old in enumerate(state.logs))
        state = state._replace(logs=logs)
    return state
