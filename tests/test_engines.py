"""Communication with engines: outcomes of attempts, connection pool, server lists, load reports, releases."""

from __future__ import annotations

import json
import select
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stonetrack import api
from stonetrack.api import LoadReport, Outcome, Role
from stonetrack.durable import save
from stonetrack.engines import load, protocol
from stonetrack.engines.attempt import SocketAttempt
from stonetrack.engines.idle_timeouts import IdleTimeouts
from stonetrack.engines.list_source import ListSource
from stonetrack.engines.pool import Carried, ConnectionPool, Discarded
from stonetrack.engines.release_queue import PendingRelease, ReleaseQueue, ReleaseResult
from stonetrack.engines.reuse_delay import MIN_DELAY_S, ReuseDelay
from stonetrack.engines.server_list import ListError, ServerListState
from stonetrack.node.ports import AnswerPart, AnswerStarted, AttemptEvent, AttemptResult, InferenceRequest
from stonetrack.node.request_lifecycle import RequestLifecycle
from stonetrack.node.sockets import readable
from stonetrack.settings.schema import Kind, Source
from stonetrack.wire import http1, sse, writer
from tests.harness import wait_for

MS = 1_000_000
LIMITS = http1.Limits()
REQUEST = InferenceRequest(
    "chatcmpl-1", 0, "s", 10**9, 100, {"model": "m", "messages": [], "max_completion_tokens": 9, "min_tokens": 2}
)
CHUNK = json.dumps({"choices": [{"index": 0, "delta": {"content": "hé"}, "finish_reason": None}]}).encode()
STREAM = writer.chunked_head(200, [("Content-Type", "text/event-stream; charset=utf-8")])


def stream_response(*events: bytes, end: bool = True) -> bytes:
    return STREAM + b"".join(writer.chunk(sse.encode(e)) for e in events) + (writer.LAST_CHUNK if end else b"")


def json_response(status: int, body: Any, *headers: tuple[str, str]) -> bytes:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return writer.response(status, [("Content-Type", "application/json"), *headers], data)


STATE = {"kv_transfer_params": {"a": 1}, "usage": {"prompt_tokens_details": {"cached_tokens": 7}}}
STATE_MISSING = {"error": {"message": "gone", "code": "kv_state_missing"}}
REQUEST_ERROR = {"message": "too long", "param": "messages"}
PREFILL, DECODE = Role.PREFILL, Role.DECODE
ANSWERS: list[tuple[str, Role, bytes, Outcome, dict[str, Any]]] = [
    ("prefill", PREFILL, json_response(200, STATE), Outcome.READ, {"state": {"a": 1}, "kept_tokens": 7}),
    ("prefill without parameters", PREFILL, json_response(200, {}), Outcome.ERROR, {}),
    ("prefill that is not JSON", PREFILL, json_response(200, b"<html>"), Outcome.ERROR, {}),
    ("stream", DECODE, stream_response(CHUNK, b"[DONE]"), Outcome.SERVED, {}),
    ("stream without an end", DECODE, stream_response(CHUNK), Outcome.RESET, {}),
    ("stream without an answer", DECODE, stream_response(b"[DONE]"), Outcome.ERROR, {}),
    ("stream with an error event", DECODE, stream_response(b'{"error": {"message": "x"}}'), Outcome.ERROR, {}),
    ("stream of invalid JSON", DECODE, stream_response(b"{{{"), Outcome.ERROR, {}),
    ("stream of other JSON", DECODE, stream_response(b"[1]"), Outcome.ERROR, {}),
    ("not a stream", DECODE, json_response(200, {"choices": []}), Outcome.ERROR, {}),
    ("full", DECODE, json_response(503, {"error": {"message": "full"}}), Outcome.FULL, {"state_missing": False}),
    ("rate limited", PREFILL, json_response(429, b""), Outcome.FULL, {"state_missing": False}),
    ("state missing", DECODE, json_response(409, STATE_MISSING), Outcome.FULL, {"state_missing": True}),
    ("state missing, as 500", DECODE, json_response(500, STATE_MISSING), Outcome.FULL, {"state_missing": True}),
    ("server error", PREFILL, json_response(500, b"oops"), Outcome.ERROR, {}),
    ("not found", DECODE, json_response(404, {"error": {"message": "no model"}}), Outcome.ERROR, {}),
    ("invalid request", PREFILL, json_response(400, {"error": REQUEST_ERROR}), Outcome.SERVED,
     {"rejection": (400, REQUEST_ERROR)}),
    ("garbage", DECODE, b"SMTP hello\r\n\r\n", Outcome.ERROR, {}),
]  # fmt: skip


