"""The controller: its jobs, receivers and commands, and controller processes under faults on links and stores."""

from __future__ import annotations

import json
import os
import tempfile
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from contextlib import contextmanager
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from stonetrack.cli.main import main
from stonetrack.control.client import ControlError
from stonetrack.control.client import call as control
from stonetrack.controller import jobs
from stonetrack.controller.calls import Receivers
from stonetrack.controller.captures import apply_retention
from stonetrack.controller.health_checks import CheckTally, HealthCheckJob, HealthCheckSettings
from stonetrack.controller.jobs import Facts, Job, JournalEntry, Step, Superseded, Wait
from stonetrack.controller.maintenance import MaintenanceJob, MaintenanceSettings, withheld_engines
from stonetrack.controller.publishing import PublishJob
from stonetrack.controller.retention import RetentionJob, RetentionSettings
from stonetrack.controller.rollout import RolloutJob, RolloutSettings
from stonetrack.controller.service import open_store, rewrite_record
from stonetrack.controller.settings import load_controller_settings
from stonetrack.election.fencing import TOKEN_HEADER, FencingError, Token
from stonetrack.engines import calls
from stonetrack.engines.failure_hints import FailureHints
from stonetrack.engines.server_list import EngineEntry
from stonetrack.fleet import owners
from stonetrack.fleet.processes import address_of, program
from stonetrack.fleet.rig import LISTS_LOG, Played, play
from stonetrack.fleet.script import parse_script
from stonetrack.settings import SettingsError
from stonetrack.wire import writer
from tests.harness import wait_for

# Jobs, without I/O.


def lines(**states: str) -> tuple[dict[str, Any], ...]:
    kinds = {"r": "reader", "w": "writer"}
    return tuple({"name": n, "kind": kinds[n[0]], "cell": int(n[1]) % 2, "state": s} for n, s in states.items())


def run_maintenance(
    settings: MaintenanceSettings, service: float | None = None, seconds: int = 400
) -> tuple[dict[str, Any], int, int]:
    """Run a whole maintenance: returns the last state, the most engines absent at once, and the steps."""
    job, state = MaintenanceJob(settings), MaintenanceJob(settings).initial_state()
    listed_states = dict.fromkeys(("r0", "r1", "r2", "w0", "w1"), "up")
    most_absent = steps = 0
    for at in range(seconds):
        while isinstance(step := job.next_step(state, Facts(float(at), lines(**listed_states), service=service)), Step):
            listed_states[step.args["name"]] = step.args["state"]
            state = job.state_after(state, step, {}, float(at))
            steps += 1
            most_absent = max(
                most_absent, sum(phase in ("draining", "out", "back") for phase, _ in state["engines"].values())
            )
    return state, most_absent, steps


def test_maintenance_drains_engines_within_its_limits_and_takes_them_back() -> None:
    settings = MaintenanceSettings(engines=("r0", "r1", "w0", "gone"), drain_s=5, out_s=20, warm_s=5)
    state, most_absent, steps = run_maintenance(settings)
    assert {n: p for n, (p, _) in state["engines"].items()} == {"r0": "done", "r1": "done", "w0": "done"}
    assert most_absent == 2 and steps == 12  # r1 and w0 share neither role nor cell
    # All three engines are in one cell.
    assert run_maintenance(MaintenanceSettings(engines=("r0", "r2", "w0"), drain_s=5, out_s=20, warm_s=5))[1] == 1
    settings = MaintenanceSettings(
        engines=("r0", "r1", "w0"), drain_s=5, out_s=20, warm_s=5, most_of_role=2, most_of_cell=2
    )
    assert run_maintenance(settings)[1] == 3
    assert run_maintenance(MaintenanceSettings(engines=("r0",)), service=0.5)[2] == 0  # nothing is drained
    step = MaintenanceJob(MaintenanceSettings(engines=("w0",))).next_step(
        {"engines": {}}, Facts(0.0, lines(w0="up", r0="up"))
    )
    assert isinstance(step, Wait) and "last writer" in step.why
    assert withheld_engines({"engines": {"a": ["out", 1], "b": ["back", 1], "c": ["draining", 1]}}) == ("a", "c")


