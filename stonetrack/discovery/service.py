"""The list service's sockets, threads and files.

    GET /engines?after=VERSION&origin=HISTORY&wait_ms=N    200 with what is newer, 204 when the wait is over,
                                                           503 with Retry-After when too many ask, and while
                                                           no list was given: that is not an empty one
    PUT /engines                                           {"engines": [...]}: this is the list      (may_put)
    PATCH /engines                                         these lines are new, changed or removed   (may_put)
                                                           409 for an owner whose term is over (X-Stonetrack-Term)
    GET /health, GET /metrics

Clients' connections are the fronts' host's: one thread parks what is idle, a worker with a small stack answers.  A long
poll is a worker that waits on two descriptors, its client's and its own wake-up.
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

MS, SECOND = 1_000_000, 1_000_000_000
PATH = "/engines"
MOST_NAMED = 20  # engines that a line of the log names
Log = Callable[..., None]
_KNOWN = tuple(server_list.EngineEntry.__struct_fields__)


def parse_lines(data: bytes) -> list[Mapping[str, Any]]:
    """A document's engines, checked as a node would.  Raises ListError."""
    try:
        raw = msgspec.json.decode(data)
        given = raw["engines"] if isinstance(raw, dict) else None
        if not isinstance(given, list):
            raise ListError('server list: {"engines": [...]} is allowed')
        checked = msgspec.convert(given, list[server_list.EngineEntry])
    except (msgspec.DecodeError, msgspec.ValidationError, KeyError, RecursionError) as error:
        raise ListError(f"server list: {error}") from None
    for n, line in enumerate(checked):
        if split_address(line.address) is None:
            raise ListError(f"server list: engines[{n}] ({line.name!r}): address {line.address!r}; allowed: host:port")
    return [{k: each[k] for k in _KNOWN if k in each} for each in given]


