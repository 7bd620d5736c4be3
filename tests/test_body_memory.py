"""The memory that the bodies of requests take: accounting, the host's use of it, and a node within its limit."""

from __future__ import annotations

import gc
import re
import socket
import sys
import threading
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stonetrack.frontend.body_memory import BodyLimits, BodyMemory
from stonetrack.frontend.connection import Connection, HostState, HttpRequest
from stonetrack.soak.platform import EngineFault
from stonetrack.wire import http1
from tests.harness import CHAT, Client, wait_for
from tests.platform import headers, platform, program, round_trip
from tests.test_closing import BareHost, bare_host

KIB = 1_024
MAX_BODY = 256 * KIB
CLIENTS = 210  # of one node, fewer than its connections
SMALL = BodyLimits(unreserved=16 * KIB, reading=300 * KIB, serving=600 * KIB)  # one body of 256 KiB at a time


def post(path: str, length: int) -> bytes:
    return f"POST {path} HTTP/1.1\r\nHost: t\r\nContent-Length: {length}\r\n\r\n".encode()


def connection_awaiting(length: int | None) -> Connection:
    """A connection whose head was read."""
    connection = Connection(socket.socketpair()[0], http1.Limits(body=MAX_BODY), HostState())
    if length is None:
        connection.feed(b"POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n")
    else:
        connection.feed(post("/", length))
    return connection


def next_bytes(length: int | None, sent: int, size: int) -> bytes:
    """The next ``size`` bytes at most of a body of 200 KiB in one chunk, or of an announced length."""
    whole = post_body(length)
    return whole[sent : sent + size]


def post_body(length: int | None) -> bytes:
    return b"%x\r\n%b\r\n0\r\n\r\n" % (200 * KIB, b"c" * (200 * KIB)) if length is None else b"b" * length


@given(st.lists(st.one_of(st.none(), st.integers(1, MAX_BODY)), min_size=1, max_size=12), st.randoms())
def test_all_bodies_are_read_to_their_ends_within_the_bound(lengths: list[int | None], random: object) -> None:
    """Guards against bodies that wait for each other for ever, and against more memory than the bound.

    Clients send in any order; a connection that has to wait is read again once it is granted."""
    memory = BodyMemory(SMALL, MAX_BODY)
    connections = {connection_awaiting(length): length for length in lengths}
    sent = dict.fromkeys(connections, 0)
    paused: set[Connection] = set()
    open_connections = list(connections)
    while open_connections:
        ready = [each for each in open_connections if each not in paused]
        assert ready, "all connections wait for each other"
        connection = random.choice(ready)  # type: ignore[attr-defined]
        size = memory.readable_bytes(connection)
        if size == 0:
            paused.add(connection)
        else:
            data = next_bytes(connections[connection], sent[connection], size)
            sent[connection] += len(data)
            if connection.feed(data) is not None:
                memory.stop_reading(connection)
                open_connections.remove(connection)
                connection.close()
        paused -= set(memory.grant())
        assert memory.reserved_bytes <= SMALL.reading
        held = sum(each.partial_body_bytes for each in open_connections)
        assert held <= SMALL.reading + SMALL.unreserved * len(open_connections)
    assert memory.reserved_bytes == 0 and memory.waiting == 0


def test_a_body_in_many_small_chunks_takes_no_more_memory_than_its_bytes() -> None:
    """Guards against bodies that take many times the bytes that are counted for them."""
    connection = connection_awaiting(None)
    connection.feed(b"2;a\r\nxy\r\n" * 8_000)
    assert connection.partial_body_bytes == 16_000 and sys.getsizeof(connection._body) < 2 * 16_000
    connection.close()


