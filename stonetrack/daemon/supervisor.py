"""Starts instances on one listening socket, restarts those that exit, and handles signals.

Each instance is a process of its own that inherits the listening socket and two pipes: a *lifeline*, on which the
supervisor sends settings (a length and JSON), and whose end signals that the supervisor is gone (the instance drains);
and a *status* pipe, on which the instance reports that it is ready.

- TERM, INT: instances drain within ``timing.drain_ms``; those that still run after that are killed.
- HUP: the settings file is evaluated and checked; invalid settings change nothing in any instance, valid ones are sent
  to all.
- An instance that exits is restarted after an exponential delay from 0.1 to 5 s, which is reset once it has run for
  10 s.

Instances start only after their supervisor's imports, so this module imports little; the maintenance of captures is
imported if it is needed.
"""

from __future__ import annotations

import contextlib
import os
import select
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from stonetrack.daemon.limits import raise_limits
from stonetrack.daemon.node_name import node_name
from stonetrack.frontend.host import listen
from stonetrack.settings import Node, SettingsError, load

if TYPE_CHECKING:
    from stonetrack.capture.maintenance import MaintenanceRunner

MIN_BACKOFF_S, MAX_BACKOFF_S, STABLE_AFTER_S = 0.1, 5.0, 10.0


@dataclass
class ChildProcess:
    """An instance's process, its pipes and its restarts; times in seconds of the monotonic clock."""

    index: int
    process: subprocess.Popen[bytes] | None = None
    lifeline: int = -1
    status: int = -1
    ready: bool = False
    started_at: float = 0.0
    backoff: float = MIN_BACKOFF_S
    restart_at: float = 0.0
    starts: int = 0


