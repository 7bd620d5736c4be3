"""Stand-ins for the review's cases: engines, a discovery agent, clients, and the node's process.

They follow the protocol page and use the standard library only.  All addresses are loopback addresses with free ports.
"""

from __future__ import annotations

import contextlib
import json
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
CHAT = "/v1/chat/completions"
REPORT = "TEXT inflight=1, queue=0, x0=0.1, x1=0.2"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2


class Record:
    """The file record.txt of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def now(self) -> float:
        """Seconds since the record began."""
        return time.monotonic() - self._began

    def add(self, text: str) -> float:
        """Write one line; returns its time."""
        at = self.now()
        with self._lock:
            self._file.write(f"{at:9.4f} {text}\n")
            self._file.flush()
        return at


class Closed(ConnectionError):
    """The peer closed the connection."""


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.buffer = sock, b""

    def _more(self) -> None:
        data = self.sock.recv(65_536)
        if not data:
            raise Closed("end of the connection")
        self.buffer += data

    def line(self) -> bytes:
        """The next line, without its end."""
        while b"\r\n" not in self.buffer:
            self._more()
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line

    def exactly(self, size: int) -> bytes:
        """The next ``size`` bytes."""
        while len(self.buffer) < size:
            self._more()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def head(self) -> tuple[str, dict[str, str]]:
        """Start line and header fields of the next message."""
        start = self.line().decode("latin-1")
        fields: dict[str, str] = {}
        while line := self.line():
            name, _, value = line.decode("latin-1").partition(":")
            fields[name.strip().lower()] = value.strip()
        return start, fields

    def chunk(self) -> bytes:
        """The next chunk of a body; empty for the last one."""
        size = int(self.line().split(b";")[0], 16)
        if size == 0:
            while self.line():
                pass
            return b""
        data = self.exactly(size)
        self.line()
        return data


def listen() -> socket.socket:
    """A listening socket at a free port of the loopback address."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(256)
    return sock


def free_port() -> int:
    """A port that is free now."""
    with contextlib.closing(listen()) as sock:
        return int(sock.getsockname()[1])


def chunked(data: bytes) -> bytes:
    """One chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(content: str, finish: str | None = None) -> bytes:
    """One event of a stream."""
    choice = {"index": 0, "delta": {"content": content}, "finish_reason": finish}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
STREAM_END = (
    b'data: {"choices":[],"usage":{"prompt_tokens":800,"completion_tokens":8,'
    b'"prompt_tokens_details":{"cached_tokens":16}}}\n\n'
    b"data: [DONE]\n\n" + f": X-Backend-Load: {REPORT}\n\n".encode()
)


def response(status: str, body: bytes = b"", fields: str = "") -> bytes:
    """A whole answer that is no stream."""
    length = "" if status.startswith("204") else f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 {status}\r\n{fields}{length}\r\n".encode() + body


class Server:
    """A server with one thread for each connection."""

    def __init__(self) -> None:
        self.listener = listen()
        self.port = int(self.listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        reader = Reader(sock)
        with contextlib.suppress(OSError, ValueError):
            while True:
                start, fields = reader.head()
                body = reader.exactly(int(fields.get("content-length", "0")))
                self.request(sock, start.split(" ")[0], start.split(" ")[1], fields, body)
        sock.close()

    def request(self, sock: socket.socket, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        """Answer one request."""
        raise NotImplementedError


class Fleet:
    """What the engines of one case share: the record, and which states are held."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.lock = threading.Lock()
        self.states: set[str] = set()


