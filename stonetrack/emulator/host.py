"""The stand-ins' sockets: one thread, one epoll set, any number of engines, the list service and the control port.

List: ``GET /engines?after=VERSION&origin=HISTORY&wait_ms=N`` tells of the list service's own
:class:`~stonetrack.discovery.history.History` what is newer (204 when the wait is over), without its turns and its
disk.  A change of an engine shows there ``list_delay_ms`` later.  Control: ``POST /fault`` with ``{"engine", "fault",
…}``, and ``GET /state``.
"""

from __future__ import annotations

import contextlib
import heapq
import select
import signal
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

import msgspec

from stonetrack.api import Role, ServerState
from stonetrack.clocks import wall_time
from stonetrack.discovery.history import History
from stonetrack.discovery.state_file import new_origin
from stonetrack.emulator.engine import MS, WARM, Cut, Engine, Events, Fell, Note, Out, Reply, Spec
from stonetrack.emulator.tap import Tap
from stonetrack.engines import load, protocol
from stonetrack.wire import http1, sse, writer
from stonetrack.wire.errors import ProtocolError

_ABORT = b"\1\0\0\0\0\0\0\0"
FAULTS = (
    "crash",
    "hang",
    "pause",
    "slow",
    "half",
    "flush",
    "full",
    "throttle",
    "lost",
    "errors",
    "leave",
    "list_late",
    "close_idle",
)


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What a process of stand-ins hosts."""

    engines: tuple[Spec, ...]
    seed: int = 1
    host: str = "127.0.0.1"
    list_delay_ms: float = 100.0
    keep_alive_ms: float = 5_000.0


class FaultError(ValueError):
    """A fault that can't be carried out; the text says what is allowed."""


@dataclass
class Conn:
    """One connection to an engine or to the list service."""

    key: int
    sock: socket.socket
    at: Slot | None  # None for the list and control port
    reader: http1.MessageReader
    opened: int
    out: bytearray = field(default_factory=bytearray)
    head: http1.RequestHead | None = None
    body: bytearray = field(default_factory=bytearray)
    busy: str = ""  # id of the request under way
    attempt: str = ""
    instance: str = ""
    job: str = ""
    streaming: bool = False
    idle_since: int = 0
    close_after: bool = False
    later: list[tuple[http1.RequestHead, bytes]] = field(default_factory=list)  # came while the engine was frozen


@dataclass
class Slot:
    """An engine's place: its port, and the engine while it runs."""

    spec: Spec
    listener: socket.socket | None
    port: int
    engine: Engine | None
    started: int = WARM
    started_unix: float = 0.0
    leaving: bool = False
    frozen: bool = False
    close_idle: bool = False


