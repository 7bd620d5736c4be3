"""The chat API: ``POST /v1/chat/completions`` and ``GET /v1/models``, by the public specification.

Known fields are checked for type and range, and an error names the field; unknown fields are passed to the engine
unchanged.  ``kv_transfer_params`` is reserved for the node and rejected.
"""

from __future__ import annotations

import os
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from stonetrack.frontend.admission import Admission
from stonetrack.frontend.answers import ChunkEncoder, CompletionBuilder
from stonetrack.frontend.connection import Connection, HttpRequest
from stonetrack.frontend.errors import ApiError
from stonetrack.frontend.host import plain_response
from stonetrack.frontend.sinks import BufferedSink, EventSink, HttpSink
from stonetrack.node import ports
from stonetrack.node.request_runner import Waker
from stonetrack.wire import json_limits

RESERVED_FIELD = "kv_transfer_params"
_encode = msgspec.json.Encoder().encode


class Message(msgspec.Struct):
    """One message; the parts of its content are validated by the engine."""

    role: Annotated[str, Meta(pattern="^(developer|system|user|assistant|tool|function)$")]
    content: str | list[dict[str, Any]] | None = None
    tool_calls: list[dict[str, Any]] | None = None


class StreamOptions(msgspec.Struct):
    """Options of a stream."""

    include_usage: bool | None = None


class ChatRequest(msgspec.Struct):
    """The fields that are checked; null is treated as absent."""

    model: str
    messages: Annotated[list[Message], Meta(min_length=1, max_length=10_000)]
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    max_tokens: Annotated[int, Meta(ge=1, le=10_000_000)] | None = None
    max_completion_tokens: Annotated[int, Meta(ge=1, le=10_000_000)] | None = None
    temperature: Annotated[float, Meta(ge=0.0, le=2.0)] | None = None
    top_p: Annotated[float, Meta(ge=0.0, le=1.0)] | None = None
    n: Annotated[int, Meta(ge=1, le=128)] | None = None
    stop: str | Annotated[list[str], Meta(max_length=16)] | None = None
    presence_penalty: Annotated[float, Meta(ge=-2.0, le=2.0)] | None = None
    frequency_penalty: Annotated[float, Meta(ge=-2.0, le=2.0)] | None = None
    logprobs: bool | None = None
    top_logprobs: Annotated[int, Meta(ge=0, le=20)] | None = None
    seed: int | None = None
    user: Annotated[str, Meta(max_length=4_096)] | None = None
    prompt_cache_key: Annotated[str, Meta(max_length=4_096)] | None = None
    tools: Annotated[list[dict[str, Any]], Meta(max_length=1_024)] | None = None
    response_format: dict[str, Any] | None = None
    logit_bias: dict[str, float] | None = None
    parallel_tool_calls: bool | None = None


def decode_body(body: bytes, depth: int, values: int) -> dict[str, Any]:
    """Decode the body as a JSON object.  Raises ApiError."""
    try:
        raw = json_limits.decode(body, depth, values)
    except json_limits.TooComplex as error:
        raise ApiError(400, str(error), code="too_complex") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ApiError(400, f"the body is no JSON: {error}", code="invalid_json") from None
    if not isinstance(raw, dict):
        raise ApiError(400, "the body must be a JSON object", code="invalid_json")
    return raw


def parse(raw: dict[str, Any]) -> ChatRequest:
    """Check the known fields.  Raises ApiError naming the field."""
    if RESERVED_FIELD in raw:
        raise ApiError(
            400,
            f"{RESERVED_FIELD} is set by the service and can't be given",
            param=RESERVED_FIELD,
            code="reserved_field",
        )
    try:
        return msgspec.convert(raw, ChatRequest)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        param = path.rstrip("`").lstrip(".") or _missing_field(message)
        raise ApiError(400, f"{param or 'body'}: {message}", param=param or None, code="invalid_value") from None


def _missing_field(message: str) -> str:
    return message.rpartition("field `")[2].rstrip("`") if "missing required field" in message else ""


def new_request_id(prefix: str) -> str:
    """Return a random request id."""
    return prefix + os.urandom(12).hex()


class ChatStreamSink(EventSink):
    """Streams a chat completion."""

    encoder: ChunkEncoder

    def send_part(self, part: ports.Choices) -> None:
        """Implement ``ports.Sink``."""
        if data := self.encoder.encode(part):
            self.send_events(data)

    def complete(self) -> None:
        """Implement ``HttpSink``."""
        self.usage = self.encoder.usage
        self.send_events(self.encoder.usage_chunk(), b"[DONE]", last=True)


class ChatBufferedSink(BufferedSink):
    """Sends a chat completion as one response."""

    builder: CompletionBuilder

    def send_part(self, part: ports.Choices) -> None:
        """Implement ``ports.Sink``."""
        self.builder.add(part)
        if self.builder.size > self.max_bytes:
            raise ports.ClientDisconnected(f"an answer over {self.max_bytes} bytes")

    def complete(self) -> None:
        """Implement ``HttpSink``."""
        self.usage = self.builder.usage
        self.respond(200, _encode(self.builder.completion()))


class ChatFrontend:
    """The frontend of the chat API."""

    name = "chat"

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self.service = admission.service

    def completions(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        """Serve ``POST /v1/chat/completions``.  Raises ApiError."""
        arrived, limits = request.arrived, self.service.settings.limits
        tenant = self.admission.tenant(request.head.headers)
        raw = decode_body(request.body, limits.json_depth, limits.json_values)
        parsed = parse(raw)
        raw["model"] = self.admission.engine_model(parsed.model)
        request_id = new_request_id("chatcmpl-")
        inference_request = self.admission.inference_request(
            request_id, request, tenant, parsed, raw, not parsed.stream
        )
        headers, error_flags = self.admission.headers(request_id), self.admission.error_flags(inference_request)
        created = self.service.clock() // 1_000_000_000
        sink: HttpSink
        if parsed.stream:
            include_usage = bool(parsed.stream_options and parsed.stream_options.include_usage)
            stream = ChatStreamSink(connection, request, headers, *error_flags)
            stream.encoder = ChunkEncoder(request_id, parsed.model, created, include_usage)
            sink = stream
        else:
            buffered = ChatBufferedSink(connection, request, headers, *error_flags)
            buffered.builder = CompletionBuilder(request_id, parsed.model, created)
            sink = buffered
        return self.admission.serve(self.name, inference_request, sink, waker, arrived)

    def models(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        """Serve ``GET /v1/models`` and ``GET /v1/models/NAME``.  Raises ApiError."""
        self.admission.tenant(request.head.headers)
        listed = [
            {"id": m.name, "object": "model", "created": m.created, "owned_by": m.owned_by}
            for m in self.service.settings.models
        ]
        name = request.head.path.removeprefix("/v1/models").strip("/")
        if name:
            self.admission.engine_model(name)
            body: dict[str, Any] = next(m for m in listed if m["id"] == name)
        else:
            body = {"object": "list", "data": listed}
        connection.write(
            plain_response(200, _encode(body), keep=request.head.keep_alive, head_only=request.head.method == "HEAD")
        )
        return request.head.keep_alive
