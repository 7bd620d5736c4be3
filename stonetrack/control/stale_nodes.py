"""Decisions about nodes that do not run their desired version.  No I/O, no clock.

The evidence is what a node reports (the version it runs, the one it rejected and why, its process's boot name) and
when its last report came.  A node that lags is recovered in steps: it is sent the document again, then asked to
restart, with doubling pauses and within a budget for the whole fleet; past its bound it is *fenced* (it takes no
requests) until it runs the version.  Two limits bound the damage of a faulty service or a bad version:

- At most ``max_fenced_share`` of the nodes are fenced at one time, silent nodes included, whatever the evidence says.
  A node that was fenced counts as fenced until it acknowledges the number of the order that lifts the fence
  (:attr:`Node.may_be_fenced`): that order may not have arrived yet, reports delayed by a link arrive late, and a
  service that restarts knows earlier orders from its disk.
- A version rejected by at least ``bad_version_share`` of the nodes that have answered it is itself at fault: no node is
  fenced or restarted because of it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

SECOND = 1_000_000_000


class Evidence(Enum):
    """What is known of a node; the first that applies.  The values are metric labels."""

    CURRENT = "runs it"
    AHEAD = "runs a newer one"
    SILENT = "silent"
    INCONSISTENT = "acts on what it did not acknowledge"
    FLAPPING = "starts again and again"
    LOST_STATE = "lost its memory"
    REJECTED = "turned it down"
    BEHIND = "runs an older one"


class Order(Enum):
    """An order sent to a node in addition to its document."""

    NONE = ""
    RESTART = "start anew"
    FENCE = "out"


@dataclass(frozen=True, slots=True)
class Rules:
    """Limits of the decisions; times in nanoseconds, ``grace`` and ``fence_after`` by kind of change."""

    grace: Mapping[str, int] = field(default_factory=lambda: {"rule": 3 * SECOND, "weight": 60 * SECOND})
    fence_after: Mapping[str, int] = field(default_factory=lambda: {"rule": 10 * SECOND, "weight": 300 * SECOND})
    silent_after: int = 10 * SECOND  # without a report
    restart_pause: int = 10 * SECOND  # from one restart order to the node's next, doubled each time
    max_restarts: int = 2  # ordered over the whole fleet within one restart_pause
    max_fenced_share: float = 0.2  # of the known nodes
    bad_version_share: float = 0.5
    max_starts: int = 3  # within ten times ``silent_after``; more are flapping


@dataclass(frozen=True, slots=True)
class Node:
    """What the service knows of one node; times of the service's clock."""

    name: str
    last_report: int
    boot: str = ""
    running: int = 0
    digest: str = ""
    acting: str = ""  # digest of the version that its decisions are made with, as reported
    refused: int = 0
    why: str = ""
    highest_running: int = 0  # highest version that it has ever reported
    starts: tuple[int, ...] = ()  # when its last few starts were seen
    desired: int = 0
    desired_since: int = 0
    fence_order: int = 0  # number of the last fence order; odd: fenced, even: fence lifted
    acknowledged_order: int = 0  # highest order number that it has repeated
    restart_ordered_at: int = 0  # last time
    restart_orders: int = 0

    @property
    def fenced(self) -> bool:
        """Whether its last order fences it."""
        return self.fence_order % 2 == 1

    @property
    def may_be_fenced(self) -> bool:
        """Whether it is ordered to be fenced or has not yet acknowledged the order that lifts the fence."""
        return self.fenced or self.acknowledged_order < self.fence_order

    def reported(self, now: int, boot: str, running: int, digest: str, acting: str, refused: int, why: str,
                 order: int = 0) -> Node:  # fmt: skip
        """Return the node after a report.

        A process that has just started gets a new grace period; a flapping one is counted from its first recent start.
        ``order`` is the last order that the node received.  Where the service lost its disk and never gave that order,
        it continues from the node's number, so that a later number is always a later order."""
        fence_order = self.fence_order if order <= self.fence_order else order + (order + self.fence_order) % 2
        starts, since = (self.starts, self.desired_since) if boot == self.boot else ((*self.starts, now)[-8:], now)
        return replace(self, last_report=now, boot=boot, desired_since=since, running=running, digest=digest,
                       acting=acting, refused=refused, why=why, highest_running=max(self.highest_running, running),
                       starts=starts, fence_order=fence_order,
                       acknowledged_order=max(self.acknowledged_order, order))  # fmt: skip

    def with_desired(self, now: int, number: int) -> Node:
        """Return the node with this desired version."""
        if number == self.desired:
            return self
        return replace(self, desired=number, desired_since=now, restart_orders=0, restart_ordered_at=0)


def _recent_starts(node: Node, now: int, rules: Rules) -> list[int]:
    return [at for at in node.starts if now - at < 10 * rules.silent_after]


