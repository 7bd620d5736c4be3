"""The decision module of another revision, loaded beside the running one.

A revision's ``logic.py`` and ``api.py`` are read from git and executed as separate modules.  Where its ``api.py`` has
the same fields as the running one, its router takes our events as they are; otherwise events and actions are translated
by the names of their fields, and fields that it does not have are omitted.

Must not depend on or change: the working tree, modules that are loaded already.
"""

from __future__ import annotations

import builtins
import dataclasses
import subprocess
import sys
import types
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import Any, Protocol

from stonetrack import api, logic
from stonetrack.capture import snapshot
from stonetrack.capture.codec import CaptureError

# Methods that explanations hook or call: today's name, and the name in revision 020f764 and those before it.
OLDER_METHODS: dict[str, dict[str, str]] = {
    "Router": {
        "_choose_prefill": "_choose_reader", "_best_prefill": "_best_reader", "_choose_decode": "_choose_writer",
        "_eligible": "_usable", "_refuse_or_fail": "_give_up", "_cancel_late": "_call_off",
        "_start_ejection": "_pause", "_prefill_load": "_read_load", "_decode_load": "_streams",
        "_expected_prefill_time": "_read_time", "_expected_decode_wait": "_writers_wait",
    },
    "Request": {"capped_target": "aim"},
}  # fmt: skip

ROOT = Path(__file__).parent.parent.parent


class RevisionError(CaptureError):
    """A revision whose module can't be loaded; the text gives the reason."""


class Handles(Protocol):
    """Interface of a router of any revision, as a replay uses it."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event; returns the actions to carry out."""


Make = Callable[[api.Settings, int], Handles]


@dataclasses.dataclass(frozen=True)
class Module:
    """The decision module of a revision.  ``native``: its router takes our types without translation."""

    name: str
    logic: types.ModuleType
    interface: types.ModuleType
    native: bool

    def make(self, settings: api.Settings, seed: int, cls: type | None = None) -> Handles:
        """A router of this revision (or of a subclass of its ``Router``) that takes and returns our types."""
        made = cls or self.logic.Router
        if self.native:
            return made(settings, seed)  # type: ignore[no-any-return]
        return _Foreign(made(translate(settings, self.interface), seed), self.interface)


class _Foreign:
    """A router with another interface, behind a translation from ours."""

    def __init__(self, router: Any, its: types.ModuleType) -> None:
        self.router, self._api = router, its

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """As :meth:`Handles.handle`, with events and actions translated."""
        return [translate(action, api) for action in self.router.handle(now, translate(event, self._api))]


def translate(thing: Any, to: types.ModuleType) -> Any:
    """The same value in the types of another ``api`` module.  Raises RevisionError for a type that it lacks."""
    if isinstance(thing, tuple):
        return tuple(translate(each, to) for each in thing)
    if not isinstance(thing, Enum) and not dataclasses.is_dataclass(thing):
        return thing
    name = type(thing).__name__
    cls = getattr(to, name, None)
    if cls is None:
        raise RevisionError(f"the other interface has no {name}")
    if isinstance(thing, Enum):
        try:
            return cls(thing.value)
        except ValueError:
            raise RevisionError(f"the other interface has no {name} {thing.value!r}") from None
    known = {field.name for field in dataclasses.fields(cls)}
    return cls(**{f.name: translate(getattr(thing, f.name), to) for f in dataclasses.fields(thing) if f.name in known})


def _fields(module: Any) -> dict[str, Any]:
    """What a caller depends on in an interface: its types, their fields in order, the values of its enums."""
    found: dict[str, Any] = {}
    for name, cls in vars(module).items():
        if dataclasses.is_dataclass(cls):
            found[name] = [field.name for field in dataclasses.fields(cls)]
        elif isinstance(cls, type) and issubclass(cls, Enum) and cls is not Enum:
            found[name] = [each.value for each in cls]
    return found