def test_lists_are_published_in_order_and_never_backwards() -> None:
    job = PublishJob()
    wanted = tuple({"number": n, "engines": [{"name": f"r{n}"}]} for n in (2, 5, 9))
    state, numbers = job.initial_state(), []
    while isinstance(step := job.next_step(state, Facts(0.0, wanted=wanted)), Step):
        numbers.append(step.args["number"])
        state = job.state_after(state, step, {"version": len(numbers), "origin": "h1"}, 0.0)
    assert numbers == [2, 5, 9] and state == {"last": 9, "version": 3, "origin": "h1"}


@pytest.mark.parametrize("origin, version, again", [("h1", 3, False), ("h1", 7, False), ("h1", 2, True),
                                                    ("h2", 99, True), ("h2", -1, True), ("", 0, False)])  # fmt: skip
def test_the_last_list_is_put_again_if_the_service_lost_it(origin: str, version: int, again: bool) -> None:
    wanted: tuple[dict[str, Any], ...] = tuple({"number": n, "engines": []} for n in (2, 5))
    state = {"last": 5, "version": 3, "origin": "h1"}
    step = PublishJob().next_step(state, Facts(0.0, (), origin, version, wanted))
    assert isinstance(step, Step) == again
    if isinstance(step, Step):
        assert step.args["number"] == 5


def test_retention_runs_at_its_interval_even_after_a_clock_is_set_back() -> None:
    job = RetentionJob(RetentionSettings(folder="x", every_s=60.0))
    first = job.next_step(job.initial_state(), Facts(1_000.0))
    assert isinstance(first, Step)
    state = job.state_after(job.initial_state(), first, {"deleted": 3}, 1_000.0)
    assert isinstance(job.next_step(state, Facts(1_030.0)), Wait) and isinstance(
        job.next_step(state, Facts(1_061.0)), Step
    )
    assert isinstance(job.next_step(state, Facts(500.0)), Step) and state["deleted"] == 3


def test_a_failing_engine_is_published_once_and_never_more_than_the_share() -> None:
    job, tally = HealthCheckJob(HealthCheckSettings(every_s=1.0, fails=2, most_share=0.5)), CheckTally(2)
    listed_states = dict.fromkeys(("r0", "r1", "r2", "r3"), 0.0)

    def check_round(at: float, *bad: str) -> list[tuple[str, float]]:
        known = tally.add({name: name not in bad for name in listed_states}, at)
        changes: list[tuple[str, float]] = []
        while True:
            listed = tuple({"name": n, "kind": "reader", "failing": f} for n, f in listed_states.items())
            step = job.next_step(job.initial_state(), Facts(at, listed, failing=known))
            if not isinstance(step, Step):
                return changes
            listed_states[step.args["name"]] = step.args["failing"]
            changes.append((step.args["name"], step.args["failing"]))

    assert check_round(1.0, "r1") == [] and check_round(2.0, "r1") == [("r1", 1.0)] and check_round(3.0, "r1") == []
    # Half of them, and no more.
    assert check_round(4.0, *listed_states) == [] and check_round(5.0, *listed_states) == [("r0", 4.0)]
    assert check_round(6.0, *listed_states) == []
    assert check_round(7.0, "r2", "r3") == [("r0", 0.0), ("r1", 0.0), ("r2", 4.0), ("r3", 4.0)]


def test_a_failure_hint_counts_once_while_recent_and_not_against_later_answers() -> None:
    good = {"r0": 0, "r1": 0}
    hints = FailureHints(lambda name: good[name])

    def listed(**failing: float) -> dict[str, EngineEntry]:
        return {n: EngineEntry(n, "127.0.0.1:9", "reader", failing=f) for n, f in failing.items()}

    second = 1_000_000_000
    assert hints.select(listed(r0=0.0, r1=0.0), 100 * second) == []
    assert hints.select(listed(r0=99.0, r1=0.0), 100 * second) == ["r0"]
    assert hints.select(listed(r0=99.0, r1=0.0), 101 * second) == []  # the same hint again
    good["r1"] = 103 * second
    assert hints.select(listed(r0=0.0, r1=102.0), 104 * second) == []  # the engine has answered this node since
    assert hints.select(listed(r0=105.0, r1=0.0), 200 * second) == []  # too old
    assert hints.select(listed(r0=0.0, r1=199.0), 200 * second) == ["r1"]


