"""What a request is for the router: class, session, shared beginning, length, time left.  No I/O.

Prompt length is an estimate behind :class:`Estimator`, until a tokeniser takes its place.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from stonetrack.settings.schema import Node, Rule
from stonetrack.wire.http1 import Headers

MS = 1_000_000
LEADING = ("system", "developer")
SESSION_HEADER, TIME_HEADER, KEY_HEADER = "x-session-id", "x-time-left-ms", "idempotency-key"


class Estimator(Protocol):
    """Tells a text's length in tokens."""

    def count(self, text: str) -> int:
        """Tokens, at least 0."""


class ByteEstimator:
    """A token for each so many bytes of UTF-8: about 4 in English prose, fewer in code and other scripts."""

    def __init__(self, bytes_per_token: float = 4.0) -> None:
        self.bytes_per_token = bytes_per_token

    def count(self, text: str) -> int:
        """See :class:`Estimator`."""
        return int(len(text.encode("utf-8", "surrogatepass")) / self.bytes_per_token) + 1 if text else 0


PER_MESSAGE = 4  # tokens of a chat template around each message
PER_PART = 512  # tokens taken for a part that is no text (an image, say)


@dataclass(frozen=True, slots=True)
class PromptShape:
    """A prompt as the router sees it, lengths in tokens."""

    prompt_tokens: int
    shared_prefix: str | None
    shared_tokens: int


def _content(content: object, estimator: Estimator) -> int:
    if isinstance(content, str):
        return estimator.count(content)
    total = 0
    for part in content if isinstance(content, list) else ():
        text = part.get("text") if isinstance(part, dict) else part
        total += estimator.count(text) if isinstance(text, str) else PER_PART
    return total


def hash_key(settings: Node) -> bytes:
    """The key of hashes: the settings' own, or one made of models and tenants' key hashes, so that all nodes with
    the same settings agree on it."""
    told = msgspec.json.encode([settings.hash_key, settings.models, [t.key_hashes for t in settings.tenants]])
    return hashlib.blake2b(settings.hash_key.encode() or told, digest_size=32).digest()


def describe_prompt(
    messages: Sequence[dict[str, Any]], tools: object, model: str, estimator: Estimator, key: bytes = b""
) -> PromptShape:
    """Length and shared beginning of a chat (leading system and developer messages, and tools), as a keyed hash."""
    digest = hashlib.blake2b(model.encode("utf-8", "surrogatepass"), key=key, digest_size=16)
    encode = msgspec.json.encode
    tool_text = encode(tools) if tools else b""
    shared = len(tool_text) // 4
    digest.update(tool_text)
    total, leading, any_leading = shared, True, bool(tools)
    for message in messages:
        tokens = PER_MESSAGE + _content(message.get("content"), estimator)
        if calls := message.get("tool_calls"):
            tokens += len(encode(calls)) // 4
        leading = leading and message.get("role") in LEADING
        if leading:
            digest.update(encode([message.get("role"), message.get("content")]))
            shared += tokens
            any_leading = True
        total += tokens
    if not any_leading:
        return PromptShape(total, None, 0)
    return PromptShape(total, digest.hexdigest(), shared)


def class_of(settings: Node, model: str, headers: Headers, prompt_tokens: int) -> int:
    """The class that the settings' rules give; the first class where none holds."""
    names = [c.name for c in settings.classes]
    for rule in settings.rules:
        if _holds(rule, model, headers, prompt_tokens):
            return names.index(rule.to)
    return 0


def _holds(rule: Rule, model: str, headers: Headers, prompt_tokens: int) -> bool:
    if rule.model and rule.model != model:
        return False
    if rule.header is not None and rule.header.value not in headers.all(rule.header.name.lower()):
        return False
    if prompt_tokens < rule.min_prompt_tokens:
        return False
    return not rule.max_prompt_tokens or prompt_tokens <= rule.max_prompt_tokens


def session_of(names: Iterable[object], tenant: int, key: bytes = b"") -> str:
    """The session by the first name given, kept apart by tenant; a keyed hash, so that no name leaves the front."""
    for name in names:
        if isinstance(name, str) and name:
            text = f"{tenant}/{name}".encode("utf-8", "surrogatepass")
            return hashlib.blake2b(text, key=key, digest_size=8).hexdigest()
    return ""


class BadTimeLeft(ValueError):
    """The time-left header is no whole number of milliseconds from 1 on."""


def time_left(settings: Node, class_index: int, headers: Headers, waited: int) -> int:
    """Nanoseconds the router has for a first token: what the client or the class allows, less what passed and
    the margin for the answer's way back.  Raises BadTimeLeft."""
    allowed = settings.classes[class_index].deadline_ms * MS
    text = headers.get(TIME_HEADER)
    if text:
        if not (text.isascii() and text.isdecimal()) or len(text) > 9 or int(text) < 1:
            raise BadTimeLeft(f"header {TIME_HEADER}: {text[:40]!r}; allowed: milliseconds from 1 to 999999999")
        allowed = min(allowed, int(text) * MS)
    margin = min(settings.timing.answer_margin_ms * MS, allowed // 4)
    return max(allowed - margin - waited, 0)
