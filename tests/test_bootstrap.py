"""Bootstrap without I/O: when a node polls for its list, which documents come into force, and when it is ready."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stonetrack.bootstrap.list_versions import ROLLBACK_DELAY_NS, Decision, DocumentVersion, VersionTracker
from stonetrack.bootstrap.polling import (
    FAILURE_PERIOD_NS,
    MAX_RETRY_AFTER_NS,
    SECOND,
    UNREACHABLE_PERIOD_NS,
    PollResult,
    PollScheduler,
    PollSettings,
)
from stonetrack.bootstrap.readiness_stages import ReadinessSettings, Stage, StageMachine

MS = 1_000_000
WAIT = 20 * SECOND
TERMS = PollSettings(nodes=200, lists_per_second=10.0, max_wait=WAIT)  # a spread of 22 s
ROLES = (frozenset({"reader", "mixed"}), frozenset({"writer", "mixed"}))


def scheduler(seed: int = 1, terms: PollSettings = TERMS) -> PollScheduler:
    return PollScheduler(terms, random.Random(seed), 0)


def repeat_polls(one: PollScheduler, result: PollResult, until: int, retry_after: float | None = None) -> list[int]:
    """Return the times of polls that all end at once with the same result."""
    times = []
    while one.due <= until:
        now = one.due
        assert one.start_poll(now, -1, "") is not None
        times.append(now)
        one.finish_poll(now, result, retry_after)
    return times


# Polling.


def test_a_fleet_that_starts_at_once_polls_evenly_over_the_time_that_the_service_needs() -> None:
    first = [scheduler(seed).due for seed in range(200)]
    by_second = Counter(t // SECOND for t in first)
    assert max(first) <= TERMS.spread and max(by_second.values()) <= 18 and len(by_second) >= 21


@pytest.mark.parametrize(
    "result,least",
    [
        (PollResult.UNREACHABLE, UNREACHABLE_PERIOD_NS),
        (PollResult.FAILED, FAILURE_PERIOD_NS),
        (PollResult.UNUSABLE, FAILURE_PERIOD_NS),
    ],
)
def test_during_an_outage_each_node_polls_once_per_period_at_a_random_offset(result: PollResult, least: int) -> None:
    for terms in (TERMS, PollSettings(400, 20.0, WAIT)):
        times = [repeat_polls(scheduler(seed, terms), result, 600 * SECOND) for seed in range(50)]
        period = max(terms.spread, least)
        assert all(b - a == period for each in times for a, b in zip(each[1:], each[2:], strict=False))
        # The next polls after the service's recovery are spread over the whole period.
        for back in (120 * SECOND, 333 * SECOND):
            left = sorted((next(t for t in each if t >= back) - back) / period for each in times)
            assert left[0] < 0.2 and left[-1] > 0.8


def test_another_kind_of_failure_keeps_the_random_offset() -> None:
    one = scheduler()
    began = one.due
    assert one.start_poll(began, -1, "")
    one.finish_poll(began, PollResult.FAILED)
    assert one.due == began + TERMS.spread
    assert one.start_poll(one.due, -1, "")
    one.finish_poll(one.due, PollResult.UNREACHABLE)
    assert one.due == began + 2 * TERMS.spread


def test_polls_that_fail_on_all_nodes_at_once_are_repeated_at_random_times() -> None:
    after = []
    for seed in range(100):
        one = scheduler(seed)
        one.start_poll(one.due, -1, "")
        one.finish_poll(one.due, PollResult.ACCEPTED)
        assert one.start_poll(one.due, 7, "h") is not None
        one.finish_poll(30 * SECOND, PollResult.FAILED)
        after.append(one.due - 30 * SECOND)
    assert min(after) < TERMS.spread / 10 and max(after) > 0.9 * TERMS.spread


@pytest.mark.parametrize("retry_after", [None, 0.0, 3.0, 999_999.0, float("nan"), float("inf"), -5.0])
def test_retry_after_is_followed_within_bounds(retry_after: float | None) -> None:
    pauses = []
    for seed in range(60):
        one = scheduler(seed)
        now = one.due
        one.start_poll(now, -1, "")
        one.finish_poll(now, PollResult.REJECTED, retry_after)
        pauses.append(one.due - now)
    assert max(pauses) <= MAX_RETRY_AFTER_NS + TERMS.spread and min(pauses) >= SECOND
    assert max(pauses) - min(pauses) > SECOND // 3  # not all at the same time
    if retry_after == 3.0:
        assert min(pauses) >= 3 * SECOND and max(pauses) < 5 * SECOND


def test_nodes_that_get_the_same_retry_after_spread_their_polls() -> None:
    times: Counter[int] = Counter()
    for seed in range(200):
        one = scheduler(seed)
        one.due = 0  # all at once
        for now in repeat_polls(one, PollResult.REJECTED, 300 * SECOND, 1.0):
            times[now // SECOND] += 1
    assert times[0] == 200 and max(times[s] for s in range(60, 300)) <= 45


def test_immediate_unchanged_answers_lead_to_polls_one_period_apart() -> None:
    one = scheduler()
    times: list[int] = []
    while len(times) < 30:
        now = one.due
        assert one.start_poll(now, 5, "h") is not None
        times.append(now)
        one.finish_poll(now + MS, PollResult.UNCHANGED)
    assert (times[-1] - times[0]) / SECOND > 20 * TERMS.spread / SECOND
    one.start_poll(one.due, 5, "h")
    one.finish_poll(one.due + WAIT, PollResult.UNCHANGED)  # a poll of full length does not use the allowance
    assert one.due <= times[-1] + TERMS.spread + WAIT + MS


@settings(max_examples=150, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(list(PollResult)), st.floats(0, 30), st.none() | st.floats()), max_size=60),
    st.integers(0, 1_000),
    st.integers(1, 5_000),
    st.floats(0.5, 1e4),
)
def test_no_sequence_of_results_makes_it_poll_too_often_or_never_again(
    results: list[tuple[PollResult, float, float | None]], seed: int, nodes: int, rate: float
) -> None:
    terms = PollSettings(nodes, rate, WAIT)
    one = PollScheduler(terms, random.Random(seed), 0)
    failures, began = 0, one.due
    now = 0
    for result, duration, retry_after in results:
        assert now <= one.due <= now + MAX_RETRY_AFTER_NS + 2 * max(terms.spread, FAILURE_PERIOD_NS)
        now = max(now, one.due)
        poll = one.start_poll(now, 3, "h")
        assert poll is not None and one.start_poll(now, 3, "h") is None and poll.wait <= WAIT
        failures += result in (PollResult.FAILED, PollResult.UNUSABLE)
        now += int(duration * SECOND)
        one.finish_poll(now, result, retry_after)
    if results and all(result in (PollResult.FAILED, PollResult.UNUSABLE) for result, _, _ in results):
        assert failures <= 1 + (now - began) / FAILURE_PERIOD_NS + 1e-6


def test_finishing_a_poll_that_was_not_started_raises() -> None:
    with pytest.raises(RuntimeError):
        scheduler().finish_poll(0, PollResult.ACCEPTED)


# Versions.


def tracker(*versions: DocumentVersion) -> VersionTracker:
    made = VersionTracker()
    for version in versions:
        assert made.decide(version, 0) is Decision.ACCEPT
        made.accepted(version, 0)
    return made


def test_versions_of_one_history_only_increase() -> None:
    one = tracker(DocumentVersion("h", 5))
    assert one.decide(DocumentVersion("h", 3), 1) is Decision.OLDER and one.version == 5
    assert one.decide(DocumentVersion("h", 5), 2) is Decision.SAME
    assert one.decide(DocumentVersion("h", 6), 3) is Decision.ACCEPT


def test_an_older_version_is_accepted_if_nothing_else_arrives() -> None:
    one = tracker(DocumentVersion("h", 5))
    assert one.decide(DocumentVersion("h", 3), SECOND) is Decision.OLDER
    assert one.decide(DocumentVersion("h", 3), SECOND + ROLLBACK_DELAY_NS - 1) is Decision.OLDER
    assert one.decide(DocumentVersion("h", 3), SECOND + ROLLBACK_DELAY_NS) is Decision.ACCEPT
    other = tracker(DocumentVersion("h", 5))  # one replica lags, the other confirms now and then
    for at in range(1, 100, 5):
        assert other.decide(DocumentVersion("h", 3), at * SECOND) is Decision.OLDER
        assert other.decide(DocumentVersion("h", 5), (at + 1) * SECOND) is Decision.SAME


def test_changes_need_the_version_in_force_as_base_or_a_whole_list_is_requested() -> None:
    one = tracker(DocumentVersion("h", 5))
    assert one.poll_base() == (5, "h")
    for document in (DocumentVersion("h", 8, base=6), DocumentVersion("g", 8, base=5), DocumentVersion("h", 8, base=4)):
        assert one.decide(document, 1) is Decision.NO_BASE and one.poll_base() == (-1, "")
    one.accepted(DocumentVersion("h", 8), 2)
    assert one.poll_base() == (8, "h")
    assert VersionTracker().decide(DocumentVersion("h", 8, base=6), 1) is Decision.NO_BASE


def test_another_history_is_accepted_but_not_two_that_alternate() -> None:
    one = tracker(DocumentVersion("a", 500))
    history_changes = 0
    for n in range(40):
        document = DocumentVersion("ba"[n % 2], 500 + n)
        if one.decide(document, n * SECOND) is Decision.ACCEPT:
            history_changes += one.origin != document.origin
            one.accepted(document, n * SECOND)
    assert history_changes == 3
    assert one.decide(DocumentVersion("c", 1), 200 * SECOND) is Decision.ACCEPT


def test_a_list_without_a_version_is_always_accepted() -> None:
    one = tracker(DocumentVersion("", 0))
    assert one.decide(DocumentVersion("", 0), 1) is Decision.ACCEPT


# Readiness stages.


def machine(**limits: int) -> StageMachine:
    return StageMachine(
        ReadinessSettings(
            **{"max_saved_age": 600 * SECOND, "connections_per_role": 2, "max_connect_time": 3 * SECOND, **limits}
        ),
        ROLES,
    )


def stage(one: StageMachine) -> Stage:
    return one.stage


UP = {"r0": "reader", "r1": "reader", "r2": "reader", "w0": "writer", "w1": "writer"}


def test_a_node_is_ready_once_it_is_connected_to_an_engine_of_each_role() -> None:
    one = machine()
    assert not one.permissions().serve and not one.permissions().send and one.not_ready_reason() == "no server list yet"
    one.confirm_list(UP, 0)
    assert (
        stage(one) is Stage.FRESH_LIST
        and not one.permissions().serve
        and one.permissions().send
        and one.not_ready_reason() == "no engine reached yet"
    )
    assert len(one.connection_targets((1.0 / (n + 1), e) for n, e in enumerate(UP))) == 4
    one.connected("r1", 1)
    assert stage(one) is Stage.FRESH_LIST
    one.connected("w0", 2)
    assert stage(one) is Stage.READY and one.not_ready_reason() == "" and one.connection_targets([(0.0, "r0")]) == []
    one.confirm_list(UP, 3)
    assert stage(one) is Stage.READY
    one.confirm_list({"r0": "reader"}, 4)
    assert stage(one) is Stage.FRESH_LIST and one.not_ready_reason() == "no mixed or writer in the server list"


def test_after_the_timeout_a_node_connected_to_one_role_is_ready_and_an_unconnected_one_is_not() -> None:
    one = machine()
    one.confirm_list(UP, 0)
    one.connected("r0", 1)
    one.tick(3 * SECOND - 1)
    assert stage(one) is Stage.FRESH_LIST
    one.tick(3 * SECOND)
    assert stage(one) is Stage.READY
    other = machine()
    other.confirm_list(UP, 0)
    other.tick(60 * SECOND)
    assert stage(other) is Stage.FRESH_LIST
    other.connected("nobody", 61 * SECOND)
    assert stage(other) is Stage.FRESH_LIST


@pytest.mark.parametrize(
    "age,allowed,ready", [(10, 600, True), (601, 600, False), (0, 0, True), (1, 0, False), (-5, 600, False)]
)
def test_a_saved_list_is_used_only_up_to_its_maximum_age(age: int, allowed: int, ready: bool) -> None:
    one = machine(max_saved_age=allowed * SECOND)
    assert one.restore_saved(UP, age * SECOND, 0) is ready
    assert one.permissions().serve is ready and one.on_saved_list is ready
    one.confirm_list(UP, 1)
    assert not one.on_saved_list and one.stage is (Stage.READY if ready else Stage.FRESH_LIST)
    assert not machine().restore_saved({"r0": "reader"}, 0, 0)


def test_readiness_is_right_after_every_sequence_of_events() -> None:
    """For all sequences of five out of nine events, a node is ready only while a usable list has all roles."""
    events = {
        "saved young": lambda s, t: s.restore_saved(UP, 0, t),
        "saved old": lambda s, t: s.restore_saved(UP, 700 * SECOND, t),
        "list": lambda s, t: s.confirm_list(UP, t),
        "empty list": lambda s, t: s.confirm_list({}, t),
        "readers only": lambda s, t: s.confirm_list({"r0": "reader"}, t),
        "reader": lambda s, t: s.connected("r0", t),
        "writer": lambda s, t: s.connected("w0", t),
        "unknown": lambda s, t: s.connected("x", t),
        "later": lambda s, t: s.tick(t),
    }
    seen: set[Stage] = set()

    def violations(sequence: tuple[str, ...], broken: bool) -> int:
        one = machine()
        if broken:  # seeded defect: a missing role is not noticed
            one._missing_roles = lambda engines: ""  # type: ignore[method-assign]
        found = 0
        roles: set[str] = set()
        for n, name in enumerate(sequence):
            events[name](one, n * 2 * SECOND)
            if name in ("list", "saved young"):
                roles = set(UP.values())
            elif name in ("empty list", "readers only", "saved old"):
                roles = {"reader"} if name == "readers only" else set()
            seen.add(one.stage)
            found += one.permissions().serve and not {"reader", "writer"} <= roles
            found += one.permissions().serve != (one.not_ready_reason() == "")
        return found

    def sequences(length: int) -> list[tuple[str, ...]]:
        if not length:
            return [()]
        return [(*s, e) for s in sequences(length - 1) for e in events if not (s and e.startswith("saved"))]

    every_sequence = sequences(5)
    assert sum(violations(s, broken=False) for s in every_sequence) == 0 and len(every_sequence) > 15_000
    assert seen == {Stage.NO_LIST, Stage.SAVED_LIST, Stage.FRESH_LIST, Stage.READY}
    assert any(violations(s, broken=True) for s in sequences(2))
