"""Decodes JSON within a bound on its depth and its number of values, which is checked before decoding.

A decoder calls itself for each level and creates an object for every value.  Its own limit on levels is the
interpreter's, for the stack of the main thread: on a thread with a stack of 256 KiB about 750 levels end the process.
8 MiB of ``[[[…`` or ``"a":1,`` would become hundreds of MiB.  So whatever a peer sends is decoded here.

Texts with few brackets and commas pass at once; in others, strings are replaced first, since commas in a prompt
separate no values.  The cost is linear: a few passes in C.
"""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec

MAX_DEPTH = 64  # levels of a text whose form is known
MAX_VALUES = 100_000  # of a text that is decoded to plain objects
_STRING = re.compile(rb'"(?:[^"\\]+|\\.)*+"', re.S)
_BRACKET = re.compile(rb"[\[\]{}]")

T = TypeVar("T")


class TooComplex(msgspec.DecodeError):
    """A JSON text exceeds the bounds; the message names the value found and the bound."""


def check(text: bytes | bytearray, depth: int, values: int | None = None) -> None:
    """Raise TooComplex where the text nests deeper or holds more values than allowed (None: any number of them)."""
    opening = text.count(b"[") + text.count(b"{")
    if opening <= depth and (values is None or text.count(b",") + opening <= values):
        return
    without_strings = _STRING.sub(b"0", text)
    if values is not None:
        count = without_strings.count(b",") + without_strings.count(b"[") + without_strings.count(b"{") + 1
        if count > values:
            raise TooComplex(f"the body holds about {count} values; at most {values} are allowed")
    current_depth = 0
    for bracket in _BRACKET.finditer(without_strings):
        current_depth += 1 if bracket.group() in b"[{" else -1
        if current_depth > depth:
            raise TooComplex(f"the body nests deeper than {depth} levels")


def decode(text: bytes | bytearray, depth: int = MAX_DEPTH, values: int | None = MAX_VALUES) -> Any:
    """Decode to plain objects.  Raises msgspec.DecodeError."""
    check(text, depth, values)
    return msgspec.json.decode(text)


def decode_as(text: bytes | bytearray, type_: type[T], depth: int = MAX_DEPTH) -> T:
    """Decode to a type; fields that it does not have are skipped.  Raises msgspec.DecodeError, ValidationError."""
    check(text, depth)
    return msgspec.json.decode(text, type=type_)
