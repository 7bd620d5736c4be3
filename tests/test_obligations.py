"""The table of obligations: the page shows it, and each function that it names exists and names its row."""

from __future__ import annotations

import importlib
import inspect
from pathlib import Path

import pytest

from stonetrack.node.obligations import TABLE, Obligation, markdown
from stonetrack.soak.unspecified import CHOICES, Unspecified

PAGE = Path(__file__).resolve().parents[1] / "docs" / "obligations.md"


def look_up(name: str) -> object:
    """The object that ``module:name`` names.  Raises AttributeError, ImportError."""
    module, _, path = name.partition(":")
    target: object = importlib.import_module(module)
    for part in path.split("."):
        target = getattr(target, part)
    return target


def test_the_page_shows_the_table_and_every_drawn_sentence() -> None:
    page = PAGE.read_text("utf-8")
    assert markdown() in page
    for unspecified in Unspecified:
        (line,) = [line for line in page.splitlines() if line.startswith(f"| `{unspecified.name}` |")]
        assert unspecified.value in line and f" {len(set(CHOICES[unspecified]))} " in line


def test_every_obligation_has_one_row_with_functions_that_act_and_that_check() -> None:
    assert [row.obligation for row in TABLE] == list(Obligation)
    for row in TABLE:
        assert row.acts and row.checked_by and row.begins and row.ends and row.deadline


@pytest.mark.parametrize("row", TABLE, ids=lambda row: row.obligation.value)
def test_functions_named_in_a_row_exist_and_name_the_row(row: object) -> None:
    each = next(one for one in TABLE if one is row)
    for name in (*each.acts, *each.checked_by):
        text = inspect.getdoc(look_up(name)) or ""
        assert f"Obligation.{each.obligation.name}" in text, f"{name} does not name its row"


def test_a_name_that_does_not_exist_raises() -> None:
    with pytest.raises(AttributeError):
        look_up("stonetrack.logic:Router._not_there")
