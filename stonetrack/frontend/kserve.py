"""KServe v2 (Open Inference Protocol) over HTTP, with the generate extension for text.

A second frontend on the same core: liveness, readiness, metadata, ``generate`` and ``generate_stream``.  A text
prompt becomes a chat with one user message; limits, tenants, classes and rules are those of the chat frontend.  Errors
have the protocol's form, ``{"error": "text"}``.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from stonetrack import __version__
from stonetrack.frontend.admission import Admission
from stonetrack.frontend.chat import ChatRequest, Message, decode_body, new_request_id
from stonetrack.frontend.connection import Connection, HttpRequest
from stonetrack.frontend.errors import ApiError
from stonetrack.frontend.host import plain_response
from stonetrack.frontend.sinks import BufferedSink, EventSink, HttpSink
from stonetrack.node import ports
from stonetrack.node.request_runner import Waker

_encode = msgspec.json.Encoder().encode
PREFIX = "/v2"


class Parameters(msgspec.Struct):
    """The checked parameters of the generate extension."""

    max_tokens: Annotated[int, Meta(ge=1, le=10_000_000)] | None = None
    temperature: Annotated[float, Meta(ge=0.0, le=2.0)] | None = None
    top_p: Annotated[float, Meta(ge=0.0, le=1.0)] | None = None
    stop: str | list[str] | None = None
    seed: int | None = None
    stream: bool | None = None


class GenerateRequest(msgspec.Struct):
    """A request of the generate extension."""

    text_input: str
    id: str | None = None
    parameters: Parameters | None = None


def _text_of(part: ports.Choices) -> str:
    parts = []
    for choice in part.choices:
        delta = choice.get("delta")
        content = delta.get("content") if isinstance(delta, dict) else None
        parts.append(content if isinstance(content, str) else "")
    return "".join(parts)


class _BodyFormat:
    """The protocol's form of answers and errors, shared by both sinks."""

    head: dict[str, Any]

    def response_body(self, text: str) -> bytes:
        """Encode one response."""
        return _encode({**self.head, "text_output": text})

    def error_body(self, error: ApiError) -> bytes:
        """Encode an error."""
        return _encode({"error": error.message})


class GenerateStreamSink(_BodyFormat, EventSink):
    """Sink of ``generate_stream``: one event per part; the end of the response body ends the answer."""

    def send_part(self, part: ports.Choices) -> None:
        """Implement ``ports.Sink``."""
        self.usage = part.usage or self.usage
        if text := _text_of(part):
            self.send_events(self.response_body(text))

    def complete(self) -> None:
        """Implement ``HttpSink``."""
        self.send_events(last=True)


