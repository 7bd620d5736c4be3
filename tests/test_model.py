"""The YANG model: written from the types, clean, and refusing what half-matches it at every leaf."""

from __future__ import annotations

import copy
import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from stonetrack.manage import yang
from stonetrack.manage.datastore import Refused
from stonetrack.manage.model import MODULES, Model
from stonetrack.settings import load, parse
from stonetrack.settings.schema import Node
from tests.harness import raw_settings

RULE = {"to": "chat", "header": {"name": "x-fast", "value": "1"}, "min_prompt_tokens": 5}
TENANT = {"name": "t", "quota_per_second": 2.5, "key_hashes": ["sha256:" + "0" * 64]}
DEMO = Path(__file__).parent.parent / "stonetrack" / "cli" / "demo.jsonnet"


def full() -> Node:
    """Settings in which every field stands."""
    return parse(json.dumps(raw_settings("http://127.0.0.1:1/", rules=[RULE], tenants=[TENANT])))


@pytest.fixture(scope="module")
def model() -> Model:
    return Model()


def test_the_module_is_what_the_types_say() -> None:
    found = (MODULES / "stonetrack.yang").read_text("utf-8")
    assert found == yang.module_text(), "write it anew: stonetrack.manage.yang.module_text()"


def test_pyang_finds_nothing_to_say() -> None:
    done = subprocess.run([sys.executable, "-m", "pyang", "--strict", "--canonical", str(MODULES / "stonetrack.yang")],
                          capture_output=True, text=True)  # fmt: skip
    assert done.returncode == 0 and not done.stderr.strip(), done.stderr


def test_settings_come_back_as_they_were(model: Model) -> None:
    variables = {"list_url": "http://127.0.0.1:1/", "port": "0", "state_dir": ""}
    for settings in (full(), load(DEMO, variables)):
        instance = yang.to_instance(settings)
        assert model.settings(json.loads(json.dumps(instance))) == settings


def leaves(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    if isinstance(value, dict):
        for name, each in value.items():
            yield from leaves(each, (*path, name))
    elif isinstance(value, list):
        for n, each in enumerate(value):
            yield from leaves(each, (*path, n))
    else:
        yield path


def put(instance: Any, path: tuple[Any, ...], value: Any) -> Any:
    made = copy.deepcopy(instance)
    at = made
    for part in path[:-1]:
        at = at[part]
    at[path[-1]] = value
    return made


def test_a_wrong_value_at_every_leaf_is_refused_whole(model: Model) -> None:
    instance = yang.to_instance(full())
    paths = list(leaves(instance))
    assert len(paths) > 90
    text = {"to", "name", "value", "engine-name", "owned-by", "url", "file", "host", "dir", "state-dir", "hash-key"}
    text |= {"model", "key-hash"}
    for path in paths:
        wrong: list[Any] = [{"x": 1}, [[]], None]
        if path[-1] not in text and not (isinstance(path[-1], int) and path[-2] in text):
            wrong += ["no such value", "-1", -1]
        for value in wrong:
            with pytest.raises(Refused):
                model.settings(put(instance, path, value))
        with pytest.raises(Refused):  # a name that is not there, beside it
            beside = path[:-1] if not isinstance(path[-1], int) else path[:-2]
            model.settings(put(instance, (*beside, "no-such-leaf"), 1))
    assert model.settings(instance) == full()


def test_every_bound_of_the_types_is_a_bound_of_the_model(model: Model) -> None:
    instance = yang.to_instance(full())
    tried = 0

    def walk(kind: Any, path: tuple[Any, ...], value: Any) -> None:
        nonlocal tried
        match kind:
            case msgspec.inspect.StructType(fields=fields):
                for field in fields:
                    name = yang.leaf_name(field.encode_name)
                    if isinstance(value, dict) and name in value:
                        walk(field.type, (*path, name), value[name])
            case msgspec.inspect.VarTupleType(item_type=inner):
                for n, each in enumerate(value):
                    walk(inner, (*path, n), each)
            case msgspec.inspect.IntType(ge=low, le=high):
                for bad in ([low - 1] if low is not None else []) + ([high + 1] if high is not None else []):
                    with pytest.raises(Refused):
                        model.settings(put(instance, path, str(bad) if isinstance(value, str) else bad))
                    tried += 1
            case msgspec.inspect.FloatType(ge=least, gt=above, le=most):
                bads = [least - 0.5 if least is not None else above, most + 0.5 if most is not None else None]
                for value_off in [each for each in bads if each is not None]:
                    with pytest.raises(Refused):
                        model.settings(put(instance, path, f"{float(value_off):.6f}"))
                    tried += 1

    walk(msgspec.inspect.type_info(Node), ("stonetrack:router",), instance["stonetrack:router"])
    assert tried > 80


@pytest.mark.parametrize(
    ("path", "value", "said"),
    [
        (("class", 0, "deadline-ms"), 100, "deadline"),
        (("source", "file"), "/also", "either file or url"),
        (("rule", 0, "max-prompt-tokens"), "2", "wrong way round"),
        (("rule", 0, "to"), "nobody", "nobody"),
        (("class",), [], "class"),
    ],
)
def test_what_must_fit_together_is_refused_by_name(model: Model, path: tuple[Any, ...], value: Any, said: str) -> None:
    with pytest.raises(Refused) as caught:
        model.settings(put(yang.to_instance(full()), ("stonetrack:router", *path), value))
    assert said in str(caught.value)


@pytest.mark.parametrize(
    "data", [None, 1, [], {}, {"other:router": {}}, {"stonetrack:router": []}, {"stonetrack:router": {}}]
)
def test_what_is_no_configuration_is_refused(model: Model, data: Any) -> None:
    with pytest.raises(Refused):
        model.settings(data)
