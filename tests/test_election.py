"""Leader election: the lease, the fence, the model checker, compare-and-set stores and their linearizability."""

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

TIMES = LeaseTimes(lease=1_000, drift=0.05, margin=20)


def leader(at: int = 0) -> Lease:
    """A lease held by s0, whose write was sent at ``at``."""
    lease = Lease("s0", TIMES)
    lease, _ = lease.step(at, 0.0)
    lease = lease.record_read(at, 0, None, 0.0)
    lease, action = lease.step(at, 0.0)
    assert isinstance(action, WriteRecord) and action.revision == 0 and action.record.term == 1
    return lease.write_finished(at + 300, Outcome.DONE, 7, 0.0)


# The lease.


def test_a_lease_counts_from_before_its_write() -> None:
    lease = leader(at=0)  # its answer arrived at 300
    assert lease.holds(TIMES.leader_span - 1) and not lease.holds(TIMES.leader_span) and TIMES.leader_span == 930
    lease, action = lease.step(TIMES.leader_span, 0.5)
    assert lease.stage is Stage.WATCHING and isinstance(action, ReadRecord) and lease.reason == "the lease ran out"


def test_a_candidate_waits_longer_than_any_leader_acts_within_the_clock_drift() -> None:
    slow, fast = 1.0 - TIMES.drift, 1.0 + TIMES.drift
    # In true time; the leader's time began before the candidate's.
    assert TIMES.leader_span / slow < TIMES.candidate_span / fast
    watching = Lease("s1", TIMES).record_read(100, 7, Record(1, "s0", "s0/0"), 0.0)
    watching, action = watching.step(101, 0.5)
    for now in range(101, 100 + TIMES.candidate_span, 50):
        watching, action = watching.step(now, 0.5)
        if isinstance(action, ReadRecord):
            watching = watching.record_read(now, 7, Record(1, "s0", "s0/0"), 0.5)
        assert not isinstance(action, WriteRecord)
    watching, action = watching.step(100 + TIMES.candidate_span, 0.5)
    if isinstance(action, ReadRecord):
        watching = watching.record_read(100 + TIMES.candidate_span, 7, Record(1, "s0", "s0/0"), 0.5)
        watching, action = watching.step(100 + 2 * TIMES.candidate_span, 0.5)
        watching = watching.record_read(100 + 2 * TIMES.candidate_span, 7, Record(1, "s0", "s0/0"), 0.5)
        _, action = watching.step(101 + 2 * TIMES.candidate_span, 0.5)
    assert isinstance(action, WriteRecord) and action.revision == 7 and action.record.term == 2


def test_a_candidate_notified_of_beats_reads_only_once_they_cease() -> None:
    lease = Lease("s1", TIMES).record_read(0, 7, Record(1, "s0", "s0/0"), 0.0)
    reads = 0
    for beat in range(1, 50):
        now = beat * TIMES.renewal_interval
        lease = lease.record_notified(now, 7 + beat, Record(1, "s0", "s0/0", beat), 0.0)
        lease, action = lease.step(now + 1, 0.0)
        reads += isinstance(action, ReadRecord)
    assert reads == 0 and lease.beat_read_at == now
    # The same notification again, and one whose record was overwritten since.
    assert lease.record_notified(now + 5, 7 + 49, Record(1, "s0", "s0/0", 49), 0.0) is lease
    assert lease.record_notified(now + 5, 20, Record(1, "s0", "s0/0", 13), 0.0) is lease
    lease, action = lease.step(now + TIMES.candidate_span, 0.0)
    assert isinstance(action, ReadRecord)  # before it acquires the lease
    lease = lease.record_read(now + TIMES.candidate_span + 1, 7 + 49, lease.record, 0.0)
    assert isinstance(lease.step(now + TIMES.candidate_span + 2, 0.0)[1], WriteRecord)
    # A leader relies on its own writes; a candidate ignores notifications before its first read.
    assert leader().record_notified(5, 99, Record(9, "s7", "s7/0"), 0.0) == leader()
    assert Lease("s1", TIMES).record_notified(5, 9, Record(1, "s0", "s0/0"), 0.0) == Lease("s1", TIMES)


