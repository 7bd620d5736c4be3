"""Publishes whole server lists in order: the documents of a folder, by their numbers, each exactly once.  Pure.

The operator puts the lists into the folder (``0007.json``); a document whose number is lower than the last one
published is never published.  Engines that are absent for maintenance stay so whatever the document contains: they are
listed as draining when the effect is carried out.

A discovery service that lost its state, or was restored from an older one, has another history or a lower version than
the one that the last list received: that list is then put again, since nodes would otherwise keep an old list or none.
"""

from __future__ import annotations

from typing import Any

from stonetrack.controller.jobs import Facts, Step, Wait, WithoutTimes


class PublishJob(WithoutTimes):
    """Publishes the lists of the operator's folder."""

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
