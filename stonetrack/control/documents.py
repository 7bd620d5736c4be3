"""A numbered version of the settings: its content, its digest and its publisher.  No I/O.

A document replaces parts of a node's own settings, block by block; what identifies a node (its name, listen address,
folders, the services that it follows) is never in one.  The digest covers the content alone, so that content published
twice has two numbers and one digest.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from typing import Any

import msgspec

LOCAL_KEYS = ("audit", "capture", "control", "listen", "log_level", "name", "source", "state_dir")
CHANGE_KINDS = ("rule", "weight")  # a rule must reach every node within seconds; a weight may take minutes


class Document(msgspec.Struct, frozen=True):
    """One version; ``term`` and ``owner`` are its publisher's, 0 and empty in a fleet without a controller."""

    number: int
    content: dict[str, Any]
    kind: str = "rule"
    digest: str = ""
    term: int = 0
    owner: str = ""


NO_VERSION = Document(0, {})  # runs on a node that has received no version


def content_digest(content: Mapping[str, Any]) -> str:
    """Return a digest that does not depend on the order of the fields."""
    return blake2b(msgspec.json.encode(content, order="sorted"), digest_size=8).hexdigest()


def make_document(number: int, content: dict[str, Any], kind: str, term: int = 0, owner: str = "") -> Document:
    """Return a document with its digest."""
    return Document(number, content, kind, content_digest(content), term, owner)


def problem(document: Document) -> str:
    """Return why no node can install the document; empty where it is valid in itself."""
    if document.kind not in CHANGE_KINDS:
        return f"kind: found {document.kind!r}; allowed: {', '.join(CHANGE_KINDS)}"
    if document.digest != content_digest(document.content):
        return f"version {document.number}: the content is not that of digest {document.digest}"
    own = sorted(set(document.content) & set(LOCAL_KEYS))
    if own:
        return f"version {document.number}: {', '.join(own)}: a node's own; not allowed in a version"
    return ""
