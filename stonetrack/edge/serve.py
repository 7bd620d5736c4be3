"""One node in service: what it is told, its parts put together, its signals, its end.

Signals are waited for by the main thread alone (``sigtimedwait``), blocked everywhere else, so that none can come
between two steps of anything.  TERM: for a while clients still come, and what they send counts as taken; so accepting
goes on for ``COMING`` seconds, with answers that close their connections; idle ones are closed at once.  What comes
later is refused at once, since the end may come before its answer; the rest is served to its end.  HUP: the
file is read again; a new address of discovery is followed from then on, and all else stays: router, tables,
requests, connections.  What can't be read changes nothing.
"""

from __future__ import annotations

import contextlib
import os
import signal
import sys
import threading
import time
from collections.abc import Callable, Mapping
from pathlib import Path

from stonetrack import simulator_adapter
from stonetrack.api import Action, Event, LoadReport
from stonetrack.clocks import node_clock
from stonetrack.edge import asks, metrics
from stonetrack.edge.abandoned import AbandonedReads
from stonetrack.edge.budget import divide
from stonetrack.edge.calls import Calls
from stonetrack.edge.config import Config, ConfigError, another_deployment, parse
from stonetrack.edge.engines import EdgeEngines
from stonetrack.edge.hosts import Hosts, HostsError
from stonetrack.edge.ids import SeenIds
from stonetrack.edge.leases import Leases
from stonetrack.edge.probes import Probes
from stonetrack.edge.sink import EdgeSink, whole
from stonetrack.edge.watch import Watch
from stonetrack.engines.pool import ConnectionPool
from stonetrack.frontend.connection import Connection, HttpRequest
from stonetrack.frontend.host import Host, listen
from stonetrack.node.core import Core
from stonetrack.node.records import Records
from stonetrack.node.request_runner import Bounds, RequestRunner, Waker
from stonetrack.settings.schema import Limits, Timing

SECOND = 1_000_000_000
STACK = 256 * 1024
BODY = 262_144  # bytes, the protocol's bound
SILENCE = 4 * SECOND + SECOND // 2  # a stream without an event for so long has broken
STALL = 10 * SECOND  # a client that takes nothing for so long has gone
COMING = 0.55  # seconds after TERM in which clients still come (0.2 to 0.4 by the protocol); 0.7 are too many
LONGEST_COUNTED = 3.0  # seconds of the longest deadline that count, after TERM, until KILL may come
KILLED_BEHIND = 0.7  # seconds more
KILL_MARGIN = 0.3  # seconds before that by which the node has ended
LAST_RELEASES = 0.5  # seconds after the last answer in which releases may still be heard, however late that comes
SIGNALS = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}


def log(text: str) -> None:
    """One line for the operators."""
    with contextlib.suppress(OSError):
        sys.stderr.write(f"{text}\n")
        sys.stderr.flush()


