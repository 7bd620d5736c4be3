"""The node as a program: instances on one port are restarted, drained, and reloaded completely or not at all."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from stonetrack.emulator.host import Fleet, Host, small_fleet
from stonetrack.emulator.tap import Tap
from stonetrack.fleet.processes import Process, program
from stonetrack.settings import SettingsError, parse
from stonetrack.wire import http1
from tests.harness import QUICK, Client, chat, raw_settings, wait_for


class Running:
    """A node as a program, and emulated engines in this process."""

    def __init__(self, folder: Path, instances: int, **spec: Any) -> None:
        self.folder = folder
        self.log = folder / "node.log"
        self.file = folder / "node.json"
        self.engines = Host(Fleet(engines=small_fleet(2, 2, **{**QUICK, **spec}), list_delay_ms=10), Tap(None))
        self.thread = threading.Thread(target=self.engines.run, daemon=True)
        self.thread.start()
        self.write()
        self.instances = instances
        self.node: Process | None = None

    def write(self, **more: Any) -> None:
        settings = raw_settings(self.engines.list_url, state_dir=str(self.folder / "state"), **more)
        self.file.write_text(json.dumps(settings))

    @property
    def port(self) -> int:
        assert self.node is not None
        return self.node.address[1]

    def lines(self, event: str) -> list[dict[str, Any]]:
        found = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(json.JSONDecodeError):
                record = json.loads(line)
                if record["event"] == event:
                    found.append(record)
        return found

    def get(self, path: str) -> Any:
        client = Client(self.port)
        client.send_request(b"", path=path, method="GET")
        head, body = client.answer()
        client.close()
        return head, body


@contextlib.contextmanager
def running(folder: Path, instances: int = 2, **spec: Any) -> Iterator[Running]:
    made = Running(folder, instances, **spec)
    try:
        with program("serve", str(made.file), "--instances", str(instances), "--log", str(made.log)) as node:
            made.node = node
            yield made
    finally:
        made.engines.stop()
        made.thread.join(5.0)


SLOW = {"answer_least": 60, "answer_most": 60, "token_ms": 20.0}


def open_streams(node: Running, count: int) -> list[Client]:
    clients = [Client(node.port) for _ in range(count)]
    for client in clients:
        client.send_request(chat(stream=True))
        while not client.events:
            client.events += client.reader.feed(client.sock.recv(4_000))
    return clients


def test_a_killed_instance_is_restarted_and_the_others_continue(tmp_path: Path) -> None:
    with running(tmp_path, 2, answer_least=250, answer_most=250, token_ms=20.0) as node:
        clients: list[Client] = []
        instance_of: dict[Client, str] = {}
        while len(set(instance_of.values())) < 2 and len(clients) < 80:  # the kernel chooses the instance that accepts
            added = open_streams(node, 4)
            clients += added
            instance_of |= {client: head.headers.get("x-stonetrack-instance") for client in added
                            for head in client.events[:1] if isinstance(head, http1.ResponseHead)}  # fmt: skip
        assert set(instance_of.values()) == {"n-0", "n-1"}
        before = {line["index"]: line["pid"] for line in node.lines("instance ready")}
        os.kill(before[0], signal.SIGKILL)
        for client in clients:
            try:
                complete = client.answer()[1].endswith(b"[DONE]\n\n")
            except (ConnectionError, OSError, ValueError):
                complete = False
            assert complete == (instance_of[client] == "n-1")
            client.close()
        assert wait_for(lambda: len(node.lines("instance ready")) == 3)
        restarted = node.lines("instance ready")[-1]
        assert restarted["index"] == 0 and restarted["starts"] == 2 and restarted["pid"] != before[0]
        # The new process started with the saved list, and the discovery service had no newer version.
        kinds = [line["kind"] for line in node.lines("server list") if line["instance"] == "n-0"]
        assert kinds == ["full", "saved"]
        assert {json.loads(node.get("/health")[1])["instance"] for _ in range(10)} == {"n-0", "n-1"}


def test_term_completes_streams_and_accepts_no_new_connections(tmp_path: Path) -> None:
    with running(tmp_path, 2, **SLOW) as node:
        assert node.node is not None
        clients = open_streams(node, 6)
        node.node.running.send_signal(signal.SIGTERM)
        assert wait_for(lambda: len(node.lines("draining")) == 2)
        bodies = [client.answer()[1] for client in clients]
        assert all(body.endswith(b"[DONE]\n\n") for body in bodies)
        assert node.node.running.wait(10.0) == 0
        with pytest.raises(OSError):
            socket.create_connection(("127.0.0.1", node.port), timeout=1.0)


def test_a_drain_is_bounded(tmp_path: Path) -> None:
    endless = {"answer_least": 5_000, "answer_most": 5_000, "token_ms": 20.0}
    with running(tmp_path, 1, **endless) as node:
        assert node.node is not None
        clients = open_streams(node, 2)
        start = time.monotonic()
        node.node.running.send_signal(signal.SIGTERM)
        assert node.node.running.wait(15.0) == 0 and 1.5 < time.monotonic() - start < 12.0  # drain_ms is 2,000
        assert all(client.sock.recv(65_536) for client in clients)


def test_hup_changes_settings_completely_or_not_at_all(tmp_path: Path) -> None:
    with running(tmp_path, 2, **SLOW) as node:
        assert node.node is not None
        clients = open_streams(node, 4)

        def models() -> list[str]:
            return [m["id"] for m in json.loads(node.get("/v1/models")[1])["data"]]

        node.write(models=[{"name": "demo"}, {"name": "second"}], rules=[{"to": "no such class"}])
        node.node.running.send_signal(signal.SIGHUP)
        assert wait_for(lambda: bool(node.lines("settings refused, nothing changed")))
        assert "no such class" in node.lines("settings refused, nothing changed")[0]["errors"][0]
        assert {tuple(models()) for _ in range(6)} == {("demo",)}
        node.write(models=[{"name": "demo"}, {"name": "second", "engine_name": "demo"}])
        node.node.running.send_signal(signal.SIGHUP)
        assert wait_for(lambda: len(node.lines("settings changed")) == 2)
        assert {tuple(models()) for _ in range(6)} == {("demo", "second")}
        assert all(client.answer()[1].endswith(b"[DONE]\n\n") for client in clients), (
            "a reload must not interrupt streams"
        )
        client = Client(node.port)
        assert client.call({**chat(max_tokens=2), "model": "second"})[0].status == 200
        client.close()


def test_instances_exit_when_their_supervisor_is_killed(tmp_path: Path) -> None:
    with running(tmp_path, 2) as node:
        assert node.node is not None
        pids = [line["pid"] for line in node.lines("instance ready")]
        node.node.running.kill()

        def exited(pid: int) -> bool:
            try:
                return Path(f"/proc/{pid}/stat").read_text().split()[2] == "Z"
            except OSError:
                return True

        assert wait_for(lambda: all(map(exited, pids)), 15.0)


def test_the_demo_serves_and_exits() -> None:
    demo = subprocess.Popen(
        [sys.executable, "-m", "stonetrack", "demo", "--port", "0"], stdout=subprocess.PIPE, text=True
    )
    try:
        assert demo.stdout is not None
        ready, curl, log = (demo.stdout.readline() for _ in range(3))
        assert ready.startswith("ready http://127.0.0.1:") and curl.startswith("curl -N ") and log.startswith("log /")
        client = Client(int(ready.rsplit(":", 1)[1]))
        assert client.call(chat(), headers="Authorization: Bearer whatever\r\n")[0].status == 200
        client.close()
    finally:
        demo.terminate()
        assert demo.wait(15.0) == 0


# Settings.


@pytest.mark.parametrize(
    ("change", "path", "text"),
    [
        ({"modles": []}, "$", "modles"),
        ({"models": []}, "$.models", "length >= 1"),
        (
            {"classes": [{"name": "c", "first_token_ms": "soon", "deadline_ms": 9}]},
            "$.classes[0].first_token_ms",
            "int",
        ),
        (
            {"classes": [{"name": "c", "first_token_ms": 5_000, "deadline_ms": 4_000}]},
            "$.classes[0].deadline_ms",
            "5000",
        ),
        ({"kinds": [{"name": "r", "role": "reader"}]}, "$.kinds", "a reader and a writer"),
        ({"kinds": [{"name": "r", "role": "poet"}]}, "$.kinds[0].role", "poet"),
        ({"rules": [{"to": "x"}]}, "$.rules[0].to", "a class: chat"),
        ({"source": {"url": "ftp://x"}}, "$.source.url", "http://"),
        ({"source": {"url": "http://x:1/", "file": "y"}}, "$.source", "either"),
        ({"tenants": [], "any_key": False}, "$.tenants", "a tenant"),
        ({"tenants": [{"name": "a", "key_hashes": ["secret"]}]}, "$.tenants[0].key_hashes[0]", "sha256"),
        ({"tenants": [{"name": "a"}, {"name": "a"}]}, "$.tenants[1]", "each name once"),
        ({"listen": {"port": 99_999}}, "$.listen.port", "65535"),
        ({"routing": {"cold_share": 0}}, "$.routing.cold_share", "> 0"),
        ({"version": 9}, "$.version", "allowed: models, classes"),
        ({"rules": [{"cls": "x"}]}, "$.rules[0].cls", "allowed: to, model"),
        ({"timing": {"drain": 5}}, "$.timing.drain", "drain_ms"),
        ({"timing": {"drain_ms": "5s"}}, "$.timing.drain_ms", "'5s'"),
    ],
)
def test_a_settings_error_names_path_value_and_what_is_allowed(change: dict[str, Any], path: str, text: str) -> None:
    raw = raw_settings("http://h:1/e")
    raw.update(change)
    with pytest.raises(SettingsError) as refused:
        parse(json.dumps(raw), "node.jsonnet")
    message = str(refused.value)
    assert (
        message.startswith(f"node.jsonnet: {path}") and text in message and "found" in message and "allowed" in message
    )


def test_check_evaluates_jsonnet_and_shows_all_problems(tmp_path: Path) -> None:
    def check(text: str, *more: str) -> subprocess.CompletedProcess[str]:
        path = tmp_path / "node.jsonnet"
        path.write_text(text)
        return subprocess.run(
            [sys.executable, "-m", "stonetrack", "check", str(path), *more], capture_output=True, text=True
        )

    good = """local st = import 'stonetrack.libsonnet';
    st.node(['m'], { file: std.extVar('list') }) + { any_key: true }"""
    done = check(good, "--var", "list=/x.json", "--show")
    assert done.returncode == 0 and json.loads(done.stdout)["source"]["file"] == "/x.json"
    done = check(good + " + { rules: [st.rule('a'), st.rule('b')] }", "--var", "list=/x")
    assert done.returncode == 2 and "$.rules[0].to" in done.stderr and "$.rules[1].to" in done.stderr
    done = check("{ a: 1 + }")
    assert done.returncode == 2 and "node.jsonnet" in done.stderr
    done = check(good[: len(good) // 2])
    assert done.returncode == 2 and "node.jsonnet: $: found 'a syntax error in line 2" in done.stderr
    assert "allowed: a Jsonnet file" in done.stderr and "Traceback" not in done.stderr
    assert check("[" * 3_000 + "]" * 3_000).returncode == 2
