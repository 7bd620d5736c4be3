"""Prefill attempts that end without their engine's answer: what they may leave is owed until that engine answers.

The engines here are scripted; tests with real sockets and processes are in test_closing, test_edge_serving, test_soak.
"""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from stonetrack.api import Effect, Outcome, Role
from stonetrack.edge.abandoned import CONFIRMED_RELEASES, UNCONFIRMED_RELEASES, AbandonedPrefills
from stonetrack.edge.engine_table import Engine
from stonetrack.engines.release_queue import PendingRelease, ReleaseResult
from stonetrack.node.invariants import ARRIVING, MS, Ledger
from stonetrack.node.transitions import Step, Transition
from stonetrack.soak.platform import EngineFault
from stonetrack.soak.unspecified import MOST_HELPFUL, EngineBehaviour, Unspecified
from tests.harness import Client, wait_for
from tests.platform import headers, node, platform

RELEASE_WITHIN = 100 * MS  # short, so that a test of several releases takes less than a second


@dataclass
class Script:
    """How the engines answer, and what they were sent."""

    reachable: bool = True  # whether the engine that is owed a release answers
    needed: bool = False  # whether the request still needs its state
    released_at_engine: list[str] = field(default_factory=list)  # requests released at the engine of the attempt
    released: list[str] = field(default_factory=list)  # requests released at any engine

    def release_at(self, engine: Engine, request: str) -> ReleaseResult:
        self.released_at_engine.append(request)
        return ReleaseResult.DONE if self.reachable else ReleaseResult.UNREACHABLE

    def release(self, item: PendingRelease) -> ReleaseResult:
        self.released.append(item.request_id)
        return ReleaseResult.DONE


@pytest.fixture
def script() -> Script:
    return Script()


@pytest.fixture
def abandoned(script: Script) -> Iterator[AbandonedPrefills]:
    created = AbandonedPrefills(
        time.monotonic_ns,
        RELEASE_WITHIN,
        script.release,
        script.release_at,
        lambda request: script.needed,
        2,
        print,
        max_attempts=4,
    )
    created.start()
    yield created
    created.stop()


@pytest.fixture
def pairs() -> Iterator[list[tuple[socket.socket, socket.socket]]]:
    created = [socket.socketpair() for _ in range(4)]
    yield created
    for pair in created:
        for sock in pair:
            sock.close()


def engine(name: str = "r0") -> Engine:
    return Engine(name, "127.0.0.1", 1, Role.PREFILL, True)


Pairs = list[tuple[socket.socket, socket.socket]]


def test_a_broken_connection_is_followed_by_releases_of_which_its_engine_answers_one(
    abandoned: AbandonedPrefills, script: Script
) -> None:
    abandoned.add("q", engine(), None)
    assert wait_for(lambda: not len(abandoned), 2.0)
    assert script.released_at_engine == ["q"] and script.released == ["q"] * UNCONFIRMED_RELEASES
    assert abandoned.counts.paid == abandoned.counts.given_up == 1


def test_an_answer_or_end_on_the_connection_is_followed_by_a_release_at_once(
    abandoned: AbandonedPrefills, script: Script, pairs: Pairs
) -> None:
    for answer in (b"HTTP/1.1 202 Accepted\r\n\r\n", b""):
        ours, theirs = pairs.pop()
        abandoned.add("q", engine(), ours)
        assert wait_for(
            lambda: len(script.released_at_engine) == 1 and len(script.released) == UNCONFIRMED_RELEASES, 2.0
        )
        time.sleep(2.5 * RELEASE_WITHIN / 1e9)
        assert len(abandoned) == 1 and len(script.released) == UNCONFIRMED_RELEASES, (
            "its engine has answered, and its connection is silent"
        )
        before = time.monotonic()
        theirs.sendall(answer) if answer else theirs.close()
        assert wait_for(lambda: len(script.released_at_engine) == 2, 1.0) and time.monotonic() - before < 0.1
        assert wait_for(lambda: not len(abandoned), 1.0) and ours.fileno() == -1
        assert len(script.released) == UNCONFIRMED_RELEASES + CONFIRMED_RELEASES - 1
        script.released_at_engine.clear()
        script.released.clear()


