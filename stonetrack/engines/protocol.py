"""The engines' protocol without I/O: what is sent, and how an answer becomes an outcome.

It is the public one: OpenAI-style ``POST /v1/chat/completions`` with vLLM's ``kv_transfer_params`` for disaggregated
prefill.  A reader is asked for one token with ``do_remote_decode``; what it returns as ``kv_transfer_params`` goes to
the writer as it is.  The request's id goes along in ``X-Request-Id``, the same for all its attempts.

Every ``Outcome`` and what is seen on the socket (``docs/node.md`` has the table with reasons):

=================  =================================================================================================
READ               reader: 200 with ``kv_transfer_params``
SERVED             writer or mixed: the stream's ``[DONE]``; an error that blames the request (400, 413, 422) too
FULL               429 or 503; with ``state_missing`` where the error's code is ``kv_state_missing``
ERROR              any other status; 200 that can't be read; an error event; a reader that returns no parameters
CONNECT_FAILED     the connection was refused, or not there within the time allowed
NOT_SENT           less than the whole request was taken by the socket, or none as the list told of a drain
RESET              closed or reset after the whole request was taken and before the answer was whole
TIMED_OUT          the time limit came first; within a stream, too long a silence
CANCELLED          taken back on the router's word, or since the client left
=================  =================================================================================================
"""

from __future__ import annotations

from typing import Any

import msgspec

from stonetrack.api import Outcome, Role
from stonetrack.engines import load
from stonetrack.node.ports import AnswerStarted, AttemptEvent, AttemptResult, Choices, InferenceRequest
from stonetrack.wire import http1, sse, writer
from stonetrack.wire.errors import ProtocolError

CHAT_PATH = "/v1/chat/completions"
RESERVE_PATH = "/v1/kv/hold"
RELEASE_PATH = "/v1/kv/release"
STATE_MISSING = "kv_state_missing"
_AT_FAULT = frozenset({400, 413, 422})
_ERROR_BODY = 65_536
_EXTRA = ("system_fingerprint", "service_tier")  # of an event, beside its choices, that reach the client

_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder().decode


def chat_request(
    ask: InferenceRequest,
    role: Role,
    host: str,
    number: int,
    instance: str,
    state: dict[str, Any] | None,
    place: bool,
    load_header: bool,
    acting: str = "",
) -> bytes:
    """One attempt's request: a read, or a whole answer as a stream (with a state where a reader left one)."""
    body = dict(ask.body)
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
        ("X-Request-Id", ask.request_id),
        ("X-Attempt", str(number)),
        ("X-Stonetrack-Instance", instance),
        ("Accept", "application/json" if role is Role.PREFILL else "text/event-stream"),
    ]
    if load_header:
        headers.append(("Endpoint-Load-Metrics-Format", "TEXT"))
    if ask.idempotency_key:
        headers.append(("Idempotency-Key", ask.idempotency_key))
    if acting:
        headers.append(("X-Stonetrack-Acting", acting))
    if place:
        headers.append(("X-Held-Place", ask.request_id))
    return writer.request("POST", CHAT_PATH, headers, _encode(body))


