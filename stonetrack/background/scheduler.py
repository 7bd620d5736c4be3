"""Selects the next background job: priorities, budgets, deadlines, repetition.  No I/O, thread or clock.

The problem.  Indexing, verifying, compressing and replaying captures can each use all of the machine's resources, and
none of it is urgent until the disk budget is nearly used up.  So jobs work in *steps* of a few milliseconds, and the
scheduler selects a job anew for each step.

- **Budgets.**  Each job belongs to a :class:`Budget`: CPU time and bytes per second, as token buckets with a small
  burst.  A step is charged afterwards with its actual cost, so a bucket may become negative; the budget's jobs then
  wait until it is refilled.  A step is never charged to another budget.
- **Priorities.**  Of the jobs that may run, the one with the highest priority runs; among equals, the one that has not
  run for the longest time.  A job that could have run but did not gains one level of priority each ``aging``
  nanoseconds, so none starves.
- **Deadlines.**  A job whose deadline has passed runs before all others and may overdraw its budget, by at most
  ``max_debt_seconds`` seconds' worth: overdue work is worse than a short overload, but only up to a limit.
- **Failure.**  A step that raised is retried after a delay that doubles; after ``max_attempts`` failures the job is
  given up and logged.

Invariants (tested with hypothesis): over any interval, a budget is exceeded by at most its burst, one step, and the
debt that a deadline allows; a job that may run is not passed over forever; a job that ended never runs again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from stonetrack.background.timer_wheel import Timer, TimerWheel

SECOND = 1_000_000_000


class JobState(Enum):
    """The state of a job.

    WAITING -> READY: it is due, or its budget is refilled.  READY -> RUNNING: it was selected.  RUNNING -> READY: it
    has more to do; -> WAITING: it is over its budget, is to be retried after a failure, or is done and repeats; ->
    ENDED: it is done, or was given up.  Any -> ENDED: cancelled (a running step completes).
    """

    WAITING = "waiting"
    READY = "ready"
    RUNNING = "running"
    ENDED = "ended"


class TokenBucket:
    """A token bucket that may be overdrawn.  ``rate`` tokens per second are added, up to ``burst``; rate 0 means no
    limit."""

    __slots__ = ("burst", "rate", "tokens", "updated_at")

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self.rate, self.burst, self.tokens, self.updated_at = rate, burst, burst, now

    def refill(self, now: int) -> None:
        """Add the tokens since the last update."""
        if self.rate:
            self.tokens = min(self.burst, self.tokens + self.rate * max(0, now - self.updated_at) / SECOND)
        self.updated_at = max(self.updated_at, now)

    def spend(self, amount: float) -> None:
        """Remove tokens; the result may be negative."""
        if self.rate:
            self.tokens -= amount

    def available_at(self, floor: float = 0.0) -> int:
        """The time at which the bucket reaches ``floor``, the last update at the earliest."""
        if not self.rate or self.tokens >= floor:
            return self.updated_at
        return self.updated_at + int((floor - self.tokens) / self.rate * SECOND) + 1


@dataclass(frozen=True, slots=True)
class Budget:
    """Limits shared by all jobs that name it: ``share`` of one core (0: no limit), ``bytes_per_second`` (0: no limit),
    and ``max_debt_seconds``, the seconds' worth that overdue jobs may overdraw."""

    name: str
    share: float = 0.05
    bytes_per_second: float = 0.0
    burst_seconds: float = 1.0
    max_debt_seconds: float = 2.0


@dataclass(slots=True, eq=False)
class Job:
    """A background job.  The runner calls ``step``; the scheduler never does.  Times in nanoseconds."""

    name: str
    step: Callable[[], StepResult]
    budget: str
    priority: int = 0
    repeat_after: int = 0  # nanoseconds from the end of a run to the start of the next; 0: runs once
    deadline: int | None = None
    max_attempts: int = 5
    state: JobState = JobState.WAITING
    ready_at: int = 0
    last_run_at: int = 0
    failures: int = 0
    steps: int = 0
    cpu_time: int = 0
    bytes: int = 0
    error: str = ""
    timer: Timer[Job] | None = None


@dataclass(frozen=True, slots=True)
class StepResult:
    """The result of a step: whether the job is done, and the bytes it read and wrote."""

    done: bool
    bytes: int = 0


