"""A day that was played, as the page and the summary read it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from stonetrack.fleet.load import Seen
from stonetrack.fleet.rules import Kill, Verdict
from stonetrack.scenario.script import Day


@dataclass
class Played:
    """A day that was played."""

    day: Day
    seed: int
    seen: list[Seen]
    log: list[dict[str, Any]]
    kills: list[Kill]
    troubles: list[tuple[float, str, str]]
    start: int
    verdict: Verdict
    node_exit: int | None
    failed_steps: list[str]
    waited: float = 0.0  # share of the time in which work waited for a processor
