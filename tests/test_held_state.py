"""A state held for a request is fetched by an attempt that has arrived, or released in time (issue 43).

A send does not prove an arrival: only an engine's answer does.  Without one, the decision to release a state may not
wait for the end of the attempt.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from stonetrack import api
from stonetrack.logic import MS, RELEASE_TIME_SHARE, SECOND, SWEEP_INTERVAL_NS
from tests.bed import FLEET, SETTINGS, Bed, of, only

HELD = replace(SETTINGS, release_within=500 * MS, may_hold_place=True)
UNSAFE = replace(HELD, classes=(replace(HELD.classes[0], effect=api.Effect.UNSAFE),))
BY_NOW = int(RELEASE_TIME_SHARE * HELD.release_within) + SWEEP_INTERVAL_NS


@pytest.mark.parametrize("settings", [HELD, UNSAFE], ids=["safe", "unsafe"])
def test_a_state_behind_a_decode_attempt_without_an_answer_is_released(settings: api.Settings) -> None:
    """The attempt stays out: if it has arrived it has fetched its state, and a release leaves that alone."""
    bed = Bed(settings, FLEET)
    send = bed.read(only(bed.ask("q"), api.Send))
    got = bed.wait(BY_NOW)
    assert len(of(got, api.Release)) == 1 and not of(got, api.Cancel)
    assert not any(server.held_states for server in bed.router.servers.values())
    bed.serve(send)
    assert not bed.router.requests and len(of(bed.actions, api.Release)) == 1


@pytest.mark.parametrize("outcome", [api.Outcome.FULL, api.Outcome.ERROR, api.Outcome.RESET])
def test_a_state_that_a_release_left_alone_is_released_when_its_attempt_fails(outcome: api.Outcome) -> None:
    """The attempt had arrived and waited for its state, so the release left it alone; then it was rejected."""
    bed = Bed(HELD, FLEET)
    send = bed.read(only(bed.ask("q"), api.Send))
    bed.wait(BY_NOW)
    got = bed.end(send, outcome, 1)
    again = only(got, api.Send)
    assert again.server[0] == "r" and got.index(only(got, api.Release)) < got.index(again)


@pytest.mark.parametrize("answer", [True, False, None])
@pytest.mark.parametrize("settings", [HELD, UNSAFE], ids=["safe", "unsafe"])
def test_no_reservation_is_held_behind_a_prefill_attempt_without_an_answer(
    settings: api.Settings, answer: bool | None
) -> None:
    """The answer of a decode engine says nothing of the prefill attempt elsewhere: a reservation is released in time
    or never made.  The attempt stays out: cancelling prefill attempts costs far more than it saves."""
    bed = Bed(settings, FLEET)
    bed.ask("q")
    asked = of(bed.actions, api.HoldPlace)
    if asked and answer is not None:
        bed.give(api.PlaceAnswer("q", 0, asked[0].server, answer))
    got = bed.wait(BY_NOW)
    assert len(of(got, api.Release)) == len(asked) and not of(got, api.Cancel)


@pytest.mark.parametrize("outcome", [api.Outcome.RESET, api.Outcome.CANCELLED, api.Outcome.TIMED_OUT])
def test_an_end_that_proves_no_arrival_does_not_extend_the_time_of_a_state(outcome: api.Outcome) -> None:
    bed = Bed(HELD, FLEET)
    send = bed.read(only(bed.ask("q"), api.Send))
    prefilled_at = bed.now
    bed.end(send, outcome, 1, 200 * MS)
    while not of(bed.actions, api.Release):
        bed.wait(50 * MS)
        assert bed.now - prefilled_at <= BY_NOW, "the state was held for longer"


def test_an_attempt_whose_state_was_released_is_cancelled_only_with_two_attempts_left() -> None:
    """A decode attempt without its state that is cancelled needs two more: it is cancelled only where they are left."""
    bed = Bed(replace(HELD, max_attempts=3), FLEET)
    bed.read(only(bed.ask("q", left=20 * SECOND), api.Send))
    got = bed.wait(9 * SECOND)
    assert of(got, api.Release) and not of(got, api.Cancel)
