"""Compares two revisions of the router's module on one capture: which decisions differ, and by what cause.

Theory.  A capture is one history; a changed module would have caused another one, and after its first different
decision the captured events are no longer those that it would have received.  So decisions are compared *step by step*:
both routers hold the same state and receive the same event, and where they differ the other router is reset to the
state of the first, by a snapshot, before the next event.  Each row is then a decision that differs with equal
knowledge, not a consequence of an earlier row.  If the other revision's router has other fields, a snapshot can't be
transferred; then that router continues independently, later calls about requests that were decided differently are
excluded, and the table says so.

Invariant: rows = calls whose encoded actions differ.  Cost: two routers, and one snapshot per row.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from stonetrack import api
from stonetrack.capture import codec, explain, snapshot
from stonetrack.capture.codec import Call, CaptureError, Gap, Header, Record, State
from stonetrack.capture.revision import Module, current

RAISED = "the module raised"


@dataclass(frozen=True, slots=True)
class DecisionChange:
    """One call for which the two revisions return different actions."""

    number: int
    call: Call
    ours: tuple[api.Action, ...]
    theirs: tuple[api.Action, ...]
    cause: str
    request: str


@dataclass
class Comparison:
    """The result of a comparison."""

    calls: int = 0
    excluded_calls: int = 0  # calls about requests that diverged before, when snapshots can't be transferred
    stepwise: bool = True
    changes: list[DecisionChange] = field(default_factory=list)
    causes: Counter[str] = field(default_factory=Counter)


def _sends(actions: Iterable[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def _exception_names(reasons: list[explain.Reason], what: str) -> set[str]:
    found: set[str] = set()
    for reason in reasons:
        if isinstance(reason, explain.Choice) and reason.what == what:
            found |= {text.partition(":")[0] for text in reason.exceptions}
    return found


def _choice(reasons: list[explain.Reason], what: str) -> explain.Choice | None:
    return next((r for r in reasons if isinstance(r, explain.Choice) and r.what == what), None)


def _server_cause(ours: list[explain.Reason], theirs: list[explain.Reason], what: str) -> str:
    """Why two choices of a server differ: the eligible servers, an exception, or the scores."""
    our_choice, their_choice = _choice(ours, what), _choice(theirs, what)
    if our_choice is None or their_choice is None:
        return f"{what}: not comparable"
    eligible = [{c.name for c in choice.candidates if not c.out} for choice in (our_choice, their_choice)]
    if eligible[0] != eligible[1]:
        first = sorted(eligible[0] ^ eligible[1])[0]
        exclusion = next(
            (c.out for choice in (our_choice, their_choice) for c in choice.candidates if c.name == first and c.out), ""
        )
        return f"{what}: who stands to choice ({exclusion.partition(',')[0] or 'unknown'})"
    our_exceptions, their_exceptions = _exception_names(ours, what), _exception_names(theirs, what)
    if our_exceptions != their_exceptions:
        return f"{what}: exception {', '.join(sorted(our_exceptions ^ their_exceptions))}"
    return f"{what}: scores or ties"


def describe_cause(
    ours: tuple[api.Action, ...], theirs: tuple[api.Action, ...],
    our_reasons: list[explain.Reason], their_reasons: list[explain.Reason],
) -> str:  # fmt: skip
    """One line that describes how two decisions differ; ``A -> B`` means that the first decides A, the other B."""
    for action in (*ours, *theirs):
        if isinstance(action, api.Log) and action.text.startswith(RAISED):
            return action.text
    for our_send, their_send in zip(_sends(ours), _sends(theirs), strict=False):
        if our_send.server != their_send.server and our_send.request == their_send.request:
            roles = [c for r in (*our_reasons, *their_reasons) if isinstance(r, explain.Choice)
                     for c in r.candidates if c.name == our_send.server]  # fmt: skip
            reads = bool(roles) and roles[0].role == "reader"
            return _server_cause(our_reasons, their_reasons, "reader" if reads else "writer")
    kinds = [Counter(type(a).__name__ for a in actions) for actions in (ours, theirs)]
    missing, added = kinds[0] - kinds[1], kinds[1] - kinds[0]
    if missing or added:
        words = [" and ".join(sorted(c.elements())) or "nothing" for c in (missing, added)]
        return f"{words[0]} -> {words[1]}"
    for a, b in zip(ours, theirs, strict=True):
        if type(a) is not type(b):
            return "order of actions"
        for name in type(a).__dataclass_fields__:
            if getattr(a, name) != getattr(b, name):
                return f"{type(a).__name__}.{name}"
    return "nothing"


def _request_id(call: Call, ours: Iterable[api.Action], theirs: Iterable[api.Action]) -> str:
    about = codec.request_of(call.event)
    return about or next((r for a in (*ours, *theirs) if (r := getattr(a, "request", ""))), "")


class _Side:
    """One revision's router with its recorded reasons."""

    def __init__(self, module: Module) -> None:
        self.module = module
        self.cls, self.reasons = explain.traced(module.logic.Router)
        self.router: Any = None

    def begin(self, settings: api.Settings, seed: int) -> None:
        self.router = self.module.make(settings, seed, self.cls)

    def restore(self, data: bytes) -> None:
        self.router = snapshot.restore(data, self.cls, self.module.logic)

    def handle(self, call: Call) -> tuple[api.Action, ...]:
        self.reasons.clear()
        try:
            return tuple(self.router.handle(call.at, call.event))
        except (KeyError, AttributeError, ValueError) as error:  # this history may be impossible for an old revision
            return (api.Log(f"{RAISED} {type(error).__name__}: {error}"),)