def test_a_renewal_moves_the_end_and_a_lost_answer_does_not() -> None:
    lease, action = leader().step(TIMES.renewal_interval, 0.0)
    assert isinstance(action, WriteRecord) and action.record.beats == 1
    good = lease.write_finished(TIMES.renewal_interval + 5, Outcome.DONE, 8, 0.0)
    assert good.held_until == TIMES.renewal_interval + TIMES.leader_span and good.holds(TIMES.leader_span)
    lost = lease.write_finished(TIMES.renewal_interval + 5, Outcome.UNKNOWN, 0, 0.0)
    assert lost.held_until == TIMES.leader_span and lost.revision == UNKNOWN_REVISION
    lost, action = lost.step(TIMES.renewal_interval + 6, 0.0)
    assert isinstance(action, ReadRecord)
    lost = lost.record_read(TIMES.renewal_interval + 8, 8, Record(1, "s0", "s0/0", 1), 0.0)
    assert lost.holds(TIMES.renewal_interval + 8) and lost.revision == 8


@pytest.mark.parametrize("done", [True, False])
def test_the_next_read_shows_whether_a_write_without_an_answer_was_done(done: bool) -> None:
    lease = Lease("s0", TIMES).record_read(0, 0, None, 0.0)
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
        assert lease.held_until == 1 + TIMES.leader_span  # from before the write, not from the read


def test_a_leader_stops_when_superseded_paused_or_asked_to_hand_over() -> None:
    lease = leader()
    assert not lease.record_read(500, 9, Record(2, "s1", "s1/0"), 0.0).holds(501)
    paused = lease.record_read(500, 9, Record(1, "s0", "s0/0", paused="work on the racks"), 0.0)
    paused, action = paused.step(501, 0.0)
    assert (
        isinstance(action, WriteRecord) and action.record.owner == "" and action.record.paused and not paused.holds(501)
    )
    asked = lease.record_read(500, 9, Record(1, "s0", "s0/0", wanted="s2"), 0.0)
    asked, action = asked.step(501, 0.0)
    assert isinstance(action, WriteRecord) and action.record.owner == "" and action.record.wanted == "s2"
    other = Lease("s1/x", TIMES).record_read(510, 10, action.record, 0.0)
    wanted = Lease("s2/y", TIMES).record_read(510, 10, action.record, 0.0)
    assert _acquires_within(wanted, 510, TIMES.renewal_interval) and not _acquires_within(
        other, 510, TIMES.candidate_span - 60
    )


def _acquires_within(lease: Lease, since: int, span: int) -> bool:
    for now in range(since, since + span, 10):
        lease, action = lease.step(now, 0.5)
        if isinstance(action, WriteRecord):
            return True
        if isinstance(action, ReadRecord):
            lease = lease.record_read(now, lease.revision, lease.record, 0.5)
    return False


def test_a_term_that_goes_back_halts_until_an_operator_raises_it() -> None:
    lease = leader()
    lease = lease.record_read(100, 9, Record(6, "s1", "s1/0"), 0.0).record_read(200, 3, Record(4, "s3", "s3/0"), 0.0)
    assert lease.stage is Stage.HALTED and "from term 6 to 4" in lease.reason
    assert not _acquires_within(lease, 300, 5 * TIMES.candidate_span)
    lease = lease.record_read(10_000, 12, Record(7, ""), 0.0)
    assert lease.stage is Stage.WATCHING and _acquires_within(lease, 10_000, 2 * TIMES.candidate_span)


def test_a_receiver_that_knows_a_later_term_halts_the_leader() -> None:
    lease = leader().fenced(100, 5)
    assert (
        lease.stage is Stage.HALTED
        and not lease.holds(101)
        and not _acquires_within(lease, 101, 5 * TIMES.candidate_span)
    )


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 1 << 30), st.integers(2, 5), st.floats(0.0, 0.3))
def test_random_histories_never_have_two_holders(seed: int, candidates: int, trouble: float) -> None:
    """Clocks that drift and start anywhere, stopped processes, lost answers, late writes: one holder at most."""
    draw = random.Random(seed)
    rates = [1.0 + draw.uniform(-TIMES.drift, TIMES.drift) / 2 for _ in range(candidates)]
    starts = [draw.randrange(1_000_000) for _ in range(candidates)]
    leases = [Lease(f"s{n}", TIMES, draw.randrange(3)) for n in range(candidates)]
    stopped = [0] * candidates
    revision, record = 0, None
    late: list[tuple[int, WriteRecord]] = []
    acquisitions = 0
    for now in range(0, 20_000, 7):
        clocks = [int(start + rate * now) for start, rate in zip(starts, rates, strict=True)]
        for due, write in [w for w in late if w[0] <= now]:
            late.remove((due, write))
            if write.revision == revision:
                revision, record = revision + 1, write.record
        for n in range(candidates):
            if draw.random() < trouble / 50:
                stopped[n] = now + draw.randrange(3_000)
            if stopped[n] > now:
                continue
            leases[n], action = leases[n].step(clocks[n], draw.random())
            if isinstance(action, ReadRecord) and draw.random() >= trouble:
                leases[n] = leases[n].record_read(clocks[n], revision, record, draw.random())
            elif isinstance(action, WriteRecord):
                if draw.random() < trouble:
                    late.append((now + draw.randrange(2_000), action))
                    leases[n] = leases[n].write_finished(clocks[n], Outcome.UNKNOWN, 0, draw.random())
                elif action.revision == revision:
                    revision, record = revision + 1, action.record
                    leases[n] = leases[n].write_finished(clocks[n], Outcome.DONE, revision, draw.random())
                    acquisitions += leases[n].stage is Stage.LEADING
                else:
                    leases[n] = leases[n].write_finished(clocks[n], Outcome.CONFLICT, 0, draw.random())
            else:
                assert isinstance(action, (Sleep, ReadRecord))
        holding = [n for n in range(candidates) if leases[n].holds(clocks[n])]
        assert len(holding) <= 1, holding
    assert acquisitions


