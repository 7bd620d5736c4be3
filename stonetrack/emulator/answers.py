"""The answers of the emulated engines: the same words for the same prompt and seed on every engine.

So a test can compute the expected answer.  The formats are those of the public chat API.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

_WORDS = (
    "charge",
    "point",
    "near",
    "the",
    "bridge",
    "has",
    "two",
    "free",
    "stands",
    "and",
    "a",
    "café",
    "open",
    "till",
    "nine",
    "take",
    "road",
    "north",
    "past",
    "mill",
    "then",
    "left",
    "—",
    "slow",
    "one",
    "by",
    "harbour",
    "is",
    "out",
    "of",
    "order",
    "today",
)
_encode = msgspec.json.encode


def stable_hash(*parts: object) -> int:
    """A stable 64-bit hash of some values."""
    return xxhash.xxh3_64_intdigest("\x1f".join(map(str, parts)).encode("utf-8", "surrogatepass"))


def prompt_text(messages: object) -> str:
    """The text of a chat from which the answer is derived."""
    return _encode(messages).decode()


def prompt_tokens(messages: object, tools: object = None) -> int:
    """The length of a prompt in tokens of four bytes."""
    return (len(_encode(messages)) + (len(_encode(tools)) if tools else 0)) // 4 + 1


def answer_tokens(seed: int, prompt: str, count: int) -> list[str]:
    """The tokens of an answer."""
    start = stable_hash(seed, prompt)
    return [("" if n == 0 else " ") + _WORDS[stable_hash(start, n) % len(_WORDS)] for n in range(count)]


def answer_length(seed: int, prompt: str, minimum: int, maximum: int, allowed: int) -> tuple[int, str]:
    """The length of an answer in tokens and its finish reason."""
    token_count = minimum + stable_hash(seed, "length", prompt) % max(maximum - minimum + 1, 1)
    return (token_count, "stop") if not allowed or token_count <= allowed else (allowed, "length")


@dataclass
class Answer:
    """One answer, sent in chunks: :meth:`next_events` returns the data of the next events."""

    request: str
    model: str
    prompt: int
    cached: int
    body: dict[str, Any]
    texts: list[str]
    finish: str
    created: int = 0
    position: int = 0
    calls: list[dict[str, Any]] = field(default_factory=list)

    @property
    def step_count(self) -> int:
        """The number of steps that produce tokens."""
        return len(self.calls) if self.calls else len(self.texts)

    def _chunk(self, choices: list[dict[str, Any]], usage: dict[str, Any] | None = None) -> bytes:
        chunk: dict[str, Any] = {
            "id": f"engine-{self.request}",
            "object": "chat.completion.chunk",
            "created": self.created,
            "model": self.model,
            "choices": choices,
        }
        if usage is not None or (self.body.get("stream_options") or {}).get("include_usage"):
            chunk["usage"] = usage
        return _encode(chunk)

    def _choices(self, delta: dict[str, Any], finish: str | None, token: str | None = None) -> list[dict[str, Any]]:
        choices = []
        for index in range(int(self.body.get("n") or 1)):
            choice: dict[str, Any] = {"index": index, "delta": delta, "finish_reason": finish}
            if token is not None and self.body.get("logprobs"):
                choice["logprobs"] = {
                    "content": [{"token": token, "logprob": -0.25, "bytes": list(token.encode()), "top_logprobs": []}]
                }
            choices.append(choice)
        return choices

    def next_events(self) -> list[bytes]:
        """The events of the next step; the last one adds the finish reason, the usage and ``[DONE]``."""
        n, self.position = self.position, self.position + 1
        events = []
        if n == 0:
            events.append(self._chunk(self._choices({"role": "assistant", "content": ""}, None)))
        if n < self.step_count:
            if self.calls:
                events.append(self._chunk(self._choices({"tool_calls": [self.calls[n]]}, None)))
            else:
                events.append(self._chunk(self._choices({"content": self.texts[n]}, None, self.texts[n])))
        if n + 1 >= self.step_count:
            events.append(self._chunk(self._choices({}, "tool_calls" if self.calls else self.finish)))
            if (self.body.get("stream_options") or {}).get("include_usage"):
                events.append(self._chunk([], self.usage()))
            events.append(b"[DONE]")
        return events

    def usage(self) -> dict[str, Any]:
        """Token counts, including cached tokens."""
        completion_tokens = self.step_count * int(self.body.get("n") or 1)
        return {
            "prompt_tokens": self.prompt,
            "completion_tokens": completion_tokens,
            "total_tokens": self.prompt + completion_tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached},
        }

    def text(self) -> str:
        """The whole text."""
        return "".join(self.texts)


def tool_calls(body: dict[str, Any]) -> list[dict[str, Any]]:
    """The fragments of a call of the first tool, if the request requires a call."""
    tools, choice = body.get("tools"), body.get("tool_choice")
    if not isinstance(tools, list) or not tools or not (choice == "required" or isinstance(choice, dict)):
        return []
    function = tools[0].get("function") or {}
    head = {
        "index": 0,
        "id": "call_0",
        "type": "function",
        "function": {"name": function.get("name", "f"), "arguments": ""},
    }
    fragments = ['{"pl', 'ace": "N', 'adi"}']
    return [head, *({"index": 0, "function": {"arguments": fragment}} for fragment in fragments)]


def make_answer(
    seed: int, request: str, body: dict[str, Any], prompt: int, cached: int, minimum: int, maximum: int
) -> Answer:
    """The answer to a request."""
    text = prompt_text(body.get("messages"))
    allowed = body.get("max_completion_tokens") or body.get("max_tokens") or 0
    count, finish = answer_length(seed, text, minimum, maximum, int(allowed))
    return Answer(
        request,
        str(body.get("model", "")),
        prompt,
        cached,
        body,
        answer_tokens(seed, text, count),
        finish,
        calls=tool_calls(body),
    )