class GenerateBufferedSink(_BodyFormat, BufferedSink):
    """Sink of ``generate``: the whole text in one response."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.parts: list[str] = []
        self.size = 0

    def send_part(self, part: ports.Choices) -> None:
        """Implement ``ports.Sink``."""
        self.usage = part.usage or self.usage
        text = _text_of(part)
        self.parts.append(text)
        self.size += len(text)
        if self.size > self.max_bytes:
            raise ports.ClientDisconnected(f"an answer over {self.max_bytes} bytes")

    def complete(self) -> None:
        """Implement ``HttpSink``."""
        self.respond(200, self.response_body("".join(self.parts)))


class KServeFrontend:
    """The frontend of KServe v2."""

    name = "kserve"

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self.service = admission.service

    def handle(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        """Answer a request under ``/v2``; errors have the protocol's form."""
        try:
            return self._route(connection, request, waker)
        except ApiError as error:
            connection.write(
                plain_response(
                    error.status,
                    _encode({"error": error.message}),
                    error.headers,
                    keep=request.head.keep_alive,
                    head_only=request.head.method == "HEAD",
                )
            )
            return request.head.keep_alive

    def _route(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        parts = request.head.path.removeprefix(PREFIX).strip("/").split("/")
        method = request.head.method
        if len(parts) >= 4 and parts[0] == "models" and parts[2] == "versions":
            if parts[3] != "1":
                raise ApiError(404, f"model {parts[1][:100]!r} has no version {parts[3][:20]!r}; it has 1")
            parts = [*parts[:2], *parts[4:]]
        generates = len(parts) == 3 and parts[0] == "models" and parts[2] in ("generate", "generate_stream")
        allowed = ("POST",) if generates else ("GET", "HEAD")
        if method not in allowed:
            raise ApiError(
                405,
                f"method {method[:20]}: {', '.join(allowed)} is allowed here",
                headers=(("Allow", ", ".join(allowed)),),
            )
        if generates:
            return self._generate(connection, request, waker, parts[1], parts[2] == "generate_stream")
        body = self._get(parts, request)
        connection.write(plain_response(200, _encode(body), keep=request.head.keep_alive, head_only=method == "HEAD"))
        return request.head.keep_alive

    def _get(self, parts: list[str], request: HttpRequest) -> dict[str, Any]:
        match parts:
            case [""]:
                return {"name": "stonetrack", "version": __version__, "extensions": ["generate"]}
            case ["health", "live"]:
                return {"live": True}
            case ["health", "ready"]:
                return {"ready": self._ready()}
            case ["models", name, "ready"]:
                self.admission.engine_model(name)
                return {"name": name, "ready": self._ready()}
            case ["models", name]:
                self.admission.tenant(request.head.headers)
                self.admission.engine_model(name)
                text = {"datatype": "BYTES", "shape": [1]}
                return {
                    "name": name,
                    "versions": ["1"],
                    "platform": "stonetrack",
                    "inputs": [{"name": "text_input", **text}],
                    "outputs": [{"name": "text_output", **text}],
                }
        raise ApiError(404, f"nothing is served at {request.head.path[:100]!r}")

    def _ready(self) -> bool:
        if not self.service.health()[0]:
            raise ApiError(503, "not ready", "server_error")
        return True

    def _generate(self, connection: Connection, request: HttpRequest, waker: Waker, name: str, stream: bool) -> bool:
        arrived, limits = request.arrived, self.service.settings.limits
        tenant = self.admission.tenant(request.head.headers)
        engine_model = self.admission.engine_model(name)
        raw = decode_body(request.body, limits.json_depth, limits.json_values)
        if "parameters" not in raw:  # the extension also allows parameters at the top level
            raw = {**raw, "parameters": {k: v for k, v in raw.items() if k not in ("id", "text_input")}}
        try:
            parsed = msgspec.convert(raw, GenerateRequest)
        except msgspec.ValidationError as error:
            raise ApiError(400, str(error)) from None
        if parsed.parameters is not None and parsed.parameters.stream and not stream:
            raise ApiError(400, "parameters.stream: true is for generate_stream")
        parameters = raw["parameters"] if isinstance(raw["parameters"], dict) else {}
        body: dict[str, Any] = {
            k: v for k, v in parameters.items() if k not in ("stream", "kv_transfer_params") and v is not None
        }
        body["model"] = engine_model
        body["messages"] = [{"role": "user", "content": parsed.text_input}]
        max_tokens = parsed.parameters.max_tokens if parsed.parameters else None
        chat_request = ChatRequest(model=name, messages=[Message("user", parsed.text_input)], max_tokens=max_tokens)
        request_id = new_request_id("gen-")
        inference_request = self.admission.inference_request(
            request_id, request, tenant, chat_request, body, not stream
        )
        sink_type = GenerateStreamSink if stream else GenerateBufferedSink
        sink: GenerateStreamSink | GenerateBufferedSink = sink_type(
            connection, request, self.admission.headers(request_id), *self.admission.error_flags(inference_request)
        )
        sink.head = {"id": parsed.id, "model_name": name, "model_version": "1"}
        if parsed.id is None:
            del sink.head["id"]
        http_sink: HttpSink = sink
        return self.admission.serve(self.name, inference_request, http_sink, waker, arrived)
