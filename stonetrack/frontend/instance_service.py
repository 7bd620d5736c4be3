"""The interface between the frontends and the instance, and the record of a finished request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from stonetrack.node.ports import InferenceRequest, Sink
from stonetrack.node.request_lifecycle import RequestLifecycle
from stonetrack.node.request_runner import Waker
from stonetrack.settings.schema import Node


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """A finished request, for the log and the metrics; times in nanoseconds."""

    frontend: str
    request_id: str
    class_name: str  # of the settings under which the request was read
    tenant_name: str
    status: int
    outcome: str  # served, refused, failed, broken, rejected, gone
    duration: int
    time_to_first_token: int  # -1 if no answer began
    attempts: int
    usage: dict[str, Any] | None


class InstanceService(Protocol):
    """The instance behind the frontends."""

    @property
    def settings(self) -> Node:
        """The settings in force."""

    @property
    def name(self) -> str:
        """The instance's name, sent in response headers."""

    @property
    def draining(self) -> bool:
        """Whether the instance is about to stop."""

    def serve(self, request: InferenceRequest, sink: Sink, waker: Waker) -> RequestLifecycle:
        """Run one request to its end.  Raises ApiError if the instance does not accept requests."""

    def clock(self) -> int:
        """Return the Unix time in nanoseconds."""

    def health(self) -> tuple[bool, dict[str, Any]]:
        """Return whether the instance serves, and its health report."""

    def metrics(self) -> tuple[bytes, str]:
        """Return the metrics page and its content type."""

    def audit_lines(self, name: str, after: int) -> tuple[bytes, bool]:
        """Return lines of an audit log stored here, after an entry number, and whether more follow."""

    def record(self, record: RequestRecord) -> None:
        """Log and count a finished request."""
