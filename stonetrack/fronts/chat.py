"""The chat API: ``POST /v1/chat/completions`` and ``GET /v1/models``, by the public specification.

Known fields are checked for type and range, and an error names the field; fields not known pass through to the
engine as they are.  ``kv_transfer_params`` is the node's own and refused.
"""

from __future__ import annotations

import os
import time
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from stonetrack.api import Effect
from stonetrack.fronts import auth, classify, jsonguard
from stonetrack.fronts.answers import Chunks, Whole
from stonetrack.fronts.errors import ApiError
from stonetrack.fronts.host import Connection, Request, plain
from stonetrack.fronts.service import Record, Service
from stonetrack.fronts.sinks import EventSink, HttpSink, WholeSink
from stonetrack.node import ports
from stonetrack.node.drive import Waker
from stonetrack.settings.schema import Node
from stonetrack.wire.http1 import Headers

RESERVED = "kv_transfer_params"
_encode = msgspec.json.Encoder().encode


class Message(msgspec.Struct):
    """One message; what its content holds is the engine's affair."""

    role: Annotated[str, Meta(pattern="^(developer|system|user|assistant|tool|function)$")]
    content: str | list[dict[str, Any]] | None = None
    tool_calls: list[dict[str, Any]] | None = None


class StreamOptions(msgspec.Struct):
    """Options of a stream."""

    include_usage: bool | None = None


class ChatRequest(msgspec.Struct):
    """The fields that are checked; null counts as absent."""

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


def decode(body: bytes, depth: int, values: int) -> dict[str, Any]:
    """The body as an object.  Raises ApiError."""
    try:
        jsonguard.check(body, depth, values)
        raw = msgspec.json.decode(body)
    except jsonguard.TooComplex as error:
        raise ApiError(400, str(error), code="too_complex") from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ApiError(400, f"the body is no JSON: {error}", code="invalid_json") from None
    if not isinstance(raw, dict):
        raise ApiError(400, "the body must be a JSON object", code="invalid_json")
    return raw


def parse(raw: dict[str, Any]) -> ChatRequest:
    """The checked fields.  Raises ApiError naming the field."""
    if RESERVED in raw:
        raise ApiError(
            400, f"{RESERVED} is set by the service and can't be given", param=RESERVED, code="reserved_field"
        )
    try:
        return msgspec.convert(raw, ChatRequest)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        param = path.rstrip("`").lstrip(".") or _missing(message)
        raise ApiError(400, f"{param or 'body'}: {message}", param=param or None, code="invalid_value") from None


def _missing(message: str) -> str:
    return message.rpartition("field `")[2].rstrip("`") if "missing required field" in message else ""


def new_id(prefix: str) -> str:
    """A fresh request id."""
    return prefix + os.urandom(12).hex()


class ChatStream(EventSink):
    """A streamed completion."""

    chunks: Chunks

    def piece(self, piece: ports.Piece) -> None:
        """See ``ports.Sink``."""
        if data := self.chunks.chunk(piece):
            self.event(data)

    def complete(self) -> None:
        """See ``HttpSink``."""
        self.usage = self.chunks.usage
        self.event(self.chunks.last(), b"[DONE]", last=True)


class ChatWhole(WholeSink):
    """A completion sent whole."""

    whole: Whole

    def piece(self, piece: ports.Piece) -> None:
        """See ``ports.Sink``."""
        self.whole.add(piece)
        if self.whole.size > self.most:
            raise ports.ClientLost(f"an answer over {self.most} bytes")

    def complete(self) -> None:
        """See ``HttpSink``."""
        self.usage = self.whole.usage
        self.respond(200, _encode(self.whole.completion()))


