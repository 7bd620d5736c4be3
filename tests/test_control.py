"""Versions, permits, stale nodes and staged roll-outs: the pure machines, each with what it must never do."""

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
from stonetrack.control.documents import NO_VERSION, Document, content_digest, made, problem
from stonetrack.control.explore import Bounds, Less, explore
from stonetrack.control.follower import Follower, InstallStep, Lease
from stonetrack.control.history import History, HistoryError, drawn, fields, restored
from stonetrack.control.messages import Answer, Report
from stonetrack.control.rollout import NodeSample, SprtParameters, StageAction, Verdict, next_action, verdict
from stonetrack.control.stale_nodes import Evidence, Node, Order, Rules, orders
from stonetrack.daemon.control_follower import ControlFollower
from stonetrack.fleet.processes import program
from stonetrack.settings import parse
from tests.harness import raw_settings

SECOND = 1_000_000_000


def document(number: int, term: int = 0, value: int = 0) -> Document:
    return made(number, {"routing": {"max_attempts": value or number}}, "rule", term, "s")


def test_a_digest_is_of_the_content_whatever_its_order() -> None:
    assert content_digest({"a": 1, "b": {"c": 2, "d": 3}}) == content_digest({"b": {"d": 3, "c": 2}, "a": 1})
    assert content_digest({"a": 1}) != content_digest({"a": 2})
    assert "digest" in problem(replace_document(document(1), content={"a": 1}))
    assert "a node's own" in problem(made(1, {"name": "n", "routing": {}}, "rule"))
    assert "allowed: rule, weight" in problem(made(1, {}, "other")) and not problem(document(1))


def replace_document(given_one: Document, **changes: object) -> Document:
    fields_of = {name: getattr(given_one, name) for name in given_one.__struct_fields__}
    return Document(**{**fields_of, **changes})


# A node that takes versions.


def taken(follower: Follower, offer: Document) -> Follower:
    follower, do = follower.offered(offer)
    for expected, went in (
        (InstallStep.VALIDATE, Follower.validated),
        (InstallStep.PERSIST, Follower.persisted),
        (InstallStep.APPLY, Follower.applied),
    ):
        assert do is expected
        follower, do = went(follower, "")
    return follower


def test_a_version_is_checked_kept_forced_and_only_then_acknowledged() -> None:
    follower = taken(Follower(), document(3))
    assert follower.running.number == 3 and follower.offered(document(2))[1] is InstallStep.NONE
    assert follower.offered(document(3))[0] is follower
    for fails, left in ((Follower.validated, 0), (Follower.persisted, 1), (Follower.applied, 2)):
        tried, _ = follower.offered(document(4))
        for went in (Follower.validated, Follower.persisted)[:left]:
            tried, _ = went(tried, "")
        tried, do = fails(tried, "no")
        assert tried.running.number == 3 and (tried.refused, tried.why) == (4, "no")
        assert do is (
            InstallStep.PERSIST if fails is Follower.applied else InstallStep.NONE
        )  # the one before is put back on disk
        assert taken(tried, document(5)).refused == 0


def test_old_owners_and_numbers_that_mean_two_things_are_turned_down() -> None:
    follower = taken(Follower(), document(3, term=5))
    late, do = follower.offered(document(9, term=4))
    assert do is InstallStep.NONE and late.running.number == 3 and "term 4 is over" in late.why
    twice, do = follower.offered(document(3, term=5, value=77))
    assert do is InstallStep.NONE and "means two things" in twice.why


