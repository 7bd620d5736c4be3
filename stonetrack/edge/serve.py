"""The process of one node: wires the parts together, handles signals, drains on TERM.

Only the main thread waits for signals (``sigtimedwait``); they are blocked in all other threads, so that none
interrupts an operation half way.

- TERM starts a drain.  For a while clients still connect, and what they send counts as accepted; so the node accepts
  for another ``ACCEPTING_S`` seconds, with answers that close their connections, and closes idle connections at once.
  Requests that are complete only later are refused at once, since the process may end before their answer; all others
  are served to their end.
- HUP reads the configuration again.  A new address of the discovery service is followed from then on; router, tables,
  requests and connections stay.  A configuration that can't be read changes nothing.
"""

from __future__ import annotations

import contextlib
import os
import signal
import sys
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path

from stonetrack import simulator_adapter
from stonetrack.api import Action, Event, LoadReport
from stonetrack.clocks import node_clock
from stonetrack.edge import metrics, requests
from stonetrack.edge.abandoned import AbandonedPrefills
from stonetrack.edge.budget import MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS, SEND_BUFFER_BYTES, divide_budget
from stonetrack.edge.calls import EngineCalls
from stonetrack.edge.config import Config, ConfigError, deployment_mismatch, parse
from stonetrack.edge.engine_table import EngineTable, ServerListError
from stonetrack.edge.engines import EdgeEngines
from stonetrack.edge.probes import Probes
from stonetrack.edge.releases import Releases
from stonetrack.edge.request_ids import RecentRequestIds
from stonetrack.edge.sink import EdgeSink, text_response
from stonetrack.edge.watch import DiscoveryWatch
from stonetrack.engines.pool import ConnectionPool
from stonetrack.frontend.connection import Connection, HttpRequest
from stonetrack.frontend.host import Host, listen
from stonetrack.node.core import Core
from stonetrack.node.memory import resident_bytes
from stonetrack.node.ports import InferenceRequest
from stonetrack.node.records import Records
from stonetrack.node.request_lifecycle import RequestLifecycle
from stonetrack.node.request_runner import Bounds, RequestRunner, Waker
from stonetrack.settings.schema import Limits, Timing
from stonetrack.wire import http1

SECOND = 1_000_000_000
STACK_BYTES = 256 * 1024
# A client may be left waiting for 5 s after an engine's last event (protocol); what is left of them is for the grace of
# bytes, for a node that is late, and for giving the attempt up.
STREAM_SILENCE_NS = 4 * SECOND + SECOND // 2
CLIENT_STALL_NS = 10 * SECOND  # a client that reads nothing for longer counts as gone
ACCEPTING_S = 0.55  # clients still connect for 0.2 to 0.4 s after TERM (protocol); what comes after 0.7 s may be lost
MAX_COUNTED_DEADLINE_S = 3.0  # the part of the longest deadline that counts towards the time from TERM to KILL
KILL_AFTER_DEADLINE_S = 0.7  # KILL may follow so long after the counted deadline
KILL_MARGIN_S = 0.3  # the node exits at least so long before KILL
LAST_RELEASES_S = 0.5  # time for releases after the last answer, however late that answer comes
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


def log(text: str) -> None:
    """Write one line for operators to standard error; a failure to write is ignored."""
    with contextlib.suppress(OSError):
        sys.stderr.write(f"{text}\n")
        sys.stderr.flush()


