"""The instants at which a connection or a node ends: what was read is answered, what was not is left unread."""

from __future__ import annotations

import errno
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

import pytest

from stonetrack.frontend.connection import Connection, HostState, HttpRequest
from stonetrack.frontend.host import Host, listen, plain_response
from stonetrack.node import sockets
from stonetrack.node.request_runner import Waker
from stonetrack.node.sockets import System
from stonetrack.settings.schema import Limits, Timing
from stonetrack.soak.latitude import KINDEST, Latitude, Sentence
from stonetrack.soak.platform import Trouble
from stonetrack.wire import http1
from tests.harness import CHAT, Client, wait_for
from tests.platform import headers, node, platform, round_trip

GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"


class Bare:
    """A host alone; each request is answered with its path."""

    def __init__(self, **limits: int) -> None:
        self.listener = listen("127.0.0.1", 0, 64)
        self.port = self.listener.getsockname()[1]
        self.asked: list[str] = []
        self.said: list[str] = []
        self.wait = threading.Event()
        self.wait.set()
        self.host = Host(
            self.listener, Limits(**limits), Timing(idle_ms=60_000), self.handle,
            lambda status, why: plain_response(status, why.encode(), keep=False), self.said.append)  # fmt: skip

    def handle(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        self.asked.append(request.head.path)
        self.wait.wait(5.0)
        keep = request.head.keep_alive and not connection.closes_after_response
        connection.write(plain_response(200, request.head.path.encode(), keep=keep))
        return keep


@contextmanager
def bare(**limits: int) -> Iterator[Bare]:
    made = Bare(**limits)
    made.host.start()
    try:
        yield made
    finally:
        made.host.stop()
        made.listener.close()


@contextmanager
def system(made: System) -> Iterator[None]:
    real, sockets.SYSTEM = sockets.SYSTEM, made
    try:
        yield
    finally:
        sockets.SYSTEM = real


def test_requests_that_were_read_together_are_all_answered_by_a_host_that_leaves() -> None:
    """The first answer said that the connection closes, and what was read behind the request was dropped."""
    with bare() as made:
        client = Client(made.port)
        made.wait.clear()
        client.send(GET % 1 + GET % 2 + GET % 3)
        assert wait_for(lambda: made.asked == ["/1"])
        made.host.close_after_responses()
        made.host.drain()
        made.wait.set()
        answers = [client.answer() for _ in range(3)]
        assert [body for _, body in answers] == [b"/1", b"/2", b"/3"]
        assert [head.keep_alive for head, _ in answers] == [True, True, False]
        assert wait_for(lambda: made.host.connections == 0)


def test_half_a_request_behind_an_answered_one_is_waited_for_by_a_host_that_drains() -> None:
    with bare() as made:
        client = Client(made.port)
        made.wait.clear()
        client.send(GET % 1 + (GET % 2)[:10])
        assert wait_for(lambda: made.asked == ["/1"])
        made.host.drain()
        made.wait.set()
        assert client.answer()[1] == b"/1" and made.host.busy
        time.sleep(0.05)
        assert not made.host.stop_reading_if_idle()
        client.send((GET % 2)[10:])
        assert client.answer()[1] == b"/2"
        assert wait_for(lambda: not made.host.busy)


def test_a_close_between_two_requests_reads_nothing() -> None:
    """A request that crosses the close was read and thrown away; unread, its client sends it again elsewhere."""
    ours, theirs = socket.socketpair()
    read: list[int] = []

    class Watched(System):
        def receive(self, sock: socket.socket, size: int, flags: int) -> bytes:
            read.append(size)
            return super().receive(sock, size, flags)

    connection = Connection(ours, http1.Limits(), HostState())
    theirs.sendall(GET % 1)
    with system(Watched()):
        connection.close()
        assert not read
        ours, theirs = socket.socketpair()
        theirs.sendall(GET % 1)
        Connection(ours, http1.Limits(), HostState()).close_answered()
        assert read  # behind an answer that was the last, so that no reset takes the answer along


def test_a_request_that_came_in_time_is_read_before_its_connection_is_closed_as_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made = Bare()
    closed: list[Connection] = []
    monkeypatch.setattr(made.host, "_close", closed.append)
    ours, theirs = socket.socketpair()
    resting = Connection(ours, http1.Limits(), HostState())
    theirs.sendall(GET % 2)
    made.host._close_if_idle(resting)
    assert not closed
    ours.recv(100)
    made.host._close_if_idle(resting)
    assert closed == [resting]
    made.listener.close()


def test_a_sealed_host_reads_nothing_more_and_a_busy_one_is_not_sealed() -> None:
    """A request read between the last look at `busy` and the end of the process would be lost."""
    with bare() as made:
        client = Client(made.port)
        client.send(GET % 1)
        assert client.answer()[1] == b"/1"
        made.wait.clear()
        client.send(GET % 2)
        assert wait_for(lambda: len(made.asked) == 2)
        assert made.host.busy and not made.host.stop_reading_if_idle()
        made.wait.set()
        assert client.answer()[1] == b"/2"
        assert wait_for(made.host.stop_reading_if_idle)
        client.send(GET % 3)
        time.sleep(0.4)
        assert len(made.asked) == 2


def test_a_request_between_the_reading_thread_and_its_worker_keeps_the_host_busy(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with bare() as made:
        here, on = threading.Event(), threading.Event()
        real = made.host._hand_over

        def slowly(connection: Connection, request: HttpRequest) -> None:
            here.set()
            on.wait(5.0)
            real(connection, request)

        monkeypatch.setattr(made.host, "_hand_over", slowly)
        client = Client(made.port)
        client.send(GET % 1)
        assert here.wait(5.0)
        busy, sealed = made.host.busy, made.host.stop_reading_if_idle()
        on.set()
        assert busy and not sealed and client.answer()[1] == b"/1"


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.EINTR])
def test_clients_in_the_backlog_are_answered_when_a_host_empties_it_at_its_end(code: int) -> None:
    """The first error ended the sweep, and the listening socket was closed over clients that had sent requests."""

    class Failing(System):
        def __init__(self) -> None:
            self.left = 2

        def accept(self, listener: socket.socket) -> socket.socket:
            self.left -= 1
            if self.left >= 0:
                raise OSError(code, "injected")
            return super().accept(listener)

    made = Bare()
    clients = [Client(made.port) for _ in range(4)]
    for n, client in enumerate(clients):
        client.send(GET % n)
    made.host._spare = None
    made.host._parking.start()
    with system(Failing()):
        made.host.drain(accept_queued=True)
    for n, client in enumerate(clients):
        head, body = client.answer()
        assert (head.status, body) == (200, b"/%d" % n) or head.status == 503
    made.host.stop()