def test_a_version_that_ends_each_process_does_not_hold_the_node_for_ever(tmp_path: Path) -> None:
    """Four processes in a row come back on the version kept; the first three end at once."""
    own = parse(json.dumps(raw_settings("http://127.0.0.1:9/x", control={"url": "http://127.0.0.1:9"})))
    path, said = tmp_path / "settings-0.json", list[str]()
    path.write_bytes(msgspec.json.encode(made(7, {"routing": {"max_attempts": 3}}, "rule", 2, "s")))

    def started() -> ControlFollower:
        return ControlFollower(own, "n", "b", path, apply_settings=lambda node, document: None,
                               request_counts=lambda: (0, 0), acting_digest=lambda: "", restart=lambda: None,
                               log=said.append, rng=random.Random(1))  # fmt: skip

    for _ in range(3):
        settings, document_of = started().restore()
        assert document_of.number == 7 and settings.routing.max_attempts == 3
    fourth = started()
    assert fourth.restore() == (own, NO_VERSION) and "ended under it 3 times" in said[-1]
    assert fourth.follower.refused == 7
    fourth.apply_document(
        made(7, {"routing": {"max_attempts": 3}}, "rule", 2, "s")
    )  # told again: it does not try again
    assert fourth.follower.running is NO_VERSION
    fourth.apply_document(document(8, term=2))
    assert fourth.follower.running.number == 8 and not fourth.follower.quarantined
    assert started().restore()[1].number == 8  # its starts are counted anew
    fourth._clear_start_count()
    assert started().restore()[1].number == 8 and not said[-1].startswith("version 8 was rejected")


def test_a_permit_is_good_only_once_the_version_that_came_with_it_is_in_force() -> None:
    """A node that slept past its permit took requests on the old version for some milliseconds after it woke."""
    control = {"url": "http://127.0.0.1:9", "steps_out": True}
    own = parse(json.dumps(raw_settings("http://127.0.0.1:9/x", control=control)))
    refused: list[str] = []
    node = ControlFollower(own, "n", "b", None, apply_settings=lambda settings, taken: refused.append(node.refusal()),
                           request_counts=lambda: (0, 0), acting_digest=lambda: "", restart=lambda: None,
                           log=lambda text: None, rng=random.Random(1))  # fmt: skip
    node._handle_answer(Answer(permit_ms=60_000, steps_out=True, document=document(1)), time.monotonic_ns())
    assert refused == ["it has no permit yet: the control service does not answer"]
    assert node.refusal() == "" and node.follower.running.number == 1
    node._handle_answer(Answer(permit_ms=60_000, steps_out=True, out="stale", lifted_by=2), time.monotonic_ns())
    assert node.refusal() == "stale"


class World:
    """All that may happen to one node and its disk, explored to the end: offers in any order, repeated, from two
    owners, a check or a disk that says no, a program that can't go on, a kill between any two steps."""

    OFFERS = (document(1, 1), document(2, 1), document(3, 1), document(2, 2, 9), document(4, 2))

    def __init__(self, synced: bool = True, fenced: bool = True) -> None:
        self.synced, self.fenced = synced, fenced

    def explore(self) -> tuple[int, list[str]]:
        """States seen, and what was broken: shortest first."""
        begin = (Follower(), NO_VERSION, NO_VERSION, 0)  # state, disk, acknowledged last, highest term acknowledged
        seen, wrong, queue = {repr(begin)}, [], deque([begin])
        while queue:
            state = queue.popleft()
            for what, after in self.steps(*state):
                problem_found = self.broken(state, after)
                if problem_found:
                    wrong.append(f"{what}: {problem_found}")
                elif repr(after) not in seen:
                    seen.add(repr(after))
                    queue.append(after)
        return len(seen), wrong

    State = tuple[Follower, Document, Document, int]

    def steps(self, follower: Follower, disk: Document, said: Document, term: int) -> list[tuple[str, State]]:
        found: list[tuple[str, World.State]] = []
        back = Follower(running=disk, term=disk.term)
        found.append(("kill", (back, disk, said, term)))
        if follower.installing is None:
            for offer in self.OFFERS:
                asked = follower if self.fenced else replace(follower, term=0)
                found.append((f"offer {offer.number}", (asked.offered(offer)[0], disk, said, term)))
        elif follower.step is InstallStep.VALIDATE:
            found += [(f"check {why}", (follower.validated(why)[0], disk, said, term)) for why in ("", "bad")]
        elif follower.step is InstallStep.PERSIST:
            found.append(("disk full", (follower.persisted("full")[0], disk, said, term)))
            found.append(
                ("kept", (follower.persisted("")[0], follower.installing if self.synced else disk, said, term))
            )
        elif follower.step is InstallStep.APPLY:
            undone, do = follower.applied("no")
            assert do is InstallStep.PERSIST
            found.append(("can't go on", (undone, undone.running, said, term)))
            done = follower.applied("")[0]
            found.append(("in force", (done, disk, done.running, max(term, done.running.term))))
        return found

    @staticmethod
    def broken(before: State, after: State) -> str:
        follower, disk, said, _ = after
        if follower.running.number < said.number:
            return f"runs {follower.running.number} after it acknowledged {said.number}"
        if said.term < before[2].term:
            return "an old owner's version came into force"
        if disk.number < said.number:
            return "what is acknowledged is not on disk"
        return ""


