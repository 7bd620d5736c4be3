"""The engines' side: outcomes by what is seen on the socket, the pool, lists, reports, releases."""

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
from stonetrack.engines.pool import ConnectionPool
from stonetrack.engines.release_queue import PendingRelease, ReleaseQueue, ReleaseResult
from stonetrack.engines.reuse_delay import ReuseDelay
from stonetrack.engines.server_list import ListError, ServerListState
from stonetrack.node.ports import AnswerPart, AnswerStarted, AttemptEvent, AttemptResult, InferenceRequest
from stonetrack.node.sockets import readable
from stonetrack.settings.schema import Kind, Source
from stonetrack.wire import http1, sse, writer
from tests.harness import wait_for

MS = 1_000_000
LIMITS = http1.Limits()
ASK = InferenceRequest(
    "chatcmpl-1", 0, "s", 10**9, 100, {"model": "m", "messages": [], "max_completion_tokens": 9, "min_tokens": 2}
)
CHUNK = json.dumps({"choices": [{"index": 0, "delta": {"content": "hé"}, "finish_reason": None}]}).encode()
STREAM = writer.chunked_head(200, [("Content-Type", "text/event-stream; charset=utf-8")])


def stream(*events: bytes, end: bool = True) -> bytes:
    return STREAM + b"".join(writer.chunk(sse.encode(e)) for e in events) + (writer.LAST_CHUNK if end else b"")


def reply(status: int, body: Any, *headers: tuple[str, str]) -> bytes:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return writer.response(status, [("Content-Type", "application/json"), *headers], data)


STATE = {"kv_transfer_params": {"a": 1}, "usage": {"prompt_tokens_details": {"cached_tokens": 7}}}
MISSING = {"error": {"message": "gone", "code": "kv_state_missing"}}
FAULT = {"message": "too long", "param": "messages"}
READER, WRITER = Role.PREFILL, Role.DECODE
ROWS: list[tuple[str, Role, bytes, Outcome, dict[str, Any]]] = [
    ("a read", READER, reply(200, STATE), Outcome.READ, {"state": {"a": 1}, "kept_tokens": 7}),
    ("a read without parameters", READER, reply(200, {}), Outcome.ERROR, {}),
    ("a read that is no JSON", READER, reply(200, b"<html>"), Outcome.ERROR, {}),
    ("a stream", WRITER, stream(CHUNK, b"[DONE]"), Outcome.SERVED, {}),
    ("a stream without an end", WRITER, stream(CHUNK), Outcome.RESET, {}),
    ("a stream without an answer", WRITER, stream(b"[DONE]"), Outcome.ERROR, {}),
    ("a stream that tells an error", WRITER, stream(b'{"error": {"message": "x"}}'), Outcome.ERROR, {}),
    ("a stream of nonsense", WRITER, stream(b"{{{"), Outcome.ERROR, {}),
    ("a stream of other things", WRITER, stream(b"[1]"), Outcome.ERROR, {}),
    ("no stream", WRITER, reply(200, {"choices": []}), Outcome.ERROR, {}),
    ("full", WRITER, reply(503, {"error": {"message": "full"}}), Outcome.FULL, {"state_missing": False}),
    ("held back", READER, reply(429, b""), Outcome.FULL, {"state_missing": False}),
    ("state gone", WRITER, reply(409, MISSING), Outcome.FULL, {"state_missing": True}),
    ("state gone, as 500", WRITER, reply(500, MISSING), Outcome.FULL, {"state_missing": True}),
    ("an error", READER, reply(500, b"oops"), Outcome.ERROR, {}),
    ("not found", WRITER, reply(404, {"error": {"message": "no model"}}), Outcome.ERROR, {}),
    ("the request at fault", READER, reply(400, {"error": FAULT}), Outcome.SERVED, {"rejection": (400, FAULT)}),
    ("garbage", WRITER, b"SMTP hello\r\n\r\n", Outcome.ERROR, {}),
]  # fmt: skip


