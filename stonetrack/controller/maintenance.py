"""Rolling maintenance: drains engines, releases them to an operator, and takes them back, a few at a time.  Pure.

An engine goes through the phases ``waiting``, ``draining`` (listed as draining, receives nothing new), ``out`` (free to
be worked on, for a fixed time), ``back`` (listed as up again, with cold caches) and ``done``.  The number of engines of
a role, and of a cell, that are absent at one time never exceeds its limit; ``back`` ones count until they are warm.  No
further engine is drained while the fleet's service is below its bound, or if it is the last engine of its role.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from stonetrack.controller.jobs import Facts, Step, Wait
from stonetrack.settings.schema import Strict

ABSENT_PHASES = ("draining", "out", "back")


class MaintenanceSettings(Strict, frozen=True):
    """Settings of rolling maintenance."""

    engines: tuple[str, ...] = ()  # names, in the order in which they are drained; empty: no maintenance
    most_of_role: int = 1
    most_of_cell: int = 1
    drain_s: float = 30.0  # from being listed as draining until no request is left there
    out_s: float = 60.0
    warm_s: float = 30.0
    least_service: float = 0.9  # share of requests served below which no further engine is drained


def _phase_step(phase: str, state: str) -> Callable[[str], Step]:
    why = "the same state changes nothing a second time; the phase is the journal's"
    return lambda name: Step("change", {"name": name, "phase": phase, "state": state}, why)


_DRAINING, _OUT = _phase_step("draining", "draining"), _phase_step("out", "draining")
_BACK, _DONE = _phase_step("back", "up"), _phase_step("done", "up")


def withheld_engines(state: Mapping[str, Any], begun: Step | None = None) -> tuple[str, ...]:
    """The engines that are draining or out for maintenance: a list that is published must keep them so.

    A step that was begun counts as done: its effect may have been carried out, and otherwise the leader carries it out.
    """
    phases = {name: phase for name, (phase, _) in state.get("engines", {}).items()}
    if begun is not None:
        phases[begun.args["name"]] = begun.args["phase"]
    return tuple(sorted(name for name, phase in phases.items() if phase in ("draining", "out")))


class MaintenanceJob:
    """Drains the engines of the settings one after another and takes them back."""

    name = "maintenance"

    def __init__(self, settings: MaintenanceSettings) -> None:
        self.settings = settings

    def initial_state(self) -> dict[str, Any]:
        """See ``jobs.Job``."""
        return {"engines": {}}

    def next_step(self, state: dict[str, Any], facts: Facts) -> Step | Wait:
        """See ``jobs.Job``.  Absent engines come back first; then the next one is drained."""
        lines = {str(line["name"]): line for line in facts.engines}
        engines: Mapping[str, Any] = state["engines"]
        next_due_s = 3_600.0
        for name, (phase, since) in sorted(engines.items()):
            durations = {"draining": self.settings.drain_s, "out": self.settings.out_s, "back": self.settings.warm_s}
            if phase not in durations:
                continue
            remaining = since + durations[phase] - facts.at
            if remaining > 0:
                next_due_s = min(next_due_s, remaining)
            else:
                return {"draining": _OUT, "out": _BACK, "back": _DONE}[phase](name)
        for name in self.settings.engines:
            if name in engines or name not in lines:
                continue
            if facts.service is not None and facts.service < self.settings.least_service:
                return Wait(min(next_due_s, 5.0), f"halted: service is {facts.service:.2f}")
            why = self._limit_reached(name, lines, engines)
            if why:
                return Wait(next_due_s, why)
            return _DRAINING(name)
        return Wait(next_due_s, "" if any(p in ABSENT_PHASES for p, _ in engines.values()) else "all done")

    def _limit_reached(self, name: str, lines: Mapping[str, Mapping[str, Any]], engines: Mapping[str, Any]) -> str:
        line = lines[name]
        absent = [lines[n] for n, (phase, _) in engines.items() if phase in ABSENT_PHASES and n in lines]
        roles = Counter(each.get("kind") for each in absent)
        cells = Counter(each.get("cell", 0) for each in absent)
        kind, cell = line.get("kind"), line.get("cell", 0)
        if roles[kind] >= self.settings.most_of_role:
            return f"{roles[kind]} of {kind} are away"
        if cells[cell] >= self.settings.most_of_cell:
            return f"{cells[cell]} of cell {cell} are away"
        up = [n for n, each in lines.items() if each.get("kind") == kind and each.get("state", "up") == "up"]
        if len(up) <= 1:
            return f"{name} is the last {kind} that is up"
        return ""

    def state_after(self, state: dict[str, Any], step: Step, result: dict[str, Any], at: float) -> dict[str, Any]:
        """See ``jobs.Job``."""
        return {"engines": {**state["engines"], step.args["name"]: [step.args["phase"], at]}}

    def shift_times(self, state: dict[str, Any], by: float) -> dict[str, Any]:
        """See ``jobs.Job``."""
        return {"engines": {name: [phase, since + by] for name, (phase, since) in state["engines"].items()}}