def test_every_history_of_one_node_and_its_disk() -> None:
    states, wrong = World().explore()
    assert states > 100 and not wrong, wrong[:3]


def test_the_exploration_finds_a_disk_that_is_not_synced_and_a_missing_fence() -> None:
    assert "not on disk" in World(synced=False).explore()[1][0]
    assert any("old owner" in each for each in World(fenced=False).explore()[1])


# Permits.


def test_a_permit_counts_from_the_question_and_steps_out_only_where_it_must() -> None:
    permit = Lease()
    assert not permit.refusal(10**18, 0)  # never told of any: serves on
    assert "no permit yet" in Lease(steps_out=True).refusal(10**18, 0)  # unless its own settings say otherwise
    out = permit.renewed(100, 50, steps_out=True)
    assert not out.refusal(149, 0) and "run out" in out.refusal(150, 0)
    assert not permit.renewed(100, 50, steps_out=False).refusal(10**18, 0)
    assert not out.renewed(140, 50, steps_out=True).refusal(150, 0)
    shut = out.renewed(10**17, 50, steps_out=True).fenced("runs an older one", 7)
    assert shut.refusal(10**17, 6) == "runs an older one" and not shut.refusal(10**17, 7)
    assert not shut.fenced("", 0).refusal(10**17, 6)


ASKS = st.lists(st.tuples(st.integers(0, 50), st.integers(0, 20), st.integers(0, 30)), max_size=12)


@given(ASKS, st.integers(0, 200))
def test_the_service_never_takes_a_node_for_out_that_takes_requests(
    asks: list[tuple[int, int, int]], look: int
) -> None:
    """Whatever the answers take on their way: counted from the answer, a permit ends later than from the question."""
    permit, service, now = Lease(), 0, 0
    for pause, there, back in asks:
        asked = now = now + pause
        service = max(service, asked + there + 40)
        now += there + back
        permit = permit.renewed(asked, 40, steps_out=True)
    taking = not permit.refusal(look, 0)
    assert not (taking and service and look >= service)


# The service's versions.


def test_stages_go_on_and_back_and_numbers_never_go_down() -> None:
    history = History().published({"a": 1}, "rule", 1.0).published({"a": 2}, "weight", 0.1)
    assert (history.base, history.candidate) == (1, 2)
    names = [f"n{n}" for n in range(400)]
    first = {name for name in names if history.wanted(name).number == 2}
    assert 15 <= len(first) <= 70
    wider = history.staged(2, 0.5)
    assert first < {name for name in names if wider.wanted(name).number == 2}
    done = wider.staged(2, 1.0)
    assert (done.base, done.candidate) == (2, 0) and done.staged(2, 1.0) is done
    back = wider.rolled_back(2)
    assert back.wanted("n1").number == 3 and back.wanted("n1").content == {"a": 1} and back.rolled_back(2) is back
    with pytest.raises(HistoryError, match="staged"):
        wider.published({"a": 3}, "rule", 0.1)
    with pytest.raises(HistoryError, match="rolling back"):
        wider.staged(2, 0.1)
    with pytest.raises(HistoryError, match="not staged"):
        wider.staged(9, 0.5)
    with pytest.raises(HistoryError, match="not known"):
        wider.rolled_back(9)
    assert wider.published({"a": 3}, "rule", 1.0).candidate == 0
    assert history.published({"a": 2}, "weight", 0.1) is history  # told again after a lost answer
    again = restored(**{**fields(wider), "documents": fields(wider)["documents"]})
    assert again == wider
    with pytest.raises(HistoryError):
        restored([document(2), document(1)], 1, 0, 0.0)
    other = {name for name in names if drawn(name, 3) < 0.1}
    assert len(other & first) < 0.5 * len(first)  # not the same nodes go first each time


