"""State of a ``Router`` as plain values and back, without changing a decision.

Every field of the router and of the classes of logic.py is kept, by its stored name; a field that logic.py gains or
loses makes :func:`take` fail, and a test with it, so no snapshot lacks a field silently.  Order of dictionaries,
integers and floats are restored exactly: the router made by :func:`restore` decides as the first would have.

Cost: proportional to the size of the tables; nothing else may use the router meanwhile.
"""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any

import msgspec

from stonetrack import api, logic
from stonetrack.capture.codec import CaptureError

FORMAT = 1
ROUTER = (
    "settings", "now", "actions", "servers", "requests", "held", "out", "pools", "by_probe", "homes", "interval",
    "arrived_at", "held_back", "credit", "latency", "prompt_work", "allowance", "flow", "subscribe_at", "timer_set",
)  # fmt: skip
TABLE = ("limit", "blocks", "entries")
OURS = ("Stat", "Pause", "Server", "Request")  # classes of logic.py
# Stored names that differ from the names in logic.py, of classes and of their attributes.  In revision 020f764 and
# earlier ones logic.py has the stored names.
CLASS_NAMES = {"Stat": "RunningStats", "Pause": "Ejection"}
ATTRIBUTE_NAMES: dict[str, dict[str, str]] = {
    "Router": {
        "held": "waiting_requests", "out": "unanswered_requests", "by_probe": "reports_by_probe",
        "homes": "prefix_replicas", "interval": "arrival_interval", "arrived_at": "last_arrival_at",
        "held_back": "class_rejected_at", "credit": "cancel_budget", "prompt_work": "prefill_work",
        "allowance": "quota_left",
    },
    "Stat": {
        "time": "mean", "spread": "deviation", "work": "mean_units", "at": "updated_at",
    },
    "Pause": {
        "span": "duration",
    },
    "PrefixTable": {
        "limit": "max_blocks",
    },
    "Server": {
        "table": "prefix_table", "streams_then": "streams_at_report", "work_then": "tokens_at_report",
        "waiting": "unanswered", "surplus": "cell_load_ratio", "work_out": "pending_tokens", "states": "held_states",
        "paused": "ejections", "late": "cancels_in_a_row", "took": "class_success_at", "good_at": "success_at",
        "answered": "success_sent_at", "pace": "unit_latency", "cold_until": "slow_start_until",
    },
    "Request": {
        "cls": "class_settings", "over_share": "over_quota", "keys": "prefix_keys", "beside": "second_key",
        "prompt": "prompt_tokens", "wanted": "latency_target", "arrived": "arrived_at", "sent": "sent_at",
        "due": "late_at", "writing": "decoding", "work": "prefill_tokens", "queue": "queued_units",
        "expected": "expected_share", "reader": "state_server", "holds": "may_hold_state",
        "stands_since": "state_held_since", "failed": "failed_servers", "eased": "slow_start_servers",
        "pair": "probed_servers", "asked_at": "probed_at", "ran_on": "first_run_server",
        "ran_at": "first_run_sent_at",
    },
}  # fmt: skip
CLASSES: dict[str, type] = {
    "Stat": logic.RunningStats, "Pause": logic.Ejection, "Server": logic.Server, "Request": logic.Request,
    "LoadReport": api.LoadReport, "RequestClass": api.RequestClass,
}  # fmt: skip
STORED_NAMES: dict[type, str] = {cls: name for name, cls in CLASSES.items()}
ENUMS: dict[str, type[Enum]] = {
    cls.__name__: cls for cls in (api.Role, api.ServerState, api.Effect, api.Scope, logic.Phase)
}
_LIMITS = frozenset({"max_prefix_entries"})  # of the process, no part of a router's state
_APART = ("settings", "actions", "pools", "by_probe")  # stored apart, or derived from the settings


class SnapshotError(CaptureError):
    """A router with unknown fields, or a snapshot that does not fit this version."""


def by_stored_name(cls: str, names: Iterable[str]) -> dict[str, str]:
    """The attribute names of a class, of this revision or an older one, each by its stored name."""
    stored = {inner: name for name, inner in ATTRIBUTE_NAMES.get(cls, {}).items()}
    return {stored.get(name, name): name for name in names}


def _check(router: logic.Router) -> None:
    found = by_stored_name("Router", set(vars(router)) - _LIMITS)
    if set(found) != set(ROUTER):
        raise SnapshotError(f"the router holds {sorted(set(found) ^ set(ROUTER))}, which snapshots do not know")


