"""Settings versions, leases, stale nodes and staged roll-outs, and the control service's commands."""

from __future__ import annotations

import itertools
import json
import random
import time
from collections import deque
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from stonetrack.cli.main import main
from stonetrack.control import stale_nodes
from stonetrack.control.client import ControlError, call
from stonetrack.control.documents import NO_VERSION, Document, content_digest, make_document, problem
from stonetrack.control.follower import Follower, InstallStep, Lease
from stonetrack.control.history import History, HistoryError, from_fields, share_position, to_fields
from stonetrack.control.messages import Answer, Report
from stonetrack.control.model_checker import Bounds, Omitted, explore
from stonetrack.control.rollout import NodeSample, SprtParameters, StageAction, Verdict, next_action, verdict
from stonetrack.control.stale_nodes import Evidence, Node, Order, Rules, decide_orders
from stonetrack.daemon.control_follower import ControlFollower
from stonetrack.fleet.processes import program
from stonetrack.settings import parse
from tests.harness import raw_settings

SECOND = 1_000_000_000


def document(number: int, term: int = 0, value: int = 0) -> Document:
    return make_document(number, {"routing": {"max_attempts": value or number}}, "rule", term, "s")


def test_digest_does_not_depend_on_field_order() -> None:
    assert content_digest({"a": 1, "b": {"c": 2, "d": 3}}) == content_digest({"b": {"d": 3, "c": 2}, "a": 1})
    assert content_digest({"a": 1}) != content_digest({"a": 2})
    assert "digest" in problem(replace_document(document(1), content={"a": 1}))
    assert "a node's own" in problem(make_document(1, {"name": "n", "routing": {}}, "rule"))
    assert "allowed: rule, weight" in problem(make_document(1, {}, "other")) and not problem(document(1))


def replace_document(original: Document, **changes: object) -> Document:
    original_fields = {name: getattr(original, name) for name in original.__struct_fields__}
    return Document(**{**original_fields, **changes})


# Installation of versions by a node.


def installed(follower: Follower, offer: Document) -> Follower:
    follower, step = follower.offered(offer)
    for expected, complete in (
        (InstallStep.VALIDATE, Follower.validated),
        (InstallStep.PERSIST, Follower.persisted),
        (InstallStep.APPLY, Follower.applied),
    ):
        assert step is expected
        follower, step = complete(follower, "")
    return follower


def test_version_is_validated_persisted_and_applied_before_it_is_acknowledged() -> None:
    follower = installed(Follower(), document(3))
    assert follower.running.number == 3 and follower.offered(document(2))[1] is InstallStep.NONE
    assert follower.offered(document(3))[0] is follower
    for fail, steps_before in ((Follower.validated, 0), (Follower.persisted, 1), (Follower.applied, 2)):
        failed, _ = follower.offered(document(4))
        for complete in (Follower.validated, Follower.persisted)[:steps_before]:
            failed, _ = complete(failed, "")
        failed, step = fail(failed, "no")
        assert failed.running.number == 3 and (failed.refused, failed.why) == (4, "no")
        # After a failure to apply, the previous version is written back to disk.
        assert step is (InstallStep.PERSIST if fail is Follower.applied else InstallStep.NONE)
        assert installed(failed, document(5)).refused == 0


def test_former_owners_and_numbers_with_two_contents_are_rejected() -> None:
    follower = installed(Follower(), document(3, term=5))
    late, step = follower.offered(document(9, term=4))
    assert step is InstallStep.NONE and late.running.number == 3 and "term 4 is over" in late.why
    twice, step = follower.offered(document(3, term=5, value=77))
    assert step is InstallStep.NONE and "means two things" in twice.why


