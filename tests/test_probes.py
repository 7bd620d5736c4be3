"""Prefill engines are probed for their load before a prompt is sent, and before a late one is sent again."""

from __future__ import annotations

from dataclasses import replace

import pytest

from stonetrack import api
from stonetrack.logic import FRESH_REPORT_NS, MS, PROBE_WAIT_NS
from tests.router_fixture import CLASS, DECODE, PREFILL, SETTINGS, RouterFixture, entry, of_type, single

MANY = (*(entry(f"r{n}", PREFILL) for n in range(12)), *(entry(f"w{n}", DECODE) for n in range(4)))
PROBING = replace(SETTINGS, may_probe=True, report_source=api.ReportSource.ANSWERS, routers=200)


def report(fixture: RouterFixture, server: str, waiting: float) -> list[api.Action]:
    load = api.LoadReport(1.0, 0.0, 0.1, waiting)
    return fixture.handle(api.ProbeEnded(server, api.Outcome.SERVED, 2 * MS, load))


def with_latencies(settings: api.Settings = PROBING) -> RouterFixture:
    """A router that knows how long a prefill takes: 1,600 tokens in 0.1 s."""
    fixture = RouterFixture(settings, MANY)
    for n in range(4):
        for probe in of_type(fixture.arrive(f"warm{n}"), api.Probe):
            sent = of_type(report(fixture, probe.server, 0.0), api.Send)
        fixture.serve(fixture.finish_prefill(sent[0]))
    fixture.advance(2 * FRESH_REPORT_NS)
    return fixture


def probed_pair(fixture: RouterFixture, name: str, **more: object) -> tuple[str, str]:
    """The two engines that are probed; nothing is sent meanwhile."""
    got = fixture.arrive(name, **more)  # type: ignore[arg-type]
    assert not of_type(got, api.Send)
    first, second = (probe.server for probe in of_type(got, api.Probe))
    return first, second


@pytest.mark.parametrize(("loads", "chosen"), [
    ((0.0, 0.0), 0),
    ((3_000.0, 0.0), 0),  # the preferred replica, while that takes little of the latency target
    ((40_000.0, 0.0), 1),
    ((30_000.0, 40_000.0), 0),  # both take long: the one with less work
    ((40_000.0, 30_000.0), 1),
])  # fmt: skip
def test_the_engine_with_room_gets_the_request(loads: tuple[float, float], chosen: int) -> None:
    fixture = with_latencies()
    pair = probed_pair(fixture, "q", shared_prefix="b", shared=800)
    assert not of_type(report(fixture, pair[0], loads[0]), api.Send)
    assert single(report(fixture, pair[1], loads[1]), api.Send).server == pair[chosen]


@pytest.mark.parametrize(("loads", "chosen"), [((1_500.0, 0.0), 0), ((1_700.0, 0.0), 1), ((9_000.0, 8_000.0), 0)])
def test_a_router_without_latencies_compares_backlogs(loads: tuple[float, float], chosen: int) -> None:
    """After a restart of all routers at once: without latencies no engine looks crowded, and all requests would go to
    the preferred replicas."""
    fixture = RouterFixture(PROBING, MANY)
    pair = probed_pair(fixture, "q", shared_prefix="b", shared=800, prompt=1_600)
    report(fixture, pair[0], loads[0])
    assert single(report(fixture, pair[1], loads[1]), api.Send).server == pair[chosen]


@pytest.mark.parametrize(("waiting", "calls"), [(2_000.0, 0), (1_000.0, 1)])
def test_a_router_without_latencies_waits_for_a_prefill_engine_with_work(waiting: float, calls: int) -> None:
    fixture = RouterFixture(PROBING, MANY)
    for server in probed_pair(fixture, "q", prompt=1_600):
        got = report(fixture, server, 0.0)
    cancels = 0
    for _ in range(24):
        got = fixture.advance(50 * MS)
        for probe in of_type(got, api.Probe):
            got = got + report(fixture, probe.server, waiting)
        cancels += len(of_type(got, api.Cancel))
    assert cancels == calls


def report_late(fixture: RouterFixture, pair: tuple[str, str]) -> list[api.Action]:
    """Both engines report work that takes far too long."""
    report(fixture, pair[0], 900_000.0)
    return report(fixture, pair[1], 800_000.0)


def test_two_others_are_probed_before_a_refusal_and_one_with_room_gets_the_request() -> None:
    fixture = with_latencies()
    pair = probed_pair(fixture, "q", shared_prefix="b", shared=800)
    got = report_late(fixture, pair)
    others = [probe.server for probe in of_type(got, api.Probe)]
    assert not of_type(got, api.Refuse) and len(others) == 2 and not set(others) & set(pair)
    assert not of_type(report(fixture, others[0], 850_000.0), api.Send)
    assert single(report(fixture, others[1], 500.0), api.Send).server == others[1]


def test_where_the_others_are_full_too_it_is_refused_and_no_other_is_probed() -> None:
    fixture = with_latencies()
    others = [
        probe.server
        for probe in of_type(report_late(fixture, probed_pair(fixture, "q", shared_prefix="b", shared=800)), api.Probe)
    ]
    report(fixture, others[0], 850_000.0)
    got = report(fixture, others[1], 850_000.0)
    assert of_type(got, api.Refuse) and not of_type(got, api.Probe)


