"""One instance: frontends, node and engine clients in one process.

A change of settings takes effect between two events: the router adopts the new settings and keeps its tables, pacing,
counters and running requests, each of which keeps the class that it arrived with.  If the router can't adopt them
(other kinds of engines, another hash key, other folders or options of captures or audit logs), a new *generation* is
created: a new router with the current server list, while running requests stay with their generation.  Either way
settings change completely or not at all; the listening socket, connections and counters are kept.
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
    """Return a digest that identifies the settings."""
    return blake2b(msgspec.json.encode(settings), digest_size=6).hexdigest()


def settings_label(settings: Node, version: Document) -> str:
    """Return the settings' part of an acting version: number and digest of a published version, else a digest."""
    return f"{version.number}.{version.digest}" if version.number else settings_digest(settings)


def audit_folder(settings: Node) -> Path:
    """Return the folder of the audit logs."""
    return Path(settings.state_dir) / settings.audit.dir


def module_digest() -> str:
    """Return a digest that identifies the revision of the decision module."""
    return blake2b(Path(logic.__file__).read_bytes(), digest_size=6).hexdigest()


def request_bounds(settings: Node) -> Bounds:
    """Return the limits of a request's thread."""
    timing = settings.timing
    return Bounds(timing.stream_silence_ms * MS, timing.client_stall_ms * MS, settings.limits.send_buffer_bytes)