def feed(exchange: protocol.Exchange, data: bytes, step: int) -> list[AttemptEvent]:
    events = [e for n in range(0, len(data), step) for e in exchange.feed(data[n : n + step])]
    return events + ([] if any(isinstance(e, AttemptResult) for e in events) else exchange.eof())


@pytest.mark.parametrize("step", [1, 7, 1 << 20])
@pytest.mark.parametrize(("name", "role", "data", "outcome", "expected"), ANSWERS, ids=[row[0] for row in ANSWERS])
def test_each_answer_maps_to_one_outcome(
    name: str, role: Role, data: bytes, outcome: Outcome, expected: dict[str, Any], step: int
) -> None:
    events = feed(protocol.Exchange(role, LIMITS), data, step)
    ends = [e for e in events if isinstance(e, AttemptResult)]
    assert len(ends) == 1 and events[-1] is ends[0], name
    assert ends[0].outcome is outcome
    for field, value in expected.items():
        assert getattr(ends[0], field) == value
    assert sum(isinstance(e, AnswerStarted) for e in events) == any(isinstance(e, AnswerPart) for e in events)


def test_informational_responses_are_ignored() -> None:
    events = feed(protocol.Exchange(PREFILL, LIMITS), b"HTTP/1.1 100 Continue\r\n\r\n" + json_response(200, STATE), 1)
    assert [e.outcome for e in events if isinstance(e, AttemptResult)] == [Outcome.READ]


def test_truncated_stream_is_a_reset_until_the_done_event() -> None:
    data = stream_response(CHUNK, CHUNK, b"[DONE]")
    done = data.index(b"[DONE]\n\n") + len(b"[DONE]\n\n")
    for at in range(len(data) + 1):
        events = feed(protocol.Exchange(DECODE, LIMITS), data[:at], 1 << 20)
        (end,) = [e for e in events if isinstance(e, AttemptResult)]
        assert end.outcome is (Outcome.SERVED if at >= done else Outcome.RESET), at


# A stream of the daemon whose engine wrote an event slowly was cut off while its bytes came (issue 67, picture a).
@pytest.mark.parametrize(("pause_ms", "cut"), [(15, False), (200, True)])
def test_a_stream_goes_on_while_the_bytes_of_an_event_come_at_a_pace_that_completes_it(
    pause_ms: int, cut: bool
) -> None:
    exchange, lifecycle = protocol.Exchange(DECODE, LIMITS), RequestLifecycle(REQUEST, 1_000 * MS)
    lifecycle.handle_action(api.Send(REQUEST.request_id, "w0", 1_000 * MS), 0)
    slow = writer.chunk(sse.encode(CHUNK))
    now, was_cut = 0, False
    for piece in (stream_response(CHUNK, end=False), *(slow[n : n + 1] for n in range(len(slow)))):
        for event in exchange.feed(piece):
            lifecycle.handle_attempt_event(event, now)
        now += pause_ms * MS
        was_cut = was_cut or now >= lifecycle.next_deadline()
    assert len(slow) * pause_ms > 1_000 and was_cut is cut


