"""What is done to a folder of captures after it was written, as background jobs: index, check, replay, pack, retain.

The node only appends.  Everything else waits until a segment is closed and is then done in short steps, under a
budget of time and bytes (:mod:`stonetrack.background`), outside the process that serves:

- ``index:SEGMENT`` reads a closed segment once: every checksum is checked, every record decoded, its index stored.
- ``states:ROUTER`` replays what is closed from the last state on, stores a state each so many records, and so proves
  on the way that the module still decides as captured; the first difference is said and noted.
- ``pack:SEGMENT`` writes an indexed, whole segment again in larger blocks at a higher level, beside it, and renames
  it over the old one: a kill leaves one or the other, whole; the index is made again for what is there.
- ``retain`` keeps the folder within its budget; once it is nearly used up the job has a deadline and goes before all
  others.

Invariants: an open segment (locked by its writer) is never read past nor changed; a damaged one is never packed, so
that the damage stays as it was found; one tender a folder (a lock), others wait for it to go.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import time
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path

from stonetrack import __version__
from stonetrack.background.runner import Runner
from stonetrack.background.scheduler import SECOND, Budget, Job, StepResult
from stonetrack.capture import codec, history, segment, snapshot
from stonetrack.capture.codec import Call, CaptureError, Gap, Header, State
from stonetrack.capture.history import HistoryReader
from stonetrack.capture.index import IndexBuilder
from stonetrack.capture.journal import SEGMENT_SUFFIX
from stonetrack.capture.recorder import delete_over_budget, is_open
from stonetrack.capture.store import SavedState, Store
from stonetrack.clocks import wall_time, wall_time_ns
from stonetrack.durable import sync_directory
from stonetrack.logic import Router

PACKING_SUFFIX = ".packing"
BLOCKS_PER_STEP = 8
CALLS_PER_STEP = 64
PACK_BLOCK_RECORDS, PACK_LEVEL = 4_000, 12
BUDGET_PRESSURE = 0.9  # of the budget on disk
BUDGET_NAME = "capture"
SETTLE_SECONDS = 0.5  # seconds


def resumable_step(make: Callable[[], Iterator[int]]) -> Callable[[], StepResult]:
    """A job's step from a generator that yields the bytes of each step; begun anew after it raised."""
    going: list[Iterator[int]] = []

    def step() -> StepResult:
        if not going:
            going.append(make())
        try:
            return StepResult(False, next(going[0]))
        except StopIteration:
            going.clear()
            return StepResult(True)
        except Exception:
            going.clear()
            raise

    return step


