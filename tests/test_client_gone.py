"""Clients that go: nothing begins at an engine for one that has closed, also where its end lies behind unread input."""

from __future__ import annotations

import select
import socket
import threading
import time
from collections.abc import Callable

import pytest

from stonetrack import api
from stonetrack.frontend.connection import Connection, HostState
from stonetrack.frontend.long_poll import LongPoll
from stonetrack.logic import SECOND
from stonetrack.node import ports
from stonetrack.node.invariants import Refusal
from stonetrack.node.request_lifecycle import FinishAnswer, NotifyRouter, RequestLifecycle
from stonetrack.node.request_runner import Waker
from stonetrack.wire import http1
from tests.harness import Client, wait_for
from tests.platform import CHAT, Platform, headers, is_idle, node, platform

BEHIND = 400_000  # bytes; more than a receive buffer takes at first
AFTER_CLOSE_S = 0.15  # 0.1 s by the page, and 0.05 s of slack


def chat(request_id: str) -> bytes:
    return f"POST {CHAT} HTTP/1.1\r\nHost: t\r\n{headers(request_id)}Content-Length: 2\r\n\r\n{{}}".encode()


def many(prefix: str, size: int) -> bytes:
    """As many requests as have ``size`` bytes in all."""
    return b"".join(chat(f"{prefix}{n}") for n in range(size // len(chat(f"{prefix}0"))))


def send_without_waiting(sock: socket.socket, data: bytes) -> int:
    """Send what the system takes at once; returns the number of bytes."""
    sock.setblocking(False)
    sent = 0
    with pytest.raises(BlockingIOError):
        while sent < len(data):
            sent += sock.send(data[sent : sent + 65_536])
        raise BlockingIOError
    return sent


def calls_after(world: Platform, closed_at: float) -> list[str]:
    """The prefill and decode attempts that came later than allowed after a close (monotonic seconds)."""
    return [
        f"{each.what} {each.request} {each.at - closed_at:.3f} s"
        for each in world.calls
        if each.what in ("read", "write") and each.at - closed_at > AFTER_CLOSE_S
    ]


def connection_pair(read_ahead_bytes: int) -> tuple[socket.socket, Connection]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
    return client, Connection(accepted, http1.Limits(), HostState(), read_ahead_bytes)


def sees_end(connection: Connection) -> bool:
    poller = select.poll()
    poller.register(connection.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def test_an_end_behind_unread_input_is_seen_once_that_is_read() -> None:
    """Guards against taking a connection for open that its client has closed (review case 10)."""
    client, connection = connection_pair(2 * BEHIND)
    sent = send_without_waiting(client, b"x" * BEHIND)
    client.close()
    time.sleep(0.05)
    hidden = not sees_end(connection)
    assert wait_for(lambda: connection.read_ahead() and connection.reader.buffered_bytes == sent)
    assert hidden, "the kernel shows the end behind this much: the test shows nothing"
    assert wait_for(lambda: sees_end(connection))
    connection.close()


def test_what_is_read_ahead_is_bounded_and_parsed_in_order() -> None:
    client, connection = connection_pair(1_000)
    client.sendall(b"".join(b"GET /%d HTTP/1.1\r\nHost: t\r\n\r\n" % n for n in range(100)))
    assert wait_for(lambda: not connection.read_ahead()) and connection.reader.buffered_bytes == 1_000
    paths: list[str] = []
    while len(paths) < 100:
        connection.read_ahead()
        while (request := connection.feed(b"")) is not None:
            paths.append(request.head.path)
            connection.read_ahead()
    assert paths == [f"/{n}" for n in range(100)] and connection.read_ahead()
    client.close()
    connection.close()


@pytest.mark.parametrize("delay", [0.0, 0.1], ids=["at once", "while a prefill runs"])
def test_nothing_begins_for_a_client_that_sends_much_and_goes(delay: float) -> None:
    """Guards against an attempt, and its effect, for a client that closed: its end lay behind what it had sent."""
    with platform() as world, node(world) as edge_node:
        world.work_seconds = 0.4
        client = Client(world.listen)
        client.send(chat("first"))
        if delay:
            assert wait_for(lambda: any(what == "read" for what, _ in world.calls_for("first")))
            time.sleep(delay)
        send_without_waiting(client.sock, many("behind", BEHIND))
        client.close()
        closed_at = time.monotonic()
        time.sleep(1.2)
        assert not calls_after(world, closed_at)
        assert not world.calls_for("behind600")
        assert wait_for(lambda: is_idle(edge_node)) and not world.held
        assert wait_for(lambda: edge_node.host.connections == 0)
        if delay:
            assert edge_node.records.refusals[Refusal.INPUT_UNREAD] == 1
        assert not edge_node.records.violations


def test_each_request_of_a_client_that_sends_much_and_stays_is_answered() -> None:
    """Those are refused with much behind them, before any attempt; the last ones are served."""
    with platform() as world, node(world) as edge_node:
        client = Client(world.listen)
        data = many("q", BEHIND)
        count = data.count(b"POST ")
        sender = threading.Thread(target=client.send, args=(data,))
        sender.start()
        statuses = [client.answer()[0].status for _ in range(count)]
        sender.join(5.0)
        assert set(statuses) == {200, 503} and statuses[-1] == 200
        for n, status in enumerate(statuses):
            assert [what for what, _ in world.calls_for(f"q{n}")] == (["read", "write"] if status == 200 else [])
        assert wait_for(lambda: is_idle(edge_node)) and not edge_node.records.violations


def test_a_request_that_comes_again_after_its_client_left_runs_once() -> None:
    """Guards against an id that runs twice: its first client left while the prefill ran."""
    with platform() as world, node(world) as edge_node:
        world.work_seconds = 0.3
        client = Client(world.listen)
        client.send(chat("again"))
        assert wait_for(lambda: any(what == "read" for what, _ in world.calls_for("again")))
        send_without_waiting(client.sock, many("behind", BEHIND))
        client.close()
        for _ in range(12):
            following = Client(world.listen)
            following.send(chat("again"))
            assert following.answer()[0].status == 409
            following.close()
            time.sleep(0.05)
        assert [what for what, _ in world.calls_for("again")].count("read") == 1
        assert "write" not in [what for what, _ in world.calls_for("again")]
        assert wait_for(lambda: is_idle(edge_node)) and not world.held


@pytest.mark.parametrize(
    ("outcome", "expected"), [(api.Outcome.FULL, ports.Refused), (api.Outcome.RESET, ports.Failed)]
)
def test_a_request_whose_clients_end_is_hidden_is_refused_only_where_nothing_ran(
    outcome: api.Outcome, expected: type[ports.Final]
) -> None:
    """A refusal promises that trying again is harmless."""
    lifecycle = RequestLifecycle(ports.InferenceRequest("q", 0, "s", 3 * SECOND, 10, None), SECOND)
    lifecycle.handle_action(api.Send("q", "w0", 0), 1)
    lifecycle.handle_attempt_event(ports.AttemptResult(outcome), 2)
    lifecycle.handle_action(api.Send("q", "w1", 0), 3)
    effects = lifecycle.handle_input_unread()
    assert isinstance(effects[0], FinishAnswer) and isinstance(effects[0].final, expected)
    assert effects[1] == NotifyRouter(api.RequestGone("q")) and not lifecycle.handle_input_unread()
    lifecycle.handle_attempt_event(ports.AttemptResult(api.Outcome.NOT_SENT), 4)
    assert lifecycle.finished


@pytest.mark.parametrize("close", [True, False])
def test_a_long_poll_ends_for_a_client_that_sends_much_behind_it(close: bool) -> None:
    """Guards against a worker that waits for the whole time for a client that has gone."""
    client, connection = connection_pair(10_000)
    long_poll, waker = LongPoll(), Waker()
    waited: list[float] = []

    def wait(is_done: Callable[[], bool]) -> None:
        started = time.monotonic()
        long_poll.wait(connection, waker, 5_000.0, is_done)
        waited.append(time.monotonic() - started)

    thread = threading.Thread(target=wait, args=(lambda: False,))
    thread.start()
    send_without_waiting(client, b"x" * BEHIND)
    if close:
        client.close()
    thread.join(8.0)
    assert waited[0] < 2.0
    client.close()
    connection.close()
    waker.close()