class Exchange:
    """Reads one answer; see the table above.  Feed it until it gives an ``AttemptResult``."""

    __slots__ = (
        "_body",
        "_done",
        "_error_event",
        "_head",
        "_over",
        "_reader",
        "_role",
        "_sse",
        "started",
        "limit",
        "reusable",
        "received",
    )

    def __init__(self, role: Role, limits: http1.Limits) -> None:
        self._reader = http1.MessageReader(http1.Side.RESPONSES, limits)
        self._role = role
        self._head: http1.ResponseHead | None = None
        self._sse: sse.EventStreamReader | None = None
        self._body = bytearray()
        self._over = False
        self._done = False
        self._error_event = ""
        self.limit = limits.body
        self.started = False
        self.reusable = False  # whether the connection may carry another request
        self.received = False  # whether any byte of an answer came

    def feed(self, data: bytes) -> list[AttemptEvent]:
        """What these bytes tell."""
        self.received = True
        events: list[AttemptEvent] = []
        try:
            for event in self._reader.feed(data):
                self._take(event, events)
        except ProtocolError as error:
            self._end(Outcome.ERROR, events, why=f"the engine's answer can't be read: {error}")
        return events

    def eof(self) -> list[AttemptEvent]:
        """The engine has closed."""
        events: list[AttemptEvent] = []
        try:
            for event in self._reader.eof():
                self._take(event, events)
        except ProtocolError:
            pass
        if not self._over:
            where = "within its answer" if self.received else "before any answer"
            self._end(Outcome.RESET, events, why=f"the engine closed {where}")
        return events

    def reset(self, why: str) -> list[AttemptEvent]:
        """The connection broke."""
        events: list[AttemptEvent] = []
        if not self._over:
            self._end(Outcome.RESET, events, why=why)
        return events

    @property
    def fully_read(self) -> bool:
        """Whether the answer's last byte has come, after its outcome was given."""
        return self._reader.idle

    def _end(self, outcome: Outcome, events: list[AttemptEvent], **more: Any) -> None:
        if self._over:
            return
        self._over = True
        report = load.from_header(self._head.headers.get(load.HEADER)) if self._head is not None else None
        events.append(AttemptResult(outcome, report=report, **more))

    def _take(self, event: http1.Event, events: list[AttemptEvent]) -> None:
        if isinstance(event, http1.ResponseHead):
            if event.status < 200:
                return
            if self._head is not None:
                self.reusable = False
                raise ProtocolError("a second answer where one is due")
            self._head = event
            self.reusable = event.keep_alive
            kind = event.headers.get("content-type").partition(";")[0].strip().lower()
            if event.status == 200 and self._role is not Role.PREFILL:
                if kind != "text/event-stream":
                    self._end(
                        Outcome.ERROR, events, why=f"the engine answered {kind or 'no type'}, not an event stream"
                    )
                    return
                self._sse = sse.EventStreamReader()
        elif isinstance(event, http1.Data):
            if self._sse is not None:
                for sent in self._sse.feed(event.data):
                    self._event(sent, events)
            elif len(self._body) < (self.limit if self._head and self._head.status == 200 else _ERROR_BODY):
                self._body += event.data
        elif isinstance(event, http1.End) and self._head is not None and not self._over:
            self._whole(self._head, events)

    def _event(self, sent: sse.ServerSentEvent, events: list[AttemptEvent]) -> None:
        if self._over:
            return
        if sent.data == b"[DONE]":
            if self.started:
                self._end(Outcome.SERVED, events)
            else:
                self._end(Outcome.ERROR, events, why="the engine's stream ended without an answer")
            return
        try:
            raw = _decode(sent.data)
        except (msgspec.DecodeError, RecursionError):
            raw = None
        if not isinstance(raw, dict):
            self._end(Outcome.ERROR, events, why="an event of the engine's stream is no JSON object")
            return
        choices, usage = raw.get("choices"), raw.get("usage")
        if type(choices) is list and "error" not in raw and all(map(_is_object, choices)):
            if not self.started:
                self.started = True
                events.append(AnswerStarted())
            extra = {k: raw[k] for k in _EXTRA if k in raw} if len(raw) > 5 else {}
            events.append(Choices(choices, usage if type(usage) is dict else None, extra))
        elif "error" in raw:
            self._end(Outcome.ERROR, events, why=f"the engine's stream told an error: {_message(raw)}")
        else:
            self._end(Outcome.ERROR, events, why="an event of the engine's stream has no list of choices")

    def _whole(self, head: http1.ResponseHead, events: list[AttemptEvent]) -> None:
        """The message is complete and no outcome has been given."""
        if self._sse is not None:
            self._end(Outcome.RESET, events, why="the engine's stream ended without [DONE]")
            return
        try:
            raw = _decode(bytes(self._body)) if self._body else {}
        except (msgspec.DecodeError, RecursionError):
            raw = {}
        raw = raw if isinstance(raw, dict) else {}
        if head.status == 200:
            state = raw.get("kv_transfer_params")
            if not isinstance(state, dict):
                self._end(Outcome.ERROR, events, why="the reader returned no kv_transfer_params")
                return
            self._end(Outcome.READ, events, state=state, kept_tokens=_cached(raw))
            return
        error = raw.get("error") if isinstance(raw.get("error"), dict) else {}
        if error and STATE_MISSING in (error.get("code"), error.get("type")):
            self._end(Outcome.FULL, events, why="the state to be fetched is gone", state_missing=True)
        elif head.status in (429, 503):
            self._end(Outcome.FULL, events, why=f"the engine is full ({head.status})")
        elif head.status in _AT_FAULT:
            told = (
                dict(error)
                if error
                else {"message": _message(raw), "type": "invalid_request_error", "param": None, "code": None}
            )
            self._end(Outcome.SERVED, events, rejection=(head.status, told))
        else:
            self._end(Outcome.ERROR, events, why=f"the engine answered {head.status}: {_message(raw)}")


def _is_object(value: object) -> bool:
    return type(value) is dict


def _message(raw: dict[str, Any]) -> str:
    error = raw.get("error")
    text = error.get("message") if isinstance(error, dict) else error or raw.get("message")
    return str(text)[:300] if text else "no message"


def _cached(raw: dict[str, Any]) -> int:
    usage = raw.get("usage")
    details = usage.get("prompt_tokens_details") if isinstance(usage, dict) else None
    cached = details.get("cached_tokens") if isinstance(details, dict) else 0
    return cached if isinstance(cached, int) and cached >= 0 else 0
