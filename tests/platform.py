"""The platform in small: engines and discovery that speak its protocol, on threads, and what passed on their sockets.

Written from the protocol's page.  An engine reads (202) or writes (a stream) after a short while; states and places are
kept for all engines together, so that a test can see what is left held.  ``faults`` scripts an engine's next answers.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from stonetrack.edge.config import parse
from stonetrack.edge.serve import EdgeNode
from stonetrack.fronts.host import listen
from stonetrack.wire import http1, writer
from tests.rig import Client, wait_for
from tests.test_edge import SETTINGS

REPORT = "TEXT inflight=1, queue=0, x0=0.1, x1=0.2"
CHAT = "/v1/chat/completions"


def free_port() -> int:
    with contextlib.closing(listen("127.0.0.1", 0, 1)) as sock:
        return int(sock.getsockname()[1])


class Served:
    """A listener whose connections each have a thread."""

    def __init__(self) -> None:
        self.listener = listen("127.0.0.1", 0, 256)
        self.port: int = self.listener.getsockname()[1]
        self.open: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.open.add(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        reader = http1.MessageReader(http1.Side.REQUESTS)
        head, body = None, b""
        with contextlib.suppress(OSError, ValueError):
            while data := sock.recv(65_536):
                for event in reader.feed(data):
                    if isinstance(event, http1.RequestHead):
                        head, body = event, b""
                    elif isinstance(event, http1.Data):
                        body += event.data
                    elif isinstance(event, http1.End) and head is not None:
                        self.request(sock, head, body)
        self.open.discard(sock)
        sock.close()

    def request(self, sock: socket.socket, head: http1.RequestHead, body: bytes) -> None:
        raise NotImplementedError

    def close(self) -> None:
        """As a process that dies: connections are reset and new ones refused."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in list(self.open):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RDWR)


class Engine(Served):
    """One engine; ``role`` is prefill or decode."""

    def __init__(self, world: Platform, name: str, role: str) -> None:
        self.world, self.name, self.role = world, name, role
        self.faults: deque[str] = deque()
        self.release_delay = 0.0
        self.place_delay = 0.0
        self.load = REPORT
        self.deaf = False  # probes are not answered
        super().__init__()

    def request(self, sock: socket.socket, head: http1.RequestHead, body: bytes) -> None:
        world = self.world
        job, _, request = head.path.rpartition("/")
        if head.method == "DELETE":
            time.sleep(self.release_delay)
            world.note("release", self.name, request)
            with world.lock:
                world.held.pop(request, None)
            sock.sendall(writer.response(204, []))
        elif head.path == "/metrics/load":
            world.note("probe", self.name, "")
            if not self.deaf:
                sock.sendall(writer.response(200, [("X-Backend-Load", self.load)], self.load.encode()))
        elif job == "/kv/leases":
            time.sleep(self.place_delay)
            world.note("place", self.name, request)
            with world.lock:
                world.held.setdefault(request, set()).add("place")
            sock.sendall(writer.response(200, [("X-Backend-Load", REPORT)]))
        else:
            request = head.headers.get("x-correlation-id")
            world.note("read" if self.role == "prefill" else "write", self.name, request)
            world.bodies[request] = body
            world.left[request] = head.headers.get("x-time-left")
            attempt = (self.name, time.monotonic())
            with world.lock:
                world.out.setdefault(request, set()).add(attempt)
                world.most_out = max(world.most_out, len(world.out[request]))

            def over() -> None:
                with world.lock:
                    world.out[request].discard(attempt)

            try:
                self._run(sock, request, over)
            finally:
                over()

    def _run(self, sock: socket.socket, request: str, over: Callable[[], None]) -> None:
        """``over`` is called right before the bytes that end the attempt, so that the next one is not taken for a
        second copy."""
        world = self.world
        fault = self.faults.popleft() if self.faults else ""
        if fault == "hang":
            with contextlib.suppress(OSError):
                sock.recv(1)
            return
        time.sleep(world.work)
        if fault or self.role == "prefill":
            over()
        if fault == "noise":
            sock.sendall(b"\x16\x03\x01 noise\r\n\r\n")
            return
        if fault == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
            return
        if fault in ("400", "500", "503"):
            extra = [("X-Unprocessed", "1")] if fault == "503" else []
            sock.sendall(writer.response(int(fault), extra))
            return
        if self.role == "prefill":
            with world.lock:
                world.held.setdefault(request, set()).add("state")
            sock.sendall(writer.response(202, [("X-Backend-Load", REPORT)], b'{"cached_tokens":%d}' % world.cached))
            return
        with world.lock:
            held = world.held.pop(request, set())
        if "state" not in held:
            over()
            sock.sendall(writer.response(410, [("X-Unprocessed", "1")]))
            return
        ahead = b"HTTP/1.1 103 Early Hints\r\n\r\n" if fault == "ahead" else b""
        sock.sendall(ahead + writer.streamed(200, [("Content-Type", "text/event-stream")]))
        for n in range(world.events):
            event = b'data: {"choices":[{"index":0,"delta":{"content":"%d"}}]}\n\n' % n
            sock.sendall(writer.chunk(event))
            if fault == "spoilt" and n == 1:
                sock.sendall(b"zz\r\nnoise")
                with contextlib.suppress(OSError):
                    sock.recv(1)
                return
            time.sleep(world.pause)
        end = b'data: {"choices":[],"usage":{"prompt_tokens_details":{"cached_tokens":16}}}\n\ndata: [DONE]\n\n'
        over()
        sock.sendall(writer.chunk(end + f": X-Backend-Load: {REPORT}\n\n".encode()) + writer.LAST_CHUNK)
        if fault == "behind":
            sock.sendall(writer.response(200, [], b"again"))


