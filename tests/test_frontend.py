"""Clients at their worst: bad framing, too much of everything, too slow, leaving; others are never harmed."""

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

from stonetrack.frontend import json_limits
from stonetrack.frontend.auth import key_hash, tenant_of
from stonetrack.frontend.classify import BadTimeLeft, ByteEstimator, class_of, describe_prompt, session_of, time_left
from stonetrack.settings import parse
from stonetrack.settings.schema import Tenant
from stonetrack.wire import http1
from tests.harness import CHAT, Client, Harness, chat, harness, raw_settings, text_of, wait_for

SMALL = {
    "limits": {"body_bytes": 100_000, "json_depth": 20, "json_values": 1_000, "head_bytes": 16_384},
    "timing": {"header_ms": 700, "body_ms": 700, "client_stall_ms": 800, "stream_silence_ms": 1_500, "drain_ms": 2_000},
}


@pytest.fixture(scope="module")
def node() -> Iterator[Harness]:
    with harness(2, 2, settings=SMALL) as running:
        yield running


def served(node: Harness) -> bool:
    client = Client(node.port)
    head, events = client.stream(chat(stream=True))
    client.close()
    return head.status == 200 and events[-1] == b"[DONE]"


def raw(node: Harness, data: bytes) -> tuple[int, bytes]:
    """The status of what comes back for raw bytes, and whether the connection ends after it."""
    client = Client(node.port)
    try:
        client.send(data)
        head, body = client.answer()
        end = client.sock.recv(100)
        return head.status, end or body
    finally:
        client.close()


