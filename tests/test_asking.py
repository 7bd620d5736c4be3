"""Readers asked for their load before a prompt is sent, and before one that is late is sent again."""

from __future__ import annotations

from dataclasses import replace

import pytest

from stonetrack import api
from stonetrack.logic import FRESH_REPORT_NS, MS, PROBE_WAIT_NS
from tests.bed import CLASS, DECODE, PREFILL, SETTINGS, Bed, entry, of, only

MANY = (*(entry(f"r{n}", PREFILL) for n in range(12)), *(entry(f"w{n}", DECODE) for n in range(4)))
ASKING = replace(SETTINGS, may_probe=True, report_source=api.ReportSource.ANSWERS, routers=200)


def told(bed: Bed, server: str, waiting: float) -> list[api.Action]:
    report = api.LoadReport(1.0, 0.0, 0.1, waiting)
    return bed.give(api.ProbeEnded(server, api.Outcome.SERVED, 2 * MS, report))


def learnt(settings: api.Settings = ASKING) -> Bed:
    """A router that knows how long a read takes: 1,600 tokens in 0.1 s."""
    bed = Bed(settings, MANY)
    for n in range(4):
        for probe in of(bed.ask(f"warm{n}"), api.Probe):
            sent = of(told(bed, probe.server, 0.0), api.Send)
        bed.serve(bed.read(sent[0]))
    bed.wait(2 * FRESH_REPORT_NS)
    return bed


def asked(bed: Bed, name: str, **more: object) -> tuple[str, str]:
    """The pair that is asked; nothing is sent meanwhile."""
    got = bed.ask(name, **more)  # type: ignore[arg-type]
    assert not of(got, api.Send)
    first, second = (probe.server for probe in of(got, api.Probe))
    return first, second


@pytest.mark.parametrize(("loads", "chosen"), [
    ((0.0, 0.0), 0),
    ((3_000.0, 0.0), 0),  # its home, while that takes little of the aim
    ((40_000.0, 0.0), 1),
    ((30_000.0, 40_000.0), 0),  # both take long: the lighter
    ((40_000.0, 30_000.0), 1),
])  # fmt: skip
def test_the_one_of_two_that_has_room_gets_it(loads: tuple[float, float], chosen: int) -> None:
    bed = learnt()
    pair = asked(bed, "q", beginning="b", shared=800)
    assert not of(told(bed, pair[0], loads[0]), api.Send)
    assert only(told(bed, pair[1], loads[1]), api.Send).server == pair[chosen]


@pytest.mark.parametrize(("loads", "chosen"), [((1_500.0, 0.0), 0), ((1_700.0, 0.0), 1), ((9_000.0, 8_000.0), 0)])
def test_a_router_that_has_read_nothing_yet_compares_backlogs(loads: tuple[float, float], chosen: int) -> None:
    """After a restart of all routers at once, else they all crowd the homes: no pace, so nothing looks crowded."""
    bed = Bed(ASKING, MANY)
    pair = asked(bed, "q", beginning="b", shared=800, prompt=1_600)
    told(bed, pair[0], loads[0])
    assert only(told(bed, pair[1], loads[1]), api.Send).server == pair[chosen]


@pytest.mark.parametrize(("waiting", "calls"), [(2_000.0, 0), (1_000.0, 1)])
def test_a_router_that_has_read_nothing_yet_waits_for_a_reader_with_work(waiting: float, calls: int) -> None:
    bed = Bed(ASKING, MANY)
    for server in asked(bed, "q", prompt=1_600):
        got = told(bed, server, 0.0)
    cancels = 0
    for _ in range(24):
        got = bed.wait(50 * MS)
        for probe in of(got, api.Probe):
            got = got + told(bed, probe.server, waiting)
        cancels += len(of(got, api.Cancel))
    assert cancels == calls


def late(bed: Bed, pair: tuple[str, str]) -> list[api.Action]:
    """Both would take far too long."""
    told(bed, pair[0], 900_000.0)
    return told(bed, pair[1], 800_000.0)


def test_two_others_are_asked_before_a_request_is_refused_and_one_with_room_gets_it() -> None:
    bed = learnt()
    pair = asked(bed, "q", beginning="b", shared=800)
    got = late(bed, pair)
    others = [probe.server for probe in of(got, api.Probe)]
    assert not of(got, api.Refuse) and len(others) == 2 and not set(others) & set(pair)
    assert not of(told(bed, others[0], 850_000.0), api.Send)
    assert only(told(bed, others[1], 500.0), api.Send).server == others[1]


