"""A node on sockets, with clients, emulated engines and discovery that speak the platform's protocol."""

from __future__ import annotations

import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from dataclasses import replace
from pathlib import Path

import pytest

from stonetrack import api
from stonetrack.edge import engine_table, requests, watch
from stonetrack.edge.calls import Answer, EngineCalls
from stonetrack.edge.engines import EdgeEngines
from stonetrack.edge.probes import Probes
from stonetrack.edge.releases import Releases
from stonetrack.edge.serve import ACCEPTING_S
from stonetrack.engines.pool import Carried, ConnectionPool
from stonetrack.logic import MS, SECOND
from stonetrack.node.invariants import Invariant
from stonetrack.node.ports import AttemptResult, InferenceRequest
from stonetrack.soak.engine_side import HeldKind
from stonetrack.soak.platform import LateAnswer
from stonetrack.soak.unspecified import MOST_HELPFUL, EngineBehaviour, Unspecified
from stonetrack.wire import writer
from tests.harness import Client, wait_for
from tests.platform import CHAT, LOAD_REPORT, Platform, headers, is_idle, node, platform, program, round_trip


def test_a_request_is_prefilled_and_decoded_and_no_state_is_leaked() -> None:
    with platform() as world, node(world) as edge_node:
        client = Client(world.listen)
        for n in range(20):
            head, body = round_trip(client, f"q{n}")
            assert head.status == 200 and body.count(b"data: ") == world.event_count + 2 and b"[DONE]" in body
            assert [what for what, _ in world.calls_for(f"q{n}")] == ["read", "write"]
            assert (
                world.request_bodies[f"q{n}"] == b'{"model":"chat"}' and 0 < int(world.times_left[f"q{n}"][:-1]) <= 3000
            )
        client.close()
        assert wait_for(lambda: is_idle(edge_node)) and not world.held and world.max_concurrent_attempts == 1
        assert edge_node.core.router.servers["r0"].report is not None  # type: ignore[attr-defined]


def test_the_routers_counts_match_the_sockets(capfd: pytest.CaptureFixture[str]) -> None:
    with platform(1, 1) as world, node(world, traced=True) as edge_node:
        world.event_interval = 0.2
        clients = [Client(world.listen) for _ in range(3)]
        for n, client in enumerate(clients):
            client.send_request(b"{}", headers=headers(f"q{n}"))
        assert wait_for(lambda: edge_node.core.router.servers["w0"].streams == 3)  # type: ignore[attr-defined]
        assert wait_for(lambda: edge_node.engines.open_attempts() == {"w0": 3})
        edge_node.maintain()
        for client in clients:
            assert client.answer()[0].status == 200
        assert wait_for(lambda: is_idle(edge_node)) and not +edge_node.engines.open_attempts()
    log_text = capfd.readouterr().err
    assert re.search(r"trace belief w0 writer up waiting \d streams 3 .*; sockets: open 3", log_text), log_text


def test_metrics_count_steps_and_list_invariants_without_violations() -> None:
    with platform() as world, node(world) as edge_node:
        client = Client(world.listen)
        assert round_trip(client, "q")[0].status == 200
        assert wait_for(lambda: len(edge_node.records) == 0)
        client.send_request(b"", "/metrics", "GET")
        head, body = client.answer()
    metrics = dict(line.rsplit(" ", 1) for line in body.decode().splitlines() if line and line[0] != "#")
    assert head.status == 200 and metrics['stonetrack_edge_answers_total{kind="served"}'] == "1.0"
    assert metrics['stonetrack_edge_attempts_total{outcome="read"}'] == "1.0"
    violations = {name: count for name, count in metrics.items() if "invariant_violations" in name}
    assert len(violations) == len(Invariant) and set(violations.values()) == {"0.0"}


FOREIGN_STREAM = (
    writer.chunked_head(200, [("Content-Type", "text/event-stream")])
    + writer.chunk(b'data: {"choices":[{"index":0,"delta":{"content":"foreign"}}]}\n\ndata: [DONE]\n\n')
    + writer.LAST_CHUNK
)


