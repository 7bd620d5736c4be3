"""Fleets of real node processes under faults, judged from what passed on the sockets."""

from __future__ import annotations

import shutil
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from stonetrack.cli.soak import seeds_of, soak
from stonetrack.fleet.traffic import Clients
from stonetrack.soak import report
from stonetrack.soak.faults import Fault, Kind, draw
from stonetrack.soak.latitude import CHOICES, KINDEST, LEAST_HELPFUL, Latitude, Reply, Sentence
from stonetrack.soak.platform import Trouble
from stonetrack.soak.play import Play, Result, Size, clients, judged

ROOT = Path(__file__).resolve().parents[1]
SMALL = Size(nodes=2, prefill=4, decode=4, rate=40.0, seconds=6.0, quiet=2.0)
SHORT = Size(nodes=1, prefill=2, decode=3, rate=30.0, seconds=4.0, quiet=1.5)
DECODE, PREFILL = ("w0", "w1", "w2"), ("r0", "r1")
HANGS_LATE = Fault(2.0, 1.5, Kind.TROUBLE, PREFILL[1:], trouble=Trouble.HANG_WITHIN)
USUAL = msgspec.structs.replace(clients(30.0), leave_at_first=0.0, leave_early=0.0, slow=0.0, half_close=0.0,
                                stops=0.0, little_time=0.0)  # fmt: skip


def explained(result: Result, folder: Path) -> str:
    """The timeline of what went wrong, for the assertion's text."""
    report.write(result, SMALL, folder)
    return (folder / report.TIMELINE).read_text("utf-8")[:8_000]


@pytest.mark.parametrize("kind", [Kind.ROLE_SILENT, Kind.KEPT_SILENT])
def test_nothing_stays_held_while_most_decode_engines_are_silent(kind: Kind, tmp_path: Path) -> None:
    """The incident: bytes are taken by the kernel and reach nobody."""
    faults = [Fault(1.2, 3.8, kind, ("w0", "w1", "w2"))]
    result = judged(lambda: Play(1, SMALL, tmp_path / "play", faults))
    assert result.passed, explained(result, tmp_path / "play")
    assert result.service > 0.5


def test_nothing_stays_held_while_most_prefill_engines_are_silent(tmp_path: Path) -> None:
    """The second incident: a decode engine answers 200 for a reservation, whatever became of the prefill attempt."""
    faults = [Fault(1.2, 3.8, Kind.ROLE_SILENT, ("r0", "r1", "r2"))]
    pinned = {**KINDEST, Sentence.RESERVATION_REPLY: Reply.HELD}
    result = judged(lambda: Play(1, SMALL, tmp_path / "play", faults, pinned=pinned))
    assert result.passed, explained(result, tmp_path / "play")
    assert result.service > 0.5


def test_what_a_prefill_attempt_leaves_after_it_was_given_up_is_released(tmp_path: Path) -> None:
    """Three of four prefill engines stand still and then act on what lies in their buffers."""
    faults = [Fault(1.2, 2.5, Kind.ROLE_SILENT, ("r0", "r1", "r2"))]
    pinned = {**KINDEST, Sentence.GIVEN_UP: True}
    result = judged(lambda: Play(2, SMALL, tmp_path / "play", faults, pinned=pinned))
    assert result.passed, explained(result, tmp_path / "play")
    assert result.service > 0.5


@pytest.mark.parametrize("sentence", list(Sentence), ids=lambda sentence: sentence.name.lower())
def test_no_assumption_about_engines_is_needed(sentence: Sentence, tmp_path: Path) -> None:
    """Engines at their least helpful on one sentence of the page at a time, and the node as it is."""
    for reading in LEAST_HELPFUL[sentence]:
        faults = [Fault(0.8, 2.2, Kind.ROLE_SILENT, ("r0", "w0")), HANGS_LATE]
        result = judged(lambda: Play(9, SHORT, tmp_path / "play", faults, pinned={sentence: reading}))  # noqa: B023
        assert result.passed, explained(result, tmp_path / "play")