def test_the_first_nodes_stay_the_first_and_are_two_at_least() -> None:
    base = History().published({"a": 1}, "rule", 1.0)
    few = ["a", "b", "c"]
    staged = base.published({"a": 2}, "rule", 0.01, names=few)
    assert len(staged.first) == 2 and base.published({"a": 2}, "rule", 0.0, names=few).first == frozenset()
    joined = staged.staged(2, 0.02, [*few, *"defghij"])
    assert set(staged.first) <= set(joined.first)
    assert {name for name in few if joined.wanted(name).number == 2} >= set(staged.first)
    old = base.published({"a": 9}, "rule", 1.0, names=few, beyond=7)
    assert old.newest.number == 8  # an old state was put back: past all that nodes run
    node = fleet(1)["n0"].reported(0, "b", 9, "d9", "d9", 0, "").to_run(0, 2)
    assert stale_nodes.evidence(node, "d2", 0, RULES) is Evidence.AHEAD
    assert look({"n0": node}, 2, 10**12)[1]["n0"][0] is Order.NONE


# Stale nodes.

RULES = Rules()


def fleet(count: int, now: int = 0) -> dict[str, Node]:
    return {f"n{n}": Node(f"n{n}", now, "b", 1, "d1", "d1", most=1, starts=(now,)) for n in range(count)}


def look(nodes: dict[str, Node], number: int, now: int, kind: str = "rule", rules: Rules = RULES,
         heard: bool = True) -> tuple[dict[str, Node], dict[str, tuple[Order, Evidence]]]:  # fmt: skip
    if heard:
        nodes = {name: replace(node, heard=now) for name, node in nodes.items()}
    wanted = dict.fromkeys(nodes, (number, f"d{number}", kind))
    return orders(nodes, wanted, now, rules)


def test_a_stale_node_is_told_started_anew_shut_out_and_comes_back_by_itself() -> None:
    nodes = fleet(10)
    nodes, _ = look(nodes, 2, SECOND)
    for name in [f"n{n}" for n in range(1, 10)]:
        nodes[name] = nodes[name].reported(SECOND, "b", 2, "d2", "d2", 0, "")
    nodes, made_orders = look(nodes, 2, 3 * SECOND)
    assert made_orders["n0"] == (Order.NONE, Evidence.BEHIND)  # within its grace
    nodes, made_orders = look(nodes, 2, 5 * SECOND)
    assert made_orders["n0"] == (Order.RESTART, Evidence.BEHIND) and made_orders["n1"][1] is Evidence.CURRENT
    nodes, made_orders = look(nodes, 2, 6 * SECOND)
    assert made_orders["n0"][0] is Order.NONE  # not twice in a row
    nodes, made_orders = look(nodes, 2, 12 * SECOND)
    assert made_orders["n0"][0] is Order.FENCE and nodes["n0"].out
    nodes["n0"] = nodes["n0"].reported(13 * SECOND, "b", 2, "d2", "d2", 0, "")
    nodes, made_orders = look(nodes, 2, 13 * SECOND)
    assert made_orders["n0"] == (Order.NONE, Evidence.CURRENT) and not nodes["n0"].out