def test_a_host_without_a_descriptor_ends_its_sweep_in_time() -> None:
    class Full(System):
        def accept(self, listener: socket.socket) -> socket.socket:
            raise OSError(errno.EMFILE, "Too many open files")

    made = Bare()
    made.host._parking.start()
    began = time.monotonic()
    with system(Full()):
        made.host.drain(accept_queued=True)
    assert time.monotonic() - began < 1.5
    made.host.stop()


def test_a_client_that_can_not_be_watched_is_told_so(monkeypatch: pytest.MonkeyPatch) -> None:
    with bare() as made:
        real = made.host._epoll

        class Full:
            def register(self, fd: int, mask: int) -> None:
                raise OSError(errno.ENOSPC, "no watches left")

            def __getattr__(self, name: str) -> Any:
                return getattr(real, name)

        monkeypatch.setattr(made.host, "_epoll", Full())
        assert Client(made.port).answer()[0].status == 503
        assert wait_for(lambda: made.host.connections == 0)


def test_out_of_memory_while_a_request_is_read_is_said(monkeypatch: pytest.MonkeyPatch) -> None:
    def none_left(self: Connection, data: bytes) -> HttpRequest | None:
        raise MemoryError

    with bare() as made:
        with monkeypatch.context() as patched:
            patched.setattr(Connection, "feed", none_left)
            client = Client(made.port)
            client.send(GET % 1)
            assert client.answer()[0].status == 503
        client = Client(made.port)
        client.send(GET % 2)
        assert client.answer()[1] == b"/2"


