"""Cases: a decision that was wrong once, cut from a capture, small enough to read, run for good.

Theory.  A case holds a router's beginning and a history of events up to one call, with what two revisions decide
there: ``then`` by the module that had the fault, ``now`` by the one that mended it.  It is cut in two steps.  First
the two are told the same until they differ (or, where a call is named, up to it).  Then events are taken out, whole
requests and lists first, then single events, by delta debugging (Zeller and Hildebrandt, "Simplifying and Isolating
Failure-Inducing Input", 2002): a part may go if what is left is still a *possible* history (each outcome is of an
attempt that was sent, to the server it was sent to) in which the first difference is still there and of the same
kind (the same sorts of action on either side).

Invariant of a case: replayed by ``then``'s module each call decides as kept; by a module with the fix the last one
decides ``now``.  Running a case needs neither git nor the old module: the events before the last call are the same
for both.

A case is one file of canonical JSON, to be read and reviewed; times in nanoseconds.
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
    """One case; see the module.  ``events`` are (clock, event); ``faulty_actions`` and ``fixed_actions`` the
    last call's actions."""

    title: str
    request: str
    fixed_by: str  # the commit that mended it
    found: str  # where the failure was met
    settings: api.Settings
    seed: int
    events: tuple[tuple[int, api.Event], ...]
    faulty_actions: tuple[api.Action, ...]
    fixed_actions: tuple[api.Action, ...]
    earlier_actions: tuple[tuple[api.Action, ...], ...] = field(default=())  # of each call before the last


def decisions(
    make: Make, settings: api.Settings, seed: int, events: Iterable[tuple[int, api.Event]]
) -> list[tuple[api.Action, ...]]:
    """What a module decides at each call."""
    router = make(settings, seed)
    return [tuple(router.handle(at, event)) for at, event in events]


def is_possible(events: Sequence[tuple[int, api.Event]], decided: Sequence[tuple[api.Action, ...]]) -> bool:
    """Whether a history could have happened: outcomes only of attempts that are out, at the server they went to."""
    out: dict[str, str] = {}
    numbers: dict[str, int] = {}
    timers = 0
    for (_, event), actions in zip(events, decided, strict=True):
        if isinstance(event, (api.AttemptEnded, api.FirstToken)):
            if out.get(event.request) != event.server or event.attempt != numbers.get(event.request, 0):
                return False
            if isinstance(event, api.AttemptEnded):
                del out[event.request]
                numbers[event.request] = event.attempt + 1
        elif isinstance(event, api.RequestGone) and event.request not in numbers:
            return False
        elif isinstance(event, api.RequestArrived):
            numbers[event.request] = 0
        elif isinstance(event, api.TimerFired):
            timers -= 1
            if timers < 0:
                return False
        for action in actions:
            if isinstance(action, api.Send):
                out[action.request] = action.server
            timers += isinstance(action, api.SetTimer)
    return True


def first_difference(one: Sequence[T], two: Sequence[T]) -> int | None:
    """The index of the first that differ."""
    return next((n for n, (a, b) in enumerate(zip(one, two, strict=False)) if a != b), None)


