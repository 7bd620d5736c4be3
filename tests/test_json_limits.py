"""Whatever a peer sends is decoded within a bound on its depth, on threads with the stacks that ``run`` gives them."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from stonetrack.edge.serve import STACK_BYTES
from stonetrack.settings import SettingsError, parse
from tests.harness import Client, raw_settings, wait_for
from tests.platform import headers, platform, program, round_trip

DEPTHS = (100, 700, 900, 5_000, 1_000_000)
# Each decodes ``nested`` as part of what one kind of peer sends.
DECODERS = {
    "an engine's 202": """
from stonetrack.api import Role
from stonetrack.edge.exchange import Exchange
from stonetrack.wire import http1
body = nested[:65_536]
exchange = Exchange(Role.PREFILL, http1.Limits(), lambda pairs: None)
exchange.feed(b"HTTP/1.1 202 OK\\r\\nContent-Length: %d\\r\\n\\r\\n" % len(body) + body)
""",
    "a discovery watch": """
from stonetrack.edge.documents import DocumentReader
from stonetrack.edge.engine_table import EngineTable, ServerListError
document = b'{"rev":1,"all":true,"targets":[{"uid":"r0"}],"more":' + nested + b"}"
for each in DocumentReader().feed(document[:4_000_000] + b"\\n\\n"):
    try:
        EngineTable({}, {}, ()).apply(each, 0, False, True)
    except ServerListError:
        pass
""",
    "a configuration": """
from stonetrack.edge.config import ConfigError, parse
try:
    parse(b'{"settings":{"x":' + nested + b"}}")
except ConfigError:
    pass
""",
    "an event of an engine's stream": """
from stonetrack.api import Role
from stonetrack.engines.protocol import Exchange
from stonetrack.wire import http1
exchange = Exchange(Role.DECODE, http1.Limits())
body = b"data: " + nested[:60_000] + b"\\n\\n"
head = b"HTTP/1.1 200 OK\\r\\nContent-Type: text/event-stream\\r\\nContent-Length: %d\\r\\n\\r\\n" % len(body)
exchange.feed(head + body)
""",
    "an answer of the daemon's prefill engine": """
from stonetrack.api import Role
from stonetrack.engines.protocol import Exchange
from stonetrack.wire import http1
exchange = Exchange(Role.PREFILL, http1.Limits())
exchange.feed(b"HTTP/1.1 200 OK\\r\\nContent-Length: %d\\r\\n\\r\\n" % len(nested) + nested)
""",
    "a load report": """
from stonetrack.engines.load import from_header
assert from_header("JSON " + nested.decode()) is None
""",
    "a server list": """
from stonetrack.engines.server_list import ListError, parse_document
try:
    parse_document(b'{"engines":[],"more":' + nested + b"}")
except ListError:
    pass
""",
    "a list given to the discovery service": """
from stonetrack.discovery.service import parse_lines
from stonetrack.engines.server_list import ListError
try:
    parse_lines(b'{"engines":' + nested + b"}")
except ListError:
    pass
""",
    "a client's chat": """
from stonetrack.frontend.chat import decode_body
from stonetrack.frontend.errors import ApiError
try:
    decode_body(b'{"messages":' + nested + b"}", 64, 100_000)
except ApiError:
    pass
""",
    "a version of the settings": """
import msgspec
from stonetrack.control.documents import Document
from stonetrack.wire import json_limits
try:
    json_limits.decode_as(b'{"number":1,"content":{"x":' + nested + b"}}", Document)
except msgspec.DecodeError:
    pass
""",
}
PROGRAM = """
import sys, threading
opening, closing = sys.argv[2].encode(), sys.argv[3].encode()
errors = []
def run():
    for depth in map(int, sys.argv[4].split(",")):
        for nested in (opening * depth, opening * depth + b"1" + closing * depth):
            try:
                exec(sys.argv[1], {"nested": nested})
            except BaseException as error:
                errors.append(f"{depth}: {type(error).__name__}: {str(error)[:200]}")
threading.stack_size(STACK_BYTES)
thread = threading.Thread(target=run)
thread.start()
thread.join()
sys.exit("; ".join(errors) or 0)
""".replace("STACK_BYTES", str(STACK_BYTES))


@pytest.mark.parametrize("brackets", ["[]", '{"a":}'], ids=["arrays", "objects"])
@pytest.mark.parametrize("decoder", DECODERS)
def test_nested_json_of_a_peer_does_not_end_the_process(decoder: str, brackets: str) -> None:
    """Guards against a process that one peer's answer, list or request ends: the decoder ran out of its thread's stack
    (review case 7)."""
    arguments = [DECODERS[decoder], brackets[:-1], brackets[-1], ",".join(map(str, DEPTHS))]
    ended = subprocess.run([sys.executable, "-c", PROGRAM, *arguments], capture_output=True, text=True, timeout=60)
    assert ended.returncode == 0, f"{decoder}: exit {ended.returncode}: {ended.stderr[-2_000:]}"


def test_a_json_depth_beyond_the_stack_is_refused() -> None:
    """Guards against settings with which a client's body ends the process."""
    raw = raw_settings("http://127.0.0.1:1/engines", limits={"stack_kib": 64, "json_depth": 129})
    with pytest.raises(SettingsError, match=r"json_depth: found 129; allowed: at most 128 with stack_kib 64"):
        parse(json.dumps(raw))
    assert parse(json.dumps({**raw, "limits": {"stack_kib": 256, "json_depth": 500}})).limits.json_depth == 500


@pytest.mark.parametrize("body", [b"[" * 4_096, b"[" * 900 + b"]" * 900, b'{"cached_tokens":' * 2_000])
def test_a_node_survives_a_nested_answer_of_an_engine_and_streams_go_on(
    body: bytes, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against streams that are cut since another request's prefill engine answered noise (review case 7)."""
    with platform(1, 1) as world, program(world, tmp_path) as node_process:
        world.event_count, world.event_interval = 30, 0.03
        streaming = Client(world.listen)
        streaming.send_request(b"{}", headers=headers("streaming"))
        assert wait_for(lambda: ("write", "w0") in world.calls_for("streaming"))
        monkeypatch.setattr(
            type(world.engines["r0"]),
            "_prefill_response",
            lambda engine: b"HTTP/1.1 202 Accepted\r\nContent-Length: %d\r\n\r\n" % len(body) + body,
        )
        assert round_trip(Client(world.listen), "nested")[0].status == 200
        head, events = streaming.answer()
        assert head.status == 200 and b"[DONE]" in events and node_process.process.poll() is None
