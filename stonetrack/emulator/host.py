"""The emulators' sockets: one thread and one epoll set for all engines, the server list and the control port.

Server list: ``GET /engines?after=VERSION&origin=HISTORY&wait_ms=N`` responds with newer changes from the discovery
service's own :class:`~stonetrack.discovery.history.History` (204 after the wait), without its admission queue and its
persistence.  A change of an engine is visible there ``list_delay_ms`` later.  Control: ``POST /fault`` with
``{"engine", "fault", …}``, and ``GET /state``.
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
from stonetrack.emulator.engine import (
    ALWAYS_WARM,
    MS,
    Engine,
    EngineCrashed,
    Output,
    Reply,
    ResetConnection,
    Spec,
    StreamEvents,
    TapEntry,
)
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
    """The engines that an emulator process hosts."""

    engines: tuple[Spec, ...]
    seed: int = 1
    host: str = "127.0.0.1"
    list_delay_ms: float = 100.0
    keep_alive_ms: float = 5_000.0


class FaultError(ValueError):
    """A fault that can't be injected; the text says what is allowed."""


@dataclass
class Connection:
    """One connection to an engine or to the control port."""

    key: int
    sock: socket.socket
    engine_slot: Slot | None  # None for the control port
    parser: http1.MessageReader
    opened: int
    send_buffer: bytearray = field(default_factory=bytearray)
    head: http1.RequestHead | None = None
    body: bytearray = field(default_factory=bytearray)
    request_id: str = ""  # id of the current request, empty if idle
    attempt: str = ""
    instance: str = ""
    operation: str = ""
    streaming: bool = False
    idle_since: int = 0
    close_after: bool = False
    # Requests received while the engine was frozen.
    deferred_requests: list[tuple[http1.RequestHead, bytes]] = field(default_factory=list)


@dataclass
class Slot:
    """The port of an engine, and the engine while it runs."""

    spec: Spec
    listener: socket.socket | None
    port: int
    engine: Engine | None
    started: int = ALWAYS_WARM
    started_unix: float = 0.0
    draining: bool = False
    frozen: bool = False
    close_idle: bool = False


