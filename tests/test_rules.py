"""The five invariants of the router as properties, under random outcomes with fixed seeds."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from stonetrack import api
from stonetrack.logic import MS, SECOND
from tests.router_fixture import CLASS, FLEET, MIXED, SETTINGS, RouterFixture, entry

UNPROVEN = {api.Outcome.ERROR, api.Outcome.TIMED_OUT, api.Outcome.RESET, api.Outcome.CANCELLED}


class World:
    """Servers with random outcomes; each action is checked against the invariants."""

    def __init__(self, settings: api.Settings, fleet: tuple[api.ServerEntry, ...], seed: int) -> None:
        self.draw = random.Random(seed)
        self.settings = settings
        self.fixture = RouterFixture(settings, fleet)
        self.fleet = {e.server: e for e in fleet}
        self.open: dict[str, int] = {}  # deadline of each request that is not answered
        self.answered: set[str] = set()
        self.tries: dict[str, int] = {}
        self.out: dict[str, tuple[api.Send, int, int, int]] = {}  # send, attempt number, sent at, ends at
        self.held: dict[str, int] = {}  # held states and reservations, since when
        self.ran: dict[str, tuple[str, int]] = {}
        self.cls: dict[str, api.RequestClass] = {}
        self.streaming: set[str] = set()
        self.drained: dict[str, int] = {}
        self.count = 0

    @property
    def now(self) -> int:
        return self.fixture.now

    def check(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.Send(name, server, limit):
                    assert name in self.open, "a send for a request that has ended"
                    assert name not in self.out, "two attempts out at once"
                    assert server not in self.drained, "a send to a draining server"
                    assert self.fleet[server].state is api.ServerState.UP
                    self.check_repeat(name, server)
                    number = self.tries.get(name, 0)
                    assert number < self.settings.max_attempts
                    self.tries[name] = number + 1
                    limit = min(limit or 1 << 62, self.open[name] - self.now)
                    span = self.draw.choice([20, 80, 300, 2_000, 30_000]) * MS
                    self.out[name] = (action, number, self.now, self.now + min(span, limit))
                case api.HoldPlace(name, server):
                    assert name in self.out
                    assert server not in self.drained
                    self.held[name] = self.now
                case api.Release(name):
                    self.held.pop(name, None)
                case api.Refuse(name):
                    self.final_answer(name)
                    cls = self.cls[name]
                    if name in self.ran and cls.effect is not api.Effect.SAFE:
                        assert cls.effect is api.Effect.KEYED and cls.scope is api.Scope.ALL
                case api.Fail(name):
                    self.final_answer(name)
                case api.Cancel(name, number):
                    assert self.settings.may_cancel
                    send, attempt, sent, _ = self.out[name]
                    assert attempt == number and name not in self.streaming
                    self.out[name] = (send, attempt, sent, self.now)
                case _:
                    pass

    def final_answer(self, name: str) -> None:
        assert name in self.open and name not in self.answered, "a second final answer"
        assert name not in self.out or name not in self.streaming
        self.answered.add(name)
        del self.open[name]

    def check_repeat(self, name: str, server: str) -> None:
        cls = self.cls[name]
        if name not in self.ran or cls.effect is api.Effect.SAFE:
            return
        assert cls.effect is api.Effect.KEYED, "an unsafe request that may have run is sent again"
        first, at = self.ran[name]
        assert self.now < at + cls.key_window
        if cls.scope is api.Scope.CELL:
            assert self.fleet[server].cell == self.fleet[first].cell

    def end_attempt(self, name: str) -> None:
        send, number, sent, _ = self.out.pop(name)
        prefills = self.fleet[send.server].kind == 0
        timed_out = self.now >= self.fixture.now and name in self.open and self.now >= self.open[name]
        if name in self.streaming:
            self.streaming.discard(name)
            result = self.draw.choice([api.Outcome.SERVED, api.Outcome.RESET])
            finished = True
        else:
            good = api.Outcome.READ if prefills else api.Outcome.SERVED
            result = (
                api.Outcome.TIMED_OUT
                if timed_out
                else self.draw.choice(
                    [
                        good,
                        good,
                        good,
                        api.Outcome.ERROR,
                        api.Outcome.FULL,
                        api.Outcome.TIMED_OUT,
                        api.Outcome.CONNECT_FAILED,
                        api.Outcome.RESET,
                    ]
                )
            )
            finished = result is api.Outcome.SERVED or name not in self.open
        missing = result is api.Outcome.FULL and not prefills and self.draw.random() < 0.5
        if not prefills and result in UNPROVEN and name not in self.ran:
            self.ran[name] = (send.server, sent)
        if result is api.Outcome.READ:
            self.held[name] = self.now
        elif result is api.Outcome.SERVED:
            self.held.pop(name, None)
            self.open.pop(name, None)
        elif name in self.held:
            self.held[name] = self.now
        if finished:
            self.open.pop(name, None)
        self.check(
            self.fixture.handle(
                api.AttemptEnded(name, number, send.server, result, self.now - sent, finished, 0, missing)
            )
        )

    def step(self) -> None:
        self.fixture.now += 10 * MS
        if self.draw.random() < 0.3 and self.count < 150:
            self.count += 1
            name = f"q{self.count}"
            index = self.draw.randrange(len(self.settings.classes))
            self.cls[name] = self.settings.classes[index]
            left = self.draw.choice([300, 2_000, 8_000]) * MS
            self.open[name] = self.now + left
            self.check(self.fixture.arrive(name, session=f"s{self.count % 9}", left=left, class_index=index))
        for name in list(self.out):
            if name not in self.out:
                continue
            send, number, sent, ends = self.out[name]
            prefills = self.fleet[send.server].kind == 0
            if ends <= self.now:
                self.end_attempt(name)
            elif not prefills and name in self.open.keys() - self.streaming and self.draw.random() < 0.05:
                self.streaming.add(name)
                self.held.pop(name, None)
                self.open[name] += 1 << 50
                self.out[name] = (send, number, sent, self.now + 500 * MS)
                self.check(self.fixture.handle(api.FirstToken(name, number, send.server, self.now - sent)))
        if self.draw.random() < 0.02 and self.open:
            name = self.draw.choice(sorted(self.open))
            if name not in self.streaming:
                del self.open[name]
                self.check(self.fixture.handle(api.RequestGone(name)))
        if self.draw.random() < 0.01 and len(self.drained) < 2:
            server = self.draw.choice(sorted(self.fleet))
            self.drained[server] = self.now
            change = replace(self.fleet[server], state=api.ServerState.DRAINING)
            self.check(self.fixture.handle(api.ServerList(api.ListKind.CHANGES, 2, (change,))))
        if self.now % (50 * MS) == 0:
            self.check(self.fixture.handle(api.TimerFired(0)))
        for name, deadline in self.open.items():
            assert self.now <= deadline, f"{name} has no answer in time"
        for name, since in self.held.items():
            if name not in self.out:
                assert self.now - since <= self.settings.release_within, f"{name} is held too long"


SAFE = SETTINGS
CLASSES = (
    CLASS,
    replace(CLASS, effect=api.Effect.UNSAFE),
    replace(CLASS, effect=api.Effect.KEYED, key_window=SECOND, scope=api.Scope.ALL),
    replace(CLASS, effect=api.Effect.KEYED, key_window=3 * SECOND, scope=api.Scope.CELL),
)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(
    "settings, fleet",
    [
        (SAFE, FLEET),
        (replace(SAFE, classes=CLASSES), FLEET),
        (replace(SAFE, classes=CLASSES, may_hold_place=True, may_move=True), FLEET),
        (replace(SAFE, classes=CLASSES, may_cancel=False), (*FLEET, entry("m0", MIXED), entry("m1", MIXED))),
        (replace(SAFE, max_attempts=2), FLEET[:1] + FLEET[4:5]),
    ],
)
def test_invariants_hold_under_random_outcomes(
    settings: api.Settings, fleet: tuple[api.ServerEntry, ...], seed: int
) -> None:
    world = World(settings, fleet, seed)
    for _ in range(2500):
        world.step()
    assert world.count == 150
    assert not world.open and not world.held
    assert not world.out
    router = world.fixture.router
    assert not router.requests and not router.waiting_requests, "requests that ended are still known"
    assert all(not s.unanswered and not s.streams and not s.held_states for s in router.servers.values())


def test_no_send_after_a_drain_in_the_server_list() -> None:
    fixture = RouterFixture()
    fixture.handle(
        api.ServerList(api.ListKind.CHANGES, 2, tuple(replace(e, state=api.ServerState.DRAINING) for e in FLEET[:3]))
    )
    assert {fixture.run_request(f"q{n}") for n in range(12)} == {"r3"}


def test_a_server_missing_from_a_full_list_is_removed() -> None:
    fixture = RouterFixture()
    fixture.handle(api.ServerList(api.ListKind.FULL, 2, FLEET[3:]))
    assert set(fixture.router.servers) == {e.server for e in FLEET[3:]}
