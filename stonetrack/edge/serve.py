"""One node in service: what it is told, its parts put together, its signals, its end.

Signals are waited for by the main thread alone (``sigtimedwait``), blocked everywhere else, so that none can come
between two steps of anything.  TERM: for a while clients still come, and what they send counts as taken; so accepting
goes on for ``ACCEPTING_S`` seconds, with answers that close their connections; idle ones are closed at once.
What comes
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
from stonetrack.edge import metrics, requests
from stonetrack.edge.abandoned import AbandonedPrefills
from stonetrack.edge.budget import divide_budget
from stonetrack.edge.calls import EngineCalls
from stonetrack.edge.config import Config, ConfigError, deployment_mismatch, parse
from stonetrack.edge.engine_table import EngineTable, ServerListError
from stonetrack.edge.engines import EdgeEngines
from stonetrack.edge.probes import Probes
from stonetrack.edge.releases import Releases
from stonetrack.edge.request_ids import RecentRequestIds
from stonetrack.edge.sink import EdgeSink, plain_response
from stonetrack.edge.watch import DiscoveryWatch
from stonetrack.engines.pool import Pool
from stonetrack.frontend.connection import Connection, Request
from stonetrack.frontend.host import Host, listen
from stonetrack.node.core import Core
from stonetrack.node.drive import Bounds, Drive, Waker
from stonetrack.node.records import Records
from stonetrack.settings.schema import Limits, Timing

SECOND = 1_000_000_000
STACK_BYTES = 256 * 1024
MAX_BODY_BYTES = 262_144  # bytes, the protocol's bound
STREAM_SILENCE_NS = 4 * SECOND + SECOND // 2  # a stream without an event for so long has broken
CLIENT_STALL_NS = 10 * SECOND  # a client that takes nothing for so long has gone
ACCEPTING_S = 0.55  # seconds after TERM in which clients still come (0.2 to 0.4 by the protocol); 0.7 are too many
MAX_COUNTED_DEADLINE_S = 3.0  # seconds of the longest deadline that count, after TERM, until KILL may come
KILL_AFTER_DEADLINE_S = 0.7  # seconds more
KILL_MARGIN_S = 0.3  # seconds before that by which the node has ended
LAST_RELEASES_S = 0.5  # seconds after the last answer in which releases may still be heard, however late that comes
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
        budget = divide_budget(config.limits.sockets, config.limits.memory_mb)
        self._told = simulator_adapter.Instance({**config.settings_pairs, "entropy": str(config.seed)})
        record = self._recorder() if traced else None
        self.core = Core(
            self._told.router,
            self.clock,
            log=log,
            probe=self._probe,
            release=lambda request: self.releases.release(request),
            record=record,
        )
        settings = config.settings
        self.pool = Pool(budget.idle_connections, config.engine_idle_ns / SECOND / 2, budget.idle_connections)
        connect = max(settings.connect_timeout, 1) / SECOND
        self.calls = EngineCalls(self.pool, self.clock, connect)
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
        self.probes = Probes(self.calls, self.clock, self._report, self.core.tell, log=log)
        self.engines = EdgeEngines(
            self.pool,
            self.releases,
            self.probes,
            self.clock,
            connect,
            self._report,
            log if traced else None,
            self.records,
            self.core.closed_for,
            self.abandoned,
        )
        self.engine_table = EngineTable(config.kinds, config.zones, tuple(kind.role for kind in settings.kinds))
        self.classes = {cls.name: n for n, cls in enumerate(settings.classes)}
        self.tenants = {tenant.name: n for n, tenant in enumerate(settings.tenants)}
        self.bounds = Bounds(STREAM_SILENCE_NS, CLIENT_STALL_NS, 64 << 10)
        self.watch = DiscoveryWatch(config.discovery, lambda: self.engine_table.rev, self._document, log)
        self._passed_over: frozenset[str] = frozenset()  # what the last list held that can't be used, and was said
        self._last_call = 0  # monotonic ns from which on requests are refused; 0 for never
        self._ids = RecentRequestIds()
        self._ids_lock = threading.Lock()
        self.host = Host(
            listen(*config.listen, 1024),
            Limits(
                connections=budget.clients,
                workers=budget.requests,
                head_bytes=16_384,
                headers=64,
                body_bytes=MAX_BODY_BYTES,
                socket_send_bytes=0,
            ),
            Timing(header_ms=2_000, body_ms=2_500, idle_ms=2_500, client_stall_ms=CLIENT_STALL_NS // 1_000_000),
            self.handle,
            plain_response,
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

        Raises ServerListError for one that can't be read: what it told has to be asked for again, from the version
        held."""
        event = self.engine_table.apply(data, self.clock(), known, fresh)
        if event is None:
            return
        for each in self.engine_table.skipped:
            if each not in self._passed_over:
                log(f"server list: passed over {each}")
        self._passed_over = frozenset(self.engine_table.skipped)
        self.calls.retain(set(self.engine_table.engines))
        self.engines.list_changed(dict(self.engine_table.engines))
        self.core.tell(event)

    def start(self) -> None:
        """Take the list that came along, follow discovery, accept clients."""
        self.core.start()
        self.releases.start()
        self.abandoned.start()
        self.probes.start()
        if self.config.initial_list:
            try:
                self._document(self.config.initial_list, fresh=True, known=True)
            except ServerListError as error:
                log(f"the list that the configuration brought is passed over: {error}")
        self.watch.start()
        self.host.start()

    def stop(self) -> None:
        """End everything at once."""
        self.watch.stop()
        self.host.stop()
        self.core.stop()
        self.abandoned.stop()
        self.releases.stop()
        self.probes.stop()
        self.pool.close()

    # Requests.

    def handle(self, connection: Connection, request: Request, waker: Waker) -> bool:
        """Serve one request; whether the connection may be kept."""
        head = request.head
        sink = EdgeSink(connection, request)
        if head.path == "/up" and head.method in ("GET", "HEAD"):
            return sink.respond(200, "up" if head.method == "GET" else "")
        if head.path == "/metrics" and head.method == "GET":
            return sink.respond(200, metrics.exposition(self))
        if head.path != requests.CHAT_PATH or head.method != "POST":
            return sink.respond(404, f"allowed: POST {requests.CHAT_PATH}, GET /up, GET /metrics")
        if self._last_call and request.arrived > self._last_call:
            return sink.respond(503, "this node is leaving: try again elsewhere")
        try:
            waited = time.monotonic_ns() - request.arrived
            ask = requests.parse_request(head, request.body, self.classes, waited, self.clock(), self.tenants)
        except requests.BadRequest as error:
            return sink.respond(error.status, str(error))
        with self._ids_lock:
            new = self._ids.add(ask.request, self.clock())
        if not new:
            return sink.respond(409, f"request {ask.request} has come before: every request needs an id of its own")
        cls = self.config.settings.classes[ask.class_index]
        self.records.open(ask.request, f"{cls.name} ({cls.effect.value})", cls.effect, ask.body.deadline)
        try:
            life = Drive(self.core, self.engines, self.bounds, ask, sink, waker, self.records).run()
        finally:
            self.records.close(ask.request)
        return sink.keep and not life.gone

    # Signals.

    def reload(self, path: Path) -> None:
        """Take what may change in a configuration: where discovery is."""
        try:
            config = parse(path.read_bytes())
        except (OSError, ConfigError) as error:
            log(f"configuration refused, nothing changed: {error}")
            return
        if other := deployment_mismatch(self.config, config):
            log(f"configuration refused, nothing changed: {path}: {other}")
            return
        log(f"configuration read again: discovery at {config.discovery[0]}:{config.discovery[1]}")
        self.watch.change_address(config.discovery)

    def maintain(self) -> None:
        """What is looked after about once a second."""
        self.pool.prune()
        self.records.check()
        if self._traced:
            from stonetrack.edge.trace import server_lines

            lines: list[str] = []
            open_at = self.engines.open_attempts()
            self.core.still(
                lambda: lines.extend(server_lines(self._told.router, open_at, self.engines.idle_connections))
            )
            for line in lines:
                log(f"trace belief {line}")

    def _time_to_end(self) -> float:
        """Seconds after TERM in which the node is not killed yet."""
        longest = max(cls.deadline for cls in self.config.settings.classes) / SECOND
        return min(longest, MAX_COUNTED_DEADLINE_S) + KILL_AFTER_DEADLINE_S - KILL_MARGIN_S

    def drain(self) -> None:
        """Serve what was taken to its end; signals that come meanwhile change nothing."""
        told = time.monotonic()
        self._last_call = time.monotonic_ns() + int(ACCEPTING_S * SECOND)
        self.host.leave()
        time.sleep(ACCEPTING_S)
        self.host.drain(sweep=True)
        while self.core.open_requests:
            time.sleep(0.02)
        # What still comes is read and answered meanwhile: a sealed host would leave it to the end of the process.
        until = max(told + self._time_to_end(), time.monotonic() + LAST_RELEASES_S)
        while (self.releases.open or len(self.abandoned)) and time.monotonic() < until:
            time.sleep(0.02)
        while self.core.open_requests or not self.host.seal():
            time.sleep(0.02)
        self.releases.wait(1.0)


def run(environ: Mapping[str, str]) -> int:
    """Serve until TERM; the exit code."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    threading.stack_size(STACK_BYTES)
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
            node.maintain()
        elif got.si_signo == signal.SIGHUP:
            node.reload(path)
        else:
            log(f"{signal.Signals(got.si_signo).name} from process {got.si_pid}: serving what was taken to its end")
            break
    node.drain()
    os._exit(0)
