"""The engines' protocol without I/O: building requests, and mapping answers to outcomes.

The protocol is public: OpenAI-style ``POST /v1/chat/completions`` with vLLM's ``kv_transfer_params`` for disaggregated
prefill.  A prefill engine is asked for one token with ``do_remote_decode``; the ``kv_transfer_params`` that it returns
are passed to the decode engine unchanged.  ``X-Request-Id`` carries the ID of the request, the same for all its
attempts.

Each ``Outcome`` and its causes on the socket (``docs/node.md`` has the table with reasons):

=================  =================================================================================================
READ               prefill engine: 200 with ``kv_transfer_params``
SERVED             decode or mixed engine: ``[DONE]`` in the stream; any role: an error in the request (400, 413, 422)
FULL               429 or 503; with ``state_missing`` if the error code is ``kv_state_missing``
ERROR              any other status; a malformed 200; an error event; a prefill answer without parameters
CONNECT_FAILED     the connection was refused, or not established in time
NOT_SENT           the socket accepted only part of the request, or nothing because the engine drains or is delisted
RESET              closed or reset after the whole request was sent and before the answer was complete
TIMED_OUT          the time limit expired; within a stream, no data for too long
CANCELLED          cancelled by the router, or because the client left
=================  =================================================================================================
"""

from __future__ import annotations

from typing import Any

import msgspec

from stonetrack.api import Outcome, Role
from stonetrack.engines import load
from stonetrack.node.ports import (
    AnswerStarted,
    AttemptEvent,
    AttemptResult,
    Choices,
    InferenceRequest,
    StreamProgress,
)
from stonetrack.wire import http1, json_limits, sse, writer
from stonetrack.wire.errors import ProtocolError

CHAT_PATH = "/v1/chat/completions"
RESERVE_PATH = "/v1/kv/hold"
RELEASE_PATH = "/v1/kv/release"
STATE_MISSING = "kv_state_missing"
_REQUEST_ERRORS = frozenset({400, 413, 422})
_MAX_ERROR_BODY = 65_536
_FORWARDED_FIELDS = ("system_fingerprint", "service_tier")  # of an event, forwarded to the client beside its choices

_encode = msgspec.json.Encoder().encode


def chat_request(
    request: InferenceRequest,
    role: Role,
    host: str,
    attempt_number: int,
    instance: str,
    state: dict[str, Any] | None,
    reserved: bool,
    load_header: bool,
    settings_version: str = "",
) -> bytes:
    """The HTTP request of one attempt: a prefill, or a streamed answer (from ``state`` after a remote prefill)."""
    body = dict(request.body)
    body.pop("stream_options", None)
    if role is Role.PREFILL:
        body["stream"] = False
        for field in ("max_completion_tokens", "max_tokens"):
            if body.pop(field, None) is not None:
                body[field] = 1
        body["max_tokens"] = 1
        body.pop("min_tokens", None)
        body["kv_transfer_params"] = {
            "do_remote_decode": True,
            "do_remote_prefill": False,
            "remote_engine_id": None,
            "remote_block_ids": None,
            "remote_host": None,
            "remote_port": None,
        }
    else:
        body["stream"] = True
        body["stream_options"] = {"include_usage": True}
        if state is not None:
            body["kv_transfer_params"] = state
    headers = [
        ("Host", host),
        ("Content-Type", "application/json"),
        ("X-Request-Id", request.request_id),
        ("X-Attempt", str(attempt_number)),
        ("X-Stonetrack-Instance", instance),
        ("Accept", "application/json" if role is Role.PREFILL else "text/event-stream"),
    ]
    if load_header:
        headers.append(("Endpoint-Load-Metrics-Format", "TEXT"))
    if request.idempotency_key:
        headers.append(("Idempotency-Key", request.idempotency_key))
    if settings_version:
        headers.append(("X-Stonetrack-Acting", settings_version))
    if reserved:
        headers.append(("X-Held-Place", request.request_id))
    return writer.request("POST", CHAT_PATH, headers, _encode(body))