BAD = [
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


@pytest.mark.parametrize(("data", "status"), BAD)
def test_bad_framing_gets_a_plain_answer_and_the_connection_ends(node: Harness, data: bytes, status: int) -> None:
    got, body = raw(node, data)
    assert got == status and json.loads(body)["error"]["message"]
    assert served(node)


@pytest.mark.parametrize("chunked", [False, True])
def test_a_client_that_sends_100_mib_reads_why_it_was_refused(node: Harness, chunked: bool) -> None:
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
    assert served(node)


@pytest.mark.parametrize(
    ("body", "said"),
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
def test_a_bad_body_is_a_400_that_names_what(node: Harness, body: bytes, said: str) -> None:
    client = Client(node.port)
    head, answer = client.call(body)
    assert head.status == 400 and said in answer["error"]["message"], answer
    assert answer["error"]["type"] == "invalid_request_error"
    head, _ = client.call(chat())  # the connection serves on
    assert head.status == 200
    client.close()


def test_a_long_prompt_full_of_commas_is_no_complex_body(node: Harness) -> None:
    client = Client(node.port)
    head, _ = client.call(chat('a, b, [c], {"d": "\\"e"}, ' * 2_000))
    assert head.status == 200
    client.close()


@given(st.recursive(st.none() | st.integers() | st.text(max_size=8), lambda inner: st.lists(inner, max_size=4)
                    | st.dictionaries(st.text(max_size=4), inner, max_size=4), max_leaves=30))  # fmt: skip
def test_the_guard_counts_what_a_decoder_would_make(value: Any) -> None:
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
    got = [json.loads(client.answer()[1])["usage"]["completion_tokens"] for _ in range(3)]
    assert got == [2, 3, 4]
    client.close()


def test_http_1_0_gets_a_stream_until_the_connection_closes(node: Harness) -> None:
    body = json.dumps(chat(stream=True)).encode()
    client = Client(node.port)
    client.send(f"POST {CHAT} HTTP/1.0\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
    head, data = client.answer()
    assert "transfer-encoding" not in head.headers and data.endswith(b"data: [DONE]\n\n")
    client.close()


def test_a_client_that_asks_before_it_sends_is_told_to_go_on(node: Harness) -> None:
    body = json.dumps(chat()).encode()
    client = Client(node.port)
    client.send(
        f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    )
    assert client.sock.recv(100).startswith(b"HTTP/1.1 100 ")
    client.send(body)
    assert client.answer()[0].status == 200
    client.close()


def test_slow_senders_take_no_thread_and_are_cut_off(node: Harness) -> None:
    """Slowloris: half a head each, a byte now and then; others are served at once meanwhile."""
    slow = [Client(node.port) for _ in range(150)]
    for client in slow:
        client.send(b"POST / HTTP/1.1\r\nHost: a\r\nX: ")
    before = node.node.host.workers
    start = time.monotonic()
    assert served(node)
    for client in slow[:20]:
        client.send(b"a")
    assert node.node.host.workers <= before + 1
    statuses = [client.answer()[0].status for client in slow]
    assert set(statuses) == {408} and time.monotonic() - start < 10.0
    for client in slow:
        client.close()


def test_idle_connections_take_no_thread(node: Harness) -> None:
    idle = [socket.create_connection(("127.0.0.1", node.port)) for _ in range(600)]
    assert wait_for(lambda: node.node.host.connections >= 600)
    threads = threading.active_count()
    assert served(node) and threading.active_count() <= threads + 2
    for sock in idle:
        sock.close()
    assert wait_for(lambda: node.node.host.connections < 50)


def test_a_client_that_reads_a_byte_at_a_time_gets_all_of_it(node: Harness) -> None:
    client = Client(node.port)
    client.send_request(chat(stream=True))
    got = b""
    while b"[DONE]\n\n\r\n0\r\n\r\n" not in got:
        got += client.sock.recv(1)
    client.close()
    assert got.count(b"[DONE]") == 1


def test_a_client_that_takes_nothing_is_given_up_and_its_writer_freed() -> None:
    # More than all buffers of the kernel on the way can take, or a busy machine's writer ends before the stall shows.
    bulky: dict[str, Any] = {"answer_least": 80_000, "answer_most": 80_000, "token_ms": 0.02}
    more = {"limits": {"send_buffer_bytes": 8_192}, "timing": {"client_stall_ms": 600, "stream_silence_ms": 9_000}}
    with harness(1, 1, settings=more, **bulky) as node:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.connect(("127.0.0.1", node.port))
        body = json.dumps(chat(stream=True)).encode()
        sock.sendall(f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        assert wait_for(lambda: bool(node.seen("first")))
        assert wait_for(lambda: bool(node.seen("left", engine="w0")), 15.0), "the writer was held up"
        assert wait_for(lambda: node.node.open_requests == 0)
        sock.close()
        assert client_call(node, chat(max_tokens=4))[0].status == 200  # a whole answer takes a minute here


@pytest.mark.parametrize("when", ["first", "read", "streaming"])
def test_a_client_that_leaves_frees_everything(node: Harness, when: str) -> None:
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
    assert wait_for(lambda: not any(e.states or e.places or e.streams for e in engines))
    assert served(node)


def test_a_writer_that_drains_within_a_stream_ends_it() -> None:
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


def test_a_stream_that_breaks_within_an_event_ends_with_an_error_and_no_done(node: Harness) -> None:
    for name in ("w0", "w1"):
        node.fault(name, "half", count=1)
    client = Client(node.port)
    head, events = client.stream(chat(stream=True))
    assert head.status == 200 and b"[DONE]" not in events
    assert json.loads(events[-1])["error"]["code"] == "stream_broken"
    for data in events[:-1]:
        assert json.loads(data)["choices"]
    head, answer = client_call(node, chat())
    assert head.status in (200, 502)
    if head.status == 502:
        assert answer["error"]["code"] == "stream_broken"
    for name in ("w0", "w1"):
        slot = node.engines.slots[name].engine
        assert slot is not None
        slot.faults.halves = 0


def client_call(node: Harness, body: Any, **more: Any) -> tuple[http1.ResponseHead, Any]:
    client = Client(node.port)
    try:
        return client.call(body, **more)
    finally:
        client.close()


def test_engines_that_close_idle_connections_lose_no_request(node: Harness) -> None:
    for name in node.engines.slots:
        node.fault(name, "close_idle", on=True)
    before = len(node.log.lines)
    assert all(served(node) for _ in range(12))
    for name in node.engines.slots:
        node.fault(name, "close_idle", on=False)
    assert not [line for line in node.log.lines[before:] if "left out" in line[0]]


def test_an_engine_that_finds_the_request_at_fault_answers_for_itself() -> None:
    with harness(1, 1, memory_tokens=500) as node:
        head, answer = client_call(node, chat("long " * 1_000))
        assert head.status == 400 and answer["error"]["code"] == "context_length_exceeded"
        assert len(node.requests("read")) == 1


def test_a_refusal_advises_when_to_come_again(node: Harness) -> None:
    for name in ("r0", "r1"):
        node.fault(name, "full", for_ms=2_500)
    head, answer = client_call(node, chat(), headers="X-Time-Left-Ms: 600\r\n")
    assert head.status == 503 and int(head.headers.get("retry-after")) >= 1
    assert answer["error"]["code"] == "overloaded"
    for name in ("r0", "r1"):
        engine = node.engines.slots[name].engine
        assert engine is not None
        engine.faults.full_until = 0
    assert wait_for(lambda: served(node))


def test_out_of_workers_is_said_plainly_and_at_once() -> None:
    more = {"limits": {"workers": 2}}
    with harness(1, 1, settings=more, answer_least=100, answer_most=100, token_ms=10.0) as node:
        busy = [Client(node.port) for _ in range(2)]
        for client in busy:
            client.send_request(chat(stream=True))
            assert client.sock.recv(1)
        start = time.monotonic()
        head, answer = client_call(node, chat())
        assert head.status == 503 and "busy" in answer["error"]["message"] and time.monotonic() - start < 2.0
        for client in busy:
            client.close()


def test_out_of_threads_is_said_plainly(monkeypatch: pytest.MonkeyPatch) -> None:
    real = threading.Thread.start

    def none_left(thread: threading.Thread) -> None:
        if thread.name.startswith("Thread-"):
            raise RuntimeError("can't start new thread")
        real(thread)

    with harness(1, 1) as node:
        with monkeypatch.context() as patched:
            patched.setattr(threading.Thread, "start", none_left)
            head, answer = client_call(node, chat())
        assert head.status == 503 and "busy" in answer["error"]["message"]
        assert served(node)


def test_out_of_descriptors_clients_are_refused_plainly_and_service_comes_back(node: Harness) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert served(node)
    late = [socket.socket() for _ in range(6)]
    fillers: list[int] = []
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(map(int, os.listdir("/proc/self/fd"))) + 20, hard))
        with contextlib.suppress(OSError):
            while True:
                fillers.append(os.open(os.devnull, os.O_RDONLY))
        for sock in late:
            sock.settimeout(0.8)
            sock.connect(("127.0.0.1", node.port))
        got = []
        for sock in late:
            try:
                got.append(sock.recv(4_096))
            except TimeoutError:
                got.append(b"")  # accepted: the descriptor for it was there already
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for fd in fillers:
            os.close(fd)
    refused = [data for data in got if data]
    assert len(refused) >= 2 and all(d.startswith(b"HTTP/1.1 503 ") and b"descriptor" in d for d in refused), got
    for sock, data in zip(late, got, strict=True):
        if not data:  # none is accepted and lost
            sock.sendall(b"GET /health HTTP/1.1\r\nHost: a\r\n\r\n")
            assert sock.recv(4_096).startswith(b"HTTP/1.1 200 ")
        sock.close()
    assert wait_for(lambda: served(node))


def test_too_many_connections_are_refused_plainly() -> None:
    limits = {"limits": {"connections": 3}}
    with harness(1, 1, settings=limits, token_ms=60.0, answer_least=40, answer_most=40) as node:
        kept = [Client(node.port) for _ in range(3)]
        for client in kept:
            client.send_request(chat(stream=True))
        assert wait_for(lambda: node.node.open_requests == 3)
        refused = Client(node.port)
        head, body = refused.answer()
        assert head.status == 503 and b"connections" in body
        for client in (*kept, refused):
            client.close()
        assert wait_for(lambda: node.node.host.connections == 0)
        assert served(node)


def test_a_silent_connection_makes_room_for_one_that_asks() -> None:
    with harness(1, 1, settings={"limits": {"connections": 3}}) as node:
        silent = [Client(node.port) for _ in range(3)]
        assert wait_for(lambda: node.node.host.connections == 3)
        assert served(node)
        for client in silent:
            client.close()


def test_health_and_metrics_tell_what_passed(node: Harness) -> None:
    assert served(node)
    head, health = client_call(node, b"", path="/health", method="GET")
    assert head.status == 200 and health["status"] == "ok" and health["engines_up"] == 4
    client = Client(node.port)
    client.send_request(b"", path="/metrics", method="GET")
    _, page = client.answer()
    client.close()
    text = page.decode()
    assert 'stonetrack_requests_total{class="chat",ended="served",front="chat",tenant="t"}' in text
    assert 'stonetrack_events_total{event="RequestArrived"}' in text and 'stonetrack_engines{state="up"} 4.0' in text


# KServe v2 beside it.


def test_kserve_v2_serves_text_on_the_same_core(node: Harness) -> None:
    def get(path: str) -> tuple[http1.ResponseHead, Any]:
        return client_call(node, b"", path=path, method="GET")

    assert get("/v2")[1]["extensions"] == ["generate"]
    assert get("/v2/health/live")[1] == {"live": True} and get("/v2/health/ready")[1] == {"ready": True}
    assert get("/v2/models/demo")[1]["inputs"][0]["name"] == "text_input"
    assert get("/v2/models/demo/versions/1/ready")[1]["ready"] is True
    assert get("/v2/models/other")[0].status == 404 and "error" in get("/v2/models/other")[1]
    asked = {"text_input": "Where can I charge?", "parameters": {"max_tokens": 4}}
    head, whole = client_call(node, asked, path="/v2/models/demo/generate")
    assert head.status == 200 and whole["model_name"] == "demo" and whole["text_output"]
    client = Client(node.port)
    head, events = client.stream(asked, path="/v2/models/demo/generate_stream")
    client.close()
    assert "".join(json.loads(e)["text_output"] for e in events) == whole["text_output"]
    _, same = client_call(node, chat(max_tokens=4))
    assert same["choices"][0]["message"]["content"] == whole["text_output"], "one core, one answer"


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
def test_kserve_errors_are_the_protocols(node: Harness, body: Any, path: str, status: int) -> None:
    head, answer = client_call(node, body, path=f"/v2/models/demo/{path}")
    assert head.status == status and isinstance(answer["error"], str)


# What a request is for the router.

CLASSES = [
    {"name": "chat", "first_token_ms": 1_000, "deadline_ms": 4_000},
    {"name": "long", "first_token_ms": 1_000, "deadline_ms": 8_000},
    {"name": "vip", "first_token_ms": 1_000, "deadline_ms": 8_000},
]
RULES = [{"to": "vip", "header": {"name": "X-Class", "value": "vip"}}, {"to": "long", "min_prompt_tokens": 1_000}]
SETTINGS = parse(json.dumps(raw_settings("http://h:1/e", classes=CLASSES, rules=RULES)))


def headers(**named: str) -> http1.Headers:
    return http1.Headers((name.replace("_", "-"), text) for name, text in named.items())


def test_the_first_rule_that_holds_gives_the_class() -> None:
    assert class_of(SETTINGS, "demo", headers(), 10) == 0
    assert class_of(SETTINGS, "demo", headers(), 1_000) == 1
    assert class_of(SETTINGS, "demo", headers(x_class="vip"), 1_000) == 2


def test_time_left_is_the_clients_or_the_classs_less_margin_and_what_passed() -> None:
    assert time_left(SETTINGS, 0, headers(), 0) == 3_900_000_000
    assert time_left(SETTINGS, 0, headers(x_time_left_ms="1000"), 50_000_000) == 850_000_000
    assert time_left(SETTINGS, 0, headers(x_time_left_ms="99999"), 0) == 3_900_000_000
    for bad in ("-1", "1.5", "soon", "0", "9" * 12, "１"):
        with pytest.raises(BadTimeLeft):
            time_left(SETTINGS, 0, headers(x_time_left_ms=bad), 0)


def test_the_shared_beginning_is_the_leading_system_text_and_tools() -> None:
    def of(*messages: tuple[str, str], tools: object = None) -> Any:
        return describe_prompt([{"role": r, "content": c} for r, c in messages], tools, "m", ByteEstimator())

    one = of(("system", "a" * 400), ("user", "x"))
    two = of(("system", "a" * 400), ("user", "y" * 4_000), ("system", "later"))
    assert one.shared_prefix == two.shared_prefix and one.shared_tokens == two.shared_tokens
    assert two.prompt_tokens > one.prompt_tokens > one.shared_tokens >= 100
    assert of(("system", "b" * 400)).shared_prefix != one.shared_prefix
    assert of(("system", "a" * 400), tools=[{"a": 1}]).shared_prefix != one.shared_prefix
    assert of(("user", "x")).shared_prefix is None


def test_sessions_are_kept_apart_by_tenant_and_no_name_leaves() -> None:
    assert session_of(("", None, "bob"), 0) == session_of(("bob",), 0) != session_of(("bob",), 1)
    assert "bob" not in session_of(("bob",), 0) and session_of(("", None), 0) == ""


def test_keys_are_known_by_their_hashes_only() -> None:
    tenants = (Tenant(name="a", key_hashes=(key_hash("one"),)), Tenant(name="b", key_hashes=(key_hash("two"),)))
    assert [tenant_of(key, tenants, False) for key in ("one", "two", "three", "")] == [0, 1, None, None]
    assert tenant_of("three", tenants, True) == 0 and tenant_of("two", tenants, True) == 1


def test_the_text_of_a_stream_is_that_of_the_whole(node: Harness) -> None:
    client = Client(node.port)
    _, events = client.stream(chat("same", stream=True))
    _, whole = client.call(chat("same"))
    client.close()
    assert text_of(events) == whole["choices"][0]["message"]["content"]