def feed(exchange: protocol.Exchange, data: bytes, step: int) -> list[AttemptEvent]:
    events = [e for n in range(0, len(data), step) for e in exchange.feed(data[n : n + step])]
    return events + ([] if any(isinstance(e, AttemptResult) for e in events) else exchange.eof())


@pytest.mark.parametrize("step", [1, 7, 1 << 20])
@pytest.mark.parametrize(("name", "role", "data", "outcome", "more"), ROWS, ids=[row[0] for row in ROWS])
def test_each_answer_has_its_outcome(
    name: str, role: Role, data: bytes, outcome: Outcome, more: dict[str, Any], step: int
) -> None:
    events = feed(protocol.Exchange(role, LIMITS), data, step)
    overs = [e for e in events if isinstance(e, AttemptResult)]
    assert len(overs) == 1 and events[-1] is overs[0], name
    assert overs[0].outcome is outcome
    for field, value in more.items():
        assert getattr(overs[0], field) == value
    assert sum(isinstance(e, AnswerStarted) for e in events) == any(isinstance(e, AnswerPart) for e in events)


def test_interim_answers_are_passed_over() -> None:
    events = feed(protocol.Exchange(READER, LIMITS), b"HTTP/1.1 100 Continue\r\n\r\n" + reply(200, STATE), 1)
    assert [e.outcome for e in events if isinstance(e, AttemptResult)] == [Outcome.READ]


def test_a_cut_at_every_byte_of_a_stream_is_a_reset_or_whole() -> None:
    data = stream(CHUNK, CHUNK, b"[DONE]")
    done = data.index(b"[DONE]\n\n") + len(b"[DONE]\n\n")
    for at in range(len(data) + 1):
        events = feed(protocol.Exchange(WRITER, LIMITS), data[:at], 1 << 20)
        (over,) = [e for e in events if isinstance(e, AttemptResult)]
        assert over.outcome is (Outcome.SERVED if at >= done else Outcome.RESET), at


def test_what_is_sent_to_a_reader_and_to_a_writer() -> None:
    def sent(role: Role, state: dict[str, Any] | None) -> tuple[http1.Headers, dict[str, Any]]:
        data = protocol.chat_request(ASK, role, "h:1", 3, "i0", state, True, True)
        events = http1.MessageReader(http1.Side.REQUESTS).feed(data)
        head = events[0]
        assert isinstance(head, http1.RequestHead)
        return head.headers, json.loads(b"".join(e.data for e in events if isinstance(e, http1.Data)))

    headers, body = sent(READER, None)
    assert headers.get("x-request-id") == "chatcmpl-1" and headers.get("x-attempt") == "3"
    assert body["max_tokens"] == 1 and body["max_completion_tokens"] == 1 and body["stream"] is False
    assert body["kv_transfer_params"]["do_remote_decode"] is True and "min_tokens" not in body
    headers, body = sent(WRITER, {"x": 1})
    assert headers.get("x-held-place") and body["kv_transfer_params"] == {"x": 1} and body["stream"] is True
    assert body["max_completion_tokens"] == 9 and "max_tokens" not in body
    assert "kv_transfer_params" not in ASK.body and "stream" not in ASK.body, "the request itself is left as it is"


# On sockets.


def attempt(
    data: bytes = b"x" * 100, role: Role = WRITER, confirm: float = 0.02
) -> tuple[SocketAttempt, socket.socket, list[socket.socket]]:
    ours, theirs = socket.socketpair()
    back: list[socket.socket] = []
    return SocketAttempt(ours, data, protocol.Exchange(role, LIMITS), confirm, back.append), theirs, back


def outcome(events: list[AttemptEvent]) -> Outcome | None:
    return next((e.outcome for e in events if isinstance(e, AttemptResult)), None)


def test_a_connection_goes_back_only_when_its_answer_was_read_to_the_end() -> None:
    for data, kept in ((stream(CHUNK, b"[DONE]"), 1), (stream(CHUNK, b"[DONE]", end=False), 0),
                       (reply(503, b"", ("Connection", "close")), 0), (reply(503, b""), 1)):  # fmt: skip
        one, theirs, back = attempt()
        one.push()
        theirs.sendall(data)
        assert outcome(one.process_io()) in (Outcome.SERVED, Outcome.FULL) and len(back) == kept and one.fileno() == -1