def _run(name: str, text: str, known: dict[str, Any]) -> types.ModuleType:
    """Execute a file's text as a module, where imports from ``stonetrack`` resolve to ``known``."""
    module = types.ModuleType(name)
    package = types.ModuleType("stonetrack")
    vars(package).update(known)

    def import_(what: str, globals_: Any = None, locals_: Any = None, wanted: Any = (), level: int = 0) -> Any:
        if what == "stonetrack":
            return package
        if what.startswith("stonetrack."):
            return known[what.removeprefix("stonetrack.")]
        return builtins.__import__(what, globals_, locals_, wanted, level)

    vars(module)["__builtins__"] = {**vars(builtins), "__import__": import_}
    sys.modules[name] = module  # dataclasses look up their module by name
    try:
        exec(compile(text, f"<{name}>", "exec"), vars(module))
    except Exception as error:
        del sys.modules[name]
        raise RevisionError(f"{name}: {type(error).__name__}: {error}") from None
    return module


def _add_names(module: types.ModuleType) -> None:
    """Let today's names reach the attributes and methods of an older module's classes, as explanations use them."""

    def property_of(stored: str) -> property:
        return property(lambda thing: getattr(thing, stored))

    for cls_name, names in snapshot.ATTRIBUTE_NAMES.items():
        cls = getattr(module, cls_name, None)
        for stored, inner in names.items():
            if hasattr(cls, stored) and not hasattr(cls, inner):
                setattr(cls, inner, property_of(stored))
    for cls_name, methods in OLDER_METHODS.items():
        cls = getattr(module, cls_name, None)
        for inner, older in methods.items():
            if hasattr(cls, older) and not hasattr(cls, inner):
                setattr(cls, inner, getattr(cls, older))
    attributes = {inner: stored for stored, inner in snapshot.ATTRIBUTE_NAMES["Router"].items()}

    def missing(router: Any, name: str) -> Any:
        if name not in attributes:
            raise AttributeError(f"{type(router).__name__!r} object has no attribute {name!r}")
        return getattr(router, attributes[name])

    if isinstance(cls := getattr(module, "Router", None), type):
        setattr(cls, "__getattr__", missing)  # noqa: B010  # not properties: a router's attributes are its instance's


def from_texts(name: str, logic_text: str, api_text: str) -> Module:
    """A module from the texts of its two files.  Raises RevisionError."""
    label = "stonetrack_at_" + "".join(c if c.isalnum() else "_" for c in name)
    theirs = _run(f"{label}_api", api_text, {})
    native = _fields(theirs) == _fields(api)
    used = api if native else theirs
    module = _run(f"{label}_logic", logic_text, {"api": used})
    _add_names(module)
    return Module(name, module, used, native)


def current() -> Module:
    """The running module."""
    return Module("now", logic, api, True)


def _git(arguments: list[str], root: Path) -> str:
    try:
        done = subprocess.run(["git", "-C", str(root), *arguments], capture_output=True, text=True, timeout=30)
    except (OSError, subprocess.TimeoutExpired) as error:
        raise RevisionError(f"git: {error}") from None
    if done.returncode:
        raise RevisionError(f"git {' '.join(arguments)}: {done.stderr.strip() or done.returncode}")
    return done.stdout


def load(name: str, root: Path = ROOT) -> Module:
    """The module of a revision (any name that git resolves), or of a folder with ``logic.py`` and ``api.py``.

    Raises RevisionError.
    """
    if name in ("", "now"):
        return current()
    folder = Path(name)
    if (folder / "logic.py").is_file():
        return from_texts(name, (folder / "logic.py").read_text("utf-8"), (folder / "api.py").read_text("utf-8"))
    if name.startswith("-"):
        raise RevisionError(f"{name!r} is no revision; allowed: a name that git knows, or a folder with logic.py")
    commit = _git(["rev-parse", "--verify", "--quiet", f"{name}^{{commit}}"], root).strip()
    texts = [_git(["show", f"{commit}:stonetrack/{file}.py"], root) for file in ("logic", "api")]
    return from_texts(commit[:8], *texts)
