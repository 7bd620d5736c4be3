"""Bounds on a JSON text before it is decoded: how deep, and how many values.

A decoder makes an object of every value: 8 MiB of ``[[[…`` or ``"a":1,`` would become hundreds of MiB.  Texts with
few brackets and commas pass at once; in others strings are blanked out first, since commas in a prompt are no values.
Cost: linear, a few passes of the C library.
"""

from __future__ import annotations

import re

_STRING = re.compile(rb'"(?:[^"\\]+|\\.)*+"', re.S)
_BRACKET = re.compile(rb"[\[\]{}]")


class TooComplex(ValueError):
    """A JSON text over the bounds; the text names found and allowed."""


def check(text: bytes, depth: int, values: int) -> None:
    """Raise TooComplex where the text nests deeper or holds more values than allowed."""
    opening = text.count(b"[") + text.count(b"{")
    if opening <= depth and text.count(b",") + opening <= values:
        return
    bare = _STRING.sub(b"0", text)
    count = bare.count(b",") + bare.count(b"[") + bare.count(b"{") + 1
    if count > values:
        raise TooComplex(f"the body holds about {count} values; at most {values} are allowed")
    level = 0
    for found in _BRACKET.finditer(bare):
        level += 1 if found.group() in b"[{" else -1
        if level > depth:
            raise TooComplex(f"the body nests deeper than {depth} levels")