def test_requests_to_prefill_and_decode_engines() -> None:
    def sent(role: Role, state: dict[str, Any] | None) -> tuple[http1.Headers, dict[str, Any]]:
        data = protocol.chat_request(REQUEST, role, "h:1", 3, "i0", state, True, True)
        events = http1.MessageReader(http1.Side.REQUESTS).feed(data)
        head = events[0]
        assert isinstance(head, http1.RequestHead)
        return head.headers, json.loads(b"".join(e.data for e in events if isinstance(e, http1.Data)))

    headers, body = sent(PREFILL, None)
    assert headers.get("x-request-id") == "chatcmpl-1" and headers.get("x-attempt") == "3"
    assert body["max_tokens"] == 1 and body["max_completion_tokens"] == 1 and body["stream"] is False
    assert body["kv_transfer_params"]["do_remote_decode"] is True and "min_tokens" not in body
    headers, body = sent(DECODE, {"x": 1})
    assert headers.get("x-held-place") and body["kv_transfer_params"] == {"x": 1} and body["stream"] is True
    assert body["max_completion_tokens"] == 9 and "max_tokens" not in body
    assert "kv_transfer_params" not in REQUEST.body and "stream" not in REQUEST.body, (
        "the request itself is not modified"
    )


# On sockets.


def attempt(
    data: bytes = b"x" * 100, role: Role = DECODE, cancel_timeout: float = 0.02, reused: bool = False
) -> tuple[SocketAttempt, socket.socket, list[socket.socket]]:
    node_side, engine_side = socket.socketpair()
    returned: list[socket.socket] = []
    return (
        SocketAttempt(node_side, data, protocol.Exchange(role, LIMITS), cancel_timeout, returned.append, reused=reused),
        engine_side,
        returned,
    )


def outcome(events: list[AttemptEvent]) -> Outcome | None:
    return next((e.outcome for e in events if isinstance(e, AttemptResult)), None)


def test_connection_is_returned_only_after_its_answer_was_fully_read() -> None:
    for data, kept in ((stream_response(CHUNK, b"[DONE]"), 1), (stream_response(CHUNK, b"[DONE]", end=False), 0),
                       (json_response(503, b"", ("Connection", "close")), 0),
                       (json_response(503, b""), 1)):  # fmt: skip
        sent, engine_side, returned = attempt()
        sent.push()
        engine_side.sendall(data)
        assert (
            outcome(sent.process_io()) in (Outcome.SERVED, Outcome.FULL)
            and len(returned) == kept
            and sent.fileno() == -1
        )


def test_not_sent_requires_that_part_of_the_request_was_not_written() -> None:
    sent, engine_side, _ = attempt(b"x" * (8 << 20))  # more than the socket buffers hold
    sent.push()
    assert sent.has_unsent_data
    engine_side.close()
    assert outcome(sent.process_io()) is Outcome.NOT_SENT
    sent, engine_side, _ = attempt()  # all of it was written: it may have run
    sent.push()
    engine_side.close()
    assert outcome(sent.process_io()) is Outcome.RESET


def test_answer_before_the_whole_request_was_written_is_used() -> None:
    sent, engine_side, _ = attempt(b"x" * (8 << 20))
    sent.push()
    engine_side.sendall(json_response(503, b"", ("Connection", "close")))
    assert outcome(sent.process_io()) is Outcome.FULL


def test_an_attempt_that_was_sent_keeps_no_copy_of_its_request() -> None:
    """Guards against holding each body twice for as long as its engine works."""
    data = bytearray(b"x" * 100)
    sent, engine_side, _ = attempt(data)  # type: ignore[arg-type]
    with pytest.raises(BufferError):
        data.clear()
    sent.push()
    data.clear()  # no view of it is left
    engine_side.close()


def test_abort_waits_for_the_engine_up_to_the_cancel_timeout() -> None:
    sent, engine_side, _ = attempt(cancel_timeout=5.0)
    order: list[str] = []

    def engine() -> None:
        while engine_side.recv(1_000):
            pass
        order.append("seen")
        engine_side.close()

    thread = threading.Thread(target=engine)
    thread.start()
    sent.push()
    sent.abort()
    order.append("aborted")
    thread.join()
    assert order == ["seen", "aborted"] and sent.fileno() == -1
    sent, engine_side, _ = attempt(cancel_timeout=0.05)  # an engine that never answers
    start = time.monotonic()
    sent.abort()
    assert 0.04 < time.monotonic() - start < 2.0


def listening() -> socket.socket:
    server = socket.socket()
    server.bind(("127.0.0.1", 0))
    server.listen(8)
    return server


