"""What a link does to the bytes of one direction of one connection.  No I/O, no clock.

A link that is *cut* in a direction carries nothing that way, says nothing, and delivers what was sent meanwhile when it
is whole again, as TCP does over a path that comes back; nobody sees an end before then either.  *Delay* and *jitter*
move each piece without changing the order; *rate* lets so many bytes pass a second; after *break_after* bytes the
connection is to be reset, in the middle of whatever it was.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

SECOND = 1_000_000_000
MS = 1_000_000


@dataclass
class Policy:
    """What a link does now, shared by all its connections; times in nanoseconds, ``rate`` in bytes a second."""

    refuse: bool = False  # nobody listens
    cut_there: bool = False  # from who connects to whom it connects to
    cut_back: bool = False
    delay: int = 0
    jitter: int = 0
    rate: int = 0  # 0: no bound
    break_after: int = 0  # bytes back, 0: never

    def cut(self, there: bool) -> bool:
        """Whether nothing passes in this direction."""
        return self.cut_there if there else self.cut_back


class Pipe:
    """One direction: bytes are pushed in and taken out when they may pass."""

    def __init__(self, policy: Policy, there: bool, draw: random.Random) -> None:
        self.policy, self._there, self._draw = policy, there, draw
        self._waiting: deque[tuple[int, bytes]] = deque()  # earliest time, bytes; an empty piece is the end
        self._last = 0
        self._free = 0  # when the rate allows the next byte
        self.passed = 0
        self.broken = False  # the connection is to be reset
        self.ended = False  # the end has passed

    def __len__(self) -> int:
        return sum(len(data) for _, data in self._waiting)

    def push(self, now: int, data: bytes) -> None:
        """Bytes came in; none for the end of the stream."""
        extra = self.policy.delay
        if self.policy.jitter:
            extra += int(self._draw.random() * self.policy.jitter)
        self._last = max(self._last, now + extra)
        self._waiting.append((self._last, data))

    def due(self) -> int | None:
        """When something may pass; None while nothing waits or the link is cut."""
        if not self._waiting or self.policy.cut(self._there):
            return None
        return max(self._waiting[0][0], self._free)

    def take(self, now: int) -> bytes:
        """What passes now."""
        out = bytearray()
        while (at := self.due()) is not None and at <= now and not self.broken:
            earliest, data = self._waiting.popleft()
            if not data:
                self.ended = True
                break
            if rate := self.policy.rate:
                room = max(1, rate // 100)  # pieces of a hundredth of a second
                if len(data) > room:
                    self._waiting.appendleft((earliest, data[room:]))
                    data = data[:room]
                self._free = max(self._free, now) + len(data) * SECOND // rate
            most = self.policy.break_after
            if most and not self._there and self.passed + len(data) >= most:
                data, self.broken = data[: most - self.passed], True
            self.passed += len(data)
            out += data
        return bytes(out)
