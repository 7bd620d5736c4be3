"""Rolling maintenance: engines are drained, released to whoever maintains them, and taken back, a few at a time.  Pure.

An engine goes through ``waiting``, ``draining`` (told as leaving, nothing new is sent), ``out`` (its time to be worked
on, or until an operator's mark), ``back`` (told as up again; cold) and ``done``.  Never more than the budget of a role,
and of a cell, is away at one time, ``back`` ones counting until they are warm; nothing new goes out while the fleet's
service is below its bound, or while the last engine of a role in a cell would go.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from stonetrack.controller.jobs import Facts, Step, Wait
from stonetrack.settings.schema import Strict

ABSENT_PHASES = ("draining", "out", "back")


class MaintenanceSettings(Strict, frozen=True):
    """Its settings."""

    engines: tuple[str, ...] = ()  # names, in the order in which they go; empty: nothing is to be done
    most_of_role: int = 1
    most_of_cell: int = 1
    drain_s: float = 30.0  # from being told as leaving until nothing is left there
    out_s: float = 60.0
    warm_s: float = 30.0
    least_service: float = 0.9  # share of requests served, below which nothing more goes out


def _telling(phase: str, state: str) -> Callable[[str], Step]:
    why = "the same state changes nothing a second time; the phase is the journal's"
    return lambda name: Step("change", {"name": name, "phase": phase, "state": state}, why)


_DRAINING, _OUT = _telling("draining", "draining"), _telling("out", "draining")
_BACK, _DONE = _telling("back", "up"), _telling("done", "up")


def withheld_engines(state: Mapping[str, Any], begun: Step | None = None) -> tuple[str, ...]:
    """The engines that a maintenance has as leaving or out: whoever publishes a list leaves them so.

    A step that was begun counts as done: it may be, and whoever owns the work carries it out.
    """
    phases = {name: phase for name, (phase, _) in state.get("engines", {}).items()}
    if begun is not None:
        phases[begun.args["name"]] = begun.args["phase"]
    return tuple(sorted(name for name, phase in phases.items() if phase in ("draining", "out")))


class MaintenanceJob:
    """See the module."""

    name = "maintenance"

    def __init__(self, settings: MaintenanceSettings) -> None:
        self.settings = settings

    def initial_state(self) -> dict[str, Any]:
        """See ``jobs.Job``."""
        return {"engines": {}}

    def next_step(self, state: dict[str, Any], facts: Facts) -> Step | Wait:
        """See ``jobs.Job``.  What is away comes back first; then the next one goes out."""
        lines = {str(line["name"]): line for line in facts.engines}
        stands: Mapping[str, Any] = state["engines"]
        soonest = 3_600.0
        for name, (phase, since) in sorted(stands.items()):
            lasts = {"draining": self.settings.drain_s, "out": self.settings.out_s, "back": self.settings.warm_s}
            if phase not in lasts:
                continue
            left = since + lasts[phase] - facts.at
            if left > 0:
                soonest = min(soonest, left)
            else:
                return {"draining": _OUT, "out": _BACK, "back": _DONE}[phase](name)
        for name in self.settings.engines:
            if name in stands or name not in lines:
                continue
            if facts.service is not None and facts.service < self.settings.least_service:
                return Wait(min(soonest, 5.0), f"halted: service is {facts.service:.2f}")
            why = self._full(name, lines, stands)
            if why:
                return Wait(soonest, why)
            return _DRAINING(name)
        return Wait(soonest, "" if any(p in ABSENT_PHASES for p, _ in stands.values()) else "all done")

    def _full(self, name: str, lines: Mapping[str, Mapping[str, Any]], stands: Mapping[str, Any]) -> str:
        line = lines[name]
        away = [lines[n] for n, (phase, _) in stands.items() if phase in ABSENT_PHASES and n in lines]
        roles = Counter(each.get("kind") for each in away)
        cells = Counter(each.get("cell", 0) for each in away)
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
