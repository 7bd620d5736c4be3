"""The controller process: a thread for the lease, one for each job, and an HTTP endpoint for health and metrics.

Only the lease's thread reads and writes the leader's record.  Each job calls :meth:`Controller.token` right before
every effect, and after every wait, under the same lock and clock; whether a job may act depends on nothing else.
"""

from __future__ import annotations

import contextlib
import random
import secrets
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from socket import socket
from typing import Any

import msgspec
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from stonetrack.cas_store.embedded import EmbeddedStore
from stonetrack.cas_store.etcd import EtcdStore
from stonetrack.cas_store.ports import CasStore, Entry, StoreError, UnknownOutcome
from stonetrack.clocks import wall_clock_offset_ns, wall_time, wall_time_ns
from stonetrack.controller import jobs
from stonetrack.controller.calls import EffectRefused, Receivers
from stonetrack.controller.health_checks import HealthCheckJob
from stonetrack.controller.jobs import Job, JournalEntry, Superseded, Wait
from stonetrack.controller.maintenance import MaintenanceJob, withheld_engines
from stonetrack.controller.publishing import PublishJob
from stonetrack.controller.retention import RetentionJob
from stonetrack.controller.rollout import RolloutJob
from stonetrack.controller.settings import ControllerSettings
from stonetrack.election.fencing import FencingError, Token
from stonetrack.election.lease import Lease, LeaseTimes, Outcome, ReadRecord, Record, Sleep, Stage, WriteRecord
from stonetrack.frontend.connection import Connection, HttpRequest
from stonetrack.frontend.host import Host, plain_response
from stonetrack.frontend.service_errors import error_body, rejection_response

Log = Callable[..., None]
SECOND = 1_000_000_000
MAX_ACQUISITIONS = 200  # in the history
RETRY_S = 1.0  # after a step that failed; doubled at each failure
MAX_RETRY_S = 5.0
WATCH_S = 20.0  # longest single watch of the store by a candidate
MAX_WAIT_S = 2.0  # longest time between two looks at the facts


def store_key(fleet: str, what: str) -> str:
    """The key of the store for a fleet's value."""
    return f"stonetrack/{fleet}/{what}"


def open_store(settings: ControllerSettings) -> CasStore:
    """Open the store that the settings name.  Raises StoreError."""
    chosen = settings.register
    return EmbeddedStore(Path(chosen.folder)) if chosen.folder else EtcdStore(chosen.etcd, chosen.timeout_s)


def create_jobs(settings: ControllerSettings) -> list[Job]:
    """The jobs that the settings enable."""
    created: list[Job] = []
    if settings.publish:
        created.append(PublishJob())
    if settings.maintenance.engines:
        created.append(MaintenanceJob(settings.maintenance))
    if settings.checks.every_s:
        created.append(HealthCheckJob(settings.checks))
    if settings.rollout.folder:
        created.append(RolloutJob(settings.rollout))
    if settings.retention.folder:
        created.append(RetentionJob(settings.retention))
    return created