class Supervisor:
    """Runs the instances of a node."""

    def __init__(
        self,
        path: Path,
        settings: Node,
        instances: int,
        log: Any,
        log_path: Path | None = None,
        variables: dict[str, str] | None = None,
    ) -> None:
        self.path, self.settings, self.log, self.log_path = path, settings, log, log_path
        self.variables = variables or {}
        raise_limits()
        self.listener = listen(settings.listen.host, settings.listen.port, settings.listen.backlog)
        self.port: int = self.listener.getsockname()[1]
        self.children = [ChildProcess(n) for n in range(instances)]
        self._wake_read, self._wake_write = os.pipe2(os.O_CLOEXEC | os.O_NONBLOCK)
        self._signals: list[int] = []
        self._ready_reported = False
        self._maintenance: MaintenanceRunner | None = None
        if settings.state_dir:
            Path(settings.state_dir).mkdir(parents=True, exist_ok=True)
        self.name = node_name(settings)

    @property
    def url(self) -> str:
        """The URL for clients."""
        return f"http://{self.settings.listen.host}:{self.port}"

    # Instances.

    def _spawn(self, child: ChildProcess) -> None:
        lifeline_read, child.lifeline = os.pipe2(os.O_CLOEXEC)
        child.status, status_write = os.pipe2(os.O_CLOEXEC)
        command = [
            sys.executable,
            "-m",
            "stonetrack",
            "instance",
            "--listener",
            str(self.listener.fileno()),
            "--lifeline",
            str(lifeline_read),
            "--status",
            str(status_write),
            "--index",
            str(child.index),
            "--instances",
            str(len(self.children)),
            "--name",
            f"{self.name}-{child.index}",
        ]
        log_file = open(self.log_path, "ab") if self.log_path else None  # noqa: SIM115
        try:
            child.process = subprocess.Popen(
                command,
                pass_fds=(self.listener.fileno(), lifeline_read, status_write),
                stderr=log_file,
                stdin=subprocess.DEVNULL,
            )
        finally:
            os.close(lifeline_read)
            os.close(status_write)
            if log_file is not None:
                log_file.close()
        child.ready, child.started_at, child.starts = False, time.monotonic(), child.starts + 1
        self._send(child, self.settings)

    def _send(self, child: ChildProcess, settings: Node) -> None:
        data = msgspec.json.encode(settings)
        with contextlib.suppress(OSError):
            view = memoryview(len(data).to_bytes(4, "big") + data)
            while view:
                view = view[os.write(child.lifeline, view) :]

    def _reap(self, child: ChildProcess) -> None:
        """Clean up after an instance that has exited, and schedule its restart."""
        process = child.process
        if process is None or process.poll() is None:
            return
        self.log.warning("instance ended", index=child.index, pid=process.pid, code=process.returncode)
        for fd in (child.lifeline, child.status):
            with contextlib.suppress(OSError):
                os.close(fd)
        child.process, child.lifeline, child.status = None, -1, -1
        uptime = time.monotonic() - child.started_at
        child.backoff = MIN_BACKOFF_S if uptime >= STABLE_AFTER_S else min(child.backoff * 2, MAX_BACKOFF_S)
        child.restart_at = time.monotonic() + (MIN_BACKOFF_S if uptime >= STABLE_AFTER_S else child.backoff / 2)

    # Main loop.

    def run(self, ready: Callable[[], None]) -> int:
        """Serve until TERM or INT; call ``ready`` once all instances serve.  Return the exit code."""
        old_handlers = {
            number: signal.signal(number, lambda received, _: self._signals.append(received))
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGCHLD)
        }
        old_wakeup_fd = signal.set_wakeup_fd(self._wake_write, warn_on_full_buffer=False)
        try:
            for child in self.children:
                self._spawn(child)
            self._start_maintenance()
            while True:
                self._wait()
                signals, self._signals = self._signals, []
                for number in signals:
                    if number in (signal.SIGTERM, signal.SIGINT):
                        return self._stop()
                    if number == signal.SIGHUP:
                        self.reload()
                now = time.monotonic()
                for child in self.children:
                    self._reap(child)
                    if child.process is None and now >= child.restart_at:
                        self._spawn(child)
                if not self._ready_reported and all(child.ready for child in self.children):
                    self._ready_reported = True
                    ready()
        finally:
            signal.set_wakeup_fd(old_wakeup_fd)
            for number, handler in old_handlers.items():
                signal.signal(number, handler)
            self.listener.close()
            self._stop_maintenance()

    def _start_maintenance(self) -> None:
        """Start the maintenance of captures, if enabled: in this process, because it is otherwise idle."""
        config = self.settings.capture
        if not config.dir or not config.tend_share:
            return
        from stonetrack.capture.codec import CaptureError
        from stonetrack.capture.maintenance import MaintenanceRunner

        try:
            self._maintenance = MaintenanceRunner(
                Path(config.dir), budget_bytes=config.budget_bytes, log=self.log.warning, cpu_share=config.tend_share,
                bytes_per_second=float(config.tend_bytes_per_second), states_every=config.states_every)  # fmt: skip
            self._maintenance.start()
        except (CaptureError, OSError) as error:
            self.log.error("captures are not tended", error=str(error))

    def _stop_maintenance(self) -> None:
        if self._maintenance is not None:
            self._maintenance.stop()
            self._maintenance = None

    def _wait(self) -> None:
        poller = select.poll()
        poller.register(self._wake_read, select.POLLIN)
        by_status = {child.status: child for child in self.children if child.status >= 0 and not child.ready}
        for fd in by_status:
            poller.register(fd, select.POLLIN)
        restarts = [child.restart_at for child in self.children if child.process is None]
        wait = min([1.0, *(max(0.0, at - time.monotonic()) for at in restarts)])
        for fd, _ in poller.poll(wait * 1000.0):
            if fd == self._wake_read:
                with contextlib.suppress(BlockingIOError):
                    os.read(fd, 4_096)
            elif (child := by_status.get(fd)) is not None and os.read(fd, 64):
                child.ready = True
                self.log.info(
                    "instance ready",
                    index=child.index,
                    pid=child.process.pid if child.process else 0,
                    starts=child.starts,
                )

    def reload(self) -> bool:
        """Evaluate the settings file again and send the settings to all instances; return whether it was valid."""
        try:
            settings = load(self.path, self.variables)
        except SettingsError as error:
            self.log.error("settings refused, nothing changed", errors=[str(p) for p in error.problems])
            return False
        if settings.listen != self.settings.listen:
            self.log.error("settings refused, nothing changed", errors=["$.listen: a change needs a restart"])
            return False
        restart_maintenance = settings.capture != self.settings.capture
        self.settings = settings
        if restart_maintenance:
            self._stop_maintenance()
            self._start_maintenance()
        for child in self.children:
            if child.process is not None:
                self._send(child, settings)
        self.log.info("settings sent to all instances")
        return True

    def _stop(self) -> int:
        timeout = self.settings.timing.drain_ms / 1000.0 + 3.0
        self.log.info("stopping", seconds=timeout)
        running = [child.process for child in self.children if child.process is not None]
        for process in running:
            process.send_signal(signal.SIGTERM)
        end = time.monotonic() + timeout
        clean = True
        for process in running:
            try:
                process.wait(max(0.01, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                self.log.error("instance did not end in time and is killed", pid=process.pid)
                process.kill()
                process.wait()
                clean = False
        return 0 if clean else 1


def read_settings(lifeline: int) -> bytes | None:
    """Read the next settings from a lifeline; return None at its end."""

    def read_exactly(count: int) -> bytes | None:
        data = b""
        while len(data) < count:
            chunk = os.read(lifeline, count - len(data))
            if not chunk:
                return None
            data += chunk
        return data

    length = read_exactly(4)
    return None if length is None else read_exactly(int.from_bytes(length, "big"))


def inherited_listener(fd: int) -> socket.socket:
    """Return the listening socket inherited from the supervisor."""
    return socket.socket(fileno=fd)
