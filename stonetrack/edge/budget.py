"""Divides the file descriptors and the memory that the configuration allows among the parts of a node.  No I/O.

Every running request needs a connection to its client and one to an engine; a waiting request also needs a descriptor
to be woken by (when their share is used up, it polls instead).  Fixed needs are deducted first.  The rest is divided so
that no part can use another's share: neither clients that connect and send nothing nor idle connections to engines can
take the descriptors that attempts need.

Memory is divided likewise, each part by the most that peers can make it hold:

=====================  ==================================================================================
part                   bound
=====================  ==================================================================================
the process            resident memory when the node is made, and ``TABLES_BYTES``
prefixes               ``PREFIX_SHARE`` of all memory; the router's tables
each running request   ``REQUEST_BYTES``: its thread, and what waits to be sent or is received of an engine
each client            ``CONNECTION_BYTES``
incomplete requests    ``BodyLimits.partial``, by their bytes
bodies being read      ``BodyLimits.reading``, by reservation
running requests       ``BodyLimits.serving``, by the bytes of heads and bodies
=====================  ==================================================================================

The allocator adds to all but the first (``ALLOCATOR_SHARE``).
"""

from __future__ import annotations

from dataclasses import dataclass

from stonetrack.frontend.body_memory import BodyLimits
from stonetrack.frontend.connection import READ_AHEAD_BYTES
from stonetrack.wire.http1 import FIELD_BYTES

FIXED_DESCRIPTORS = 24  # standard streams, listener, reserve, epoll, discovery watch (old and new), configuration file
BACKGROUND_CALL_DESCRIPTORS = 11  # connections for releases and probes: one for each of their threads, and a reserve
MAX_ABANDONED = 16  # the attempts that the busiest nodes cancel within a second at engines that have fallen silent
MAX_BODY_BYTES = 262_144  # the protocol's bound
MAX_HEAD_BYTES, MAX_HEADERS = 16_384, 64
SEND_BUFFER_BYTES = 16_384  # unsent data of a stream beyond which its engine is not read
PROCESS_BYTES = 14_000_000  # interpreter and imports, at least
TABLES_BYTES = 7_000_000  # ids, records, releases, and the modules loaded for the first metrics page
PREFIX_SHARE, PREFIX_ENTRY_BYTES = 0.06, 450  # for a key of 200 characters
THREAD_BYTES = 32_768  # stack, interpreter state and objects of a request's thread
RESPONSE_BYTES = 40_960  # of a first event, or of unsent data: the send buffer, one more read, their overhead
REQUEST_BYTES = THREAD_BYTES + RESPONSE_BYTES + READ_AHEAD_BYTES
USUAL_MESSAGE_BYTES = 60_000  # for which a slot for a request is provided
CONNECTION_BYTES = 4_096  # socket, parser and tables of a client connection
UNRESERVED_BYTES = (MAX_HEAD_BYTES + MAX_HEADERS * FIELD_BYTES + 2_048, 65_536)  # for each client; least, most
PARTIAL_SHARE, READING_SHARE = 0.25, 0.25  # of the memory for heads and bodies; the rest is for running requests
ALLOCATOR_SHARE = 0.15  # of what is allocated: free parts of pages that are not given back
MIN_REQUESTS = 16


@dataclass(frozen=True, slots=True)
class Budget:
    """Shares of the descriptors and of memory; the sums are at most the configured numbers."""

    clients: int  # client connections
    requests: int  # running requests, so connections of attempts too
    wakers: int  # descriptors that wake waiting requests
    idle_connections: int  # idle connections to engines
    abandoned: int  # connections of attempts that were cancelled without their engine's answer
    bodies: BodyLimits  # memory for heads and bodies
    prefix_entries: int  # prefixes that the router remembers
    shortage_bytes: int  # by which the least shares exceed the memory; 0 where they fit


def divide_budget(sockets: int, memory_mb: float, process_bytes: int = PROCESS_BYTES) -> Budget:
    """Divide ``sockets`` descriptors and the memory; the numbers of clients and requests are bounded by both."""
    free = sockets - FIXED_DESCRIPTORS - BACKGROUND_CALL_DESCRIPTORS
    prefix_bytes = int(memory_mb * 1e6 * PREFIX_SHARE)
    fixed_bytes = max(process_bytes, PROCESS_BYTES) + TABLES_BYTES + prefix_bytes
    free_bytes = int((memory_mb * 1e6 - fixed_bytes) / (1.0 + ALLOCATOR_SHARE))
    clients = min(free * 46 // 100, max(free_bytes // 4 // CONNECTION_BYTES, MIN_REQUESTS))
    request_bytes = free_bytes - clients * CONNECTION_BYTES
    requests = min(free * 37 // 100, max(MIN_REQUESTS, request_bytes // (REQUEST_BYTES + USUAL_MESSAGE_BYTES)))
    wakers = free * 7 // 100
    rest = free - clients - requests - wakers
    abandoned = min(rest // 4, MAX_ABANDONED)
    message_bytes = request_bytes - requests * REQUEST_BYTES
    bodies = _divide_message_memory(message_bytes, clients)
    shortage_bytes = max(0, bodies.partial + bodies.reading + bodies.serving - message_bytes)
    return Budget(
        clients,
        requests,
        wakers,
        rest - abandoned,
        abandoned,
        bodies,
        prefix_bytes // PREFIX_ENTRY_BYTES,
        shortage_bytes,
    )


def _divide_message_memory(message_bytes: int, clients: int) -> BodyLimits:
    """Divide the memory for heads and bodies; at least one of each can always be read and served."""
    least, most = UNRESERVED_BYTES
    partial = max(int(message_bytes * PARTIAL_SHARE), 2 * least)
    reading = max(int(message_bytes * READING_SHARE), MAX_BODY_BYTES)
    serving = max(message_bytes - partial - reading, 2 * (MAX_BODY_BYTES + least))
    return BodyLimits(min(max(partial // clients, least), most), partial, reading, serving)
