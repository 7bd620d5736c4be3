"""Emulated engines and discovery of the platform, on threads and blocking sockets.

They follow the protocol page.  A prefill engine answers 202, a decode engine streams; states and reservations are kept
in the records of :mod:`.engine_side`, where a test or the oracle sees what is held.  An engine misbehaves as its
:class:`EngineFault` says while that is set; ``scripted_faults`` holds one fault for each of its next attempts.
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
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from stonetrack.clocks import wall_time
from stonetrack.fleet.listening import bound, end_listening
from stonetrack.soak.engine_side import Arrival, End, EngineStateRecords
from stonetrack.soak.unspecified import MOST_HELPFUL, EngineBehaviour, Reply
from stonetrack.wire import http1, writer

LOAD_REPORT = "TEXT inflight=1, queue=0, x0=0.1, x1=0.2"
CHAT = "/v1/chat/completions"
UNKNOWN_REPLY_DELAY = 0.3  # seconds before Reply.UNKNOWN_LATE is sent
SLOW_FACTOR = 10  # factor on the duration of a slow engine's work
LATE_REJECTION_DELAY = 0.6  # seconds; longer than the node's bound for releases
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s
BACKLOG = 256
UNFINISHED_PAUSE = 0.06  # seconds between pieces of what is never completed
UNFINISHED_SECONDS = 30.0  # after which an engine that completes nothing stops
SLOW_WRITE_PAUSE = 0.002  # seconds after each byte that an engine with SLOW_WRITES writes
SLOW_READ_BYTES, SLOW_READ_PAUSE = 64, 0.02  # of each read with SLOW_READS; seconds before it


class EngineFault(Enum):
    """A way in which an engine misbehaves while the fault lasts."""

    HANG_BEFORE = "hangs before its work"
    HANG_DURING = "hangs within its work"
    HANG_BEFORE_END = "hangs before the end of its answer"
    SLOW = "ten times slower"
    FULL = "turns away (503)"
    FULL_LATE = "turns away late (503 after a while)"
    ERRORS = "answers 500"
    STATES_LOST = "says that states are gone (410)"
    RESETS = "resets before its answer"
    CORRUPT_STREAM = "spoils its streams"
    ENDLESS_STREAM = "streams never end"
    UNFINISHED_SIZE = "goes on with a chunk's size that never ends"
    GIGABYTES = "says that a chunk has gigabytes, and goes on with events"
    UNFINISHED_EVENT = "goes on with chunks that complete no event"
    UNFINISHED_TRAILER = "goes on with a trailer that never ends"
    SLOW_WRITES = "writes its streams byte by byte"
    SLOW_READS = "reads requests slowly"
    SECOND_ANSWER = "sends a second answer behind the first"
    INTERIM_RESPONSE = "sends 1xx ahead"
    RESETS_IDLE = "resets idle connections"


UNFINISHED = {
    EngineFault.UNFINISHED_SIZE: (b"0", b"0"),
    EngineFault.GIGABYTES: (b"c0000000\r\n", b'data: {"choices":[]}\n\n'),
    EngineFault.UNFINISHED_EVENT: (b"", writer.chunk(b"x")),
    EngineFault.UNFINISHED_TRAILER: (b"0\r\nX-A: ", b"b"),
}
"""What an engine with one of these faults sends after its second event, once, and again and again."""


class EngineCall(NamedTuple):
    """A call that an engine received; ``at`` is in seconds of the monotonic clock."""

    at: float
    what: str
    engine: str
    request: str


@dataclass(frozen=True)
class LateAnswer:
    """Bytes that an engine sends ``delay`` seconds after each of its answers to an attempt."""

    data: bytes
    delay: float


def listen(port: int = 0, backlog: int = BACKLOG) -> socket.socket:
    """A listening socket on loopback."""
    sock = bound(port)
    sock.listen(backlog)
    return sock


class ThreadedServer:
    """An HTTP server with one thread per connection."""

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
            while data := self.receive(sock):
                for event in reader.feed(data):
                    if isinstance(event, http1.RequestHead):
                        head, body = event, b""
                    elif isinstance(event, http1.Data):
                        body += event.data
                    elif isinstance(event, http1.End) and head is not None:
                        self.request(sock, head, body)
        self.open.discard(sock)
        sock.close()

    def receive(self, sock: socket.socket) -> bytes:
        """Receive the next bytes of a connection; empty at its end."""
        return sock.recv(65_536)

    def request(self, sock: socket.socket, head: http1.RequestHead, body: bytes) -> None:
        """Serve one request.  Raises OSError if its connection breaks."""
        raise NotImplementedError

    def close(self) -> None:
        """Reset all connections and refuse new ones, like a process that is killed."""
        end_listening(self.listener)
        for sock in list(self.open):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                sock.shutdown(socket.SHUT_RDWR)

    def reopen(self) -> None:
        """Listen at the same address again."""
        self.listener = listen(self.port)
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()


def wait_for_close(sock: socket.socket, seconds: float) -> bool:
    """Wait for so many seconds; return whether the peer closed the connection or its sending side meanwhile."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return bool(poller.poll(seconds * 1_000.0))


