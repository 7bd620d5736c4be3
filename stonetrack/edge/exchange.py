"""An engine's answer as bytes to outcomes, in the platform's protocol.  No I/O.

==============================  =================  =============================================================
what comes back                 outcome            has it run?
==============================  =================  =============================================================
200, events to the last chunk   SERVED             yes; from the first event on the attempt is the client's
202                             READ               yes: the prompt is read, ``cached_tokens`` were found kept
410, ``X-Unprocessed``          FULL, no state     never: the read state is gone
503 or 504, ``X-Unprocessed``   FULL               never
400, 404, 413, 422 and the like SERVED, rejected   the request is at fault: the answer is final, no engine suffers
any other status                ERROR              it may have
a connection that ends          RESET              it may have
bytes that can't be read        RESET              it may have: the connection is of no further use
==============================  =================  =============================================================

Events are passed on as the bytes they came in; none is decoded.  The first is held back until it is whole, so that a
stream spoilt before it is a failed attempt and can be tried again.  Only the last bytes are looked at again, at
the stream's end: for ``cached_tokens`` and for the load report, a comment line.

A message is read at a time, and nothing behind its end: a second answer right behind a good one harms that connection
only.  What an engine sends ahead of its answer (1xx) is passed over, up to a bound.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

import msgspec

from stonetrack.api import LoadReport, Outcome, Role
from stonetrack.node.ports import AttemptEvent, Began, Over, Passed
from stonetrack.wire import http1
from stonetrack.wire.errors import ProtocolError

LOAD_HEADER, UNPROCESSED_HEADER = "x-backend-load", "x-unprocessed"
_COMMENT = re.compile(rb"^: ?X-Backend-Load: ?([^\r\n]{1,1000})$", re.IGNORECASE | re.MULTILINE)
_CACHED = re.compile(rb'"cached_tokens" ?: ?([0-9]{1,9})')
_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?")
_AT_FAULT = frozenset({400, 404, 405, 406, 411, 413, 414, 415, 417, 422, 431, 501, 505})
_INFORMATIONAL = 16  # such answers ahead of one
_BODY = 65_536  # of an answer that is no stream
_TAIL = 2_048  # last bytes of a stream that are looked at again
_FIRST = 65_536  # bytes in which the first event must end

ParseLoadReport = Callable[[str], LoadReport | None]


def load_report_pairs(text: str) -> str:
    """``TEXT inflight=7, queue=2`` as the simulator's ``inflight:7,queue:2``; empty where it can't be read."""
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
    """Reads one answer; see the table above.  Feed it until it gives an ``Over``."""

    __slots__ = ("_ahead", "_body", "_first", "_head", "_over", "_read_report", "_reader", "_role", "_tail",
                 "_unanswered", "began", "reusable", "seen")  # fmt: skip

    def __init__(
        self,
        role: Role,
        limits: http1.Limits,
        read_report: ParseLoadReport,
        unanswered: Callable[[], None] = lambda: None,
    ) -> None:
        self._reader = http1.MessageReader(http1.Side.RESPONSES, limits)
        self._role = role
        self._read_report, self._unanswered = read_report, unanswered
        self._head: http1.ResponseHead | None = None
        self._body = bytearray()  # of an answer that is no stream, and a stream's beginning
        self._first = False  # a stream that waits for its first event
        self._tail = bytearray()
        self._over = False
        self._ahead = 0
        self.began = False
        self.reusable = False
        self.seen = False

    @property
    def settled(self) -> bool:
        """Whether the answer's last byte has come and nothing behind it."""
        return self._reader.idle

    def feed(self, data: bytes) -> list[AttemptEvent]:
        """What these bytes tell."""
        self.seen = True
        events: list[AttemptEvent] = []
        if self._over:
            self.reusable = False  # bytes that nobody asked for
            return events
        try:
            while not self._over:
                came = self._reader.feed(data, messages=1)
                for event in came:
                    self._take(event, events)
                if not came or not isinstance(came[-1], http1.End):
                    break
                data = b""
        except ProtocolError as error:
            self.reusable = False
            self._end(Outcome.RESET, events, why=f"the engine's answer can't be read: {error}")
        return events

    def eof(self) -> list[AttemptEvent]:
        """The engine has closed."""
        return self.reset(f"the engine closed {'within its answer' if self.seen else 'before any answer'}")

    def reset(self, why: str) -> list[AttemptEvent]:
        """The connection broke."""
        events: list[AttemptEvent] = []
        self.reusable = False
        if not self.seen and not self._over:
            self._unanswered()
        self._end(Outcome.RESET, events, why=why)
        return events

    def _end(self, outcome: Outcome, events: list[AttemptEvent], **more: Any) -> None:
        if self._over:
            return
        self._over = True
        events.append(Over(outcome, report=self._report(), **more))

    def _report(self) -> LoadReport | None:
        """The stream's last comment, or else the head's field; a report that can't be read is none."""
        told = self._head.headers.get(LOAD_HEADER) if self._head is not None else ""
        for found in _COMMENT.findall(self._tail):
            told = found.decode("latin-1")
        pairs = load_report_pairs(told)
        return self._read_report(pairs) if pairs else None

    def _take(self, event: http1.Event, events: list[AttemptEvent]) -> None:
        if isinstance(event, http1.ResponseHead):
            if event.status < 200:
                self._ahead += 1
                if self._ahead > _INFORMATIONAL:
                    raise ProtocolError(f"over {_INFORMATIONAL} answers ahead of the answer")
                return
            self._head = event
            self.reusable = event.keep_alive
            self._first = event.status == 200 and self._role is not Role.READER
        elif isinstance(event, http1.Data):
            if self.began:
                self._keep_end(event.data)
                events.append(Passed(event.data))
            elif self._first:
                self._begin(event.data, events)
            elif len(self._body) < _BODY:
                self._body += event.data
        elif isinstance(event, http1.End) and self._head is not None:
            self._whole(self._head, events)

    def _keep_end(self, data: bytes) -> None:
        self._tail += data
        if len(self._tail) > 2 * _TAIL:
            del self._tail[:-_TAIL]

    def _begin(self, data: bytes, events: list[AttemptEvent]) -> None:
        """Hold a stream's beginning back until its first event is whole."""
        self._body += data
        start = self._body.find(b"data:")
        if start < 0 or (b"\n\n" not in self._body[start:] and b"\r\n\r\n" not in self._body[start:]):
            if len(self._body) > _FIRST:
                raise ProtocolError(f"the first event is over {_FIRST} bytes")
            return
        whole = bytes(self._body)
        self._body.clear()
        self.began = True
        self._keep_end(whole)
        events += [Began(), Passed(whole)]

    def _whole(self, head: http1.ResponseHead, events: list[AttemptEvent]) -> None:
        """The message is complete."""
        status, unprocessed = head.status, head.headers.get(UNPROCESSED_HEADER) == "1"
        if self.began:
            found = _CACHED.findall(self._tail)
            self._end(Outcome.SERVED, events, kept_tokens=int(found[-1]) if found else 0)
        elif status == 202 and self._role is not Role.WRITER:
            self._end(Outcome.READ, events, kept_tokens=self._kept(), state=True)
        elif status == 410 and unprocessed:
            self._end(Outcome.FULL, events, why="the state to be fetched is gone", state_missing=True)
        elif status in (503, 504) and unprocessed:
            self._end(Outcome.FULL, events, why=f"turned away ({status})")
        elif status in _AT_FAULT:
            self._end(Outcome.SERVED, events, why=f"the engine answered {status}", rejection=(status, {}))
        else:
            self._end(Outcome.ERROR, events, why=f"the engine answered {status}")

    def _kept(self) -> int:
        try:
            raw = msgspec.json.decode(self._body)
        except (msgspec.DecodeError, RecursionError):
            return 0
        kept = raw.get("cached_tokens") if isinstance(raw, dict) else 0
        return kept if type(kept) is int and kept >= 0 else 0
