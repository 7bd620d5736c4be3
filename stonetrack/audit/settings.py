"""Settings of the collector: a Jsonnet file, checked like the node's."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import Meta

from stonetrack.settings import SettingsError, decode, evaluate
from stonetrack.settings.check import Problem
from stonetrack.settings.schema import Strict


class CollectorSettings(Strict, frozen=True, kw_only=True):
    """All settings of one collector."""

    store: str  # folder of its store
    nodes: tuple[str, ...]  # to collect from, HOST:PORT/NAME with NAME as in the file names of the node's audit log
    every_s: Annotated[float, Meta(gt=0.0, le=86_400.0)] = 60.0
    per_second: Annotated[float, Meta(gt=0.0, le=10_000.0)] = 10.0  # polls over all nodes, at most
    timeout_s: Annotated[float, Meta(gt=0.0, le=60.0)] = 2.0
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


def load_collector_settings(path: Path, variables: dict[str, str] | None = None) -> CollectorSettings:
    """Evaluate and check a file.  Raises SettingsError with path, value and what is allowed."""
    settings = decode(evaluate(path, variables), CollectorSettings, str(path))
    problems = []
    for n, node in enumerate(settings.nodes):
        address, slash, name = node.partition("/")
        if not slash or not name or not address.rpartition(":")[2].isdigit():
            problems.append(Problem(f"$.nodes[{n}]", node, "HOST:PORT/NAME"))
    if len(settings.nodes) / settings.per_second > settings.every_s:
        problems.append(Problem("$.per_second", settings.per_second, "so many that all nodes are asked within every_s"))
    if problems:
        raise SettingsError(problems, str(path))
    return settings
