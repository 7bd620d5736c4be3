"""Every history of a small world, breadth first, so that the first that breaks a promise is a shortest one.  No I/O.

A world is a frozen value; its steps are all that may happen next, each with what it is called and the promise that it
breaks, if any.  Two worlds that behave alike are one state: ``plain`` takes away what tells them apart.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TypeVar

W = TypeVar("W")


@dataclass(frozen=True, slots=True)
class SearchResult:
    """What came of it; ``history`` is empty where no promise was broken."""

    states: int
    violation: str
    history: tuple[str, ...]
    complete: bool  # whether every state within the bounds was seen


def search(
    first: W, steps: Callable[[W], Iterable[tuple[str, W, str]]], plain: Callable[[W], W], most: int
) -> SearchResult:
    """All states that can be reached, ``most`` at the most."""
    came: dict[W, tuple[W, str] | None] = {first: None}
    waiting = deque([first])
    while waiting:
        world = waiting.popleft()
        for said, after, broken in steps(world):
            then = plain(after)
            if broken:
                return SearchResult(len(came), broken, (*_history(came, world), said), False)
            if then in came:
                continue
            came[then] = (world, said)
            waiting.append(then)
            if len(came) >= most:
                return SearchResult(len(came), "", (), False)
    return SearchResult(len(came), "", (), True)


def _history(came: dict[W, tuple[W, str] | None], world: W) -> tuple[str, ...]:
    said: list[str] = []
    while (step := came[world]) is not None:
        world, text = step
        said.append(text)
    return tuple(reversed(said))
