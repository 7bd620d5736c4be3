"""Retention of captures in a folder that nodes share: deletes what exceeds its budget at regular intervals.  Pure.

The folder is the receiver: it keeps the highest token seen in a file of its own, under a lock, and refuses older ones
(:mod:`.captures`).
"""

from __future__ import annotations

from typing import Any

from stonetrack.controller.jobs import Facts, Step, Wait, WithoutTimes
from stonetrack.settings.schema import Strict


class RetentionSettings(Strict, frozen=True):
    """Settings of the retention; off where ``folder`` is empty."""

    folder: str = ""
    budget_bytes: int = 1 << 30
    every_s: float = 60.0


class RetentionJob(WithoutTimes):
    """Applies the budget of a capture folder every ``every_s`` seconds."""

    name = "keeping"

    def __init__(self, settings: RetentionSettings) -> None:
        self.settings = settings

    def initial_state(self) -> dict[str, Any]:
        """See ``jobs.Job``."""
        return {"at": 0.0, "deleted": 0}

    def next_step(self, state: dict[str, Any], facts: Facts) -> Step | Wait:
        """See ``jobs.Job``."""
        remaining = state["at"] + self.settings.every_s - facts.at
        if 0 < remaining <= self.settings.every_s:  # after a clock was set back the step is due at once
            return Wait(remaining)
        return Step("retain", {"folder": self.settings.folder, "budget": self.settings.budget_bytes},
                    "what is deleted is gone; a folder within its budget loses nothing")  # fmt: skip

    def state_after(self, state: dict[str, Any], step: Step, result: dict[str, Any], at: float) -> dict[str, Any]:
        """See ``jobs.Job``."""
        return {"at": at, "deleted": state["deleted"] + int(result.get("deleted", 0))}
