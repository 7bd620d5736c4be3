"""The nodes of a soak run: ``stonetrack edge`` processes with their configuration files, logs and exits."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from stonetrack.fleet.processes import Part

READY_TIMEOUT = 30.0  # seconds
SECOND_TERM_DELAY = 0.3  # seconds after the first SIGTERM
TRUNCATED_CONFIGURATION = b'{"listen": "127.0.0.1'  # invalid JSON: the node must reject the whole file
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Resources that a process holds and has consumed."""

    descriptors: int
    threads: int
    cpu_seconds: float
    memory_bytes: int


@dataclass(frozen=True, slots=True)
class ProcessRun:
    """One run of a node's process.

    Times are monotonic nanoseconds, 0 if not reached.  ``killed``: it did not exit by itself."""

    started: int
    termination_requested: int = 0
    ended: int = 0
    killed: bool = False


class Node:
    """A node with a fixed name and port, across restarts of its process."""

    def __init__(
        self, number: int, port: int, configuration: bytes, folder: Path, trace: bool, program: Path | None = None
    ) -> None:
        self.number, self.port = number, port
        self._configuration = configuration
        folder.mkdir(parents=True, exist_ok=True)
        self._path = folder / "config.json"
        self._path.write_bytes(configuration)
        environment = {"EDGE_CONFIG": str(self._path), **({"EDGE_TRACE": "1"} if trace else {})}
        self.process = Part(self.name, ("edge",), folder, program or Path(__file__).parents[2], environment)
        self.process_runs: list[ProcessRun] = []
        self.crashes: list[str] = []
        self._lock = threading.Lock()
        self.control_lock = threading.Lock()  # held while the process is stopped, started or signalled

    @property
    def name(self) -> str:
        """The node's name, unchanged by restarts."""
        return f"n{self.number}"

    @property
    def address(self) -> tuple[str, int]:
        """The address that clients connect to."""
        return "127.0.0.1", self.port

    @property
    def log_path(self) -> Path:
        """The node's log file."""
        return self.process.folder / "err.txt"

    def start(self) -> None:
        """Start the node's process."""
        with self._lock:
            self.process.start()
            self.process_runs.append(ProcessRun(time.monotonic_ns()))

    def is_up(self) -> bool:
        """Whether the node answers ``GET /up`` with 200."""
        with contextlib.suppress(OSError), socket.create_connection(self.address, timeout=1.0) as sock:
            sock.sendall(b"GET /up HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n")
            return sock.recv(64).startswith(b"HTTP/1.1 200")
        return False

    def wait_until_up(self) -> None:
        """Wait until the node serves.  Raises RuntimeError with the end of its log if it does not start."""
        until = time.monotonic() + READY_TIMEOUT
        while not self.is_up():
            if not self.process.alive or time.monotonic() > until:
                raise RuntimeError(f"{self.name} did not start: {self.log_path.read_text('utf-8', 'replace')[-2_000:]}")
            time.sleep(0.02)

    def check_exit(self) -> None:
        """Record a crash if the process has exited without a termination request."""
        with self._lock:
            running = self.process.running
            if running is None or not self.process_runs or self.process_runs[-1].ended or running.poll() is None:
                return
            self._note_end(False)
            if not self.process_runs[-1].termination_requested or running.returncode != 0:
                self.crashes.append(f"{self.name} ended by itself with {running.returncode}")

    def _note_end(self, killed: bool) -> None:
        last = self.process_runs[-1]
        self.process_runs[-1] = ProcessRun(last.started, last.termination_requested, time.monotonic_ns(), killed)

    def terminate(self, seconds: float) -> bool:
        """Send SIGTERM twice, and SIGKILL after ``seconds``; return whether the process exited by itself."""
        until = time.monotonic() + seconds
        with self._lock:
            last = self.process_runs[-1]
            self.process_runs[-1] = ProcessRun(last.started, time.monotonic_ns())
            self.process.signal(signal.SIGTERM)
        time.sleep(SECOND_TERM_DELAY)
        self.process.signal(signal.SIGTERM)
        clean = self.process.finish(until)
        with self._lock:
            if not self.process_runs[-1].ended:
                self._note_end(not clean)
        return clean

    def kill(self) -> None:
        """Send SIGKILL."""
        with self._lock:
            self.process.kill()
            if self.process_runs and not self.process_runs[-1].ended:
                self._note_end(True)

    def reload(self) -> None:
        """Send SIGHUP three times, the second time with a truncated configuration file."""
        for data in (self._configuration, TRUNCATED_CONFIGURATION, self._configuration):
            self._path.write_bytes(data)
            self.process.signal(signal.SIGHUP)
            time.sleep(0.05)

    def suspend(self, seconds: float) -> None:
        """Stop the process by SIGSTOP for so many seconds."""
        self.process.signal(signal.SIGSTOP)
        time.sleep(seconds)
        self.process.signal(signal.SIGCONT)

    def resource_usage(self) -> ResourceUsage:
        """The current resource usage of the process.  Raises OSError if it has exited."""
        running = self.process.running
        proc = Path("/proc") / str(running.pid if running is not None else 0)
        fields = (proc / "stat").read_text("ascii", "replace").rsplit(")", 1)[1].split()
        cpu = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
        pages = int((proc / "statm").read_text("ascii").split()[1])
        return ResourceUsage(
            len(os.listdir(proc / "fd")), len(os.listdir(proc / "task")), cpu, pages * os.sysconf("SC_PAGE_SIZE")
        )
