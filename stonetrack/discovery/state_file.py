"""The state that outlives a restart: the history's name, its version and the list, in one file.

The version is on disk before any node is told of it, so that a restart never counts a version a second time.  A lost
state folder begins another history (a new name); its versions start at the present Unix second, so that nodes that
compare numbers alone go forwards too.  An old state folder put back shows by the questions of nodes that know more than
the service does: then too another history begins, past all that they know (:meth:`.history.History.client_is_ahead`).

A history that nobody has put a list into says nothing about engines, whatever the process did since: ``given`` tells.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import msgspec

from stonetrack.discovery.history import History, Line, LinesError
from stonetrack.durable import save
from stonetrack.election.fencing import NO_TOKEN, Token

FILE = "list.json"


class StateFileError(ValueError):
    """A state that can't be read; the text says what to do."""


class _Kept(msgspec.Struct):
    origin: str
    version: int
    engines: list[dict[str, Any]]
    owner: Token = NO_TOKEN  # whose list was taken last, where the fleet has a steward
    given: bool = True  # whether a list was ever put, or read from the file


def load_state(folder: Path, seconds: Callable[[], int], most: int) -> tuple[History, Token, bool]:
    """The history kept in a folder, or a new one, its last owner, and whether it was given a list.

    Raises StateFileError for one that is damaged.
    """
    path = folder / FILE
    if not path.exists():
        return History(new_origin(), seconds(), most=most), NO_TOKEN, False
    try:
        kept = msgspec.json.decode(path.read_bytes(), type=_Kept)
        return History(kept.origin, kept.version, kept.engines, most), kept.owner, kept.given
    except (msgspec.DecodeError, LinesError) as error:
        raise StateFileError(f"{path}: {error}; mend it, or take it away to begin a new history") from None


def new_origin() -> str:
    """A name for a history that no other has."""
    return f"h{secrets.token_hex(6)}"


def save_state(folder: Path, origin: str, version: int, lines: Mapping[str, Line], owner: Token = NO_TOKEN,
         given: bool = True) -> None:  # fmt: skip
    """Write it down.  Raises OSError, and the state before stays."""
    folder.mkdir(parents=True, exist_ok=True)
    kept = _Kept(origin, version, [dict(line) for line in lines.values()], owner, given)
    save(folder / FILE, msgspec.json.encode(kept))