def test_pooled_connection_closed_by_the_engine_is_not_reused() -> None:
    server = listening()
    host, port = server.getsockname()
    pool = ConnectionPool(4, idle_timeout=60.0)
    sock, used = pool.acquire(host, port, 1.0)
    engine_side, _ = server.accept()
    pool.put_back(host, port, sock)
    time.sleep(MIN_DELAY_S)
    again, used = pool.acquire(host, port, 1.0)
    assert used is not None and again is sock
    pool.put_back(host, port, again)
    engine_side.close()
    poller = select.poll()
    poller.register(again.fileno(), select.POLLIN)
    assert poller.poll(2_000)
    fresh, used = pool.acquire(host, port, 1.0)
    assert used is None and fresh is not sock
    fresh.close()
    server.close()
    with pytest.raises(OSError):
        pool.acquire(host, port, 0.2)


def test_a_connection_that_may_still_bring_a_second_answer_carries_no_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against serving a client the answer to an earlier request on the same connection."""
    now = [1_000.0]
    monkeypatch.setattr("stonetrack.engines.pool.time.monotonic", lambda: now[0])
    server = listening()
    host, port = server.getsockname()
    pool = ConnectionPool(4, idle_timeout=60.0)
    answered, second = (pool.acquire(host, port, 1.0)[0] for _ in range(2))
    sides = [server.accept()[0] for _ in range(2)]
    engine_side = next(side for side in sides if side.getpeername() == answered.getsockname())
    pool.put_back(host, port, answered)
    now[0] += 0.05  # the engine is a little late with a second answer
    other, age = pool.acquire(host, port, 1.0)
    assert other is not answered and age is None
    engine_side.sendall(json_response(503, b"", ("X-Unprocessed", "1")))
    pool.put_back(host, port, second)
    assert readable(answered, 2_000.0)
    now[0] += 0.1
    rested, age = pool.acquire(host, port, 1.0)
    assert rested is second and age == pytest.approx(0.1) and not pool.discarded
    third, age = pool.acquire(host, port, 1.0)
    assert age is None and pool.discarded == {Discarded.UNSOLICITED: 1} and answered.fileno() == -1
    for sock in (other, rested, third, *sides, server):
        sock.close()


@pytest.mark.parametrize("carried", [Carried.NOTHING, Carried.PROBE])
def test_a_connection_that_carried_no_request_is_ready_at_once(carried: Carried) -> None:
    """Guards against a request that opens a connection beside the one opened ahead, or just probed, for it."""
    server = listening()
    host, port = server.getsockname()
    pool = ConnectionPool(4, idle_timeout=60.0)
    sock, _ = pool.acquire(host, port, 1.0)
    pool.put_back(host, port, sock, carried)
    assert (pool.last_response_at(host, port) > 0.0) is (carried is Carried.PROBE)
    again, age = pool.acquire(host, port, 1.0)
    assert again is sock and age is not None
    sock.close()
    server.close()


@pytest.mark.parametrize("reused", [False, True])
def test_bytes_before_the_whole_request_was_written_answer_only_a_first_request(reused: bool) -> None:
    """Guards against taking an earlier request's stream for the answer to a request that is still being written."""
    sent, engine_side, returned = attempt(b"x" * (8 << 20), reused=reused)
    sent.push()
    engine_side.sendall(stream_response(CHUNK, b"[DONE]"))
    assert outcome(sent.process_io()) is (Outcome.NOT_SENT if reused else Outcome.SERVED)
    assert sent.fileno() == -1 and not returned


def test_pool_limits_number_and_idle_time_of_connections() -> None:
    server = listening()
    host, port = server.getsockname()
    pool = ConnectionPool(2, idle_timeout=0.05)
    socks = [pool.acquire(host, port, 1.0)[0] for _ in range(4)]
    for sock in socks:
        pool.put_back(host, port, sock)
    assert sum(sock.fileno() >= 0 for sock in socks) == 2
    time.sleep(0.1)
    _, used = pool.acquire(host, port, 1.0)
    assert used is None
    pool.close()
    server.close()