def test_an_unreachable_engine_is_owed_a_release_until_it_answers_one(
    abandoned: AbandonedPrefills, script: Script
) -> None:
    script.reachable = False
    abandoned.add("q", engine(), None)
    assert wait_for(lambda: len(script.released) == UNCONFIRMED_RELEASES and len(script.released_at_engine) > 3, 2.0)
    time.sleep(0.3)
    assert len(abandoned) == 1 and script.released == ["q"] * UNCONFIRMED_RELEASES, (
        "another engine's answers prove nothing"
    )
    script.reachable, tries = True, len(script.released_at_engine)
    assert wait_for(lambda: not len(abandoned), 2.0)
    assert (
        len(script.released_at_engine) == tries + 1
        and len(script.released) == UNCONFIRMED_RELEASES + CONFIRMED_RELEASES
    )


def test_an_unreachable_engine_is_sent_a_release_at_once_when_it_closes_its_connection(
    abandoned: AbandonedPrefills, script: Script, pairs: Pairs
) -> None:
    """The next retry would follow after two seconds, which is too late for state that is held there."""
    script.reachable = False
    ours, theirs = pairs.pop()
    abandoned.add("q", engine(), ours)
    assert wait_for(lambda: len(script.released_at_engine) >= 7, 5.0)  # pauses have doubled to over half a second
    script.reachable = True
    script.released_at_engine.clear()
    before = time.monotonic()
    theirs.close()
    assert wait_for(lambda: script.released_at_engine == ["q"] * 2, 1.0) and time.monotonic() - before < 0.15
    assert wait_for(lambda: not len(abandoned), 2.0)


def test_nothing_that_an_attempt_needs_is_released_unless_state_is_known_to_be_held(
    abandoned: AbandonedPrefills, script: Script, pairs: Pairs
) -> None:
    script.needed = True
    ours, theirs = pairs.pop()
    abandoned.add("q", engine(), ours)
    abandoned.add("p", engine(), None)
    time.sleep(3 * RELEASE_WITHIN / 1e9)
    assert not script.released_at_engine and not script.released
    theirs.sendall(b"HTTP/1.1 202 Accepted\r\n\r\n")
    began = time.monotonic()
    assert wait_for(lambda: script.released_at_engine == ["q"], 1.0)
    assert 0.06 < time.monotonic() - began < 0.2, "it did not wait for the other attempt, or for too long"
    script.needed = False
    assert wait_for(lambda: not len(abandoned), 2.0) and set(script.released_at_engine) == {"q", "p"}


def test_abandoned_attempts_and_connections_are_bounded_and_drops_are_counted(
    abandoned: AbandonedPrefills, script: Script, pairs: Pairs
) -> None:
    script.needed = True
    for n, (ours, _) in enumerate(pairs):
        abandoned.add(f"q{n}", engine(), ours)
    assert abandoned.watched_connections == 2 and abandoned.counts.connections_dropped == 2 and len(abandoned) == 4
    assert [ours.fileno() == -1 for ours, _ in pairs] == [True, True, False, False]
    abandoned.add("q4", engine(), None)
    abandoned.add("q5", engine(), None)
    assert len(abandoned) == 4 and abandoned.counts.dropped == 2
    abandoned.stop()
    assert not len(abandoned) and pairs[3][0].fileno() == -1