def test_evidence_has_names() -> None:
    node = fleet(1)["n0"].to_run(0, 2)
    cases = {
        Evidence.SILENT: replace(node, heard=-11 * SECOND),
        Evidence.INCONSISTENT: node.reported(0, "b", 2, "d2", "d1", 0, ""),
        Evidence.CURRENT: node.reported(0, "b", 2, "d2", "d2", 0, ""),
        Evidence.LOST_STATE: node.reported(0, "b", 1, "d1", "d1", 0, "").reported(0, "c", 0, "d0", "d0", 0, ""),
        Evidence.REJECTED: node.reported(0, "b", 1, "d1", "d1", 2, "no"),
        Evidence.BEHIND: node,
    }
    for wanted, each in cases.items():
        assert stale_nodes.evidence(each, "d2", 0, RULES) is wanted
    flapping = node
    for n in range(6):
        flapping = flapping.reported(n, f"boot {n}", 1, "d1", "d1", 0, "")
    assert stale_nodes.evidence(flapping, "d2", 10, RULES) is Evidence.FLAPPING


def test_a_process_that_has_just_started_gets_its_grace_and_one_that_flaps_does_not() -> None:
    nodes, _ = look(fleet(10), 2, SECOND)
    nodes = {n: node if n == "n0" else node.reported(SECOND, "b", 2, "d2", "d2", 0, "") for n, node in nodes.items()}
    nodes["n0"] = nodes["n0"].reported(60 * SECOND, "another", 1, "d1", "d1", 0, "")  # an old disk was put back
    nodes, given_orders = look(nodes, 2, 61 * SECOND)
    assert given_orders["n0"][0] is Order.NONE
    assert look(nodes, 2, 71 * SECOND)[1]["n0"][0] is Order.FENCE
    for n in range(5):
        nodes["n0"] = nodes["n0"].reported((62 + 3 * n) * SECOND, f"boot {n}", 1, "d1", "d1", 0, "")
    assert look(nodes, 2, 75 * SECOND)[1]["n0"] == (Order.FENCE, Evidence.FLAPPING)


def test_a_version_that_most_turn_down_shuts_nobody_out() -> None:
    nodes, _ = look(fleet(10), 2, SECOND)
    nodes = {name: node.reported(SECOND, "b", 1, "d1", "d1", 2, "no") for name, node in nodes.items()}
    assert all(order is Order.NONE for order, _ in look(nodes, 2, 100 * SECOND)[1].values())
    # Three of ten: those are the stale nodes, and are shut out, two at most.
    some = {
        name: node if name < "n3" else node.reported(SECOND, "b", 2, "d2", "d2", 0, "") for name, node in nodes.items()
    }
    assert sum(order is Order.FENCE for order, _ in look(some, 2, 100 * SECOND)[1].values()) == 2


@given(st.integers(1, 60), st.floats(0.0, 1.0), st.randoms(use_true_random=False))
def test_never_more_than_the_share_is_out_whatever_is_said(count: int, most: float, draw: random.Random) -> None:
    """A mad collector: random reports, versions and silences, and a fleet that lags as a whole."""
    rules = replace(RULES, most_out=most)
    nodes, now = fleet(count), 0
    for _ in range(12):
        now += draw.randrange(20 * SECOND)
        for name in nodes:
            if draw.random() < 0.6:
                reported = nodes[name].reported(now, draw.choice("bc"), draw.randrange(4), draw.choice(["d1", "d2"]),
                                                draw.choice(["", "d1", "d2"]), draw.randrange(4), "")  # fmt: skip
                nodes[name] = reported
        kind = draw.choice(["rule", "weight"])
        nodes, given_orders = look(nodes, draw.randrange(1, 4), now, kind, rules, heard=False)
        out = {name for name, (order, _) in given_orders.items() if order is Order.FENCE}
        silent = {name for name, (_, seen) in given_orders.items() if seen is Evidence.SILENT}
        assert not out or len(out) + len(silent) <= most * count
        assert out == {name for name, node in nodes.items() if node.out}
        assert sum(order is Order.RESTART for order, _ in given_orders.values()) <= rules.restarts


