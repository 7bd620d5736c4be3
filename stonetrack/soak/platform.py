"""Emulated engines and discovery of the platform, on threads and blocking sockets.

Written from the protocol's page.  A prefill engine reads (202), a decode engine streams; states and reservations are
in the books of :mod:`.engine_side`, so that a test or the oracle sees what is held.  What an engine does wrong is its
:class:`Trouble`, for a time; ``faults`` scripts its next attempts one by one.
"""

from __future__ import annotations

import contextlib
import json
import select
import socket
import struct
import threading
import time
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

from stonetrack.clocks import wall_time
from stonetrack.fleet.listening import bound, end_listening
from stonetrack.soak.engine_side import Arrival, End, EngineSide
from stonetrack.soak.latitude import KINDEST, Latitude, Reply
from stonetrack.wire import http1, writer

REPORT = "TEXT inflight=1, queue=0, x0=0.1, x1=0.2"
CHAT = "/v1/chat/completions"
UNKNOWN_AFTER = 0.3  # seconds after which a reservation is answered as unknown
SLOWER = 10  # times as long lasts the work of a slow engine
FULL_LATE_AFTER = 0.6  # seconds after which an engine turns away late: past the time for releases
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, no time
BACKLOG = 256


class Trouble(Enum):
    """What an engine does wrong while it lasts."""

    HANG_BEFORE = "hangs before its work"
    HANG_WITHIN = "hangs within its work"
    HANG_BEHIND = "hangs before the end of its answer"
    SLOW = "ten times slower"
    FULL = "turns away (503)"
    FULL_LATE = "turns away late (503 after a while)"
    ERRORS = "answers 500"
    STATES_GONE = "says that states are gone (410)"
    RESETS = "resets before its answer"
    SPOILT = "spoils its streams"
    ENDLESS = "streams never end"
    SECOND_ANSWER = "sends a second answer behind the first"
    AHEAD = "sends 1xx ahead"
    FORGETS_IDLE = "resets idle connections"


class Seen(NamedTuple):
    """One call at an engine; ``at`` in seconds of the monotonic clock."""

    at: float
    what: str
    engine: str
    request: str


def listen(port: int = 0, backlog: int = BACKLOG) -> socket.socket:
    """A listening socket on loopback."""
    sock = bound(port)
    sock.listen(backlog)
    return sock


