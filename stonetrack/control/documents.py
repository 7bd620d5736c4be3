"""A numbered version of the settings: what it says, its digest, and whose it is.  No I/O.

A document replaces parts of a node's own settings, block by block; what makes a node itself (its name, where it
listens, where it keeps things, whom it follows) is never in one.  The digest is of the content alone, so that the
same content published twice is told apart by number and recognised as the same.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from typing import Any

import msgspec

LOCAL = ("audit", "capture", "control", "listen", "log_level", "name", "source", "state_dir")
KINDS = ("rule", "weight")  # a rule must be everywhere within seconds; a weight may take its time


class Document(msgspec.Struct, frozen=True):
    """One version; ``term`` and ``owner`` are of whoever published it, 0 and empty in a fleet without a steward."""

    number: int
    content: dict[str, Any]
    kind: str = "rule"
    digest: str = ""
    term: int = 0
    owner: str = ""


NO_VERSION = Document(0, {})  # what a node runs that was never told of a version


def content_digest(content: Mapping[str, Any]) -> str:
    """Tells contents apart, whatever the order of their fields."""
    return blake2b(msgspec.json.encode(content, order="sorted"), digest_size=8).hexdigest()


def made(number: int, content: dict[str, Any], kind: str, term: int = 0, owner: str = "") -> Document:
    """A document with its digest."""
    return Document(number, content, kind, content_digest(content), term, owner)


def problem(document: Document) -> str:
    """Why nobody could take it, whatever the node; empty where nothing is wrong in itself."""
    if document.kind not in KINDS:
        return f"kind: found {document.kind!r}; allowed: {', '.join(KINDS)}"
    if document.digest != content_digest(document.content):
        return f"version {document.number}: the content is not that of digest {document.digest}"
    own = sorted(set(document.content) & set(LOCAL))
    if own:
        return f"version {document.number}: {', '.join(own)}: a node's own; not allowed in a version"
    return ""
