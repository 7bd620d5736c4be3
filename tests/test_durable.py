"""Folders that fail: a full disk, an input/output error, a kill at each step of a write."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import lmdb
import pytest

from stonetrack import durable
from stonetrack.audit import keeping
from stonetrack.audit.account import Acting
from stonetrack.cas_store.embedded import Embedded
from stonetrack.cas_store.ports import RegisterError, Unknown
from stonetrack.durable import save

STEPS = ("open", "write", "fsync", "replace", "folder")


class Step:
    """Does something at one step of a write, once."""

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
            return Writing(file, self) if self.step == "write" else file

        patched.setattr(os, "fsync", fsync)
        patched.setattr(os, "replace", replace)
        patched.setattr("builtins.open", opened)

    def at(self, step: str) -> None:
        if step == self.step and not self.done:
            self.done = True
            self.do()


class Writing:
    """A file whose first write puts half of the data down and then meets its step."""

    def __init__(self, file: Any, step: Step) -> None:
        self._file, self._step = file, step

    def __enter__(self) -> Writing:
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
def test_a_write_that_fails_leaves_the_state_before_and_no_temporary_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str, code: int
) -> None:
    path = tmp_path / "state.json"
    save(path, b"before, whole")
    with monkeypatch.context() as patched:
        at = Step(patched, step, fails(code))
        with pytest.raises(OSError):
            save(path, b"after, whole too")
        assert at.done
    # The last sync alone fails after the new state has its name; nobody was told of it.
    assert path.read_bytes() == (b"after, whole too" if step == "folder" else b"before, whole")
    assert [each.name for each in tmp_path.iterdir()] == ["state.json"]
    save(path, b"the next")
    assert path.read_bytes() == b"the next"


@pytest.mark.parametrize("step", STEPS)
def test_a_kill_at_each_step_leaves_one_state_whole_and_the_next_write_cleans_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    path = tmp_path / "state.json"
    save(path, b"before, whole")
    child = os.fork()
    if child == 0:
        Step(monkeypatch, step, lambda: os._exit(9))
        save(path, b"after, whole too")
        os._exit(1)
    assert os.waitstatus_to_exitcode(os.waitpid(child, 0)[1]) == 9
    assert path.read_bytes() in (b"before, whole", b"after, whole too")
    assert len(list(tmp_path.iterdir())) == (1 if step in ("open", "folder") else 2)
    save(path, b"the next")
    assert path.read_bytes() == b"the next" and [each.name for each in tmp_path.iterdir()] == ["state.json"]


def test_another_processs_write_under_way_is_left_alone(tmp_path: Path) -> None:
    path = tmp_path / "state.json"
    under_way = tmp_path / f"state.json.{os.getppid()}.new"
    under_way.write_bytes(b"half")
    strange = tmp_path / "state.json.mine.new"
    strange.write_bytes(b"")
    save(path, b"x")
    assert under_way.exists() and strange.exists()


def test_a_write_is_durable_with_its_name_before_it_is_over(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
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


def keeper(folder: Path, said: list[str], most_files: int = 8, file_bytes: int = 1 << 20) -> keeping.Keeper:
    return keeping.Keeper(folder, "n0", "boot", lambda: 0, every=1, file_bytes=file_bytes, most_files=most_files,
                          log=said.append)  # fmt: skip


def noted(made: keeping.Keeper, count: int, first: int = 0) -> None:
    for n in range(first, first + count):
        made.note(n, Acting("s.d", "o", n, "1", "m"), f"q{n}", ("Send",))


@pytest.mark.parametrize("step", ["open", "fsync", "folder"])
def test_an_account_whose_sync_failed_goes_on_in_another_file_and_lacks_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    said: list[str] = []
    made = keeper(tmp_path, said)
    if step != "folder":  # the first write of all makes the file's name
        noted(made, 3)
        made._write(all_of=True)
    noted(made, 3, 3)
    with monkeypatch.context() as patched:
        at = Step(patched, step, fails(errno.EIO))
        made._write(all_of=True)
        assert at.done and made.trouble and len(said) == 1
    noted(made, 3, 6)
    made._write(all_of=True)
    found = keeping.account(tmp_path, "n0")
    assert not made.trouble and found.findings == ()
    assert len(keeping.files(tmp_path, "n0")) == 2


def test_an_old_file_that_can_not_be_removed_repeats_no_line(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The error came after the lines were on disk: they were written again under the same numbers."""
    said: list[str] = []
    made = keeper(tmp_path, said, most_files=2, file_bytes=1)

    def refused(self: Path, missing_ok: bool = False) -> None:
        raise OSError(errno.EIO, "Input/output error")

    monkeypatch.setattr(Path, "unlink", refused)
    for n in range(5):
        noted(made, 1, n)
        made._write(all_of=True)
    found = keeping.account(tmp_path, "n0")
    assert found.findings == () and not made.trouble


class _Refusing:
    """An LMDB store whose transactions fail at one step."""

    def __init__(self, store: Any, step: str) -> None:
        self._store, self._step = store, step

    def begin(self, write: bool = False) -> Any:
        change = self._store.begin(write=write)
        if not write:
            return change
        if self._step == "begin":
            change.abort()
            raise lmdb.Error("no")
        return _Change(change, self._step)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._store, name)


class _Change:
    def __init__(self, change: Any, step: str) -> None:
        self._change, self._step = change, step

    def put(self, *given: Any) -> None:
        if self._step == "put":
            raise lmdb.MapFullError("full")
        self._change.put(*given)

    def commit(self) -> None:
        if self._step == "commit":
            self._change.abort()
            raise lmdb.DiskError("No space left on device")
        self._change.commit()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._change, name)


@pytest.mark.parametrize(("step", "unknown"), [("begin", False), ("put", False), ("commit", True)])
def test_a_register_says_nothing_was_written_only_where_that_is_certain(
    tmp_path: Path, step: str, unknown: bool
) -> None:
    """An error of the commit leaves open whether the disk has it: a lease must not be taken for lost, nor for held."""
    register = Embedded(tmp_path / "register")
    assert register.swap("k", 0, b"a") == 1
    store = register._store
    register._store = _Refusing(store, step)  # type: ignore[assignment]
    with pytest.raises(RegisterError) as raised:
        register.swap("k", 1, b"b")
    assert isinstance(raised.value, Unknown) == unknown
    register._store = store
    assert register.read("k").value == b"a" and register.swap("k", 1, b"c") == 2
    register.close()
