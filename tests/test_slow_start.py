"""Slow start: the budget of an engine holds for the sum of all nodes, whatever a node knows, and counts every call."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from benchmarks.ramps import NODES, bound, most_calls, random_slow_start
from stonetrack import api, logic
from stonetrack.logic import MS, SECOND, hash_fraction
from tests.router_fixture import DECODE, PREFILL, SETTINGS, RouterFixture, entry, of_type, single

SLOW_STARTS = 50  # for each number of nodes; benchmarks/ramps.py runs a thousand
ANSWERS = replace(SETTINGS, report_source=api.ReportSource.ANSWERS, may_probe=True, may_hold_place=True)


@pytest.mark.parametrize("nodes", NODES)
def test_no_drawn_slow_start_exceeds_its_budget_up_to_three_times_capacity(nodes: int) -> None:
    draw = random.Random(f"ramps {nodes}")
    for _ in range(SLOW_STARTS):
        slow_start = random_slow_start(draw, nodes)
        most = most_calls(slow_start, draw)
        assert most <= bound(slow_start.budget), slow_start


def test_slow_starts_exceed_their_budget_where_every_arrival_counts_as_carried(monkeypatch: pytest.MonkeyPatch) -> None:
    """Negative control: a share of all arrivals, however many the fleet carries, at three times capacity."""
    monkeypatch.setattr(logic, "SLOW_START_TARGET_SHARE", 0.5)
    monkeypatch.setattr(logic, "PRIOR_CARRIED_SHARE", 1.0)
    monkeypatch.setattr(logic.Router, "_recent_flow", lambda self, what: 0.0)
    draw = random.Random("control")
    slow_starts = [replace(random_slow_start(draw, 10), load_before=3.0, load=3.0) for _ in range(SLOW_STARTS)]
    assert any(most_calls(slow_start, draw) > bound(slow_start.budget) for slow_start in slow_starts)


def test_the_share_is_of_the_servers_role_however_few_are_candidates() -> None:
    """A single candidate must not get the share of a fleet of one (0.38 of all requests)."""
    decode_engines = [entry(f"w{n}", DECODE) for n in range(8)]
    fixture = RouterFixture(ANSWERS, (entry("r0", PREFILL), *decode_engines))
    budget = SETTINGS.cold_multiple * SETTINGS.cold_share / len(decode_engines)
    sent, eligible_alone, names = 0, 0, [f"q{n}" for n in range(60)]
    for name in names:
        send = single(fixture.arrive(name), api.Send)
        cold = fixture.router.servers["w3"]
        fixture.handle(api.ServerList(api.ListKind.CHANGES, 2, (entry("w3", DECODE, started=fixture.now),)))
        eligible_alone += bool(fixture.router._eligible([cold], fixture.router.requests[name]))
        decode = single(fixture.end_attempt(send, api.Outcome.READ, 0, 1 * MS), api.Send)
        sent += decode.server == "w3"
        fixture.handle(api.ServerList(api.ListKind.CHANGES, 3, (entry("w3", DECODE),)))
        fixture.handle(api.FirstToken(name, 1, decode.server, 1 * MS))
        fixture.end_attempt(decode, api.Outcome.SERVED, 1, 1 * MS, finished=True)
    assert sent <= eligible_alone <= budget * len(names)


def test_an_engine_of_less_weight_gets_less() -> None:
    light = [entry("r0", PREFILL, started=100 * SECOND, weight=0.25), *(entry(f"r{n}", PREFILL) for n in range(1, 4))]
    fixture = RouterFixture(fleet=(*light, entry("w0", DECODE)))
    shares = fixture.router._slow_start_share(api.Role.PREFILL) * fixture.router.servers["r0"].weight
    even = RouterFixture(fleet=(entry("r0", PREFILL, started=100 * SECOND), *light[1:], entry("w0", DECODE)))
    assert shares == pytest.approx(even.router._slow_start_share(api.Role.PREFILL) * 0.25 * 4 / 3.25)


def test_no_reservation_and_no_probe_goes_to_an_engine_in_slow_start() -> None:
    """Each call counts against the budget there, so the budget is spent on sends alone."""
    settings = replace(ANSWERS, report_source=api.ReportSource.PROBES)
    for fleet_settings in (ANSWERS, settings):
        cold = (*(entry(f"r{n}", PREFILL) for n in range(14)),
                *(entry(f"w{n}", DECODE, started=100 * SECOND) for n in range(3)), entry("w3", DECODE))  # fmt: skip
        called = set()
        for n in range(300):
            fixture = RouterFixture(fleet_settings, cold)
            fixture.arrive(f"q{n}")
            called |= {a.server for a in fixture.actions if isinstance(a, (api.Probe, api.HoldPlace))}
        assert called and not called & {"w0", "w1", "w2"}


def test_a_prefill_engine_in_slow_start_is_neither_probed_nor_waited_for() -> None:
    fleet = (*(entry(f"r{n}", PREFILL, started=100 * SECOND if n < 7 else 0) for n in range(14)), entry("w0", DECODE))
    probed, sent_to = set(), set()
    for n in range(600):
        fixture = RouterFixture(ANSWERS, fleet)
        fixture.arrive(f"q{n}")
        probed |= {a.server for a in of_type(fixture.actions, api.Probe)}
        fixture.advance(150 * MS)
        sent_to |= {send.server for send in of_type(fixture.actions, api.Send)}
    cold = {f"r{n}" for n in range(7)}
    assert probed and not probed & cold and sent_to & cold


def test_a_request_is_sent_to_an_engine_in_slow_start_once_also_after_its_state_was_lost() -> None:
    """A decode engine that answers that the state is gone has had its call."""
    fleet = (
        entry("r0", PREFILL),
        entry("r1", PREFILL),
        *(entry(f"w{n}", DECODE, started=100 * SECOND) for n in range(2)),
    )
    tried = 0
    for n in range(400):
        fixture = RouterFixture(fleet=fleet)
        prefill = single(fixture.arrive(f"q{n}"), api.Send)
        decodes = of_type(fixture.end_attempt(prefill, api.Outcome.READ, 0, 1 * MS), api.Send)
        if not decodes:
            continue
        tried += 1
        again = of_type(fixture.end_attempt(decodes[0], api.Outcome.FULL, 1, 1 * MS, state_missing=True), api.Send)
        if again:
            assert again[0].server[0] == "r"
            later = of_type(fixture.end_attempt(again[0], api.Outcome.READ, 2, 1 * MS), api.Send) + of_type(
                fixture.advance(4 * SECOND), api.Send
            )
            assert decodes[0].server not in {send.server for send in later}
    assert tried > 4


def test_where_all_are_in_slow_start_some_requests_are_sent() -> None:
    fleet = (*(entry(f"r{n}", PREFILL, started=100 * SECOND) for n in range(4)), entry("w0", DECODE))
    names = [f"q{n}" for n in range(400)]
    sent = [name for name in names if of_type(RouterFixture(fleet=fleet).arrive(name), api.Send)]
    share = logic.SLOW_START_TARGET_SHARE * SETTINGS.cold_multiple * SETTINGS.cold_share * logic.PRIOR_CARRIED_SHARE / 4
    assert sent == [name for name in names if any(hash_fraction(name, f"r{n}") < share for n in range(4))] and sent


def test_a_probe_that_could_not_be_sent_ejects_no_server() -> None:
    fixture = RouterFixture()
    fixture.handle(api.ProbeEnded("r0", api.Outcome.NOT_SENT, 1 * MS))
    assert not fixture.router.servers["r0"].ejections
    fixture.handle(api.ProbeEnded("r0", api.Outcome.TIMED_OUT, 1 * MS))
    assert fixture.router.servers["r0"].ejections
