"""The log of what passed on the stand-ins' sockets: one JSON object a line, times from the machine's monotonic clock.

It is written where bytes come and go, beside the engines' logic: an engine that hangs still shows what reached its
socket.  Kinds (``what``):

- ``up``, ``down``, ``fell``: an engine starts (with how cold), ends, falls over; with its capacity, for the judge.
- ``request``: a whole request arrived (``job``: read, write, whole, release, hold, probe), with its id, attempt,
  instance, tokens to read.
- ``answer``: the head of an answer left; ``first``: the first event of a stream; ``done``: the last byte.
- ``left``: the peer closed or reset before the answer was done; ``cut``: the engine closed before it.
- ``state``: a read state begins to wait; ``taken``, ``let go``, ``state lost``: it ends; ``place`` likewise.
- ``told``: a list went out to an instance, with the engines that it names as leaving.
"""

from __future__ import annotations

import threading
import time
from pathlib import Path
from typing import Any

import msgspec


class Tap:
    """Appends records; ``flush`` writes them out."""

    def __init__(self, path: Path | None) -> None:
        self._file = open(path, "ab", buffering=0) if path else None  # noqa: SIM115  (open as long as the tap)
        self._waiting: list[bytes] = []
        self._lock = threading.Lock()
        self._encode = msgspec.json.Encoder().encode
        self.records: list[dict[str, Any]] = []

    def note(self, what: str, **fields: Any) -> None:
        """Add a record with the time of now."""
        record = {"t": time.monotonic_ns(), "what": what, **fields}
        if self._file is None:
            self.records.append(record)
        else:
            with self._lock:
                self._waiting.append(self._encode(record))

    def flush(self) -> None:
        """Write out what waits."""
        if self._file is not None and self._waiting:
            with self._lock:
                lines, self._waiting = self._waiting, []
            self._file.write(b"\n".join(lines) + b"\n")


def read(path: Path) -> list[dict[str, Any]]:
    """All whole records of a log, in order of time."""
    records = []
    for line in path.read_bytes().split(b"\n"):
        if line:
            try:
                records.append(msgspec.json.decode(line))
            except msgspec.DecodeError:
                continue  # a torn last line of a process that was killed
    records.sort(key=lambda record: record["t"])
    return records