@pytest.mark.parametrize(
    ("engine", "late_answer"),
    [
        ("w0", FOREIGN_STREAM),
        ("w0", writer.response(504, [("X-Unprocessed", "1")])),
        ("r0", writer.response(202, [], b'{"cached_tokens":16}')),
        ("r0", writer.response(504, [("X-Unprocessed", "1")])),
    ],
    ids=["stream", "decode rejected", "prefilled", "prefill rejected"],
)
def test_a_late_second_answer_is_not_taken_for_the_answer_to_the_next_request(
    engine: str, late_answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a client that is served another client's stream, and against a request that runs twice.

    Each engine works for longer than its second answer takes, so that one on a reused connection comes first."""
    monkeypatch.setattr("stonetrack.engines.pool.MIN_DELAY_S", 2.0)  # room for a machine that is held up
    with platform(1, 1) as world, node(world) as edge_node:
        world.work_seconds = 0.05
        world.engines[engine].late_answer = LateAnswer(late_answer, 0.08 if engine == "w0" else 0.03)
        client, earlier = Client(world.listen), Client(world.listen)
        for n in range(5):
            if engine == "r0":  # the next prompt comes right behind the prefill of this one
                earlier.send_request(b"{}", headers=headers(f"earlier{n}"))
                assert wait_for(lambda n=n: len(world.calls_for(f"earlier{n}")) == 2)  # type: ignore[misc]
            answers = [round_trip(client, f"q{n}")] + ([earlier.answer()] if engine == "r0" else [])
            for head, body in answers:
                assert head.status == 200 and b"foreign" not in body and b"[DONE]" in body
            assert [what for what, _ in world.calls_for(f"q{n}")] == ["read", "write"]
        assert wait_for(lambda: is_idle(edge_node)) and not world.held


def test_an_invalid_request_gets_an_error_and_the_next_is_served() -> None:
    with platform() as world, node(world):
        client = Client(world.listen)
        for changes in ({"X_Service_Class": "nobody"}, {"X_Time_Left": "soon"}, {"X_Correlation_Id": "a b"}):
            assert round_trip(client, "q", **changes)[0].status == 400
        client.send_request(b"", "/nowhere", "GET")
        assert client.answer()[0].status == 404
        assert round_trip(client, "q")[0].status == 200
        two_lengths = Client(world.listen)
        two_lengths.send(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 40\r\n"
                  b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /v1/chat/completions HTTP/1.1\r\n\r\n")  # fmt: skip
        assert two_lengths.answer()[0].status == 400
        oversized = Client(world.listen)
        oversized.send(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 62914560\r\n\r\n")
        assert oversized.answer()[0].status == 413
        assert [what for _, what, _, _ in world.calls].count("read") == 1


def test_a_running_requests_id_is_refused_and_the_running_request_continues() -> None:
    with platform() as world, node(world):
        world.event_interval = 0.05
        first, second = Client(world.listen), Client(world.listen)
        answers: list[int] = []
        thread = threading.Thread(target=lambda: answers.append(round_trip(first, "same")[0].status))
        thread.start()
        assert wait_for(lambda: ("read", "r0") in world.calls_for("same") or ("read", "r1") in world.calls_for("same"))
        assert round_trip(second, "same")[0].status == 409
        thread.join(5.0)
        assert answers == [200] and world.max_concurrent_attempts == 1
        before = world.calls_for("same")
        assert round_trip(second, "same")[0].status == 409  # engines may still hold a state or a reservation for it
        assert world.calls_for("same") == before


def test_a_running_requests_id_is_refused_after_a_flood_of_refused_requests() -> None:
    """Guards against an open request that never gets its answer, since its id is served a second time: other clients'
    short requests displaced the id (review case 6)."""
    with platform() as world, node(world) as edge_node:
        world.event_count, world.event_interval = 40, 0.25
        first, flood = Client(world.listen), Client(world.listen)
        first.send_request(b"{}", CHAT, headers=headers("same"))
        assert wait_for(lambda: any(what == "write" for what, _ in world.calls_for("same")))
        for start in range(0, 5_000, 20):
            for n in range(start, start + 20):
                flood.send_request(b"{}", CHAT, headers=headers(f"short{n}", X_Time_Left="20m"))
            assert all(flood.answer()[0].status == 503 for _ in range(20))
        assert wait_for(lambda: edge_node.core.open_requests == 1, 2.0), "the stream is over too early for this test"
        second = Client(world.listen)
        assert round_trip(second, "same")[0].status == 409
        assert first.answer()[0].status == 200 and world.max_concurrent_attempts == 1
        assert [what for what, _ in world.calls_for("same")] == ["read", "write"]
        assert not any(world.calls_for(f"short{n}") for n in range(5_000))


def test_an_invalid_request_is_answered_and_ejects_no_engine() -> None:
    with platform() as world, node(world) as edge_node:
        for name in ("r0", "r1"):
            world.engines[name].scripted_faults.extend(["400"] * 2)
        client = Client(world.listen)
        assert round_trip(client, "bad")[0].status == 400
        tried = [what for what, _ in world.calls_for("bad") if what != "release"]  # the release follows at any time
        assert tried == ["read"]
        assert not any(s.ejections for s in edge_node.core.router.servers.values())  # type: ignore[attr-defined]


def test_a_release_is_acknowledged_before_its_request_is_prefilled_again() -> None:
    """Engines that release slowly, and a prefill engine that fails: out of order, the new state is released (410)."""
    with platform() as world, node(world):
        for engine in world.engines.values():
            engine.release_delay = 0.03
        world.work_seconds = 0.01
        client = Client(world.listen)
        for n in range(6):
            world.engines["r0"].scripted_faults.append("reset")
            world.engines["r1"].scripted_faults.append("reset")
            assert round_trip(client, f"q{n}")[0].status in (200, 503)
            for name in ("r0", "r1"):
                world.engines[name].scripted_faults.clear()
            calls = [what for what, _ in world.calls_for(f"q{n}")]
            if calls.count("read") == 2 and "release" in calls:
                last_prefill = len(calls) - 1 - calls[::-1].index("read")
                assert "release" not in calls[last_prefill:], calls
        assert any("release" in [what for what, _ in world.calls_for(f"q{n}")] for n in range(6))


def test_a_release_is_retried_while_an_attempt_connects() -> None:
    """At an unreachable engine, connecting lasts for the whole timeout: a held state must not wait for that."""
    clock, acknowledged, timed_out = time.monotonic_ns, threading.Event(), threading.Event()
    prefill_engines = {
        f"r{n}": engine_table.Engine(f"r{n}", "127.0.0.1", n + 1, api.Role.PREFILL, True) for n in range(2)
    }

    class UnreachablePool(ConnectionPool):
        def acquire(self, host: str, port: int, timeout: float) -> tuple[socket.socket, float | None]:
            time.sleep(0.25)
            raise TimeoutError("timed out")

    class FirstCallTimesOut(EngineCalls):
        def call(
            self, engine: engine_table.Engine, message: bytes, timeout: float, carried: Carried = Carried.REQUEST
        ) -> Answer:
            if not timed_out.is_set():
                timed_out.set()
                time.sleep(timeout)
                raise TimeoutError("timed out")
            acknowledged.set()
            raise ConnectionResetError("heard, and its answer lost")

    pool = UnreachablePool(4, 60.0)
    releases = Releases(FirstCallTimesOut(pool, clock, 0.25), clock, 500 * MS)
    releases.start()
    probes = Probes(FirstCallTimesOut(pool, clock, 0.25), clock, lambda text: None, lambda event: None)
    engines = EdgeEngines(pool, releases, probes, clock, 0.25, lambda text: None)
    engines.list_changed(prefill_engines)
    started = time.monotonic()
    releases.release("q")
    result = engines.start(
        InferenceRequest("q", 0, "", 8 * SECOND, 100, b""), "r0", 1, None, False, lambda server: True
    )
    assert isinstance(result, AttemptResult) and result.outcome is api.Outcome.CONNECT_FAILED
    assert releases.open and acknowledged.wait(1.0) and time.monotonic() - started < 0.5
    releases.stop()


def test_an_unacknowledged_release_blocks_the_next_attempt_of_its_request() -> None:
    """Guards against dropping the release in favour of the attempt, which may not arrive: the state was then leaked."""
    with platform() as world, node(world) as edge_node:
        reachable = threading.Event()
        real_call = edge_node.calls.call

        def call(
            engine: engine_table.Engine, message: bytes, timeout: float, carried: Carried = Carried.REQUEST
        ) -> Answer:
            if message.startswith(b"DELETE") and not reachable.is_set():
                time.sleep(timeout)
                raise TimeoutError("timed out")
            return real_call(engine, message, timeout, carried)

        edge_node.calls.call = call  # type: ignore[method-assign]
        edge_node.releases.release("q")
        request = InferenceRequest(
            "q", 0, "", 8 * SECOND, 100, requests.ForwardedRequest(CHAT, b"{}", edge_node.core.clock() + SECOND)
        )
        result = edge_node.engines.start(request, "r0", 0, None, False, lambda server: True)
        assert isinstance(result, AttemptResult) and result.outcome is api.Outcome.NOT_SENT
        assert edge_node.releases.open and not world.calls_for("q")
        reachable.set()
        assert wait_for(lambda: not edge_node.releases.open)
        assert not isinstance(
            edge_node.engines.start(request, "r0", 1, None, False, lambda server: True), AttemptResult
        )
        assert wait_for(lambda: [what for what, _ in world.calls_for("q")] == ["release", "read"])


def test_a_release_is_acknowledged_by_204_alone() -> None:
    """Guards against taking an earlier call's answer on the same connection for the proof that a state was released."""
    with platform(1, 1) as world, node(world) as edge_node:
        statuses: list[int] = []
        real_call = edge_node.calls.call

        def call(
            engine: engine_table.Engine, message: bytes, timeout: float, carried: Carried = Carried.REQUEST
        ) -> Answer:
            answer = real_call(engine, message, timeout, carried)
            if message.startswith(b"DELETE"):
                statuses.append(200 if not statuses else answer.head.status)
                return replace(answer, head=replace(answer.head, status=statuses[-1]))
            return answer

        edge_node.calls.call = call  # type: ignore[method-assign]
        edge_node.releases.release("q")
        assert wait_for(lambda: not edge_node.releases.open) and statuses == [200, 204]


def test_a_release_is_sent_while_its_requests_thread_connects() -> None:
    """Guards against handing the release to a thread that is connecting, which lasts longer than the release time."""
    with platform(1, 2) as world, node(world) as edge_node:
        client = Client(world.listen)
        assert round_trip(client, "first")[0].status == 200
        real_take, slow = edge_node.pool.acquire, threading.Event()
        decode_ports = {world.engines[name].port for name in ("w0", "w1")}

        def connect_slowly(host: str, port: int, timeout: float) -> tuple[socket.socket, float | None]:
            if slow.is_set() and port in decode_ports:
                if threading.current_thread().name.startswith(("probes", "releases")):
                    raise ConnectionRefusedError("only attempts connect slowly")
                time.sleep(1.0)
            return real_take(host, port, timeout)

        edge_node.pool.acquire = connect_slowly  # type: ignore[method-assign]
        slow.set()
        client.send_request(b"{}", headers=headers("q"))
        assert wait_for(lambda: ("release", "r0") in world.calls_for("q"), 5.0)
        prefilled_at = next(each.at for each in world.calls if (each.what, each.request) == ("read", "q"))
        released_at = next(each.at for each in world.calls if (each.what, each.request) == ("release", "q"))
        assert released_at - prefilled_at < 0.75, "the release waited for the connecting thread"
        slow.clear()
        assert client.answer()[0].status in (200, 502, 503)
        assert wait_for(lambda: is_idle(edge_node)) and not world.held


def test_a_release_that_may_precede_the_end_of_a_prefill_is_followed_by_others() -> None:
    """A release after a broken connection is acknowledged while the prefill still runs, whose state appears later."""
    with platform(1, 1) as world, node(world) as edge_node:
        world.behaviour = EngineBehaviour(
            0, {**MOST_HELPFUL, Unspecified.GIVEN_UP: True, Unspecified.RELEASE_INTO_READ: False}
        )
        world.work_seconds = 0.2
        client = Client(world.listen)
        client.send_request(b"{}", headers=headers("q"))
        assert wait_for(lambda: ("read", "r0") in world.calls_for("q"))
        client.close()
        assert wait_for(lambda: ("release", "r0") in world.calls_for("q") or ("release", "w0") in world.calls_for("q"))
        # Held for 1 ms or more.
        assert wait_for(lambda: bool(world.held or world.state_records.history)), "the prefill continued"
        assert wait_for(lambda: not world.held and not len(edge_node.abandoned), 2.0)
        with world.lock:
            assert [(held.request, held.kind, held.engine) for held in world.state_records.history] == [
                ("q", HeldKind.STATE, "r0")
            ]
            assert max((held.until - held.since) / 1e9 for held in world.state_records.history) < 0.5 + 0.3


def test_a_node_requests_no_reservation_whatever_its_settings_allow() -> None:
    """A reservation at a decode engine for a prefill that may not have arrived can't be released in time."""
    with platform() as world, node(world) as edge_node:
        assert edge_node.config.settings.may_hold_place
        client = Client(world.listen)
        for n in range(8):
            assert round_trip(client, f"q{n}")[0].status == 200
        edge_node.engines.reserve("q9", "w0", 0, answer := list[bool]().append)
        assert answer.__self__ == [False]  # type: ignore[attr-defined]
        assert not [each for each in world.calls if each.what == "place"]
        assert wait_for(lambda: is_idle(edge_node)) and not world.held


def test_a_stream_corrupted_at_its_start_is_retried_and_one_corrupted_later_breaks_off_at_once() -> None:
    with platform(2, 1) as world, node(world):
        world.engines["w0"].scripted_faults.append("noise")
        client = Client(world.listen)
        assert round_trip(client, "q0")[0].status == 200
        assert [what for what, _ in world.calls_for("q0") if what in ("read", "write")] == ["read", "write"] * 2
        world.engines["w0"].scripted_faults.append("spoilt")
        began = time.monotonic()
        with pytest.raises((ConnectionError, ValueError)):
            round_trip(client, "q1")
        assert time.monotonic() - began < 2.0
        for fault in ("ahead", "behind", ""):
            world.engines["w0"].scripted_faults.append(fault)
            assert round_trip(Client(world.listen), f"q-{fault}")[0].status == 200


def test_an_engine_listed_as_draining_is_sent_nothing_more() -> None:
    with platform() as world, node(world) as edge_node:
        client = Client(world.listen)
        world.change_state("r0", "DRAINING")
        assert wait_for(lambda: edge_node.engine_table.rev == world.rev)
        world.change_state("w1", "DELETED")
        assert wait_for(lambda: edge_node.engine_table.rev == world.rev)
        for n in range(8):
            assert round_trip(client, f"q{n}")[0].status == 200
        assert {engine for _, what, engine, _ in world.calls if what in ("read", "write", "place")} == {"r1", "w0"}


def test_a_client_that_disconnects_frees_all() -> None:
    with platform() as world, node(world) as edge_node:
        world.work_seconds = 0.2
        client = Client(world.listen)
        client.send_request(b"{}", headers=headers("q"))
        assert wait_for(lambda: bool(world.calls_for("q")))
        client.close()
        assert wait_for(lambda: is_idle(edge_node)) and wait_for(lambda: not world.held)


def test_a_further_attempt_announces_no_more_time_than_is_left() -> None:
    with platform(2, 1) as world, node(world):
        world.work_seconds = 0.25
        for name in ("r0", "r1"):
            world.engines[name].scripted_faults.append("500")
        began = time.monotonic()
        assert round_trip(Client(world.listen), "q")[0].status == 200
        calls = [what for what, _ in world.calls_for("q") if what in ("read", "write")]
        assert calls.count("read") > 1 and calls[-1] == "write"
        decoded_at = next(at for at, what, _, request in world.calls if (what, request) == ("write", "q"))
        assert int(world.times_left["q"].removesuffix("m")) <= 3_000 - 1_000 * (decoded_at - began) + 50


@pytest.mark.parametrize("further", [False, True])
@pytest.mark.parametrize("leave", ["close", "half close"])
def test_no_attempt_starts_for_a_client_that_left_while_its_engine_was_being_connected(
    further: bool, leave: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Connecting may last for its whole timeout; nothing may be sent after the client left, in any attempt."""
    with platform(2, 1) as world, node(world) as edge_node:
        real_take, connecting, left = edge_node.pool.acquire, threading.Event(), threading.Event()
        ports = {engine.port: name for name, engine in world.engines.items()}
        failed: list[str] = []
        if further:
            for name in ("r0", "r1"):
                world.engines[name].scripted_faults.append("500")

        def connect_slowly(host: str, port: int, timeout: float) -> tuple[socket.socket, float | None]:
            is_prefill = ports[port][0] == "r"
            if is_prefill and (not further or failed):
                connecting.set()
                assert left.wait(5.0)
            failed.extend([ports[port]] if is_prefill else [])
            return real_take(host, port, timeout)

        monkeypatch.setattr(edge_node.pool, "acquire", connect_slowly)
        client = Client(world.listen)
        client.send_request(b"{}", CHAT, headers=headers("q"))
        assert connecting.wait(5.0)
        before = [what for what, _ in world.calls_for("q")].count("read")
        if leave == "close":
            client.close()
        else:
            client.sock.shutdown(socket.SHUT_WR)
        time.sleep(0.02)
        left.set()
        assert wait_for(lambda: is_idle(edge_node))
        assert [what for what, _ in world.calls_for("q")].count("read") == before == int(further)


def test_hundreds_of_silent_clients_block_no_usual_client() -> None:
    with platform() as world, node(world) as edge_node:
        silent = []
        stop = time.monotonic() + 2.0
        usual = Client(world.listen)
        n = 0
        while time.monotonic() < stop:
            for _ in range(20):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(("127.0.0.1", world.listen))
                silent.append(sock)
            n += 1
            assert round_trip(usual, f"old{n}")[0].status == 200
            fresh = Client(world.listen)
            assert round_trip(fresh, f"new{n}")[0].status == 200
            fresh.close()
        assert len(silent) > 200 and edge_node.host.connections <= edge_node.host.limits.connections
        for connection in silent:
            connection.close()


def test_descriptors_and_tables_stay_flat_over_many_short_connections() -> None:
    with platform() as world, node(world) as edge_node:

        def send_requests(count: int, tag: str) -> None:
            for n in range(count):
                client = Client(world.listen)
                assert round_trip(client, f"{tag}{n}")[0].status == 200
                client.close()

        send_requests(40, "warm")
        assert wait_for(lambda: is_idle(edge_node) and edge_node.host.connections == 0)
        before = len(os.listdir("/proc/self/fd"))
        send_requests(150, "more")
        assert wait_for(lambda: is_idle(edge_node) and edge_node.host.connections == 0)
        assert len(os.listdir("/proc/self/fd")) <= before + 8


def test_term_under_load_serves_all_accepted_requests_and_exits_with_0(tmp_path: Path) -> None:
    with platform() as world, program(world, tmp_path) as run:
        world.event_interval = 0.04
        answers: list[int] = []
        lost: list[str] = []

        def user(n: int) -> None:
            try:
                answers.append(round_trip(Client(world.listen), f"q{n}")[0].status)
            except (OSError, ValueError) as error:
                lost.append(f"{n}: {error}")

        threads = [threading.Thread(target=user, args=(n,)) for n in range(40)]
        for n, thread in enumerate(threads):
            thread.start()
            time.sleep(0.01)
            if n == 15:
                run.signal(signal.SIGHUP)
                run.signal(signal.SIGTERM)
            if n == 25:
                run.signal(signal.SIGTERM)
        for thread in threads:
            thread.join(10.0)
        assert not lost and set(answers) == {200} and len(answers) == 40
        assert run.process.wait(10.0) == 0


def test_a_draining_node_closes_idle_connections_and_refuses_late_requests() -> None:
    """A request that arrives later than 0.7 s after TERM and has no answer at the exit counts as lost."""
    with platform() as world, node(world) as edge_node:
        idle, accepted = (Client(world.listen) for _ in range(2))
        assert round_trip(idle, "before")[0].status == 200
        world.event_interval = 0.3
        accepted.send_request(b"{}", headers=headers("taken"))
        assert wait_for(lambda: bool(world.calls_for("taken")))
        draining = threading.Thread(target=edge_node.drain)
        draining.start()
        assert idle.sock.recv(1) == b""  # an idle connection is closed
        time.sleep(ACCEPTING_S / 2)
        fresh = Client(world.listen)  # from here on, a drain waits a second for its first request
        time.sleep(ACCEPTING_S / 2 + 0.1)
        head, _ = round_trip(fresh, "late")
        assert head.status == 503 and head.headers.get("connection") == "close" and not world.calls_for("late")
        head, body = accepted.answer()
        assert head.status == 200 and b"[DONE]" in body
        draining.join(10.0)
        assert not draining.is_alive() and is_idle(edge_node)


def begin_request(client: Client, request_id: str, body: bytes, **changes: str) -> None:
    """Send a request's head and the first byte of its body."""
    head = f"POST {CHAT} HTTP/1.1\r\nHost: t\r\n{headers(request_id, **changes)}Content-Length: {len(body)}\r\n\r\n"
    client.send(head.encode() + body[:1])


def test_a_draining_node_refuses_a_request_whose_last_byte_comes_late() -> None:
    """Guards against a stream that is begun so late in a drain that the kill cuts it; its head came before TERM."""
    with platform() as world, node(world) as edge_node:
        world.event_interval = 0.3
        slow, in_time = Client(world.listen), Client(world.listen)
        body = b'{"model":"chat"}'
        begin_request(slow, "slow", body)
        begin_request(in_time, "in-time", body)
        assert wait_for(lambda: sum(c.awaits_body for c in list(edge_node.host._parked.values())) == 2)
        draining = threading.Thread(target=edge_node.drain)
        draining.start()
        in_time.send(body[1:])
        assert wait_for(lambda: bool(world.calls_for("in-time")))
        time.sleep(ACCEPTING_S + 0.1)
        slow.send(body[1:])
        head, _ = slow.answer()
        assert head.status == 503 and head.headers.get("connection") == "close" and not world.calls_for("slow")
        head, answer = in_time.answer()
        assert head.status == 200 and b"[DONE]" in answer
        draining.join(10.0)
        assert not draining.is_alive() and is_idle(edge_node)


def test_the_time_of_a_slowly_written_request_begins_with_its_last_byte() -> None:
    """Guards against failing a request whose body took longer to write than its client waits for the first token."""
    with platform() as world, node(world) as edge_node:
        client = Client(world.listen)
        begin_request(client, "slow", b"{}", X_Time_Left="1000m")
        time.sleep(1.1)
        client.send(b"}")
        head, body = client.answer()
        assert head.status == 200 and b"[DONE]" in body and 0 < int(world.times_left["slow"][:-1]) <= 1_000
        assert wait_for(lambda: is_idle(edge_node))


def test_a_process_that_was_stopped_for_a_while_continues_to_serve(tmp_path: Path) -> None:
    """``sigtimedwait`` then returns an uninitialized record without a signal (CPython 3.11): it has to be ignored."""
    with platform() as world, program(world, tmp_path) as run:
        for _ in range(2):
            time.sleep(0.3)
            run.signal(signal.SIGSTOP)
            time.sleep(1.3)
            run.signal(signal.SIGCONT)
            time.sleep(0.3)
            assert run.process.poll() is None
        assert round_trip(Client(world.listen), "q")[0].status == 200


def test_hup_changes_the_discovery_address_and_nothing_else(tmp_path: Path) -> None:
    with platform() as world, program(world, tmp_path) as run:
        client = Client(world.listen)
        assert round_trip(client, "before")[0].status == 200
        other = Platform(1, 1)
        try:
            other.engines, other.states, other.rev = world.engines, world.states, world.rev
            configuration = json.loads(world.config())
            run.path.write_bytes(b"{ not yet whole")
            run.signal(signal.SIGHUP)
            assert round_trip(client, "between")[0].status == 200
            configuration["discovery"] = f"127.0.0.1:{other.discovery.port}"
            run.path.write_text(json.dumps(configuration))
            run.signal(signal.SIGHUP)
            assert wait_for(lambda: bool(other.discovery.request_targets))
            assert other.discovery.request_targets[0].endswith(f"watch=1&after={world.rev}")
            other.change_state("r0", "DRAINING")
            time.sleep(0.2)
            for n in range(6):
                assert round_trip(client, f"q{n}")[0].status == 200
            assert not any(("read", "r0") in world.calls_for(f"q{n}") for n in range(6))
        finally:
            other.discovery.close()


@pytest.mark.parametrize(("text", "message"), [(None, "EDGE_CONFIG"), ("{}", "missing required field"),
                                            ('{"listen":"x"', "$")])  # fmt: skip
def test_an_invalid_configuration_exits_with_a_message(text: str | None, message: str, tmp_path: Path) -> None:
    env = {name: value for name, value in os.environ.items() if name != "EDGE_CONFIG"}
    if text is not None:
        path = tmp_path / "config.json"
        path.write_text(text)
        env["EDGE_CONFIG"] = str(path)
    ended = subprocess.run([sys.executable, "-m", "stonetrack", "edge"], env=env, capture_output=True, text=True)
    assert ended.returncode == 2 and message in ended.stderr and "Traceback" not in ended.stderr


def test_the_program_imports_only_the_packages_it_uses() -> None:
    code = (
        "import sys, stonetrack.cli.main, stonetrack.cli.edge, stonetrack.edge.serve\n"
        "for name, module in list(sys.modules.items()):\n"
        "    if 'site-packages' in (getattr(module, '__file__', None) or ''):\n"
        "        print(name.partition('.')[0])"
    )
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split()
    assert {name for name in loaded if not name.startswith("_")} <= {"click", "msgspec", "typing_extensions"}


def test_a_drain_that_is_listed_while_connecting_is_respected(monkeypatch: pytest.MonkeyPatch) -> None:
    """The list arrives between the check of it and the first byte: the attempt ends as not sent."""
    with platform(2, 1) as world, node(world) as edge_node:
        real_take, drained = edge_node.pool.acquire, threading.Event()

        def connect_slowly(host: str, port: int, timeout: float) -> tuple[socket.socket, float | None]:
            name = next(name for name, engine in world.engines.items() if engine.port == port)
            if name[0] == "r" and not drained.is_set():
                drained.set()
                world.change_state(name, "DRAINING")
                assert wait_for(lambda: edge_node.engine_table.rev == world.rev)
            return real_take(host, port, timeout)

        monkeypatch.setattr(edge_node.pool, "acquire", connect_slowly)
        assert round_trip(Client(world.listen), "q")[0].status == 200
        drained_engine = next(name for name, state in world.states.items() if state == "DRAINING")
        assert drained.is_set() and ("read", drained_engine) not in world.calls_for("q")


def test_hup_under_load_keeps_the_router_and_its_tables(tmp_path: Path) -> None:
    with platform() as world, node(world) as edge_node:
        world.event_interval, world.cached_tokens = 0.03, 800  # fewer: the router assumes lost prefix caches
        router = edge_node.core.router
        answers: list[int] = []

        def user(n: int) -> None:
            client = Client(world.listen)
            for k in range(4):
                answers.append(round_trip(client, f"q{n}-{k}", X_Session_Key=f"s{n}")[0].status)

        threads = [threading.Thread(target=user, args=(n,)) for n in range(10)]
        for thread in threads:
            thread.start()
        path = tmp_path / "config.json"
        for text in (b"{", world.config(), world.config(sockets=3)):
            path.write_bytes(text)
            edge_node.reload(path)
            time.sleep(0.05)
        for thread in threads:
            thread.join(10.0)
        assert answers == [200] * 40 and edge_node.core.router is router
        cached_keys = {key for s in router.servers.values() for key in s.prefix_table.entries}  # type: ignore[attr-defined]
        assert {f"session s{n}" for n in range(10)} <= cached_keys


def test_memory_stays_flat_over_many_short_connections(tmp_path: Path) -> None:
    with platform() as world, program(world, tmp_path) as run:
        world.work_seconds = world.event_interval = 0.0

        def send_requests(count: int, tag: str) -> int:
            for n in range(count):
                client = Client(world.listen)
                assert round_trip(client, f"{tag}{n}", X_Session_Key="one")[0].status == 200
                client.close()
            status = Path(f"/proc/{run.process.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+) kB", status).group(1))  # type: ignore[union-attr]

        before = send_requests(300, "warm")
        assert send_requests(600, "more") - before < 2_000  # kB; a leaked connection or request is 4 or more


def test_a_prompt_goes_to_the_probed_prefill_engine_that_reports_room() -> None:
    """Only one of twelve prefill engines has room: a request goes there whenever it is one of the two probed."""
    with platform(12, 1) as world, node(world):
        client = Client(world.listen)
        for n in range(4):  # the router learns how long a prefill takes
            assert round_trip(client, f"warm{n}")[0].status == 200
        for engine in world.engines.values():
            engine.load_report = "TEXT inflight=9, queue=9, x0=0.1, x1=900"
        world.engines["r5"].load_report = LOAD_REPORT
        time.sleep(0.6)  # earlier load reports expire
        served = [n for n in range(60) if round_trip(client, f"q{n}")[0].status == 200]
        assert {e for n in served for what, e in world.calls_for(f"q{n}") if what == "read"} == {"r5"}
        assert 3 <= len(served) < 60  # the others would be too late: the request is refused and nothing is sent


def test_a_prefill_engine_that_does_not_answer_is_not_waited_for_and_is_ejected() -> None:
    with platform(12, 1) as world, node(world) as edge_node:
        world.engines["r3"].ignores_probes = True
        client = Client(world.listen)
        for n in range(60):
            since = time.monotonic()
            assert round_trip(client, f"q{n}")[0].status == 200
            assert time.monotonic() - since < 1.0
            if edge_node.core.router.servers["r3"].ejections:  # type: ignore[attr-defined]
                break
        assert edge_node.core.router.servers["r3"].ejections  # type: ignore[attr-defined]
        before = len(world.calls)
        for n in range(20):
            assert round_trip(client, f"after{n}")[0].status == 200
        assert not [e for _, what, e, _ in world.calls[before:] if what == "read" and e == "r3"]


def test_a_watch_that_is_not_answered_is_replaced_by_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first watch falls silent after its list, the second is accepted and never answered, the third delivers what
    was missed.  All times are a tenth of the protocol's."""
    for name in ("SILENCE_TIMEOUT_S", "FIRST_BYTE_TIMEOUT_S", "CONNECT_TIMEOUT_S", "FIRST_PAUSE_S", "MAX_PAUSE_S"):
        monkeypatch.setattr(watch, name, getattr(watch, name) / 10)
    listener, watches, documents = socket.create_server(("127.0.0.1", 0)), [], []
    head = writer.chunked_head(200, [("Content-Type", "application/json")])

    def agent() -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                sock.recv(4_096)
                watches.append((time.monotonic(), sock))
                if len(watches) != 2:
                    sock.sendall(head + writer.chunk(b'{"rev":%d}\n' % len(watches)))

    threading.Thread(target=agent, daemon=True).start()
    address = ("127.0.0.1", listener.getsockname()[1])
    follower = watch.DiscoveryWatch(address, lambda: 1, lambda data, first: documents.append(data), lambda text: None)
    follower.start()
    try:
        assert wait_for(lambda: len(documents) == 2, 5.0)
        assert documents == [b'{"rev":1}', b'{"rev":3}']
        assert watches[2][0] - watches[0][0] < 0.6
    finally:
        follower.stop()
        listener.close()
        for _, sock in watches:
            sock.close()