def test_where_the_others_are_full_too_it_is_refused_and_nobody_else_asked() -> None:
    bed = learnt()
    others = [probe.server for probe in of(late(bed, asked(bed, "q", beginning="b", shared=800)), api.Probe)]
    told(bed, others[0], 850_000.0)
    got = told(bed, others[1], 850_000.0)
    assert of(got, api.Refuse) and not of(got, api.Probe)


def test_one_of_the_others_that_is_half_full_does_not_read_it_anew() -> None:
    """40,000 tokens take 0.65 of the aim: the prompt's own readers might be sent it, others not."""
    bed = learnt()
    others = [probe.server for probe in of(late(bed, asked(bed, "q", beginning="b", shared=800)), api.Probe)]
    told(bed, others[0], 40_000.0)
    got = told(bed, others[1], 40_000.0)
    assert of(got, api.Refuse) and not of(got, api.Send)
    pair = asked(bed, "q2", beginning="b2", shared=800)
    assert of(told(bed, pair[0], 40_000.0) + told(bed, pair[1], 900_000.0), api.Send)


def test_a_report_that_grows_old_while_others_are_awaited_is_asked_for_again() -> None:
    """Else its reader looked empty once the others had told, and got what it had no room for."""
    bed = learnt()
    pair = asked(bed, "q1", beginning="b", shared=800)
    others = [probe.server for probe in of(late(bed, pair), api.Probe)]
    for server in others:
        told(bed, server, 850_000.0)
    bed.wait(FRESH_REPORT_NS - 5 * MS)
    got = bed.ask("q2", beginning="b", shared=800)
    answered = 0
    while len(probes := of(got, api.Probe)) > answered:
        got = got + bed.wait(5 * MS) + told(bed, probes[answered].server, 850_000.0)
        answered += 1
    got = got + bed.wait(PROBE_WAIT_NS + 50 * MS)
    assert not of(got, api.Send) and len(of(got, api.Refuse)) == 1


def test_others_that_told_their_load_just_now_are_chosen_without_being_asked() -> None:
    bed = learnt()
    for n in range(12):
        told(bed, f"r{n}", 500.0)
    pair = asked_again(bed)
    got = late(bed, pair) + bed.wait(50 * MS)
    assert not of(got, api.Refuse) and only(got, api.Send).server not in pair


def asked_again(bed: Bed) -> tuple[str, str]:
    """The pair of a request whose readers' reports have just grown old, the others' have not."""
    probe = Bed(ASKING, MANY)
    first, second = asked(probe, "q", beginning="b", shared=800)
    bed.wait(FRESH_REPORT_NS - 100 * MS)
    for n in range(12):
        if f"r{n}" not in (first, second):
            told(bed, f"r{n}", 500.0)
    bed.wait(150 * MS)
    return asked(bed, "q", beginning="b", shared=800)


def test_routers_that_share_nothing_ask_the_same_two() -> None:
    pairs = set()
    for router in range(20):
        bed = Bed(replace(ASKING, router=router), MANY)
        pairs.add(asked(bed, f"q{router}", session="same", beginning="b", shared=800))
    assert len(pairs) == 1


def test_what_is_not_answered_is_not_waited_for() -> None:
    bed = learnt()
    first, _ = asked(bed, "q")
    assert not of(bed.wait(PROBE_WAIT_NS - MS), api.Send)
    assert only(bed.wait(50 * MS), api.Send).server == first


def test_a_reader_that_fails_to_answer_is_passed_over() -> None:
    bed = learnt()
    first, second = asked(bed, "q")
    told(bed, second, 0.0)
    got = bed.give(api.ProbeEnded(first, api.Outcome.TIMED_OUT, 30 * MS))
    assert only(got, api.Send).server == second


def test_a_report_just_heard_is_not_asked_for() -> None:
    bed = learnt()
    pair = asked(bed, "q1", session="s")
    for server in pair:
        told(bed, server, 0.0)
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
    bed = learnt()
    for server in asked(bed, "q"):
        got = told(bed, server, 0.0)
    server = only(got, api.Send).server
    cancels = 0
    for _ in range(24):
        got = bed.wait(50 * MS)
        for probe in of(got, api.Probe):
            assert probe.server == server
            got = got + told(bed, server, waiting)
        cancels += len(of(got, api.Cancel))
    assert cancels == calls


def test_a_late_attempt_at_a_silent_reader_is_called_off() -> None:
    bed = learnt()
    for server in asked(bed, "q"):
        got = told(bed, server, 0.0)
    assert only(got, api.Send)
    assert of(bed.wait(CLASS.first_token_aim), api.Cancel)
