"""Clients' connections: the only sockets and threads of the fronts.

- One thread accepts.  It shares the listening socket with the other instances, so that what no instance has
  accepted yet is lost with none of them, and each is served in turn.
- One thread parks: every connection without a whole request waits there in one epoll set and costs no thread.  What
  comes is read and fed to the connection's parser; slow senders and idle clients take memory only.
- A worker thread runs each whole request to its end.  There are as many as run now, up to a bound; they stay for a
  while.  When there is none to be had the client is told so (503), at once, by the parking thread.

Bounds: connections, workers, bytes of bodies not yet whole (in all), time for a head and a body, idle time.  When
connections run short, those go that nobody will miss, oldest first (:meth:`Host._make_room`), so that silent clients by
hundreds keep nobody out.  Out of descriptors: one is kept in reserve, and given up to accept a client and refuse it
plainly.
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

from stonetrack.frontend.connection import Connection, HostState, HttpRequest
from stonetrack.node import sockets
from stonetrack.node.ports import ClientDisconnected
from stonetrack.node.request_runner import Waker
from stonetrack.node.system_errors import ErrorClass, SystemCall, classify_error
from stonetrack.node.threads import restarting_thread
from stonetrack.settings.schema import Limits, Timing
from stonetrack.wire import http1, writer
from stonetrack.wire.errors import ProtocolError

_BODY_TOTAL = 256 << 20  # bytes of bodies not yet whole, over all connections
_READ = 65_536  # bytes
_LINGER_MS = 2  # a worker waits so long for the next request before it parks the connection
_WORKER_IDLE = 15.0  # seconds
_LOOK_UP = struct.pack("ll", 0, 200_000)  # the acceptor looks up so often: seconds, microseconds
_LINGER_CLOSE = 2_000_000_000  # nanoseconds for a client to read a last answer while it still sends
_FRESH = 1_000_000_000  # nanoseconds in which a new connection's first request is waited for while draining
_CROWDED = 7 / 8  # share of the connections from which room is made
_SILENT, _SLOW = 50_000_000, 500_000_000  # nanoseconds without a byte, or within a request, that count as nobody's
_LOOKED_AT = 256  # oldest connections looked at each time
_ROOM = 20  # times 5 ms that a new client waits for room
_SWEEP = 1.0  # seconds in which the listening socket is emptied at a drain

Handler = Callable[[Connection, HttpRequest, Waker], bool]  # whether the connection may be kept


class Host:
    """Serves one listening socket; ``handle`` runs a request on a worker's thread, ``refuse`` makes the plain answer
    for a client that can't be served (status, reason)."""

    def __init__(
        self,
        listener: socket.socket,
        limits: Limits,
        timing: Timing,
        handle: Handler,
        refuse: Callable[[int, str], bytes],
        log: Callable[[str], None],
        wakers: int = 1 << 30,
    ) -> None:
        self.listener = listener
        self._most_wakers = wakers  # descriptors to wake requests by; past them these look up by themselves
        self.limits, self.timing = limits, timing
        self._handle, self._refuse, self._log = handle, refuse, log
        self._wire = http1.Limits(head=limits.head_bytes, headers=limits.headers, body=limits.body_bytes)
        self._epoll = select.epoll()
        self._parked: dict[int, Connection] = {}
        self._returning: deque[Connection] = deque()  # from workers, to be parked
        self._back = Waker()
        self._epoll.register(self._back.fd, select.EPOLLIN)
        self._lock = threading.Lock()
        self._jobs: queue.SimpleQueue[tuple[Connection, HttpRequest] | None] = queue.SimpleQueue()
        self._free = 0  # workers waiting for a job
        self.workers = 0
        self.connections = 0
        self.rejected = 0
        self._held = 0  # bytes of bodies not yet whole
        self.state = HostState()
        self._moving = False  # the parking thread reads, or moves connections between its places
        self._sealed = False  # nothing more is read
        self._told = False  # those that were idle when it began to leave
        self._wakers = 0  # with descriptors
        self._spare: int | None = None
        self._said = 0.0  # when the log was told of missing descriptors
        self._accepted = restarting_thread("accept", self._accept, log)
        self._parking = restarting_thread("park", self._park, log)
        self._done = threading.Event()

    def start(self) -> None:
        """Start accepting."""
        self.listener.setblocking(True)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, _LOOK_UP)
        self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        self._accepted.start()
        self._parking.start()

    def close_after_responses(self) -> None:
        """Serve on, and close each connection with its answer, idle ones now: clients go elsewhere, those that come
        meanwhile are served."""
        self.state.leaving = True
        self._back.wake()

    def drain(self, accept_queued: bool = False) -> None:
        """Accept nothing more and close what is idle; requests under way go on.

        ``accept_queued`` takes what the kernel has accepted by then and closes the listening socket: for a host that
        has it alone.
        """
        self.state.draining = True
        if self._accepted.ident is not None:
            self._accepted.join(2.0)
        if accept_queued:
            with contextlib.suppress(OSError):
                self._sweep_listener()
            self.listener.close()
        self._back.wake()

    def _sweep_listener(self) -> None:
        """Take all that the kernel has accepted; short of descriptors, refuse it plainly.

        Short of descriptors, accept(2) does not say whether anybody waits: so it is asked for a bounded time.
        """
        self.listener.setblocking(False)
        end = time.monotonic() + _SWEEP
        while time.monotonic() < end:
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
                    self._accept_spare(error)

    @property
    def busy(self) -> bool:
        """Whether a request is being read or served, or an answer's last bytes wait for their client."""
        with self._lock:
            return self._busy()

    def _busy(self) -> bool:
        """See :attr:`busy`; under the lock."""
        if self._moving or self._free < self.workers or self._returning:
            return True
        return any(each.begun_at or not each.served for each in list(self._parked.values()))

    def stop_reading_if_idle(self) -> bool:
        """Read nothing more, unless busy; whether that is so.

        For the end of the process: what is read after the last look at ``busy`` would be lost.
        """
        with self._lock:
            self._sealed = self._sealed or not self._busy()
            return self._sealed

    def stop(self) -> None:
        """Close everything but the listening socket."""
        self.drain()
        self._done.set()
        self._back.wake()
        if self._parking.ident is not None:
            self._parking.join(2.0)
        for _ in range(self.workers):
            self._jobs.put(None)

    # Accepting.

    def _accept(self) -> None:
        """Accept until told to drain.

        The call blocks in the kernel, where those who wait on one socket are served in turn; waiting in epoll would
        wake the latest first, and one instance would take nearly all.  A time-out on the socket lets it look up.
        """
        while not self.state.draining:
            try:
                sock = sockets.accept(self.listener)
            except OSError as error:
                match classify_error(SystemCall.ACCEPT, error):
                    case ErrorClass.LOCAL:
                        self._accept_spare(error)
                    case ErrorClass.DEFECT if not self.state.draining:
                        raise  # the listening socket is of no use any more: started again, and then the process ends
                continue
            self._admit(sock)

    def _admit(self, sock: socket.socket) -> None:
        for _ in range(_ROOM):
            if self.connections < self.limits.connections:
                break
            self._back.wake()
            time.sleep(0.005)
        else:
            self._turn_away(sock, f"all {self.limits.connections} connections are taken")
            return
        sockets.set_no_delay(sock)
        if self.limits.socket_send_bytes:
            with contextlib.suppress(OSError):
                sockets.SYSTEM.set_option(sock, socket.SOL_SOCKET, socket.SO_SNDBUF, self.limits.socket_send_bytes)
        try:
            connection = Connection(sock, self._wire, self.state)
        except MemoryError:
            self._turn_away(sock, "out of memory")
            return
        with self._lock:
            self.connections += 1
        self._return(connection)

    def _accept_spare(self, error: OSError) -> None:
        """Out of descriptors: give up the one in reserve to refuse a client plainly."""
        if time.monotonic() - self._said > 1.0:
            self._said = time.monotonic()
            self._log(f"out of descriptors: {error}")
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None
            with contextlib.suppress(OSError):
                self._turn_away(sockets.SYSTEM.accept(self.listener), "no descriptor is free")
        with contextlib.suppress(OSError):
            self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        time.sleep(0.01)

    def _turn_away(self, sock: socket.socket, why: str) -> None:
        self.rejected += 1
        with contextlib.suppress(OSError):
            sockets.send(sock, self._refuse(503, why))
            sock.shutdown(socket.SHUT_WR)
            sockets.receive(sock, _READ)
        sockets.close(sock)

    # Parking.

    def _return(self, connection: Connection) -> None:
        self._returning.append(connection)
        self._back.wake()

    def _park(self) -> None:
        looked = 0.0
        while not self._done.is_set():
            ready = sockets.call_with_retries(SystemCall.POLL, lambda: self._epoll.poll(0.25, 256))
            with self._lock:
                if self._sealed:
                    return
                self._moving = True
            for fd, _ in ready:
                if fd == self._back.fd:
                    self._back.clear()
                elif (connection := self._parked.get(fd)) is not None:
                    self._guarded(self._readable, connection)
            while self._returning:
                self._guarded(self._enter, self._returning.popleft())
            if self.state.leaving and not self._told:
                self._told = True
                self._close_idle()
            if self.connections >= _CROWDED * self.limits.connections:
                self._make_room()
            if time.monotonic() - looked > 0.25:
                looked = time.monotonic()
                self._overdue()
            self._moving = False
        for connection in list(self._parked.values()):
            self._close(connection)
        self._epoll.close()

    def _guarded(self, step: Callable[[Connection], None], connection: Connection) -> None:
        """One connection's step; where it fails, memory short among the causes, that client alone is told so."""
        try:
            step(connection)
        except Exception as error:
            self._log(f"a client's connection: {type(error).__name__}: {error}")
            self._refuse_and_close(connection, 503, "this instance is short of means")

    def _enter(self, connection: Connection) -> None:
        connection.parked_at = time.monotonic_ns()
        fd = connection.fileno()
        self._parked[fd] = connection
        try:
            sockets.call_with_retries(
                SystemCall.POLL, lambda: self._epoll.register(fd, select.EPOLLIN | select.EPOLLRDHUP)
            )
        except OSError as error:
            self._log(f"a client's connection can't be watched: {error}")
            self._refuse_and_close(connection, 503, "this instance is short of means")
            return
        idle = connection.served and connection.reader.idle and not connection.lingers_until
        if self.state.draining and idle:
            self._close_if_idle(connection)

    def _close_idle(self) -> None:
        """Close what is parked between two requests; a request that has come and was not read yet is read first."""
        for connection in [c for c in self._parked.values() if c.served and not c.begun_at and not c.lingers_until]:
            if sockets.readable(connection.sock):
                self._guarded(self._readable, connection)
            elif self._parked.get(connection.fileno()) is connection:
                self._close(connection)

    def _make_room(self) -> None:
        """Close what is parked and nobody will miss, oldest first: what never said a word, what was answered for the
        last time, what is slow within a request, and then what is idle between two.

        A word that has come and was not read yet is read first.
        """
        now = time.monotonic_ns()
        oldest = list(itertools.islice(self._parked.values(), _LOOKED_AT))
        silent = [c for c in oldest if not c.served and not c.begun_at and now - c.parked_at > _SILENT]
        over = [c for c in oldest if c.lingers_until]
        slow = [c for c in oldest if c.begun_at and not c.lingers_until and now - c.begun_at > _SLOW]
        idle = [c for c in oldest if c.served and not c.begun_at and now - c.parked_at > _SILENT]
        for connection in (*silent, *over, *slow, *idle):
            if self.connections < _CROWDED * self.limits.connections:
                return
            if not connection.lingers_until and sockets.readable(connection.sock):
                self._guarded(self._readable, connection)
            if connection.closed or self._parked.get(connection.fileno()) is not connection:
                continue
            if connection.begun_at:
                self._refuse_and_close(connection, 408, "the request did not come in time")
            elif connection.lingers_until:
                self._close_answered(connection)
            else:
                self._close(connection)

    def _leave(self, connection: Connection) -> None:
        if self._parked.pop(connection.fileno(), None) is not None:
            with contextlib.suppress(OSError):
                self._epoll.unregister(connection.fileno())

    def _end(self, connection: Connection, close: Callable[[], None]) -> None:
        self._leave(connection)
        if connection.closed:
            return
        close()
        connection.held = 0
        self._count_body(connection)
        with self._lock:
            self.connections -= 1

    def _close(self, connection: Connection) -> None:
        self._end(connection, connection.close)

    def _close_answered(self, connection: Connection) -> None:
        self._end(connection, connection.close_answered)

    def _reset(self, connection: Connection) -> None:
        self._end(connection, connection.reset)

    def _refuse_and_close(self, connection: Connection, status: int, why: str) -> None:
        """Answer and close at once, where there is no room to wait for what the client still sends."""
        with contextlib.suppress(ClientDisconnected, MemoryError):
            connection.write(self._refuse(status, why))
        self._close_answered(connection)

    def _count_body(self, connection: Connection) -> None:
        """Bring the bytes held of bodies up to date."""
        with self._lock:
            self._held += connection.held - connection.counted
            connection.counted = connection.held

    def _readable(self, connection: Connection) -> None:
        if connection.lingers_until:
            self._discard(connection)
            return
        try:
            data = sockets.receive(connection.sock, _READ)
        except (BlockingIOError, sockets.ResourceExhausted):
            return  # it is still readable, and looked at again
        except OSError:
            data = b""
        if not data:
            self._close(connection)
            return
        try:
            request = connection.feed(data)
        except ProtocolError as error:
            self._reject(connection, error.status, str(error))
            return
        except ClientDisconnected:
            self._reset(connection)
            return
        self._count_body(connection)
        if request is not None:
            self._leave(connection)
            self._hand_over(connection, request)
        elif self._held > _BODY_TOTAL and connection.held:
            self._reject(connection, 503, "too many request bodies are on their way")

    def _reject(self, connection: Connection, status: int, why: str) -> None:
        """Answer what can't be served, and close when the client has had time to read that.

        A client may still be sending; closing at once would reset the connection and take our answer along.  So what
        comes is thrown away for a while (RFC 9112, 9.6).
        """
        connection.held = 0
        self._count_body(connection)
        try:
            connection.write(self._refuse(status, why))
            connection.sock.shutdown(socket.SHUT_WR)
        except (ClientDisconnected, OSError):
            self._reset(connection)
            return
        connection.lingers_until = time.monotonic_ns() + _LINGER_CLOSE
        if self._parked.get(connection.fileno()) is not connection:
            self._return(connection)

    def _discard(self, connection: Connection) -> None:
        """Throw away what a client still sends."""
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
        """Give the request to a worker; when none can be had, refuse it."""
        with self._lock:
            if self._free > 0:
                self._free -= 1
                spawn = False
            elif self.workers < self.limits.workers:
                self.workers += 1
                spawn = True
            else:
                spawn = None
        if spawn:
            try:
                threading.Thread(target=self._work, args=(connection, request), daemon=True).start()
                return
            except (RuntimeError, OSError, MemoryError) as error:
                with self._lock:
                    self.workers -= 1
                self._log(f"out of threads: {error}")
                spawn = None
        if spawn is None:
            self.rejected += 1
            self._reject(connection, 503, "all workers are busy")
            return
        self._jobs.put((connection, request))

    def _overdue(self) -> None:
        now = time.monotonic_ns()
        timing = self.timing
        for connection in list(self._parked.values()):
            if connection.lingers_until:
                if now > connection.lingers_until:
                    self._close_answered(connection)
            elif connection.begun_at:
                most = timing.body_ms if connection.in_body else timing.header_ms
                if now - connection.begun_at > most * 1_000_000:
                    self._reject(connection, 408, "the request did not come in time")
            elif now - connection.parked_at > (_FRESH if self.state.draining else timing.idle_ms * 1_000_000):
                self._close_if_idle(connection)

    def _close_if_idle(self, connection: Connection) -> None:
        """Close between two requests; one that has come and was not read yet is read first."""
        if not sockets.readable(connection.sock):
            self._close(connection)

    # Working.

    def _work(self, connection: Connection, request: HttpRequest) -> None:
        with self._lock:
            own = self._wakers < self._most_wakers
            self._wakers += own
        try:
            waker = Waker(own)
        except (OSError, MemoryError) as error:
            self._log(f"out of descriptors: {error}")
            with self._lock:
                self.workers -= 1
                self._wakers -= own
            self.rejected += 1
            self._reject(connection, 503, "no descriptor is free")
            return
        try:
            job: tuple[Connection, HttpRequest] | None = (connection, request)
            while job is not None:
                self._serve(*job, waker)
                with self._lock:
                    self._free += 1
                try:
                    job = self._jobs.get(timeout=_WORKER_IDLE)
                except queue.Empty:
                    with self._lock:
                        leaving = self._free > 0
                        self._free -= leaving
                    # Where none is free, each waiting worker has been promised a job that is on its way.
                    job = None if leaving else self._jobs.get()
        finally:
            waker.close()
            with self._lock:
                self.workers -= 1
                self._wakers -= own

    def _serve(self, connection: Connection, request: HttpRequest, waker: Waker) -> None:
        """Run the request, and those that follow at once on the same connection."""
        following: HttpRequest | None = request
        while following is not None and self._answer(connection, following, waker):
            following = self._next(connection)

    def _answer(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        """Run one request; whether its connection goes on."""
        try:
            keep = self._handle(connection, request, waker)
            connection.drain(self.timing.client_stall_ms / 1000.0)
        except ClientDisconnected:
            self._reset(connection)
            return False
        except Exception as error:  # a defect, or memory short: this client alone is told so
            self._log(f"{request.head.method} {request.head.path}: {type(error).__name__}: {error}")
            if connection.answering:
                self._reset(connection)
            else:
                short = isinstance(error, (MemoryError, sockets.ResourceExhausted))
                status = 503 if short else 500
                self._refuse_and_close(connection, status, "this instance could not serve the request")
            return False
        if not keep or connection.closed:
            self._close_answered(connection)
            return False
        return True

    def _next(self, connection: Connection) -> HttpRequest | None:
        """The request that follows on a connection; none where it is parked or closed."""
        try:
            following = connection.feed(b"")
            wait = 0 if self.state.draining else _LINGER_MS
            if following is None and connection.reader.idle and sockets.readable(connection.sock, wait):
                data = sockets.receive(connection.sock, _READ)
                if not data:
                    self._close(connection)
                    return None
                following = connection.feed(data)
        except ProtocolError as error:
            self._reject(connection, error.status, str(error))
            return None
        except (BlockingIOError, sockets.ResourceExhausted):
            following = None
        except (OSError, ClientDisconnected):
            self._close(connection)
            return None
        if following is None:
            self._count_body(connection)
            self._return(connection)
        return following


def listen(host: str, port: int, backlog: int) -> socket.socket:
    """A listening socket.  Raises OSError."""
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
    kind: str = "application/json",
    keep: bool = True,
    head_only: bool = False,
) -> bytes:
    """A whole response."""
    fields = [("Content-Type", kind), *headers]
    if not keep:
        fields.append(("Connection", "close"))
    return writer.response(status, fields, body, head_only)
