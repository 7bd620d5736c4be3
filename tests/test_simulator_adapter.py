"""The simulator adapter on hand-written batches."""

from __future__ import annotations

import io
import os
import subprocess
import sys

import pytest

from stonetrack import api
from stonetrack.simulator_adapter import SimulatorAdapter, render

PAIRS = [
    "balancers=2",
    "bounds.cancel=true",
    "bounds.max_attempts=4",
    "bounds.probing=true",
    "bounds.second_copies=false",
    "contract.cold_from=0.26",
    "contract.fall_ns=3000000000",
    "contract.overload_factor=3.0",
    "contract.warm_within_ns=14000000000",
    "discovery=pushed",
    "family_info.aim_us_per_1000_prompt_tokens=40000.0,40000.0",
    "family_info.kv_tokens=200000,100000",
    "family_info.may_reserve=true",
    "family_info.release_within_ns=500000000",
    "family_info.report_x0=share_of_memory_that_is_held",
    "family_info.report_x1=thousands_of_prompt_tokens_waiting_to_be_read_or_fetched",
    "family_info.role_by_kind=read,write",
    "family_info.token_aim_ns=60000000,80000000",
    "me=0",
    "report.fields=inflight,queue,x0,x1",
    "report.source=inline",
    "request_classes.count=2",
    "request_classes.0.aim_ns=1500000000",
    "request_classes.0.hard_limit_ns=6000000000",
    "request_classes.0.semantics=pure",
    "request_classes.1.aim_ns=2500000000",
    "request_classes.1.hard_limit_ns=10000000000",
    "request_classes.1.semantics=token",
    "request_classes.1.dedup_scope=cell",
    "request_classes.1.key_ttl_ns=5",
    "something.new=7",
]


def born(node: int) -> str:
    return "\t".join([f"BORN\tnode={node}\tentropy=5", f"params={PAIRS[0]}", *PAIRS[1:]])


def view(node: int) -> list[str]:
    return [
        f"VIEW\tnode={node}\tform=SAVED\tstamp=1\trecords=2",
        "ENTRY\tengine=engine-r\tdc=0\thw=0\tcell=0\tcondition=up\tscale=1",
        "ENTRY\tengine=engine-w\tdc=0\thw=1\tcell=0\tcondition=up\tscale=1\tsince_ns=0",
    ]


def batch(turn: int, *lines: str, now: int = 50_000_000_000) -> str:
    return "\n".join([f"BEGIN_BATCH\tsim_time_ns={now + turn}\tturn={turn}", *lines, "COMMIT", ""])


def run(text: str) -> list[str]:
    sink = io.StringIO()
    assert SimulatorAdapter().run(io.StringIO(text), sink) == 0
    return sink.getvalue().splitlines()


KNOCK = (
    "KNOCK\tnode=0\tcall=00000000000000aa\tcls=0\tthread=chat/k\tpatience_left_ns=6000000000"
    "\tinput_len=1800\tmax_tokens=200\tsurprise=1"
)


def test_an_empty_batch_is_answered() -> None:
    assert run(batch(1)) == ["END\tturn=1"]


def test_a_request_from_arrival_to_end() -> None:
    lines = run(
        batch(1, born(0), *view(0))
        + batch(2, KNOCK)
        + batch(
            3,
            "RESULT\tnode=0\tcall=00000000000000aa\ttry=0\tengine=engine-r\thow=half_done"
            "\tnote=0\ttime_taken_ns=9\thealth_info=inflight:1,queue:0,x0:0.5,x1:1.5",
        )
        + batch(4, "ACK_FIRST\tnode=0\tcall=00000000000000aa\ttry=1\tengine=engine-w\ttime_taken_ns=9")
        + batch(5, "RESULT\tnode=0\tcall=00000000000000aa\ttry=1\tengine=engine-w\thow=delivered\tdone_flag=1")
    )
    sends = [line.split("\t")[3] for line in lines if line.startswith("PLACE\t")]
    assert sends == ["engine=engine-r", "engine=engine-w"]
    assert not [line for line in lines if line.startswith(("BOUNCE", "ABORT", "BROKEN"))]
    assert [line for line in lines if line.startswith("END")] == [f"END\tturn={n}" for n in range(1, 6)]


def test_settings_and_reports_reach_the_interface() -> None:
    adapter = SimulatorAdapter()
    adapter.run(io.StringIO(batch(1, born(0), *view(0))), io.StringIO())
    instance = adapter.instances[0]
    settings = instance.router.settings
    assert [k.role for k in settings.kinds] == [api.Role.PREFILL, api.Role.DECODE]
    assert [k.memory_tokens for k in settings.kinds] == [200_000, 100_000]
    assert settings.classes[1].effect is api.Effect.KEYED
    assert settings.classes[1].scope is api.Scope.CELL
    assert settings.classes[0].aim_per_1000_tokens == 40_000_000
    report = instance.report({"health_info": "inflight:7,queue:3,x0:0.4,x1:1.25,new:4"})
    assert report == api.LoadReport(7.0, 3.0, 0.4, 1250.0)


