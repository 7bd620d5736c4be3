"""A node of the platform with emulated engines and discovery, for tests of the platform's protocol."""

from __future__ import annotations

import contextlib
import os
import re
import signal
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from stonetrack.edge.config import parse
from stonetrack.edge.serve import EdgeNode
from stonetrack.frontend.host import listen
from stonetrack.soak import platform as emulated
from stonetrack.soak.platform import CHAT, LOAD_REPORT, Discovery
from stonetrack.wire import http1
from tests.harness import Client, wait_for
from tests.test_edge import SETTINGS

ROOT = Path(__file__).parent.parent

__all__ = ["CHAT", "LOAD_REPORT", "Platform", "Program", "round_trip", "is_idle", "free_port", "headers", "node",
           "platform", "program", "is_serving"]  # fmt: skip


def free_port() -> int:
    with contextlib.closing(listen("127.0.0.1", 0, 1)) as sock:
        return int(sock.getsockname()[1])


class Platform(emulated.Platform):
    """Engines and discovery for one node."""

    def __init__(self, prefill_engines: int, decode_engines: int) -> None:
        super().__init__(prefill_engines, decode_engines)
        self.unknown_reply_delay = 0.02  # seconds; short, so that tests do not wait for it
        self.listen = free_port()

    @property
    def discovery(self) -> Discovery:
        return self.agents[0]

    def config(self, **limits: Any) -> bytes:
        chat = {"name": "chat", "aim_ns": 1_500_000_000, "hard_limit_ns": 6_000_000_000, "semantics": "pure"}
        settings = {**SETTINGS, "request_classes": [chat]}
        agent = f"127.0.0.1:{self.discovery.port}"
        return self.configuration("n0", 0, self.listen, agent, settings, **limits)


@contextmanager
def platform(prefill_engines: int = 2, decode_engines: int = 2) -> Iterator[Platform]:
    emulated_platform = Platform(prefill_engines, decode_engines)
    try:
        yield emulated_platform
    finally:
        emulated_platform.close()


@contextmanager
def node(emulated_platform: Platform, traced: bool = False, **limits: Any) -> Iterator[EdgeNode]:
    """A node in this process."""
    edge_node = EdgeNode(parse(emulated_platform.config(**limits)), traced)
    edge_node.start()
    try:
        yield edge_node
    finally:
        edge_node.stop()


def is_idle(edge_node: EdgeNode) -> bool:
    """Whether no attempt, queue entry or held state is counted anywhere."""
    router = edge_node.core.router
    servers = router.servers.values()  # type: ignore[attr-defined]
    return not (
        router.requests  # type: ignore[attr-defined]
        or any(s.unanswered or s.streams or s.held_states or s.pending_tokens for s in servers)
        or edge_node.core.open_requests
        or edge_node.releases.open
    )


def is_serving(port: int) -> bool:
    """Whether a node on this port reports that it serves."""
    try:
        client = Client(port, 1.0)
    except OSError:
        return False
    client.send_request(b"", "/up", "GET")
    status = client.answer()[0].status
    client.sock.close()
    return status == 200


def run_environment() -> dict[str, str]:
    """The variables that ``run`` of the deploy file sets."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text("utf-8"))["run"]
    return dict(re.findall(r"\b([A-Z_]+)=(\S+)", run))


class Program:
    """The node as a process of its own, with its configuration in a file."""

    def __init__(self, emulated_platform: Platform, folder: Path, **limits: Any) -> None:
        self.path = folder / "config.json"
        self.path.write_bytes(emulated_platform.config(**limits))
        env = {**os.environ, "EDGE_CONFIG": str(self.path), **run_environment()}
        self.process = subprocess.Popen([sys.executable, "-m", "stonetrack", "edge"], env=env, stderr=subprocess.PIPE)
        assert wait_for(lambda: is_serving(emulated_platform.listen)), "the node did not start in time"

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(10.0)
        assert self.process.stderr is not None
        self.process.stderr.close()


@contextmanager
def program(emulated_platform: Platform, folder: Path, **limits: Any) -> Iterator[Program]:
    node_process = Program(emulated_platform, folder, **limits)
    try:
        yield node_process
    finally:
        node_process.end()


def headers(request_id: str, **changes: str) -> str:
    """Request headers of a usual client."""
    fields = {"X-Correlation-Id": request_id, "X-Service-Class": "chat", "X-Session-Key": f"s-{request_id}",
              "X-Time-Left": "3000m", "X-Facts": "prompt_len=800,max_out=100",
              **{name.replace("_", "-"): value for name, value in changes.items()}}  # fmt: skip
    return "".join(f"{name}: {value}\r\n" for name, value in fields.items())


def round_trip(client: Client, request_id: str, **changes: str) -> tuple[http1.ResponseHead, bytes]:
    """Send one request and return its complete answer.  Raises ConnectionError where the answer breaks off."""
    client.send_request(b'{"model":"chat"}', CHAT, headers=headers(request_id, **changes))
    return client.answer()
