"""The journal of the recorder, explored exhaustively: every interleaving of calls, operations, failures, kills and
power losses within small bounds; and the real recorder killed at random times."""

from __future__ import annotations

import random
import subprocess
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path

import pytest

from stonetrack import api
from stonetrack.capture import codec, segment
from stonetrack.capture.codec import Call, Gap, Header, State
from stonetrack.capture.history import HistoryReader, segments_by_router
from stonetrack.capture.journal import Append, Close, Journal, Op, Open, SegmentLimits, Sync
from tests.router_fixture import SETTINGS

HEADER = Header("test", "i0.1", 1, SETTINGS)
CALLS = [Call(n, api.TimerFired(n), ()) for n in range(8)]


@dataclass
class Disk:
    """Files as a process sees them, and the size of each that survives a power loss at least."""

    files: dict[str, bytearray] = field(default_factory=dict)
    durable: dict[str, int] = field(default_factory=dict)
    open: str = ""

    def execute(self, op: Op, partial: bool | None = None) -> None:
        """Execute an operation; unless ``partial`` is None it fails after writing a part (True) or nothing (False)."""
        match op:
            case Open(name):
                assert name not in self.files, "a segment's name is repeated"
                if partial is None:
                    self.files[name], self.open = bytearray(), name
            case Append(data):
                self.files[self.open] += data if partial is None else data[: len(data) // 2 if partial else 0]
            case Sync():
                if partial is None:
                    self.durable[self.open] = len(self.files[self.open])
            case Close():
                self.open = ""

    def after_power_loss(self, share: float) -> dict[str, bytes]:
        """The files after a power loss, if ``share`` of the data that was not durable had reached the disk."""
        remaining: dict[str, bytes] = {}
        for name, data in self.files.items():
            durable_size = self.durable.get(name, 0)
            if durable_size or share:
                remaining[name] = bytes(data[: durable_size + int((len(data) - durable_size) * share)])
        return remaining


@cache
def decoded_blocks(data: bytes) -> list[tuple[int, list[codec.Record]]]:
    """A file's intact blocks by the number of their first record; cached, since many histories have the same files."""
    blocks, _ = segment.scan_blocks(data)
    return [(b.first, [codec.decode(raw) for raw in segment.decode_block(data, b)]) for b in blocks]


def read_files(files: dict[str, bytes], allow_gaps: bool = False) -> list[tuple[int, codec.Record]]:
    """The records of some files, by the reader's rules.  ``allow_gaps``: a power loss after a failed sync may have
    caused gaps in the numbers."""
    records: list[tuple[int, codec.Record]] = []
    expected: int | None = None
    for _, data in sorted(files.items()):
        for first, block_records in decoded_blocks(data):
            step = 0 if expected is None else first - expected
            assert step >= 0 and (allow_gaps or not step), "a number is repeated or missing"
            expected = first + len(block_records)
            records += [(first + n, record) for n, record in enumerate(block_records)]
    return records


class JournalRun:
    """The recorder's loop around a journal, one operation per step, on a model disk."""

    def __init__(self, journal: Callable[[], Journal], call_count: int, max_queued: int, block: int) -> None:
        self.journal, self.disk = journal(), Disk()
        self.call_count, self.max_queued, self.block = call_count, max_queued, block
        self.queue: list[int] = []
        self.recorded = 0
        self.lost = 0  # not in a gap record yet
        self.ops: Iterator[Op] = iter(())
        self.next: Op | None = None
        self.clock = 0

    def record_call(self) -> None:
        if self.lost or len(self.queue) >= self.max_queued:
            self.lost += 1
        else:
            self.queue.append(self.recorded)
        self.recorded += 1

    def has_operation(self) -> bool:
        """Whether an operation is pending."""
        if self.next is None:
            self.next = next(self.ops, None)
        if self.next is None and (self.queue or self.lost):
            self.clock += 1
            if self.queue:
                batch, self.queue = self.queue[: self.block], self.queue[self.block :]
                self.ops = self.journal.write(self.clock, [codec.encode(CALLS[n]) for n in batch])
            else:
                count, self.lost = self.lost, 0
                self.ops = self.journal.write_gap(self.clock, count, State(1, "v", b"state"))
            self.next = next(self.ops, None)
        return self.next is not None

    def step(self, partial: bool | None) -> None:
        assert self.next is not None
        op, self.next = self.next, None
        self.disk.execute(op, partial)
        if partial is not None:
            lost, unwritten_gap = self.journal.operation_failed()
            self.lost += lost + unwritten_gap + len(self.queue)
            self.queue.clear()
            self.ops = iter(())
            self.disk.execute(Close())

    def check(self, power: bool = True) -> None:
        """The properties that hold if the process is killed now, or the power fails."""
        files = {name: bytes(data) for name, data in self.disk.files.items()}
        self.check_records(read_files(files))
        for share in (0.0, 0.6, 1.0) if power else ():
            remaining = read_files(self.disk.after_power_loss(share), allow_gaps=True)
            present = {number for number, _ in remaining}
            assert present >= set(range(self.journal.durable)), "a durable record is missing"
            self.check_records(remaining)

    def check_records(self, records: list[tuple[int, codec.Record]]) -> None:
        """The records are a prefix of the recorded calls, with each gap counted exactly."""
        at = next_number = 0
        gap_size_unknown = False  # a gap in the numbers alone: the next call shows how many calls it holds
        for number, record in records:
            assert isinstance(record, Header) == (number == 0)
            gap_size_unknown = gap_size_unknown or number != next_number
            next_number = number + 1
            if gap_size_unknown and isinstance(record, Call):
                assert record.at >= at
                at, gap_size_unknown = record.at, False
            if isinstance(record, Call):
                assert record == CALLS[at], f"call {record.at} was found where {at} was expected"
                at += 1
            elif isinstance(record, Gap):
                at += record.count
        assert at <= self.recorded, "more calls are counted as missing than were recorded"


def explore(
    journal: Callable[[], Journal], call_count: int, faults: int, *, max_queued: int = 2, block: int = 2
) -> int:
    """Explore every order of calls, operations and up to ``faults`` failures.  Returns the number of histories.

    Stateless: each history runs again from its list of choices, then takes the first untried one.
    """
    histories = 0
    stack: list[tuple[int, ...]] = [()]
    while stack:
        prefix = stack.pop()
        run = JournalRun(journal, call_count, max_queued, block)
        failed = 0
        choices: list[int] = []
        while True:
            has_operation = run.has_operation()
            allowed = ["note"] * (run.recorded < call_count) + ["do"] * has_operation
            if has_operation and failed < faults:
                allowed += ["fail", *(["part"] if isinstance(run.next, Append) else [])]
            if not allowed:
                break
            if len(choices) < len(prefix):
                choice = prefix[len(choices)]
            else:
                choice = 0
                stack += [(*choices, other) for other in range(1, len(allowed))]
            choices.append(choice)
            what = allowed[choice]
            if what == "note":
                run.record_call()
            else:
                failed += what != "do"
                run.step(None if what == "do" else what == "part")
                if len(choices) >= len(prefix):
                    run.check()
        histories += 1
        run.check(power=False)
        records = read_files({name: bytes(data) for name, data in run.disk.files.items()})
        calls = sum(isinstance(r, Call) for _, r in records)
        gaps = sum(r.count for _, r in records if isinstance(r, Gap))
        assert calls + gaps == call_count, f"{calls} found and {gaps} counted as missing of {call_count}"
    return histories


def journal_factory(segment_bytes: int = 400) -> Callable[[], Journal]:
    return lambda: Journal(HEADER, SegmentLimits(segment_bytes, 100))


def test_every_interleaving_keeps_durable_records_and_counts_lost_calls() -> None:
    assert explore(journal_factory(), 3, 1) > 500
    assert explore(journal_factory(segment_bytes=1), 2, 2) > 500
    assert explore(journal_factory(), 4, 0, max_queued=1, block=1) > 50


class ForgetsGap(Journal):
    """A faulty journal that does not count again a gap that could not be written."""

    def operation_failed(self) -> tuple[int, int]:
        return super().operation_failed()[0], 0


class EarlyNumber(Journal):
    """A faulty journal that numbers records before they are written."""

    def _append(self, records, is_header=False):  # type: ignore[no-untyped-def]
        first, self.next_number = self.next_number, self.next_number + len(records)
        yield Append(segment.encode_block(records, first))
        if not is_header:
            self.unwritten_calls = self.unwritten_gap = 0
        yield Sync()
        self.durable = self.next_number


class EarlyDurable(Journal):
    """A faulty journal that reports records as durable before the sync."""

    def _append(self, records, is_header=False):  # type: ignore[no-untyped-def]
        for op in super()._append(records, is_header):
            if isinstance(op, Sync):
                self.durable = self.next_number
            yield op


class CountsUnsyncedAsLost(Journal):
    """A faulty journal that counts records as lost that were written but not synced."""

    def _append(self, records, is_header=False):  # type: ignore[no-untyped-def]
        unwritten = self.unwritten_calls
        for op in super()._append(records, is_header):
            if isinstance(op, Sync):
                self.unwritten_calls = unwritten
            yield op
        if not is_header:
            self.unwritten_calls = 0


@pytest.mark.parametrize("broken", [ForgetsGap, EarlyNumber, EarlyDurable, CountsUnsyncedAsLost])
def test_the_exploration_detects_a_faulty_journal(broken: type[Journal]) -> None:
    with pytest.raises(AssertionError, match="counted as missing|missing|durable|was expected"):
        explore(lambda: broken(HEADER, SegmentLimits(400, 100)), 3, 2)


# The real recorder, killed.

CHILD = """
import os, sys, time
from pathlib import Path
from stonetrack import api
from stonetrack.capture.codec import Header
from stonetrack.capture.recorder import Recorder
from tests.router_fixture import SETTINGS

folder = Path(sys.argv[1])
for index in range(int(sys.argv[2])):
    read, write = os.pipe()
    pid = os.fork()
    if pid:
        os.close(write)
        print(pid, read, flush=True)
        delay = float(sys.stdin.readline())
        time.sleep(delay)
        os.kill(pid, 9)
        os.waitpid(pid, 0)
        output = b""
        while data := os.read(read, 1 << 16):
            output += data
        os.close(read)
        print(output.split()[-1].decode() if output.split() else "0", flush=True)
        continue
    header = Header("test", f"k{index}.1", 1, SETTINGS)
    recorder = Recorder(folder, header, time.time_ns, log=lambda text: None, flush_interval=0.002, block_records=20,
                        segment_bytes=3000, segment_seconds=0.01, budget_bytes=1 << 30)
    recorder.start()
    n = recorded = 0
    while True:
        for _ in range(7):
            recorder.record(n + 1, api.TimerFired(n), (api.SetTimer(n, 5),))
            n += 1
        if recorder.durable > recorded:
            recorded = recorder.durable
            os.write(write, f"{recorded}\\n".encode())
        time.sleep(0.0005)
"""


def test_a_recorder_killed_200_times_loses_no_durable_record(tmp_path: Path) -> None:
    draw = random.Random(9)
    root = str(Path(__file__).parent.parent)
    child = subprocess.Popen([sys.executable, "-c", CHILD, str(tmp_path), "200"], stdin=subprocess.PIPE,
                             stdout=subprocess.PIPE, text=True, cwd=root)  # fmt: skip
    assert child.stdin is not None and child.stdout is not None
    durable: list[int] = []
    try:
        for _ in range(200):
            child.stdout.readline()
            child.stdin.write(f"{draw.uniform(0.0, 0.05)}\n")
            child.stdin.flush()
            durable.append(int(child.stdout.readline()))
        assert child.wait(30.0) == 0
    finally:
        child.kill()
        child.stdin.close()
        child.stdout.close()
    segments = segments_by_router(tmp_path)
    records = torn = 0
    for index, durable_size in enumerate(durable):
        files = segments.get(f"k{index}.1", [])
        reading = HistoryReader(files)
        numbers = []
        for number, record in reading:
            numbers.append(number)
            assert not isinstance(record, Call) or record.event == api.TimerFired(number - 1)
            assert not isinstance(record, Gap)
        assert numbers == list(range(len(numbers))) and len(numbers) >= durable_size
        assert len(reading.damage) == reading.torn_tails <= 1
        records += len(numbers)
        torn += reading.torn_tails
    assert max(durable) > 50 and records > 2_000 and sum(len(files) > 1 for files in segments.values()) > 10


def test_a_new_segment_at_the_same_or_an_earlier_time_has_its_own_name() -> None:
    clocks = iter([100, 100, 50, 50])
    disk = Disk()
    journal = Journal(HEADER, SegmentLimits(1, 1 << 60))
    for n in range(4):
        for op in journal.write(next(clocks), [codec.encode(CALLS[n])]):
            disk.execute(op)
    assert [int(name[5:25]) for name in sorted(disk.files)] == [100, 101, 102, 103]
    assert [r for _, r in read_files({n: bytes(d) for n, d in disk.files.items()})] == [HEADER, *CALLS[:4]]
