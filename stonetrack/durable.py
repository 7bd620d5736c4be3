"""Files that last: a state written whole or not at all, and durable before anybody is told of it.

A write goes to a temporary file beside its target.  That is synced, renamed over the target, and the folder synced, so
that after a loss of power the target holds the state before or the one after.  After any error the temporary file is
removed and the next write begins with a new one: pages whose sync failed are not trusted (fsync(2)).
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

_TEMPORARY = ".new"


def sync_directory(folder: Path) -> None:
    """Make names in a folder durable.  Raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def save(path: Path, data: bytes) -> None:
    """Write a file whole or not at all.  Raises OSError; the target then holds the state before, or after an error of
    the last sync alone, the new one."""
    fresh = path.with_name(f"{path.name}.{os.getpid()}{_TEMPORARY}")
    try:
        with open(fresh, "wb") as out:
            out.write(data)
            out.flush()
            os.fsync(out.fileno())
        os.replace(fresh, path)
    except BaseException:
        with contextlib.suppress(OSError):
            fresh.unlink(missing_ok=True)
        raise
    sync_directory(path.parent)
    _remove_left_behind(path, fresh)


def _remove_left_behind(path: Path, own: Path) -> None:
    """Remove temporary files of processes that were killed within a write."""
    for other in path.parent.glob(f"{path.name}.*{_TEMPORARY}"):
        maker = other.name.removeprefix(f"{path.name}.").removesuffix(_TEMPORARY)
        if other == own or not maker.isdecimal():
            continue
        with contextlib.suppress(OSError):
            if not os.path.exists(f"/proc/{maker}"):
                other.unlink(missing_ok=True)
