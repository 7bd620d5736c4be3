"""Explores every history of a small model breadth first, so that the first violation found has a shortest history.

A state of the model is an immutable value.  Its steps are all that may happen next, each with a description and the
property that it violates, if any.  States that behave alike are explored once: ``canonical`` maps them to one.  No I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TypeVar

State = TypeVar("State")


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The result; ``history`` is empty where no property was violated."""

    states: int
    violation: str
    history: tuple[str, ...]
    complete: bool  # whether every state within the bounds was explored


def search(
    initial: State,
    steps: Callable[[State], Iterable[tuple[str, State, str]]],
    canonical: Callable[[State], State],
    max_states: int,
) -> SearchResult:
    """Explore all reachable states, ``max_states`` at most."""
    predecessors: dict[State, tuple[State, str] | None] = {initial: None}
    queue = deque([initial])
    while queue:
        state = queue.popleft()
        for description, after, violation in steps(state):
            following = canonical(after)
            if violation:
                return SearchResult(len(predecessors), violation, (*_history(predecessors, state), description), False)
            if following in predecessors:
                continue
            predecessors[following] = (state, description)
            queue.append(following)
            if len(predecessors) >= max_states:
                return SearchResult(len(predecessors), "", (), False)
    return SearchResult(len(predecessors), "", (), True)


def _history(predecessors: dict[State, tuple[State, str] | None], state: State) -> tuple[str, ...]:
    descriptions: list[str] = []
    while (step := predecessors[state]) is not None:
        state, text = step
        descriptions.append(text)
    return tuple(reversed(descriptions))
