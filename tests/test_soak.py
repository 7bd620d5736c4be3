"""Real node processes under faults, judged from what passed on the sockets."""

from __future__ import annotations

import shutil
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from stonetrack.cli.soak import parse_seeds, soak
from stonetrack.fleet.traffic import Clients
from stonetrack.soak import report
from stonetrack.soak.faults import Fault, FaultKind, draw_faults
from stonetrack.soak.platform import EngineFault
from stonetrack.soak.run import Result, RunSize, SeedRun, run_with_retries, soak_clients
from stonetrack.soak.unspecified import CHOICES, LEAST_HELPFUL, MOST_HELPFUL, EngineBehaviour, Reply, Unspecified

ROOT = Path(__file__).resolve().parents[1]
SMALL = RunSize(nodes=2, prefill=4, decode=4, rate=40.0, seconds=6.0, quiet=2.0)
SHORT = RunSize(nodes=1, prefill=2, decode=3, rate=30.0, seconds=4.0, quiet=1.5)
DECODE, PREFILL = ("w0", "w1", "w2"), ("r0", "r1")
HANGS_LATE = Fault(2.0, 1.5, FaultKind.TROUBLE, PREFILL[1:], engine_fault=EngineFault.HANG_DURING)
USUAL = msgspec.structs.replace(soak_clients(30.0), leave_at_first=0.0, leave_early=0.0, slow=0.0, half_close=0.0,
                                stops=0.0, little_time=0.0)  # fmt: skip


def timeline_of(result: Result, folder: Path) -> str:
    """The timeline of the violations, as the text of a failed assertion."""
    report.write_timeline(result, SMALL, folder)
    return (folder / report.TIMELINE_FILE).read_text("utf-8")[:8_000]


@pytest.mark.parametrize("kind", [FaultKind.ROLE_SILENT, FaultKind.KEPT_SILENT])
def test_no_state_leaks_while_most_decode_engines_are_silent(kind: FaultKind, tmp_path: Path) -> None:
    """The first incident: the kernel accepts the bytes, but they reach no engine."""
    faults = [Fault(1.2, 3.8, kind, ("w0", "w1", "w2"))]
    result = run_with_retries(lambda: SeedRun(1, SMALL, tmp_path / "play", faults))
    assert result.passed, timeline_of(result, tmp_path / "play")
    assert result.served_share > 0.5


def test_no_state_leaks_while_most_prefill_engines_are_silent(tmp_path: Path) -> None:
    """The second incident: a decode engine answers 200 for a reservation, whatever became of the prefill attempt."""
    faults = [Fault(1.2, 3.8, FaultKind.ROLE_SILENT, ("r0", "r1", "r2"))]
    pinned = {**MOST_HELPFUL, Unspecified.RESERVATION_REPLY: Reply.HELD}
    result = run_with_retries(lambda: SeedRun(1, SMALL, tmp_path / "play", faults, pinned=pinned))
    assert result.passed, timeline_of(result, tmp_path / "play")
    assert result.served_share > 0.5


def test_the_state_of_a_cancelled_prefill_is_released(tmp_path: Path) -> None:
    """Three of four prefill engines are silent and then process the requests in their buffers."""
    faults = [Fault(1.2, 2.5, FaultKind.ROLE_SILENT, ("r0", "r1", "r2"))]
    pinned = {**MOST_HELPFUL, Unspecified.GIVEN_UP: True}
    result = run_with_retries(lambda: SeedRun(2, SMALL, tmp_path / "play", faults, pinned=pinned))
    assert result.passed, timeline_of(result, tmp_path / "play")
    assert result.served_share > 0.5


@pytest.mark.parametrize("unspecified", list(Unspecified), ids=lambda unspecified: unspecified.name.lower())
def test_the_node_needs_no_assumption_about_unspecified_behaviour(unspecified: Unspecified, tmp_path: Path) -> None:
    """Engines choose the least helpful behaviour for one statement of the page at a time."""
    for choice in LEAST_HELPFUL[unspecified]:
        faults = [Fault(0.8, 2.2, FaultKind.ROLE_SILENT, ("r0", "w0")), HANGS_LATE]
        result = run_with_retries(lambda: SeedRun(9, SHORT, tmp_path / "play", faults, pinned={unspecified: choice}))  # noqa: B023
        assert result.passed, timeline_of(result, tmp_path / "play")


