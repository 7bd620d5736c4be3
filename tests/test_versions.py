"""Settings versions over several processes with faults between them; judged by what engines and links recorded."""

from __future__ import annotations

import json
from collections.abc import Iterator
from concurrent.futures import Future, ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import pytest

from stonetrack.fleet import versions
from stonetrack.fleet.rig import Played, play
from stonetrack.fleet.script import parse_script
from stonetrack.fleet.versions import Decided

SECOND = 1_000_000_000
ENGINES = [{"name": f"{role[0]}{n}", "role": role} for role in ("reader", "writer") for n in range(2)]
CHAT = {"name": "chat", "first_token_ms": 2_000, "deadline_ms": 6_000}
EXTRA = {**CHAT, "name": "extra"}


def weighted(value: float) -> dict[str, Any]:
    return {"routing": {"over_share_worth": value}}


PLAYS: dict[str, dict[str, Any]] = {
    # A node is stopped during three versions and continues after its lease has expired.
    "stopped": {
        "seconds": 25.0, "nodes": 3,
        "control": {
            "settings": {"permit_s": 2.0, "wait_s": 0.5, "most_out": 0.4,
                         "rule": {"grace_s": 1.0, "bound_s": 3.0, "steps_out": True}},
            "versions": [{"at": at, "content": weighted(n / 10)} for n, at in enumerate((6.5, 11.0, 12.0, 13.0), 1)],
        },
        "faults": [{"what": "stop", "to": "n1", "at": 10.0, "for_s": 6.0}],
    },
    # One node cannot install a version and is fenced; the service dies just after publishing; a former leader
    # publishes; state folders are lost and replaced by old ones; a later version lifts the fence.
    "shut out": {
        "seconds": 27.0, "nodes": 5,
        "node_of": {"n2": {"classes": [CHAT, EXTRA],
                           "rules": [{"to": "extra", "header": {"name": "x", "value": "y"}}]}},
        "control": {
            "settings": {"wait_s": 0.5, "rule": {"grace_s": 1.0, "bound_s": 3.0}},
            "versions": [
                {"at": 6.5, "content": weighted(0.1), "term": 4},
                {"at": 9.0, "content": {"classes": [CHAT], **weighted(0.2)}, "term": 5},
                {"at": 12.5, "content": weighted(0.9), "term": 4},
                {"at": 18.0, "content": {"classes": [CHAT, EXTRA], **weighted(0.3)}, "term": 6},
            ],
        },
        "faults": [
            {"what": "kill", "to": "control", "at": 9.1, "for_s": 1.0},
            {"what": "keep_state", "to": "n4", "at": 8.0},
            {"what": "lose_state", "to": "n3", "at": 12.0, "for_s": 0.2},
            {"what": "old_state", "to": "n4", "at": 13.0, "for_s": 0.2},
        ],
    },
    # A controller rolls out a version that costs no service, then one whose deadlines are too short for any request;
    # the leader is killed in between.
    "rolled out": {
        "seconds": 45.0, "nodes": 8, "listed": 0, "stewards": {
            "count": 2, "publish": 1, "maintain": 0, "lease_s": 1.0,
            "rollout": {"stages": [0.3], "least_s": 2.0, "most_s": 60.0, "loss": 0.1}},
        "clients": {"rate": 60.0, "classes": [{"name": "chat"}], "leave_early": 0.0, "leave_at_first": 0.0},
        "control": {
            "settings": {"wait_s": 0.5},
            "versions": [
                {"at": 9.0, "content": weighted(0.1), "rolled": True},
                {"at": 9.1, "content": {"classes": [{**CHAT, "first_token_ms": 1, "deadline_ms": 210}]},
                 "rolled": True},
            ],
        },
        "faults": [{"what": "kill", "to": "s0", "at": 11.0, "for_s": 3.0},
                   {"what": "kill", "to": "s1", "at": 15.0, "for_s": 3.0}],
    },
    # The service is partitioned from all nodes for longer than a lease: nodes continue to serve where the settings
    # say so.
    "service cut": {
        "seconds": 19.0, "nodes": 3,
        "control": {"settings": {"permit_s": 1.5, "wait_s": 0.3}, "versions": [{"at": 6.5, "content": weighted(0.1)}]},
        "faults": [{"what": "cut", "to": "control", "at": 8.0, "for_s": 5.0}],
    },
}  # fmt: skip