def go_on(sock: socket.socket, start: bytes, piece: bytes) -> None:
    """Send ``start``, then ``piece`` again and again.  Raises OSError once the node has closed the connection."""
    until = time.monotonic() + UNFINISHED_SECONDS
    sock.sendall(start)
    while time.monotonic() < until and not wait_for_close(sock, UNFINISHED_PAUSE):
        sock.sendall(piece)


class Engine(ThreadedServer):
    """An emulated engine; ``role`` is prefill or decode."""

    def __init__(self, platform: Platform, name: str, role: str) -> None:
        self.platform, self.name, self.role = platform, name, role
        self.scripted_faults: deque[str] = deque()
        self.fault: EngineFault | None = None
        self.release_delay = 0.0
        self.reservation_delay = 0.0
        self.load_report = LOAD_REPORT
        self.ignores_probes = False
        self.late_answer: LateAnswer | None = None
        super().__init__()

    @property
    def is_decode(self) -> bool:
        """Whether it is a decode engine."""
        return self.role == "decode"

    def close(self) -> None:
        """See ``ThreadedServer.close``; the engine loses everything that it holds."""
        super().close()
        with self.platform.lock:
            self.platform.state_records.engine_stopped(self.name, time.monotonic_ns())

    def receive(self, sock: socket.socket) -> bytes:
        """See ``ThreadedServer.receive``; with ``EngineFault.RESETS_IDLE`` an idle connection is reset."""
        if self.fault is EngineFault.RESETS_IDLE and not select.select([sock], [], [], 0.3)[0]:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            return b""
        if self.fault is EngineFault.SLOW_READS:
            time.sleep(SLOW_READ_PAUSE)
            return sock.recv(SLOW_READ_BYTES)
        return sock.recv(65_536)

    def request(self, sock: socket.socket, head: http1.RequestHead, body: bytes) -> None:
        """See ``ThreadedServer.request``."""
        job, _, request = head.path.rpartition("/")
        if head.method == "DELETE":
            self._release(sock, request)
        elif head.path == "/metrics/load":
            self.platform.record_call("probe", self.name, "")
            if not self.ignores_probes:
                sock.sendall(writer.response(200, [("X-Backend-Load", self.load_report)], self.load_report.encode()))
        elif job == "/kv/leases":
            self._reserve(sock, request)
        else:
            self._attempt(sock, head, body)

    def _release(self, sock: socket.socket, request: str) -> None:
        time.sleep(self.release_delay)
        self.platform.record_call("release", self.name, request)
        with self.platform.lock:
            includes_running_prefills = self.platform.behaviour.release_includes_running_prefill(request)
            self.platform.state_records.release(request, time.monotonic_ns(), includes_running_prefills)
        sock.sendall(writer.response(204, []))

    def _reserve(self, sock: socket.socket, request: str) -> None:
        time.sleep(self.reservation_delay)
        self.platform.record_call("place", self.name, request)
        drawn = self.platform.behaviour.reservation(request)
        if drawn.reply is Reply.UNKNOWN_LATE:
            wait_for_close(sock, self.platform.unknown_reply_delay)
        if drawn.held:
            with self.platform.lock:
                self.platform.state_records.reserve(request, self.name, time.monotonic_ns())
        if drawn.reply is not Reply.SILENCE:
            sock.sendall(writer.response(drawn.reply.status, [("X-Backend-Load", self.load_report)]))

    def _attempt(self, sock: socket.socket, head: http1.RequestHead, body: bytes) -> None:
        platform = self.platform
        request = head.headers.get("x-correlation-id")
        platform.record_call("write" if self.is_decode else "read", self.name, request)
        platform.request_bodies[request], platform.times_left[request] = body, head.headers.get("x-time-left")
        sent_time_left = int(platform.times_left[request][:-1] or 0) * 1_000_000
        with platform.lock:
            arrival = Arrival(
                request, self.name, self.is_decode, time.monotonic_ns(), sock.getpeername()[1], sent_time_left
            )  # fmt: skip
            state_available = platform.state_records.attempt_arrived(arrival)
            platform.max_concurrent_attempts = max(
                platform.max_concurrent_attempts, platform.count_open_attempts(request)
            )
        try:
            self._run(sock, arrival, state_available)
        except OSError:
            self._handle_cancellation(sock, arrival)
            raise
        finally:
            self._end_attempt(arrival, End.FAILED)

    def _handle_cancellation(self, sock: socket.socket, arrival: Arrival) -> None:
        """The node cancelled the attempt; a prefill may still complete."""
        platform = self.platform
        continues = (
            not arrival.is_decode and not arrival.ended and platform.behaviour.prefill_continues(arrival.request)
        )
        self._end_attempt(arrival, End.CANCELLED, arrival.is_decode and not arrival.first_event, continues)
        if not continues:
            return
        while self.fault in (EngineFault.HANG_BEFORE, EngineFault.HANG_DURING):
            time.sleep(0.05)
        time.sleep(self._scaled(platform.work_seconds))
        with platform.lock:
            platform.state_records.prefill_completed(arrival, time.monotonic_ns())
        if platform.behaviour.answers_late_prefill(arrival.request):
            with contextlib.suppress(OSError):
                sock.sendall(self._prefill_response())

    def _end_attempt(
        self, arrival: Arrival, end: End, state_retained: bool = False, prefill_continues: bool = False
    ) -> None:
        """Record the end of an attempt, right before the bytes that end it, so that the next does not overlap it."""
        with self.platform.lock:
            self.platform.state_records.attempt_ended(
                arrival, time.monotonic_ns(), end, state_retained, prefill_continues
            )

    def _scaled(self, seconds: float) -> float:
        return seconds * (SLOW_FACTOR if self.fault is EngineFault.SLOW else 1)

    def _work_for(self, sock: socket.socket, seconds: float) -> None:
        """Emulate work of so many seconds.  Raises ConnectionError if the node cancels the attempt meanwhile."""
        if wait_for_close(sock, self._scaled(seconds)):
            raise ConnectionError("the node cancelled the attempt")

    def _hang(self, sock: socket.socket, fault: EngineFault) -> None:
        while self.fault is fault:
            self._work_for(sock, 0.05)

    def _run(self, sock: socket.socket, arrival: Arrival, state_available: bool) -> None:
        scripted = self.scripted_faults.popleft() if self.scripted_faults else ""
        if scripted == "hang":
            while True:
                self._work_for(sock, 60.0)
        self._hang(sock, EngineFault.HANG_BEFORE)
        late = self.fault is EngineFault.FULL_LATE
        if late:
            self._work_for(sock, LATE_REJECTION_DELAY)
        if not self._rejected(sock, arrival, "503" if late else scripted, state_available):
            self._work_for(sock, self.platform.work_seconds)
            self._hang(sock, EngineFault.HANG_DURING)
            if self._failed(sock, arrival, scripted):
                return
            if self.is_decode:
                self._stream(sock, arrival, scripted)
            else:
                self._complete_prefill(sock, arrival)
            if (late_answer := self.late_answer) is not None:
                time.sleep(late_answer.delay)
                sock.sendall(late_answer.data)

    def _rejected(self, sock: socket.socket, arrival: Arrival, scripted: str, state_available: bool) -> bool:
        full = scripted == "503" or self.fault is EngineFault.FULL
        gone = self.is_decode and (not state_available or self.fault is EngineFault.STATES_LOST)
        if not full and not gone:
            return False
        self._end_attempt(arrival, End.REJECTED, state_retained=full)
        status = self.platform.behaviour.rejection_status(arrival.request) if full else 410
        sock.sendall(writer.response(status, [("X-Unprocessed", "1")]))
        return True

    def _failed(self, sock: socket.socket, arrival: Arrival, scripted: str) -> bool:
        """Whether the attempt fails before its answer but after its effect."""
        fault = self.fault
        if scripted == "noise":
            self._end_attempt(arrival, End.FAILED)
            sock.sendall(b"\x16\x03\x01 noise\r\n\r\n")
        elif scripted == "reset" or fault is EngineFault.RESETS:
            self._end_attempt(arrival, End.FAILED)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            sock.close()
        elif scripted in ("400", "500") or fault is EngineFault.ERRORS:
            self._end_attempt(arrival, End.FAILED)
            sock.sendall(writer.response(int(scripted or 500), []))
        else:
            return False
        return True

    def _complete_prefill(self, sock: socket.socket, arrival: Arrival) -> None:
        platform = self.platform
        with platform.lock:
            now = time.monotonic_ns()
            platform.state_records.prefill_completed(arrival, now)
            platform.state_records.attempt_ended(arrival, now, End.ANSWERED)
        sock.sendall(self._prefill_response())

    def _prefill_response(self) -> bytes:
        return writer.response(
            202, [("X-Backend-Load", self.load_report)], b'{"cached_tokens":%d}' % self.platform.cached_tokens
        )

    def _stream(self, sock: socket.socket, arrival: Arrival, scripted: str) -> None:
        platform = self.platform
        fault = self.fault
        ahead = (
            b"HTTP/1.1 103 Early Hints\r\n\r\n" if scripted == "ahead" or fault is EngineFault.INTERIM_RESPONSE else b""
        )
        arrival.first_event = time.monotonic_ns()
        sock.sendall(ahead + writer.chunked_head(200, [("Content-Type", "text/event-stream")]))
        number = 0
        while number < platform.event_count or self.fault is EngineFault.ENDLESS_STREAM:
            event = {"choices": [{"index": 0, "delta": {"content": str(number)}}], "written_ns": time.monotonic_ns()}
            self._write(sock, writer.chunk(b"data: " + json.dumps(event).encode() + b"\n\n"))
            if number == 1 and fault in UNFINISHED:
                go_on(sock, *UNFINISHED[fault])
                return
            if number == 1 and (scripted == "spoilt" or fault is EngineFault.CORRUPT_STREAM):
                sock.sendall(b"zz\r\nnoise")
                wait_for_close(sock, 30.0)
                return
            number += 1
            self._work_for(sock, platform.event_interval)
        self._hang(sock, EngineFault.HANG_BEFORE_END)
        end = b'data: {"choices":[],"usage":{"prompt_tokens_details":{"cached_tokens":16}}}\n\ndata: [DONE]\n\n'
        self._end_attempt(arrival, End.ANSWERED)
        sock.sendall(writer.chunk(end + f": X-Backend-Load: {self.load_report}\n\n".encode()) + writer.LAST_CHUNK)
        if scripted == "behind" or fault is EngineFault.SECOND_ANSWER:
            sock.sendall(writer.response(200, [], b"again"))

    def _write(self, sock: socket.socket, data: bytes) -> None:
        """Write part of a stream, as fast as the engine's fault allows."""
        if self.fault is not EngineFault.SLOW_WRITES:
            sock.sendall(data)
            return
        for n in range(len(data)):
            sock.sendall(data[n : n + 1])
            time.sleep(SLOW_WRITE_PAUSE)