def test_what_the_page_leaves_open_is_drawn_from_the_seed_and_pinned_by_name() -> None:
    drawn = [[each.reservation(f"q{n}") for n in range(200)] for each in (Latitude(1), Latitude(1), Latitude(2))]
    assert drawn[0] == drawn[1] != drawn[2]
    assert {each.reply for each in drawn[0]} == set(Reply)
    allowed = {reply: {each.held for each in drawn[0] if each.reply is reply} for reply in Reply}
    assert allowed[Reply.HELD] == {True} and allowed[Reply.NOT_HELD] == allowed[Reply.NOTHING_DONE] == {False}
    assert all(allowed[r] == {True, False} for r in (Reply.UNKNOWN_AT_ONCE, Reply.UNKNOWN_LATE, Reply.SILENCE))
    assert set(CHOICES) == set(KINDEST) == set(LEAST_HELPFUL) == set(Sentence)
    assert not any(Latitude(3, KINDEST).reads_on(f"q{n}") for n in range(50))
    with pytest.raises(ValueError, match="TURNED_AWAY: found 500; allowed: "):
        Latitude(1, {Sentence.TURNED_AWAY: 500})


def test_a_crowd_that_says_nothing_takes_no_clients_place(tmp_path: Path) -> None:
    """More connections than the node has for its clients, opened anew as it closes them, through its drain too."""
    faults = [Fault(0.5, 3.3, Kind.CROWD, (), 0, amount=400), Fault(2.0, 0.1, Kind.TERM, (), 0)]
    two = replace(SHORT, nodes=2)
    result = judged(lambda: Play(6, two, tmp_path / "play", faults, clients_of=USUAL, pinned=KINDEST))
    assert result.passed, explained(result, tmp_path / "play")
    [crowd] = [each for each in result.evidence.log if each["what"] == "crowd"]
    assert crowd["opened"] > 400 and crowd["closed_by_node"] > 100  # it filled the node
    assert result.service > 0.9


def test_a_play_that_serves_hardly_anybody_is_a_finding(tmp_path: Path) -> None:
    play = Play(5, SHORT, tmp_path / "play", clients_of=USUAL, pinned=KINDEST)
    play.faults = [Fault(0.1, 4.0, Kind.ROLE_SILENT, ("w0", "w1", "w2"))]
    result = play.run()
    assert result.service < 0.5 and not result.passed
    assert any("requests served, allowed: 0.5" in violation.text for violation in result.violations)


@pytest.mark.parametrize("seed", [101, 102])
def test_drawn_faults_break_no_invariant(seed: int, tmp_path: Path) -> None:
    result = judged(lambda: Play(seed, replace(SMALL, nodes=4, seconds=7.0), tmp_path / "play"))
    assert result.passed, explained(result, tmp_path / "play")
    assert result.service > 0.5 and len(result.faults) > 2


@dataclass(frozen=True)
class Broken:
    """A node made to break one invariant: lines of one of its files replaced, and the faults that show it."""

    invariant: int
    file: str
    lines: tuple[tuple[str, str], ...]  # what stands there once, and what stands there instead
    faults: tuple[Fault, ...] = ()
    clients: Clients = USUAL
    names_itself: bool = True  # the node's own check names it too
    pinned: Mapping[Sentence, object] = field(default_factory=lambda: KINDEST)