def minimize(parts: list[T], holds: Callable[[list[T]], bool], most: int = 600) -> list[T]:
    """The parts that are needed for ``holds``, found by taking ever smaller runs of them out; at most so many tries."""
    size = max(1, len(parts) // 2)
    tries = 0
    while True:
        at = 0
        shrunk = False
        while at < len(parts) and tries < most:
            without = parts[:at] + parts[at + size :]
            tries += 1
            if holds(without):
                parts, shrunk = without, True
            else:
                at += size
        if tries >= most or (size == 1 and not shrunk):
            return parts
        size = max(1, size // 2) if not shrunk or size > 1 else 1


def recorded_history(records: Iterable[Record]) -> tuple[Header, list[tuple[int, api.Event]]]:
    """The header and events of one router up to a hole.  Raises CaptureError where it does not begin with one."""
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
        raise CaptureError(
            "the capture does not begin with a router's beginning; cut a case where its first segment is"
        )
    return header, events


def cut_case(header: Header, events: list[tuple[int, api.Event]], old: Module, new: Module, *, title: str,
             fixed_by: str, found: str, later_make: Make | None = None,
             on_progress: Callable[[str], None] = lambda text: None) -> Case:  # fmt: skip
    """Cut the first decision on which two revisions differ; ``later_make``, a later one, must agree with the
    newer there.

    Raises CaptureError where they never differ.
    """
    settings, seed = header.settings, header.seed

    one, two = old.make(settings, seed), new.make(settings, seed)
    at = next(
        (n for n, (clock, event) in enumerate(events) if one.handle(clock, event) != two.handle(clock, event)), None
    )
    if at is None:
        raise CaptureError(f"{old.name} and {new.name} decide all {len(events)} calls alike")
    events = events[: at + 1]
    last = events[-1]
    then = decisions(old.make, settings, seed, events)[-1]
    now = decisions(new.make, settings, seed, events)[-1]
    on_progress(f"call {at}: {len(events)} events")

    def kind(actions: tuple[api.Action, ...]) -> list[str]:
        return [type(action).__name__ for action in actions]

    def agrees(make: Make, part: list[tuple[int, api.Event]], last: tuple[api.Action, ...]) -> bool:
        try:
            return decisions(make, settings, seed, part)[-1] == last
        except (KeyError, ValueError):  # its own earlier decisions made this history impossible for it
            return False

    def holds(groups: list[list[tuple[int, int, api.Event]]]) -> bool:
        part = [(clock, event) for _, clock, event in sorted((e for g in groups for e in g), key=lambda e: e[0])]
        part.append(last)
        decided = decisions(old.make, settings, seed, part)
        if not is_possible(part, decided) or kind(decided[-1]) != kind(then):
            return False
        other = decisions(new.make, settings, seed, part)
        if kind(other[-1]) != kind(now) or other[-1] == decided[-1] or decided[:-1] != other[:-1]:
            return False
        return later_make is None or agrees(later_make, part, other[-1])

    grouped: dict[str, list[tuple[int, int, api.Event]]] = {}
    for n, (clock, event) in enumerate(events[:-1]):
        name = codec.request_of(event) or f"{type(event).__name__} {n}"
        grouped.setdefault(name, []).append((n, clock, event))
    if not holds(list(grouped.values())):  # not reproducible as a history by itself: keep it whole
        if later_make is not None:
            raise CaptureError(f"the later module does not decide {now} there, or the history is not whole")
        kept = [(n, clock, event) for n, (clock, event) in enumerate(events[:-1])]
    else:
        groups = minimize(list(grouped.values()), holds)
        on_progress(f"{sum(map(len, groups))} events in {len(groups)} groups")
        kept = [each[0] for each in minimize([[event] for group in groups for event in group], holds)]
        kept.sort(key=lambda e: e[0])
    on_progress(f"{len(kept) + 1} events")
    part = [*((clock, event) for _, clock, event in kept), last]
    decided = decisions(old.make, settings, seed, part)
    then, now = decided[-1], decisions(new.make, settings, seed, part)[-1]
    request = codec.request_of(last[1]) or next((r for a in (*then, *now) if (r := getattr(a, "request", ""))), "")
    return Case(title, request, fixed_by, found, settings, seed, tuple(part), then, now, tuple(decided[:-1]))


@dataclass(frozen=True)
class CaseResult:
    """A case run by some module: where it first decides otherwise than expected, and what it does at the last call."""

    first_unexpected: int | None
    last_actions: tuple[api.Action, ...]
    verdict: str  # "fixed", "broken again" or "neither"


def run_case(case: Case, make: Make) -> CaseResult:
    """Run a case.  ``fixed`` where the last call decides ``now``, ``broken again`` where ``then``."""
    decided = decisions(make, case.settings, case.seed, case.events)
    last = decided[-1]
    verdict = "fixed" if last == case.fixed_actions else "broken again" if last == case.faulty_actions else "neither"
    return CaseResult(first_difference(decided[:-1], case.earlier_actions), last, verdict)


# The file.


def _plain(actions: Iterable[api.Action]) -> list[Any]:
    return [codec.to_array(action) for action in actions]


def encode(case: Case) -> bytes:
    """The file's text: one line for each event, with what was decided there."""
    decided = [*case.earlier_actions, case.faulty_actions]
    head = {
        "format": FORMAT, "title": case.title, "request": case.request, "fixed_by": case.fixed_by, "found": case.found,
        "seed": case.seed, "settings": msgspec.to_builtins(case.settings), "now": _plain(case.fixed_actions),
    }  # fmt: skip
    lines = [msgspec.json.encode(head)]
    for (clock, event), actions in zip(case.events, decided, strict=True):
        lines.append(msgspec.json.encode([clock, codec.to_array(event), _plain(actions)]))
    return b"\n".join(lines) + b"\n"


def decode(data: bytes) -> Case:
    """A case from its file.  Raises CaptureError."""
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
