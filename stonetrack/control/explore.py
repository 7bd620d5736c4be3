"""Every history of a shut-out, explored: the machines that run (:mod:`.stale_nodes`, :mod:`.follow`), in a small world.

A few nodes, of which one may be shut out at a time, and a service that decides about them, may be started anew and
publishes one more version.  Questions and answers take any time; one that a node gave up may still reach the service
later, when the node has asked again; a node may take a version, or not.  Breadth first, so that the first history that
breaks a promise is a shortest one.  Times are kept as ages and questions by their order alone, so that the world is
finite however long it lasts.

Promises:

1. never more nodes refuse requests because they were shut out than may;
2. a node that runs the version which lifts its shut-out takes requests, whoever can be reached.

:class:`Less` takes one protection away, to show that the exploration finds what it is for.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum, auto

from stonetrack.control.follower import Lease
from stonetrack.control.stale_nodes import Node, Order, Rules, orders
from stonetrack.election.breadth_first import SearchResult, search

NAMES = ("a", "b", "c")
RULES = Rules(grace={"rule": 1}, bound={"rule": 1}, silent=3, restart_pause=100, restarts=0, most_out=0.5,
              bad_share=2.0, flaps=100)  # fmt: skip
MOST = 1


class Less(Enum):
    """What is left out."""

    NOTHING = auto()
    HELD = auto()  # orders alone are counted, not who has yet to hear that his was lifted
    KEPT = auto()  # a service that is started anew does not know whom it ordered out
    ECHO = auto()  # a node that says that it is not out is believed, whatever it has heard
    LIFTED = auto()  # an order does not name the version that lifts it


@dataclass(frozen=True, slots=True)
class Bounds:
    """How large the world is."""

    nodes: int = 2
    restarts: int = 1  # of the service
    given_up: int = 1  # questions that a node gave up
    publishes: int = 1
    states: int = 2_000_000


@dataclass(frozen=True, slots=True)
class Asked:
    """A question: on its way, waiting at the service, or answered."""

    running: int
    out: bool
    order: int  # the last one heard
    there: bool = False
    answer: tuple[int, int] | None = None  # the order, and the version that is to be run


@dataclass(frozen=True, slots=True)
class At:
    """A node."""

    running: int = 1
    permit: Lease = Lease()
    asked: Asked | None = None


@dataclass(frozen=True, slots=True)
class World:
    """One state."""

    wanted: int
    nodes: tuple[At, ...]
    known: tuple[Node | None, ...]  # by the service
    kept: tuple[int, ...]  # on its disk: the last order given to each
    late: tuple[tuple[int, Asked], ...]  # questions that their node gave up and that may still come
    restarts: int = 0
    given_up: int = 0


def explore(bounds: Bounds, less: Less = Less.NOTHING) -> SearchResult:
    """See the module."""
    first = World(1, (At(),) * bounds.nodes, (None,) * bounds.nodes, (0,) * bounds.nodes, ())

    def steps(world: World) -> Iterator[tuple[str, World, str]]:
        for said, then in _next(world, bounds, less):
            yield said, then, _broken(then)

    return search(first, steps, _plain, bounds.states)


def _plain(world: World) -> World:
    """Without what tells states apart that behave alike: times past what is asked of them, numbers of orders."""
    known: list[Node | None] = []
    nodes, late, kept = list(world.nodes), list(world.late), list(world.kept)
    for n, (node, service) in enumerate(zip(world.nodes, world.known, strict=True)):
        lowest = _lowest(world, n, node, service)  # as many orders that nobody remembers, in pairs, need no numbers
        asked = node.asked
        if asked is not None:
            answer = (asked.answer[0] - lowest, asked.answer[1]) if asked.answer is not None else None
            asked = replace(asked, order=asked.order - lowest, answer=answer)
        nodes[n] = replace(node, permit=replace(node.permit, order=node.permit.order - lowest), asked=asked)
        late = [(of, replace(a, order=a.order - lowest) if of == n else a) for of, a in late]
        kept[n] -= lowest
        known.append(service and replace(
            service, heard=max(service.heard, -RULES.silent - 1), since=max(service.since, -RULES.bound["rule"]),
            starts=(), most=service.running, order=service.order - lowest, echo=service.echo - lowest))  # fmt: skip
    late.sort(key=lambda each: (each[0], each[1].order, each[1].running))
    return replace(world, nodes=tuple(nodes), known=tuple(known), late=tuple(late), kept=tuple(kept))


def _lowest(world: World, n: int, node: At, service: Node | None) -> int:
    """The lowest even number of an order that still stands anywhere."""
    orders_of = [node.permit.order, world.kept[n], *(asked.order for of, asked in world.late if of == n)]
    orders_of += [service.order, service.echo] if service is not None else []
    if node.asked is not None:
        orders_of += [node.asked.order, *([node.asked.answer[0]] if node.asked.answer is not None else [])]
    return min(orders_of) // 2 * 2


def _broken(world: World) -> str:
    out = [name for name, node in zip(NAMES, world.nodes, strict=False) if node.permit.is_fenced(node.running)]
    if len(out) > MOST:
        return f"{' and '.join(out)} are out at one time, {MOST} may be"
    for name, node in zip(NAMES, world.nodes, strict=False):
        if node.running >= world.wanted and node.permit.is_fenced(node.running):
            return f"{name} runs version {node.running} and takes no requests"
    return ""


Next = tuple[str, World]


def _next(world: World, bounds: Bounds, less: Less) -> Iterator[Next]:
    """All that may happen now."""
    older = tuple(node and replace(node, heard=node.heard - 1, since=node.since - 1) for node in world.known)
    yield "time goes on", replace(world, known=older)
    if world.wanted < 1 + bounds.publishes:
        known = tuple(node and node.to_run(0, world.wanted + 1) for node in world.known)
        yield f"version {world.wanted + 1} is published", replace(world, wanted=world.wanted + 1, known=known)
    yield from _looks(world, less)
    if world.restarts < bounds.restarts and any(world.known):
        kept = (0,) * bounds.nodes if less is Less.KEPT else world.kept
        known = tuple(Node(name, 0, order=order).to_run(0, world.wanted) if order else None
                      for name, order in zip(NAMES, kept, strict=False))  # fmt: skip
        nodes = tuple(replace(node, asked=None) if node.asked is not None else node for node in world.nodes)
        yield "the service is started anew", replace(world, known=known, nodes=nodes, restarts=world.restarts + 1)
    for n, node in enumerate(world.nodes):
        yield from _turn(world, n, node, bounds, less)
    for which, (n, asked) in enumerate(world.late):
        rest = world.late[:which] + world.late[which + 1 :]
        yield f"a question that {NAMES[n]} gave up arrives", replace(_heard(world, n, asked, less), late=rest)


def _looks(world: World, less: Less) -> Iterator[Next]:
    """The service decides about those it knows, and writes down who may be out before anybody hears of it."""
    known = {node.name: node for node in world.known if node is not None}
    if not known:
        return
    after, given = orders(known, dict.fromkeys(known, (world.wanted, f"d{world.wanted}", "rule")), 0, RULES)
    if less is Less.HELD:
        after = {name: replace(node, echo=node.order) for name, node in after.items()}
    out = [name for name, (order, _) in given.items() if order is Order.FENCE]
    kept = world.kept
    if any(node.out and kept[NAMES.index(name)] != node.order for name, node in after.items()):
        kept = tuple(after[name].order if name in after else 0 for name, _ in zip(NAMES, kept, strict=False))
    then = replace(world, known=tuple(after.get(name) for name, _ in zip(NAMES, kept, strict=False)), kept=kept)
    if then != world:
        yield f"the service looks: {' and '.join(out) or 'nobody'} out", then


def _turn(world: World, n: int, node: At, bounds: Bounds, less: Less) -> Iterator[Next]:
    """What a node may do, and what may become of its question."""
    name, asked = NAMES[n], node.asked
    if asked is None:
        made = Asked(node.running, node.permit.is_fenced(node.running), node.permit.order)
        yield f"{name} asks", _with(world, n, replace(node, asked=made))
        return
    if world.given_up < bounds.given_up:
        alone = replace(_with(world, n, replace(node, asked=None)), given_up=world.given_up + 1)
        yield f"{name} gives its question up", alone
        if not asked.there:
            yield f"{name} gives its question up, on its way still", replace(alone, late=(*world.late, (n, asked)))
    if not asked.there:
        told = _heard(world, n, asked, less)
        yield f"{name}'s question arrives", _with(told, n, replace(node, asked=replace(asked, there=True)))
        return
    if asked.answer is None:
        known = world.known[n]
        answer = known.order if known is not None else 0, world.wanted
        yield f"{name} is answered", _with(world, n, replace(node, asked=replace(asked, answer=answer)))
        return
    order, number = asked.answer
    lifted_by = 1_000 if less is Less.LIFTED else number
    permit = node.permit.fenced("behind" if order % 2 else "", lifted_by, order)
    yield f"{name} hears the answer", _with(world, n, replace(node, asked=None, permit=permit))
    if number > node.running:
        taken = replace(node, asked=None, permit=permit, running=number)
        yield f"{name} hears the answer and takes version {number}", _with(world, n, taken)


def _heard(world: World, n: int, asked: Asked, less: Less) -> World:
    known = world.known[n] or Node(NAMES[n], 0, "p")
    order = asked.order
    if less is Less.HELD or (less is Less.ECHO and not asked.out):
        order = known.order
    digest = f"d{asked.running}"
    node = known.reported(0, "p", asked.running, digest, digest, 0, "", order)
    node = node.to_run(0, world.wanted)
    return replace(world, known=(*world.known[:n], node, *world.known[n + 1 :]))


def _with(world: World, n: int, node: At) -> World:
    return replace(world, nodes=(*world.nodes[:n], node, *world.nodes[n + 1 :]))