def test_version_that_ends_each_process_does_not_disable_the_node(tmp_path: Path) -> None:
    """Four consecutive processes start with the persisted version, of which the first three end at once."""
    own = parse(json.dumps(raw_settings("http://127.0.0.1:9/x", control={"url": "http://127.0.0.1:9"})))
    path, logged = tmp_path / "settings-0.json", list[str]()
    path.write_bytes(msgspec.json.encode(make_document(7, {"routing": {"max_attempts": 3}}, "rule", 2, "s")))

    def started() -> ControlFollower:
        return ControlFollower(own, "n", "b", path, apply_settings=lambda node, document: None,
                               request_counts=lambda: (0, 0), acting_digest=lambda: "", restart=lambda: None,
                               log=logged.append, rng=random.Random(1))  # fmt: skip

    for _ in range(3):
        settings, version = started().restore()
        assert version.number == 7 and settings.routing.max_attempts == 3
    fourth = started()
    assert fourth.restore() == (own, NO_VERSION) and "ended under it 3 times" in logged[-1]
    assert fourth.follower.refused == 7
    # The same version offered again is not installed.
    fourth.apply_document(make_document(7, {"routing": {"max_attempts": 3}}, "rule", 2, "s"))
    assert fourth.follower.running is NO_VERSION
    fourth.apply_document(document(8, term=2))
    assert fourth.follower.running.number == 8 and not fourth.follower.quarantined
    assert started().restore()[1].number == 8  # its starts are counted from zero
    fourth._clear_start_count()
    assert started().restore()[1].number == 8 and not logged[-1].startswith("version 8 was rejected")


def test_lease_is_renewed_after_the_version_sent_with_it_is_in_force() -> None:
    """Otherwise a node suspended past its lease takes requests on the old version for some milliseconds."""
    control = {"url": "http://127.0.0.1:9", "steps_out": True}
    own = parse(json.dumps(raw_settings("http://127.0.0.1:9/x", control=control)))
    refused: list[str] = []
    node = ControlFollower(own, "n", "b", None, apply_settings=lambda settings, version: refused.append(node.refusal()),
                           request_counts=lambda: (0, 0), acting_digest=lambda: "", restart=lambda: None,
                           log=lambda text: None, rng=random.Random(1))  # fmt: skip
    node._handle_answer(Answer(permit_ms=60_000, steps_out=True, document=document(1)), time.monotonic_ns())
    assert refused == ["it has no permit yet: the control service does not answer"]
    assert node.refusal() == "" and node.follower.running.number == 1
    node._handle_answer(Answer(permit_ms=60_000, steps_out=True, out="stale", lifted_by=2), time.monotonic_ns())
    assert node.refusal() == "stale"


class World:
    """All histories of one node and its disk: offers in any order, repeated, from two owners, failures to validate,
    persist and apply, and a kill between any two steps."""

    OFFERS = (document(1, 1), document(2, 1), document(3, 1), document(2, 2, 9), document(4, 2))

    def __init__(self, synced: bool = True, fenced: bool = True) -> None:
        self.synced, self.fenced = synced, fenced

    def explore(self) -> tuple[int, list[str]]:
        """Return the number of states and the violations, shortest history first."""
        # Node state, disk, last acknowledged version, highest acknowledged term.
        initial = (Follower(), NO_VERSION, NO_VERSION, 0)
        seen, violations, queue = {repr(initial)}, [], deque([initial])
        while queue:
            state = queue.popleft()
            for label, after in self.steps(*state):
                violation = self.violation(state, after)
                if violation:
                    violations.append(f"{label}: {violation}")
                elif repr(after) not in seen:
                    seen.add(repr(after))
                    queue.append(after)
        return len(seen), violations

    State = tuple[Follower, Document, Document, int]

    def steps(self, follower: Follower, disk: Document, acknowledged: Document, term: int) -> list[tuple[str, State]]:
        found: list[tuple[str, World.State]] = []
        restarted = Follower(running=disk, term=disk.term)
        found.append(("kill", (restarted, disk, acknowledged, term)))
        if follower.installing is None:
            for offer in self.OFFERS:
                receiver = follower if self.fenced else replace(follower, term=0)
                found.append((f"offer {offer.number}", (receiver.offered(offer)[0], disk, acknowledged, term)))
        elif follower.step is InstallStep.VALIDATE:
            found += [(f"check {why}", (follower.validated(why)[0], disk, acknowledged, term)) for why in ("", "bad")]
        elif follower.step is InstallStep.PERSIST:
            found.append(("disk full", (follower.persisted("full")[0], disk, acknowledged, term)))
            found.append(
                ("kept", (follower.persisted("")[0], follower.installing if self.synced else disk, acknowledged, term))
            )
        elif follower.step is InstallStep.APPLY:
            undone, step = follower.applied("no")
            assert step is InstallStep.PERSIST
            found.append(("can't go on", (undone, undone.running, acknowledged, term)))
            done = follower.applied("")[0]
            found.append(("in force", (done, disk, done.running, max(term, done.running.term))))
        return found

    @staticmethod
    def violation(before: State, after: State) -> str:
        follower, disk, acknowledged, _ = after
        if follower.running.number < acknowledged.number:
            return f"runs {follower.running.number} after it acknowledged {acknowledged.number}"
        if acknowledged.term < before[2].term:
            return "an old owner's version came into force"
        if disk.number < acknowledged.number:
            return "what is acknowledged is not on disk"
        return ""


