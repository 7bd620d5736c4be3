"""Carries out what :mod:`stonetrack.bootstrap.readiness_stages` decides: connections opened ahead, readiness and
its log lines.

One thread, which lives until the node is ready and comes back when it is not any more.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from stonetrack.api import Role
from stonetrack.bootstrap.readiness_stages import ReadinessSettings, Stage, StageMachine
from stonetrack.settings import Node

MS = 1_000_000
AGAIN = 0.25  # seconds between two rounds of connections


def readiness_settings(settings: Node) -> ReadinessSettings:
    """What the settings allow."""
    source = settings.source
    return ReadinessSettings(source.saved_ms * MS, source.reach, source.patience_ms * MS)


def required_roles(settings: Node) -> tuple[frozenset[str], ...]:
    """Roles of which one engine must be there each."""
    mixed, writer = Role.MIXED.value, Role.DECODE.value
    reads = {Role.PREFILL.value, mixed} | ({writer} if settings.routing.writers_read else set())
    return frozenset(reads), frozenset({writer, mixed})


class Readiness:
    """See the module; ``reach`` opens a connection to an engine and says whether one came about."""

    def __init__(
        self,
        settings: Node,
        clock: Callable[[], int],
        reach: Callable[[str], bool],
        say: Callable[[str], None],
        draw: random.Random,
    ) -> None:
        self._clock, self._reach, self._say, self._draw = clock, reach, say, draw
        self._starting = StageMachine(readiness_settings(settings), required_roles(settings))
        self._lock = threading.Lock()
        self._running = False
        self._stop = threading.Event()
        self.ready = threading.Event()

    @property
    def stage(self) -> Stage:
        """Where the node stands."""
        return self._starting.stage

    @property
    def on_saved_list(self) -> bool:
        """Whether it serves on a list from before its start that the service has not confirmed."""
        return self._starting.on_saved_list

    def not_ready_reason(self) -> str:
        """Why it is not ready; empty where it is."""
        with self._lock:
            return self._starting.not_ready_reason()

    def stop(self) -> None:
        """End the thread."""
        self._stop.set()

    def restore_saved(self, up: dict[str, str], age: int) -> bool:
        """A saved list was found, with these engines up; whether it may be acted on."""
        with self._lock:
            usable = self._starting.restore_saved(up, age, self._clock())
        self._changed()
        return usable

    def confirm_list(self, up: dict[str, str]) -> None:
        """A document of the service is in force, with these engines up."""
        with self._lock:
            before = self._starting.stage
            self._starting.confirm_list(up, self._clock())
            start = self._starting.stage is Stage.FRESH_LIST and not self._running
            self._running |= start
        if self._starting.stage is not before:
            self._changed()
        if start:
            threading.Thread(target=self._connect, name="reach", daemon=True).start()

    def _changed(self) -> None:
        stage = self._starting.stage
        if stage is Stage.READY:
            self.ready.set()
        else:
            self.ready.clear()
        why = self._starting.not_ready_reason()
        self._say(f"stage: {stage.value}{' (saved list)' if self.on_saved_list else ''}{f', {why}' if why else ''}")

    def _connect(self) -> None:
        """Rounds of connections, each to other engines, until the node is ready."""
        while not self._stop.is_set():
            with self._lock:
                engines = self._starting.engines
                targets = self._starting.connection_targets((self._draw.random(), name) for name in engines)
            for name in targets:
                if self._reach(name):
                    with self._lock:
                        self._starting.connected(name, self._clock())
            with self._lock:
                self._starting.tick(self._clock())
                done = self._starting.stage is not Stage.FRESH_LIST
                self._running = not done
            if done:
                self._changed()
                return
            self._stop.wait(AGAIN + self._draw.random() * AGAIN)
