"""Parses an engine's answer in the platform's protocol into an attempt's outcome.  No I/O.

==============================  =================  =============================================================
answer                          outcome            has the request run?
==============================  =================  =============================================================
200, events to the last chunk   SERVED             yes; after the first event no other attempt can follow
202                             READ               yes: the prompt is prefilled; ``cached_tokens`` were hits
410, ``X-Unprocessed``          FULL, no state     never: the state of the prefill is gone
503 or 504, ``X-Unprocessed``   FULL               never
400, 404, 413, 422 and the like SERVED, rejected   the request is invalid: the answer is final, no ejection
any other status                ERROR              it may have
a connection that ends          RESET              it may have
bytes that can't be parsed      RESET              it may have: the connection can't be used again
==============================  =================  =============================================================

Events are forwarded as raw bytes; none is decoded.  The first event is buffered until it is complete, so that a stream
corrupted before that is a failed attempt and can be retried.  Only the last bytes are examined, at the stream's end:
for ``cached_tokens`` and for the load report, a comment line.

One message is parsed, and nothing after its end: a second answer right behind a good one invalidates that connection
only.  Informational answers (1xx) ahead of the answer are skipped, up to a bound.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec

from stonetrack.api import LoadReport, Outcome, Role
from stonetrack.node.ports import AnswerStarted, AttemptEvent, AttemptResult, RawEvents, StreamProgress
from stonetrack.wire import http1, json_limits, sse
from stonetrack.wire.errors import ProtocolError

LOAD_HEADER, UNPROCESSED_HEADER = "x-backend-load", "x-unprocessed"
_USED_HEADERS = frozenset({LOAD_HEADER, UNPROCESSED_HEADER})
_LOAD_COMMENT = re.compile(rb"^: ?X-Backend-Load: ?([^\r\n]{1,1000})$", re.IGNORECASE | re.MULTILINE)
_CACHED_TOKENS = re.compile(rb'"cached_tokens" ?: ?([0-9]{1,9})')
_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?")
_INVALID_REQUEST = frozenset({400, 404, 405, 406, 411, 413, 414, 415, 417, 422, 431, 501, 505})
_MAX_INFORMATIONAL = 16  # 1xx answers ahead of the answer
_MAX_BODY_BYTES = 32_768  # kept of an answer that is not a stream
_TAIL_BYTES = 2_048  # last bytes of a stream, examined at its end
_MAX_FIRST_EVENT_BYTES = 32_768

ParseLoadReport = Callable[[str], LoadReport | None]


def load_report_pairs(text: str) -> str:
    """Convert ``TEXT inflight=7, queue=2`` to the simulator's ``inflight:7,queue:2``; empty if it can't be parsed."""
    form, _, rest = text[:1_000].partition(" ")
    if form != "TEXT":
        return ""
    pairs = []
    for part in rest.split(","):
        name, _, value = part.strip().partition("=")
        if not name.isidentifier() or not _NUMBER.fullmatch(value):
            return ""
        pairs.append(f"{name}:{value}")
    return ",".join(pairs)


class Exchange:
    """Parses one answer by the table above; feed it bytes until it returns an ``AttemptResult``."""

    __slots__ = ("_awaits_first", "_body", "_ended", "_event_ends", "_head", "_informational", "_on_unanswered",
                 "_parse_report", "_reader", "_role", "_tail", "received", "reusable", "started")  # fmt: skip

    def __init__(
        self,
        role: Role,
        limits: http1.Limits,
        parse_report: ParseLoadReport,
        on_unanswered: Callable[[], None] = lambda: None,
    ) -> None:
        self._reader = http1.MessageReader(http1.Side.RESPONSES, limits)
        self._role = role
        self._parse_report, self._on_unanswered = parse_report, on_unanswered
        self._head: http1.ResponseHead | None = None
        self._body = bytearray()  # of an answer that is not a stream, or a stream up to its first event
        self._awaits_first = False  # a stream whose first event is not complete
        self._tail = bytearray()
        self._event_ends = sse.EventEnds()
        self._ended = False
        self._informational = 0
        self.started = False
        self.reusable = False
        self.received = False

    @property
    def fully_read(self) -> bool:
        """Whether the answer's last byte has arrived and nothing after it."""
        return self._reader.idle

    @property
    def stream_position(self) -> str:
        """The part of the message that a stream is in, for logs; empty before its first event."""
        return self._reader.state if self.started else ""

    def feed(self, data: bytes) -> list[AttemptEvent]:
        """Parse received bytes into the events of the attempt."""
        self.received = True
        events: list[AttemptEvent] = []
        if self._ended:
            self.reusable = False  # unsolicited bytes after the answer
            return events
        try:
            while not self._ended:
                parsed = self._reader.feed(data, messages=1)
                for event in parsed:
                    self._handle(event, events)
                if not parsed or not isinstance(parsed[-1], http1.End):
                    break
                data = b""
            self._note_unfinished(events)
        except ProtocolError as error:
            self.reusable = False
            self._end(Outcome.RESET, events, why=f"the engine's answer can't be read: {error}")
        return events

    def eof(self) -> list[AttemptEvent]:
        """The engine closed the connection."""
        return self.reset(f"the engine closed {'within its answer' if self.received else 'before any answer'}")

    def reset(self, why: str) -> list[AttemptEvent]:
        """The connection failed."""
        events: list[AttemptEvent] = []
        self.reusable = False
        if not self.received and not self._ended:
            self._on_unanswered()
        self._end(Outcome.RESET, events, why=why)
        return events

    def _end(self, outcome: Outcome, events: list[AttemptEvent], **fields: Any) -> None:
        if self._ended:
            return
        self._ended = True
        events.append(AttemptResult(outcome, report=self._report(), **fields))

    def _report(self) -> LoadReport | None:
        """The load report of the stream's last comment, else of the header; None for one that can't be parsed."""
        text = self._head.headers.get(LOAD_HEADER) if self._head is not None else ""
        for found in _LOAD_COMMENT.findall(self._tail):
            text = found.decode("latin-1")
        pairs = load_report_pairs(text)
        return self._parse_report(pairs) if pairs else None

    def _handle(self, event: http1.Event, events: list[AttemptEvent]) -> None:
        if isinstance(event, http1.ResponseHead):
            if event.status < 200:
                self._informational += 1
                if self._informational > _MAX_INFORMATIONAL:
                    raise ProtocolError(f"over {_MAX_INFORMATIONAL} answers ahead of the answer")
                return
            used = [(name, value) for name, value in event.headers if name in _USED_HEADERS]
            self._head = replace(event, headers=http1.Headers(used))  # kept for as long as the stream lasts
            self.reusable = event.keep_alive
            self._awaits_first = event.status == 200 and self._role is not Role.PREFILL
        elif isinstance(event, http1.Data):
            if self.started:
                self._append_tail(event.data)
                events.append(RawEvents(event.data, self._event_ends.feed(event.data)))
            elif self._awaits_first:
                self._buffer_first_event(event.data, events)
            elif len(self._body) < _MAX_BODY_BYTES:
                self._body += event.data
        elif isinstance(event, http1.End) and self._head is not None:
            self._message_complete(self._head, events)

    def _note_unfinished(self, events: list[AttemptEvent]) -> None:
        """Add where the stream stands, if what was received completes no event of it."""
        if self.started and not self._ended and not any(isinstance(e, RawEvents) and e.ends_event for e in events):
            events.append(StreamProgress(self._reader.announced_bytes, self._reader.remaining_bytes))

    def _append_tail(self, data: bytes) -> None:
        self._tail += data
        if len(self._tail) > 2 * _TAIL_BYTES:
            del self._tail[:-_TAIL_BYTES]

    def _buffer_first_event(self, data: bytes, events: list[AttemptEvent]) -> None:
        """Buffer a stream until its first event is complete, then forward what was buffered."""
        self._body += data
        start = self._body.find(b"data:")
        if start < 0 or (b"\n\n" not in self._body[start:] and b"\r\n\r\n" not in self._body[start:]):
            if len(self._body) > _MAX_FIRST_EVENT_BYTES:
                raise ProtocolError(f"the first event is over {_MAX_FIRST_EVENT_BYTES} bytes")
            return
        opening = bytes(self._body)
        self._body.clear()
        self.started = True
        self._append_tail(opening)
        self._event_ends.feed(opening)
        events += [AnswerStarted(), RawEvents(opening)]

    def _message_complete(self, head: http1.ResponseHead, events: list[AttemptEvent]) -> None:
        """Classify the answer once its message is complete; see the table above."""
        status, unprocessed = head.status, head.headers.get(UNPROCESSED_HEADER) == "1"
        if self.started:
            found = _CACHED_TOKENS.findall(self._tail)
            self._end(Outcome.SERVED, events, kept_tokens=int(found[-1]) if found else 0)
        elif status == 202 and self._role is not Role.DECODE:
            self._end(Outcome.READ, events, kept_tokens=self._cached_tokens(), state=True)
        elif status == 410 and unprocessed:
            self._end(Outcome.FULL, events, why="the state to be fetched is gone", state_missing=True)
        elif status in (503, 504) and unprocessed:
            self._end(Outcome.FULL, events, why=f"turned away ({status})")
        elif status in _INVALID_REQUEST:
            self._end(Outcome.SERVED, events, why=f"the engine answered {status}", rejection=(status, {}))
        else:
            self._end(Outcome.ERROR, events, why=f"the engine answered {status}")

    def _cached_tokens(self) -> int:
        try:
            raw = json_limits.decode(self._body)
        except msgspec.DecodeError:
            return 0
        tokens = raw.get("cached_tokens") if isinstance(raw, dict) else 0
        return tokens if type(tokens) is int and tokens >= 0 else 0
