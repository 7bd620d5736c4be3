"""Background jobs: the timer wheel compared with a plain list, the scheduler's invariants, the thread."""

from __future__ import annotations

import threading
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stonetrack.background.runner import Runner
from stonetrack.background.scheduler import SECOND, Budget, Job, JobState, Scheduler, StepResult
from stonetrack.background.timer_wheel import RANGE_TICKS, Timer, TimerWheel
from tests.harness import wait_for

MS = 1_000_000
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.one_of(st.integers(0, 3_000), st.integers(0, 1 << 34))),
        st.tuples(st.just("cancel"), st.integers(0, 50)),
        st.tuples(st.just("advance"), st.one_of(st.integers(0, 600), st.integers(0, 1 << 33))),
    ),
    max_size=60,
)


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 1 << 40), st.integers(1, 7), STEPS)
def test_a_wheel_gives_out_what_a_plain_list_would(start: int, tick: int, steps: list[tuple[str, int]]) -> None:
    wheel: TimerWheel[int] = TimerWheel(start, tick)
    plain: dict[int, int] = {}
    timers: list[Timer[int]] = []
    now = start
    for what, number in steps:
        if what == "add":
            plain[len(timers)] = now + number
            timers.append(wheel.add(now + number, len(timers)))
        elif what == "cancel" and timers:
            which = number % len(timers)
            assert wheel.cancel(timers[which]) == (plain.pop(which, None) is not None)
        elif what == "advance":
            comes = wheel.next_due()
            now += number
            ready = [n for n, due in plain.items() if -(-due // tick) <= now // tick]
            expected = sorted(ready, key=lambda n: (plain[n], n))
            assert wheel.advance(now) == expected
            assert not expected or (comes is not None and comes <= now)
            for n in expected:
                del plain[n]
        assert len(wheel) == len(plain)
    assert (wheel.next_due() is None) == (not plain)


def test_a_timer_beyond_the_wheels_range_expires_on_time() -> None:
    wheel: TimerWheel[str] = TimerWheel(0, 1)
    wheel.add(RANGE_TICKS * 3 + 5, "far")
    assert wheel.advance(RANGE_TICKS * 3 + 4) == []
    assert wheel.advance(RANGE_TICKS * 3 + 5) == ["far"] and len(wheel) == 0
    with pytest.raises(ValueError, match="tick: 0; allowed"):
        TimerWheel(0, 0)


def test_a_timer_that_is_due_in_the_tick_just_processed_expires_at_the_next_advance() -> None:
    """Smallest case of the property test above; it draws this case only with some seeds."""
    wheel: TimerWheel[int] = TimerWheel(0, 1)
    assert wheel.advance(0) == []
    wheel.add(0, 0)
    assert wheel.advance(0) == [0]


def job(name: str, budget: str = "b", **more: object) -> Job:
    return Job(name, lambda: StepResult(True), budget, **more)  # type: ignore[arg-type]


class SchedulerRun:
    """Runs a scheduler with a simulated clock; each step takes the time that ``cost_of`` returns for its job."""

    def __init__(self, *budgets: Budget, **more: int) -> None:
        self.now = 0
        self.scheduler = Scheduler(0, budgets, **more)
        self.steps_run: list[tuple[int, str]] = []

    def run_until(self, end: int, cost_of: Callable[[Job], int], step: Callable[[Job], StepResult | None]) -> None:
        for _ in range(100_000):
            found = self.scheduler.next_job(self.now)
            if isinstance(found, Job):
                self.steps_run.append((self.now, found.name))
                cost = cost_of(found)
                self.now += cost
                self.scheduler.record_step(self.now, found, cost, step(found), "broken")
            elif found is None or found >= end:
                return
            else:
                self.now = max(found, self.now + 1)
            if self.now >= end:
                return


@settings(max_examples=25, deadline=None)
@given(st.floats(0.01, 0.5), st.lists(st.integers(8, 60), min_size=1, max_size=5))
def test_a_budget_is_exceeded_by_at_most_its_burst_and_one_step(share: float, costs: list[int]) -> None:
    run = SchedulerRun(Budget("b", share=share, burst_seconds=0.5))
    for n, _ in enumerate(costs):
        run.scheduler.submit(0, job(str(n)))
    used: list[tuple[int, int]] = []

    def cost_of(each: Job) -> int:
        cost = costs[int(each.name)] * MS
        used.append((run.now, cost))
        return cost

    run.run_until(6 * SECOND, cost_of, lambda each: StepResult(False))
    for i, (start, _) in enumerate(used[::5]):
        spent = 0
        for at, cost in used[5 * i :]:
            end, spent = at + cost, spent + cost
            assert spent <= share * (end - start) + share * 0.5 * SECOND + max(costs) * MS + MS
    total = sum(cost for _, cost in used)
    assert total >= 0.8 * share * 6 * SECOND  # the budget is also used up


def test_bytes_have_a_separate_budget() -> None:
    run = SchedulerRun(Budget("b", share=0.0, bytes_per_second=1_000_000, burst_seconds=0.1))
    run.scheduler.submit(0, job("j"))
    run.run_until(10 * SECOND, lambda each: 1, lambda each: StepResult(False, 50_000))
    assert 9.5e6 <= sum(50_000 for _ in run.steps_run) <= 10.3e6


def test_the_higher_priority_runs_first_and_the_lower_does_not_starve() -> None:
    run = SchedulerRun(Budget("b", share=0.0), aging=SECOND)
    run.scheduler.submit(0, job("low", priority=0))
    run.scheduler.submit(0, job("high", priority=3))
    run.run_until(20 * SECOND, lambda each: 10 * MS, lambda each: StepResult(False))
    names = [name for _, name in run.steps_run]
    assert names[:100] == ["high"] * 100
    assert 4 <= names.count("low") <= 12


def test_a_deadline_overdraws_its_budget_up_to_the_debt_limit() -> None:
    for deadline, min_runs, max_runs in ((None, 95, 105), (5 * SECOND, 115, 126)):
        run = SchedulerRun(Budget("b", share=0.1, burst_seconds=0.1, max_debt_seconds=2.0))
        run.scheduler.submit(0, job("j", deadline=deadline))
        run.run_until(10 * SECOND, lambda each: 10 * MS, lambda each: StepResult(False))
        assert min_runs <= len(run.steps_run) <= max_runs
    # An overdue job runs before one of higher priority.
    run = SchedulerRun(Budget("b", share=0.0))
    run.scheduler.submit(0, job("important", priority=9))
    run.scheduler.submit(0, job("late", deadline=0))
    assert isinstance(first := run.scheduler.next_job(0), Job) and first.name == "late"


def test_a_failing_job_is_retried_with_backoff_then_given_up() -> None:
    run = SchedulerRun(Budget("b", share=0.0))
    failing = job("bad", max_attempts=4)
    run.scheduler.submit(0, failing)
    run.scheduler.submit(0, job("good", repeat_after=SECOND))
    run.run_until(30 * SECOND, lambda each: 1, lambda each: StepResult(True) if each.name == "good" else None)
    at = [when // SECOND for when, name in run.steps_run if name == "bad"]
    assert at == [0, 1, 3, 7] and failing.state is JobState.ENDED and failing.error == "broken"
    assert len([1 for _, name in run.steps_run if name == "good"]) >= 29
    assert list(run.scheduler.jobs) == ["good"]


def test_a_cancelled_job_never_runs_and_an_expedited_one_runs_at_once() -> None:
    scheduler = Scheduler(0, (Budget("b", share=0.0),))
    one, two = job("one"), job("two")
    scheduler.submit(0, one, due=5 * SECOND)
    scheduler.submit(0, two, due=5 * SECOND)
    scheduler.cancel(one)
    scheduler.expedite(0, two, deadline=0)
    assert scheduler.next_job(1 * MS) is two
    scheduler.cancel(two)
    scheduler.record_step(2 * MS, two, 1, StepResult(False))
    assert scheduler.next_job(60 * SECOND) is None and two.state is JobState.ENDED
    with pytest.raises(ValueError, match="budget 'x'; allowed: b"):
        scheduler.submit(0, job("three", budget="x"))
    scheduler.submit(0, job("three"))
    with pytest.raises(ValueError, match="another job of this name"):
        scheduler.submit(0, job("three"))


def test_the_thread_runs_steps_and_survives_their_exceptions() -> None:
    log_lines: list[str] = []
    steps_left = [3]
    done = threading.Event()

    def work() -> StepResult:
        steps_left[0] -= 1
        if not steps_left[0]:
            done.set()
        return StepResult(not steps_left[0], 10)

    def broken() -> StepResult:
        raise OSError("no such disk")

    runner = Runner((Budget("b", share=0.0),), log_lines.append)
    runner.submit(Job("broken", broken, "b", max_attempts=1))
    counted = Job("work", work, "b")
    runner.submit(counted)
    later = Job("later", lambda: StepResult(True), "b")
    runner.submit(later, delay=3_600 * SECOND)
    runner.start()
    assert done.wait(10.0) and wait_for(lambda: [j.name for j in runner.jobs()] == ["later"])
    assert counted.steps == 3 and counted.bytes == 30
    assert log_lines == ["background: broken given up after 1 tries: OSError: no such disk"]
    runner.expedite(later)
    assert wait_for(lambda: not runner.jobs())
    runner.stop()
