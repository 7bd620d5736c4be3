"""The records of requests: each one's steps, its invariants, and one log line for those that ended oddly.

One :class:`Records` a node; its methods may be called from any thread.  A record stays after its request's end for as
long as something may be held for it, so that a release that is heard late is noted where it belongs; all is bounded.
"""

from __future__ import annotations

import threading
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from stonetrack.api import Effect, Outcome
from stonetrack.node.invariants import Invariant, Ledger, Refusal, Violation
from stonetrack.node.transitions import Step, Transition

MAX_RECORDS = 4_096  # past that the oldest are forgotten first
MAX_STEPS = 48  # of one request in its log line, the first and the last
SECOND = 1_000_000_000
MAX_LINES_PER_SECOND = 20  # log lines of requests; those beyond are counted


@dataclass(slots=True)
class Record:
    """One request: what it is, what happened to it, what is known of it."""

    request: str
    kind: str
    arrived: int
    ledger: Ledger
    steps: list[Transition] = field(default_factory=list)
    closed: bool = False  # its thread has left it
    violations: list[Violation] = field(default_factory=list)
    logged: bool = False

    def text(self) -> str:
        """The log line."""
        steps = self.steps
        if len(steps) > MAX_STEPS:
            steps = steps[: MAX_STEPS // 2] + steps[-MAX_STEPS // 2 :]
        told = "; ".join(step.text(self.arrived) for step in steps)
        broken = "".join(f"; INVARIANT {v.invariant.value} {v.invariant.name}: {v.text}" for v in self.violations)
        return f"request {self.request} {self.kind} at {self.arrived / SECOND:.3f}: {told}{broken}"

    @property
    def abnormal(self) -> bool:
        """Whether it did not simply go well: an attempt ended without an answer of its engine, it was failed or
        broken, or a release was not heard."""
        return any(
            step.outcome in (Outcome.RESET, Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.ERROR)
            or step.step is Step.RELEASE_UNHEARD
            or (step.step is Step.ANSWERED and step.why.startswith(("failed", "broken")))
            for step in self.steps
        )


class Records:
    """See the module.  ``clock`` is the node's, in nanoseconds."""

    def __init__(
        self, clock: Callable[[], int], release_within: int, log: Callable[[str], None], log_all: bool = False
    ) -> None:
        self._clock, self._release_within, self._log, self._log_all = clock, release_within, log, log_all
        self._lock = threading.Lock()
        self._records: OrderedDict[str, Record] = OrderedDict()
        self._lines: deque[int] = deque(maxlen=MAX_LINES_PER_SECOND)
        self.violations: Counter[Invariant] = Counter()
        self.refusals: Counter[Refusal] = Counter()
        self.outcomes: Counter[Outcome] = Counter()
        self.answers: Counter[str] = Counter()
        self.steps: Counter[Step] = Counter()
        self.lines_dropped = 0

    def __len__(self) -> int:
        return len(self._records)

    def open(self, request: str, kind: str, effect: Effect, deadline: int) -> Record:
        """A request has arrived; ``deadline`` is when its client stops waiting."""
        now = self._clock()
        record = Record(request, kind, now, Ledger(request, effect, deadline, self._release_within))
        with self._lock:
            self._records[request] = record
            while len(self._records) > MAX_RECORDS:
                self._records.popitem(last=False)
        self.note(request, Step.ARRIVED, why=f"{(deadline - now) / SECOND:.3f} s left")
        return record

    def note(
        self,
        request: str,
        step: Step,
        engine: str = "",
        attempt: int = -1,
        outcome: Outcome | None = None,
        why: str = "",
        is_prefill: bool = False,
        state_missing: bool = False,
        propagated_time: int = 0,
        decided_at: int = 0,
        closed_for: int = 0,
    ) -> None:
        """One step of a request; passed over where it is no longer known."""
        with self._lock:
            self.steps[step] += 1
            if outcome is not None and step is Step.ENDED:
                self.outcomes[outcome] += 1
            if step is Step.ANSWERED:
                self.answers[why.partition(":")[0]] += 1
            record = self._records.get(request)
            if record is None:
                return
            taken = Transition(
                self._clock(),
                step,
                engine,
                attempt,
                outcome,
                why,
                is_prefill,
                state_missing,
                propagated_time,
                decided_at,
                closed_for,
            )
            record.steps.append(taken)
            self._count(record, record.ledger.note(taken))
            done = record.closed and record.ledger.settled
            if done:
                del self._records[request]
        if done:
            self._tell(record)

    def may_begin(self, request: str, client_left: bool, engine_closed: bool) -> Refusal | None:
        """See :meth:`.invariants.Ledger.may_begin`; a refusal is counted."""
        with self._lock:
            record = self._records.get(request)
            if record is None:
                return Refusal.CLIENT_GONE if client_left else Refusal.ENGINE_CLOSED if engine_closed else None
            refusal = record.ledger.may_begin(client_left, engine_closed)
            if refusal is not None:
                self.refusals[refusal] += 1
            return refusal

    def needs_state(self, request: str) -> bool:
        """See :meth:`.invariants.Ledger.needs_state`."""
        with self._lock:
            record = self._records.get(request)
            return record is not None and not record.closed and record.ledger.needs_state(self._clock())

    def close(self, request: str) -> None:
        """The request's thread has left it."""
        with self._lock:
            record = self._records.get(request)
            if record is None:
                return
            record.closed = True
            done = record.ledger.settled
            if done:
                del self._records[request]
        if done:
            self._tell(record)

    def check(self) -> None:
        """What time alone has broken; to be called about once a second."""
        now = self._clock()
        told = []
        with self._lock:
            for record in self._records.values():
                if found := record.ledger.check(now):
                    self._count(record, found)
                    told.append(record)
        for record in told:
            self._tell(record)

    def _count(self, record: Record, found: list[Violation]) -> None:
        for violation in found:
            self.violations[violation.invariant] += 1
            record.violations.append(violation)

    def _tell(self, record: Record) -> None:
        """Log a request whose end is worth a line, so many a second; one that broke an invariant always."""
        if not record.violations:
            if not (self._log_all or record.abnormal):
                return
            now = self._clock()
            if len(self._lines) == MAX_LINES_PER_SECOND and now - self._lines[0] < SECOND and not self._log_all:
                self.lines_dropped += 1
                return
            self._lines.append(now)
        self._log(record.text())
