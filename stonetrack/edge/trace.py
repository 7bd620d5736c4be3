"""Trace lines in the node's log: the router's events, actions and view of each server; on with ``EDGE_TRACE=1``.

Each call of the router is one line: the event, then its actions.  About once a second, one line per server compares the
router's counts with those of the sockets (open attempts, idle connections).  While tracing is off this module is not
loaded: a line per event costs more than the routing itself.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from stonetrack import api
from stonetrack.logic import Router

MS = 1_000_000


def recorder(log: Callable[[str], None]) -> Callable[[int, api.Event, list[api.Action]], None]:
    """The core's ``record`` callback, which writes one line per router call."""

    def record(now: int, event: api.Event, actions: list[api.Action]) -> None:
        if isinstance(event, api.TimerFired) and not actions:
            return
        shown = event if not isinstance(event, api.ServerList) else f"ServerList {event.kind.value} {event.version}"
        decided = [a for a in actions if not isinstance(a, api.SetTimer)]
        log(f"trace {now // MS} {shown} -> {decided}")

    return record


def server_lines(router: Router, open_attempts: Mapping[str, int], idle_connections: Callable[[str], int]) -> list[str]:
    """One line for each server that has work, is ejected or in slow start: first the router's counts, then the number
    of open attempts and idle connections on the sockets."""
    lines = []
    for s in router.servers.values():
        ejected = [key for key, ejection in s.ejections.items() if ejection.until > router.now]
        in_slow_start = s.slow_start_until > router.now
        if s.unanswered or s.streams or s.held_states or s.pending_tokens or ejected or in_slow_start:
            reported = None if s.report is None else (s.report.in_flight, s.report.queued, s.report.memory_share)
            lines.append(
                f"{s.name} {s.role.value} {s.state.value} waiting {len(s.unanswered)} streams {s.streams} "
                f"states {s.held_states} work {s.pending_tokens:.0f} paused {ejected} cold {in_slow_start} "
                f"reported {reported}; sockets: open {open_attempts.get(s.name, 0)} kept {idle_connections(s.name)}"
            )
    return lines