@pytest.fixture(scope="module")
def plays(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, tuple[Future[Played], Path]]]:
    folder = tmp_path_factory.mktemp("versions")
    base = {"start_within_ms": 300, "listed": 10, "engines": ENGINES, "load_from": 6.0,
            "clients": {"rate": 30.0, "classes": [{"name": "chat"}], "leave_early": 0.0,
                        "leave_at_first": 0.0}}  # fmt: skip
    with ProcessPoolExecutor(len(PLAYS), mp_context=get_context("spawn")) as pool:
        yield {
            name: (pool.submit(play, parse_script(json.dumps({"name": name, **base, **each})), 1, folder / str(n)),
                   folder / str(n)) for n, (name, each) in enumerate(PLAYS.items())
        }  # fmt: skip


Plays = dict[str, tuple[Future[Played], Path]]


def seen(plays: Plays, name: str) -> tuple[Played, list[Decided], list[dict[str, Any]]]:
    """Return a play's result, the decisions that engines recorded, and the control service's log."""
    made, folder = plays[name][0].result(120.0), plays[name][1]
    assert made.trouble == [] and made.unclean == []
    taps = [json.loads(line) for line in (folder / "engines.log").read_text().splitlines()]
    service_log = [json.loads(line) for line in (folder / "control" / "control.log").read_text().splitlines()]
    return made, versions.decisions(taps, made.start), service_log


def check_rules(made: Played) -> None:
    """Check the five rules of requests."""
    assert made.verdict is not None
    assert made.verdict.kept, [str(breach) for breach in made.verdict.breaches]


def last_versions(decided: list[Decided]) -> dict[str, int]:
    return {each.node: each.number for each in decided}


def health_states(made: Played, node: str) -> list[str]:
    return [r["said"] for r in made.log if r["what"] == "health" and r["part"] == node]


def test_node_stopped_during_three_versions_takes_nothing_on_the_old_one(plays: Plays) -> None:
    made, decided, _ = seen(plays, "stopped")
    sent = {s.request: s.sent - made.start for s in made.seen if s.request}
    assert not versions.after_permit(decided, made.log, sent)
    assert not versions.steps_back(decided, made.log, sent)
    stopped = versions.last_stop(made.log, "n1", decided[-1].t)
    assert stopped is not None
    # Requests that arrived meanwhile waited in the kernel; they are taken under the newest version or not at all.
    delayed = [d for d in decided if d.node == "n1" and d.first and d.t > stopped and sent.get(d.request, 0) >= stopped]
    assert delayed and {d.number for d in delayed} == {4}
    assert last_versions(decided) == {"n0": 4, "n1": 4, "n2": 4}
    resumed = [d for d in decided if d.node == "n1" and d.first and d.t > 16.2 * SECOND]
    assert resumed and {d.number for d in resumed} == {4}
    others = [d for d in decided if d.node != "n1" and d.first and 10.0 * SECOND < d.t < 16.0 * SECOND]
    assert {d.number for d in others} >= {1, 4} and len(others) > 50  # they served meanwhile
    assert health_states(made, "n1")[-1] == "ready"


