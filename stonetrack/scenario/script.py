"""The scenario of a bad day: fleet, node, clients and troubles, as a Jsonnet file gives them.

Times are milliseconds from the start of the load.  A trouble names its engine, or lets the seed pick some of a role;
``jitter_ms`` moves it by the seed.  Nothing here runs anything: :func:`plan` turns a day and a seed into a list of
dated steps, the same list every time.
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

INSTANCE_TROUBLES = ("kill", "reload")
LOAD_TROUBLES = ("burst", "new_beginning")


class Trouble(Strict, frozen=True, kw_only=True):
    """One trouble; what else it needs stands in ``args``."""

    at_ms: int
    what: str
    engines: tuple[str, ...] = ()
    role: Role | None = None
    count: Annotated[int, Meta(ge=1)] = 1
    instance: int = 0
    jitter_ms: int = 0
    args: dict[str, Any] = {}


class Day(Strict, frozen=True, kw_only=True):
    """A whole day."""

    name: str
    seconds: Annotated[float, Meta(gt=0.0, le=3_600.0)]
    instances: Annotated[int, Meta(ge=1, le=64)] = 3
    engines: tuple[Spec, ...]
    clients: Clients
    troubles: tuple[Trouble, ...] = ()
    list_delay_ms: float = 300.0
    settings: dict[str, Any] = {}
    seed_offset: int = 0


def load_day(path: Path) -> Day:
    """A day from a file.  Raises SettingsError naming what is wrong and what is allowed."""
    day = decode(evaluate(path), Day, str(path))
    wrong = list(_problems(day))
    if wrong:
        raise SettingsError(wrong, str(path))
    return day


def _problems(day: Day) -> list[Problem]:
    wrong = []
    names = {spec.name for spec in day.engines}
    allowed = (*FAULTS, *INSTANCE_TROUBLES, *LOAD_TROUBLES)
    for n, trouble in enumerate(day.troubles):
        at = f"$.troubles[{n}]"
        if trouble.what not in allowed:
            wrong.append(Problem(f"{at}.what", trouble.what, ", ".join(allowed)))
        for engine in trouble.engines:
            if engine not in names:
                wrong.append(Problem(f"{at}.engines", engine, ", ".join(sorted(names))))
        if trouble.what == "kill" and trouble.instance >= day.instances:
            wrong.append(Problem(f"{at}.instance", trouble.instance, f"0 to {day.instances - 1}"))
    if len(names) != len(day.engines):
        wrong.append(Problem("$.engines", "a name that stands twice", "each name once"))
    return wrong


def plan(day: Day, seed: int) -> list[Step]:
    """The day's troubles in order of time, picks and jitter drawn by the seed."""
    draw = random.Random(f"{day.name}/{seed}")
    steps = []
    for trouble in day.troubles:
        at = (trouble.at_ms + draw.uniform(-1.0, 1.0) * trouble.jitter_ms) / 1_000.0
        picked: list[str] = list(trouble.engines)
        if trouble.what in FAULTS and trouble.what != "list_late" and not picked:
            pool = [s.name for s in day.engines if trouble.role is None or s.role is trouble.role]
            picked = draw.sample(pool, min(trouble.count, len(pool)))
        for engine in picked or [""]:
            steps.append(Step(max(at, 0.0), trouble.what, engine, trouble.instance, dict(trouble.args)))
    return sorted(steps, key=lambda step: step.at)
