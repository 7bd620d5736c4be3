"""The control service's sockets, threads and files.

    POST /node       a node's report; the answer waits until there is something to do for it, or its time is over
    PUT /settings    {"content", "kind", "share"}: one more version, for a share of the nodes or, at 1, for all
    POST /stage      {"number", "share"}: a staged version goes on
    POST /rollback   {"number"}: a staged version is given up
                     all three: 409 for an owner whose term is over (X-Stonetrack-Term), or with why it can't be done
    GET /versions, /nodes, /health, /metrics

What is done about stale nodes is decided in :mod:`.stale_nodes`, every ``LOOK`` seconds and at each report; versions
are on disk before any node hears of them.
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
from stonetrack.control.stale_nodes import Evidence, Node, Order, orders
from stonetrack.durable import save
from stonetrack.election.fencing import NO_TOKEN, TOKEN_HEADER, Fence, FencingError, Token, parse_token
from stonetrack.frontend.connection import Connection, HttpRequest
from stonetrack.frontend.host import Host, plain_response
from stonetrack.frontend.long_poll import LongPoll
from stonetrack.frontend.service_errors import error_body, rejection_response
from stonetrack.node.request_runner import Waker

LOOK = 0.2  # seconds from one look at all nodes to the next, at the least
LOOKED_AT = 5_000.0  # nodes a second: a look at so many takes 0.1 s
FILE = "versions.json"
Log = Callable[..., None]


class StateError(ValueError):
    """A state that can't be read; the text says what to do."""


class _Kept(msgspec.Struct):
    documents: list[Document]
    base: int
    candidate: int
    share: float
    first: list[str] = []
    owner: Token = NO_TOKEN
    orders: dict[str, int] = {}  # the last one given, by node that was ever ordered out


class _Put(msgspec.Struct, forbid_unknown_fields=True):
    content: dict[str, Any]
    kind: str = "rule"
    share: float = 1.0


class _Stage(msgspec.Struct, forbid_unknown_fields=True):
    number: int
    share: float = 0.0


class _Counts(msgspec.Struct):
    """A node's requests; ``before`` are those up to the last change of who is to run what."""

    asked: int = 0
    served: int = 0
    past_asked: int = 0  # of its processes before
    past_served: int = 0
    boot: str = ""
    before_asked: int = 0
    before_served: int = 0


