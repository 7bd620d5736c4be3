"""What a peer did wrong, with the status a server answers it by."""

from __future__ import annotations


class ProtocolError(ValueError):
    """A message that can't be taken.

    ``status`` is the HTTP status a server answers with; after it the connection is closed, since where the
    next message begins is no longer known.  The text names what was found and what is allowed.
    """

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class TooLarge(ProtocolError):
    """A part of the message is over its bound (413, 414 or 431)."""
