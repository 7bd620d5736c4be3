"""A node of the platform among emulated engines and discovery: what tests of the platform's protocol share."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from stonetrack.edge.config import parse
from stonetrack.edge.serve import EdgeNode
from stonetrack.frontend.host import listen
from stonetrack.soak import platform as emulated
from stonetrack.soak.platform import CHAT, REPORT, Discovery
from stonetrack.wire import http1
from tests.harness import Client, wait_for
from tests.test_edge import SETTINGS

__all__ = ["CHAT", "REPORT", "Platform", "Program", "round_trip", "is_idle", "free_port", "headers", "node", "platform",
           "program", "up"]  # fmt: skip


def free_port() -> int:
    with contextlib.closing(listen("127.0.0.1", 0, 1)) as sock:
        return int(sock.getsockname()[1])


class Platform(emulated.Platform):
    """Engines and discovery for one node."""

    def __init__(self, readers: int, writers: int) -> None:
        super().__init__(readers, writers)
        self.unknown_after = 0.02  # a test waits for no more than it looks at
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
def platform(readers: int = 2, writers: int = 2) -> Iterator[Platform]:
    made = Platform(readers, writers)
    try:
        yield made
    finally:
        made.close()


@contextmanager
def node(world: Platform, traced: bool = False, **limits: Any) -> Iterator[EdgeNode]:
    """A node in this process."""
    made = EdgeNode(parse(world.config(**limits)), traced)
    made.start()
    try:
        yield made
    finally:
        made.stop()


def is_idle(made: EdgeNode) -> bool:
    """Whether nothing is counted as out, waiting or held."""
    router = made.core.router
    servers = router.servers.values()  # type: ignore[attr-defined]
    return not (
        router.requests  # type: ignore[attr-defined]
        or any(s.unanswered or s.streams or s.held_states or s.pending_tokens for s in servers)
        or made.core.open_requests
        or made.releases.open
    )


def up(port: int) -> bool:
    """Whether a node answers there that it serves."""
    try:
        client = Client(port, 1.0)
    except OSError:
        return False
    client.send_request(b"", "/up", "GET")
    status = client.answer()[0].status
    client.sock.close()
    return status == 200


class Program:
    """The program itself, with a configuration in a file."""

    def __init__(self, world: Platform, folder: Path) -> None:
        self.path = folder / "config.json"
        self.path.write_bytes(world.config())
        env = {**os.environ, "EDGE_CONFIG": str(self.path)}
        self.process = subprocess.Popen([sys.executable, "-m", "stonetrack", "edge"], env=env, stderr=subprocess.PIPE)
        assert wait_for(lambda: up(world.listen)), "not up in time"

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(10.0)
        assert self.process.stderr is not None
        self.process.stderr.close()


@contextmanager
def program(world: Platform, folder: Path) -> Iterator[Program]:
    made = Program(world, folder)
    try:
        yield made
    finally:
        made.end()


def headers(request: str, **changes: str) -> str:
    """A usual client's."""
    fields = {"X-Correlation-Id": request, "X-Service-Class": "chat", "X-Session-Key": f"s-{request}",
              "X-Time-Left": "3000m", "X-Facts": "prompt_len=800,max_out=100",
              **{name.replace("_", "-"): value for name, value in changes.items()}}  # fmt: skip
    return "".join(f"{name}: {value}\r\n" for name, value in fields.items())


def round_trip(client: Client, request: str, **changes: str) -> tuple[http1.ResponseHead, bytes]:
    """One request and its whole answer.  Raises where the answer breaks off."""
    client.send_request(b'{"model":"chat"}', CHAT, headers=headers(request, **changes))
    return client.answer()
