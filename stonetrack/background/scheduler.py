"""What runs next in the background, and when: priorities, budgets, deadlines, repeats.  No I/O, thread or clock.

The problem.  Indexing, checking, compressing and replaying captures can each take as much machine as there is, and
none of it is urgent until it suddenly is (a disk budget nearly used up).  So work is cut into *steps* of a few
milliseconds, and between two steps the plan decides anew.

- **Budgets.**  Each job draws on a :class:`Budget`: so much time and so many bytes a second, as token buckets with a
  small burst.  A step is paid for afterwards, at what it truly took, so a bucket may go below zero; a job whose
  budget is below zero waits until it is whole again.  Nothing is ever charged to another budget.
- **Priorities.**  Of the jobs that may run, the one of the highest priority does; among equals the one that ran longest
  ago.  One that could have run and did not rises by one each ``aging``: nothing starves.
- **Deadlines.**  A job whose deadline has come runs before all others and may overdraw its budget, by at most
  ``max_debt_seconds`` seconds' worth: late work is worse than a busy moment, but not without end.
- **Failure.**  A step that raised is tried again after a pause that doubles, so many times; then the job is given up
  and said so.

Invariants (tested by hypothesis): over any span, a budget is exceeded by at most its burst, one step, and the debt
where a deadline asked for it; a job that may run is not passed over for ever; a job that ended is never run again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from stonetrack.background.timer_wheel import Timer, TimerWheel

SECOND = 1_000_000_000


class JobState(Enum):
    """A job's life.

    WAITING -> READY: its time has come, or its budget is whole again.  READY -> RUNNING: the plan chose it.
    RUNNING -> READY: more to do; -> WAITING: over its budget, or failed and to be tried again, or done and due again;
    -> ENDED: done, or given up.  Any -> ENDED: cancelled (a running step is not cut short).
    """

    WAITING = "waiting"
    READY = "ready"
    RUNNING = "running"
    ENDED = "ended"


class TokenBucket:
    """A token bucket that may be overdrawn; ``rate`` a second, at most ``burst`` saved up.  Rate 0: no bound."""

    __slots__ = ("burst", "rate", "tokens", "updated_at")

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self.rate, self.burst, self.tokens, self.updated_at = rate, burst, burst, now

    def refill(self, now: int) -> None:
        """Add what has come since the last look."""
        if self.rate:
            self.tokens = min(self.burst, self.tokens + self.rate * max(0, now - self.updated_at) / SECOND)
        self.updated_at = max(self.updated_at, now)

    def spend(self, amount: float) -> None:
        """Take, below zero if need be."""
        if self.rate:
            self.tokens -= amount

    def available_at(self, floor: float = 0.0) -> int:
        """When it is at ``floor`` again, at the earliest now."""
        if not self.rate or self.tokens >= floor:
            return self.updated_at
        return self.updated_at + int((floor - self.tokens) / self.rate * SECOND) + 1


@dataclass(frozen=True, slots=True)
class Budget:
    """Bounds for all jobs that name it.  ``share`` of one core (0: no bound), ``bytes_per_second`` (0: no bound),
    ``max_debt_seconds`` in seconds' worth that deadlines may overdraw."""

    name: str
    share: float = 0.05
    bytes_per_second: float = 0.0
    burst_seconds: float = 1.0
    max_debt_seconds: float = 2.0


@dataclass(slots=True, eq=False)
class Job:
    """One piece of work.  ``step`` is the caller's; the plan never calls it."""

    name: str
    step: Callable[[], StepResult]
    budget: str
    priority: int = 0
    repeat_after: int = 0  # nanoseconds between ends and the next beginning; 0: once
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
    """What one step did: whether the job is done, and the bytes it read and wrote."""

    done: bool
    bytes: int = 0


