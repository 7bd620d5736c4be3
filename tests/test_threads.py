"""Background threads: one that fails goes on and is logged, one that fails again and again ends the process."""

from __future__ import annotations

import time
from typing import Any

import pytest

from stonetrack import api
from stonetrack.engines.release_queue import PendingRelease, ReleaseResult
from stonetrack.engines.release_workers import ReleaseWorkers
from stonetrack.node import threads
from stonetrack.node.core import Core, Timers
from tests.harness import Client, wait_for
from tests.platform import node, platform, round_trip


def test_a_thread_that_fails_goes_on_and_says_so() -> None:
    said: list[str] = []
    runs: list[int] = []

    def body() -> None:
        runs.append(1)
        if len(runs) < 3:
            raise ValueError("no good")

    thread = threads.restarting_thread("worker", body, said.append)
    thread.start()
    thread.join(5.0)
    assert len(runs) == 3 and said == ["thread worker: ValueError: no good; it goes on"] * 2


def test_a_thread_that_fails_again_and_again_ends_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    said: list[str] = []
    ended: list[str] = []
    monkeypatch.setattr(threads, "end_process", ended.append)

    def body() -> None:
        raise MemoryError

    thread = threads.restarting_thread("worker", body, said.append)
    thread.start()
    thread.join(5.0)
    assert len(said) == threads.MAX_FAILURES and "the process ends" in said[-1] and len(ended) == 1


def test_a_timer_whose_router_failed_fires_again() -> None:
    fired: list[int] = []
    said: list[str] = []

    def fire(token: int) -> None:
        fired.append(token)
        if len(fired) == 1:
            raise KeyError("a defect")

    timers = Timers(fire, said.append)
    timers.start()
    timers.add(7, 1_000_000)
    assert wait_for(lambda: fired == [7, 7]) and "KeyError" in said[0]
    timers.stop()


def test_a_release_that_fails_by_a_defect_is_owed_all_the_same() -> None:
    tried: list[str] = []

    def release(item: PendingRelease) -> ReleaseResult:
        tried.append(item.request)
        if len(tried) == 1:
            raise ValueError("a defect")
        return ReleaseResult.DONE

    releasing = ReleaseWorkers(time.monotonic_ns, 500_000_000, 2, release)
    releasing.start()
    releasing.add([PendingRelease("q", "", 0, None, time.monotonic_ns())])
    assert wait_for(lambda: tried == ["q", "q"] and not len(releasing))
    releasing.stop(0.0)


def test_a_defect_in_a_request_leaves_nothing_in_the_books_and_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """The client was cut off without an answer, and the router counted its attempt as out for ever."""
    with platform() as world, node(world) as made:
        client = Client(world.listen)
        assert round_trip(client, "q0")[0].status == 200
        real = made.engines.start

        def broken(*args: Any, **more: Any) -> Any:
            raise RuntimeError("a defect")

        monkeypatch.setattr(made.engines, "start", broken)
        assert round_trip(Client(world.listen), "q1")[0].status == 500
        monkeypatch.setattr(made.engines, "start", real)
        router: Any = made.core.router
        assert wait_for(lambda: not router.requests and not made.core.open_requests)
        assert not any(s.unanswered or s.streams or s.held_states or s.pending_tokens for s in router.servers.values())
        monkeypatch.setattr(made.engines, "start", lambda *args, **more: (_ for _ in ()).throw(MemoryError()))
        assert round_trip(Client(world.listen), "q2")[0].status == 503
        monkeypatch.setattr(made.engines, "start", real)
        assert round_trip(Client(world.listen), "q3")[0].status == 200 and wait_for(lambda: not router.requests)


def test_the_core_still_answers_after_its_router_failed_once() -> None:
    class Once:
        def __init__(self) -> None:
            self.calls = 0

        def handle(self, now: int, event: api.Event) -> list[api.Action]:
            self.calls += 1
            if self.calls == 1:
                raise KeyError("a defect")
            return []

    router = Once()
    core = Core(router, lambda: 0, log=lambda text: None)
    with pytest.raises(KeyError):
        core.handle_event(api.TimerFired(0))
    core.handle_event(api.TimerFired(0))
    assert router.calls == 2