def test_no_history_of_one_node_and_its_disk_violates_a_property() -> None:
    states, violations = World().explore()
    assert states > 100 and not violations, violations[:3]


def test_exploration_finds_a_missing_sync_and_a_missing_fence() -> None:
    assert "not on disk" in World(synced=False).explore()[1][0]
    assert any("old owner" in violation for violation in World(fenced=False).explore()[1])


# Leases.


def test_lease_counts_from_the_report_and_stops_requests_only_where_set() -> None:
    lease = Lease()
    assert not lease.refusal(10**18, 0)  # no lease was ever granted: continues to serve
    assert "no permit yet" in Lease(steps_out=True).refusal(10**18, 0)  # unless its own settings require a lease
    expiring = lease.renewed(100, 50, steps_out=True)
    assert not expiring.refusal(149, 0) and "run out" in expiring.refusal(150, 0)
    assert not lease.renewed(100, 50, steps_out=False).refusal(10**18, 0)
    assert not expiring.renewed(140, 50, steps_out=True).refusal(150, 0)
    fenced = expiring.renewed(10**17, 50, steps_out=True).fenced("runs an older one", 7)
    assert fenced.refusal(10**17, 6) == "runs an older one" and not fenced.refusal(10**17, 7)
    assert not fenced.fenced("", 0).refusal(10**17, 6)


REPORTS = st.lists(st.tuples(st.integers(0, 50), st.integers(0, 20), st.integers(0, 30)), max_size=12)


@given(REPORTS, st.integers(0, 200))
def test_service_never_considers_a_node_out_that_takes_requests(
    reports: list[tuple[int, int, int]], checked_at: int
) -> None:
    """A lease that counts from the answer ends later than one from the report, whatever the network delays."""
    lease, service_expiry, now = Lease(), 0, 0
    for pause, delay_there, delay_back in reports:
        sent = now = now + pause
        service_expiry = max(service_expiry, sent + delay_there + 40)
        now += delay_there + delay_back
        lease = lease.renewed(sent, 40, steps_out=True)
    accepts = not lease.refusal(checked_at, 0)
    assert not (accepts and service_expiry and checked_at >= service_expiry)


# The service's versions.


def test_stages_advance_and_roll_back_and_numbers_never_decrease() -> None:
    history = History().published({"a": 1}, "rule", 1.0).published({"a": 2}, "weight", 0.1)
    assert (history.base, history.candidate) == (1, 2)
    names = [f"n{n}" for n in range(400)]
    first = {name for name in names if history.desired(name).number == 2}
    assert 15 <= len(first) <= 70
    wider = history.staged(2, 0.5)
    assert first < {name for name in names if wider.desired(name).number == 2}
    done = wider.staged(2, 1.0)
    assert (done.base, done.candidate) == (2, 0) and done.staged(2, 1.0) is done
    back = wider.rolled_back(2)
    assert back.desired("n1").number == 3 and back.desired("n1").content == {"a": 1} and back.rolled_back(2) is back
    with pytest.raises(HistoryError, match="staged"):
        wider.published({"a": 3}, "rule", 0.1)
    with pytest.raises(HistoryError, match="rolling back"):
        wider.staged(2, 0.1)
    with pytest.raises(HistoryError, match="not staged"):
        wider.staged(9, 0.5)
    with pytest.raises(HistoryError, match="not known"):
        wider.rolled_back(9)
    assert wider.published({"a": 3}, "rule", 1.0).candidate == 0
    assert history.published({"a": 2}, "weight", 0.1) is history  # repeated after a lost answer
    again = from_fields(**{**to_fields(wider), "documents": to_fields(wider)["documents"]})
    assert again == wider
    with pytest.raises(HistoryError):
        from_fields([document(2), document(1)], 1, 0, 0.0)
    other = {name for name in names if share_position(name, 3) < 0.1}
    assert len(other & first) < 0.5 * len(first)  # other nodes run the next version first