def test_not_sent_is_said_only_where_it_is_certain() -> None:
    one, theirs, _ = attempt(b"x" * (8 << 20))  # more than a socket takes
    one.push()
    assert one.has_unsent_data
    theirs.close()
    assert outcome(one.process_io()) is Outcome.NOT_SENT
    one, theirs, _ = attempt()  # all of it was taken: it may have run
    one.push()
    theirs.close()
    assert outcome(one.process_io()) is Outcome.RESET


def test_an_answer_that_comes_before_the_request_was_taken_counts() -> None:
    one, theirs, _ = attempt(b"x" * (8 << 20))
    one.push()
    theirs.sendall(reply(503, b"", ("Connection", "close")))
    assert outcome(one.process_io()) is Outcome.FULL


def test_an_abort_waits_until_the_engine_has_seen_it_and_no_longer_than_it_may() -> None:
    one, theirs, _ = attempt(confirm=5.0)
    order: list[str] = []

    def engine() -> None:
        while theirs.recv(1_000):
            pass
        order.append("seen")
        theirs.close()

    thread = threading.Thread(target=engine)
    thread.start()
    one.push()
    one.abort()
    order.append("back")
    thread.join()
    assert order == ["seen", "back"] and one.fileno() == -1
    one, theirs, _ = attempt(confirm=0.05)  # one that never answers
    start = time.monotonic()
    one.abort()
    assert 0.04 < time.monotonic() - start < 2.0


def listening() -> socket.socket:
    server = socket.socket()
    server.bind(("127.0.0.1", 0))
    server.listen(8)
    return server


def test_a_pooled_connection_that_the_engine_closed_is_not_used() -> None:
    server = listening()
    host, port = server.getsockname()
    pool = ConnectionPool(4, idle_timeout=60.0)
    sock, used = pool.acquire(host, port, 1.0)
    theirs, _ = server.accept()
    pool.put_back(host, port, sock)
    again, used = pool.acquire(host, port, 1.0)
    assert used is not None and again is sock
    pool.put_back(host, port, again)
    theirs.close()
    poller = select.poll()
    poller.register(again.fileno(), select.POLLIN)
    assert poller.poll(2_000)
    fresh, used = pool.acquire(host, port, 1.0)
    assert used is None and fresh is not sock
    fresh.close()
    server.close()
    with pytest.raises(OSError):
        pool.acquire(host, port, 0.2)


def test_the_pool_is_bounded_in_number_and_age() -> None:
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
def test_what_is_learned_of_an_engine_never_crosses_its_close(closes: float, rests: list[float]) -> None:
    """Whatever rests are looked at: the time for use stays below the engine's, or at what is good for all."""
    keeping, address = IdleTimeouts(4.0, 60.0), ("h", 1)
    for n, rest in enumerate(rests):
        if rest < closes:
            keeping.observe_open(address, rest)
        else:
            keeping.observe_closed(address, closes, float(n))
        assert 4.0 <= keeping.reuse_limit(address, float(n)) <= max(4.0, min(60.0, 0.8 * closes))
    assert keeping.reuse_limit(("h", 2), 0.0) == 4.0
    keeping.retain(set())
    assert keeping.reuse_limit(address, 0.0) == 4.0


def test_a_crash_teaches_nothing_and_a_close_is_forgotten_in_time() -> None:
    keeping, address = IdleTimeouts(4.0, 60.0), ("h", 1)
    keeping.observe_open(address, 50.0)
    keeping.observe_closed(address, 0.1, 1.0)
    assert keeping.reuse_limit(address, 1.0) == 40.0
    keeping.observe_closed(address, 10.0, 2.0)
    assert keeping.reuse_limit(address, 2.0) == 8.0
    keeping.observe_open(address, 50.0)
    assert keeping.reuse_limit(address, 3.0) == 8.0 and keeping.reuse_limit(address, 700.0) == 40.0