class EdgeNode:
    """See the module."""

    def __init__(self, config: Config, traced: bool = False) -> None:
        self.config, self._traced = config, traced
        self.clock = node_clock()
        budget = divide(config.limits.sockets, config.limits.memory_mb)
        self._told = simulator_adapter.Instance({**config.pairs, "entropy": str(config.seed)})
        record = self._recorder() if traced else None
        self.core = Core(
            self._told.router,
            self.clock,
            log=log,
            probe=self._probe,
            release=lambda request: self.leases.release(request),
            record=record,
        )
        settings = config.settings
        self.pool = ConnectionPool(budget.kept, config.connection_idle / SECOND / 2, budget.kept)
        connect = max(settings.connect_timeout, 1) / SECOND
        self.calls = Calls(self.pool, self.clock, connect)
        self.records = Records(self.clock, settings.release_within, log, log_all=traced)
        self.leases = Leases(self.calls, self.clock, settings.release_within, log=log, records=self.records)
        self.abandoned = AbandonedReads(
            self.clock,
            settings.release_within,
            self.leases.try_any,
            self.leases.try_one,
            self.records.needs_state,
            budget.abandoned,
            log,
        )
        self.probes = Probes(self.calls, self.clock, self._report, self.core.handle_event, log=log)
        self.engines = EdgeEngines(
            self.pool,
            self.leases,
            self.probes,
            self.clock,
            connect,
            self._report,
            log if traced else None,
            self.records,
            self.core.closed_for,
            self.abandoned,
        )
        self.hosts = Hosts(config.kinds, config.zones, tuple(kind.role for kind in settings.kinds))
        self.classes = {cls.name: n for n, cls in enumerate(settings.classes)}
        self.tenants = {tenant.name: n for n, tenant in enumerate(settings.tenants)}
        self.bounds = Bounds(SILENCE, STALL, 64 << 10)
        self.watch = Watch(config.discovery, lambda: self.hosts.rev, self._document, log)
        self._passed_over: frozenset[str] = frozenset()  # what the last list held that can't be used, and was said
        self._last_call = 0  # monotonic ns from which on requests are refused; 0 for never
        self._ids = SeenIds()
        self._ids_lock = threading.Lock()
        self.host = Host(
            listen(*config.listen, 1024),
            Limits(
                connections=budget.clients,
                workers=budget.requests,
                head_bytes=16_384,
                headers=64,
                body_bytes=BODY,
                socket_send_bytes=0,
            ),
            Timing(header_ms=2_000, body_ms=2_500, idle_ms=2_500, client_stall_ms=STALL // 1_000_000),
            self.handle,
            whole,
            log,
            budget.wakers,
        )

    @staticmethod
    def _recorder() -> Callable[[int, Event, list[Action]], None]:
        from stonetrack.edge.trace import recorder

        return recorder(log)

    def _report(self, pairs: str) -> LoadReport | None:
        try:
            return self._told.report({"health_info": pairs})
        except simulator_adapter.WireError:
            return None

    def _probe(self, server: str) -> None:
        self.engines.probe(server)

    def _document(self, data: bytes, fresh: bool, known: bool = False) -> None:
        """Take a list: addresses first, since the router may send to what it is told of at once.

        Raises HostsError for one that can't be read: what it told has to be asked for again, from the version held."""
        event = self.hosts.take(data, self.clock(), known, fresh)
        if event is None:
            return
        for each in self.hosts.passed_over:
            if each not in self._passed_over:
                log(f"server list: passed over {each}")
        self._passed_over = frozenset(self.hosts.passed_over)
        self.calls.forget(set(self.hosts.engines))
        self.engines.list_changed(dict(self.hosts.engines))
        self.core.handle_event(event)

    def start(self) -> None:
        """Take the list that came along, follow discovery, accept clients."""
        self.core.start()
        self.leases.start()
        self.abandoned.start()
        self.probes.start()
        if self.config.known:
            try:
                self._document(self.config.known, fresh=True, known=True)
            except HostsError as error:
                log(f"the list that the configuration brought is passed over: {error}")
        self.watch.start()
        self.host.start()

    def stop(self) -> None:
        """End everything at once."""
        self.watch.stop()
        self.host.stop()
        self.core.stop()
        self.abandoned.stop()
        self.leases.stop()
        self.probes.stop()
        self.pool.close()

    # Requests.

    def handle(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        """Serve one request; whether the connection may be kept."""
        head = request.head
        sink = EdgeSink(connection, request)
        if head.path == "/up" and head.method in ("GET", "HEAD"):
            return sink.respond(200, "up" if head.method == "GET" else "")
        if head.path == "/metrics" and head.method == "GET":
            return sink.respond(200, metrics.exposition(self))
        if head.path != asks.CHAT or head.method != "POST":
            return sink.respond(404, f"allowed: POST {asks.CHAT}, GET /up, GET /metrics")
        if self._last_call and request.arrived > self._last_call:
            return sink.respond(503, "this node is leaving: try again elsewhere")
        try:
            waited = time.monotonic_ns() - request.arrived
            ask = asks.ask(head, request.body, self.classes, waited, self.clock(), self.tenants)
        except asks.BadAsk as error:
            return sink.respond(error.status, str(error))
        with self._ids_lock:
            new = self._ids.take(ask.request_id, self.clock())
        if not new:
            return sink.respond(409, f"request {ask.request_id} has come before: every request needs an id of its own")
        cls = self.config.settings.classes[ask.class_index]
        self.records.open(ask.request_id, f"{cls.name} ({cls.effect.value})", cls.effect, ask.body.deadline)
        try:
            life = RequestRunner(self.core, self.engines, self.bounds, ask, sink, waker, self.records).run()
        finally:
            self.records.close(ask.request_id)
        return sink.keep and not life.client_gone

    # Signals.

    def reload(self, path: Path) -> None:
        """Take what may change in a configuration: where discovery is."""
        try:
            config = parse(path.read_bytes())
        except (OSError, ConfigError) as error:
            log(f"configuration refused, nothing changed: {error}")
            return
        if other := another_deployment(self.config, config):
            log(f"configuration refused, nothing changed: {path}: {other}")
            return
        log(f"configuration read again: discovery at {config.discovery[0]}:{config.discovery[1]}")
        self.watch.move(config.discovery)

    def tend(self) -> None:
        """What is looked after about once a second."""
        self.pool.prune()
        self.records.check()
        if self._traced:
            from stonetrack.edge.trace import beliefs

            lines: list[str] = []
            open_at = self.engines.open_attempts()
            self.core.run_exclusively(lambda: lines.extend(beliefs(self._told.router, open_at, self.engines.kept)))
            for line in lines:
                log(f"trace belief {line}")

    def _time_to_end(self) -> float:
        """Seconds after TERM in which the node is not killed yet."""
        longest = max(cls.deadline for cls in self.config.settings.classes) / SECOND
        return min(longest, LONGEST_COUNTED) + KILLED_BEHIND - KILL_MARGIN

    def drain(self) -> None:
        """Serve what was taken to its end; signals that come meanwhile change nothing."""
        told = time.monotonic()
        self._last_call = time.monotonic_ns() + int(COMING * SECOND)
        self.host.close_after_responses()
        time.sleep(COMING)
        self.host.drain(accept_queued=True)
        while self.core.open_requests:
            time.sleep(0.02)
        # What still comes is read and answered meanwhile: a sealed host would leave it to the end of the process.
        until = max(told + self._time_to_end(), time.monotonic() + LAST_RELEASES)
        while (self.leases.open or len(self.abandoned)) and time.monotonic() < until:
            time.sleep(0.02)
        while self.core.open_requests or not self.host.stop_reading_if_idle():
            time.sleep(0.02)
        self.leases.wait(1.0)


def run(environ: Mapping[str, str]) -> int:
    """Serve until TERM; the exit code."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    threading.stack_size(STACK)
    where = environ.get("EDGE_CONFIG", "")
    if not where:
        log("EDGE_CONFIG is not set; it names the node's configuration, a JSON file")
        return 2
    path = Path(where)
    try:
        node = EdgeNode(parse(path.read_bytes()), environ.get("EDGE_TRACE") == "1")
    except ConfigError as error:
        log(f"{path}: {error}")
        return 2
    except OSError as error:
        log(f"{path}: {error.strerror}; allowed: a readable file, naming an address to listen on that is free")
        return 2
    node.start()
    log(f"serving as {node.config.name} on {node.config.listen[0]}:{node.config.listen[1]}")
    while True:
        got = signal.sigtimedwait(SIGNALS, 1.0)
        # A process that was stopped beyond the time-out gets a record that nobody filled in (CPython 3.11: EINTR).
        if got is None or got.si_signo not in SIGNALS:
            node.tend()
        elif got.si_signo == signal.SIGHUP:
            node.reload(path)
        else:
            log(f"{signal.Signals(got.si_signo).name} from process {got.si_pid}: serving what was taken to its end")
            break
    node.drain()
    os._exit(0)