def test_waiting_connections_are_granted_in_order_and_stalled_ones_are_told() -> None:
    memory = BodyMemory(SMALL, MAX_BODY)
    first, second, third = (connection_awaiting(MAX_BODY) for _ in range(3))
    for connection in (first, second, third):
        connection.feed(b"a" * SMALL.unreserved)
    assert memory.readable_bytes(first) > 0 and not memory.stalled(time.monotonic_ns())
    assert memory.readable_bytes(second) == memory.readable_bytes(third) == 0 and memory.waiting == 2
    assert memory.stalled(time.monotonic_ns()) == [first] and not memory.stalled(first.read_at) and not memory.grant()
    assert not memory.stop_reading(first) and memory.grant() == [second]
    assert memory.stop_reading(third) and memory.waiting == 0
    assert not memory.stop_reading(second) and memory.reserved_bytes == 0
    for connection in (first, second, third):
        connection.close()


def open_client(bare: BareHost, path: str, length: int, sent: int) -> Client:
    """A client that has sent so much of a body."""
    client = Client(bare.port)
    client.send(post(path, length) + b"a" * sent)
    return client


def test_clients_that_stop_within_bodies_hold_no_memory_that_others_need() -> None:
    """Guards against a node over its memory limit, and against others waiting until such clients are given up."""
    with bare_host(SMALL, body_bytes=MAX_BODY) as bare:
        bad = [open_client(bare, f"/bad{n}", MAX_BODY, MAX_BODY - 100) for n in range(6)]
        assert wait_for(lambda: bare.host.bodies.waiting == 5)
        parked = list(bare.host._parked.values())
        assert sum(each.partial_body_bytes for each in parked) <= SMALL.reading + 6 * SMALL.unreserved
        small = open_client(bare, "/small", 10 * KIB, 5 * KIB)
        time.sleep(0.05)  # the second part is read on its own
        small.send(b"a" * (5 * KIB))
        assert small.answer()[1] == b"/small"
        large = open_client(bare, "/large", MAX_BODY, MAX_BODY)
        assert large.answer()[1] == b"/large"  # each of those before it keeps its memory for half a second
        assert [each.answer()[0].status for each in bad] == [408] * 6 and bare.host.bodies.reserved_bytes == 0
        assert not sum(each.partial_body_bytes + len(each._body) for each in bare.host._parked.values())


def test_a_large_body_that_waited_for_memory_is_read_whole_and_its_time_counts_from_the_wait() -> None:
    """Guards against a client that waits for longer than its deadline, since the node did not read its last byte.

    The first request may still be served when the second is: there is room for both."""
    with bare_host(replace(SMALL, serving=2 * SMALL.serving), body_bytes=MAX_BODY) as bare:
        stopped = open_client(bare, "/stopped", MAX_BODY, MAX_BODY - 1)
        assert wait_for(lambda: bare.host.bodies.reserved_bytes > 0)
        waiting = open_client(bare, "/waiting", MAX_BODY, MAX_BODY)
        assert wait_for(lambda: bare.host.bodies.waiting == 1)
        time.sleep(0.2)
        stopped.send(b"a")
        assert stopped.answer()[1] == b"/stopped" and waiting.answer()[1] == b"/waiting"
        found = {path: (size, before_end) for path, size, before_end in bare.requests}
        assert found["/stopped"] == (MAX_BODY, 0.0) and found["/waiting"][0] == MAX_BODY
        assert 0.15 < found["/waiting"][1] < 2.0


def test_requests_beyond_the_memory_for_bodies_are_refused_until_others_end() -> None:
    """Guards against a node over its memory limit with large requests under way, all of them within the workers."""
    with bare_host(SMALL, body_bytes=MAX_BODY) as bare:
        bare.wait.clear()
        first = open_client(bare, "/first", MAX_BODY, MAX_BODY)  # counted twice: 512 of 600 KiB
        assert wait_for(lambda: bare.paths == ["/first"])
        refused, small = (open_client(bare, f"/{size}", size, size) for size in (100 * KIB, 10 * KIB))
        assert refused.answer()[0].status == 503
        assert wait_for(lambda: len(bare.paths) == 2)
        bare.wait.set()
        assert first.answer()[0].status == small.answer()[0].status == 200
        assert wait_for(lambda: bare.host.bodies.served_bytes == 0)
        again = open_client(bare, "/again", MAX_BODY, MAX_BODY)
        assert again.answer()[0].status == 200


