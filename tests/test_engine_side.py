"""The engine-side records of the oracle: when the period of a held state starts, ends and is recorded."""

from __future__ import annotations

from stonetrack.soak.engine_side import Arrival, End, EngineStateRecords, HeldKind, HeldState


def prefill(at: int, request: str = "q", engine: str = "r0") -> Arrival:
    return Arrival(request, engine, False, at, 1, 0)


def decode(at: int, request: str = "q", engine: str = "w0") -> Arrival:
    return Arrival(request, engine, True, at, 2, 0)


def complete_prefill(records: EngineStateRecords, at: int = 0, until: int = 10) -> None:
    arrival = prefill(at)
    records.attempt_arrived(arrival)
    assert records.prefill_completed(arrival, until)
    records.attempt_ended(arrival, until, End.ANSWERED)


def test_a_state_is_held_from_the_end_of_its_prefill_to_the_arrival_of_a_decode_attempt() -> None:
    records = EngineStateRecords()
    complete_prefill(records)
    assert records.still_held() == [HeldState("q", HeldKind.STATE, "r0", 10, 0)]
    assert records.attempt_arrived(decode(30)) and not records.still_held()
    assert records.history == [HeldState("q", HeldKind.STATE, "r0", 10, 30)]


def test_a_state_that_was_not_fetched_is_held_again_from_the_end_of_the_attempt() -> None:
    records = EngineStateRecords()
    complete_prefill(records)
    attempt = decode(30)
    records.attempt_arrived(attempt)
    records.attempt_ended(attempt, 50, End.REJECTED, state_retained=True)
    assert [held.since for held in records.still_held()] == [50]
    assert records.attempt_arrived(decode(60))


def test_a_decode_attempt_without_a_held_state_finds_none() -> None:
    assert not EngineStateRecords().attempt_arrived(decode(5))


def test_a_release_removes_held_states_and_that_of_a_running_prefill() -> None:
    records = EngineStateRecords()
    complete_prefill(records)
    records.release("q", 40)
    assert not records.still_held() and records.history[0].until == 40
    arrival = prefill(50)
    records.attempt_arrived(arrival)
    records.release("q", 55)
    assert not records.prefill_completed(arrival, 60)
    records.attempt_ended(arrival, 60, End.ANSWERED)
    assert not records.still_held()


def test_a_reservation_counts_as_held_while_no_attempt_is_open() -> None:
    records = EngineStateRecords()
    records.reserve("q", "w0", 5)
    assert [held.since for held in records.still_held()] == [5]
    arrival = prefill(8)
    records.attempt_arrived(arrival)
    assert not records.still_held() and records.history == [HeldState("q", HeldKind.RESERVATION, "w0", 5, 8)]
    records.reserve("q", "w1", 9)
    records.attempt_ended(arrival, 20, End.CANCELLED)
    assert records.still_held() == [HeldState("q", HeldKind.RESERVATION, "w1", 20, 0)]


def test_a_stopped_engine_holds_nothing_and_runs_nothing() -> None:
    records = EngineStateRecords()
    complete_prefill(records)
    attempt = decode(20, request="p")
    records.attempt_arrived(attempt)
    records.engine_stopped("r0", 30)
    records.engine_stopped("w0", 31)
    assert not records.still_held() and attempt.end is End.ENGINE_STOPPED and attempt.ended == 31
    assert records.history == [HeldState("q", HeldKind.STATE, "r0", 10, 30)]
