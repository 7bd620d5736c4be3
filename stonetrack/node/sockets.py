"""The few system calls on sockets that clients' and engines' connections are made of, each in one place.

:data:`SYSTEM` makes the calls; tests put errors in its place.  Around it each function tries a call again while this
machine is short of something (``system_errors``), ``TRIES`` times, and raises `ResourceExhausted` after that.  All
other errors are raised as they came.
"""

from __future__ import annotations

import contextlib
import select
import socket
import struct
import time
from collections.abc import Callable
from typing import TypeVar

from stonetrack.node.system_errors import ErrorClass, SystemCall, classify_error

T = TypeVar("T")
MAX_TRIES = 4  # of one call
RETRY_DELAY_S = 0.005  # seconds between two
DONT_WAIT = int(socket.MSG_DONTWAIT)  # as plain numbers: combining the flags anew costs more than the call
SEND_FLAGS = int(socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
_RESET = struct.pack("ii", 1, 0)


class ResourceExhausted(OSError):
    """This machine could not carry out a call, for want of descriptors, memory, ports or routes; no peer's fault."""


class System:
    """The calls themselves."""

    def create_socket(self, family: int) -> socket.socket:
        """socket(2) for a stream."""
        return socket.socket(family, socket.SOCK_STREAM)

    def connect(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """connect(2), within the socket's time-out."""
        sock.connect(address)

    def accept(self, listener: socket.socket) -> socket.socket:
        """accept(2)."""
        return listener.accept()[0]

    def set_option(self, sock: socket.socket, level: int, name: int, value: int | bytes) -> None:
        """setsockopt(2)."""
        sock.setsockopt(level, name, value)

    def send(self, sock: socket.socket, data: bytes | bytearray | memoryview, flags: int) -> int:
        """send(2)."""
        return sock.send(data, flags)

    def receive(self, sock: socket.socket, size: int, flags: int) -> bytes:
        """recv(2)."""
        return sock.recv(size, flags)

    def poll(self, poller: select.poll, milliseconds: float | None) -> list[tuple[int, int]]:
        """poll(2)."""
        return poller.poll(milliseconds)

    def close(self, sock: socket.socket) -> None:
        """close(2); the descriptor is free afterwards, whatever the call says."""
        sock.close()


SYSTEM = System()


def call_with_retries(call: SystemCall, make: Callable[[], T]) -> T:
    """Make a call, again while the machine is short.  Raises ResourceExhausted after that, OSError for all else."""
    for tried in range(1, MAX_TRIES + 1):
        try:
            return make()
        except OSError as error:
            what = classify_error(call, error)
            if isinstance(error, InterruptedError) and tried < MAX_TRIES:
                continue
            if what is not ErrorClass.LOCAL:
                raise
            if tried == MAX_TRIES:
                raise ResourceExhausted(error.errno, f"{call.value}: {error.strerror}") from error
        time.sleep(RETRY_DELAY_S)
    raise AssertionError("not reached")


def open_socket(family: int) -> socket.socket:
    """A stream socket."""
    return call_with_retries(SystemCall.SOCKET, lambda: SYSTEM.create_socket(family))


def connect(host: str, port: int, timeout: float) -> socket.socket:
    """A connected, blocking socket, within so many seconds.  Raises OSError."""
    sock = open_socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    end = time.monotonic() + timeout

    def once() -> None:
        sock.settimeout(max(end - time.monotonic(), 0.001))
        SYSTEM.connect(sock, (host, port))

    try:
        call_with_retries(SystemCall.CONNECT, once)
        set_no_delay(sock)
        sock.settimeout(None)
    except BaseException:
        close(sock)
        raise
    return sock


def accept(listener: socket.socket) -> socket.socket:
    """A client's connection.  Raises BlockingIOError, OSError."""
    return call_with_retries(SystemCall.ACCEPT, lambda: SYSTEM.accept(listener))


def set_no_delay(sock: socket.socket) -> None:
    """Send small writes at once; a connection without that still works."""
    with contextlib.suppress(OSError):
        SYSTEM.set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def send(sock: socket.socket, data: bytes | bytearray | memoryview) -> int:
    """Bytes that the socket took, without waiting.  Raises BlockingIOError, OSError."""
    return call_with_retries(SystemCall.SEND, lambda: SYSTEM.send(sock, data, SEND_FLAGS))


def receive(sock: socket.socket, size: int, flags: int = DONT_WAIT) -> bytes:
    """What came, empty at the end; without waiting unless ``flags`` are others.  Raises BlockingIOError, OSError."""
    return call_with_retries(SystemCall.RECEIVE, lambda: SYSTEM.receive(sock, size, flags))


def poll(poller: select.poll, milliseconds: float | None) -> list[tuple[int, int]]:
    """Descriptors that are ready and how, within so many milliseconds; None is without end.  Raises OSError."""
    return call_with_retries(SystemCall.POLL, lambda: SYSTEM.poll(poller, milliseconds))


def readable(sock: socket.socket, milliseconds: float = 0.0) -> bool:
    """Whether bytes, an end or an error are there within so many milliseconds."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
    return bool(poll(poller, milliseconds))


def close(sock: socket.socket) -> None:
    """Close; an error of the call leaves the descriptor free all the same (close(2))."""
    with contextlib.suppress(OSError):
        SYSTEM.close(sock)


def reset(sock: socket.socket) -> None:
    """Close at once with a reset: nothing more is read, nothing sent."""
    with contextlib.suppress(OSError):
        SYSTEM.set_option(sock, socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    close(sock)