@pytest.mark.parametrize("killed", range(4))
def test_a_successor_continues_a_job_in_the_middle_and_skips_nothing(killed: int) -> None:
    """The leader is killed before the entry, between entry and effect, between effect and entry, or after it."""
    job: Job = PublishJob()
    facts = Facts(0.0, wanted=tuple({"number": n, "engines": []} for n in (1, 2, 3)))
    journal: JournalEntry | None = None
    done: list[int] = []
    for term in range(1, 20):
        entry = jobs.resume(journal, job, Token(term, f"s{term}"), 0.0)
        for part in range(8):
            if part == killed:
                break  # the leader dies; the next one takes over
            step = entry.begun or job.next_step(entry.state, facts)
            if isinstance(step, Wait):
                break
            if entry.begun is None:
                journal = entry = jobs.begin_step(entry, step, 0.0)
                continue
            done.append(step.args["number"])
            if part + 1 == killed:
                break  # the effect was carried out, but the journal does not say so
            journal = entry = jobs.finish_step(entry, job, {}, 0.0)
    if killed > 2:
        assert list(dict.fromkeys(done)) == [1, 2, 3] and journal is not None and journal.number == 3
    assert done == sorted(done)


def test_an_older_leader_does_not_resume_a_journal() -> None:
    entry = JournalEntry(4, "s1", {"last": 1, "version": 1})
    with pytest.raises(Superseded, match="term 4 of s1"):
        jobs.resume(entry, PublishJob(), Token(3, "s0"), 0.0)
    with pytest.raises(Superseded):
        jobs.resume(entry, PublishJob(), Token(4, "s0"), 0.0)  # a store that lost a write
    assert jobs.resume(entry, PublishJob(), Token(5, "s0"), 0.0).state == entry.state


@pytest.mark.parametrize("apart", [-3_600.0, 0.0, 3_600.0])
def test_a_successors_clock_ends_no_phase_early(apart: float) -> None:
    """Whatever the successor's clock, an engine stays out for its time, counted on from the last journal entry."""
    job = MaintenanceJob(MaintenanceSettings(engines=("r0",), out_s=60.0))
    entry = JournalEntry(1, "s0", {"engines": {"r0": ["out", 1_000.0]}}, at=1_010.0)
    mine = jobs.resume(entry, job, Token(1, "s0"), 1_020.0)
    assert mine.state == entry.state and mine.at == 1_010.0
    now = 1_040.0 + apart  # by the successor's clock; 30 s after that entry
    resumed = jobs.resume(entry, job, Token(2, "s1"), now)
    listed_states = lines(r0="draining", r1="up")
    for after, over in ((0.0, False), (49.0, False), (51.0, True)):  # 10 of its 60 s had passed by the journal
        step = job.next_step(resumed.state, Facts(now + after, listed_states))
        assert (isinstance(step, Step) and step.args["state"] == "up") == over
    staged = RolloutJob(RolloutSettings()).shift_times(
        {**RolloutJob(RolloutSettings()).initial_state(), "since": 1_000.0}, apart
    )
    assert staged["since"] == 1_000.0 + apart


def test_a_published_list_respects_the_maintenance_step_that_was_begun() -> None:
    state = {"engines": {"r0": ["out", 0.0], "r1": ["done", 0.0], "w0": ["draining", 0.0]}}
    back = Step("change", {"name": "r0", "phase": "back", "state": "up"})
    out = Step("change", {"name": "w1", "phase": "draining", "state": "draining"})
    assert (
        withheld_engines(state) == ("r0", "w0")
        and withheld_engines(state, back) == ("w0",)
        and withheld_engines(state, out) == ("r0", "w0", "w1")
    )


# Receivers.


