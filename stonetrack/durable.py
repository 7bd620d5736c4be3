"""Atomic, durable writes of files: the new state is on disk before anybody is told of it, or not at all.

Data is written to a temporary file beside the target, which is synced and renamed over the target; then the directory
is synced.  After a power loss the target holds the state before or after the write.  After any error the temporary file
is removed and the next write starts a new one, since pages whose sync failed can't be trusted (fsync(2)).
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

_TEMPORARY_SUFFIX = ".new"


def sync_directory(directory: Path) -> None:
    """Make the file names in a directory durable.  Raises OSError."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def save(path: Path, data: bytes) -> None:
    """Replace a file atomically and durably.

    Raises OSError; the target then holds the state before, or the new state where only the last sync failed.
    """
    temporary = path.with_name(f"{path.name}.{os.getpid()}{_TEMPORARY_SUFFIX}")
    try:
        with open(temporary, "wb") as out:
            out.write(data)
            out.flush()
            os.fsync(out.fileno())
        os.replace(temporary, path)
    except BaseException:
        with contextlib.suppress(OSError):
            temporary.unlink(missing_ok=True)
        raise
    sync_directory(path.parent)
    _remove_orphans(path, temporary)


def _remove_orphans(path: Path, own_temporary: Path) -> None:
    """Remove temporary files of processes that were killed during a write."""
    for other in path.parent.glob(f"{path.name}.*{_TEMPORARY_SUFFIX}"):
        writer_pid = other.name.removeprefix(f"{path.name}.").removesuffix(_TEMPORARY_SUFFIX)
        if other == own_temporary or not writer_pid.isdecimal():
            continue
        with contextlib.suppress(OSError):
            if not os.path.exists(f"/proc/{writer_pid}"):
                other.unlink(missing_ok=True)
