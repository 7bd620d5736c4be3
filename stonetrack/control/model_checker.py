"""Exhaustive exploration of fencing: the state machines of :mod:`.stale_nodes` and :mod:`.follower` in a small world.

The world has a few nodes, of which at most one may be fenced at a time, and a service that decides about them, may
restart and publishes one more version.  Reports and answers take any time; a report that its node has abandoned may
still reach the service after the node has sent the next one; a node may or may not install a version.  The search is
breadth first, so the first history that violates a property is a shortest one.  Times are kept as ages and orders as
relative numbers, which makes the world finite however long it runs.

Properties:

1. the number of nodes that refuse requests because they are fenced never exceeds the limit;
2. a node that runs the version that lifts its fence takes requests, whatever it can reach.

:class:`Omitted` names a safeguard to leave out, to show that the exploration finds the violation that it prevents.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum, auto

from stonetrack.control.follower import Lease
from stonetrack.control.stale_nodes import Node, Order, Rules, decide_orders
from stonetrack.election.breadth_first import SearchResult, search

NAMES = ("a", "b", "c")
RULES = Rules(grace={"rule": 1}, fence_after={"rule": 1}, silent_after=3, restart_pause=100, max_restarts=0,
              max_fenced_share=0.5, bad_version_share=2.0, max_starts=100)  # fmt: skip
MAX_FENCED = 1


class Omitted(Enum):
    """The safeguard that is left out."""

    NOTHING = auto()
    MAY_BE_FENCED = auto()  # only orders are counted, not nodes that have yet to receive the lifting of their fence
    STORED_ORDERS = auto()  # a restarted service does not know which nodes it fenced
    ACKNOWLEDGED_ORDER = auto()  # a node that reports that it is not fenced is believed, whatever order it received
    LIFTING_VERSION = auto()  # an order does not name the version that lifts the fence


@dataclass(frozen=True, slots=True)
class Bounds:
    """Size of the world."""

    nodes: int = 2
    restarts: int = 1  # of the service
    abandoned: int = 1  # reports whose answer the node stopped waiting for
    publishes: int = 1
    states: int = 2_000_000


@dataclass(frozen=True, slots=True)
class PendingReport:
    """A report: on its way, waiting at the service, or answered."""

    running: int
    fenced: bool
    order: int  # number of the last order received
    arrived: bool = False
    answer: tuple[int, int] | None = None  # order number and desired version


@dataclass(frozen=True, slots=True)
class NodeState:
    """A node's own state."""

    running: int = 1
    lease: Lease = Lease()
    report: PendingReport | None = None


@dataclass(frozen=True, slots=True)
class World:
    """One state of the nodes, the service and the reports under way."""

    desired: int
    nodes: tuple[NodeState, ...]
    known: tuple[Node | None, ...]  # by the service
    stored: tuple[int, ...]  # on the service's disk: the last order number of each node
    late: tuple[tuple[int, PendingReport], ...]  # abandoned reports that may still arrive, by node
    restarts: int = 0
    abandoned: int = 0


def explore(bounds: Bounds, omitted: Omitted = Omitted.NOTHING) -> SearchResult:
    """Search all histories within the bounds for a violated property."""
    first = World(1, (NodeState(),) * bounds.nodes, (None,) * bounds.nodes, (0,) * bounds.nodes, ())

    def steps(world: World) -> Iterator[tuple[str, World, str]]:
        for label, after in _next(world, bounds, omitted):
            yield label, after, _violation(after)

    return search(first, steps, _normalized, bounds.states)


def _normalized(world: World) -> World:
    """Return the world without differences that have no effect: ages past all limits, absolute order numbers."""
    known: list[Node | None] = []
    nodes, late, stored = list(world.nodes), list(world.late), list(world.stored)
    for n, (node, service) in enumerate(zip(world.nodes, world.known, strict=True)):
        lowest = _lowest(world, n, node, service)  # pairs of orders that nothing refers to any longer are left out
        report = node.report
        if report is not None:
            answer = (report.answer[0] - lowest, report.answer[1]) if report.answer is not None else None
            report = replace(report, order=report.order - lowest, answer=answer)
        nodes[n] = replace(node, lease=replace(node.lease, order=node.lease.order - lowest), report=report)
        late = [(of, replace(r, order=r.order - lowest) if of == n else r) for of, r in late]
        stored[n] -= lowest
        known.append(service and replace(
            service, last_report=max(service.last_report, -RULES.silent_after - 1),
            desired_since=max(service.desired_since, -RULES.fence_after["rule"]), starts=(),
            highest_running=service.running, fence_order=service.fence_order - lowest,
            acknowledged_order=service.acknowledged_order - lowest))  # fmt: skip
    late.sort(key=lambda each: (each[0], each[1].order, each[1].running))
    return replace(world, nodes=tuple(nodes), known=tuple(known), late=tuple(late), stored=tuple(stored))


def _lowest(world: World, n: int, node: NodeState, service: Node | None) -> int:
    """Return the highest even number up to the lowest order number of the node that anything still refers to."""
    numbers = [node.lease.order, world.stored[n], *(report.order for of, report in world.late if of == n)]
    numbers += [service.fence_order, service.acknowledged_order] if service is not None else []
    if node.report is not None:
        numbers += [node.report.order, *([node.report.answer[0]] if node.report.answer is not None else [])]
    return min(numbers) // 2 * 2


