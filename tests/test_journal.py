"""The recorder's protocol, explored: every interleaving of calls, operations, failures, kills and losses of power
within small bounds; and the real recorder killed at random moments."""

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
    """Files as a process sees them, and how much of each a loss of power leaves at least."""

    files: dict[str, bytearray] = field(default_factory=dict)
    durable: dict[str, int] = field(default_factory=dict)
    open: str = ""

    def do(self, op: Op, part: bool | None = None) -> None:
        """Carry an operation out; ``part``: it fails, having written a part or nothing."""
        match op:
            case Open(name):
                assert name not in self.files, "a segment's name came twice"
                if part is None:
                    self.files[name], self.open = bytearray(), name
            case Append(data):
                self.files[self.open] += data if part is None else data[: len(data) // 2 if part else 0]
            case Sync():
                if part is None:
                    self.durable[self.open] = len(self.files[self.open])
            case Close():
                self.open = ""

    def after_power_loss(self, share: float) -> dict[str, bytes]:
        """What is left where so much of what was not durable had reached the disk."""
        left: dict[str, bytes] = {}
        for name, data in self.files.items():
            sure = self.durable.get(name, 0)
            if sure or share:
                left[name] = bytes(data[: sure + int((len(data) - sure) * share)])
        return left


@cache
def in_file(data: bytes) -> list[tuple[int, list[codec.Record]]]:
    """A file's whole blocks by the number of their first record; the same files come in many histories."""
    blocks, _ = segment.scan_blocks(data)
    return [(b.first, [codec.decode(raw) for raw in segment.decode_block(data, b)]) for b in blocks]


def found(files: dict[str, bytes], holes: bool = False) -> list[tuple[int, codec.Record]]:
    """What a reader makes of some files; the real reader's rules on bytes.  ``holes``: a loss of power may have made
    some, where a sync had failed."""
    records: list[tuple[int, codec.Record]] = []
    expected: int | None = None
    for _, data in sorted(files.items()):
        for first, inside in in_file(data):
            step = 0 if expected is None else first - expected
            assert step >= 0 and (holes or not step), "a number came twice, or is missing"
            expected = first + len(inside)
            records += [(first + n, record) for n, record in enumerate(inside)]
    return records


class Explored:
    """The recorder's loop around a journal, one operation a step, on a model disk."""

    def __init__(self, journal: Callable[[], Journal], notes: int, most: int, block: int) -> None:
        self.journal, self.disk = journal(), Disk()
        self.notes, self.most, self.block = notes, most, block
        self.queue: list[int] = []
        self.told = 0
        self.lost = 0  # not told yet
        self.ops: Iterator[Op] = iter(())
        self.next: Op | None = None
        self.clock = 0

    def note(self) -> None:
        if self.lost or len(self.queue) >= self.most:
            self.lost += 1
        else:
            self.queue.append(self.told)
        self.told += 1

    def wants(self) -> bool:
        """Whether an operation is to be carried out."""
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

    def step(self, part: bool | None) -> None:
        assert self.next is not None
        op, self.next = self.next, None
        self.disk.do(op, part)
        if part is not None:
            lost, unwritten_gap = self.journal.operation_failed()
            self.lost += lost + unwritten_gap + len(self.queue)
            self.queue.clear()
            self.ops = iter(())
            self.disk.do(Close())

    def check(self, power: bool = True) -> None:
        """What holds if the process is killed now, or the power goes."""
        files = {name: bytes(data) for name, data in self.disk.files.items()}
        self.consistent(found(files))
        for share in (0.0, 0.6, 1.0) if power else ():
            left = found(self.disk.after_power_loss(share), holes=True)
            there = {number for number, _ in left}
            assert there >= set(range(self.journal.durable)), "what was durable is not there"
            self.consistent(left)

    def consistent(self, records: list[tuple[int, codec.Record]]) -> None:
        """A beginning of what was told, each hole counted exactly."""
        at = following = 0
        unsure = False  # a hole told by the numbers alone: how many calls were in it is known at the next call
        for number, record in records:
            assert isinstance(record, Header) == (number == 0)
            unsure = unsure or number != following
            following = number + 1
            if unsure and isinstance(record, Call):
                assert record.at >= at
                at, unsure = record.at, False
            if isinstance(record, Call):
                assert record == CALLS[at], f"call {record.at} stands where {at} was to come"
                at += 1
            elif isinstance(record, Gap):
                at += record.count
        assert at <= self.told, "more is said to be missing than was told"


def explore(journal: Callable[[], Journal], notes: int, faults: int, *, most: int = 2, block: int = 2) -> int:
    """Every order of calls, operations and so many failures; how many histories there were.

    Stateless: each history is run again from its choices, the first untried one taken next.
    """
    histories = 0
    stack: list[tuple[int, ...]] = [()]
    while stack:
        prefix = stack.pop()
        run = Explored(journal, notes, most, block)
        failed = 0
        choices: list[int] = []
        while True:
            wants = run.wants()
            allowed = ["note"] * (run.told < notes) + ["do"] * wants
            if wants and failed < faults:
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
                run.note()
            else:
                failed += what != "do"
                run.step(None if what == "do" else what == "part")
                if len(choices) >= len(prefix):
                    run.check()
        histories += 1
        run.check(power=False)
        records = found({name: bytes(data) for name, data in run.disk.files.items()})
        calls = sum(isinstance(r, Call) for _, r in records)
        gaps = sum(r.count for _, r in records if isinstance(r, Gap))
        assert calls + gaps == notes, f"{calls} found and {gaps} said to be missing of {notes}"
    return histories


def plain(segment_bytes: int = 400) -> Callable[[], Journal]:
    return lambda: Journal(HEADER, SegmentLimits(segment_bytes, 100))


def test_every_interleaving_keeps_what_is_durable_and_counts_what_is_lost() -> None:
    assert explore(plain(), 3, 1) > 500
    assert explore(plain(segment_bytes=1), 2, 2) > 500
    assert explore(plain(), 4, 0, most=1, block=1) > 50


class ForgetsGap(Journal):
    """A journal that does not count again a gap that could not be written."""

    def operation_failed(self) -> tuple[int, int]:
        return super().operation_failed()[0], 0


class EarlyNumber(Journal):
    """A journal that counts records before they are written."""

    def _append(self, records, is_header=False):  # type: ignore[no-untyped-def]
        first, self.next_number = self.next_number, self.next_number + len(records)
        yield Append(segment.encode_block(records, first))
        if not is_header:
            self.unwritten_calls = self.unwritten_gap = 0
        yield Sync()
        self.durable = self.next_number


class EarlyDurable(Journal):
    """A journal that says durable before it is."""

    def _append(self, records, is_header=False):  # type: ignore[no-untyped-def]
        for op in super()._append(records, is_header):
            if isinstance(op, Sync):
                self.durable = self.next_number
            yield op


class LateHand(Journal):
    """A journal that counts as lost what was written but not synced."""

    def _append(self, records, is_header=False):  # type: ignore[no-untyped-def]
        hand = self.unwritten_calls
        for op in super()._append(records, is_header):
            if isinstance(op, Sync):
                self.unwritten_calls = hand
            yield op
        if not is_header:
            self.unwritten_calls = 0


@pytest.mark.parametrize("broken", [ForgetsGap, EarlyNumber, EarlyDurable, LateHand])
def test_the_exploration_catches_a_journal_that_is_wrong(broken: type[Journal]) -> None:
    with pytest.raises(AssertionError, match="said to be missing|missing|durable|stands where"):
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
        said = b""
        while data := os.read(read, 1 << 16):
            said += data
        os.close(read)
        print(said.split()[-1].decode() if said.split() else "0", flush=True)
        continue
    header = Header("test", f"k{index}.1", 1, SETTINGS)
    recorder = Recorder(folder, header, time.time_ns, log=lambda text: None, flush_interval=0.002, block_records=20,
                        segment_bytes=3000, segment_seconds=0.01, budget_bytes=1 << 30)
    recorder.start()
    n = told = 0
    while True:
        for _ in range(7):
            recorder.record(n + 1, api.TimerFired(n), (api.SetTimer(n, 5),))
            n += 1
        if recorder.durable > told:
            told = recorder.durable
            os.write(write, f"{told}\\n".encode())
        time.sleep(0.0005)
"""


def test_a_recorder_killed_at_200_moments_loses_nothing_that_was_durable(tmp_path: Path) -> None:
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
    rooms = segments_by_router(tmp_path)
    records = torn = 0
    for index, sure in enumerate(durable):
        files = rooms.get(f"k{index}.1", [])
        reading = HistoryReader(files)
        numbers = []
        for number, record in reading:
            numbers.append(number)
            assert not isinstance(record, Call) or record.event == api.TimerFired(number - 1)
            assert not isinstance(record, Gap)
        assert numbers == list(range(len(numbers))) and len(numbers) >= sure
        assert len(reading.damage) == reading.torn_tails <= 1
        records += len(numbers)
        torn += reading.torn_tails
    assert max(durable) > 50 and records > 2_000 and sum(len(files) > 1 for files in rooms.values()) > 10


def test_a_restart_in_the_same_nanosecond_or_after_a_step_back_begins_a_segment_of_its_own() -> None:
    clocks = iter([100, 100, 50, 50])
    disk = Disk()
    journal = Journal(HEADER, SegmentLimits(1, 1 << 60))
    for n in range(4):
        for op in journal.write(next(clocks), [codec.encode(CALLS[n])]):
            disk.do(op)
    assert [int(name[5:25]) for name in sorted(disk.files)] == [100, 101, 102, 103]
    assert [r for _, r in found({n: bytes(d) for n, d in disk.files.items()})] == [HEADER, *CALLS[:4]]