class Served:
    """A listener whose connections each have a thread."""

    def __init__(self) -> None:
        self.listener = listen()
        self.port: int = self.listener.getsockname()[1]
        self.open: set[socket.socket] = set()
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.open.add(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        reader = http1.MessageReader(http1.Side.REQUESTS)
        head, body = None, b""
        with contextlib.suppress(OSError, ValueError):
            while data := self.next_bytes(sock):
                for event in reader.feed(data):
                    if isinstance(event, http1.RequestHead):
                        head, body = event, b""
                    elif isinstance(event, http1.Data):
                        body += event.data
                    elif isinstance(event, http1.End) and head is not None:
                        self.request(sock, head, body)
        self.open.discard(sock)
        sock.close()

    def next_bytes(self, sock: socket.socket) -> bytes:
        """What comes next on a connection, empty at its end."""
        return sock.recv(65_536)

    def request(self, sock: socket.socket, head: http1.RequestHead, body: bytes) -> None:
        """Serve one request.  Raises OSError where its connection breaks."""
        raise NotImplementedError

    def close(self) -> None:
        """As a process that dies: connections are reset and new ones refused."""
        end_listening(self.listener)
        for sock in list(self.open):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                sock.shutdown(socket.SHUT_RDWR)

    def again(self) -> None:
        """Listen again at the same address."""
        self.listener = listen(self.port)
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()


def closed_within(sock: socket.socket, seconds: float) -> bool:
    """Wait so long; whether the other side closed meanwhile."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return bool(poller.poll(seconds * 1_000.0))


class Engine(Served):
    """One engine; ``role`` is prefill or decode."""

    def __init__(self, world: Platform, name: str, role: str) -> None:
        self.world, self.name, self.role = world, name, role
        self.faults: deque[str] = deque()
        self.trouble: Trouble | None = None
        self.release_delay = 0.0
        self.place_delay = 0.0
        self.load = REPORT
        self.deaf = False  # probes are not answered
        super().__init__()

    @property
    def decodes(self) -> bool:
        """Whether it is a decode engine."""
        return self.role == "decode"

    def close(self) -> None:
        """See ``Served.close``; what it held is gone."""
        super().close()
        with self.world.lock:
            self.world.books.engine_gone(self.name, time.monotonic_ns())

    def next_bytes(self, sock: socket.socket) -> bytes:
        """See ``Served.next_bytes``; an engine that forgets idle connections resets them."""
        if self.trouble is Trouble.FORGETS_IDLE and not select.select([sock], [], [], 0.3)[0]:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            return b""
        return sock.recv(65_536)

    def request(self, sock: socket.socket, head: http1.RequestHead, body: bytes) -> None:
        """See ``Served.request``."""
        job, _, request = head.path.rpartition("/")
        if head.method == "DELETE":
            self._release(sock, request)
        elif head.path == "/metrics/load":
            self.world.note("probe", self.name, "")
            if not self.deaf:
                sock.sendall(writer.response(200, [("X-Backend-Load", self.load)], self.load.encode()))
        elif job == "/kv/leases":
            self._reserve(sock, request)
        else:
            self._attempt(sock, head, body)

    def _release(self, sock: socket.socket, request: str) -> None:
        time.sleep(self.release_delay)
        self.world.note("release", self.name, request)
        with self.world.lock:
            takes_reads = self.world.latitude.release_takes_running_read(request)
            self.world.books.release(request, time.monotonic_ns(), takes_reads)
        sock.sendall(writer.response(204, []))

    def _reserve(self, sock: socket.socket, request: str) -> None:
        time.sleep(self.place_delay)
        self.world.note("place", self.name, request)
        drawn = self.world.latitude.reservation(request)
        if drawn.reply is Reply.UNKNOWN_LATE:
            closed_within(sock, self.world.unknown_after)
        if drawn.held:
            with self.world.lock:
                self.world.books.reserve(request, self.name, time.monotonic_ns())
        if drawn.reply is not Reply.SILENCE:
            sock.sendall(writer.response(drawn.reply.status, [("X-Backend-Load", self.load)]))

    def _attempt(self, sock: socket.socket, head: http1.RequestHead, body: bytes) -> None:
        world = self.world
        request = head.headers.get("x-correlation-id")
        world.note("write" if self.decodes else "read", self.name, request)
        world.bodies[request], world.left[request] = body, head.headers.get("x-time-left")
        told = int(world.left[request][:-1] or 0) * 1_000_000
        with world.lock:
            arrival = Arrival(
                request, self.name, self.decodes, time.monotonic_ns(), sock.getpeername()[1], told
            )  # fmt: skip
            has_state = world.books.arrived(arrival)
            world.most_out = max(world.most_out, world.count_out(request))
        try:
            self._run(sock, arrival, has_state)
        except OSError:
            self._given_up(sock, arrival)
            raise
        finally:
            self._over(arrival, End.FAILED)

    def _given_up(self, sock: socket.socket, arrival: Arrival) -> None:
        """The node gave the attempt up; a read may go on to its end all the same."""
        world = self.world
        goes_on = not arrival.decodes and not arrival.ended and world.latitude.reads_on(arrival.request)
        self._over(arrival, End.GIVEN_UP, arrival.decodes and not arrival.first_event, goes_on)
        if not goes_on:
            return
        while self.trouble in (Trouble.HANG_BEFORE, Trouble.HANG_WITHIN):
            time.sleep(0.05)
        time.sleep(self._lasts(world.work))
        with world.lock:
            world.books.read(arrival, time.monotonic_ns())
        if world.latitude.tells_late_end(arrival.request):
            with contextlib.suppress(OSError):
                sock.sendall(self._read_answer())

    def _over(self, arrival: Arrival, end: End, state_kept: bool = False, reads_on: bool = False) -> None:
        """The attempt ends: called right before the bytes that end it, so that the next is not taken for a second."""
        with self.world.lock:
            self.world.books.ended(arrival, time.monotonic_ns(), end, state_kept, reads_on)

    def _lasts(self, seconds: float) -> float:
        return seconds * (SLOWER if self.trouble is Trouble.SLOW else 1)

    def _pause(self, sock: socket.socket, seconds: float) -> None:
        """Work for so long.  Raises ConnectionError where the node gives the attempt up meanwhile."""
        if closed_within(sock, self._lasts(seconds)):
            raise ConnectionError("the node gave the attempt up")

    def _hang(self, sock: socket.socket, trouble: Trouble) -> None:
        while self.trouble is trouble:
            self._pause(sock, 0.05)

    def _run(self, sock: socket.socket, arrival: Arrival, has_state: bool) -> None:
        fault = self.faults.popleft() if self.faults else ""
        if fault == "hang":
            while True:
                self._pause(sock, 60.0)
        self._hang(sock, Trouble.HANG_BEFORE)
        late = self.trouble is Trouble.FULL_LATE
        if late:
            self._pause(sock, FULL_LATE_AFTER)
        if not self._turned_away(sock, arrival, "503" if late else fault, has_state):
            self._pause(sock, self.world.work)
            self._hang(sock, Trouble.HANG_WITHIN)
            if self._failed(sock, arrival, fault):
                return
            if self.decodes:
                self._stream(sock, arrival, fault)
            else:
                self._read(sock, arrival)

    def _turned_away(self, sock: socket.socket, arrival: Arrival, fault: str, has_state: bool) -> bool:
        full = fault == "503" or self.trouble is Trouble.FULL
        gone = self.decodes and (not has_state or self.trouble is Trouble.STATES_GONE)
        if not full and not gone:
            return False
        self._over(arrival, End.TURNED_AWAY, state_kept=full)
        status = self.world.latitude.turned_away(arrival.request) if full else 410
        sock.sendall(writer.response(status, [("X-Unprocessed", "1")]))
        return True

    def _failed(self, sock: socket.socket, arrival: Arrival, fault: str) -> bool:
        """Whether the attempt fails before its answer, with its effect."""
        trouble = self.trouble
        if fault == "noise":
            self._over(arrival, End.FAILED)
            sock.sendall(b"\x16\x03\x01 noise\r\n\r\n")
        elif fault == "reset" or trouble is Trouble.RESETS:
            self._over(arrival, End.FAILED)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            sock.close()
        elif fault in ("400", "500") or trouble is Trouble.ERRORS:
            self._over(arrival, End.FAILED)
            sock.sendall(writer.response(int(fault or 500), []))
        else:
            return False
        return True

    def _read(self, sock: socket.socket, arrival: Arrival) -> None:
        world = self.world
        with world.lock:
            now = time.monotonic_ns()
            world.books.read(arrival, now)
            world.books.ended(arrival, now, End.ANSWERED)
        sock.sendall(self._read_answer())

    def _read_answer(self) -> bytes:
        return writer.response(202, [("X-Backend-Load", self.load)], b'{"cached_tokens":%d}' % self.world.cached)

    def _stream(self, sock: socket.socket, arrival: Arrival, fault: str) -> None:
        world = self.world
        trouble = self.trouble
        ahead = b"HTTP/1.1 103 Early Hints\r\n\r\n" if fault == "ahead" or trouble is Trouble.AHEAD else b""
        arrival.first_event = time.monotonic_ns()
        sock.sendall(ahead + writer.chunked_head(200, [("Content-Type", "text/event-stream")]))
        number = 0
        while number < world.events or self.trouble is Trouble.ENDLESS:
            event = {"choices": [{"index": 0, "delta": {"content": str(number)}}], "written_ns": time.monotonic_ns()}
            sock.sendall(writer.chunk(b"data: " + json.dumps(event).encode() + b"\n\n"))
            if number == 1 and (fault == "spoilt" or trouble is Trouble.SPOILT):
                sock.sendall(b"zz\r\nnoise")
                closed_within(sock, 30.0)
                return
            number += 1
            self._pause(sock, world.pause)
        self._hang(sock, Trouble.HANG_BEHIND)
        end = b'data: {"choices":[],"usage":{"prompt_tokens_details":{"cached_tokens":16}}}\n\ndata: [DONE]\n\n'
        self._over(arrival, End.ANSWERED)
        sock.sendall(writer.chunk(end + f": X-Backend-Load: {self.load}\n\n".encode()) + writer.LAST_CHUNK)
        if fault == "behind" or trouble is Trouble.SECOND_ANSWER:
            sock.sendall(writer.response(200, [], b"again"))


class Discovery(Served):
    """A node's discovery agent; a change is told to every watch at once, unless it is ``silent``."""

    def __init__(self, world: Platform, node: int = 0) -> None:
        self.world, self.node = world, node
        self.changed = world.changed
        self.asked: list[str] = []
        self.silent = False
        self.told: list[tuple[int, int]] = []  # when a version was written, and which
        super().__init__()

    def request(self, sock: socket.socket, head: http1.RequestHead, body: bytes) -> None:
        """See ``Served.request``: a watch, for as long as its connection lasts."""
        self.asked.append(head.target)
        while self.silent:
            if closed_within(sock, 0.05):
                return
        sock.sendall(writer.chunked_head(200, [("Content-Type", "application/json")]))
        rev = -1
        while True:
            with self.changed:
                if self.silent or (self.world.rev == rev and not self.changed.wait(0.5)):
                    silent = self.silent
                else:
                    silent = False
                    rev, document = self.world.rev, self.world.document(self.node)
                    self.told.append((time.monotonic_ns(), rev))
                    for part in (document[:30], document[30:] + b"\n"):
                        sock.sendall(writer.chunk(part))
                    continue
            if silent:
                if closed_within(sock, 0.05):
                    return
            else:
                sock.sendall(writer.chunk(b"\n"))


class Platform:
    """Engines, discovery and the record of what passed."""

    def __init__(self, readers: int, writers: int, nodes: int = 1) -> None:
        self.lock = threading.RLock()
        self.changed = threading.Condition()
        self.books = EngineSide()
        self.seen: list[Seen] = []
        self.most_out = 0
        self.bodies: dict[str, bytes] = {}
        self.left: dict[str, str] = {}
        self.work, self.pause, self.events = 0.005, 0.005, 5
        self.unknown_after = UNKNOWN_AFTER
        self.latitude = Latitude(0, KINDEST)  # what the page leaves open, as the engines keep it
        self.cached = 16  # tokens that every read is said to have found kept
        self.rev = 1
        names = [*(f"r{n}" for n in range(readers)), *(f"w{n}" for n in range(writers))]
        self.engines = {name: Engine(self, name, "prefill" if name[0] == "r" else "decode") for name in names}
        self.states = dict.fromkeys(names, "SERVING")
        self.changes: list[tuple[int, int, str, str]] = []  # when, version, engine, its state from then on
        self.boots = dict.fromkeys(names, 0)  # Unix time in milliseconds
        self.endpoint: Callable[[int, str], str] = lambda node, name: f"127.0.0.1:{self.engines[name].port}"
        self.agents = [Discovery(self, node) for node in range(nodes)]

    @property
    def held(self) -> dict[str, set[str]]:
        """What is held with no attempt out, by request."""
        with self.lock:
            found: dict[str, set[str]] = {}
            for stay in self.books.still_held():
                found.setdefault(stay.request, set()).add(stay.kind.value)
            return found

    def count_out(self, request: str) -> int:
        """Attempts of a request that have arrived and not ended."""
        return sum(1 for each in self.books.arrivals[-2_000:] if each.request == request and not each.ended)

    def note(self, what: str, engine: str, request: str) -> None:
        """A call has arrived."""
        with self.lock:
            self.seen.append(Seen(time.monotonic(), what, engine, request))

    def which(self, request: str) -> list[tuple[str, str]]:
        """What passed for a request, in order."""
        with self.lock:
            return [(each.what, each.engine) for each in self.seen if each.request == request]

    def document(self, node: int = 0) -> bytes:
        """The whole list as one node is told it."""
        targets = [{"uid": name, "endpoint": self.endpoint(node, name), "az": "a", "model": engine.role,
                    "pod_group": 0, "state": self.states[name], "capacity_hint": 1.0,
                    "boot_ms": self.boots.get(name, 0)}
                   for name, engine in self.engines.items()]  # fmt: skip
        return json.dumps({"rev": self.rev, "all": True, "targets": targets}).encode()

    def change(self, name: str, state: str) -> None:
        """An engine's state changes, and is told."""
        with self.changed:
            self.states[name] = state
            self._changed(name, state)

    def restarted(self, name: str) -> None:
        """An engine that was closed is back, cold, at its address."""
        self.engines[name].again()
        with self.changed:
            self.boots[name] = int(wall_time() * 1_000)
            self._changed(name, self.states[name])

    def _changed(self, name: str, state: str) -> None:
        self.rev += 1
        self.changes.append((time.monotonic_ns(), self.rev, name, state))
        self.changed.notify_all()

    def configuration(self, name: str, node: int, listen_port: int, discovery: str, settings: dict[str, Any],
                      **limits: Any) -> bytes:  # fmt: skip
        """A node's configuration file."""
        return json.dumps({
            "name": name, "listen": f"127.0.0.1:{listen_port}", "discovery": discovery, "seed": "ab",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, **limits},
            "known": json.loads(self.document(node)), "settings": settings}).encode()  # fmt: skip

    def close(self) -> None:
        """End all engines and agents."""
        for each in (*self.engines.values(), *self.agents):
            each.close()