class Discovery(ThreadedServer):
    """A node's discovery agent; it sends each change to all watches at once unless it is ``silent``."""

    def __init__(self, platform: Platform, node: int = 0) -> None:
        self.platform, self.node = platform, node
        self.changed = platform.changed
        self.request_targets: list[str] = []
        self.silent = False
        self.unfinished = False  # its watches go on with bytes that complete nothing
        self.unfinished_watches = 0
        self.deliveries: list[tuple[int, int]] = []  # time and version of each list written
        super().__init__()

    def request(self, sock: socket.socket, head: http1.RequestHead, body: bytes) -> None:
        """See ``ThreadedServer.request``: a watch that lasts as long as its connection."""
        self.request_targets.append(head.target)
        while self.silent:
            if wait_for_close(sock, 0.05):
                return
        sock.sendall(writer.chunked_head(200, [("Content-Type", "application/json")]))
        rev = -1
        while True:
            if self.unfinished:
                self._go_on(sock)
                return
            with self.changed:
                if self.silent or (self.platform.rev == rev and not self.changed.wait(0.5)):
                    silent = self.silent
                else:
                    silent = False
                    rev, document = self.platform.rev, self.platform.document(self.node)
                    self.deliveries.append((time.monotonic_ns(), rev))
                    for part in (document[:30], document[30:] + b"\n"):
                        sock.sendall(writer.chunk(part))
                    continue
            if silent:
                if wait_for_close(sock, 0.05):
                    return
            else:
                sock.sendall(writer.chunk(b"\n"))

    def _go_on(self, sock: socket.socket) -> None:
        self.unfinished_watches += 1
        try:
            go_on(sock, b"c0000000\r\n{", b" ")
        finally:
            self.unfinished_watches -= 1


