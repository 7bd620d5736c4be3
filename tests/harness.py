"""A node in this process, emulated engines beside it, and a simple client, for end-to-end tests."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec
import structlog

from stonetrack.daemon.instance import Instance, RouterFactory
from stonetrack.emulator.engine import Spec
from stonetrack.emulator.host import Fleet, Host, small_fleet
from stonetrack.emulator.tap import Tap
from stonetrack.frontend.host import listen
from stonetrack.logic import Router
from stonetrack.settings import Node, parse
from stonetrack.wire import http1, sse

QUICK = {"read_rate": 200_000.0, "token_ms": 2.0, "read_ms": 0.5, "answer_least": 4, "answer_most": 12, "jitter": 0.0}
CHAT = "/v1/chat/completions"


def wait_for(condition: Callable[[], bool], seconds: float = 10.0) -> bool:
    """Whether the condition became true within the given seconds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.005)
    return condition()


def raw_settings(url: str, **more: Any) -> dict[str, Any]:
    """Settings as a decoded JSON object."""
    extended = {"release": True, "hold": True}
    base: dict[str, Any] = {
        "name": "n",
        "models": [{"name": "demo"}],
        "classes": [{"name": "chat", "first_token_ms": 2_000, "deadline_ms": 4_000}],
        "kinds": [{"name": n, "role": n, "memory_tokens": 200_000, **extended} for n in ("reader", "writer", "mixed")],
        "tenants": [{"name": "t"}],
        "any_key": True,
        "source": {"url": url, "wait_ms": 1_000},
        "listen": {"port": 0},
        "timing": {"drain_ms": 2_000},
    }
    for name, value in more.items():
        base[name] = {**base[name], **value} if isinstance(base.get(name), dict) and isinstance(value, dict) else value
    return base


class RecordingLogger:
    """A logger that keeps its lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def _say(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))

    info = warning = error = debug = _say


class Harness:
    """One instance and its emulated engines."""

    def __init__(self, fleet: Fleet, settings: dict[str, Any], make_router: RouterFactory = Router) -> None:
        self.tap = Tap(None)
        self.engines = Host(fleet, self.tap)
        self._thread = threading.Thread(target=self.engines.run, daemon=True)
        self._thread.start()
        self.settings: Node = parse(json.dumps(raw_settings(self.engines.list_url, **settings)))
        self.log = RecordingLogger()
        self.listener = listen("127.0.0.1", 0, 512)
        self.port: int = self.listener.getsockname()[1]
        self.node = Instance(self.settings, self.listener, log=self.log, seed=1, make_router=make_router)

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}"

    def fault(self, engine: str, fault: str, **more: Any) -> None:
        """Carry out a fault in the emulator's thread, and wait until it is in effect."""
        done = threading.Event()

        def go() -> None:
            self.engines.inject_fault({"engine": engine, "fault": fault, **more})
            done.set()

        self.engines.post(go)
        assert done.wait(5.0), "the emulator did not answer"

    def seen(self, what: str, **fields: Any) -> list[dict[str, Any]]:
        """Matching records of the traffic tap."""
        return [
            r for r in list(self.tap.records) if r["what"] == what and all(r.get(k) == v for k, v in fields.items())
        ]

    def requests(self, *jobs: str) -> list[dict[str, Any]]:
        """Requests of the given jobs that reached an engine."""
        return [r for r in self.seen("request") if r["job"] in jobs]

    def close(self) -> None:
        self.node.stop()
        self.listener.close()
        self.engines.stop()
        self._thread.join(5.0)


@contextmanager
def harness(prefill: int = 2, decode: int = 2, mixed: int = 0, *, settings: dict[str, Any] | None = None,
        specs: tuple[Spec, ...] | None = None, make_router: RouterFactory = Router, list_delay_ms: float = 10.0,
        **spec: Any) -> Iterator[Harness]:  # fmt: skip
    """A running harness."""
    engines = specs or small_fleet(prefill, decode, mixed, **{**QUICK, **spec})
    running = Harness(Fleet(engines=engines, list_delay_ms=list_delay_ms), settings or {}, make_router)
    try:
        running.node.start()
        yield running
    finally:
        running.close()


class Client:
    """A simple HTTP client on one connection."""

    def __init__(self, port: int, timeout: float = 15.0) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=timeout)
        self.reader = http1.MessageReader(http1.Side.RESPONSES)
        self.events: list[http1.Event] = []

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def send_request(self, body: Any, path: str = CHAT, method: str = "POST", headers: str = "") -> None:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send(
            f"{method} {path} HTTP/1.1\r\nHost: t\r\n{headers}Content-Length: {len(data)}\r\n\r\n".encode() + data
        )

    def answer(self) -> tuple[http1.ResponseHead, bytes]:
        """The next complete response; 1xx responses are skipped."""
        head, body = None, b""
        while True:
            while self.events:
                event = self.events.pop(0)
                if isinstance(event, http1.ResponseHead):
                    head = event
                elif isinstance(event, http1.Data):
                    body += event.data
                elif isinstance(event, http1.End) and head is not None and head.status >= 200:
                    return head, body
            data = self.sock.recv(65_536)
            self.events += self.reader.feed(data) if data else self.reader.eof()
            if not data and not self.events:
                raise ConnectionError("closed without an answer")

    def call(self, body: Any, **more: Any) -> tuple[http1.ResponseHead, Any]:
        self.send_request(body, **more)
        head, data = self.answer()
        return head, json.loads(data) if data else None

    def stream(self, body: Any, **more: Any) -> tuple[http1.ResponseHead, list[bytes]]:
        """The data of each event of a streamed answer."""
        self.send_request(body, **more)
        head, data = self.answer()
        return head, [event.data for event in sse.EventStreamReader().feed(data)]

    def close(self) -> None:
        self.sock.close()


def chat(text: str = "Where can I charge?", **more: Any) -> dict[str, Any]:
    """Body of a chat completion request."""
    return {"model": "demo", "messages": [{"role": "user", "content": text}], **more}


def text_of(events: list[bytes]) -> str:
    """The text of a streamed answer."""
    parts = []
    for data in events:
        if data != b"[DONE]":
            for choice in msgspec.json.decode(data).get("choices", ()):
                parts.append(choice["delta"].get("content") or "")
    return "".join(parts)


__all__ = [
    "CHAT",
    "QUICK",
    "Client",
    "Path",
    "Harness",
    "chat",
    "raw_settings",
    "harness",
    "structlog",
    "text_of",
    "wait_for",
]