class Controller:
    """A candidate for the lease that runs the jobs while it leads.  ``clock`` is monotonic, in nanoseconds."""

    def __init__(self, settings: ControllerSettings, store: CasStore, log: Log,
                 clock: Callable[[], int] = time.monotonic_ns) -> None:  # fmt: skip
        self.settings, self.store, self._log, self._clock = settings, store, log, clock
        self.candidate_id = f"{settings.name}/{secrets.token_hex(4)}"
        times = LeaseTimes(int(settings.lease_s * SECOND), settings.drift, settings.margin_ms * 1_000_000)
        self._lease = Lease(self.candidate_id, times, settings.rank)
        # Read once, so that setting the wall clock does not affect the times of jobs.
        self._unix_offset = (wall_time_ns() + wall_clock_offset_ns() - clock()) / SECOND
        self._random = random.Random(self.candidate_id)
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._done = threading.Event()
        self._effect_lock = threading.Lock()  # held for an effect and its journal entry: two jobs change the same list
        self.receivers = Receivers(settings)
        self.configured_jobs = create_jobs(settings)
        self.counts: Counter[str] = Counter()
        self.steps: Counter[tuple[str, str]] = Counter()
        self.job_status: dict[str, str] = {}  # by job: what it waits for
        self._threads = [threading.Thread(target=self._run_lease, name="lease", daemon=True)]
        self._watch_thread = threading.Thread(target=self._watch_record, name="follow", daemon=True)
        self._threads += [
            threading.Thread(target=self._run_job, args=(k,), name=k.name, daemon=True) for k in self.configured_jobs
        ]

    def start(self) -> None:
        """Begin as a candidate."""
        for thread in self._threads:
            thread.start()
        self._watch_thread.start()

    def stop(self) -> None:
        """Hand over, if this process leads, and stop."""
        with self._changed:
            self._lease = self._lease.step_down()
            self._changed.notify_all()
        end = time.monotonic() + 2.0
        while time.monotonic() < end and self._stage() in (Stage.LEADING, Stage.ACQUIRING):
            time.sleep(0.01)
        self._done.set()
        with self._changed:
            self._changed.notify_all()
        for thread in self._threads:
            thread.join(1.0)

    # The lease.

    def _stage(self) -> Stage:
        with self._lock:
            return self._lease.stage

    def token(self) -> Token | None:
        """The token of effects at this moment; None while this process does not lead."""
        with self._lock:
            lease = self._lease
            return Token(lease.term, self.candidate_id) if lease.holds(self._clock()) else None

    def _run_lease(self) -> None:
        while not self._done.is_set():
            with self._lock:
                before = self._lease
                self._lease, action = before.step(self._clock(), self._random.random())
                self._log_transition(before, self._lease)
            if isinstance(action, ReadRecord):
                self._read_record()
            elif isinstance(action, WriteRecord):
                self._write_record(action)
            elif isinstance(action, Sleep):
                with self._changed:
                    wait = (action.until - self._clock()) / SECOND
                    if wait > 0 and not self._done.is_set() and self._lease.stepping_down == before.stepping_down:
                        self._changed.wait(min(wait, 0.5))

    def _read_record(self) -> None:
        self.counts["reads"] += 1
        try:
            entry = self.store.read(store_key(self.settings.fleet, "owner"))
            record = msgspec.json.decode(entry.value, type=Record) if entry.revision else None
        except (StoreError, msgspec.DecodeError) as error:
            self._store_failed(str(error))
            return
        self._update_lease(lambda lease, now: lease.record_read(now, entry.revision, record, self._random.random()))
        self.counts["answers"] += 1

    def _watch_record(self) -> None:
        """Watch the record while a candidate, so that it need not be polled for every beat."""
        while not self._done.is_set():
            with self._changed:
                is_watching = self._lease.stage is Stage.WATCHING and self._lease.revision >= 0
                revision = self._lease.revision
                if not is_watching:
                    self._changed.wait(0.5)
                    continue
            self.counts["follows"] += 1
            try:
                self.store.watch(store_key(self.settings.fleet, "owner"), revision, WATCH_S, self._on_record_written)
                pause = self._random.uniform(0.0, 0.2)
            except StoreError:  # reads continue as they are due
                pause = self._lease.times.renewal_interval / SECOND * self._random.uniform(1.0, 2.0)
            self._done.wait(pause)

    def _on_record_written(self, entry: Entry) -> bool:
        with contextlib.suppress(msgspec.DecodeError):
            record = msgspec.json.decode(entry.value, type=Record)
            self.counts["told"] += 1
            self._update_lease(
                lambda lease, now: lease.record_notified(now, entry.revision, record, self._random.random())
            )
        return not self._done.is_set() and self._stage() is Stage.WATCHING

    def _write_record(self, write: WriteRecord) -> None:
        self.counts["writes"] += 1
        revision, outcome = 0, Outcome.DONE
        try:
            key = store_key(self.settings.fleet, "owner")
            new_revision = self.store.compare_and_set(key, write.revision, msgspec.json.encode(write.record))
            revision, outcome = (new_revision, Outcome.DONE) if new_revision is not None else (0, Outcome.CONFLICT)
        except UnknownOutcome as error:
            outcome = Outcome.UNKNOWN
            self._store_failed(str(error))
        except StoreError as error:
            outcome = Outcome.FAILED
            self._store_failed(str(error))
        self._update_lease(lambda lease, now: lease.write_finished(now, outcome, revision, self._random.random()))
        if outcome is Outcome.DONE and write.record.owner == self.candidate_id and write.record.beats == 0:
            with contextlib.suppress(StoreError):  # the history is for operators only
                record_acquisition(
                    self.store, self.settings.fleet, Acquisition(write.record.term, self.candidate_id, wall_time())
                )

    def _update_lease(self, change: Callable[[Lease, int], Lease]) -> None:
        with self._changed:
            before = self._lease
            self._lease = change(before, self._clock())
            self._log_transition(before, self._lease)
            self._changed.notify_all()

    def _store_failed(self, why: str) -> None:
        """The store failed: wait for a random time before the next read."""
        self.counts["register trouble"] += 1
        if self.counts["register trouble"] in (1, 10, 100, 1_000):
            self._log("register", trouble=why, times=self.counts["register trouble"])
        with self._changed:
            if not self._done.is_set():
                self._changed.wait(self._lease.times.renewal_interval / SECOND * self._random.uniform(0.25, 0.75))

    def _log_transition(self, before: Lease, after: Lease) -> None:
        if before.stage is after.stage:
            return
        if after.stage is Stage.LEADING:
            self.counts["taken"] += 1
            self._log("owner", term=after.term, me=self.candidate_id)
        elif before.stage is Stage.LEADING:
            self._log("no longer owner", term=before.term, me=self.candidate_id, why=after.reason)
        elif after.stage is Stage.HALTED:
            self._log("halted: nothing is done until a person raises the term", why=after.reason)

    # Jobs.

    def _unix_time(self) -> float:
        """Unix time at the start plus the monotonic time since, in seconds."""
        return self._unix_offset + self._clock() / SECOND

    def _run_job(self, job: Job) -> None:
        """Run a job while this process leads: journal, next step, its effect, journal."""
        pause, steps = RETRY_S, 0
        while not self._done.is_set():
            token = self.token()
            if token is None:
                self.job_status[job.name] = "not the owner"
                self._wait(0.5)
                continue
            try:
                wait = self._run_steps(job, token)
                wait = Wait(min(wait.seconds, MAX_WAIT_S), wait.why)
                pause = RETRY_S
            except (Superseded, FencingError, EffectRefused) as error:
                self._effect_refused(job, error)
                wait = Wait(1.0, str(error))
            except (StoreError, OSError, msgspec.MsgspecError) as error:
                done = sum(count for (name, what), count in self.steps.items() if name == job.name and what != "failed")
                pause, steps = (pause if done == steps else RETRY_S), done  # a completed step resets the pause
                self.steps[job.name, "failed"] += 1
                self._log("step failed", job=job.name, why=str(error), again_in_s=round(pause, 1))
                wait = Wait(pause, str(error))
                pause = min(MAX_RETRY_S, pause * 2)
            self.job_status[job.name] = wait.why
            self._wait(wait.seconds)

    def _wait(self, seconds: float) -> None:
        """Wait; ends early when the term changes."""
        end = time.monotonic() + seconds
        with self._changed:
            term = self._lease.term
            while not self._done.is_set() and self._lease.term == term and (remaining := end - time.monotonic()) > 0:
                self._changed.wait(remaining)

    def _run_steps(self, job: Job, token: Token) -> Wait:
        """Run steps of a job until it waits.  Raises Superseded, FencingError, StoreError, OSError."""
        key = store_key(self.settings.fleet, f"job/{job.name}")
        entry = self.store.read(key)
        found = msgspec.json.decode(entry.value, type=JournalEntry) if entry.revision else None
        journal, revision = jobs.resume(found, job, token, self._unix_time()), entry.revision
        if found is not None and found.owner != token.owner:
            revision = self._write_journal(key, revision, journal, token)
        while True:
            step = journal.begun
            if step is None:
                facts = self.receivers.facts(self._unix_time(), job.name)
                choice = job.next_step(journal.state, facts)
                if isinstance(choice, Wait):
                    return choice
                step = choice
                journal = jobs.begin_step(journal, step, facts.at)
                revision = self._write_journal(key, revision, journal, token)
            elif found is not None and found.term < token.term:
                self._log("a step that was begun is done again", job=job.name, what=step.what, number=journal.number)
            with self._effect_lock:
                withheld = self._withheld() if step.what == "put" else ()
                self._check_lease(token)
                result = self.receivers.carry_out(step, token, withheld)
                journal = jobs.finish_step(journal, job, result, self._unix_time())
                revision = self._write_journal(key, revision, journal, token)
            self.steps[job.name, step.what] += 1
            self._log("step", job=job.name, what=step.what, number=journal.number, term=token.term)

    def _check_lease(self, token: Token) -> None:
        """Check the lease again.  Raises Superseded."""
        if self.token() != token:
            raise Superseded(f"term {token.term} is over")

    def _write_journal(self, key: str, revision: int, journal: JournalEntry, token: Token) -> int:
        self._check_lease(token)
        new_revision = self.store.compare_and_set(key, revision, msgspec.json.encode(journal))
        if new_revision is None:
            raise Superseded(f"{key} was written by another owner")
        return new_revision

    def _withheld(self) -> tuple[str, ...]:
        """The engines that stay draining whatever list is published."""
        entry = self.store.read(store_key(self.settings.fleet, f"job/{MaintenanceJob.name}"))
        if not entry.revision:
            return ()
        maintenance = msgspec.json.decode(entry.value, type=JournalEntry)
        return withheld_engines(maintenance.state, maintenance.begun)

    def _effect_refused(self, job: Job, error: Exception) -> None:
        self.steps[job.name, "refused"] += 1
        self._log("effect refused", job=job.name, why=str(error))
        known = getattr(error, "known", None)
        if isinstance(known, Token):
            self._update_lease(
                lambda lease, now: lease.fenced(now, known.term) if lease.term and lease.term <= known.term
                else lease)  # fmt: skip

    # For operators.

    def health(self) -> dict[str, Any]:
        """The state of the lease and of the jobs."""
        with self._lock:
            lease = self._lease
            now = self._clock()
            record = lease.record
            return {
                "me": self.candidate_id, "stage": lease.stage.value, "term": lease.term,
                "known_term": lease.highest_term,
                "why": lease.reason,
                "owner": record.owner if record is not None else "",
                "left_s": round(max(0, lease.held_until - now) / SECOND, 3) if lease.stage is Stage.LEADING else 0.0,
                "jobs": dict(self.job_status),
            }  # fmt: skip