class Host:
    """Runs a fleet until :meth:`stop`."""

    def __init__(self, fleet: Fleet, tap: Tap, control_port: int = 0) -> None:
        self.fleet, self.tap = fleet, tap
        self.list_delay = int(fleet.list_delay_ms * MS)
        self._epoll = select.epoll()
        self._connections: dict[int, Connection] = {}
        self._by_key: dict[int, Connection] = {}
        self._listeners: dict[int, tuple[socket.socket, Slot | None]] = {}
        self._next_key = 0
        self._timers: list[tuple[int, int, Callable[[], None]]] = []
        self._timer_count = 0
        self._history = History(new_origin(), 0)
        self._watchers: list[tuple[Connection, int, str, int]] = []  # connection, its version and origin, deadline
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
            slot.engine = Engine(spec, fleet.seed, now, ALWAYS_WARM, self._find_engine)
            self._add_listener(listener, slot)
            self._record_up(slot)
        control = self._listen(control_port)
        self.control_port = control.getsockname()[1]
        self._add_listener(control, None)
        self._publish()

    # Setup.

    def _listen(self, port: int) -> socket.socket:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.fleet.host, port))
        listener.listen(1024)
        return listener

    def _add_listener(self, listener: socket.socket, slot: Slot | None) -> None:
        listener.setblocking(False)
        self._listeners[listener.fileno()] = (listener, slot)
        self._epoll.register(listener.fileno(), select.EPOLLIN)

    def _find_engine(self, name: str) -> Engine | None:
        slot = self.slots.get(name)
        return slot.engine if slot is not None else None

    def _record_up(self, slot: Slot) -> None:
        spec = slot.spec
        self.tap.record(
            "up",
            engine=spec.name,
            role=spec.role.value,
            port=slot.port,
            cold=slot.started != ALWAYS_WARM,
            started=slot.started,
            capacity=spec.capacity,
            cold_share=spec.cold_share,
            warm_ms=spec.warm_ms,
            cold_multiple=spec.cold_multiple,
            cold_window_ms=spec.cold_window_ms,
        )

    @property
    def list_url(self) -> str:
        """The URL of the server list."""
        return f"http://{self.fleet.host}:{self.control_port}/engines"

    def call_later(self, delay: int, call: Callable[[], None]) -> None:
        """Call after a delay in nanoseconds (only from the host's thread)."""
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

    # Event loop.

    def run(self) -> None:
        """Serve until stopped."""
        while not self._stopping:
            for fd, mask in self._epoll.poll(self._timeout(), 512):
                if fd == self._wake.fileno():
                    self._wake.recv(4_096)
                elif fd in self._listeners:
                    self._accept(*self._listeners[fd])
                elif (conn := self._connections.get(fd)) is not None:
                    self._handle_events(conn, mask)
            while self._calls:
                self._calls.pop(0)()
            now = time.monotonic_ns()
            while self._timers and self._timers[0][0] <= now:
                heapq.heappop(self._timers)[2]()
            for slot in self.slots.values():
                engine = slot.engine
                if engine is not None and (due := engine.next_due()) is not None and due <= now:
                    self._apply_outputs(slot, engine.tick(now))
                    if slot.engine is engine and slot.frozen and now >= engine.faults.frozen_until:
                        self._unfreeze(slot)
            self._expire_idle(now)
            self.tap.flush()
        self.tap.flush()
        for conn in list(self._connections.values()):
            self._close(conn)
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
            if slot.engine is not None and (engine_due := slot.engine.next_due()) is not None:
                due = min(due, engine_due)
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
            conn = Connection(self._next_key, sock, slot, http1.MessageReader(http1.Side.REQUESTS, limits), now)
            conn.idle_since = now
            self._connections[sock.fileno()] = self._by_key[conn.key] = conn
            self._epoll.register(sock.fileno(), select.EPOLLIN | select.EPOLLRDHUP)

    def _handle_events(self, conn: Connection, mask: int) -> None:
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
            self._peer_closed(conn)
            return
        try:
            events = conn.parser.feed(data)
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
                self._handle_request(conn, conn.head, bytes(conn.body))

    def _peer_closed(self, conn: Connection) -> None:
        if conn.engine_slot is not None and conn.request_id:
            self.tap.record(
                "left", engine=conn.engine_slot.spec.name, id=conn.request_id, n=conn.attempt, conn=conn.key
            )
        slot = conn.engine_slot
        self._close(conn, record_cut=False)
        if slot is not None and slot.engine is not None and not slot.frozen:
            self._apply_outputs(slot, slot.engine.disconnect(time.monotonic_ns(), conn.key))
        elif slot is not None and slot.engine is not None:
            engine, key = slot.engine, conn.key
            wait = max(0, engine.faults.frozen_until - time.monotonic_ns())
            self.call_later(
                wait,
                lambda: (
                    self._apply_outputs(slot, engine.disconnect(time.monotonic_ns(), key))
                    if slot.engine is engine
                    else None
                ),
            )

    def _close(self, conn: Connection, record_cut: bool = True, reset: bool = False) -> None:
        fd = conn.sock.fileno()
        if self._connections.pop(fd, None) is None:
            return
        self._by_key.pop(conn.key, None)
        with contextlib.suppress(OSError):
            self._epoll.unregister(fd)
        if reset:
            with contextlib.suppress(OSError):
                conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT)
        if record_cut and conn.request_id and conn.engine_slot is not None:
            self.tap.record("cut", engine=conn.engine_slot.spec.name, id=conn.request_id, n=conn.attempt, conn=conn.key)
        conn.sock.close()

    # Requests.

    def _handle_request(self, conn: Connection, head: http1.RequestHead, body: bytes) -> None:
        if conn.engine_slot is None:
            self._handle_control(conn, head, body)
            return
        slot = conn.engine_slot
        conn.request_id = head.headers.get("x-request-id") or f"conn-{conn.key}"
        attempt = head.headers.get("x-attempt")
        conn.attempt = attempt if attempt.isdecimal() else "0"
        conn.instance = head.headers.get("x-stonetrack-instance")
        acting = head.headers.get("x-stonetrack-acting")
        conn.streaming = False
        conn.operation = self._operation(head, body)
        extra_fields: dict[str, Any] = (
            {"place": b'"kv_transfer_params"' not in body} if conn.operation == "release" else {}
        )
        if acting:
            extra_fields["acting"] = acting
        self.tap.record(
            "request",
            engine=slot.spec.name,
            id=conn.request_id,
            n=conn.attempt,
            instance=conn.instance,
            conn=conn.key,
            job=conn.operation,
            key=head.headers.get("idempotency-key"),
            **extra_fields,
        )
        if slot.frozen:
            conn.deferred_requests.append((head, body))
            return
        self._execute(conn, slot, head, body)

    @staticmethod
    def _operation(head: http1.RequestHead, body: bytes) -> str:
        if head.path == protocol.CHAT_PATH:
            if b'"do_remote_decode":true' in body:
                return "read"
            return "write" if b'"do_remote_prefill":true' in body else "whole"
        return {protocol.RELEASE_PATH: "release", protocol.RESERVE_PATH: "hold", "/metrics": "probe"}.get(
            head.path, "other"
        )

    def _execute(self, conn: Connection, slot: Slot, head: http1.RequestHead, body: bytes) -> None:
        engine = slot.engine
        if engine is None:
            self._close(conn, reset=True)
            return
        now = time.monotonic_ns()
        if conn.operation == "probe":
            self._reply(conn, 200, self._metrics(engine).encode(), "text/plain; version=0.0.4")
            return
        try:
            raw = msgspec.json.decode(body) if body else {}
        except msgspec.DecodeError:
            raw = None
        if not isinstance(raw, dict) or conn.operation == "other":
            self._reply(conn, 404 if isinstance(raw, dict) else 400, b'{"error":{"message":"not served here"}}')
        elif conn.operation == "hold":
            held = engine.reserve(conn.request_id)
            if held:
                self.tap.record("place", engine=slot.spec.name, id=conn.request_id, instance=conn.instance)
            self._reply(conn, 200 if held else 409, b"{}")
        elif conn.operation == "release":
            place = "kv_transfer_params" not in raw
            attempt = raw.get("attempt")
            if engine.release(conn.request_id, place, attempt if isinstance(attempt, int) else None):
                self.tap.record("let go", engine=slot.spec.name, id=conn.request_id, place=place)
            self._reply(conn, 200, b"{}")
        else:
            place = "x-held-place" in head.headers
            if place and engine.reservations.get(conn.request_id):
                self.tap.record("let go", engine=slot.spec.name, id=conn.request_id, place=True)
            self._apply_outputs(slot, engine.submit(now, conn.key, conn.request_id, raw, place, int(conn.attempt or 0)))

    @staticmethod
    def _metrics(engine: Engine) -> str:
        report = engine.load_report()
        waiting = report.queued or 0.0
        return (
            f'vllm:num_requests_running{{model_name="demo"}} {(report.in_flight or 0.0) - waiting}\n'
            f'vllm:num_requests_waiting{{model_name="demo"}} {waiting}\n'
            f'vllm:kv_cache_usage_perc{{model_name="demo"}} {report.memory_share}\n'
            f'vllm:waiting_prompt_tokens{{model_name="demo"}} {report.waiting_tokens}\n'
        )

    def _apply_outputs(self, slot: Slot, out: list[Output]) -> None:
        name = slot.spec.name
        for output in out:
            if isinstance(output, TapEntry):
                self.tap.record(output.what, engine=name, **output.fields)
                continue
            if isinstance(output, EngineCrashed):
                self.tap.record("fell", engine=name)
                self._stop_engine(slot, "fell")
                return
            conn = self._by_key.get(output.key)
            if conn is None:
                continue
            if isinstance(output, Reply):
                self._reply(conn, output.status, msgspec.json.encode(output.body))
            elif isinstance(output, ResetConnection):
                if output.data:
                    self._send(conn, writer.chunk(output.data))
                self._close(conn, reset=not output.data)
            elif isinstance(output, StreamEvents):
                self._send_events(conn, slot, output)

    def _send_events(self, conn: Connection, slot: Slot, output: StreamEvents) -> None:
        data = writer.chunk(b"".join(sse.encode(event) for event in output.data))
        if output.first:
            report = [(load.HEADER, load.to_header(slot.engine.load_report()))] if slot.engine is not None else []
            data = (
                writer.chunked_head(
                    200, [("Content-Type", "text/event-stream"), ("X-Request-Id", conn.request_id), *report]
                )
                + data
            )
            conn.streaming = True
            self.tap.record("first", engine=slot.spec.name, id=conn.request_id, n=conn.attempt, conn=conn.key)
        if output.last:
            data += writer.LAST_CHUNK
        self._send(conn, data)
        if output.last:
            self._finish(conn, 200)

    def _reply(self, conn: Connection, status: int, body: bytes, kind: str = "application/json") -> None:
        headers = [("Content-Type", kind)]
        if conn.engine_slot is not None and conn.engine_slot.engine is not None:
            headers.append((load.HEADER, load.to_header(conn.engine_slot.engine.load_report())))
        self._send(conn, writer.response(status, headers, body))
        self._finish(conn, status)

    def _finish(self, conn: Connection, status: int) -> None:
        if conn.engine_slot is not None:
            self.tap.record(
                "done",
                engine=conn.engine_slot.spec.name,
                id=conn.request_id,
                n=conn.attempt,
                conn=conn.key,
                status=status,
                job=conn.operation,
            )
        conn.request_id, conn.idle_since = "", time.monotonic_ns()
        keep = conn.head is None or conn.head.keep_alive
        if not keep or (conn.engine_slot is not None and conn.engine_slot.close_idle):
            conn.close_after = True
            self._flush(conn)

    # Sending.

    def _send(self, conn: Connection, data: bytes) -> None:
        conn.send_buffer += data
        self._flush(conn)

    def _flush(self, conn: Connection) -> None:
        if conn.sock.fileno() not in self._connections:
            return
        try:
            while conn.send_buffer:
                sent = conn.sock.send(conn.send_buffer, socket.MSG_NOSIGNAL)
                del conn.send_buffer[:sent]
        except BlockingIOError:
            self._epoll.modify(conn.sock.fileno(), select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLOUT)
            return
        except OSError:
            self._peer_closed(conn)
            return
        if conn.close_after:
            self._close(conn)
        else:
            self._epoll.modify(conn.sock.fileno(), select.EPOLLIN | select.EPOLLRDHUP)

    def _expire_idle(self, now: int) -> None:
        idle = int(self.fleet.keep_alive_ms * MS)
        for conn in list(self._connections.values()):
            if (
                conn.engine_slot is not None
                and not conn.request_id
                and not conn.deferred_requests
                and now - conn.idle_since > idle
            ):
                self._close(conn)
        for watcher in list(self._watchers):
            conn, _, _, until = watcher
            if until <= now:
                self._watchers.remove(watcher)
                self._send(conn, writer.response(204, []))

    # Server list and control.

    def _handle_control(self, conn: Connection, head: http1.RequestHead, body: bytes) -> None:
        conn.head = head
        if head.path == "/engines":
            query = parse_qs(head.query)
            try:
                after = int(query.get("after", ["-1"])[0])
                wait = min(int(query.get("wait_ms", ["0"])[0]), 300_000)
            except ValueError:
                self._send_json(conn, 400, {"error": "after and wait_ms: whole numbers are allowed"})
                return
            conn.instance = head.headers.get("x-stonetrack-instance")
            origin = query.get("origin", [self._history.origin])[0]
            if not self._send_list(conn, after, origin):
                self._watchers.append((conn, after, origin, time.monotonic_ns() + wait * MS))
        elif head.path == "/fault" and head.method == "POST":
            try:
                self._send_json(conn, 200, {"did": self.inject_fault(msgspec.json.decode(body))})
            except (FaultError, msgspec.DecodeError, TypeError, KeyError, ValueError) as error:
                self._send_json(conn, 400, {"error": str(error)})
        elif head.path == "/state":
            self._send_json(conn, 200, self.state())
        else:
            self._send_json(conn, 404, {"error": "served here: /engines, /fault, /state"})

    def _send_json(self, conn: Connection, status: int, body: Any) -> None:
        if not (conn.head is None or conn.head.keep_alive):
            conn.close_after = True
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        self._send(conn, writer.response(status, [("Content-Type", "application/json")], data))

    def state(self) -> dict[str, Any]:
        """The state of all engines."""
        engines = {}
        for name, slot in self.slots.items():
            engine = slot.engine
            engines[name] = {
                "role": slot.spec.role.value,
                "port": slot.port,
                "up": engine is not None,
                "leaving": slot.draining,
                "states": len(engine.held_states) if engine else 0,
                "places": len(engine.reservations) if engine else 0,
                "streams": engine.active_streams if engine else 0,
                "queued": len(engine.queued_jobs) if engine else 0,
            }
        return {"version": self._history.version, "engines": engines}

    def _send_list(self, conn: Connection, after: int, origin: str) -> bool:
        """Send newer changes of the server list; whether there were any."""
        update = self._history.document_since(after, origin)
        if update is None:
            return False
        states = {name: line["state"] for name, line in self._history.lines.items()}
        up = [name for name, state in states.items() if state == ServerState.UP.value]
        self.tap.record("told", instance=conn.instance, version=update.version,
                      leaving=[name for name in states if name not in up], up=up)  # fmt: skip
        self._send_json(conn, 200, update.body)
        return True

    def _publish(self) -> None:
        """Publish the current states of the engines in the server list."""
        engines = []
        for slot in self.slots.values():
            if slot.engine is None:
                continue
            state = ServerState.DRAINING if slot.draining else ServerState.UP
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
                if conn.sock.fileno() in self._connections:
                    self._send_list(conn, after, origin)

    def _schedule_publish(self) -> None:
        self.call_later(self.list_delay, self._publish)

    # Faults.

    def inject_fault(self, request: dict[str, Any]) -> str:
        """Inject a fault; returns its name.  Raises FaultError."""
        kind = request.get("fault")
        if kind not in FAULTS:
            raise FaultError(f"fault {kind!r}; allowed: {', '.join(FAULTS)}")
        duration = int(float(request.get("for_ms", 1_000)) * MS)
        now = time.monotonic_ns()
        self.tap.record("fault", **{k: v for k, v in request.items() if k != "t"})
        if kind == "list_late":
            previous_delay, self.list_delay = self.list_delay, int(float(request.get("delay_ms", 3_000)) * MS)
            self.call_later(duration, lambda: setattr(self, "list_delay", previous_delay))
            return str(kind)
        slot = self.slots.get(str(request.get("engine")))
        if slot is None:
            raise FaultError(f"engine {request.get('engine')!r}; allowed: {', '.join(self.slots)}")
        engine = slot.engine
        if engine is None:
            return "it is down"
        faults = engine.faults
        match kind:
            case "crash":
                self._stop_engine(slot, "crash")
                self.call_later(int(float(request.get("down_ms", 3_000)) * MS), lambda: self._start_engine(slot))
            case "leave":
                slot.draining = True
                self._schedule_publish()
                notice, down = (int(float(request.get(k, 2_000)) * MS) for k in ("notice_ms", "down_ms"))
                self.call_later(notice, lambda: self._stop_engine(slot, "left"))
                self.call_later(notice + down, lambda: self._start_engine(slot))
            case "hang" | "pause":
                slot.frozen = True
                faults.frozen_until = now + duration
                self.call_later(duration, lambda: self._unfreeze(slot))
            case "slow":
                faults.slow, faults.slow_until = float(request.get("factor", 4.0)), now + duration
            case "half":
                faults.truncations += int(request.get("count", 1))
            case "flush":
                engine.clear_prefix_cache()
            case "full":
                faults.full_until = now + duration
            case "throttle":
                faults.throttle, faults.throttle_until = str(request.get("class", "")), now + duration
                faults.throttle_ms = float(request.get("after_ms", 300.0))
            case "lost":
                faults.lost, faults.lost_until = float(request.get("share", 1.0)), now + duration
            case "errors":
                faults.errors, faults.errors_until = float(request.get("share", 0.5)), now + duration
            case "close_idle":
                slot.close_idle = bool(request.get("on", True))
        return str(kind)

    def _unfreeze(self, slot: Slot) -> None:
        engine = slot.engine
        if engine is None or not slot.frozen or time.monotonic_ns() < engine.faults.frozen_until:
            return
        slot.frozen = False
        for conn in [c for c in self._connections.values() if c.engine_slot is slot and c.deferred_requests]:
            deferred_requests, conn.deferred_requests = conn.deferred_requests, []
            for head, body in deferred_requests:
                self._execute(conn, slot, head, body)

    def _stop_engine(self, slot: Slot, why: str) -> None:
        """Stop the engine's process: its connections are reset and its state is lost."""
        engine = slot.engine
        if engine is None:
            return
        for request in engine.held_states:
            self.tap.record("state lost", engine=slot.spec.name, id=request)
        slot.engine, slot.frozen, slot.draining = None, False, False
        self.tap.record("down", engine=slot.spec.name, why=why)
        if slot.listener is not None:
            self._epoll.unregister(slot.listener.fileno())
            del self._listeners[slot.listener.fileno()]
            slot.listener.close()
            slot.listener = None
        for conn in [c for c in self._connections.values() if c.engine_slot is slot]:
            self._close(conn, reset=True)
        self._schedule_publish()

    def _start_engine(self, slot: Slot) -> None:
        """Start a new process on the same port, in slow start."""
        if slot.engine is not None or slot.listener is not None:
            return
        try:
            slot.listener = self._listen(slot.port)
        except OSError:
            self.call_later(100 * MS, lambda: self._start_engine(slot))
            return
        now = time.monotonic_ns()
        slot.started, slot.started_unix = now, wall_time()
        slot.engine = Engine(slot.spec, self.fleet.seed, now, now, self._find_engine)
        self._add_listener(slot.listener, slot)
        self._record_up(slot)
        self._schedule_publish()


def run_process(fleet: Fleet, log: Path | None, control_port: int, ready: Callable[[Host], None]) -> None:
    """Host a fleet in this process until TERM or INT."""
    host = Host(fleet, Tap(log), control_port)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: host.stop())
    ready(host)
    host.run()


def small_fleet(prefill: int, decode: int, mixed: int = 0, cells: int = 2, **more: Any) -> tuple[Spec, ...]:
    """Specs of a fleet, distributed over the cells."""
    specs = []
    for role, count, letter in ((Role.PREFILL, prefill, "r"), (Role.DECODE, decode, "w"), (Role.MIXED, mixed, "m")):
        specs += [Spec(name=f"{letter}{n}", role=role, cell=n % cells, **more) for n in range(count)]
    return tuple(specs)
