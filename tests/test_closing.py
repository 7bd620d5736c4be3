"""Connections and nodes that close: requests already read are answered, and others are left unread."""

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

from stonetrack.frontend.body_memory import BodyLimits
from stonetrack.frontend.connection import Connection, HostState, HttpRequest
from stonetrack.frontend.host import Host, listen, plain_response
from stonetrack.node import sockets
from stonetrack.node.request_runner import Waker
from stonetrack.node.sockets import System
from stonetrack.settings.schema import Limits, Timing
from stonetrack.soak.platform import EngineFault
from stonetrack.soak.unspecified import MOST_HELPFUL, EngineBehaviour, Unspecified
from stonetrack.wire import http1
from tests.harness import CHAT, Client, wait_for
from tests.platform import headers, node, platform, round_trip

GET = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"


class BareHost:
    """A host without a node; each request is answered with its path."""

    def __init__(self, body_limits: BodyLimits | None = None, **limits: int) -> None:
        self.listener = listen("127.0.0.1", 0, 64)
        self.port = self.listener.getsockname()[1]
        self.paths: list[str] = []
        self.requests: list[tuple[str, int, float]] = []  # path, bytes of the body, seconds that count before its end
        self.logged: list[str] = []
        self.wait = threading.Event()
        self.wait.set()
        self.host = Host(
            self.listener, Limits(**limits), Timing(idle_ms=60_000), self.handle,
            lambda status, why: plain_response(status, why.encode(), keep=False), self.logged.append,
            body_limits=body_limits)  # fmt: skip

    def handle(self, connection: Connection, request: HttpRequest, waker: Waker) -> bool:
        self.paths.append(request.head.path)
        self.requests.append((request.head.path, len(request.body), (request.completed - request.timed_from) / 1e9))
        self.wait.wait(5.0)
        keep = request.head.keep_alive and not connection.closes_after_response
        connection.write(plain_response(200, request.head.path.encode(), keep=keep))
        return keep


@contextmanager
def bare_host(body_limits: BodyLimits | None = None, **limits: int) -> Iterator[BareHost]:
    bare = BareHost(body_limits, **limits)
    bare.host.start()
    try:
        yield bare
    finally:
        bare.host.stop()
        bare.listener.close()


@contextmanager
def system(replacement: System) -> Iterator[None]:
    real, sockets.SYSTEM = sockets.SYSTEM, replacement
    try:
        yield
    finally:
        sockets.SYSTEM = real


def test_requests_read_together_are_all_answered_by_a_stopping_host() -> None:
    """The first answer announced that the connection closes, and requests read after it were dropped."""
    with bare_host() as bare:
        client = Client(bare.port)
        bare.wait.clear()
        client.send(GET % 1 + GET % 2 + GET % 3)
        assert wait_for(lambda: bare.paths == ["/1"])
        bare.host.close_after_responses()
        bare.host.drain()
        bare.wait.set()
        answers = [client.answer() for _ in range(3)]
        assert [body for _, body in answers] == [b"/1", b"/2", b"/3"]
        assert [head.keep_alive for head, _ in answers] == [True, True, False]
        assert wait_for(lambda: bare.host.connections == 0)


def test_a_draining_host_waits_for_the_rest_of_a_partly_read_request() -> None:
    with bare_host() as bare:
        client = Client(bare.port)
        bare.wait.clear()
        client.send(GET % 1 + (GET % 2)[:10])
        assert wait_for(lambda: bare.paths == ["/1"])
        bare.host.drain()
        bare.wait.set()
        assert client.answer()[1] == b"/1" and bare.host.busy
        time.sleep(0.05)
        assert not bare.host.stop_reading_if_idle()
        client.send((GET % 2)[10:])
        assert client.answer()[1] == b"/2"
        assert wait_for(lambda: not bare.host.busy)


def test_a_close_between_two_requests_reads_nothing() -> None:
    """A request sent during the close was read and dropped; if it stays unread, its client retries it elsewhere."""
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
        assert read  # after a final answer, so that no reset destroys that answer


def test_a_request_that_arrived_in_time_is_read_before_its_connection_is_closed_as_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bare = BareHost()
    closed: list[Connection] = []
    monkeypatch.setattr(bare.host, "_close", closed.append)
    ours, theirs = socket.socketpair()
    idle = Connection(ours, http1.Limits(), HostState())
    theirs.sendall(GET % 2)
    bare.host._close_if_idle(idle)
    assert not closed
    ours.recv(100)
    bare.host._close_if_idle(idle)
    assert closed == [idle]
    bare.listener.close()


