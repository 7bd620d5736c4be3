"""The thread that runs the jobs that the scheduler selects."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from stonetrack.background.scheduler import Budget, Job, JobState, Scheduler, StepResult


class Runner:
    """Runs jobs' steps one at a time.  ``log`` receives a line when a job is given up."""

    def __init__(self, budgets: tuple[Budget, ...], log: Callable[[str], None]) -> None:
        self._log = log
        self._condition = threading.Condition(threading.Lock())
        self._scheduler = Scheduler(time.monotonic_ns(), budgets)
        self._stopping = False
        self._running: Job | None = None
        self._thread = threading.Thread(target=self._run, name="background", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self, timeout: float = 5.0) -> None:
        """Stop after the running step; wait for it up to ``timeout`` seconds."""
        with self._condition:
            self._stopping = True
            self._condition.notify()
        if self._thread.ident is not None:
            self._thread.join(timeout)

    def submit(self, job: Job, delay: int = 0) -> None:
        """Add a job, to start after ``delay`` nanoseconds."""
        with self._condition:
            now = time.monotonic_ns()
            self._scheduler.submit(now, job, now + delay)
            self._condition.notify()

    def expedite(self, job: Job, delay: int = 0) -> None:
        """Set a job's deadline to ``delay`` nanoseconds from now."""
        with self._condition:
            now = time.monotonic_ns()
            self._scheduler.expedite(now, job, now + delay)
            self._condition.notify()

    def jobs(self) -> list[Job]:
        """The jobs that have not ended."""
        with self._condition:
            return list(self._scheduler.jobs.values())

    def _wait_for_job(self) -> Job | None:
        with self._condition:
            while not self._stopping:
                now = time.monotonic_ns()
                next_ = self._scheduler.next_job(now)
                if isinstance(next_, Job):
                    return next_
                self._condition.wait(None if next_ is None else max(0.0, (next_ - now) / 1e9))
            return None

    def _run(self) -> None:
        while (job := self._wait_for_job()) is not None:
            start = time.thread_time_ns()
            step: StepResult | None = None
            error = ""
            try:
                step = job.step()
            except Exception as exception:  # an error in one job must not end the others
                error = f"{type(exception).__name__}: {exception}"
            cpu_time = time.thread_time_ns() - start
            with self._condition:
                self._scheduler.record_step(time.monotonic_ns(), job, cpu_time, step, error)
                given_up = bool(error) and job.state is JobState.ENDED
            if given_up:
                self._log(f"background: {job.name} given up after {job.failures} tries: {error}")
