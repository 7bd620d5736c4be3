"""What a stand-in answers: the same words for the same prompt and seed, whoever is asked.

A judge can so say what the whole answer must be.  Forms are those of the public chat API.
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


def mix(*parts: object) -> int:
    """A stable 64-bit number for some values."""
    return xxhash.xxh3_64_intdigest("\x1f".join(map(str, parts)).encode("utf-8", "surrogatepass"))


def prompt_text(messages: object) -> str:
    """The text of a chat, as far as it matters for the answer."""
    return _encode(messages).decode()


def prompt_tokens(messages: object, tools: object = None) -> int:
    """A prompt's length: four bytes a token."""
    return (len(_encode(messages)) + (len(_encode(tools)) if tools else 0)) // 4 + 1


def words(seed: int, prompt: str, count: int) -> list[str]:
    """An answer's tokens."""
    start = mix(seed, prompt)
    return [("" if n == 0 else " ") + _WORDS[mix(start, n) % len(_WORDS)] for n in range(count)]


def length(seed: int, prompt: str, least: int, most: int, allowed: int) -> tuple[int, str]:
    """An answer's length in tokens and why it ends."""
    wanted = least + mix(seed, "length", prompt) % max(most - least + 1, 1)
    return (wanted, "stop") if not allowed or wanted <= allowed else (allowed, "length")


@dataclass
class Answer:
    """One answer, to be given in chunks: ``step`` gives the next events' data, None at its end."""

    request: str
    model: str
    prompt: int
    cached: int
    body: dict[str, Any]
    texts: list[str]
    finish: str
    created: int = 0
    place: int = 0
    calls: list[dict[str, Any]] = field(default_factory=list)

    @property
    def steps(self) -> int:
        """How many steps produce tokens."""
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

    def _each(self, delta: dict[str, Any], finish: str | None, token: str | None = None) -> list[dict[str, Any]]:
        choices = []
        for index in range(int(self.body.get("n") or 1)):
            choice: dict[str, Any] = {"index": index, "delta": delta, "finish_reason": finish}
            if token is not None and self.body.get("logprobs"):
                choice["logprobs"] = {
                    "content": [{"token": token, "logprob": -0.25, "bytes": list(token.encode()), "top_logprobs": []}]
                }
            choices.append(choice)
        return choices

    def step(self) -> list[bytes]:
        """The next step's events; after the last token the end, the usage and ``[DONE]``."""
        n, self.place = self.place, self.place + 1
        events = []
        if n == 0:
            events.append(self._chunk(self._each({"role": "assistant", "content": ""}, None)))
        if n < self.steps:
            if self.calls:
                events.append(self._chunk(self._each({"tool_calls": [self.calls[n]]}, None)))
            else:
                events.append(self._chunk(self._each({"content": self.texts[n]}, None, self.texts[n])))
        if n + 1 >= self.steps:
            events.append(self._chunk(self._each({}, "tool_calls" if self.calls else self.finish)))
            if (self.body.get("stream_options") or {}).get("include_usage"):
                events.append(self._chunk([], self.usage()))
            events.append(b"[DONE]")
        return events

    def usage(self) -> dict[str, Any]:
        """Token counts, those kept included."""
        answered = self.steps * int(self.body.get("n") or 1)
        return {
            "prompt_tokens": self.prompt,
            "completion_tokens": answered,
            "total_tokens": self.prompt + answered,
            "prompt_tokens_details": {"cached_tokens": self.cached},
        }

    def text(self) -> str:
        """The whole text."""
        return "".join(self.texts)


def tool_calls(body: dict[str, Any]) -> list[dict[str, Any]]:
    """The pieces of a call of the first tool, where the request demands one."""
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
    pieces = ['{"pl', 'ace": "N', 'adi"}']
    return [head, *({"index": 0, "function": {"arguments": piece}} for piece in pieces)]


def make(seed: int, request: str, body: dict[str, Any], prompt: int, cached: int, least: int, most: int) -> Answer:
    """The answer to a request."""
    text = prompt_text(body.get("messages"))
    allowed = body.get("max_completion_tokens") or body.get("max_tokens") or 0
    count, finish = length(seed, text, least, most, int(allowed))
    return Answer(
        request,
        str(body.get("model", "")),
        prompt,
        cached,
        body,
        words(seed, text, count),
        finish,
        calls=tool_calls(body),
    )