class Service:
    """See the module.  Raises StateError for a damaged state folder."""

    def __init__(self, settings: Control, listener: socket, log: Log) -> None:
        self.settings, self._log = settings, log
        self._rules = rules(settings)
        self._path = Path(settings.state_dir) / FILE
        self.history, owner, given = self._restore()
        self._fence = Fence("the settings", owner)
        self._lock = threading.Lock()
        now = time.monotonic_ns()
        self.nodes: dict[str, Node] = {name: Node(name, now, order=order) for name, order in given.items()}
        self._counts: dict[str, _Counts] = {}
        self._orders: dict[str, tuple[Order, Evidence]] = {}
        self._kept_orders = given  # on disk
        self._restarts: dict[str, str] = {}  # node: the process that is to start anew
        self._waiting = LongPoll()
        self.answers: Counter[str] = Counter()
        self._done = threading.Event()
        self.host = Host(listener, settings.limits, settings.timing, self._handle, rejection_response, log)
        self._looker = threading.Thread(target=self._look_on, name="look", daemon=True)
        self._metrics = CollectorRegistry()
        self._metrics.register(_Figures(self))

    def _restore(self) -> tuple[History, Token, dict[str, int]]:
        if not self._path.exists():
            return History(), NO_TOKEN, {}
        try:
            kept = msgspec.json.decode(self._path.read_bytes(), type=_Kept)
            made = versions.restored(kept.documents, kept.base, kept.candidate, kept.share, kept.first)
            return made, kept.owner, kept.orders
        except (msgspec.DecodeError, HistoryError) as error:
            raise StateError(f"{self._path}: {error}; mend it, or put a copy back") from None

    def start(self) -> None:
        """Serve."""
        threading.stack_size(self.settings.limits.stack_kib * 1024)
        self.host.start()
        self._looker.start()
        self._log("started", version=self.history.newest.number, base=self.history.base, staged=self.history.candidate)

    def stop(self) -> None:
        """Answer those that wait, and end."""
        self._waiting.stop()
        self.host.drain()
        end = time.monotonic() + self.settings.timing.drain_ms / 1_000.0
        while self.host.busy and time.monotonic() < end:
            time.sleep(0.02)
        self._done.set()
        self.host.stop()

    # Versions.

    def change(self, token: Token | None, how: Callable[[History], History], what: str) -> History:
        """Take an owner's effect.  Raises FencingError, HistoryError, OSError; then all is as it was."""
        with self._lock:
            before = self.history
            self._fence.check(token)
            after = how(before)
            known = token if token is not None else self._fence.known
            if after is not before or known != self._fence.known:
                self._keep(after, known, self.nodes)
            self._fence.admit(token)
            self.history = after
            if after is not before:
                for counts in self._counts.values():  # all nodes are compared over the same time
                    counts.before_asked, counts.before_served = counts.asked, counts.served
                self._log("version", what=what, number=after.newest.number, base=after.base, staged=after.candidate,
                          share=after.share, term=known.term, digest=after.newest.digest)  # fmt: skip
        if after is not before:
            self._look()
            self._waiting.notify()
        return after

    def _keep(self, history: History, owner: Token, nodes: dict[str, Node]) -> None:
        """Write it down, under the lock.  Raises OSError, and what was kept before stays."""
        given = {name: node.order for name, node in nodes.items() if node.order}
        kept = _Kept(owner=owner, orders=given, **versions.fields(history))
        self._path.parent.mkdir(parents=True, exist_ok=True)
        save(self._path, msgspec.json.encode(kept))
        self._kept_orders = given

    # Nodes.

    def heard(self, report: Report) -> None:
        """A node's report."""
        now = time.monotonic_ns()
        with self._lock:
            node = self.nodes.get(report.name) or Node(report.name, now, report.boot)
            if node.boot != report.boot and self._restarts.pop(report.name, None) is not None:
                self._log("started anew, as told", node=report.name)
            node = node.reported(now, report.boot, report.running, report.digest, report.acting, report.refused,
                                 report.why, report.order)  # fmt: skip
            self.nodes[report.name] = node.to_run(now, self.history.wanted(report.name).number)
            counts = self._counts.setdefault(report.name, _Counts(boot=report.boot))
            if counts.boot != report.boot:
                counts.past_asked, counts.past_served = counts.asked, counts.served
                counts.boot = report.boot
            counts.asked, counts.served = counts.past_asked + report.asked, counts.past_served + report.served

    def _look(self) -> None:
        """Decide about the nodes."""
        now = time.monotonic_ns()
        with self._lock:
            gone = [n for n, node in self.nodes.items() if now - node.heard > self.settings.forget_s * SECOND]
            for name in gone:
                del self.nodes[name]
                self._counts.pop(name, None)
            wanted = {}
            for name in self.nodes:
                document = self.history.wanted(name)
                wanted[name] = document.number, document.digest, document.kind
            before, before_orders = self.nodes, self._orders
            after, decided = orders(before, wanted, now, self._rules)
            if any(node.out and self._kept_orders.get(name) != node.order for name, node in after.items()):
                try:
                    self._keep(self.history, self._fence.known, after)  # before anybody hears of an order
                except OSError as error:
                    self._log("orders can't be kept, so none is given", why=str(error))
                    return
            self.nodes, self._orders = after, decided
            changed = False
            for name, (order, seen) in self._orders.items():
                if order is Order.RESTART:
                    self._restarts[name] = self.nodes[name].boot
                if (order, seen) != before_orders.get(name) and (order is not Order.NONE or before[name].out):
                    changed = True
                    self._log("stale node" if order is not Order.NONE else "back", node=name, evidence=seen.value,
                              order=order.value, wanted=wanted[name][0], runs=self.nodes[name].running,
                              why=self.nodes[name].why)  # fmt: skip
        if changed:
            self._waiting.notify()

    def _look_on(self) -> None:
        while not self._done.wait(max(LOOK, len(self.nodes) / LOOKED_AT)):
            self._look()

    def answer(self, report: Report) -> tuple[Answer, bool]:
        """What this node is to do now, and whether there is anything that can't wait."""
        with self._lock:
            document = self.history.wanted(report.name)
            node = self.nodes.get(report.name)
            out, order = node is not None and node.out, node.order if node is not None else 0
            seen = self._orders.get(report.name, (Order.NONE, Evidence.CURRENT))[1]
            restart = self._restarts.get(report.name) == report.boot
        change = self.settings.rule if document.kind == "rule" else self.settings.weight
        lags = document.number > report.running and document.number != report.refused
        behind = document.number > report.running  # told again with each answer, also where it was turned down
        made = Answer(
            int(self.settings.permit_s * 1_000), change.steps_out, document if behind else None,
            f"{seen.value}: version {document.number} is to be run" if out else "", document.number, restart,
            order,
        )  # fmt: skip
        return made, lags or restart

    def _handle(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        head = request.head
        keep = head.keep_alive and not self._waiting.stopping
        if head.path == "/node" and head.method == "POST":
            return self._node(connection, request, waker, keep)
        status, body = self._call(head.method, head.path, request.body, head.headers.get(TOKEN_HEADER.lower()))
        kind = "text/plain; version=0.0.4" if head.path == "/metrics" else "application/json"
        connection.write(plain_response(status, body, (), kind, keep))
        return keep

    def _call(self, method: str, path: str, data: bytes, owner: str) -> tuple[int, bytes]:
        match method, path:
            case "GET", "/health":
                told = {"status": "draining" if self._waiting.stopping else "ok",
                        "version": self.history.newest.number, "nodes": len(self.nodes)}  # fmt: skip
                return 200, msgspec.json.encode(told)
            case "GET", "/metrics":
                return 200, generate_latest(self._metrics)
            case "GET", "/versions":
                with self._lock:
                    return 200, msgspec.json.encode(versions.fields(self.history))
            case "GET", "/nodes":
                return 200, msgspec.json.encode(self.table())
            case ("PUT", "/settings") | ("POST", "/stage") | ("POST", "/rollback"):
                return self._effect(path, data, owner)
        served = "served here: POST /node, /stage, /rollback, PUT /settings, GET /versions, /nodes, /health, /metrics"
        return 404, error_body(served)

    def _effect(self, path: str, data: bytes, owner: str) -> tuple[int, bytes]:
        try:
            token = parse_token(owner)
            who = token or NO_TOKEN
            if path == "/settings":
                put = msgspec.json.decode(data, type=_Put)
                after = self.change(
                    token, lambda h: h.published(put.content, put.kind, put.share, who.term, who.owner, self.nodes,
                                                 max((n.running for n in self.nodes.values()), default=0)),
                    "published")  # fmt: skip
            else:
                asked = msgspec.json.decode(data, type=_Stage)
                if path == "/stage":
                    after = self.change(token, lambda h: h.staged(asked.number, asked.share, self.nodes), "staged")
                else:
                    after = self.change(
                        token, lambda h: h.rolled_back(asked.number, who.term, who.owner), "rolled back")  # fmt: skip
        except FencingError as error:
            self.answers["refused"] += 1
            return 409, msgspec.json.encode({"error": str(error), "known": error.known})
        except HistoryError as error:
            return 409, error_body(str(error))
        except (msgspec.DecodeError, ValueError) as error:
            return 400, error_body(str(error))
        except OSError as error:  # it can't be kept, so nobody is told of it
            return 500, error_body(f"the version can't be kept: {error}")
        return 200, msgspec.json.encode({"number": after.newest.number, "base": after.base, "staged": after.candidate})

    def _node(self, connection: Connection, request: HttpRequest, waker: Waker, keep: bool) -> bool:
        try:
            report = msgspec.json.decode(request.body, type=Report)
        except msgspec.DecodeError as error:
            connection.write(plain_response(400, error_body(str(error)), keep=keep))
            return keep
        self.heard(report)
        wait = min(report.wait_ms, int(self.settings.wait_s * 1_000))
        first, urgent = self.answer(report)
        answer = first
        if wait > 0 and not urgent:
            there = self._waiting.wait(connection, waker, wait, lambda: self._changed(report, first))
            if not there:
                return False
            answer, _ = self.answer(report)
        self.answers["documents" if answer.document is not None else "permits"] += 1
        connection.write(plain_response(200, msgspec.json.encode(answer), keep=keep))
        return keep

    def _changed(self, report: Report, first: Answer) -> bool:
        answer, urgent = self.answer(report)
        return urgent or answer.out != first.out or answer.steps_out != first.steps_out

    def table(self) -> list[dict[str, Any]]:
        """Every node as it is known."""
        now = time.monotonic_ns()
        with self._lock:
            rows = []
            for name, node in sorted(self.nodes.items()):
                counts = self._counts.get(name, _Counts())
                order, seen = self._orders.get(name, (Order.NONE, Evidence.CURRENT))
                rows.append({
                    "name": name, "wanted": self.history.wanted(name).number, "runs": node.running,
                    "evidence": seen.value, "order": order.value, "out": node.out, "turned_down": node.refused,
                    "why": node.why, "heard_s": round((now - node.heard) / SECOND, 3),
                    "staged": bool(self.history.candidate) and self.history.wanted(name).number
                    == self.history.candidate,
                    "asked": counts.asked - counts.before_asked, "served": counts.served - counts.before_served,
                    "asked_before": counts.before_asked, "served_before": counts.before_served,
                })  # fmt: skip
            return rows


class _Figures(Collector):
    """The metrics page's figures, read when asked."""

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
                                value=sum(node.out for node in list(service.nodes.values())))  # fmt: skip
        answers = CounterMetricFamily("stonetrack_control_answers", "Answers, by what they were", labels=["what"])
        for what, count in list(service.answers.items()):
            answers.add_metric([what], count)
        yield answers


def run(settings: Control, listener: socket, log: Log, ready: Callable[[], None], until: threading.Event) -> None:
    """Serve until told."""
    service = Service(settings, listener, log)
    service.start()
    ready()
    until.wait()
    service.stop()
