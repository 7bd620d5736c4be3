"""The part of ``ports.Sink`` that is independent of the API: writing to the client's connection."""

from __future__ import annotations

from stonetrack.frontend.connection import Connection


class ConnectionSink:
    """Writes to one client connection without blocking."""

    __slots__ = ("connection",)

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def fileno(self) -> int:
        """Return the descriptor of the client's socket."""
        return self.connection.fileno()

    @property
    def pending(self) -> int:
        """Bytes not yet accepted by the socket."""
        return len(self.connection.pending)

    def flush(self) -> int:
        """Write pending data as far as the socket accepts it; return the bytes left.  Raises ClientDisconnected."""
        return self.connection.flush()

    def read_ahead(self) -> bool:
        """Receive what the client has sent behind its request; return whether nothing is left unread."""
        return self.connection.read_ahead()

    def cork(self, on: bool) -> None:
        """While on, keep written data pending; the caller flushes afterwards."""
        self.connection.corked = on
