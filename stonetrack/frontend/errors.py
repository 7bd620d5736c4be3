"""Errors as the public chat API gives them: ``{"error": {"message", "type", "param", "code"}}`` and a status."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from stonetrack.node import ports

SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class ApiError(Exception):
    """An error for the client; ``headers`` go with its status."""

    status: int
    message: str
    kind: str = "invalid_request_error"
    param: str | None = None
    code: str | None = None
    headers: tuple[tuple[str, str], ...] = field(default=())

    def body(self) -> dict[str, Any]:
        """The error object."""
        return {"error": {"message": self.message, "type": self.kind, "param": self.param, "code": self.code}}

    def __str__(self) -> str:
        return self.message


def retry_after(nanoseconds: int) -> tuple[tuple[str, str], ...]:
    """The advice as whole seconds (RFC 9110, 10.2.3) and in the milliseconds that public clients read first."""
    wait = max(nanoseconds, 0) or SECOND
    return (("Retry-After", str(max(1, -(-wait // SECOND)))), ("Retry-After-Ms", str(max(1, wait // 1_000_000))))


def of_final(final: ports.Final, limited: bool, repeatable: bool) -> ApiError | None:
    """The error of a final answer, None where it was served.

    ``limited`` says that the tenant has a share that may be used up (429 instead of 503); ``repeatable`` that a
    repeat of a failed request does no harm, else clients are told not to.
    """
    never = () if repeatable else (("X-Should-Retry", "false"),)
    match final:
        case ports.Refused(after):
            if limited:
                return ApiError(
                    429,
                    "too many requests for this key right now; try again later",
                    "rate_limit_error",
                    code="rate_limit_exceeded",
                    headers=retry_after(after),
                )
            return ApiError(
                503,
                "the service is overloaded; try again later",
                "server_error",
                code="overloaded",
                headers=retry_after(after),
            )
        case ports.Failed(why, late):
            if late:
                return ApiError(504, f"no answer in time: {why}", "server_error", code="timeout", headers=never)
            return ApiError(502, f"the request failed: {why}", "server_error", code="engine_failed", headers=never)
        case ports.Broken(why, late):
            if late:
                return ApiError(504, f"the answer broke off: {why}", "server_error", code="timeout", headers=never)
            return ApiError(502, f"the answer broke off: {why}", "server_error", code="stream_broken", headers=never)
        case ports.Rejected(status, error):
            return ApiError(
                status,
                str(error.get("message", "the engine refused the request")),
                str(error.get("type") or "invalid_request_error"),
                _text(error.get("param")),
                _text(error.get("code")),
            )
    return None


def _text(value: object) -> str | None:
    return None if value is None else str(value)
