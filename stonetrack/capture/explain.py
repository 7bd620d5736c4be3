"""Why a router decided as it did: what it knew, each candidate's scores, the exceptions that acted.

Theory.  The module keeps no record of its reasons, and must not: it is on the hot path.  But it is pure, so that a
replay of a capture comes by the same reasons again.  :func:`traced` makes a subclass of any revision's ``Router`` whose
choices are watched from outside: each hook asks the parent's own helpers (which only read) what they see, lets the
parent decide, and notes both.  A hook never changes a decision (a test replays with and without), and a hook for a
helper that a revision does not have is left out, so that old revisions are explained as far as they agree in names.

Invariant: nothing is stored on the router; snapshots of a traced router are those of a plain one.
Cost: each choice is looked at about twice; only for replays.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from stonetrack.capture.revision import OLDER_METHODS

MS = 1_000_000


@dataclass(slots=True)
class Candidate:
    """One server as the choice saw it; None where this choice does not look at it."""

    name: str
    role: str
    out: str = ""  # why it did not stand to choice; empty where it did
    score: float | None = None  # weighted sum, 0 to 1
    covered: int | None = None  # tokens of the prompt that its table should hold
    load: float | None = None  # readers: tokens to read; writers: streams; by weight
    memory: float | None = None  # share used as reported
    expected: float | None = None  # time to the first token as a share of the aim
    report_age: int | None = None  # nanoseconds since its last report
    chosen: bool = False


@dataclass(slots=True)
class Choice:
    """One choice of a reader or a writer."""

    what: str  # "reader" or "writer"
    request: str
    at: int
    chosen: str
    candidates: list[Candidate]
    exceptions: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Note:
    """Anything else that was decided, in words."""

    what: str  # give up, call off, left out, paused, released, admitted
    request: str
    at: int
    text: str


Reason = Choice | Note


class _Watch:
    """What is being chosen now, between a hook's beginning and end."""

    def __init__(self) -> None:
        self.reasons: list[Reason] = []
        self.bests: list[tuple[dict[str, float], dict[str, int]]] = []  # of each look: scores and covered, by who stood
        self.usable: list[str] = []  # who stood at the last look


def _age(router: Any, server: Any) -> int | None:
    return router.now - server.report_at if server.report is not None else None


def _out_because(router: Any, server: Any, request: Any) -> str:
    """Why a server may not be chosen, in the module's order; empty where nothing speaks against it."""
    if server.state is not server.state.UP:
        return str(server.state.value)
    for key, of in ((-1, "all classes"), (request.class_index, "this class")):
        if (pause := server.ejections.get(key)) is not None and pause.until > router.now:
            return f"left out for {of}, {(pause.until - router.now) / MS:.0f} ms more"
    if not router._may_repeat(request, server):
        return "a repeat could have a second effect there"
    if server.name in request.failed_servers:
        return "failed for this request already"
    if server.slow_start_until > router.now:
        return f"cold for {(server.slow_start_until - router.now) / MS:.0f} ms more, the request is not of its share"
    return "others are preferred: served this class of late, or cold and of its share"


def _reader_choice(router: Any, request: Any, watch: _Watch, chosen: Any) -> Choice:
    servers = [s for s in router.servers.values() if s.role is not s.role.WRITER or router.settings.writers_read]
    scores, covered = watch.bests[0] if watch.bests else ({}, {})  # who stands at a second look stood at the first
    known = hasattr(router, "_expected_decode_wait")
    wait = router._expected_decode_wait() + router.now - request.arrived_at if known else 0.0
    found = []
    for s in servers:
        one = Candidate(s.name, s.role.value, report_age=_age(router, s), chosen=chosen is s)
        if s.name in scores:
            one.score, one.covered = scores[s.name], covered[s.name]
            one.load = router._prefill_load(s)
            one.memory = s.report.memory_share if s.report is not None else None
            work = s.pending_tokens + max(request.prompt_tokens - covered[s.name], 16)
            one.expected = (wait + router._expected_prefill_time(s, work)) / request.capped_target()
        else:
            one.out = _out_because(router, s, request)
        found.append(one)
    exceptions = []
    if len(watch.bests) > 1 and len(watch.bests[1][0]) < len(scores):
        exceptions.append("pile-up: readers whose queue takes much of the aim do not compete")
    if watch.bests and not any(watch.bests[-1][1].values()):
        exceptions.append("unknown key: near scores are a tie for the hash of the key")
    return Choice("reader", request.name, router.now, chosen.name if chosen else "", found, exceptions)


def _writer_choice(router: Any, request: Any, cell: int | None, watch: _Watch, chosen: Any) -> Choice:
    stood = set(watch.usable)
    exceptions, found = [], []
    waiting = []
    for s in router.servers.values():
        if s.role is s.role.READER:
            continue
        one = Candidate(s.name, s.role.value, report_age=_age(router, s), chosen=chosen is s)
        one.load = router._decode_load(s)
        one.memory = s.report.memory_share if s.report is not None else None
        if s.name not in stood:
            one.out = _out_because(router, s, request)
        elif s.unanswered and router.now - min(s.unanswered.values()) > 200 * MS:
            waiting.append(s.name)
        found.append(one)
    if waiting:
        exceptions.append(f"full memory: own requests wait at {', '.join(waiting)}")
    if chosen is not None and cell is not None and chosen.cell != cell:
        exceptions.append(f"another cell: {chosen.cell} for {cell} (lopsided, or well above the mean)")
    return Choice("writer", request.name, router.now, chosen.name if chosen else "", found, exceptions)


