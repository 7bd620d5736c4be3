"""Failing directories: a full disk, an input/output error, a kill at each step of a write."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import lmdb
import pytest

from stonetrack import durable
from stonetrack.audit import log_writer
from stonetrack.audit.audit_log import ActingVersion
from stonetrack.cas_store.embedded import EmbeddedStore
from stonetrack.cas_store.ports import StoreError, UnknownOutcome
from stonetrack.durable import save

STEPS = ("open", "write", "fsync", "replace", "folder")


class FaultAtStep:
    """Calls a function at one step of a write, once."""

    def __init__(self, patched: pytest.MonkeyPatch, step: str, do: Callable[[], None]) -> None:
        self.step, self.do, self.done = step, do, False
        self.fsyncs = 0
        real_fsync, real_replace, real_open = os.fsync, os.replace, open

        def fsync(descriptor: int) -> None:
            self.at("folder" if os.path.isdir(f"/proc/self/fd/{descriptor}") else "fsync")
            real_fsync(descriptor)

        def replace(source: Any, target: Any) -> None:
            self.at("replace")
            real_replace(source, target)

        def opened(path: Any, mode: str = "r", *more: Any, **named: Any) -> Any:
            if "w" not in mode and "a" not in mode:
                return real_open(path, mode, *more, **named)
            self.at("open")
            file = real_open(path, mode, *more, **named)
            return PartialWrites(file, self) if self.step == "write" else file

        patched.setattr(os, "fsync", fsync)
        patched.setattr(os, "replace", replace)
        patched.setattr("builtins.open", opened)

    def at(self, step: str) -> None:
        if step == self.step and not self.done:
            self.done = True
            self.do()


class PartialWrites:
    """A file whose first write stores half of the data before its fault."""

    def __init__(self, file: Any, step: FaultAtStep) -> None:
        self._file, self._step = file, step

    def __enter__(self) -> PartialWrites:
        return self

    def __exit__(self, *error: object) -> None:
        self._file.close()

    def write(self, data: bytes) -> int:
        self._file.write(data[: len(data) // 2])
        self._file.flush()
        self._step.at("write")
        return int(self._file.write(data[len(data) // 2 :]))

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)


def fails(code: int) -> Callable[[], None]:
    def fail() -> None:
        raise OSError(code, os.strerror(code))

    return fail


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO], ids=["ENOSPC", "EIO"])
def test_a_failed_write_keeps_the_previous_state_and_leaves_no_temporary_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str, code: int
) -> None:
    path = tmp_path / "state.json"
    save(path, b"before, whole")
    with monkeypatch.context() as patched:
        at = FaultAtStep(patched, step, fails(code))
        with pytest.raises(OSError):
            save(path, b"after, whole too")
        assert at.done
    # Only the last sync fails after the rename to the target; the caller gets an error all the same.
    assert path.read_bytes() == (b"after, whole too" if step == "folder" else b"before, whole")
    assert [each.name for each in tmp_path.iterdir()] == ["state.json"]
    save(path, b"the next")
    assert path.read_bytes() == b"the next"


@pytest.mark.parametrize("step", STEPS)
def test_a_kill_at_each_step_leaves_a_complete_state_and_the_next_write_cleans_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    path = tmp_path / "state.json"
    save(path, b"before, whole")
    child = os.fork()
    if child == 0:
        FaultAtStep(monkeypatch, step, lambda: os._exit(9))
        save(path, b"after, whole too")
        os._exit(1)
    assert os.waitstatus_to_exitcode(os.waitpid(child, 0)[1]) == 9
    assert path.read_bytes() in (b"before, whole", b"after, whole too")
    assert len(list(tmp_path.iterdir())) == (1 if step in ("open", "folder") else 2)
    save(path, b"the next")
    assert path.read_bytes() == b"the next" and [each.name for each in tmp_path.iterdir()] == ["state.json"]


def test_temporary_files_of_running_processes_are_kept(tmp_path: Path) -> None:
    path = tmp_path / "state.json"
    in_progress = tmp_path / f"state.json.{os.getppid()}.new"
    in_progress.write_bytes(b"half")
    unrelated = tmp_path / "state.json.mine.new"
    unrelated.write_bytes(b"")
    save(path, b"x")
    assert in_progress.exists() and unrelated.exists()


def test_a_write_syncs_the_file_and_then_its_directory(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    synced: list[str] = []
    real = os.fsync

    def noted(descriptor: int) -> None:
        synced.append(os.readlink(f"/proc/self/fd/{descriptor}"))
        real(descriptor)

    monkeypatch.setattr(os, "fsync", noted)
    save(tmp_path / "state.json", b"x")
    assert synced == [str(tmp_path / f"state.json.{os.getpid()}.new"), str(tmp_path)]
    with pytest.raises(OSError):
        durable.sync_directory(tmp_path / "nowhere")


def keeper(folder: Path, logged: list[str], most_files: int = 8, file_bytes: int = 1 << 20) -> log_writer.LogWriter:
    return log_writer.LogWriter(folder, "n0", "boot", lambda: 0, max_duration=1, max_file_bytes=file_bytes,
                                max_files=most_files, log=logged.append)  # fmt: skip


def noted(audit_keeper: log_writer.LogWriter, count: int, first: int = 0) -> None:
    for n in range(first, first + count):
        audit_keeper.record(n, ActingVersion("s.d", "o", n, "1", "m"), f"q{n}", ("Send",))


@pytest.mark.parametrize("step", ["open", "fsync", "folder"])
def test_an_audit_log_whose_sync_failed_continues_in_another_file_without_a_gap(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    logged: list[str] = []
    audit_keeper = keeper(tmp_path, logged)
    if step != "folder":  # the very first write creates the file
        noted(audit_keeper, 3)
        audit_keeper._write(close_all=True)
    noted(audit_keeper, 3, 3)
    with monkeypatch.context() as patched:
        at = FaultAtStep(patched, step, fails(errno.EIO))
        audit_keeper._write(close_all=True)
        assert at.done and audit_keeper.last_error and len(logged) == 1
    noted(audit_keeper, 3, 6)
    audit_keeper._write(close_all=True)
    found = log_writer.read_log(tmp_path, "n0")
    assert not audit_keeper.last_error and found.findings == ()
    assert len(log_writer.log_files(tmp_path, "n0")) == 2


def test_an_old_file_that_can_not_be_removed_causes_no_repeated_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The error followed after the lines were on disk, and they were written again under the same numbers."""
    logged: list[str] = []
    audit_keeper = keeper(tmp_path, logged, most_files=2, file_bytes=1)

    def refused(self: Path, missing_ok: bool = False) -> None:
        raise OSError(errno.EIO, "Input/output error")

    monkeypatch.setattr(Path, "unlink", refused)
    for n in range(5):
        noted(audit_keeper, 1, n)
        audit_keeper._write(close_all=True)
    found = log_writer.read_log(tmp_path, "n0")
    assert found.findings == () and not audit_keeper.last_error