def test_a_pool_uses_connections_as_long_as_their_engine_leaves_them_open() -> None:
    server = listening()
    host, port = server.getsockname()
    pool = ConnectionPool(4, idle_timeout=0.05, max_idle_timeout=60.0)
    first = pool.acquire(host, port, 1.0)[0]
    pool.put_back(host, port, first)
    time.sleep(0.4)
    second, age = pool.acquire(host, port, 1.0)  # too old to be used, and kept to see what becomes of it
    assert age is None and second is not first and pool.idle_count(host, port) == 1
    pool.prune()
    pool.put_back(host, port, second)
    time.sleep(0.2)
    again, age = pool.acquire(host, port, 1.0)
    assert again is second and age is not None and 0.15 < age < 0.35
    pool.put_back(host, port, again)
    theirs = [server.accept()[0] for _ in range(2)]
    for sock in theirs:
        sock.close()
    assert readable(second, 2_000.0)
    pool.prune()
    assert pool.idle_count(host, port) == 0 and pool.idle_timeouts.reuse_limit((host, port), time.monotonic()) < 0.7
    plain = ConnectionPool(4, idle_timeout=0.05)
    assert not plain.idle_timeouts.adaptive and plain.idle_timeouts.reuse_limit((host, port), 0.0) == 0.05
    pool.close()
    server.close()


def test_kept_connections_rest_once_requests_on_them_went_unanswered() -> None:
    rest = ReuseDelay()
    assert rest.required(0.0) == 0.0
    rest.record_unanswered(10.0, 0.2)
    assert rest.required(10.0) == 0.0  # one may be chance
    rest.record_unanswered(11.0, 0.4)
    assert rest.required(11.0) == pytest.approx(0.52)
    rest.record_unanswered(11.5, 9.0)  # an engine that went down: no crossing close takes so long
    assert rest.required(12.0) == pytest.approx(0.52)
    assert rest.required(30.5) == 0.0  # the first is forgotten


def test_a_pool_that_needs_rest_takes_the_oldest_and_opens_meanwhile() -> None:
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


# Lists.

KINDS = (Kind(name="reader", role=READER), Kind(name="writer", role=WRITER))


def document(*engines: dict[str, Any], version: int = 1, kind: str = "full") -> bytes:
    return json.dumps({"version": version, "kind": kind, "engines": engines}).encode()


def line(name: str, **more: Any) -> dict[str, Any]:
    return {"name": name, "address": "127.0.0.1:9", "kind": "reader", **more}


def test_a_list_and_its_changes() -> None:
    listing = ServerListState(KINDS)
    event = listing.apply_json(document(line("a"), line("b", kind="writer", cell="row-2", started=5.5)), 100 * 10**9)
    assert event.kind is api.ListKind.FULL and [e.server for e in event.entries] == ["a", "b"]
    assert event.entries[1].kind == 1 and event.entries[1].started == 5_500_000_000
    event = listing.apply_json(document(line("a", state="draining"), version=2, kind="changes"), 0)
    assert event.kind is api.ListKind.CHANGES and len(event.entries) == 1
    assert set(listing.engines) == {"a", "b"}
    listing.apply_json(document(line("a", state="removed"), version=3, kind="changes"), 0)
    assert set(listing.engines) == {"b"} and listing.version == 3
    again = ServerListState(KINDS)
    assert again.apply_json(listing.to_json(), 0, saved=True).kind is api.ListKind.SAVED and set(again.engines) == {"b"}


def test_another_address_with_the_same_start_is_another_machine() -> None:
    listing = ServerListState(KINDS)
    listing.apply_json(document(line("a", started=5)), 0)
    event = listing.apply_json(document(line("a", started=5, address="127.0.0.1:10"), version=2), 77 * 10**9)
    assert event.entries[0].started == 77 * 10**9


