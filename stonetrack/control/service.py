"""Sockets, threads and files of the control service.

    POST /node       a node's report; the answer waits until there is something for the node to do, or its wait ends
    PUT /settings    {"content", "kind", "share"}: a new version, for a share of the nodes or, at 1, for all
    POST /stage      {"number", "share"}: extend a staged version to a larger share
    POST /rollback   {"number"}: drop a staged version
                     all three: 409 for a leader whose term is over (X-Stonetrack-Term), or with the reason where the
                     change is not possible
    GET /versions, /nodes, /health, /metrics

What to do about stale nodes is decided in :mod:`.stale_nodes`, every ``CHECK_INTERVAL_S`` seconds and after each change
of the versions; versions are on disk before any node receives them.
"""

from __future__ import annotations

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

from stonetrack.control import history as versions
from stonetrack.control.documents import Document
from stonetrack.control.history import History, HistoryError
from stonetrack.control.messages import Answer, Report
from stonetrack.control.settings import SECOND, Control, rules
from stonetrack.control.stale_nodes import Evidence, Node, Order, decide_orders
from stonetrack.durable import save
from stonetrack.election.fencing import NO_TOKEN, TOKEN_HEADER, Fence, FencingError, Token, parse_token
from stonetrack.frontend.connection import Connection, HttpRequest
from stonetrack.frontend.host import Host, plain_response
from stonetrack.frontend.long_poll import LongPoll
from stonetrack.frontend.service_errors import error_body, rejection_response
from stonetrack.node.request_runner import Waker
from stonetrack.wire import json_limits

CHECK_INTERVAL_S = 0.2  # from one check of all nodes to the next, at least
NODES_CHECKED_PER_S = 5_000.0  # a check of so many nodes takes 0.1 s
FILE = "versions.json"
Log = Callable[..., None]


class StateError(ValueError):
    """A damaged state file; the text says what to do."""


class _StoredState(msgspec.Struct):
    documents: list[Document]
    base: int
    candidate: int
    share: float
    first: list[str] = []
    owner: Token = NO_TOKEN
    orders: dict[str, int] = {}  # number of the last order, by node that was ever fenced


class _PublishRequest(msgspec.Struct, forbid_unknown_fields=True):
    content: dict[str, Any]
    kind: str = "rule"
    share: float = 1.0


class _StageRequest(msgspec.Struct, forbid_unknown_fields=True):
    number: int
    share: float = 0.0


class _Counts(msgspec.Struct):
    """A node's requests; ``before_…`` are those up to the last change of the desired versions."""

    asked: int = 0
    served: int = 0
    past_asked: int = 0  # of its earlier processes
    past_served: int = 0
    boot: str = ""
    before_asked: int = 0
    before_served: int = 0


