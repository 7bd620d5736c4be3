"""A scenario: fleet, node, clients and faults, defined by a Jsonnet file.

Times are milliseconds from the start of the load.  A fault names its engines or lets the seed draw some of a role; the
seed also shifts it by up to ``jitter_ms``.  :func:`plan` derives the timed steps from a scenario and a seed,
deterministically; this module runs nothing.
"""

from __future__ import annotations

import random
from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta

from stonetrack.api import Role
from stonetrack.emulator.engine import Spec
from stonetrack.emulator.host import FAULTS
from stonetrack.fleet.traffic import Clients, Step
from stonetrack.settings import SettingsError, decode, evaluate
from stonetrack.settings.check import Problem
from stonetrack.settings.schema import Strict

INSTANCE_FAULTS = ("kill", "reload")
LOAD_FAULTS = ("burst", "new_beginning")


class ScheduledFault(Strict, frozen=True, kw_only=True):
    """A scheduled fault; ``args`` holds the parameters of its kind."""

    at_ms: int
    what: str
    engines: tuple[str, ...] = ()
    role: Role | None = None
    count: Annotated[int, Meta(ge=1)] = 1
    instance: int = 0
    jitter_ms: int = 0
    args: dict[str, Any] = {}


class Scenario(Strict, frozen=True, kw_only=True):
    """A complete scenario."""

    name: str
    seconds: Annotated[float, Meta(gt=0.0, le=3_600.0)]
    instances: Annotated[int, Meta(ge=1, le=64)] = 3
    engines: tuple[Spec, ...]
    clients: Clients
    troubles: tuple[ScheduledFault, ...] = ()
    list_delay_ms: float = 300.0
    settings: dict[str, Any] = {}
    seed_offset: int = 0


def load_scenario(path: Path) -> Scenario:
    """Load a scenario from a file.  Raises SettingsError naming invalid and allowed values."""
    scenario = decode(evaluate(path), Scenario, str(path))
    problems = list(_problems(scenario))
    if problems:
        raise SettingsError(problems, str(path))
    return scenario


def _problems(scenario: Scenario) -> list[Problem]:
    problems = []
    names = {spec.name for spec in scenario.engines}
    allowed = (*FAULTS, *INSTANCE_FAULTS, *LOAD_FAULTS)
    for n, fault in enumerate(scenario.troubles):
        at = f"$.troubles[{n}]"
        if fault.what not in allowed:
            problems.append(Problem(f"{at}.what", fault.what, ", ".join(allowed)))
        for engine in fault.engines:
            if engine not in names:
                problems.append(Problem(f"{at}.engines", engine, ", ".join(sorted(names))))
        if fault.what == "kill" and fault.instance >= scenario.instances:
            problems.append(Problem(f"{at}.instance", fault.instance, f"0 to {scenario.instances - 1}"))
    if len(names) != len(scenario.engines):
        problems.append(Problem("$.engines", "a name that stands twice", "each name once"))
    return problems


def plan(scenario: Scenario, seed: int) -> list[Step]:
    """The steps of a scenario ordered by time, with engines and jitter drawn by the seed."""
    random_source = random.Random(f"{scenario.name}/{seed}")
    steps = []
    for fault in scenario.troubles:
        at = (fault.at_ms + random_source.uniform(-1.0, 1.0) * fault.jitter_ms) / 1_000.0
        selected: list[str] = list(fault.engines)
        if fault.what in FAULTS and fault.what != "list_late" and not selected:
            pool = [s.name for s in scenario.engines if fault.role is None or s.role is fault.role]
            selected = random_source.sample(pool, min(fault.count, len(pool)))
        for engine in selected or [""]:
            steps.append(Step(max(at, 0.0), fault.what, engine, fault.instance, dict(fault.args)))
    return sorted(steps, key=lambda step: step.at)