@pytest.mark.parametrize(
    ("bad", "said"),
    [
        (line("a", kind="gpu"), "kind 'gpu'; allowed: reader, writer"),
        (line("a", address="nowhere"), "allowed: host:port"),
        (line("a", address="h:99999"), "allowed: host:port"),
        (line("a", weight=0), "weight 0"),
        (line("", kind="reader"), "name"),
        (line("a", state="sleeping"), "state"),
        (line("a", started="today"), "started"),
    ],
)
def test_a_list_with_anything_wrong_is_refused_whole(bad: dict[str, Any], said: str) -> None:
    listing = ServerListState(KINDS)
    listing.apply_json(document(line("x")), 0)
    with pytest.raises(ListError) as refused:
        listing.apply_json(document(line("y"), bad, version=2), 0)
    assert said in str(refused.value) and set(listing.engines) == {"x"} and listing.version == 1
    with pytest.raises(ListError, match="stands twice"):
        listing.apply_json(document(line("y"), line("y")), 0)


@given(st.binary(max_size=200))
def test_garbage_is_no_list(data: bytes) -> None:
    with pytest.raises(ListError):
        ServerListState(KINDS).apply_json(data, 0)


def test_a_watched_file_is_followed_and_a_bad_one_changes_nothing(tmp_path: Path) -> None:
    path, kept = tmp_path / "engines.json", tmp_path / "saved.json"
    path.write_bytes(document(line("a")))
    taken: list[api.ServerList] = []
    said: list[str] = []
    listing = ServerListState(KINDS)
    source = ListSource(Source(file=str(path), poll_ms=10), listing, time.time_ns, instance="i0", saved=kept,
                        on_list=lambda event, engines: taken.append(event), log=said.append)  # fmt: skip
    source.start()
    try:
        assert wait_for(kept.exists) and len(taken) == 1
        assert json.loads(kept.read_text())["engines"][0]["name"] == "a"
        save(path, b"{")
        assert wait_for(lambda: len(said) == 1) and len(taken) == 1
        save(path, document(line("a"), line("b"), version=2))
        assert wait_for(lambda: len(taken) == 2) and len(taken[1].entries) == 2
        path.unlink()
        assert wait_for(lambda: len(said) == 2) and set(listing.engines) == {"a", "b"}
    finally:
        source.stop()


# Load reports.


def test_reports_from_both_forms_of_the_header_and_from_metrics() -> None:
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
def test_no_header_text_does_harm(text: str) -> None:
    for given_text in (text, f"TEXT {text}", f"JSON {text}", "TEXT num_requests_running=nan", "JSON [[[["):
        report = load.from_header(given_text)
        assert report is None or report.memory_share is None or 0.0 <= report.memory_share <= 1.0


# Releases.