class Scheduler:
    """See the module; times in nanoseconds of any one clock."""

    def __init__(
        self, now: int, budgets: tuple[Budget, ...], aging: int = 10 * SECOND, first_retry_delay: int = SECOND
    ) -> None:
        self._wheel: TimerWheel[Job] = TimerWheel(now)
        self._aging, self._first_pause = aging, first_retry_delay
        self._budgets = {b.name: b for b in budgets}
        self._time = {b.name: TokenBucket(b.share * SECOND, b.share * SECOND * b.burst_seconds, now) for b in budgets}
        self._bytes = {
            b.name: TokenBucket(b.bytes_per_second, b.bytes_per_second * b.burst_seconds, now) for b in budgets
        }
        self._ready: list[Job] = []
        self.jobs: dict[str, Job] = {}

    def submit(self, now: int, job: Job, due: int | None = None) -> None:
        """Take a job, to begin at ``due`` or at once.  Raises ValueError for a name or budget it can't take."""
        if job.budget not in self._budgets:
            raise ValueError(f"job {job.name}: budget {job.budget!r}; allowed: {', '.join(self._budgets)}")
        if job.name in self.jobs:
            raise ValueError(f"job {job.name}: a job of this name is there already")
        self.jobs[job.name] = job
        self._later(job, now if due is None else due)

    def cancel(self, job: Job) -> None:
        """End a job; a step that runs is not cut short."""
        if job.timer is not None:
            self._wheel.cancel(job.timer)
        if job in self._ready:
            self._ready.remove(job)
        job.state = JobState.ENDED
        self.jobs.pop(job.name, None)

    def expedite(self, now: int, job: Job, deadline: int) -> None:
        """Give a job a deadline, or an earlier one, and look at it at once."""
        if job.deadline is None or deadline < job.deadline:
            job.deadline = deadline
        if job.state is JobState.WAITING:
            if job.timer is not None:
                self._wheel.cancel(job.timer)
            self._later(job, now)

    def _later(self, job: Job, due: int) -> None:
        job.state = JobState.WAITING
        job.timer = self._wheel.add(due, job)

    def _allowed_at(self, now: int, job: Job) -> int:
        """When its budget lets it run."""
        late = job.deadline is not None and now >= job.deadline
        when = now
        budget = self._budgets[job.budget]
        for bucket in (self._time[job.budget], self._bytes[job.budget]):
            bucket.refill(now)
            when = max(when, bucket.available_at(-bucket.rate * budget.max_debt_seconds if late else 0.0))
        return when

    def next_job(self, now: int) -> Job | int | None:
        """The job whose step is to run now, or the time at which to ask again, or None where nothing waits."""
        for job in self._wheel.advance(now):
            job.timer, job.state, job.ready_at = None, JobState.READY, now
            self._ready.append(job)
        best: Job | None = None
        for job in list(self._ready):
            allowed = self._allowed_at(now, job)
            if allowed > now:  # over its budget: a deadline that comes sooner is looked at then
                self._ready.remove(job)
                comes = job.deadline if job.deadline is not None and job.deadline > now else allowed
                self._later(job, min(allowed, comes))
            elif best is None or self._rank(now, job) < self._rank(now, best):
                best = job
        if best is not None:
            self._ready.remove(best)
            best.state, best.last_run_at = JobState.RUNNING, now
            return best
        return self._wheel.next_due()

    def _rank(self, now: int, job: Job) -> tuple[bool, int, int, int]:
        late = job.deadline is not None and now >= job.deadline
        waited = (now - job.ready_at) // self._aging
        return not late, -(job.priority + waited), job.last_run_at, job.ready_at

    def record_step(self, now: int, job: Job, took: int, step: StepResult | None, error: str = "") -> None:
        """Book a step: what it took, and that it did so much, or failed with an error (``step`` None)."""
        self._time[job.budget].spend(took)
        job.steps, job.cpu_time = job.steps + 1, job.cpu_time + took
        if step is not None:
            self._bytes[job.budget].spend(step.bytes)
            job.bytes += step.bytes
        if job.state is JobState.ENDED:  # cancelled meanwhile
            return
        if step is None:
            job.failures, job.error = job.failures + 1, error
            if job.failures >= job.max_attempts:
                self.cancel(job)
                return
            self._later(job, now + self._first_pause * (1 << min(job.failures - 1, 10)))
        elif not step.done:
            job.failures = 0
            job.state, job.ready_at = JobState.READY, now
            self._ready.append(job)
        elif job.repeat_after:
            job.failures, job.error, job.deadline = 0, "", None
            self._later(job, now + job.repeat_after)
        else:
            self.cancel(job)