def test_a_worker_without_memory_for_its_waker_says_so(monkeypatch: pytest.MonkeyPatch) -> None:
    def none_left(self: Waker, descriptor: bool = True) -> None:
        raise MemoryError

    with bare() as made:
        with monkeypatch.context() as patched:
            patched.setattr(Waker, "__init__", none_left)
            patched.setattr(Waker, "close", lambda self: None)
            client = Client(made.port)
            client.send(GET % 1)
            assert client.answer()[0].status == 503
        assert wait_for(lambda: made.host.workers == 0)


def test_what_a_list_that_can_not_be_read_told_is_asked_for_again(capfd: pytest.CaptureFixture[str]) -> None:
    """It was passed over, the version of the next one taken, and what it had told was lost for good."""
    with platform() as world, node(world) as made:
        assert wait_for(lambda: made.engine_table.rev == 1 and len(world.discovery.asked) == 1)
        whole = world.document
        broken = b'{"rev": 2, "all": false, "targets": [{"uid": 7}]}'
        world.document = lambda node=0: broken  # type: ignore[method-assign]
        world.change("w0", "DRAINING")
        assert wait_for(lambda: len(world.discovery.asked) > 3)
        assert made.engine_table.rev == 1 and made.engine_table.engines["w0"].up
        assert all(target.endswith("&after=1") for target in world.discovery.asked[1:])
        world.document = whole  # type: ignore[method-assign]
        assert wait_for(lambda: not made.engine_table.engines["w0"].up)
    said = [line for line in capfd.readouterr().err.splitlines() if "Expected `str`" in line]
    assert len(said) == 1, said  # once, not at every try


@pytest.mark.parametrize("pause", [0.0, 0.1], ids=["after its end", "in its stream"])
def test_a_state_that_comes_about_behind_its_request_is_let_go_of(pause: float) -> None:
    """Its read was given up and went on: the engine holds it for a request that needs it no more, and nobody asks."""
    with platform() as world, node(world) as made:
        world.latitude = Latitude(0, {**KINDEST, Sentence.GIVEN_UP: True, Sentence.RELEASE_INTO_READ: False})
        world.pause, slow = pause, world.engines["r0"]
        world.work = 0.02
        slow.trouble = Trouble.HANG_BEFORE
        client = Client(world.listen)
        for n in range(12):
            assert round_trip(client, f"q{n}")[0].status == 200
        first = {each.request: each.engine for each in reversed(world.seen) if each.what == "read"}
        late = [request for request, engine in first.items() if engine == "r0"]
        assert late, "no read was given up at r0"
        slow.trouble = None
        assert wait_for(lambda: made.abandoned.counts.told >= len(late))
        assert wait_for(lambda: not world.held and not len(made.abandoned), 3.0), (world.held, made.abandoned.counts)
        with world.lock:
            longest = max((stay.until - stay.since) / 1e9 for stay in world.books.stays)
        assert longest < 0.5 + 0.3


@pytest.mark.parametrize("how", ["close", "half close", "reset"])
def test_an_attempt_whose_last_byte_is_not_sent_ends_with_its_client(how: str) -> None:
    """An attempt begins with its request's last byte, which was written 0.3 s and more after the client had left."""
    hold = threading.Event()

    class Slow(System):
        def send(self, sock: socket.socket, data: bytes | bytearray | memoryview, flags: int) -> int:
            if sock.getpeername()[1] in engines and not hold.is_set():
                if len(data) < 40:
                    raise BlockingIOError(errno.EAGAIN, "no room")
                return super().send(sock, data[: len(data) - 20], flags)
            return super().send(sock, data, flags)

    with platform() as world, node(world) as made:
        engines = {engine.port for engine in world.engines.values()}
        router: Any = made.core.router
        router.settings = replace(router.settings, may_cancel=False)  # else the router's cancellation ends it
        with system(Slow()):
            client = Client(world.listen)
            client.send_request(b'{"model":"chat"}', CHAT, headers=headers("gone"))
            assert wait_for(lambda: any(s.unanswered for s in router.servers.values()))
            time.sleep(0.05)
            if how == "half close":
                client.sock.shutdown(socket.SHUT_WR)
            elif how == "reset":
                sockets.reset(client.sock)
            else:
                client.close()
            assert wait_for(lambda: made.core.open_requests == 0, 1.0)
            hold.set()
        time.sleep(0.2)
        assert not [what for what, _ in world.which("gone") if what in ("read", "write")]
        assert round_trip(Client(world.listen), "next")[0].status == 200