def test_releases_for_many_recovered_engines_use_threads_of_their_own(
    abandoned: AbandonedPrefills, script: Script
) -> None:
    entered, proceed = threading.Semaphore(0), threading.Event()

    def stuck(item: PendingRelease) -> ReleaseResult:
        entered.release()
        proceed.wait(5.0)
        return ReleaseResult.DONE

    script.release = stuck  # type: ignore[method-assign]
    abandoned._release_any = stuck
    for n in range(4):
        abandoned.add(f"q{n}", engine(f"r{n}"), None)
    assert entered.acquire(timeout=2.0)
    threads = [each.name for each in threading.enumerate() if each.name.startswith("releases-")]
    proceed.set()
    assert len(threads) == 4, "the number of release threads is not bounded"
    assert wait_for(lambda: not len(abandoned), 3.0)


def ledger(*steps: tuple[int, Step, int, bool, Outcome | None]) -> Ledger:
    created = Ledger("q", Effect.SAFE, 10_000 * MS, 500 * MS)
    for at, step, attempt, is_prefill, outcome in steps:
        created.note(Transition(at * MS, step, "e", attempt, outcome, is_prefill=is_prefill))
    return created


PREFILL_SENT = (1, Step.SENT, 0, True, None)
PREFILL_ENDED = (100, Step.ENDED, 0, True, Outcome.READ)
DECODE_SENT = (101, Step.SENT, 1, False, None)


@pytest.mark.parametrize(("steps", "at", "needed"), [
    ((PREFILL_SENT,), 9_000, True),  # a release would take what the prefill is working on
    ((PREFILL_SENT, PREFILL_ENDED), 101, True),
    ((PREFILL_SENT, PREFILL_ENDED, DECODE_SENT), 102, True),  # the decode attempt may not have arrived yet
    ((PREFILL_SENT, PREFILL_ENDED, DECODE_SENT), 101 + ARRIVING // MS, False),  # one that has arrived keeps its state
    ((PREFILL_SENT, PREFILL_ENDED, DECODE_SENT, (150, Step.FIRST_EVENT, 1, False, None)), 151, False),
    ((PREFILL_SENT, (50, Step.CLIENT_GONE, -1, False, None)), 51, False),
    ((PREFILL_SENT, (50, Step.ENDED, 0, True, Outcome.RESET)), 51, True),  # the next attempt is about to begin
    ((PREFILL_SENT, (50, Step.ENDED, 0, True, Outcome.RESET), (51, Step.ANSWERED, -1, False, None)), 52, False),
])  # fmt: skip
def test_when_a_release_would_take_what_a_request_needs(
    steps: tuple[tuple[int, Step, int, bool, Outcome | None], ...], at: int, needed: bool
) -> None:
    assert ledger(*steps).needs_state(at * MS) is needed


def test_a_stopping_node_waits_for_abandoned_prefills_as_long_as_the_page_allows() -> None:
    """The engine recovers 2.7 s after TERM, finishes an abandoned prefill, and would hold its state for good."""
    with platform(2, 1) as emulated, node(emulated) as edge_node:
        emulated.behaviour = EngineBehaviour(
            0, {**MOST_HELPFUL, Unspecified.GIVEN_UP: True, Unspecified.RELEASE_INTO_READ: False}
        )
        for name in ("r0", "r1"):
            emulated.engines[name].fault = EngineFault.HANG_BEFORE
        client = Client(emulated.listen)
        client.send_request(b"{}", headers=headers("q"))
        assert wait_for(lambda: any(what == "read" for what, _ in emulated.calls_for("q")))
        client.close()
        assert wait_for(lambda: len(edge_node.abandoned) == 1)
        began = time.monotonic()
        draining = threading.Thread(target=edge_node.drain)
        draining.start()
        time.sleep(2.7)
        for name in ("r0", "r1"):
            emulated.engines[name].fault = None
        draining.join(5.0)
        assert time.monotonic() - began < 3.0 + 0.7, "the node would have been killed by then"
        assert not emulated.held
        with emulated.lock:
            assert [held.engine in ("r0", "r1") for held in emulated.state_records.history] == [True], (
                "the prefill did not leave exactly one state"
            )