def evidence(node: Node, digest: str, now: int, rules: Rules) -> Evidence:
    """Return what is known of a node whose desired version has this digest."""
    if now - node.last_report > rules.silent_after:
        return Evidence.SILENT
    if node.acting and node.digest and node.acting != node.digest:
        return Evidence.INCONSISTENT
    if node.running == node.desired and node.digest == digest:
        return Evidence.CURRENT
    if node.running > node.desired:
        return Evidence.AHEAD  # the service's own state is outdated; the node is not at fault
    if len(_recent_starts(node, now, rules)) > rules.max_starts:
        return Evidence.FLAPPING
    if node.refused == node.desired:
        return Evidence.REJECTED
    if node.running < node.highest_running:
        return Evidence.LOST_STATE
    return Evidence.BEHIND


def decide_orders(
    nodes: Mapping[str, Node], desired: Mapping[str, tuple[int, str, str]], now: int, rules: Rules
) -> tuple[dict[str, Node], dict[str, tuple[Order, Evidence]]]:
    """Return the nodes' next states and each node's order.  ``desired`` gives number, digest and kind by node."""
    next_nodes = {name: node.with_desired(now, desired[name][0]) for name, node in nodes.items()}
    found = {name: evidence(node, desired[name][1], now, rules) for name, node in next_nodes.items()}
    bad = _bad_versions(next_nodes, rules)
    lags = {
        name: now - _behind_since(node, found[name], now, rules) for name, node in next_nodes.items()
        if found[name] not in (Evidence.CURRENT, Evidence.SILENT, Evidence.AHEAD) and node.desired not in bad
    }  # fmt: skip
    past_bound = {name for name, lag in lags.items() if lag >= rules.fence_after[desired[name][2]]}
    silent = sum(each is Evidence.SILENT for each in found.values())
    still_fenced = sum(node.may_be_fenced and found[name] is not Evidence.SILENT for name, node in next_nodes.items()
                       if name not in past_bound)  # fmt: skip
    room = max(0, int(rules.max_fenced_share * len(next_nodes)) - silent - still_fenced)
    recent_restarts = sum(now - node.restart_ordered_at < rules.restart_pause for node in next_nodes.values()
                          if node.restart_ordered_at)  # fmt: skip
    decided: dict[str, tuple[Order, Evidence]] = {}
    fenced = 0
    # Nodes that are fenced already come first, then those that have lagged longest, so that the choice stays the same
    # from one decision to the next.
    for name in sorted(next_nodes, key=lambda n: (not next_nodes[n].may_be_fenced, not next_nodes[n].fenced,
                                                  next_nodes[n].desired_since, n)):  # fmt: skip
        node, seen, kind = next_nodes[name], found[name], desired[name][2]
        order = Order.NONE
        if name in past_bound and fenced < room:
            order, fenced = Order.FENCE, fenced + 1
        elif (
            name in lags and lags[name] >= rules.grace[kind]
            and _may_restart(node, seen, now, rules) and recent_restarts < rules.max_restarts
        ):  # fmt: skip
            order, recent_restarts = Order.RESTART, recent_restarts + 1
            node = replace(node, restart_ordered_at=now, restart_orders=node.restart_orders + 1)
        if (order is Order.FENCE) != node.fenced:
            node = replace(node, fence_order=node.fence_order + 1)
        next_nodes[name] = node
        decided[name] = order, seen
    return next_nodes, decided


def _behind_since(node: Node, seen: Evidence, now: int, rules: Rules) -> int:
    return min(_recent_starts(node, now, rules)) if seen is Evidence.FLAPPING else node.desired_since


def _may_restart(node: Node, seen: Evidence, now: int, rules: Rules) -> bool:
    """Return whether a restart is due; it helps a node that hangs, not one that flaps or rejects the version."""
    if seen in (Evidence.FLAPPING, Evidence.REJECTED):
        return False
    return not node.restart_ordered_at or (
        now - node.restart_ordered_at >= rules.restart_pause << min(node.restart_orders, 6))  # fmt: skip


def _bad_versions(nodes: Mapping[str, Node], rules: Rules) -> set[int]:
    """Return the versions that too many of the nodes that have answered them rejected."""
    answers: dict[int, int] = {}
    rejections: dict[int, int] = {}
    for node in nodes.values():
        answered = node.running == node.desired or node.refused == node.desired
        answers[node.desired] = answers.get(node.desired, 0) + answered
        rejections[node.desired] = rejections.get(node.desired, 0) + (
            node.refused == node.desired and node.running != node.desired)  # fmt: skip
    return {number for number, count in rejections.items()
            if count and count >= rules.bad_version_share * answers[number]}  # fmt: skip
