"""Faulty clients: bad framing, oversized input, slow senders and readers, disconnects; others stay unaffected."""

from __future__ import annotations

import contextlib
import json
import os
import resource
import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stonetrack.frontend.auth import key_hash, tenant_of
from stonetrack.frontend.classify import BadTimeLeft, ByteEstimator, class_of, describe_prompt, session_of, time_left
from stonetrack.settings import parse
from stonetrack.settings.schema import Tenant
from stonetrack.wire import http1, json_limits
from tests.harness import CHAT, Client, Harness, chat, harness, raw_settings, text_of, wait_for

SMALL = {
    "limits": {"body_bytes": 100_000, "json_depth": 20, "json_values": 1_000, "head_bytes": 16_384},
    "timing": {"header_ms": 700, "body_ms": 700, "client_stall_ms": 800, "stream_silence_ms": 1_500, "drain_ms": 2_000},
}


@pytest.fixture(scope="module")
def node() -> Iterator[Harness]:
    with harness(2, 2, settings=SMALL) as running:
        yield running


def request_succeeds(node: Harness) -> bool:
    client = Client(node.port)
    head, events = client.stream(chat(stream=True))
    client.close()
    return head.status == 200 and events[-1] == b"[DONE]"


def raw_exchange(node: Harness, data: bytes) -> tuple[int, bytes]:
    """Send raw bytes; return the status, and the body if the connection closes after the response."""
    client = Client(node.port)
    try:
        client.send(data)
        head, body = client.answer()
        end = client.sock.recv(100)
        return head.status, end or body
    finally:
        client.close()


