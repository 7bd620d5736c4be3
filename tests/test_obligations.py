"""The table of what a node owes: the page shows it, and what it names is there and names its row."""

from __future__ import annotations

import importlib
import inspect
from pathlib import Path

import pytest

from stonetrack.node.obligations import TABLE, Obligation, markdown
from stonetrack.soak.latitude import CHOICES, Sentence

PAGE = Path(__file__).resolve().parents[1] / "docs" / "obligations.md"


def found(name: str) -> object:
    """What ``module:name`` names.  Raises AttributeError, ImportError."""
    module, _, path = name.partition(":")
    thing: object = importlib.import_module(module)
    for part in path.split("."):
        thing = getattr(thing, part)
    return thing


def test_the_page_shows_the_table_and_every_sentence_that_is_drawn() -> None:
    page = PAGE.read_text("utf-8")
    assert markdown() in page
    for sentence in Sentence:
        (line,) = [line for line in page.splitlines() if line.startswith(f"| `{sentence.name}` |")]
        assert sentence.value in line and f" {len(set(CHOICES[sentence]))} " in line


def test_every_obligation_has_one_row_with_somebody_who_acts_and_somebody_who_checks() -> None:
    assert [row.obligation for row in TABLE] == list(Obligation)
    for row in TABLE:
        assert row.acts and row.checked_by and row.begins and row.ends and row.deadline


@pytest.mark.parametrize("row", TABLE, ids=lambda row: row.obligation.value)
def test_what_a_row_names_is_there_and_says_which_row_it_is(row: object) -> None:
    each = next(one for one in TABLE if one is row)
    for name in (*each.acts, *each.checked_by):
        text = inspect.getdoc(found(name)) or ""
        assert f"Obligation.{each.obligation.name}" in text, f"{name} does not name its row"


def test_a_name_that_is_not_there_is_noticed() -> None:
    with pytest.raises(AttributeError):
        found("stonetrack.logic:Router._not_there")
