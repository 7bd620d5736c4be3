"""A steward's settings: a Jsonnet file, checked like the node's."""

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
    """Where the lease and the journals are: a folder on one machine, or etcd's endpoints (``host:port``)."""

    folder: str = ""
    etcd: tuple[str, ...] = ()
    timeout_s: Seconds = 1.0


class ControllerSettings(Strict, frozen=True, kw_only=True):
    """All settings of one steward; those of one fleet differ in name, rank and listen alone."""

    name: Annotated[str, Meta(min_length=1, max_length=60, pattern=r"^[A-Za-z0-9._-]+$")]
    fleet: Annotated[str, Meta(min_length=1, max_length=60, pattern=r"^[A-Za-z0-9._-]+$")] = "fleet"
    register: StoreSettings
    rank: Annotated[int, Meta(ge=0, le=100)] = 0  # beats that it leaves the others, when the lease is free
    lease_s: Seconds = 10.0
    drift: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.05  # by which two clocks' rates may differ
    margin_ms: Annotated[int, Meta(ge=0, le=60_000)] = 100
    lists: str = ""  # the list service's URL
    nodes: tuple[str, ...] = ()  # nodes whose /metrics tell the fleet's service, ``host:port``
    call_s: Seconds = 2.0  # time without a byte that a receiver may take
    maintenance: MaintenanceSettings = MaintenanceSettings()
    publish: str = ""  # folder of lists to publish, NUMBER.json; empty: none
    retention: RetentionSettings = RetentionSettings()
    checks: HealthCheckSettings = HealthCheckSettings()
    control: str = ""  # the control service's URL, for roll-outs
    rollout: RolloutSettings = RolloutSettings()
    listen: Listen = Listen(port=0)  # /health and /metrics
    limits: Limits = Limits(workers=16, connections=200)
    timing: Timing = Timing(drain_ms=1_000)
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


def load_controller_settings(path: Path, variables: dict[str, str] | None = None) -> ControllerSettings:
    """Evaluate and check a file.  Raises SettingsError naming path, value and what is allowed."""
    made = decode(evaluate(path, variables), ControllerSettings, str(path))
    wrong = []
    if bool(made.register.folder) == bool(made.register.etcd):
        wrong.append(Problem("$.register", "folder and etcd", "either a folder, or etcd's endpoints"))
    for n, endpoint in enumerate(made.register.etcd):
        host, _, port = endpoint.rpartition(":")
        if not host or not port.isdigit():
            wrong.append(Problem(f"$.register.etcd[{n}]", endpoint, "host:port"))
    if (made.maintenance.engines or made.publish or made.checks.every_s) and not made.lists:
        wrong.append(Problem("$.lists", made.lists, "the list service's URL, for maintenance, publishing, checks"))
    if made.rollout.folder and not made.control:
        wrong.append(Problem("$.control", made.control, "the control service's URL, for roll-outs"))
    if list(made.rollout.stages) != sorted(made.rollout.stages):
        wrong.append(Problem("$.rollout.stages", made.rollout.stages, "shares that grow"))
    own = made.lease_s * (1.0 - made.drift) - made.margin_ms / 1_000.0
    if own <= 0.3 * made.lease_s:
        wrong.append(Problem("$.margin_ms", made.margin_ms, "less than half of the lease, drift included"))
    if wrong:
        raise SettingsError(wrong, str(path))
    return made
