"""Idle client connections to a node, opened again when the node closes them."""

from __future__ import annotations

import contextlib
import select
import socket

CONNECT_TIMEOUT = 0.1  # seconds
MAX_PER_REFILL = 50  # connections opened per call of refill()


class IdleConnections:
    """Up to ``size`` idle connections to one address; a context manager that closes them."""

    def __init__(self, address: tuple[str, int], size: int) -> None:
        self._address, self._size = address, size
        self._open: dict[int, socket.socket] = {}
        self.opened = 0  # total number of connections opened
        self.closed_by_node = 0

    def __enter__(self) -> IdleConnections:
        return self

    def __exit__(self, *_: object) -> None:
        for sock in self._open.values():
            sock.close()
        self._open.clear()

    def refill(self) -> None:
        """Discard connections that the node has closed and open at most ``MAX_PER_REFILL`` new ones."""
        self._drop_closed()
        for _ in range(min(MAX_PER_REFILL, self._size - len(self._open))):
            if not self._connect():
                return

    def _drop_closed(self) -> None:
        poller = select.poll()
        for descriptor in self._open:
            poller.register(descriptor, select.POLLIN | select.POLLRDHUP)
        for descriptor, _ in poller.poll(0):  # a node sends nothing on an idle connection except an overload response
            self._open.pop(descriptor).close()
            self.closed_by_node += 1

    def _connect(self) -> bool:
        with contextlib.suppress(OSError):  # the node is down or its accept queue is full
            sock = socket.create_connection(self._address, timeout=CONNECT_TIMEOUT)
            self._open[sock.fileno()] = sock
            self.opened += 1
            return True
        return False
