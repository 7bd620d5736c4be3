"""Why a router decided as it did: what it knew, the scores of each candidate, the exceptions that acted.

logic.py keeps no record of its reasons, since it is on the hot path.  But its decisions depend on its events alone, so
the replay of a capture gives the same reasons again.  :func:`traced` makes a subclass of any revision's ``Router`` with
hooks around its choices: each hook calls helpers of the parent, which only read, lets the parent decide, and records
both.  A hook never changes a decision (a test replays with and without hooks).  A hook for a method that a revision
does not have is omitted, so an old revision is explained as far as its names are known (``revision.OLDER_METHODS``).

Invariant: nothing is stored on the router, so snapshots of a traced router are those of a plain one.
Cost: each choice is computed about twice; for replays only.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from stonetrack.capture.revision import OLDER_METHODS

MS = 1_000_000


@dataclass(slots=True)
class Candidate:
    """One server as the choice saw it; a value is None where the choice does not use it."""

    name: str
    role: str
    out: str = ""  # why it was not eligible; empty where it was
    score: float | None = None  # weighted sum, 0 to 1
    covered: int | None = None  # tokens of the prompt that its cache should hold
    load: float | None = None  # tokens to prefill, or streams to decode, by weight
    memory: float | None = None  # reported share in use
    expected: float | None = None  # time to the first token as a share of the latency target
    report_age: int | None = None  # nanoseconds since its last report
    chosen: bool = False


@dataclass(slots=True)
class Choice:
    """One choice of a prefill or a decode engine."""

    what: str  # "reader" or "writer"
    request: str
    at: int
    chosen: str
    candidates: list[Candidate]
    exceptions: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Note:
    """Any other decision, in words."""

    what: str  # refused or failed, cancelled, late, ejected, ejection, not explained
    request: str
    at: int
    text: str


Reason = Choice | Note


class _Trace:
    """State of the choice between the beginning and the end of a hook."""

    def __init__(self) -> None:
        self.reasons: list[Reason] = []
        # Of each comparison: scores and cached tokens by server.
        self.rounds: list[tuple[dict[str, float], dict[str, int]]] = []
        self.eligible: list[str] = []  # at the last check


def _age(router: Any, server: Any) -> int | None:
    return router.now - server.report_at if server.report is not None else None


def _out_because(router: Any, server: Any, request: Any) -> str:
    """Why a server may not be chosen, checked in the order of logic.py."""
    if server.state is not server.state.UP:
        return str(server.state.value)
    for key, of in ((-1, "all classes"), (request.class_index, "this class")):
        if (ejection := server.ejections.get(key)) is not None and ejection.until > router.now:
            return f"ejected for {of}, {(ejection.until - router.now) / MS:.0f} ms more"
    if not router._may_repeat(request, server):
        return "a repeat could have a second effect there"
    if server.name in request.failed_servers:
        return "failed for this request already"
    if server.slow_start_until > router.now:
        return (
            f"slow start for {(server.slow_start_until - router.now) / MS:.0f} ms more, the request is not in its share"
        )
    return "others are preferred: they served this class recently, or their slow-start share has the request"


def _prefill_choice(router: Any, request: Any, trace: _Trace, chosen: Any) -> Choice:
    servers = [s for s in router.servers.values() if s.role is not s.role.WRITER or router.settings.writers_read]
    scores, covered = trace.rounds[0] if trace.rounds else ({}, {})  # servers of a second comparison were in the first
    has_wait = hasattr(router, "_expected_decode_wait")
    wait = router._expected_decode_wait() + router.now - request.arrived_at if has_wait else 0.0
    found = []
    for s in servers:
        candidate = Candidate(s.name, s.role.value, report_age=_age(router, s), chosen=chosen is s)
        if s.name in scores:
            candidate.score, candidate.covered = scores[s.name], covered[s.name]
            candidate.load = router._prefill_load(s)
            candidate.memory = s.report.memory_share if s.report is not None else None
            work = s.pending_tokens + max(request.prompt_tokens - covered[s.name], 16)
            candidate.expected = (wait + router._expected_prefill_time(s, work)) / request.capped_target()
        else:
            candidate.out = _out_because(router, s, request)
        found.append(candidate)
    exceptions = []
    if len(trace.rounds) > 1 and len(trace.rounds[1][0]) < len(scores):
        exceptions.append("pile-up: prefill engines whose queue takes much of the latency target do not compete")
    if trace.rounds and not any(trace.rounds[-1][1].values()):
        exceptions.append("unknown key: similar scores tie, and the hash of the key decides")
    return Choice("reader", request.name, router.now, chosen.name if chosen else "", found, exceptions)


def _decode_choice(router: Any, request: Any, cell: int | None, trace: _Trace, chosen: Any) -> Choice:
    eligible = set(trace.eligible)
    exceptions, found = [], []
    waiting = []
    for s in router.servers.values():
        if s.role is s.role.READER:
            continue
        candidate = Candidate(s.name, s.role.value, report_age=_age(router, s), chosen=chosen is s)
        candidate.load = router._decode_load(s)
        candidate.memory = s.report.memory_share if s.report is not None else None
        if s.name not in eligible:
            candidate.out = _out_because(router, s, request)
        elif s.unanswered and router.now - min(s.unanswered.values()) > 200 * MS:
            waiting.append(s.name)
        found.append(candidate)
    if waiting:
        exceptions.append(f"full memory: requests of this node wait at {', '.join(waiting)}")
    if chosen is not None and cell is not None and chosen.cell != cell:
        exceptions.append(f"another cell: {chosen.cell} for {cell} (lopsided, or well above the mean)")
    return Choice("writer", request.name, router.now, chosen.name if chosen else "", found, exceptions)


def traced(cls: type) -> tuple[type, list[Reason]]:
    """A subclass that decides as ``cls`` does, and the list that it appends its reasons to."""
    trace = _Trace()
    reasons = trace.reasons
    parent: Any = cls

    def add(self: Any, request: str, make: Callable[[], Reason]) -> None:
        """Append a reason; a revision with other fields is explained by its decisions alone."""
        try:
            reasons.append(make())
        except (AttributeError, KeyError, TypeError) as error:
            reasons.append(Note("not explained", request, self.now, f"this revision differs: {error}"))

    def note(self: Any, what: str, request: str, text: Callable[[], str]) -> None:
        add(self, request, lambda: Note(what, request, self.now, text()))

    def choose_prefill(self: Any, request: Any) -> Any:
        trace.rounds.clear()
        chosen = parent._choose_prefill(self, request)
        add(self, request.name, lambda: _prefill_choice(self, request, trace, chosen))
        return chosen

    def best_prefill(self: Any, request: Any, servers: Any, scores: Any, covered: Any) -> Any:
        chosen = parent._best_prefill(self, request, servers, scores, covered)
        looked = [s.name for s in servers]
        trace.rounds.append(({n: scores[n] for n in looked}, {n: covered[n] for n in looked}))
        return chosen

    def choose_decode(self: Any, request: Any, cell: Any) -> Any:
        trace.eligible.clear()
        chosen = parent._choose_decode(self, request, cell)
        add(self, request.name, lambda: _decode_choice(self, request, cell, trace, chosen))
        return chosen

    def eligible(self: Any, servers: Any, request: Any) -> Any:
        found = parent._eligible(self, servers, request)
        trace.eligible[:] = [s.name for s in found]
        return found

    def refuse_or_fail(self: Any, request: Any) -> Any:
        def text() -> str:
            left = (request.deadline - self.now) / MS
            late = (
                f", the answer expected at {request.expected_share:.2f} of the latency target"
                if request.expected_share
                else ""
            )
            return f"{request.attempts} of {self.settings.max_attempts} attempts used, {left:.0f} ms left{late}"

        note(self, "refused or failed", request.name, text)
        return parent._refuse_or_fail(self, request)

    def cancel_late(self: Any, request: Any, server: Any) -> Any:
        before = len(self.actions)
        result = parent._cancel_late(self, request, server)
        done = any(type(a).__name__ == "Cancel" for a in self.actions[before:])
        what = "cancelled" if done else "late, waited for"
        out = (self.now - request.sent_at) / MS
        note(
            self,
            what,
            request.name,
            lambda: f"{out:.0f} ms out at {server.name}; cancellation budget {self.cancel_budget:.1f}",
        )
        return result

    def eject(self: Any, server: Any, *reason: Any) -> Any:
        before = len(self.actions)
        result = parent._eject(self, server, *reason)
        done = len(self.actions) > before
        note(self, "ejected" if done else "not ejected", "", lambda: f"{server.name}: {' '.join(map(str, reason))}")
        return result

    def start_ejection(self: Any, server: Any, key: Any) -> Any:
        result = parent._start_ejection(self, server, key)

        def text() -> str:
            classes = "all classes" if key < 0 else f"class {key}"
            return f"{server.name} for {classes}, {server.ejections[key].duration / MS:.0f} ms"

        note(self, "ejection", "", text)
        return result

    hooks: dict[str, Callable[..., Any]] = {
        "_choose_prefill": choose_prefill, "_best_prefill": best_prefill, "_choose_decode": choose_decode,
        "_eligible": eligible, "_refuse_or_fail": refuse_or_fail, "_cancel_late": cancel_late, "_eject": eject,
        "_start_ejection": start_ejection,
    }  # fmt: skip
    older = OLDER_METHODS["Router"]
    needed = {"_choose_prefill": ("_prefill_load", "_expected_prefill_time", "_best_prefill", "_may_repeat")}
    body = {
        older[name] if hasattr(cls, older.get(name, "")) else name: hook
        for name, hook in hooks.items()
        if hasattr(cls, name) and all(hasattr(cls, other) for other in needed.get(name, ()))
    }
    return type(f"Traced{cls.__name__}", (cls,), body), reasons


# Output as text.


def _number(value: float | None, form: str = "{:.2f}") -> str:
    return "-" if value is None else form.format(value)


def table(choice: Choice) -> Iterator[str]:
    """A choice as lines: candidates by score, the chosen one marked, then servers not eligible with the reason."""
    yield f"{choice.what}: {choice.chosen or 'none'}"
    for text in choice.exceptions:
        yield f"  exception  {text}"
    eligible = sorted(
        (c for c in choice.candidates if not c.out), key=lambda c: (-(c.score or 0.0), c.load or 0.0, c.name)
    )
    if eligible:
        yield f"    {'server':<16}{'score':>7}{'prefix':>9}{'load':>9}{'memory':>8}{'expected':>10}{'report':>10}"
    for c in eligible:
        age = "never" if c.report_age is None else f"{c.report_age / MS:.0f} ms"
        yield (
            f"  {'>' if c.chosen else ' '} {c.name:<16}{_number(c.score, '{:.3f}'):>7}{_number(c.covered, '{:.0f}'):>9}"
            f"{_number(c.load, '{:.1f}'):>9}{_number(c.memory):>8}{_number(c.expected):>10}{age:>10}"
        )
    for c in choice.candidates:
        if c.out:
            yield f"    {c.name:<16}{c.out}"


def lines(reasons: Iterable[Reason]) -> Iterator[str]:
    """Reasons as lines."""
    for reason in reasons:
        if isinstance(reason, Choice):
            yield from table(reason)
        else:
            yield f"{reason.what}: {reason.text}"
