"""One steward: a thread that keeps the lease, one for each job, and a port for health and metrics.

The lease's thread alone talks to the register about the owner's record; :meth:`Controller.token` is what each job asks
right before every effect, and after every wait, under the same lock and clock.  What a job may do depends on nothing
else.
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
MAX_ACQUISITIONS = 200  # kept in the history
TRY_AGAIN = 1.0  # seconds after a step that failed; doubled up to:
LONGEST = 5.0
FOLLOW = 20.0  # seconds for which a candidate follows the register at one time
MOST_REST = 2.0  # seconds from one look at the facts to the next, at the most


def store_key(fleet: str, what: str) -> str:
    """A fleet's key in the register."""
    return f"stonetrack/{fleet}/{what}"


def open_store(settings: ControllerSettings) -> CasStore:
    """The register that the settings name.  Raises StoreError."""
    wanted = settings.register
    return EmbeddedStore(Path(wanted.folder)) if wanted.folder else EtcdStore(wanted.etcd, wanted.timeout_s)


def create_jobs(settings: ControllerSettings) -> list[Job]:
    """The jobs that the settings ask for."""
    made: list[Job] = []
    if settings.publish:
        made.append(PublishJob())
    if settings.maintenance.engines:
        made.append(MaintenanceJob(settings.maintenance))
    if settings.checks.every_s:
        made.append(HealthCheckJob(settings.checks))
    if settings.rollout.folder:
        made.append(RolloutJob(settings.rollout))
    if settings.retention.folder:
        made.append(RetentionJob(settings.retention))
    return made