def test_every_effect_is_fenced_and_every_step_states_why_it_may_be_repeated(tmp_path: Path) -> None:
    """Covers every effect: one without a fence fails here."""
    state = {"engines": {"r0": ["out", 0.0]}}
    kinds: list[tuple[Job, dict[str, Any], Facts]] = [
        (PublishJob(), PublishJob().initial_state(), Facts(0.0, wanted=({"number": 1, "engines": []},))),
        (MaintenanceJob(MaintenanceSettings(engines=("r0",))), state, Facts(9e9, lines(r0="draining"))),
        (HealthCheckJob(HealthCheckSettings(every_s=1.0)), {},
         Facts(9e9, tuple({"name": n, "kind": "reader"} for n in "abcdef"), failing={"a": 8e9})),
        (RetentionJob(RetentionSettings(folder=str(tmp_path))),
         RetentionJob(RetentionSettings()).initial_state(), Facts(9e9)),
        *((RolloutJob(RolloutSettings(most_s=most)),
           {**RolloutJob(RolloutSettings()).initial_state(), "number": number},
           Facts(9e9, versions=({"number": 1, "content": {}, "kind": "rule"},), nodes=tuple(rows(number))))
          for number, most in ((0, 1e5), (2, 1e5), (2, 1.0))),
    ]  # fmt: skip
    found_of_rollouts = [job.next_step(before, facts) for job, before, facts in kinds[-3:]]
    assert [step.what for step in found_of_rollouts if isinstance(step, Step)] == ["publish", "rollback", "rollback"]
    kinds[-2] = (kinds[-2][0], kinds[-2][1], Facts(9e9, nodes=tuple(rows(2, served=900))))
    found = [job.next_step(before, facts) for job, before, facts in kinds]
    steps = {step.what: step for step in found if isinstance(step, Step)}
    assert set(steps) == set(Receivers.EFFECTS) and all(step.harmless for step in steps.values())
    text = json.dumps({"listen": {"port": 0}, "state_dir": str(tmp_path / "lists"), "may_put": True})
    (tmp_path / "lists.json").write_text(text)
    asked = json.dumps({"engines": [{"name": "r0", "address": "127.0.0.1:9", "kind": "reader"}]}).encode()
    for round_ in range(2):  # the second round after a restart: the stored token is known again
        with program("lists", str(tmp_path / "lists.json")) as service:
            for method in ("PUT", "PATCH"):
                if not round_ and method == "PUT":
                    assert call(service.address, method, asked, "")[0] == 200  # no controller yet
                    assert call(service.address, method, asked, "7 s1/b")[0] == 200
                for old in ("6 s0/a", "7 s0/a", ""):
                    status, answer = call(service.address, method, asked, old)
                    assert status == 409 and answer["known"] == {"term": 7, "owner": "s1/b"}
                assert call(service.address, method, asked, "seven")[0] == 400
    apply_retention(tmp_path, 1 << 20, Token(7, "s1/b"))
    for token in (Token(6, "s0/a"), Token(7, "s0/a"), None):
        with pytest.raises(FencingError):
            apply_retention(tmp_path, 1 << 20, token)
    (tmp_path / "control.json").write_text(json.dumps({"listen": {"port": 0}, "state_dir": str(tmp_path / "control")}))
    effects = [("PUT", "/settings", {"content": {}, "share": 0.1}), ("POST", "/stage", {"number": 1, "share": 0.2}),
               ("POST", "/rollback", {"number": 1})]  # fmt: skip
    for _ in range(2):
        with program("control", "run", str(tmp_path / "control.json")) as service:
            control(service.url, "PUT", "/settings", {"content": {}, "share": 0.1}, Token(7, "s1/b"))
            for method, path, body in effects:
                for late in (Token(6, "s0/a"), Token(7, "s0/a"), None):
                    with pytest.raises(ControlError) as refused:
                        control(service.url, method, path, body, late)
                    assert refused.value.known == Token(7, "s1/b")


def rows(number: int, served: int = 800) -> list[dict[str, Any]]:
    """Twenty nodes as the control service reports them, five of them with a staged version."""
    return [{"wanted": number if n < 5 else 1, "runs": number if n < 5 else 1, "evidence": "runs it", "asked": 1_000,
             "served": (served if n < 5 else 900) + n % 3, "asked_before": 1_000, "served_before": 900 + n % 2}
            for n in range(20)]  # fmt: skip


def call(at: tuple[str, int], method: str, body: bytes, owner: str) -> tuple[int, dict[str, Any]]:
    headers = [("Host", "t"), ("Connection", "close"), *([(TOKEN_HEADER, owner)] if owner else [])]
    status, answer = calls.call(*at, writer.request(method, "/engines", headers, body), 5.0)
    return status, json.loads(answer)


# Settings and commands.


def settings_of(folder: Path, **more: Any) -> Path:
    folder.mkdir(exist_ok=True)
    path = folder / "steward.json"
    text = {"name": "s9", "register": {"folder": str(folder / "register")}, "lease_s": 0.5, "margin_ms": 20, **more}
    path.write_text(json.dumps(text))
    return path


@pytest.mark.parametrize(
    "invalid,output",
    [
        ({"register": {}}, "either a folder"),
        ({"register": {"etcd": ["nowhere"]}}, "host:port"),
        ({"publish": "x"}, "the list service's URL"),
        ({"margin_ms": 400}, "less than half"),
        ({"leases": 1}, "leases"),
    ],
)
def test_invalid_settings_report_what_is_allowed(tmp_path: Path, invalid: dict[str, Any], output: str) -> None:
    with pytest.raises(SettingsError, match=output):
        load_controller_settings(settings_of(tmp_path, **invalid))


