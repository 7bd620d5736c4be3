"""Divides the file descriptors and the memory that the configuration allows among the parts of a node.  No I/O.

Every running request needs a connection to its client and one to an engine; a waiting request also needs a descriptor
to be woken by (when their share is used up, it polls instead).  Fixed needs are deducted first.  The rest is divided so
that no part can use another's share: neither clients that connect and send nothing nor idle connections to engines can
take the descriptors that attempts need.

Memory is divided likewise: the process itself, stack and buffers of each running request, a part of a body for each
client connection, and what is left for whole bodies, those that are read and those of running requests.
"""

from __future__ import annotations

from dataclasses import dataclass

from stonetrack.frontend.body_memory import BodyLimits

FIXED_DESCRIPTORS = 24  # standard streams, listener, reserve, epoll, discovery watch (old and new), configuration file
BACKGROUND_CALL_DESCRIPTORS = 11  # connections for releases and probes: one for each of their threads, and a reserve
MAX_ABANDONED = 16  # the attempts that the busiest nodes cancel within a second at engines that have fallen silent
BYTES_PER_REQUEST = 200_000  # 60,000 to 90,000 for stack and buffers, plus a body
BYTES_PER_REQUEST_WITHOUT_BODY = 100_000
MAX_BODY_BYTES = 262_144  # the protocol's bound
UNRESERVED_BODY_BYTES = (16_384, 65_536)  # for each client connection; least, most
BASE_BYTES = 18_000_000  # 13 to 14 million for interpreter, imports and tables, plus a reserve


@dataclass(frozen=True, slots=True)
class Budget:
    """Shares of the descriptors; their sum is at most the configured number."""

    clients: int  # client connections
    requests: int  # running requests, so connections of attempts too
    wakers: int  # descriptors that wake waiting requests
    idle_connections: int  # idle connections to engines
    abandoned: int  # connections of attempts that were cancelled without their engine's answer
    bodies: BodyLimits  # memory for bodies


def divide_budget(sockets: int, memory_mb: float) -> Budget:
    """Divide ``sockets`` descriptors and the memory; the number of requests is bounded by both."""
    free = sockets - FIXED_DESCRIPTORS - BACKGROUND_CALL_DESCRIPTORS
    clients = free * 46 // 100
    free_bytes = int(memory_mb * 1e6) - BASE_BYTES
    requests = min(free * 37 // 100, max(16, free_bytes // BYTES_PER_REQUEST))
    wakers = free * 7 // 100
    rest = free - clients - requests - wakers
    abandoned = min(rest // 4, MAX_ABANDONED)
    bodies = _divide_body_memory(free_bytes - requests * BYTES_PER_REQUEST_WITHOUT_BODY, clients)
    return Budget(clients, requests, wakers, rest - abandoned, abandoned, bodies)


def _divide_body_memory(free_bytes: int, clients: int) -> BodyLimits:
    """Half for parts of bodies at most, the rest for whole ones; at least one body can always be read and served."""
    least, most = UNRESERVED_BODY_BYTES
    unreserved = min(max(free_bytes // 2 // max(clients, 1), least), most)
    whole = free_bytes - clients * unreserved
    return BodyLimits(unreserved, max(whole // 3, MAX_BODY_BYTES), max(whole * 2 // 3, 3 * MAX_BODY_BYTES))
