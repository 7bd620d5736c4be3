"""Starts instances on one listening socket, starts those again that die, and passes on what signals ask.

Each instance is a process of its own that inherits the listening socket and two pipes: a *lifeline*, on which the
supervisor sends settings (a length and JSON) and whose end tells an instance that the supervisor is gone (it drains);
and a *status* pipe, on which it says that it is ready.

- TERM, INT: instances drain within ``timing.drain_ms``; what is left is ended.
- HUP: the settings file is evaluated and checked; wrong settings change nothing, anywhere; right ones go to all.
- An instance that dies is started again after a pause that doubles from 0.1 to 5 s and is 0.1 s again once it has
  lived for ten.

A whole fleet's instances wait for their supervisors' imports, so this module imports little; what tends captures comes
with the first need of it.
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

FIRST_PAUSE, LONGEST_PAUSE, STEADY = 0.1, 5.0, 10.0


@dataclass
class ChildProcess:
    """One instance's place."""

    index: int
    process: subprocess.Popen[bytes] | None = None
    lifeline: int = -1
    status: int = -1
    ready: bool = False
    began: float = 0.0
    pause: float = FIRST_PAUSE
    due: float = 0.0
    starts: int = 0


class Supervisor:
    """See the module."""

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
        self._told_ready = False
        self._tender: MaintenanceRunner | None = None
        if settings.state_dir:
            Path(settings.state_dir).mkdir(parents=True, exist_ok=True)
        self.name = node_name(settings)

    @property
    def url(self) -> str:
        """Where clients connect."""
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
        out = open(self.log_path, "ab") if self.log_path else None  # noqa: SIM115
        try:
            child.process = subprocess.Popen(
                command,
                pass_fds=(self.listener.fileno(), lifeline_read, status_write),
                stderr=out,
                stdin=subprocess.DEVNULL,
            )
        finally:
            os.close(lifeline_read)
            os.close(status_write)
            if out is not None:
                out.close()
        child.ready, child.began, child.starts = False, time.monotonic(), child.starts + 1
        self._send(child, self.settings)

    def _send(self, child: ChildProcess, settings: Node) -> None:
        data = msgspec.json.encode(settings)
        with contextlib.suppress(OSError):
            view = memoryview(len(data).to_bytes(4, "big") + data)
            while view:
                view = view[os.write(child.lifeline, view) :]

    def _reap(self, child: ChildProcess) -> None:
        """Note an instance that has ended."""
        process = child.process
        if process is None or process.poll() is None:
            return
        self.log.warning("instance ended", index=child.index, pid=process.pid, code=process.returncode)
        for fd in (child.lifeline, child.status):
            with contextlib.suppress(OSError):
                os.close(fd)
        child.process, child.lifeline, child.status = None, -1, -1
        lived = time.monotonic() - child.began
        child.pause = FIRST_PAUSE if lived >= STEADY else min(child.pause * 2, LONGEST_PAUSE)
        child.due = time.monotonic() + (FIRST_PAUSE if lived >= STEADY else child.pause / 2)

    # The loop.

    def run(self, ready: Callable[[], None]) -> int:
        """Serve until TERM or INT; ``ready`` is called once when all instances serve.  The exit code."""
        before = {
            number: signal.signal(number, lambda got, _: self._signals.append(got))
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGCHLD)
        }
        old_wake = signal.set_wakeup_fd(self._wake_write, warn_on_full_buffer=False)
        try:
            for child in self.children:
                self._spawn(child)
            self._tend()
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
                    if child.process is None and now >= child.due:
                        self._spawn(child)
                if not self._told_ready and all(child.ready for child in self.children):
                    self._told_ready = True
                    ready()
        finally:
            signal.set_wakeup_fd(old_wake)
            for number, handler in before.items():
                signal.signal(number, handler)
            self.listener.close()
            self._stop_tending()

    def _tend(self) -> None:
        """Look after the folder of captures, where there is one: here, since this process has nothing else to do."""
        wanted = self.settings.capture
        if not wanted.dir or not wanted.tend_share:
            return
        from stonetrack.capture.codec import CaptureError
        from stonetrack.capture.maintenance import MaintenanceRunner

        try:
            self._tender = MaintenanceRunner(
                Path(wanted.dir), budget_bytes=wanted.budget_bytes, log=self.log.warning, cpu_share=wanted.tend_share,
                bytes_per_second=float(wanted.tend_bytes_per_second), states_every=wanted.states_every)  # fmt: skip
            self._tender.start()
        except (CaptureError, OSError) as error:
            self.log.error("captures are not tended", error=str(error))

    def _stop_tending(self) -> None:
        if self._tender is not None:
            self._tender.stop()
            self._tender = None

    def _wait(self) -> None:
        poller = select.poll()
        poller.register(self._wake_read, select.POLLIN)
        by_status = {child.status: child for child in self.children if child.status >= 0 and not child.ready}
        for fd in by_status:
            poller.register(fd, select.POLLIN)
        due = [child.due for child in self.children if child.process is None]
        wait = min([1.0, *(max(0.0, at - time.monotonic()) for at in due)])
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
        """Evaluate the file again; whether the settings changed."""
        try:
            settings = load(self.path, self.variables)
        except SettingsError as error:
            self.log.error("settings refused, nothing changed", errors=[str(p) for p in error.problems])
            return False
        if settings.listen != self.settings.listen:
            self.log.error("settings refused, nothing changed", errors=["$.listen: a change needs a restart"])
            return False
        tend_anew = settings.capture != self.settings.capture
        self.settings = settings
        if tend_anew:
            self._stop_tending()
            self._tend()
        for child in self.children:
            if child.process is not None:
                self._send(child, settings)
        self.log.info("settings sent to all instances")
        return True

    def _stop(self) -> int:
        most = self.settings.timing.drain_ms / 1000.0 + 3.0
        self.log.info("stopping", seconds=most)
        running = [child.process for child in self.children if child.process is not None]
        for process in running:
            process.send_signal(signal.SIGTERM)
        end = time.monotonic() + most
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
    """The next settings on a lifeline, None at its end."""

    def whole(count: int) -> bytes | None:
        data = b""
        while len(data) < count:
            more = os.read(lifeline, count - len(data))
            if not more:
                return None
            data += more
        return data

    head = whole(4)
    return None if head is None else whole(int.from_bytes(head, "big"))


def inherited_listener(fd: int) -> socket.socket:
    """The listening socket that was passed on."""
    return socket.socket(fileno=fd)
