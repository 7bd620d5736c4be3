"""The sockets, threads and files of the discovery service.

    GET /engines?after=VERSION&origin=HISTORY&wait_ms=N    200 with a newer document, 204 after the wait,
                                                           503 with Retry-After under overload, and while no
                                                           list was given (which is not an empty list)
    PUT /engines                                           {"engines": [...]}: replaces the list     (may_put)
    PATCH /engines                                         these lines are new, changed or removed   (may_put)
                                                           409 for a leader whose term is over (X-Stonetrack-Term)
    GET /health, GET /metrics

Connections belong to the frontend's host: one thread holds idle ones, and workers with small stacks answer requests.  A
long poll occupies a worker that waits on two descriptors, the client's and its own wake-up.
"""

from __future__ import annotations

import contextlib
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from socket import socket
from typing import Any

import msgspec
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from stonetrack.clocks import wall_time
from stonetrack.discovery.admission import AdmissionQueue, RetryLater
from stonetrack.discovery.history import EncodedDocument, History, Line, LinesError
from stonetrack.discovery.settings import DiscoverySettings
from stonetrack.discovery.state_file import load_state, new_origin, save_state
from stonetrack.election.fencing import TOKEN_HEADER, Fence, FencingError, Token, parse_token
from stonetrack.engines import server_list
from stonetrack.engines.list_source import file_signature
from stonetrack.engines.server_list import ListError, split_address
from stonetrack.frontend.connection import Connection, HttpRequest
from stonetrack.frontend.host import Host, plain_response
from stonetrack.frontend.long_poll import LongPoll
from stonetrack.frontend.service_errors import error_body, rejection_response
from stonetrack.node.request_runner import Waker
from stonetrack.wire import json_limits

MS, SECOND = 1_000_000, 1_000_000_000
PATH = "/engines"
MAX_LOGGED_ENGINES = 20  # named in one log line
Log = Callable[..., None]
_LINE_FIELDS = tuple(server_list.EngineEntry.__struct_fields__)


def parse_lines(data: bytes) -> list[Mapping[str, Any]]:
    """The engines of a document, checked as a node checks them.  Raises ListError."""
    try:
        raw = json_limits.decode(data, values=None)  # bounded by the length of a body
        given = raw["engines"] if isinstance(raw, dict) else None
        if not isinstance(given, list):
            raise ListError('server list: {"engines": [...]} is allowed')
        checked = msgspec.convert(given, list[server_list.EngineEntry])
    except (msgspec.DecodeError, KeyError) as error:
        raise ListError(f"server list: {error}") from None
    for n, line in enumerate(checked):
        if split_address(line.address) is None:
            raise ListError(f"server list: engines[{n}] ({line.name!r}): address {line.address!r}; allowed: host:port")
    return [{k: each[k] for k in _LINE_FIELDS if k in each} for each in given]


