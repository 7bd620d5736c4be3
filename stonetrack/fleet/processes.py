"""Programs of ours as processes: started, told apart, faulted and ended, whatever happens to who started them.

Each runs in a session of its own, so that a signal reaches all that it started, and ends by itself when its starter is
gone (Linux's parent-death signal).  Used by the fleet's rig, the day and the demo.
"""

from __future__ import annotations

import contextlib
import ctypes
import os
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from stonetrack.engines.calls import CallFailed, call
from stonetrack.wire import writer

FULL = 200  # bytes that a file may have on a full disk: the line that says where the program listens, no more
_DEATH_SIGNAL = 1  # PR_SET_PDEATHSIG, <linux/prctl.h>
_libc = ctypes.CDLL(None)


def follow_parent() -> None:
    """For a child between fork and exec: end with whoever started it."""
    _libc.prctl(_DEATH_SIGNAL, signal.SIGTERM, 0, 0, 0)


def address_of(url: str) -> tuple[str, int]:
    """Host and port of a URL as the programs print it."""
    host, _, port = url.removeprefix("http://").partition("/")[0].rpartition(":")
    return host, int(port)


@dataclass
class Process:
    """A program of ours that says ``ready URL``."""

    running: subprocess.Popen[str]
    url: str

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return address_of(self.url)


@contextlib.contextmanager
def program(*arguments: str, grace: float = 15.0) -> Iterator[Process]:
    """Run ``stonetrack`` with some arguments until the block ends."""
    running = subprocess.Popen(
        [sys.executable, "-m", "stonetrack", *arguments], stdout=subprocess.PIPE, stdin=subprocess.DEVNULL, text=True
    )
    try:
        line = running.stdout.readline() if running.stdout else ""
        if not line.startswith("ready "):
            raise RuntimeError(f"stonetrack {arguments[0]} did not start (it said {line!r})")
        yield Process(running, line.split()[1])
    finally:
        end(running, grace)


def end(running: subprocess.Popen[str], grace: float) -> None:
    """TERM, and KILL after so many seconds."""
    running.terminate()
    try:
        running.wait(grace)
    except subprocess.TimeoutExpired:
        running.kill()
        running.wait()


def inject(control: tuple[str, int], engine: str, fault: str, args: dict[str, Any]) -> None:
    """Have the stand-ins carry out a fault.  Raises CallFailed, with what they say is allowed where they refuse it."""
    body = msgspec.json.encode({"engine": engine, "fault": fault, **args})
    request = writer.request("POST", "/fault", [("Host", control[0]), ("Connection", "close")], body)
    status, answer = call(*control, request, 5.0)
    if status != 200:
        raise CallFailed(answer.decode("utf-8", "replace"))


@dataclass
class Part:
    """A program of a fleet that may be ended and started again.

    ``root`` is the checkout whose ``stonetrack`` it runs, ``env`` what it is told beside; what it prints goes to
    ``folder``.
    """

    name: str
    arguments: tuple[str, ...]
    folder: Path
    root: Path
    env: dict[str, str] = field(default_factory=dict)
    running: subprocess.Popen[bytes] | None = None
    starts: int = 0
    url: str = ""
    full_disk: bool = False

    def start(self) -> None:
        """Start it, if it does not run."""
        if self.alive:
            return
        self.folder.mkdir(parents=True, exist_ok=True)
        self.starts, self.url = self.starts + 1, ""
        env = {**os.environ, **self.env, "PYTHONPATH": str(self.root), "PYTHONDONTWRITEBYTECODE": "1"}
        with open(self._out, "wb") as out, open(self.folder / "err.txt", "ab") as err:
            self.running = subprocess.Popen(
                [sys.executable, "-m", "stonetrack", *self.arguments], stdout=out, stderr=err, env=env,
                stdin=subprocess.DEVNULL, start_new_session=True, cwd=self.root, preexec_fn=follow_parent)  # fmt: skip
        if self.full_disk:
            resource.prlimit(self.running.pid, resource.RLIMIT_FSIZE, (FULL, resource.RLIM_INFINITY))

    @property
    def _out(self) -> Path:
        return self.folder / f"out-{self.starts}.txt"

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.running is not None and self.running.poll() is None

    def ready(self) -> bool:
        """Whether it has said that it is; ``url`` is then known."""
        if not self.url and self.running is not None:
            with contextlib.suppress(OSError):
                for line in self._out.read_text("utf-8", "replace").splitlines():
                    if line.startswith("ready "):
                        self.url = line.split()[1]
        return bool(self.url)

    def wait_ready(self, seconds: float) -> None:
        """Wait for it.  Raises RuntimeError with what it said where it does not come."""
        until = time.monotonic() + seconds
        while not self.ready():
            if not self.alive or time.monotonic() > until:
                said = (self.folder / "err.txt").read_text("utf-8", "replace")[-2_000:]
                raise RuntimeError(f"{self.name} did not start: {said}")
            time.sleep(0.02)

    def signal(self, number: int) -> None:
        """A signal to the process and all that it started."""
        if self.running is not None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.running.pid, number)

    def kill(self) -> None:
        """KILL, and wait until it is gone."""
        self.signal(signal.SIGKILL)
        if self.running is not None:
            self.running.wait()

    def finish(self, until: float) -> bool:
        """Wait until a time of the monotonic clock, then KILL what is left; whether it had ended by itself."""
        if self.running is None:
            return True
        try:
            self.running.wait(max(0.01, until - time.monotonic()))
            clean = True
        except subprocess.TimeoutExpired:
            clean = False
        self.kill()
        return clean