class Host:
    """Runs a fleet until :meth:`stop`."""

    def __init__(self, fleet: Fleet, tap: Tap, control_port: int = 0) -> None:
        self.fleet, self.tap = fleet, tap
        self.list_delay = int(fleet.list_delay_ms * MS)
        self._epoll = select.epoll()
        self._conns: dict[int, Conn] = {}
        self._by_key: dict[int, Conn] = {}
        self._listeners: dict[int, tuple[socket.socket, Slot | None]] = {}
        self._next_key = 0
        self._timers: list[tuple[int, int, Callable[[], None]]] = []
        self._timer_count = 0
        self._history = History(new_origin(), 0)
        self._watchers: list[tuple[Conn, int, str, int]] = []  # connection, version and history it has, until
        self._stopping = False
        self._wake, self._waker = socket.socketpair()
        self._epoll.register(self._wake.fileno(), select.EPOLLIN)
        self._calls: list[Callable[[], None]] = []
        now = time.monotonic_ns()
        self.slots: dict[str, Slot] = {}
        for spec in fleet.engines:
            if spec.name in self.slots:
                raise FaultError(f"engine {spec.name!r} stands twice")
            listener = self._listen(0)
            slot = Slot(spec, listener, listener.getsockname()[1], None)
            self.slots[spec.name] = slot
            slot.engine = Engine(spec, fleet.seed, now, WARM, self._find)
            self._watch(listener, slot)
            self._note_up(slot)
        control = self._listen(control_port)
        self.control_port = control.getsockname()[1]
        self._watch(control, None)
        self._publish()

    # Putting together.

    def _listen(self, port: int) -> socket.socket:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.fleet.host, port))
        listener.listen(1024)
        return listener

    def _watch(self, listener: socket.socket, slot: Slot | None) -> None:
        listener.setblocking(False)
        self._listeners[listener.fileno()] = (listener, slot)
        self._epoll.register(listener.fileno(), select.EPOLLIN)

    def _find(self, name: str) -> Engine | None:
        slot = self.slots.get(name)
        return slot.engine if slot is not None else None

    def _note_up(self, slot: Slot) -> None:
        spec = slot.spec
        self.tap.note(
            "up",
            engine=spec.name,
            role=spec.role.value,
            port=slot.port,
            cold=slot.started != WARM,
            started=slot.started,
            capacity=spec.capacity,
            cold_share=spec.cold_share,
            warm_ms=spec.warm_ms,
            cold_multiple=spec.cold_multiple,
            cold_window_ms=spec.cold_window_ms,
        )

    @property
    def list_url(self) -> str:
        """Where the list is served."""
        return f"http://{self.fleet.host}:{self.control_port}/engines"

    def later(self, delay: int, call: Callable[[], None]) -> None:
        """Call after so many nanoseconds (from the host's thread)."""
        self._timer_count += 1
        heapq.heappush(self._timers, (time.monotonic_ns() + delay, self._timer_count, call))

    def post(self, call: Callable[[], None]) -> None:
        """Call in the host's thread, from any thread."""
        self._calls.append(call)
        with contextlib.suppress(OSError):
            self._waker.send(b"x")

    def stop(self) -> None:
        """End :meth:`run`, from any thread or a signal."""
        self._stopping = True
        with contextlib.suppress(OSError):
            self._waker.send(b"x")

    # The loop.

    def run(self) -> None:
        """Serve until stopped."""
        while not self._stopping:
            for fd, mask in self._epoll.poll(self._timeout(), 512):
                if fd == self._wake.fileno():
                    self._wake.recv(4_096)
                elif fd in self._listeners:
                    self._accept(*self._listeners[fd])
                elif (conn := self._conns.get(fd)) is not None:
                    self._ready(conn, mask)
            while self._calls:
                self._calls.pop(0)()
            now = time.monotonic_ns()
            while self._timers and self._timers[0][0] <= now:
                heapq.heappop(self._timers)[2]()
            for slot in self.slots.values():
                engine = slot.engine
                if engine is not None and (due := engine.next_due()) is not None and due <= now:
                    self._carry(slot, engine.tick(now))
                    if slot.engine is engine and slot.frozen and now >= engine.faults.frozen_until:
                        self._thaw(slot)
            self._expire(now)
            self.tap.flush()
        self.tap.flush()
        for conn in list(self._conns.values()):
            self._drop(conn)
        for listener, _ in self._listeners.values():
            listener.close()
        self._epoll.close()
        self._wake.close()
        self._waker.close()

    def _timeout(self) -> float:
        now = time.monotonic_ns()
        due = now + 50 * MS
        if self._timers:
            due = min(due, self._timers[0][0])
        for slot in self.slots.values():
            if slot.engine is not None and (at := slot.engine.next_due()) is not None:
                due = min(due, at)
        return max(0.0, (due - now) / 1e9)

    def _accept(self, listener: socket.socket, slot: Slot | None) -> None:
        for _ in range(64):
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._next_key += 1
            now = time.monotonic_ns()
            limits = http1.Limits(body=64 << 20)
            conn = Conn(self._next_key, sock, slot, http1.MessageReader(http1.Side.REQUESTS, limits), now)
            conn.idle_since = now
            self._conns[sock.fileno()] = self._by_key[conn.key] = conn
            self._epoll.register(sock.fileno(), select.EPOLLIN | select.EPOLLRDHUP)

    def _ready(self, conn: Conn, mask: int) -> None:
        if mask & select.EPOLLOUT:
            self._flush(conn)
        if not mask & (select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR):
            return
        try:
            data = conn.sock.recv(262_144)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._peer_left(conn)
            return
        try:
            events = conn.reader.feed(data)
        except ProtocolError as error:
            self._send(conn, writer.response(error.status, [("Connection", "close")], str(error).encode()))
            conn.close_after = True
            self._flush(conn)
            return
        for event in events:
            if isinstance(event, http1.RequestHead):
                conn.head, conn.body = event, bytearray()
            elif isinstance(event, http1.Data):
                conn.body += event.data
            elif isinstance(event, http1.End) and conn.head is not None:
                self._request(conn, conn.head, bytes(conn.body))

    def _peer_left(self, conn: Conn) -> None:
        if conn.at is not None and conn.busy:
            self.tap.note("left", engine=conn.at.spec.name, id=conn.busy, n=conn.attempt, conn=conn.key)
        slot = conn.at
        self._drop(conn, gone=False)
        if slot is not None and slot.engine is not None and not slot.frozen:
            self._carry(slot, slot.engine.gone(time.monotonic_ns(), conn.key))
        elif slot is not None and slot.engine is not None:
            engine, key = slot.engine, conn.key
            wait = max(0, engine.faults.frozen_until - time.monotonic_ns())
            self.later(
                wait,
                lambda: self._carry(slot, engine.gone(time.monotonic_ns(), key)) if slot.engine is engine else None,
            )

    def _drop(self, conn: Conn, gone: bool = True, hard: bool = False) -> None:
        fd = conn.sock.fileno()
        if self._conns.pop(fd, None) is None:
            return
        self._by_key.pop(conn.key, None)
        with contextlib.suppress(OSError):
            self._epoll.unregister(fd)
        if hard:
            with contextlib.suppress(OSError):
                conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT)
        if gone and conn.busy and conn.at is not None:
            self.tap.note("cut", engine=conn.at.spec.name, id=conn.busy, n=conn.attempt, conn=conn.key)
        conn.sock.close()

    # Requests.

    def _request(self, conn: Conn, head: http1.RequestHead, body: bytes) -> None:
        if conn.at is None:
            self._control(conn, head, body)
            return
        slot = conn.at
        conn.busy = head.headers.get("x-request-id") or f"conn-{conn.key}"
        attempt = head.headers.get("x-attempt")
        conn.attempt = attempt if attempt.isdecimal() else "0"
        conn.instance = head.headers.get("x-stonetrack-instance")
        acting = head.headers.get("x-stonetrack-acting")
        conn.streaming = False
        conn.job = self._job(head, body)
        more: dict[str, Any] = {"place": b'"kv_transfer_params"' not in body} if conn.job == "release" else {}
        if acting:
            more["acting"] = acting
        self.tap.note(
            "request",
            engine=slot.spec.name,
            id=conn.busy,
            n=conn.attempt,
            instance=conn.instance,
            conn=conn.key,
            job=conn.job,
            key=head.headers.get("idempotency-key"),
            **more,
        )
        if slot.frozen:
            conn.later.append((head, body))
            return
        self._run(conn, slot, head, body)

    @staticmethod
    def _job(head: http1.RequestHead, body: bytes) -> str:
        if head.path == protocol.CHAT_PATH:
            if b'"do_remote_decode":true' in body:
                return "read"
            return "write" if b'"do_remote_prefill":true' in body else "whole"
        return {protocol.RELEASE_PATH: "release", protocol.RESERVE_PATH: "hold", "/metrics": "probe"}.get(
            head.path, "other"
        )

    def _run(self, conn: Conn, slot: Slot, head: http1.RequestHead, body: bytes) -> None:
        engine = slot.engine
        if engine is None:
            self._drop(conn, hard=True)
            return
        now = time.monotonic_ns()
        if conn.job == "probe":
            self._reply(conn, 200, self._metrics(engine).encode(), "text/plain; version=0.0.4")
            return
        try:
            raw = msgspec.json.decode(body) if body else {}
        except msgspec.DecodeError:
            raw = None
        if not isinstance(raw, dict) or conn.job == "other":
            self._reply(conn, 404 if isinstance(raw, dict) else 400, b'{"error":{"message":"not served here"}}')
        elif conn.job == "hold":
            held = engine.hold(conn.busy)
            if held:
                self.tap.note("place", engine=slot.spec.name, id=conn.busy, instance=conn.instance)
            self._reply(conn, 200 if held else 409, b"{}")
        elif conn.job == "release":
            place = "kv_transfer_params" not in raw
            attempt = raw.get("attempt")
            if engine.release(conn.busy, place, attempt if isinstance(attempt, int) else None):
                self.tap.note("let go", engine=slot.spec.name, id=conn.busy, place=place)
            self._reply(conn, 200, b"{}")
        else:
            place = "x-held-place" in head.headers
            if place and engine.places.get(conn.busy):
                self.tap.note("let go", engine=slot.spec.name, id=conn.busy, place=True)
            self._carry(slot, engine.arrive(now, conn.key, conn.busy, raw, place, int(conn.attempt or 0)))

    @staticmethod
    def _metrics(engine: Engine) -> str:
        report = engine.report()
        waiting = report.queued or 0.0
        return (
            f'vllm:num_requests_running{{model_name="demo"}} {(report.in_flight or 0.0) - waiting}\n'
            f'vllm:num_requests_waiting{{model_name="demo"}} {waiting}\n'
            f'vllm:kv_cache_usage_perc{{model_name="demo"}} {report.memory_share}\n'
            f'vllm:waiting_prompt_tokens{{model_name="demo"}} {report.waiting_tokens}\n'
        )

    def _carry(self, slot: Slot, out: list[Out]) -> None:
        name = slot.spec.name
        for each in out:
            if isinstance(each, Note):
                self.tap.note(each.what, engine=name, **each.fields)
                continue
            if isinstance(each, Fell):
                self.tap.note("fell", engine=name)
                self._down(slot, "fell")
                return
            conn = self._by_key.get(each.key)
            if conn is None:
                continue
            if isinstance(each, Reply):
                self._reply(conn, each.status, msgspec.json.encode(each.body))
            elif isinstance(each, Cut):
                if each.data:
                    self._send(conn, writer.chunk(each.data))
                self._drop(conn, hard=not each.data)
            elif isinstance(each, Events):
                self._events(conn, slot, each)

    def _events(self, conn: Conn, slot: Slot, each: Events) -> None:
        data = writer.chunk(b"".join(sse.encode(event) for event in each.data))
        if each.first:
            report = [(load.HEADER, load.to_header(slot.engine.report()))] if slot.engine is not None else []
            data = (
                writer.chunked_head(200, [("Content-Type", "text/event-stream"), ("X-Request-Id", conn.busy), *report])
                + data
            )
            conn.streaming = True
            self.tap.note("first", engine=slot.spec.name, id=conn.busy, n=conn.attempt, conn=conn.key)
        if each.last:
            data += writer.LAST_CHUNK
        self._send(conn, data)
        if each.last:
            self._done(conn, 200)

    def _reply(self, conn: Conn, status: int, body: bytes, kind: str = "application/json") -> None:
        headers = [("Content-Type", kind)]
        if conn.at is not None and conn.at.engine is not None:
            headers.append((load.HEADER, load.to_header(conn.at.engine.report())))
        self._send(conn, writer.response(status, headers, body))
        self._done(conn, status)

    def _done(self, conn: Conn, status: int) -> None:
        if conn.at is not None:
            self.tap.note(
                "done",
                engine=conn.at.spec.name,
                id=conn.busy,
                n=conn.attempt,
                conn=conn.key,
                status=status,
                job=conn.job,
            )
        conn.busy, conn.idle_since = "", time.monotonic_ns()
        keep = conn.head is None or conn.head.keep_alive
        if not keep or (conn.at is not None and conn.at.close_idle):
            conn.close_after = True
            self._flush(conn)

    # Writing.

    def _send(self, conn: Conn, data: bytes) -> None:
        conn.out += data
        self._flush(conn)

    def _flush(self, conn: Conn) -> None:
        if conn.sock.fileno() not in self._conns:
            return
        try:
            while conn.out:
                sent = conn.sock.send(conn.out, socket.MSG_NOSIGNAL)
                del conn.out[:sent]
        except BlockingIOError:
            self._epoll.modify(conn.sock.fileno(), select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLOUT)
            return
        except OSError:
            self._peer_left(conn)
            return
        if conn.close_after:
            self._drop(conn)
        else:
            self._epoll.modify(conn.sock.fileno(), select.EPOLLIN | select.EPOLLRDHUP)

    def _expire(self, now: int) -> None:
        idle = int(self.fleet.keep_alive_ms * MS)
        for conn in list(self._conns.values()):
            if conn.at is not None and not conn.busy and not conn.later and now - conn.idle_since > idle:
                self._drop(conn)
        for watcher in list(self._watchers):
            conn, _, _, until = watcher
            if until <= now:
                self._watchers.remove(watcher)
                self._send(conn, writer.response(204, []))

    # The list and control.

    def _control(self, conn: Conn, head: http1.RequestHead, body: bytes) -> None:
        conn.head = head
        if head.path == "/engines":
            asked = parse_qs(head.query)
            try:
                after = int(asked.get("after", ["-1"])[0])
                wait = min(int(asked.get("wait_ms", ["0"])[0]), 300_000)
            except ValueError:
                self._plain(conn, 400, {"error": "after and wait_ms: whole numbers are allowed"})
                return
            conn.instance = head.headers.get("x-stonetrack-instance")
            origin = asked.get("origin", [self._history.origin])[0]
            if not self._tell(conn, after, origin):
                self._watchers.append((conn, after, origin, time.monotonic_ns() + wait * MS))
        elif head.path == "/fault" and head.method == "POST":
            try:
                self._plain(conn, 200, {"did": self.fault(msgspec.json.decode(body))})
            except (FaultError, msgspec.DecodeError, TypeError, KeyError, ValueError) as error:
                self._plain(conn, 400, {"error": str(error)})
        elif head.path == "/state":
            self._plain(conn, 200, self.state())
        else:
            self._plain(conn, 404, {"error": "served here: /engines, /fault, /state"})

    def _plain(self, conn: Conn, status: int, body: Any) -> None:
        if not (conn.head is None or conn.head.keep_alive):
            conn.close_after = True
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        self._send(conn, writer.response(status, [("Content-Type", "application/json")], data))

    def state(self) -> dict[str, Any]:
        """What runs."""
        engines = {}
        for name, slot in self.slots.items():
            engine = slot.engine
            engines[name] = {
                "role": slot.spec.role.value,
                "port": slot.port,
                "up": engine is not None,
                "leaving": slot.leaving,
                "states": len(engine.states) if engine else 0,
                "places": len(engine.places) if engine else 0,
                "streams": engine.streams if engine else 0,
                "queued": len(engine.waiting) if engine else 0,
            }
        return {"version": self._history.version, "engines": engines}

    def _tell(self, conn: Conn, after: int, origin: str) -> bool:
        """Tell what is newer; whether there was anything."""
        news = self._history.document_since(after, origin)
        if news is None:
            return False
        states = {name: line["state"] for name, line in self._history.lines.items()}
        up = [name for name, state in states.items() if state == ServerState.UP.value]
        self.tap.note("told", instance=conn.instance, version=news.version,
                      leaving=[name for name in states if name not in up], up=up)  # fmt: skip
        self._plain(conn, 200, news.body)
        return True

    def _publish(self) -> None:
        """Make the engines' states of now the list."""
        engines = []
        for slot in self.slots.values():
            if slot.engine is None:
                continue
            state = ServerState.DRAINING if slot.leaving else ServerState.UP
            engines.append(
                {
                    "name": slot.spec.name,
                    "address": f"{self.fleet.host}:{slot.port}",
                    "kind": slot.spec.role.value,
                    "cell": slot.spec.cell,
                    "zone": slot.spec.zone,
                    "state": state.value,
                    "started": slot.started_unix,
                }
            )
        if self._history.put(engines):
            watchers, self._watchers = self._watchers, []
            for conn, after, origin, _ in watchers:
                if conn.sock.fileno() in self._conns:
                    self._tell(conn, after, origin)

    def _changed(self) -> None:
        self.later(self.list_delay, self._publish)

    # Faults.

    def fault(self, asked: dict[str, Any]) -> str:
        """Carry out one.  Raises FaultError."""
        kind = asked.get("fault")
        if kind not in FAULTS:
            raise FaultError(f"fault {kind!r}; allowed: {', '.join(FAULTS)}")
        span = int(float(asked.get("for_ms", 1_000)) * MS)
        now = time.monotonic_ns()
        self.tap.note("fault", **{k: v for k, v in asked.items() if k != "t"})
        if kind == "list_late":
            before, self.list_delay = self.list_delay, int(float(asked.get("delay_ms", 3_000)) * MS)
            self.later(span, lambda: setattr(self, "list_delay", before))
            return str(kind)
        slot = self.slots.get(str(asked.get("engine")))
        if slot is None:
            raise FaultError(f"engine {asked.get('engine')!r}; allowed: {', '.join(self.slots)}")
        engine = slot.engine
        if engine is None:
            return "it is down"
        faults = engine.faults
        match kind:
            case "crash":
                self._down(slot, "crash")
                self.later(int(float(asked.get("down_ms", 3_000)) * MS), lambda: self._up(slot))
            case "leave":
                slot.leaving = True
                self._changed()
                notice, down = (int(float(asked.get(k, 2_000)) * MS) for k in ("notice_ms", "down_ms"))
                self.later(notice, lambda: self._down(slot, "left"))
                self.later(notice + down, lambda: self._up(slot))
            case "hang" | "pause":
                slot.frozen = True
                faults.frozen_until = now + span
                self.later(span, lambda: self._thaw(slot))
            case "slow":
                faults.slow, faults.slow_until = float(asked.get("factor", 4.0)), now + span
            case "half":
                faults.halves += int(asked.get("count", 1))
            case "flush":
                engine.flush()
            case "full":
                faults.full_until = now + span
            case "throttle":
                faults.throttle, faults.throttle_until = str(asked.get("class", "")), now + span
                faults.throttle_ms = float(asked.get("after_ms", 300.0))
            case "lost":
                faults.lost, faults.lost_until = float(asked.get("share", 1.0)), now + span
            case "errors":
                faults.errors, faults.errors_until = float(asked.get("share", 0.5)), now + span
            case "close_idle":
                slot.close_idle = bool(asked.get("on", True))
        return str(kind)

    def _thaw(self, slot: Slot) -> None:
        engine = slot.engine
        if engine is None or not slot.frozen or time.monotonic_ns() < engine.faults.frozen_until:
            return
        slot.frozen = False
        for conn in [c for c in self._conns.values() if c.at is slot and c.later]:
            later, conn.later = conn.later, []
            for head, body in later:
                self._run(conn, slot, head, body)

    def _down(self, slot: Slot, why: str) -> None:
        """The process ends: all connections are reset, all that it held is gone."""
        engine = slot.engine
        if engine is None:
            return
        for request in engine.states:
            self.tap.note("state lost", engine=slot.spec.name, id=request)
        slot.engine, slot.frozen, slot.leaving = None, False, False
        self.tap.note("down", engine=slot.spec.name, why=why)
        if slot.listener is not None:
            self._epoll.unregister(slot.listener.fileno())
            del self._listeners[slot.listener.fileno()]
            slot.listener.close()
            slot.listener = None
        for conn in [c for c in self._conns.values() if c.at is slot]:
            self._drop(conn, hard=True)
        self._changed()

    def _up(self, slot: Slot) -> None:
        """A new process in its place, cold."""
        if slot.engine is not None or slot.listener is not None:
            return
        try:
            slot.listener = self._listen(slot.port)
        except OSError:
            self.later(100 * MS, lambda: self._up(slot))
            return
        now = time.monotonic_ns()
        slot.started, slot.started_unix = now, wall_time()
        slot.engine = Engine(slot.spec, self.fleet.seed, now, now, self._find)
        self._watch(slot.listener, slot)
        self._note_up(slot)
        self._changed()


def run_process(fleet: Fleet, log: Path | None, control_port: int, ready: Callable[[Host], None]) -> None:
    """Host a fleet in this process until TERM or INT."""
    host = Host(fleet, Tap(log), control_port)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: host.stop())
    ready(host)
    host.run()


def small_fleet(readers: int, writers: int, mixed: int = 0, cells: int = 2, **more: Any) -> tuple[Spec, ...]:
    """Specs of a fleet spread over cells."""
    made = []
    for role, count, letter in ((Role.PREFILL, readers, "r"), (Role.DECODE, writers, "w"), (Role.MIXED, mixed, "m")):
        made += [Spec(name=f"{letter}{n}", role=role, cell=n % cells, **more) for n in range(count)]
    return tuple(made)
