"""Protocol violations by a peer, with the HTTP status that a server answers."""

from __future__ import annotations


class ProtocolError(ValueError):
    """A message that can't be parsed or is not accepted.

    ``status`` is the HTTP status that a server answers with.  The connection is closed after that answer, because the
    start of the next message is unknown.  The text names what was found and what is allowed.
    """

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class TooLarge(ProtocolError):
    """A part of the message exceeds its limit (413, 414 or 431; 400 for a chunk size line)."""
