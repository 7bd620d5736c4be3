"""The oracle's books of what engines know: when a clock of something held runs, stops and is told."""

from __future__ import annotations

from stonetrack.soak.engine_side import Arrival, End, EngineSide, Kind, Stay


def prefill(at: int, request: str = "q", engine: str = "r0") -> Arrival:
    return Arrival(request, engine, False, at, 1, 0)


def decode(at: int, request: str = "q", engine: str = "w0") -> Arrival:
    return Arrival(request, engine, True, at, 2, 0)


def read(books: EngineSide, at: int = 0, until: int = 10) -> None:
    arrival = prefill(at)
    books.arrived(arrival)
    assert books.read(arrival, until)
    books.ended(arrival, until, End.ANSWERED)


def test_a_state_is_held_from_its_reads_end_to_the_arrival_of_its_taker() -> None:
    books = EngineSide()
    read(books)
    assert books.still_held() == [Stay("q", Kind.STATE, "r0", 10, 0)]
    assert books.arrived(decode(30)) and not books.still_held()
    assert books.stays == [Stay("q", Kind.STATE, "r0", 10, 30)]


def test_a_state_that_was_not_fetched_waits_again_from_the_attempts_end() -> None:
    books = EngineSide()
    read(books)
    attempt = decode(30)
    books.arrived(attempt)
    books.ended(attempt, 50, End.TURNED_AWAY, state_kept=True)
    assert [stay.since for stay in books.still_held()] == [50]
    assert books.arrived(decode(60))


def test_a_decode_attempt_without_a_state_finds_none() -> None:
    assert not EngineSide().arrived(decode(5))


def test_a_release_frees_what_no_attempt_waits_for_and_takes_a_running_read() -> None:
    books = EngineSide()
    read(books)
    books.release("q", 40)
    assert not books.still_held() and books.stays[0].until == 40
    arrival = prefill(50)
    books.arrived(arrival)
    books.release("q", 55)
    assert not books.read(arrival, 60)
    books.ended(arrival, 60, End.ANSWERED)
    assert not books.still_held()


def test_a_reservations_clock_runs_while_no_attempt_is_out() -> None:
    books = EngineSide()
    books.reserve("q", "w0", 5)
    assert [stay.since for stay in books.still_held()] == [5]
    arrival = prefill(8)
    books.arrived(arrival)
    assert not books.still_held() and books.stays == [Stay("q", Kind.RESERVATION, "w0", 5, 8)]
    books.reserve("q", "w1", 9)
    books.ended(arrival, 20, End.GIVEN_UP)
    assert books.still_held() == [Stay("q", Kind.RESERVATION, "w1", 20, 0)]


def test_an_engine_that_is_gone_holds_nothing_and_runs_nothing() -> None:
    books = EngineSide()
    read(books)
    attempt = decode(20, request="p")
    books.arrived(attempt)
    books.engine_gone("r0", 30)
    books.engine_gone("w0", 31)
    assert not books.still_held() and attempt.end is End.ENGINE_GONE and attempt.ended == 31
    assert books.stays == [Stay("q", Kind.STATE, "r0", 10, 30)]
