"""One instance: fronts, node and engines joined in one process.

A change of settings is taken at one point in the order of decisions: the router goes on under them with its tables,
paces, counts and the requests under way, each of which keeps the class it came with.  Where it can't (other kinds of
engines, another hash key, captures or accounts kept elsewhere, a capture that begins with one set of settings) a new
*generation* is made: a fresh router with the list as it stands, while requests under way stay with the one that took
them.  Either way settings change whole or not at all; the listening socket, connections and counters stay.
"""

from __future__ import annotations

import os
import random
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgspec
from msgspec import structs
from prometheus_client.metrics_core import Metric

from stonetrack import __version__, api, logic
from stonetrack.audit.audit_log import ActingVersion
from stonetrack.audit.log_writer import LogWriter, lines_after, node_names
from stonetrack.bootstrap.readiness_stages import Stage
from stonetrack.capture import snapshot
from stonetrack.capture.codec import Header
from stonetrack.capture.recorder import Recorder
from stonetrack.capture.redact import redact_settings
from stonetrack.clocks import node_clock
from stonetrack.control.documents import NO_VERSION, Document
from stonetrack.daemon import instance_metrics
from stonetrack.daemon.control_follower import ControlFollower
from stonetrack.daemon.limits import raise_limits
from stonetrack.daemon.readiness import Readiness
from stonetrack.daemon.stable_positions import StablePositions
from stonetrack.engines.client import EngineClient
from stonetrack.engines.failure_hints import FailureHints, last_success_lookup
from stonetrack.engines.list_source import ListSource
from stonetrack.engines.server_list import Engine, EngineEntry, ServerListState
from stonetrack.frontend.app import App, rejection_response
from stonetrack.frontend.classify import hash_key
from stonetrack.frontend.errors import ApiError
from stonetrack.frontend.host import Host
from stonetrack.frontend.instance_service import RequestRecord
from stonetrack.logic import Router
from stonetrack.node.core import Core, RouterProtocol
from stonetrack.node.ports import InferenceRequest, Sink
from stonetrack.node.request_lifecycle import RequestLifecycle
from stonetrack.node.request_runner import Bounds, RequestRunner, Waker
from stonetrack.settings import Node
from stonetrack.settings.check import router_settings

MS = 1_000_000
RouterFactory = Callable[[api.Settings, int], RouterProtocol]


def settings_digest(settings: Node) -> str:
    """Tells settings apart."""
    return blake2b(msgspec.json.encode(settings), digest_size=6).hexdigest()


def settings_label(settings: Node, version: Document) -> str:
    """The settings' part of an acting version: a published version's number and digest, else the file's digest."""
    return f"{version.number}.{version.digest}" if version.number else settings_digest(settings)


def audit_folder(settings: Node) -> Path:
    """Where the accounts are."""
    return Path(settings.state_dir) / settings.audit.dir


def module_digest() -> str:
    """Tells revisions of the module apart."""
    return blake2b(Path(logic.__file__).read_bytes(), digest_size=6).hexdigest()


def request_bounds(settings: Node) -> Bounds:
    """What bounds each request's own thread."""
    timing = settings.timing
    return Bounds(timing.stream_silence_ms * MS, timing.client_stall_ms * MS, settings.limits.send_buffer_bytes)