class RouterGeneration:
    """One router and its current settings."""

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
        audit_log: LogWriter | None = None,
        version: Document = NO_VERSION,
    ) -> None:
        self.settings = settings
        self._origin, self._audit_log = origin, audit_log
        self.version = version
        self.acting = ActingVersion()
        if audit_log is not None or settings.control.mark:  # the digests have no other use
            self.acting = ActingVersion(settings_label(settings, version), "", -1, __version__, module_digest())
        self._index, self._instances = index, instances
        initial = router_settings(settings, index, instances)
        router = make_router(initial, seed)
        self.positions = StablePositions(initial)
        self.recorder = self._make_recorder(settings, index, instances, name, seed, clock, log)
        acting_label = self._acting_label if settings.control.mark else None
        self.core = Core(
            router, clock, log=log, probe=self._probe, record=self._recording(), acting_version=acting_label
        )
        self._hints = FailureHints(last_success_lookup(lambda: getattr(router, "servers", {})))
        if self.recorder is not None and isinstance(router, Router):
            self.recorder.enable_gap_recovery(self.core.run_exclusively, lambda: snapshot.take(router))
        self.engines = EngineClient(settings, clock, name, self.core.handle_event, self.core.acting_version_of)
        self.bounds = request_bounds(settings)
        self.engines.background.start()
        self.core.start()

    def can_adopt(self, settings: Node) -> bool:
        """Return whether the router can adopt these settings."""
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
        """Return whether the settings have no class, or no tenant, in common with the current ones."""
        return self.positions.is_different_deployment(router_settings(settings, self._index, self._instances))

    def adopt(self, settings: Node, version: Document) -> list[str]:
        """Adopt other settings; return the names of removed classes and tenants."""
        changed = router_settings(settings, self._index, self._instances)
        arranged = self.positions.arrange(changed)
        router = self.core.router
        assert isinstance(router, Router)

        def adopt_between_events() -> None:
            router.adopt(arranged)
            if self.recorder is not None:
                self.recorder.settings_changed(lambda: snapshot.take(router))
            self.version = version
            if self._audit_log is not None or settings.control.mark:
                self.acting = structs.replace(self.acting, settings=settings_label(settings, version))
            if self._audit_log is not None:
                self._audit_log.switch_version(self.core.clock(), self.acting)

        self.core.run_exclusively(adopt_between_events)
        self.positions.settings = arranged
        self.bounds = request_bounds(settings)
        self.engines.apply_settings(settings)
        self.settings = settings
        return self.positions.removed_names(changed)

    def with_stable_indexes(self, request: InferenceRequest) -> InferenceRequest:
        """Return the request with the router's indexes of its class and tenant.  Raises KeyError."""
        original = request.settings
        if original is None:
            return request
        cls = self.positions.class_index(original.classes[request.class_index].name)
        tenant = (
            self.positions.tenant_index(original.tenants[request.tenant].name) if original.tenants else request.tenant
        )
        if (cls, tenant) == (request.class_index, request.tenant):
            return request
        return replace(request, class_index=cls, tenant=tenant)

    def _acting_label(self) -> str:
        """Return the version that decisions are made with, for a request header."""
        return f"{self.acting.settings}/{self.acting.origin}.{self.acting.version}"

    def _recording(self) -> Callable[[int, api.Event, list[api.Action]], None] | None:
        """Return the callback that records every decision under the core's lock; None if nothing is recorded."""
        capture = self.recorder.record if self.recorder is not None else None
        if self._audit_log is None and not self.settings.control.mark:
            return capture

        def record_all(now: int, event: api.Event, actions: list[api.Action]) -> None:
            if capture is not None:
                capture(now, event, actions)
            self._record_acting(now, event, actions)

        return record_all

    def _record_acting(self, now: int, event: api.Event, actions: list[api.Action]) -> None:
        """Set the list's version in the acting version, from the list's event on; write decisions to the audit log."""
        if isinstance(event, api.ServerList):
            self.acting = structs.replace(self.acting, origin=self._origin(), version=event.version)
            if self._audit_log is not None:
                self._audit_log.switch_version(now, self.acting)
        if self._audit_log is None:
            return
        for action in actions:
            if request := getattr(action, "request", ""):
                self._audit_log.record(now, self.acting, request, (type(action).__name__,))

    @staticmethod
    def _make_recorder(settings: Node, index: int, instances: int, name: str, seed: int, clock: Callable[[], int],
                       log: Callable[[str], None]) -> Recorder | None:  # fmt: skip
        """Return the recorder of this router's calls, named after the instance and its start time; None if disabled."""
        options = settings.capture
        if not options.dir:
            return None
        redacted = redact_settings(router_settings(settings, index, instances), hash_key(settings))
        header = Header(__version__, f"{name}.{clock()}", seed, redacted)
        recorder = Recorder(
            Path(options.dir), header, clock, log=log, flush_interval=options.flush_ms / 1_000.0,
            max_queued=options.waiting, segment_bytes=options.segment_bytes, segment_seconds=options.segment_seconds,
            budget_bytes=options.budget_bytes, sync=options.sync)  # fmt: skip
        recorder.start()
        return recorder

    def _probe(self, server: str) -> None:
        self.engines.probe(server)

    def apply_list(self, event: api.ServerList, engines: dict[str, Engine]) -> None:
        """Apply a list: addresses first, because the router may send to new engines at once."""
        self.engines.list_changed(engines)
        self.core.handle_event(event)

    def apply_hints(self, entries: Mapping[str, EngineEntry]) -> None:
        """Apply the list's hints on engines that the controller can't reach; see ``engines.failure_hints``."""
        for name in self._hints.select(entries, self.core.clock()):
            self.core.handle_event(api.ProbeEnded(name, api.Outcome.TIMED_OUT, 0))

    def close(self, wait: float = 1.0) -> None:
        """Stop the threads."""
        self.core.stop()
        self.engines.close(wait)
        if self.recorder is not None:
            self.recorder.stop()


