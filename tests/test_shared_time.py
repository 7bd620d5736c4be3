"""The time of a node is shared among its clients: what is costly to read from some does not delay the others."""

from __future__ import annotations

import threading
import time
from collections import Counter
from pathlib import Path

import pytest

from stonetrack.wire import http1
from tests.bad_clients import BadClient, Crowd, Pace
from tests.harness import Client
from tests.platform import CHAT, headers, platform, program, round_trip
from tests.test_body_memory import post
from tests.test_closing import bare_host

MAX_BODY = 262_144
TIME_LEFT_S, ANSWER_SLACK_S = 3.0, 0.5
PLAY_S = 6.0
FLOOD_S = 3.0
CROWDS = {
    "chunks of two bytes with extensions": Crowd(300, Pace.FULL_SPEED, body_bytes=MAX_BODY, chunk=b"2;x\r\nab\r\n"),
    "chunks of one byte": Crowd(300, Pace.FULL_SPEED, body_bytes=MAX_BODY, chunk=b"1\r\na\r\n"),
}
POST = f"POST {CHAT} HTTP/1.1\r\nHost: t\r\n"
FLOODS = {
    "unsound": POST + "X-Service-Class: nobody{n}\r\nContent-Length: 0\r\n\r\n",
    "nowhere": "GET /nowhere{n} HTTP/1.1\r\nHost: t\r\n\r\n",
    "no time left": POST + "{short}Content-Length: 2\r\n\r\n{{}}",
    "small": POST + "{usual}Content-Length: 2\r\n\r\n{{}}",
}


class UsualClients:
    """Clients that send one request after another, and note how long each answer took."""

    def __init__(self, port: int, number: int) -> None:
        self._port = port
        self._stop = threading.Event()
        self.took_s: list[float] = []  # to the whole answer
        self.statuses: Counter[int] = Counter()
        self._threads = [threading.Thread(target=self._run, args=(n,)) for n in range(number)]
        for thread in self._threads:
            thread.start()

    def _run(self, number: int) -> None:
        count = 0
        client = Client(self._port, 30.0)
        while not self._stop.is_set():
            count += 1
            started = time.monotonic()
            try:
                status = round_trip(client, f"usual{number}.{count}", X_Time_Left=f"{TIME_LEFT_S:.0f}000m")[0].status
            except ConnectionError:  # closed unread, which the page allows: sent again on a new connection
                client.close()
                client = Client(self._port, 30.0)
                continue
            self.took_s.append(time.monotonic() - started)
            self.statuses[status] += 1
            time.sleep(0.05)
        client.close()

    def stop(self) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join(40.0)


@pytest.mark.parametrize("kind", CROWDS)
def test_bodies_in_small_chunks_do_not_delay_the_answers_of_others(kind: str, tmp_path: Path) -> None:
    """Guards against usual clients that are answered late or never while hundreds send bodies that are costly to parse
    (review case 9, picture b)."""
    statuses = Counter[int]()
    with platform(3, 3) as world, program(world, tmp_path, memory_mb=112, sockets=960):
        clients = [BadClient(world.listen, CROWDS[kind], statuses) for _ in range(CROWDS[kind].number)]
        stop = threading.Event()

        def drive() -> None:
            while not stop.is_set():
                for client in clients:
                    client.step()
                time.sleep(0.005)

        bad = threading.Thread(target=drive)
        bad.start()
        usual = UsualClients(world.listen, 4)
        time.sleep(PLAY_S)
        usual.stop()
        stop.set()
        bad.join(10.0)
        for client in clients:
            client.sock.close()
    assert usual.took_s and usual.statuses[200], usual.statuses
    assert max(usual.took_s) <= TIME_LEFT_S + ANSWER_SLACK_S


@pytest.mark.parametrize("kind", FLOODS)
def test_one_client_at_full_speed_does_not_delay_the_answers_of_others(kind: str, tmp_path: Path) -> None:
    """Guards against others' late answers while one client sends small or unsound requests on one connection for some
    seconds, under ever new names (picture b)."""
    with platform(3, 3) as world, program(world, tmp_path, memory_mb=64, sockets=512):
        world.work_seconds, world.event_interval = 0.0, 0.0
        flooding = Client(world.listen)
        stop = threading.Event()
        answered = [0]

        def flood() -> None:
            while not stop.is_set():
                first = answered[0]
                texts = [
                    FLOODS[kind].format(
                        n=n, usual=headers(f"f{n}", X_Session_Key=f"k{n}"), short=headers(f"f{n}", X_Time_Left="20m")
                    )
                    for n in range(first, first + 8)
                ]
                flooding.send("".join(texts).encode())
                for _ in texts:
                    flooding.answer()
                    answered[0] += 1

        thread = threading.Thread(target=flood)
        thread.start()
        usual = UsualClients(world.listen, 4)
        time.sleep(FLOOD_S)
        usual.stop()
        stop.set()
        thread.join(10.0)
        flooding.close()
    assert answered[0] > 100 and set(usual.statuses) == {200}
    assert max(usual.took_s) <= TIME_LEFT_S


def test_input_that_is_cheap_to_read_comes_before_input_that_is_costly() -> None:
    """A connection's input is read in turns, those first whose input has taken least time."""
    with bare_host(body_bytes=MAX_BODY) as bare:
        costly = [Client(bare.port) for _ in range(20)]
        head = b"POST /costly HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n"
        for client in costly:
            client.sock.setblocking(False)
            client.sock.send(head + b"1;x\r\na\r\n" * 40_000)
        cheap = Client(bare.port)
        cheap.send(post("/cheap", 100_000) + b"a" * 100_000)
        assert cheap.answer()[1] == b"/cheap"
        assert "/costly" not in bare.paths
        parked = [each for each in bare.host._parked.values() if each.read_cost_ns]
        assert parked and all(each.reader.held_bytes <= http1.Limits().head for each in parked)
        for client in (*costly, cheap):
            client.close()
