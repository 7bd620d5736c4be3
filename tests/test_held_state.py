"""State held for a request is used by an attempt that has arrived, or released in time (the incident of issue 43).

A send proves no arrival.  Only an engine's answer does; without one, the release may not wait for the attempt's end.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from stonetrack import api
from stonetrack.logic import MS, RELEASE_TIME_SHARE, SECOND, SWEEP_INTERVAL_NS
from tests.router_fixture import FLEET, SETTINGS, RouterFixture, of_type, single

HELD = replace(SETTINGS, release_within=500 * MS, may_hold_place=True)
UNSAFE = replace(HELD, classes=(replace(HELD.classes[0], effect=api.Effect.UNSAFE),))
RELEASED_BY = int(RELEASE_TIME_SHARE * HELD.release_within) + SWEEP_INTERVAL_NS


@pytest.mark.parametrize("settings", [HELD, UNSAFE], ids=["safe", "unsafe"])
def test_state_for_an_unanswered_decode_attempt_is_released(settings: api.Settings) -> None:
    """The attempt stays in flight: one that has arrived has its state, which a release does not take."""
    fixture = RouterFixture(settings, FLEET)
    send = fixture.finish_prefill(single(fixture.arrive("q"), api.Send))
    actions = fixture.advance(RELEASED_BY)
    assert len(of_type(actions, api.Release)) == 1 and not of_type(actions, api.Cancel)
    assert not any(server.held_states for server in fixture.router.servers.values())
    fixture.serve(send)
    assert not fixture.router.requests and len(of_type(fixture.actions, api.Release)) == 1


@pytest.mark.parametrize("outcome", [api.Outcome.FULL, api.Outcome.ERROR, api.Outcome.RESET])
def test_state_that_a_release_did_not_take_is_released_when_its_attempt_fails(outcome: api.Outcome) -> None:
    """The attempt had arrived and waited for its state, so the release skipped that; then the attempt was rejected."""
    fixture = RouterFixture(HELD, FLEET)
    send = fixture.finish_prefill(single(fixture.arrive("q"), api.Send))
    fixture.advance(RELEASED_BY)
    actions = fixture.end_attempt(send, outcome, 1)
    again = single(actions, api.Send)
    assert again.server[0] == "r" and actions.index(single(actions, api.Release)) < actions.index(again)


@pytest.mark.parametrize("answer", [True, False, None])
@pytest.mark.parametrize("settings", [HELD, UNSAFE], ids=["safe", "unsafe"])
def test_no_reservation_outlasts_an_unanswered_prefill_attempt(settings: api.Settings, answer: bool | None) -> None:
    """A decode engine's answer proves nothing about the prefill attempt at another engine.

    A reservation is therefore released in time, or never requested.  The attempt stays in flight: cancelling prefills
    was measured to cost far more than it saves.
    """
    fixture = RouterFixture(settings, FLEET)
    fixture.arrive("q")
    reservations = of_type(fixture.actions, api.HoldPlace)
    if reservations and answer is not None:
        fixture.handle(api.PlaceAnswer("q", 0, reservations[0].server, answer))
    actions = fixture.advance(RELEASED_BY)
    assert len(of_type(actions, api.Release)) == len(reservations) and not of_type(actions, api.Cancel)


@pytest.mark.parametrize("outcome", [api.Outcome.RESET, api.Outcome.CANCELLED, api.Outcome.TIMED_OUT])
def test_an_end_that_proves_no_arrival_does_not_restart_the_clock_of_held_state(outcome: api.Outcome) -> None:
    fixture = RouterFixture(HELD, FLEET)
    send = fixture.finish_prefill(single(fixture.arrive("q"), api.Send))
    prefill_ended_at = fixture.now
    fixture.end_attempt(send, outcome, 1, 200 * MS)
    while not of_type(fixture.actions, api.Release):
        fixture.advance(50 * MS)
        assert fixture.now - prefill_ended_at <= RELEASED_BY, "the clock of the held state was restarted"


def test_after_a_release_an_attempt_is_only_cancelled_with_two_attempts_left() -> None:
    """Without its state, a cancelled decode attempt needs two more attempts, so none is cancelled with fewer left."""
    fixture = RouterFixture(replace(HELD, max_attempts=3), FLEET)
    fixture.finish_prefill(single(fixture.arrive("q", left=20 * SECOND), api.Send))
    actions = fixture.advance(9 * SECOND)
    assert of_type(actions, api.Release) and not of_type(actions, api.Cancel)