def compare(records: Iterable[tuple[int, Record]], other: Module, ours: Module | None = None) -> Comparison:
    """Feed numbered records to both revisions and collect the differences."""
    result = Comparison()
    our_side, their_side = _Side(ours or current()), _Side(other)
    diverged: set[str] = set()
    for number, record in records:
        if isinstance(record, Header):
            our_side.begin(record.settings, record.seed)
            their_side.begin(record.settings, record.seed)
            diverged.clear()
        elif isinstance(record, State):
            try:
                our_side.restore(record.data)
                their_side.restore(record.data)
            except CaptureError:
                result.stepwise = False
                our_side.router = their_side.router = None
        elif isinstance(record, Gap):
            our_side.router = their_side.router = None
        elif our_side.router is not None:
            result.calls += 1
            _step(result, number, record, our_side, their_side, diverged)
    return result


def _step(result: Comparison, number: int, call: Call, our_side: _Side, their_side: _Side, diverged: set[str]) -> None:
    our_actions, their_actions = our_side.handle(call), their_side.handle(call)
    if our_actions == their_actions:
        return
    request = _request_id(call, our_actions, their_actions)
    if request in diverged:
        result.excluded_calls += 1
        return
    cause = describe_cause(our_actions, their_actions, our_side.reasons, their_side.reasons)
    result.causes[cause] += 1
    result.changes.append(DecisionChange(number, call, our_actions, their_actions, cause, request))
    if result.stepwise:
        try:
            their_side.restore(snapshot.take(our_side.router))
            return
        except (CaptureError, AttributeError, TypeError):
            result.stepwise = False
    diverged.add(request)


def table(compared: Comparison, names: tuple[str, str], max_rows: int = 12) -> Iterator[str]:
    """The comparison as lines: the number of calls by cause, with the first call of each."""
    yield f"{compared.calls} calls, {len(compared.changes)} decided otherwise by {names[1]} than by {names[0]}"
    if not compared.stepwise:
        yield (
            "  the two hold different state: each goes on by itself, and "
            f"{compared.excluded_calls} later calls about the same requests are set aside"
        )
    if not compared.causes:
        return
    yield f"  {'calls':>6}  {'cause (' + names[0] + ' -> ' + names[1] + ')':<80}first"
    for cause, count in compared.causes.most_common(max_rows):
        first = next(c for c in compared.changes if c.cause == cause)
        shown = cause if len(cause) <= 78 else cause[:77] + "…"
        yield f"  {count:>6}  {shown:<80}call {first.number} {first.request}"
    if len(compared.causes) > max_rows:
        yield f"  {sum(c for _, c in compared.causes.most_common()[max_rows:]):>6}  other causes"
