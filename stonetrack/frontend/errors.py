"""Errors in the form of the public chat API: a status and ``{"error": {"message", "type", "param", "code"}}``."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from stonetrack.node import ports

SECOND_NS = 1_000_000_000


@dataclass(frozen=True, slots=True)
class ApiError(Exception):
    """An error response for the client; ``headers`` are sent with it."""

    status: int
    message: str
    error_type: str = "invalid_request_error"
    param: str | None = None
    code: str | None = None
    headers: tuple[tuple[str, str], ...] = field(default=())

    def body(self) -> dict[str, Any]:
        """Return the JSON object of the error."""
        return {"error": {"message": self.message, "type": self.error_type, "param": self.param, "code": self.code}}

    def __str__(self) -> str:
        return self.message


def retry_after(nanoseconds: int) -> tuple[tuple[str, str], ...]:
    """Return the advice in whole seconds (RFC 9110, section 10.2.3) and in milliseconds, which public clients prefer.

    Without advice (0), one second is used.
    """
    wait_ns = max(nanoseconds, 0) or SECOND_NS
    return (
        ("Retry-After", str(max(1, -(-wait_ns // SECOND_NS)))),
        ("Retry-After-Ms", str(max(1, wait_ns // 1_000_000))),
    )


def error_of_final(final: ports.Final, has_quota: bool, idempotent: bool) -> ApiError | None:
    """Return the error of a final answer, None if it was served.

    ``has_quota``: the tenant has a quota that may be used up (429 instead of 503).  Unless ``idempotent``, clients are
    told not to retry a failed request.
    """
    no_retry = () if idempotent else (("X-Should-Retry", "false"),)
    match final:
        case ports.Refused(retry_after_ns):
            if has_quota:
                return ApiError(
                    429,
                    "too many requests for this key right now; try again later",
                    "rate_limit_error",
                    code="rate_limit_exceeded",
                    headers=retry_after(retry_after_ns),
                )
            return ApiError(
                503,
                "the service is overloaded; try again later",
                "server_error",
                code="overloaded",
                headers=retry_after(retry_after_ns),
            )
        case ports.Failed(why, late):
            if late:
                return ApiError(504, f"no answer in time: {why}", "server_error", code="timeout", headers=no_retry)
            return ApiError(502, f"the request failed: {why}", "server_error", code="engine_failed", headers=no_retry)
        case ports.Broken(why, late):
            if late:
                return ApiError(504, f"the answer broke off: {why}", "server_error", code="timeout", headers=no_retry)
            return ApiError(502, f"the answer broke off: {why}", "server_error", code="stream_broken", headers=no_retry)
        case ports.Rejected(status, error):
            return ApiError(
                status,
                str(error.get("message", "the engine refused the request")),
                str(error.get("type") or "invalid_request_error"),
                _optional_text(error.get("param")),
                _optional_text(error.get("code")),
            )
    return None


def _optional_text(value: object) -> str | None:
    return None if value is None else str(value)
