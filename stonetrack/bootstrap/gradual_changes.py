"""Large changes of the server list take effect in steps.

All nodes get a new list within the same second, so the whole fleet pays for a change at once: each new engine gets its
part of all shared prefixes, which have to be prefilled again there, and a list that lacks its engines (a service that
lost its source, an empty file) would end service everywhere.

- *New engines* are added in steps ``interval`` apart, each up to a share (``added_share``) of the engines in force, at
  least ``SMALL_CHANGE``.  They are added in the order of the list, so all nodes add the same engines, and only these
  prefill again.  The first list takes effect at once, because no prefix is cached yet.
- *Engines that disappear without having been reported as leaving* stay in force if they are more than ``removed_share``
  of the engines of their kind (and more than ``SMALL_CHANGE``), until the service confirms the list, at the earliest
  after ``CONFIRM_DELAY_NS``.  This guards against an empty list.  If the engines have really left, requests are sent to
  engines that refuse them, which the router detects by itself.
- Engines that are reported as leaving (``draining``, ``removed``) leave at once, however many.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from stonetrack.api import ServerEntry, ServerState

SECOND = 1_000_000_000
SMALL_CHANGE = 8  # number of engines up to which a change takes effect at once
CONFIRM_DELAY_NS = 5 * SECOND


@dataclass(frozen=True, slots=True)
class StepSettings:
    """Limits from the settings; ``added_share`` 0 adds all engines at once, ``removed_share`` 1 trusts every list."""

    added_share: float = 0.25
    interval: int = SECOND
    removed_share: float = 0.5


class GradualServerList:
    """A server list that takes effect in steps; ``in_force`` is the part in effect.  Times are in nanoseconds."""

    def __init__(self, settings: StepSettings) -> None:
        self._settings = settings
        self.in_force: dict[str, ServerEntry] = {}
        self._target: dict[str, ServerEntry] = {}
        self._kept: dict[str, int] = {}  # engines in force that the target lacks, and since when
        self._next_step_at = 0
        self.pending_additions = 0  # new engines that are not in force yet

    @property
    def unconfirmed_removals(self) -> int:
        """Number of engines that disappeared from the list and stay in force until it is confirmed."""
        return len(self._kept)

    @property
    def in_progress(self) -> bool:
        """Whether a part of the list is not in force yet."""
        return bool(self.pending_additions or self._kept)

    def set_target(self, target: Mapping[str, ServerEntry], leaving: frozenset[str], now: int) -> None:
        """Set a new list; ``leaving`` are the names that it, or one before it, reported as leaving."""
        first = not self.in_force
        self._target = dict(target)
        missing = {n for n in self.in_force if n not in target}
        overdue = {n for n, since in self._kept.items() if now - since >= CONFIRM_DELAY_NS}
        accepted = {n for n in missing if n in leaving or n in overdue or self.in_force[n].state is not ServerState.UP}
        self._kept = {n: self._kept.get(n, now) for n in self._mass_removal(missing - accepted)}
        self.in_force = {
            n: target.get(n, entry) for n, entry in self.in_force.items() if n in target or n in self._kept
        }
        if first or not self._settings.added_share:
            self.in_force |= target
        elif any(n not in self.in_force for n in target) and self._next_step_at <= now:
            self._step(now)
        self._count_pending()

    def confirmed(self, now: int) -> bool:
        """The service has confirmed the list; return whether the list in force changed."""
        expired = [n for n, since in self._kept.items() if now - since >= CONFIRM_DELAY_NS]
        for name in expired:
            del self._kept[name]
            self.in_force.pop(name, None)
        return bool(expired)

    def due(self) -> int | None:
        """Return the time of the next step for :meth:`tick`; None if there is none."""
        return self._next_step_at if self.pending_additions else None

    def tick(self, now: int) -> bool:
        """Take a step that is due; return whether the list in force changed."""
        if not self.pending_additions or now < self._next_step_at:
            return False
        self._step(now)
        self._count_pending()
        return True

    def _count_pending(self) -> None:
        self.pending_additions = sum(n not in self.in_force for n in self._target)

    def _step(self, now: int) -> None:
        up = sum(entry.state is ServerState.UP for entry in self.in_force.values())
        limit = max(SMALL_CHANGE, int(self._settings.added_share * up))
        added = [n for n in self._target if n not in self.in_force][:limit]
        self.in_force |= {n: self._target[n] for n in added}
        self._next_step_at = now + self._settings.interval

    def _mass_removal(self, missing: set[str]) -> set[str]:
        """Return the engines of kinds that would lose too many engines at once."""
        if len(missing) <= SMALL_CHANGE:
            return set()
        before = Counter(e.kind for e in self.in_force.values() if e.state is ServerState.UP)
        lost = Counter(self.in_force[n].kind for n in missing)
        return {
            n
            for n in missing
            if lost[self.in_force[n].kind] > self._settings.removed_share * before[self.in_force[n].kind]
        }
