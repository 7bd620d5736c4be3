"""Answers of discovery and engines that go on and complete nothing: every reader ends in its time."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest

from stonetrack.edge import watch
from stonetrack.edge.calls import send_and_receive
from stonetrack.engines.calls import CallFailed, exchange
from stonetrack.wire import writer

SCALE = 10  # the watch's times are a tenth of the protocol's
CHANGE_KNOWN_S = 6.0 / SCALE  # a change counts as told so long after a watch fell silent
GIVE_UP_S = 3.0
WATCH_HEAD = writer.chunked_head(200, [("Content-Type", "application/json")])
FIRST_DOCUMENT = writer.chunk(b'{"rev":1}\n')
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


@contextmanager
def server(serve: Callable[[socket.socket, int], None]) -> Iterator[tuple[str, int]]:
    """A server on loopback; ``serve`` gets each connection, whose request was read, and its number from 0 on."""
    listener, open_sockets = socket.create_server(("127.0.0.1", 0)), []

    def serve_one(sock: socket.socket, number: int) -> None:
        with contextlib.suppress(OSError):
            sock.recv(4_096)
            serve(sock, number)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                open_sockets.append(listener.accept()[0])
                arguments = (open_sockets[-1], len(open_sockets) - 1)
                threading.Thread(target=serve_one, args=arguments, daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield listener.getsockname()[:2]
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for sock in open_sockets:
            sock.close()


def go_on(sock: socket.socket, start: bytes, piece: bytes, pause_s: float) -> None:
    """Send ``start``, then ``piece`` again and again for longer than any test looks at it."""
    sock.sendall(start)
    until = time.monotonic() + 2 * GIVE_UP_S
    while time.monotonic() < until:
        time.sleep(pause_s)
        sock.sendall(piece)


# A watch whose agent went on without completing a document was followed for ever, and changes were missed (issue 67).
@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (WATCH_HEAD + FIRST_DOCUMENT, b"0"),
        (WATCH_HEAD + FIRST_DOCUMENT + b"c0000000\r\n", b" "),
        (WATCH_HEAD + FIRST_DOCUMENT + b"c0000000\r\n{\n", b"1,\n"),
        (WATCH_HEAD + FIRST_DOCUMENT, writer.chunk(b'{"rev":2,')),
        (WATCH_HEAD + FIRST_DOCUMENT + b"0\r\n", b"X-A: b\r\n"),
        (b"HTTP/1.1 200 OK\r\nX-A: ", b"b"),
        (b"", INTERIM),
    ],
    ids=["size", "gigabytes of blanks", "lines of a document", "document", "trailers", "head", "interim heads"],
)
def test_a_watch_that_completes_nothing_is_replaced_by_a_new_one(
    start: bytes, piece: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name in ("SILENCE_TIMEOUT_S", "FIRST_BYTE_TIMEOUT_S", "CONNECT_TIMEOUT_S", "FIRST_PAUSE_S", "MAX_PAUSE_S"):
        monkeypatch.setattr(watch, name, getattr(watch, name) / SCALE)
    documents: list[bytes] = []
    started: list[float] = []

    def serve(sock: socket.socket, number: int) -> None:
        started.append(time.monotonic())
        if number:
            sock.sendall(WATCH_HEAD + writer.chunk(b'{"rev":9}\n'))
            time.sleep(GIVE_UP_S)
        else:
            go_on(sock, start, piece, 0.005 if len(piece) < 5 else 0.02)

    with server(serve) as address:
        follower = watch.DiscoveryWatch(
            address, lambda: 1, lambda data, first: documents.append(data), lambda text: None
        )
        follower.start()
        try:
            until = time.monotonic() + GIVE_UP_S
            while b'{"rev":9}' not in documents and time.monotonic() < until:
                time.sleep(0.005)
            assert b'{"rev":9}' in documents, "the first watch is followed still"
            assert started[1] - started[0] < CHANGE_KNOWN_S
        finally:
            follower.stop()


# The other side of the above: a list that takes long would never come if its watch were always begun anew.
def test_a_long_list_that_comes_slowly_is_received_in_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("SILENCE_TIMEOUT_S", "FIRST_BYTE_TIMEOUT_S", "CONNECT_TIMEOUT_S", "FIRST_PAUSE_S", "MAX_PAUSE_S"):
        monkeypatch.setattr(watch, name, getattr(watch, name) / SCALE)
    documents: list[bytes] = []
    document = b'{"rev":1,"targets":[' + b" " * 100 + b"]}"

    def serve(sock: socket.socket, number: int) -> None:
        sock.sendall(WATCH_HEAD)
        for n in range(len(document)):
            time.sleep(0.01)
            sock.sendall(writer.chunk(document[n : n + 1]))
        sock.sendall(writer.chunk(b"\n"))
        time.sleep(GIVE_UP_S)

    with server(serve) as address:
        follower = watch.DiscoveryWatch(
            address, lambda: 1, lambda data, first: documents.append(data), lambda text: None
        )
        follower.start()
        try:
            until = time.monotonic() + 3 * GIVE_UP_S
            while not documents and time.monotonic() < until:
                time.sleep(0.005)
            assert documents[:1] == [document]
        finally:
            follower.stop()


ENDLESS_ANSWERS = [
    (b"", INTERIM, 0.0),
    (b"", INTERIM, 0.02),
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n", 0.02),
    (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", b"a", 0.02),
    (b"HTTP/1.1 204 No Content\r\nX-A: ", b"b", 0.02),
]


# A call to an engine went on for as long as bytes came; three such releases left no thread for others (issue 67).
@pytest.mark.parametrize(("start", "piece", "pause_s"), ENDLESS_ANSWERS)
def test_a_call_to_an_engine_ends_in_its_time_though_bytes_go_on(start: bytes, piece: bytes, pause_s: float) -> None:
    with server(lambda sock, number: go_on(sock, start, piece, pause_s)) as address:
        sock = socket.create_connection(address)
        began = time.monotonic()
        with contextlib.closing(sock), pytest.raises(OSError):
            sock.settimeout(0.3)
            send_and_receive(sock, writer.request("DELETE", "/kv/leases/q", [("Host", "h")], None), 0.3)
        assert time.monotonic() - began < 1.0


# A call of the daemon, its controllers and stores went on for as long as bytes came (issue 67).
@pytest.mark.parametrize(("start", "piece", "pause_s"), ENDLESS_ANSWERS)
def test_a_call_on_a_new_connection_ends_in_its_time_though_bytes_go_on(
    start: bytes, piece: bytes, pause_s: float
) -> None:
    with server(lambda sock, number: go_on(sock, start, piece, pause_s)) as (host, port):
        began = time.monotonic()
        with pytest.raises(CallFailed):
            exchange(host, port, writer.request("GET", "/", [("Host", "h")]), 0.3)
        assert time.monotonic() - began < 1.0
