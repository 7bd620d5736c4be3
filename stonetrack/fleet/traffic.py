"""What clients send: classes of requests, how clients behave, and what happens to the load.  No I/O.

Times are milliseconds, lengths tokens.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from stonetrack.settings.schema import Share, Strict


class Traffic(Strict, frozen=True, kw_only=True):
    """One class of requests as clients make them; lengths in tokens."""

    name: str
    share: float = 1.0
    worth: float = 1.0
    late_worth: Share = 0.0
    aim_ms: int = 2_000
    aim_ms_per_1000: int = 40
    deadline_ms: int = 6_000
    effect: str = "safe"
    turns: tuple[int, int] = (1, 4)
    beginning: tuple[int, int] = (100, 800)
    beginnings: int = 4
    turn_tokens: tuple[int, int] = (20, 120)
    max_tokens: int = 24


class Clients(Strict, frozen=True, kw_only=True):
    """How clients behave."""

    rate: float = 40.0  # new requests a second
    classes: tuple[Traffic, ...]
    sessions: int = 40
    plain: Share = 0.15
    kserve: Share = 0.1
    leave_at_first: Share = 0.03
    leave_early: Share = 0.03
    slow: Share = 0.01
    half_close: Share = 0.0  # these three on the platform's protocol alone
    stops: Share = 0.0
    little_time: Share = 0.0
    retries: int = 1
    retry_ms: int = 300


@dataclass(frozen=True, slots=True)
class Step:
    """One dated trouble; ``at`` in seconds from the start of the load."""

    at: float
    what: str
    engine: str
    instance: int
    args: dict[str, Any]


def class_settings(clients: Clients) -> dict[str, Any]:
    """The classes, and the rules that find them, as a node's settings have them."""
    classes = [
        {
            "name": t.name,
            "first_token_ms": t.aim_ms,
            "first_token_ms_per_1000": t.aim_ms_per_1000,
            "deadline_ms": t.deadline_ms,
            "worth": t.worth,
            "late_worth": t.late_worth,
            "effect": t.effect,
            "key_window_ms": 60_000 if t.effect == "keyed" else 0,
        }
        for t in clients.classes
    ]
    rules = [{"to": t.name, "header": {"name": "X-Class", "value": t.name}} for t in clients.classes]
    return {"classes": classes, "rules": rules}
