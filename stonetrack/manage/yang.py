"""The YANG model of the configuration, generated from the settings types as the single source of truth.

Settings are msgspec types with bounds; a hand-written YANG module would diverge from them with the first new field.
So the configuration part of the module is a function of the types (RFC 7950 statements, RFC 7951 names), and a test
compares the file in ``modules/`` with it.  Constraints that a type can't express (references to names, values that
depend on each other) are ``must`` statements where XPath can express them; the rest is rejected by the settings' own
validation, which every change passes too.

Mapping: a struct is a container, a tuple of structs a list keyed by ``name`` (ordered by the user; without a name,
keyed by ``position``), a tuple of strings a leaf-list; ``a_field`` is the leaf ``a-field``; floats are decimal64 with
six digits, as strings in JSON (RFC 7951, 6.1), 64-bit numbers are strings too.

Cost: proportional to the settings; no request depends on this module.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from enum import Enum
from typing import Any

import msgspec
from msgspec import inspect

from stonetrack.settings.schema import Node

NAMESPACE = "urn:stonetrack:router"
MODULE, PREFIX, REVISION = "stonetrack", "st", "2026-12-01"
ROOT = "router"
FRACTION_DIGITS = 6  # of decimal64
# Constraints between leaves, by container or list, with their error messages.
MUST_STATEMENTS = {
    "class": ("deadline-ms >= first-token-ms", "a deadline before the first token's aim"),
    "rule": (
        "max-prompt-tokens = 0 or max-prompt-tokens >= min-prompt-tokens",
        "a prompt's bounds are the wrong way round",
    ),
    "source": ("(file != '') != (url != '')", "either file or url"),
}
NODE_NAMES = {"models": "model", "classes": "class", "kinds": "kind", "rules": "rule", "tenants": "tenant",
            "key_hashes": "key-hash"}  # fmt: skip
YANG_PATTERNS = {
    r"^sha256:[0-9a-f]{64}$": "sha256:[0-9a-f]{64}",
    r"^[A-Za-z0-9._-]*$": "[A-Za-z0-9._-]*",
    "^(debug|info|warning|error)$": "debug|info|warning|error",
}


def leaf_name(field: str) -> str:
    """The name of a field's YANG node."""
    return NODE_NAMES.get(field, field).replace("_", "-")


def _range(low: Any, high: Any, minimum: str, maximum: str) -> str:
    return f"{low if low is not None else minimum}..{high if high is not None else maximum}"


def _type_lines(kind: Any) -> list[str]:
    """The ``type`` statement of a scalar, as lines."""
    match kind:
        case inspect.BoolType():
            return ["type boolean;"]
        case inspect.IntType(ge=low, le=high):
            is_64_bit = high is None or high > 2**32 - 1
            name = "uint64" if is_64_bit else "uint32"
            bound = _range(low, high, "0", "max")
            return [f"type {name};"] if (low, high) == (0, None) else [f'type {name} {{ range "{bound}"; }}']
        case inspect.FloatType():
            minimum = (
                f"{10**-FRACTION_DIGITS:.{FRACTION_DIGITS}f}" if kind.gt is not None else f"{float(kind.ge or 0.0)}"
            )
            maximum = "max" if kind.le is None else f"{float(kind.le)}"
            return [f'type decimal64 {{ fraction-digits {FRACTION_DIGITS}; range "{minimum}..{maximum}"; }}']
        case inspect.StrType(min_length=low, max_length=high, pattern=pattern):
            inner = []
            if low is not None or high is not None:
                inner.append(f'length "{_range(low, high, "0", "max")}";')
            if pattern in YANG_PATTERNS:
                inner.append(f'pattern "{YANG_PATTERNS[pattern]}";')
            return [f"type string {{ {' '.join(inner)} }}"] if inner else ["type string;"]
        case inspect.EnumType(cls=cls):
            return ["type enumeration {", *(f'  enum "{each.value}";' for each in cls), "}"]
    raise TypeError(f"no YANG type for {kind}")


def _default_text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, Enum):
        return str(value.value)
    return str(value)


def _description(cls: type) -> str:
    first = (cls.__doc__ or cls.__name__).strip().split("\n\n")[0]
    return " ".join(first.split()).replace('"', "'")


def _indent(lines: Iterator[str] | list[str]) -> list[str]:
    return [f"  {line}" for line in lines]


def _field_lines(field: inspect.Field) -> list[str]:
    name, kind = leaf_name(field.encode_name), field.type
    if isinstance(kind, inspect.Metadata):
        kind = kind.type
    if isinstance(kind, inspect.UnionType):  # an optional struct
        kind = next(each for each in kind.types if isinstance(each, inspect.StructType))
        return [f"container {name} {{", *_indent(_body_lines(kind, name, ['presence "It is given.";'])), "}"]
    if isinstance(kind, inspect.StructType):
        return [f"container {name} {{", *_indent(_body_lines(kind, name)), "}"]
    if isinstance(kind, inspect.VarTupleType):
        return _list_lines(name, kind)
    lines = _type_lines(kind)
    units = {"_ms": "milliseconds", "_seconds": "seconds", "_bytes": "bytes", "_tokens": "tokens"}
    lines += [f'units "{unit}";' for end, unit in units.items() if field.encode_name.endswith(end)]
    if field.required:
        lines.append("mandatory true;")
    elif field.default is not msgspec.NODEFAULT:
        lines.append(f'default "{_default_text(field.default)}";')
    return [f"leaf {name} {{", *_indent(lines), "}"]


