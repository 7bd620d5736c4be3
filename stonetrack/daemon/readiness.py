"""Carries out the decisions of :mod:`stonetrack.bootstrap.readiness_stages`: opens connections in advance, logs stages.

One thread, which runs until the node is ready, and again when it is no longer ready.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from stonetrack.api import Role
from stonetrack.bootstrap.readiness_stages import ReadinessSettings, Stage, StageMachine
from stonetrack.settings import Node

MS = 1_000_000
RETRY_INTERVAL_S = 0.25  # between two rounds of connections, and as much again at random


def readiness_settings(settings: Node) -> ReadinessSettings:
    """Return the limits from the settings."""
    source = settings.source
    return ReadinessSettings(source.saved_ms * MS, source.reach, source.patience_ms * MS)


def required_roles(settings: Node) -> tuple[frozenset[str], ...]:
    """Return sets of roles, of each of which one engine is required."""
    mixed, decode = Role.MIXED.value, Role.DECODE.value
    prefill = {Role.PREFILL.value, mixed} | ({decode} if settings.routing.writers_read else set())
    return frozenset(prefill), frozenset({decode, mixed})


class Readiness:
    """Readiness of the node.

    ``preconnect`` opens a connection to an engine and returns whether it was established.
    """

    def __init__(
        self,
        settings: Node,
        clock: Callable[[], int],
        preconnect: Callable[[str], bool],
        log: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self._clock, self._preconnect, self._log, self._rng = clock, preconnect, log, rng
        self._machine = StageMachine(readiness_settings(settings), required_roles(settings))
        self._lock = threading.Lock()
        self._running = False
        self._stopping = threading.Event()
        self.ready = threading.Event()

    @property
    def stage(self) -> Stage:
        """The current stage."""
        return self._machine.stage

    @property
    def on_saved_list(self) -> bool:
        """Whether the node serves with a saved list that the discovery service has not confirmed."""
        return self._machine.on_saved_list

    def not_ready_reason(self) -> str:
        """Return why the node is not ready; empty if it is."""
        with self._lock:
            return self._machine.not_ready_reason()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping.set()

    def restore_saved(self, up: dict[str, str], age: int) -> bool:
        """A saved list was found, with these engines up; return whether it may be used."""
        with self._lock:
            usable = self._machine.restore_saved(up, age, self._clock())
        self._stage_changed()
        return usable

    def confirm_list(self, up: dict[str, str]) -> None:
        """The discovery service has sent or confirmed the list in force, with these engines up."""
        with self._lock:
            before = self._machine.stage
            self._machine.confirm_list(up, self._clock())
            start_thread = self._machine.stage is Stage.FRESH_LIST and not self._running
            self._running |= start_thread
        if self._machine.stage is not before:
            self._stage_changed()
        if start_thread:
            threading.Thread(target=self._connect, name="reach", daemon=True).start()

    def _stage_changed(self) -> None:
        stage = self._machine.stage
        if stage is Stage.READY:
            self.ready.set()
        else:
            self.ready.clear()
        reason = self._machine.not_ready_reason()
        self._log(
            f"stage: {stage.value}{' (saved list)' if self.on_saved_list else ''}{f', {reason}' if reason else ''}"
        )

    def _connect(self) -> None:
        """Open connections in rounds, each to other engines, until the node is ready."""
        while not self._stopping.is_set():
            with self._lock:
                engines = self._machine.engines
                targets = self._machine.connection_targets((self._rng.random(), name) for name in engines)
            for name in targets:
                if self._preconnect(name):
                    with self._lock:
                        self._machine.connected(name, self._clock())
            with self._lock:
                self._machine.tick(self._clock())
                done = self._machine.stage is not Stage.FRESH_LIST
                self._running = not done
            if done:
                self._stage_changed()
                return
            self._stopping.wait(RETRY_INTERVAL_S + self._rng.random() * RETRY_INTERVAL_S)
