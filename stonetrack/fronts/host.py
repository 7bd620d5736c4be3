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
import errno
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

from stonetrack.node.drive import Waker
from stonetrack.node.ports import ClientLost
from stonetrack.settings.schema import Limits, Timing
from stonetrack.wire import http1, writer
from stonetrack.wire.errors import ProtocolError

_NOW = int(socket.MSG_DONTWAIT)  # as plain numbers: combining the flags anew costs more than the call
_SEND = int(socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
_BODY_TOTAL = 256 << 20  # bytes of bodies not yet whole, over all connections
_LINGER_MS = 2  # a worker waits so long for the next request before it parks the connection
_WORKER_IDLE = 15.0  # seconds
_LOOK_UP = struct.pack("ll", 0, 200_000)  # the acceptor looks up so often: seconds, microseconds
_LINGER_CLOSE = 2_000_000_000  # nanoseconds for a client to read a last answer while it still sends
_FRESH = 1_000_000_000  # nanoseconds in which a new connection's first request is waited for while draining
_CROWDED = 7 / 8  # share of the connections from which room is made
_SILENT, _SLOW = 50_000_000, 500_000_000  # nanoseconds without a byte, or within a request, that count as nobody's
_LOOKED_AT = 256  # oldest connections looked at each time
_ROOM = 20  # times 5 ms that a new client waits for room
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(slots=True)
class Request:
    """One whole request; ``arrived`` is the monotonic time in nanoseconds at which its head was there."""

    head: http1.RequestHead
    body: bytes
    arrived: int


class Connection:
    """One client's connection."""

    __slots__ = (
        "_body",
        "_head",
        "_head_at",
        "begun_at",
        "corked",
        "closed",
        "parked_at",
        "pending",
        "reader",
        "sock",
        "held",
        "host",
        "lingers_until",
        "served",
    )

    def __init__(self, sock: socket.socket, limits: http1.Limits, host: Host) -> None:
        self.sock = sock
        self.host = host
        self.served = 0  # requests taken
        self.corked = False
        self.lingers_until = 0  # answered for the last time; what still comes is thrown away until then
        self.reader = http1.MessageReader(http1.Side.REQUESTS, limits)
        self.pending = bytearray()  # written by us, not yet taken by the socket
        self.parked_at = self.begun_at = 0  # monotonic ns: since idle; since the first byte of a request
        self.closed = False
        self.held = 0  # bytes of a body not yet whole
        self._head: http1.RequestHead | None = None
        self._head_at = 0
        self._body: list[bytes] = []

    def fileno(self) -> int:
        """The socket's descriptor, -1 once closed."""
        return -1 if self.closed else self.sock.fileno()

    def take(self, data: bytes) -> Request | None:
        """Feed what came; a whole request if it completes one.  Raises ProtocolError."""
        now = time.monotonic_ns()
        if data and not self.begun_at:
            self.begun_at = now
        for event in self.reader.feed(data, messages=1):
            if isinstance(event, http1.RequestHead):
                self._head, self._head_at, self._body, self.held = event, now, [], 0
                if event.headers.get("expect").lower() == "100-continue" and event.length != 0:
                    self.write(_CONTINUE)
            elif isinstance(event, http1.Data):
                self._body.append(event.data)
                self.held += len(event.data)
            elif isinstance(event, http1.End) and self._head is not None:
                request = Request(self._head, b"".join(self._body), self._head_at)
                self._head, self._body, self.begun_at, self.held = None, [], 0, 0
                self.served += 1
                return request
        return None

    @property
    def last(self) -> bool:
        """Whether the instance is about to stop: answers say that the connection closes."""
        return self.host.leaving or self.host.draining

    @property
    def in_body(self) -> bool:
        """Whether a head has come and its body not yet."""
        return self._head is not None

    # Writing.  Nothing blocks but :meth:`drain`.

    def write(self, data: bytes) -> None:
        """Send what the socket takes, keep the rest as pending.  Raises ClientLost.

        While ``corked``, all is kept: several events that came together leave in one call.
        """
        if self.closed:
            raise ClientLost("closed")
        if not self.pending and not self.corked:
            try:
                sent = self.sock.send(data, _SEND)
            except BlockingIOError:
                sent = 0
            except OSError as error:
                raise ClientLost(str(error)) from None
            if sent == len(data):
                return
            data = data[sent:]
        self.pending += data

    def flush(self) -> int:
        """Send of the pending what the socket takes; bytes left.  Raises ClientLost."""
        if self.closed:
            raise ClientLost("closed")
        try:
            while self.pending:
                sent = self.sock.send(self.pending, _SEND)
                del self.pending[:sent]
        except BlockingIOError:
            pass
        except OSError as error:
            raise ClientLost(str(error)) from None
        return len(self.pending)

    def drain(self, stall: float) -> None:
        """Wait until all pending is taken; gives up after so many seconds without progress.  Raises ClientLost."""
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLOUT)
        while self.flush():
            if not poller.poll(stall * 1000.0):
                raise ClientLost("the client takes nothing")

    def close(self, hard: bool = False) -> None:
        """Close; ``hard`` drops what is pending with a reset."""
        if self.closed:
            return
        self.closed = True
        with contextlib.suppress(OSError):
            if hard:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            else:
                # Bytes that were never read would turn the close into a reset and take our answer along.
                self.sock.shutdown(socket.SHUT_WR)
                for _ in range(16):
                    if not self.sock.recv(65_536, _NOW):
                        break
        self.sock.close()