def _list_lines(name: str, kind: inspect.VarTupleType) -> list[str]:
    inner = kind.item_type
    if not isinstance(inner, inspect.StructType):
        return [f"leaf-list {name} {{", *_indent([*_type_lines(inner), "ordered-by user;"]), "}"]
    key = "name" if any(f.name == "name" for f in inner.fields) else "position"
    lines = [f'key "{key}";', *([f"min-elements {kind.min_length};"] if kind.min_length else []), "ordered-by user;"]
    after = []
    if key == "position":
        after = ["leaf position {", "  type uint32;", '  description "Rules are tried in this order.";', "}"]
    return [f"list {name} {{", *_indent(_body_lines(inner, name, lines, after)), "}"]


def _body_lines(kind: inspect.StructType, name: str, first: Sequence[str] = (), after: Sequence[str] = ()) -> list[str]:
    """The substatements of a container or list, in the canonical order of RFC 7950, section 14."""
    lines = [*first, f'description "{_description(kind.cls)}";', *after]
    if name in MUST_STATEMENTS:
        test, message = MUST_STATEMENTS[name]
        lines.insert(0, f'must "{test}" {{ error-message "{message}"; }}')
    has_name_key = any(f.name == "name" for f in kind.fields)
    for field in kind.fields:
        field_lines = _field_lines(field)
        if has_name_key and field.name == "name":  # a list key is implicitly mandatory
            field_lines = [line for line in field_lines if line.strip() != "mandatory true;"]
        lines += field_lines
    return lines


STATE_CONTAINER = """\
container state {
  config false;
  description "What the router does (the operational view).";
  list engine {
    key "name";
    description "One engine as the list and the router see it.";
    leaf name { type string; }
    leaf address { type string; }
    leaf kind { type string; }
    leaf cell { type string; }
    leaf zone { type string; }
    leaf state { type enumeration { enum "up"; enum "draining"; enum "removed"; } }
  }
  list instance {
    key "name";
    description "One instance of the node.";
    leaf name { type string; }
    leaf version { type string; description "Of the program."; }
    leaf configuration { type uint64; description "Number of the configuration that it acts on."; }
    leaf requests { type uint32; description "Under way."; }
    leaf uptime { type uint64; units "seconds"; }
  }
  leaf list-version { type uint64; description "Of the list of engines."; }
}
"""


def module_text() -> str:
    """The text of the module."""
    node = inspect.type_info(Node)
    assert isinstance(node, inspect.StructType)
    body = [
        "yang-version 1.1;",
        f'namespace "{NAMESPACE}";',
        f'prefix "{PREFIX}";',
        'organization "stonetrack maintainers";',
        'contact "The project\'s issues.";',
        'description "Configuration and state of a router for language-model serving.  The configuration is written '
        "from the settings' types; do not edit it by hand.\";",
        f'revision "{REVISION}" {{ description "First."; }}',
        f"container {ROOT} {{",
        *_indent(_body_lines(node, ROOT)),
        *_indent(STATE_CONTAINER.splitlines()),
        "}",
    ]
    return "\n".join([f"module {MODULE} {{", *_indent(body), "}"]) + "\n"


# Instance data.


def _encode(kind: Any, value: Any) -> Any:
    if isinstance(kind, inspect.Metadata):
        kind = kind.type
    match kind:
        case inspect.UnionType(types=types):
            return _encode(next(t for t in types if not isinstance(t, inspect.NoneType)), value)
        case inspect.StructType(fields=fields):
            encoded = {}
            for field in fields:
                each = getattr(value, field.name)
                if each is not None:
                    encoded[leaf_name(field.encode_name)] = _encode(field.type, each)
            return encoded
        case inspect.VarTupleType(item_type=inner):
            rows = [_encode(inner, each) for each in value]
            named = not isinstance(inner, inspect.StructType) or any(f.name == "name" for f in inner.fields)
            return rows if named else [{"position": n, **row} for n, row in enumerate(rows)]
        case inspect.FloatType():
            return f"{value:.{FRACTION_DIGITS}f}"
        case inspect.IntType(le=high):
            return str(value) if high is None or high > 2**32 - 1 else value
        case inspect.EnumType():
            return value.value
    return value


def _decode(kind: Any, value: Any) -> Any:
    if isinstance(kind, inspect.Metadata):
        kind = kind.type
    match kind:
        case inspect.UnionType(types=types):
            return _decode(next(t for t in types if not isinstance(t, inspect.NoneType)), value)
        case inspect.StructType(fields=fields):
            by_name = {leaf_name(field.encode_name): field for field in fields}
            unknown = set(value) - set(by_name) - {"position", "state"}
            if unknown:
                raise ValueError(f"found {', '.join(sorted(unknown))}; allowed: {', '.join(by_name)}")
            return {by_name[n].encode_name: _decode(by_name[n].type, v) for n, v in value.items() if n in by_name}
        case inspect.VarTupleType(item_type=inner):
            return [_decode(inner, each) for each in value]
        case inspect.FloatType():
            return float(value)
        case inspect.IntType():
            return int(value)
    return value


def to_instance(settings: Node) -> dict[str, Any]:
    """Settings as JSON instance data (RFC 7951)."""
    return {f"{MODULE}:{ROOT}": _encode(inspect.type_info(Node), settings)}


def from_instance(data: dict[str, Any]) -> dict[str, Any]:
    """Instance data as the JSON that ``settings.parse`` accepts.  Raises ValueError for unknown names."""
    found: dict[str, Any] = _decode(inspect.type_info(Node), data[f"{MODULE}:{ROOT}"])
    return found
