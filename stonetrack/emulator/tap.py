"""The traffic log of the emulators' sockets: one JSON object per line, times from the machine's monotonic clock.

Records are written where bytes are sent and received, not in the engine logic: the log of a hanging engine still shows
what reached its socket.  Kinds (``what``):

- ``up``, ``down``, ``fell``: an engine starts (with its slow-start parameters and capacity), ends, crashes.
- ``request``: a complete request arrived (``job``: read, write, whole, release, hold, probe), with its id, attempt and
  instance.
- ``answer``: the head of an answer was sent; ``first``: the first event of a stream; ``done``: the last byte.
- ``left``: the peer closed or reset the connection before the end of the answer; ``cut``: the engine closed it.
- ``state``: a state is held; ``taken``, ``let go``, ``state lost``: it was fetched, released, lost; ``place``: a
  reservation is held.
- ``told``: a server list was sent to an instance, with the engines that it lists as draining.
"""

from __future__ import annotations

import threading
import time
from pathlib import Path
from typing import Any

import msgspec


class Tap:
    """Buffers records; :meth:`flush` writes them to the file, without a file they stay in ``records``."""

    def __init__(self, path: Path | None) -> None:
        self._file = open(path, "ab", buffering=0) if path else None  # noqa: SIM115  (stays open with the tap)
        self._pending: list[bytes] = []
        self._lock = threading.Lock()
        self._encode = msgspec.json.Encoder().encode
        self.records: list[dict[str, Any]] = []

    def record(self, what: str, **fields: Any) -> None:
        """Add a record with the current time."""
        record = {"t": time.monotonic_ns(), "what": what, **fields}
        if self._file is None:
            self.records.append(record)
        else:
            with self._lock:
                self._pending.append(self._encode(record))

    def flush(self) -> None:
        """Write the buffered records."""
        if self._file is not None and self._pending:
            with self._lock:
                lines, self._pending = self._pending, []
            self._file.write(b"\n".join(lines) + b"\n")


def read(path: Path) -> list[dict[str, Any]]:
    """All complete records of a log, ordered by time."""
    records = []
    for line in path.read_bytes().split(b"\n"):
        if line:
            try:
                records.append(msgspec.json.decode(line))
            except msgspec.DecodeError:
                continue  # incomplete last line of a killed process
    records.sort(key=lambda record: record["t"])
    return records