class EdgeNode:
    """One node: its router, its connections to clients, engines and discovery, and its background threads.

    ``process_bytes`` is the memory that the process takes before; it counts towards the configured limit.
    """

    def __init__(self, config: Config, traced: bool = False, process_bytes: int = 0) -> None:
        self.config, self._traced = config, traced
        self.clock = node_clock()
        budget = divide_budget(config.limits.sockets, config.limits.memory_mb, process_bytes)
        if budget.shortage_bytes:
            least = config.limits.memory_mb + budget.shortage_bytes / 1e6
            log(f"memory_mb: found {config.limits.memory_mb:g}; with less than {least:.0f} the limit may be exceeded")
        self._router_instance = simulator_adapter.Instance({**config.settings_pairs, "entropy": str(config.seed)})
        self._router_instance.router.max_prefix_entries = budget.prefix_entries
        record = self._recorder() if traced else None
        self.core = Core(
            self._router_instance.router,
            self.clock,
            log=log,
            probe=self._probe,
            release=lambda request_id: self.releases.release(request_id),
            record=record,
        )
        settings = config.settings
        self.pool = ConnectionPool(budget.idle_connections, config.engine_idle_ns / SECOND / 2, budget.idle_connections)
        connect_timeout = max(settings.connect_timeout, 1) / SECOND
        self.calls = EngineCalls(self.pool, self.clock, connect_timeout)
        self.records = Records(self.clock, settings.release_within, log, log_all=traced)
        self.releases = Releases(self.calls, self.clock, settings.release_within, log=log, records=self.records)
        self.abandoned = AbandonedPrefills(
            self.clock,
            settings.release_within,
            self.releases.try_any_engine,
            self.releases.try_one_engine,
            self.records.needs_state,
            budget.abandoned,
            log,
        )
        self.probes = Probes(self.calls, self.clock, self._parse_report, self.core.handle_event, log=log)
        self.engines = EdgeEngines(
            self.pool,
            self.releases,
            self.probes,
            self.clock,
            connect_timeout,
            self._parse_report,
            log if traced else None,
            self.records,
            self.core.closed_for,
            self.abandoned,
        )
        self.engine_table = EngineTable(config.kinds, config.zones, tuple(kind.role for kind in settings.kinds))
        self.classes = {cls.name: n for n, cls in enumerate(settings.classes)}
        self.tenants = {tenant.name: n for n, tenant in enumerate(settings.tenants)}
        self.bounds = Bounds(STREAM_SILENCE_NS, CLIENT_STALL_NS, SEND_BUFFER_BYTES)
        self.watch = DiscoveryWatch(config.discovery, lambda: self.engine_table.rev, self._apply_list, log)
        self._reported_skipped: frozenset[str] = frozenset()  # unusable entries of the last list, already logged
        self._refuse_after = 0  # monotonic ns from which on requests are refused; 0 for never
        self._request_ids = RecentRequestIds()
        self._request_ids_lock = threading.Lock()
        self.host = Host(
            listen(*config.listen, 1024),
            Limits(
                connections=budget.clients,
                workers=budget.requests,
                head_bytes=MAX_HEAD_BYTES,
                headers=MAX_HEADERS,
                body_bytes=MAX_BODY_BYTES,
                socket_send_bytes=0,
            ),
            Timing(header_ms=2_000, body_ms=2_500, idle_ms=2_500, client_stall_ms=CLIENT_STALL_NS // 1_000_000),
            self.handle,
            text_response,
            log,
            budget.wakers,
            budget.bodies,
        )

    @staticmethod
    def _recorder() -> Callable[[int, Event, list[Action]], None]:
        from stonetrack.edge.trace import recorder

        return recorder(log)

    def _parse_report(self, pairs: str) -> LoadReport | None:
        try:
            return self._router_instance.report({"health_info": pairs})
        except simulator_adapter.WireError:
            return None

    def _probe(self, server: str) -> None:
        self.engines.probe(server)

    def _apply_list(self, data: bytes, first_of_watch: bool, from_config: bool = False) -> None:
        """Apply a server list: addresses first, since the router may send to a new engine at once.

        Raises ServerListError for a list that can't be parsed: the watch then asks again for all changes since the
        revision held."""
        event = self.engine_table.apply(data, self.clock(), from_config, first_of_watch)
        if event is None:
            return
        for each in self.engine_table.skipped:
            if each not in self._reported_skipped:
                log(f"server list: skipped {each}")
        self._reported_skipped = frozenset(self.engine_table.skipped)
        self.calls.retain(set(self.engine_table.engines))
        self.engines.list_changed(dict(self.engine_table.engines))
        self.core.handle_event(event)

    def start(self) -> None:
        """Apply the configuration's server list, follow discovery, accept clients."""
        self.core.start()
        self.releases.start()
        self.abandoned.start()
        self.probes.start()
        if self.config.initial_list:
            try:
                self._apply_list(self.config.initial_list, first_of_watch=True, from_config=True)
            except ServerListError as error:
                log(f"server list of the configuration ignored: {error}")
        self.watch.start()
        self.host.start()

    def stop(self) -> None:
        """Stop all parts at once, without a drain."""
        self.watch.stop()
        self.host.stop()
        self.core.stop()
        self.abandoned.stop()
        self.releases.stop()
        self.probes.stop()
        self.pool.close()

    # Requests.

    def handle(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        """Serve one request; returns whether the connection may be kept open."""
        head = request.head
        sink = EdgeSink(connection, request)
        if head.path == "/up" and head.method in ("GET", "HEAD"):
            return sink.respond(200, "up" if head.method == "GET" else "")
        if head.path == "/metrics" and head.method == "GET":
            return sink.respond(200, metrics.exposition(self))
        if head.path != requests.CHAT_PATH or head.method != "POST":
            return sink.respond(404, f"allowed: POST {requests.CHAT_PATH}, GET /up, GET /metrics")
        # A request is taken, and its time begins, with its last byte (protocol), which may follow long after its head.
        if self._refuse_after and request.completed > self._refuse_after:
            return sink.respond(503, "this node is leaving: try again elsewhere")
        try:
            waited_ns = time.monotonic_ns() - request.timed_from
            parsed = requests.parse_request(head, request.body, self.classes, waited_ns, self.clock(), self.tenants)
        except requests.BadRequest as error:
            return sink.respond(error.status, str(error))
        request_id = parsed.request_id
        with self._request_ids_lock:
            is_new = self._request_ids.begin(request_id, self.clock())
        request.head = replace(head, headers=http1.Headers())  # the message to the engines has those that are needed
        del head
        if not is_new:
            return sink.respond(409, f"request {request_id} has come before: every request needs an id of its own")
        sink.on_begin = lambda: self._message_done(connection, request, parsed)
        attempted = True  # also where the request ends with an exception
        try:
            lifecycle = self._run_request(parsed, sink, waker)
            attempted = lifecycle.attempt_number >= 0
        finally:
            with self._request_ids_lock:
                self._request_ids.end(request_id, attempted, self.clock())
        return sink.keep and not lifecycle.client_gone

    def _message_done(self, connection: Connection, request: HttpRequest, parsed: InferenceRequest) -> None:
        """The answer has begun: no further attempt follows, and the message to the engines is not needed any more."""
        request.body = b""
        parsed.body.discard()
        self.host.bodies.message_done(connection)

    def _run_request(self, request: InferenceRequest, sink: EdgeSink, waker: Waker) -> RequestLifecycle:
        cls = self.config.settings.classes[request.class_index]
        self.records.open(request.request_id, f"{cls.name} ({cls.effect.value})", cls.effect, request.body.deadline)
        try:
            return RequestRunner(self.core, self.engines, self.bounds, request, sink, waker, self.records).run()
        finally:
            self.records.close(request.request_id)

    # Signals.

    def reload(self, path: Path) -> None:
        """Read the configuration file again and follow its discovery service, the one setting that may change."""
        try:
            config = parse(path.read_bytes())
        except (OSError, ConfigError) as error:
            log(f"configuration refused, nothing changed: {error}")
            return
        if mismatch := deployment_mismatch(self.config, config):
            log(f"configuration refused, nothing changed: {path}: {mismatch}")
            return
        log(f"configuration read again: discovery at {config.discovery[0]}:{config.discovery[1]}")
        self.watch.change_address(config.discovery)

    def maintain(self) -> None:
        """Prune idle connections and check request records; called about once a second."""
        self.pool.prune()
        self.records.check()
        if self._traced:
            from stonetrack.edge.trace import server_lines

            lines: list[str] = []
            open_attempts = self.engines.open_attempts()
            self.core.run_exclusively(
                lambda: lines.extend(
                    server_lines(self._router_instance.router, open_attempts, self.engines.idle_connections)
                )
            )
            for line in lines:
                log(f"trace belief {line}")

    def _drain_time_s(self) -> float:
        """Seconds after TERM within which the node has to exit, before KILL may come."""
        longest = max(cls.deadline for cls in self.config.settings.classes) / SECOND
        return min(longest, MAX_COUNTED_DEADLINE_S) + KILL_AFTER_DEADLINE_S - KILL_MARGIN_S

    def drain(self) -> None:
        """Stop accepting, serve all accepted requests to their end; signals that arrive meanwhile have no effect."""
        started = time.monotonic()
        self._refuse_after = time.monotonic_ns() + int(ACCEPTING_S * SECOND)
        self.host.close_after_responses()
        time.sleep(ACCEPTING_S)
        self.host.drain(accept_queued=True)
        while self.core.open_requests:
            time.sleep(0.02)
        # The host stops reading last: until then it refuses late requests, which would otherwise get no answer.
        until = max(started + self._drain_time_s(), time.monotonic() + LAST_RELEASES_S)
        while (self.releases.open or len(self.abandoned)) and time.monotonic() < until:
            time.sleep(0.02)
        while self.core.open_requests or not self.host.stop_reading_if_idle():
            time.sleep(0.02)
        self.releases.wait(1.0)


def run(environ: Mapping[str, str]) -> int:
    """Serve until TERM; returns the exit code."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    threading.stack_size(STACK_BYTES)
    config_path = environ.get("EDGE_CONFIG", "")
    if not config_path:
        log("EDGE_CONFIG is not set; it names the node's configuration, a JSON file")
        return 2
    path = Path(config_path)
    try:
        node = EdgeNode(parse(path.read_bytes()), environ.get("EDGE_TRACE") == "1", resident_bytes())
    except ConfigError as error:
        log(f"{path}: {error}")
        return 2
    except OSError as error:
        log(f"{path}: {error.strerror}; allowed: a readable file, naming an address to listen on that is free")
        return 2
    node.start()
    log(f"serving as {node.config.name} on {node.config.listen[0]}:{node.config.listen[1]}")
    while True:
        info = signal.sigtimedwait(SIGNALS, 1.0)
        # After a process was stopped for longer than the timeout, CPython 3.11 returns an uninitialized record (EINTR).
        if info is None or info.si_signo not in SIGNALS:
            node.maintain()
        elif info.si_signo == signal.SIGHUP:
            node.reload(path)
        else:
            log(f"{signal.Signals(info.si_signo).name} from process {info.si_pid}: draining, serving accepted requests")
            break
    node.drain()
    os._exit(0)
