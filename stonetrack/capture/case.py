"""Cases: regression tests for wrong decisions, each cut from a capture and reduced to the events that it needs.

Theory.  A case holds the settings of a router and a history of events up to one call, with the actions that two
revisions return there: ``then`` from the module with the fault, ``now`` from the one that fixed it.  It is cut in two
steps.  First both modules receive the same events until they differ (or up to a given call).  Then events are removed,
first whole requests and server lists, then single events, by delta debugging (Zeller and Hildebrandt, "Simplifying and
Isolating Failure-Inducing Input", 2002): a part may be removed if the rest is still a *possible* history (each outcome
belongs to an attempt that was sent, to the server it was sent to) in which the first difference remains and is of the
same kind (the same types of action on either side).

Invariant of a case: replayed by the faulty module, each call returns the stored actions; with the fix, the last one
returns ``now``.  Running a case needs neither git nor the old module: the events before the last call are the same for
both.

A case is one file of canonical JSON, which people read and review; times in nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

import msgspec

from stonetrack import api
from stonetrack.capture import codec
from stonetrack.capture.codec import CaptureError, Gap, Header, Record, State
from stonetrack.capture.revision import Make, Module

FORMAT = 1
T = TypeVar("T")


@dataclass(frozen=True)
class Case:
    """One case.  ``events`` are (clock, event); ``faulty_actions`` and ``fixed_actions`` are the last call's actions
    before and after the fix."""

    title: str
    request: str
    fixed_by: str  # the commit that fixed it
    found: str  # where the failure was observed
    settings: api.Settings
    seed: int
    events: tuple[tuple[int, api.Event], ...]
    faulty_actions: tuple[api.Action, ...]
    fixed_actions: tuple[api.Action, ...]
    earlier_actions: tuple[tuple[api.Action, ...], ...] = field(default=())  # of each call before the last


def decisions(
    make: Make, settings: api.Settings, seed: int, events: Iterable[tuple[int, api.Event]]
) -> list[tuple[api.Action, ...]]:
    """The actions that a module returns for each event."""
    router = make(settings, seed)
    return [tuple(router.handle(at, event)) for at, event in events]


def is_possible(events: Sequence[tuple[int, api.Event]], decided: Sequence[tuple[api.Action, ...]]) -> bool:
    """Whether a history could have happened: outcomes only of attempts that were sent, at the server they went to."""
    sent_to: dict[str, str] = {}
    attempt_numbers: dict[str, int] = {}
    pending_timers = 0
    for (_, event), actions in zip(events, decided, strict=True):
        if isinstance(event, (api.AttemptEnded, api.FirstToken)):
            if sent_to.get(event.request) != event.server or event.attempt != attempt_numbers.get(event.request, 0):
                return False
            if isinstance(event, api.AttemptEnded):
                del sent_to[event.request]
                attempt_numbers[event.request] = event.attempt + 1
        elif isinstance(event, api.RequestGone) and event.request not in attempt_numbers:
            return False
        elif isinstance(event, api.RequestArrived):
            attempt_numbers[event.request] = 0
        elif isinstance(event, api.TimerFired):
            pending_timers -= 1
            if pending_timers < 0:
                return False
        for action in actions:
            if isinstance(action, api.Send):
                sent_to[action.request] = action.server
            pending_timers += isinstance(action, api.SetTimer)
    return True


def first_difference(left: Sequence[T], right: Sequence[T]) -> int | None:
    """The index of the first elements that differ, or None."""
    return next((n for n, (a, b) in enumerate(zip(left, right, strict=False)) if a != b), None)


def minimize(parts: list[T], holds: Callable[[list[T]], bool], max_tries: int = 600) -> list[T]:
    """The parts that ``holds`` needs, found by removing ever smaller runs of them; ``max_tries`` limits the calls of
    ``holds``."""
    size = max(1, len(parts) // 2)
    tries = 0
    while True:
        at = 0
        reduced = False
        while at < len(parts) and tries < max_tries:
            remaining = parts[:at] + parts[at + size :]
            tries += 1
            if holds(remaining):
                parts, reduced = remaining, True
            else:
                at += size
        if tries >= max_tries or (size == 1 and not reduced):
            return parts
        size = max(1, size // 2) if not reduced or size > 1 else 1


def recorded_history(records: Iterable[Record]) -> tuple[Header, list[tuple[int, api.Event]]]:
    """The header and the events of one router up to a gap.  Raises CaptureError if the records do not begin with a
    header."""
    header: Header | None = None
    events: list[tuple[int, api.Event]] = []
    for record in records:
        if isinstance(record, Header):
            if header is not None:
                break
            header = record
        elif isinstance(record, (Gap, State)) or header is None:
            break
        else:
            events.append((record.at, record.event))
    if header is None:
        raise CaptureError("the capture does not begin with the creation of a router; a case needs its first segment")
    return header, events


def cut_case(header: Header, events: list[tuple[int, api.Event]], old: Module, new: Module, *, title: str,
             fixed_by: str, found: str, later_make: Make | None = None,
             on_progress: Callable[[str], None] = lambda text: None) -> Case:  # fmt: skip
    """Cut the first decision on which two revisions differ.  ``later_make``, a later revision, must agree with the
    newer one there.

    Raises CaptureError if the two never differ.
    """
    settings, seed = header.settings, header.seed

    old_router, new_router = old.make(settings, seed), new.make(settings, seed)
    at = next(
        (
            n
            for n, (clock, event) in enumerate(events)
            if old_router.handle(clock, event) != new_router.handle(clock, event)
        ),
        None,
    )
    if at is None:
        raise CaptureError(f"{old.name} and {new.name} decide all {len(events)} calls alike")
    events = events[: at + 1]
    last = events[-1]
    faulty = decisions(old.make, settings, seed, events)[-1]
    fixed = decisions(new.make, settings, seed, events)[-1]
    on_progress(f"call {at}: {len(events)} events")

    def action_types(actions: tuple[api.Action, ...]) -> list[str]:
        return [type(action).__name__ for action in actions]

    def decides_same(make: Make, history: list[tuple[int, api.Event]], last: tuple[api.Action, ...]) -> bool:
        try:
            return decisions(make, settings, seed, history)[-1] == last
        except (KeyError, ValueError):  # its earlier decisions differ, so this history is impossible for it
            return False

    def holds(groups: list[list[tuple[int, int, api.Event]]]) -> bool:
        history = [(clock, event) for _, clock, event in sorted((e for g in groups for e in g), key=lambda e: e[0])]
        history.append(last)
        decided = decisions(old.make, settings, seed, history)
        if not is_possible(history, decided) or action_types(decided[-1]) != action_types(faulty):
            return False
        new_decided = decisions(new.make, settings, seed, history)
        if (
            action_types(new_decided[-1]) != action_types(fixed)
            or new_decided[-1] == decided[-1]
            or decided[:-1] != new_decided[:-1]
        ):
            return False
        return later_make is None or decides_same(later_make, history, new_decided[-1])

    grouped: dict[str, list[tuple[int, int, api.Event]]] = {}
    for n, (clock, event) in enumerate(events[:-1]):
        name = codec.request_of(event) or f"{type(event).__name__} {n}"
        grouped.setdefault(name, []).append((n, clock, event))
    if not holds(list(grouped.values())):  # even the whole history fails the conditions: don't reduce it
        if later_make is not None:
            raise CaptureError(f"the later module does not decide {fixed} there, or the history is not complete")
        kept = [(n, clock, event) for n, (clock, event) in enumerate(events[:-1])]
    else:
        groups = minimize(list(grouped.values()), holds)
        on_progress(f"{sum(map(len, groups))} events in {len(groups)} groups")
        kept = [each[0] for each in minimize([[event] for group in groups for event in group], holds)]
        kept.sort(key=lambda e: e[0])
    on_progress(f"{len(kept) + 1} events")
    history = [*((clock, event) for _, clock, event in kept), last]
    decided = decisions(old.make, settings, seed, history)
    faulty, fixed = decided[-1], decisions(new.make, settings, seed, history)[-1]
    request = codec.request_of(last[1]) or next((r for a in (*faulty, *fixed) if (r := getattr(a, "request", ""))), "")
    return Case(title, request, fixed_by, found, settings, seed, tuple(history), faulty, fixed, tuple(decided[:-1]))


@dataclass(frozen=True)
class CaseResult:
    """The result of a case: the first call with other actions than stored and the actions of the last call."""

    first_unexpected: int | None
    last_actions: tuple[api.Action, ...]
    verdict: str  # "fixed", "broken again" or "neither"


def run_case(case: Case, make: Make) -> CaseResult:
    """Run a case.  The verdict is ``fixed`` if the last call returns the fixed actions, ``broken again`` for the faulty
    ones."""
    decided = decisions(make, case.settings, case.seed, case.events)
    last = decided[-1]
    verdict = "fixed" if last == case.fixed_actions else "broken again" if last == case.faulty_actions else "neither"
    return CaseResult(first_difference(decided[:-1], case.earlier_actions), last, verdict)


# The file format.


def _to_arrays(actions: Iterable[api.Action]) -> list[Any]:
    return [codec.to_array(action) for action in actions]


def encode(case: Case) -> bytes:
    """The file's content: a header, then one line for each event with the actions returned there."""
    decided = [*case.earlier_actions, case.faulty_actions]
    head = {
        "format": FORMAT, "title": case.title, "request": case.request, "fixed_by": case.fixed_by, "found": case.found,
        "seed": case.seed, "settings": msgspec.to_builtins(case.settings), "now": _to_arrays(case.fixed_actions),
    }  # fmt: skip
    lines = [msgspec.json.encode(head)]
    for (clock, event), actions in zip(case.events, decided, strict=True):
        lines.append(msgspec.json.encode([clock, codec.to_array(event), _to_arrays(actions)]))
    return b"\n".join(lines) + b"\n"


def decode(data: bytes) -> Case:
    """A case from its file's content.  Raises CaptureError."""
    try:
        head, *rows = [msgspec.json.decode(line) for line in data.splitlines() if line.strip()]
        if head["format"] != FORMAT:
            raise CaptureError(f"a case of format {head['format']}; this version reads {FORMAT}")
        events = tuple((clock, codec.from_array(event)) for clock, event, _ in rows)
        decided = [tuple(map(codec.from_array, actions)) for _, _, actions in rows]
        return Case(
            head["title"], head["request"], head["fixed_by"], head["found"],
            msgspec.convert(head["settings"], api.Settings), head["seed"], events, decided[-1],
            tuple(map(codec.from_array, head["now"])), tuple(decided[:-1]),
        )  # fmt: skip
    except CaptureError:
        raise
    except (msgspec.MsgspecError, ValueError, TypeError, KeyError, IndexError) as error:
        raise CaptureError(f"a case that can't be read: {type(error).__name__}: {error}") from None
