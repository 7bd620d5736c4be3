"""The run-time invariants of one request: each with a history that keeps it and one that violates it."""

from __future__ import annotations

from typing import Any

import pytest

from stonetrack.api import Effect, Outcome
from stonetrack.node.invariants import MS, Invariant, Ledger, Refusal
from stonetrack.node.records import MAX_RECORDS, Records
from stonetrack.node.transitions import Step, Transition

SECOND = 1_000 * MS
RELEASE_WITHIN = 500 * MS
BASE = 100 * SECOND  # start of the histories
HistoryStep = tuple[int, Step, dict[str, Any]]


def note(at_ms: int, step: Step, **more: Any) -> HistoryStep:
    return at_ms, step, more


def sent(at_ms: int, attempt: int = 0, is_prefill: bool = False, **more: Any) -> HistoryStep:
    return note(at_ms, Step.SENT, attempt=attempt, is_prefill=is_prefill, **more)


def ended(at_ms: int, outcome: Outcome, attempt: int = 0, **more: Any) -> HistoryStep:
    return note(at_ms, Step.ENDED, outcome=outcome, attempt=attempt, **more)


READ = (sent(0, is_prefill=True), ended(100, Outcome.READ))


def violated(*history: HistoryStep, until: int = 0, effect: Effect = Effect.SAFE) -> set[Invariant]:
    """The invariants that a history violates, checked once more at its end."""
    ledger = Ledger("q", effect, BASE + 6 * SECOND, RELEASE_WITHIN)
    violations = []
    for at_ms, step, more in history:
        violations += ledger.note(Transition(BASE + at_ms * MS, step, **more))
    violations += ledger.check(BASE + max(until, history[-1][0]) * MS)
    assert all(violation.request == "q" and violation.text for violation in violations)
    return {violation.invariant for violation in violations}


@pytest.mark.parametrize(("kept", "leaked"), [
    # A send proves no arrival: bytes written to an engine that never answers stop no clock.
    ((*READ, sent(101, 1), note(850, Step.FIRST_EVENT)), (*READ, sent(101, 1), note(950, Step.FIRST_EVENT))),
    # Nor does an end of the attempt that the engine did not answer.
    ((*READ, sent(101, 1), ended(700, Outcome.ERROR, 1)), (*READ, sent(101, 1), ended(700, Outcome.CANCELLED, 1))),
    ((*READ, sent(101, 1), ended(700, Outcome.FULL, 1)), (*READ, sent(101, 1), ended(700, Outcome.CONNECT_FAILED, 1))),
    # A release counts when it is confirmed, not when it is decided.
    ((*READ, note(450, Step.RELEASE_HEARD, decided_at=BASE + 440 * MS)), (*READ, note(450, Step.RELEASE_DECIDED))),
    ((*READ, note(450, Step.RELEASE_HEARD, decided_at=BASE + 440 * MS)), (*READ, note(450, Step.RELEASE_UNHEARD))),
    (
        (*READ, note(450, Step.RELEASE_HEARD, decided_at=BASE + 440 * MS)),
        (*READ, note(450, Step.RELEASE_HEARD, decided_at=BASE + 90 * MS)),
    ),
    # Only an engine's answer stops the clock of held state; a further attempt that is only sent does not.
    ((*READ, sent(101, 1), ended(300, Outcome.RESET, 1), note(310, Step.RELEASE_HEARD, decided_at=BASE + 300 * MS)),
     (*READ, sent(101, 1), ended(300, Outcome.RESET, 1), sent(310, 2, is_prefill=True))),
    # A release decided at the uncertain end of a prefill covers what that may have left.
    (
        (sent(0, is_prefill=True), note(99, Step.RELEASE_DECIDED), ended(100, Outcome.RESET),
         note(110, Step.RELEASE_HEARD, decided_at=BASE + 99 * MS)),
        (note(0, Step.RELEASE_DECIDED), sent(1, is_prefill=True), ended(100, Outcome.RESET),
         note(110, Step.RELEASE_HEARD, decided_at=BASE)),
    ),
    # A prefill whose connection broke may have finished.
    ((sent(0, is_prefill=True), ended(9, Outcome.NOT_SENT)), (sent(0, is_prefill=True), ended(9, Outcome.RESET))),
    ((*READ, ended(101, Outcome.FULL, 1, state_missing=True)), READ),
])  # fmt: skip
def test_held_state_is_used_or_released_in_time(kept: tuple[HistoryStep, ...], leaked: tuple[HistoryStep, ...]) -> None:
    assert Invariant.NOTHING_LEAKED not in violated(*kept, until=1_250)
    assert Invariant.NOTHING_LEAKED in violated(*leaked, until=1_250)