def test_unspecified_behaviour_is_drawn_from_the_seed_and_pinned_by_name() -> None:
    drawn = [
        [each.reservation(f"q{n}") for n in range(200)]
        for each in (EngineBehaviour(1), EngineBehaviour(1), EngineBehaviour(2))
    ]
    assert drawn[0] == drawn[1] != drawn[2]
    assert {each.reply for each in drawn[0]} == set(Reply)
    allowed = {reply: {each.held for each in drawn[0] if each.reply is reply} for reply in Reply}
    assert allowed[Reply.HELD] == {True} and allowed[Reply.NOT_HELD] == allowed[Reply.NOTHING_DONE] == {False}
    assert all(allowed[r] == {True, False} for r in (Reply.UNKNOWN_AT_ONCE, Reply.UNKNOWN_LATE, Reply.SILENCE))
    assert set(CHOICES) == set(MOST_HELPFUL) == set(LEAST_HELPFUL) == set(Unspecified)
    assert not any(EngineBehaviour(3, MOST_HELPFUL).prefill_continues(f"q{n}") for n in range(50))
    with pytest.raises(ValueError, match="TURNED_AWAY: found 500; allowed: "):
        EngineBehaviour(1, {Unspecified.TURNED_AWAY: 500})


def test_idle_connections_do_not_displace_clients(tmp_path: Path) -> None:
    """More connections than the node admits, opened again when it closes them, also during its drain."""
    faults = [Fault(0.5, 3.3, FaultKind.CROWD, (), 0, amount=400), Fault(2.0, 0.1, FaultKind.TERM, (), 0)]
    two = replace(SHORT, nodes=2)
    result = run_with_retries(
        lambda: SeedRun(6, two, tmp_path / "play", faults, client_settings=USUAL, pinned=MOST_HELPFUL)
    )
    assert result.passed, timeline_of(result, tmp_path / "play")
    [crowd] = [each for each in result.evidence.link_log if each["what"] == "crowd"]
    assert crowd["opened"] > 400 and crowd["closed_by_node"] > 100  # it filled the node
    assert result.served_share > 0.9


def test_a_run_that_serves_few_requests_fails(tmp_path: Path) -> None:
    run = SeedRun(5, SHORT, tmp_path / "play", client_settings=USUAL, pinned=MOST_HELPFUL)
    run.faults = [Fault(0.1, 4.0, FaultKind.ROLE_SILENT, ("w0", "w1", "w2"))]
    result = run.run()
    assert result.served_share < 0.5 and not result.passed
    assert any("requests served, allowed: 0.5" in violation.text for violation in result.violations)


@pytest.mark.parametrize("seed", [101, 102])
def test_drawn_faults_break_no_invariant(seed: int, tmp_path: Path) -> None:
    result = run_with_retries(lambda: SeedRun(seed, replace(SMALL, nodes=4, seconds=7.0), tmp_path / "play"))
    assert result.passed, timeline_of(result, tmp_path / "play")
    assert result.served_share > 0.5 and len(result.faults) > 2


@dataclass(frozen=True)
class Broken:
    """A mutated node that violates one invariant: the replaced lines of a file, and the faults that expose it."""

    invariant: int
    file: str
    lines: tuple[tuple[str, str], ...]  # (text that occurs once, its replacement)
    faults: tuple[Fault, ...] = ()
    clients: Clients = USUAL
    node_reports: bool = True  # whether the node's own check reports it as well
    pinned: Mapping[Unspecified, object] = field(default_factory=lambda: MOST_HELPFUL)


SILENT = Fault(0.8, 2.5, FaultKind.ROLE_SILENT, DECODE)
RESETS = Fault(0.5, 3.0, FaultKind.TROUBLE, DECODE, engine_fault=EngineFault.RESETS)
HANGS = Fault(0.5, 8.0, FaultKind.TROUBLE, DECODE, engine_fault=EngineFault.HANG_BEFORE)
STILL = Fault(0.8, 2.0, FaultKind.ROLE_SILENT, PREFILL[:1])
SLOW = Fault(0.1, 4.0, FaultKind.TROUBLE, PREFILL, engine_fault=EngineFault.SLOW)
UNFINISHED = Fault(0.5, 2.0, FaultKind.TROUBLE, DECODE, engine_fault=EngineFault.UNFINISHED_SIZE)
BROKEN = [
    Broken(3, "logic.py", (
        ("        if not self._must_release(request):\n            return\n", "        return\n"),), (SILENT,)),
    Broken(3, "edge/engines.py", (("if self.abandoned is None or", "if True or"),), (STILL,), node_reports=False,
           pinned={**MOST_HELPFUL, Unspecified.GIVEN_UP: True}),
    Broken(2, "logic.py", (
        ("request.class_settings.effect is Effect.SAFE:\n            return True\n        first =",
         "True:\n            return True\n        first ="),), (RESETS,)),
    Broken(4, "node/request_runner.py", (
        ("    def _handle_disconnect(self, now: int) -> None:\n",
         "    def _handle_disconnect(self, now: int) -> None:\n        return\n"),
        ("client_left, engine_closed = self._client_left(), not", "client_left, engine_closed = False, not")), (SLOW,),
        msgspec.structs.replace(USUAL, leave_early=1.0), node_reports=False),
    Broken(7, "edge/engines.py", (
        ("time_left = request.body.deadline - self._clock()\n",
         "time_left = request.body.deadline - self._clock() + 2_000_000_000\n"),)),
    Broken(1, "edge/sink.py", (("case ports.Failed(why):\n", "case ports.Failed(why) if why == 0:\n"),), (HANGS,),
           node_reports=False),
    Broken(1, "edge/serve.py", (("4 * SECOND + SECOND // 2", "20 * SECOND"),), (UNFINISHED,), node_reports=False),
    Broken(8, "edge/sink.py", (
        ("        self.connection.write(data)\n",
         "        __import__('time').sleep(0.4)\n        self.connection.write(data)\n"),), node_reports=False),
    Broken(9, "edge/serve.py", (("        self.pool.prune()\n", "        os._exit(3)\n"),), node_reports=False),
]  # fmt: skip


