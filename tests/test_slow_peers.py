"""Slow engines and slow clients: a long answer is served whole, and a final answer comes within the client's time."""

from __future__ import annotations

import json
import socket
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from stonetrack.soak import platform as emulated
from stonetrack.soak.engine_side import Arrival, End
from stonetrack.soak.platform import Engine
from stonetrack.wire import http1, writer
from tests.harness import Client
from tests.platform import CHAT, Platform, headers, node, platform, program

TIME_LEFT_S, ANSWER_SLACK_S = 1.5, 0.5
CROWD = 40  # clients, each with a large request
LARGE_BODY = b"a" * 250_000
STREAM_HEAD = writer.chunked_head(200, [("Content-Type", "text/event-stream")])
END_OF_STREAM = writer.chunk(b"data: [DONE]\n\n") + writer.LAST_CHUNK


def post(request_id: str, body: bytes = b"{}", **changes: str) -> bytes:
    head = f"POST {CHAT} HTTP/1.1\r\nHost: t\r\n{headers(request_id, **changes)}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@pytest.mark.parametrize(("piece", "pause_s"), [(7, 0.1), (1, 0.9)], ids=["pieces", "single bytes of framing"])
def test_a_long_answer_that_an_engine_writes_slowly_is_served_whole(
    piece: int, pause_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stream that is cut although its engine goes on writing it (picture d)."""
    events = [b"data: %03d\n\n" % n for n in range(70)] if piece > 1 else [b"data: " + b"x" * 300 + b"\n\n"]
    slow = b"".join(map(writer.chunk, events))

    def write_slowly(engine: Engine, sock: socket.socket, arrival: Arrival, scripted: str) -> None:
        sock.sendall(STREAM_HEAD + writer.chunk(b"data: first\n\n"))
        if piece == 1:  # the line with the chunk's size and the end of the chunk, not its data
            for part in (*(slow[n : n + 1] for n in range(5)), slow[5:-2], slow[-2:-1], slow[-1:]):
                time.sleep(pause_s)
                sock.sendall(part)
        else:
            for start in range(0, len(slow), piece):
                time.sleep(pause_s)
                sock.sendall(slow[start : start + piece])
        engine._end_attempt(arrival, End.ANSWERED)
        sock.sendall(END_OF_STREAM)

    monkeypatch.setattr(Engine, "_stream", write_slowly)
    with platform(1, 1) as world, node(world):
        client = Client(world.listen, 60.0)
        client.send(post("long"))
        head, body = client.answer()
        assert head.status == 200 and body.endswith(b"data: [DONE]\n\n")
        assert body.count(b"data: ") == len(events) + 2


def test_a_long_answer_that_a_client_reads_slowly_is_served_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a client that counts as gone although it goes on reading: the kernel reports room to write only
    once a good part of a large send buffer is free."""
    event = writer.chunk(b"data: " + b"x" * 8_000 + b"\n\n")
    events = 900  # 7 MB, more than the buffers of both sockets take

    def write_fast(engine: Engine, sock: socket.socket, arrival: Arrival, scripted: str) -> None:
        sock.sendall(STREAM_HEAD)
        for _ in range(events):
            sock.sendall(event)
        engine._end_attempt(arrival, End.ANSWERED)
        sock.sendall(END_OF_STREAM)

    monkeypatch.setattr(Engine, "_stream", write_fast)
    with platform(1, 1) as world, node(world):
        client = Client(world.listen, 60.0)
        client.send(post("long"))
        received, slow_until = bytearray(), time.monotonic() + 20.0
        while not received.endswith(b"0\r\n\r\n"):
            data = client.sock.recv(6_000 if time.monotonic() < slow_until else 262_144)
            assert data, f"the answer broke off after {len(received)} bytes"
            received += data
            if time.monotonic() < slow_until:
                time.sleep(0.1)
        parsed = http1.MessageReader(http1.Side.RESPONSES, http1.Limits(body=1 << 30)).feed(bytes(received))
        body = b"".join(each.data for each in parsed if isinstance(each, http1.Data))
        assert body.count(b"data: ") == events + 1


@pytest.mark.parametrize("role", ["prefill", "decode", "both"])
def test_the_final_answer_comes_in_time_where_engines_read_a_large_request_slowly(
    role: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a final answer seconds after the client's time (picture d)."""
    real = Engine.receive

    def receive_slowly(engine: Engine, sock: socket.socket) -> bytes:
        if role != "both" and engine.is_decode is not (role == "decode"):
            return real(engine, sock)
        time.sleep(0.05)
        return sock.recv(2_000)

    monkeypatch.setattr(Engine, "receive", receive_slowly)
    with platform(2, 2) as world, node(world):
        client = Client(world.listen, 20.0)
        started = time.monotonic()
        client.send(post("large", LARGE_BODY, X_Time_Left=f"{TIME_LEFT_S * 1000:.0f}m"))
        status = client.answer()[0].status
        took = time.monotonic() - started
        assert status in (502, 503) and took <= TIME_LEFT_S + ANSWER_SLACK_S


@pytest.mark.parametrize("pause_s", [0.005, 0.015])
def test_the_final_answer_comes_in_time_behind_a_head_that_does_not_end(
    pause_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a final answer late by the time that giving an attempt up takes: its engine goes on writing."""
    stop = threading.Event()

    def write_head(engine: Engine, sock: socket.socket, arrival: Arrival, scripted: str) -> None:
        sock.sendall(b"HTTP/1.1 200 OK\r\nX-Long: ")
        while not stop.is_set():
            sock.sendall(b"a")
            time.sleep(pause_s)

    monkeypatch.setattr(Engine, "_stream", write_head)
    with platform(1, 2) as world, node(world):
        client = Client(world.listen, 20.0)
        started = time.monotonic()
        client.send(post("endless", X_Time_Left=f"{TIME_LEFT_S * 1000:.0f}m"))
        status = client.answer()[0].status
        took = time.monotonic() - started
        stop.set()
        assert status in (502, 503) and took <= TIME_LEFT_S + ANSWER_SLACK_S


# A final answer came seconds after the client's time where engines read large requests slowly (issue 67, picture a).
@pytest.mark.parametrize("semantics", ["pure", "token", "side_effect"])
def test_a_crowd_gets_its_final_answers_in_time_where_engines_read_large_requests_slowly(
    semantics: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real_listen, real_config = emulated.listen, Platform.config

    def listen_with_a_small_buffer(port: int = 0, backlog: int = emulated.BACKLOG) -> socket.socket:
        listener = real_listen(port, backlog)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        return listener

    def config(world: Platform, **limits: Any) -> bytes:
        raw = json.loads(real_config(world, **limits))
        raw["settings"]["request_classes"][0]["semantics"] = semantics
        return json.dumps(raw).encode()

    def receive_slowly(engine: Engine, sock: socket.socket) -> bytes:
        time.sleep(0.05)
        return sock.recv(2_000)

    monkeypatch.setattr(emulated, "listen", listen_with_a_small_buffer)
    monkeypatch.setattr(Platform, "config", config)
    monkeypatch.setattr(Engine, "receive", receive_slowly)
    answers: list[tuple[int, float]] = []

    def ask(number: int) -> None:
        client = Client(world.listen, 20.0)
        client.send(post(f"q{number}", LARGE_BODY, X_Time_Left=f"{TIME_LEFT_S * 1000:.0f}m"))
        sent = time.monotonic()
        answers.append((client.answer()[0].status, time.monotonic() - sent))

    with platform(2, 2) as world, program(world, tmp_path, memory_mb=64):
        threads = [threading.Thread(target=ask, args=(number,)) for number in range(CROWD)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    assert len(answers) == CROWD and {status for status, _ in answers} <= {502, 503}
    assert max(took for _, took in answers) <= TIME_LEFT_S + ANSWER_SLACK_S