class MaintenanceRunner:
    """Tends one folder until it is stopped.  ``budget_bytes`` is the folder's on disk, ``every`` seconds between
    looks."""

    def __init__(
        self,
        folder: Path,
        *,
        budget_bytes: int,
        log: Callable[[str], None],
        cpu_share: float = 0.05,
        bytes_per_second: float = 8 << 20,
        states_every: int = 20_000,
        scan_interval: float = 2.0,
    ) -> None:
        self.folder, self._log = folder, log
        self._disk, self._states_every = budget_bytes, states_every
        self.store = Store(folder)
        self._lock = os.open(folder / "tender.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self._mine = False
        self.runner = Runner((Budget(BUDGET_NAME, cpu_share, bytes_per_second),), log)
        self._retain = Job("retain", self._keep_within, BUDGET_NAME, priority=9, repeat_after=30 * SECOND)
        self._look = Job("look", self._look_around, BUDGET_NAME, priority=5, repeat_after=int(scan_interval * SECOND))

    def start(self) -> None:
        """Begin."""
        self.runner.submit(self._look)
        self.runner.submit(self._retain)
        self.runner.start()

    def stop(self) -> None:
        """Let the step that runs end, and let go of the folder."""
        self.runner.stop()
        os.close(self._lock)
        self.store.close()

    def run_once(self, on_progress: Callable[[str], None] = lambda text: None) -> None:
        """Do all there is to do, here and now, without a budget."""
        if not self._own():
            raise CaptureError(f"{self.folder}: somebody else tends it")
        time.sleep(SETTLE_SECONDS)
        done: set[str] = set()
        while jobs := [job for job in self._wanted() if job.name not in done]:
            for job in jobs:
                on_progress(job.name)
                while not job.step().done:
                    pass
                done.add(job.name)
        self._keep_within()

    def _own(self) -> bool:
        if not self._mine:
            with contextlib.suppress(OSError):
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                self._mine = True
        return self._mine

    # What there is to do.

    def _look_around(self) -> StepResult:
        if self._own():
            there = {job.name for job in self.runner.jobs()}
            for job in self._wanted():
                if job.name not in there:
                    self.runner.submit(job)
            used = sum(path.stat().st_size for path in self._segments())
            if used > BUDGET_PRESSURE * self._disk:
                self.runner.expedite(self._retain)
        return StepResult(True)

    def _segments(self) -> list[Path]:
        found = []
        for path in sorted(self.folder.glob(f"*{SEGMENT_SUFFIX}")):
            with contextlib.suppress(OSError):
                path.stat()
                found.append(path)
        return found

    def _closed(self, files: list[Path]) -> list[Path]:
        """A router's segments up to the one being written (or made so lately that it may not be locked yet)."""
        found: list[Path] = []
        for path in files:
            with contextlib.suppress(OSError):
                # A time in the future is that of a wall clock that was set back: it must not hold the file for ever.
                if is_open(path) or (path is files[-1] and 0 <= wall_time() - path.stat().st_mtime < SETTLE_SECONDS):
                    break
                found.append(path)
        return found

    def _wanted(self) -> list[Job]:
        jobs: list[Job] = []
        for name, files in history.segments_by_router(self.folder).items():
            closed = self._closed(files)
            noted = self.store.progress(name)
            packed = noted.get("packed", {})
            last = -1
            for path in closed:
                made = self.store.index_of(path)
                if made is None:
                    jobs.append(self._job(f"index:{path.name}", partial(self._index, path), 3))
                elif path.name not in packed:
                    jobs.append(self._job(f"pack:{path.name}", partial(self._pack, path, name), 1))
                if made is not None and len(made.first):
                    last = int(made.first[-1] + made.records[-1])
            if last - int(noted.get("replayed", 0)) > 0 and not noted.get("stopped"):
                jobs.append(self._job(f"states:{name}", partial(self._states, name, closed), 2))
        return jobs

    def _job(self, name: str, make: Callable[[], Iterator[int]], priority: int) -> Job:
        return Job(name, resumable_step(make), BUDGET_NAME, priority)

    # The jobs.

    def _index(self, path: Path) -> Iterator[int]:
        status = path.stat()
        data = path.read_bytes()
        yield len(data)
        blocks, damage = segment.scan_blocks(data)
        builder = IndexBuilder()
        for number, block in enumerate(blocks):
            try:
                builder.add(block, [codec.decode(raw) for raw in segment.decode_block(data, block)])
            except CaptureError as error:
                damage = damage or segment.Damage(block.offset, str(error))
            if number % BLOCKS_PER_STEP == 0:
                yield 0
        self.store.put_index(path.name, builder.build(status.st_size, status.st_mtime_ns))
        if damage is not None and not damage.torn:
            text = f"{path.name}: offset {damage.offset}: {damage.text}"
            self._log(f"capture: {text}")
            self.store.add_note(wall_time_ns(), path.name, text)

    def _states(self, name: str, files: list[Path]) -> Iterator[int]:
        noted = self.store.progress(name)
        begun = self.store.state_before(name, 1 << 62)
        router: Router | None = snapshot.restore(begun.data) if begun is not None else None
        start = saved = begun.number if begun is not None else 0
        number = start - 1
        for steps, (number, record) in enumerate(HistoryReader(files).records(start)):
            if isinstance(record, Header):
                router = Router(record.settings, record.seed)
            elif isinstance(record, State):
                router = snapshot.restore(record.data)
            elif isinstance(record, Gap):
                router = None
            elif router is not None:
                if number - saved >= self._states_every:
                    saved = number
                    self.store.put_state(SavedState(name, number, record.at, __version__, snapshot.take(router)))
                if tuple(router.handle(record.at, record.event)) != record.actions:
                    self._differs(name, number, record)
                    return
            if steps % CALLS_PER_STEP == 0:
                yield 0
        replayed = max(number + 1, noted.get("replayed", 0))
        self.store.put_progress(name, {**self.store.progress(name), "replayed": replayed})

    def _differs(self, name: str, number: int, record: Call) -> None:
        text = f"call {number} of {name}, at {record.at}, is decided otherwise now"
        self._log(f"capture: {text}")
        self.store.add_note(wall_time_ns(), name, text)
        self.store.put_progress(name, {**self.store.progress(name), "stopped": number})

    def _pack(self, path: Path, router: str) -> Iterator[int]:
        data = path.read_bytes()
        yield len(data)
        blocks, damage = segment.scan_blocks(data)
        size = len(data)
        if damage is None and blocks:
            aside = path.with_suffix(PACKING_SUFFIX)
            try:
                yield from self._pack_into(aside, data, blocks)
                size = aside.stat().st_size
                if size < len(data):
                    os.rename(aside, path)
                    sync_directory(self.folder)
                    yield from self._index(path)
            finally:
                aside.unlink(missing_ok=True)
        noted = self.store.progress(router)
        packed = {**noted.get("packed", {}), path.name: [len(data), min(size, len(data))]}
        there = {each.name for each in self.folder.glob(f"{router}-*{SEGMENT_SUFFIX}")}
        self.store.put_progress(router, {**noted, "packed": {n: v for n, v in packed.items() if n in there}})

    def _pack_into(self, aside: Path, data: bytes, blocks: list[segment.Block]) -> Iterator[int]:
        with aside.open("wb") as out:
            out.write(segment.MAGIC)
            waiting: list[bytes] = []
            first = expected = blocks[0].first
            for block in blocks:
                if waiting and (block.first != expected or len(waiting) >= PACK_BLOCK_RECORDS):
                    out.write(packed := segment.encode_block(waiting, first, PACK_LEVEL))
                    yield len(packed)
                    waiting, first = [], block.first
                waiting += segment.decode_block(data, block)
                expected = block.first + block.records
            out.write(packed := segment.encode_block(waiting, first, PACK_LEVEL))
            yield len(packed)
            out.flush()
            os.fsync(out.fileno())

    def _keep_within(self) -> StepResult:
        if not self._own():
            return StepResult(True)
        for aside in self.folder.glob(f"*{PACKING_SUFFIX}"):  # left by a kill; no job of ours runs while this one does
            if f"pack:{aside.stem}{SEGMENT_SUFFIX}" not in {job.name for job in self.runner.jobs()}:
                aside.unlink(missing_ok=True)
        gone = delete_over_budget(self.folder, self._disk)
        for name in gone:
            router = history.router_name(Path(name))
            paths = history.segments_by_router(self.folder).get(router, [])
            left = [made for path in paths if (made := self.store.index_of(path)) is not None]
            first = min((int(made.first[0]) for made in left if len(made.first)), default=0)
            self.store.delete_segments([name], router, first)
        if gone:
            self._log(f"capture: {len(gone)} segments deleted for the budget of {self._disk} bytes")
        return StepResult(True)