def test_a_node_is_taken_for_out_until_it_repeats_the_order_that_lets_it_in() -> None:
    node = fleet(1)["n0"].to_run(0, 2)
    ordered_out = replace(node, order=1)
    assert ordered_out.out and ordered_out.held and ordered_out.reported(0, "b", 1, "d1", "d1", 0, "", 1).held
    lifted = replace(ordered_out, order=2, echo=1)
    assert not lifted.out and lifted.held and lifted.reported(0, "b", 1, "d1", "d1", 0, "", 0).held  # a late question
    assert not lifted.reported(0, "b", 1, "d1", "d1", 0, "", 2).held
    # A service that lost its disk counts on from what nodes have heard.
    lost = node.reported(0, "b", 1, "d1", "d1", 0, "", 7)
    assert lost.order == 8 and not lost.out and lost.held and not lost.reported(0, "b", 1, "d1", "d1", 0, "", 8).held
    assert replace(node, order=1).reported(0, "b", 1, "d1", "d1", 0, "", 4).order == 5


@pytest.mark.parametrize(
    "less, bounds, broken",
    [
        (Less.NOTHING, Bounds(restarts=0, given_up=0, states=8_000), ""),
        (Less.LIFTED, Bounds(restarts=0, given_up=0), "takes no requests"),
        (Less.HELD, Bounds(given_up=0), "are out at one time"),
    ],
)
def test_histories_of_a_shut_out_and_what_its_protections_are_for(less: Less, bounds: Bounds, broken: str) -> None:
    """The rest, and larger bounds, by ``benchmarks/shutout.py``: no state within them breaks a promise."""
    found = explore(bounds, less)
    assert broken in found.broken and bool(broken) == bool(found.history)


# Roll-outs.


def stage(draw: random.Random, loss: float, nodes: int = 60, share: float = 0.2, asked: int = 30) -> list[NodeSample]:
    """Nodes that differ by themselves, and a version that costs ``loss`` of the service."""
    made_of = []
    for n in range(nodes):
        usual = min(0.995, max(0.5, draw.gauss(0.92, 0.03)))
        staged = n < share * nodes
        now = usual - loss if staged else usual
        before = 4 * asked
        made_of.append(NodeSample(staged, asked, sum(draw.random() < now for _ in range(asked)), before,
                              sum(draw.random() < usual for _ in range(before))))  # fmt: skip
    return made_of


def judged(seed: int, loss: float) -> Verdict:
    """Looked at again and again while requests come."""
    draw, total = random.Random(seed), stage(random.Random(seed), loss, asked=5)
    for _ in range(60):
        more = stage(draw, loss, asked=10)
        total = [NodeSample(a.staged, a.asked + b.asked, a.served + b.served, a.asked_before + b.asked_before,
                        a.served_before + b.served_before) for a, b in zip(total, more, strict=True)]  # fmt: skip
        found = verdict(total, SprtParameters())
        if found is not Verdict.UNSURE:
            return found
    return Verdict.UNSURE


def test_a_version_that_costs_5_percent_is_found_and_an_equal_one_is_not() -> None:
    worse = [judged(seed, 0.05) for seed in range(40)]
    equal = [judged(seed, 0.0) for seed in range(40)]
    assert worse.count(Verdict.WORSE) >= 38 and worse.count(Verdict.NOT_WORSE) <= 2, worse
    assert equal.count(Verdict.WORSE) <= 2 and equal.count(Verdict.NOT_WORSE) >= 38, equal


def test_nodes_that_go_silent_speak_before_any_request() -> None:
    calm = [NodeSample(n < 5, 0, 0) for n in range(20)]
    assert verdict(calm, SprtParameters()) is Verdict.UNSURE
    gone = [replace(s, silent=s.staged and n < 3) for n, s in enumerate(calm)]
    assert verdict(gone, SprtParameters()) is Verdict.WORSE
    cut = [replace(s, silent=n % 2 == 0) for n, s in enumerate(calm)]  # half of all: a cut, not the version
    assert verdict(cut, SprtParameters()) is Verdict.UNSURE


