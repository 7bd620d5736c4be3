"""Crowds of bad clients on one thread: at full speed, slow, such that stop half way, or read nothing."""

from __future__ import annotations

import socket
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from functools import cached_property

from stonetrack.wire.writer import LAST_CHUNK
from tests.platform import CHAT, headers

SLOW_BYTES, SLOW_PAUSE_S = 2_048, 0.1


class Pace(Enum):
    """How a bad client sends its request and reads the answer."""

    FULL_SPEED = "at full speed"
    SLOW = "in small pieces"
    STOPS = "stops half way"
    READS_NOTHING = "reads nothing of the answer"


@dataclass(frozen=True)
class Crowd:
    """So many bad clients; each begins again as soon as it is turned away or served."""

    number: int
    pace: Pace
    head_bytes: int = 300
    fields: int = 8
    body_bytes: int = 100
    chunk: bytes = b""  # of the body, framing included; empty for a body of announced length

    @cached_property
    def template(self) -> bytes:
        """What each client sends, with ``ID`` in place of an id."""
        framing = "Transfer-Encoding: chunked" if self.chunk else f"Content-Length: {self.body_bytes}"
        usual = f"POST {CHAT} HTTP/1.1\r\nHost: t\r\n{headers('ID')}{framing}\r\n"
        added = max(self.fields + 1 - usual.count("\r\n"), 0)
        size = max((self.head_bytes - len(usual)) // max(added, 1) - 6, 0)
        more = "".join(f"{n:02}:{'v' * size}\r\n" for n in range(added))
        body = b"b" * self.body_bytes
        if self.chunk:
            body = self.chunk * (self.body_bytes // int(self.chunk[:1])) + LAST_CHUNK
        message = f"{usual}{more}\r\n".encode() + body
        return message[: len(message) * 99 // 100] if self.pace is Pace.STOPS else message


class BadClient:
    """One client of a crowd, on one connection at a time."""

    begun = 0

    def __init__(self, port: int, crowd: Crowd, statuses: Counter[int]) -> None:
        self._port, self._crowd, self._statuses = port, crowd, statuses
        self._begin()

    def _begin(self) -> None:
        BadClient.begun += 1
        self.sock = socket.socket()
        if self._crowd.pace is Pace.READS_NOTHING:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.sock.setblocking(False)
        with suppress(BlockingIOError):
            self.sock.connect(("127.0.0.1", self._port))
        self._unsent = memoryview(self._crowd.template.replace(b"ID", b"bad%d" % BadClient.begun, 1))
        self._received, self._next_at = b"", 0.0

    def step(self) -> None:
        """Send and read what is possible now."""
        try:
            over = self._step()
        except BlockingIOError:
            over = False
        except OSError:
            over = True
        if over:
            self.sock.close()
            self._begin()

    def _step(self) -> bool:
        with suppress(BlockingIOError):
            if self._unsent and time.monotonic() >= self._next_at:
                piece = self._unsent[:SLOW_BYTES] if self._crowd.pace is Pace.SLOW else self._unsent
                self._unsent = self._unsent[self.sock.send(piece) :]
                self._next_at = time.monotonic() + (SLOW_PAUSE_S if self._crowd.pace is Pace.SLOW else 0.0)
        if self._crowd.pace is Pace.READS_NOTHING:
            return False
        data = self.sock.recv(65_536)
        if not self._received and len(data) > 12:
            self._statuses[int(data[9:12])] += 1
        self._received = (self._received + data)[-1_000:]
        return not data or self._received.endswith(LAST_CHUNK) or not self._received.startswith(b"HTTP/1.1 200")
