"""What a ``Router`` holds, as plain values and back, without changing a decision.

Every field of the router and of the module's classes is kept, by name; one that the module gains (or loses) makes
:func:`take` fail, and a test with it, so that no snapshot lacks it silently.  Order of dictionaries, whole numbers and
floats come back as they were: the router made by :func:`restore` decides as the first would have.

Cost: proportional to what the tables hold; a router is not touched by others while it is taken.
"""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
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
OURS = ("Stat", "Pause", "Server", "Request")  # of logic
CLASSES: dict[str, type] = {
    cls.__name__: cls
    for cls in (logic.Stat, logic.Pause, logic.Server, logic.Request, api.LoadReport, api.RequestClass)
}
ENUMS: dict[str, type[Enum]] = {
    cls.__name__: cls for cls in (api.Role, api.ServerState, api.Effect, api.Scope, logic.Phase)
}
_APART = ("settings", "actions", "pools", "by_probe")  # kept otherwise, or made from settings


class SnapshotError(CaptureError):
    """A router that this code does not know whole, or a snapshot of another one."""


def _check(router: logic.Router) -> None:
    found = tuple(vars(router))
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
        if set(vars(value)) != set(TABLE):
            raise SnapshotError(f"a prefix table holds {sorted(vars(value))}; snapshots know {sorted(TABLE)}")
        return ["p", *(_plain(getattr(value, name)) for name in TABLE)]
    if CLASSES.get(kind.__name__) is kind:
        return ["c", kind.__name__, *(_plain(getattr(value, f.name)) for f in dataclasses.fields(value))]
    raise SnapshotError(f"a {kind.__name__}, which snapshots do not know")


class _Maker:
    """Makes values of one revision's types.  Raises SnapshotError where it has other fields."""

    def __init__(self, module: Any) -> None:
        self._classes = {**CLASSES, **{name: getattr(module, name, None) for name in OURS}}
        self._enums = {**ENUMS, "Phase": getattr(module, "Phase", ENUMS["Phase"])}
        self._table = getattr(module, "PrefixTable", None)

    def made(self, value: Any) -> Any:
        """The value of its plain form."""
        if not isinstance(value, list):
            return value
        match value:
            case ["e", name, inner]:
                return self._enums[name](inner)
            case ["t", *inner]:
                return tuple(map(self.made, inner))
            case ["d", *pairs]:
                return {self.made(k): self.made(v) for k, v in pairs}
            case ["o", *pairs]:
                return OrderedDict((self.made(k), self.made(v)) for k, v in pairs)
            case ["p", *inner] if self._table is not None:
                table = self._table(0)
                if set(vars(table)) != set(TABLE):
                    raise SnapshotError(f"its prefix table holds {sorted(vars(table))}, not {sorted(TABLE)}")
                for name, each in zip(TABLE, inner, strict=True):
                    setattr(table, name, self.made(each))
                return table
            case ["c", name, *inner] if self._classes.get(name) is not None:
                return self._object(name, inner)
        raise SnapshotError(f"a value of no known kind: {str(value)[:60]}")

    def _object(self, name: str, inner: list[Any]) -> Any:
        cls: Any = self._classes[name]
        ours = CLASSES[name]
        names = [f.name for f in dataclasses.fields(ours)]
        if cls is not ours and names != [f.name for f in dataclasses.fields(cls)]:
            raise SnapshotError(f"{name} has other fields in that revision")
        if len(names) != len(inner):
            raise SnapshotError(f"{name}: {len(inner)} fields; this version knows {len(names)}")
        return cls(**{n: self.made(v) for n, v in zip(names, inner, strict=True)})


def take(router: logic.Router) -> bytes:
    """All that the router holds.  Raises SnapshotError where it holds something unknown."""
    _check(router)
    state = {name: _plain(getattr(router, name)) for name in ROUTER if name not in _APART}
    pools = {role.value: [server.name for server in pool] for role, pool in router.pools.items()}
    return msgspec.msgpack.encode([FORMAT, msgspec.to_builtins(router.settings), pools, state])


def restore(data: bytes, cls: type | None = None, module: Any = logic) -> logic.Router:
    """The router of a snapshot; of a subclass, or of another revision's module, if given.  Raises SnapshotError."""
    try:
        form, settings, pools, state = msgspec.msgpack.decode(data)
        if form != FORMAT:
            raise SnapshotError(f"format {form}; this version reads {FORMAT}")
        router: logic.Router = (cls or module.Router)(msgspec.convert(settings, api.Settings), 0)
        if set(state) | set(_APART) != set(ROUTER):
            raise SnapshotError(f"it holds {sorted(state)}, not what this version's router does")
        _check(router)
        maker = _Maker(module)
        for name, value in state.items():
            setattr(router, name, maker.made(value))
        for role, names in pools.items():
            router.pools[api.Role(role)][:] = [router.servers[name] for name in names]
    except SnapshotError:
        raise
    except (msgspec.MsgspecError, ValueError, TypeError, KeyError) as error:
        raise SnapshotError(f"a snapshot that can't be read: {error}") from None
    _check(router)
    return router
