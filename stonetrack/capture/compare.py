"""Two revisions of the module told the same: which decisions differ, and by what cause.

Theory.  A capture is one history; a changed module would have made another one, and from its first different
decision on the events that were captured are no longer those that it would have met.  So decisions are compared *one
step at a time*: both routers hold the same state, both are told the same event, and where they differ the other is
set to the state of the first again, by a snapshot, before the next event.  Each row is then a decision that differs
on equal knowledge, and none is an echo of an earlier one.  Where the other revision's router holds other fields, a
snapshot can't be carried over; then it goes on by itself, requests that were decided otherwise are set aside, and
the table says so.

Invariant: rows = calls whose actions differ in plain form.  Cost: two routers, and one snapshot a row.
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
    """One call that the two decide differently."""

    number: int
    call: Call
    ours: tuple[api.Action, ...]
    theirs: tuple[api.Action, ...]
    cause: str
    request: str


@dataclass
class Comparison:
    """What came of a comparison."""

    calls: int = 0
    excluded_calls: int = 0  # calls about requests that went another way before, where states can't be carried over
    stepwise: bool = True
    changes: list[DecisionChange] = field(default_factory=list)
    causes: Counter[str] = field(default_factory=Counter)


def _sends(actions: Iterable[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def _exceptions(reasons: list[explain.Reason], what: str) -> set[str]:
    found: set[str] = set()
    for reason in reasons:
        if isinstance(reason, explain.Choice) and reason.what == what:
            found |= {text.partition(":")[0] for text in reason.exceptions}
    return found


def _choice(reasons: list[explain.Reason], what: str) -> explain.Choice | None:
    return next((r for r in reasons if isinstance(r, explain.Choice) and r.what == what), None)


def _why_server(ours: list[explain.Reason], theirs: list[explain.Reason], what: str) -> str:
    """What made two choices of a server differ: who stood, an exception, or the scores."""
    one, other = _choice(ours, what), _choice(theirs, what)
    if one is None or other is None:
        return f"{what}: not comparable"
    stood = [{c.name for c in choice.candidates if not c.out} for choice in (one, other)]
    if stood[0] != stood[1]:
        first = sorted(stood[0] ^ stood[1])[0]
        out = next((c.out for choice in (one, other) for c in choice.candidates if c.name == first and c.out), "")
        return f"{what}: who stands to choice ({out.partition(',')[0] or 'unknown'})"
    mine, its = _exceptions(ours, what), _exceptions(theirs, what)
    if mine != its:
        return f"{what}: exception {', '.join(sorted(mine ^ its))}"
    return f"{what}: scores or ties"


def describe_cause(
    ours: tuple[api.Action, ...], theirs: tuple[api.Action, ...],
    our_reasons: list[explain.Reason], their_reasons: list[explain.Reason],
) -> str:  # fmt: skip
    """One line that says in which way two decisions differ; ``A -> B`` reads: the first decides A, the other B."""
    for action in (*ours, *theirs):
        if isinstance(action, api.Log) and action.text.startswith(RAISED):
            return action.text
    for one, other in zip(_sends(ours), _sends(theirs), strict=False):
        if one.server != other.server and one.request == other.request:
            roles = [c for r in (*our_reasons, *their_reasons) if isinstance(r, explain.Choice)
                     for c in r.candidates if c.name == one.server]  # fmt: skip
            reads = bool(roles) and roles[0].role == "reader"
            return _why_server(our_reasons, their_reasons, "reader" if reads else "writer")
    kinds = [Counter(type(a).__name__ for a in actions) for actions in (ours, theirs)]
    gone, new = kinds[0] - kinds[1], kinds[1] - kinds[0]
    if gone or new:
        words = [" and ".join(sorted(c.elements())) or "nothing" for c in (gone, new)]
        return f"{words[0]} -> {words[1]}"
    for a, b in zip(ours, theirs, strict=True):
        if type(a) is not type(b):
            return "order of actions"
        for name in type(a).__dataclass_fields__:
            if getattr(a, name) != getattr(b, name):
                return f"{type(a).__name__}.{name}"
    return "nothing"


def _request(call: Call, ours: Iterable[api.Action], theirs: Iterable[api.Action]) -> str:
    about = codec.request_of(call.event)
    return about or next((r for a in (*ours, *theirs) if (r := getattr(a, "request", ""))), "")


class _Side:
    """One revision's router with its reasons."""

    def __init__(self, module: Module) -> None:
        self.module = module
        self.cls, self.reasons = explain.traced(module.logic.Router)
        self.router: Any = None

    def begin(self, settings: api.Settings, seed: int) -> None:
        self.router = self.module.make(settings, seed, self.cls)

    def set_to(self, data: bytes) -> None:
        self.router = snapshot.restore(data, self.cls, self.module.logic)

    def handle(self, call: Call) -> tuple[api.Action, ...]:
        self.reasons.clear()
        try:
            return tuple(self.router.handle(call.at, call.event))
        except (KeyError, AttributeError, ValueError) as error:  # an old revision that this history breaks
            return (api.Log(f"{RAISED} {type(error).__name__}: {error}"),)


def compare(records: Iterable[tuple[int, Record]], other: Module, ours: Module | None = None) -> Comparison:
    """Tell both the same, numbered records, and collect what differs."""
    result = Comparison()
    one, two = _Side(ours or current()), _Side(other)
    apart: set[str] = set()
    for number, record in records:
        if isinstance(record, Header):
            one.begin(record.settings, record.seed)
            two.begin(record.settings, record.seed)
            apart.clear()
        elif isinstance(record, State):
            try:
                one.set_to(record.data)
                two.set_to(record.data)
            except CaptureError:
                result.stepwise = False
                one.router = two.router = None
        elif isinstance(record, Gap):
            one.router = two.router = None
        elif one.router is not None:
            result.calls += 1
            _step(result, number, record, one, two, apart)
    return result


def _step(result: Comparison, number: int, call: Call, one: _Side, two: _Side, apart: set[str]) -> None:
    mine, its = one.handle(call), two.handle(call)
    if mine == its:
        return
    request = _request(call, mine, its)
    if request in apart:
        result.excluded_calls += 1
        return
    cause = describe_cause(mine, its, one.reasons, two.reasons)
    result.causes[cause] += 1
    result.changes.append(DecisionChange(number, call, mine, its, cause, request))
    if result.stepwise:
        try:
            two.set_to(snapshot.take(one.router))
            return
        except (CaptureError, AttributeError, TypeError):
            result.stepwise = False
    apart.add(request)


def table(compared: Comparison, names: tuple[str, str], most: int = 12) -> Iterator[str]:
    """The comparison as lines: how many by cause, with the first of each."""
    yield f"{compared.calls} calls, {len(compared.changes)} decided otherwise by {names[1]} than by {names[0]}"
    if not compared.stepwise:
        yield (
            "  the two hold different state: each goes on by itself, and "
            f"{compared.excluded_calls} later calls about the same requests are set aside"
        )
    if not compared.causes:
        return
    yield f"  {'calls':>6}  {'cause (' + names[0] + ' -> ' + names[1] + ')':<80}first"
    for cause, count in compared.causes.most_common(most):
        first = next(c for c in compared.changes if c.cause == cause)
        shown = cause if len(cause) <= 78 else cause[:77] + "…"
        yield f"  {count:>6}  {shown:<80}call {first.number} {first.request}"
    if len(compared.causes) > most:
        yield f"  {sum(c for _, c in compared.causes.most_common()[most:]):>6}  other causes"