# The fence.


def test_a_fence_refuses_old_terms_second_leaders_of_a_term_and_missing_tokens() -> None:
    persisted: list[Token] = []
    fence = Fence("the list")
    fence.admit(None)  # no controller yet
    fence.admit(Token(3, "s0"), persisted.append)
    fence.admit(Token(3, "s0"), persisted.append)
    for token, text in ((Token(2, "s1"), "is over"), (Token(3, "s1"), "lost a write"), (None, "asked for")):
        with pytest.raises(FencingError, match=text) as refused:
            fence.admit(token, persisted.append)
        assert refused.value.known == Token(3, "s0")
    fence.admit(Token(4, "s1"), persisted.append)
    assert persisted == [Token(3, "s0"), Token(4, "s1")]

    def fail(token: Token) -> None:
        raise OSError("no space left")

    with pytest.raises(OSError, match="no space"):
        fence.admit(Token(5, "s2"), fail)
    assert fence.known == Token(4, "s1")  # a token that could not be persisted is not accepted


@pytest.mark.parametrize("value", ["7", "x s0", "-1 s0", "7 s0 s1", "7  ", f"{10**19} s0"])
def test_a_malformed_token_is_an_error(value: str) -> None:
    with pytest.raises(ValueError, match="TERM OWNER"):
        parse_token(value)
    assert parse_token("") is None and parse_token("7 s1/4fe2") == Token(7, "s1/4fe2") and NO_TOKEN.term == 0


# The model checker.

SMALL = Bounds(lost_answers=0, restarts=0)


def test_no_history_of_two_candidates_violates_a_property() -> None:
    result = explore(Bounds(ticks=3, steps=1, lost_answers=0, restarts=1))
    assert result.complete and not result.violation and result.states > 3_000
    alone = explore(Bounds(ticks=4, steps=0, lost_answers=1, restarts=0, notified=True))
    assert alone.complete and not alone.violation and alone.states > 3_000


@pytest.mark.parametrize(
    "omitted,bounds,violation",
    [
        (Omitted.FENCE, SMALL, "after one of"),
        (Omitted.MARGIN, SMALL, "at one moment"),
        (Omitted.BEFORE, SMALL, "at one moment"),
        (Omitted.SECOND_LOOK, SMALL, "over by its own clock"),
    ],
)
def test_each_omitted_protection_causes_a_violation(omitted: Omitted, bounds: Bounds, violation: str) -> None:
    result = explore(bounds, omitted)
    assert violation in result.violation and 5 < len(result.history) < 25, result
    text = sequence_diagram(result, bounds.candidates)
    assert text.splitlines()[0].split() == ["s0", "s1", "register", "receivers"] and "BROKEN" in text


# Compare-and-set stores.


@contextmanager
def gateway(state: Path | None = None) -> Iterator[tuple[Gateway, str]]:
    listener = listen("127.0.0.1", 0, 64)
    emulated = Gateway(listener, lambda text: None, state)
    emulated.start()
    try:
        yield emulated, f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        emulated.stop()
        listener.close()