class HttpEndpoint:
    """The HTTP endpoint of the controller: GET /health and /metrics."""

    def __init__(self, controller: Controller, listener: socket, log: Log) -> None:
        self._controller = controller
        settings = controller.settings
        self._host = Host(listener, settings.limits, settings.timing, self._handle, rejection_response, log)
        self._metrics = CollectorRegistry()
        self._metrics.register(_MetricsCollector(controller))

    def start(self) -> None:
        """Begin to serve."""
        self._host.start()

    def stop(self) -> None:
        """Stop serving."""
        self._host.drain()
        self._host.stop()

    def _handle(self, connection: Connection, request: HttpRequest, waker: Any) -> bool:
        head = request.head
        if head.method == "GET" and head.path == "/health":
            connection.write(plain_response(200, msgspec.json.encode(self._controller.health()), keep=head.keep_alive))
        elif head.method == "GET" and head.path == "/metrics":
            body = generate_latest(self._metrics)
            connection.write(plain_response(200, body, (), "text/plain; version=0.0.4", head.keep_alive))
        else:
            body = error_body("served here: GET /health, /metrics")
            connection.write(plain_response(404, body, keep=head.keep_alive))
        return head.keep_alive


class _MetricsCollector(Collector):
    """Metrics of the controller, read at each scrape."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller

    def collect(self) -> Iterable[Metric]:
        """See ``prometheus_client.registry.Collector``."""
        controller = self._controller
        health = controller.health()
        yield GaugeMetricFamily("stonetrack_steward_owner", "1 while this process owns the fleet's work",
                                value=int(health["stage"] == "owning"))  # fmt: skip
        yield GaugeMetricFamily("stonetrack_steward_term", "Highest term known", value=health["known_term"])
        yield GaugeMetricFamily("stonetrack_steward_halted", "1 while a person is waited for",
                                value=int(health["stage"] == "halted"))  # fmt: skip
        calls = CounterMetricFamily("stonetrack_steward_register", "Calls to the register and takings", labels=["what"])
        for what, count in list(controller.counts.items()):
            calls.add_metric([what], count)
        yield calls
        steps = CounterMetricFamily("stonetrack_steward_steps", "Steps of jobs", labels=["job", "what"])
        for (job, what), count in list(controller.steps.items()):
            steps.add_metric([job, what], count)
        yield steps


class Acquisition(msgspec.Struct, frozen=True):
    """One line of the history; ``at`` is Unix time in seconds by the new leader's clock."""

    term: int
    owner: str
    at: float