class Admission:
    """What every front does with a request before the node has it: key, model, class, time left."""

    def __init__(self, service: Service, estimator: classify.Estimator | None = None) -> None:
        self.service = service
        self.estimator = estimator or classify.ByteEstimator()
        self._keyed: tuple[Node, bytes] = (service.settings, classify.hash_key(service.settings))

    def tenant(self, headers: Headers) -> int:
        """The key's tenant.  Raises ApiError."""
        settings = self.service.settings
        key = auth.bearer(headers.get("authorization"))
        tenant = auth.tenant_of(key, settings.tenants, settings.any_key)
        if tenant is None:
            said = "is not known" if key else "is missing: Authorization: Bearer KEY is needed"
            raise ApiError(
                401,
                f"the API key {said}",
                "authentication_error",
                code="invalid_api_key",
                headers=(("WWW-Authenticate", "Bearer"),),
            )
        return tenant

    def engine_model(self, name: str) -> str:
        """What the engines call a model.  Raises ApiError."""
        for model in self.service.settings.models:
            if model.name == name:
                return model.engine_name or model.name
        raise ApiError(404, f"the model {name[:100]!r} does not exist", param="model", code="model_not_found")

    def ask(
        self, request_id: str, request: Request, tenant: int, parsed: ChatRequest, body: dict[str, Any], whole: bool
    ) -> ports.Ask:
        """The node's view of a chat; ``body`` is what the engines are sent.  Raises ApiError."""
        settings, headers = self.service.settings, request.head.headers
        of, hash_key = self._keyed
        if of is not settings:
            hash_key = classify.hash_key(settings)
            self._keyed = settings, hash_key
        shape = classify.shape(body["messages"], body.get("tools"), parsed.model, self.estimator, hash_key)
        class_index = classify.class_of(settings, parsed.model, headers, shape.prompt_tokens)
        try:
            left = classify.time_left(settings, class_index, headers, time.monotonic_ns() - request.arrived)
        except classify.BadTimeLeft as error:
            raise ApiError(400, str(error), param=classify.TIME_HEADER, code="invalid_value") from None
        names = (parsed.prompt_cache_key, headers.get(classify.SESSION_HEADER), parsed.user)
        key = headers.get(classify.KEY_HEADER)
        if len(key) > 255:
            raise ApiError(
                400, "header idempotency-key: at most 255 characters", param=classify.KEY_HEADER, code="invalid_value"
            )
        retried = headers.get("x-stainless-retry-count")
        return ports.Ask(
            request_id,
            class_index,
            classify.session_of(names, tenant, hash_key),
            left,
            max(shape.prompt_tokens, 1),
            body,
            shape.shared_beginning,
            shape.shared_tokens,
            parsed.max_completion_tokens or parsed.max_tokens or 0,
            tenant,
            key,
            whole=whole,
            repeated=retried.isdecimal() and retried != "0",
        )

    def run(self, front: str, ask: ports.Ask, sink: HttpSink, waker: Waker, arrived: int) -> bool:
        """Serve and record; whether the connection may be kept."""
        life = self.service.serve(ask, sink, waker)  # type: ignore[arg-type]
        now = time.monotonic_ns()
        self.service.record(
            Record(
                front,
                ask.request,
                ask.class_index,
                ask.tenant,
                sink.status,
                "gone" if life.gone else sink.ended,
                now - arrived,
                sink.first - arrived if sink.first >= 0 else -1,
                life.number + 1,
                sink.usage,
            )
        )
        return sink.keep and not life.gone

    def flags(self, ask: ports.Ask) -> tuple[bool, bool]:
        """For errors: whether the tenant has a share, and whether a repeat after a failure does no harm."""
        settings = self.service.settings
        limited = bool(settings.tenants and settings.tenants[ask.tenant].quota_per_second)
        return limited, settings.classes[ask.class_index].effect is Effect.SAFE

    def headers(self, request_id: str) -> tuple[tuple[str, str], ...]:
        """The headers of every answer."""
        return (("X-Request-Id", request_id), ("X-Stonetrack-Instance", self.service.name))


class Chat:
    """The chat front."""

    name = "chat"

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self.service = admission.service

    def completions(self, connection: Connection, request: Request, waker: Waker) -> bool:
        """``POST /v1/chat/completions``.  Raises ApiError."""
        arrived, limits = request.arrived, self.service.settings.limits
        tenant = self.admission.tenant(request.head.headers)
        raw = decode(request.body, limits.json_depth, limits.json_values)
        parsed = parse(raw)
        raw["model"] = self.admission.engine_model(parsed.model)
        request_id = new_id("chatcmpl-")
        ask = self.admission.ask(request_id, request, tenant, parsed, raw, not parsed.stream)
        headers, flags = self.admission.headers(request_id), self.admission.flags(ask)
        created = self.service.clock() // 1_000_000_000
        sink: HttpSink
        if parsed.stream:
            usage = bool(parsed.stream_options and parsed.stream_options.include_usage)
            stream = ChatStream(connection, request, headers, *flags)
            stream.chunks = Chunks(request_id, parsed.model, created, usage)
            sink = stream
        else:
            whole = ChatWhole(connection, request, headers, *flags)
            whole.whole = Whole(request_id, parsed.model, created)
            sink = whole
        return self.admission.run(self.name, ask, sink, waker, arrived)

    def models(self, connection: Connection, request: Request, waker: Waker) -> bool:
        """``GET /v1/models`` and ``GET /v1/models/NAME``.  Raises ApiError."""
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
            plain(200, _encode(body), keep=request.head.keep_alive, head_only=request.head.method == "HEAD")
        )
        return request.head.keep_alive
