"""Streams whose engine goes on writing bytes that complete no event: their clients' connections end in time."""

from __future__ import annotations

import contextlib
import json
import re
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from stonetrack.soak.engine_side import Arrival
from stonetrack.soak.platform import Engine
from stonetrack.wire import writer
from tests.harness import Client, wait_for
from tests.platform import CHAT, Platform, headers, node, platform, program

WAIT_S = 5.0  # for which a client may be left waiting after a running engine's last event (protocol page, Figures)
GIVE_UP_S = 12.0  # after which a test's client leaves
EVENT_PAUSE_S = 0.06  # an engine's usual pace
HEAD = writer.chunked_head(200, [("Content-Type", "text/event-stream")])
LAST_CHUNK = b"0\r\n\r\n"


def event(text: str) -> bytes:
    return b"data: " + json.dumps({"choices": [{"index": 0, "delta": {"content": text}}]}).encode() + b"\n\n"


def pieces(start: bytes, each: bytes, pause_s: float) -> Iterator[tuple[bytes, float]]:
    """``start``, then ``each`` for ever, with ``pause_s`` seconds before each piece."""
    yield start, pause_s
    while True:
        yield each, pause_s


def single_bytes(data: bytes, pause_s: float) -> Iterator[tuple[bytes, float]]:
    for n in range(len(data)):
        yield data[n : n + 1], pause_s


def then(first: Iterator[tuple[bytes, float]], second: Iterator[tuple[bytes, float]]) -> Iterator[tuple[bytes, float]]:
    yield from first
    yield from second


@dataclass
class UnfinishedStreams:
    """Engines that stream two events and go on with the pieces of their request's form until they are cut."""

    forms: dict[str, Iterator[tuple[bytes, float]]]
    last_events: dict[str, float] = field(default_factory=dict)  # monotonic seconds, by form

    def stream(self, engine: Engine, sock: socket.socket, arrival: Arrival, scripted: str) -> None:
        sock.sendall(HEAD + writer.chunk(event("first")))
        time.sleep(EVENT_PAUSE_S)
        sock.sendall(writer.chunk(event("second")))
        self.last_events[arrival.request] = time.monotonic()
        for piece, pause_s in self.forms[arrival.request]:
            time.sleep(pause_s)
            sock.sendall(piece)  # raises OSError once the node has ended the attempt


def waits(world: Platform, streams: UnfinishedStreams) -> dict[str, float]:
    """Seconds from the last event to the end of the client's connection, by form; all forms at the same time."""
    found: dict[str, float] = {}

    def ask(form: str) -> None:
        client = Client(world.listen, GIVE_UP_S)
        received, until = bytearray(), time.monotonic() + GIVE_UP_S
        client.send_request(b"{}", CHAT, headers=headers(form))
        with contextlib.suppress(TimeoutError):
            while time.monotonic() < until and (data := client.sock.recv(65_536)):
                received += data
        waited = time.monotonic() - streams.last_events[form]
        client.close()
        if b"second" in received and not received.endswith(LAST_CHUNK):
            found[form] = waited

    threads = [threading.Thread(target=ask, args=(form,)) for form in streams.forms]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert found.keys() == streams.forms.keys(), "a stream ended with its last chunk, or never began"
    return found


def waits_that_are_too_long(
    streams: UnfinishedStreams, folder: Path, monkeypatch: pytest.MonkeyPatch
) -> dict[str, float]:
    """The waits of over ``WAIT_S`` seconds at a node process whose engines stream so."""
    monkeypatch.setattr(Engine, "_stream", lambda *arguments: streams.stream(*arguments))
    with platform(2, 2) as world, program(world, folder):
        return {form: round(seconds, 2) for form, seconds in waits(world, streams).items() if seconds > WAIT_S}