class Scheduler:
    """Selects jobs by the rules in the module's docstring; times in nanoseconds of any one clock."""

    def __init__(
        self, now: int, budgets: tuple[Budget, ...], aging: int = 10 * SECOND, first_retry_delay: int = SECOND
    ) -> None:
        self._wheel: TimerWheel[Job] = TimerWheel(now)
        self._aging, self._first_retry_delay = aging, first_retry_delay
        self._budgets = {b.name: b for b in budgets}
        self._time_buckets = {
            b.name: TokenBucket(b.share * SECOND, b.share * SECOND * b.burst_seconds, now) for b in budgets
        }
        self._byte_buckets = {
            b.name: TokenBucket(b.bytes_per_second, b.bytes_per_second * b.burst_seconds, now) for b in budgets
        }
        self._ready: list[Job] = []
        self.jobs: dict[str, Job] = {}

    def submit(self, now: int, job: Job, due: int | None = None) -> None:
        """Add a job, to start at ``due`` or at once.  Raises ValueError for an unknown budget or a name in use."""
        if job.budget not in self._budgets:
            raise ValueError(f"job {job.name}: budget {job.budget!r}; allowed: {', '.join(self._budgets)}")
        if job.name in self.jobs:
            raise ValueError(f"job {job.name}: another job of this name has not ended")
        self.jobs[job.name] = job
        self._defer(job, now if due is None else due)

    def cancel(self, job: Job) -> None:
        """End a job; a running step completes."""
        if job.timer is not None:
            self._wheel.cancel(job.timer)
        if job in self._ready:
            self._ready.remove(job)
        job.state = JobState.ENDED
        self.jobs.pop(job.name, None)

    def expedite(self, now: int, job: Job, deadline: int) -> None:
        """Set a job's deadline, or an earlier one, and make it due at once."""
        if job.deadline is None or deadline < job.deadline:
            job.deadline = deadline
        if job.state is JobState.WAITING:
            if job.timer is not None:
                self._wheel.cancel(job.timer)
            self._defer(job, now)

    def _defer(self, job: Job, due: int) -> None:
        job.state = JobState.WAITING
        job.timer = self._wheel.add(due, job)

    def _earliest_start(self, now: int, job: Job) -> int:
        """The earliest time at which the job's budget allows it to run."""
        overdue = job.deadline is not None and now >= job.deadline
        allowed_at = now
        budget = self._budgets[job.budget]
        for bucket in (self._time_buckets[job.budget], self._byte_buckets[job.budget]):
            bucket.refill(now)
            allowed_at = max(
                allowed_at, bucket.available_at(-bucket.rate * budget.max_debt_seconds if overdue else 0.0)
            )
        return allowed_at

    def next_job(self, now: int) -> Job | int | None:
        """The job whose step is to run now, or the time at which to ask again, or None if no job waits."""
        for job in self._wheel.advance(now):
            job.timer, job.state, job.ready_at = None, JobState.READY, now
            self._ready.append(job)
        selected: Job | None = None
        for job in list(self._ready):
            allowed = self._earliest_start(now, job)
            if allowed > now:  # over its budget: try again at the deadline if that is earlier
                self._ready.remove(job)
                deadline = job.deadline if job.deadline is not None and job.deadline > now else allowed
                self._defer(job, min(allowed, deadline))
            elif selected is None or self._sort_key(now, job) < self._sort_key(now, selected):
                selected = job
        if selected is not None:
            self._ready.remove(selected)
            selected.state, selected.last_run_at = JobState.RUNNING, now
            return selected
        return self._wheel.next_due()

    def _sort_key(self, now: int, job: Job) -> tuple[bool, int, int, int]:
        overdue = job.deadline is not None and now >= job.deadline
        age = (now - job.ready_at) // self._aging
        return not overdue, -(job.priority + age), job.last_run_at, job.ready_at

    def record_step(self, now: int, job: Job, cpu_time: int, result: StepResult | None, error: str = "") -> None:
        """Charge a step to its budget and update its job; ``result`` is None if the step raised ``error``."""
        self._time_buckets[job.budget].spend(cpu_time)
        job.steps, job.cpu_time = job.steps + 1, job.cpu_time + cpu_time
        if result is not None:
            self._byte_buckets[job.budget].spend(result.bytes)
            job.bytes += result.bytes
        if job.state is JobState.ENDED:  # cancelled meanwhile
            return
        if result is None:
            job.failures, job.error = job.failures + 1, error
            if job.failures >= job.max_attempts:
                self.cancel(job)
                return
            self._defer(job, now + self._first_retry_delay * (1 << min(job.failures - 1, 10)))
        elif not result.done:
            job.failures = 0
            job.state, job.ready_at = JobState.READY, now
            self._ready.append(job)
        elif job.repeat_after:
            job.failures, job.error, job.deadline = 0, "", None
            self._defer(job, now + job.repeat_after)
        else:
            self.cancel(job)
