"""What is held for a request is taken by an attempt that has arrived, or released in time: the incident of issue 43.

A send is not an arrival.  Only what an engine answers proves one; without that, the decision to release may not wait
for the attempt's end.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from stonetrack import api
from stonetrack.logic import MS, RELEASE_TIME_SHARE, SECOND, SWEEP_INTERVAL_NS
from tests.router_fixture import FLEET, SETTINGS, RouterFixture, of_type, single

HELD = replace(SETTINGS, release_within=500 * MS, may_hold_place=True)
UNSAFE = replace(HELD, classes=(replace(HELD.classes[0], effect=api.Effect.UNSAFE),))
BY_NOW = int(RELEASE_TIME_SHARE * HELD.release_within) + SWEEP_INTERVAL_NS


@pytest.mark.parametrize("settings", [HELD, UNSAFE], ids=["safe", "unsafe"])
def test_a_state_behind_a_decode_attempt_without_an_answer_is_released(settings: api.Settings) -> None:
    """The attempt stays out: one that has arrived has taken its state, and a release leaves that alone."""
    fixture = RouterFixture(settings, FLEET)
    send = fixture.finish_prefill(single(fixture.arrive("q"), api.Send))
    got = fixture.advance(BY_NOW)
    assert len(of_type(got, api.Release)) == 1 and not of_type(got, api.Cancel)
    assert not any(server.held_states for server in fixture.router.servers.values())
    fixture.serve(send)
    assert not fixture.router.requests and len(of_type(fixture.actions, api.Release)) == 1


@pytest.mark.parametrize("outcome", [api.Outcome.FULL, api.Outcome.ERROR, api.Outcome.RESET])
def test_a_state_that_a_release_left_alone_is_released_when_its_attempt_fails(outcome: api.Outcome) -> None:
    """The attempt had arrived and waited for it, so the release passed it over; then it was turned away."""
    fixture = RouterFixture(HELD, FLEET)
    send = fixture.finish_prefill(single(fixture.arrive("q"), api.Send))
    fixture.advance(BY_NOW)
    got = fixture.end_attempt(send, outcome, 1)
    again = single(got, api.Send)
    assert again.server[0] == "r" and got.index(single(got, api.Release)) < got.index(again)


@pytest.mark.parametrize("answer", [True, False, None])
@pytest.mark.parametrize("settings", [HELD, UNSAFE], ids=["safe", "unsafe"])
def test_no_reservation_stands_behind_a_prefill_attempt_without_an_answer(
    settings: api.Settings, answer: bool | None
) -> None:
    """What a decode engine answers says nothing of the prefill attempt elsewhere: what it holds is released in time, or
    never asked for.  The attempt stays out: taking reads back was measured to cost far more than it saves."""
    fixture = RouterFixture(settings, FLEET)
    fixture.arrive("q")
    asked = of_type(fixture.actions, api.HoldPlace)
    if asked and answer is not None:
        fixture.handle(api.PlaceAnswer("q", 0, asked[0].server, answer))
    got = fixture.advance(BY_NOW)
    assert len(of_type(got, api.Release)) == len(asked) and not of_type(got, api.Cancel)


@pytest.mark.parametrize("outcome", [api.Outcome.RESET, api.Outcome.CANCELLED, api.Outcome.TIMED_OUT])
def test_an_end_that_proves_no_arrival_gives_a_state_no_new_time(outcome: api.Outcome) -> None:
    fixture = RouterFixture(HELD, FLEET)
    send = fixture.finish_prefill(single(fixture.arrive("q"), api.Send))
    read_at = fixture.now
    fixture.end_attempt(send, outcome, 1, 200 * MS)
    while not of_type(fixture.actions, api.Release):
        fixture.advance(50 * MS)
        assert fixture.now - read_at <= BY_NOW, "it was given new time"


def test_what_is_released_during_an_attempt_is_read_anew_with_two_attempts_left() -> None:
    """Without its state a decode attempt that is called off needs two more: none is called off that can't have them."""
    fixture = RouterFixture(replace(HELD, max_attempts=3), FLEET)
    fixture.finish_prefill(single(fixture.arrive("q", left=20 * SECOND), api.Send))
    got = fixture.advance(9 * SECOND)
    assert of_type(got, api.Release) and not of_type(got, api.Cancel)
