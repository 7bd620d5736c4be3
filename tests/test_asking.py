"""Prefill engines are probed for their load before a prompt is sent, and before a late one is sent again."""

from __future__ import annotations

from dataclasses import replace

import pytest

from stonetrack import api
from stonetrack.logic import FRESH_REPORT_NS, MS, PROBE_WAIT_NS
from tests.bed import CLASS, DECODE, PREFILL, SETTINGS, Bed, entry, of, only

MANY = (*(entry(f"r{n}", PREFILL) for n in range(12)), *(entry(f"w{n}", DECODE) for n in range(4)))
ASKING = replace(SETTINGS, may_probe=True, report_source=api.ReportSource.ANSWERS, routers=200)


def report(bed: Bed, server: str, waiting: float) -> list[api.Action]:
    load = api.LoadReport(1.0, 0.0, 0.1, waiting)
    return bed.give(api.ProbeEnded(server, api.Outcome.SERVED, 2 * MS, load))


def with_latencies(settings: api.Settings = ASKING) -> Bed:
    """A router that knows how long a prefill takes: 1,600 tokens in 0.1 s."""
    bed = Bed(settings, MANY)
    for n in range(4):
        for probe in of(bed.ask(f"warm{n}"), api.Probe):
            sent = of(report(bed, probe.server, 0.0), api.Send)
        bed.serve(bed.read(sent[0]))
    bed.wait(2 * FRESH_REPORT_NS)
    return bed


def probed_pair(bed: Bed, name: str, **more: object) -> tuple[str, str]:
    """The two engines that are probed; nothing is sent meanwhile."""
    got = bed.ask(name, **more)  # type: ignore[arg-type]
    assert not of(got, api.Send)
    first, second = (probe.server for probe in of(got, api.Probe))
    return first, second


@pytest.mark.parametrize(("loads", "chosen"), [
    ((0.0, 0.0), 0),
    ((3_000.0, 0.0), 0),  # the preferred replica, while that takes little of the latency target
    ((40_000.0, 0.0), 1),
    ((30_000.0, 40_000.0), 0),  # both take long: the one with less work
    ((40_000.0, 30_000.0), 1),
])  # fmt: skip
def test_the_engine_with_room_gets_the_request(loads: tuple[float, float], chosen: int) -> None:
    bed = with_latencies()
    pair = probed_pair(bed, "q", beginning="b", shared=800)
    assert not of(report(bed, pair[0], loads[0]), api.Send)
    assert only(report(bed, pair[1], loads[1]), api.Send).server == pair[chosen]


@pytest.mark.parametrize(("loads", "chosen"), [((1_500.0, 0.0), 0), ((1_700.0, 0.0), 1), ((9_000.0, 8_000.0), 0)])
def test_a_router_without_latencies_compares_backlogs(loads: tuple[float, float], chosen: int) -> None:
    """After a restart of all routers at once: without latencies no engine looks crowded, and all requests would go to
    the preferred replicas."""
    bed = Bed(ASKING, MANY)
    pair = probed_pair(bed, "q", beginning="b", shared=800, prompt=1_600)
    report(bed, pair[0], loads[0])
    assert only(report(bed, pair[1], loads[1]), api.Send).server == pair[chosen]


@pytest.mark.parametrize(("waiting", "calls"), [(2_000.0, 0), (1_000.0, 1)])
def test_a_router_without_latencies_waits_for_a_prefill_engine_with_work(waiting: float, calls: int) -> None:
    bed = Bed(ASKING, MANY)
    for server in probed_pair(bed, "q", prompt=1_600):
        got = report(bed, server, 0.0)
    cancels = 0
    for _ in range(24):
        got = bed.wait(50 * MS)
        for probe in of(got, api.Probe):
            got = got + report(bed, probe.server, waiting)
        cancels += len(of(got, api.Cancel))
    assert cancels == calls


def report_late(bed: Bed, pair: tuple[str, str]) -> list[api.Action]:
    """Both engines report work that takes far too long."""
    report(bed, pair[0], 900_000.0)
    return report(bed, pair[1], 800_000.0)


def test_two_others_are_probed_before_a_refusal_and_one_with_room_gets_the_request() -> None:
    bed = with_latencies()
    pair = probed_pair(bed, "q", beginning="b", shared=800)
    got = report_late(bed, pair)
    others = [probe.server for probe in of(got, api.Probe)]
    assert not of(got, api.Refuse) and len(others) == 2 and not set(others) & set(pair)
    assert not of(report(bed, others[0], 850_000.0), api.Send)
    assert only(report(bed, others[1], 500.0), api.Send).server == others[1]


def test_where_the_others_are_full_too_it_is_refused_and_no_other_is_probed() -> None:
    bed = with_latencies()
    others = [
        probe.server for probe in of(report_late(bed, probed_pair(bed, "q", beginning="b", shared=800)), api.Probe)
    ]
    report(bed, others[0], 850_000.0)
    got = report(bed, others[1], 850_000.0)
    assert of(got, api.Refuse) and not of(got, api.Probe)


