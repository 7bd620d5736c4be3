"""Admission of a request, shared by all frontends: API key, model, class, session, time left, and its record."""

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
    """The fields of a frontend's parsed request that admission reads."""

    @property
    def model(self) -> str:
        """The model's name as sent by the client."""

    @property
    def prompt_cache_key(self) -> str | None:
        """The client's key for prompts with a shared prefix; it identifies the session."""

    @property
    def user(self) -> str | None:
        """The client's identifier of its user."""

    @property
    def max_tokens(self) -> int | None:
        """Most tokens of an answer (deprecated name)."""

    @property
    def max_completion_tokens(self) -> int | None:
        """Most tokens of an answer; takes precedence over ``max_tokens``."""


class Admission:
    """Authenticates and classifies a request, passes it to the instance and records its outcome."""

    def __init__(self, service: InstanceService, estimator: classify.TokenEstimator | None = None) -> None:
        self.service = service
        self.estimator = estimator or classify.ByteEstimator()
        self._hash_key_cache: tuple[Node, bytes] = (service.settings, classify.hash_key(service.settings))

    def tenant(self, headers: Headers) -> int:
        """Return the index of the API key's tenant.  Raises ApiError."""
        settings = self.service.settings
        key = auth.bearer(headers.get("authorization"))
        tenant = auth.tenant_of(key, settings.tenants, settings.any_key)
        if tenant is None:
            problem = "is not known" if key else "is missing: Authorization: Bearer KEY is needed"
            raise ApiError(
                401,
                f"the API key {problem}",
                "authentication_error",
                code="invalid_api_key",
                headers=(("WWW-Authenticate", "Bearer"),),
            )
        return tenant

    def engine_model(self, name: str) -> str:
        """Return the engines' name of a model.  Raises ApiError."""
        for model in self.service.settings.models:
            if model.name == name:
                return model.engine_name or model.name
        raise ApiError(404, f"the model {name[:100]!r} does not exist", param="model", code="model_not_found")

    def inference_request(
        self,
        request_id: str,
        request: HttpRequest,
        tenant: int,
        parsed: ParsedRequest,
        body: dict[str, Any],
        buffered: bool,
    ) -> ports.InferenceRequest:
        """Build the node's form of a chat; ``body`` is sent to the engines.  Raises ApiError."""
        settings, headers = self.service.settings, request.head.headers
        key_settings, hash_key = self._hash_key_cache
        if key_settings is not settings:
            hash_key = classify.hash_key(settings)
            self._hash_key_cache = settings, hash_key
        prompt = classify.describe_prompt(body["messages"], body.get("tools"), parsed.model, self.estimator, hash_key)
        class_index = classify.class_of(settings, parsed.model, headers, prompt.prompt_tokens)
        try:
            time_left = classify.time_left(settings, class_index, headers, time.monotonic_ns() - request.arrived)
        except classify.BadTimeLeft as error:
            raise ApiError(400, str(error), param=classify.TIME_HEADER, code="invalid_value") from None
        session_names = (parsed.prompt_cache_key, headers.get(classify.SESSION_HEADER), parsed.user)
        idempotency_key = headers.get(classify.KEY_HEADER)
        if len(idempotency_key) > 255:
            raise ApiError(
                400, "header idempotency-key: at most 255 characters", param=classify.KEY_HEADER, code="invalid_value"
            )
        retry_count = headers.get("x-stainless-retry-count")
        return ports.InferenceRequest(
            request_id,
            class_index,
            classify.session_of(session_names, tenant, hash_key),
            time_left,
            max(prompt.prompt_tokens, 1),
            body,
            prompt.shared_prefix,
            prompt.shared_tokens,
            parsed.max_completion_tokens or parsed.max_tokens or 0,
            tenant,
            idempotency_key,
            buffered=buffered,
            repeated=retry_count.isdecimal() and retry_count != "0",
            settings=settings,
        )

    def serve(self, frontend: str, request: ports.InferenceRequest, sink: HttpSink, waker: Waker, arrived: int) -> bool:
        """Serve and record a request; return whether the connection may be kept."""
        lifecycle = self.service.serve(request, sink, waker)  # type: ignore[arg-type]
        now = time.monotonic_ns()
        settings: Node = request.settings or self.service.settings
        self.service.record(
            RequestRecord(
                frontend,
                request.request_id,
                settings.classes[request.class_index].name,
                settings.tenants[request.tenant].name if settings.tenants else "",
                sink.status,
                "gone" if lifecycle.client_gone else sink.outcome,
                now - arrived,
                sink.started_at - arrived if sink.started_at >= 0 else -1,
                lifecycle.attempt_number + 1,
                sink.usage,
            )
        )
        return sink.keep_alive and not lifecycle.client_gone

    def error_flags(self, request: ports.InferenceRequest) -> tuple[bool, bool]:
        """Return, for errors, whether the tenant has a quota and whether the request is idempotent."""
        # The settings in force may lack the request's class by now.
        settings: Node = request.settings or self.service.settings
        has_quota = bool(settings.tenants and settings.tenants[request.tenant].quota_per_second)
        return has_quota, settings.classes[request.class_index].effect is Effect.SAFE

    def headers(self, request_id: str) -> tuple[tuple[str, str], ...]:
        """Return the headers of every response."""
        return (("X-Request-Id", request_id), ("X-Stonetrack-Instance", self.service.name))
