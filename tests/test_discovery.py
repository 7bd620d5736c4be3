"""The discovery service: versions and changes, admission control, the state file, and its sockets."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stonetrack.api import Role
from stonetrack.discovery.admission import AdmissionQueue, Admitted, RetryLater
from stonetrack.discovery.history import History, LinesError
from stonetrack.discovery.service import Service
from stonetrack.discovery.settings import DiscoverySettings, load_discovery_settings
from stonetrack.discovery.state_file import FILE, StateFileError, load_state, save_state
from stonetrack.engines.calls import call, exchange
from stonetrack.engines.server_list import ServerListState
from stonetrack.frontend.host import listen
from stonetrack.settings import SettingsError
from stonetrack.settings.schema import Kind, Limits, Listen, Timing
from stonetrack.wire import http1, writer
from tests.harness import wait_for

MS, SECOND = 1_000_000, 1_000_000_000
KINDS = (Kind(name="reader", role=Role.PREFILL), Kind(name="writer", role=Role.DECODE))


def line(name: str, **more: Any) -> dict[str, Any]:
    return {"name": name, "address": "127.0.0.1:9", "kind": "reader", **more}


# History.


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.tuples(st.booleans(), st.dictionaries(st.sampled_from("abcdef"), st.integers(0, 2))), max_size=12),
    st.integers(1, 6),
    st.lists(st.integers(0, 12), max_size=8),
)
def test_a_client_that_applies_the_changes_has_the_list(
    puts: list[tuple[bool, dict[str, int]]], most: int, stops: list[int]
) -> None:
    history = History("h", 10, [line("a")], most)
    followers: list[ServerListState] = []
    for n, (whole, given_lines) in enumerate(puts):
        lines = [line(name, weight=1.0 + w) for name, w in given_lines.items() if w or whole]
        gone = [line(name, state="removed") for name, w in given_lines.items() if not w and not whole]
        before, version = dict(history.lines), history.version
        changed = history.put(lines) if whole else history.change([*lines, *gone])
        assert (history.version == version + 1) == bool(changed) == (history.lines != before)
        if n in stops:
            followers.append(ServerListState(KINDS))
        for follower in followers[: 1 + n % 3]:  # some are left behind
            document = history.document_since(follower.version, follower.origin)
            if document is not None:
                follower.apply_json(document.body, 0)
            assert follower.version == history.version
            assert {k: v.weight for k, v in follower.entries.items()} == {
                k: float(v.get("weight", 1.0)) for k, v in history.lines.items()
            }
    full_list = history.full()
    assert (
        history.document_since(history.version, "h") is None
        and history.document_since(history.version, "other") == full_list
    )
    assert history.document_since(history.oldest_base - 1, "h") == full_list
    assert history.document_since(history.version + 1, "h") == full_list and history.client_is_ahead(
        history.version + 1, "h"
    )


def test_a_document_is_encoded_once_and_dropped_with_its_version() -> None:
    history = History("h", 1, [line(f"e{n}") for n in range(50)])
    history.change([line("e1", weight=2.0)])
    first, second = history.document_since(1, "h"), history.document_since(1, "h")
    assert first is not None and second is not None and first.body is second.body and not first.full
    assert history.full().body is history.full().body and len(first.body) * 10 < len(history.full().body)
    history.change([line("e2", weight=2.0)])
    again = history.document_since(1, "h")
    assert again is not None and again.body is not first.body


def test_invalid_lines_change_nothing() -> None:
    history = History("h", 1, [line("a")])
    for invalid in ([line("b"), line("b")], [{"address": "x"}], ["a"]):
        with pytest.raises(LinesError):
            history.put(invalid)  # type: ignore[arg-type]
    assert set(history.lines) == {"a"} and history.version == 1


def test_lines_of_removed_engines_do_not_accumulate() -> None:
    history = History("h", 1, most=5)
    for n in range(3_000):
        history.put([line(f"e{n}"), *(line(f"stays{m}") for m in range(20))])
    assert len(history._removed) <= 1_100
    document = history.document_since(history.version - 2, "h")
    assert document is not None and b"removed" in document.body


# Admission control.


def test_documents_are_sent_at_the_configured_rate_and_rejected_nodes_get_spread_retry_times() -> None:
    admission = AdmissionQueue(10.0, 8.0)
    results = [admission.admit(0, f"n{n}", 1.0) for n in range(50)]
    served = [t.send_at for t in results if isinstance(t, Admitted)]
    assert served == [n * SECOND // 10 for n in range(9)]  # one is sent at once, eight wait
    later = [t.retry_after_s for t in results if isinstance(t, RetryLater)]
    assert admission.rejected == 41 and later == sorted(later)
    assert max(later.count(second) for second in later) <= 9  # as many as may wait
    assert all(isinstance(admission.admit(a * SECOND, f"m{n}", 1.0), Admitted) for n, a in enumerate(later))


def test_a_node_that_asks_in_a_loop_takes_no_capacity_from_others() -> None:
    admission = AdmissionQueue(10.0, 8.0)
    greedy_results = [admission.admit(0, "greedy", 1.0) for _ in range(100)]
    assert sum(isinstance(t, Admitted) for t in greedy_results) == 2
    others = [admission.admit(0, f"n{n}", 1.0) for n in range(6)]
    assert all(isinstance(t, Admitted) for t in others)
    admission.done("greedy")
    admission.done("greedy")
    assert isinstance(admission.admit(10 * SECOND, "greedy", 1.0), Admitted)


def test_changes_cost_their_size_and_long_polls_are_not_rejected() -> None:
    admission = AdmissionQueue(10.0, 8.0)
    waits = [admission.admit(0, f"n{n}", 0.05, patience=20 * SECOND) for n in range(400)]
    assert all(isinstance(t, Admitted) for t in waits)
    assert waits[-1] == Admitted(399 * SECOND // 200)
    assert isinstance(admission.admit(0, "late", 1.0), RetryLater)


# State file.


def test_a_version_is_never_used_twice_and_a_lost_folder_starts_another_history(tmp_path: Path) -> None:
    first = load_state(tmp_path, lambda: 1_000, 10)[0]
    assert first.version == 1_000
    first.put([line("a")])
    save_state(tmp_path, first.origin, first.version, first.lines)
    second = load_state(tmp_path, lambda: 5, 10)[0]
    assert (second.origin, second.version, set(second.lines)) == (first.origin, 1_001, {"a"})
    (tmp_path / FILE).unlink()
    third = load_state(tmp_path, lambda: 2_000, 10)[0]
    assert third.origin != first.origin and third.version == 2_000
    (tmp_path / FILE).write_bytes(b'{"origin": "x"')
    with pytest.raises(StateFileError, match="mend it"):
        load_state(tmp_path, lambda: 1, 10)[0]


# Sockets.


@contextmanager
def service(folder: Path, **more: Any) -> Iterator[tuple[Service, int]]:
    given_settings: dict[str, Any] = {
        "listen": Listen(port=0), "state_dir": str(folder), "may_put": True,
        "limits": Limits(workers=64), "timing": Timing(drain_ms=500), **more}  # fmt: skip
    listener = listen("127.0.0.1", 0, 128)
    port: int = listener.getsockname()[1]
    logged: list[str] = []
    running = Service(DiscoverySettings(**given_settings), listener, lambda text, **fields: logged.append(text))
    running.start()
    try:
        yield running, port
    finally:
        running.drain()
        running.stop()
        listener.close()


def get_list(port: int, query: str = "", node: str = "n0") -> tuple[http1.ResponseHead, Any]:
    request = writer.request("GET", f"/engines{query}", [("Host", "t"), ("X-Stonetrack-Instance", node),
                                                         ("Connection", "close")])  # fmt: skip
    head, body = exchange("127.0.0.1", port, request, 10.0)
    return head, json.loads(body) if body else None


def put(port: int, lines: list[dict[str, Any]], method: str = "PUT") -> tuple[int, Any]:
    body = json.dumps({"engines": lines}).encode()
    status, answer = call("127.0.0.1", port, writer.request(method, "/engines", [("Host", "t")], body), 5.0)
    return status, json.loads(answer)


def test_a_long_poll_returns_a_change_at_once_and_204_after_its_wait(tmp_path: Path) -> None:
    with service(tmp_path) as (running, port):
        assert put(port, [line("a"), line("b"), *(line(f"x{n}") for n in range(9))])[0] == 200
        head, whole = get_list(port)
        assert head.status == 200 and whole["kind"] == "full" and len(whole["engines"]) == 11
        at = f"?after={whole['version']}&origin={whole['origin']}"
        began = time.monotonic()
        assert get_list(port, f"{at}&wait_ms=150")[0].status == 204 and 0.1 < time.monotonic() - began < 2.0
        received: list[Any] = []
        poll = threading.Thread(target=lambda: received.append(get_list(port, f"{at}&wait_ms=8000")))
        poll.start()
        assert wait_for(lambda: running.answers["unchanged"] == 1 and len(running._long_polls) == 1)
        assert put(port, [line("b", state="removed"), line("c")], "PATCH")[0] == 200
        poll.join(5.0)
        document = received[0][1]
        assert document["kind"] == "changes" and document["after"] == whole["version"]
        assert {e["name"]: e.get("state") for e in document["engines"]} == {"b": "removed", "c": None}


def test_excess_requests_are_rejected_with_retry_after(tmp_path: Path) -> None:
    with service(tmp_path, lists_per_second=2.0, waiting=2.0) as (_, port):
        put(port, [line("a")])
        answers: list[http1.ResponseHead] = []
        threads = [
            threading.Thread(target=lambda n=n: answers.append(get_list(port, node=f"n{n}")[0])) for n in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(10.0)
        retry_after = [int(a.headers.get("retry-after")) for a in answers if a.status == 503]
        assert len(answers) == 8 and len(retry_after) == 5 and min(retry_after) >= 2 and len(set(retry_after)) >= 2


def test_a_restart_continues_the_versions_and_a_restored_old_state_starts_another_history(tmp_path: Path) -> None:
    with service(tmp_path) as (running, port):
        put(port, [line("a")])
        _, first = get_list(port)
        old = (tmp_path / FILE).read_bytes()
        put(port, [line("a"), line("b")])
        _, second = get_list(port)
        assert second["version"] == first["version"] + 1
    with service(tmp_path) as (running, port):
        head, _ = get_list(port, f"?after={second['version']}&origin={second['origin']}")
        assert head.status == 204
    (tmp_path / FILE).write_bytes(old)
    with service(tmp_path) as (running, port):
        _, third = get_list(port, f"?after={second['version']}&origin={second['origin']}")
        assert third["origin"] != second["origin"] and third["version"] == second["version"] + 1
        assert [e["name"] for e in third["engines"]] == ["a"] and running.history.origin == third["origin"]
    with service(tmp_path) as (running, port):
        assert running.history.origin == third["origin"]


def has_waiting_poll(running: Service) -> bool:
    return len(running._long_polls) == 1


def test_a_service_without_a_list_answers_503_and_waiting_polls_receive_the_first_list(tmp_path: Path) -> None:
    for folder, first in ((tmp_path / "a", [line("r0")]), (tmp_path / "b", [])):
        with service(folder) as (running, port):
            head, body = get_list(port)
            assert head.status == 503 and head.headers.get("retry-after") == "1" and "no list" in body["error"]
            status, refused = put(port, [line("x")], "PATCH")
            assert status == 400 and "PUT one" in refused["error"]
        with service(folder) as (running, port):  # nor after a restart
            received: list[Any] = []
            poll = threading.Thread(
                target=lambda to, at: to.append(get_list(at, "?wait_ms=8000")), args=(received, port)
            )
            poll.start()
            assert wait_for(partial(has_waiting_poll, running))
            put(port, first)
            poll.join(5.0)
            assert received[0][0].status == 200 and len(received[0][1]["engines"]) == len(first)
        with service(folder) as (running, port):
            assert get_list(port)[0].status == 200


def test_a_watched_file_is_reloaded_and_an_invalid_one_changes_nothing(tmp_path: Path) -> None:
    path = tmp_path / "engines.json"
    path.write_text(json.dumps({"engines": [line("a")]}))
    with service(tmp_path / "state", may_put=False, file=str(path), poll_ms=10) as (running, port):
        version = get_list(port)[1]["version"]
        for invalid in (
            '{"engines": [{"name": "x"}]}',
            "{",
            '{"engines": [{"name": "x", "address": "y", "kind": "z"}]}',
        ):
            path.write_text(invalid)
            time.sleep(0.05)
        assert get_list(port)[1]["version"] == version
        path.write_text(json.dumps({"engines": [line("a"), line("b")]}))
        assert wait_for(lambda: running.history.version == version + 1)
        assert put(port, [])[0] == 405


@pytest.mark.parametrize("query,status", [("?after=x", 400), ("?wait_ms=1e9", 400), ("?after=-7&origin=%00", 200),
                                          ("?after=99999999999999999999999&origin=h", 200)])  # fmt: skip
def test_unusual_requests_get_the_right_status(tmp_path: Path, query: str, status: int) -> None:
    with service(tmp_path) as (_, port):
        put(port, [line("a")])
        assert get_list(port, query)[0].status == status
        for path, want in (("/health", 200), ("/metrics", 200), ("/x", 404)):
            request = writer.request("GET", path, [("Host", "t")])
            assert call("127.0.0.1", port, request, 5.0)[0] == want


def test_a_drain_ends_polls_and_a_full_disk_keeps_the_old_list(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with service(tmp_path) as (running, port):
        put(port, [line("a")])
        _, whole = get_list(port)

        def fail(*_: Any) -> None:
            raise OSError(28, "No space left on device")

        monkeypatch.setattr("stonetrack.discovery.service.save_state", fail)
        status, answer = put(port, [line("b")])
        assert status == 500 and "No space" in answer["error"]
        at = f"?after={whole['version']}&origin={whole['origin']}"
        assert get_list(port, at)[0].status == 204 and get_list(port)[1]["engines"][0]["name"] == "a"
        monkeypatch.undo()
        received: list[Any] = []
        poll = threading.Thread(target=lambda: received.append(get_list(port, f"{at}&wait_ms=20000")[0].status))
        poll.start()
        assert wait_for(lambda: len(running._long_polls) == 1)
        began = time.monotonic()
        running.drain()
        poll.join(5.0)
        assert received == [204] and time.monotonic() - began < 3.0


def test_invalid_settings_report_what_is_allowed(tmp_path: Path) -> None:
    path = tmp_path / "lists.json"
    for text, message in (('{"state_dir": "s"}', "either a file"), ('{"state_dir": "s", "fil": "x"}', "fil"),
                       ('{"state_dir": "s", "file": "x", "waiting": 0}', "waiting")):  # fmt: skip
        path.write_text(text)
        with pytest.raises(SettingsError, match=message):
            load_discovery_settings(path)
