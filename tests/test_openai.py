"""The unmodified public client against a node: whole and streamed answers, tools, usage, errors."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import openai
import pytest

from stonetrack.emulator import answers
from tests.harness import Harness, harness

MESSAGES = [{"role": "system", "content": "You know all chargers."}, {"role": "user", "content": "Where can I charge?"}]
TOOL = {"type": "function", "function": {"name": "find", "parameters": {"type": "object", "properties": {}}}}


@pytest.fixture(scope="module")
def node() -> Iterator[Harness]:
    with harness(2, 2) as running:
        yield running


@pytest.fixture
def client(node: Harness) -> Any:  # Any: its overloads are not checked here
    return openai.OpenAI(base_url=f"{node.url}/v1", api_key="any", max_retries=0, timeout=15)


def expected(node: Harness, messages: object, max_tokens: int = 0) -> str:
    """Return the emulators' answer to the messages."""
    spec = node.engines.fleet.engines[0]
    text = answers.prompt_text(messages)
    count, _ = answers.answer_length(node.engines.fleet.seed, text, spec.answer_least, spec.answer_most, max_tokens)
    return "".join(answers.answer_tokens(node.engines.fleet.seed, text, count))


def test_a_whole_completion(node: Harness, client: Any) -> None:
    completion = client.chat.completions.create(model="demo", messages=MESSAGES)
    assert (
        completion.object == "chat.completion" and completion.model == "demo" and completion.id.startswith("chatcmpl-")
    )
    assert completion.choices[0].message.content == expected(node, MESSAGES)
    assert completion.choices[0].message.role == "assistant" and completion.choices[0].finish_reason == "stop"
    assert completion.usage.total_tokens == completion.usage.prompt_tokens + completion.usage.completion_tokens > 0


def test_a_streamed_completion_with_usage(node: Harness, client: Any) -> None:
    stream = client.chat.completions.create(
        model="demo", messages=MESSAGES, stream=True, max_tokens=3, stream_options={"include_usage": True}
    )
    chunks = list(stream)
    assert len({chunk.id for chunk in chunks}) == 1
    with_choices = [chunk for chunk in chunks if chunk.choices]
    assert [c.choices[0].delta.role for c in with_choices].count("assistant") == 1
    assert "".join(c.choices[0].delta.content or "" for c in with_choices) == expected(node, MESSAGES, 3)
    assert [c.choices[0].finish_reason for c in with_choices if c.choices[0].finish_reason] == ["length"]
    assert chunks[-1].usage is not None and chunks[-1].usage.completion_tokens == 3
    assert all(chunk.usage is None for chunk in chunks[:-1])


def test_a_stream_without_include_usage_has_no_usage(client: Any) -> None:
    chunks = list(client.chat.completions.create(model="demo", messages=MESSAGES, stream=True))
    assert all(chunk.choices and chunk.usage is None for chunk in chunks)


def test_a_tool_call_streamed_and_whole(client: Any) -> None:
    arguments = {"model": "demo", "messages": MESSAGES, "tools": [TOOL], "tool_choice": "required"}
    whole = client.chat.completions.create(**arguments)
    (call,) = whole.choices[0].message.tool_calls
    assert call.function.name == "find" and call.function.arguments == '{"place": "Nadi"}'
    assert whole.choices[0].finish_reason == "tool_calls"
    fragments = [
        c.choices[0].delta.tool_calls[0]
        for c in client.chat.completions.create(**arguments, stream=True)
        if c.choices and c.choices[0].delta.tool_calls
    ]
    assert "".join(fragment.function.arguments or "" for fragment in fragments) == '{"place": "Nadi"}'
    assert fragments[0].id == call.id


def test_several_choices_and_logprobs(client: Any) -> None:
    completion = client.chat.completions.create(
        model="demo", messages=MESSAGES, n=2, logprobs=True, max_completion_tokens=4
    )
    assert [choice.index for choice in completion.choices] == [0, 1]
    for choice in completion.choices:
        assert len(choice.logprobs.content) == 4
        assert "".join(token.token for token in choice.logprobs.content) == choice.message.content


def test_models(client: Any) -> None:
    assert [model.id for model in client.models.list()] == ["demo"]
    assert client.models.retrieve("demo").id == "demo"


def test_errors_have_the_public_form(client: Any) -> None:
    with pytest.raises(openai.NotFoundError) as missing:
        client.chat.completions.create(model="other", messages=MESSAGES)
    assert missing.value.code == "model_not_found" and missing.value.param == "model"
    with pytest.raises(openai.BadRequestError) as invalid:
        client.chat.completions.create(model="demo", messages=MESSAGES, temperature=9)
    assert invalid.value.param == "temperature"


def test_api_keys_are_required_without_any_key() -> None:
    from stonetrack.frontend.auth import key_hash

    with harness(
        1, 1, settings={"any_key": False, "tenants": [{"name": "t", "key_hashes": [key_hash("right")]}]}
    ) as node:
        with pytest.raises(openai.AuthenticationError) as rejected:
            openai.OpenAI(base_url=f"{node.url}/v1", api_key="wrong", max_retries=0).models.list()
        assert rejected.value.code == "invalid_api_key"
        assert list(openai.OpenAI(base_url=f"{node.url}/v1", api_key="right", max_retries=0).models.list())


def test_unknown_fields_do_not_fail_the_request(node: Harness, client: Any) -> None:
    completion = client.chat.completions.create(
        model="demo", messages=MESSAGES, extra_body={"top_k": 4, "metadata": {"a": "b"}}
    )
    assert completion.choices[0].message.content == expected(node, MESSAGES)