def acquisitions(store: CasStore, fleet: str) -> tuple[list[Acquisition], int]:
    """The history of acquisitions, oldest first, and its revision.  Raises StoreError."""
    entry = store.read(store_key(fleet, "history"))
    return (msgspec.json.decode(entry.value, type=list[Acquisition]) if entry.revision else []), entry.revision


def record_acquisition(store: CasStore, fleet: str, acquisition: Acquisition) -> None:
    """Add a line to the history.  Raises StoreError."""
    for _ in range(3):
        lines, revision = acquisitions(store, fleet)
        if store.compare_and_set(
            store_key(fleet, "history"), revision, msgspec.json.encode([*lines, acquisition][-MAX_ACQUISITIONS:])
        ):
            return


def rewrite_record(store: CasStore, fleet: str, change: Callable[[Record], Record], tries: int = 20) -> Record:
    """Change the leader's record on behalf of an operator; retries on conflicts.  Raises StoreError."""
    key = store_key(fleet, "owner")
    for _ in range(tries):
        entry = store.read(key)
        record = msgspec.json.decode(entry.value, type=Record) if entry.revision else Record(0)
        changed = change(record)
        with contextlib.suppress(UnknownOutcome):  # the next read shows the outcome
            if (
                changed == record
                or store.compare_and_set(key, entry.revision, msgspec.json.encode(changed)) is not None
            ):
                return changed
        time.sleep(0.05)
    raise StoreError(f"the record was written by others {tries} times in a row")
