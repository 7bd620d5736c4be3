"""Parses a node's configuration file (``EDGE_CONFIG``), JSON as operators write it.  No I/O.

``settings`` is the content of the simulator's first message to an instance, as nested JSON.  It is flattened to the
paths of that message and parsed by ``simulator_adapter``, which also parses it for the bench: with a single parser the
two can't differ.  Unknown names are ignored in both.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from stonetrack import api, simulator_adapter
from stonetrack.engines.server_list import split_address
from stonetrack.wire import json_limits


class ConfigError(ValueError):
    """A configuration that can't be used; the text names the path, what was found and what is allowed."""


class Limits(msgspec.Struct, frozen=True):
    """Resources of the machine, shared by the processes of one node."""

    cores: Annotated[float, Meta(gt=0.0)] = 1.0
    memory_mb: Annotated[float, Meta(gt=0.0)] = 192.0
    sockets: Annotated[int, Meta(ge=64)] = 256


class _ConfigDocument(msgspec.Struct, frozen=True):
    listen: str
    discovery: str
    settings: dict[str, Any]
    name: str = "node"
    seed: str = "0"
    limits: Limits = Limits()
    known: msgspec.Raw = msgspec.Raw(b"")


@dataclass(frozen=True, slots=True)
class Config:
    """One node's configuration; addresses are (host, port)."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: Limits
    initial_list: bytes  # server list as a discovery document; empty if none was given
    settings_pairs: dict[str, str]  # the settings, flattened
    settings: api.Settings
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    engine_idle_ns: int  # nanoseconds after which an engine closes an idle connection


def parse_address(text: str, path: str) -> tuple[str, int]:
    """Parse ``host:port``; ``path`` names the field in errors.  Raises ConfigError."""
    found = split_address(text)
    if found is None:
        raise ConfigError(f"{path}: found {text[:100]!r}; allowed: host:port")
    return found


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Flatten nested JSON to the path=value pairs of the simulator's first message."""
    prefix = f"{path}." if path else ""
    if isinstance(value, dict):
        pairs: dict[str, str] = {}
        for key, each in value.items():
            pairs |= flatten(each, f"{prefix}{key}")
        return pairs
    if isinstance(value, list) and any(isinstance(each, dict) for each in value):
        pairs = {f"{prefix}count": str(len(value))}
        for n, each in enumerate(value):
            pairs |= flatten(each, f"{prefix}{n}")
        return pairs
    if isinstance(value, list):
        return {path: ",".join(_text(each) for each in value)}
    return {} if value is None else {path: _text(value)}


def _text(value: object) -> str:
    if isinstance(value, bool):
        return "1" if value else "0"
    return str(value).replace(" ", "_")


def parse(data: bytes) -> Config:
    """Parse a configuration file's bytes.  Raises ConfigError."""
    try:
        document = json_limits.decode_as(data, _ConfigDocument)
    except msgspec.DecodeError as error:
        reason, _, path = str(error).partition(" - at `")
        expected = "" if isinstance(error, msgspec.ValidationError) else "; allowed: one JSON object, whole"
        raise ConfigError(f"{path.rstrip('`') or '$'}: {reason}{expected}") from None
    try:
        seed = int(document.seed, 16)
    except ValueError:
        raise ConfigError(f"$.seed: found {document.seed[:40]!r}; allowed: hexadecimal digits") from None
    pairs = flatten(document.settings)
    try:
        settings = simulator_adapter.parse_settings(pairs)
    except ValueError as error:
        raise ConfigError(f"$.settings: {error}") from None
    _check_amounts(settings)
    return Config(
        document.name,
        parse_address(document.listen, "$.listen"),
        parse_address(document.discovery, "$.discovery"),
        seed,
        document.limits,
        bytes(document.known),
        pairs,
        settings,
        _names(document.settings, "kinds"),
        _names(document.settings, "zones"),
        int(_number(document.settings.get("bounds"), "conn_idle_ns", 15e9)),
    )


def deployment_mismatch(running: Config, other: Config) -> str:
    """Why a configuration does not belong to the running deployment; empty if it does.

    The router's tables and statistics are per class, tenant and kind of engine, so a change of these needs a restart.
    """
    compared = (
        ("request_classes", [c.name for c in running.settings.classes], [c.name for c in other.settings.classes]),
        ("tenants", [t.name for t in running.settings.tenants], [t.name for t in other.settings.tenants]),
        ("kinds", list(running.kinds), list(other.kinds)),
    )
    for key, ours, theirs in compared:
        if theirs != ours:
            return f"$.settings.{key}: found {theirs}; allowed while the node runs: {ours}"
    return ""


def _check_amounts(settings: api.Settings) -> None:
    """Raise ConfigError for an amount that has the right type but is out of range."""
    amounts = [
        ("bounds.connect_timeout_ns", settings.connect_timeout, 0),
        ("family_info.release_within_ns", settings.release_within, 0),
        ("contract.warm_within_ns", settings.warm_within, 0),
        *((f"request_classes[{n}].aim_ns", each.first_token_aim, 1) for n, each in enumerate(settings.classes)),
        *((f"request_classes[{n}].hard_limit_ns", each.deadline, 1) for n, each in enumerate(settings.classes)),
        *((f"request_classes[{n}].worth", each.worth, 0) for n, each in enumerate(settings.classes)),
        *((f"family_info.kv_tokens[{n}]", each.memory_tokens, 0) for n, each in enumerate(settings.kinds)),
    ]
    for path, found, least in amounts:
        if found < least:
            raise ConfigError(f"$.settings.{path}: found {found}; allowed: {least} or more")


def _names(settings: dict[str, Any], key: str) -> tuple[str, ...]:
    found = settings.get(key)
    return tuple(str(each) for each in found) if isinstance(found, list) else ()


def _number(found: object, key: str, default: float) -> float:
    value = found.get(key) if isinstance(found, dict) else None
    return float(value) if isinstance(value, (int, float)) and value > 0 else default