class Instance:
    """One instance of the node; ``log`` is a structlog logger."""

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
        self._list_state = ServerListState(settings.kinds)
        self._last_engines: dict[str, Engine] = {}
        self._old_generations: list[RouterGeneration] = []
        self._boot_id = os.urandom(6).hex()
        self._audit_log = self._make_audit_log(settings)
        self._requests_counted = self._requests_served = 0
        self._control = self._make_control(settings, restart)
        version = NO_VERSION
        if self._control is not None:
            settings, version = self._control.restore()
        self._current = self._make_generation(settings, version)
        self._readiness = self._make_readiness(settings)
        self.instance_metrics = self._make_metrics(settings)
        self._source = self._make_list_source(settings)
        self.app = App(self)
        self.host = Host(
            listener, settings.limits, settings.timing, self.app.handle, rejection_response, self._log_warning
        )

    # Construction.

    def _make_control(self, settings: Node, restart: Callable[[], None]) -> ControlFollower | None:
        """Return the follower of the control service, if there is one; a change of its settings needs a restart."""
        if not settings.control.url:
            return None
        path = Path(settings.state_dir) / f"settings-{self.index}.json" if settings.state_dir else None
        return ControlFollower(
            settings, self.name, self._boot_id, path, apply_settings=self._apply_settings,
            request_counts=lambda: (self._requests_counted, self._requests_served),
            acting_digest=lambda: self._current.version.digest, restart=restart, log=self._log_warning,
            rng=random.Random()
        )  # fmt: skip

    def _make_generation(self, settings: Node, version: Document = NO_VERSION) -> RouterGeneration:
        return RouterGeneration(
            settings, self.index, self.instances, self.name, self._seed, self.clock, self._log_info, self._make_router,
            lambda: self._list_state.origin, self._audit_log, version
        )  # fmt: skip

    def _make_audit_log(self, settings: Node) -> LogWriter | None:
        """Return the writer of this instance's audit log, if enabled; a change of its settings needs a restart."""
        options = settings.audit
        if not options.dir:
            return None
        return LogWriter(
            audit_folder(settings), self.name, self._boot_id, self.clock,
            max_duration=options.every_ms * MS, max_file_bytes=options.file_bytes, max_files=options.files,
            log=self._log_warning
        )  # fmt: skip

    def _make_metrics(self, settings: Node) -> instance_metrics.InstanceMetrics:
        return instance_metrics.InstanceMetrics(
            self._collect_metrics, [c.name for c in settings.classes], [t.name for t in settings.tenants]
        )

    def _make_readiness(self, settings: Node) -> Readiness:
        return Readiness(
            settings, self.clock, lambda name: self._current.engines.preconnect(name), self._log_info, random.Random()
        )

    def _make_list_source(self, settings: Node) -> ListSource:
        saved = Path(settings.state_dir) / f"servers-{self.index}.json" if settings.state_dir else None
        return ListSource(
            settings.source,
            self._list_state,
            self.clock,
            instance=self.name,
            saved=saved,
            on_list=self._apply_list,
            log=self._log_warning,
            may_use_saved=self._readiness.restore_saved,
            on_confirmed=self._readiness.confirm_list,
            nodes=settings.routing.routers or self.instances,
        )

    def start(self) -> None:
        """Follow the server list and accept connections."""
        raise_limits()
        threading.stack_size(self.settings.limits.stack_kib * 1024)
        if self._audit_log is not None:
            self._audit_log.start()
        self._source.start()
        if self._control is not None:
            self._control.start()
        self._readiness.ready.wait(2.0)  # without engines the first requests would have to wait
        self.host.start()
        self._log.info("started", instance=self.name, version=__version__, engines=len(self._last_engines))

    def reload(self, settings: Node) -> None:
        """Apply changed settings of the node's own file; the listening socket and the limits need a restart."""
        if self._control is not None:
            self._control.apply_own_settings(settings)
        else:
            self._apply_settings(settings, NO_VERSION)

    def _apply_settings(self, settings: Node, version: Document) -> None:
        """Apply settings completely or not at all."""
        with self._lock:
            old, same_list = self._current, settings.kinds == self.settings.kinds
            source, adopted = old.settings.source, old.can_adopt(settings)
            dropped = old.adopt(settings, version) if adopted else ["the router's tables"]
            if not adopted:
                new = self._make_generation(settings, version)
                if same_list:
                    entries = self._list_state.to_json()
                    event = ServerListState(settings.kinds).apply_json(entries, self.clock(), saved=True)
                    new.apply_list(event, dict(self._last_engines))
                self._current = new
                self._old_generations.append(old)
            if not same_list or settings.source != source:
                self._source.stop()
                self._list_state = ServerListState(settings.kinds)
                self._readiness.stop()
                self._readiness = self._make_readiness(settings)
                self._source = self._make_list_source(settings)
                self._source.start()
            self.host.timing = settings.timing
            if not adopted and old.is_different_deployment(settings):
                self.instance_metrics = self._make_metrics(settings)  # the counters have names that these settings lack
            self.instance_metrics.set_names([c.name for c in settings.classes], [t.name for t in settings.tenants])
        self._log.info(
            "settings changed", instance=self.name, settings=settings_label(settings, version), dropped=dropped
        )
        self._close_idle_generations()

    def _close_idle_generations(self) -> None:
        """Close old generations without running requests."""
        with self._lock:
            done = [each for each in self._old_generations if not each.core.open_requests]
            self._old_generations = [each for each in self._old_generations if each.core.open_requests]
        for each in done:
            threading.Thread(target=each.close, daemon=True).start()

    def drain(self, timeout: float) -> bool:
        """Accept no new connections, and wait up to ``timeout`` seconds for requests; return whether all have ended."""
        self.draining = True
        self._log.info("draining", instance=self.name, open=self.open_requests)
        self.host.drain()
        end = time.monotonic() + timeout
        # A client that has just connected makes the host busy before it has an open request.
        while (self.open_requests or self.host.busy) and time.monotonic() < end:
            time.sleep(0.02)
        return not self.open_requests

    def stop(self) -> None:
        """Stop all threads and close all sockets."""
        self._source.stop()
        self._readiness.stop()
        if self._control is not None:
            self._control.stop()
        self.host.stop()
        for each in (*self._old_generations, self._current):
            each.close()
        if self._audit_log is not None:
            self._audit_log.stop()
        self._log.info("stopped", instance=self.name)

    # For the frontends (``instance_service.InstanceService``).

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
        """Number of running requests of all generations."""
        return sum(each.core.open_requests for each in (*self._old_generations, self._current))

    def serve(self, request: InferenceRequest, sink: Sink, waker: Waker) -> RequestLifecycle:
        """Run one request to its end.  Raises ApiError if the node accepts no requests."""
        if self._control is not None and (why := self._control.refusal()):
            raise ApiError(503, f"this node takes no requests: {why}", code="node_out", headers=(("Retry-After", "1"),))
        generation = self._current  # read after the lease was checked: never an older version than the lease is for
        request = generation.with_stable_indexes(request)
        lifecycle = RequestRunner(generation.core, generation.engines, generation.bounds, request, sink, waker).run()
        if self._old_generations:
            self._close_idle_generations()
        return lifecycle

    def health(self) -> tuple[bool, dict[str, Any]]:
        """Return whether the instance serves, and its health report."""
        up = [entry.name for entry in self._list_state.entries.values() if entry.state is api.ServerState.UP]
        reason = self._readiness.not_ready_reason() or (self._control.refusal() if self._control is not None else "")
        status = "draining" if self.draining else reason or ("ok" if up else "no engine is up")
        return status == "ok", {
            "status": status,
            "stage": self._readiness.stage.value,
            "on_saved_list": self._readiness.on_saved_list,
            "instance": self.name,
            "version": __version__,
            "pid": os.getpid(),
            "uptime_seconds": round(time.monotonic() - self.started, 3),
            "engines": len(self._list_state.entries),
            "engines_up": len(up),
            "list_version": self._list_state.version,
            "requests": self.open_requests,
        }

    def audit_lines(self, name: str, after: int) -> tuple[bytes, bool]:
        """Return lines of an audit log in this node's folder, after an entry number, and whether more follow."""
        folder = audit_folder(self.settings)
        return lines_after(folder, name, after) if name in node_names(folder) else (b"", False)

    def metrics(self) -> tuple[bytes, str]:
        """Return the metrics page and its content type."""
        return self.instance_metrics.render()

    def record(self, record: RequestRecord) -> None:
        """Log and count a finished request."""
        self.instance_metrics.observe(record)
        if record.outcome not in ("gone", "rejected"):
            self._requests_counted += 1
            self._requests_served += record.outcome == "served"
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

    # Internals.

    def _apply_list(self, event: api.ServerList, engines: dict[str, Engine]) -> None:
        with self._lock:
            self._last_engines = engines
            generations = [*self._old_generations, self._current]
        for each in generations:
            each.apply_list(event, engines)
            if self.settings.source.heed_checks:
                each.apply_hints(self._list_state.entries)
        self._log.info(
            "server list", instance=self.name, kind=event.kind.value, version=event.version, engines=len(event.entries)
        )

    def _log_info(self, text: str) -> None:
        self._log.info(text, instance=self.name)

    def _log_warning(self, text: str) -> None:
        self._log.warning(text, instance=self.name)

    def _collect_metrics(self) -> Iterable[Metric]:
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
        yield instance_metrics.gauge("list_version", "Version of the server list in force", self._list_state.version)
        yield instance_metrics.gauges("stage", "Where the process stands, 1 for its stage", "stage",
            {stage.value: float(stage is self._readiness.stage) for stage in Stage})  # fmt: skip
        states = Counter(entry.state.value for entry in self._list_state.entries.values())
        yield instance_metrics.gauges(
            "engines", "Engines in the list", "state", {k: float(v) for k, v in states.items()}
        )
