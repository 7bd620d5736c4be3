"""What every front does before the node has a request (key, model, class, session, time left), and its record."""

from __future__ import annotations

import time
from typing import Any, Protocol

from stonetrack.api import Effect
from stonetrack.frontend import auth, classify
from stonetrack.frontend.connection import HttpRequest
from stonetrack.frontend.errors import ApiError
from stonetrack.frontend.instance_service import InstanceService, RequestRecord
from stonetrack.frontend.sinks import HttpSink
from stonetrack.node import ports
from stonetrack.node.request_runner import Waker
from stonetrack.settings.schema import Node
from stonetrack.wire.http1 import Headers


class ParsedRequest(Protocol):
    """What is needed of a front's parsed request."""

    @property
    def model(self) -> str:
        """The model's name as the client gave it."""

    @property
    def prompt_cache_key(self) -> str | None:
        """The client's own name of its session."""

    @property
    def user(self) -> str | None:
        """The client's name of its user."""

    @property
    def max_tokens(self) -> int | None:
        """Tokens of an answer at most."""

    @property
    def max_completion_tokens(self) -> int | None:
        """The same by its newer name, which goes first."""


class Admission:
    """What every front does with a request before the node has it: key, model, class, time left."""

    def __init__(self, service: InstanceService, estimator: classify.Estimator | None = None) -> None:
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
        self,
        request_id: str,
        request: HttpRequest,
        tenant: int,
        parsed: ParsedRequest,
        body: dict[str, Any],
        whole: bool,
    ) -> ports.InferenceRequest:
        """The node's view of a chat; ``body`` is what the engines are sent.  Raises ApiError."""
        settings, headers = self.service.settings, request.head.headers
        of, hash_key = self._keyed
        if of is not settings:
            hash_key = classify.hash_key(settings)
            self._keyed = settings, hash_key
        shape = classify.describe_prompt(body["messages"], body.get("tools"), parsed.model, self.estimator, hash_key)
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
        return ports.InferenceRequest(
            request_id,
            class_index,
            classify.session_of(names, tenant, hash_key),
            left,
            max(shape.prompt_tokens, 1),
            body,
            shape.shared_prefix,
            shape.shared_tokens,
            parsed.max_completion_tokens or parsed.max_tokens or 0,
            tenant,
            key,
            buffered=whole,
            repeated=retried.isdecimal() and retried != "0",
            settings=settings,
        )

    def run(self, front: str, ask: ports.InferenceRequest, sink: HttpSink, waker: Waker, arrived: int) -> bool:
        """Serve and record; whether the connection may be kept."""
        life = self.service.serve(ask, sink, waker)  # type: ignore[arg-type]
        now = time.monotonic_ns()
        under: Node = ask.settings or self.service.settings
        self.service.record(
            RequestRecord(
                front,
                ask.request_id,
                under.classes[ask.class_index].name,
                under.tenants[ask.tenant].name if under.tenants else "",
                sink.status,
                "gone" if life.client_gone else sink.ended,
                now - arrived,
                sink.first - arrived if sink.first >= 0 else -1,
                life.attempt_number + 1,
                sink.usage,
            )
        )
        return sink.keep and not life.client_gone

    def flags(self, ask: ports.InferenceRequest) -> tuple[bool, bool]:
        """For errors: whether the tenant has a share, and whether a repeat after a failure does no harm."""
        settings: Node = ask.settings or self.service.settings  # classes may have gone meanwhile
        limited = bool(settings.tenants and settings.tenants[ask.tenant].quota_per_second)
        return limited, settings.classes[ask.class_index].effect is Effect.SAFE

    def headers(self, request_id: str) -> tuple[tuple[str, str], ...]:
        """The headers of every answer."""
        return (("X-Request-Id", request_id), ("X-Stonetrack-Instance", self.service.name))