def test_a_release_that_is_answered_otherwise_is_tried_again_until_it_is_done_or_given_up() -> None:
    book = ReleaseQueue(50 * MS)
    book.add(PendingRelease("q", "r0", 0, {}, 0))
    now, tries = 0, []
    while (at := book.next_due()) is not None:
        now = max(now, at)
        found = book.take_due(now)
        assert found is not None
        tries.append(now // MS)
        book.record_result(found[0], ReleaseResult.RETRY, now)
    assert tries[:4] == [0, 20, 60, 140] and tries[-1] <= 1_000 and not len(book) and book.dropped == 1
    book.add(PendingRelease("q", "r0", 0, {}, now))
    found = book.take_due(now)
    assert found is not None
    assert not book.record_result(found[0], ReleaseResult.DONE, now)
    assert not len(book) and not book.record_result(found[0], ReleaseResult.RETRY, now)


def asked(
    book: ReleaseQueue, until: int, heard: Callable[[PendingRelease, int], ReleaseResult]
) -> list[tuple[int, str]]:
    """Play a book with one thread: when (ms) each request was tried."""
    tries = []
    while (at := book.next_due()) is not None and at <= until:
        found = book.take_due(at)
        if found is not None:
            tries.append((at // MS, found[1].request))
            book.record_result(found[0], heard(found[1], at), at)
    return tries


def test_an_engine_that_is_away_is_asked_for_by_one_release_and_owed_them_all() -> None:
    """For two minutes, far past the time after which an answered release is given up; then all are due at once."""
    away_until = 120_000 * MS
    book = ReleaseQueue(50 * MS)
    for n in range(500):
        book.add(PendingRelease(f"q{n}", "r0", 0, {}, n))
    tries = asked(
        book, 200_000 * MS, lambda item, at: ReleaseResult.UNREACHABLE if at < away_until else ReleaseResult.DONE
    )
    before = [at for at, _ in tries if at < 120_000]
    after = [at for at, _ in tries if at >= 120_000]
    assert 2_400 < len(before) < 4_800 and len(after) == 500 and after[-1] == after[0] <= 120_050
    assert not len(book) and book.dropped == 0 and book.unreachable_engines == 0


def test_an_engine_that_is_away_and_off_the_list_is_given_up() -> None:
    book = ReleaseQueue(50 * MS)
    for n in range(5):
        book.add(PendingRelease(f"q{n}", "r0", 0, {}, 0))
    tries = asked(book, 60_000 * MS, lambda item, at: ReleaseResult.DELISTED)
    assert not len(book) and book.dropped == 5 and book.unreachable_engines == 0 and tries[-1][0] < 8_000


def test_engines_that_are_away_leave_a_thread_to_the_others() -> None:
    book = ReleaseQueue(50 * MS, max_unreachable_tries=3)
    for n in range(10):
        book.add(PendingRelease("q", f"r{n}", 0, {}, 0))
        found = book.take_due(0)
        assert found is not None and book.record_result(found[0], ReleaseResult.UNREACHABLE, 0)
    out = [book.take_due(30 * MS) for _ in range(5)]
    assert [each is not None for each in out] == [True] * 3 + [False] * 2 and book.next_due() is None
    book.add(PendingRelease("well", "w0", 0, None, 30 * MS))
    found = book.take_due(30 * MS)
    assert (
        found is not None
        and found[1].request == "well"
        and not book.record_result(found[0], ReleaseResult.DONE, 30 * MS)
    )
    assert out[0] is not None and book.record_result(out[0][0], ReleaseResult.UNREACHABLE, 40 * MS)
    assert book.take_due(40 * MS) is not None and book.take_due(40 * MS) is None  # a place is free for one more


@given(st.lists(st.tuples(st.sampled_from(["add", "due", "done", "again", "away", "gone", "drop"]),
                          st.integers(0, 3), st.integers(0, 400)), max_size=80))  # fmt: skip
def test_whatever_comes_every_release_ends_once_its_engine_answers(history: list[tuple[str, int, int]]) -> None:
    """Nothing is lost, and nothing is tried twice at one time."""
    book = ReleaseQueue(50 * MS, max_open=20, max_unreachable_tries=2)
    now, out, added, over = 0, dict[int, PendingRelease](), 0, 0
    heard = {
        "done": ReleaseResult.DONE,
        "again": ReleaseResult.RETRY,
        "away": ReleaseResult.UNREACHABLE,
        "gone": ReleaseResult.DELISTED,
    }
    for what, which, pause in history:
        now += pause * MS
        if what == "add":
            book.add(PendingRelease(f"q{added}", f"r{which}", 0, {}, now))
            added += 1
        elif what == "due":
            found = book.take_due(now)
            assert found is None or found[0] not in out
            out |= dict([found]) if found is not None else {}
        elif what == "drop" and out:
            book.remove(list(out)[which % len(out)])
        elif out and what in heard:
            number = list(out)[which % len(out)]
            del out[number]
            book.record_result(number, heard[what], now)
    for number in list(out):
        book.record_result(number, ReleaseResult.UNREACHABLE, now)
    while (at := book.next_due()) is not None:
        now = max(now, at)
        found = book.take_due(now)
        if found is not None:
            over += 1
            assert not book.record_result(found[0], ReleaseResult.DONE, now)
    assert not len(book) and book.unreachable_engines == 0 and over <= 20


def test_open_releases_are_bounded() -> None:
    book = ReleaseQueue(10**12, max_open=100)
    for n in range(250):
        book.add(PendingRelease(str(n), "r0", 0, {}, 0))
    assert len(book) == 100 and book.dropped == 150
    found = book.take_due(0)
    assert found is not None and found[1].request == "150"
