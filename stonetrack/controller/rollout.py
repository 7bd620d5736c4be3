"""Staged rollout of settings: a share of the nodes first, compared with the rest, then forward or back.  Pure.

The operator puts ``NUMBER.json`` (``{"content", "kind"}``) into a folder; they are rolled out in order, one at a time.
Each stage ends by the sequential test of :mod:`stonetrack.control.rollout` on the reports of the nodes.  A rollback
publishes the previous content as one more version; the rejected document is skipped, and the log gives the reason.
"""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import Meta

from stonetrack.control import rollout
from stonetrack.control.rollout import NodeSample, SprtParameters, StageAction, Verdict
from stonetrack.control.stale_nodes import Evidence
from stonetrack.controller.jobs import Facts, Step, Wait
from stonetrack.settings.schema import Share, Strict


class RolloutSettings(Strict, frozen=True):
    """Settings of rollouts; ``stages`` are shares of the nodes, followed by all nodes."""

    folder: str = ""  # empty: no rollouts
    stages: tuple[Share, ...] = (0.1, 0.5)
    least_s: Annotated[float, Meta(ge=0.0, le=86_400.0)] = 30.0  # shortest duration of a stage
    most_s: Annotated[float, Meta(gt=0.0, le=86_400.0)] = 1_800.0  # an undecided stage is rolled back then
    loss: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.05  # of service that the test must detect
    alarm: Annotated[float, Meta(gt=0.0, lt=0.5)] = 0.03
    miss: Annotated[float, Meta(gt=0.0, lt=0.5)] = 0.03


def samples_of(rows: tuple[dict[str, Any], ...], number: int) -> list[NodeSample]:
    """Convert the control service's rows of nodes to samples of the test.

    Only nodes that run the version they are meant to run count, since one that rejected the version runs the old one.
    A node that fell silent counts as gone."""
    samples = []
    for row in rows:
        staged = row["wanted"] == number
        gone = row["evidence"] == Evidence.SILENT.value
        if row["runs"] == row["wanted"] or gone:
            samples.append(NodeSample(staged, 0.0, 0.0, silent=True) if gone else NodeSample(
                staged, row["asked"], row["served"], row["asked_before"], row["served_before"]))  # fmt: skip
    return samples


class RolloutJob:
    """Rolls out the versions of the operator's folder in stages."""

    name = "rollout"

    def __init__(self, settings: RolloutSettings) -> None:
        self.settings = settings

    def initial_state(self) -> dict[str, Any]:
        """See ``jobs.Job``."""
        return {"last": 0, "number": 0, "stage": 0, "since": 0.0, "given_up": []}

    def next_step(self, state: dict[str, Any], facts: Facts) -> Step | Wait:
        """See ``jobs.Job``."""
        if not state["number"]:
            return self._first_stage(state, facts)
        elapsed_s = facts.at - state["since"]
        verdict = self.verdict(state, facts)
        match rollout.next_action(verdict, max(0.0, elapsed_s), self.settings.least_s, self.settings.most_s):
            case StageAction.ROLL_BACK:
                why = "it costs service" if verdict is Verdict.WORSE else "nobody could tell that it does no harm"
                return Step("rollback", {"number": state["number"], "why": why},
                            "a version that is not staged any more is not rolled back again")  # fmt: skip
            case StageAction.ADVANCE:
                return Step("stage", {"number": state["number"], "share": self._share(state["stage"] + 1)},
                            "a share that stands is not set again; it never shrinks")  # fmt: skip
        return Wait(min(2.0, self.settings.least_s or 2.0), f"stage {state['stage'] + 1}: {verdict.value}")

    def _first_stage(self, state: dict[str, Any], facts: Facts) -> Step | Wait:
        for document in facts.versions:
            if document["number"] > state["last"]:
                return Step("publish", {"file": document["number"], "content": document["content"],
                                        "kind": document["kind"], "share": self._share(0)},
                            "the content published last is not published again")  # fmt: skip
        return Wait(1.0, "all out")

    def _share(self, stage: int) -> float:
        return self.settings.stages[stage] if stage < len(self.settings.stages) else 1.0

    def verdict(self, state: dict[str, Any], facts: Facts) -> Verdict:
        """The result of the test for the staged version, by the reports of the nodes."""
        terms = SprtParameters(self.settings.loss, self.settings.alarm, self.settings.miss)
        return rollout.verdict(samples_of(facts.nodes, state["number"]), terms)

    def state_after(self, state: dict[str, Any], step: Step, result: dict[str, Any], at: float) -> dict[str, Any]:
        """See ``jobs.Job``."""
        if step.what == "publish":
            staged = result.get("staged", 0)
            return {**state, "last": step.args["file"], "number": staged, "stage": 0, "since": at}
        if step.what == "stage" and step.args["share"] < 1.0:
            return {**state, "stage": state["stage"] + 1, "since": at}
        given_up = list(state["given_up"])
        if step.what == "rollback":
            given_up.append([state["last"], step.args["why"]])
        return {**state, "number": 0, "stage": 0, "since": at, "given_up": given_up[-50:]}

    def shift_times(self, state: dict[str, Any], by: float) -> dict[str, Any]:
        """See ``jobs.Job``."""
        return {**state, "since": state["since"] + by}