def test_first_nodes_of_a_stage_stay_and_are_at_least_two() -> None:
    base = History().published({"a": 1}, "rule", 1.0)
    few = ["a", "b", "c"]
    staged = base.published({"a": 2}, "rule", 0.01, names=few)
    assert len(staged.first) == 2 and base.published({"a": 2}, "rule", 0.0, names=few).first == frozenset()
    joined = staged.staged(2, 0.02, [*few, *"defghij"])
    assert set(staged.first) <= set(joined.first)
    assert {name for name in few if joined.desired(name).number == 2} >= set(staged.first)
    old = base.published({"a": 9}, "rule", 1.0, names=few, highest_running=7)
    assert old.newest.number == 8  # an old state was restored: above every number that nodes run
    node = fleet(1)["n0"].reported(0, "b", 9, "d9", "d9", 0, "").with_desired(0, 2)
    assert stale_nodes.evidence(node, "d2", 0, RULES) is Evidence.AHEAD
    assert decide({"n0": node}, 2, 10**12)[1]["n0"][0] is Order.NONE


# Stale nodes.

RULES = Rules()


def fleet(count: int, now: int = 0) -> dict[str, Node]:
    return {f"n{n}": Node(f"n{n}", now, "b", 1, "d1", "d1", highest_running=1, starts=(now,)) for n in range(count)}


def decide(nodes: dict[str, Node], number: int, now: int, kind: str = "rule", rules: Rules = RULES,
           reported: bool = True) -> tuple[dict[str, Node], dict[str, tuple[Order, Evidence]]]:  # fmt: skip
    if reported:
        nodes = {name: replace(node, last_report=now) for name, node in nodes.items()}
    desired = dict.fromkeys(nodes, (number, f"d{number}", kind))
    return decide_orders(nodes, desired, now, rules)


def test_stale_node_is_restarted_fenced_and_released_when_it_runs_the_version() -> None:
    nodes = fleet(10)
    nodes, _ = decide(nodes, 2, SECOND)
    for name in [f"n{n}" for n in range(1, 10)]:
        nodes[name] = nodes[name].reported(SECOND, "b", 2, "d2", "d2", 0, "")
    nodes, decided = decide(nodes, 2, 3 * SECOND)
    assert decided["n0"] == (Order.NONE, Evidence.BEHIND)  # within its grace period
    nodes, decided = decide(nodes, 2, 5 * SECOND)
    assert decided["n0"] == (Order.RESTART, Evidence.BEHIND) and decided["n1"][1] is Evidence.CURRENT
    nodes, decided = decide(nodes, 2, 6 * SECOND)
    assert decided["n0"][0] is Order.NONE  # no second restart within the pause
    nodes, decided = decide(nodes, 2, 12 * SECOND)
    assert decided["n0"][0] is Order.FENCE and nodes["n0"].fenced
    nodes["n0"] = nodes["n0"].reported(13 * SECOND, "b", 2, "d2", "d2", 0, "")
    nodes, decided = decide(nodes, 2, 13 * SECOND)
    assert decided["n0"] == (Order.NONE, Evidence.CURRENT) and not nodes["n0"].fenced


