"""Decides until when a stream that has started may complete its next event.  No I/O; times in nanoseconds.

An event that is complete is progress.  Bytes that complete none are progress only for a bounded time: any byte for a
short grace, and those of a chunk whose announced size, at the pace of its bytes so far, has arrived by the event limit.
Bytes of a chunk's size, of comments, or of ever new chunks without an event's end extend nothing beyond the grace.
"""

from __future__ import annotations

from stonetrack.node.ports import StreamProgress

BYTES_GRACE_NS = 150_000_000  # beyond the silence limit, for a stream with bytes since its last event
EVENT_LIMIT_FACTOR = 2  # event limit, in silence limits
MAX_BYTE_PAUSE_DIVISOR = 2  # of the silence limit: the longest pause between bytes of an event that is late


class StreamDeadline:
    """The deadline of one stream; ``silence`` is the longest time from one event to the next.

    ``at`` is when the stream counts as broken, ``last_event_at`` when its last event was complete.
    """

    __slots__ = ("_announced", "_bytes_at_first", "_counts_from", "_first_at", "_silence", "at", "last_event_at")

    def __init__(self, silence: int) -> None:
        self._silence = silence
        self.at = self.last_event_at = self._counts_from = 0
        self._announced = -1  # identifies the chunk that is being received
        self._first_at = self._bytes_at_first = 0  # when bytes of it were seen first, and how many were to come then

    def event_completed(self, now: int) -> None:
        """An event is complete."""
        self.last_event_at = self._counts_from = now
        self.at = now + self._silence

    def restart(self, now: int) -> None:
        """The engine is read again after a time in which this node did not read from it."""
        self._counts_from = now
        self.at = now + self._silence

    def bytes_received(self, progress: StreamProgress, now: int) -> None:
        """Bytes arrived that complete no event."""
        usual = self._counts_from + self._silence + BYTES_GRACE_NS
        if progress.announced != self._announced:
            self._announced = progress.announced
            self._first_at, self._bytes_at_first = now, progress.remaining
            self.at = usual
        if not progress.remaining or self._first_at > usual:
            self.at = usual
            return
        limit = self._counts_from + EVENT_LIMIT_FACTOR * self._silence
        if self._expected_end(progress.remaining, now) <= limit:
            self.at = max(self.at, min(now + self._silence // MAX_BYTE_PAUSE_DIVISOR, limit))

    def _expected_end(self, remaining: int, now: int) -> int:
        """When the chunk is complete at the pace of its bytes so far; now if no pace is known."""
        received = self._bytes_at_first - remaining
        return now + remaining * (now - self._first_at) // received if received > 0 else now
