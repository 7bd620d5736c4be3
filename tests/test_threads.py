"""Background threads: a failed one is restarted and logged, one that fails repeatedly ends the process."""

from __future__ import annotations

import time
from typing import Any

import pytest

from stonetrack import api
from stonetrack.engines.release_queue import PendingRelease, ReleaseResult
from stonetrack.engines.release_workers import ReleaseWorkers
from stonetrack.logic import SECOND
from stonetrack.node import threads
from stonetrack.node.core import Core, DuplicateRequest, Timers
from stonetrack.node.ports import InferenceRequest
from tests.harness import Client, wait_for
from tests.platform import node, platform, round_trip


def test_a_thread_that_fails_is_restarted_and_logged() -> None:
    logged: list[str] = []
    runs: list[int] = []

    def body() -> None:
        runs.append(1)
        if len(runs) < 3:
            raise ValueError("no good")

    thread = threads.restarting_thread("worker", body, logged.append)
    thread.start()
    thread.join(5.0)
    assert len(runs) == 3 and logged == ["thread worker: ValueError: no good; it goes on"] * 2


def test_a_thread_that_fails_repeatedly_ends_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[str] = []
    ended: list[str] = []
    monkeypatch.setattr(threads, "end_process", ended.append)

    def body() -> None:
        raise MemoryError

    thread = threads.restarting_thread("worker", body, logged.append)
    thread.start()
    thread.join(5.0)
    assert len(logged) == threads.MAX_FAILURES and "the process ends" in logged[-1] and len(ended) == 1


def test_a_timer_whose_callback_failed_fires_again() -> None:
    fired: list[int] = []
    logged: list[str] = []

    def fire(token: int) -> None:
        fired.append(token)
        if len(fired) == 1:
            raise KeyError("a defect")

    timers = Timers(fire, logged.append)
    timers.start()
    timers.add(7, 1_000_000)
    assert wait_for(lambda: fired == [7, 7]) and "KeyError" in logged[0]
    timers.stop()


def test_a_release_that_raised_is_retried() -> None:
    tried: list[str] = []

    def release(item: PendingRelease) -> ReleaseResult:
        tried.append(item.request_id)
        if len(tried) == 1:
            raise ValueError("a defect")
        return ReleaseResult.DONE

    releasing = ReleaseWorkers(time.monotonic_ns, 500_000_000, 2, release)
    releasing.start()
    releasing.add([PendingRelease("q", "", 0, None, time.monotonic_ns())])
    assert wait_for(lambda: tried == ["q", "q"] and not len(releasing))
    releasing.stop(0.0)


def test_a_defect_in_a_request_is_answered_and_leaves_nothing_in_the_router(monkeypatch: pytest.MonkeyPatch) -> None:
    """The client was disconnected without an answer, and the router counted its attempt as in flight for ever."""
    with platform() as emulated, node(emulated) as edge_node:
        client = Client(emulated.listen)
        assert round_trip(client, "q0")[0].status == 200
        real = edge_node.engines.start

        def raising(*args: Any, **more: Any) -> Any:
            raise RuntimeError("a defect")

        monkeypatch.setattr(edge_node.engines, "start", raising)
        assert round_trip(Client(emulated.listen), "q1")[0].status == 500
        monkeypatch.setattr(edge_node.engines, "start", real)
        router: Any = edge_node.core.router
        assert wait_for(lambda: not router.requests and not edge_node.core.open_requests)
        assert not any(s.unanswered or s.streams or s.held_states or s.pending_tokens for s in router.servers.values())
        monkeypatch.setattr(edge_node.engines, "start", lambda *args, **more: (_ for _ in ()).throw(MemoryError()))
        assert round_trip(Client(emulated.listen), "q2")[0].status == 503
        monkeypatch.setattr(edge_node.engines, "start", real)
        assert round_trip(Client(emulated.listen), "q3")[0].status == 200 and wait_for(lambda: not router.requests)


def test_the_core_handles_events_after_its_router_raised() -> None:
    class FailsOnce:
        def __init__(self) -> None:
            self.calls = 0

        def handle(self, now: int, event: api.Event) -> list[api.Action]:
            self.calls += 1
            if self.calls == 1:
                raise KeyError("a defect")
            return []

    router = FailsOnce()
    core = Core(router, lambda: 0, log=lambda text: None)
    with pytest.raises(KeyError):
        core.handle_event(api.TimerFired(0))
    core.handle_event(api.TimerFired(0))
    assert router.calls == 2


def test_a_second_arrival_of_an_open_request_is_an_error_and_the_first_keeps_its_mailbox() -> None:
    """Guards against a request whose thread waits for ever, since another took its mailbox (review case 6)."""
    arrivals: list[api.Event] = []

    class Router:
        def handle(self, now: int, event: api.Event) -> list[api.Action]:
            arrivals.append(event)
            return [api.Send("same", "r0", SECOND)] if isinstance(event, api.TimerFired) else []

    core = Core(Router(), lambda: 0, log=lambda text: None)
    request = InferenceRequest("same", 0, "s", SECOND, 1, None)
    first = core.accept_request(request, lambda: None)
    with pytest.raises(DuplicateRequest):
        core.accept_request(request, lambda: None)
    core.handle_event(api.TimerFired(0))
    assert list(first.actions) == [api.Send("same", "r0", SECOND)] and len(arrivals) == 2
    core.finish_request(first)
    assert core.accept_request(request, lambda: None) is not first
