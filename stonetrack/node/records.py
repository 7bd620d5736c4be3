"""Records of requests: the steps of each, its invariants, and a log line for those that ended abnormally.

A node has one :class:`Records`; its methods may be called from any thread.  A record stays after the end of its request
for as long as something may be held for the request, so that a release that is confirmed late is still noted in it.
Records, steps and log lines are bounded.
"""

from __future__ import annotations

import threading
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from stonetrack.api import Effect, Outcome
from stonetrack.node.invariants import Invariant, Ledger, Refusal, Violation
from stonetrack.node.transitions import Step, Transition

MAX_RECORDS = 1_024  # beyond this the oldest whose threads have finished are dropped
MAX_STEPS = 48  # steps of one request in its log line: the first and the last half
SECOND = 1_000_000_000
MAX_LINES_PER_SECOND = 20  # log lines of requests; further ones are only counted


@dataclass(slots=True)
class Record:
    """One request: what it is, its steps, and its ledger.  ``arrived`` in nanoseconds."""

    request: str
    kind: str
    arrived: int
    ledger: Ledger
    steps: list[Transition] = field(default_factory=list)
    closed: bool = False  # its thread has finished
    violations: list[Violation] = field(default_factory=list)
    logged: bool = False

    def text(self) -> str:
        """The request's log line."""
        steps = self.steps
        if len(steps) > MAX_STEPS:
            steps = steps[: MAX_STEPS // 2] + steps[-MAX_STEPS // 2 :]
        step_texts = "; ".join(step.text(self.arrived) for step in steps)
        violations = "".join(f"; INVARIANT {v.invariant.value} {v.invariant.name}: {v.text}" for v in self.violations)
        return f"request {self.request} {self.kind} at {self.arrived / SECOND:.3f}: {step_texts}{violations}"

    @property
    def abnormal(self) -> bool:
        """Whether the request did not go smoothly.

        An attempt ended without an answer of its engine, the request failed or its answer broke off, or a release was
        not confirmed.
        """
        return any(
            step.outcome in (Outcome.RESET, Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.ERROR)
            or step.step is Step.RELEASE_UNHEARD
            or (step.step is Step.ANSWERED and step.why.startswith(("failed", "broken")))
            for step in self.steps
        )


class Records:
    """All records of a node.  ``clock`` is the node's and ``release_within`` a time, both in nanoseconds."""

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
        self.streams_given_up: Counter[str] = Counter()  # by the part of the message that they were in
        self.lines_dropped = 0

    def __len__(self) -> int:
        return len(self._records)

    def open(self, request: str, kind: str, effect: Effect, deadline: int) -> Record:
        """Open the record of a request that has arrived; ``deadline`` is when its client stops waiting."""
        now = self._clock()
        record = Record(request, kind, now, Ledger(request, effect, deadline, self._release_within))
        with self._lock:
            self._records[request] = record
            if len(self._records) > MAX_RECORDS:
                self._drop_oldest_closed()
        self.note(request, Step.ARRIVED, why=f"{(deadline - now) / SECOND:.3f} s left")
        return record

    def _drop_oldest_closed(self) -> None:
        """Drop the oldest record whose thread has finished.  Requires the lock.

        A running request keeps its record: without it, :meth:`may_begin` could not guard its attempts.  Their number is
        bounded by their threads.
        """
        oldest = next((name for name, record in self._records.items() if record.closed), None)
        if oldest is not None:
            del self._records[oldest]

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
        """Note one step of a request; ignored where its record is gone.  See :class:`.transitions.Transition`."""
        with self._lock:
            self.steps[step] += 1
            if outcome is not None and step is Step.ENDED:
                self.outcomes[outcome] += 1
            if step is Step.ANSWERED:
                self.answers[why.partition(":")[0]] += 1
            record = self._records.get(request)
            if record is None:
                return
            transition = Transition(
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
            record.steps.append(transition)
            self._add_violations(record, record.ledger.note(transition))
            finished = record.closed and record.ledger.settled
            if finished:
                del self._records[request]
        if finished:
            self._log_record(record)

    def note_stream_given_up(self, position: str) -> None:
        """Count a stream that this node gave up before its end, by the part of the message that it was in."""
        with self._lock:
            self.streams_given_up[position] += 1

    def may_begin(
        self, request: str, client_left: bool, engine_closed: bool, input_unread: bool = False
    ) -> Refusal | None:
        """As :meth:`.invariants.Ledger.may_begin`; refusals are counted."""
        with self._lock:
            record = self._records.get(request)
            if record is None:
                return Refusal.CLIENT_GONE if client_left else Refusal.ENGINE_CLOSED if engine_closed else None
            refusal = record.ledger.may_begin(client_left, engine_closed, input_unread)
            if refusal is not None:
                self.refusals[refusal] += 1
            return refusal

    def needs_state(self, request: str) -> bool:
        """As :meth:`.invariants.Ledger.needs_state`; false once the request's thread has finished."""
        with self._lock:
            record = self._records.get(request)
            return record is not None and not record.closed and record.ledger.needs_state(self._clock())

    def close(self, request: str) -> None:
        """Close the record: the request's thread has finished."""
        with self._lock:
            record = self._records.get(request)
            if record is None:
                return
            record.closed = True
            finished = record.ledger.settled
            if finished:
                del self._records[request]
        if finished:
            self._log_record(record)

    def check(self) -> None:
        """Check the invariants that time alone can violate; to be called about once a second."""
        now = self._clock()
        violating = []
        with self._lock:
            for record in self._records.values():
                if found := record.ledger.check(now):
                    self._add_violations(record, found)
                    violating.append(record)
        for record in violating:
            self._log_record(record)

    def _add_violations(self, record: Record, violations: list[Violation]) -> None:
        for violation in violations:
            self.violations[violation.invariant] += 1
            record.violations.append(violation)

    def _log_record(self, record: Record) -> None:
        """Log an abnormal request, within the rate limit; one that violated an invariant always."""
        if not record.violations:
            if not (self._log_all or record.abnormal):
                return
            now = self._clock()
            if len(self._lines) == MAX_LINES_PER_SECOND and now - self._lines[0] < SECOND and not self._log_all:
                self.lines_dropped += 1
                return
            self._lines.append(now)
        self._log(record.text())
