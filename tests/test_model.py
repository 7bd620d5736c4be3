"""The YANG model: generated from the types, accepted by pyang, and rejecting an invalid value at every leaf."""

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
from stonetrack.manage.datastore import ConfigRejected
from stonetrack.manage.model import MODULES_DIR, Model
from stonetrack.settings import load, parse
from stonetrack.settings.schema import Node
from tests.harness import raw_settings

RULE = {"to": "chat", "header": {"name": "x-fast", "value": "1"}, "min_prompt_tokens": 5}
TENANT = {"name": "t", "quota_per_second": 2.5, "key_hashes": ["sha256:" + "0" * 64]}
DEMO = Path(__file__).parent.parent / "stonetrack" / "cli" / "demo.jsonnet"


def full_settings() -> Node:
    """Settings with every field present."""
    return parse(json.dumps(raw_settings("http://127.0.0.1:1/", rules=[RULE], tenants=[TENANT])))


@pytest.fixture(scope="module")
def model() -> Model:
    return Model()


def test_the_module_file_matches_the_generated_text() -> None:
    found = (MODULES_DIR / "stonetrack.yang").read_text("utf-8")
    assert found == yang.module_text(), "regenerate it with stonetrack.manage.yang.module_text()"


def test_pyang_reports_no_problems() -> None:
    completed = subprocess.run([sys.executable, "-m", "pyang", "--strict", "--canonical",
                           str(MODULES_DIR / "stonetrack.yang")],
                          capture_output=True, text=True)  # fmt: skip
    assert completed.returncode == 0 and not completed.stderr.strip(), completed.stderr


def test_settings_round_trip_through_instance_data(model: Model) -> None:
    variables = {"list_url": "http://127.0.0.1:1/", "port": "0", "state_dir": ""}
    for settings in (full_settings(), load(DEMO, variables)):
        instance = yang.to_instance(settings)
        assert model.parse_settings(json.loads(json.dumps(instance))) == settings


def leaf_paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    if isinstance(value, dict):
        for name, each in value.items():
            yield from leaf_paths(each, (*path, name))
    elif isinstance(value, list):
        for n, each in enumerate(value):
            yield from leaf_paths(each, (*path, n))
    else:
        yield path


def with_value(instance: Any, path: tuple[Any, ...], value: Any) -> Any:
    updated = copy.deepcopy(instance)
    parent = updated
    for part in path[:-1]:
        parent = parent[part]
    parent[path[-1]] = value
    return updated


def test_an_invalid_value_is_rejected_at_every_leaf(model: Model) -> None:
    instance = yang.to_instance(full_settings())
    paths = list(leaf_paths(instance))
    assert len(paths) > 90
    text = {"to", "name", "value", "engine-name", "owned-by", "url", "file", "host", "dir", "state-dir", "hash-key"}
    text |= {"model", "key-hash"}
    for path in paths:
        wrong: list[Any] = [{"x": 1}, [[]], None]
        if path[-1] not in text and not (isinstance(path[-1], int) and path[-2] in text):
            wrong += ["no such value", "-1", -1]
        for value in wrong:
            with pytest.raises(ConfigRejected):
                model.parse_settings(with_value(instance, path, value))
        with pytest.raises(ConfigRejected):  # an unknown name in the same parent
            parent_path = path[:-1] if not isinstance(path[-1], int) else path[:-2]
            model.parse_settings(with_value(instance, (*parent_path, "no-such-leaf"), 1))
    assert model.parse_settings(instance) == full_settings()


def test_the_model_enforces_every_bound_of_the_types(model: Model) -> None:
    instance = yang.to_instance(full_settings())
    checked = 0

    def check_bounds(kind: Any, path: tuple[Any, ...], value: Any) -> None:
        nonlocal checked
        match kind:
            case msgspec.inspect.StructType(fields=fields):
                for field in fields:
                    name = yang.leaf_name(field.encode_name)
                    if isinstance(value, dict) and name in value:
                        check_bounds(field.type, (*path, name), value[name])
            case msgspec.inspect.VarTupleType(item_type=inner):
                for n, each in enumerate(value):
                    check_bounds(inner, (*path, n), each)
            case msgspec.inspect.IntType(ge=low, le=high):
                for invalid in ([low - 1] if low is not None else []) + ([high + 1] if high is not None else []):
                    with pytest.raises(ConfigRejected):
                        model.parse_settings(
                            with_value(instance, path, str(invalid) if isinstance(value, str) else invalid)
                        )
                    checked += 1
            case msgspec.inspect.FloatType(ge=minimum, gt=exclusive_minimum, le=maximum):
                invalid_values = [
                    minimum - 0.5 if minimum is not None else exclusive_minimum,
                    maximum + 0.5 if maximum is not None else None,
                ]
                for invalid_float in [each for each in invalid_values if each is not None]:
                    with pytest.raises(ConfigRejected):
                        model.parse_settings(with_value(instance, path, f"{float(invalid_float):.6f}"))
                    checked += 1

    check_bounds(msgspec.inspect.type_info(Node), ("stonetrack:router",), instance["stonetrack:router"])
    assert checked > 80


@pytest.mark.parametrize(
    ("path", "value", "expected_text"),
    [
        (("class", 0, "deadline-ms"), 100, "deadline"),
        (("source", "file"), "/also", "either file or url"),
        (("rule", 0, "max-prompt-tokens"), "2", "wrong way round"),
        (("rule", 0, "to"), "nobody", "nobody"),
        (("class",), [], "class"),
    ],
)
def test_constraints_between_leaves_are_rejected_with_their_message(
    model: Model, path: tuple[Any, ...], value: Any, expected_text: str
) -> None:
    with pytest.raises(ConfigRejected) as caught:
        model.parse_settings(with_value(yang.to_instance(full_settings()), ("stonetrack:router", *path), value))
    assert expected_text in str(caught.value)


@pytest.mark.parametrize(
    "data", [None, 1, [], {}, {"other:router": {}}, {"stonetrack:router": []}, {"stonetrack:router": {}}]
)
def test_invalid_configurations_are_rejected(model: Model, data: Any) -> None:
    with pytest.raises(ConfigRejected):
        model.parse_settings(data)
