"""Settings of the discovery service: a Jsonnet file, checked like the node's."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import Meta

from stonetrack.settings import SettingsError, decode, evaluate
from stonetrack.settings.check import Problem
from stonetrack.settings.schema import Limits, Listen, Strict, Timing


class DiscoverySettings(Strict, frozen=True, kw_only=True):
    """All settings of one discovery service."""

    listen: Listen = Listen(port=7000)
    state_dir: str  # version and list are stored here for a restart
    file: str = ""  # a watched file with the engines; empty: lists are put
    poll_ms: Annotated[int, Meta(ge=10, le=600_000)] = 200
    may_put: bool = False  # accept PUT and PATCH: whoever reaches the port then decides where prompts go
    lists_per_second: Annotated[float, Meta(gt=0.0, le=1e6)] = 50.0  # highest rate of full lists sent
    waiting: Annotated[float, Meta(ge=1.0, le=1e6)] = 100.0  # longest queue, in full lists; beyond it, 503
    versions: Annotated[int, Meta(ge=1, le=1_000_000)] = 1_000  # whose changes are remembered
    longest_wait_ms: Annotated[int, Meta(ge=0, le=600_000)] = 60_000
    limits: Limits = Limits(body_bytes=64 << 20, socket_send_bytes=0)
    timing: Timing = Timing(drain_ms=3_000)
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


def load_discovery_settings(path: Path, variables: dict[str, str] | None = None) -> DiscoverySettings:
    """Evaluate and check a file.  Raises SettingsError naming path, value and what is allowed."""
    settings = decode(evaluate(path, variables), DiscoverySettings, str(path))
    if bool(settings.file) == settings.may_put:
        raise SettingsError([Problem("$.file", settings.file, "either a file, or may_put: true")], str(path))
    return settings