def test_evidence_is_classified() -> None:
    node = fleet(1)["n0"].with_desired(0, 2)
    cases = {
        Evidence.SILENT: replace(node, last_report=-11 * SECOND),
        Evidence.INCONSISTENT: node.reported(0, "b", 2, "d2", "d1", 0, ""),
        Evidence.CURRENT: node.reported(0, "b", 2, "d2", "d2", 0, ""),
        Evidence.LOST_STATE: node.reported(0, "b", 1, "d1", "d1", 0, "").reported(0, "c", 0, "d0", "d0", 0, ""),
        Evidence.REJECTED: node.reported(0, "b", 1, "d1", "d1", 2, "no"),
        Evidence.BEHIND: node,
    }
    for expected, reporting in cases.items():
        assert stale_nodes.evidence(reporting, "d2", 0, RULES) is expected
    flapping = node
    for n in range(6):
        flapping = flapping.reported(n, f"boot {n}", 1, "d1", "d1", 0, "")
    assert stale_nodes.evidence(flapping, "d2", 10, RULES) is Evidence.FLAPPING


def test_new_process_gets_a_grace_period_and_a_flapping_one_does_not() -> None:
    nodes, _ = decide(fleet(10), 2, SECOND)
    nodes = {n: node if n == "n0" else node.reported(SECOND, "b", 2, "d2", "d2", 0, "") for n, node in nodes.items()}
    nodes["n0"] = nodes["n0"].reported(60 * SECOND, "another", 1, "d1", "d1", 0, "")  # an old disk was restored
    nodes, decided = decide(nodes, 2, 61 * SECOND)
    assert decided["n0"][0] is Order.NONE
    assert decide(nodes, 2, 71 * SECOND)[1]["n0"][0] is Order.FENCE
    for n in range(5):
        nodes["n0"] = nodes["n0"].reported((62 + 3 * n) * SECOND, f"boot {n}", 1, "d1", "d1", 0, "")
    assert decide(nodes, 2, 75 * SECOND)[1]["n0"] == (Order.FENCE, Evidence.FLAPPING)


def test_version_rejected_by_most_nodes_fences_nobody() -> None:
    nodes, _ = decide(fleet(10), 2, SECOND)
    nodes = {name: node.reported(SECOND, "b", 1, "d1", "d1", 2, "no") for name, node in nodes.items()}
    assert all(order is Order.NONE for order, _ in decide(nodes, 2, 100 * SECOND)[1].values())
    # Rejected by three of ten nodes: these are stale and are fenced, at most two of them.
    minority = {
        name: node if name < "n3" else node.reported(SECOND, "b", 2, "d2", "d2", 0, "") for name, node in nodes.items()
    }
    assert sum(order is Order.FENCE for order, _ in decide(minority, 2, 100 * SECOND)[1].values()) == 2


@given(st.integers(1, 60), st.floats(0.0, 1.0), st.randoms(use_true_random=False))
def test_fenced_nodes_never_exceed_the_share(count: int, max_share: float, draw: random.Random) -> None:
    """The evidence is arbitrary: random reports, versions and silences, and a whole fleet that lags."""
    rules = replace(RULES, max_fenced_share=max_share)
    nodes, now = fleet(count), 0
    for _ in range(12):
        now += draw.randrange(20 * SECOND)
        for name in nodes:
            if draw.random() < 0.6:
                after = nodes[name].reported(now, draw.choice("bc"), draw.randrange(4), draw.choice(["d1", "d2"]),
                                             draw.choice(["", "d1", "d2"]), draw.randrange(4), "")  # fmt: skip
                nodes[name] = after
        kind = draw.choice(["rule", "weight"])
        nodes, decided = decide(nodes, draw.randrange(1, 4), now, kind, rules, reported=False)
        fenced = {name for name, (order, _) in decided.items() if order is Order.FENCE}
        silent = {name for name, (_, seen) in decided.items() if seen is Evidence.SILENT}
        assert not fenced or len(fenced) + len(silent) <= max_share * count
        assert fenced == {name for name, node in nodes.items() if node.fenced}
        assert sum(order is Order.RESTART for order, _ in decided.values()) <= rules.max_restarts