def traced(cls: type) -> tuple[type, list[Reason]]:
    """A subclass that decides as ``cls`` does, and the list to which it adds its reasons."""
    watch = _Watch()
    reasons = watch.reasons
    parent: Any = cls

    def add(self: Any, request: str, make: Callable[[], Reason]) -> None:
        """Note a reason; another revision may hold other fields, and is then explained by its outcome alone."""
        try:
            reasons.append(make())
        except (AttributeError, KeyError, TypeError) as error:
            reasons.append(Note("not explained", request, self.now, f"this revision differs: {error}"))

    def note(self: Any, what: str, request: str, text: Callable[[], str]) -> None:
        add(self, request, lambda: Note(what, request, self.now, text()))

    def choose_reader(self: Any, request: Any) -> Any:
        watch.bests.clear()
        chosen = parent._choose_prefill(self, request)
        add(self, request.name, lambda: _reader_choice(self, request, watch, chosen))
        return chosen

    def best_reader(self: Any, request: Any, servers: Any, scores: Any, covered: Any) -> Any:
        chosen = parent._best_prefill(self, request, servers, scores, covered)
        looked = [s.name for s in servers]
        watch.bests.append(({n: scores[n] for n in looked}, {n: covered[n] for n in looked}))
        return chosen

    def choose_writer(self: Any, request: Any, cell: Any) -> Any:
        watch.usable.clear()
        chosen = parent._choose_decode(self, request, cell)
        add(self, request.name, lambda: _writer_choice(self, request, cell, watch, chosen))
        return chosen

    def usable(self: Any, servers: Any, request: Any) -> Any:
        group = parent._eligible(self, servers, request)
        watch.usable[:] = [s.name for s in group]
        return group

    def give_up(self: Any, request: Any) -> Any:
        def text() -> str:
            left = (request.deadline - self.now) / MS
            late = f", the answer expected at {request.expected_share:.2f} of the aim" if request.expected_share else ""
            return f"{request.attempts} of {self.settings.max_attempts} attempts used, {left:.0f} ms left{late}"

        note(self, "give up", request.name, text)
        return parent._refuse_or_fail(self, request)

    def call_off(self: Any, request: Any, server: Any) -> Any:
        before = len(self.actions)
        result = parent._cancel_late(self, request, server)
        done = any(type(a).__name__ == "Cancel" for a in self.actions[before:])
        what = "call off" if done else "late, waited for"
        out = (self.now - request.sent_at) / MS
        note(self, what, request.name, lambda: f"{out:.0f} ms out at {server.name}; credit {self.cancel_budget:.1f}")
        return result

    def eject(self: Any, server: Any, *reason: Any) -> Any:
        before = len(self.actions)
        result = parent._eject(self, server, *reason)
        done = len(self.actions) > before
        note(self, "left out" if done else "kept in", "", lambda: f"{server.name}: {' '.join(map(str, reason))}")
        return result

    def pause(self: Any, server: Any, key: Any) -> Any:
        result = parent._start_ejection(self, server, key)

        def text() -> str:
            whom = "all classes" if key < 0 else f"class {key}"
            return f"{server.name} for {whom}, {server.ejections[key].duration / MS:.0f} ms"

        note(self, "paused", "", text)
        return result

    hooks: dict[str, Callable[..., Any]] = {
        "_choose_prefill": choose_reader, "_best_prefill": best_reader, "_choose_decode": choose_writer,
        "_eligible": usable, "_refuse_or_fail": give_up, "_cancel_late": call_off, "_eject": eject,
        "_start_ejection": pause,
    }  # fmt: skip
    older = OLDER_METHODS["Router"]
    needed = {"_choose_prefill": ("_prefill_load", "_expected_prefill_time", "_best_prefill", "_may_repeat")}
    body = {
        older[name] if hasattr(cls, older.get(name, "")) else name: hook
        for name, hook in hooks.items()
        if hasattr(cls, name) and all(hasattr(cls, other) for other in needed.get(name, ()))
    }
    return type(f"Traced{cls.__name__}", (cls,), body), reasons


# Words for people.


def _number(value: float | None, form: str = "{:.2f}") -> str:
    return "-" if value is None else form.format(value)


def table(choice: Choice) -> Iterator[str]:
    """A choice as lines: its candidates by score, the chosen one marked, those left out with the reason."""
    yield f"{choice.what}: {choice.chosen or 'none'}"
    for text in choice.exceptions:
        yield f"  exception  {text}"
    stood = sorted(
        (c for c in choice.candidates if not c.out), key=lambda c: (-(c.score or 0.0), c.load or 0.0, c.name)
    )
    if stood:
        yield f"    {'server':<16}{'score':>7}{'prefix':>9}{'load':>9}{'memory':>8}{'expected':>10}{'report':>10}"
    for c in stood:
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
