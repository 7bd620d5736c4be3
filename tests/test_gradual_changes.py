"""Large changes of the server list take effect in steps."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from stonetrack.api import ServerEntry, ServerState
from stonetrack.bootstrap.gradual_changes import CONFIRM_DELAY_NS, SECOND, SMALL_CHANGE, GradualServerList, StepSettings

NONE: frozenset[str] = frozenset()


def entries(*names: str, state: ServerState = ServerState.UP) -> dict[str, ServerEntry]:
    """Prefill engines; decode engines have a name that begins with w."""
    return {n: ServerEntry(n, 0, int(n.startswith("w")), 0, state) for n in names}


def numbered(letter: str, count: int, since: int = 0) -> dict[str, ServerEntry]:
    return entries(*(f"{letter}{n}" for n in range(since, since + count)))


def test_the_first_list_and_small_changes_take_effect_at_once() -> None:
    steps = GradualServerList(StepSettings())
    steps.set_target(numbered("r", 400), NONE, 0)
    assert len(steps.in_force) == 400 and not steps.in_progress
    steps.set_target(numbered("r", 400) | numbered("w", SMALL_CHANGE), NONE, 1)
    assert len(steps.in_force) == 408 and not steps.in_progress


def test_many_new_engines_are_added_in_steps_in_the_order_of_the_list() -> None:
    steps = GradualServerList(StepSettings())
    steps.set_target(numbered("r", 40), NONE, 0)
    steps.set_target(numbered("r", 440), NONE, SECOND)
    counts, now = [len(steps.in_force)], SECOND
    assert steps.pending_additions == 390 and not steps.tick(now)
    while (due := steps.due()) is not None:
        assert due == now + SECOND
        now = due
        assert steps.tick(now)
        counts.append(len(steps.in_force))
        assert set(steps.in_force) == set(numbered("r", counts[-1]))
    assert counts[-1] == 440 and all(b <= a * 1.25 + 1 for a, b in zip(counts, counts[1:], strict=False))
    whole = GradualServerList(StepSettings(added_share=0.0))
    whole.set_target(numbered("r", 40), NONE, 0)
    whole.set_target(numbered("r", 440), NONE, 1)
    assert len(whole.in_force) == 440


def test_the_disappearance_of_many_engines_has_to_be_confirmed() -> None:
    steps = GradualServerList(StepSettings())
    steps.set_target(numbered("r", 20) | numbered("w", 20), NONE, 0)
    steps.set_target(numbered("w", 20), NONE, 1)
    assert steps.unconfirmed_removals == 20 and len(steps.in_force) == 40
    steps.set_target(numbered("w", 20), NONE, 2)  # the same list again, before the delay has passed
    assert steps.unconfirmed_removals == 20 and not steps.confirmed(CONFIRM_DELAY_NS)
    assert (
        steps.confirmed(CONFIRM_DELAY_NS + 1)
        and set(steps.in_force) == set(numbered("w", 20))
        and not steps.in_progress
    )
    again = GradualServerList(StepSettings())
    again.set_target(numbered("r", 20), NONE, 0)
    again.set_target({}, NONE, 1)
    again.set_target(numbered("r", 20), NONE, 2)  # the service has recovered its list
    assert len(again.in_force) == 20 and not again.in_progress


def test_engines_reported_as_leaving_and_few_engines_leave_at_once() -> None:
    steps = GradualServerList(StepSettings())
    steps.set_target(numbered("r", 40), NONE, 0)
    steps.set_target(numbered("r", 10, 30), frozenset(numbered("r", 30)), 1)
    assert set(steps.in_force) == set(numbered("r", 10, 30))
    steps = GradualServerList(StepSettings())
    steps.set_target(numbered("r", 40), NONE, 0)
    draining = {**numbered("r", 40), **entries(*numbered("r", 30), state=ServerState.DRAINING)}
    steps.set_target(draining, NONE, 1)
    assert sum(e.state is ServerState.DRAINING for e in steps.in_force.values()) == 30
    steps.set_target(numbered("r", 10, 30), NONE, 2)
    assert len(steps.in_force) == 10 and not steps.in_progress
    few = GradualServerList(StepSettings())
    few.set_target(numbered("r", SMALL_CHANGE), NONE, 0)
    few.set_target({}, NONE, 1)
    assert not few.in_force


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.sets(st.integers(0, 80)), st.booleans(), st.integers(0, 8)), max_size=12))
def test_the_whole_list_is_in_force_in_the_end_and_leaving_engines_leave_at_once(
    history: list[tuple[set[int], bool, int]],
) -> None:
    steps, now = GradualServerList(StepSettings()), 0
    for names, drains, wait in history:
        target = entries(*(f"r{n}" for n in sorted(names)))
        if drains:
            target |= {n: entries(n, state=ServerState.DRAINING)[n] for n in list(target)[::2]}
        steps.set_target(target, NONE, now)
        for name, entry in steps.in_force.items():
            assert target.get(name, entry) == entry  # never an older entry than that of the list
        missing = {n for n in target if n not in steps.in_force}
        assert steps.pending_additions == len(missing) and steps.unconfirmed_removals == len(
            set(steps.in_force) - set(target)
        )
        now += wait * SECOND
        steps.tick(now)
    for _ in range(60):
        now += CONFIRM_DELAY_NS
        steps.tick(now)
        steps.confirmed(now)
    if history:
        assert steps.in_force == steps._target and not steps.in_progress