def test_one_of_the_others_that_is_half_full_does_not_prefill_it_again() -> None:
    """40,000 tokens take 0.65 of the latency target: the preferred replicas might be sent the prompt, others not."""
    bed = with_latencies()
    others = [
        probe.server for probe in of(report_late(bed, probed_pair(bed, "q", beginning="b", shared=800)), api.Probe)
    ]
    report(bed, others[0], 40_000.0)
    got = report(bed, others[1], 40_000.0)
    assert of(got, api.Refuse) and not of(got, api.Send)
    pair = probed_pair(bed, "q2", beginning="b2", shared=800)
    assert of(report(bed, pair[0], 40_000.0) + report(bed, pair[1], 900_000.0), api.Send)


def test_a_report_that_grows_old_while_others_are_awaited_is_renewed() -> None:
    """Otherwise its engine looked empty once the others had reported, and got a request that it had no room for."""
    bed = with_latencies()
    pair = probed_pair(bed, "q1", beginning="b", shared=800)
    others = [probe.server for probe in of(report_late(bed, pair), api.Probe)]
    for server in others:
        report(bed, server, 850_000.0)
    bed.wait(FRESH_REPORT_NS - 5 * MS)
    got = bed.ask("q2", beginning="b", shared=800)
    answered = 0
    while len(probes := of(got, api.Probe)) > answered:
        got = got + bed.wait(5 * MS) + report(bed, probes[answered].server, 850_000.0)
        answered += 1
    got = got + bed.wait(PROBE_WAIT_NS + 50 * MS)
    assert not of(got, api.Send) and len(of(got, api.Refuse)) == 1


def test_others_with_fresh_reports_are_chosen_without_a_probe() -> None:
    bed = with_latencies()
    for n in range(12):
        report(bed, f"r{n}", 500.0)
    pair = probed_pair_again(bed)
    got = report_late(bed, pair) + bed.wait(50 * MS)
    assert not of(got, api.Refuse) and only(got, api.Send).server not in pair


def probed_pair_again(bed: Bed) -> tuple[str, str]:
    """The two engines probed for a request: their reports have just grown old, those of the others have not."""
    probe = Bed(ASKING, MANY)
    first, second = probed_pair(probe, "q", beginning="b", shared=800)
    bed.wait(FRESH_REPORT_NS - 100 * MS)
    for n in range(12):
        if f"r{n}" not in (first, second):
            report(bed, f"r{n}", 500.0)
    bed.wait(150 * MS)
    return probed_pair(bed, "q", beginning="b", shared=800)


def test_routers_that_share_nothing_probe_the_same_two() -> None:
    pairs = set()
    for router in range(20):
        bed = Bed(replace(ASKING, router=router), MANY)
        pairs.add(probed_pair(bed, f"q{router}", session="same", beginning="b", shared=800))
    assert len(pairs) == 1


def test_a_probe_without_an_answer_is_not_waited_for() -> None:
    bed = with_latencies()
    first, _ = probed_pair(bed, "q")
    assert not of(bed.wait(PROBE_WAIT_NS - MS), api.Send)
    assert only(bed.wait(50 * MS), api.Send).server == first


def test_a_prefill_engine_whose_probe_fails_is_not_chosen() -> None:
    bed = with_latencies()
    first, second = probed_pair(bed, "q")
    report(bed, second, 0.0)
    got = bed.give(api.ProbeEnded(first, api.Outcome.TIMED_OUT, 30 * MS))
    assert only(got, api.Send).server == second


def test_no_probe_asks_for_a_fresh_report() -> None:
    bed = with_latencies()
    pair = probed_pair(bed, "q1", session="s")
    for server in pair:
        report(bed, server, 0.0)
    got = bed.ask("q2", session="s")
    assert not of(got, api.Probe) and only(got, api.Send).server == pair[0]


@pytest.mark.parametrize(
    "settings",
    [
        replace(ASKING, may_probe=False),
        replace(ASKING, report_source=api.ReportSource.NONE),
        replace(ASKING, report_source=api.ReportSource.PROBES),
    ],
)
def test_nobody_is_asked_where_it_is_of_no_use(settings: api.Settings) -> None:
    bed = Bed(settings, MANY)
    assert not [p for p in of(bed.ask("q"), api.Probe) if p.server.startswith("r")]


def test_few_readers_are_heard_of_anyway() -> None:
    few = Bed(ASKING, MANY[:4] + MANY[12:])
    assert not of(few.ask("q"), api.Probe)


@pytest.mark.parametrize(("waiting", "calls"), [(60_000.0, 0), (0.0, 1)])
def test_a_late_attempt_is_called_off_unless_its_reader_tells_of_work(waiting: float, calls: int) -> None:
    bed = with_latencies()
    for server in probed_pair(bed, "q"):
        got = report(bed, server, 0.0)
    server = only(got, api.Send).server
    cancels = 0
    for _ in range(24):
        got = bed.wait(50 * MS)
        for probe in of(got, api.Probe):
            assert probe.server == server
            got = got + report(bed, server, waiting)
        cancels += len(of(got, api.Cancel))
    assert cancels == calls


def test_a_late_attempt_at_a_silent_reader_is_called_off() -> None:
    bed = with_latencies()
    for server in probed_pair(bed, "q"):
        got = report(bed, server, 0.0)
    assert only(got, api.Send)
    assert of(bed.wait(CLASS.first_token_aim), api.Cancel)