def test_one_of_the_others_that_is_half_full_does_not_prefill_it_again() -> None:
    """40,000 tokens take 0.65 of the latency target: the preferred replicas might be sent the prompt, others not."""
    fixture = with_latencies()
    others = [
        probe.server
        for probe in of_type(report_late(fixture, probed_pair(fixture, "q", shared_prefix="b", shared=800)), api.Probe)
    ]
    report(fixture, others[0], 40_000.0)
    got = report(fixture, others[1], 40_000.0)
    assert of_type(got, api.Refuse) and not of_type(got, api.Send)
    pair = probed_pair(fixture, "q2", shared_prefix="b2", shared=800)
    assert of_type(report(fixture, pair[0], 40_000.0) + report(fixture, pair[1], 900_000.0), api.Send)


def test_a_report_that_grows_old_while_others_are_awaited_is_renewed() -> None:
    """Otherwise its engine looked empty once the others had reported, and got a request that it had no room for."""
    fixture = with_latencies()
    pair = probed_pair(fixture, "q1", shared_prefix="b", shared=800)
    others = [probe.server for probe in of_type(report_late(fixture, pair), api.Probe)]
    for server in others:
        report(fixture, server, 850_000.0)
    fixture.advance(FRESH_REPORT_NS - 5 * MS)
    got = fixture.arrive("q2", shared_prefix="b", shared=800)
    answered = 0
    while len(probes := of_type(got, api.Probe)) > answered:
        got = got + fixture.advance(5 * MS) + report(fixture, probes[answered].server, 850_000.0)
        answered += 1
    got = got + fixture.advance(PROBE_WAIT_NS + 50 * MS)
    assert not of_type(got, api.Send) and len(of_type(got, api.Refuse)) == 1


def test_others_with_fresh_reports_are_chosen_without_a_probe() -> None:
    fixture = with_latencies()
    for n in range(12):
        report(fixture, f"r{n}", 500.0)
    pair = probed_pair_again(fixture)
    got = report_late(fixture, pair) + fixture.advance(50 * MS)
    assert not of_type(got, api.Refuse) and single(got, api.Send).server not in pair


def probed_pair_again(fixture: RouterFixture) -> tuple[str, str]:
    """The two engines probed for a request: their reports have just grown old, those of the others have not."""
    probe = RouterFixture(PROBING, MANY)
    first, second = probed_pair(probe, "q", shared_prefix="b", shared=800)
    fixture.advance(FRESH_REPORT_NS - 100 * MS)
    for n in range(12):
        if f"r{n}" not in (first, second):
            report(fixture, f"r{n}", 500.0)
    fixture.advance(150 * MS)
    return probed_pair(fixture, "q", shared_prefix="b", shared=800)


def test_routers_that_share_nothing_probe_the_same_two() -> None:
    pairs = set()
    for router in range(20):
        fixture = RouterFixture(replace(PROBING, router=router), MANY)
        pairs.add(probed_pair(fixture, f"q{router}", session="same", shared_prefix="b", shared=800))
    assert len(pairs) == 1


def test_a_probe_without_an_answer_is_not_waited_for() -> None:
    fixture = with_latencies()
    first, _ = probed_pair(fixture, "q")
    assert not of_type(fixture.advance(PROBE_WAIT_NS - MS), api.Send)
    assert single(fixture.advance(50 * MS), api.Send).server == first


def test_a_prefill_engine_whose_probe_fails_is_not_chosen() -> None:
    fixture = with_latencies()
    first, second = probed_pair(fixture, "q")
    report(fixture, second, 0.0)
    got = fixture.handle(api.ProbeEnded(first, api.Outcome.TIMED_OUT, 30 * MS))
    assert single(got, api.Send).server == second


def test_a_fresh_report_needs_no_probe() -> None:
    fixture = with_latencies()
    pair = probed_pair(fixture, "q1", session="s")
    for server in pair:
        report(fixture, server, 0.0)
    got = fixture.arrive("q2", session="s")
    assert not of_type(got, api.Probe) and single(got, api.Send).server == pair[0]


@pytest.mark.parametrize(
    "settings",
    [
        replace(PROBING, may_probe=False),
        replace(PROBING, report_source=api.ReportSource.NONE),
        replace(PROBING, report_source=api.ReportSource.PROBES),
    ],
)
def test_no_probes_without_permission_or_reports_in_answers(settings: api.Settings) -> None:
    fixture = RouterFixture(settings, MANY)
    assert not [p for p in of_type(fixture.arrive("q"), api.Probe) if p.server.startswith("r")]


def test_no_probes_with_few_prefill_engines() -> None:
    few = RouterFixture(PROBING, MANY[:4] + MANY[12:])
    assert not of_type(few.arrive("q"), api.Probe)


@pytest.mark.parametrize(("waiting", "calls"), [(60_000.0, 0), (0.0, 1)])
def test_a_late_attempt_is_cancelled_unless_its_prefill_engine_reports_work(waiting: float, calls: int) -> None:
    fixture = with_latencies()
    for server in probed_pair(fixture, "q"):
        got = report(fixture, server, 0.0)
    server = single(got, api.Send).server
    cancels = 0
    for _ in range(24):
        got = fixture.advance(50 * MS)
        for probe in of_type(got, api.Probe):
            assert probe.server == server
            got = got + report(fixture, server, waiting)
        cancels += len(of_type(got, api.Cancel))
    assert cancels == calls


def test_a_late_attempt_is_cancelled_if_its_prefill_engine_does_not_report() -> None:
    fixture = with_latencies()
    for server in probed_pair(fixture, "q"):
        got = report(fixture, server, 0.0)
    assert single(got, api.Send)
    assert of_type(fixture.advance(CLASS.first_token_aim), api.Cancel)