class _FailingStore:
    """An LMDB store whose transactions fail at one step."""

    def __init__(self, store: Any, step: str) -> None:
        self._environment, self._step = store, step

    def begin(self, write: bool = False) -> Any:
        transaction = self._environment.begin(write=write)
        if not write:
            return transaction
        if self._step == "begin":
            transaction.abort()
            raise lmdb.Error("no")
        return _FailingTransaction(transaction, self._step)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._environment, name)


class _FailingTransaction:
    def __init__(self, transaction: Any, step: str) -> None:
        self._transaction, self._step = transaction, step

    def put(self, *given: Any) -> None:
        if self._step == "put":
            raise lmdb.MapFullError("full")
        self._transaction.put(*given)

    def commit(self) -> None:
        if self._step == "commit":
            self._transaction.abort()
            raise lmdb.DiskError("No space left on device")
        self._transaction.commit()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transaction, name)


@pytest.mark.parametrize(("step", "unknown"), [("begin", False), ("put", False), ("commit", True)])
def test_a_register_says_nothing_was_written_only_where_that_is_certain(
    tmp_path: Path, step: str, unknown: bool
) -> None:
    """A failed commit may be on disk or not: the lease must count neither as lost nor as held."""
    register = EmbeddedStore(tmp_path / "register")
    assert register.compare_and_set("k", 0, b"a") == 1
    store = register._environment
    register._environment = _FailingStore(store, step)  # type: ignore[assignment]
    with pytest.raises(StoreError) as raised:
        register.compare_and_set("k", 1, b"b")
    assert isinstance(raised.value, UnknownOutcome) == unknown
    register._environment = store
    assert register.read("k").value == b"a" and register.compare_and_set("k", 1, b"c") == 2
    register.close()