class Service:
    """A discovery service; ``log`` takes a text and fields.  Raises StateFileError for a damaged state file."""

    def __init__(self, settings: DiscoverySettings, listener: socket, log: Log) -> None:
        self.settings, self._log = settings, log
        self._folder = Path(settings.state_dir)
        self.history, leader, self._given = load_state(self._folder, lambda: int(wall_time()), settings.versions)
        self._fence = Fence("the list", leader)
        self._persist(self.history.origin, self.history.version, self.history.lines)
        self._admission = AdmissionQueue(settings.lists_per_second, settings.waiting)
        self._lock = threading.Lock()
        self._long_polls = LongPoll()
        self._done = threading.Event()
        self._file_signature: tuple[int, int, int] | None = None
        self._file_error = ""
        self.answers: Counter[str] = Counter()
        self.bytes_out = 0
        self.host = Host(listener, settings.limits, settings.timing, self._handle, rejection_response, self._warn)
        self._watch_thread = threading.Thread(target=self._watch_file, name="file", daemon=True)
        self._metrics = CollectorRegistry()
        self._metrics.register(_MetricsCollector(self))

    def start(self) -> None:
        """Read the watched file, if one is configured, and begin to serve."""
        threading.stack_size(self.settings.limits.stack_kib * 1024)
        if self.settings.file:
            self._read_file()
            self._watch_thread.start()
        self.host.start()
        self._log("started", origin=self.history.origin, version=self.history.version, engines=len(self.history.lines))

    def drain(self) -> None:
        """Accept no more connections, and answer waiting long polls that nothing changed."""
        self._long_polls.stop()
        self.host.drain()
        end = time.monotonic() + self.settings.timing.drain_ms / 1_000.0
        while self.host.busy and time.monotonic() < end:
            time.sleep(0.02)

    def stop(self) -> None:
        """Stop all threads."""
        self._done.set()
        self.host.stop()

    # The list.

    def put(self, lines: Iterable[Mapping[str, Any]], whole: bool, leader: Token | None = None) -> int:
        """Apply a list, or changes; returns how many engines changed.  Raises LinesError, OSError, FencingError."""
        with self._lock:
            if not whole and not self._given:
                raise LinesError("no list was given yet: changes to nothing would be the whole list; PUT one")
            self._fence.admit(leader, lambda token: self._persist_with(self.history, token))
            was_given, self._given = self._given, True
            try:
                changed = self.history.put(lines, self._persist) if whole else self.history.change(lines, self._persist)
                if not was_given and not changed:  # the first list may be empty
                    self._persist(self.history.origin, self.history.version, self.history.lines)
            except BaseException:
                self._given = was_given
                raise
            if leader is not None:  # under the lock, so that the log has the order of the effects
                self._log("effect", term=leader.term, owner=leader.owner, version=self.history.version, changed=changed,
                          what="put" if whole else "change", leaving=self._not_up()[:MAX_LOGGED_ENGINES],
                          origin=self.history.origin)  # fmt: skip
        if changed:
            self._log("version", version=self.history.version, changed=changed, engines=len(self.history.lines))
        if changed or not was_given:
            self._long_polls.notify()
        return changed

    def _not_up(self) -> list[str]:
        return sorted(name for name, line in self.history.lines.items() if line.get("state", "up") != "up")

    def _persist(self, origin: str, version: int, lines: Mapping[str, Line]) -> None:
        save_state(self._folder, origin, version, lines, self._fence.known, self._given)

    def _persist_with(self, history: History, leader: Token) -> None:
        save_state(self._folder, history.origin, history.version, history.lines, leader, self._given)

    def _read_file(self) -> None:
        path = Path(self.settings.file)
        try:
            signature = file_signature(path)
            if signature != self._file_signature:
                self.put(parse_lines(path.read_bytes()), whole=True)
                self._file_signature, self._file_error = signature, ""
        except (OSError, ListError, LinesError) as error:
            if str(error) != self._file_error:  # the previous list stays in force
                self._file_error = str(error)
                self._warn(f"{path}: {error}")

    def _watch_file(self) -> None:
        while not self._done.wait(self.settings.poll_ms / 1_000.0):
            self._read_file()

    def _warn(self, text: str) -> None:
        self._log(text)

    # Answers.

    def _handle(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        head = request.head
        keep_alive = head.keep_alive and not self._long_polls.stopping
        if head.path == PATH and head.method == "GET":
            return self._engines(connection, request, waker, keep_alive)
        if head.path == PATH and head.method in ("PUT", "PATCH") and self.settings.may_put:
            status, body = self._apply(head.method == "PUT", request.body, head.headers.get(TOKEN_HEADER.lower()))
        elif head.path == "/health" and head.method == "GET":
            status, body = (503 if self._long_polls.stopping else 200), msgspec.json.encode(self._health())
        elif head.path == "/metrics" and head.method == "GET":
            connection.write(
                plain_response(200, generate_latest(self._metrics), (), "text/plain; version=0.0.4", keep_alive)
            )
            return keep_alive
        elif head.path in (PATH, "/health", "/metrics"):
            status, body = 405, error_body(f"method {head.method[:20]} is not allowed here")
        else:
            status, body = 404, error_body("served here: /engines, /health, /metrics")
        connection.write(plain_response(status, body, keep=keep_alive))
        return keep_alive

    def _apply(self, whole: bool, data: bytes, token: str) -> tuple[int, bytes]:
        try:
            self.put(parse_lines(data), whole, parse_token(token))
        except FencingError as error:
            self.answers["refused"] += 1
            self._warn(str(error))
            return 409, msgspec.json.encode({"error": str(error), "known": error.known})
        except (ListError, LinesError, ValueError) as error:
            return 400, error_body(str(error))
        except OSError as error:  # the list was not persisted, so it is not in force
            return 500, error_body(f"the list can't be kept: {error}")
        return 200, msgspec.json.encode({"origin": self.history.origin, "version": self.history.version})

    def _engines(self, connection: Connection, request: HttpRequest, waker: Waker, keep_alive: bool) -> bool:
        query = _query(request.head.query)
        try:
            after, wait = int(query.get("after", "-1")), int(query.get("wait_ms", "0"))
        except ValueError:
            connection.write(
                plain_response(400, error_body("after and wait_ms: whole numbers are allowed"), keep=keep_alive)
            )
            return keep_alive
        origin, node = query.get("origin", ""), request.head.headers.get("x-stonetrack-instance")
        wait = max(0, min(wait, self.settings.longest_wait_ms))
        nothing_new = wait and not self._is_outdated(after, origin)
        if nothing_new and not self._long_polls.wait(connection, waker, wait, lambda: self._is_outdated(after, origin)):
            return False  # the client disconnected
        if not self._given:
            self.answers["no list"] += 1
            body = msgspec.json.encode({"error": "no list was given yet", "origin": self.history.origin,
                                        "version": self.history.version})  # fmt: skip
            connection.write(plain_response(503, body, (("Retry-After", "1"),), keep=keep_alive))
            return keep_alive
        document = self._document_since(after, origin)
        if document is None:
            self.answers["unchanged"] += 1
            connection.write(plain_response(204, b"", keep=keep_alive))
            return keep_alive
        return self._send_when_admitted(connection, waker, (after, origin, node), document, wait * MS, keep_alive)

    def _send_when_admitted(self, connection: Connection, waker: Waker, query: tuple[int, str, str],
                            document: EncodedDocument, patience: int, keep_alive: bool) -> bool:  # fmt: skip
        after, origin, node = query
        with self._lock:
            cost = len(document.body) / max(1, len(self.history.full().body))
            admission = self._admission.admit(time.monotonic_ns(), node, cost, patience)
        if isinstance(admission, RetryLater):
            self.answers["turned away"] += 1
            fields = (("Retry-After", str(admission.retry_after_s)),)
            connection.write(plain_response(503, error_body("too many ask at once"), fields, keep=keep_alive))
            return keep_alive
        try:
            wait = (admission.send_at - time.monotonic_ns()) / MS
            if wait > 0 and not self._long_polls.wait(connection, waker, wait, lambda: False):
                return False
            document = self._document_since(after, origin) or document  # the latest document
            self.answers["whole" if document.full else "changes"] += 1
            self.bytes_out += len(document.body)
            connection.write(plain_response(200, document.body, keep=keep_alive))
        finally:
            with self._lock:
                self._admission.done(node)
        return keep_alive

    def _is_outdated(self, after: int, origin: str) -> bool:
        return self._given and self._document_since(after, origin) is not None

    def _document_since(self, after: int, origin: str) -> EncodedDocument | None:
        with self._lock:
            if not origin and after >= self.history.version:
                return None  # a client without a history: versions alone are compared
            if self.history.client_is_ahead(after, origin) and after < 1 << 53:
                self.history.start_new_history(new_origin(), after + 1, self._persist)
                self._log("an old state was put back: another history begins", version=self.history.version)
            return self.history.document_since(after, origin or self.history.origin)

    def _health(self) -> dict[str, Any]:
        return {
            "status": "draining" if self._long_polls.stopping else "ok",
            "origin": self.history.origin,
            "version": self.history.version,
            "engines": len(self.history.lines),
            "given": self._given,
            "owner": str(self._fence.known) if self._fence.known.term else "",
            "waiting": len(self._long_polls),
        }


def _query(text: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in text.split("&") if part)
    return {name: value for name, _, value in pairs}


class _MetricsCollector(Collector):
    """Metrics of the service, read at each scrape."""

    def __init__(self, service: Service) -> None:
        self._service = service

    def collect(self) -> Iterable[Metric]:
        """See ``prometheus_client.registry.Collector``."""
        service = self._service
        counts = CounterMetricFamily("stonetrack_lists_answers", "Answers, by what they were", labels=["what"])
        for what, count in [*service.answers.items(), ("left", service._long_polls.clients_gone)]:
            counts.add_metric([what], count)
        yield counts
        yield CounterMetricFamily("stonetrack_lists_bytes", "Bytes of lists sent", value=service.bytes_out)
        gauges = {
            "version": (service.history.version, "Version of the list"),
            "engines": (len(service.history.lines), "Engines in the list"),
            "waiting": (len(service._long_polls), "Nodes that wait, for news or for their turn"),
        }
        for name, (value, text) in gauges.items():
            yield GaugeMetricFamily(f"stonetrack_lists_{name}", text, value=value)


def run(
    settings: DiscoverySettings, listener: socket, log: Log, ready: Callable[[], None], until: threading.Event
) -> None:
    """Serve until the event is set; then drain."""
    service = Service(settings, listener, log)
    service.start()
    ready()
    until.wait()
    with contextlib.suppress(OSError):
        service.drain()
    service.stop()
