"""The requests of a fleet in simulated time: it serves, repeats itself, and its cold engines are judged."""

from __future__ import annotations

from collections import Counter

import pytest

from benchmarks.cold import one, settings
from stonetrack import logic
from stonetrack.api import Role
from stonetrack.emulator.engine import Spec
from stonetrack.fleet.rules import Judge
from stonetrack.fleet.serving import SECOND, Ask, Play
from stonetrack.fleet.traffic import Traffic

SPECS = [Spec(name=f"{role[0]}{n}", role=Role(role), warm_ms=4_000) for role in ("reader", "writer") for n in range(3)]
ASKS = [Ask(n * 20_000_000, f"q{n}", n % 4, 400 + n, f"s{n % 9}", "b", 200) for n in range(200)]


def play(seed: int = 1, crash: bool = False) -> Play:
    made = Play(settings(4), SPECS, seed)
    if crash:
        made.crash("r0", 1.0, 0.5)
        made.crash("w1", 1.5, 0.5)
    return made


def test_a_calm_fleet_serves_all_and_the_same_seed_gives_the_same_play() -> None:
    first, again = play(), play()
    made = first.run(ASKS, 12.0)
    assert Counter(each.ended for each in made) == {"served": len(ASKS)}
    assert all(0 < each.first - each.ask.at - SECOND < 2 * SECOND and each.attempts == 2 for each in made)
    again.run(ASKS, 12.0)
    assert first.log == again.log


def test_engines_that_crash_cost_attempts_and_no_overlap() -> None:
    made = play(crash=True)
    answered = made.run(ASKS, 12.0)
    ended = Counter(each.ended for each in answered)
    assert ended["served"] >= 0.9 * len(ASKS) and ended["open"] == 0
    assert any(each.attempts > 2 for each in answered)
    ups = [r for r in made.log if r["what"] == "up" and r["cold"]]
    assert [r["engine"] for r in ups] == ["r0", "w1"]
    assert not list(Judge([], made.log, [], [Traffic(name="chat")]).cold())


def test_a_request_that_nobody_may_take_ends_all_the_same() -> None:
    made = Play(settings(1), [Spec(name="w0", role=Role.DECODE)], 1)
    (answered,) = made.run([Ask(0, "q", 0, 300)], 8.0)
    assert answered.ended == "refused" and answered.attempts == 0


@pytest.mark.parametrize("nodes", [1, 24])
def test_cold_engines_bear_twice_what_the_readers_can_do(nodes: int) -> None:
    for which in ("all", "one"):
        used, served, fell = one((which, nodes, 2.0, 3))
        assert used <= 1.0 and not fell and served > 0.3, (which, used, served)


def test_a_module_that_knows_no_cold_pushes_them_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """The negative control: the judge of the same play sees engines that fall."""
    monkeypatch.setattr(logic, "SLOW_START_TARGET_SHARE", 8.0)
    assert one(("all", 24, 3.0, 3))[2] > 0
