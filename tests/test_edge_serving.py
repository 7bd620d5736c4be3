"""The node among engines, discovery and clients that speak the platform's protocol, on sockets."""

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
from pathlib import Path

import pytest

from stonetrack import api
from stonetrack.edge import engine_table, requests, watch
from stonetrack.edge.calls import Answer, EngineCalls
from stonetrack.edge.engines import EdgeEngines
from stonetrack.edge.probes import Probes
from stonetrack.edge.releases import Releases
from stonetrack.edge.serve import ACCEPTING_S
from stonetrack.engines.pool import Pool
from stonetrack.logic import MS, SECOND
from stonetrack.node.invariants import Invariant
from stonetrack.node.ports import Ask, Over
from stonetrack.soak.engine_side import Kind as Held
from stonetrack.soak.latitude import KINDEST, Latitude, Sentence
from stonetrack.wire import writer
from tests.platform import CHAT, REPORT, Platform, ask, at_rest, headers, node, platform, program
from tests.rig import Client, wait_for


def test_a_request_is_read_and_written_and_nothing_stays_held() -> None:
    with platform() as world, node(world) as made:
        client = Client(world.listen)
        for n in range(20):
            head, body = ask(client, f"q{n}")
            assert head.status == 200 and body.count(b"data: ") == world.events + 2 and b"[DONE]" in body
            assert [what for what, _ in world.which(f"q{n}")] == ["read", "write"]
            assert world.bodies[f"q{n}"] == b'{"model":"chat"}' and 0 < int(world.left[f"q{n}"][:-1]) <= 3000
        client.close()
        assert wait_for(lambda: at_rest(made)) and not world.held and world.most_out == 1
        assert made.core.router.servers["r0"].report is not None  # type: ignore[attr-defined]


def test_what_the_router_believes_is_what_passes_on_the_sockets(capfd: pytest.CaptureFixture[str]) -> None:
    with platform(1, 1) as world, node(world, traced=True) as made:
        world.pause = 0.2
        clients = [Client(world.listen) for _ in range(3)]
        for n, client in enumerate(clients):
            client.ask(b"{}", headers=headers(f"q{n}"))
        assert wait_for(lambda: made.core.router.servers["w0"].streams == 3)  # type: ignore[attr-defined]
        assert wait_for(lambda: made.engines.open_attempts() == {"w0": 3})
        made.maintain()
        for client in clients:
            assert client.answer()[0].status == 200
        assert wait_for(lambda: at_rest(made)) and not +made.engines.open_attempts()
    said = capfd.readouterr().err
    assert re.search(r"trace belief w0 writer up waiting \d streams 3 .*; sockets: open 3", said), said


def test_metrics_tell_of_steps_and_of_invariants_that_hold() -> None:
    with platform() as world, node(world) as made:
        client = Client(world.listen)
        assert ask(client, "q")[0].status == 200
        assert wait_for(lambda: len(made.records) == 0)
        client.ask(b"", "/metrics", "GET")
        head, body = client.answer()
    told = dict(line.rsplit(" ", 1) for line in body.decode().splitlines() if line and line[0] != "#")
    assert head.status == 200 and told['stonetrack_edge_answers_total{kind="served"}'] == "1.0"
    assert told['stonetrack_edge_attempts_total{outcome="read"}'] == "1.0"
    broken = {name: count for name, count in told.items() if "invariant_violations" in name}
    assert len(broken) == len(Invariant) and set(broken.values()) == {"0.0"}