class Exchange:
    """Parses one answer, by the table above.  To be fed until it returns an ``AttemptResult``."""

    __slots__ = (
        "_body",
        "_done",
        "_error_event",
        "_head",
        "_ended",
        "_reader",
        "_role",
        "_sse",
        "started",
        "max_body",
        "reusable",
        "received",
    )

    def __init__(self, role: Role, limits: http1.Limits) -> None:
        self._reader = http1.MessageReader(http1.Side.RESPONSES, limits)
        self._role = role
        self._head: http1.ResponseHead | None = None
        self._sse: sse.EventStreamReader | None = None
        self._body = bytearray()
        self._ended = False
        self._done = False
        self._error_event = ""
        self.max_body = limits.body
        self.started = False
        self.reusable = False  # whether the connection may carry another request
        self.received = False  # whether any byte of an answer has been received

    def feed(self, data: bytes) -> list[AttemptEvent]:
        """Parse received bytes; return the events that they complete."""
        self.received = True
        events: list[AttemptEvent] = []
        try:
            for event in self._reader.feed(data):
                self._handle(event, events)
            if self.started and not events and not self._ended:
                events.append(StreamProgress(self._reader.announced_bytes, self._reader.remaining_bytes))
        except ProtocolError as error:
            self._set_outcome(Outcome.ERROR, events, why=f"the engine's answer can't be read: {error}")
        return events

    def eof(self) -> list[AttemptEvent]:
        """The engine has closed the connection; return the final events."""
        events: list[AttemptEvent] = []
        try:
            for event in self._reader.eof():
                self._handle(event, events)
        except ProtocolError:
            pass
        if not self._ended:
            where = "within its answer" if self.received else "before any answer"
            self._set_outcome(Outcome.RESET, events, why=f"the engine closed {where}")
        return events

    def reset(self, reason: str) -> list[AttemptEvent]:
        """The connection was lost for this reason; return the final events."""
        events: list[AttemptEvent] = []
        if not self._ended:
            self._set_outcome(Outcome.RESET, events, why=reason)
        return events

    @property
    def stream_position(self) -> str:
        """The part of the message that a stream is in, for logs; empty before its first event."""
        return self._reader.state if self.started else ""

    @property
    def fully_read(self) -> bool:
        """Whether the answer has been received to its last byte, which may follow after the outcome."""
        return self._reader.idle

    def _set_outcome(self, outcome: Outcome, events: list[AttemptEvent], **details: Any) -> None:
        if self._ended:
            return
        self._ended = True
        report = load.from_header(self._head.headers.get(load.HEADER)) if self._head is not None else None
        events.append(AttemptResult(outcome, report=report, **details))

    def _handle(self, event: http1.Event, events: list[AttemptEvent]) -> None:
        if isinstance(event, http1.ResponseHead):
            if event.status < 200:
                return
            if self._head is not None:
                self.reusable = False
                raise ProtocolError("a second answer where one is due")
            self._head = event
            self.reusable = event.keep_alive
            content_type = event.headers.get("content-type").partition(";")[0].strip().lower()
            if event.status == 200 and self._role is not Role.PREFILL:
                if content_type != "text/event-stream":
                    self._set_outcome(
                        Outcome.ERROR,
                        events,
                        why=f"the engine answered {content_type or 'no type'}, not an event stream",
                    )
                    return
                self._sse = sse.EventStreamReader()
        elif isinstance(event, http1.Data):
            if self._sse is not None:
                for server_event in self._sse.feed(event.data):
                    self._handle_event(server_event, events)
            elif len(self._body) < (self.max_body if self._head and self._head.status == 200 else _MAX_ERROR_BODY):
                self._body += event.data
        elif isinstance(event, http1.End) and self._head is not None and not self._ended:
            self._finish(self._head, events)

    def _handle_event(self, event: sse.ServerSentEvent, events: list[AttemptEvent]) -> None:
        if self._ended:
            return
        if event.data == b"[DONE]":
            if self.started:
                self._set_outcome(Outcome.SERVED, events)
            else:
                self._set_outcome(Outcome.ERROR, events, why="the engine's stream ended without an answer")
            return
        try:
            raw = json_limits.decode(event.data)
        except msgspec.DecodeError:
            raw = None
        if not isinstance(raw, dict):
            self._set_outcome(Outcome.ERROR, events, why="an event of the engine's stream is no JSON object")
            return
        choices, usage = raw.get("choices"), raw.get("usage")
        if type(choices) is list and "error" not in raw and all(map(_is_object, choices)):
            if not self.started:
                self.started = True
                events.append(AnswerStarted())
            extra = {k: raw[k] for k in _FORWARDED_FIELDS if k in raw} if len(raw) > 5 else {}
            events.append(Choices(choices, usage if type(usage) is dict else None, extra))
        elif "error" in raw:
            self._set_outcome(Outcome.ERROR, events, why=f"the engine's stream told an error: {_error_message(raw)}")
        else:
            self._set_outcome(Outcome.ERROR, events, why="an event of the engine's stream has no list of choices")

    def _finish(self, head: http1.ResponseHead, events: list[AttemptEvent]) -> None:
        """The message is complete, and there is no outcome yet."""
        if self._sse is not None:
            self._set_outcome(Outcome.RESET, events, why="the engine's stream ended without [DONE]")
            return
        try:
            raw = json_limits.decode(self._body) if self._body else {}
        except msgspec.DecodeError:
            raw = {}
        raw = raw if isinstance(raw, dict) else {}
        if head.status == 200:
            state = raw.get("kv_transfer_params")
            if not isinstance(state, dict):
                self._set_outcome(Outcome.ERROR, events, why="the reader returned no kv_transfer_params")
                return
            self._set_outcome(Outcome.READ, events, state=state, kept_tokens=_cached_tokens(raw))
            return
        error = raw.get("error") if isinstance(raw.get("error"), dict) else {}
        if error and STATE_MISSING in (error.get("code"), error.get("type")):
            self._set_outcome(Outcome.FULL, events, why="the state to be fetched is gone", state_missing=True)
        elif head.status in (429, 503):
            self._set_outcome(Outcome.FULL, events, why=f"the engine is full ({head.status})")
        elif head.status in _REQUEST_ERRORS:
            reported = (
                dict(error)
                if error
                else {"message": _error_message(raw), "type": "invalid_request_error", "param": None, "code": None}
            )
            self._set_outcome(Outcome.SERVED, events, rejection=(head.status, reported))
        else:
            self._set_outcome(Outcome.ERROR, events, why=f"the engine answered {head.status}: {_error_message(raw)}")


def _is_object(value: object) -> bool:
    return type(value) is dict


def _error_message(raw: dict[str, Any]) -> str:
    error = raw.get("error")
    text = error.get("message") if isinstance(error, dict) else error or raw.get("message")
    return str(text)[:300] if text else "no message"


def _cached_tokens(raw: dict[str, Any]) -> int:
    usage = raw.get("usage")
    details = usage.get("prompt_tokens_details") if isinstance(usage, dict) else None
    cached = details.get("cached_tokens") if isinstance(details, dict) else 0
    return cached if isinstance(cached, int) and cached >= 0 else 0