def _plain(value: Any) -> Any:
    kind = type(value)
    if value is None or kind in (bool, int, float, str):
        return value
    if isinstance(value, Enum):
        return ["e", kind.__name__, value.value]
    if kind is tuple:
        return ["t", *map(_plain, value)]
    if kind in (dict, OrderedDict):
        return ["d" if kind is dict else "o", *([_plain(k), _plain(v)] for k, v in value.items())]
    if kind.__name__ == "PrefixTable":
        names = by_stored_name("PrefixTable", vars(value))
        if set(names) != set(TABLE):
            raise SnapshotError(f"a prefix table holds {sorted(names)}; snapshots know {sorted(TABLE)}")
        return ["p", *(_plain(getattr(value, names[name])) for name in TABLE)]
    if (stored := STORED_NAMES.get(kind)) is not None:
        return ["c", stored, *(_plain(getattr(value, f.name)) for f in dataclasses.fields(value))]
    raise SnapshotError(f"a {kind.__name__}, which snapshots do not know")


class _Factory:
    """Makes values of one revision's types.  Raises SnapshotError where its fields differ."""

    def __init__(self, module: Mapping[str, Any]) -> None:
        own = {name: module.get(CLASS_NAMES.get(name, name), module.get(name)) for name in OURS}
        self._classes = {**CLASSES, **own}
        self._enums = {**ENUMS, "Phase": module.get("Phase", ENUMS["Phase"])}
        self._table = module.get("PrefixTable")

    def make(self, value: Any) -> Any:
        """The value for a plain form."""
        if not isinstance(value, list):
            return value
        match value:
            case ["e", name, inner]:
                return self._enums[name](inner)
            case ["t", *inner]:
                return tuple(map(self.make, inner))
            case ["d", *pairs]:
                return {self.make(k): self.make(v) for k, v in pairs}
            case ["o", *pairs]:
                return OrderedDict((self.make(k), self.make(v)) for k, v in pairs)
            case ["p", *inner] if self._table is not None:
                table = self._table(0)
                names = by_stored_name("PrefixTable", vars(table))
                if set(names) != set(TABLE):
                    raise SnapshotError(f"its prefix table holds {sorted(names)}, not {sorted(TABLE)}")
                for name, each in zip(TABLE, inner, strict=True):
                    setattr(table, names[name], self.make(each))
                return table
            case ["c", name, *inner] if self._classes.get(name) is not None:
                return self._object(name, inner)
        raise SnapshotError(f"a value of no known kind: {str(value)[:60]}")

    def _object(self, name: str, inner: list[Any]) -> Any:
        cls: Any = self._classes[name]
        ours = CLASSES[name]
        names = by_stored_name(name, [f.name for f in dataclasses.fields(cls)])
        if cls is not ours and list(names) != list(by_stored_name(name, [f.name for f in dataclasses.fields(ours)])):
            raise SnapshotError(f"{name} has other fields in that revision")
        if len(names) != len(inner):
            raise SnapshotError(f"{name}: {len(inner)} fields; this version knows {len(names)}")
        return cls(**{n: self.make(v) for n, v in zip(names.values(), inner, strict=True)})


def take(router: logic.Router) -> bytes:
    """The state of a router.  Raises SnapshotError where it has a field or value of unknown kind."""
    _check(router)
    names = by_stored_name("Router", vars(router))
    state = {name: _plain(getattr(router, names[name])) for name in ROUTER if name not in _APART}
    pools = {role.value: [server.name for server in pool] for role, pool in router.pools.items()}
    return msgspec.msgpack.encode([FORMAT, msgspec.to_builtins(router.settings), pools, state])


def restore(data: bytes, cls: type | None = None, module: Any = logic) -> logic.Router:
    """The router of a snapshot: of class ``cls`` or of ``module``'s, of any revision.  Raises SnapshotError."""
    try:
        form, settings, pools, state = msgspec.msgpack.decode(data)
        if form != FORMAT:
            raise SnapshotError(f"format {form}; this version reads {FORMAT}")
        router_class: Any = cls or module.Router
        router: logic.Router = router_class(msgspec.convert(settings, api.Settings), 0)
        if set(state) | set(_APART) != set(ROUTER):
            raise SnapshotError(f"it holds {sorted(state)}, not what this version's router does")
        _check(router)
        factory = _Factory(router_class.__init__.__globals__)  # of a traced subclass: those of its parent's module
        attributes = by_stored_name("Router", vars(router))
        for name, value in state.items():
            setattr(router, attributes[name], factory.make(value))
        for role, names in pools.items():
            router.pools[api.Role(role)][:] = [router.servers[name] for name in names]
    except SnapshotError:
        raise
    except (msgspec.MsgspecError, ValueError, TypeError, KeyError) as error:
        raise SnapshotError(f"a snapshot that can't be read: {error}") from None
    _check(router)
    return router
