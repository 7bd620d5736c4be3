"""The clients of a fleet's play, in a process of their own.

Links and clients in one interpreter wait for each other: with eight plays in one process an attempt stood up to 2.3 s
in a link while its client already had its answer, which reads as a broken rule.  So the rig starts this program, tells
it on its standard input which nodes are ready (a JSON list of addresses a line), and reads what was seen from a file.
"""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import threading
from collections.abc import Iterable
from pathlib import Path

import msgspec

from stonetrack.fleet.load import Client, Load, Seen, schedule
from stonetrack.fleet.platform_client import PlatformClient
from stonetrack.fleet.processes import follow_parent
from stonetrack.fleet.traffic import Clients

NOBODY = ("127.0.0.1", 9)  # where nobody listens: what a load balancer without a ready node leads to
SEEN = "seen.json"
PROTOCOLS: dict[str, type[Client]] = {"chat": Client, "platform": PlatformClient}


class Order(msgspec.Struct):
    """What to play; ``out`` is the file for what was seen."""

    clients: Clients
    seconds: float
    seed: int
    out: str
    protocol: str = "chat"


class Apart:
    """A load that runs in its own process."""

    def __init__(self, clients: Clients, seconds: float, seed: int, folder: Path, protocol: str = "chat") -> None:
        self._out = folder / SEEN
        self._out.unlink(missing_ok=True)
        self._running = subprocess.Popen(
            [sys.executable, "-m", "stonetrack.fleet.clients"], stdin=subprocess.PIPE, preexec_fn=follow_parent
        )
        self._lock = threading.Lock()
        self._told = b""
        self._say(msgspec.json.encode(Order(clients, seconds, seed, str(self._out), protocol)))

    def _say(self, line: bytes) -> None:
        assert self._running.stdin is not None
        with self._lock, contextlib.suppress(OSError, ValueError):  # it may have been ended just now
            self._running.stdin.write(line + b"\n")
            self._running.stdin.flush()

    def lead_to(self, nodes: list[tuple[str, int]]) -> None:
        """From now on clients are led to these, in turn."""
        line = msgspec.json.encode(nodes)
        if line != self._told:
            self._told = line
            self._say(line)

    def join(self, seconds: float) -> list[Seen]:
        """What was seen, once all requests have ended.  Raises RuntimeError where that takes too long."""
        try:
            self._running.wait(seconds)
        except subprocess.TimeoutExpired:
            raise RuntimeError(f"clients did not end within {seconds:g} s") from None
        if not self._out.exists():
            raise RuntimeError(f"clients ended with {self._running.returncode} and wrote nothing")
        return msgspec.json.decode(self._out.read_bytes(), type=list[Seen])

    def end(self) -> None:
        """End the process, whatever it does."""
        self._running.kill()
        self._running.wait()
        if self._running.stdin is not None:
            with contextlib.suppress(OSError):
                self._running.stdin.close()


class _Turns:
    """The nodes that are ready, in turn, as a load balancer would."""

    def __init__(self, lines: Iterable[bytes]) -> None:
        self._lines = lines
        self._nodes: list[tuple[str, int]] = []
        self._turn = 0

    def follow(self) -> None:
        """Read who is ready until nobody tells any more."""
        for line in self._lines:
            self._nodes = msgspec.json.decode(line, type=list[tuple[str, int]])

    def next(self) -> tuple[str, int]:
        """Where the next try goes."""
        nodes = self._nodes
        self._turn += 1
        return nodes[self._turn % len(nodes)] if nodes else NOBODY


def main() -> None:
    """Play what the first line of the standard input orders."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    order = msgspec.json.decode(sys.stdin.buffer.readline(), type=Order)
    turns = _Turns(sys.stdin.buffer)
    threading.Thread(target=turns.follow, daemon=True).start()
    planned = schedule(order.clients, order.seconds, order.seed, [])
    make = PROTOCOLS[order.protocol]
    seen = Load(turns.next, order.clients, planned, order.seed, make=make).run(lambda count: None)
    path = Path(order.out)
    path.with_suffix(".tmp").write_bytes(msgspec.json.encode(seen))
    path.with_suffix(".tmp").rename(path)
    os._exit(0)  # without waiting for the thread that reads


if __name__ == "__main__":
    main()