def test_a_sealed_host_reads_nothing_more_and_a_busy_one_is_not_sealed() -> None:
    """A request read between the last check of `busy` and the end of the process would be lost."""
    with bare_host() as bare:
        client = Client(bare.port)
        client.send(GET % 1)
        assert client.answer()[1] == b"/1"
        bare.wait.clear()
        client.send(GET % 2)
        assert wait_for(lambda: len(bare.paths) == 2)
        assert bare.host.busy and not bare.host.stop_reading_if_idle()
        bare.wait.set()
        assert client.answer()[1] == b"/2"
        assert wait_for(bare.host.stop_reading_if_idle)
        client.send(GET % 3)
        time.sleep(0.4)
        assert len(bare.paths) == 2


def test_a_request_on_its_way_to_a_worker_keeps_the_host_busy(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with bare_host() as bare:
        entered, proceed = threading.Event(), threading.Event()
        real = bare.host._hand_over

        def slowly(connection: Connection, request: HttpRequest) -> None:
            entered.set()
            proceed.wait(5.0)
            real(connection, request)

        monkeypatch.setattr(bare.host, "_hand_over", slowly)
        client = Client(bare.port)
        client.send(GET % 1)
        assert entered.wait(5.0)
        busy, sealed = bare.host.busy, bare.host.stop_reading_if_idle()
        proceed.set()
        assert busy and not sealed and client.answer()[1] == b"/1"


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.EINTR])
def test_clients_in_the_backlog_are_answered_when_a_draining_host_empties_it(code: int) -> None:
    """The first error ended the sweep, and the listening socket was closed while clients with requests were waiting."""

    class Failing(System):
        def __init__(self) -> None:
            self.left = 2

        def accept(self, listener: socket.socket) -> socket.socket:
            self.left -= 1
            if self.left >= 0:
                raise OSError(code, "injected")
            return super().accept(listener)

    bare = BareHost()
    clients = [Client(bare.port) for _ in range(4)]
    for n, client in enumerate(clients):
        client.send(GET % n)
    bare.host._spare = None
    bare.host._parking.start()
    with system(Failing()):
        bare.host.drain(accept_queued=True)
    for n, client in enumerate(clients):
        head, body = client.answer()
        assert (head.status, body) == (200, b"/%d" % n) or head.status == 503
    bare.host.stop()


def test_a_host_without_free_descriptors_ends_its_sweep_in_time() -> None:
    class Full(System):
        def accept(self, listener: socket.socket) -> socket.socket:
            raise OSError(errno.EMFILE, "Too many open files")

    bare = BareHost()
    bare.host._parking.start()
    began = time.monotonic()
    with system(Full()):
        bare.host.drain(accept_queued=True)
    assert time.monotonic() - began < 1.5
    bare.host.stop()


def test_a_client_that_can_not_be_polled_receives_503(monkeypatch: pytest.MonkeyPatch) -> None:
    with bare_host() as bare:
        real = bare.host._epoll

        class Full:
            def register(self, fd: int, mask: int) -> None:
                raise OSError(errno.ENOSPC, "no watches left")

            def __getattr__(self, name: str) -> Any:
                return getattr(real, name)

        monkeypatch.setattr(bare.host, "_epoll", Full())
        assert Client(bare.port).answer()[0].status == 503
        assert wait_for(lambda: bare.host.connections == 0)


def test_out_of_memory_while_a_request_is_read_is_answered_with_503(monkeypatch: pytest.MonkeyPatch) -> None:
    def out_of_memory(self: Connection, data: bytes) -> HttpRequest | None:
        raise MemoryError

    with bare_host() as bare:
        with monkeypatch.context() as patched:
            patched.setattr(Connection, "feed", out_of_memory)
            client = Client(bare.port)
            client.send(GET % 1)
            assert client.answer()[0].status == 503
        client = Client(bare.port)
        client.send(GET % 2)
        assert client.answer()[1] == b"/2"


def test_a_worker_without_memory_for_its_waker_answers_503(monkeypatch: pytest.MonkeyPatch) -> None:
    def out_of_memory(self: Waker, descriptor: bool = True) -> None:
        raise MemoryError

    with bare_host() as bare:
        with monkeypatch.context() as patched:
            patched.setattr(Waker, "__init__", out_of_memory)
            patched.setattr(Waker, "close", lambda self: None)
            client = Client(bare.port)
            client.send(GET % 1)
            assert client.answer()[0].status == 503
        assert wait_for(lambda: bare.host.workers == 0)