class Controller:
    """See the module.  ``clock`` is monotonic, in nanoseconds."""

    def __init__(self, settings: ControllerSettings, store: CasStore, log: Log,
                 clock: Callable[[], int] = time.monotonic_ns) -> None:  # fmt: skip
        self.settings, self.store, self._log, self._clock = settings, store, log, clock
        self.candidate_id = f"{settings.name}/{secrets.token_hex(4)}"
        terms = LeaseTimes(int(settings.lease_s * SECOND), settings.drift, settings.margin_ms * 1_000_000)
        self._lease = Lease(self.candidate_id, terms, settings.rank)
        # Once: a wall clock that is set does not reach into a job's times.
        self._began = (wall_time_ns() + wall_clock_offset_ns() - clock()) / SECOND
        self._draw = random.Random(self.candidate_id)
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._done = threading.Event()
        self._effects = threading.Lock()  # one at a time, with its note: two jobs change the same list
        self.receivers = Receivers(settings)
        self.configured_jobs = create_jobs(settings)
        self.counts: Counter[str] = Counter()
        self.steps: Counter[tuple[str, str]] = Counter()
        self.job_status: dict[str, str] = {}  # each job: what it waits for
        self._threads = [threading.Thread(target=self._keep, name="lease", daemon=True)]
        self._follower = threading.Thread(target=self._follow, name="follow", daemon=True)
        self._threads += [
            threading.Thread(target=self._job, args=(k,), name=k.name, daemon=True) for k in self.configured_jobs
        ]

    def start(self) -> None:
        """Begin as a candidate."""
        for thread in self._threads:
            thread.start()
        self._follower.start()

    def stop(self) -> None:
        """Hand over, if this is the owner, and end."""
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
        """Whose effects are those of this moment; None while this process does not own the work."""
        with self._lock:
            lease = self._lease
            return Token(lease.term, self.candidate_id) if lease.holds(self._clock()) else None

    def _keep(self) -> None:
        while not self._done.is_set():
            with self._lock:
                before = self._lease
                self._lease, action = before.step(self._clock(), self._draw.random())
                self._say(before, self._lease)
            if isinstance(action, ReadRecord):
                self._look()
            elif isinstance(action, WriteRecord):
                self._swap(action)
            elif isinstance(action, Sleep):
                with self._changed:
                    wait = (action.until - self._clock()) / SECOND
                    if wait > 0 and not self._done.is_set() and self._lease.stepping_down == before.stepping_down:
                        self._changed.wait(min(wait, 0.5))

    def _look(self) -> None:
        self.counts["reads"] += 1
        try:
            entry = self.store.read(store_key(self.settings.fleet, "owner"))
            record = msgspec.json.decode(entry.value, type=Record) if entry.revision else None
        except (StoreError, msgspec.DecodeError) as error:
            self._trouble(str(error))
            return
        self._tell(lambda lease, now: lease.record_read(now, entry.revision, record, self._draw.random()))
        self.counts["answers"] += 1

    def _follow(self) -> None:
        """As a candidate: have the register tell of each beat, so that nobody has to look at every one."""
        while not self._done.is_set():
            with self._changed:
                watching = self._lease.stage is Stage.WATCHING and self._lease.revision >= 0
                revision = self._lease.revision
                if not watching:
                    self._changed.wait(0.5)
                    continue
            self.counts["follows"] += 1
            try:
                self.store.watch(store_key(self.settings.fleet, "owner"), revision, FOLLOW, self._told)
                pause = self._draw.uniform(0.0, 0.2)
            except StoreError:  # looks go on as they are due
                pause = self._lease.times.renewal_interval / SECOND * self._draw.uniform(1.0, 2.0)
            self._done.wait(pause)

    def _told(self, entry: Entry) -> bool:
        with contextlib.suppress(msgspec.DecodeError):
            record = msgspec.json.decode(entry.value, type=Record)
            self.counts["told"] += 1
            self._tell(lambda lease, now: lease.record_notified(now, entry.revision, record, self._draw.random()))
        return not self._done.is_set() and self._stage() is Stage.WATCHING

    def _swap(self, swap: WriteRecord) -> None:
        self.counts["writes"] += 1
        revision, outcome = 0, Outcome.DONE
        try:
            key = store_key(self.settings.fleet, "owner")
            wrote = self.store.compare_and_set(key, swap.revision, msgspec.json.encode(swap.record))
            revision, outcome = (wrote, Outcome.DONE) if wrote is not None else (0, Outcome.CONFLICT)
        except UnknownOutcome as error:
            outcome = Outcome.UNKNOWN
            self._trouble(str(error))
        except StoreError as error:
            outcome = Outcome.FAILED
            self._trouble(str(error))
        self._tell(lambda lease, now: lease.write_finished(now, outcome, revision, self._draw.random()))
        if outcome is Outcome.DONE and swap.record.owner == self.candidate_id and swap.record.beats == 0:
            with contextlib.suppress(StoreError):  # for people alone
                record_acquisition(
                    self.store, self.settings.fleet, Acquisition(swap.record.term, self.candidate_id, wall_time())
                )

    def _tell(self, change: Callable[[Lease, int], Lease]) -> None:
        with self._changed:
            before = self._lease
            self._lease = change(before, self._clock())
            self._say(before, self._lease)
            self._changed.notify_all()

    def _trouble(self, why: str) -> None:
        """The register did not do it.  Look again at a later moment of one's own."""
        self.counts["register trouble"] += 1
        if self.counts["register trouble"] in (1, 10, 100, 1_000):
            self._log("register", trouble=why, times=self.counts["register trouble"])
        with self._changed:
            if not self._done.is_set():
                self._changed.wait(self._lease.times.renewal_interval / SECOND * self._draw.uniform(0.25, 0.75))

    def _say(self, before: Lease, after: Lease) -> None:
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

    def _unix(self) -> float:
        """Unix time as it was at the start, and went on evenly since."""
        return self._began + self._clock() / SECOND

    def _job(self, kind: Job) -> None:
        """While this process owns: the journal, the next step, its effect, the journal."""
        pause, steps = TRY_AGAIN, 0
        while not self._done.is_set():
            token = self.token()
            if token is None:
                self.job_status[kind.name] = "not the owner"
                self._rest(0.5)
                continue
            try:
                wait = self._go_on(kind, token)
                wait = Wait(min(wait.seconds, MOST_REST), wait.why)
                pause = TRY_AGAIN
            except (Superseded, FencingError, EffectRefused) as error:
                self._refused(kind, error)
                wait = Wait(1.0, str(error))
            except (StoreError, OSError, msgspec.MsgspecError) as error:
                done = sum(count for (job, what), count in self.steps.items() if job == kind.name and what != "failed")
                pause, steps = (pause if done == steps else TRY_AGAIN), done  # a step that was done begins anew
                self.steps[kind.name, "failed"] += 1
                self._log("step failed", job=kind.name, why=str(error), again_in_s=round(pause, 1))
                wait = Wait(pause, str(error))
                pause = min(LONGEST, pause * 2)
            self.job_status[kind.name] = wait.why
            self._rest(wait.seconds)

    def _rest(self, seconds: float) -> None:
        """A wait that ends early when the ownership changes."""
        end = time.monotonic() + seconds
        with self._changed:
            term = self._lease.term
            while not self._done.is_set() and self._lease.term == term and (left := end - time.monotonic()) > 0:
                self._changed.wait(left)

    def _go_on(self, kind: Job, token: Token) -> Wait:
        """Steps of a job until it waits.  Raises Superseded, FencingError, StoreError, OSError."""
        key = store_key(self.settings.fleet, f"job/{kind.name}")
        entry = self.store.read(key)
        found = msgspec.json.decode(entry.value, type=JournalEntry) if entry.revision else None
        noted, revision = jobs.resume(found, kind, token, self._unix()), entry.revision
        if found is not None and found.owner != token.owner:
            revision = self._note(key, revision, noted, token)
        while True:
            step = noted.begun
            if step is None:
                facts = self.receivers.facts(self._unix(), kind.name)
                chosen = kind.next_step(noted.state, facts)
                if isinstance(chosen, Wait):
                    return chosen
                step = chosen
                noted = jobs.begin_step(noted, step, facts.at)
                revision = self._note(key, revision, noted, token)
            elif found is not None and found.term < token.term:
                self._log("a step that was begun is done again", job=kind.name, what=step.what, number=noted.number)
            with self._effects:
                leaving = self._leaving() if step.what == "put" else ()
                self._may(token)
                result = self.receivers.carry_out(step, token, leaving)
                noted = jobs.finish_step(noted, kind, result, self._unix())
                revision = self._note(key, revision, noted, token)
            self.steps[kind.name, step.what] += 1
            self._log("step", job=kind.name, what=step.what, number=noted.number, term=token.term)

    def _may(self, token: Token) -> None:
        """Look at the clock once more.  Raises Superseded."""
        if self.token() != token:
            raise Superseded(f"term {token.term} is over")

    def _note(self, key: str, revision: int, noted: JournalEntry, token: Token) -> int:
        self._may(token)
        wrote = self.store.compare_and_set(key, revision, msgspec.json.encode(noted))
        if wrote is None:
            raise Superseded(f"{key} was written by another owner")
        return wrote

    def _leaving(self) -> tuple[str, ...]:
        """The engines that stay told as leaving whatever list is published."""
        entry = self.store.read(store_key(self.settings.fleet, f"job/{MaintenanceJob.name}"))
        if not entry.revision:
            return ()
        other = msgspec.json.decode(entry.value, type=JournalEntry)
        return withheld_engines(other.state, other.begun)

    def _refused(self, kind: Job, error: Exception) -> None:
        self.steps[kind.name, "refused"] += 1
        self._log("effect refused", job=kind.name, why=str(error))
        known = getattr(error, "known", None)
        if isinstance(known, Token):
            self._tell(lambda lease, now: lease.fenced(now, known.term) if lease.term and lease.term <= known.term
                       else lease)  # fmt: skip

    # For people.

    def health(self) -> dict[str, Any]:
        """What it is and does."""
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
    """The steward's port: GET /health and /metrics."""

    def __init__(self, controller: Controller, listener: socket, log: Log) -> None:
        self._controller = controller
        settings = controller.settings
        self._host = Host(listener, settings.limits, settings.timing, self._handle, rejection_response, log)
        self._metrics = CollectorRegistry()
        self._metrics.register(_Figures(controller))

    def start(self) -> None:
        """Serve."""
        self._host.start()

    def stop(self) -> None:
        """End."""
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


