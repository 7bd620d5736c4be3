"""Derives the router's view of a request, without I/O: class, session, shared prefix, prompt length, time left.

Prompt lengths are estimates of an :class:`TokenEstimator`; a tokenizer can implement that protocol.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from stonetrack.settings.schema import Node, Rule
from stonetrack.wire.http1 import Headers

MS = 1_000_000  # nanoseconds
PREFIX_ROLES = ("system", "developer")
SESSION_HEADER, TIME_HEADER, KEY_HEADER = "x-session-id", "x-time-left-ms", "idempotency-key"


class TokenEstimator(Protocol):
    """Estimates the length of a text in tokens."""

    def count(self, text: str) -> int:
        """Return the number of tokens, at least 0."""


class ByteEstimator:
    """Estimates by bytes of UTF-8 per token: about 4 in English prose, fewer in code and other scripts."""

    def __init__(self, bytes_per_token: float = 4.0) -> None:
        self.bytes_per_token = bytes_per_token

    def count(self, text: str) -> int:
        """Implement :class:`TokenEstimator`."""
        return int(len(text.encode("utf-8", "surrogatepass")) / self.bytes_per_token) + 1 if text else 0


TOKENS_PER_MESSAGE = 4  # added by a chat template
TOKENS_PER_NON_TEXT_PART = 512  # assumed, e.g. for an image


@dataclass(frozen=True, slots=True)
class PromptShape:
    """A prompt's length and shared prefix, lengths in tokens; ``shared_prefix`` is a keyed hash."""

    prompt_tokens: int
    shared_prefix: str | None
    shared_tokens: int


def _content_tokens(content: object, estimator: TokenEstimator) -> int:
    if isinstance(content, str):
        return estimator.count(content)
    total = 0
    for part in content if isinstance(content, list) else ():
        text = part.get("text") if isinstance(part, dict) else part
        total += estimator.count(text) if isinstance(text, str) else TOKENS_PER_NON_TEXT_PART
    return total


def hash_key(settings: Node) -> bytes:
    """Return the key of the hashes: that of the settings, or one derived from models and tenants' key hashes, so that
    all nodes with the same settings use the same key."""
    basis = msgspec.json.encode([settings.hash_key, settings.models, [t.key_hashes for t in settings.tenants]])
    return hashlib.blake2b(settings.hash_key.encode() or basis, digest_size=32).digest()


def describe_prompt(
    messages: Sequence[dict[str, Any]], tools: object, model: str, estimator: TokenEstimator, key: bytes = b""
) -> PromptShape:
    """Return a chat's length and shared prefix (tools, and leading system and developer messages)."""
    digest = hashlib.blake2b(model.encode("utf-8", "surrogatepass"), key=key, digest_size=16)
    encode = msgspec.json.encode
    tool_text = encode(tools) if tools else b""
    shared_tokens = len(tool_text) // 4
    digest.update(tool_text)
    prompt_tokens, in_prefix, has_prefix = shared_tokens, True, bool(tools)
    for message in messages:
        tokens = TOKENS_PER_MESSAGE + _content_tokens(message.get("content"), estimator)
        if calls := message.get("tool_calls"):
            tokens += len(encode(calls)) // 4
        in_prefix = in_prefix and message.get("role") in PREFIX_ROLES
        if in_prefix:
            digest.update(encode([message.get("role"), message.get("content")]))
            shared_tokens += tokens
            has_prefix = True
        prompt_tokens += tokens
    if not has_prefix:
        return PromptShape(prompt_tokens, None, 0)
    return PromptShape(prompt_tokens, digest.hexdigest(), shared_tokens)


def class_of(settings: Node, model: str, headers: Headers, prompt_tokens: int) -> int:
    """Return the index of the class of the first matching rule, 0 if no rule matches."""
    names = [c.name for c in settings.classes]
    for rule in settings.rules:
        if _matches(rule, model, headers, prompt_tokens):
            return names.index(rule.to)
    return 0


def _matches(rule: Rule, model: str, headers: Headers, prompt_tokens: int) -> bool:
    if rule.model and rule.model != model:
        return False
    if rule.header is not None and rule.header.value not in headers.all(rule.header.name.lower()):
        return False
    if prompt_tokens < rule.min_prompt_tokens:
        return False
    return not rule.max_prompt_tokens or prompt_tokens <= rule.max_prompt_tokens


def session_of(names: Iterable[object], tenant: int, key: bytes = b"") -> str:
    """Return a keyed hash of the tenant and the first non-empty name, "" if there is none.

    Hashing keeps the names of clients inside the frontend.
    """
    for name in names:
        if isinstance(name, str) and name:
            text = f"{tenant}/{name}".encode("utf-8", "surrogatepass")
            return hashlib.blake2b(text, key=key, digest_size=8).hexdigest()
    return ""


class BadTimeLeft(ValueError):
    """The time-left header is not a whole number of milliseconds from 1 to 999999999."""


def time_left(settings: Node, class_index: int, headers: Headers, elapsed: int) -> int:
    """Return the nanoseconds left for a first token.

    This is the lower of the client's and the class's limit, less the nanoseconds ``elapsed`` and a margin for the
    answer's way back.  Raises BadTimeLeft.
    """
    allowed = settings.classes[class_index].deadline_ms * MS
    text = headers.get(TIME_HEADER)
    if text:
        if not (text.isascii() and text.isdecimal()) or len(text) > 9 or int(text) < 1:
            raise BadTimeLeft(f"header {TIME_HEADER}: {text[:40]!r}; allowed: milliseconds from 1 to 999999999")
        allowed = min(allowed, int(text) * MS)
    margin = min(settings.timing.answer_margin_ms * MS, allowed // 4)
    return max(allowed - margin - elapsed, 0)
