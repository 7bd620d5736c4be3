"""Whether a staged version costs service: a sequential test, and the stages.  No I/O.

The test is Wald's (Sequential Tests of Statistical Hypotheses, 1945) on the difference in the share of requests served
between nodes that run the version and the rest, each node's share taken against its own from before (nodes differ more
from each other than a version makes them).  H0: no difference; H1: ``loss`` of service lost.  With D the difference and
V its variance from the nodes' own scatter, never below what chance gives, the log-likelihood ratio is

    loss / V * (-D - loss / 2)

and it is decided past ln((1 - miss) / alarm) or below ln(miss / (1 - alarm)); it may be looked at as often as one
likes.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

LEAST_NODES = 2  # on each side
LEAST_ASKED = 50  # requests on each side


@dataclass(frozen=True, slots=True)
class NodeSample:
    """One node: requests asked and served since the stage began, and before it."""

    staged: bool
    asked: float
    served: float
    asked_before: float = 0.0
    served_before: float = 0.0
    silent: bool = False  # not heard since it was to run the version


class Verdict(Enum):
    """What the samples say."""

    UNSURE = "unsure"
    WORSE = "worse"
    NOT_WORSE = "not worse"


@dataclass(frozen=True, slots=True)
class SprtParameters:
    """``loss`` of service that must be found; chances of a false alarm and of a miss."""

    loss: float = 0.05
    false_alarm: float = 0.03
    miss: float = 0.03
    max_silent_share: float = 0.34  # share of the staged nodes that may be gone before it counts as worse at once


def _side(samples: Sequence[NodeSample]) -> tuple[float, float]:
    """The mean change of the share served, weighted by requests, and its variance."""
    asked = sum(s.asked for s in samples)
    rate = min(max(sum(s.served for s in samples) / asked, 0.5 / asked), 1.0 - 0.5 / asked)
    before = sum(s.asked_before for s in samples)
    changes = []
    for s in samples:
        usual = s.served_before / s.asked_before if s.asked_before else 0.0
        changes.append((s.asked, s.served / s.asked - usual if s.asked else 0.0))
    mean = sum(w * change for w, change in changes) / asked
    scatter = sum(w * w * (change - mean) ** 2 for w, change in changes) / (asked * asked)
    n = len(samples)
    scatter *= n / (n - 1)
    chance = rate * (1.0 - rate) / asked
    if before:
        chance += rate * (1.0 - rate) / before
    return mean, max(scatter, chance)


def ratio(samples: Sequence[NodeSample], terms: SprtParameters) -> float | None:
    """The log-likelihood ratio for a loss; None while there is too little to say anything."""
    if any(s.asked_before for s in samples):  # a node without a past of its own can't be compared with it
        samples = [s for s in samples if s.asked_before]
    sides = [[s for s in samples if s.staged is staged and s.asked] for staged in (True, False)]
    if any(len(side) < LEAST_NODES or sum(s.asked for s in side) < LEAST_ASKED for side in sides):
        return None
    (staged, v1), (rest, v2) = (_side(side) for side in sides)
    return terms.loss / (v1 + v2) * (rest - staged - terms.loss / 2.0)


def verdict(samples: Sequence[NodeSample], terms: SprtParameters) -> Verdict:
    """See the module.  Staged nodes that are gone speak before any request does."""
    staged = [s for s in samples if s.staged]
    gone = sum(s.silent for s in staged)
    others = [s for s in samples if not s.staged]
    others_gone = sum(s.silent for s in others) / max(len(others), 1)
    if staged and gone / len(staged) > max(terms.max_silent_share, 2.0 * others_gone):
        return Verdict.WORSE
    found = ratio(samples, terms)
    if found is None:
        return Verdict.UNSURE
    if found >= math.log((1.0 - terms.miss) / terms.false_alarm):
        return Verdict.WORSE
    if found <= math.log(terms.miss / (1.0 - terms.false_alarm)):
        return Verdict.NOT_WORSE
    return Verdict.UNSURE


class StageAction(Enum):
    """What the roll-out does."""

    WAIT = "wait"
    ADVANCE = "on to the next stage"
    ROLL_BACK = "back"


def next_action(verdict_now: Verdict, waited: float, least: float, most: float) -> StageAction:
    """A stage stands for ``least`` seconds at least; one that stays unsure for ``most`` goes back: nobody could tell
    that it does no harm."""
    if verdict_now is Verdict.WORSE:
        return StageAction.ROLL_BACK
    if verdict_now is Verdict.NOT_WORSE and waited >= least:
        return StageAction.ADVANCE
    return StageAction.ROLL_BACK if waited >= most else StageAction.WAIT
