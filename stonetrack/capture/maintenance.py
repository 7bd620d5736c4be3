"""Maintenance of a folder of captures, as background jobs: index, verify, replay, repack, enforce the disk budget.

The node only appends.  All other work waits until a segment is closed and is then done in short steps, under a budget
of time and bytes (:mod:`stonetrack.background`), outside the process that serves requests:

- ``index:SEGMENT`` reads a closed segment once: it verifies every checksum, decodes every record and stores the index.
- ``states:ROUTER`` replays the closed segments from the last stored snapshot on and stores a snapshot every
  ``states_every`` records.  This verifies that the module still makes the captured decisions; the first difference is
  logged and noted in the store.
- ``pack:SEGMENT`` rewrites an indexed, undamaged segment in larger blocks with a higher compression level to a
  temporary file and renames it over the old one, so that a kill leaves one of the two files, complete; then it indexes
  the new file.
- ``retain`` keeps the folder within its budget; once the budget is nearly used up, the job gets a deadline and runs
  before all others.

Invariants: an open segment (locked by its writer) is neither read nor changed, nor are the ones after it; a damaged
segment is never repacked, so that the damage stays as it was found; one process maintains a folder (a lock), others
wait for the lock.
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
BUDGET_PRESSURE = 0.9  # share of the disk budget above which retention becomes urgent
BUDGET_NAME = "capture"
SETTLE_SECONDS = 0.5  # a new segment may not be locked yet


def resumable_step(make_steps: Callable[[], Iterator[int]]) -> Callable[[], StepResult]:
    """A job's step function from a generator that yields the bytes of each step; the generator is created anew after it
    raised."""
    running: list[Iterator[int]] = []

    def step() -> StepResult:
        if not running:
            running.append(make_steps())
        try:
            return StepResult(False, next(running[0]))
        except StopIteration:
            running.clear()
            return StepResult(True)
        except Exception:
            running.clear()
            raise

    return step


class MaintenanceRunner:
    """Maintains one folder until it is stopped.  ``budget_bytes`` is the folder's budget on disk, ``scan_interval`` the
    seconds between scans for new work."""

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
        self._budget_bytes, self._states_every = budget_bytes, states_every
        self.store = Store(folder)
        self._lock = os.open(folder / "tender.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self._owned = False
        self.runner = Runner((Budget(BUDGET_NAME, cpu_share, bytes_per_second),), log)
        self._retain_job = Job("retain", self._retain, BUDGET_NAME, priority=9, repeat_after=30 * SECOND)
        self._scan_job = Job("look", self._scan, BUDGET_NAME, priority=5, repeat_after=int(scan_interval * SECOND))

    def start(self) -> None:
        """Start the background thread."""
        self.runner.submit(self._scan_job)
        self.runner.submit(self._retain_job)
        self.runner.start()

    def stop(self) -> None:
        """Wait for the running step, then release the folder's lock."""
        self.runner.stop()
        os.close(self._lock)
        self.store.close()

    def run_once(self, on_progress: Callable[[str], None] = lambda text: None) -> None:
        """Run all pending jobs now, in this thread and without a budget.  Raises CaptureError if another process holds
        the lock."""
        if not self._acquire_folder():
            raise CaptureError(f"{self.folder}: another process maintains it")
        time.sleep(SETTLE_SECONDS)
        done: set[str] = set()
        while jobs := [job for job in self._pending_jobs() if job.name not in done]:
            for job in jobs:
                on_progress(job.name)
                while not job.step().done:
                    pass
                done.add(job.name)
        self._retain()

    def _acquire_folder(self) -> bool:
        if not self._owned:
            with contextlib.suppress(OSError):
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                self._owned = True
        return self._owned

    # Finding pending jobs.

    def _scan(self) -> StepResult:
        if self._acquire_folder():
            existing = {job.name for job in self.runner.jobs()}
            for job in self._pending_jobs():
                if job.name not in existing:
                    self.runner.submit(job)
            used = sum(path.stat().st_size for path in self._segments())
            if used > BUDGET_PRESSURE * self._budget_bytes:
                self.runner.expedite(self._retain_job)
        return StepResult(True)

    def _segments(self) -> list[Path]:
        found = []
        for path in sorted(self.folder.glob(f"*{SEGMENT_SUFFIX}")):
            with contextlib.suppress(OSError):
                path.stat()
                found.append(path)
        return found

    def _closed(self, files: list[Path]) -> list[Path]:
        """A router's segments before the first one that is being written, or so new that its writer may not have locked
        it yet."""
        found: list[Path] = []
        for path in files:
            with contextlib.suppress(OSError):
                # A modification time in the future means that the wall clock was set back; it must not block the file.
                if is_open(path) or (path is files[-1] and 0 <= wall_time() - path.stat().st_mtime < SETTLE_SECONDS):
                    break
                found.append(path)
        return found

    def _pending_jobs(self) -> list[Job]:
        jobs: list[Job] = []
        for name, files in history.segments_by_router(self.folder).items():
            closed = self._closed(files)
            progress = self.store.progress(name)
            packed = progress.get("packed", {})
            last = -1
            for path in closed:
                index = self.store.index_of(path)
                if index is None:
                    jobs.append(self._make_job(f"index:{path.name}", partial(self._index, path), 3))
                elif path.name not in packed:
                    jobs.append(self._make_job(f"pack:{path.name}", partial(self._pack, path, name), 1))
                if index is not None and len(index.first):
                    last = int(index.first[-1] + index.records[-1])
            if last - int(progress.get("replayed", 0)) > 0 and not progress.get("stopped"):
                jobs.append(self._make_job(f"states:{name}", partial(self._store_states, name, closed), 2))
        return jobs

    def _make_job(self, name: str, make_steps: Callable[[], Iterator[int]], priority: int) -> Job:
        return Job(name, resumable_step(make_steps), BUDGET_NAME, priority)

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

    def _store_states(self, name: str, files: list[Path]) -> Iterator[int]:
        progress = self.store.progress(name)
        stored = self.store.state_before(name, 1 << 62)
        router: Router | None = snapshot.restore(stored.data) if stored is not None else None
        start = last_saved = stored.number if stored is not None else 0
        number = start - 1
        for steps, (number, record) in enumerate(HistoryReader(files).records(start)):
            if isinstance(record, Header):
                router = Router(record.settings, record.seed)
            elif isinstance(record, State):
                router = snapshot.restore(record.data)
            elif isinstance(record, Gap):
                router = None
            elif router is not None:
                if number - last_saved >= self._states_every:
                    last_saved = number
                    self.store.put_state(SavedState(name, number, record.at, __version__, snapshot.take(router)))
                if tuple(router.handle(record.at, record.event)) != record.actions:
                    self._report_difference(name, number, record)
                    return
            if steps % CALLS_PER_STEP == 0:
                yield 0
        replayed = max(number + 1, progress.get("replayed", 0))
        self.store.put_progress(name, {**self.store.progress(name), "replayed": replayed})

    def _report_difference(self, name: str, number: int, record: Call) -> None:
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
            temporary = path.with_suffix(PACKING_SUFFIX)
            try:
                yield from self._pack_into(temporary, data, blocks)
                size = temporary.stat().st_size
                if size < len(data):
                    os.rename(temporary, path)
                    sync_directory(self.folder)
                    yield from self._index(path)
            finally:
                temporary.unlink(missing_ok=True)
        progress = self.store.progress(router)
        packed = {**progress.get("packed", {}), path.name: [len(data), min(size, len(data))]}
        existing = {each.name for each in self.folder.glob(f"{router}-*{SEGMENT_SUFFIX}")}
        self.store.put_progress(router, {**progress, "packed": {n: v for n, v in packed.items() if n in existing}})

    def _pack_into(self, temporary: Path, data: bytes, blocks: list[segment.Block]) -> Iterator[int]:
        with temporary.open("wb") as out:
            out.write(segment.MAGIC)
            batch: list[bytes] = []
            first = expected = blocks[0].first
            for block in blocks:
                if batch and (block.first != expected or len(batch) >= PACK_BLOCK_RECORDS):
                    out.write(packed := segment.encode_block(batch, first, PACK_LEVEL))
                    yield len(packed)
                    batch, first = [], block.first
                batch += segment.decode_block(data, block)
                expected = block.first + block.records
            out.write(packed := segment.encode_block(batch, first, PACK_LEVEL))
            yield len(packed)
            out.flush()
            os.fsync(out.fileno())

    def _retain(self) -> StepResult:
        if not self._acquire_folder():
            return StepResult(True)
        for temporary in self.folder.glob(f"*{PACKING_SUFFIX}"):  # left by a kill; no other job runs meanwhile
            if f"pack:{temporary.stem}{SEGMENT_SUFFIX}" not in {job.name for job in self.runner.jobs()}:
                temporary.unlink(missing_ok=True)
        deleted = delete_over_budget(self.folder, self._budget_bytes)
        for name in deleted:
            router = history.router_name(Path(name))
            paths = history.segments_by_router(self.folder).get(router, [])
            remaining = [index for path in paths if (index := self.store.index_of(path)) is not None]
            first = min((int(index.first[0]) for index in remaining if len(index.first)), default=0)
            self.store.delete_segments([name], router, first)
        if deleted:
            self._log(f"capture: {len(deleted)} segments deleted for the budget of {self._budget_bytes} bytes")
        return StepResult(True)
