"""What a front is given to work with, and what it tells afterwards."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

from stonetrack.node.ports import InferenceRequest, Sink
from stonetrack.node.request_lifecycle import RequestLifecycle
from stonetrack.node.request_runner import Waker
from stonetrack.settings.schema import Node


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request as it ended, for the log and the metrics; times in nanoseconds."""

    frontend: str
    request: str
    class_name: str  # of the settings that the request was read by
    tenant_name: str
    status: int
    outcome: str  # served, refused, failed, broken, rejected, gone
    duration: int
    time_to_first_token: int  # until the answer began, -1 where it did not
    attempts: int
    usage: dict[str, Any] | None


class InstanceService(Protocol):
    """The instance behind the fronts."""

    @property
    def settings(self) -> Node:
        """The settings in force."""

    @property
    def name(self) -> str:
        """The instance's name, sent in answers."""

    @property
    def draining(self) -> bool:
        """Whether the instance is about to stop."""

    def serve(self, ask: InferenceRequest, sink: Sink, waker: Waker) -> RequestLifecycle:
        """Run one request to its end."""

    def clock(self) -> int:
        """Nanoseconds of Unix time."""

    def health(self) -> tuple[bool, dict[str, Any]]:
        """Whether the instance serves, and what it knows of itself."""

    def metrics(self) -> tuple[bytes, str]:
        """The metrics page and its content type."""

    def audit_lines(self, name: str, after: int) -> tuple[bytes, bool]:
        """Lines of an account that is kept here, after a number, and whether there are more than these."""

    def record(self, record: RequestRecord) -> None:
        """Note how a request ended."""
