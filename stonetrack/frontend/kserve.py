"""KServe v2 (Open Inference Protocol) over HTTP, with the generate extension for text.

A thin second front on the same core: live, ready, metadata, ``generate`` and ``generate_stream``.  A text prompt
becomes a chat of one user message; limits, tenants, classes and rules are those of the chat front.  Its errors are
the protocol's: ``{"error": "text"}``.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from stonetrack import __version__
from stonetrack.frontend.admission import Admission
from stonetrack.frontend.chat import ChatRequest, Message, decode, new_request_id
from stonetrack.frontend.connection import Connection, HttpRequest
from stonetrack.frontend.errors import ApiError
from stonetrack.frontend.host import plain_response
from stonetrack.frontend.sinks import EventSink, HttpSink, WholeSink
from stonetrack.node import ports
from stonetrack.node.request_runner import Waker

_encode = msgspec.json.Encoder().encode
PREFIX = "/v2"


class Parameters(msgspec.Struct):
    """Parameters of the generate extension that are checked."""

    max_tokens: Annotated[int, Meta(ge=1, le=10_000_000)] | None = None
    temperature: Annotated[float, Meta(ge=0.0, le=2.0)] | None = None
    top_p: Annotated[float, Meta(ge=0.0, le=1.0)] | None = None
    stop: str | list[str] | None = None
    seed: int | None = None
    stream: bool | None = None


class Generate(msgspec.Struct):
    """A generate request."""

    text_input: str
    id: str | None = None
    parameters: Parameters | None = None


def _text(piece: ports.Choices) -> str:
    parts = []
    for choice in piece.choices:
        delta = choice.get("delta")
        content = delta.get("content") if isinstance(delta, dict) else None
        parts.append(content if isinstance(content, str) else "")
    return "".join(parts)


class _Body:
    """What the two sinks share: the protocol's form of answers and errors."""

    head: dict[str, Any]

    def answer(self, text: str) -> bytes:
        """One response."""
        return _encode({**self.head, "text_output": text})

    def error_body(self, error: ApiError) -> bytes:
        """An error."""
        return _encode({"error": error.message})


class GenerateStream(_Body, EventSink):
    """``generate_stream``: an event for each part, the connection's end or the last chunk after the last."""

    def send_part(self, piece: ports.Choices) -> None:
        """See ``ports.Sink``."""
        self.usage = piece.usage or self.usage
        if text := _text(piece):
            self.event(self.answer(text))

    def complete(self) -> None:
        """See ``HttpSink``."""
        self.event(last=True)


class GenerateWhole(_Body, WholeSink):
    """``generate``: the whole text."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.parts: list[str] = []
        self.size = 0

    def send_part(self, piece: ports.Choices) -> None:
        """See ``ports.Sink``."""
        self.usage = piece.usage or self.usage
        text = _text(piece)
        self.parts.append(text)
        self.size += len(text)
        if self.size > self.most:
            raise ports.ClientDisconnected(f"an answer over {self.most} bytes")

    def complete(self) -> None:
        """See ``HttpSink``."""
        self.respond(200, self.answer("".join(self.parts)))


class KServe:
    """The KServe v2 front."""

    name = "kserve"

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        self.service = admission.service

    def handle(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        """Anything under ``/v2``; errors in the protocol's form."""
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
        posts = len(parts) == 3 and parts[0] == "models" and parts[2] in ("generate", "generate_stream")
        allowed = ("POST",) if posts else ("GET", "HEAD")
        if method not in allowed:
            raise ApiError(
                405,
                f"method {method[:20]}: {', '.join(allowed)} is allowed here",
                headers=(("Allow", ", ".join(allowed)),),
            )
        if posts:
            return self._generate(connection, request, waker, parts[1], parts[2] == "generate_stream")
        body = self._read(parts, request)
        connection.write(plain_response(200, _encode(body), keep=request.head.keep_alive, head_only=method == "HEAD"))
        return request.head.keep_alive

    def _read(self, parts: list[str], request: HttpRequest) -> dict[str, Any]:
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
        raw = decode(request.body, limits.json_depth, limits.json_values)
        if "parameters" not in raw:  # the extension takes parameters beside the text too
            raw = {**raw, "parameters": {k: v for k, v in raw.items() if k not in ("id", "text_input")}}
        try:
            asked = msgspec.convert(raw, Generate)
        except msgspec.ValidationError as error:
            raise ApiError(400, str(error)) from None
        if asked.parameters is not None and asked.parameters.stream and not stream:
            raise ApiError(400, "parameters.stream: true is for generate_stream")
        given = raw["parameters"] if isinstance(raw["parameters"], dict) else {}
        body: dict[str, Any] = {
            k: v for k, v in given.items() if k not in ("stream", "kv_transfer_params") and v is not None
        }
        body["model"] = engine_model
        body["messages"] = [{"role": "user", "content": asked.text_input}]
        most = asked.parameters.max_tokens if asked.parameters else None
        parsed = ChatRequest(model=name, messages=[Message("user", asked.text_input)], max_tokens=most)
        request_id = new_request_id("gen-")
        ask = self.admission.ask(request_id, request, tenant, parsed, body, not stream)
        sink_type = GenerateStream if stream else GenerateWhole
        sink: GenerateStream | GenerateWhole = sink_type(
            connection, request, self.admission.headers(request_id), *self.admission.flags(ask)
        )
        sink.head = {"id": asked.id, "model_name": name, "model_version": "1"}
        if asked.id is None:
            del sink.head["id"]
        http: HttpSink = sink
        return self.admission.run(self.name, ask, http, waker, arrived)
