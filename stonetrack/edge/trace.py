"""What the node was told and decided, and what it believes, as lines of its log: on with ``EDGE_TRACE=1``.

Each call of the router is a line, its actions behind it.  About once a second the router's counts of each server stand
beside the sockets' (attempts open there, kept connections).  Off, nothing of this is loaded: a line for each event
costs more than the routing does.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from stonetrack import api
from stonetrack.logic import Router

MS = 1_000_000


def recorder(log: Callable[[str], None]) -> Callable[[int, api.Event, list[api.Action]], None]:
    """A ``record`` for the core."""

    def record(now: int, event: api.Event, actions: list[api.Action]) -> None:
        if isinstance(event, api.TimerFired) and not actions:
            return
        told = event if not isinstance(event, api.ServerList) else f"ServerList {event.kind.value} {event.version}"
        done = [a for a in actions if not isinstance(a, api.SetTimer)]
        log(f"trace {now // MS} {told} -> {done}")

    return record


def server_lines(router: Router, open_at: Mapping[str, int], kept_at: Callable[[str], int]) -> list[str]:
    """One line for each server with anything out, waiting, paused or cold: counts as the router books them, then
    attempts open and connections kept as the sockets have them."""
    lines = []
    for s in router.servers.values():
        paused = [key for key, pause in s.paused.items() if pause.until > router.now]
        cold = s.cold_until > router.now
        if s.waiting or s.streams or s.states or s.work_out or paused or cold:
            reported = None if s.report is None else (s.report.in_flight, s.report.queued, s.report.memory_share)
            lines.append(
                f"{s.name} {s.role.value} {s.state.value} waiting {len(s.waiting)} streams {s.streams} "
                f"states {s.states} work {s.work_out:.0f} paused {paused} cold {cold} reported {reported}; "
                f"sockets: open {open_at.get(s.name, 0)} kept {kept_at(s.name)}"
            )
    return lines
