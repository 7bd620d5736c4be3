"""The host of client connections: all sockets and threads of the frontends.

- The accept thread shares the listening socket with the other instances, so that a connection which no instance has
  accepted yet survives the end of any of them, and the kernel serves the instances in turn.
- The parking thread holds every connection without a complete request in one epoll set, at no thread per connection.
  It reads input and feeds it to the connection's parser; slow senders and idle clients cost memory only.
- A worker thread runs each complete request to its end.  Workers are started on demand up to a bound and exit after
  an idle time.  When no worker is available, the parking thread rejects the request at once (503).

Bounds: connections, workers, bytes of bodies (:mod:`.body_memory`), time for a head and a body, idle time.  When
connections run short, unused ones are closed, oldest first (:meth:`Host._make_room`), so that hundreds of silent
clients do not lock out others.  One descriptor is held in reserve: when descriptors run out, it is released to accept
a client and reject it with a response.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import queue
import select
import socket
import struct
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from operator import attrgetter

from stonetrack.frontend.body_memory import BodyLimits, BodyMemory
from stonetrack.frontend.connection import Connection, HostState, HttpRequest
from stonetrack.node import sockets
from stonetrack.node.ports import ClientDisconnected
from stonetrack.node.request_runner import Waker
from stonetrack.node.system_errors import ErrorClass, SystemCall, classify_error
from stonetrack.node.threads import restarting_thread
from stonetrack.settings.schema import Limits, Timing
from stonetrack.wire import http1, writer
from stonetrack.wire.errors import ProtocolError

_READ_BYTES = 65_536
_NEXT_REQUEST_WAIT_MS = 2  # a worker's wait for the next request before it parks the connection
_WORKER_IDLE_S = 15.0
_ACCEPT_TIMEOUT = struct.pack("ll", 0, 200_000)  # struct timeval: how often accept(2) returns to check for a drain
# A connection's input is read in turns of about _STEP_NS, after a first one of _FIRST_READ_BYTES; those whose input has
# taken least time come first, and after _TURN_NS what has become readable meanwhile is considered, too.
_FIRST_READ_BYTES, _STEP_NS, _TURN_NS = 4_096, 1_000_000, 20_000_000
_LINGER_NS = 2_000_000_000  # for a client to read the last response while it still sends
_DRAIN_FIRST_REQUEST_NS = 1_000_000_000  # wait for a new connection's first request while draining
_CROWDED_SHARE = 7 / 8  # share of the connection limit above which unused connections are closed
# Time without a byte, and time within a request, after which a connection may be closed to make room.
_SILENT_NS, _SLOW_NS = 50_000_000, 500_000_000
_MAX_EXAMINED = 256  # oldest connections examined each time
_ROOM_TRIES = 20  # waits of 5 ms for room for a new client
_ACCEPT_QUEUED_S = 1.0  # time limit for emptying the listening socket at a drain

Handler = Callable[[Connection, HttpRequest, Waker], bool]  # returns whether the connection may be kept


@dataclass(slots=True)
class _Job:
    """A request for a worker; None once it has been served, so that a waiting worker keeps no body in memory."""

    connection: Connection
    request: HttpRequest | None


class Host:
    """Serves one listening socket.

    ``handle`` runs a request on a worker thread; ``rejection_response`` makes the response (status, reason)
    for a client that can't be served.  At most ``max_waker_descriptors`` workers get a descriptor to be woken by;
    further ones poll.  ``body_limits`` bounds the memory for bodies.
    """

    def __init__(
        self,
        listener: socket.socket,
        limits: Limits,
        timing: Timing,
        handle: Handler,
        rejection_response: Callable[[int, str], bytes],
        log: Callable[[str], None],
        max_waker_descriptors: int = 1 << 30,
        body_limits: BodyLimits | None = None,
    ) -> None:
        self.listener = listener
        self.bodies = BodyMemory(body_limits or BodyLimits(), limits.body_bytes)
        self._max_waker_descriptors = max_waker_descriptors
        self.limits, self.timing = limits, timing
        self._handle, self._rejection_response, self._log = handle, rejection_response, log
        self._wire = http1.Limits(head=limits.head_bytes, headers=limits.headers, body=limits.body_bytes)
        self._epoll = select.epoll()
        self._parked: dict[int, Connection] = {}
        self._to_park: deque[Connection] = deque()  # from workers and the accept thread
        self._park_waker = Waker()
        self._epoll.register(self._park_waker.fd, select.EPOLLIN)
        self._lock = threading.Lock()
        self._jobs: queue.SimpleQueue[_Job | None] = queue.SimpleQueue()
        self._idle_workers = 0
        self.workers = 0
        self.connections = 0
        self.rejected = 0
        self.state = HostState()
        self._moving_connections = False  # the parking thread is reading or moving connections between its collections
        self._reading_stopped = False
        self._idle_closed = False  # :meth:`_close_idle` ran after closing began
        self._waker_descriptors = 0  # number of workers that have one
        self._spare: int | None = None
        self._descriptors_logged_at = 0.0  # monotonic seconds
        self._accept_thread = restarting_thread("accept", self._accept_loop, log)
        self._parking = restarting_thread("park", self._park_loop, log)
        self._stopped = threading.Event()

    def start(self) -> None:
        """Start accepting."""
        self.listener.setblocking(True)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, _ACCEPT_TIMEOUT)
        self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        self._accept_thread.start()
        self._parking.start()

    def close_after_responses(self) -> None:
        """Keep serving, and close each connection after its response, idle ones now, so that clients move elsewhere.

        New connections are still accepted and served.
        """
        self.state.closing_after_responses = True
        self._park_waker.wake()

    def drain(self, accept_queued: bool = False) -> None:
        """Stop accepting and close idle connections; requests in progress go on.

        ``accept_queued`` first accepts the connections in the kernel's accept queue, then closes the listening socket:
        for a host that does not share it.
        """
        self.state.draining = True
        if self._accept_thread.ident is not None:
            self._accept_thread.join(2.0)
        if accept_queued:
            with contextlib.suppress(OSError):
                self._accept_queued()
            self.listener.close()
        self._park_waker.wake()

    def _accept_queued(self) -> None:
        """Accept all connections in the kernel's accept queue; reject them when descriptors run out.

        Without a free descriptor accept(2) does not tell whether the queue is empty, so the time is bounded.
        """
        self.listener.setblocking(False)
        deadline = time.monotonic() + _ACCEPT_QUEUED_S
        while time.monotonic() < deadline:
            try:
                self._admit(sockets.accept(self.listener))
            except InterruptedError:
                continue
            except BlockingIOError:
                return
            except OSError as error:
                if classify_error(SystemCall.ACCEPT, error) is ErrorClass.DEFECT:
                    raise
                if classify_error(SystemCall.ACCEPT, error) is ErrorClass.LOCAL:
                    self._reject_with_spare_descriptor(error)

    @property
    def busy(self) -> bool:
        """Whether a request is being read or served, or the end of a response waits for its client."""
        with self._lock:
            return self._busy()

    def _busy(self) -> bool:
        """Implement :attr:`busy`; the caller holds the lock."""
        if self._moving_connections or self._idle_workers < self.workers or self._to_park:
            return True
        return any(each.request_started_at or not each.requests_read for each in list(self._parked.values()))

    def stop_reading_if_idle(self) -> bool:
        """Stop reading from clients unless busy; return whether reading is stopped.

        For the end of the process: a request read after the last check of ``busy`` would be lost.
        """
        with self._lock:
            self._reading_stopped = self._reading_stopped or not self._busy()
            return self._reading_stopped

    def stop(self) -> None:
        """Close all connections and end the threads; the listening socket stays open."""
        self.drain()
        self._stopped.set()
        self._park_waker.wake()
        if self._parking.ident is not None:
            self._parking.join(2.0)
        for _ in range(self.workers):
            self._jobs.put(None)

    # Accept thread.

    def _accept_loop(self) -> None:
        """Accept until the host drains.

        The call blocks in the kernel, which serves the waiters of one socket in turn; epoll would wake the latest
        waiter first, and one instance would get nearly all connections.  A timeout on the socket ends each call.
        """
        while not self.state.draining:
            try:
                sock = sockets.accept(self.listener)
            except OSError as error:
                match classify_error(SystemCall.ACCEPT, error):
                    case ErrorClass.LOCAL:
                        self._reject_with_spare_descriptor(error)
                    case ErrorClass.DEFECT if not self.state.draining:
                        raise  # the listening socket is unusable: the thread is restarted, and then the process ends
                continue
            self._admit(sock)

    def _admit(self, sock: socket.socket) -> None:
        for _ in range(_ROOM_TRIES):
            if self.connections < self.limits.connections:
                break
            self._park_waker.wake()
            time.sleep(0.005)
        else:
            self._reject_socket(sock, f"all {self.limits.connections} connections are taken")
            return
        sockets.set_no_delay(sock)
        if self.limits.socket_send_bytes:
            with contextlib.suppress(OSError):
                sockets.SYSTEM.set_option(sock, socket.SOL_SOCKET, socket.SO_SNDBUF, self.limits.socket_send_bytes)
        try:
            connection = Connection(sock, self._wire, self.state)
        except MemoryError:
            self._reject_socket(sock, "out of memory")
            return
        with self._lock:
            self.connections += 1
        self._queue_for_parking(connection)

    def _reject_with_spare_descriptor(self, error: OSError) -> None:
        """Release the spare descriptor to reject one client with a response."""
        if time.monotonic() - self._descriptors_logged_at > 1.0:
            self._descriptors_logged_at = time.monotonic()
            self._log(f"out of descriptors: {error}")
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None
            with contextlib.suppress(OSError):
                self._reject_socket(sockets.SYSTEM.accept(self.listener), "no descriptor is free")
        with contextlib.suppress(OSError):
            self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        time.sleep(0.01)

    def _reject_socket(self, sock: socket.socket, reason: str) -> None:
        self.rejected += 1
        with contextlib.suppress(OSError):
            sockets.send(sock, self._rejection_response(503, reason))
            sock.shutdown(socket.SHUT_WR)
            sockets.receive(sock, _READ_BYTES)
        sockets.close(sock)

    # Parking thread.

    def _queue_for_parking(self, connection: Connection) -> None:
        self._to_park.append(connection)
        self._park_waker.wake()

    def _park_loop(self) -> None:
        last_overdue_check = 0.0
        while not self._stopped.is_set():
            ready = sockets.call_with_retries(
                SystemCall.POLL, partial(self._epoll.poll, 0.25, self.limits.connections + 1)
            )
            with self._lock:
                if self._reading_stopped:
                    return
                self._moving_connections = True
            self._read_ready([fd for fd, _ in ready])
            while self._to_park:
                self._run_step(self._park_connection, self._to_park.popleft())
            if self.state.closing_after_responses and not self._idle_closed:
                self._idle_closed = True
                self._close_idle()
            if self.connections >= _CROWDED_SHARE * self.limits.connections:
                self._make_room()
            if time.monotonic() - last_overdue_check > 0.25:
                last_overdue_check = time.monotonic()
                self._close_overdue()
            if self.bodies.waiting:
                self._resume_waiting()
            self._moving_connections = False
        for connection in list(self._parked.values()):
            self._close(connection)
        self._epoll.close()

    def _read_ready(self, ready: list[int]) -> None:
        """Read from the connections with these descriptors, in order of the time that their input has taken so far.

        Input that is costly to parse, from hundreds of clients at once, thus delays only its own kind.
        """
        if self._park_waker.fd in ready:
            self._park_waker.clear()
        connections = [connection for fd in ready if (connection := self._parked.get(fd)) is not None]
        connections.sort(key=attrgetter("read_cost_ns"))
        until = time.monotonic_ns() + _TURN_NS
        for connection in connections:
            if connection.read_cost_ns and time.monotonic_ns() > until:
                return
            if self._parked.get(connection.fileno()) is connection:
                self._run_step(self._read_parked, connection)

    def _read_size(self, connection: Connection) -> int:
        """The number of bytes to read in one turn; 0 if the connection has to wait for memory."""
        size = _FIRST_READ_BYTES
        if connection.read_cost_ns:
            size = max(size, connection.read_bytes * _STEP_NS // connection.read_cost_ns)
        return min(size, self.bodies.readable_bytes(connection))

    def _run_step(self, step: Callable[[Connection], None], connection: Connection) -> None:
        """Run one connection's step; a failure, such as exhausted memory, is answered to that client alone."""
        started = time.monotonic_ns()
        try:
            step(connection)
        except Exception as error:
            self._log(f"client connection failed: {type(error).__name__}: {error}")
            self._respond_and_close(connection, 503, "this instance is short of means")
        connection.read_cost_ns += time.monotonic_ns() - started

    def _park_connection(self, connection: Connection) -> None:
        connection.parked_at = time.monotonic_ns()
        connection.read_bytes = connection.read_cost_ns = 0
        self._parked[connection.fileno()] = connection
        if not self._watch(connection):
            return
        self._hold_partial(connection)
        idle = connection.requests_read and connection.reader.idle and not connection.linger_until
        if self.state.draining and idle:
            self._close_if_idle(connection)

    def _watch(self, connection: Connection) -> bool:
        """Add a connection to epoll; if that fails, close it and return False."""
        fd = connection.fileno()
        try:
            sockets.call_with_retries(
                SystemCall.POLL, lambda: self._epoll.register(fd, select.EPOLLIN | select.EPOLLRDHUP)
            )
        except OSError as error:
            self._log(f"client connection can't be added to epoll: {error}")
            self._respond_and_close(connection, 503, "this instance is short of means")
            return False
        return True

    def _unwatch(self, connection: Connection) -> None:
        with contextlib.suppress(OSError):  # not in epoll while it waits for memory
            self._epoll.unregister(connection.fileno())

    def _resume_waiting(self) -> None:
        """Read again from connections that get memory for their bodies; reject those that keep it without sending."""
        now = time.monotonic_ns()
        for connection in self.bodies.grant():
            connection.read_at = now
            self._watch(connection)
        for connection in self.bodies.stalled(now - _SLOW_NS):
            self._reject_and_linger(connection, 408, "the request did not come in time")

    def _close_idle(self) -> None:
        """Close connections parked between two requests; a request that has arrived unread is read first."""
        for connection in [
            c for c in self._parked.values() if c.requests_read and not c.request_started_at and not c.linger_until
        ]:
            if sockets.readable(connection.sock):
                self._run_step(self._read_parked, connection)
            elif self._parked.get(connection.fileno()) is connection:
                self._close(connection)

    def _make_room(self) -> None:
        """Close unused parked connections, oldest first.

        In order: connections without any input, those after their last response, slow ones within a request, idle
        ones between two requests.  Input that has arrived unread is read first.
        """
        now = time.monotonic_ns()
        oldest = list(itertools.islice(self._parked.values(), _MAX_EXAMINED))
        silent = [
            c for c in oldest if not c.requests_read and not c.request_started_at and now - c.parked_at > _SILENT_NS
        ]
        lingering = [c for c in oldest if c.linger_until]
        slow = [
            c for c in oldest if c.request_started_at and not c.linger_until and now - c.request_started_at > _SLOW_NS
        ]
        idle = [c for c in oldest if c.requests_read and not c.request_started_at and now - c.parked_at > _SILENT_NS]
        until = now + _TURN_NS
        for connection in (*silent, *lingering, *slow, *idle):
            if self.connections < _CROWDED_SHARE * self.limits.connections or time.monotonic_ns() > until:
                return
            if not connection.linger_until and sockets.readable(connection.sock):
                self._run_step(self._read_parked, connection)
            if connection.closed or self._parked.get(connection.fileno()) is not connection:
                continue
            if connection.request_started_at:
                self._respond_and_close(connection, 408, "the request did not come in time")
            elif connection.linger_until:
                self._close_answered(connection)
            else:
                self._close(connection)

    def _unpark(self, connection: Connection) -> None:
        if self._parked.pop(connection.fileno(), None) is not None:
            self._unwatch(connection)

    def _close_with(self, connection: Connection, close: Callable[[], None]) -> None:
        self._unpark(connection)
        if connection.closed:
            return
        close()
        self._free_body(connection)
        with self._lock:
            self.connections -= 1

    def _close(self, connection: Connection) -> None:
        self._close_with(connection, connection.close)

    def _close_answered(self, connection: Connection) -> None:
        self._close_with(connection, connection.close_answered)

    def _reset(self, connection: Connection) -> None:
        self._close_with(connection, connection.reset)

    def _respond_and_close(self, connection: Connection, status: int, reason: str) -> None:
        """Respond and close at once, without waiting for input that the client still sends."""
        with contextlib.suppress(ClientDisconnected, MemoryError):
            connection.write(self._rejection_response(status, reason))
        self._close_answered(connection)

    def _free_body(self, connection: Connection) -> bool:
        """Free what was read of a body that will not be served; return whether the connection waited for memory."""
        connection.discard_body()
        return self.bodies.stop_reading(connection)

    def _read_parked(self, connection: Connection) -> None:
        if connection.linger_until:
            self._discard_input(connection)
            return
        size = self._read_size(connection)
        if size == 0:
            connection.unread_since = connection.unread_since or time.monotonic_ns()
            self._unwatch(connection)
            return
        try:
            data = sockets.receive(connection.sock, size)
        except (BlockingIOError, sockets.ResourceExhausted):
            return  # still readable: epoll reports it again
        except OSError:
            data = b""
        if not data:
            self._close(connection)
            return
        try:
            request = connection.feed(data)
        except ProtocolError as error:
            self._reject_and_linger(connection, error.status, str(error))
            return
        except ClientDisconnected:
            self._reset(connection)
            return
        if request is not None:
            self.bodies.stop_reading(connection)
            self._unpark(connection)
            self._hand_over(connection, request)
        elif self.bodies.exceeds_reservation(connection):
            self._reject_and_linger(connection, 503, "the body takes more memory than this instance has for bodies")
        else:
            self._hold_partial(connection)

    def _hold_partial(self, connection: Connection) -> None:
        """Count what a connection holds of an incomplete request; reject those that hold most if all hold too much."""
        for rejected in self.bodies.hold(connection):
            self.rejected += 1
            self._reject_and_linger(rejected, 503, "incomplete requests take all memory")

    def _reject_and_linger(self, connection: Connection, status: int, reason: str) -> None:
        """Reject a request, and close once the client has had time to read the response.

        A client may still be sending; closing at once would reset the connection and lose the response, so input is
        discarded for a while (RFC 9112, section 9.6).
        """
        waited = self._free_body(connection)
        connection.reader.discard()
        try:
            connection.write(self._rejection_response(status, reason))
            connection.sock.shutdown(socket.SHUT_WR)
        except (ClientDisconnected, OSError):
            self._reset(connection)
            return
        connection.linger_until = time.monotonic_ns() + _LINGER_NS
        if self._parked.get(connection.fileno()) is not connection:
            self._queue_for_parking(connection)
        elif waited:
            self._watch(connection)

    def _discard_input(self, connection: Connection) -> None:
        """Discard input that a client still sends."""
        try:
            for _ in range(16):
                if not sockets.receive(connection.sock, 262_144):
                    self._close(connection)
                    return
        except (BlockingIOError, sockets.ResourceExhausted):
            pass
        except OSError:
            self._close(connection)

    def _hand_over(self, connection: Connection, request: HttpRequest) -> None:
        """Pass the request to a worker, or reject it when none is available or bodies take too much memory."""
        if not self.bodies.start_serving(connection, request):
            self._reject_request(connection, "requests take all memory")
            return
        job = _Job(connection, request)
        with self._lock:
            if self._idle_workers > 0:
                self._idle_workers -= 1
                start_thread = False
            elif self.workers < self.limits.workers:
                self.workers += 1
                start_thread = True
            else:
                start_thread = None
        if start_thread:
            try:
                threading.Thread(target=self._run_worker, args=(job,), daemon=True).start()
                return
            except (RuntimeError, OSError, MemoryError) as error:
                with self._lock:
                    self.workers -= 1
                self._log(f"out of threads: {error}")
                start_thread = None
        if start_thread is None:
            self._reject_request(connection, "all workers are busy")
            return
        self._jobs.put(job)

    def _reject_request(self, connection: Connection, reason: str) -> None:
        """Reject a request that no worker serves."""
        self.bodies.stop_serving(connection)
        self.rejected += 1
        self._reject_and_linger(connection, 503, reason)

    def _close_overdue(self) -> None:
        now = time.monotonic_ns()
        timing = self.timing
        for connection in list(self._parked.values()):
            if connection.linger_until:
                if now > connection.linger_until:
                    self._close_answered(connection)
            elif connection.request_started_at:
                limit_ms = timing.body_ms if connection.awaits_body else timing.header_ms
                if now - connection.request_started_at > limit_ms * 1_000_000:
                    self._reject_and_linger(connection, 408, "the request did not come in time")
            elif now - connection.parked_at > (
                _DRAIN_FIRST_REQUEST_NS if self.state.draining else timing.idle_ms * 1_000_000
            ):
                self._close_if_idle(connection)

    def _close_if_idle(self, connection: Connection) -> None:
        """Close between two requests, unless another request has arrived unread."""
        if not sockets.readable(connection.sock):
            self._close(connection)

    # Worker threads.

    def _run_worker(self, first: _Job) -> None:
        with self._lock:
            owns_descriptor = self._waker_descriptors < self._max_waker_descriptors
            self._waker_descriptors += owns_descriptor
        try:
            waker = Waker(owns_descriptor)
        except (OSError, MemoryError) as error:
            self._log(f"out of descriptors: {error}")
            with self._lock:
                self.workers -= 1
                self._waker_descriptors -= owns_descriptor
            self._reject_request(first.connection, "no descriptor is free")
            return
        try:
            job: _Job | None = first
            while job is not None:
                self._serve_connection(job, waker)
                with self._lock:
                    self._idle_workers += 1
                try:
                    job = self._jobs.get(timeout=_WORKER_IDLE_S)
                except queue.Empty:
                    with self._lock:
                        stops_worker = self._idle_workers > 0
                        self._idle_workers -= stops_worker
                    # If no worker is counted as idle, every waiting worker has a job assigned that is about to arrive.
                    job = None if stops_worker else self._jobs.get()
        finally:
            waker.close()
            with self._lock:
                self.workers -= 1
                self._waker_descriptors -= owns_descriptor

    def _serve_connection(self, job: _Job, waker: Waker) -> None:
        """Run the request, and those that follow at once on the same connection."""
        while job.request is not None:
            try:
                keep = self._serve_request(job.connection, job.request, waker)
            finally:
                job.request = None
                self.bodies.stop_serving(job.connection)
            if keep:
                job.request = self._next_request(job.connection)

    def _serve_request(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        """Run one request; return whether its connection stays open."""
        try:
            keep = self._handle(connection, request, waker)
            connection.drain(self.timing.client_stall_ms / 1000.0)
        except ClientDisconnected:
            self._reset(connection)
            return False
        except Exception as error:  # a defect or exhausted memory: only this client gets an error
            self._log(f"{request.head.method} {request.head.path}: {type(error).__name__}: {error}")
            if connection.response_started:
                self._reset(connection)
            else:
                exhausted = isinstance(error, (MemoryError, sockets.ResourceExhausted))
                status = 503 if exhausted else 500
                self._respond_and_close(connection, status, "this instance could not serve the request")
            return False
        if not keep or connection.closed:
            self._close_answered(connection)
            return False
        return True

    def _next_request(self, connection: Connection) -> HttpRequest | None:
        """Return the next request on a connection, None if the connection was parked or closed."""
        try:
            following = connection.feed(b"")
            wait = 0 if self.state.draining else _NEXT_REQUEST_WAIT_MS
            if following is None and connection.reader.idle and sockets.readable(connection.sock, wait):
                data = sockets.receive(connection.sock, min(_READ_BYTES, self.bodies.readable_bytes(connection)))
                if not data:
                    self._close(connection)
                    return None
                following = connection.feed(data)
        except ProtocolError as error:
            self._reject_and_linger(connection, error.status, str(error))
            return None
        except (BlockingIOError, sockets.ResourceExhausted):
            following = None
        except (OSError, ClientDisconnected):
            self._close(connection)
            return None
        if following is None:
            self._queue_for_parking(connection)
        elif not self.bodies.start_serving(connection, following):
            self._reject_request(connection, "requests take all memory")
            return None
        return following


def listen(host: str, port: int, backlog: int) -> socket.socket:
    """Return a listening socket.  Raises OSError."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(backlog)
    except BaseException:
        sock.close()
        raise
    return sock


def plain_response(
    status: int,
    body: bytes,
    headers: tuple[tuple[str, str], ...] = (),
    content_type: str = "application/json",
    keep: bool = True,
    head_only: bool = False,
) -> bytes:
    """Encode a response with its whole body; ``keep`` leaves the connection open."""
    fields = [("Content-Type", content_type), *headers]
    if not keep:
        fields.append(("Connection", "close"))
    return writer.response(status, fields, body, head_only)
