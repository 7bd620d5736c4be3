"""Bounds the depth and the number of values of a JSON text before it is decoded.

A decoder creates an object for every value: 8 MiB of ``[[[…`` or ``"a":1,`` would become hundreds of MiB.  Texts with
few brackets and commas pass at once; in others, strings are replaced first, since commas in a prompt separate no
values.  The cost is linear: a few passes in C.
"""

from __future__ import annotations

import re

_STRING = re.compile(rb'"(?:[^"\\]+|\\.)*+"', re.S)
_BRACKET = re.compile(rb"[\[\]{}]")


class TooComplex(ValueError):
    """A JSON text exceeds the bounds; the message names the value found and the bound."""


def check(text: bytes, depth: int, values: int) -> None:
    """Raise TooComplex where the text nests deeper or holds more values than allowed."""
    opening = text.count(b"[") + text.count(b"{")
    if opening <= depth and text.count(b",") + opening <= values:
        return
    without_strings = _STRING.sub(b"0", text)
    count = without_strings.count(b",") + without_strings.count(b"[") + without_strings.count(b"{") + 1
    if count > values:
        raise TooComplex(f"the body holds about {count} values; at most {values} are allowed")
    current_depth = 0
    for bracket in _BRACKET.finditer(without_strings):
        current_depth += 1 if bracket.group() in b"[{" else -1
        if current_depth > depth:
            raise TooComplex(f"the body nests deeper than {depth} levels")