@given(st.floats(0.1, 200.0), st.lists(st.floats(0.0, 300.0), max_size=30))
def test_learned_reuse_limit_stays_below_the_engine_timeout(engine_timeout: float, idle_times: list[float]) -> None:
    """Whatever idle times are observed, the reuse limit stays below the engine's timeout, or at the default."""
    timeouts, address = IdleTimeouts(4.0, 60.0), ("h", 1)
    for n, idle in enumerate(idle_times):
        if idle < engine_timeout:
            timeouts.observe_open(address, idle)
        else:
            timeouts.observe_closed(address, engine_timeout, float(n))
        assert 4.0 <= timeouts.reuse_limit(address, float(n)) <= max(4.0, min(60.0, 0.8 * engine_timeout))
    assert timeouts.reuse_limit(("h", 2), 0.0) == 4.0
    timeouts.retain(set())
    assert timeouts.reuse_limit(address, 0.0) == 4.0


def test_early_close_is_ignored_and_an_observed_close_expires() -> None:
    timeouts, address = IdleTimeouts(4.0, 60.0), ("h", 1)
    timeouts.observe_open(address, 50.0)
    timeouts.observe_closed(address, 0.1, 1.0)
    assert timeouts.reuse_limit(address, 1.0) == 40.0
    timeouts.observe_closed(address, 10.0, 2.0)
    assert timeouts.reuse_limit(address, 2.0) == 8.0
    timeouts.observe_open(address, 50.0)
    assert timeouts.reuse_limit(address, 3.0) == 8.0 and timeouts.reuse_limit(address, 700.0) == 40.0


def test_pool_reuses_connections_while_their_engine_leaves_them_open() -> None:
    server = listening()
    host, port = server.getsockname()
    pool = ConnectionPool(4, idle_timeout=0.05, max_idle_timeout=60.0)
    first = pool.acquire(host, port, 1.0)[0]
    pool.put_back(host, port, first)
    time.sleep(0.4)
    second, age = pool.acquire(host, port, 1.0)  # too old to be reused, but kept to observe the engine
    assert age is None and second is not first and pool.idle_count(host, port) == 1
    pool.prune()
    pool.put_back(host, port, second)
    time.sleep(0.2)
    again, age = pool.acquire(host, port, 1.0)
    assert again is second and age is not None and 0.15 < age < 0.35
    pool.put_back(host, port, again)
    engine_side = [server.accept()[0] for _ in range(2)]
    for sock in engine_side:
        sock.close()
    assert readable(second, 2_000.0)
    pool.prune()
    assert pool.idle_count(host, port) == 0 and pool.idle_timeouts.reuse_limit((host, port), time.monotonic()) < 0.7
    plain = ConnectionPool(4, idle_timeout=0.05)
    assert not plain.idle_timeouts.adaptive and plain.idle_timeouts.reuse_limit((host, port), 0.0) == 0.05
    pool.close()
    server.close()


def test_reuse_delay_starts_after_repeated_failures_and_expires() -> None:
    delay = ReuseDelay()
    assert delay.learned(0.0) == 0.0
    delay.record_unanswered(10.0, 0.2)
    assert delay.learned(10.0) == 0.0  # a single failure may be chance
    delay.record_unanswered(11.0, 0.4)
    assert delay.learned(11.0) == pytest.approx(0.52)
    delay.record_unanswered(11.5, 9.0)  # a stopped engine: no close takes so long to arrive
    assert delay.learned(12.0) == pytest.approx(0.52)
    assert delay.learned(30.5) == 0.0  # the first failure has expired


@pytest.mark.parametrize("carried", list(Carried))
def test_reuse_delay_holds_whatever_a_connection_carried(carried: Carried) -> None:
    """Guards against a request on a connection that its engine closes right behind the answer to a probe."""
    server = listening()
    host, port = server.getsockname()
    pool = ConnectionPool(4, idle_timeout=60.0)
    first = pool.acquire(host, port, 1.0)[0]
    for _ in range(2):
        pool.record_unanswered(0.5)
    pool.put_back(host, port, first, carried)
    other, age = pool.acquire(host, port, 1.0)
    assert age is None and pool.idle_count(host, port) == 1
    other.close()
    pool.close()
    server.close()