@pytest.mark.parametrize(
    "how, outcome",
    [
        ("delivered", api.Outcome.SERVED),
        ("app_error", api.Outcome.ERROR),
        ("shed", api.Outcome.FULL),
        ("expired", api.Outcome.TIMED_OUT),
        ("dial_failed", api.Outcome.CONNECT_FAILED),
        ("dropped", api.Outcome.RESET),
        ("revoked", api.Outcome.CANCELLED),
        ("unused", api.Outcome.NOT_SENT),
        ("half_done", api.Outcome.READ),
    ],
)
def test_every_outcome_is_translated(how: str, outcome: api.Outcome) -> None:
    adapter = SimulatorAdapter()
    adapter.run(io.StringIO(batch(1, born(0), *view(0))), io.StringIO())
    event = adapter.instances[0].event("RESULT", {"call": "a", "engine": "e", "how": how, "note": "1"})
    assert isinstance(event, api.AttemptEnded)
    assert event.outcome is outcome
    assert event.state_missing is (how == "shed")
    assert event.kept_tokens == (1 if how in ("delivered", "half_done") else 0)


def test_an_instance_restarted_within_a_batch_keeps_nothing() -> None:
    lines = run(
        batch(1, born(0), *view(0))
        + batch(2, KNOCK)
        + batch(3, "POWER_OFF\tnode=0", born(0), *view(0))
        + batch(4, "RESULT\tnode=0\tcall=00000000000000aa\ttry=0\tengine=engine-r\thow=half_done")
    )
    assert lines[-1] == "END\tturn=4" and lines[-2].startswith(("END\tturn=3", "SLEEP"))


def test_instances_are_independent() -> None:
    second = KNOCK.replace("node=0", "node=1")
    both = run(batch(1, born(0), *view(0), born(1), *view(1)) + batch(2, KNOCK, second))
    alone = run(batch(1, born(0), *view(0)) + batch(2, KNOCK))
    assert [line for line in both if "node=0" in line] == [line for line in alone if "node=0" in line]


@pytest.mark.parametrize(
    "line, words",
    [
        ("KNOCK\tnode=0\tcall=aa\tcls=x\tpatience_left_ns=5", "line 6: field cls: not a whole number"),
        ("KNOCK\tnode=0\tcls=0", "line 6: field call is missing"),
        ("RESULT\tnode=0\tcall=aa\tengine=e\thow=odd", "line 6: field how: unknown word 'odd'"),
        ("HELLO\tnode=0", "line 6: unknown word 'HELLO'"),
        ("WAKEUP\tnode=9\tctx=1", "line 6: field node: instance 9 is not running"),
        ("KNOCK\tnode=0\tcall=aa\tcls=7\tpatience_left_ns=5", "line 6: request aa: unknown class 7"),
        ("KNOCK\tnode", "line 6: part 'node' is no name=value pair"),
    ],
)
def test_a_malformed_line_is_reported_with_line_and_field(line: str, words: str) -> None:
    text = batch(1, born(0), *view(0)).replace("COMMIT", line + "\nCOMMIT")
    lines = run(text)
    assert lines[-1] == "END\tturn=1"
    assert len(lines) == 2 and lines[0].startswith("BROKEN\tnode=") and words in lines[0]


def test_an_error_outside_a_batch_goes_to_standard_error(capsys: pytest.CaptureFixture[str]) -> None:
    assert SimulatorAdapter().run(io.StringIO("HELLO\tnode=1\n"), io.StringIO()) == 2
    assert capsys.readouterr().err == "stonetrack: line 1: expected BEGIN_BATCH, found 'HELLO'\n"
    assert SimulatorAdapter().run(io.StringIO("BEGIN_BATCH\tsim_time_ns=1\tturn=1\n"), io.StringIO()) == 2
    assert "ends inside a batch" in capsys.readouterr().err


def test_actions_are_rendered() -> None:
    assert render(3, api.Send("aa", "engine-x", 80)) == "PLACE\tnode=3\tcall=aa\tengine=engine-x\tlimit_ns=80"
    assert render(3, api.Refuse("aa")) == "BOUNCE\tnode=3\tcall=aa"
    assert render(3, api.Refuse("aa", 5)) == "BOUNCE\tnode=3\tcall=aa\tretry_after_ns=5"
    assert render(3, api.Fail("aa")) == "ABORT\tnode=3\tcall=aa"
    assert render(3, api.Cancel("aa", 2)) == "WITHDRAW\tnode=3\tcall=aa\ttry=2"
    assert render(3, api.HoldPlace("aa", "e")) == "HOLD_PLACE\tnode=3\tcall=aa\tengine=e"
    assert render(3, api.Release("aa")) == "RELEASE\tnode=3\tcall=aa"
    assert render(3, api.Move("aa")) == "REDIRECT\tnode=3\tcall=aa"
    assert render(3, api.Probe("e")) == "PROBE\tnode=3\tengine=e"
    assert render(3, api.SetTimer(7, 9)) == "SLEEP\tnode=3\tctx=7\toffset_ns=9"
    assert render(3, api.Subscribe()) == "OBSERVE\tnode=3\twant=1"
    assert render(3, api.Log("two words")) == "WRITE_LOG\tnode=3\tline=two words"


def test_the_same_events_give_the_same_bytes_under_any_hash_seed() -> None:
    knocks = [KNOCK.replace("aa\t", f"{n:02x}\t").replace("chat/k", f"chat/{n % 5}") for n in range(40)]
    text = batch(1, born(0), *view(0)) + "".join(batch(n + 2, line) for n, line in enumerate(knocks))
    replies = {
        subprocess.run(
            [sys.executable, "-m", "stonetrack.simulator_adapter"],
            input=text,
            text=True,
            check=True,
            capture_output=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("0", "1", "77")
    }
    assert len(replies) == 1