class RouterGeneration:
    """One router and the settings it goes by now."""

    def __init__(
        self,
        settings: Node,
        index: int,
        instances: int,
        name: str,
        seed: int,
        clock: Callable[[], int],
        log: Callable[[str], None],
        make_router: RouterFactory,
        origin: Callable[[], str] = lambda: "",
        keeper: LogWriter | None = None,
        version: Document = NO_VERSION,
    ) -> None:
        self.settings = settings
        self._origin, self._keeper = origin, keeper
        self.version = version
        self.acting = ActingVersion()
        if keeper is not None or settings.control.mark:  # nobody else asks for the digests
            self.acting = ActingVersion(settings_label(settings, version), "", -1, __version__, module_digest())
        self._index, self._instances = index, instances
        told = router_settings(settings, index, instances)
        router = make_router(told, seed)
        self.positions = StablePositions(told)
        self.recorder = self._recorder(settings, index, instances, name, seed, clock, log)
        mark = self._mark if settings.control.mark else None
        self.core = Core(router, clock, log=log, probe=self._probe, record=self._records(), acting_version=mark)
        self._hints = FailureHints(last_success_lookup(lambda: getattr(router, "servers", {})))
        if self.recorder is not None and isinstance(router, Router):
            self.recorder.enable_gap_recovery(self.core.run_exclusively, lambda: snapshot.take(router))
        self.engines = EngineClient(settings, clock, name, self.core.handle_event, self.core.acting_version_of)
        self.bounds = request_bounds(settings)
        self.engines.background.start()
        self.core.start()

    def can_adopt(self, settings: Node) -> bool:
        """Whether the router may go on under these."""
        before = self.settings
        return (
            isinstance(self.core.router, Router)
            and settings.kinds == before.kinds
            and settings.hash_key == before.hash_key
            and settings.capture == before.capture
            and settings.audit == before.audit
            and settings.control.mark == before.control.mark
            and not self.is_different_deployment(settings)
        )

    def is_different_deployment(self, settings: Node) -> bool:
        """Whether settings are of other classes, or other tenants, altogether."""
        return self.positions.is_different_deployment(router_settings(settings, self._index, self._instances))

    def adopt(self, settings: Node, version: Document) -> list[str]:
        """Go on under other settings; the names that no longer fit and were dropped."""
        told = router_settings(settings, self._index, self._instances)
        laid = self.positions.arrange(told)
        router = self.core.router
        assert isinstance(router, Router)

        def between_two_events() -> None:
            router.adopt(laid)
            if self.recorder is not None:
                self.recorder.settings_changed(lambda: snapshot.take(router))
            self.version = version
            if self._keeper is not None or settings.control.mark:
                self.acting = structs.replace(self.acting, settings=settings_label(settings, version))
            if self._keeper is not None:
                self._keeper.switch_version(self.core.clock(), self.acting)

        self.core.run_exclusively(between_two_events)
        self.positions.settings = laid
        self.bounds = request_bounds(settings)
        self.engines.apply_settings(settings)
        self.settings = settings
        return self.positions.removed_names(told)

    def with_stable_indexes(self, ask: InferenceRequest) -> InferenceRequest:
        """A request with its class and tenant where the router has them."""
        under = ask.settings
        if under is None:
            return ask
        cls = self.positions.class_index(under.classes[ask.class_index].name)
        tenant = self.positions.tenant_index(under.tenants[ask.tenant].name) if under.tenants else ask.tenant
        if (cls, tenant) == (ask.class_index, ask.tenant):
            return ask
        return replace(ask, class_index=cls, tenant=tenant)

    def _mark(self) -> str:
        """What is decided with now, for engines that ask."""
        return f"{self.acting.settings}/{self.acting.origin}.{self.acting.version}"

    def _records(self) -> Callable[[int, api.Event, list[api.Action]], None] | None:
        """Who is told of every decision under the core's lock."""
        capture = self.recorder.record if self.recorder is not None else None
        if self._keeper is None and not self.settings.control.mark:
            return capture

        def both(now: int, event: api.Event, actions: list[api.Action]) -> None:
            if capture is not None:
                capture(now, event, actions)
            self._account(now, event, actions)

        return both

    def _account(self, now: int, event: api.Event, actions: list[api.Action]) -> None:
        """The one point at which the acting version changes: a list's event and all after it are under the new one."""
        if isinstance(event, api.ServerList):
            self.acting = structs.replace(self.acting, origin=self._origin(), version=event.version)
            if self._keeper is not None:
                self._keeper.switch_version(now, self.acting)
        if self._keeper is None:
            return
        for action in actions:
            if request := getattr(action, "request", ""):
                self._keeper.record(now, self.acting, request, (type(action).__name__,))

    @staticmethod
    def _recorder(settings: Node, index: int, instances: int, name: str, seed: int, clock: Callable[[], int],
                  log: Callable[[str], None]) -> Recorder | None:  # fmt: skip
        """What keeps this router's calls; its name is the instance's and when it began."""
        wanted = settings.capture
        if not wanted.dir:
            return None
        told = redact_settings(router_settings(settings, index, instances), hash_key(settings))
        header = Header(__version__, f"{name}.{clock()}", seed, told)
        made = Recorder(
            Path(wanted.dir), header, clock, log=log, flush_interval=wanted.flush_ms / 1_000.0,
            max_queued=wanted.waiting, segment_bytes=wanted.segment_bytes, segment_seconds=wanted.segment_seconds,
            budget_bytes=wanted.budget_bytes, sync=wanted.sync)  # fmt: skip
        made.start()
        return made

    def _probe(self, server: str) -> None:
        self.engines.probe(server)

    def apply_list(self, event: api.ServerList, engines: dict[str, Engine]) -> None:
        """Addresses first: the router may send to what it is told of at once."""
        self.engines.list_changed(engines)
        self.core.handle_event(event)

    def apply_hints(self, lines: Mapping[str, EngineEntry]) -> None:
        """What the list says of engines that the steward can't reach; see ``engines.failure_hints``."""
        for name in self._hints.select(lines, self.core.clock()):
            self.core.handle_event(api.ProbeEnded(name, api.Outcome.TIMED_OUT, 0))

    def close(self, wait: float = 1.0) -> None:
        """Stop its threads."""
        self.core.stop()
        self.engines.close(wait)
        if self.recorder is not None:
            self.recorder.stop()