@pytest.mark.parametrize(("kept", "violating", "invariant", "effect"), [
    ((sent(0), ended(9, Outcome.RESET), sent(10, 1)), (sent(0), sent(10, 1)), Invariant.NO_SECOND_EFFECT, Effect.SAFE),
    ((sent(0), ended(9, Outcome.FULL), sent(10, 1)), (sent(0), ended(9, Outcome.RESET), sent(10, 1)),
     Invariant.NO_SECOND_EFFECT, Effect.UNSAFE),
    ((note(0, Step.CLIENT_GONE), sent(90)), (note(0, Step.CLIENT_GONE), sent(110)),
     Invariant.NOTHING_FOR_A_CLIENT_GONE, Effect.SAFE),
    ((sent(0, closed_for=50 * MS),), (sent(0, closed_for=150 * MS),), Invariant.NOTHING_TO_A_CLOSED_ENGINE,
     Effect.SAFE),
    ((sent(1_000, propagated_time=5_100 * MS),), (sent(1_000, propagated_time=5_200 * MS),), Invariant.TIME_TOLD,
     Effect.SAFE),
    ((note(0, Step.ANSWERED),), (note(0, Step.ANSWERED), note(1, Step.ANSWERED)), Invariant.ONE_ANSWER, Effect.SAFE),
    ((note(10, Step.FIRST_EVENT), note(9_000, Step.ANSWERED)), (note(9_000, Step.ANSWERED),), Invariant.ONE_ANSWER,
     Effect.SAFE),
    ((note(6_400, Step.ANSWERED),), (note(6_600, Step.ANSWERED),), Invariant.ONE_ANSWER, Effect.SAFE),
])  # fmt: skip
def test_each_invariant_has_a_history_that_violates_it(
    kept: tuple[HistoryStep, ...], violating: tuple[HistoryStep, ...], invariant: Invariant, effect: Effect
) -> None:
    assert invariant not in violated(*kept, effect=effect)
    assert invariant in violated(*violating, effect=effect)


def test_the_guard_names_why_an_attempt_may_not_begin() -> None:
    ledger = Ledger("q", Effect.SAFE, SECOND, RELEASE_WITHIN)
    assert ledger.may_begin(False, False) is None
    assert ledger.may_begin(True, False) is Refusal.CLIENT_GONE
    assert ledger.may_begin(False, True) is Refusal.ENGINE_CLOSED
    ledger.note(Transition(1, Step.SENT, attempt=0))
    assert ledger.may_begin(False, False) is Refusal.ATTEMPT_OUT
    ledger.note(Transition(2, Step.ENDED, attempt=0, outcome=Outcome.SERVED))
    ledger.note(Transition(3, Step.ANSWERED))
    assert ledger.may_begin(False, False) is Refusal.ANSWERED


def test_a_record_is_logged_for_an_abnormal_request_and_kept_while_something_may_be_held() -> None:
    lines: list[str] = []
    now = [SECOND]
    records = Records(lambda: now[0], RELEASE_WITHIN, lines.append)
    for name in ("plain", "odd"):
        records.open(name, "chat (safe)", Effect.SAFE, 9 * SECOND)
        records.note(name, Step.SENT, "r0", 0, is_prefill=True)
        records.note(name, Step.ENDED, "r0", 0, Outcome.READ)
        records.note(name, Step.SENT, "w0", 1)
    records.note("plain", Step.FIRST_EVENT, "w0", 1)
    records.note("plain", Step.ENDED, "w0", 1, Outcome.SERVED)
    records.note("plain", Step.ANSWERED, why="served")
    records.close("plain")
    assert not lines and len(records) == 1
    records.note("odd", Step.ENDED, "w0", 1, Outcome.TIMED_OUT, "out of time")
    records.note("odd", Step.ANSWERED, why="failed: out of time")
    records.close("odd")
    assert not lines and len(records) == 1  # its state may still be held
    now[0] += 2 * SECOND
    records.check()
    assert records.violations[Invariant.NOTHING_LEAKED] == 1 and "INVARIANT 3" in lines[0]
    records.note("odd", Step.RELEASE_HEARD, "r1", decided_at=now[0])
    assert len(records) == 0 and "w0 timed out (out of time)" in lines[-1] and "release heard r1" in lines[-1]
    records.check()
    assert records.violations[Invariant.NOTHING_LEAKED] == 1


def test_records_are_bounded_and_those_of_running_requests_are_kept() -> None:
    """Guards against a flood of requests that takes the guard in front of its attempts from a running request."""
    records = Records(lambda: SECOND, RELEASE_WITHIN, lambda text: None)
    for name in ("running", *(f"q{n}" for n in range(MAX_RECORDS + 10))):
        records.open(name, "chat", Effect.SAFE, 9 * SECOND)
        records.note(name, Step.SENT, "r0", 0, is_prefill=True)
        if name != "running":
            records.note(name, Step.ENDED, "r0", 0, Outcome.READ)  # a state is held, so that the record stays
            records.note(name, Step.ANSWERED, why="served")
            records.close(name)
    assert len(records) == MAX_RECORDS
    assert records.may_begin("running", False, False) is Refusal.ATTEMPT_OUT