def _violation(world: World) -> str:
    fenced = [name for name, node in zip(NAMES, world.nodes, strict=False) if node.lease.is_fenced(node.running)]
    if len(fenced) > MAX_FENCED:
        return f"{' and '.join(fenced)} are fenced at one time, the limit is {MAX_FENCED}"
    for name, node in zip(NAMES, world.nodes, strict=False):
        if node.running >= world.desired and node.lease.is_fenced(node.running):
            return f"{name} runs version {node.running} and takes no requests"
    return ""


Next = tuple[str, World]


def _next(world: World, bounds: Bounds, omitted: Omitted) -> Iterator[Next]:
    """Yield every next step with its label."""
    older = tuple(
        node and replace(node, last_report=node.last_report - 1, desired_since=node.desired_since - 1)
        for node in world.known
    )
    yield "time passes", replace(world, known=older)
    if world.desired < 1 + bounds.publishes:
        known = tuple(node and node.with_desired(0, world.desired + 1) for node in world.known)
        yield f"version {world.desired + 1} is published", replace(world, desired=world.desired + 1, known=known)
    yield from _decisions(world, omitted)
    if world.restarts < bounds.restarts and any(world.known):
        stored = (0,) * bounds.nodes if omitted is Omitted.STORED_ORDERS else world.stored
        known = tuple(Node(name, 0, fence_order=order).with_desired(0, world.desired) if order else None
                      for name, order in zip(NAMES, stored, strict=False))  # fmt: skip
        nodes = tuple(replace(node, report=None) if node.report is not None else node for node in world.nodes)
        yield "the service restarts", replace(world, known=known, nodes=nodes, restarts=world.restarts + 1)
    for n, node in enumerate(world.nodes):
        yield from _node_steps(world, n, node, bounds, omitted)
    for which, (n, report) in enumerate(world.late):
        rest = world.late[:which] + world.late[which + 1 :]
        yield f"a report that {NAMES[n]} abandoned arrives", replace(_received(world, n, report, omitted), late=rest)


def _decisions(world: World, omitted: Omitted) -> Iterator[Next]:
    """Let the service decide about the nodes it knows; it stores fence orders before any node receives them."""
    known = {node.name: node for node in world.known if node is not None}
    if not known:
        return
    after, given = decide_orders(known, dict.fromkeys(known, (world.desired, f"d{world.desired}", "rule")), 0, RULES)
    if omitted is Omitted.MAY_BE_FENCED:
        after = {name: replace(node, acknowledged_order=node.fence_order) for name, node in after.items()}
    fenced = [name for name, (order, _) in given.items() if order is Order.FENCE]
    stored = world.stored
    if any(node.fenced and stored[NAMES.index(name)] != node.fence_order for name, node in after.items()):
        stored = tuple(after[name].fence_order if name in after else 0 for name, _ in zip(NAMES, stored, strict=False))
    then = replace(world, known=tuple(after.get(name) for name, _ in zip(NAMES, stored, strict=False)), stored=stored)
    if then != world:
        yield f"the service decides: {' and '.join(fenced) or 'nobody'} fenced", then


def _node_steps(world: World, n: int, node: NodeState, bounds: Bounds, omitted: Omitted) -> Iterator[Next]:
    """Yield what a node may do, and what may happen to its report."""
    name, report = NAMES[n], node.report
    if report is None:
        sent = PendingReport(node.running, node.lease.is_fenced(node.running), node.lease.order)
        yield f"{name} sends a report", _with(world, n, replace(node, report=sent))
        return
    if world.abandoned < bounds.abandoned:
        without = replace(_with(world, n, replace(node, report=None)), abandoned=world.abandoned + 1)
        yield f"{name} abandons its report", without
        if not report.arrived:
            yield f"{name} abandons its report, still on its way", replace(without, late=(*world.late, (n, report)))
    if not report.arrived:
        received = _received(world, n, report, omitted)
        yield f"{name}'s report arrives", _with(received, n, replace(node, report=replace(report, arrived=True)))
        return
    if report.answer is None:
        known = world.known[n]
        answer = known.fence_order if known is not None else 0, world.desired
        yield f"{name} is answered", _with(world, n, replace(node, report=replace(report, answer=answer)))
        return
    order, number = report.answer
    lifted_by = 1_000 if omitted is Omitted.LIFTING_VERSION else number
    lease = node.lease.fenced("behind" if order % 2 else "", lifted_by, order)
    yield f"{name} receives the answer", _with(world, n, replace(node, report=None, lease=lease))
    if number > node.running:
        installed = replace(node, report=None, lease=lease, running=number)
        yield f"{name} receives the answer and installs version {number}", _with(world, n, installed)


def _received(world: World, n: int, report: PendingReport, omitted: Omitted) -> World:
    known = world.known[n] or Node(NAMES[n], 0, "p")
    order = report.order
    if omitted is Omitted.MAY_BE_FENCED or (omitted is Omitted.ACKNOWLEDGED_ORDER and not report.fenced):
        order = known.fence_order
    digest = f"d{report.running}"
    node = known.reported(0, "p", report.running, digest, digest, 0, "", order)
    node = node.with_desired(0, world.desired)
    return replace(world, known=(*world.known[:n], node, *world.known[n + 1 :]))


def _with(world: World, n: int, node: NodeState) -> World:
    return replace(world, nodes=(*world.nodes[:n], node, *world.nodes[n + 1 :]))