@contextmanager
def open_store(kind: str, folder: Path) -> Iterator[Callable[[], CasStore]]:
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
def test_a_store_reads_compares_and_sets_lists_and_reports_writes(kind: str, tmp_path: Path) -> None:
    with open_store(kind, tmp_path) as connect:
        store = connect()
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
            mine = connect()
            third = mine.compare_and_set("a/owner", second, b"three")
            mine.compare_and_set("b/owner", store.read("b/owner").revision, b"another key")
            time.sleep(0.2)
            mine.compare_and_set("a/owner", third or 0, b"four")

        threading.Timer(0.15, write).start()
        began, entries = time.monotonic(), list[Entry]()

        def on_write(entry: Entry) -> bool:
            entries.append(entry)
            return len(entries) < 3

        store.watch("a/owner", first, 5.0, on_write)
        assert 0.1 < time.monotonic() - began < 3.0
        assert [entry.value for entry in entries] == [b"two", b"three", b"four"]
        assert entries[0].revision == second < entries[1].revision < entries[2].revision
        began = time.monotonic()
        store.watch("a/owner", entries[2].revision, 0.2, lambda entry: True)
        assert 0.15 < time.monotonic() - began < 2.0


@pytest.mark.parametrize("kind", ["embedded", "etcd"])
def test_answers_of_a_store_to_concurrent_clients_are_linearizable(kind: str, tmp_path: Path) -> None:
    history: list[Op] = []
    lock = threading.Lock()
    with open_store(kind, tmp_path) as connect:

        def work(me: int) -> None:
            store, draw = connect(), random.Random(me)
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


def test_the_linearizability_checker_finds_seeded_violations() -> None:
    ok = [Op("k", "swap", 0, 10, "a", None), Op("k", "swap", 5, 20, "b", "a"), Op("k", "read", 12, 14, "a"),
          Op("k", "read", 25, 30, "b")]  # fmt: skip
    assert linearizable(ok) == []
    stale = [*ok, Op("k", "read", 40, 50, "a")]  # after b was read
    twice = [*ok, Op("k", "swap", 40, 50, "c", "a")]  # two swaps from one value
    false_no = [*ok, Op("k", "swap", 40, 50, "c", "b", False)]  # it should have succeeded
    lost = [*ok, Op("k", "swap", 40, 50, "c", "b"), Op("k", "read", 60, 70, "b")]
    for violation in (stale, twice, false_no, lost):
        assert linearizable([*violation, Op("other", "read", 0, 1, None)]) == ["k"]
    unknown = Op("k", "swap", 32, NEVER, "c", "b", None)
    for read in ("b", "c"):  # carried out or not: both are possible
        assert linearizable([*ok, unknown, Op("k", "read", 40, 50, read)]) == []
    assert linearizable([*ok, unknown, Op("k", "read", 40, 50, "c"), Op("k", "read", 60, 70, "b")]) == ["k"]


def test_failures_of_etcd_are_distinguished(tmp_path: Path) -> None:
    with gateway(tmp_path / "state.json") as (emulated, address):
        store = EtcdStore((address,), 0.3)
        first = store.compare_and_set("o", 0, b"1")
        assert first
        fault(address, "no_leader", for_ms=300.0)
        with pytest.raises(StoreError, match="no leader"):
            store.read("o")
        with pytest.raises(UnknownOutcome, match="no leader"):  # within the cluster the write may still be carried out
            store.compare_and_set("o", first, b"2")
        time.sleep(0.35)
        fault(address, "lost", for_ms=200.0)
        with pytest.raises(UnknownOutcome):
            store.compare_and_set("o", first, b"2")
        assert store.read("o").value == b"2"  # the write was carried out
        time.sleep(0.25)
        fault(address, "late", for_ms=200.0, ms=600.0)
        with pytest.raises(UnknownOutcome):
            store.compare_and_set("o", store.read("o").revision, b"3")
        assert store.read("o").value == b"3"
        fault(address, "forget", writes=2)
        assert store.read("o").value == b"1"
        fault(address, "compact")
        began = time.monotonic()
        store.watch("o", 1, 5.0, lambda entry: True)  # cancelled for a compacted revision: the caller reads the key
        assert time.monotonic() - began < 3.0
        fallback = EtcdStore(("127.0.0.1:9", address), 0.3)  # the first endpoint refuses connections
        assert fallback.read("o").value == b"1"
        assert emulated.calls > 5
    with gateway(tmp_path / "state.json") as (_, address):
        assert EtcdStore((address,), 0.5).read("o").value == b"1"  # the state survives a restart
    with pytest.raises(StoreError, match="refused"):
        EtcdStore((address,), 0.3).compare_and_set("o", 0, b"")