class Service:
    """See the module; ``log`` takes a text and fields.  Raises StateFileError for a damaged state folder."""

    def __init__(self, settings: DiscoverySettings, listener: socket, log: Log) -> None:
        self.settings, self._log = settings, log
        self._folder = Path(settings.state_dir)
        self.history, owner, self._given = load_state(self._folder, lambda: int(wall_time()), settings.versions)
        self._fence = Fence("the list", owner)
        self._keep(self.history.origin, self.history.version, self.history.lines)
        self._admission = AdmissionQueue(settings.lists_per_second, settings.waiting)
        self._lock = threading.Lock()
        self._waiting = LongPoll()
        self._done = threading.Event()
        self._seen: tuple[int, int, int] | None = None
        self._trouble = ""
        self.answers: Counter[str] = Counter()
        self.bytes_out = 0
        self.host = Host(listener, settings.limits, settings.timing, self._handle, rejection_response, self._warn)
        self._watcher = threading.Thread(target=self._watch, name="file", daemon=True)
        self._metrics = CollectorRegistry()
        self._metrics.register(_Figures(self))

    def start(self) -> None:
        """Read the file, if there is one, and serve."""
        threading.stack_size(self.settings.limits.stack_kib * 1024)
        if self.settings.file:
            self._read_file()
            self._watcher.start()
        self.host.start()
        self._log("started", origin=self.history.origin, version=self.history.version, engines=len(self.history.lines))

    def drain(self) -> None:
        """Accept nothing more; who waits for news hears that there is none."""
        self._waiting.stop()
        self.host.drain()
        end = time.monotonic() + self.settings.timing.drain_ms / 1_000.0
        while self.host.busy and time.monotonic() < end:
            time.sleep(0.02)

    def stop(self) -> None:
        """End everything."""
        self._done.set()
        self.host.stop()

    # The list.

    def put(self, lines: Iterable[Mapping[str, Any]], whole: bool, owner: Token | None = None) -> int:
        """Take a list, or changes to it; how many engines changed.  Raises LinesError, OSError, FencingError."""
        with self._lock:
            if not whole and not self._given:
                raise LinesError("no list was given yet: changes to nothing would be the whole list; PUT one")
            self._fence.admit(owner, lambda token: self._keep_all(self.history, token))
            given, self._given = self._given, True
            try:
                changed = self.history.put(lines, self._keep) if whole else self.history.change(lines, self._keep)
                if not given and not changed:  # an empty list is one, too
                    self._keep(self.history.origin, self.history.version, self.history.lines)
            except BaseException:
                self._given = given
                raise
            if owner is not None:  # under the lock: the log has the order in which effects were taken
                self._log("effect", term=owner.term, owner=owner.owner, version=self.history.version, changed=changed,
                          what="put" if whole else "change", leaving=self._leaving()[:MOST_NAMED],
                          origin=self.history.origin)  # fmt: skip
        if changed:
            self._log("version", version=self.history.version, changed=changed, engines=len(self.history.lines))
        if changed or not given:
            self._waiting.notify()
        return changed

    def _leaving(self) -> list[str]:
        return sorted(name for name, line in self.history.lines.items() if line.get("state", "up") != "up")

    def _keep(self, origin: str, version: int, lines: Mapping[str, Line]) -> None:
        save_state(self._folder, origin, version, lines, self._fence.known, self._given)

    def _keep_all(self, history: History, owner: Token) -> None:
        save_state(self._folder, history.origin, history.version, history.lines, owner, self._given)

    def _read_file(self) -> None:
        path = Path(self.settings.file)
        try:
            seen = file_signature(path)
            if seen != self._seen:
                self.put(parse_lines(path.read_bytes()), whole=True)
                self._seen, self._trouble = seen, ""
        except (OSError, ListError, LinesError) as error:
            if str(error) != self._trouble:  # the list before stays in force
                self._trouble = str(error)
                self._warn(f"{path}: {error}")

    def _watch(self) -> None:
        while not self._done.wait(self.settings.poll_ms / 1_000.0):
            self._read_file()

    def _warn(self, text: str) -> None:
        self._log(text)

    # Answers.

    def _handle(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        head = request.head
        keep_alive = head.keep_alive and not self._waiting.stopping
        if head.path == PATH and head.method == "GET":
            return self._engines(connection, request, waker, keep_alive)
        if head.path == PATH and head.method in ("PUT", "PATCH") and self.settings.may_put:
            status, body = self._take(head.method == "PUT", request.body, head.headers.get(TOKEN_HEADER.lower()))
        elif head.path == "/health" and head.method == "GET":
            status, body = (503 if self._waiting.stopping else 200), msgspec.json.encode(self._health())
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

    def _take(self, whole: bool, data: bytes, owner: str) -> tuple[int, bytes]:
        try:
            self.put(parse_lines(data), whole, parse_token(owner))
        except FencingError as error:
            self.answers["refused"] += 1
            self._warn(str(error))
            return 409, msgspec.json.encode({"error": str(error), "known": error.known})
        except (ListError, LinesError, ValueError) as error:
            return 400, error_body(str(error))
        except OSError as error:  # it can't be kept, so nobody is told of it
            return 500, error_body(f"the list can't be kept: {error}")
        return 200, msgspec.json.encode({"origin": self.history.origin, "version": self.history.version})

    def _engines(self, connection: Connection, request: HttpRequest, waker: Waker, keep_alive: bool) -> bool:
        asked = _query(request.head.query)
        try:
            after, wait = int(asked.get("after", "-1")), int(asked.get("wait_ms", "0"))
        except ValueError:
            connection.write(
                plain_response(400, error_body("after and wait_ms: whole numbers are allowed"), keep=keep_alive)
            )
            return keep_alive
        origin, node = asked.get("origin", ""), request.head.headers.get("x-stonetrack-instance")
        wait = max(0, min(wait, self.settings.longest_wait_ms))
        quiet = wait and not self._tells(after, origin)
        if quiet and not self._waiting.wait(connection, waker, wait, lambda: self._tells(after, origin)):
            return False  # it left
        if not self._given:
            self.answers["no list"] += 1
            body = msgspec.json.encode({"error": "no list was given yet", "origin": self.history.origin,
                                        "version": self.history.version})  # fmt: skip
            connection.write(plain_response(503, body, (("Retry-After", "1"),), keep=keep_alive))
            return keep_alive
        news = self._news(after, origin)
        if news is None:
            self.answers["unchanged"] += 1
            connection.write(plain_response(204, b"", keep=keep_alive))
            return keep_alive
        return self._in_turn(connection, waker, (after, origin, node), news, wait * MS, keep_alive)

    def _in_turn(self, connection: Connection, waker: Waker, asked: tuple[int, str, str], news: EncodedDocument,
                 patience: int, keep_alive: bool) -> bool:  # fmt: skip
        after, origin, node = asked
        with self._lock:
            cost = len(news.body) / max(1, len(self.history.full().body))
            turn = self._admission.admit(time.monotonic_ns(), node, cost, patience)
        if isinstance(turn, RetryLater):
            self.answers["turned away"] += 1
            fields = (("Retry-After", str(turn.retry_after_s)),)
            connection.write(plain_response(503, error_body("too many ask at once"), fields, keep=keep_alive))
            return keep_alive
        try:
            wait = (turn.send_at - time.monotonic_ns()) / MS
            if wait > 0 and not self._waiting.wait(connection, waker, wait, lambda: False):
                return False
            news = self._news(after, origin) or news  # what there is now
            self.answers["whole" if news.full else "changes"] += 1
            self.bytes_out += len(news.body)
            connection.write(plain_response(200, news.body, keep=keep_alive))
        finally:
            with self._lock:
                self._admission.done(node)
        return keep_alive

    def _tells(self, after: int, origin: str) -> bool:
        return self._given and self._news(after, origin) is not None

    def _news(self, after: int, origin: str) -> EncodedDocument | None:
        with self._lock:
            if not origin and after >= self.history.version:
                return None  # it knows no histories; versions of one alone can be compared
            if self.history.client_is_ahead(after, origin) and after < 1 << 53:
                self.history.start_new_history(new_origin(), after + 1, self._keep)
                self._log("an old state was put back: another history begins", version=self.history.version)
            return self.history.document_since(after, origin or self.history.origin)

    def _health(self) -> dict[str, Any]:
        return {
            "status": "draining" if self._waiting.stopping else "ok",
            "origin": self.history.origin,
            "version": self.history.version,
            "engines": len(self.history.lines),
            "given": self._given,
            "owner": str(self._fence.known) if self._fence.known.term else "",
            "waiting": len(self._waiting),
        }


def _query(text: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in text.split("&") if part)
    return {name: value for name, _, value in pairs}


class _Figures(Collector):
    """The metrics page's figures, read when asked."""

    def __init__(self, service: Service) -> None:
        self._service = service

    def collect(self) -> Iterable[Metric]:
        """See ``prometheus_client.registry.Collector``."""
        service = self._service
        counts = CounterMetricFamily("stonetrack_lists_answers", "Answers, by what they were", labels=["what"])
        for what, count in [*service.answers.items(), ("left", service._waiting.clients_gone)]:
            counts.add_metric([what], count)
        yield counts
        yield CounterMetricFamily("stonetrack_lists_bytes", "Bytes of lists sent", value=service.bytes_out)
        gauges = {
            "version": (service.history.version, "Version of the list"),
            "engines": (len(service.history.lines), "Engines in the list"),
            "waiting": (len(service._waiting), "Nodes that wait, for news or for their turn"),
        }
        for name, (value, text) in gauges.items():
            yield GaugeMetricFamily(f"stonetrack_lists_{name}", text, value=value)


def run(
    settings: DiscoverySettings, listener: socket, log: Log, ready: Callable[[], None], until: threading.Event
) -> None:
    """Serve until told; then drain."""
    service = Service(settings, listener, log)
    service.start()
    ready()
    until.wait()
    with contextlib.suppress(OSError):
        service.drain()
    service.stop()