BAD_FRAMING = [
    (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nX", 400),
    (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcde", 400),
    (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost: a\r\nX: \x00\r\n\r\n", 400),
    (b"GET / HTTP/1.1\nHost: a\n\n", 400),
    (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 70_000 + b"\r\n\r\n", 431),
    (b"GET / HTTP/1.1\r\nHost: a\r\n" + b"X: a\r\n" * 200 + b"\r\n", 431),
    (b"GET /" + b"a" * 9_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n", 414),
    (f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nContent-Length: {100 << 20}\r\n\r\n".encode(), 413),
    (f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n{100 << 20:x}\r\n".encode(), 413),
    (b"GET / HTTP/3.0\r\nHost: a\r\n\r\n", 505),
]


@pytest.mark.parametrize(("data", "status"), BAD_FRAMING)
def test_bad_framing_gets_an_error_response_and_the_connection_closes(node: Harness, data: bytes, status: int) -> None:
    received, body = raw_exchange(node, data)
    assert received == status and json.loads(body)["error"]["message"]
    assert request_succeeds(node)


@pytest.mark.parametrize("chunked", [False, True])
def test_a_client_that_sends_100_mib_receives_the_error_response(node: Harness, chunked: bool) -> None:
    client = Client(node.port)
    piece = b"a" * (1 << 20)
    if chunked:
        client.send(f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        piece = b"%x\r\n%b\r\n" % (len(piece), piece)
    else:
        client.send(f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nContent-Length: {100 << 20}\r\n\r\n".encode())
    for _ in range(100):
        client.send(piece)
    head, body = client.answer()
    assert head.status == 413 and b"at most" in body or b"over" in body
    client.close()
    assert request_succeeds(node)


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (b"", "no JSON"),
        (b"{", "no JSON"),
        (b"[1]", "JSON object"),
        (b"[" * 500, "nests deeper"),
        (b'{"a":' * 300 + b"1" + b"}" * 300, "nests deeper"),
        (b"{" + b",".join(b'"k%d":1' % n for n in range(5_000)) + b"}", "values"),
        (json.dumps({"messages": [{"role": "user", "content": "x"}]}).encode(), "model"),
        (json.dumps(chat(messages=[])).encode(), "messages"),
        (json.dumps(chat(messages=[{"role": "robot", "content": "x"}])).encode(), "messages[0].role"),
        (json.dumps(chat(messages=[{"role": "user", "content": 3}])).encode(), "messages[0].content"),
        (json.dumps(chat(stream="yes")).encode(), "stream"),
        (json.dumps(chat(max_tokens=0)).encode(), "max_tokens"),
        (json.dumps(chat(n=1_000)).encode(), "n:"),
        (json.dumps(chat(top_p=1.5)).encode(), "top_p"),
        (json.dumps(chat(kv_transfer_params={"do_remote_prefill": True})).encode(), "kv_transfer_params"),
        (b'{"model":"demo","messages":[{"role":"user","content":"\\ud800"}]}', "no JSON"),
    ],
)
def test_an_invalid_body_gets_a_400_that_names_the_problem(node: Harness, body: bytes, message: str) -> None:
    client = Client(node.port)
    head, answer = client.call(body)
    assert head.status == 400 and message in answer["error"]["message"], answer
    assert answer["error"]["type"] == "invalid_request_error"
    head, _ = client.call(chat())  # the connection stays usable
    assert head.status == 200
    client.close()


def test_commas_in_a_long_prompt_do_not_count_as_values(node: Harness) -> None:
    client = Client(node.port)
    head, _ = client.call(chat('a, b, [c], {"d": "\\"e"}, ' * 2_000))
    assert head.status == 200
    client.close()


@given(st.recursive(st.none() | st.integers() | st.text(max_size=8), lambda inner: st.lists(inner, max_size=4)
                    | st.dictionaries(st.text(max_size=4), inner, max_size=4), max_leaves=30))  # fmt: skip
def test_json_limits_count_depth_as_a_decoder_does(value: Any) -> None:
    def depth(v: Any) -> int:
        inner = v.values() if isinstance(v, dict) else v if isinstance(v, list) else None
        return 0 if inner is None else 1 + max(map(depth, inner), default=0)

    text = json.dumps(value).encode()
    json_limits.check(text, depth(value), 1_000)
    if depth(value):
        with pytest.raises(json_limits.TooComplex, match="nests"):
            json_limits.check(text, depth(value) - 1, 1_000)


def test_wrong_paths_and_methods(node: Harness) -> None:
    client = Client(node.port)
    assert client.call(b"", path="/nowhere", method="GET")[0].status == 404
    head, _ = client.call(b"", path=CHAT, method="GET")
    assert head.status == 405 and head.headers.get("allow") == "POST"
    client.close()


def test_pipelined_requests_are_answered_in_order(node: Harness) -> None:
    client = Client(node.port)
    for n in (2, 3, 4):
        client.send_request(chat(max_tokens=n))
    received = [json.loads(client.answer()[1])["usage"]["completion_tokens"] for _ in range(3)]
    assert received == [2, 3, 4]
    client.close()


def test_http_1_0_gets_a_stream_until_the_connection_closes(node: Harness) -> None:
    body = json.dumps(chat(stream=True)).encode()
    client = Client(node.port)
    client.send(f"POST {CHAT} HTTP/1.0\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
    head, data = client.answer()
    assert "transfer-encoding" not in head.headers and data.endswith(b"data: [DONE]\n\n")
    client.close()


def test_a_client_that_expects_100_continue_receives_it(node: Harness) -> None:
    body = json.dumps(chat()).encode()
    client = Client(node.port)
    client.send(
        f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    )
    assert client.sock.recv(100).startswith(b"HTTP/1.1 100 ")
    client.send(body)
    assert client.answer()[0].status == 200
    client.close()


def test_slow_senders_occupy_no_worker_and_time_out(node: Harness) -> None:
    """Slowloris: incomplete heads, one more byte now and then; other clients are served meanwhile."""
    slow_senders = [Client(node.port) for _ in range(150)]
    for client in slow_senders:
        client.send(b"POST / HTTP/1.1\r\nHost: a\r\nX: ")
    before = node.node.host.workers
    start = time.monotonic()
    assert request_succeeds(node)
    for client in slow_senders[:20]:
        client.send(b"a")
    assert node.node.host.workers <= before + 1
    statuses = [client.answer()[0].status for client in slow_senders]
    assert set(statuses) == {408} and time.monotonic() - start < 10.0
    for client in slow_senders:
        client.close()


def test_idle_connections_occupy_no_thread(node: Harness) -> None:
    idle_sockets = [socket.create_connection(("127.0.0.1", node.port)) for _ in range(600)]
    assert wait_for(lambda: node.node.host.connections >= 600)
    threads = threading.active_count()
    assert request_succeeds(node) and threading.active_count() <= threads + 2
    for sock in idle_sockets:
        sock.close()
    assert wait_for(lambda: node.node.host.connections < 50)


def test_a_client_that_reads_one_byte_at_a_time_gets_the_whole_stream(node: Harness) -> None:
    client = Client(node.port)
    client.send_request(chat(stream=True))
    received = b""
    while b"[DONE]\n\n\r\n0\r\n\r\n" not in received:
        received += client.sock.recv(1)
    client.close()
    assert received.count(b"[DONE]") == 1


def test_a_client_that_stops_reading_is_disconnected_and_its_decode_engine_freed() -> None:
    # More than all kernel buffers on the path hold, or a busy machine's engine ends before the stall shows.
    long_answers: dict[str, Any] = {"answer_least": 80_000, "answer_most": 80_000, "token_ms": 0.02}
    settings = {"limits": {"send_buffer_bytes": 8_192}, "timing": {"client_stall_ms": 600, "stream_silence_ms": 9_000}}
    with harness(1, 1, settings=settings, **long_answers) as node:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.connect(("127.0.0.1", node.port))
        body = json.dumps(chat(stream=True)).encode()
        sock.sendall(f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        assert wait_for(lambda: bool(node.seen("first")))
        assert wait_for(lambda: bool(node.seen("left", engine="w0")), 15.0), "the decode engine was held up"
        assert wait_for(lambda: node.node.open_requests == 0)
        sock.close()
        assert call_once(node, chat(max_tokens=4))[0].status == 200  # a full answer takes a minute here


@pytest.mark.parametrize("when", ["first", "read", "streaming"])
def test_a_disconnected_client_leaves_no_state_and_no_reservation(node: Harness, when: str) -> None:
    states = len(node.seen("state"))
    if when == "read":
        node.fault("w0", "pause", for_ms=400)
        node.fault("w1", "pause", for_ms=400)
    client = Client(node.port)
    client.send_request(chat(f"leaving {when} {time.monotonic()}", stream=True))
    if when == "read":
        assert wait_for(lambda: len(node.seen("state")) > states)
    else:
        assert client.sock.recv(1 if when == "first" else 4_000)
    client.close()
    assert wait_for(lambda: node.node.open_requests == 0)
    engines = [slot.engine for slot in node.engines.slots.values() if slot.engine]
    assert wait_for(lambda: not any(e.held_states or e.reservations or e.active_streams for e in engines))
    assert request_succeeds(node)


def test_a_decode_engine_that_drains_completes_its_stream() -> None:
    with harness(1, 2, answer_least=40, answer_most=40, token_ms=10.0) as node:
        client = Client(node.port)
        client.send_request(chat(stream=True))
        assert wait_for(lambda: bool(node.seen("first")))
        writer = node.seen("first")[0]["engine"]
        node.fault(writer, "leave", notice_ms=5_000, down_ms=1_000)
        assert wait_for(lambda: any(writer in r["leaving"] for r in node.seen("told")))
        events = [e for e in client.answer()[1].split(b"\n\n") if e]
        assert events[-1] == b"data: [DONE]"
        client.close()


def test_a_stream_that_breaks_within_an_event_ends_with_an_error_and_without_done(node: Harness) -> None:
    for name in ("w0", "w1"):
        node.fault(name, "half", count=1)
    client = Client(node.port)
    head, events = client.stream(chat(stream=True))
    assert head.status == 200 and b"[DONE]" not in events
    assert json.loads(events[-1])["error"]["code"] == "stream_broken"
    for data in events[:-1]:
        assert json.loads(data)["choices"]
    head, answer = call_once(node, chat())
    assert head.status in (200, 502)
    if head.status == 502:
        assert answer["error"]["code"] == "stream_broken"
    for name in ("w0", "w1"):
        slot = node.engines.slots[name].engine
        assert slot is not None
        slot.faults.truncations = 0


def call_once(node: Harness, body: Any, **arguments: Any) -> tuple[http1.ResponseHead, Any]:
    client = Client(node.port)
    try:
        return client.call(body, **arguments)
    finally:
        client.close()


def test_engines_that_close_idle_connections_cause_no_failure(node: Harness) -> None:
    for name in node.engines.slots:
        node.fault(name, "close_idle", on=True)
    before = len(node.log.lines)
    assert all(request_succeeds(node) for _ in range(12))
    for name in node.engines.slots:
        node.fault(name, "close_idle", on=False)
    assert not [line for line in node.log.lines[before:] if "left out" in line[0]]


def test_an_engines_rejection_of_a_request_reaches_the_client_unchanged() -> None:
    with harness(1, 1, memory_tokens=500) as node:
        head, answer = call_once(node, chat("long " * 1_000))
        assert head.status == 400 and answer["error"]["code"] == "context_length_exceeded"
        assert len(node.requests("read")) == 1


def test_a_rejection_carries_retry_after(node: Harness) -> None:
    for name in ("r0", "r1"):
        node.fault(name, "full", for_ms=2_500)
    head, answer = call_once(node, chat(), headers="X-Time-Left-Ms: 600\r\n")
    assert head.status == 503 and int(head.headers.get("retry-after")) >= 1
    assert answer["error"]["code"] == "overloaded"
    for name in ("r0", "r1"):
        engine = node.engines.slots[name].engine
        assert engine is not None
        engine.faults.full_until = 0
    assert wait_for(lambda: request_succeeds(node))


def test_without_a_free_worker_a_request_is_rejected_at_once() -> None:
    settings = {"limits": {"workers": 2}}
    with harness(1, 1, settings=settings, answer_least=100, answer_most=100, token_ms=10.0) as node:
        busy = [Client(node.port) for _ in range(2)]
        for client in busy:
            client.send_request(chat(stream=True))
            assert client.sock.recv(1)
        start = time.monotonic()
        head, answer = call_once(node, chat())
        assert head.status == 503 and "busy" in answer["error"]["message"] and time.monotonic() - start < 2.0
        for client in busy:
            client.close()


def test_without_a_new_thread_a_request_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    real = threading.Thread.start

    def fail_to_start(thread: threading.Thread) -> None:
        if thread.name.startswith("Thread-"):
            raise RuntimeError("can't start new thread")
        real(thread)

    with harness(1, 1) as node:
        with monkeypatch.context() as patched:
            patched.setattr(threading.Thread, "start", fail_to_start)
            head, answer = call_once(node, chat())
        assert head.status == 503 and "busy" in answer["error"]["message"]
        assert request_succeeds(node)


def test_without_descriptors_clients_are_rejected_and_service_recovers(node: Harness) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert request_succeeds(node)
    late_sockets = [socket.socket() for _ in range(6)]
    fillers: list[int] = []
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(map(int, os.listdir("/proc/self/fd"))) + 20, hard))
        with contextlib.suppress(OSError):
            while True:
                fillers.append(os.open(os.devnull, os.O_RDONLY))
        for sock in late_sockets:
            sock.settimeout(0.8)
            sock.connect(("127.0.0.1", node.port))
        received = []
        for sock in late_sockets:
            try:
                received.append(sock.recv(4_096))
            except TimeoutError:
                received.append(b"")  # accepted: a descriptor was still free
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for fd in fillers:
            os.close(fd)
    refused = [data for data in received if data]
    assert len(refused) >= 2 and all(d.startswith(b"HTTP/1.1 503 ") and b"descriptor" in d for d in refused), received
    for sock, data in zip(late_sockets, received, strict=True):
        if not data:  # accepted connections are served, not lost
            sock.sendall(b"GET /health HTTP/1.1\r\nHost: a\r\n\r\n")
            assert sock.recv(4_096).startswith(b"HTTP/1.1 200 ")
        sock.close()
    assert wait_for(lambda: request_succeeds(node))


def test_connections_over_the_limit_are_rejected() -> None:
    limits = {"limits": {"connections": 3}}
    with harness(1, 1, settings=limits, token_ms=60.0, answer_least=40, answer_most=40) as node:
        busy_clients = [Client(node.port) for _ in range(3)]
        for client in busy_clients:
            client.send_request(chat(stream=True))
        assert wait_for(lambda: node.node.open_requests == 3)
        refused = Client(node.port)
        head, body = refused.answer()
        assert head.status == 503 and b"connections" in body
        for client in (*busy_clients, refused):
            client.close()
        assert wait_for(lambda: node.node.host.connections == 0)
        assert request_succeeds(node)


def test_a_silent_connection_is_closed_for_a_new_client() -> None:
    with harness(1, 1, settings={"limits": {"connections": 3}}) as node:
        silent = [Client(node.port) for _ in range(3)]
        assert wait_for(lambda: node.node.host.connections == 3)
        assert request_succeeds(node)
        for client in silent:
            client.close()


def test_health_and_metrics_report_requests(node: Harness) -> None:
    assert request_succeeds(node)
    head, health = call_once(node, b"", path="/health", method="GET")
    assert head.status == 200 and health["status"] == "ok" and health["engines_up"] == 4
    client = Client(node.port)
    client.send_request(b"", path="/metrics", method="GET")
    _, page = client.answer()
    client.close()
    text = page.decode()
    assert 'stonetrack_requests_total{class="chat",ended="served",front="chat",tenant="t"}' in text
    assert 'stonetrack_events_total{event="RequestArrived"}' in text and 'stonetrack_engines{state="up"} 4.0' in text


# KServe v2.


def test_kserve_v2_serves_text_on_the_same_core(node: Harness) -> None:
    def get(path: str) -> tuple[http1.ResponseHead, Any]:
        return call_once(node, b"", path=path, method="GET")

    assert get("/v2")[1]["extensions"] == ["generate"]
    assert get("/v2/health/live")[1] == {"live": True} and get("/v2/health/ready")[1] == {"ready": True}
    assert get("/v2/models/demo")[1]["inputs"][0]["name"] == "text_input"
    assert get("/v2/models/demo/versions/1/ready")[1]["ready"] is True
    assert get("/v2/models/other")[0].status == 404 and "error" in get("/v2/models/other")[1]
    generate_body = {"text_input": "Where can I charge?", "parameters": {"max_tokens": 4}}
    head, whole = call_once(node, generate_body, path="/v2/models/demo/generate")
    assert head.status == 200 and whole["model_name"] == "demo" and whole["text_output"]
    client = Client(node.port)
    head, events = client.stream(generate_body, path="/v2/models/demo/generate_stream")
    client.close()
    assert "".join(json.loads(e)["text_output"] for e in events) == whole["text_output"]
    _, chat_answer = call_once(node, chat(max_tokens=4))
    assert chat_answer["choices"][0]["message"]["content"] == whole["text_output"], "one core, one answer"


@pytest.mark.parametrize(
    ("body", "path", "status"),
    [
        ({}, "generate", 400),
        ({"text_input": 3}, "generate", 400),
        ({"text_input": "x", "parameters": {"max_tokens": "many"}}, "generate", 400),
        ({"text_input": "x", "parameters": {"stream": True}}, "generate", 400),
        (b"{", "generate_stream", 400),
        ({"text_input": "x"}, "infer", 405),
    ],
)
def test_kserve_errors_have_the_protocols_form(node: Harness, body: Any, path: str, status: int) -> None:
    head, answer = call_once(node, body, path=f"/v2/models/demo/{path}")
    assert head.status == status and isinstance(answer["error"], str)


# Classification of requests.

CLASSES = [
    {"name": "chat", "first_token_ms": 1_000, "deadline_ms": 4_000},
    {"name": "long", "first_token_ms": 1_000, "deadline_ms": 8_000},
    {"name": "vip", "first_token_ms": 1_000, "deadline_ms": 8_000},
]
RULES = [{"to": "vip", "header": {"name": "X-Class", "value": "vip"}}, {"to": "long", "min_prompt_tokens": 1_000}]
SETTINGS = parse(json.dumps(raw_settings("http://h:1/e", classes=CLASSES, rules=RULES)))


def headers(**named: str) -> http1.Headers:
    return http1.Headers((name.replace("_", "-"), text) for name, text in named.items())


def test_the_first_matching_rule_assigns_the_class() -> None:
    assert class_of(SETTINGS, "demo", headers(), 10) == 0
    assert class_of(SETTINGS, "demo", headers(), 1_000) == 1
    assert class_of(SETTINGS, "demo", headers(x_class="vip"), 1_000) == 2


def test_time_left_is_the_lower_limit_less_margin_and_elapsed_time() -> None:
    assert time_left(SETTINGS, 0, headers(), 0) == 3_900_000_000
    assert time_left(SETTINGS, 0, headers(x_time_left_ms="1000"), 50_000_000) == 850_000_000
    assert time_left(SETTINGS, 0, headers(x_time_left_ms="99999"), 0) == 3_900_000_000
    for invalid in ("-1", "1.5", "soon", "0", "9" * 12, "１"):
        with pytest.raises(BadTimeLeft):
            time_left(SETTINGS, 0, headers(x_time_left_ms=invalid), 0)


def test_the_shared_prefix_covers_tools_and_leading_system_messages() -> None:
    def prompt_of(*messages: tuple[str, str], tools: object = None) -> Any:
        return describe_prompt([{"role": r, "content": c} for r, c in messages], tools, "m", ByteEstimator())

    one = prompt_of(("system", "a" * 400), ("user", "x"))
    two = prompt_of(("system", "a" * 400), ("user", "y" * 4_000), ("system", "later"))
    assert one.shared_prefix == two.shared_prefix and one.shared_tokens == two.shared_tokens
    assert two.prompt_tokens > one.prompt_tokens > one.shared_tokens >= 100
    assert prompt_of(("system", "b" * 400)).shared_prefix != one.shared_prefix
    assert prompt_of(("system", "a" * 400), tools=[{"a": 1}]).shared_prefix != one.shared_prefix
    assert prompt_of(("user", "x")).shared_prefix is None


def test_sessions_differ_by_tenant_and_do_not_contain_the_clients_name() -> None:
    assert session_of(("", None, "bob"), 0) == session_of(("bob",), 0) != session_of(("bob",), 1)
    assert "bob" not in session_of(("bob",), 0) and session_of(("", None), 0) == ""


def test_api_keys_map_to_tenants_by_their_hashes() -> None:
    tenants = (Tenant(name="a", key_hashes=(key_hash("one"),)), Tenant(name="b", key_hashes=(key_hash("two"),)))
    assert [tenant_of(key, tenants, False) for key in ("one", "two", "three", "")] == [0, 1, None, None]
    assert tenant_of("three", tenants, True) == 0 and tenant_of("two", tenants, True) == 1


def test_streamed_and_whole_answers_have_the_same_text(node: Harness) -> None:
    client = Client(node.port)
    _, events = client.stream(chat("same", stream=True))
    _, whole = client.call(chat("same"))
    client.close()
    assert text_of(events) == whole["choices"][0]["message"]["content"]
