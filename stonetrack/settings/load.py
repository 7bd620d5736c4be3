"""Evaluates a Jsonnet file and checks the result.  ``import 'stonetrack.libsonnet'`` finds our library."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import msgspec.inspect

from stonetrack.settings.check import Problem, SettingsError, problems
from stonetrack.settings.schema import Node

_UNKNOWN_FIELD = re.compile(r"unknown field `([^`]*)`")
_SYNTAX = re.compile(r"syntax error: .* got (.+) \S+:(\d+):(\d+)$")
LIBRARY = Path(__file__).parent
T = TypeVar("T")


def evaluate(path: Path, variables: Mapping[str, str] | None = None) -> str:
    """The file's JSON text.  Raises SettingsError where it can't be read or evaluated."""
    try:
        if path.suffix == ".json":
            return path.read_text("utf-8")
        import rjsonnet  # here: a node that is told its settings as JSON has no need of it

        return str(
            rjsonnet.evaluate_file(str(path), jpathdir=[str(LIBRARY), str(path.parent)], ext_vars=dict(variables or {}))
        )
    except (OSError, RuntimeError, ValueError) as error:
        found = _plain(" ".join(str(error).split()))
        raise SettingsError([Problem("$", found, "a Jsonnet file that evaluates to one object")], str(path)) from None


def decode(text: str | bytes, kind: type[T], where: str) -> T:
    """A value of a type from JSON.  Raises SettingsError naming path and what is allowed."""
    try:
        return msgspec.json.decode(text, type=kind)
    except msgspec.DecodeError as error:
        message, _, at = str(error).partition(" - at `")
        raise SettingsError([Problem(at.rstrip("`") or "$", "this file", message)], where) from None


def parse(text: str | bytes, where: str = "settings") -> Node:
    """Typed settings from JSON.  Raises SettingsError naming path, value and what is allowed."""
    try:
        raw = json.loads(text)
        node = msgspec.convert(raw, Node, strict=True)
    except (ValueError, RecursionError) as error:  # msgspec.ValidationError and JSONDecodeError are of these
        message, _, path = str(error).partition(" - at `")
        at = path.rstrip("`") or "$"
        if unknown := _UNKNOWN_FIELD.search(message):
            raise SettingsError([Problem(f"{at}.{unknown[1]}", unknown[1], _fields_at(at))], where) from None
        raise SettingsError([Problem(at, _found(text, at), message)], where) from None
    wrong = tuple(problems(node))
    if wrong:
        raise SettingsError(wrong, where)
    return node


def load(path: Path, variables: Mapping[str, str] | None = None) -> Node:
    """Evaluate and check a file."""
    return parse(evaluate(path, variables), str(path))


def merged(base: dict[str, Any], more: dict[str, Any]) -> dict[str, Any]:
    """Settings as JSON holds them, with some of them replaced; blocks are merged field by field."""
    made = dict(base)
    for name, value in more.items():
        both = isinstance(value, dict) and isinstance(made.get(name), dict)
        made[name] = merged(made[name], value) if both else value
    return made


def _plain(message: str) -> str:
    """The evaluator's message, its list of all that could have stood at a syntax error left out."""
    found = _SYNTAX.search(message)
    return f"a syntax error in line {found[2]}, column {found[3]}, at {found[1]}" if found else message


def _fields_at(path: str) -> str:
    """The names of the fields that the type at a path like ``$.classes[0]`` knows."""
    at = msgspec.inspect.type_info(Node)
    for part in path.removeprefix("$").replace("[", ".[").split(".")[1:]:
        if isinstance(at, (msgspec.inspect.ListType, msgspec.inspect.VarTupleType)):
            at = at.item_type
        elif isinstance(at, msgspec.inspect.StructType):
            at = next((field.type for field in at.fields if field.encode_name == part), at)
    if not isinstance(at, msgspec.inspect.StructType):
        return "no such field"
    return ", ".join(field.encode_name for field in at.fields)


def _found(text: str | bytes, path: str) -> object:
    """The value at a path like ``$.classes[0].worth``, or a word where it can't be found."""
    try:
        value = json.loads(text)
        for part in path.removeprefix("$").replace("[", ".[").split(".")[1:]:
            value = value[int(part[1:-1])] if part.startswith("[") else value[part]
    except (ValueError, KeyError, IndexError, TypeError, RecursionError):
        return "nothing readable"
    if isinstance(value, dict):
        return f"an object with {', '.join(sorted(value))}" if value else "an empty object"
    return value
