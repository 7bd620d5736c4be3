"""What is held for a request is taken by an attempt that has arrived, or released in time: the incident of issue 43.

A send is not an arrival.  Only what an engine answers proves one; without that, the decision to release may not wait
for the attempt's end.
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
    """The attempt stays out: one that has arrived has taken its state, and a release leaves that alone."""
    bed = Bed(settings, FLEET)
    send = bed.read(only(bed.ask("q"), api.Send))
    got = bed.wait(BY_NOW)
    assert len(of(got, api.Release)) == 1 and not of(got, api.Cancel)
    assert not any(server.held_states for server in bed.router.servers.values())
    bed.serve(send)
    assert not bed.router.requests and len(of(bed.actions, api.Release)) == 1


@pytest.mark.parametrize("outcome", [api.Outcome.FULL, api.Outcome.ERROR, api.Outcome.RESET])
def test_a_state_that_a_release_left_alone_is_released_when_its_attempt_fails(outcome: api.Outcome) -> None:
    """The attempt had arrived and waited for it, so the release passed it over; then it was turned away."""
    bed = Bed(HELD, FLEET)
    send = bed.read(only(bed.ask("q"), api.Send))
    bed.wait(BY_NOW)
    got = bed.end(send, outcome, 1)
    again = only(got, api.Send)
    assert again.server[0] == "r" and got.index(only(got, api.Release)) < got.index(again)


@pytest.mark.parametrize("answer", [True, False, None])
@pytest.mark.parametrize("settings", [HELD, UNSAFE], ids=["safe", "unsafe"])
def test_no_reservation_stands_behind_a_prefill_attempt_without_an_answer(
    settings: api.Settings, answer: bool | None
) -> None:
    """What a decode engine answers says nothing of the prefill attempt elsewhere: what it holds is released in time, or
    never asked for.  The attempt stays out: taking reads back was measured to cost far more than it saves."""
    bed = Bed(settings, FLEET)
    bed.ask("q")
    asked = of(bed.actions, api.HoldPlace)
    if asked and answer is not None:
        bed.give(api.PlaceAnswer("q", 0, asked[0].server, answer))
    got = bed.wait(BY_NOW)
    assert len(of(got, api.Release)) == len(asked) and not of(got, api.Cancel)


@pytest.mark.parametrize("outcome", [api.Outcome.RESET, api.Outcome.CANCELLED, api.Outcome.TIMED_OUT])
def test_an_end_that_proves_no_arrival_gives_a_state_no_new_time(outcome: api.Outcome) -> None:
    bed = Bed(HELD, FLEET)
    send = bed.read(only(bed.ask("q"), api.Send))
    read_at = bed.now
    bed.end(send, outcome, 1, 200 * MS)
    while not of(bed.actions, api.Release):
        bed.wait(50 * MS)
        assert bed.now - read_at <= BY_NOW, "it was given new time"


def test_what_is_released_during_an_attempt_is_read_anew_with_two_attempts_left() -> None:
    """Without its state a decode attempt that is called off needs two more: none is called off that can't have them."""
    bed = Bed(replace(HELD, max_attempts=3), FLEET)
    bed.read(only(bed.ask("q", left=20 * SECOND), api.Send))
    got = bed.wait(9 * SECOND)
    assert of(got, api.Release) and not of(got, api.Cancel)
