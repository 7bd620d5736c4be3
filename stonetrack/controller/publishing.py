"""Publishing whole lists in order: the documents of a folder, by their numbers, each exactly once.  Pure.

What is published is what the operator put into the folder (``0007.json``); a number that is lower than the last one
published, or that is missing, is never gone back to.  Engines that are away for maintenance stay so whatever the
document says: they are told as leaving when the effect is carried out.

A list service that has lost its state, or was put back to an older one, counts another history or a lower version than
the one that a list was put into: the last list is then put again, else the fleet would stay without, or on an old one.
"""

from __future__ import annotations

from typing import Any

from stonetrack.controller.jobs import Facts, Step, Wait, WithoutTimes


class PublishJob(WithoutTimes):
    """See the module."""

    name = "publishing"

    def initial_state(self) -> dict[str, Any]:
        """See ``jobs.Job``."""
        return {"last": 0, "version": 0, "origin": ""}

    def next_step(self, state: dict[str, Any], facts: Facts) -> Step | Wait:
        """See ``jobs.Job``."""
        origin = state.get("origin", "")
        lost = origin and facts.origin and (facts.origin != origin or facts.version < state["version"])
        for document in facts.wanted:
            if document["number"] > state["last"] or (lost and document["number"] == state["last"]):
                return Step("put", {"number": document["number"], "engines": document["engines"]},
                            "the same list changes nothing a second time, and its version stays")  # fmt: skip
        return Wait(1.0, "all published")

    def state_after(self, state: dict[str, Any], step: Step, result: dict[str, Any], at: float) -> dict[str, Any]:
        """See ``jobs.Job``."""
        return {"last": step.args["number"], "version": result.get("version", 0), "origin": result.get("origin", "")}