SILENT = Fault(0.8, 2.5, Kind.ROLE_SILENT, DECODE)
RESETS = Fault(0.5, 3.0, Kind.TROUBLE, DECODE, trouble=Trouble.RESETS)
HANGS = Fault(0.5, 8.0, Kind.TROUBLE, DECODE, trouble=Trouble.HANG_BEFORE)
STILL = Fault(0.8, 2.0, Kind.ROLE_SILENT, PREFILL[:1])
SLOW = Fault(0.1, 4.0, Kind.TROUBLE, PREFILL, trouble=Trouble.SLOW)
BROKEN = [
    Broken(3, "logic.py", (
        ("        if not self._must_release(request):\n            return\n", "        return\n"),), (SILENT,)),
    Broken(3, "edge/engines.py", (("if self.abandoned is None or", "if True or"),), (STILL,), names_itself=False,
           pinned={**KINDEST, Sentence.GIVEN_UP: True}),
    Broken(2, "logic.py", (
        ("request.class_settings.effect is Effect.SAFE:\n            return True\n        first =",
         "True:\n            return True\n        first ="),), (RESETS,)),
    Broken(4, "node/request_runner.py", (
        ("    def _handle_disconnect(self, now: int) -> None:\n",
         "    def _handle_disconnect(self, now: int) -> None:\n        return\n"),
        ("client_left, engine_closed = self._client_left(), not", "client_left, engine_closed = False, not")), (SLOW,),
        msgspec.structs.replace(USUAL, leave_early=1.0), names_itself=False),
    Broken(7, "edge/engines.py", (
        ("time_left = request.body.deadline - self._clock()\n",
         "time_left = request.body.deadline - self._clock() + 2_000_000_000\n"),)),
    Broken(1, "edge/sink.py", (("case ports.Failed(why):\n", "case ports.Failed(why) if why == 0:\n"),), (HANGS,),
           names_itself=False),
    Broken(8, "edge/sink.py", (
        ("        self.connection.write(data)\n",
         "        __import__('time').sleep(0.4)\n        self.connection.write(data)\n"),), names_itself=False),
    Broken(9, "edge/serve.py", (("        self.pool.prune()\n", "        os._exit(3)\n"),), names_itself=False),
]  # fmt: skip


@pytest.mark.parametrize("broken", BROKEN, ids=lambda broken: f"{broken.invariant}-{broken.file}")
def test_a_node_made_to_break_an_invariant_is_named(broken: Broken, tmp_path: Path) -> None:
    """Negative controls: of the oracle, and of the node's own checks."""
    program = tmp_path / "program"
    shutil.copytree(ROOT / "stonetrack", program / "stonetrack", ignore=shutil.ignore_patterns("__pycache__"))
    path = program / "stonetrack" / broken.file
    text = path.read_text("utf-8")
    for line, instead in broken.lines:
        assert text.count(line) == 1, f"{broken.file}: {line!r}"
        text = text.replace(line, instead)
    path.write_text(text, "utf-8")

    def played() -> Play:
        return Play(7, SHORT, tmp_path / "play", list(broken.faults), clients_of=broken.clients, program=program,
                    pinned=broken.pinned)  # fmt: skip

    def named(result: Result) -> bool:
        itself = any(f"INVARIANT {broken.invariant} " in v.text for v in result.violations if v.invariant == 0)
        return broken.invariant in {v.invariant for v in result.violations} and (itself or not broken.names_itself)

    result = judged(played, expected=named)
    assert named(result), explained(result, tmp_path / "play")


def test_the_same_play_without_the_broken_line_is_green(tmp_path: Path) -> None:
    result = judged(lambda: Play(7, SHORT, tmp_path / "play", [SILENT, RESETS, STILL], clients_of=USUAL))
    assert result.passed, explained(result, tmp_path / "play")


def test_faults_are_drawn_from_the_seed_and_overlap() -> None:
    prefill, decode = ["r0", "r1", "r2"], ["w0", "w1", "w2", "w3"]
    faults = draw(5, 20.0, 10, prefill, decode)
    assert faults == draw(5, 20.0, 10, prefill, decode) != draw(6, 20.0, 10, prefill, decode)
    plays = [draw(seed, 20.0, 10, prefill, decode) for seed in range(200)]
    assert {fault.kind for each in plays for fault in each} == set(Kind)
    assert {fault.trouble for each in plays for fault in each} >= set(Trouble)
    assert all(fault.at >= 1.5 and fault.at + fault.seconds <= 20.0 for each in plays for fault in each)
    overlap = [any(b.at < a.at + a.seconds for a, b in zip(each, each[1:], strict=False)) for each in plays]
    assert sum(overlap) > 190


@pytest.mark.parametrize("text", ["", "x", "1:x", "5:5", "7:3", ":4"])
def test_seeds_that_can_not_be_used_are_refused(text: str) -> None:
    done = CliRunner().invoke(soak, ["--seeds", text, "--report", "unused"])
    assert done.exit_code == 2 and "allowed: " in done.output


def test_seeds_are_given_as_a_range_or_alone() -> None:
    assert list(seeds_of("3:6")) == [3, 4, 5] and list(seeds_of("9")) == [9]
