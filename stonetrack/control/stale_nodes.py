"""What is done about a node that does not run what it is to run.  No I/O, no clock.

Evidence is what a node reports (which version it runs, which it turned down and why, its process's own name) and when
it was last heard.  A node that lags is *brought up* in steps: told again, then asked to start anew, each at growing
pauses and under a budget over the whole fleet; past its bound it is *shut out* until it runs the version.  Two things
bound what a mad service or a bad version can do:

- never more than ``most_out`` of the nodes are shut out at one time, silent ones included, whatever the evidence says.
  A node that was ordered out is taken for out until it repeats the number of the order that lets it in
  (:attr:`Node.held`): that order may not have been heard yet, questions that a link held back come late, and a service
  that was started anew knows the orders given before from its disk;
- a version that at least ``bad_share`` of those that were told of it turned down is the version's fault: nobody is shut
  out or started anew for it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

SECOND = 1_000_000_000


class Evidence(Enum):
    """What is known of a node that lags; the first that holds."""

    CURRENT = "runs it"
    AHEAD = "runs a newer one"
    SILENT = "silent"
    INCONSISTENT = "acts on what it did not acknowledge"
    FLAPPING = "starts again and again"
    LOST_STATE = "lost its memory"
    REJECTED = "turned it down"
    BEHIND = "runs an older one"


class Order(Enum):
    """What a node is told beside its document."""

    NONE = ""
    RESTART = "start anew"
    FENCE = "out"


@dataclass(frozen=True, slots=True)
class Rules:
    """Times in nanoseconds; grace and bound by kind of change."""

    grace: Mapping[str, int] = field(default_factory=lambda: {"rule": 3 * SECOND, "weight": 60 * SECOND})
    bound: Mapping[str, int] = field(default_factory=lambda: {"rule": 10 * SECOND, "weight": 300 * SECOND})
    silent: int = 10 * SECOND  # a node that was not heard for so long
    restart_pause: int = 10 * SECOND  # from one order to start anew to the node's next, doubled each time
    restarts: int = 2  # ordered over the whole fleet within one restart_pause
    most_out: float = 0.2  # share of the nodes known
    bad_share: float = 0.5
    flaps: int = 3  # starts within ten times ``silent`` that are too many


@dataclass(frozen=True, slots=True)
class Node:
    """What is known of one node; times of the service's clock."""

    name: str
    heard: int
    boot: str = ""
    running: int = 0
    digest: str = ""
    acting: str = ""  # digest that it says it decides by; differs where it is mistaken
    refused: int = 0
    why: str = ""
    most: int = 0  # highest version that it ever said it runs
    starts: tuple[int, ...] = ()  # when it was seen to start, the last few
    wanted: int = 0
    since: int = 0  # when it was first to run ``wanted``
    order: int = 0  # of the orders given to it, the last; odd: out, even: in again
    echo: int = 0  # the highest that it has repeated
    ordered: int = 0  # to start anew: when last
    orders: int = 0

    @property
    def out(self) -> bool:
        """Whether it is ordered out now."""
        return self.order % 2 == 1

    @property
    def held(self) -> bool:
        """Whether it may be out: it is ordered so, or has yet to repeat the order that lets it in."""
        return self.out or self.echo < self.order

    def reported(self, now: int, boot: str, running: int, digest: str, acting: str, refused: int, why: str,
                 order: int = 0) -> Node:  # fmt: skip
        """It was heard.  A process that has just started gets its grace anew; one that flaps is counted from its first
        start of late.  ``order`` is the last one that it has heard; one that was never given here (the service lost its
        disk) is counted on from, so that a later number is always a later order."""
        mine = self.order if order <= self.order else order + (order + self.order) % 2
        starts, since = (self.starts, self.since) if boot == self.boot else ((*self.starts, now)[-8:], now)
        return replace(self, heard=now, boot=boot, since=since, running=running, digest=digest, acting=acting,
                       refused=refused, why=why, most=max(self.most, running), starts=starts,
                       order=mine, echo=max(self.echo, order))  # fmt: skip

    def to_run(self, now: int, number: int) -> Node:
        """It is to run this version."""
        if number == self.wanted:
            return self
        return replace(self, wanted=number, since=now, orders=0, ordered=0)


