"""Routes paths to frontends, and serves health, metrics, the audit log and error responses."""

from __future__ import annotations

import msgspec

from stonetrack.frontend.admission import Admission
from stonetrack.frontend.chat import ChatFrontend
from stonetrack.frontend.connection import Connection, HttpRequest
from stonetrack.frontend.errors import ApiError
from stonetrack.frontend.host import plain_response
from stonetrack.frontend.instance_service import InstanceService
from stonetrack.frontend.kserve import PREFIX, KServeFrontend
from stonetrack.node.request_runner import Waker

_encode = msgspec.json.Encoder().encode


def rejection_response(status: int, reason: str) -> bytes:
    """Return the complete response for a rejected client; the connection closes after it."""
    error = ApiError(status, reason, "server_error" if status >= 500 else "invalid_request_error")
    headers = (("Retry-After", "1"),) if status == 503 else ()
    return plain_response(status, _encode(error.body()), headers, keep=False)


class App:
    """Routes requests to the frontends."""

    def __init__(self, service: InstanceService) -> None:
        admission = Admission(service)
        self.service = service
        self.chat = ChatFrontend(admission)
        self.kserve = KServeFrontend(admission)

    def handle(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        """Answer one request; return whether the connection may be kept.  Raises ClientDisconnected."""
        head = request.head
        try:
            return self._route(connection, request, waker)
        except ApiError as error:
            keep = head.keep_alive
            connection.write(
                plain_response(
                    error.status, _encode(error.body()), error.headers, keep=keep, head_only=head.method == "HEAD"
                )
            )
            return keep

    def _route(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        head = request.head
        path = head.path
        if path == "/v1/chat/completions":
            self._allow(head.method, "POST")
            return self.chat.completions(connection, request, waker)
        if path == PREFIX or path.startswith(PREFIX + "/"):
            return self.kserve.handle(connection, request, waker)
        if path == "/v1/models" or path.startswith("/v1/models/"):
            self._allow(head.method, "GET", "HEAD")
            return self.chat.models(connection, request, waker)
        if path in ("/health", "/metrics"):
            self._allow(head.method, "GET", "HEAD")
            return self._status_page(connection, request)
        if path == "/audit" and self.service.settings.audit.dir:
            self._allow(head.method, "GET")
            return self._audit(connection, request)
        raise ApiError(404, f"nothing is served at {path[:100]!r}", code="not_found")

    @staticmethod
    def _allow(method: str, *allowed: str) -> None:
        if method not in allowed:
            raise ApiError(
                405,
                f"method {method[:20]}: {', '.join(allowed)} is allowed here",
                code="method_not_allowed",
                headers=(("Allow", ", ".join(allowed)),),
            )

    def _audit(self, connection: Connection, request: HttpRequest) -> bool:
        query = dict(pair.partition("=")[::2] for pair in request.head.query.split("&") if pair)
        after_number = query.get("after", "-1")
        if not after_number.lstrip("-").isdigit() or not query.get("of"):
            raise ApiError(400, "of=NAME&after=NUMBER is allowed", code="bad_query")
        body, more = self.service.audit_lines(query["of"], int(after_number))
        headers = (("X-Stonetrack-More", "1"),) if more else ()
        connection.write(plain_response(200, body, headers, "application/jsonl", keep=request.head.keep_alive))
        return request.head.keep_alive

    def _status_page(self, connection: Connection, request: HttpRequest) -> bool:
        head = request.head
        if head.path == "/metrics":
            status, (body, content_type) = 200, self.service.metrics()
        else:
            healthy, health = self.service.health()
            status, body, content_type = (200 if healthy else 503), _encode(health), "application/json"
        connection.write(
            plain_response(
                status,
                body,
                (("X-Stonetrack-Instance", self.service.name),),
                content_type,
                keep=head.keep_alive,
                head_only=head.method == "HEAD",
            )
        )
        return head.keep_alive
