"""A list that changes much at once comes into force in steps.

Each node takes a new list within the same second as all others, so what a step costs is paid by the whole fleet at
once: every engine that is new takes its share of all shared beginnings, which are read anew there, and a list without
its engines (a service that lost its source, an empty file) would end service everywhere.

- *New engines* come in steps of a share of those in force (``added_share``, ``SMALL_CHANGE`` at least), ``interval``
  apart.  In which order is the list's, the same on all nodes: what one node sends to a new engine, all do, and only
  those read anew.  The first list of all comes at once, since nothing kept is lost.
- *Engines that are gone without having been told as leaving*, if they are more than ``removed_share`` of those in force
  in their role (and more than ``SMALL_CHANGE``), stay in force until the service says the same again,
  ``CONFIRM_DELAY_NS`` later at the earliest.
  Guards against an empty list; acts on a mass of engines that vanish from one version to the next; could harm
  where they are truly gone: requests are sent to engines that refuse them, which the router finds out by itself.
- Whatever leaves by being told (``draining``, ``removed``) leaves at once, however many.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from stonetrack.api import ServerEntry, ServerState

SECOND = 1_000_000_000
SMALL_CHANGE = 8  # engines: below it nothing is a mass
CONFIRM_DELAY_NS = 5 * SECOND


@dataclass(frozen=True, slots=True)
class StepSettings:
    """What the settings allow; ``share`` 0 takes every list whole, ``gone`` 1 believes every list."""

    added_share: float = 0.25
    interval: int = SECOND
    removed_share: float = 0.5


class GradualServerList:
    """See the module.  ``in_force`` is what the router is told."""

    def __init__(self, pace: StepSettings) -> None:
        self._pace = pace
        self.in_force: dict[str, ServerEntry] = {}
        self._target: dict[str, ServerEntry] = {}
        self._kept: dict[str, int] = {}  # gone from the target, held in force: since when
        self._next_at = 0
        self.pending_additions = 0  # new engines that are not in force yet

    @property
    def unconfirmed_removals(self) -> int:
        """Engines that are gone from the list and stay in force until it is confirmed."""
        return len(self._kept)

    @property
    def in_progress(self) -> bool:
        """Whether the list is not wholly in force."""
        return bool(self.pending_additions or self._kept)

    def set_target(self, target: Mapping[str, ServerEntry], told: frozenset[str], now: int) -> None:
        """A list came.  ``told`` are the names that it, or one before it, said to be leaving."""
        first = not self.in_force
        self._target = dict(target)
        gone = {n for n in self.in_force if n not in target}
        old = {n for n, since in self._kept.items() if now - since >= CONFIRM_DELAY_NS}
        believed = {n for n in gone if n in told or n in old or self.in_force[n].state is not ServerState.UP}
        self._kept = {n: self._kept.get(n, now) for n in self._mass(gone - believed)}
        self.in_force = {
            n: target.get(n, entry) for n, entry in self.in_force.items() if n in target or n in self._kept
        }
        if first or not self._pace.added_share:
            self.in_force |= target
        elif any(n not in self.in_force for n in target) and self._next_at <= now:
            self._step(now)
        self._count()

    def confirmed(self, now: int) -> bool:
        """The service says that the list still holds; whether what is in force changed."""
        gone = [n for n, since in self._kept.items() if now - since >= CONFIRM_DELAY_NS]
        for name in gone:
            del self._kept[name]
            self.in_force.pop(name, None)
        return bool(gone)

    def due(self) -> int | None:
        """When :meth:`tick` has something to do; None for never."""
        return self._next_at if self.pending_additions else None

    def tick(self, now: int) -> bool:
        """Take a step that is due; whether what is in force changed."""
        if not self.pending_additions or now < self._next_at:
            return False
        self._step(now)
        self._count()
        return True

    def _count(self) -> None:
        self.pending_additions = sum(n not in self.in_force for n in self._target)

    def _step(self, now: int) -> None:
        up = sum(entry.state is ServerState.UP for entry in self.in_force.values())
        most = max(SMALL_CHANGE, int(self._pace.added_share * up))
        fresh = [n for n in self._target if n not in self.in_force][:most]
        self.in_force |= {n: self._target[n] for n in fresh}
        self._next_at = now + self._pace.interval

    def _mass(self, gone: set[str]) -> set[str]:
        """Those that belong to a role of which too many would be gone at once."""
        if len(gone) <= SMALL_CHANGE:
            return set()
        had = Counter(e.kind for e in self.in_force.values() if e.state is ServerState.UP)
        lost = Counter(self.in_force[n].kind for n in gone)
        return {n for n in gone if lost[self.in_force[n].kind] > self._pace.removed_share * had[self.in_force[n].kind]}