def test_operators_see_the_leader_pause_hand_over_and_raise_the_term(tmp_path: Path) -> None:
    path = settings_of(tmp_path)

    def output(*arguments: str) -> str:
        result = CliRunner().invoke(main, ["steward", *arguments])
        assert result.exit_code == 0, result.output
        return result.output

    assert "nobody ever owned it" in output("who", str(path))
    with program("steward", "run", str(path)) as process:
        assert wait_for(lambda: '"stage":"owning"' in health(process.url))
        assert "s9/" in output("who", str(path)) and "renews" in output("who", str(path))
        assert "paused" in output("pause", "--why", "racks", str(path))
        assert wait_for(lambda: '"stage":"owning"' not in health(process.url))
        assert "nobody owns it" in output("who", str(path))
        assert "not paused" in output("resume", str(path))
        assert wait_for(lambda: '"stage":"owning"' in health(process.url))
        assert "asked to hand over" in output("hand-over", "--to", "s1", str(path))
    assert output("history", str(path)).count("term") >= 2 and "owner" in output("ls", str(path))
    assert "term 42" in output("resume", "--past", "41", str(path))
    store = open_store(load_controller_settings(path))
    assert rewrite_record(store, "fleet", lambda r: r).term == 42
    store.close()
    assert output("jobs", str(path)) == ""


def test_without_its_store_a_controller_reports_it_does_nothing_and_stops(tmp_path: Path) -> None:
    path = settings_of(tmp_path, register={"etcd": ["127.0.0.1:9"]}, retention={"folder": str(tmp_path)})
    with program("steward", "run", str(path), "--log", str(tmp_path / "log")) as process:
        assert wait_for(lambda: "refused" in (tmp_path / "log").read_text())
        assert '"stage":"watching"' in health(process.url) and "not the owner" in health(process.url)
    assert process.running.returncode == 0 and not (tmp_path / "owner.json").exists()
    result = CliRunner().invoke(main, ["steward", "who", str(path)])
    assert result.exit_code == 1 and "refused" in result.output


def health(url: str) -> str:
    request = writer.request("GET", "/health", [("Host", "t"), ("Connection", "close")])
    return calls.call(*address_of(url), request, 5.0)[1].decode()


# Processes: three controllers, the store, the discovery service.

CONTROLLERS = {"count": 3, "lease_s": 1.0, "publish": 4, "every_s": 2.0, "maintain": 2, "phase_s": 0.3}
LEADER_PATCH = {"what": "head", "method": "PATCH", "to": "lists"}
LEADER_GET = {**LEADER_PATCH, "method": "GET"}
TO_LISTS, TO_STORE = {"to": "lists", "of": "@from"}, {"to": "register", "of": "@from"}
PLAYS: dict[str, dict[str, Any]] = {
    # The leader is stopped at an effect, for three leases; its unanswered effect arrives late.
    "stopped": {"faults": [{"what": "stop", "to": "@from", "for_s": 3.0, "when": LEADER_PATCH},
                           {"what": "cut_back", **TO_LISTS, "for_s": 2.0, "when": LEADER_PATCH}]},
    # The leader's effect is held back after its read, it loses the store, and the effect arrives four leases later.
    "late effects": {"stewards": {**CONTROLLERS, "maintain": 0},
                     "faults": [{"what": "cut_there", **TO_LISTS, "for_s": 4.0, "when": LEADER_GET},
                                {"what": "cut", **TO_STORE, "for_s": 4.0, "after_s": 0.3, "when": LEADER_GET}]},
    "killed": {"faults": [{"what": "kill", "to": "@from", "for_s": 0.3, "times": 4, "when": LEADER_PATCH}]},
    "register": {"faults": [{"what": "kill", "to": "register", "at": 4.0, "for_s": 1.5},
                            {"what": "register_lost", "to": "register", "at": 8.0, "for_s": 0.8},
                            {"what": "register_slow", "to": "register", "at": 10.0, "for_s": 1.0,
                             "args": {"ms": 200}}]},
    # One prober for all nodes: an engine hangs, and nodes that never called it learn of it from the list.
    "checks": {"nodes": 2, "listed": 0, "engines": [{"name": f"{r[0]}{n}", "role": r} for r in ("reader", "writer")
                                                    for n in range(4)],
               "stewards": {**CONTROLLERS, "maintain": 0, "publish": 1, "checks_s": 0.3},
               "node": {"source": {"heed_checks": True}, "log_level": "info"},
               "faults": [{"what": "engine_hang", "to": "e:r1", "at": 6.0, "for_s": 4.0},
                          {"what": "kill", "to": "s0", "at": 7.0, "for_s": 1.0}]},
}  # fmt: skip