def test_pool_with_reuse_delay_takes_the_oldest_or_opens_a_connection() -> None:
    server = listening()
    host, port = server.getsockname()
    pool = ConnectionPool(4, idle_timeout=60.0)
    first, second = (pool.acquire(host, port, 1.0)[0] for _ in range(2))
    pool.put_back(host, port, first)
    for _ in range(2):
        pool.record_unanswered(0.05)
    young, age = pool.acquire(host, port, 1.0)
    assert age is None and pool.idle_count(host, port) == 1
    time.sleep(0.1)
    pool.put_back(host, port, second)
    oldest, age = pool.acquire(host, port, 1.0)
    assert oldest is first and age is not None and age >= 0.1
    for sock in (young, oldest):
        sock.close()
    pool.close()
    server.close()


# Server lists.

KINDS = (Kind(name="reader", role=PREFILL), Kind(name="writer", role=DECODE))


def document(*engines: dict[str, Any], version: int = 1, kind: str = "full") -> bytes:
    return json.dumps({"version": version, "kind": kind, "engines": engines}).encode()


def entry(name: str, **fields: Any) -> dict[str, Any]:
    return {"name": name, "address": "127.0.0.1:9", "kind": "reader", **fields}


def test_full_list_and_changes() -> None:
    state = ServerListState(KINDS)
    event = state.apply_json(document(entry("a"), entry("b", kind="writer", cell="row-2", started=5.5)), 100 * 10**9)
    assert event.kind is api.ListKind.FULL and [e.server for e in event.entries] == ["a", "b"]
    assert event.entries[1].kind == 1 and event.entries[1].started == 5_500_000_000
    event = state.apply_json(document(entry("a", state="draining"), version=2, kind="changes"), 0)
    assert event.kind is api.ListKind.CHANGES and len(event.entries) == 1
    assert set(state.engines) == {"a", "b"}
    state.apply_json(document(entry("a", state="removed"), version=3, kind="changes"), 0)
    assert set(state.engines) == {"b"} and state.version == 3
    again = ServerListState(KINDS)
    assert again.apply_json(state.to_json(), 0, saved=True).kind is api.ListKind.SAVED and set(again.engines) == {"b"}


def test_new_address_with_the_same_start_time_counts_as_just_started() -> None:
    state = ServerListState(KINDS)
    state.apply_json(document(entry("a", started=5)), 0)
    event = state.apply_json(document(entry("a", started=5, address="127.0.0.1:10"), version=2), 77 * 10**9)
    assert event.entries[0].started == 77 * 10**9


@pytest.mark.parametrize(
    ("bad", "message"),
    [
        (entry("a", kind="gpu"), "kind 'gpu'; allowed: reader, writer"),
        (entry("a", address="nowhere"), "allowed: host:port"),
        (entry("a", address="h:99999"), "allowed: host:port"),
        (entry("a", weight=0), "weight 0"),
        (entry("", kind="reader"), "name"),
        (entry("a", state="sleeping"), "state"),
        (entry("a", started="today"), "started"),
    ],
)
def test_invalid_list_is_rejected_as_a_whole(bad: dict[str, Any], message: str) -> None:
    state = ServerListState(KINDS)
    state.apply_json(document(entry("x")), 0)
    with pytest.raises(ListError) as raised:
        state.apply_json(document(entry("y"), bad, version=2), 0)
    assert message in str(raised.value) and set(state.engines) == {"x"} and state.version == 1
    with pytest.raises(ListError, match="is listed twice"):
        state.apply_json(document(entry("y"), entry("y")), 0)


@given(st.binary(max_size=200))
def test_random_bytes_are_rejected_as_a_list(data: bytes) -> None:
    with pytest.raises(ListError):
        ServerListState(KINDS).apply_json(data, 0)