def test_a_list_that_can_not_be_decoded_is_requested_again(capfd: pytest.CaptureFixture[str]) -> None:
    """Such a list was skipped and the version of the next one adopted, so that its changes were lost for good."""
    with platform() as emulated, node(emulated) as edge_node:
        assert wait_for(lambda: edge_node.engine_table.rev == 1 and len(emulated.discovery.request_targets) == 1)
        real_document = emulated.document
        broken = b'{"rev": 2, "all": false, "targets": [{"uid": 7}]}'
        emulated.document = lambda node=0: broken  # type: ignore[method-assign]
        emulated.change_state("w0", "DRAINING")
        assert wait_for(lambda: len(emulated.discovery.request_targets) > 3)
        assert edge_node.engine_table.rev == 1 and edge_node.engine_table.engines["w0"].up
        assert all(target.endswith("&after=1") for target in emulated.discovery.request_targets[1:])
        emulated.document = real_document  # type: ignore[method-assign]
        assert wait_for(lambda: not edge_node.engine_table.engines["w0"].up)
    logged = [line for line in capfd.readouterr().err.splitlines() if "Expected `str`" in line]
    assert len(logged) == 1, logged  # once, not at every retry


@pytest.mark.parametrize("pause", [0.0, 0.1], ids=["after its end", "in its stream"])
def test_state_created_after_its_request_moved_on_is_released(pause: float) -> None:
    """An abandoned prefill went on: the engine held state for a request that no longer needed it."""
    with platform() as emulated, node(emulated) as edge_node:
        emulated.behaviour = EngineBehaviour(
            0, {**MOST_HELPFUL, Unspecified.GIVEN_UP: True, Unspecified.RELEASE_INTO_READ: False}
        )
        emulated.event_interval, slow = pause, emulated.engines["r0"]
        emulated.work_seconds = 0.02
        slow.fault = EngineFault.HANG_BEFORE
        client = Client(emulated.listen)
        for n in range(12):
            assert round_trip(client, f"q{n}")[0].status == 200
        first = {each.request: each.engine for each in reversed(emulated.calls) if each.what == "read"}
        late = [request for request, engine in first.items() if engine == "r0"]
        assert late, "no prefill was abandoned at r0"
        slow.fault = None
        assert wait_for(lambda: edge_node.abandoned.counts.told >= len(late))
        assert wait_for(lambda: not emulated.held and not len(edge_node.abandoned), 3.0), (
            emulated.held,
            edge_node.abandoned.counts,
        )
        with emulated.lock:
            longest = max((held.until - held.since) / 1e9 for held in emulated.state_records.history)
        assert longest < 0.5 + 0.3


@pytest.mark.parametrize("how", ["close", "half close", "reset"])
def test_an_attempt_not_yet_sent_completely_ends_with_its_client(how: str) -> None:
    """An attempt begins with its request's last byte, which was written 0.3 s and more after the client left."""
    hold = threading.Event()

    class Slow(System):
        def send(self, sock: socket.socket, data: bytes | bytearray | memoryview, flags: int) -> int:
            if sock.getpeername()[1] in engines and not hold.is_set():
                if len(data) < 40:
                    raise BlockingIOError(errno.EAGAIN, "no room")
                return super().send(sock, data[: len(data) - 20], flags)
            return super().send(sock, data, flags)

    with platform() as emulated, node(emulated) as edge_node:
        engines = {engine.port for engine in emulated.engines.values()}
        router: Any = edge_node.core.router
        router.settings = replace(router.settings, may_cancel=False)  # else the router's cancellation ends the attempt
        with system(Slow()):
            client = Client(emulated.listen)
            client.send_request(b'{"model":"chat"}', CHAT, headers=headers("gone"))
            assert wait_for(lambda: any(s.unanswered for s in router.servers.values()))
            time.sleep(0.05)
            if how == "half close":
                client.sock.shutdown(socket.SHUT_WR)
            elif how == "reset":
                sockets.reset(client.sock)
            else:
                client.close()
            assert wait_for(lambda: edge_node.core.open_requests == 0, 1.0)
            hold.set()
        time.sleep(0.2)
        assert not [what for what, _ in emulated.calls_for("gone") if what in ("read", "write")]
        assert round_trip(Client(emulated.listen), "next")[0].status == 200
