"""Answers of the chat API without I/O: pieces in, chunks or one whole completion out.

One id, one role for each choice, indices and finish reasons as the engine gave them; the engine's own id and model
name never reach the client.
"""

from __future__ import annotations

from typing import Any

import msgspec

from stonetrack.node.ports import Choices

_encode = msgspec.json.Encoder().encode


class Chunks:
    """Writes one stream's chunks."""

    __slots__ = ("_head", "_include_usage", "_roles", "usage")

    def __init__(self, request: str, model: str, created: int, include_usage: bool) -> None:
        self._head = {"id": request, "object": "chat.completion.chunk", "created": created, "model": model}
        self._include_usage = include_usage
        self._roles: set[int] = set()
        self.usage: dict[str, Any] | None = None

    def chunk(self, piece: Choices) -> bytes:
        """The JSON of one piece's chunk, empty where it has nothing for the client."""
        if piece.usage is not None:
            self.usage = piece.usage
        if not piece.choices:
            return b""  # the engine's usage chunk; ours comes at the end
        choices = []
        for choice in piece.choices:
            delta = choice.get("delta")
            delta = dict(delta) if isinstance(delta, dict) else {}
            index = choice.get("index", 0)
            if index in self._roles:
                delta.pop("role", None)
            else:
                self._roles.add(index)
                delta.setdefault("role", "assistant")
            given = {"index": index, "delta": delta, "finish_reason": choice.get("finish_reason")}
            if choice.get("logprobs") is not None:
                given["logprobs"] = choice["logprobs"]
            choices.append(given)
        chunk: dict[str, Any] = {**self._head, **piece.extra, "choices": choices}
        if self._include_usage:
            chunk["usage"] = None
        return _encode(chunk)

    def last(self) -> bytes:
        """The usage chunk, empty where none was asked for."""
        if not self._include_usage:
            return b""
        return _encode({**self._head, "choices": [], "usage": self.usage})


class Whole:
    """Puts one completion together; ``size`` counts the bytes kept, for a bound on them."""

    __slots__ = ("_choices", "_extra", "_head", "size", "usage")

    def __init__(self, request: str, model: str, created: int) -> None:
        self._head = {"id": request, "object": "chat.completion", "created": created, "model": model}
        self._choices: dict[int, dict[str, Any]] = {}
        self._extra: dict[str, Any] = {}
        self.usage: dict[str, Any] | None = None
        self.size = 0

    def add(self, piece: Choices) -> None:
        """Take one piece."""
        if piece.usage is not None:
            self.usage = piece.usage
        self._extra.update(piece.extra)
        for choice in piece.choices:
            index = choice.get("index", 0)
            kept = self._choices.setdefault(index, {"texts": {}, "calls": {}, "finish": None, "logprobs": None})
            delta = choice.get("delta")
            if isinstance(delta, dict):
                self._delta(kept, delta)
            if choice.get("finish_reason") is not None:
                kept["finish"] = choice["finish_reason"]
            if isinstance(probs := choice.get("logprobs"), dict):
                kept["logprobs"] = _joined(kept["logprobs"], probs)

    def _delta(self, kept: dict[str, Any], delta: dict[str, Any]) -> None:
        for name, value in delta.items():
            if name == "tool_calls" and isinstance(value, list):
                for call in value:
                    if isinstance(call, dict):
                        self._call(kept["calls"], call)
            elif name != "role" and isinstance(value, str):
                kept["texts"].setdefault(name, []).append(value)
                self.size += len(value)
            elif name != "role" and value is not None:
                kept["texts"][name] = value

    def _call(self, calls: dict[int, dict[str, Any]], part: dict[str, Any]) -> None:
        call = calls.setdefault(part.get("index", 0), {"id": "", "type": "function", "name": "", "arguments": []})
        call["id"] = part.get("id") or call["id"]
        call["type"] = part.get("type") or call["type"]
        function = part.get("function")
        if isinstance(function, dict):
            call["name"] += function.get("name") or ""
            text = function.get("arguments") or ""
            call["arguments"].append(text)
            self.size += len(text)

    def completion(self) -> dict[str, Any]:
        """The whole answer."""
        choices = []
        for index, kept in sorted(self._choices.items()):
            message: dict[str, Any] = {"role": "assistant", "content": None, "refusal": None}
            for name, value in kept["texts"].items():
                message[name] = (
                    "".join(value)
                    if isinstance(value, list) and all(isinstance(part, str) for part in value)
                    else value
                )
            if kept["calls"]:
                message["tool_calls"] = [
                    {
                        "id": call["id"],
                        "type": call["type"],
                        "function": {"name": call["name"], "arguments": "".join(call["arguments"])},
                    }
                    for _, call in sorted(kept["calls"].items())
                ]
            choices.append(
                {"index": index, "message": message, "finish_reason": kept["finish"], "logprobs": kept["logprobs"]}
            )
        return {**self._head, **self._extra, "choices": choices, "usage": self.usage}


def _joined(before: dict[str, Any] | None, more: dict[str, Any]) -> dict[str, Any]:
    if before is None:
        return {k: list(v) if isinstance(v, list) else v for k, v in more.items()}
    for name, value in more.items():
        if isinstance(value, list) and isinstance(before.get(name), list):
            before[name].extend(value)
        elif value is not None:
            before[name] = value
    return before
