"""Health checks of engines on behalf of all nodes: one prober in place of hundreds.  Pure.

An engine that failed ``fails`` checks in a row is published in the list with the time at which the failures began
(``failing``), and published again once it answers.  Nothing is published in between, so that the fleet receives only
changes.  Nodes take it as a hint (``engines.failure_hints``).

Never more than ``most_share`` of a role is published as failing at one time: a prober that is cut off or defective sees
all of them fail, and must not make the fleet eject them.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any

from msgspec import Meta

from stonetrack.controller.jobs import Facts, Step, Wait, WithoutTimes
from stonetrack.settings.schema import Share, Strict


class HealthCheckSettings(Strict, frozen=True):
    """Settings of the health checks; off where ``every_s`` is 0."""

    every_s: Annotated[float, Meta(ge=0.0, le=600.0)] = 0.0
    timeout_s: Annotated[float, Meta(gt=0.0, le=60.0)] = 0.5
    fails: Annotated[int, Meta(ge=1, le=100)] = 2
    most_share: Share = 0.3


class CheckTally:
    """Counts failed checks in the memory of one leader: a successor starts from zero."""

    def __init__(self, fails: int) -> None:
        self._fails = fails
        self._in_row: dict[str, tuple[int, float]] = {}  # failed checks in a row, Unix time of the first

    def add(self, answered: Mapping[str, bool], at: float) -> dict[str, float | None]:
        """Add one round of checks.  Returns since when each engine fails, 0 if it answers, None while undecided."""
        failing_since: dict[str, float | None] = {}
        in_row: dict[str, tuple[int, float]] = {}
        for name, healthy in answered.items():
            if healthy:
                failing_since[name] = 0.0
                continue
            count, since = self._in_row.get(name, (0, at))
            in_row[name] = (count + 1, since)
            failing_since[name] = since if count + 1 >= self._fails else None
        self._in_row = in_row
        return failing_since


class HealthCheckJob(WithoutTimes):
    """Publishes which engines fail their checks."""

    name = "checking"

    def __init__(self, settings: HealthCheckSettings) -> None:
        self.settings = settings

    def initial_state(self) -> dict[str, Any]:
        """See ``jobs.Job``."""
        return {"published": 0}

    def next_step(self, state: dict[str, Any], facts: Facts) -> Step | Wait:
        """See ``jobs.Job``.  Recovered engines come first, since they free room in the share."""
        listed = {str(line["name"]): line for line in facts.engines}
        known = {name: since for name, since in facts.failing.items() if name in listed and since is not None}
        changes = [(name, since) for name, since in known.items() if bool(since) != bool(listed[name].get("failing"))]
        for name, since in sorted(changes, key=lambda change: (bool(change[1]), change[0])):
            if since and (why := self._share_reached(listed, listed[name].get("kind"))):
                return Wait(self.settings.every_s, why)
            return Step("check", {"name": name, "failing": since}, "the same word changes nothing a second time")
        return Wait(self.settings.every_s)

    def _share_reached(self, listed: Mapping[str, Mapping[str, Any]], kind: Any) -> str:
        of_role = [line for line in listed.values() if line.get("kind") == kind]
        failing = sum(bool(line.get("failing")) for line in of_role)
        if failing + 1 > self.settings.most_share * len(of_role):
            return f"{failing} of {len(of_role)} {kind} are published as failing; more are not, it may be this steward"
        return ""

    def state_after(self, state: dict[str, Any], step: Step, result: dict[str, Any], at: float) -> dict[str, Any]:
        """See ``jobs.Job``."""
        return {"published": state["published"] + 1}
