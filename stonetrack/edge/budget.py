"""What each part of a node may hold, out of what the configuration allows in all.  No I/O.

Every request under way needs a client's connection and an engine's; one that waits, a descriptor to be woken by (past
their share a request looks up by itself instead).  Fixed needs come off first.  The rest is shared so that no part can
take another's: clients that connect and say nothing can't use up what attempts need, nor kept connections either.
"""

from __future__ import annotations

from dataclasses import dataclass

FIXED_DESCRIPTORS = (
    24  # standard streams, listener, reserve, epoll, discovery's watch (old and new), the configuration's file
)
BACKGROUND_CALL_DESCRIPTORS = 11  # connections for releases and probes: one for each of their threads, and some
ABANDONED_MOST = 16  # a second of attempts given up at engines that have fallen silent, on the busiest nodes
BYTES_A_REQUEST = 200_000  # measured: 60,000 to 90,000 for stack and buffers; and a body
BASE_BYTES = 18_000_000  # measured: 13 to 14 million for interpreter, imports and tables


@dataclass(frozen=True, slots=True)
class Budget:
    """Shares of the descriptors; all together at most what was given."""

    clients: int  # connections from clients
    requests: int  # requests under way, so attempts too
    wakers: int
    idle_connections: int  # idle connections to engines
    abandoned: int  # connections of attempts that were given up without their engine's word


def divide_budget(sockets: int, memory_mb: float) -> Budget:
    """Shares of so many descriptors, with requests bounded by memory as well."""
    free = sockets - FIXED_DESCRIPTORS - BACKGROUND_CALL_DESCRIPTORS
    clients = free * 46 // 100
    requests = min(free * 37 // 100, max(16, int((memory_mb * 1e6 - BASE_BYTES) / BYTES_A_REQUEST)))
    wakers = free * 7 // 100
    rest = free - clients - requests - wakers
    abandoned = min(rest // 4, ABANDONED_MOST)
    return Budget(clients, requests, wakers, rest - abandoned, abandoned)
