"""The state that survives a restart: the history's name, its version and the list, in one file.

The version is on disk before any node receives it, so that a restart never uses a version a second time.  If the state
folder is lost, another history starts (with a new name); its versions start at the present Unix second, so that nodes
that compare numbers alone see them increase too.  If an old state folder is restored, requests of nodes show it, since
they have later versions than the service: then too another history starts, past all of theirs
(:meth:`.history.History.client_is_ahead`).

A history that never received a list says nothing about engines, even after a restart: ``given`` records that.
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
    """The state file can't be read; the message says what to do."""


class _State(msgspec.Struct):
    origin: str
    version: int
    engines: list[dict[str, Any]]
    owner: Token = NO_TOKEN  # leader whose list was accepted last, where the fleet has a controller
    given: bool = True  # whether a list was ever put, or read from the watched file


def load_state(folder: Path, unix_seconds: Callable[[], int], most: int) -> tuple[History, Token, bool]:
    """Load the history of a folder, or start a new one; also returns the last leader and whether a list was given.

    Raises StateFileError where the file is damaged.
    """
    path = folder / FILE
    if not path.exists():
        return History(new_origin(), unix_seconds(), most=most), NO_TOKEN, False
    try:
        state = msgspec.json.decode(path.read_bytes(), type=_State)
        return History(state.origin, state.version, state.engines, most), state.owner, state.given
    except (msgspec.DecodeError, LinesError) as error:
        raise StateFileError(f"{path}: {error}; mend it, or take it away to begin a new history") from None


def new_origin() -> str:
    """A unique name for a history."""
    return f"h{secrets.token_hex(6)}"


def save_state(folder: Path, origin: str, version: int, lines: Mapping[str, Line], leader: Token = NO_TOKEN,
         given: bool = True) -> None:  # fmt: skip
    """Write the state.  Raises OSError; the previous state then remains."""
    folder.mkdir(parents=True, exist_ok=True)
    state = _State(origin, version, [dict(line) for line in lines.values()], leader, given)
    save(folder / FILE, msgspec.json.encode(state))
