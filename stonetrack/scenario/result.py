"""The result of a scenario run, as read by the report page and the summary."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from stonetrack.fleet.load import Seen
from stonetrack.fleet.rules import Kill, Verdict
from stonetrack.scenario.script import Scenario


@dataclass
class ScenarioResult:
    """The records and the verdict of one scenario run."""

    scenario: Scenario
    seed: int
    client_records: list[Seen]
    engine_log: list[dict[str, Any]]
    kills: list[Kill]
    injected_faults: list[tuple[float, str, str]]
    load_started: int
    verdict: Verdict
    node_exit_code: int | None
    failed_steps: list[str]
    processor_wait_share: float = 0.0  # share of the time in which work waited for a processor
