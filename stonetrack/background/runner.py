"""The thread that carries out a plan; the only one here, and nothing else is in this file."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from stonetrack.background.scheduler import Budget, Job, JobState, Scheduler, StepResult


class Runner:
    """Runs jobs' steps one at a time.  ``log`` is told when a job is given up."""

    def __init__(self, budgets: tuple[Budget, ...], log: Callable[[str], None]) -> None:
        self._log = log
        self._changed = threading.Condition(threading.Lock())
        self._plan = Scheduler(time.monotonic_ns(), budgets)
        self._stopping = False
        self._running: Job | None = None
        self._thread = threading.Thread(target=self._run, name="background", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self, wait: float = 5.0) -> None:
        """Let the step that runs end, and nothing more begin."""
        with self._changed:
            self._stopping = True
            self._changed.notify()
        if self._thread.ident is not None:
            self._thread.join(wait)

    def submit(self, job: Job, delay: int = 0) -> None:
        """Take a job, to begin after so many nanoseconds."""
        with self._changed:
            now = time.monotonic_ns()
            self._plan.submit(now, job, now + delay)
            self._changed.notify()

    def expedite(self, job: Job, delay: int = 0) -> None:
        """Give a job a deadline so many nanoseconds from now."""
        with self._changed:
            now = time.monotonic_ns()
            self._plan.expedite(now, job, now + delay)
            self._changed.notify()

    def jobs(self) -> list[Job]:
        """The jobs that have not ended."""
        with self._changed:
            return list(self._plan.jobs.values())

    def _next(self) -> Job | None:
        with self._changed:
            while not self._stopping:
                now = time.monotonic_ns()
                found = self._plan.next_job(now)
                if isinstance(found, Job):
                    return found
                self._changed.wait(None if found is None else max(0.0, (found - now) / 1e9))
            return None

    def _run(self) -> None:
        while (job := self._next()) is not None:
            start = time.thread_time_ns()
            step: StepResult | None = None
            error = ""
            try:
                step = job.step()
            except Exception as problem:  # a job's fault must not end the others
                error = f"{type(problem).__name__}: {problem}"
            took = time.thread_time_ns() - start
            with self._changed:
                self._plan.record_step(time.monotonic_ns(), job, took, step, error)
                given_up = bool(error) and job.state is JobState.ENDED
            if given_up:
                self._log(f"background: {job.name} given up after {job.failures} tries: {error}")