Handler = Callable[["Connection", Request, Waker], bool]  # whether the connection may be kept


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
        self._jobs: queue.SimpleQueue[tuple[Connection, Request] | None] = queue.SimpleQueue()
        self._free = 0  # workers waiting for a job
        self.workers = 0
        self.connections = 0
        self.refused = 0
        self._held = 0  # bytes of bodies not yet whole
        self.leaving = False  # accepts still, and says in each answer that the connection closes
        self.draining = False
        self._told = False  # those that were idle when it began to leave
        self._wakers = 0  # with descriptors
        self._spare: int | None = None
        self._said = 0.0  # when the log was told of missing descriptors
        self._accepted = threading.Thread(target=self._accept, name="accept", daemon=True)
        self._parking = threading.Thread(target=self._park, name="park", daemon=True)
        self._done = threading.Event()

    def start(self) -> None:
        """Start accepting."""
        self.listener.setblocking(True)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, _LOOK_UP)
        self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        self._accepted.start()
        self._parking.start()

    def leave(self) -> None:
        """Serve on, and close each connection with its answer, idle ones now: clients go elsewhere, those that come
        meanwhile are served."""
        self.leaving = True
        self._back.wake()

    def drain(self, sweep: bool = False) -> None:
        """Accept nothing more and close what is idle; requests under way go on.

        ``sweep`` takes what the kernel has accepted by then and closes the listening socket: for a host that has it
        alone.
        """
        self.draining = True
        if self._accepted.ident is not None:
            self._accepted.join(2.0)
        if sweep:
            with contextlib.suppress(OSError):
                self.listener.setblocking(False)
                while True:
                    self._admit(self.listener.accept()[0])
            self.listener.close()
        self._back.wake()

    @property
    def busy(self) -> bool:
        """Whether a request is being read or served, or an answer's last bytes wait for their client."""
        with self._lock:
            if self._free < self.workers or self._returning:
                return True
        return any(each.begun_at or not each.served for each in list(self._parked.values()))

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
        while not self.draining:
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                continue
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self._accept_spare(error)
                elif error.errno in (errno.EBADF, errno.EINVAL):
                    return
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
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.limits.socket_send_bytes:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.limits.socket_send_bytes)
        with self._lock:
            self.connections += 1
        self._return(Connection(sock, self._wire, self))

    def _accept_spare(self, error: OSError) -> None:
        """Out of descriptors: give up the one in reserve to refuse a client plainly."""
        if time.monotonic() - self._said > 1.0:
            self._said = time.monotonic()
            self._log(f"out of descriptors: {error}")
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None
            with contextlib.suppress(OSError):
                sock, _ = self.listener.accept()
                self._turn_away(sock, "no descriptor is free")
        with contextlib.suppress(OSError):
            self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        time.sleep(0.01)

    def _turn_away(self, sock: socket.socket, why: str) -> None:
        self.refused += 1
        with contextlib.suppress(OSError):
            sock.send(self._refuse(503, why), _SEND)
            sock.shutdown(socket.SHUT_WR)
            sock.recv(65_536, _NOW)
        sock.close()

    # Parking.

    def _return(self, connection: Connection) -> None:
        self._returning.append(connection)
        self._back.wake()

    def _park(self) -> None:
        looked = 0.0
        with self._epoll:
            while not self._done.is_set():
                for fd, _ in self._epoll.poll(0.25, 256):
                    if fd == self._back.fd:
                        self._back.clear()
                    elif (connection := self._parked.get(fd)) is not None:
                        self._readable(connection)
                while self._returning:
                    self._enter(self._returning.popleft())
                if self.leaving and not self._told:
                    self._told = True
                    self._close_idle()
                if self.connections >= _CROWDED * self.limits.connections:
                    self._make_room()
                if time.monotonic() - looked > 0.25:
                    looked = time.monotonic()
                    self._overdue()
            for connection in list(self._parked.values()):
                self._close(connection)

    def _enter(self, connection: Connection) -> None:
        connection.parked_at = time.monotonic_ns()
        fd = connection.fileno()
        self._parked[fd] = connection
        try:
            self._epoll.register(fd, select.EPOLLIN | select.EPOLLRDHUP)
        except OSError:
            self._close(connection)
            return
        if self.draining and connection.served and connection.reader.idle and not connection.lingers_until:
            self._close(connection)

    def _close_idle(self) -> None:
        """Close what is parked between two requests; a request that has come and was not read yet is read first."""
        for connection in [c for c in self._parked.values() if c.served and not c.begun_at and not c.lingers_until]:
            if readable(connection.sock):
                self._readable(connection)
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
            if not connection.lingers_until and readable(connection.sock):
                self._readable(connection)
            if not connection.closed and self._parked.get(connection.fileno()) is connection:
                self._held -= connection.held
                self._close(connection)

    def _leave(self, connection: Connection) -> None:
        if self._parked.pop(connection.fileno(), None) is not None:
            with contextlib.suppress(OSError):
                self._epoll.unregister(connection.fileno())

    def _close(self, connection: Connection, hard: bool = False) -> None:
        self._leave(connection)
        if not connection.closed:
            connection.close(hard)
            with self._lock:
                self.connections -= 1

    def _readable(self, connection: Connection) -> None:
        if connection.lingers_until:
            self._discard(connection)
            return
        try:
            data = connection.sock.recv(65_536, _NOW)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._held -= connection.held
            self._close(connection)
            return
        held = connection.held
        try:
            request = connection.take(data)
        except ProtocolError as error:
            self._held -= held
            self._reject(connection, error.status, str(error))
            return
        except ClientLost:
            self._held -= held
            self._close(connection, hard=True)
            return
        self._held += connection.held - held
        if request is not None:
            self._leave(connection)
            self._hand_over(connection, request)
        elif self._held > _BODY_TOTAL and connection.held:
            self._held -= connection.held
            self._reject(connection, 503, "too many request bodies are on their way")

    def _reject(self, connection: Connection, status: int, why: str) -> None:
        """Answer what can't be served, and close when the client has had time to read that.

        A client may still be sending; closing at once would reset the connection and take our answer along.  So what
        comes is thrown away for a while (RFC 9112, 9.6).
        """
        connection.held = 0
        try:
            connection.write(self._refuse(status, why))
            connection.sock.shutdown(socket.SHUT_WR)
        except (ClientLost, OSError):
            self._close(connection, hard=True)
            return
        connection.lingers_until = time.monotonic_ns() + _LINGER_CLOSE
        if self._parked.get(connection.fileno()) is not connection:
            self._return(connection)

    def _discard(self, connection: Connection) -> None:
        """Throw away what a client still sends."""
        try:
            for _ in range(16):
                if not connection.sock.recv(262_144, _NOW):
                    self._close(connection)
                    return
        except BlockingIOError:
            pass
        except OSError:
            self._close(connection)

    def _hand_over(self, connection: Connection, request: Request) -> None:
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
            self.refused += 1
            self._reject(connection, 503, "all workers are busy")
            return
        self._jobs.put((connection, request))

    def _overdue(self) -> None:
        now = time.monotonic_ns()
        timing = self.timing
        for connection in list(self._parked.values()):
            if connection.lingers_until:
                if now > connection.lingers_until:
                    self._close(connection)
            elif connection.begun_at:
                most = timing.body_ms if connection.in_body else timing.header_ms
                if now - connection.begun_at > most * 1_000_000:
                    self._held -= connection.held
                    self._reject(connection, 408, "the request did not come in time")
            elif now - connection.parked_at > (_FRESH if self.draining else timing.idle_ms * 1_000_000):
                self._close(connection)

    # Working.

    def _work(self, connection: Connection, request: Request) -> None:
        with self._lock:
            own = self._wakers < self._most_wakers
            self._wakers += own
        try:
            waker = Waker(own)
        except OSError as error:
            self._log(f"out of descriptors: {error}")
            with self._lock:
                self.workers -= 1
                self._wakers -= own
            self.refused += 1
            self._reject(connection, 503, "no descriptor is free")
            return
        try:
            job: tuple[Connection, Request] | None = (connection, request)
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

    def _serve(self, connection: Connection, request: Request, waker: Waker) -> None:
        """Run the request, and those that follow at once on the same connection."""
        while True:
            try:
                keep = self._handle(connection, request, waker)
                connection.drain(self.timing.client_stall_ms / 1000.0)
            except ClientLost:
                self._close(connection, hard=True)
                return
            except Exception as error:  # a defect: this client loses its connection, the instance goes on
                self._log(f"{request.head.method} {request.head.path}: {type(error).__name__}: {error}")
                self._close(connection, hard=True)
                return
            if not keep or connection.closed or self.draining:
                self._close(connection)
                return
            try:
                following = connection.take(b"")
                if following is None and connection.reader.idle and readable(connection.sock, _LINGER_MS):
                    data = connection.sock.recv(65_536, _NOW)
                    if not data:
                        self._close(connection)
                        return
                    following = connection.take(data)
            except ProtocolError as error:
                self._reject(connection, error.status, str(error))
                return
            except (OSError, ClientLost):
                self._close(connection)
                return
            if following is None:
                with self._lock:
                    self._held += connection.held
                self._return(connection)
                return
            request = following


def readable(sock: socket.socket, wait_ms: int = 0) -> bool:
    """Whether bytes, an end or an error are there within so many milliseconds."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(wait_ms))


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


def plain(
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