class Discovery(Served):
    """The agent; a change is told to every watch at once."""

    def __init__(self, world: Platform) -> None:
        self.world = world
        self.changed = threading.Condition()
        self.asked: list[str] = []
        super().__init__()

    def request(self, sock: socket.socket, head: http1.RequestHead, body: bytes) -> None:
        self.asked.append(head.target)
        sock.sendall(writer.streamed(200, [("Content-Type", "application/json")]))
        rev = -1
        while True:
            with self.changed:
                if self.world.rev == rev and not self.changed.wait(0.5):
                    sock.sendall(writer.chunk(b"\n"))
                    continue
                rev = self.world.rev
                document = self.world.document()
            for part in (document[:30], document[30:] + b"\n"):
                sock.sendall(writer.chunk(part))


class Platform:
    """Engines, discovery and the record of what passed."""

    def __init__(self, readers: int, writers: int) -> None:
        self.lock = threading.Lock()
        self.seen: list[tuple[float, str, str, str]] = []  # when, what, engine, request
        self.held: dict[str, set[str]] = {}
        self.out: dict[str, set[tuple[str, float]]] = {}
        self.most_out = 0
        self.bodies: dict[str, bytes] = {}
        self.left: dict[str, str] = {}
        self.work, self.pause, self.events = 0.005, 0.005, 5
        self.cached = 16  # tokens that every read is said to have found kept
        self.rev = 1
        names = [*(f"r{n}" for n in range(readers)), *(f"w{n}" for n in range(writers))]
        self.engines = {name: Engine(self, name, "prefill" if name[0] == "r" else "decode") for name in names}
        self.states = dict.fromkeys(names, "SERVING")
        self.boots = dict.fromkeys(names, 0)  # Unix time in milliseconds
        self.discovery = Discovery(self)
        self.listen = free_port()

    def note(self, what: str, engine: str, request: str) -> None:
        with self.lock:
            self.seen.append((time.monotonic(), what, engine, request))

    def which(self, request: str) -> list[tuple[str, str]]:
        """What passed for a request, in order."""
        with self.lock:
            return [(what, engine) for _, what, engine, r in self.seen if r == request]

    def document(self) -> bytes:
        targets = [{"uid": name, "endpoint": f"127.0.0.1:{engine.port}", "az": "a", "model": engine.role,
                    "pod_group": 0, "state": self.states[name], "capacity_hint": 1.0,
                    "boot_ms": self.boots.get(name, 0)}
                   for name, engine in self.engines.items()]  # fmt: skip
        return json.dumps({"rev": self.rev, "all": True, "targets": targets}).encode()

    def change(self, name: str, state: str) -> None:
        with self.discovery.changed:
            self.states[name] = state
            self.rev += 1
            self.discovery.changed.notify_all()

    def config(self, **limits: Any) -> bytes:
        chat = {"name": "chat", "aim_ns": 1_500_000_000, "hard_limit_ns": 6_000_000_000, "semantics": "pure"}
        settings = {**SETTINGS, "request_classes": [chat]}
        return json.dumps({
            "name": "n0", "listen": f"127.0.0.1:{self.listen}", "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "ab", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, **limits},
            "known": json.loads(self.document()), "settings": settings}).encode()  # fmt: skip

    def close(self) -> None:
        for each in (*self.engines.values(), self.discovery):
            each.close()


