"""Checks of engines on behalf of all nodes: one prober in place of hundreds.  Pure.

An engine that did not answer ``fails`` checks in a row is published in the list with the moment at which that began
(``failing``), and published again as well once it answers.  Nothing is published in between, so that a fleet hears of
changes alone.  Nodes take it as a hint (``engines.failure_hints``).

Never more than ``most_share`` of a role is published as failing at one time: a prober that is cut off itself, or mad,
sees all of them fail, and must not have the fleet leave them out.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any

from msgspec import Meta

from stonetrack.controller.jobs import Facts, Step, Wait, WithoutTimes
from stonetrack.settings.schema import Share, Strict


class HealthCheckSettings(Strict, frozen=True):
    """Its settings; off where ``every_s`` is 0."""

    every_s: Annotated[float, Meta(ge=0.0, le=600.0)] = 0.0
    timeout_s: Annotated[float, Meta(gt=0.0, le=60.0)] = 0.5
    fails: Annotated[int, Meta(ge=1, le=100)] = 2
    most_share: Share = 0.3


class CheckTally:
    """Checks as they were answered, in the memory of one owner: a successor begins anew."""

    def __init__(self, fails: int) -> None:
        self._fails = fails
        self._in_row: dict[str, tuple[int, float]] = {}  # failed checks in a row, since when

    def add(self, answered: Mapping[str, bool], at: float) -> dict[str, float | None]:
        """One round.  For each engine since when it fails, 0 for one that answers, None while that is not known."""
        told: dict[str, float | None] = {}
        row: dict[str, tuple[int, float]] = {}
        for name, good in answered.items():
            if good:
                told[name] = 0.0
                continue
            count, since = self._in_row.get(name, (0, at))
            row[name] = (count + 1, since)
            told[name] = since if count + 1 >= self._fails else None
        self._in_row = row
        return told


class HealthCheckJob(WithoutTimes):
    """See the module."""

    name = "checking"

    def __init__(self, settings: HealthCheckSettings) -> None:
        self.settings = settings

    def initial_state(self) -> dict[str, Any]:
        """See ``jobs.Job``."""
        return {"published": 0}

    def next_step(self, state: dict[str, Any], facts: Facts) -> Step | Wait:
        """See ``jobs.Job``.  What answers again comes first, so that the share has room."""
        stands = {str(line["name"]): line for line in facts.engines}
        known = {name: since for name, since in facts.failing.items() if name in stands and since is not None}
        changes = [(name, since) for name, since in known.items() if bool(since) != bool(stands[name].get("failing"))]
        for name, since in sorted(changes, key=lambda change: (bool(change[1]), change[0])):
            if since and (why := self._too_many(stands, stands[name].get("kind"))):
                return Wait(self.settings.every_s, why)
            return Step("check", {"name": name, "failing": since}, "the same word changes nothing a second time")
        return Wait(self.settings.every_s)

    def _too_many(self, stands: Mapping[str, Mapping[str, Any]], kind: Any) -> str:
        of_kind = [line for line in stands.values() if line.get("kind") == kind]
        failing = sum(bool(line.get("failing")) for line in of_kind)
        if failing + 1 > self.settings.most_share * len(of_kind):
            return f"{failing} of {len(of_kind)} {kind} are published as failing; more are not, it may be this steward"
        return ""

    def state_after(self, state: dict[str, Any], step: Step, result: dict[str, Any], at: float) -> dict[str, Any]:
        """See ``jobs.Job``."""
        return {"published": state["published"] + 1}
