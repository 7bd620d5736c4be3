"""The system calls on sockets that connections to clients and engines use, one function for each.

:data:`SYSTEM` makes the calls; tests replace it to inject errors.  The functions around it retry a call up to
``MAX_TRIES`` times while resources of this machine are exhausted (``system_errors``), and raise
:class:`ResourceExhausted` after that.  All other errors are raised unchanged.
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
RETRY_DELAY_S = 0.005
DONT_WAIT = int(socket.MSG_DONTWAIT)  # plain integers: combining the enum members on each call costs more than the call
SEND_FLAGS = int(socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
PEEK = int(socket.MSG_DONTWAIT | socket.MSG_PEEK)
_RESET = struct.pack("ii", 1, 0)


class ResourceExhausted(OSError):
    """A call failed since this machine lacks descriptors, memory, ports or routes; the peer is not at fault."""


class System:
    """The system calls themselves."""

    def create_socket(self, family: int) -> socket.socket:
        """socket(2) for a stream."""
        return socket.socket(family, socket.SOCK_STREAM)

    def connect(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """connect(2), within the socket's timeout."""
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
        """close(2); the descriptor is freed even if the call reports an error."""
        sock.close()


SYSTEM = System()


def call_with_retries(call: SystemCall, function: Callable[[], T]) -> T:
    """Call a function, retrying while resources are exhausted.  Raises ResourceExhausted after that, else OSError."""
    for attempt in range(1, MAX_TRIES + 1):
        try:
            return function()
        except OSError as error:
            error_class = classify_error(call, error)
            if isinstance(error, InterruptedError) and attempt < MAX_TRIES:
                continue
            if error_class is not ErrorClass.LOCAL:
                raise
            if attempt == MAX_TRIES:
                raise ResourceExhausted(error.errno, f"{call.value}: {error.strerror}") from error
        time.sleep(RETRY_DELAY_S)
    raise AssertionError("not reached")


def open_socket(family: int) -> socket.socket:
    """A new stream socket.  Raises OSError."""
    return call_with_retries(SystemCall.SOCKET, lambda: SYSTEM.create_socket(family))


def connect(host: str, port: int, timeout: float) -> socket.socket:
    """A connected, blocking socket, within ``timeout`` seconds.  Raises OSError."""
    sock = open_socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    deadline = time.monotonic() + timeout

    def connect_once() -> None:
        sock.settimeout(max(deadline - time.monotonic(), 0.001))
        SYSTEM.connect(sock, (host, port))

    try:
        call_with_retries(SystemCall.CONNECT, connect_once)
        set_no_delay(sock)
        sock.settimeout(None)
    except BaseException:
        close(sock)
        raise
    return sock


def accept(listener: socket.socket) -> socket.socket:
    """A client's new connection.  Raises BlockingIOError, OSError."""
    return call_with_retries(SystemCall.ACCEPT, lambda: SYSTEM.accept(listener))


def set_no_delay(sock: socket.socket) -> None:
    """Set TCP_NODELAY; errors are ignored, since the connection works without it."""
    with contextlib.suppress(OSError):
        SYSTEM.set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def send(sock: socket.socket, data: bytes | bytearray | memoryview) -> int:
    """Send without blocking; the number of bytes that the socket took.  Raises BlockingIOError, OSError."""
    return call_with_retries(SystemCall.SEND, lambda: SYSTEM.send(sock, data, SEND_FLAGS))


def receive(sock: socket.socket, size: int, flags: int = DONT_WAIT) -> bytes:
    """Received bytes, empty at the end; does not block with the default flags.  Raises BlockingIOError, OSError."""
    return call_with_retries(SystemCall.RECEIVE, lambda: SYSTEM.receive(sock, size, flags))


def receive_until(sock: socket.socket, size: int, deadline: float) -> bytes:
    """Wait for bytes up to a time of the monotonic clock, in seconds, and receive them; empty at the end.

    Raises TimeoutError at the deadline, also where bytes go on arriving, else OSError.
    """
    left = deadline - time.monotonic()
    if left <= 0:
        raise TimeoutError("the time of the answer has passed")
    sock.settimeout(left)
    return sock.recv(size)


def poll(poller: select.poll, milliseconds: float | None) -> list[tuple[int, int]]:
    """Descriptors that are ready and their event masks; a timeout of None waits without limit.  Raises OSError."""
    return call_with_retries(SystemCall.POLL, lambda: SYSTEM.poll(poller, milliseconds))


def readable(sock: socket.socket, milliseconds: float = 0.0) -> bool:
    """Whether bytes, the end or an error can be read within the given milliseconds.  Raises OSError."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
    return bool(poll(poller, milliseconds))


def close(sock: socket.socket) -> None:
    """Close; errors are ignored, since the descriptor is freed all the same (close(2))."""
    with contextlib.suppress(OSError):
        SYSTEM.close(sock)


def reset(sock: socket.socket) -> None:
    """Close at once with a reset; unsent and unread data are dropped."""
    with contextlib.suppress(OSError):
        SYSTEM.set_option(sock, socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    close(sock)