# A client was left waiting on a stream behind a chunk's size that did not end, or that said gigabytes (issue 67).
def test_a_client_is_not_left_waiting_behind_a_chunk_size_that_never_ends_or_says_gigabytes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    usual = writer.chunk(event("sound"))
    streams = UnfinishedStreams({
        "digits": pieces(b"0", b"0", EVENT_PAUSE_S),
        "digits-slowly": pieces(b"1", b"1", 0.6),
        "pairs-of-digits": pieces(b"00", b"00", 0.25),
        "extension": pieces(b"4f;", b"a", EVENT_PAUSE_S),
        "extension-slowly": pieces(b"4f;", b"a", 1.0),
        "gigabytes": pieces(b"c0000000\r\n", event("sound"), EVENT_PAUSE_S),
        "gigabytes-in-chunks": pieces(b"c0000000\r\n", usual, EVENT_PAUSE_S),
        "gigabytes-bytewise": then(single_bytes(b"c0000000", 0.3), pieces(b"\r\n", event("sound"), EVENT_PAUSE_S)),
        "gigabytes-zeros": then(single_bytes(b"00000000c0000000", 0.2), pieces(b"\r\n", usual, EVENT_PAUSE_S)),
        "gigabytes-no-line-end": pieces(b"c0000000", b"data: sound", EVENT_PAUSE_S),
    })  # fmt: skip
    assert not waits_that_are_too_long(streams, tmp_path, monkeypatch)


# A client was left waiting behind chunks of a sound size that completed no event: kin of issue 67.
def test_a_client_is_not_left_waiting_behind_bytes_that_complete_no_event(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    streams = UnfinishedStreams({
        "event-in-small-chunks": pieces(b"", writer.chunk(b"x"), EVENT_PAUSE_S),
        "event-in-parts-of-chunks": pieces(b"1\r\n", b"x\r\n1\r\n", EVENT_PAUSE_S),
        "event-in-a-large-chunk": pieces(b"4000\r\n", b"x", EVENT_PAUSE_S),
        "lines-of-one-event": pieces(b"", writer.chunk(b"data: x\n"), 0.3),
        "empty-lines": pieces(b"", writer.chunk(b"\n"), EVENT_PAUSE_S),
        "comments": pieces(b"", writer.chunk(b": alive\n\n"), 0.5),
        "fields-without-data": pieces(b"", writer.chunk(b"id: 1\r\n\r\n"), 0.5),
        "trailer-lines": pieces(b"0\r\n", b"X-A: b\r\n", 0.4),
        "trailer-line": pieces(b"0\r\nX-A: ", b"b", EVENT_PAUSE_S),
    })  # fmt: skip
    assert not waits_that_are_too_long(streams, tmp_path, monkeypatch)


# A stream whose engine writes whole events slowly, a byte at a time, was cut off (issue 67, picture a).
@pytest.mark.parametrize("pause_s", [0.04, 0.08])
def test_a_stream_whose_events_are_written_byte_by_byte_is_served_whole(
    pause_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    slow = writer.chunk(event("slowly")) + writer.chunk(b"data: [DONE]\n\n") + LAST_CHUNK

    def write_slowly(engine: Engine, sock: socket.socket, arrival: Arrival, scripted: str) -> None:
        sock.sendall(HEAD + writer.chunk(event("first")))
        for piece, pause in single_bytes(slow, pause_s):
            time.sleep(pause)
            sock.sendall(piece)

    monkeypatch.setattr(Engine, "_stream", write_slowly)
    with platform(1, 1) as world, node(world):
        client = Client(world.listen, 30.0)
        client.send_request(b"{}", CHAT, headers=headers("slow"))
        head, body = client.answer()
    assert head.status == 200 and body == event("first") + event("slowly") + b"data: [DONE]\n\n"


# The log of an incident could not tell what a stream's engine had sent last, nor when (issue 67).
def test_the_log_tells_when_and_where_a_stream_that_was_given_up_stood_still(
    capfd: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    streams = UnfinishedStreams({"stuck": pieces(b"4", b"f", 0.3)})
    monkeypatch.setattr(Engine, "_stream", lambda *arguments: streams.stream(*arguments))
    with platform(1, 1) as world, node(world) as edge_node:
        client = Client(world.listen)
        client.send_request(b"{}", CHAT, headers=headers("stuck"))
        assert wait_for(lambda: "stuck" in streams.last_events)
        time.sleep(1.0)
        client.close()
        assert wait_for(lambda: edge_node.records.streams_given_up == {"chunk size": 1})
        assert wait_for(lambda: len(edge_node.records) == 0)
    log_text = capfd.readouterr().err
    assert re.search(r"attempt ended #1 w0 cancelled \(the client left; [01]\.\d+ s after its last event, in its chunk "
                     r"size\)", log_text), log_text  # fmt: skip