def test_a_stage_stands_and_goes_back_where_nobody_can_tell() -> None:
    assert next_action(Verdict.WORSE, 0.0, 10.0, 60.0) is StageAction.ROLL_BACK
    assert next_action(Verdict.NOT_WORSE, 5.0, 10.0, 60.0) is StageAction.WAIT
    assert next_action(Verdict.NOT_WORSE, 10.0, 10.0, 60.0) is StageAction.ADVANCE
    assert (
        next_action(Verdict.UNSURE, 59.0, 10.0, 60.0) is StageAction.WAIT
        and next_action(Verdict.UNSURE, 60.0, 10.0, 60.0) is StageAction.ROLL_BACK
    )


def test_every_order_of_what_a_service_is_told_ends_in_one_history() -> None:
    """Calls repeated after lost answers, in every order that an owner may take: no version twice."""
    for calls in itertools.permutations(["publish", "publish", "stage", "back"], 4):
        history = History().published({"a": 1}, "rule", 1.0)
        for each in calls:
            try:
                if each == "publish":
                    history = history.published({"a": 2}, "rule", 0.1)
                elif each == "stage":
                    history = history.staged(2, 0.5)
                else:
                    history = history.rolled_back(2)
            except HistoryError:
                continue
        numbers = [d.number for d in history.documents]
        assert numbers == sorted(set(numbers)) and history.wanted("n") in history.documents


# The service and its commands.


def reported(url: str, **more: object) -> Answer:
    """What a node is told; it does not wait."""
    report = Report("n1-0", "boot", **more)  # type: ignore[arg-type]
    return msgspec.convert(call(url, "POST", "/node", report), Answer)


def test_the_service_keeps_versions_over_a_restart_and_says_what_it_can_not_do(tmp_path: Path) -> None:
    settings = tmp_path / "control.json"
    settings.write_text(json.dumps({"listen": {"port": 0}, "state_dir": str(tmp_path / "state"), "permit_s": 2.0}))
    content = tmp_path / "version.jsonnet"
    content.write_text("{ routing: { max_attempts: 3 } }")
    run = CliRunner()
    with program("control", "run", str(settings)) as service:
        at = service.url.removeprefix("http://")
        assert reported(service.url).document is None
        said = run.invoke(main, ["control", "publish", at, str(content), "--share", "0.5"])
        assert (said.exit_code, said.output) == (0, "version 1, staged for 0.5 of the nodes\n")
        assert run.invoke(main, ["control", "nodes", at, "--lagging"]).exit_code in (0, 1)
        told = reported(service.url)
        assert told.document is not None and told.document.number == 1 and told.permit_ms == 2_000
        for path, body, why in (("/stage", {"number": 9, "share": 0.5}, "not staged"),
                                ("/stage", {"number": 1, "shares": 1}, "unknown field"),
                                ("/rollback", {"number": 7}, "not known")):  # fmt: skip
            with pytest.raises(ControlError, match=why):
                call(service.url, "POST", path, body)
        for wrong in ({"content": {"name": "x"}}, {"content": {}, "kind": "other"}, {"content": {}, "share": 2.0}):
            with pytest.raises(ControlError, match="allowed"):
                call(service.url, "PUT", "/settings", wrong)
        assert reported(service.url, running=0, refused=1, why="no").document is not None  # told again
    with program("control", "run", str(settings)) as service:
        at = service.url.removeprefix("http://")
        assert call(service.url, "GET", "/versions")["candidate"] == 1
        out = run.invoke(main, ["control", "rollback", at, "1"])
        assert (out.exit_code, out.output) == (0, "version 2 is everybody's\n")
        assert "staged" not in run.invoke(main, ["control", "versions", at]).output
        told = reported(service.url, running=1, digest="d")
        assert told.document is not None and told.document.number == 2 and told.document.content == {}
        refused = run.invoke(main, ["control", "stage", at, "1", "1.0"])
        assert refused.exit_code == 1 and "not staged" in refused.output
    (tmp_path / "state" / "versions.json").write_text("{")
    assert run.invoke(main, ["control", "run", str(settings)]).exit_code == 2
    assert run.invoke(main, ["control", "nodes", "nowhere"]).exit_code == 1