@contextmanager
def platform(readers: int = 2, writers: int = 2) -> Iterator[Platform]:
    made = Platform(readers, writers)
    try:
        yield made
    finally:
        made.close()


@contextmanager
def node(world: Platform, traced: bool = False, **limits: Any) -> Iterator[EdgeNode]:
    """A node in this process."""
    made = EdgeNode(parse(world.config(**limits)), traced)
    made.start()
    try:
        yield made
    finally:
        made.stop()


def at_rest(made: EdgeNode) -> bool:
    """Whether nothing is counted as out, waiting or held."""
    router = made.core.router
    servers = router.servers.values()  # type: ignore[attr-defined]
    return not (
        router.requests  # type: ignore[attr-defined]
        or any(s.waiting or s.streams or s.states or s.work_out for s in servers)
        or made.core.open_requests
        or made.leases.open
    )


def up(port: int) -> bool:
    """Whether a node answers there that it serves."""
    try:
        client = Client(port, 1.0)
    except OSError:
        return False
    client.ask(b"", "/up", "GET")
    status = client.answer()[0].status
    client.sock.close()
    return status == 200


class Program:
    """The program itself, with a configuration in a file."""

    def __init__(self, world: Platform, folder: Path) -> None:
        self.path = folder / "config.json"
        self.path.write_bytes(world.config())
        env = {**os.environ, "EDGE_CONFIG": str(self.path)}
        self.process = subprocess.Popen([sys.executable, "-m", "stonetrack", "edge"], env=env, stderr=subprocess.PIPE)
        assert wait_for(lambda: up(world.listen)), "not up in time"

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(10.0)
        assert self.process.stderr is not None
        self.process.stderr.close()


@contextmanager
def program(world: Platform, folder: Path) -> Iterator[Program]:
    made = Program(world, folder)
    try:
        yield made
    finally:
        made.end()


def headers(request: str, **changes: str) -> str:
    """A usual client's."""
    fields = {"X-Correlation-Id": request, "X-Service-Class": "chat", "X-Session-Key": f"s-{request}",
              "X-Time-Left": "3000m", "X-Facts": "prompt_len=800,max_out=100",
              **{name.replace("_", "-"): value for name, value in changes.items()}}  # fmt: skip
    return "".join(f"{name}: {value}\r\n" for name, value in fields.items())


def ask(client: Client, request: str, **changes: str) -> tuple[http1.ResponseHead, bytes]:
    """One request and its whole answer.  Raises where the answer breaks off."""
    client.ask(b'{"model":"chat"}', CHAT, headers=headers(request, **changes))
    return client.answer()
