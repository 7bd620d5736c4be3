"""Prefill attempts that end without their engine's word: what they may yet leave is owed until that engine answers.

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
from stonetrack.soak.latitude import KINDEST, Latitude, Sentence
from stonetrack.soak.platform import Trouble
from tests.harness import Client, wait_for
from tests.platform import headers, node, platform

WITHIN = 100 * MS  # so that a test of several releases lasts for less than a second


@dataclass
class Script:
    """What the engines say, and what they were told."""

    there: bool = True  # the engine that is owed something answers
    needed: bool = False
    asked: list[str] = field(default_factory=list)  # requests whose engine was asked
    released: list[str] = field(default_factory=list)  # requests released at any engine

    def ask(self, engine: Engine, request: str) -> ReleaseResult:
        self.asked.append(request)
        return ReleaseResult.DONE if self.there else ReleaseResult.UNREACHABLE

    def release(self, item: PendingRelease) -> ReleaseResult:
        self.released.append(item.request_id)
        return ReleaseResult.DONE


@pytest.fixture
def script() -> Script:
    return Script()


@pytest.fixture
def book(script: Script) -> Iterator[AbandonedPrefills]:
    made = AbandonedPrefills(
        time.monotonic_ns, WITHIN, script.release, script.ask, lambda request: script.needed, 2, print, max_attempts=4
    )
    made.start()
    yield made
    made.stop()


@pytest.fixture
def pairs() -> Iterator[list[tuple[socket.socket, socket.socket]]]:
    made = [socket.socketpair() for _ in range(4)]
    yield made
    for pair in made:
        for sock in pair:
            sock.close()


def engine(name: str = "r0") -> Engine:
    return Engine(name, "127.0.0.1", 1, Role.PREFILL, True)


Pairs = list[tuple[socket.socket, socket.socket]]


def test_a_broken_connection_is_owed_releases_of_which_its_engine_answers_one(
    book: AbandonedPrefills, script: Script
) -> None:
    book.add("q", engine(), None)
    assert wait_for(lambda: not len(book), 2.0)
    assert script.asked == ["q"] and script.released == ["q"] * UNCONFIRMED_RELEASES
    assert book.counts.paid == book.counts.given_up == 1


def test_what_comes_on_the_connection_is_followed_by_a_release_at_once(
    book: AbandonedPrefills, script: Script, pairs: Pairs
) -> None:
    for said in (b"HTTP/1.1 202 Accepted\r\n\r\n", b""):
        ours, theirs = pairs.pop()
        book.add("q", engine(), ours)
        assert wait_for(lambda: len(script.asked) == 1 and len(script.released) == UNCONFIRMED_RELEASES, 2.0)
        time.sleep(2.5 * WITHIN / 1e9)
        assert len(book) == 1 and len(script.released) == UNCONFIRMED_RELEASES, (
            "its engine has answered, its connection is silent"
        )
        before = time.monotonic()
        theirs.sendall(said) if said else theirs.close()
        assert wait_for(lambda: len(script.asked) == 2, 1.0) and time.monotonic() - before < 0.1
        assert wait_for(lambda: not len(book), 1.0) and ours.fileno() == -1
        assert len(script.released) == UNCONFIRMED_RELEASES + CONFIRMED_RELEASES - 1
        script.asked.clear()
        script.released.clear()


def test_an_engine_that_is_away_is_owed_a_release_until_it_answers_one(book: AbandonedPrefills, script: Script) -> None:
    script.there = False
    book.add("q", engine(), None)
    assert wait_for(lambda: len(script.released) == UNCONFIRMED_RELEASES and len(script.asked) > 3, 2.0)
    time.sleep(0.3)
    assert len(book) == 1 and script.released == ["q"] * UNCONFIRMED_RELEASES, "another engine's answers prove nothing"
    script.there, tries = True, len(script.asked)
    assert wait_for(lambda: not len(book), 2.0)
    assert len(script.asked) == tries + 1 and len(script.released) == UNCONFIRMED_RELEASES + CONFIRMED_RELEASES


def test_an_engine_that_was_away_is_asked_at_once_when_it_says_something(
    book: AbandonedPrefills, script: Script, pairs: Pairs
) -> None:
    """Its next try would come after two seconds only: for a state that is there, too late."""
    script.there = False
    ours, theirs = pairs.pop()
    book.add("q", engine(), ours)
    assert wait_for(lambda: len(script.asked) >= 7, 5.0)  # pauses have doubled to over half a second
    script.there = True
    script.asked.clear()
    before = time.monotonic()
    theirs.close()
    assert wait_for(lambda: script.asked == ["q"] * 2, 1.0) and time.monotonic() - before < 0.15
    assert wait_for(lambda: not len(book), 2.0)


def test_nothing_is_released_under_an_attempt_that_needs_it_unless_a_state_is_known_to_be_there(
    book: AbandonedPrefills, script: Script, pairs: Pairs
) -> None:
    script.needed = True
    ours, theirs = pairs.pop()
    book.add("q", engine(), ours)
    book.add("p", engine(), None)
    time.sleep(3 * WITHIN / 1e9)
    assert not script.asked and not script.released
    theirs.sendall(b"HTTP/1.1 202 Accepted\r\n\r\n")
    began = time.monotonic()
    assert wait_for(lambda: script.asked == ["q"], 1.0)
    assert 0.06 < time.monotonic() - began < 0.2, "it waited for the other attempt, and no longer than it may"
    script.needed = False
    assert wait_for(lambda: not len(book), 2.0) and set(script.asked) == {"q", "p"}


def test_debts_and_connections_are_bounded_and_what_is_dropped_is_counted(
    book: AbandonedPrefills, script: Script, pairs: Pairs
) -> None:
    script.needed = True
    for n, (ours, _) in enumerate(pairs):
        book.add(f"q{n}", engine(), ours)
    assert book.watched_connections == 2 and book.counts.connections_dropped == 2 and len(book) == 4
    assert [ours.fileno() == -1 for ours, _ in pairs] == [True, True, False, False]
    book.add("q4", engine(), None)
    book.add("q5", engine(), None)
    assert len(book) == 4 and book.counts.dropped == 2
    book.stop()
    assert not len(book) and pairs[3][0].fileno() == -1


def test_releases_of_many_engines_that_come_back_take_no_thread_of_others(
    book: AbandonedPrefills, script: Script
) -> None:
    entered, go_on = threading.Semaphore(0), threading.Event()

    def stuck(item: PendingRelease) -> ReleaseResult:
        entered.release()
        go_on.wait(5.0)
        return ReleaseResult.DONE

    script.release = stuck  # type: ignore[method-assign]
    book._release_any = stuck
    for n in range(4):
        book.add(f"q{n}", engine(f"r{n}"), None)
    assert entered.acquire(timeout=2.0)
    threads = [each.name for each in threading.enumerate() if each.name.startswith("releases-")]
    go_on.set()
    assert len(threads) == 4, "they have threads of their own, and few"
    assert wait_for(lambda: not len(book), 3.0)


def ledger(*steps: tuple[int, Step, int, bool, Outcome | None]) -> Ledger:
    made = Ledger("q", Effect.SAFE, 10_000 * MS, 500 * MS)
    for at, step, attempt, is_prefill, outcome in steps:
        made.note(Transition(at * MS, step, "e", attempt, outcome, is_prefill=is_prefill))
    return made


SENT_READ = (1, Step.SENT, 0, True, None)
READ = (100, Step.ENDED, 0, True, Outcome.READ)
SENT_WRITE = (101, Step.SENT, 1, False, None)


@pytest.mark.parametrize(("steps", "at", "needed"), [
    ((SENT_READ,), 9_000, True),  # a release would take what it reads
    ((SENT_READ, READ), 101, True),
    ((SENT_READ, READ, SENT_WRITE), 102, True),  # it may not have arrived yet
    ((SENT_READ, READ, SENT_WRITE), 101 + ARRIVING // MS, False),  # one that has arrived keeps it
    ((SENT_READ, READ, SENT_WRITE, (150, Step.FIRST_EVENT, 1, False, None)), 151, False),
    ((SENT_READ, (50, Step.CLIENT_GONE, -1, False, None)), 51, False),
    ((SENT_READ, (50, Step.ENDED, 0, True, Outcome.RESET)), 51, True),  # the next attempt is about to begin
    ((SENT_READ, (50, Step.ENDED, 0, True, Outcome.RESET), (51, Step.ANSWERED, -1, False, None)), 52, False),
])  # fmt: skip
def test_when_a_release_would_take_what_a_request_needs(
    steps: tuple[tuple[int, Step, int, bool, Outcome | None], ...], at: int, needed: bool
) -> None:
    assert ledger(*steps).needs_state(at * MS) is needed


def test_a_leaving_node_waits_for_what_a_read_may_leave_as_long_as_the_page_gives() -> None:
    """Its engine comes back 2.7 s after TERM, finishes a read that was given up, and would hold its state for good."""
    with platform(2, 1) as world, node(world) as made:
        world.latitude = Latitude(0, {**KINDEST, Sentence.GIVEN_UP: True, Sentence.RELEASE_INTO_READ: False})
        for name in ("r0", "r1"):
            world.engines[name].trouble = Trouble.HANG_BEFORE
        client = Client(world.listen)
        client.send_request(b"{}", headers=headers("q"))
        assert wait_for(lambda: any(what == "read" for what, _ in world.which("q")))
        client.close()
        assert wait_for(lambda: len(made.abandoned) == 1)
        began = time.monotonic()
        leaving = threading.Thread(target=made.drain)
        leaving.start()
        time.sleep(2.7)
        for name in ("r0", "r1"):
            world.engines[name].trouble = None
        leaving.join(5.0)
        assert time.monotonic() - began < 3.0 + 0.7, "it is killed by then"
        assert not world.held
        with world.lock:
            assert [stay.engine in ("r0", "r1") for stay in world.books.stays] == [True], "the read left a state"