@pytest.mark.parametrize("broken", BROKEN, ids=lambda broken: f"{broken.invariant}-{broken.file}")
def test_a_node_that_violates_an_invariant_is_reported(broken: Broken, tmp_path: Path) -> None:
    """Negative controls of the oracle and of the node's own checks."""
    program = tmp_path / "program"
    shutil.copytree(ROOT / "stonetrack", program / "stonetrack", ignore=shutil.ignore_patterns("__pycache__"))
    path = program / "stonetrack" / broken.file
    text = path.read_text("utf-8")
    for line, instead in broken.lines:
        assert text.count(line) == 1, f"{broken.file}: {line!r}"
        text = text.replace(line, instead)
    path.write_text(text, "utf-8")

    def create_run() -> SeedRun:
        return SeedRun(7, SHORT, tmp_path / "play", list(broken.faults), client_settings=broken.clients,
                       program=program, pinned=broken.pinned)  # fmt: skip

    def is_reported(result: Result) -> bool:
        reported_by_node = any(
            f"INVARIANT {broken.invariant} " in v.text for v in result.violations if v.invariant == 0
        )
        return broken.invariant in {v.invariant for v in result.violations} and (
            reported_by_node or not broken.node_reports
        )

    result = run_with_retries(create_run, expected=is_reported)
    assert is_reported(result), timeline_of(result, tmp_path / "play")


def test_the_same_run_of_an_unchanged_node_passes(tmp_path: Path) -> None:
    result = run_with_retries(
        lambda: SeedRun(7, SHORT, tmp_path / "play", [SILENT, RESETS, STILL], client_settings=USUAL)
    )
    assert result.passed, timeline_of(result, tmp_path / "play")


# Clients were left waiting on streams whose engines went on and completed nothing (issue 67).
@pytest.mark.parametrize(
    "engine_fault",
    [
        EngineFault.UNFINISHED_SIZE,
        EngineFault.GIGABYTES,
        EngineFault.UNFINISHED_EVENT,
        EngineFault.UNFINISHED_TRAILER,
        EngineFault.SLOW_WRITES,
        EngineFault.SLOW_READS,
    ],
)
def test_engines_that_complete_nothing_or_are_slow_break_no_invariant(
    engine_fault: EngineFault, tmp_path: Path
) -> None:
    faults = [Fault(0.5, 2.0, FaultKind.TROUBLE, (*PREFILL[:1], *DECODE[:2]), engine_fault=engine_fault)]
    result = run_with_retries(lambda: SeedRun(3, SHORT, tmp_path / "play", faults, client_settings=USUAL))
    assert result.passed, timeline_of(result, tmp_path / "play")


def test_faults_are_drawn_from_the_seed_and_overlap() -> None:
    prefill, decode = ["r0", "r1", "r2"], ["w0", "w1", "w2", "w3"]
    faults = draw_faults(5, 20.0, 10, prefill, decode)
    assert faults == draw_faults(5, 20.0, 10, prefill, decode) != draw_faults(6, 20.0, 10, prefill, decode)
    runs = [draw_faults(seed, 20.0, 10, prefill, decode) for seed in range(200)]
    assert {fault.kind for each in runs for fault in each} == set(FaultKind)
    assert {fault.engine_fault for each in runs for fault in each} >= set(EngineFault)
    assert all(fault.at >= 1.5 and fault.at + fault.seconds <= 20.0 for each in runs for fault in each)
    overlap = [any(b.at < a.at + a.seconds for a, b in zip(each, each[1:], strict=False)) for each in runs]
    assert sum(overlap) > 190


@pytest.mark.parametrize("text", ["", "x", "1:x", "5:5", "7:3", ":4"])
def test_invalid_seeds_are_refused(text: str) -> None:
    done = CliRunner().invoke(soak, ["--seeds", text, "--report", "unused"])
    assert done.exit_code == 2 and "allowed: " in done.output


def test_seeds_are_a_range_or_a_single_number() -> None:
    assert list(parse_seeds("3:6")) == [3, 4, 5] and list(parse_seeds("9")) == [9]