class Service:
    """The control service.  Raises StateError for a damaged state file."""

    def __init__(self, settings: Control, listener: socket, log: Log) -> None:
        self.settings, self._log = settings, log
        self._rules = rules(settings)
        self._path = Path(settings.state_dir) / FILE
        self.history, owner, fence_orders = self._restore()
        self._fence = Fence("the settings", owner)
        self._lock = threading.Lock()
        now = time.monotonic_ns()
        self.nodes: dict[str, Node] = {name: Node(name, now, fence_order=order) for name, order in fence_orders.items()}
        self._counts: dict[str, _Counts] = {}
        self._orders: dict[str, tuple[Order, Evidence]] = {}
        self._stored_orders = fence_orders  # on disk
        self._restarts: dict[str, str] = {}  # node: boot name of the process that is to restart
        self._waiting = LongPoll()
        self.answers: Counter[str] = Counter()
        self._done = threading.Event()
        self.host = Host(listener, settings.limits, settings.timing, self._handle, rejection_response, log)
        self._checker = threading.Thread(target=self._run_checks, name="look", daemon=True)
        self._metrics = CollectorRegistry()
        self._metrics.register(_Metrics(self))

    def _restore(self) -> tuple[History, Token, dict[str, int]]:
        if not self._path.exists():
            return History(), NO_TOKEN, {}
        try:
            stored = msgspec.json.decode(self._path.read_bytes(), type=_StoredState)
            history = versions.from_fields(stored.documents, stored.base, stored.candidate, stored.share, stored.first)
            return history, stored.owner, stored.orders
        except (msgspec.DecodeError, HistoryError) as error:
            raise StateError(f"{self._path}: {error}; repair the file, or restore a copy") from None

    def start(self) -> None:
        """Start to serve."""
        threading.stack_size(self.settings.limits.stack_kib * 1024)
        self.host.start()
        self._checker.start()
        self._log("started", version=self.history.newest.number, base=self.history.base, staged=self.history.candidate)

    def stop(self) -> None:
        """Answer the waiting reports, drain connections and stop."""
        self._waiting.stop()
        self.host.drain()
        end = time.monotonic() + self.settings.timing.drain_ms / 1_000.0
        while self.host.busy and time.monotonic() < end:
            time.sleep(0.02)
        self._done.set()
        self.host.stop()

    # Versions.

    def change(self, token: Token | None, transition: Callable[[History], History], what: str) -> History:
        """Apply a leader's change.  Raises FencingError, HistoryError or OSError and then changes nothing."""
        with self._lock:
            before = self.history
            self._fence.check(token)
            after = transition(before)
            known = token if token is not None else self._fence.known
            if after is not before or known != self._fence.known:
                self._store(after, known, self.nodes)
            self._fence.admit(token)
            self.history = after
            if after is not before:
                for counts in self._counts.values():  # so that all nodes are compared over the same time
                    counts.before_asked, counts.before_served = counts.asked, counts.served
                self._log("version", what=what, number=after.newest.number, base=after.base, staged=after.candidate,
                          share=after.share, term=known.term, digest=after.newest.digest)  # fmt: skip
        if after is not before:
            self._check_nodes()
            self._waiting.notify()
        return after

    def _store(self, history: History, owner: Token, nodes: dict[str, Node]) -> None:
        """Write the state to disk, under the lock.  Raises OSError and then leaves the stored state as it was."""
        fence_orders = {name: node.fence_order for name, node in nodes.items() if node.fence_order}
        stored = _StoredState(owner=owner, orders=fence_orders, **versions.to_fields(history))
        self._path.parent.mkdir(parents=True, exist_ok=True)
        save(self._path, msgspec.json.encode(stored))
        self._stored_orders = fence_orders

    # Nodes.

    def record_report(self, report: Report) -> None:
        """Update what is known of a node."""
        now = time.monotonic_ns()
        with self._lock:
            node = self.nodes.get(report.name) or Node(report.name, now, report.boot)
            if node.boot != report.boot and self._restarts.pop(report.name, None) is not None:
                self._log("started anew, as told", node=report.name)
            node = node.reported(now, report.boot, report.running, report.digest, report.acting, report.refused,
                                 report.why, report.order)  # fmt: skip
            self.nodes[report.name] = node.with_desired(now, self.history.desired(report.name).number)
            counts = self._counts.setdefault(report.name, _Counts(boot=report.boot))
            if counts.boot != report.boot:
                counts.past_asked, counts.past_served = counts.asked, counts.served
                counts.boot = report.boot
            counts.asked, counts.served = counts.past_asked + report.asked, counts.past_served + report.served

    def _check_nodes(self) -> None:
        """Forget nodes that were silent for too long, and decide the orders of the others."""
        now = time.monotonic_ns()
        with self._lock:
            gone = [n for n, node in self.nodes.items() if now - node.last_report > self.settings.forget_s * SECOND]
            for name in gone:
                del self.nodes[name]
                self._counts.pop(name, None)
            desired = {}
            for name in self.nodes:
                document = self.history.desired(name)
                desired[name] = document.number, document.digest, document.kind
            before, before_orders = self.nodes, self._orders
            after, decided = decide_orders(before, desired, now, self._rules)
            if any(node.fenced and self._stored_orders.get(name) != node.fence_order for name, node in after.items()):
                try:
                    self._store(self.history, self._fence.known, after)  # before any node receives an order
                except OSError as error:
                    self._log("orders can't be kept, so none is given", why=str(error))
                    return
            self.nodes, self._orders = after, decided
            changed = False
            for name, (order, seen) in self._orders.items():
                if order is Order.RESTART:
                    self._restarts[name] = self.nodes[name].boot
                if (order, seen) != before_orders.get(name) and (order is not Order.NONE or before[name].fenced):
                    changed = True
                    self._log("stale node" if order is not Order.NONE else "back", node=name, evidence=seen.value,
                              order=order.value, wanted=desired[name][0], runs=self.nodes[name].running,
                              why=self.nodes[name].why)  # fmt: skip
        if changed:
            self._waiting.notify()

    def _run_checks(self) -> None:
        while not self._done.wait(max(CHECK_INTERVAL_S, len(self.nodes) / NODES_CHECKED_PER_S)):
            self._check_nodes()

    def answer(self, report: Report) -> tuple[Answer, bool]:
        """Return what this node is to do now, and whether that is urgent."""
        with self._lock:
            document = self.history.desired(report.name)
            node = self.nodes.get(report.name)
            fenced, order = node is not None and node.fenced, node.fence_order if node is not None else 0
            seen = self._orders.get(report.name, (Order.NONE, Evidence.CURRENT))[1]
            restart = self._restarts.get(report.name) == report.boot
        change = self.settings.rule if document.kind == "rule" else self.settings.weight
        lags = document.number > report.running and document.number != report.refused
        behind = document.number > report.running  # sent with each answer, also where the node rejected it
        answer = Answer(
            int(self.settings.permit_s * 1_000), change.steps_out, document if behind else None,
            f"{seen.value}: version {document.number} is to be run" if fenced else "", document.number, restart,
            order,
        )  # fmt: skip
        return answer, lags or restart

    def _handle(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        head = request.head
        keep = head.keep_alive and not self._waiting.stopping
        if head.path == "/node" and head.method == "POST":
            return self._answer_node(connection, request, waker, keep)
        status, body = self._call(head.method, head.path, request.body, head.headers.get(TOKEN_HEADER.lower()))
        kind = "text/plain; version=0.0.4" if head.path == "/metrics" else "application/json"
        connection.write(plain_response(status, body, (), kind, keep))
        return keep

    def _call(self, method: str, path: str, data: bytes, owner: str) -> tuple[int, bytes]:
        match method, path:
            case "GET", "/health":
                health = {"status": "draining" if self._waiting.stopping else "ok",
                          "version": self.history.newest.number, "nodes": len(self.nodes)}  # fmt: skip
                return 200, msgspec.json.encode(health)
            case "GET", "/metrics":
                return 200, generate_latest(self._metrics)
            case "GET", "/versions":
                with self._lock:
                    return 200, msgspec.json.encode(versions.to_fields(self.history))
            case "GET", "/nodes":
                return 200, msgspec.json.encode(self.table())
            case ("PUT", "/settings") | ("POST", "/stage") | ("POST", "/rollback"):
                return self._change_versions(path, data, owner)
        served = "served here: POST /node, /stage, /rollback, PUT /settings, GET /versions, /nodes, /health, /metrics"
        return 404, error_body(served)

    def _change_versions(self, path: str, data: bytes, owner: str) -> tuple[int, bytes]:
        try:
            token = parse_token(owner)
            publisher = token or NO_TOKEN
            if path == "/settings":
                published = json_limits.decode_as(data, _PublishRequest)
                after = self.change(
                    token, lambda h: h.published(published.content, published.kind, published.share, publisher.term,
                                                 publisher.owner, self.nodes,
                                                 max((n.running for n in self.nodes.values()), default=0)),
                    "published")  # fmt: skip
            else:
                staged = json_limits.decode_as(data, _StageRequest)
                if path == "/stage":
                    after = self.change(token, lambda h: h.staged(staged.number, staged.share, self.nodes), "staged")
                else:
                    after = self.change(
                        token, lambda h: h.rolled_back(staged.number, publisher.term, publisher.owner),
                        "rolled back")  # fmt: skip
        except FencingError as error:
            self.answers["refused"] += 1
            return 409, msgspec.json.encode({"error": str(error), "known": error.known})
        except HistoryError as error:
            return 409, error_body(str(error))
        except (msgspec.DecodeError, ValueError) as error:
            return 400, error_body(str(error))
        except OSError as error:  # a version that is not stored is not sent to any node
            return 500, error_body(f"the version can't be kept: {error}")
        return 200, msgspec.json.encode({"number": after.newest.number, "base": after.base, "staged": after.candidate})

    def _answer_node(self, connection: Connection, request: HttpRequest, waker: Waker, keep: bool) -> bool:
        try:
            report = json_limits.decode_as(request.body, Report)
        except msgspec.DecodeError as error:
            connection.write(plain_response(400, error_body(str(error)), keep=keep))
            return keep
        self.record_report(report)
        wait = min(report.wait_ms, int(self.settings.wait_s * 1_000))
        first, urgent = self.answer(report)
        answer = first
        if wait > 0 and not urgent:
            connected = self._waiting.wait(connection, waker, wait, lambda: self._changed(report, first))
            if not connected:
                return False
            answer, _ = self.answer(report)
        self.answers["documents" if answer.document is not None else "permits"] += 1
        connection.write(plain_response(200, msgspec.json.encode(answer), keep=keep))
        return keep

    def _changed(self, report: Report, first: Answer) -> bool:
        answer, urgent = self.answer(report)
        return urgent or answer.out != first.out or answer.steps_out != first.steps_out

    def table(self) -> list[dict[str, Any]]:
        """Return the rows of ``GET /nodes``."""
        now = time.monotonic_ns()
        with self._lock:
            rows = []
            for name, node in sorted(self.nodes.items()):
                counts = self._counts.get(name, _Counts())
                order, seen = self._orders.get(name, (Order.NONE, Evidence.CURRENT))
                rows.append({
                    "name": name, "wanted": self.history.desired(name).number, "runs": node.running,
                    "evidence": seen.value, "order": order.value, "out": node.fenced, "turned_down": node.refused,
                    "why": node.why, "heard_s": round((now - node.last_report) / SECOND, 3),
                    "staged": bool(self.history.candidate) and self.history.desired(name).number
                    == self.history.candidate,
                    "asked": counts.asked - counts.before_asked, "served": counts.served - counts.before_served,
                    "asked_before": counts.before_asked, "served_before": counts.before_served,
                })  # fmt: skip
            return rows


class _Metrics(Collector):
    """Metrics of the service, read at each scrape."""

    def __init__(self, service: Service) -> None:
        self._service = service

    def collect(self) -> Iterable[Metric]:
        """See ``prometheus_client.registry.Collector``."""
        service = self._service
        yield GaugeMetricFamily("stonetrack_control_version", "Last version published",
                                value=service.history.newest.number)  # fmt: skip
        yield GaugeMetricFamily("stonetrack_control_staged", "Share of the nodes that a staged version is for",
                                value=service.history.share)  # fmt: skip
        seen = Counter(row["evidence"] for row in service.table())
        nodes = GaugeMetricFamily("stonetrack_control_nodes", "Nodes by what is known of them", labels=["evidence"])
        for each in Evidence:
            nodes.add_metric([each.value], seen[each.value])
        yield nodes
        yield GaugeMetricFamily("stonetrack_control_out", "Nodes that are shut out",
                                value=sum(node.fenced for node in list(service.nodes.values())))  # fmt: skip
        answers = CounterMetricFamily("stonetrack_control_answers", "Answers, by what they were", labels=["what"])
        for what, count in list(service.answers.items()):
            answers.add_metric([what], count)
        yield answers


def run(settings: Control, listener: socket, log: Log, ready: Callable[[], None], until: threading.Event) -> None:
    """Serve until ``until`` is set."""
    service = Service(settings, listener, log)
    service.start()
    ready()
    until.wait()
    service.stop()
