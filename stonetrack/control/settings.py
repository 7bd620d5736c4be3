"""Settings of the control service: a Jsonnet file, checked like the node's."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import Meta

from stonetrack.control.stale_nodes import Rules
from stonetrack.settings import decode, evaluate
from stonetrack.settings.schema import Limits, Listen, Share, Strict, Timing

Seconds = Annotated[float, Meta(gt=0.0, le=86_400.0)]
SECOND = 1_000_000_000


class Change(Strict, frozen=True):
    """Limits for one kind of change."""

    grace_s: Seconds  # before anything is done about a node that lags
    bound_s: Seconds  # after which a stale node is fenced
    steps_out: bool = False  # whether a node stops taking requests when its lease expires without renewal


class Control(Strict, frozen=True, kw_only=True):
    """All settings of one control service."""

    listen: Listen = Listen(port=7100)
    state_dir: str  # where versions are stored
    rule: Change = Change(grace_s=3.0, bound_s=10.0)
    weight: Change = Change(grace_s=60.0, bound_s=300.0)
    permit_s: Seconds = 15.0  # duration of a node's lease on taking requests
    wait_s: Seconds = 5.0  # longest wait of a node's report; under a third of permit_s
    restart_pause_s: Seconds = 10.0
    restarts: Annotated[int, Meta(ge=0, le=10_000)] = 2
    most_out: Share = 0.2
    bad_share: Share = 0.5
    forget_s: Seconds = 3_600.0  # a node without a report for so long is no longer counted
    limits: Limits = Limits(workers=12_000, body_bytes=1 << 20, socket_send_bytes=0)
    timing: Timing = Timing(drain_ms=1_000)
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


def rules(settings: Control) -> Rules:
    """Return the limits of the decisions, times in nanoseconds."""
    kinds = {"rule": settings.rule, "weight": settings.weight}
    return Rules(
        {name: int(kind.grace_s * SECOND) for name, kind in kinds.items()},
        {name: int(kind.bound_s * SECOND) for name, kind in kinds.items()},
        silent_after=int((settings.permit_s + settings.wait_s) * SECOND),
        restart_pause=int(settings.restart_pause_s * SECOND),
        max_restarts=settings.restarts,
        max_fenced_share=settings.most_out,
        bad_version_share=settings.bad_share,
    )


def load_control(path: Path, variables: dict[str, str] | None = None) -> Control:
    """Evaluate and check a file.  Raises SettingsError with path, value and what is allowed."""
    return decode(evaluate(path, variables), Control, str(path))