class Engine(Server):
    """An engine of the role ``read`` or ``write`` that follows the protocol page."""

    prefill_s, first_s, event_s, events = 0.03, 0.03, 0.03, 8

    def __init__(self, fleet: Fleet, name: str, role: str) -> None:
        self.fleet, self.name, self.role = fleet, name, role
        super().__init__()

    def request(self, sock: socket.socket, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        """See ``Server.request``."""
        path = target.partition("?")[0]
        if method == "DELETE":
            with self.fleet.lock:
                self.fleet.states.discard(path.rpartition("/")[2])
            sock.sendall(response("204 No Content"))
        elif path == "/metrics/load":
            sock.sendall(response("200 OK", REPORT.encode(), f"X-Backend-Load: {REPORT}\r\n"))
        elif path == CHAT:
            self.attempt(sock, fields.get("x-correlation-id", ""), fields)
        else:
            sock.sendall(response("404 Not Found"))

    def attempt(self, sock: socket.socket, request: str, fields: dict[str, str]) -> None:
        """Run one attempt."""
        self.fleet.record.add(f"engine {self.name} attempt {request} arrived")
        if self.role == "read":
            self.prefill(sock, request)
            return
        with self.fleet.lock:
            held = request in self.fleet.states
            self.fleet.states.discard(request)
        if not held:
            self.fleet.record.add(f"engine {self.name} attempt {request} answered 410, never run")
            sock.sendall(response("410 Gone", b"", "X-Unprocessed: 1\r\n"))
            return
        self.decode(sock, request)

    def prefill(self, sock: socket.socket, request: str) -> None:
        """Read the prompt and hold its state."""
        if self.left(sock, self.prefill_s):
            raise Closed("given up")
        with self.fleet.lock:
            self.fleet.states.add(request)
        self.fleet.record.add(f"engine {self.name} prompt of {request} read")
        sock.sendall(response("202 Accepted", b'{"cached_tokens":16}', f"X-Backend-Load: {REPORT}\r\n"))

    def decode(self, sock: socket.socket, request: str) -> None:
        """Answer with a stream, each event of which names the request."""
        if self.left(sock, self.first_s):
            raise Closed("given up")
        self.fleet.record.add(f"engine {self.name} stream of {request} begins")
        sock.sendall(STREAM_HEAD + chunked(event(f"{request}:0")))
        for number in range(1, self.events):
            if self.left(sock, self.event_s):
                self.fleet.record.add(f"engine {self.name} stream of {request} given up by the node")
                raise Closed("given up")
            sock.sendall(chunked(event(f"{request}:{number}", "stop" if number == self.events - 1 else None)))
        sock.sendall(chunked(STREAM_END) + b"0\r\n\r\n")
        self.fleet.record.add(f"engine {self.name} stream of {request} ends whole")

    @staticmethod
    def left(sock: socket.socket, seconds: float) -> bool:
        """Work for so many seconds; returns whether the node gave the attempt up meanwhile."""
        poller = select.poll()
        poller.register(sock.fileno(), select.POLLRDHUP)
        return bool(poller.poll(seconds * 1_000.0))


class Agent(Server):
    """A discovery agent: answers a watch at once with the whole list, then an empty line every 2 s."""

    def __init__(self, engines: list[Engine], kind_of: dict[str, str]) -> None:
        self.engines, self.kind_of, self.rev = engines, kind_of, 1
        super().__init__()

    def document(self) -> dict[str, Any]:
        """The whole list."""
        targets = [
            {
                "uid": f"s-{each.name}",
                "endpoint": f"127.0.0.1:{each.port}",
                "az": "hall-a",
                "model": self.kind_of[each.role],
                "pod_group": 0,
                "state": "SERVING",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for each in self.engines
        ]
        return {"rev": self.rev, "all": True, "targets": targets}

    def request(self, sock: socket.socket, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        """See ``Server.request``."""
        document = json.dumps(self.document()).encode()
        if "watch=1" not in target:
            sock.sendall(response("200 OK", document, "Content-Type: application/json\r\n"))
            return
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(document + b"\n"))
        while not Engine.left(sock, 2.0):
            sock.sendall(chunked(b"\n"))
        raise Closed("the watch has ended")


def request_class(name: str, aim_ms: int, deadline_ms: int, worth: float, **more: Any) -> dict[str, Any]:
    """One class of the settings."""
    fields = {"semantics": "pure", "dedup_scope": "all", "key_ttl_ns": 5_000_000_000, "late_worth": 0.3, **more}
    times = {"aim_ns": aim_ms * 1_000_000, "hard_limit_ns": deadline_ms * 1_000_000}
    return {"name": name, "stream": True, "worth": worth, **times, **fields}


SUVA_CLASSES = [request_class("quick-find", 1_500, 6_000, 1.0), request_class("trip-plan", 2_500, 10_000, 3.0)]


def settings(classes: list[dict[str, Any]], **bounds: Any) -> dict[str, Any]:
    """The settings of the wire page's example (site suva-charge), with other classes and bounds where given."""
    return {
        "balancers": 2,
        "me": 0,
        "zone": 0,
        "zones": ["hall-a", "hall-b"],
        "kinds": ["prefill", "decode"],
        "bounds": {
            "cancel": True,
            "conn_idle_ns": 30_000_000_000,
            "connect_timeout_ns": 250_000_000,
            "max_attempts": 4,
            "max_retry_after_ns": 500_000_000,
            "most_held": 20_000,
            "peers": False,
            "probing": True,
            "retry_after": True,
            "second_copies": False,
            **bounds,
        },
        "clients": {"marks_retry": True},
        "contract": {
            "ask_every_ns": 10_000_000_000,
            "cold_from": 0.26,
            "fall_ns": 3_000_000_000,
            "grace_to_answer_ns": 16_000_000,
            "overload_factor": 3.0,
            "stop_sending_within_ns": 250_000_000,
            "warm_within_ns": 14_000_000_000,
        },
        "discovery": "pushed",
        "family_info": {
            "aim_us_per_1000_prompt_tokens": [40_000.0, 40_000.0],
            "kv_tokens": [209_611, 115_579],
            "may_reserve": True,
            "move_fee": 0.03,
            "release_within_ns": 500_000_000,
            "report_x0": "share of memory that is held",
            "report_x1": "thousands of prompt tokens waiting to be read or fetched",
            "resume": False,
            "role_by_kind": ["read", "write"],
            "token_aim_ns": [60_000_000, 80_000_000],
            "writers_read": False,
        },
        "kind_of_service": "twostage",
        "over_share_worth": 0.1,
        "report": {"fields": ["inflight", "queue", "x0", "x1"], "source": "inline"},
        "request_classes": classes,
        "stages": ["model-fleet"],
        "tenants": [],
        "tier": 0,
        "value_by": "work",
        "weights": "off",
    }


def _stop(number: int, frame: object) -> None:
    """A script that is told to end still ends what it started."""
    sys.exit(NOT_RUN)


class Node:
    """One node, started with the deploy file's ``run``, with its configuration in a temporary folder."""

    def __init__(self, agent: Agent, of_settings: dict[str, Any], limits: dict[str, Any] | None = None) -> None:
        signal.signal(signal.SIGTERM, _stop)
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.port = free_port()
        folder = Path(self.folder.name)
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{agent.port}",
            "seed": "8c1f30d27a5be964",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": agent.document(),
            "settings": of_settings,
        }
        path = folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        temporary = folder / "tmp"
        temporary.mkdir()
        told = {
            "EDGE_NAME": "n0",
            "EDGE_LISTEN": config["listen"],
            "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(temporary),
        }
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        self.log_path = folder / "node.log"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env={**os.environ, **told}, stdout=log, stderr=log
            )

    def wait_until_up(self, seconds: float = 30.0) -> bool:
        """Wait until ``GET /up`` answers 200."""
        until = time.monotonic() + seconds
        while time.monotonic() < until and self.process.poll() is None:
            with contextlib.suppress(OSError, ValueError), contextlib.closing(self.connect(1.0)) as sock:
                sock.sendall(b"GET /up HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
                if Reader(sock).head()[0].split(" ")[1] == "200":
                    return True
            time.sleep(0.05)
        return False

    def connect(self, timeout: float) -> socket.socket:
        """A client's new connection."""
        sock = socket.create_connection(("127.0.0.1", self.port), timeout)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node's process."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> str:
        """Kill the process if it still runs; returns its log."""
        self.signal(signal.SIGKILL)
        self.process.wait()
        log = self.log_path.read_text("utf-8", "replace")
        self.folder.cleanup()
        return log


def request_bytes(request: str, class_name: str, time_left_ms: int, session: str, prompt_tokens: int = 800) -> bytes:
    """A request in the form of the protocol page."""
    text = "a" * (prompt_tokens * 4)
    message = {"role": "user", "content": text}
    body = json.dumps({"model": "chat", "stream": True, "max_tokens": 300, "messages": [message]}).encode()
    head = (
        f"POST {CHAT} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {request}\r\nX-Service-Class: {class_name}\r\n"
        f"X-Session-Key: {session}\r\nX-Time-Left: {time_left_ms}m\r\n"
        f"X-Facts: prompt_len={prompt_tokens},max_out=300\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Answer:
    """What a client received: the status, the contents of all events, and whether the answer came whole."""

    def __init__(self) -> None:
        self.status = 0
        self.contents: list[str] = []
        self.whole = False
        self.keep = False
        self.why = ""

    def text(self) -> str:
        """For the record."""
        end = "whole" if self.whole else f"not whole ({self.why})"
        return f"status {self.status} {end} events {' '.join(self.contents) or '-'}"


def read_answer(sock: socket.socket) -> Answer:
    """Read one answer to its end, or to the end of the connection."""
    answer, reader, stream = Answer(), Reader(sock), b""
    try:
        start, fields = reader.head()
        answer.status = int(start.split(" ")[1])
        answer.keep = fields.get("connection", "").lower() != "close"
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while data := reader.chunk():
                stream += data
                *events, stream = stream.split(b"\n\n")
                answer.contents += [content for each in events if (content := _content(each))]
        else:
            reader.exactly(int(fields.get("content-length", "0")))
        answer.whole = True
    except (OSError, ValueError) as error:
        answer.why = f"{type(error).__name__}: {error}"
    return answer


def _content(raw: bytes) -> str:
    for line in raw.split(b"\n"):
        if line.startswith(b"data: {"):
            choices = json.loads(line[6:])["choices"]
            return str(choices[0]["delta"]["content"]) if choices else ""
    return ""
