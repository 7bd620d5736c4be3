"""A node as a process stays within ``memory_mb`` whatever hundreds of clients hold of it, and serves usual ones."""

from __future__ import annotations

import socket
import time
from collections import Counter
from pathlib import Path

import pytest

from stonetrack.edge.budget import MAX_HEADERS
from stonetrack.soak.engine_side import Arrival
from stonetrack.soak.platform import Engine
from stonetrack.wire import writer
from tests.bad_clients import BadClient, Crowd, Pace
from tests.harness import Client, wait_for
from tests.platform import platform, program, round_trip
from tests.test_body_memory import resident_bytes

KIB = 1_024
MAX_BODY = 256 * KIB
PLAY_S = 4.0
LONG_EVENT = writer.chunk(b"data: " + b"x" * 8_000 + b"\n\n")


def stream_fast(engine: Engine, sock: socket.socket, arrival: Arrival, scripted: str) -> None:
    """Stream events of 8 KB as fast as they are taken."""
    sock.sendall(writer.chunked_head(200, [("Content-Type", "text/event-stream")]))
    sock.settimeout(PLAY_S)
    for _ in range(2_000):
        sock.sendall(LONG_EVENT)
    sock.sendall(writer.LAST_CHUNK)


def is_served(port: int) -> bool:
    """Whether a usual client is served; in a crowd its connection may be closed unread (protocol)."""
    usual = Client(port)
    try:
        return round_trip(usual, f"usual{time.monotonic_ns()}")[0].status == 200
    except ConnectionError:
        return False
    finally:
        usual.close()


CROWDS = {
    "long heads": [
        Crowd(200, Pace.FULL_SPEED, 15_000, 50, 14_000),
        Crowd(200, Pace.FULL_SPEED, 15_000, 50, 250_000),
    ],
    "slow writers": [Crowd(200, Pace.SLOW, 15_000, MAX_HEADERS, 30_000), Crowd(200, Pace.SLOW, 400, 8, 250_000)],
    "stopped in a large request": [Crowd(400, Pace.STOPS, 15_000, MAX_HEADERS, MAX_BODY)],
    "heads of many short fields": [
        Crowd(200, Pace.FULL_SPEED, 0, MAX_HEADERS, 200),
        Crowd(200, Pace.STOPS, 0, MAX_HEADERS, 60_000),
    ],
    "slow readers": [Crowd(400, Pace.READS_NOTHING, 400, 8, 2_000)],
    "all at once": [
        Crowd(60, Pace.FULL_SPEED, 15_000, 50, 14_000),
        Crowd(60, Pace.SLOW, 15_000, MAX_HEADERS, 250_000),
        Crowd(80, Pace.STOPS, 15_000, MAX_HEADERS, MAX_BODY),
        Crowd(200, Pace.READS_NOTHING, 15_000, MAX_HEADERS, 20_000),
    ],
}


@pytest.mark.parametrize(("memory_mb", "sockets"), [(64, 1_024), (40, 256)])
@pytest.mark.parametrize("kind", CROWDS)
def test_a_node_stays_within_its_memory_limit(
    kind: str, memory_mb: int, sockets: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a node that is killed for memory (review case 8): hundreds of clients with long heads, slow ones,
    such that stop half way, or read nothing of long answers."""
    monkeypatch.setattr(Engine, "_stream", stream_fast)
    statuses = Counter[int]()
    with platform(3, 3) as world, program(world, tmp_path, memory_mb=memory_mb, sockets=sockets) as running:
        clients = [BadClient(world.listen, crowd, statuses) for crowd in CROWDS[kind] for _ in range(crowd.number)]
        most, until = 0, time.monotonic() + PLAY_S
        while time.monotonic() < until:
            for n, client in enumerate(clients):
                client.step()
                if n % 100 == 0:
                    most = max(most, resident_bytes(running.process.pid))
            time.sleep(0.005)
        print(f"{kind}, {memory_mb} MB, {sockets} descriptors: at most {most / 1e6:.1f} MB; {dict(statuses)}")
        assert most <= memory_mb * 1_000_000 and running.process.poll() is None
        for client in clients:
            client.sock.close()
        monkeypatch.undo()
        assert wait_for(lambda: is_served(world.listen))
