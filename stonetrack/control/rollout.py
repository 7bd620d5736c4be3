"""Whether a staged version costs service: a sequential test, and the stages of a roll-out.  No I/O.

The test is the sequential probability ratio test (Wald, Sequential Tests of Statistical Hypotheses, 1945) on the
difference in the share of requests served between the nodes that run the version and the rest.  Each node's share is
compared with its own from before, because nodes differ more from each other than a version makes them.  H0: no
difference; H1: ``loss`` of service lost.  With D the difference and V its variance from the scatter of the nodes, at
least the binomial variance, the log-likelihood ratio is

    loss / V * (-D - loss / 2)

The test decides at or above ln((1 - miss) / false_alarm) and at or below ln(miss / (1 - false_alarm)); it may be
evaluated as often as wanted.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

MIN_NODES = 2  # on each side
MIN_REQUESTS = 50  # on each side


@dataclass(frozen=True, slots=True)
class NodeSample:
    """One node's requests, all and those served, since the stage began and before it."""

    staged: bool
    requests: float
    served: float
    requests_before: float = 0.0
    served_before: float = 0.0
    silent: bool = False  # no report since it was to run the version


class Verdict(Enum):
    """Result of the test."""

    UNSURE = "unsure"
    WORSE = "worse"
    NOT_WORSE = "not worse"


@dataclass(frozen=True, slots=True)
class SprtParameters:
    """``loss`` of service to detect, and the error probabilities of the sequential probability ratio test."""

    loss: float = 0.05
    false_alarm: float = 0.03
    miss: float = 0.03
    max_silent_share: float = 0.34  # of the staged nodes; a larger share counts as worse at once


def _side(samples: Sequence[NodeSample]) -> tuple[float, float]:
    """Return the mean change of the share served, weighted by requests, and its variance."""
    requests = sum(s.requests for s in samples)
    rate = min(max(sum(s.served for s in samples) / requests, 0.5 / requests), 1.0 - 0.5 / requests)
    requests_before = sum(s.requests_before for s in samples)
    changes = []
    for s in samples:
        rate_before = s.served_before / s.requests_before if s.requests_before else 0.0
        changes.append((s.requests, s.served / s.requests - rate_before if s.requests else 0.0))
    mean = sum(w * change for w, change in changes) / requests
    scatter = sum(w * w * (change - mean) ** 2 for w, change in changes) / (requests * requests)
    n = len(samples)
    scatter *= n / (n - 1)
    binomial = rate * (1.0 - rate) / requests
    if requests_before:
        binomial += rate * (1.0 - rate) / requests_before
    return mean, max(scatter, binomial)


def log_likelihood_ratio(samples: Sequence[NodeSample], parameters: SprtParameters) -> float | None:
    """Return the log-likelihood ratio for a loss; None while there are too few nodes or requests."""
    if any(s.requests_before for s in samples):  # a node without earlier requests has no baseline
        samples = [s for s in samples if s.requests_before]
    sides = [[s for s in samples if s.staged is staged and s.requests] for staged in (True, False)]
    if any(len(side) < MIN_NODES or sum(s.requests for s in side) < MIN_REQUESTS for side in sides):
        return None
    (staged, staged_variance), (rest, rest_variance) = (_side(side) for side in sides)
    return parameters.loss / (staged_variance + rest_variance) * (rest - staged - parameters.loss / 2.0)


def verdict(samples: Sequence[NodeSample], parameters: SprtParameters) -> Verdict:
    """Return the result of the test.  Staged nodes that fell silent decide before any request does."""
    staged = [s for s in samples if s.staged]
    silent = sum(s.silent for s in staged)
    others = [s for s in samples if not s.staged]
    others_silent = sum(s.silent for s in others) / max(len(others), 1)
    if staged and silent / len(staged) > max(parameters.max_silent_share, 2.0 * others_silent):
        return Verdict.WORSE
    ratio = log_likelihood_ratio(samples, parameters)
    if ratio is None:
        return Verdict.UNSURE
    if ratio >= math.log((1.0 - parameters.miss) / parameters.false_alarm):
        return Verdict.WORSE
    if ratio <= math.log(parameters.miss / (1.0 - parameters.false_alarm)):
        return Verdict.NOT_WORSE
    return Verdict.UNSURE


class StageAction(Enum):
    """What the roll-out does next."""

    WAIT = "wait"
    ADVANCE = "on to the next stage"
    ROLL_BACK = "back"


def next_action(current: Verdict, elapsed: float, minimum: float, maximum: float) -> StageAction:
    """Return the next action of a stage that has lasted ``elapsed`` seconds.

    A stage lasts at least ``minimum`` seconds; one that is still unsure after ``maximum`` is rolled back, because
    nothing shows that the version does no harm."""
    if current is Verdict.WORSE:
        return StageAction.ROLL_BACK
    if current is Verdict.NOT_WORSE and elapsed >= minimum:
        return StageAction.ADVANCE
    return StageAction.ROLL_BACK if elapsed >= maximum else StageAction.WAIT
