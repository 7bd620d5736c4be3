"""A state held for a request is fetched by an attempt that has arrived, or released in time (issue 43).

A send does not prove an arrival: only an engine's answer does.  Without one, the decision to release a state may not
wait for the end of the attempt.
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
    """The attempt stays out: if it has arrived it has fetched its state, and a release leaves that alone."""
    fixture = RouterFixture(settings, FLEET)
    send = fixture.finish_prefill(single(fixture.arrive("q"), api.Send))
    got = fixture.advance(BY_NOW)
    assert len(of_type(got, api.Release)) == 1 and not of_type(got, api.Cancel)
    assert not any(server.held_states for server in fixture.router.servers.values())
    fixture.serve(send)
    assert not fixture.router.requests and len(of_type(fixture.actions, api.Release)) == 1


@pytest.mark.parametrize("outcome", [api.Outcome.FULL, api.Outcome.ERROR, api.Outcome.RESET])
def test_a_state_that_a_release_left_alone_is_released_when_its_attempt_fails(outcome: api.Outcome) -> None:
    """The attempt had arrived and waited for its state, so the release left it alone; then it was rejected."""
    fixture = RouterFixture(HELD, FLEET)
    send = fixture.finish_prefill(single(fixture.arrive("q"), api.Send))
    fixture.advance(BY_NOW)
    got = fixture.end_attempt(send, outcome, 1)
    again = single(got, api.Send)
    assert again.server[0] == "r" and got.index(single(got, api.Release)) < got.index(again)


@pytest.mark.parametrize("answer", [True, False, None])
@pytest.mark.parametrize("settings", [HELD, UNSAFE], ids=["safe", "unsafe"])
def test_no_reservation_is_held_behind_a_prefill_attempt_without_an_answer(
    settings: api.Settings, answer: bool | None
) -> None:
    """The answer of a decode engine says nothing of the prefill attempt elsewhere: a reservation is released in time
    or never made.  The attempt stays out: cancelling prefill attempts costs far more than it saves."""
    fixture = RouterFixture(settings, FLEET)
    fixture.arrive("q")
    asked = of_type(fixture.actions, api.HoldPlace)
    if asked and answer is not None:
        fixture.handle(api.PlaceAnswer("q", 0, asked[0].server, answer))
    got = fixture.advance(BY_NOW)
    assert len(of_type(got, api.Release)) == len(asked) and not of_type(got, api.Cancel)


@pytest.mark.parametrize("outcome", [api.Outcome.RESET, api.Outcome.CANCELLED, api.Outcome.TIMED_OUT])
def test_an_end_that_proves_no_arrival_does_not_extend_the_time_of_a_state(outcome: api.Outcome) -> None:
    fixture = RouterFixture(HELD, FLEET)
    send = fixture.finish_prefill(single(fixture.arrive("q"), api.Send))
    prefilled_at = fixture.now
    fixture.end_attempt(send, outcome, 1, 200 * MS)
    while not of_type(fixture.actions, api.Release):
        fixture.advance(50 * MS)
        assert fixture.now - prefilled_at <= BY_NOW, "the state was held for longer"


def test_an_attempt_whose_state_was_released_is_cancelled_only_with_two_attempts_left() -> None:
    """A decode attempt without its state that is cancelled needs two more: it is cancelled only where they are left."""
    fixture = RouterFixture(replace(HELD, max_attempts=3), FLEET)
    fixture.finish_prefill(single(fixture.arrive("q", left=20 * SECOND), api.Send))
    got = fixture.advance(9 * SECOND)
    assert of_type(got, api.Release) and not of_type(got, api.Cancel)
