"""Who owns the fleet's work: the lease, the fence, every history of a small world, registers and their histories."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stonetrack.cas_store.embedded import EmbeddedStore
from stonetrack.cas_store.etcd import EtcdStore
from stonetrack.cas_store.ports import NO_ENTRY, CasStore, Entry, StoreError, UnknownOutcome
from stonetrack.election.fencing import NO_TOKEN, Fence, FencingError, Token, parse_token
from stonetrack.election.lease import (
    UNKNOWN_REVISION,
    Lease,
    LeaseTimes,
    Outcome,
    ReadRecord,
    Record,
    Sleep,
    Stage,
    WriteRecord,
)
from stonetrack.election.model_checker import Bounds, Omitted, explore, sequence_diagram
from stonetrack.emulator.etcd import Gateway
from stonetrack.engines import calls
from stonetrack.fleet.linear import NEVER, Op, linearizable
from stonetrack.frontend.host import listen
from stonetrack.wire import writer

TERMS = LeaseTimes(lease=1_000, drift=0.05, margin=20)


def owner(at: int = 0) -> Lease:
    """A lease held by s0, asked for at a time."""
    lease = Lease("s0", TERMS)
    lease, _ = lease.step(at, 0.0)
    lease = lease.record_read(at, 0, None, 0.0)
    lease, action = lease.step(at, 0.0)
    assert isinstance(action, WriteRecord) and action.revision == 0 and action.record.term == 1
    return lease.write_finished(at + 300, Outcome.DONE, 7, 0.0)


# The lease.


def test_a_lease_counts_from_before_the_question() -> None:
    lease = owner(at=0)  # its answer came at 300
    assert lease.holds(TERMS.leader_span - 1) and not lease.holds(TERMS.leader_span) and TERMS.leader_span == 930
    lease, action = lease.step(TERMS.leader_span, 0.5)
    assert lease.stage is Stage.WATCHING and isinstance(action, ReadRecord) and lease.reason == "the lease ran out"


def test_a_candidate_waits_for_longer_than_any_owner_acts_whatever_their_clocks() -> None:
    slow, fast = 1.0 - TERMS.drift, 1.0 + TERMS.drift
    assert TERMS.leader_span / slow < TERMS.candidate_span / fast  # true time: its count began before the candidate's
    watching = Lease("s1", TERMS).record_read(100, 7, Record(1, "s0", "s0/0"), 0.0)
    watching, action = watching.step(101, 0.5)
    for now in range(101, 100 + TERMS.candidate_span, 50):
        watching, action = watching.step(now, 0.5)
        if isinstance(action, ReadRecord):
            watching = watching.record_read(now, 7, Record(1, "s0", "s0/0"), 0.5)
        assert not isinstance(action, WriteRecord)
    watching, action = watching.step(100 + TERMS.candidate_span, 0.5)
    if isinstance(action, ReadRecord):
        watching = watching.record_read(100 + TERMS.candidate_span, 7, Record(1, "s0", "s0/0"), 0.5)
        watching, action = watching.step(100 + 2 * TERMS.candidate_span, 0.5)
        watching = watching.record_read(100 + 2 * TERMS.candidate_span, 7, Record(1, "s0", "s0/0"), 0.5)
        _, action = watching.step(101 + 2 * TERMS.candidate_span, 0.5)
    assert isinstance(action, WriteRecord) and action.revision == 7 and action.record.term == 2


def test_a_candidate_that_is_told_of_beats_looks_only_once_they_cease() -> None:
    lease = Lease("s1", TERMS).record_read(0, 7, Record(1, "s0", "s0/0"), 0.0)
    looks = 0
    for beat in range(1, 50):
        now = beat * TERMS.renewal_interval
        lease = lease.record_notified(now, 7 + beat, Record(1, "s0", "s0/0", beat), 0.0)
        lease, action = lease.step(now + 1, 0.0)
        looks += isinstance(action, ReadRecord)
    assert looks == 0 and lease.beat_read_at == now
    assert lease.record_notified(now + 5, 7 + 49, Record(1, "s0", "s0/0", 49), 0.0) is lease  # the same again
    assert lease.record_notified(now + 5, 20, Record(1, "s0", "s0/0", 13), 0.0) is lease  # late: it was written over
    lease, action = lease.step(now + TERMS.candidate_span, 0.0)
    assert isinstance(action, ReadRecord)  # before it asks
    lease = lease.record_read(now + TERMS.candidate_span + 1, 7 + 49, lease.record, 0.0)
    assert isinstance(lease.step(now + TERMS.candidate_span + 2, 0.0)[1], WriteRecord)
    assert owner().record_notified(5, 99, Record(9, "s7", "s7/0"), 0.0) == owner()  # an owner goes by its own writes
    assert Lease("s1", TERMS).record_notified(5, 9, Record(1, "s0", "s0/0"), 0.0) == Lease(
        "s1", TERMS
    )  # before its first look


def test_a_renewal_moves_the_end_and_a_lost_answer_does_not() -> None:
    lease, action = owner().step(TERMS.renewal_interval, 0.0)
    assert isinstance(action, WriteRecord) and action.record.beats == 1
    good = lease.write_finished(TERMS.renewal_interval + 5, Outcome.DONE, 8, 0.0)
    assert good.held_until == TERMS.renewal_interval + TERMS.leader_span and good.holds(TERMS.leader_span)
    lost = lease.write_finished(TERMS.renewal_interval + 5, Outcome.UNKNOWN, 0, 0.0)
    assert lost.held_until == TERMS.leader_span and lost.revision == UNKNOWN_REVISION
    lost, action = lost.step(TERMS.renewal_interval + 6, 0.0)
    assert isinstance(action, ReadRecord)
    lost = lost.record_read(TERMS.renewal_interval + 8, 8, Record(1, "s0", "s0/0", 1), 0.0)
    assert lost.holds(TERMS.renewal_interval + 8) and lost.revision == 8


@pytest.mark.parametrize("done", [True, False])
def test_whether_a_write_without_an_answer_was_done_is_told_by_the_next_read(done: bool) -> None:
    lease = Lease("s0", TERMS).record_read(0, 0, None, 0.0)
    lease, _ = lease.step(0, 0.0)
    lease, action = lease.record_read(0, 0, None, 0.0).step(1, 0.0)
    assert isinstance(action, WriteRecord)
    lease = lease.write_finished(400, Outcome.UNKNOWN, 0, 0.0)
    assert lease.stage is Stage.UNCERTAIN and not lease.holds(401)
    lease, look = lease.step(402, 0.0)
    assert isinstance(look, ReadRecord)
    lease = lease.record_read(410, 5, action.record, 0.0) if done else lease.record_read(410, 0, None, 0.0)
    assert lease.holds(411) is done
    if done:
        assert lease.held_until == 1 + TERMS.leader_span  # from before the write, not from the read


def test_an_owner_that_is_overtaken_paused_or_asked_to_go_stops() -> None:
    lease = owner()
    assert not lease.record_read(500, 9, Record(2, "s1", "s1/0"), 0.0).holds(501)
    paused = lease.record_read(500, 9, Record(1, "s0", "s0/0", paused="work on the racks"), 0.0)
    paused, action = paused.step(501, 0.0)
    assert (
        isinstance(action, WriteRecord) and action.record.owner == "" and action.record.paused and not paused.holds(501)
    )
    asked = lease.record_read(500, 9, Record(1, "s0", "s0/0", wanted="s2"), 0.0)
    asked, action = asked.step(501, 0.0)
    assert isinstance(action, WriteRecord) and action.record.owner == "" and action.record.wanted == "s2"
    other = Lease("s1/x", TERMS).record_read(510, 10, action.record, 0.0)
    wanted = Lease("s2/y", TERMS).record_read(510, 10, action.record, 0.0)
    assert _asks_within(wanted, 510, TERMS.renewal_interval) and not _asks_within(other, 510, TERMS.candidate_span - 60)


def _asks_within(lease: Lease, since: int, span: int) -> bool:
    for now in range(since, since + span, 10):
        lease, action = lease.step(now, 0.5)
        if isinstance(action, WriteRecord):
            return True
        if isinstance(action, ReadRecord):
            lease = lease.record_read(now, lease.revision, lease.record, 0.5)
    return False


def test_a_term_that_goes_back_halts_until_a_person_raises_it() -> None:
    lease = owner()
    lease = lease.record_read(100, 9, Record(6, "s1", "s1/0"), 0.0).record_read(200, 3, Record(4, "s3", "s3/0"), 0.0)
    assert lease.stage is Stage.HALTED and "from term 6 to 4" in lease.reason
    assert not _asks_within(lease, 300, 5 * TERMS.candidate_span)
    lease = lease.record_read(10_000, 12, Record(7, ""), 0.0)
    assert lease.stage is Stage.WATCHING and _asks_within(lease, 10_000, 2 * TERMS.candidate_span)


def test_a_receiver_that_knows_a_later_term_halts_the_owner_too() -> None:
    lease = owner().fenced(100, 5)
    assert (
        lease.stage is Stage.HALTED and not lease.holds(101) and not _asks_within(lease, 101, 5 * TERMS.candidate_span)
    )


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 1 << 30), st.integers(2, 5), st.floats(0.0, 0.3))
def test_drawn_histories_never_have_two_holders(seed: int, candidates: int, trouble: float) -> None:
    """Clocks that drift and start anywhere, stops, lost answers, writes carried out late: one holder at most."""
    draw = random.Random(seed)
    rates = [1.0 + draw.uniform(-TERMS.drift, TERMS.drift) / 2 for _ in range(candidates)]
    starts = [draw.randrange(1_000_000) for _ in range(candidates)]
    leases = [Lease(f"s{n}", TERMS, draw.randrange(3)) for n in range(candidates)]
    stopped = [0] * candidates
    revision, record = 0, None
    late: list[tuple[int, WriteRecord]] = []
    taken = 0
    for true in range(0, 20_000, 7):
        clocks = [int(start + rate * true) for start, rate in zip(starts, rates, strict=True)]
        for due, write in [w for w in late if w[0] <= true]:
            late.remove((due, write))
            if write.revision == revision:
                revision, record = revision + 1, write.record
        for n in range(candidates):
            if draw.random() < trouble / 50:
                stopped[n] = true + draw.randrange(3_000)
            if stopped[n] > true:
                continue
            leases[n], action = leases[n].step(clocks[n], draw.random())
            if isinstance(action, ReadRecord) and draw.random() >= trouble:
                leases[n] = leases[n].record_read(clocks[n], revision, record, draw.random())
            elif isinstance(action, WriteRecord):
                if draw.random() < trouble:
                    late.append((true + draw.randrange(2_000), action))
                    leases[n] = leases[n].write_finished(clocks[n], Outcome.UNKNOWN, 0, draw.random())
                elif action.revision == revision:
                    revision, record = revision + 1, action.record
                    leases[n] = leases[n].write_finished(clocks[n], Outcome.DONE, revision, draw.random())
                    taken += leases[n].stage is Stage.LEADING
                else:
                    leases[n] = leases[n].write_finished(clocks[n], Outcome.CONFLICT, 0, draw.random())
            else:
                assert isinstance(action, (Sleep, ReadRecord))
        holding = [n for n in range(candidates) if leases[n].holds(clocks[n])]
        assert len(holding) <= 1, holding
    assert taken


# The fence.


def test_a_fence_refuses_old_terms_other_owners_of_one_and_effects_without_any() -> None:
    kept: list[Token] = []
    fence = Fence("the list")
    fence.admit(None)  # no steward yet
    fence.admit(Token(3, "s0"), kept.append)
    fence.admit(Token(3, "s0"), kept.append)
    for token, said in ((Token(2, "s1"), "is over"), (Token(3, "s1"), "lost a write"), (None, "asked for")):
        with pytest.raises(FencingError, match=said) as refused:
            fence.admit(token, kept.append)
        assert refused.value.known == Token(3, "s0")
    fence.admit(Token(4, "s1"), kept.append)
    assert kept == [Token(3, "s0"), Token(4, "s1")]

    def full(token: Token) -> None:
        raise OSError("no space left")

    with pytest.raises(OSError, match="no space"):
        fence.admit(Token(5, "s2"), full)
    assert fence.known == Token(4, "s1")  # what could not be kept was not taken


@pytest.mark.parametrize("value", ["7", "x s0", "-1 s0", "7 s0 s1", "7  ", f"{10**19} s0"])
def test_a_token_that_is_none_is_said_plainly(value: str) -> None:
    with pytest.raises(ValueError, match="TERM OWNER"):
        parse_token(value)
    assert parse_token("") is None and parse_token("7 s1/4fe2") == Token(7, "s1/4fe2") and NO_TOKEN.term == 0


# Every history of a small world.

SMALL = Bounds(lost_answers=0, restarts=0)


def test_no_history_of_two_stewards_breaks_a_promise() -> None:
    found = explore(Bounds(ticks=3, steps=1, lost_answers=0, restarts=1))
    assert found.complete and not found.violation and found.states > 3_000
    alone = explore(Bounds(ticks=4, steps=0, lost_answers=1, restarts=0, notified=True))
    assert alone.complete and not alone.violation and alone.states > 3_000


@pytest.mark.parametrize(
    "less,bounds,said",
    [
        (Omitted.FENCE, SMALL, "after one of"),
        (Omitted.MARGIN, SMALL, "at one moment"),
        (Omitted.BEFORE, SMALL, "at one moment"),
        (Omitted.SECOND_LOOK, SMALL, "over by its own clock"),
    ],
)
def test_each_protection_left_out_is_found(less: Omitted, bounds: Bounds, said: str) -> None:
    found = explore(bounds, less)
    assert said in found.violation and 5 < len(found.history) < 25, found
    text = sequence_diagram(found, bounds.candidates)
    assert text.splitlines()[0].split() == ["s0", "s1", "register", "receivers"] and "BROKEN" in text


# Registers.


@contextmanager
def gateway(state: Path | None = None) -> Iterator[tuple[Gateway, str]]:
    listener = listen("127.0.0.1", 0, 64)
    made = Gateway(listener, lambda text: None, state)
    made.start()
    try:
        yield made, f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        made.stop()
        listener.close()


@contextmanager
def register(kind: str, folder: Path) -> Iterator[Callable[[], CasStore]]:
    if kind == "embedded":
        store = EmbeddedStore(folder / "store")
        yield lambda: store
        store.close()
        return
    with gateway() as (_, address):
        yield lambda: EtcdStore((address,), 0.5)


def fault(address: str, what: str, **more: float) -> None:
    host, _, port = address.rpartition(":")
    body = msgspec.json.encode({"fault": what, **more})
    assert calls.call(host, int(port), writer.request("POST", "/fault", [("Host", "t")], body), 2.0)[0] == 200


@pytest.mark.parametrize("kind", ["embedded", "etcd"])
def test_a_register_reads_swaps_lists_and_tells_of_writes(kind: str, tmp_path: Path) -> None:
    with register(kind, tmp_path) as opened:
        store = opened()
        assert store.read("a/owner") == NO_ENTRY
        first = store.compare_and_set("a/owner", 0, b"one")
        assert first and store.read("a/owner").value == b"one" and store.read("a/owner").revision == first
        assert (
            store.compare_and_set("a/owner", 0, b"two") is None
            and store.compare_and_set("a/owner", first + 9, b"two") is None
        )
        second = store.compare_and_set("a/owner", first, b"two")
        assert second and second > first
        store.compare_and_set("a/job/x", 0, b"{}")
        store.compare_and_set("b/owner", 0, b"")
        assert store.keys("a/") == ["a/job/x", "a/owner"] and store.read("b/owner").value == b""
        with pytest.raises(StoreError, match="at most"):
            store.compare_and_set("k" * 500, 0, b"")

        def write() -> None:
            mine = opened()
            third = mine.compare_and_set("a/owner", second, b"three")
            mine.compare_and_set("b/owner", store.read("b/owner").revision, b"another key")
            time.sleep(0.2)
            mine.compare_and_set("a/owner", third or 0, b"four")

        threading.Timer(0.15, write).start()
        began, told = time.monotonic(), list[Entry]()

        def hear(entry: Entry) -> bool:
            told.append(entry)
            return len(told) < 3

        store.watch("a/owner", first, 5.0, hear)
        assert 0.1 < time.monotonic() - began < 3.0
        assert [entry.value for entry in told] == [b"two", b"three", b"four"]
        assert told[0].revision == second < told[1].revision < told[2].revision
        began = time.monotonic()
        store.watch("a/owner", told[2].revision, 0.2, lambda entry: True)
        assert 0.15 < time.monotonic() - began < 2.0


@pytest.mark.parametrize("kind", ["embedded", "etcd"])
def test_what_a_register_answers_to_many_is_linearizable(kind: str, tmp_path: Path) -> None:
    history: list[Op] = []
    lock = threading.Lock()
    with register(kind, tmp_path) as opened:

        def work(me: int) -> None:
            store, draw = opened(), random.Random(me)
            for n in range(25):
                key = f"k/{draw.randrange(2)}"
                begin = time.monotonic_ns()
                entry = store.read(key)
                value = entry.value.decode() if entry.revision else None
                ops = [Op(key, "read", begin, time.monotonic_ns(), value)]
                begin = time.monotonic_ns()
                good = store.compare_and_set(key, entry.revision, f"{me}.{n}".encode()) is not None
                ops.append(Op(key, "swap", begin, time.monotonic_ns(), f"{me}.{n}", value, good))
                with lock:
                    history.extend(ops)

        threads = [threading.Thread(target=work, args=(n,)) for n in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(30.0)
    assert len(history) == 300 and any(op.good is False for op in history) and linearizable(history) == []


def test_the_checker_of_histories_finds_seeded_violations() -> None:
    ok = [Op("k", "swap", 0, 10, "a", None), Op("k", "swap", 5, 20, "b", "a"), Op("k", "read", 12, 14, "a"),
          Op("k", "read", 25, 30, "b")]  # fmt: skip
    assert linearizable(ok) == []
    stale = [*ok, Op("k", "read", 40, 50, "a")]  # after b was read
    twice = [*ok, Op("k", "swap", 40, 50, "c", "a")]  # two swaps from one value
    false_no = [*ok, Op("k", "swap", 40, 50, "c", "b", False)]  # it should have been done
    lost = [*ok, Op("k", "swap", 40, 50, "c", "b"), Op("k", "read", 60, 70, "b")]
    for wrong in (stale, twice, false_no, lost):
        assert linearizable([*wrong, Op("other", "read", 0, 1, None)]) == ["k"]
    unknown = Op("k", "swap", 32, NEVER, "c", "b", None)
    for read in ("b", "c"):  # done or not: both may be
        assert linearizable([*ok, unknown, Op("k", "read", 40, 50, read)]) == []
    assert linearizable([*ok, unknown, Op("k", "read", 40, 50, "c"), Op("k", "read", 60, 70, "b")]) == ["k"]


def test_etcd_s_troubles_are_told_apart(tmp_path: Path) -> None:
    with gateway(tmp_path / "state.json") as (made, address):
        store = EtcdStore((address,), 0.3)
        first = store.compare_and_set("o", 0, b"1")
        assert first
        fault(address, "no_leader", for_ms=300.0)
        with pytest.raises(StoreError, match="no leader"):
            store.read("o")
        with pytest.raises(UnknownOutcome, match="no leader"):  # within the cluster it may still be carried out
            store.compare_and_set("o", first, b"2")
        time.sleep(0.35)
        fault(address, "lost", for_ms=200.0)
        with pytest.raises(UnknownOutcome):
            store.compare_and_set("o", first, b"2")
        assert store.read("o").value == b"2"  # it was done
        time.sleep(0.25)
        fault(address, "late", for_ms=200.0, ms=600.0)
        with pytest.raises(UnknownOutcome):
            store.compare_and_set("o", store.read("o").revision, b"3")
        assert store.read("o").value == b"3"
        fault(address, "forget", writes=2)
        assert store.read("o").value == b"1"
        fault(address, "compact")
        began = time.monotonic()
        store.watch("o", 1, 5.0, lambda entry: True)  # cancelled for a compacted revision: the caller reads
        assert time.monotonic() - began < 3.0
        gone = EtcdStore(("127.0.0.1:9", address), 0.3)  # the first endpoint is away
        assert gone.read("o").value == b"1"
        assert made.calls > 5
    with gateway(tmp_path / "state.json") as (_, address):
        assert EtcdStore((address,), 0.5).read("o").value == b"1"  # what was written is there after a restart
    with pytest.raises(StoreError, match="refused"):
        EtcdStore((address,), 0.3).compare_and_set("o", 0, b"")