class Instance:
    """See the module; ``log`` is a structlog logger."""

    def __init__(
        self,
        settings: Node,
        listener: socket.socket,
        *,
        index: int = 0,
        instances: int = 1,
        name: str = "",
        seed: int | None = None,
        log: Any,
        make_router: RouterFactory = Router,
        restart: Callable[[], None] = lambda: None,
    ) -> None:
        self.index, self.instances = index, instances
        self.name = name or f"i{index}"
        self._log = log
        self._make_router = make_router
        self._seed = int.from_bytes(os.urandom(6)) if seed is None else seed
        self.clock = node_clock()
        self.started = time.monotonic()
        self.draining = False
        self._lock = threading.Lock()
        self._listing = ServerListState(settings.kinds)
        self._last_list: dict[str, Engine] = {}
        self._old: list[RouterGeneration] = []
        self._boot = os.urandom(6).hex()
        self._keeper = self._make_keeper(settings)
        self._asked = self._served = 0
        self._control = self._make_control(settings, restart)
        version = NO_VERSION
        if self._control is not None:
            settings, version = self._control.restore()
        self._current = self._generation(settings, version)
        self._readiness = self._make_readiness(settings)
        self.instance_metrics = self._make_meters(settings)
        self._source = self._follow(settings)
        self.app = App(self)
        self.host = Host(listener, settings.limits, settings.timing, self.app.handle, rejection_response, self._warn)

    # Putting together.

    def _make_control(self, settings: Node, restart: Callable[[], None]) -> ControlFollower | None:
        """Who follows the control service; a change of its settings needs a restart."""
        if not settings.control.url:
            return None
        path = Path(settings.state_dir) / f"settings-{self.index}.json" if settings.state_dir else None
        return ControlFollower(
            settings, self.name, self._boot, path, apply_settings=self._take_settings,
            request_counts=lambda: (self._asked, self._served),
            acting_digest=lambda: self._current.version.digest, restart=restart, log=self._warn, rng=random.Random()
        )  # fmt: skip

    def _generation(self, settings: Node, version: Document = NO_VERSION) -> RouterGeneration:
        return RouterGeneration(
            settings, self.index, self.instances, self.name, self._seed, self.clock, self._say, self._make_router,
            lambda: self._listing.origin, self._keeper, version
        )  # fmt: skip

    def _make_keeper(self, settings: Node) -> LogWriter | None:
        """Who writes this instance's account; a change of its settings needs a restart."""
        wanted = settings.audit
        if not wanted.dir:
            return None
        return LogWriter(
            audit_folder(settings), self.name, self._boot, self.clock,
            every=wanted.every_ms * MS, file_bytes=wanted.file_bytes, most_files=wanted.files, log=self._warn
        )  # fmt: skip

    def _make_meters(self, settings: Node) -> instance_metrics.InstanceMetrics:
        return instance_metrics.InstanceMetrics(
            self._read, [c.name for c in settings.classes], [t.name for t in settings.tenants]
        )

    def _make_readiness(self, settings: Node) -> Readiness:
        return Readiness(
            settings, self.clock, lambda name: self._current.engines.preconnect(name), self._say, random.Random()
        )

    def _follow(self, settings: Node) -> ListSource:
        saved = Path(settings.state_dir) / f"servers-{self.index}.json" if settings.state_dir else None
        return ListSource(
            settings.source,
            self._listing,
            self.clock,
            instance=self.name,
            saved=saved,
            on_list=self._take_list,
            log=self._warn,
            may_use_saved=self._readiness.restore_saved,
            on_confirmed=self._readiness.confirm_list,
            nodes=settings.routing.routers or self.instances,
        )

    def start(self) -> None:
        """Follow the server list and accept clients."""
        raise_limits()
        threading.stack_size(self.settings.limits.stack_kib * 1024)
        if self._keeper is not None:
            self._keeper.start()
        self._source.start()
        if self._control is not None:
            self._control.start()
        self._readiness.ready.wait(2.0)  # a node that knows no engine yet would hold its first requests
        self.host.start()
        self._log.info("started", instance=self.name, version=__version__, engines=len(self._last_list))

    def reload(self, settings: Node) -> None:
        """The node's own settings have changed; what the listening socket or the limits need takes a restart."""
        if self._control is not None:
            self._control.apply_own_settings(settings)
        else:
            self._take_settings(settings, NO_VERSION)

    def _take_settings(self, settings: Node, version: Document) -> None:
        """Put settings in force, whole or not at all."""
        with self._lock:
            old, same_list = self._current, settings.kinds == self.settings.kinds
            source, kept = old.settings.source, old.can_adopt(settings)
            dropped = old.adopt(settings, version) if kept else ["the router's tables"]
            if not kept:
                fresh = self._generation(settings, version)
                if same_list:
                    entries = self._listing.to_json()
                    event = ServerListState(settings.kinds).apply_json(entries, self.clock(), saved=True)
                    fresh.apply_list(event, dict(self._last_list))
                self._current = fresh
                self._old.append(old)
            if not same_list or settings.source != source:
                self._source.stop()
                self._listing = ServerListState(settings.kinds)
                self._readiness.stop()
                self._readiness = self._make_readiness(settings)
                self._source = self._follow(settings)
                self._source.start()
            self.host.timing = settings.timing
            if not kept and old.is_different_deployment(settings):
                self.instance_metrics = self._make_meters(
                    settings
                )  # what was counted is of names that these settings lack
            self.instance_metrics.set_names([c.name for c in settings.classes], [t.name for t in settings.tenants])
        self._log.info(
            "settings changed", instance=self.name, settings=settings_label(settings, version), dropped=dropped
        )
        self._retire()

    def _retire(self) -> None:
        """Close generations whose requests have ended."""
        with self._lock:
            done = [each for each in self._old if not each.core.open_requests]
            self._old = [each for each in self._old if each.core.open_requests]
        for each in done:
            threading.Thread(target=each.close, daemon=True).start()

    def drain(self, most: float) -> bool:
        """Take no new client, let requests end for so many seconds; whether all did."""
        self.draining = True
        self._log.info("draining", instance=self.name, open=self.open_requests)
        self.host.drain()
        end = time.monotonic() + most
        while (self.open_requests or self.host.busy) and time.monotonic() < end:  # a client that has just come, too
            time.sleep(0.02)
        return not self.open_requests

    def stop(self) -> None:
        """End everything."""
        self._source.stop()
        self._readiness.stop()
        if self._control is not None:
            self._control.stop()
        self.host.stop()
        for each in (*self._old, self._current):
            each.close()
        if self._keeper is not None:
            self._keeper.stop()
        self._log.info("stopped", instance=self.name)

    # For the fronts (``instance_service.InstanceService``).

    @property
    def settings(self) -> Node:
        """The settings in force."""
        return self._current.settings

    @property
    def core(self) -> Core:
        """The current generation's core."""
        return self._current.core

    @property
    def open_requests(self) -> int:
        """Requests under way, of all generations."""
        return sum(each.core.open_requests for each in (*self._old, self._current))

    def serve(self, ask: InferenceRequest, sink: Sink, waker: Waker) -> RequestLifecycle:
        """Run one request to its end.  Raises ApiError where none may be taken."""
        if self._control is not None and (why := self._control.refusal()):
            raise ApiError(503, f"this node takes no requests: {why}", code="node_out", headers=(("Retry-After", "1"),))
        generation = self._current  # after the permit was looked at: never an older version than the permit is for
        ask = generation.with_stable_indexes(ask)
        life = RequestRunner(generation.core, generation.engines, generation.bounds, ask, sink, waker).run()
        if self._old:
            self._retire()
        return life

    def health(self) -> tuple[bool, dict[str, Any]]:
        """Whether it takes requests, and what it knows of itself."""
        up = [line.name for line in self._listing.entries.values() if line.state is api.ServerState.UP]
        why = self._readiness.not_ready_reason() or (self._control.refusal() if self._control is not None else "")
        status = "draining" if self.draining else why or ("ok" if up else "no engine is up")
        return status == "ok", {
            "status": status,
            "stage": self._readiness.stage.value,
            "on_saved_list": self._readiness.on_saved_list,
            "instance": self.name,
            "version": __version__,
            "pid": os.getpid(),
            "uptime_seconds": round(time.monotonic() - self.started, 3),
            "engines": len(self._listing.entries),
            "engines_up": len(up),
            "list_version": self._listing.version,
            "requests": self.open_requests,
        }

    def audit_lines(self, name: str, after: int) -> tuple[bytes, bool]:
        """Lines of an account that is kept in this node's folder, after a number, and whether there are more."""
        folder = audit_folder(self.settings)
        return lines_after(folder, name, after) if name in node_names(folder) else (b"", False)

    def metrics(self) -> tuple[bytes, str]:
        """The metrics page."""
        return self.instance_metrics.render()

    def record(self, record: RequestRecord) -> None:
        """Count a request and log it."""
        self.instance_metrics.observe(record)
        if record.outcome not in ("gone", "rejected"):
            self._asked += 1
            self._served += record.outcome == "served"
        self._log.info(
            "request",
            instance=self.name,
            front=record.frontend,
            request=record.request_id,
            cls=record.class_name,
            tenant=record.tenant_name,
            status=record.status,
            ended=record.outcome,
            ms=round(record.duration / 1e6, 2),
            first_ms=round(record.time_to_first_token / 1e6, 2) if record.time_to_first_token >= 0 else None,
            attempts=record.attempts,
        )

    # Inside.

    def _take_list(self, event: api.ServerList, engines: dict[str, Engine]) -> None:
        with self._lock:
            self._last_list = engines
            generations = [*self._old, self._current]
        for each in generations:
            each.apply_list(event, engines)
            if self.settings.source.heed_checks:
                each.apply_hints(self._listing.entries)
        self._log.info(
            "server list", instance=self.name, kind=event.kind.value, version=event.version, engines=len(event.entries)
        )

    def _say(self, text: str) -> None:
        self._log.info(text, instance=self.name)

    def _warn(self, text: str) -> None:
        self._log.warning(text, instance=self.name)

    def _read(self) -> Iterable[Metric]:
        current = self._current
        pool, background = current.engines.pool, current.engines.background
        yield instance_metrics.gauge("open_requests", "Requests under way", self.open_requests)
        yield instance_metrics.gauge("connections", "Client connections", self.host.connections)
        yield instance_metrics.gauge("workers", "Worker threads", self.host.workers)
        yield instance_metrics.gauge("open_releases", "States and places not let go of yet", background.open_releases)
        yield instance_metrics.gauge(
            "release_engines_away", "Engines that releases wait for", background.unreachable_engines
        )
        yield instance_metrics.gauge(
            "dropped_releases", "Releases given up, of what stays held", background.dropped_releases
        )
        yield instance_metrics.counters(
            "refused_clients", "Clients refused before a request was taken", "why", {"limits": self.host.rejected}
        )
        yield instance_metrics.counters(
            "engine_connections", "Connections to engines", "how", {"opened": pool.opened, "reused": pool.reused}
        )
        yield instance_metrics.counters("events", "Events told to the router", "event", dict(current.core.events))
        yield instance_metrics.counters("actions", "Actions the router decided", "action", dict(current.core.actions))
        if current.recorder is not None:
            yield instance_metrics.counters("capture_records", "Calls of the router, by what became of them", "what",
                {"written": current.recorder.written, "lost": current.recorder.lost_calls})  # fmt: skip
        yield instance_metrics.counters("list_questions", "Questions to the list service, by how they ended", "how",
            dict(self._source.poll_results))  # fmt: skip
        steps = self._source.gradual_list
        yield instance_metrics.gauges("list_pending", "Engines of the list that are not yet as it says", "what",
            {"new": float(steps.pending_additions), "gone": float(steps.unconfirmed_removals)})  # fmt: skip
        yield instance_metrics.gauge("list_version", "Version of the server list in force", self._listing.version)
        yield instance_metrics.gauges("stage", "Where the process stands, 1 for its stage", "stage",
            {stage.value: float(stage is self._readiness.stage) for stage in Stage})  # fmt: skip
        states = Counter(line.state.value for line in self._listing.entries.values())
        yield instance_metrics.gauges(
            "engines", "Engines in the list", "state", {k: float(v) for k, v in states.items()}
        )