def test_watched_file_is_followed_and_an_invalid_one_changes_nothing(tmp_path: Path) -> None:
    path, saved = tmp_path / "engines.json", tmp_path / "saved.json"
    path.write_bytes(document(entry("a")))
    events: list[api.ServerList] = []
    messages: list[str] = []
    state = ServerListState(KINDS)
    source = ListSource(Source(file=str(path), poll_ms=10), state, time.time_ns, instance="i0", saved=saved,
                        on_list=lambda event, engines: events.append(event), log=messages.append)  # fmt: skip
    source.start()
    try:
        assert wait_for(saved.exists) and len(events) == 1
        assert json.loads(saved.read_text())["engines"][0]["name"] == "a"
        save(path, b"{")
        assert wait_for(lambda: len(messages) == 1) and len(events) == 1
        save(path, document(entry("a"), entry("b"), version=2))
        assert wait_for(lambda: len(events) == 2) and len(events[1].entries) == 2
        path.unlink()
        assert wait_for(lambda: len(messages) == 2) and set(state.engines) == {"a", "b"}
    finally:
        source.stop()


# Load reports.


def test_load_reports_from_both_header_formats_and_from_metrics() -> None:
    want = LoadReport(5.0, 2.0, 0.25, None)
    assert load.from_header("TEXT named_metrics.num_requests_running=3, named_metrics.num_requests_waiting=2, "
                            "named_metrics.kv_cache_usage_perc=0.25") == want  # fmt: skip
    named = {"num_requests_running": 3, "num_requests_waiting": 2, "kv_cache_usage_perc": 0.25}
    assert load.from_header("JSON " + json.dumps({"named_metrics": named, "cpu_utilization": 0.1})) == want
    page = ('# TYPE x gauge\nvllm:num_requests_running{model_name="a"} 1\n'
            'vllm:num_requests_running{model_name="b"} 2.0\n'
            "vllm:num_requests_waiting 2\nvllm:gpu_cache_usage_perc 0.25\nother 4\n")  # fmt: skip
    assert load.from_metrics(page) == want
    report = LoadReport(7.0, 3.0, 0.5, 900.0)
    assert load.from_header(load.to_header(report)) == report


@given(st.text(max_size=80))
def test_any_header_text_yields_a_valid_report_or_none(text: str) -> None:
    for given_text in (text, f"TEXT {text}", f"JSON {text}", "TEXT num_requests_running=nan", "JSON [[[["):
        report = load.from_header(given_text)
        assert report is None or report.memory_share is None or 0.0 <= report.memory_share <= 1.0


# Releases.


