"""Decode attempts whose end their engine sees long after this node gave them up: what they took."""

from __future__ import annotations

import socket
import threading
import time

import pytest

from stonetrack.soak.engine_side import Arrival
from stonetrack.soak.platform import Engine
from tests.harness import Client
from tests.platform import CHAT, Platform, headers, node, platform, round_trip

MAX_HELD_S = 0.5 + 0.3  # the settings' time and the slack of the protocol page
WARM_UP_REQUESTS = 40  # the router tries a request again only after it has seen others succeed
LATE = "late"


def ask_late(world: Platform) -> None:
    """Send usual requests, then the one whose decode attempt is late; wait for its final answer."""
    client = Client(world.listen, 10.0)
    for number in range(WARM_UP_REQUESTS):
        assert round_trip(client, f"q{number}")[0].status == 200
    client.send_request(b"{}", CHAT, headers=headers(LATE))
    client.answer()


def longest_held_at_decode_engines(world: Platform) -> float:
    """Seconds for which a decode engine held a state of the late request without an attempt."""
    now = time.monotonic_ns()
    with world.lock:
        records = [*world.state_records.history, *world.state_records.still_held()]
    held = [each for each in records if each.request == LATE and each.engine.startswith("w")]
    return max((((each.until or now) - each.since) / 1e9 for each in held), default=0.0)


# A state was held for good at a decode engine that saw the end of its attempt late (soak, seed 6732).
def test_a_state_of_a_decode_attempt_whose_end_is_seen_late_is_released(monkeypatch: pytest.MonkeyPatch) -> None:
    ended, real_stream = threading.Event(), Engine._stream
    first = threading.Lock()

    def stream(engine: Engine, sock: socket.socket, arrival: Arrival, scripted: str) -> None:
        if arrival.request != LATE or not first.acquire(blocking=False):
            real_stream(engine, sock, arrival, scripted)
            return
        time.sleep(2.5)
        ended.set()
        raise ConnectionError("the node cancelled the attempt")

    monkeypatch.setattr(Engine, "_stream", stream)
    with platform(2, 3) as world, node(world):
        ask_late(world)
        assert ended.wait(5.0)
        time.sleep(1.5)
        assert longest_held_at_decode_engines(world) <= MAX_HELD_S