class _Figures(Collector):
    """The metrics page's figures, read when asked."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller

    def collect(self) -> Iterable[Metric]:
        """See ``prometheus_client.registry.Collector``."""
        controller = self._controller
        told = controller.health()
        yield GaugeMetricFamily("stonetrack_steward_owner", "1 while this process owns the fleet's work",
                                value=int(told["stage"] == "owning"))  # fmt: skip
        yield GaugeMetricFamily("stonetrack_steward_term", "Highest term known", value=told["known_term"])
        yield GaugeMetricFamily("stonetrack_steward_halted", "1 while a person is waited for",
                                value=int(told["stage"] == "halted"))  # fmt: skip
        calls = CounterMetricFamily("stonetrack_steward_register", "Calls to the register and takings", labels=["what"])
        for what, count in list(controller.counts.items()):
            calls.add_metric([what], count)
        yield calls
        steps = CounterMetricFamily("stonetrack_steward_steps", "Steps of jobs", labels=["job", "what"])
        for (job, what), count in list(controller.steps.items()):
            steps.add_metric([job, what], count)
        yield steps


class Acquisition(msgspec.Struct, frozen=True):
    """One line of the history; ``at`` is Unix time in seconds, by the clock of who took over."""

    term: int
    owner: str
    at: float


def acquisitions(store: CasStore, fleet: str) -> tuple[list[Acquisition], int]:
    """Who took over, oldest first, and the revision.  Raises StoreError."""
    entry = store.read(store_key(fleet, "history"))
    return (msgspec.json.decode(entry.value, type=list[Acquisition]) if entry.revision else []), entry.revision


def record_acquisition(store: CasStore, fleet: str, taking: Acquisition) -> None:
    """Add a line to the history.  Raises StoreError."""
    for _ in range(3):
        lines, revision = acquisitions(store, fleet)
        if store.compare_and_set(
            store_key(fleet, "history"), revision, msgspec.json.encode([*lines, taking][-MAX_ACQUISITIONS:])
        ):
            return


def rewrite_record(store: CasStore, fleet: str, change: Callable[[Record], Record], tries: int = 20) -> Record:
    """Change the owner's record by hand, against whoever writes it meanwhile.  Raises StoreError."""
    key = store_key(fleet, "owner")
    for _ in range(tries):
        entry = store.read(key)
        record = msgspec.json.decode(entry.value, type=Record) if entry.revision else Record(0)
        wanted = change(record)
        with contextlib.suppress(UnknownOutcome):  # the next read tells
            if wanted == record or store.compare_and_set(key, entry.revision, msgspec.json.encode(wanted)) is not None:
                return wanted
        time.sleep(0.05)
    raise StoreError(f"the record was written by others {tries} times in a row")
