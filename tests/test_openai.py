"""The public client, unmodified, against a node: plain, streamed, tools, usage, errors."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import openai
import pytest

from stonetrack.emulator import answers
from tests.harness import Harness, harness

ASKED = [{"role": "system", "content": "You know all chargers."}, {"role": "user", "content": "Where can I charge?"}]
TOOL = {"type": "function", "function": {"name": "find", "parameters": {"type": "object", "properties": {}}}}


@pytest.fixture(scope="module")
def node() -> Iterator[Harness]:
    with harness(2, 2) as running:
        yield running


@pytest.fixture
def client(node: Harness) -> Any:  # its overloads are no concern here
    return openai.OpenAI(base_url=f"{node.url}/v1", api_key="any", max_retries=0, timeout=15)


def expected(node: Harness, messages: object, most: int = 0) -> str:
    """What the stand-ins say to this."""
    spec = node.engines.fleet.engines[0]
    text = answers.prompt_text(messages)
    count, _ = answers.length(node.engines.fleet.seed, text, spec.answer_least, spec.answer_most, most)
    return "".join(answers.words(node.engines.fleet.seed, text, count))


def test_a_plain_completion(node: Harness, client: Any) -> None:
    got = client.chat.completions.create(model="demo", messages=ASKED)
    assert got.object == "chat.completion" and got.model == "demo" and got.id.startswith("chatcmpl-")
    assert got.choices[0].message.content == expected(node, ASKED)
    assert got.choices[0].message.role == "assistant" and got.choices[0].finish_reason == "stop"
    assert got.usage.total_tokens == got.usage.prompt_tokens + got.usage.completion_tokens > 0


def test_a_streamed_completion_with_usage(node: Harness, client: Any) -> None:
    stream = client.chat.completions.create(
        model="demo", messages=ASKED, stream=True, max_tokens=3, stream_options={"include_usage": True}
    )
    chunks = list(stream)
    assert len({chunk.id for chunk in chunks}) == 1
    with_choices = [chunk for chunk in chunks if chunk.choices]
    assert [c.choices[0].delta.role for c in with_choices].count("assistant") == 1
    assert "".join(c.choices[0].delta.content or "" for c in with_choices) == expected(node, ASKED, 3)
    assert [c.choices[0].finish_reason for c in with_choices if c.choices[0].finish_reason] == ["length"]
    assert chunks[-1].usage is not None and chunks[-1].usage.completion_tokens == 3
    assert all(chunk.usage is None for chunk in chunks[:-1])


def test_usage_stays_out_where_it_was_not_asked_for(client: Any) -> None:
    chunks = list(client.chat.completions.create(model="demo", messages=ASKED, stream=True))
    assert all(chunk.choices and chunk.usage is None for chunk in chunks)


def test_a_tool_call_streamed_and_plain(client: Any) -> None:
    more = {"model": "demo", "messages": ASKED, "tools": [TOOL], "tool_choice": "required"}
    plain = client.chat.completions.create(**more)
    (call,) = plain.choices[0].message.tool_calls
    assert call.function.name == "find" and call.function.arguments == '{"place": "Nadi"}'
    assert plain.choices[0].finish_reason == "tool_calls"
    parts = [
        c.choices[0].delta.tool_calls[0]
        for c in client.chat.completions.create(**more, stream=True)
        if c.choices and c.choices[0].delta.tool_calls
    ]
    assert "".join(p.function.arguments or "" for p in parts) == '{"place": "Nadi"}'
    assert parts[0].id == call.id


def test_several_choices_and_logprobs(client: Any) -> None:
    got = client.chat.completions.create(model="demo", messages=ASKED, n=2, logprobs=True, max_completion_tokens=4)
    assert [choice.index for choice in got.choices] == [0, 1]
    for choice in got.choices:
        assert len(choice.logprobs.content) == 4
        assert "".join(t.token for t in choice.logprobs.content) == choice.message.content


def test_models(client: Any) -> None:
    assert [model.id for model in client.models.list()] == ["demo"]
    assert client.models.retrieve("demo").id == "demo"


def test_errors_are_the_public_ones(client: Any) -> None:
    with pytest.raises(openai.NotFoundError) as missing:
        client.chat.completions.create(model="other", messages=ASKED)
    assert missing.value.code == "model_not_found" and missing.value.param == "model"
    with pytest.raises(openai.BadRequestError) as wrong:
        client.chat.completions.create(model="demo", messages=ASKED, temperature=9)
    assert wrong.value.param == "temperature"


def test_keys_are_needed_where_settings_say_so() -> None:
    from stonetrack.frontend.auth import key_hash

    with harness(
        1, 1, settings={"any_key": False, "tenants": [{"name": "t", "key_hashes": [key_hash("right")]}]}
    ) as node:
        with pytest.raises(openai.AuthenticationError) as refused:
            openai.OpenAI(base_url=f"{node.url}/v1", api_key="wrong", max_retries=0).models.list()
        assert refused.value.code == "invalid_api_key"
        assert list(openai.OpenAI(base_url=f"{node.url}/v1", api_key="right", max_retries=0).models.list())


def test_fields_that_are_not_known_reach_the_engine(node: Harness, client: Any) -> None:
    got = client.chat.completions.create(model="demo", messages=ASKED, extra_body={"top_k": 4, "metadata": {"a": "b"}})
    assert got.choices[0].message.content == expected(node, ASKED)