def test_unconfirmed_release_is_retried_until_done_or_dropped() -> None:
    queue = ReleaseQueue(50 * MS)
    queue.add(PendingRelease("q", "r0", 0, {}, 0))
    now, tries = 0, []
    while (at := queue.next_due()) is not None:
        now = max(now, at)
        found = queue.take_due(now)
        assert found is not None
        tries.append(now // MS)
        queue.record_result(found[0], ReleaseResult.RETRY, now)
    assert tries[:4] == [0, 20, 60, 140] and tries[-1] <= 1_000 and not len(queue) and queue.dropped == 1
    queue.add(PendingRelease("q", "r0", 0, {}, now))
    found = queue.take_due(now)
    assert found is not None
    assert not queue.record_result(found[0], ReleaseResult.DONE, now)
    assert not len(queue) and not queue.record_result(found[0], ReleaseResult.RETRY, now)


def play(
    queue: ReleaseQueue, until: int, results: Callable[[PendingRelease, int], ReleaseResult]
) -> list[tuple[int, str]]:
    """Processes a queue with one thread; returns when (in ms) each request was tried."""
    tries = []
    while (at := queue.next_due()) is not None and at <= until:
        found = queue.take_due(at)
        if found is not None:
            tries.append((at // MS, found[1].request_id))
            queue.record_result(found[0], results(found[1], at), at)
    return tries


def test_unreachable_engine_is_tried_with_one_release_and_gets_all_later() -> None:
    """The engine is unreachable for two minutes, beyond the retry limit of an answered release; then all are due."""
    reachable_at = 120_000 * MS
    queue = ReleaseQueue(50 * MS)
    for n in range(500):
        queue.add(PendingRelease(f"q{n}", "r0", 0, {}, n))
    tries = play(
        queue, 200_000 * MS, lambda item, at: ReleaseResult.UNREACHABLE if at < reachable_at else ReleaseResult.DONE
    )
    before = [at for at, _ in tries if at < 120_000]
    after = [at for at, _ in tries if at >= 120_000]
    assert 2_400 < len(before) < 4_800 and len(after) == 500 and after[-1] == after[0] <= 120_050
    assert not len(queue) and queue.dropped == 0 and queue.unreachable_engines == 0


def test_releases_for_an_unreachable_delisted_engine_are_dropped() -> None:
    queue = ReleaseQueue(50 * MS)
    for n in range(5):
        queue.add(PendingRelease(f"q{n}", "r0", 0, {}, 0))
    tries = play(queue, 60_000 * MS, lambda item, at: ReleaseResult.DELISTED)
    assert not len(queue) and queue.dropped == 5 and queue.unreachable_engines == 0 and tries[-1][0] < 8_000


def test_tries_at_unreachable_engines_leave_a_thread_for_the_others() -> None:
    queue = ReleaseQueue(50 * MS, max_unreachable_tries=3)
    for n in range(10):
        queue.add(PendingRelease("q", f"r{n}", 0, {}, 0))
        found = queue.take_due(0)
        assert found is not None and queue.record_result(found[0], ReleaseResult.UNREACHABLE, 0)
    out = [queue.take_due(30 * MS) for _ in range(5)]
    assert [each is not None for each in out] == [True] * 3 + [False] * 2 and queue.next_due() is None
    queue.add(PendingRelease("well", "w0", 0, None, 30 * MS))
    found = queue.take_due(30 * MS)
    assert (
        found is not None
        and found[1].request_id == "well"
        and not queue.record_result(found[0], ReleaseResult.DONE, 30 * MS)
    )
    assert out[0] is not None and queue.record_result(out[0][0], ReleaseResult.UNREACHABLE, 40 * MS)
    assert queue.take_due(40 * MS) is not None and queue.take_due(40 * MS) is None  # one more try may run


@given(st.lists(st.tuples(st.sampled_from(["add", "due", "done", "again", "away", "gone", "drop"]),
                          st.integers(0, 3), st.integers(0, 400)), max_size=80))  # fmt: skip
def test_every_release_ends_once_its_engine_answers(history: list[tuple[str, int, int]]) -> None:
    """No release is lost, and none is tried twice at the same time."""
    queue = ReleaseQueue(50 * MS, max_open=20, max_unreachable_tries=2)
    now, running, added, completed = 0, dict[int, PendingRelease](), 0, 0
    results = {
        "done": ReleaseResult.DONE,
        "again": ReleaseResult.RETRY,
        "away": ReleaseResult.UNREACHABLE,
        "gone": ReleaseResult.DELISTED,
    }
    for what, which, pause in history:
        now += pause * MS
        if what == "add":
            queue.add(PendingRelease(f"q{added}", f"r{which}", 0, {}, now))
            added += 1
        elif what == "due":
            found = queue.take_due(now)
            assert found is None or found[0] not in running
            running |= dict([found]) if found is not None else {}
        elif what == "drop" and running:
            queue.remove(list(running)[which % len(running)])
        elif running and what in results:
            number = list(running)[which % len(running)]
            del running[number]
            queue.record_result(number, results[what], now)
    for number in list(running):
        queue.record_result(number, ReleaseResult.UNREACHABLE, now)
    while (at := queue.next_due()) is not None:
        now = max(now, at)
        found = queue.take_due(now)
        if found is not None:
            completed += 1
            assert not queue.record_result(found[0], ReleaseResult.DONE, now)
    assert not len(queue) and queue.unreachable_engines == 0 and completed <= 20


def test_number_of_open_releases_is_limited() -> None:
    queue = ReleaseQueue(10**12, max_open=100)
    for n in range(250):
        queue.add(PendingRelease(str(n), "r0", 0, {}, 0))
    assert len(queue) == 100 and queue.dropped == 150
    found = queue.take_due(0)
    assert found is not None and found[1].request_id == "150"
