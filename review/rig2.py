"""Stand-ins for the cases 6 to 10: clients, engines and discovery, and the start of nodes by the deploy file.

Only the standard library, loopback addresses and free ports.  An engine is sound by default: a reader answers 202, a
writer streams events to the last chunk, both answer releases and probes.  A case changes what one of them does by
setting ``Engine.behave``.  Everything sent, answered and run goes to ``record.txt`` beside the case.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import pathlib
import re
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[1]
CHAT = "/v1/chat/completions"
CANNOT_RUN, BROKEN, HELD = 2, 1, 0
LONGEST_S = 110.0


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """The file record.txt of a case: one line for each thing that passed, with seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / "record.txt"
        self._path.write_text("")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def __call__(self, text: str) -> None:
        with self._lock, open(self._path, "a", encoding="utf-8") as file:
            file.write(f"{self.now():9.3f}  {text}\n")


def free_port(host: str = "127.0.0.1") -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def listener(backlog: int = 512) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    sock.listen(backlog)
    return sock


def spawn(function, *args) -> threading.Thread:
    thread = threading.Thread(target=function, args=args, daemon=True)
    thread.start()
    return thread


class Reader:
    """Reads HTTP/1.1 messages from a socket.  Raises EOFError at an end and OSError at a break."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""

    def fill(self) -> None:
        data = self.sock.recv(65_536)
        if not data:
            raise EOFError
        self.buffer += data

    def line(self) -> bytes:
        while b"\r\n" not in self.buffer:
            self.fill()
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line

    def exactly(self, size: int) -> bytes:
        while len(self.buffer) < size:
            self.fill()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def head(self) -> tuple[str, dict[str, str]]:
        first = self.line().decode("latin-1")
        headers: dict[str, str] = {}
        while line := self.line():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        return first, headers

    def chunk(self) -> bytes:
        """One chunk; empty for the last."""
        size = int(self.line().split(b";")[0], 16)
        data = self.exactly(size)
        self.line()
        return data


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(text: str, finish: str | None = None) -> bytes:
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


class Call:
    """One request that an engine has received whole, and the connection that it came on."""

    def __init__(self, engine: Engine, sock: socket.socket, method: str, path: str, headers: dict[str, str]) -> None:
        self.engine, self.sock, self.method, self.path, self.headers = engine, sock, method, path, headers
        self.request = headers.get("x-correlation-id", "")
        self.at = engine.fleet.record.now()
        self.ended_at = 0.0  # when its answer was whole, or its connection was given up; 0 while it is out
        self.state: str | None = None  # the reader whose state a writer has fetched
        self.ran_at = 0.0  # when a writer ran it
        self.told_ms = 0.0
        if found := re.fullmatch(r"([0-9.]+)([mu])", headers.get("x-time-left", "")):
            self.told_ms = float(found.group(1)) / (1 if found.group(2) == "m" else 1000)

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def answer(self, status: int, body: bytes = b"", headers: tuple[str, ...] = ()) -> None:
        lines = [f"HTTP/1.1 {status} OK", *headers]
        if status != 204:
            lines.append(f"Content-Length: {len(body)}")
        self.send("\r\n".join([*lines, "", ""]).encode() + (body if status != 204 else b""))

    def given_up(self) -> bool:
        """Whether the node has closed the connection or ended its sending on it."""
        try:
            return bool(select.select([self.sock], [], [], 0)[0]) and self.sock.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            return True

    def wait(self, seconds: float) -> bool:
        """Let so much time pass; returns whether the attempt is still out, and notes when it was given up."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            time.sleep(min(0.005, left))
            if not self.ended_at and self.given_up():
                self.ended_at = self.engine.fleet.record.now()
                self.engine.fleet.record(f"{self.engine.name}: {self.request} was given up")
        return not self.ended_at

    def stream_head(self) -> None:
        self.send(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")

    def stream(self, events: int = 10, pause: float = 0.02) -> None:
        """A good stream of so many events, its usage and its last chunk."""
        self.stream_head()
        for n in range(events):
            self.send(chunk(event(f"{self.request}/{n} ", "stop" if n == events - 1 else None)))
            time.sleep(pause)
        usage = {"prompt_tokens": 100, "completion_tokens": events, "prompt_tokens_details": {"cached_tokens": 0}}
        self.send(chunk(b"data: " + json.dumps({"choices": [], "usage": usage}).encode() + b"\n\n"))
        self.send(chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")


class Engine:
    """One engine.  ``behave`` may take over a request for work (return True if it did)."""

    def __init__(self, fleet: Fleet, name: str, role: str, cell: int) -> None:
        self.fleet, self.name, self.role, self.cell = fleet, name, role, cell
        self.state = "SERVING"
        self.behave = None
        self.hangs_until = 0.0  # takes calls and answers none until then (seconds of the record)
        self.read_s, self.events, self.pause = 0.03, 10, 0.02
        self.sock = listener()
        self.endpoint = f"127.0.0.1:{self.sock.getsockname()[1]}"
        spawn(self._accept)

    def target(self) -> dict:
        return {
            "uid": self.name,
            "endpoint": self.endpoint,
            "az": "hall-a",
            "model": "prefill" if self.role == "read" else "decode",
            "pod_group": self.cell,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        reader = Reader(sock)
        with contextlib.suppress(OSError, EOFError, ValueError):
            while True:
                first, headers = reader.head()
                method, path, _ = first.split(" ", 2)
                reader.exactly(int(headers.get("content-length", "0")))
                self._handle(Call(self, sock, method, path, headers))
        with contextlib.suppress(OSError):
            sock.close()

    def _hang(self, call: Call) -> None:
        """While the engine hangs it takes calls and answers none."""
        if self.hangs_until > self.fleet.record.now():
            self.fleet.record(f"{self.name}: hangs with {call.method} {call.path} {call.request}")
            call.wait(self.hangs_until - self.fleet.record.now())

    def _handle(self, call: Call) -> None:
        fleet = self.fleet
        if call.method == "DELETE":
            fleet.held.pop(call.path.rsplit("/", 1)[1], None)
            fleet.record(f"{self.name}: {call.method} {call.path}")
            self._hang(call)
            call.answer(204)
            return
        if call.path in ("/alive", "/metrics/load"):
            self._hang(call)
            call.answer(200, b"TEXT inflight=0, queue=0, x0=0.1, x1=0.0")
            return
        fleet.record(f"{self.name} ({self.state}): whole request {call.request}, told {call.told_ms:.0f} ms left")
        if self.role == "write":
            call.state = fleet.held.pop(call.request, None)  # an attempt that waits for its state keeps it
        with fleet.lock:
            fleet.calls.append(call)
        if self.behave is not None and self.behave(call):
            return
        self._hang(call)
        if call.ended_at:
            return
        if self.role == "read":
            time.sleep(self.read_s)
            fleet.held[call.request] = self.name
            call.answer(202, b'{"cached_tokens":0}')
            fleet.record(f"{self.name}: {call.request} -> 202")
        elif call.state is None:
            call.answer(410, b"", ("X-Unprocessed: 1",))
            fleet.record(f"{self.name}: {call.request} -> 410")
        else:
            call.ran_at = fleet.record.now()
            fleet.record(f"{self.name}: {call.request} runs, stream begins")
            call.stream(self.events, self.pause)
            call.ended_at = fleet.record.now()
            fleet.record(f"{self.name}: {call.request} stream ended whole")


class Discovery:
    """The agent on the node's machine: whole list and watches.  ``delay`` is the wait before a watch's first byte."""

    def __init__(self, fleet: Fleet, name: str = "discovery") -> None:
        self.fleet, self.name = fleet, name
        self.rev, self.delay = 41, 0.0
        self.changed = threading.Condition()
        self.changes: list[tuple[int, dict]] = []
        self.connections: list[socket.socket] = []
        self.sock = listener()
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        spawn(self._accept)

    def document(self, targets: list[dict] | None = None) -> dict:
        if targets is None:
            return {"rev": self.rev, "all": True, "targets": [e.target() for e in self.fleet.engines]}
        return {"rev": self.rev, "all": False, "targets": targets}

    def set_state(self, engine: Engine, state: str) -> None:
        """Change an engine's state: all open watches are told at once."""
        with self.changed:
            engine.state = state
            self.rev += 1
            self.changes.append((self.rev, engine.target()))
            self.changed.notify_all()
        self.fleet.record(f"{self.name}: has rev {self.rev}: {engine.name} {state}")

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.connections.append(sock)
            spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, EOFError, ValueError):
            first, _ = Reader(sock).head()
            target = first.split(" ")[1]
            found = re.search(r"[?&]after=(\d+)", target)
            after = int(found.group(1)) if found else -1
            self.fleet.record(f"{self.name}: {target}")
            if "watch=1" not in target:
                body = json.dumps(self.document()).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                sock.sendall(head.encode() + body)
                return
            time.sleep(self.delay)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                with self.changed:
                    targets = [t for rev, t in self.changes if rev > after]
                    document = self.document(targets if 41 <= after <= self.rev else None)
                    self.fleet.record(f"{self.name}: writes rev {self.rev} with {len(document['targets'])} entries")
                    after = self.rev
                sock.sendall(chunk(json.dumps(document).encode() + b"\n"))
                while True:
                    with self.changed:
                        if self.rev == after:
                            self.changed.wait(2.0)
                        if self.rev > after:
                            break
                    sock.sendall(chunk(b"\n"))
        with contextlib.suppress(OSError):
            sock.close()


class Answer:
    """What a client got: ``status`` 0 where nothing came."""

    def __init__(self) -> None:
        self.status, self.events, self.whole, self.error = 0, [], False, ""
        self.headers: dict[str, str] = {}
        self.first_at = self.ended_at = 0.0

    def __str__(self) -> str:
        kind = "whole" if self.whole else f"cut off ({self.error})"
        return f"{self.status or 'no answer'}, {len(self.events)} events, {kind}"


def read_answer(reader: Reader, record: Record) -> Answer:
    """One answer from a client's connection."""
    answer = Answer()
    try:
        while True:
            first, headers = reader.head()
            status = int(first.split(" ")[1])
            if status >= 200:
                break
        answer.status, answer.headers = status, headers
        answer.first_at = record.now()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while data := reader.chunk():
                answer.events.append(data)
        else:
            answer.events.append(reader.exactly(int(headers.get("content-length", "0"))))
        answer.whole = True
    except (OSError, EOFError, ValueError) as error:
        answer.error = type(error).__name__
    answer.ended_at = record.now()
    return answer


class Fleet:
    """The stand-ins and nodes of one play."""

    def __init__(self, folder: pathlib.Path, readers: int = 6, writers: int = 6) -> None:
        self.record = Record(folder)
        self.lock = threading.Lock()
        self.calls: list[Call] = []  # whole requests for work, as engines received them
        self.held: dict[str, str] = {}  # read states: request id, reader
        self._numbers = itertools.count()
        self.readers = [Engine(self, f"s-read-{n}", "read", n % 2) for n in range(readers)]
        self.writers = [Engine(self, f"s-write-{n}", "write", n % 2) for n in range(writers)]
        self.engines = [*self.readers, *self.writers]
        self.discovery = Discovery(self)
        self.processes: list[subprocess.Popen] = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review2-"))

    def new_id(self) -> str:
        return f"{uuid.uuid4().hex[:10]}{next(self._numbers):06x}"

    def settings(self, **changes: object) -> dict:
        """The settings of a small deployment, of the form and with the figures of the site suva-charge."""

        def cls(name: str, aim: int, deadline: int, worth: float, effect: str) -> dict:
            return {
                "name": name, "aim_ns": aim, "hard_limit_ns": deadline, "worth": worth, "late_worth": 0.2,
                "semantics": effect, "dedup_scope": "all", "key_ttl_ns": 5_000_000_000, "stream": True,
            }  # fmt: skip

        effect = str(changes.get("effect", "pure"))
        classes = [
            cls("quick-find", 1_500_000_000, 6_000_000_000, 1.0, effect),
            cls("trip-plan", 2_500_000_000, 10_000_000_000, 3.0, effect),
        ]
        return {
            "balancers": 2, "me": 0, "tier": 0, "zone": 0, "zones": ["hall-a", "hall-b"],
            "kinds": ["prefill", "decode"], "kind_of_service": "twostage", "discovery": "pushed",
            "stages": ["model-fleet"], "tenants": [], "tick_ns": 4_000_000, "value_by": "work", "weights": "off",
            "over_share_worth": 0.1,
            "bounds": {
                "cancel": True, "conn_idle_ns": 30_000_000_000, "connect_timeout_ns": 250_000_000, "max_attempts": 4,
                "max_retry_after_ns": 500_000_000, "most_held": 20_000, "peers": False, "probing": True,
                "retry_after": True, "second_copies": False, "streams_per_conn": 32,
                "cpu_us_per_s": 400_000, "cpu_us_per_request": 0.0,
            },
            "clients": {"marks_retry": True},
            "contract": {
                "ask_every_ns": 10_000_000_000, "cold_from": 0.26, "fall_ns": 3_000_000_000,
                "grace_to_answer_ns": 16_000_000, "overload_factor": 3.0, "stop_sending_within_ns": 250_000_000,
                "warm_within_ns": 14_000_000_000,
            },
            "family_info": {
                "aim_us_per_1000_prompt_tokens": [40_000.0, 40_000.0], "kv_tokens": [209_611, 115_579],
                "may_reserve": True, "move_fee": 0.03, "release_within_ns": 500_000_000,
                "report_x0": "share_of_memory_that_is_held",
                "report_x1": "thousands_of_prompt_tokens_waiting_to_be_read_or_fetched", "resume": False,
                "role_by_kind": ["read", "write"], "token_aim_ns": [60_000_000, 80_000_000], "writers_read": False,
            },
            "report": {"fields": ["inflight", "queue", "x0", "x1"], "source": "inline"},
            "request_classes": classes,
        }  # fmt: skip

    def start_node(self, name: str = "n0", **changes: object) -> Node:
        return Node(self, name, changes)

    def chat(self, time_left_ms: int, request: str = "", cls: str = "quick-find", prompt: int = 1_000) -> bytes:
        """The bytes of one request."""
        request = request or self.new_id()
        body = json.dumps(
            {"model": "chat", "stream": True, "max_tokens": 200, "messages": [{"role": "user", "content": "x" * 200}]}
        ).encode()
        head = [
            f"POST {CHAT} HTTP/1.1", "Host: origin.svc", f"X-Correlation-Id: {request}", f"X-Service-Class: {cls}",
            f"X-Session-Key: {uuid.uuid4().hex[:16]}", f"X-Time-Left: {time_left_ms}m",
            f"X-Facts: prompt_len={prompt},prefix_len=0,max_out=200", f"Content-Length: {len(body)}",
        ]  # fmt: skip
        return "\r\n".join([*head, "", ""]).encode() + body

    def ask(self, node: Node, time_left_ms: int, wait: float = 20.0, **fields) -> Answer:
        """One request on a new connection, and its answer."""
        request = fields.pop("request", "") or self.new_id()
        sock = node.connect(wait)
        self.record(f"client: sends {request}, {time_left_ms} ms left")
        sock.sendall(self.chat(time_left_ms, request, **fields))
        sent_at = self.record.now()
        answer = read_answer(Reader(sock), self.record)
        sock.close()
        answer.request, answer.sent_at, answer.time_left = request, sent_at, time_left_ms / 1000
        self.record(f"client: {request} got {answer}, ended {answer.ended_at - sent_at:.3f} s after it was sent")
        return answer

    def calls_for(self, request: str) -> list[Call]:
        with self.lock:
            return [c for c in self.calls if c.request == request]

    def close(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    os.killpg(process.pid, signal.SIGKILL)
                process.wait(5)
        shutil.rmtree(self.folder, ignore_errors=True)


class Node:
    """One node, started with ``run`` of the deploy file."""

    def __init__(self, fleet: Fleet, name: str, changes: dict) -> None:
        self.fleet, self.name = fleet, name
        port = free_port()
        self.address = ("127.0.0.1", port)
        self.config_path = fleet.folder / f"{name}.json"
        self.config = {
            "name": name,
            "listen": f"127.0.0.1:{port}",
            "discovery": fleet.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {
                "cores": 1.0,
                "memory_mb": int(changes.get("memory_mb", 192)),
                "sockets": int(changes.get("sockets", 512)),
            },
            "known": fleet.discovery.document(),
            "settings": fleet.settings(**changes),
        }
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = fleet.folder / f"{name}.tmp"
        temporary.mkdir()
        environ = {
            **{k: v for k, v in os.environ.items() if not k.startswith("EDGE_")},
            "EDGE_NAME": name, "EDGE_LISTEN": self.config["listen"], "EDGE_DISCOVERY": fleet.discovery.address,
            "EDGE_CONFIG": str(self.config_path), "TMPDIR": str(temporary),
        }  # fmt: skip
        self.log_path = fleet.folder / f"{name}.log"
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environ, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                start_new_session=True,
            )  # fmt: skip
        fleet.processes.append(self.process)
        fleet.record(f"node {name}: started as process {self.process.pid}, listens on {self.config['listen']}")
        self._await_ready()

    def write_config(self) -> None:
        fresh = self.config_path.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        fresh.replace(self.config_path)

    def _await_ready(self) -> None:
        until = time.monotonic() + 30
        while time.monotonic() < until:
            with contextlib.suppress(OSError, EOFError, ValueError, IndexError):
                sock = self.connect(1.0)
                sock.sendall(b"GET /up HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
                answer = read_answer(Reader(sock), self.fleet.record)
                sock.close()
                if answer.status == 200:
                    self.fleet.record(f"node {self.name}: ready")
                    return
            if self.process.poll() is not None:
                raise CannotRun(f"the node ended at its start: {self.log_text()[-500:]}")
            time.sleep(0.05)
        raise CannotRun("the node was not ready within 30 s")

    def connect(self, wait: float) -> socket.socket:
        sock = socket.create_connection(self.address, timeout=5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(wait)
        return sock

    def signal(self, number: int) -> None:
        self.fleet.record(f"node {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log_text(self) -> str:
        return self.log_path.read_text(errors="replace")


def main(folder: pathlib.Path, play, **sizes) -> None:
    """Run ``play(fleet, trouble)``, which returns what broke the rule (empty if it held), and exit by the issue's
    codes."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = Fleet(folder, **sizes)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))

    def too_long() -> None:
        fleet.record(f"could not run: not over after {LONGEST_S:g} s")
        fleet.close()
        os._exit(CANNOT_RUN)

    watchdog = threading.Timer(LONGEST_S, too_long)
    watchdog.daemon = True
    watchdog.start()
    code = CANNOT_RUN
    try:
        fleet.record(f"the disruption is {'on' if trouble else 'off'}")
        broken = play(fleet, trouble)
        code = BROKEN if broken else HELD
        for line in broken:
            fleet.record(f"BROKEN: {line}")
            print(f"broken: {line}")
        if not broken:
            print("held")
            fleet.record("the rule held")
    except CannotRun as error:
        print(f"could not run: {error}")
        fleet.record(f"could not run: {error}")
    finally:
        for path in sorted(fleet.folder.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines()[:200]:
                fleet.record(f"log of {path.stem}: {line[:600]}")
        fleet.close()
    sys.stdout.flush()
    os._exit(code)
