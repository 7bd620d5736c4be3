"""Each documented error of each system call, injected at every call of one request, judged by the five rules."""

from __future__ import annotations

import errno
import os
import select
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TypeVar

import pytest

from stonetrack.edge.serve import EdgeNode
from stonetrack.node import sockets
from stonetrack.node.sockets import ResourceExhausted, System, call_with_retries
from stonetrack.node.system_errors import ErrorClass, SystemCall, classify_error
from stonetrack.wire.errors import ProtocolError
from tests.harness import Client, wait_for
from tests.platform import Platform, is_idle, node, platform, round_trip

SHORT = 0  # in place of an error: a single byte is sent or read
ERRORS: dict[SystemCall, tuple[int, ...]] = {
    SystemCall.ACCEPT: (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR,
                  errno.EAGAIN, errno.EPROTO, errno.ENETDOWN, errno.EPERM),
    SystemCall.SOCKET: (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    SystemCall.CONNECT: (errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT,
                   errno.ECONNREFUSED, errno.EINTR, errno.EACCES),
    SystemCall.OPTION: (errno.ENOBUFS, errno.ENOMEM, errno.EINVAL),
    SystemCall.SEND: (errno.EPIPE, errno.ECONNRESET, errno.ENOBUFS, errno.ENOMEM, errno.EINTR, errno.EAGAIN,
                errno.ETIMEDOUT, errno.EHOSTUNREACH, SHORT),
    SystemCall.RECEIVE: (errno.ECONNRESET, errno.ENOMEM, errno.EINTR, errno.EAGAIN, errno.ETIMEDOUT, SHORT),
    SystemCall.POLL: (errno.ENOMEM, errno.EINTR),
    SystemCall.CLOSE: (errno.EINTR, errno.EIO),
}  # fmt: skip
CASES = [(call, code) for call, codes in ERRORS.items() for code in codes]
FaultyT = TypeVar("FaultyT", bound=System)
MAX_CALLS = 60  # of one kind in one request


def case_name(case: object) -> str:
    if isinstance(case, SystemCall):
        return case.value
    return errno.errorcode.get(case, "short") if isinstance(case, int) else str(case)


class Faulty(System):
    """Raises an error at the ``at``-th call of one kind, ``times`` times in a row."""

    def __init__(self, call: SystemCall, code: int, at: int, times: int, client_port: int) -> None:
        self.call, self.code, self.at, self.times, self._port = call, code, at, times, client_port
        self.count = 0
        self.fired = 0
        self.at_client = False  # whether one of the failed calls was on a client's connection
        self._lock = threading.Lock()

    def _due(self, call: SystemCall, sock: socket.socket | None = None) -> bool:
        if call is not self.call:
            return False
        with self._lock:
            self.count += 1
            if not self.at <= self.count < self.at + self.times:
                return False
            self.fired += 1
            if sock is not None:
                try:
                    self.at_client |= sock.getsockname()[1] == self._port
                except OSError:
                    self.at_client = True  # the connection is closed already
            return True

    def _step(self, call: SystemCall, sock: socket.socket | None = None) -> None:
        if self._due(call, sock):
            raise OSError(self.code, os.strerror(self.code))

    def create_socket(self, family: int) -> socket.socket:
        self._step(SystemCall.SOCKET)
        return super().create_socket(family)

    def connect(self, sock: socket.socket, address: tuple[str, int]) -> None:
        self._step(SystemCall.CONNECT)
        super().connect(sock, address)

    def accept(self, listener: socket.socket) -> socket.socket:
        self._step(SystemCall.ACCEPT)
        return super().accept(listener)

    def set_option(self, sock: socket.socket, level: int, name: int, value: int | bytes) -> None:
        self._step(SystemCall.OPTION, sock)
        super().set_option(sock, level, name, value)

    def send(self, sock: socket.socket, data: bytes | bytearray | memoryview, flags: int) -> int:
        if self._due(SystemCall.SEND, sock):
            if self.code != SHORT:
                raise OSError(self.code, os.strerror(self.code))
            data = data[:1]
        return super().send(sock, data, flags)

    def receive(self, sock: socket.socket, size: int, flags: int) -> bytes:
        if self._due(SystemCall.RECEIVE, sock):
            if self.code != SHORT:
                raise OSError(self.code, os.strerror(self.code))
            size = 1
        return super().receive(sock, size, flags)

    def poll(self, poller: select.poll, milliseconds: float | None) -> list[tuple[int, int]]:
        self._step(SystemCall.POLL)
        return super().poll(poller, milliseconds)

    def close(self, sock: socket.socket) -> None:
        super().close(sock)
        self._step(SystemCall.CLOSE)


@contextmanager
def faults(faulty: FaultyT) -> Iterator[FaultyT]:
    real = sockets.SYSTEM
    sockets.SYSTEM = faulty
    try:
        yield faulty
    finally:
        sockets.SYSTEM = real


def status_of(emulated: Platform, request: str) -> int:
    """Send one request on a new connection; the status, 0 where no complete answer came."""
    try:
        client = Client(emulated.listen, 5.0)
        try:
            return round_trip(client, request)[0].status
        finally:
            client.close()
    except (ConnectionError, ProtocolError):
        return 0


def check_rules(emulated: Platform, edge_node: EdgeNode, faulty: Faulty, status: int, where: str) -> None:
    """Check the five rules, and which side the fault may be counted against."""
    peer = faulty.code != SHORT and classify_error(faulty.call, OSError(faulty.code, "")) is ErrorClass.PEER
    lost_client = peer and faulty.at_client and faulty.call in (SystemCall.SEND, SystemCall.RECEIVE)
    engine_lost = peer and not faulty.at_client and faulty.call in (SystemCall.SEND, SystemCall.RECEIVE)
    broken_stream = engine_lost and status == 0 and any(what == "write" for _, what, _, _ in emulated.calls)
    assert status in (200, 502, 503) or lost_client or broken_stream, f"{where}: answered {status}"
    if not peer:
        ejected = [s.name for s in edge_node.core.router.servers.values() if s.ejections]  # type: ignore[attr-defined]
        assert not ejected, f"{where}: {ejected} ejected for a fault of this machine"
    # After an engine's connection has ended, what the engine still runs is no attempt on an open connection.
    assert emulated.max_concurrent_attempts <= 1 or engine_lost, f"{where}: attempts overlapped"
    emulated.max_concurrent_attempts = 0
    emulated.calls.clear()
    assert wait_for(lambda: is_idle(edge_node) and not emulated.held, 5.0), f"{where}: held {emulated.held}"


def reset_node(edge_node: EdgeNode) -> None:
    """Drop pooled connections and ejections, so that each request opens connections, to any engine."""
    edge_node.pool.retain(set())
    edge_node.pool.reuse_delay._failed.clear()
    for server in edge_node.core.router.servers.values():  # type: ignore[attr-defined]
        server.ejections.clear()
    edge_node.calls.suspect_until.clear()


@pytest.mark.parametrize(("call", "code"), CASES, ids=case_name)
def test_one_error_at_every_call_of_a_request(call: SystemCall, code: int) -> None:
    with platform() as emulated, node(emulated) as edge_node:
        assert status_of(emulated, "before") == 200 and wait_for(lambda: is_idle(edge_node))
        for at in range(1, MAX_CALLS):
            reset_node(edge_node)
            with faults(Faulty(call, code, at, 1, emulated.listen)) as faulty:
                status = status_of(emulated, f"q{at}")
                where = f"{call.value} {case_name(code)} at call {at}"
                check_rules(emulated, edge_node, faulty, status, where)
                # Another thread closes the client's connection when it reads its end; that close is one of the calls.
                assert wait_for(lambda: edge_node.host.connections == 0), (
                    f"{where}: the client's connection stayed open"
                )
                peer = code != SHORT and classify_error(call, OSError(code, "")) is ErrorClass.PEER
                assert peer or status == 200, f"{where}: one transient error, and answered {status}"
            if not faulty.fired or (call is SystemCall.ACCEPT and at > 2):
                break
        else:
            raise AssertionError(f"over {MAX_CALLS} calls in one request")
        assert at > 1, "the call was never made"
        reset_node(edge_node)
        assert status_of(emulated, "after") == 200


@pytest.mark.parametrize(("call", "code"), [(c, e) for c, e in CASES if e not in (SHORT, errno.EAGAIN, errno.EINTR)],
                         ids=case_name)  # fmt: skip
def test_an_error_that_lasts_for_a_quarter_second_is_answered_and_recovered_from(call: SystemCall, code: int) -> None:
    with platform() as emulated, node(emulated) as edge_node:
        assert status_of(emulated, "before") == 200 and wait_for(lambda: is_idle(edge_node))
        for at in (1, 4):
            reset_node(edge_node)
            faulty = Faulty(call, code, at, 1 << 30, emulated.listen)
            with faults(faulty):
                end_of_fault = threading.Timer(0.25, lambda each=faulty: setattr(each, "times", 0))
                end_of_fault.start()
                status = status_of(emulated, f"q{at}")
                end_of_fault.join()
                check_rules(emulated, edge_node, faulty, status, f"{call.value} {case_name(code)} from call {at} on")
        reset_node(edge_node)
        assert status_of(emulated, "after") == 200


def test_the_check_finds_an_engine_blamed_for_a_lack_of_local_ports(monkeypatch: pytest.MonkeyPatch) -> None:
    """Negative control: a lack of local ports is classified as the engine's fault."""
    monkeypatch.setattr("stonetrack.node.system_errors._BY_CODE", {errno.EADDRNOTAVAIL: ErrorClass.PEER})
    with platform() as emulated, node(emulated) as edge_node:
        faulty = Faulty(SystemCall.CONNECT, errno.EADDRNOTAVAIL, 1, 8, emulated.listen)
        with faults(faulty):
            status = status_of(emulated, "q")
        monkeypatch.undo()
        with pytest.raises(AssertionError, match="ejected for a fault of this machine"):
            check_rules(emulated, edge_node, faulty, status, "control")


def test_every_injected_error_is_in_the_table() -> None:
    for call, code in CASES:
        if code != SHORT:
            assert classify_error(call, OSError(code, "")) is not ErrorClass.DEFECT, (call, case_name(code))
    assert classify_error(SystemCall.SEND, OSError(errno.EBADF, "")) is ErrorClass.DEFECT
    assert classify_error(SystemCall.ACCEPT, OSError(errno.EINVAL, "")) is ErrorClass.DEFECT
    assert classify_error(SystemCall.CONNECT, TimeoutError("timed out")) is ErrorClass.PEER
    assert classify_error(SystemCall.SEND, OSError(errno.ENETUNREACH, "")) is ErrorClass.PEER
    assert classify_error(SystemCall.CONNECT, OSError(errno.ENETUNREACH, "")) is ErrorClass.LOCAL


def test_a_call_is_retried_while_resources_are_exhausted_up_to_its_bound() -> None:
    tried_at: list[float] = []

    def always_failing() -> None:
        tried_at.append(time.monotonic())
        raise OSError(errno.ENOBUFS, "none")

    with pytest.raises(ResourceExhausted, match="send"):
        call_with_retries(SystemCall.SEND, always_failing)
    assert (
        len(tried_at) == sockets.MAX_TRIES
        and tried_at[-1] - tried_at[0] >= (sockets.MAX_TRIES - 1) * sockets.RETRY_DELAY_S * 0.9
    )
    tried_at.clear()
    with pytest.raises(ConnectionResetError):
        call_with_retries(
            SystemCall.SEND, lambda: (_ for _ in ()).throw(ConnectionResetError(errno.ECONNRESET, "reset"))
        )


def test_an_idle_connection_is_closed_for_a_new_one_when_descriptors_run_out() -> None:
    from stonetrack.engines.pool import ConnectionPool
    from stonetrack.frontend.host import listen

    listener = listen("127.0.0.1", 0, 8)
    port = listener.getsockname()[1]
    pool = ConnectionPool(8, 10.0)
    first, _ = pool.acquire("127.0.0.1", port, 1.0)
    pool.put_back("127.0.0.1", port, first)

    class Full(System):
        def create_socket(self, family: int) -> socket.socket:
            if pool.idle_count("127.0.0.1", port):
                raise OSError(errno.EMFILE, "Too many open files")
            return super().create_socket(family)

    real, sockets.SYSTEM = sockets.SYSTEM, Full()
    try:
        other = pool._open("127.0.0.1", port, 1.0)
        assert other.fileno() >= 0 and pool.idle_count("127.0.0.1", port) == 0
        other.close()
    finally:
        sockets.SYSTEM = real
        listener.close()


def test_exhaustion_that_closing_idle_connections_does_not_relieve_is_reported_within_the_connect_timeout() -> None:
    """All idle connections were closed one after the other, each followed by retries, however long that took."""
    from stonetrack.engines.pool import ConnectionPool
    from stonetrack.frontend.host import listen

    class NoRoute(System):
        def connect(self, sock: socket.socket, address: tuple[str, int]) -> None:
            raise OSError(errno.ENETUNREACH, "Network is unreachable")

    listener = listen("127.0.0.1", 0, 64)
    port = listener.getsockname()[1]
    pool = ConnectionPool(40, 10.0)
    for sock in [pool.acquire("127.0.0.1", port, 1.0)[0] for _ in range(40)]:
        pool.put_back("127.0.0.1", port, sock)
    began = time.monotonic()
    with faults(NoRoute()), pytest.raises(ResourceExhausted):
        pool._open("127.0.0.1", port, 0.05)
    assert time.monotonic() - began < 0.3 and pool.idle_count("127.0.0.1", port) > 20
    pool.close()
    listener.close()