def test_a_bad_request_gets_an_error_and_the_next_is_served() -> None:
    with platform() as world, node(world):
        client = Client(world.listen)
        for changes in ({"X_Service_Class": "nobody"}, {"X_Time_Left": "soon"}, {"X_Correlation_Id": "a b"}):
            assert ask(client, "q", **changes)[0].status == 400
        client.ask(b"", "/nowhere", "GET")
        assert client.answer()[0].status == 404
        assert ask(client, "q")[0].status == 200
        both = Client(world.listen)
        both.send(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 40\r\n"
                  b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /v1/chat/completions HTTP/1.1\r\n\r\n")  # fmt: skip
        assert both.answer()[0].status == 400
        huge = Client(world.listen)
        huge.send(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 62914560\r\n\r\n")
        assert huge.answer()[0].status == 413
        assert [what for _, what, _, _ in world.seen].count("read") == 1


def test_an_id_that_is_open_is_refused_and_the_open_request_goes_on() -> None:
    with platform() as world, node(world):
        world.pause = 0.05
        first, second = Client(world.listen), Client(world.listen)
        answers: list[int] = []
        thread = threading.Thread(target=lambda: answers.append(ask(first, "same")[0].status))
        thread.start()
        assert wait_for(lambda: ("read", "r0") in world.which("same") or ("read", "r1") in world.which("same"))
        assert ask(second, "same")[0].status == 409
        thread.join(5.0)
        assert answers == [200] and world.most_out == 1
        before = world.which("same")
        assert ask(second, "same")[0].status == 409  # engines may still keep a state or a place under it
        assert world.which("same") == before


def test_a_request_at_fault_is_answered_and_leaves_no_engine_out() -> None:
    with platform() as world, node(world) as made:
        for name in ("r0", "r1"):
            world.engines[name].faults.extend(["400"] * 2)
        client = Client(world.listen)
        assert ask(client, "bad")[0].status == 400
        tried = [what for what, _ in world.which("bad") if what != "release"]  # which follows, at its own time
        assert tried == ["read"]
        assert not any(s.paused for s in made.core.router.servers.values())  # type: ignore[attr-defined]


def test_a_release_is_heard_before_its_request_is_read_anew() -> None:
    """Engines slow to let go, and a reader that fails: without the order the new state is let go of, and 410."""
    with platform() as world, node(world):
        for engine in world.engines.values():
            engine.release_delay = 0.03
        world.work = 0.01
        client = Client(world.listen)
        for n in range(6):
            world.engines["r0"].faults.append("reset")
            world.engines["r1"].faults.append("reset")
            assert ask(client, f"q{n}")[0].status in (200, 503)
            for name in ("r0", "r1"):
                world.engines[name].faults.clear()
            passed = [what for what, _ in world.which(f"q{n}")]
            if passed.count("read") == 2 and "release" in passed:
                last = len(passed) - 1 - passed[::-1].index("read")
                assert "release" not in passed[last:], passed
        assert any("release" in [what for what, _ in world.which(f"q{n}")] for n in range(6))


def test_a_release_is_tried_on_while_an_attempt_only_connects() -> None:
    """Engines that are cut off take all the time for connecting: what is held may not wait for that."""
    clock, heard, silent = time.monotonic_ns, threading.Event(), threading.Event()
    readers = {f"r{n}": engine_table.Engine(f"r{n}", "127.0.0.1", n + 1, api.Role.READER, True) for n in range(2)}

    class Cut(Pool):
        def take(self, host: str, port: int, timeout: float) -> tuple[socket.socket, float | None]:
            time.sleep(0.25)
            raise TimeoutError("timed out")

    class Slow(EngineCalls):
        def call(self, engine: engine_table.Engine, message: bytes, timeout: float) -> Answer:
            if not silent.is_set():
                silent.set()
                time.sleep(timeout)
                raise TimeoutError("timed out")
            heard.set()
            raise ConnectionResetError("heard, and its answer lost")

    pool = Cut(4, 60.0)
    releases = Releases(Slow(pool, clock, 0.25), clock, 500 * MS)
    releases.start()
    probes = Probes(Slow(pool, clock, 0.25), clock, lambda text: None, lambda event: None)
    engines = EdgeEngines(pool, releases, probes, clock, 0.25, lambda text: None)
    engines.list_changed(readers)
    begin = time.monotonic()
    releases.release("q")
    ended = engines.start(Ask("q", 0, "", 8 * SECOND, 100, b""), "r0", 1, None, False, lambda server: True)
    assert isinstance(ended, Over) and ended.outcome is api.Outcome.CONNECT_FAILED
    assert releases.open and heard.wait(1.0) and time.monotonic() - begin < 0.5
    releases.stop()


def test_a_release_that_is_not_heard_keeps_the_next_attempt_of_its_request_back() -> None:
    """It was dropped for the attempt, whose bytes may reach nobody: then nobody let go of what was held."""
    with platform() as world, node(world) as made:
        heard = threading.Event()
        carry_out = made.calls.call

        def call(engine: engine_table.Engine, message: bytes, timeout: float) -> Answer:
            if message.startswith(b"DELETE") and not heard.is_set():
                time.sleep(timeout)
                raise TimeoutError("timed out")
            return carry_out(engine, message, timeout)

        made.calls.call = call  # type: ignore[method-assign]
        made.releases.release("q")
        asked = Ask("q", 0, "", 8 * SECOND, 100, requests.ForwardedRequest(CHAT, b"{}", made.core.clock() + SECOND))
        ended = made.engines.start(asked, "r0", 0, None, False, lambda server: True)
        assert isinstance(ended, Over) and ended.outcome is api.Outcome.NOT_SENT
        assert made.releases.open and not world.which("q")
        heard.set()
        assert wait_for(lambda: not made.releases.open)
        assert not isinstance(made.engines.start(asked, "r0", 1, None, False, lambda server: True), Over)
        assert wait_for(lambda: [what for what, _ in world.which("q")] == ["release", "read"])


def test_a_release_is_carried_out_while_its_requests_thread_connects() -> None:
    """A thread told is not a release sent: the connect lasts for longer than what is held may stand."""
    with platform(1, 2) as world, node(world) as made:
        client = Client(world.listen)
        assert ask(client, "first")[0].status == 200
        take, slow = made.pool.take, threading.Event()
        decode = {world.engines[name].port for name in ("w0", "w1")}

        def connecting(host: str, port: int, timeout: float) -> tuple[socket.socket, float | None]:
            if slow.is_set() and port in decode:
                if threading.current_thread().name.startswith(("probes", "releases")):
                    raise ConnectionRefusedError("only attempts connect for long")
                time.sleep(1.0)
            return take(host, port, timeout)

        made.pool.take = connecting  # type: ignore[method-assign]
        slow.set()
        client.ask(b"{}", headers=headers("q"))
        assert wait_for(lambda: ("release", "r0") in world.which("q"), 5.0)
        read = next(each.at for each in world.seen if (each.what, each.request) == ("read", "q"))
        released = next(each.at for each in world.seen if (each.what, each.request) == ("release", "q"))
        assert released - read < 0.75, "it waited for the thread"
        slow.clear()
        assert client.answer()[0].status in (200, 502, 503)
        assert wait_for(lambda: at_rest(made)) and not world.held


def test_a_release_that_a_read_may_have_passed_is_followed_by_others() -> None:
    """The release behind a broken connection is heard while the read still runs, and leaves what that brings about."""
    with platform(1, 1) as world, node(world) as made:
        world.latitude = Latitude(0, {**KINDEST, Sentence.GIVEN_UP: True, Sentence.RELEASE_INTO_READ: False})
        world.work = 0.2
        client = Client(world.listen)
        client.ask(b"{}", headers=headers("q"))
        assert wait_for(lambda: ("read", "r0") in world.which("q"))
        client.close()
        assert wait_for(lambda: ("release", "r0") in world.which("q") or ("release", "w0") in world.which("q"))
        assert wait_for(lambda: bool(world.held or world.books.stays)), "the read went on"  # held for a ms or more
        assert wait_for(lambda: not world.held and not len(made.abandoned), 2.0)
        with world.lock:
            assert [(stay.request, stay.kind, stay.engine) for stay in world.books.stays] == [("q", Held.STATE, "r0")]
            assert max((stay.until - stay.since) / 1e9 for stay in world.books.stays) < 0.5 + 0.3


def test_no_reservation_leaves_a_node_whatever_its_settings_allow() -> None:
    """What a decode engine holds for a read that may not have arrived can't be let go of in time."""
    with platform() as world, node(world) as made:
        assert made.config.settings.may_hold_place
        client = Client(world.listen)
        for n in range(8):
            assert ask(client, f"q{n}")[0].status == 200
        made.engines.hold("q9", "w0", 0, held := list[bool]().append)
        assert held.__self__ == [False]  # type: ignore[attr-defined]
        assert not [each for each in world.seen if each.what == "place"]
        assert wait_for(lambda: at_rest(made)) and not world.held


def test_a_spoilt_opening_is_tried_again_and_a_stream_spoilt_later_breaks_off_at_once() -> None:
    with platform(2, 1) as world, node(world):
        world.engines["w0"].faults.append("noise")
        client = Client(world.listen)
        assert ask(client, "q0")[0].status == 200
        assert [what for what, _ in world.which("q0") if what in ("read", "write")] == ["read", "write"] * 2
        world.engines["w0"].faults.append("spoilt")
        began = time.monotonic()
        with pytest.raises((ConnectionError, ValueError)):
            ask(client, "q1")
        assert time.monotonic() - began < 2.0
        for fault in ("ahead", "behind", ""):
            world.engines["w0"].faults.append(fault)
            assert ask(Client(world.listen), f"q-{fault}")[0].status == 200


def test_an_engine_told_as_draining_is_sent_nothing_more() -> None:
    with platform() as world, node(world) as made:
        client = Client(world.listen)
        world.change("r0", "DRAINING")
        assert wait_for(lambda: made.engine_table.rev == world.rev)
        world.change("w1", "DELETED")
        assert wait_for(lambda: made.engine_table.rev == world.rev)
        for n in range(8):
            assert ask(client, f"q{n}")[0].status == 200
        assert {engine for _, what, engine, _ in world.seen if what in ("read", "write", "place")} == {"r1", "w0"}


def test_a_client_that_leaves_frees_all() -> None:
    with platform() as world, node(world) as made:
        world.work = 0.2
        client = Client(world.listen)
        client.ask(b"{}", headers=headers("q"))
        assert wait_for(lambda: bool(world.which("q")))
        client.close()
        assert wait_for(lambda: at_rest(made)) and wait_for(lambda: not world.held)


def test_a_further_attempt_tells_its_engine_no_more_time_than_is_left() -> None:
    with platform(2, 1) as world, node(world):
        world.work = 0.25
        for name in ("r0", "r1"):
            world.engines[name].faults.append("500")
        began = time.monotonic()
        assert ask(Client(world.listen), "q")[0].status == 200
        passed = [what for what, _ in world.which("q") if what in ("read", "write")]
        assert passed.count("read") > 1 and passed[-1] == "write"
        written = next(at for at, what, _, request in world.seen if (what, request) == ("write", "q"))
        assert int(world.left["q"].removesuffix("m")) <= 3_000 - 1_000 * (written - began) + 50


@pytest.mark.parametrize("further", [False, True])
@pytest.mark.parametrize("leave", ["close", "half close"])
def test_no_attempt_begins_for_a_client_that_left_while_its_engine_was_connected_to(
    further: bool, leave: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Connecting may take all of its time; what is sent after that serves nobody, first attempt or further one."""
    with platform(2, 1) as world, node(world) as made:
        take, connecting, left = made.pool.take, threading.Event(), threading.Event()
        ports = {engine.port: name for name, engine in world.engines.items()}
        failed: list[str] = []
        if further:
            for name in ("r0", "r1"):
                world.engines[name].faults.append("500")

        def slowly(host: str, port: int, timeout: float) -> tuple[socket.socket, float | None]:
            reader = ports[port][0] == "r"
            if reader and (not further or failed):
                connecting.set()
                assert left.wait(5.0)
            failed.extend([ports[port]] if reader else [])
            return take(host, port, timeout)

        monkeypatch.setattr(made.pool, "take", slowly)
        client = Client(world.listen)
        client.ask(b"{}", CHAT, headers=headers("q"))
        assert connecting.wait(5.0)
        before = [what for what, _ in world.which("q")].count("read")
        if leave == "close":
            client.close()
        else:
            client.sock.shutdown(socket.SHUT_WR)
        time.sleep(0.02)
        left.set()
        assert wait_for(lambda: at_rest(made))
        assert [what for what, _ in world.which("q")].count("read") == before == int(further)


def test_silent_clients_by_hundreds_keep_no_usual_client_out() -> None:
    with platform() as world, node(world) as made:
        silent = []
        stop = time.monotonic() + 2.0
        usual = Client(world.listen)
        n = 0
        while time.monotonic() < stop:
            for _ in range(20):
                with_one = socket.socket()
                with_one.setblocking(False)
                with_one.connect_ex(("127.0.0.1", world.listen))
                silent.append(with_one)
            n += 1
            assert ask(usual, f"old{n}")[0].status == 200
            fresh = Client(world.listen)
            assert ask(fresh, f"new{n}")[0].status == 200
            fresh.close()
        assert len(silent) > 200 and made.host.connections <= made.host.limits.connections
        for each in silent:
            each.close()


def test_descriptors_and_tables_stay_flat_over_many_short_connections() -> None:
    with platform() as world, node(world) as made:

        def some(count: int, tag: str) -> None:
            for n in range(count):
                client = Client(world.listen)
                assert ask(client, f"{tag}{n}")[0].status == 200
                client.close()

        some(40, "warm")
        assert wait_for(lambda: at_rest(made) and made.host.connections == 0)
        before = len(os.listdir("/proc/self/fd"))
        some(150, "more")
        assert wait_for(lambda: at_rest(made) and made.host.connections == 0)
        assert len(os.listdir("/proc/self/fd")) <= before + 8


def test_term_under_load_serves_what_came_and_ends_with_0(tmp_path: Path) -> None:
    with platform() as world, program(world, tmp_path) as run:
        world.pause = 0.04
        answers: list[int] = []
        lost: list[str] = []

        def user(n: int) -> None:
            try:
                answers.append(ask(Client(world.listen), f"q{n}")[0].status)
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


def test_a_leaving_node_closes_idle_connections_and_refuses_what_comes_late() -> None:
    """What came over 0.7 s after TERM and has no answer at the end counts as lost."""
    with platform() as world, node(world) as made:
        idle, taken = (Client(world.listen) for _ in range(2))
        assert ask(idle, "before")[0].status == 200
        world.pause = 0.3
        taken.ask(b"{}", headers=headers("taken"))
        assert wait_for(lambda: bool(world.which("taken")))
        leaving = threading.Thread(target=made.drain)
        leaving.start()
        assert idle.sock.recv(1) == b""  # closed between two requests
        time.sleep(ACCEPTING_S / 2)
        fresh = Client(world.listen)  # a drain waits a second for its first request, from here on
        time.sleep(ACCEPTING_S / 2 + 0.1)
        head, _ = ask(fresh, "late")
        assert head.status == 503 and head.headers.get("connection") == "close" and not world.which("late")
        head, body = taken.answer()
        assert head.status == 200 and b"[DONE]" in body
        leaving.join(10.0)
        assert not leaving.is_alive() and at_rest(made)


def test_a_program_that_was_stopped_for_a_while_serves_on(tmp_path: Path) -> None:
    """``sigtimedwait`` then returns with no signal and an undefined record (CPython 3.11): not one of ours."""
    with platform() as world, program(world, tmp_path) as run:
        for _ in range(2):
            time.sleep(0.3)
            run.signal(signal.SIGSTOP)
            time.sleep(1.3)
            run.signal(signal.SIGCONT)
            time.sleep(0.3)
            assert run.process.poll() is None
        assert ask(Client(world.listen), "q")[0].status == 200


def test_hup_moves_the_watch_and_keeps_all_else(tmp_path: Path) -> None:
    with platform() as world, program(world, tmp_path) as run:
        client = Client(world.listen)
        assert ask(client, "before")[0].status == 200
        other = Platform(1, 1)
        try:
            other.engines, other.states, other.rev = world.engines, world.states, world.rev
            told = json.loads(world.config())
            run.path.write_bytes(b"{ not yet whole")
            run.signal(signal.SIGHUP)
            assert ask(client, "between")[0].status == 200
            told["discovery"] = f"127.0.0.1:{other.discovery.port}"
            run.path.write_text(json.dumps(told))
            run.signal(signal.SIGHUP)
            assert wait_for(lambda: bool(other.discovery.asked))
            assert other.discovery.asked[0].endswith(f"watch=1&after={world.rev}")
            other.change("r0", "DRAINING")
            time.sleep(0.2)
            for n in range(6):
                assert ask(client, f"q{n}")[0].status == 200
            assert not any(("read", "r0") in world.which(f"q{n}") for n in range(6))
        finally:
            other.discovery.close()


@pytest.mark.parametrize(("text", "said"), [(None, "EDGE_CONFIG"), ("{}", "missing required field"),
                                            ('{"listen":"x"', "$")])  # fmt: skip
def test_a_configuration_that_cannot_be_used_ends_plainly(text: str | None, said: str, tmp_path: Path) -> None:
    env = {name: value for name, value in os.environ.items() if name != "EDGE_CONFIG"}
    if text is not None:
        path = tmp_path / "config.json"
        path.write_text(text)
        env["EDGE_CONFIG"] = str(path)
    ended = subprocess.run([sys.executable, "-m", "stonetrack", "edge"], env=env, capture_output=True, text=True)
    assert ended.returncode == 2 and said in ended.stderr and "Traceback" not in ended.stderr


def test_the_program_loads_what_it_uses_and_no_more() -> None:
    code = (
        "import sys, stonetrack.cli.main, stonetrack.cli.edge, stonetrack.edge.serve\n"
        "for name, module in list(sys.modules.items()):\n"
        "    if 'site-packages' in (getattr(module, '__file__', None) or ''):\n"
        "        print(name.partition('.')[0])"
    )
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split()
    assert {name for name in loaded if not name.startswith("_")} <= {"click", "msgspec", "typing_extensions"}


def test_a_drain_told_while_connecting_is_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """The list comes between the look at it and the first byte: the send is taken back as never sent."""
    with platform(2, 1) as world, node(world) as made:
        take, told = made.pool.take, threading.Event()

        def slowly(host: str, port: int, timeout: float) -> tuple[socket.socket, float | None]:
            name = next(name for name, engine in world.engines.items() if engine.port == port)
            if name[0] == "r" and not told.is_set():
                told.set()
                world.change(name, "DRAINING")
                assert wait_for(lambda: made.engine_table.rev == world.rev)
            return take(host, port, timeout)

        monkeypatch.setattr(made.pool, "take", slowly)
        assert ask(Client(world.listen), "q")[0].status == 200
        drained = next(name for name, state in world.states.items() if state == "DRAINING")
        assert told.is_set() and ("read", drained) not in world.which("q")


def test_hup_under_load_keeps_the_router_and_what_it_learnt(tmp_path: Path) -> None:
    with platform() as world, node(world) as made:
        world.pause, world.cached = 0.03, 800  # less would tell the router that the readers forgot
        router = made.core.router
        answers: list[int] = []

        def user(n: int) -> None:
            client = Client(world.listen)
            for k in range(4):
                answers.append(ask(client, f"q{n}-{k}", X_Session_Key=f"s{n}")[0].status)

        threads = [threading.Thread(target=user, args=(n,)) for n in range(10)]
        for thread in threads:
            thread.start()
        path = tmp_path / "config.json"
        for text in (b"{", world.config(), world.config(sockets=3)):
            path.write_bytes(text)
            made.reload(path)
            time.sleep(0.05)
        for thread in threads:
            thread.join(10.0)
        assert answers == [200] * 40 and made.core.router is router
        kept = {key for s in router.servers.values() for key in s.table.entries}  # type: ignore[attr-defined]
        assert {f"session s{n}" for n in range(10)} <= kept


def test_memory_stays_flat_over_many_short_connections(tmp_path: Path) -> None:
    with platform() as world, program(world, tmp_path) as run:
        world.work = world.pause = 0.0

        def some(count: int, tag: str) -> int:
            for n in range(count):
                client = Client(world.listen)
                assert ask(client, f"{tag}{n}", X_Session_Key="one")[0].status == 200
                client.close()
            page = Path(f"/proc/{run.process.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+) kB", page).group(1))  # type: ignore[union-attr]

        before = some(300, "warm")
        assert some(600, "more") - before < 2_000  # kilobytes; a leaked connection or request is 4 and more each


def test_a_prompt_goes_to_the_one_of_two_readers_that_tells_of_room() -> None:
    """Twelve readers, no more than one of which has room: a request goes there whenever it is one of the two asked."""
    with platform(12, 1) as world, node(world):
        client = Client(world.listen)
        for n in range(4):  # it learns how long a read takes
            assert ask(client, f"warm{n}")[0].status == 200
        for engine in world.engines.values():
            engine.load = "TEXT inflight=9, queue=9, x0=0.1, x1=900"
        world.engines["r5"].load = REPORT
        time.sleep(0.6)  # what was heard before is old
        served = [n for n in range(60) if ask(client, f"q{n}")[0].status == 200]
        assert {e for n in served for what, e in world.which(f"q{n}") if what == "read"} == {"r5"}
        assert 3 <= len(served) < 60  # from others it would come too late: refused, nothing is sent


def test_a_reader_that_does_not_answer_is_not_waited_for_and_then_left_out() -> None:
    with platform(12, 1) as world, node(world) as made:
        world.engines["r3"].deaf = True
        client = Client(world.listen)
        for n in range(60):
            since = time.monotonic()
            assert ask(client, f"q{n}")[0].status == 200
            assert time.monotonic() - since < 1.0
            if made.core.router.servers["r3"].paused:  # type: ignore[attr-defined]
                break
        assert made.core.router.servers["r3"].paused  # type: ignore[attr-defined]
        before = len(world.seen)
        for n in range(20):
            assert ask(client, f"after{n}")[0].status == 200
        assert not [e for _, what, e, _ in world.seen[before:] if what == "read" and e == "r3"]


def test_a_watch_that_is_not_answered_is_given_up_for_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first falls silent after its list, the next is taken and never answered; the third tells what was missed.

    All times are a tenth of the protocol's."""
    for name in ("SILENCE_TIMEOUT_S", "FIRST_BYTE_TIMEOUT_S", "CONNECT_TIMEOUT_S", "FIRST_PAUSE_S", "MAX_PAUSE_S"):
        monkeypatch.setattr(watch, name, getattr(watch, name) / 10)
    listener, asked, documents = socket.create_server(("127.0.0.1", 0)), [], []
    head = writer.streamed(200, [("Content-Type", "application/json")])

    def agent() -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                sock.recv(4_096)
                asked.append((time.monotonic(), sock))
                if len(asked) != 2:
                    sock.sendall(head + writer.chunk(b'{"rev":%d}\n' % len(asked)))

    threading.Thread(target=agent, daemon=True).start()
    address = ("127.0.0.1", listener.getsockname()[1])
    follower = watch.DiscoveryWatch(address, lambda: 1, lambda data, first: documents.append(data), lambda text: None)
    follower.start()
    try:
        assert wait_for(lambda: len(documents) == 2, 5.0)
        assert documents == [b'{"rev":1}', b'{"rev":3}']
        assert asked[2][0] - asked[0][0] < 0.6
    finally:
        follower.stop()
        listener.close()
        for _, sock in asked:
            sock.close()