def test_a_rejected_client_holds_none_of_what_it_sent_behind_its_request() -> None:
    """Guards against memory that hundreds of rejected clients hold while they may read their answers."""
    with bare_host(SMALL, body_bytes=MAX_BODY) as bare:
        client = Client(bare.port)
        client.send(b"GET / HTTP/1.1\r\nNo colon\r\n\r\n" + post("/behind", 3_000) + b"b" * 3_000)
        assert client.answer()[0].status == 400
        assert wait_for(lambda: any(each.linger_until for each in bare.host._parked.values()))
        lingering = [each for each in bare.host._parked.values() if each.linger_until]
        assert [each.held_bytes for each in lingering] == [0] and bare.host.bodies.partial_bytes == 0
        assert not bare.paths
        refused = Client(bare.port)
        bare.wait.clear()
        large = [open_client(bare, f"/large{n}", MAX_BODY, MAX_BODY) for n in range(2)]
        assert wait_for(lambda: bare.host.bodies.served_bytes > 0)
        refused.send(post("/refused", 100 * KIB) + b"a" * (100 * KIB) + post("/behind", 3_000) + b"b" * 2_000)
        assert refused.answer()[0].status == 503
        assert wait_for(lambda: bare.host.bodies.partial_bytes == 0)  # the second large one may still be read
        bare.wait.set()
        for each in (*large, client, refused):
            each.close()


def test_a_waiting_worker_keeps_no_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against idle workers that hold the last body each of them served."""
    monkeypatch.setattr("stonetrack.frontend.host._WORKER_IDLE_S", 120.0)  # they wait, however long the test is held up
    body = b"kept by no worker"
    with bare_host() as bare:
        clients = [Client(bare.port) for _ in range(4)]
        for client in clients:
            client.send(post("/", len(body)) + body)
        assert [client.answer()[0].status for client in clients] == [200] * 4

        def kept() -> int:
            return sum(isinstance(each, HttpRequest) and each.body == body for each in gc.get_objects())

        assert wait_for(lambda: kept() == 0) and bare.host.workers > 0


def resident_bytes(pid: int) -> int:
    found = re.search(r"VmRSS:\s+([0-9]+) kB", Path(f"/proc/{pid}/status").read_text(encoding="ascii"))
    return int(found.group(1)) * KIB if found else 0


@pytest.mark.parametrize("whole", [False, True], ids=["bodies that stop", "requests under way"])
def test_a_node_stays_within_its_memory_limit_under_large_bodies(whole: bool, tmp_path: Path) -> None:
    """Guards against a node that is killed for memory: hundreds of clients with bodies of 256 KiB."""
    memory_mb, statuses = 64, Counter[int]()
    body = b"a" * MAX_BODY

    def bad_client(number: int) -> None:
        with CloseableClient(world.listen) as client:
            head = f"POST {CHAT} HTTP/1.1\r\nHost: t\r\n{headers(f'bad{number}')}Content-Length: {MAX_BODY}\r\n\r\n"
            client.send(head.encode() + (body if whole else body[:-100]))
            statuses[client.answer()[0].status] += 1

    with platform() as world, program(world, tmp_path, memory_mb=memory_mb, sockets=512) as running:
        if whole:
            for name in ("r0", "r1"):
                world.engines[name].fault = EngineFault.HANG_BEFORE
        threads = [threading.Thread(target=bad_client, args=(n,)) for n in range(CLIENTS)]
        for thread in threads:
            thread.start()
        most = 0
        while any(thread.is_alive() for thread in threads):
            most = max(most, resident_bytes(running.process.pid))
            time.sleep(0.02)
        assert most <= memory_mb * 1_000_000 and running.process.poll() is None
        assert sum(statuses.values()) == CLIENTS and 200 not in statuses
        for engine in world.engines.values():
            engine.fault = None
        usual = Client(world.listen)
        assert wait_for(lambda: round_trip(usual, f"usual{time.monotonic_ns()}")[0].status == 200)


class CloseableClient(Client):
    """A client that closes its connection at the end of a ``with`` block."""

    def __enter__(self) -> CloseableClient:
        return self

    def __exit__(self, *error: object) -> None:
        self.close()