def _lately(node: Node, now: int, rules: Rules) -> list[int]:
    """When the node started, of late."""
    return [at for at in node.starts if now - at < 10 * rules.silent]


def evidence(node: Node, digest: str, now: int, rules: Rules) -> Evidence:
    """What is known of a node that is to run the version of this digest."""
    if now - node.heard > rules.silent:
        return Evidence.SILENT
    if node.acting and node.digest and node.acting != node.digest:
        return Evidence.INCONSISTENT
    if node.running == node.wanted and node.digest == digest:
        return Evidence.CURRENT
    if node.running > node.wanted:
        return Evidence.AHEAD  # the service's own state is an old one: that is nobody else's fault
    if len(_lately(node, now, rules)) > rules.flaps:
        return Evidence.FLAPPING
    if node.refused == node.wanted:
        return Evidence.REJECTED
    if node.running < node.most:
        return Evidence.LOST_STATE
    return Evidence.BEHIND


def orders(
    nodes: Mapping[str, Node], wanted: Mapping[str, tuple[int, str, str]], now: int, rules: Rules
) -> tuple[dict[str, Node], dict[str, tuple[Order, Evidence]]]:
    """The nodes' next state and what each is ordered.  ``wanted`` gives number, digest and kind by node."""
    next_of = {name: node.to_run(now, wanted[name][0]) for name, node in nodes.items()}
    found = {name: evidence(node, wanted[name][1], now, rules) for name, node in next_of.items()}
    bad = _bad_versions(next_of, rules)
    lags = {
        name: now - _behind_since(node, found[name], now, rules) for name, node in next_of.items()
        if found[name] not in (Evidence.CURRENT, Evidence.SILENT, Evidence.AHEAD) and node.wanted not in bad
    }  # fmt: skip
    may_be_out = {name for name, late in lags.items() if late >= rules.bound[wanted[name][2]]}
    silent = sum(each is Evidence.SILENT for each in found.values())
    still = sum(node.held and found[name] is not Evidence.SILENT for name, node in next_of.items()
                if name not in may_be_out)  # fmt: skip
    room = max(0, int(rules.most_out * len(next_of)) - silent - still)
    lately = sum(now - node.ordered < rules.restart_pause for node in next_of.values() if node.ordered)
    made: dict[str, tuple[Order, Evidence]] = {}
    out = 0
    # Who is out stays out first, then by how long each has lagged: the same nodes from one look to the next.
    for name in sorted(next_of, key=lambda n: (not next_of[n].held, not next_of[n].out, next_of[n].since, n)):
        node, seen, kind = next_of[name], found[name], wanted[name][2]
        order = Order.NONE
        if name in may_be_out and out < room:
            order, out = Order.FENCE, out + 1
        elif (
            name in lags and lags[name] >= rules.grace[kind]
            and _may_restart(node, seen, now, rules) and lately < rules.restarts
        ):  # fmt: skip
            order, lately = Order.RESTART, lately + 1
            node = replace(node, ordered=now, orders=node.orders + 1)
        if (order is Order.FENCE) != node.out:
            node = replace(node, order=node.order + 1)
        next_of[name] = node
        made[name] = order, seen
    return next_of, made


def _behind_since(node: Node, seen: Evidence, now: int, rules: Rules) -> int:
    return min(_lately(node, now, rules)) if seen is Evidence.FLAPPING else node.since


def _may_restart(node: Node, seen: Evidence, now: int, rules: Rules) -> bool:
    """Starting anew helps a node that hangs on, not one that flaps or says no."""
    if seen in (Evidence.FLAPPING, Evidence.REJECTED):
        return False
    return not node.ordered or now - node.ordered >= rules.restart_pause << min(node.orders, 6)


def _bad_versions(nodes: Mapping[str, Node], rules: Rules) -> set[int]:
    """Versions that too many of those that were told of them turned down."""
    told: dict[int, int] = {}
    no: dict[int, int] = {}
    for node in nodes.values():
        answered = node.running == node.wanted or node.refused == node.wanted
        told[node.wanted] = told.get(node.wanted, 0) + answered
        no[node.wanted] = no.get(node.wanted, 0) + (node.refused == node.wanted and node.running != node.wanted)
    return {number for number, count in no.items() if count and count >= rules.bad_share * told[number]}