class Platform:
    """Emulated engines and discovery agents, and the records of the calls that they received."""

    def __init__(self, prefill_count: int, decode_count: int, node_count: int = 1) -> None:
        self.lock = threading.RLock()
        self.changed = threading.Condition()
        self.state_records = EngineStateRecords()
        self.calls: list[EngineCall] = []
        self.max_concurrent_attempts = 0
        self.request_bodies: dict[str, bytes] = {}
        self.times_left: dict[str, str] = {}
        self.work_seconds, self.event_interval, self.event_count = 0.005, 0.005, 5
        self.unknown_reply_delay = UNKNOWN_REPLY_DELAY
        self.behaviour = EngineBehaviour(0, MOST_HELPFUL)  # what the protocol page leaves unspecified
        self.cached_tokens = 16  # prefix cache hit that every prefill reports, in tokens
        self.rev = 1
        names = [*(f"r{n}" for n in range(prefill_count)), *(f"w{n}" for n in range(decode_count))]
        self.engines = {name: Engine(self, name, "prefill" if name[0] == "r" else "decode") for name in names}
        self.states = dict.fromkeys(names, "SERVING")
        self.changes: list[tuple[int, int, str, str]] = []  # time, version, engine, its new state
        self.boot_times_ms = dict.fromkeys(names, 0)  # Unix time in milliseconds
        self.endpoint_of: Callable[[int, str], str] = lambda node, name: f"127.0.0.1:{self.engines[name].port}"
        self.agents = [Discovery(self, node) for node in range(node_count)]

    @property
    def held(self) -> dict[str, set[str]]:
        """Kinds of state held without an open attempt, by request."""
        with self.lock:
            found: dict[str, set[str]] = {}
            for record in self.state_records.still_held():
                found.setdefault(record.request, set()).add(record.kind.value)
            return found

    def count_open_attempts(self, request: str) -> int:
        """The number of attempts of a request that have arrived and not ended."""
        return sum(1 for each in self.state_records.arrivals[-2_000:] if each.request == request and not each.ended)

    def record_call(self, what: str, engine: str, request: str) -> None:
        """Record the arrival of a call."""
        with self.lock:
            self.calls.append(EngineCall(time.monotonic(), what, engine, request))

    def calls_for(self, request: str) -> list[tuple[str, str]]:
        """The calls of a request (kind, engine), in order."""
        with self.lock:
            return [(each.what, each.engine) for each in self.calls if each.request == request]

    def document(self, node: int = 0) -> bytes:
        """The full server list as sent to one node."""
        targets = [{"uid": name, "endpoint": self.endpoint_of(node, name), "az": "a", "model": engine.role,
                    "pod_group": 0, "state": self.states[name], "capacity_hint": 1.0,
                    "boot_ms": self.boot_times_ms.get(name, 0)}
                   for name, engine in self.engines.items()]  # fmt: skip
        return json.dumps({"rev": self.rev, "all": True, "targets": targets}).encode()

    def change_state(self, name: str, state: str) -> None:
        """Change an engine's state and notify the watches."""
        with self.changed:
            self.states[name] = state
            self._changed(name, state)

    def restart_engine(self, name: str) -> None:
        """Restart a closed engine, with empty caches, at its address."""
        self.engines[name].reopen()
        with self.changed:
            self.boot_times_ms[name] = int(wall_time() * 1_000)
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
        """Close all engines and agents."""
        for each in (*self.engines.values(), *self.agents):
            each.close()
