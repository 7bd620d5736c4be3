"""Settings of a controller: a Jsonnet file, checked like the node's."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import Meta

from stonetrack.controller.health_checks import HealthCheckSettings
from stonetrack.controller.maintenance import MaintenanceSettings
from stonetrack.controller.retention import RetentionSettings
from stonetrack.controller.rollout import RolloutSettings
from stonetrack.settings import SettingsError, decode, evaluate
from stonetrack.settings.check import Problem
from stonetrack.settings.schema import Limits, Listen, Strict, Timing

Seconds = Annotated[float, Meta(gt=0.0, le=86_400.0)]


class StoreSettings(Strict, frozen=True):
    """The store of the lease and the journals: a folder on one machine, or etcd's endpoints (``host:port``)."""

    folder: str = ""
    etcd: tuple[str, ...] = ()
    timeout_s: Seconds = 1.0


class ControllerSettings(Strict, frozen=True, kw_only=True):
    """All settings of one controller; the controllers of a fleet differ only in name, rank and listen."""

    name: Annotated[str, Meta(min_length=1, max_length=60, pattern=r"^[A-Za-z0-9._-]+$")]
    fleet: Annotated[str, Meta(min_length=1, max_length=60, pattern=r"^[A-Za-z0-9._-]+$")] = "fleet"
    register: StoreSettings
    rank: Annotated[int, Meta(ge=0, le=100)] = 0  # extra renewal intervals of waiting for a free lease
    lease_s: Seconds = 10.0
    drift: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.05  # largest difference between the rates of two clocks
    margin_ms: Annotated[int, Meta(ge=0, le=60_000)] = 100
    lists: str = ""  # URL of the discovery service
    nodes: tuple[str, ...] = ()  # nodes whose /metrics give the fleet's service, ``host:port``
    call_s: Seconds = 2.0  # longest silence of a receiver within a call
    maintenance: MaintenanceSettings = MaintenanceSettings()
    publish: str = ""  # folder of lists to publish, NUMBER.json; empty: none
    retention: RetentionSettings = RetentionSettings()
    checks: HealthCheckSettings = HealthCheckSettings()
    control: str = ""  # URL of the control service, for rollouts
    rollout: RolloutSettings = RolloutSettings()
    listen: Listen = Listen(port=0)  # /health and /metrics
    limits: Limits = Limits(workers=16, connections=200)
    timing: Timing = Timing(drain_ms=1_000)
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


def load_controller_settings(path: Path, variables: dict[str, str] | None = None) -> ControllerSettings:
    """Evaluate and check a file.  Raises SettingsError naming path, value and what is allowed."""
    settings = decode(evaluate(path, variables), ControllerSettings, str(path))
    problems = []
    if bool(settings.register.folder) == bool(settings.register.etcd):
        problems.append(Problem("$.register", "folder and etcd", "either a folder, or etcd's endpoints"))
    for n, endpoint in enumerate(settings.register.etcd):
        host, _, port = endpoint.rpartition(":")
        if not host or not port.isdigit():
            problems.append(Problem(f"$.register.etcd[{n}]", endpoint, "host:port"))
    if (settings.maintenance.engines or settings.publish or settings.checks.every_s) and not settings.lists:
        problems.append(
            Problem("$.lists", settings.lists, "the list service's URL, for maintenance, publishing, checks")
        )
    if settings.rollout.folder and not settings.control:
        problems.append(Problem("$.control", settings.control, "the control service's URL, for roll-outs"))
    if list(settings.rollout.stages) != sorted(settings.rollout.stages):
        problems.append(Problem("$.rollout.stages", settings.rollout.stages, "shares that grow"))
    leader_s = settings.lease_s * (1.0 - settings.drift) - settings.margin_ms / 1_000.0
    if leader_s <= 0.3 * settings.lease_s:
        problems.append(Problem("$.margin_ms", settings.margin_ms, "less than half of the lease, drift included"))
    if problems:
        raise SettingsError(problems, str(path))
    return settings