def test_judge_finds_a_decision_after_lease_expiry() -> None:
    """Negative control: the same evidence with one attempt after the lease, and one by an older version."""
    log = [{"t": 1, "what": "head", "from": "n1", "to": "control"},
           {"t": 2, "what": "answer", "from": "n1", "to": "control", "permit_ms": 2_000, "steps_out": True},
           {"t": SECOND, "what": "fault", "fault": "stop", "to": "n1"}]  # fmt: skip
    late = Decided(8 * SECOND, "n1", "q", True, 1)
    assert versions.after_permit([late], log, {"q": 5 * SECOND})
    assert not versions.after_permit([late], log, {"q": SECOND // 2})  # taken before it was stopped
    assert not versions.after_permit([Decided(2 * SECOND, "n1", "q", True, 1)], log, {"q": SECOND})
    serves_on = [{**r, "steps_out": False} if r["what"] == "answer" else r for r in log]
    assert not versions.after_permit([late], serves_on, {"q": 5 * SECOND})
    back = [late, Decided(9 * SECOND, "n1", "p", True, 0)]
    assert versions.steps_back(back)
    assert versions.steps_back(back, log, {"p": SECOND + 1})  # sent while it was stopped
    assert not versions.steps_back(back, log, {"p": SECOND - 1})  # may have been decided before it was stopped
    assert versions.steps_back(back, [], {"p": SECOND - 1})  # it was not stopped


def test_node_that_rejects_a_version_is_fenced_until_one_that_it_can_install(plays: Plays) -> None:
    made, decided, service_log = seen(plays, "shut out")
    assert 2 not in {d.number for d in decided if d.node == "n2"}
    out = [r for r in service_log if r["event"] == "stale node" and r["order"] == "out"]
    assert {r["node"] for r in out} == {"n2-0"} and out[0]["evidence"] == "turned it down"
    assert "a class: chat" in out[0]["why"]
    assert any(r["event"] == "back" and r["node"] == "n2-0" for r in service_log)
    refused = [text for text in health_states(made, "n2") if "takes no requests" in text or "turned it down" in text]
    assert refused and health_states(made, "n2")[-1] == "ready"
    fenced_at = next(
        r["t"] for r in made.log if r["what"] == "health" and r["part"] == "n2" and r["said"] == refused[0]
    )
    lifted_at = next(r["t"] for r in made.log if r["what"] == "published" and r["number"] == 3)
    taken = [d for d in decided if d.node == "n2" and d.first and fenced_at + SECOND < d.t < lifted_at]
    assert not taken and sum(d.node == "n2" and d.t > lifted_at for d in decided) > 5
    # A version published before the service died is known after it; a former leader's is refused; nodes with lost or
    # old state folders end on the newest version.
    assert [r["number"] for r in made.log if r["what"] == "published"] == [1, 2, 3]
    assert "term 4" in next(r["why"] for r in made.log if r["what"] == "not published")
    assert last_versions(decided) == {f"n{n}": 3 for n in range(5)}
    check_rules(made)


def test_partitioned_service_stops_no_node_that_may_continue(plays: Plays) -> None:
    made, decided, service_log = seen(plays, "service cut")
    assert {n: [t for t in health_states(made, n) if "requests" in t] for n in ("n0", "n1", "n2")} == {
        "n0": [], "n1": [], "n2": []}  # fmt: skip
    assert {d.number for d in decided if d.t > 8 * SECOND} == {1}
    check_rules(made)
    assert not [r for r in service_log if r["event"] == "stale node"]


def test_staged_version_that_costs_service_is_rolled_back_by_the_controller(plays: Plays) -> None:
    made, decided, service_log = seen(plays, "rolled out")
    changes = [(r["what"], r["number"], r["base"]) for r in service_log if r["event"] == "version"]
    assert changes == [("published", 1, 0), ("staged", 1, 1), ("published", 2, 1), ("rolled back", 3, 3)]
    bad = {d.node for d in decided if d.number == 2}
    assert bad and len(bad) <= 5  # by a hash of the names: 2.4 of 8 expected
    assert last_versions(decided) == {f"n{n}": 3 for n in range(8)}
    rollback = next(r for r in service_log if r["event"] == "version" and r["what"] == "rolled back")
    assert rollback["term"] >= 1 and not versions.steps_back(decided)
    served = [s.ended == "served" for s in made.seen if s.sent - made.start > made.log[-1]["t"] - 8 * SECOND]
    assert served and sum(served) > 0.9 * len(served)  # no node runs it at the end