def test_node_counts_as_fenced_until_it_acknowledges_the_lifting_order() -> None:
    node = fleet(1)["n0"].with_desired(0, 2)
    fenced = replace(node, fence_order=1)
    assert fenced.fenced and fenced.may_be_fenced and fenced.reported(0, "b", 1, "d1", "d1", 0, "", 1).may_be_fenced
    lifted = replace(fenced, fence_order=2, acknowledged_order=1)
    # Also after a report that arrives late.
    assert not lifted.fenced and lifted.may_be_fenced and lifted.reported(0, "b", 1, "d1", "d1", 0, "", 0).may_be_fenced
    assert not lifted.reported(0, "b", 1, "d1", "d1", 0, "", 2).may_be_fenced
    # A service that lost its disk continues from the order numbers that nodes report.
    lost = node.reported(0, "b", 1, "d1", "d1", 0, "", 7)
    assert (
        lost.fence_order == 8
        and not lost.fenced
        and lost.may_be_fenced
        and not lost.reported(0, "b", 1, "d1", "d1", 0, "", 8).may_be_fenced
    )
    assert replace(node, fence_order=1).reported(0, "b", 1, "d1", "d1", 0, "", 4).fence_order == 5


@pytest.mark.parametrize(
    "omitted, bounds, violation",
    [
        (Omitted.NOTHING, Bounds(restarts=0, abandoned=0, states=8_000), ""),
        (Omitted.LIFTING_VERSION, Bounds(restarts=0, abandoned=0), "takes no requests"),
        (Omitted.MAY_BE_FENCED, Bounds(abandoned=0), "are fenced at one time"),
    ],
)
def test_fencing_holds_its_properties_and_needs_each_safeguard(
    omitted: Omitted, bounds: Bounds, violation: str
) -> None:
    """``benchmarks/shutout.py`` runs the other cases and larger bounds."""
    found = explore(bounds, omitted)
    assert violation in found.violation and bool(violation) == bool(found.history)


# Roll-outs.


def stage(
    draw: random.Random, loss: float, nodes: int = 60, share: float = 0.2, requests: int = 30
) -> list[NodeSample]:
    """Return samples of nodes with different usual rates and of a version that costs ``loss`` of the service."""
    samples = []
    for n in range(nodes):
        usual = min(0.995, max(0.5, draw.gauss(0.92, 0.03)))
        staged = n < share * nodes
        rate = usual - loss if staged else usual
        requests_before = 4 * requests
        samples.append(NodeSample(staged, requests, sum(draw.random() < rate for _ in range(requests)), requests_before,
                                  sum(draw.random() < usual for _ in range(requests_before))))  # fmt: skip
    return samples


def sequential_verdict(seed: int, loss: float) -> Verdict:
    """Return the first decision of the test, evaluated repeatedly as requests arrive."""
    draw, total = random.Random(seed), stage(random.Random(seed), loss, requests=5)
    for _ in range(60):
        added = stage(draw, loss, requests=10)
        total = [NodeSample(a.staged, a.requests + b.requests, a.served + b.served,
                            a.requests_before + b.requests_before, a.served_before + b.served_before)
                 for a, b in zip(total, added, strict=True)]  # fmt: skip
        found = verdict(total, SprtParameters())
        if found is not Verdict.UNSURE:
            return found
    return Verdict.UNSURE


def test_loss_of_5_percent_is_detected_and_an_equal_version_passes() -> None:
    worse = [sequential_verdict(seed, 0.05) for seed in range(40)]
    equal = [sequential_verdict(seed, 0.0) for seed in range(40)]
    assert worse.count(Verdict.WORSE) >= 38 and worse.count(Verdict.NOT_WORSE) <= 2, worse
    assert equal.count(Verdict.WORSE) <= 2 and equal.count(Verdict.NOT_WORSE) >= 38, equal


def test_silent_staged_nodes_decide_before_any_request() -> None:
    idle = [NodeSample(n < 5, 0, 0) for n in range(20)]
    assert verdict(idle, SprtParameters()) is Verdict.UNSURE
    silent = [replace(s, silent=s.staged and n < 3) for n, s in enumerate(idle)]
    assert verdict(silent, SprtParameters()) is Verdict.WORSE
    partition = [
        replace(s, silent=n % 2 == 0) for n, s in enumerate(idle)
    ]  # half of all nodes: a network partition, not the version
    assert verdict(partition, SprtParameters()) is Verdict.UNSURE


