"""Evaluates a Jsonnet file and checks the result.  ``import 'stonetrack.libsonnet'`` imports the bundled library."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import msgspec.inspect

from stonetrack.settings.check import Problem, SettingsError, find_problems
from stonetrack.settings.schema import Node

_UNKNOWN_FIELD = re.compile(r"unknown field `([^`]*)`")
_SYNTAX = re.compile(r"syntax error: .* got (.+) \S+:(\d+):(\d+)$")
LIBRARY = Path(__file__).parent
T = TypeVar("T")


def evaluate(path: Path, variables: Mapping[str, str] | None = None) -> str:
    """Return the file's JSON text.  Raises SettingsError if the file can't be read or evaluated."""
    try:
        if path.suffix == ".json":
            return path.read_text("utf-8")
        import rjsonnet  # imported late: not needed for settings in JSON

        return str(
            rjsonnet.evaluate_file(str(path), jpathdir=[str(LIBRARY), str(path.parent)], ext_vars=dict(variables or {}))
        )
    except (OSError, RuntimeError, ValueError) as error:
        found = _shorten_message(" ".join(str(error).split()))
        raise SettingsError([Problem("$", found, "a Jsonnet file that evaluates to one object")], str(path)) from None


def decode(text: str | bytes, kind: type[T], where: str) -> T:
    """Decode a value of a type from JSON.  Raises SettingsError with the path and what is allowed."""
    try:
        return msgspec.json.decode(text, type=kind)
    except msgspec.DecodeError as error:
        message, _, at = str(error).partition(" - at `")
        raise SettingsError([Problem(at.rstrip("`") or "$", "this file", message)], where) from None


def parse(text: str | bytes, where: str = "settings") -> Node:
    """Return typed settings from JSON.  Raises SettingsError with each path, value and what is allowed."""
    try:
        raw = json.loads(text)
        node = msgspec.convert(raw, Node, strict=True)
    except (ValueError, RecursionError) as error:  # includes msgspec.ValidationError and JSONDecodeError
        message, _, path = str(error).partition(" - at `")
        at = path.rstrip("`") or "$"
        if unknown := _UNKNOWN_FIELD.search(message):
            raise SettingsError([Problem(f"{at}.{unknown[1]}", unknown[1], _fields_at(at))], where) from None
        raise SettingsError([Problem(at, _value_at(text, at), message)], where) from None
    found_problems = tuple(find_problems(node))
    if found_problems:
        raise SettingsError(found_problems, where)
    return node


def load(path: Path, variables: Mapping[str, str] | None = None) -> Node:
    """Evaluate and check a file.  Raises SettingsError."""
    return parse(evaluate(path, variables), str(path))


def merged(base: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
    """Return settings in JSON form with some values replaced; objects are merged field by field."""
    result = dict(base)
    for name, value in overrides.items():
        is_block = isinstance(value, dict) and isinstance(result.get(name), dict)
        result[name] = merged(result[name], value) if is_block else value
    return result


def _shorten_message(message: str) -> str:
    """Return the evaluator's message; for a syntax error, without its list of expected tokens."""
    found = _SYNTAX.search(message)
    return f"a syntax error in line {found[2]}, column {found[3]}, at {found[1]}" if found else message


def _fields_at(path: str) -> str:
    """Return the field names of the type at a path like ``$.classes[0]``."""
    at = msgspec.inspect.type_info(Node)
    for part in path.removeprefix("$").replace("[", ".[").split(".")[1:]:
        if isinstance(at, (msgspec.inspect.ListType, msgspec.inspect.VarTupleType)):
            at = at.item_type
        elif isinstance(at, msgspec.inspect.StructType):
            at = next((field.type for field in at.fields if field.encode_name == part), at)
    if not isinstance(at, msgspec.inspect.StructType):
        return "no such field"
    return ", ".join(field.encode_name for field in at.fields)


def _value_at(text: str | bytes, path: str) -> object:
    """Return the value at a path like ``$.classes[0].worth``, or a description where there is none."""
    try:
        value = json.loads(text)
        for part in path.removeprefix("$").replace("[", ".[").split(".")[1:]:
            value = value[int(part[1:-1])] if part.startswith("[") else value[part]
    except (ValueError, KeyError, IndexError, TypeError, RecursionError):
        return "nothing readable"
    if isinstance(value, dict):
        return f"an object with {', '.join(sorted(value))}" if value else "an empty object"
    return value
