"""Encodes answers of the chat API without I/O: parts in, chunks or one complete chat completion out.

An answer has one id and one role per choice; indices and finish reasons are the engine's.  The engine's own id and
model name never reach the client.
"""

from __future__ import annotations

from typing import Any

import msgspec

from stonetrack.node.ports import Choices

_encode = msgspec.json.Encoder().encode


class ChunkEncoder:
    """Encodes the chunks of one stream."""

    __slots__ = ("_head", "_include_usage", "_choices_with_role", "usage")

    def __init__(self, request_id: str, model: str, created: int, include_usage: bool) -> None:
        self._head = {"id": request_id, "object": "chat.completion.chunk", "created": created, "model": model}
        self._include_usage = include_usage
        self._choices_with_role: set[int] = set()
        self.usage: dict[str, Any] | None = None

    def encode(self, part: Choices) -> bytes:
        """Return the JSON chunk of one part, empty if the part holds nothing for the client."""
        if part.usage is not None:
            self.usage = part.usage
        if not part.choices:
            return b""  # the engine's usage chunk; :meth:`usage_chunk` makes the client's
        choices = []
        for choice in part.choices:
            delta = choice.get("delta")
            delta = dict(delta) if isinstance(delta, dict) else {}
            index = choice.get("index", 0)
            if index in self._choices_with_role:
                delta.pop("role", None)
            else:
                self._choices_with_role.add(index)
                delta.setdefault("role", "assistant")
            encoded = {"index": index, "delta": delta, "finish_reason": choice.get("finish_reason")}
            if choice.get("logprobs") is not None:
                encoded["logprobs"] = choice["logprobs"]
            choices.append(encoded)
        chunk: dict[str, Any] = {**self._head, **part.extra, "choices": choices}
        if self._include_usage:
            chunk["usage"] = None
        return _encode(chunk)

    def usage_chunk(self) -> bytes:
        """Return the usage chunk, empty if the client did not request it."""
        if not self._include_usage:
            return b""
        return _encode({**self._head, "choices": [], "usage": self.usage})


class CompletionBuilder:
    """Builds one chat completion from parts; ``size`` counts the characters held, for a bound on them."""

    __slots__ = ("_choices", "_extra", "_head", "size", "usage")

    def __init__(self, request_id: str, model: str, created: int) -> None:
        self._head = {"id": request_id, "object": "chat.completion", "created": created, "model": model}
        self._choices: dict[int, dict[str, Any]] = {}
        self._extra: dict[str, Any] = {}
        self.usage: dict[str, Any] | None = None
        self.size = 0

    def add(self, part: Choices) -> None:
        """Add one part."""
        if part.usage is not None:
            self.usage = part.usage
        self._extra.update(part.extra)
        for choice in part.choices:
            index = choice.get("index", 0)
            state = self._choices.setdefault(index, {"texts": {}, "calls": {}, "finish": None, "logprobs": None})
            delta = choice.get("delta")
            if isinstance(delta, dict):
                self._add_delta(state, delta)
            if choice.get("finish_reason") is not None:
                state["finish"] = choice["finish_reason"]
            if isinstance(logprobs := choice.get("logprobs"), dict):
                state["logprobs"] = _merge_logprobs(state["logprobs"], logprobs)

    def _add_delta(self, state: dict[str, Any], delta: dict[str, Any]) -> None:
        for name, value in delta.items():
            if name == "tool_calls" and isinstance(value, list):
                for call in value:
                    if isinstance(call, dict):
                        self._add_tool_call(state["calls"], call)
            elif name != "role" and isinstance(value, str):
                state["texts"].setdefault(name, []).append(value)
                self.size += len(value)
            elif name != "role" and value is not None:
                state["texts"][name] = value

    def _add_tool_call(self, tool_calls: dict[int, dict[str, Any]], fragment: dict[str, Any]) -> None:
        call = tool_calls.setdefault(
            fragment.get("index", 0), {"id": "", "type": "function", "name": "", "arguments": []}
        )
        call["id"] = fragment.get("id") or call["id"]
        call["type"] = fragment.get("type") or call["type"]
        function = fragment.get("function")
        if isinstance(function, dict):
            call["name"] += function.get("name") or ""
            text = function.get("arguments") or ""
            call["arguments"].append(text)
            self.size += len(text)

    def completion(self) -> dict[str, Any]:
        """Return the chat completion object."""
        choices = []
        for index, state in sorted(self._choices.items()):
            message: dict[str, Any] = {"role": "assistant", "content": None, "refusal": None}
            for name, value in state["texts"].items():
                message[name] = (
                    "".join(value)
                    if isinstance(value, list) and all(isinstance(part, str) for part in value)
                    else value
                )
            if state["calls"]:
                message["tool_calls"] = [
                    {
                        "id": call["id"],
                        "type": call["type"],
                        "function": {"name": call["name"], "arguments": "".join(call["arguments"])},
                    }
                    for _, call in sorted(state["calls"].items())
                ]
            choices.append(
                {"index": index, "message": message, "finish_reason": state["finish"], "logprobs": state["logprobs"]}
            )
        return {**self._head, **self._extra, "choices": choices, "usage": self.usage}


def _merge_logprobs(merged: dict[str, Any] | None, added: dict[str, Any]) -> dict[str, Any]:
    if merged is None:
        return {k: list(v) if isinstance(v, list) else v for k, v in added.items()}
    for name, value in added.items():
        if isinstance(value, list) and isinstance(merged.get(name), list):
            merged[name].extend(value)
        elif value is not None:
            merged[name] = value
    return merged