def test_stage_lasts_its_minimum_and_rolls_back_while_unsure() -> None:
    assert next_action(Verdict.WORSE, 0.0, 10.0, 60.0) is StageAction.ROLL_BACK
    assert next_action(Verdict.NOT_WORSE, 5.0, 10.0, 60.0) is StageAction.WAIT
    assert next_action(Verdict.NOT_WORSE, 10.0, 10.0, 60.0) is StageAction.ADVANCE
    assert (
        next_action(Verdict.UNSURE, 59.0, 10.0, 60.0) is StageAction.WAIT
        and next_action(Verdict.UNSURE, 60.0, 10.0, 60.0) is StageAction.ROLL_BACK
    )


def test_repeated_calls_in_any_order_never_publish_a_version_twice() -> None:
    """A leader repeats its calls after lost answers."""
    for calls in itertools.permutations(["publish", "publish", "stage", "back"], 4):
        history = History().published({"a": 1}, "rule", 1.0)
        for name in calls:
            try:
                if name == "publish":
                    history = history.published({"a": 2}, "rule", 0.1)
                elif name == "stage":
                    history = history.staged(2, 0.5)
                else:
                    history = history.rolled_back(2)
            except HistoryError:
                continue
        numbers = [d.number for d in history.documents]
        assert numbers == sorted(set(numbers)) and history.desired("n") in history.documents


# The service and its commands.


def reported(url: str, **more: object) -> Answer:
    """Return the answer to a node's report that does not wait."""
    report = Report("n1-0", "boot", **more)  # type: ignore[arg-type]
    return msgspec.convert(call(url, "POST", "/node", report), Answer)


def test_service_keeps_versions_over_a_restart_and_explains_refusals(tmp_path: Path) -> None:
    settings = tmp_path / "control.json"
    settings.write_text(json.dumps({"listen": {"port": 0}, "state_dir": str(tmp_path / "state"), "permit_s": 2.0}))
    content = tmp_path / "version.jsonnet"
    content.write_text("{ routing: { max_attempts: 3 } }")
    run = CliRunner()
    with program("control", "run", str(settings)) as service:
        address = service.url.removeprefix("http://")
        assert reported(service.url).document is None
        published = run.invoke(main, ["control", "publish", address, str(content), "--share", "0.5"])
        assert (published.exit_code, published.output) == (0, "version 1, staged for 0.5 of the nodes\n")
        assert run.invoke(main, ["control", "nodes", address, "--lagging"]).exit_code in (0, 1)
        answer = reported(service.url)
        assert answer.document is not None and answer.document.number == 1 and answer.permit_ms == 2_000
        for path, body, why in (("/stage", {"number": 9, "share": 0.5}, "not staged"),
                                ("/stage", {"number": 1, "shares": 1}, "unknown field"),
                                ("/rollback", {"number": 7}, "not known")):  # fmt: skip
            with pytest.raises(ControlError, match=why):
                call(service.url, "POST", path, body)
        for wrong in ({"content": {"name": "x"}}, {"content": {}, "kind": "other"}, {"content": {}, "share": 2.0}):
            with pytest.raises(ControlError, match="allowed"):
                call(service.url, "PUT", "/settings", wrong)
        assert reported(service.url, running=0, refused=1, why="no").document is not None  # sent again
    with program("control", "run", str(settings)) as service:
        address = service.url.removeprefix("http://")
        assert call(service.url, "GET", "/versions")["candidate"] == 1
        rolled_back = run.invoke(main, ["control", "rollback", address, "1"])
        assert (rolled_back.exit_code, rolled_back.output) == (0, "version 2 is for all nodes\n")
        assert "staged" not in run.invoke(main, ["control", "versions", address]).output
        answer = reported(service.url, running=1, digest="d")
        assert answer.document is not None and answer.document.number == 2 and answer.document.content == {}
        refused = run.invoke(main, ["control", "stage", address, "1", "1.0"])
        assert refused.exit_code == 1 and "not staged" in refused.output
    (tmp_path / "state" / "versions.json").write_text("{")
    assert run.invoke(main, ["control", "run", str(settings)]).exit_code == 2
    assert run.invoke(main, ["control", "nodes", "nowhere"]).exit_code == 1