MAINTAINED = {name: [] if name in ("late effects", "checks") else ["nobody-0", "nobody-1"] for name in PLAYS}
LISTS = {"checks": 1}  # published


MEMORY_FOLDER = Path("/dev/shm")


@contextmanager
def quick_folder() -> Iterator[Path]:
    """A folder in memory where the machine has one: the store syncs each write, and a disk that other programs hold up
    for longer than a lease would end the leaders' terms."""
    in_memory = MEMORY_FOLDER if os.access(MEMORY_FOLDER, os.W_OK) else None
    with tempfile.TemporaryDirectory(prefix="stewards-", dir=in_memory) as folder:
        yield Path(folder)


@pytest.fixture(scope="module")
def plays() -> Iterator[dict[str, tuple[Future[Played], Path]]]:
    with quick_folder() as folder:
        yield from run_plays(folder)


def run_plays(folder: Path) -> Iterator[dict[str, tuple[Future[Played], Path]]]:
    """Start all plays at once, each in a folder of its own."""
    base: dict[str, Any] = {
        "name": "stewards", "seconds": 17.0, "nodes": 0, "listed": 6, "start_within_ms": 200,
        "lists": {"lists_per_second": 200.0, "waiting": 100.0},
        "stewards": CONTROLLERS,
    }  # fmt: skip
    with ProcessPoolExecutor(len(PLAYS), mp_context=get_context("spawn")) as pool:
        yield {name: (pool.submit(play, parse_script(json.dumps({**base, **more})), 1, folder / name), folder / name)
               for name, more in PLAYS.items()}  # fmt: skip


@pytest.mark.parametrize("name", PLAYS)
def test_effects_of_two_leaders_do_not_interleave_and_each_result_comes_once(
    name: str, plays: dict[str, tuple[Future[Played], Path]]
) -> None:
    played = plays[name][0].result(120.0)
    assert played.trouble == [] and played.unclean == []
    text = (plays[name][1] / "lists" / LISTS_LOG).read_text()
    log = [json.loads(line) for line in text.splitlines()]
    effects_applied = owners.effects(log)
    assert list(owners.interleaved(effects_applied)) == []
    assert list(owners.results(effects_applied, LISTS.get(name, 4), MAINTAINED[name])) == []
    terms = owners.kept_terms(log)
    assert len(terms) >= (2 if name in ("stopped", "killed") else 1), terms
    if name == "late effects":
        assert "is over" in text  # the old leader's late effect arrived and was refused


def test_nodes_learn_of_a_hanging_engine_from_one_prober(plays: dict[str, tuple[Future[Played], Path]]) -> None:
    plays["checks"][0].result(120.0)
    for node in ("n0", "n1"):
        text = (plays["checks"][1] / node / "node.log").read_text()
        assert "server r1 left out" in text and "server r0 left out" not in text


def test_the_checker_of_leaders_effects_finds_seeded_violations() -> None:
    def effect(term: int, owner: str, changed: int = 1, leaving: str = "") -> owners.Effect:
        return owners.Effect(term, owner, 1, changed, "put", tuple(leaving.split()))

    good = [effect(1, "a"), effect(1, "a", 0), effect(2, "b")]
    assert list(owners.interleaved(good)) == [] and list(owners.results(good, 2, [])) == []
    assert "after term 2" in next(owners.interleaved([*good, effect(1, "a")]))
    assert "two owners" in next(owners.interleaved([*good, effect(2, "c")]))
    assert "3 lists" in next(owners.results(good, 3, [])) and "0 times" in next(owners.results(good, 2, ["r0"]))
    back = [effect(1, "a", 0), effect(1, "a", 0, "r0"), effect(1, "a", 0)]
    assert list(owners.results(back, 0, ["r0"])) == []
    assert "2 times" in next(owners.results([*back, *back], 0, ["r0"]))
    assert "still is" in next(owners.results(back[:2], 0, ["r0"]))
