"""Feeds captured calls to a new router and compares the actions that it returns."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from stonetrack import api
from stonetrack.capture import codec
from stonetrack.capture.codec import Call, Gap, Header, Record, State
from stonetrack.capture.explain import lines, traced
from stonetrack.capture.revision import Make
from stonetrack.capture.snapshot import restore
from stonetrack.logic import Router


@dataclass(frozen=True, slots=True)
class Difference:
    """The first call for which the router returned other actions."""

    number: int
    call: Call
    replayed_actions: tuple[api.Action, ...]


@dataclass
class ReplayResult:
    """The result of a replay."""

    calls: int = 0
    routers: int = 0
    states: int = 0  # snapshots from which replay resumed
    skipped: int = 0  # calls after a gap, or before the first header
    missing: int = 0  # calls that the capture's gaps count as missing
    difference: Difference | None = None
    damage: list[str] = field(default_factory=list)
    router: Any = None  # after the last call; None after a gap

    @property
    def matches(self) -> bool:
        """Whether every replayed call returned the captured actions."""
        return self.difference is None


def replay(records: Iterable[Record], make: Make = Router, **options: Any) -> ReplayResult:
    """Replay records that are numbered from 0; the options are those of :func:`replay_numbered`."""
    return replay_numbered(enumerate(records), make, **options)


def replay_numbered(
    records: Iterable[tuple[int, Record]],
    make: Make = Router,
    *,
    until: int | None = None,
    request: str = "",
    on_call: Callable[[int, Call, Any], None] | None = None,
    restore_class: type | None = None,
) -> ReplayResult:
    """Replay up to the first difference (in the calls about ``request``, if given), or up to a time.

    ``on_call`` receives each call, with its record's number, and the router after it; ``restore_class`` is the class of
    routers restored from snapshots.
    """
    result = ReplayResult()
    router: Any = None
    for number, record in records:
        if isinstance(record, Header):
            router = result.router = make(record.settings, record.seed)
            result.routers += 1
        elif isinstance(record, State):
            router = result.router = restore(record.data, restore_class)
            result.states += 1
        elif isinstance(record, Gap):
            result.missing += record.count
            router = result.router = None
        elif router is None:
            result.skipped += 1
        else:
            if until is not None and record.at > until:
                return result
            replayed_actions = tuple(router.handle(record.at, record.event))
            result.calls += 1
            if on_call is not None:
                on_call(number, record, router)
            compared = not request or codec.request_of(record.event) == request
            if compared and replayed_actions != record.actions:
                result.difference = Difference(number, record, replayed_actions)
                return result
    return result


def reasons_at(records: Iterable[tuple[int, Record]], number: int) -> list[str]:
    """The reasons of this module's decision at one call, as lines: all candidates with their scores, and the captured
    choice."""
    cls, reasons = traced(Router)
    found: list[str] = []

    def collect_reasons(at: int, call: Call, router: Any) -> None:
        if at == number:
            found.extend(lines(reasons))
        reasons.clear()

    replay_numbered(((n, r) for n, r in records if n <= number), cls, on_call=collect_reasons, restore_class=cls)
    return found
