"""Every history of a few stewards, explored: the machines that run (:mod:`.lease`, :mod:`.fence`), in a small world.

The world has owners with clocks of their own rates, a register whose writes are carried out at any later moment and
whose answers may be lost, receivers that may restart, effects that arrive at any later moment or never, and one job of
a few steps whose journal is in the register too.  An owner that is stopped is one whose turn does not come while time
goes on.  Breadth first, so that the first history that breaks a promise is a shortest one.

Promises:

1. no two owners hold the lease at one moment (while the register keeps what it was told);
2. at each receiver the owners' effects do not interleave: terms never go down, a term has one owner;
3. steps of the job are carried out in order, each at least once, and never again after the next one;
4. no effect is sent by an owner whose own clock says that it does not hold the lease.

:class:`Omitted` takes one protection away, to show that the exploration finds what it is for.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Flag, auto
from typing import TypeVar

from stonetrack.election.breadth_first import SearchResult, search
from stonetrack.election.fencing import NO_TOKEN, Fence, FencingError, Token
from stonetrack.election.lease import Lease, LeaseTimes, Outcome, ReadRecord, Record, Sleep, Stage, WriteRecord

T = TypeVar("T")
CHANCE = 0.0  # all candidates ask as soon as they may


class Omitted(Flag):
    """What is left out."""

    NOTHING = 0
    FENCE = auto()  # receivers take whatever comes
    MARGIN = auto()  # clocks are taken to run alike
    SECOND_LOOK = auto()  # an owner that once held the lease goes on with its effects
    DURABLE = auto()  # receivers forget their token at a restart
    BEFORE = auto()  # the lease counts from the answer, not from before the question
    CLAIM = auto()  # a receiver looks at the term alone, not at whose it is


@dataclass(frozen=True, slots=True)
class Bounds:
    """How large the world is."""

    candidates: int = 2
    receivers: int = 1
    ticks: int = 6
    steps: int = 2  # of the job
    in_flight: int = 2  # writes and effects under way at one time, each
    restarts: int = 1  # of receivers
    lost_answers: int = 1  # answers of the register
    rollbacks: int = 0  # times that the register loses its last write
    lease: int = 3
    renewals: int = 1
    notified: bool = False  # candidates follow the register, and may be told of what it holds at any moment
    max_states: int = 2_000_000


@dataclass(frozen=True, slots=True)
class Write:
    """A write under way to the register, or its answer under way back."""

    owner: int
    revision: int
    record: Record
    result: int | None = None  # -1 before it was carried out; None: lost its race; else the new revision


@dataclass(frozen=True, slots=True)
class Sent:
    """An effect under way."""

    owner: int
    token: Token
    receiver: int
    step: int


@dataclass(frozen=True, slots=True)
class Mind:
    """What an owner knows beside its lease."""

    doing: int = 0  # the step whose effect it has sent and not heard of; 0 for none
    token: Token = NO_TOKEN  # with which it began its work
    known: int = -1  # steps done by the journal, as it read it in this term; -1 for not read


@dataclass(frozen=True, slots=True)
class World:
    """One state."""

    now: int
    leases: tuple[Lease, ...]
    minds: tuple[Mind, ...]
    revision: int
    last: int  # revision that was ever given out
    record: Record | None
    before: tuple[int, Record | None]  # what a register that loses its last write holds
    journal: int  # steps done
    journal_term: int
    writes: tuple[Write, ...]
    sent: tuple[Sent, ...]
    known: tuple[Token, ...]  # of each receiver, in memory
    durable: tuple[Token, ...]
    taken: tuple[tuple[Token, int], ...]  # of each receiver: whose effect it took last, and the last step
    restarts: int
    lost: int
    back: int


def clock(owner: int, now: int, bounds: Bounds) -> int:
    """An owner's own clock: the first one's is slow by a quarter."""
    return now - now // 4 if owner == 0 else now


def terms_of(bounds: Bounds, less: Omitted) -> LeaseTimes:
    """The lease's durations in ticks: clocks differ by a quarter at most."""
    return LeaseTimes(bounds.lease, 0.0 if Omitted.MARGIN in less else 0.25, 0, bounds.renewals)


def explore(bounds: Bounds, less: Omitted = Omitted.NOTHING) -> SearchResult:
    """See the module."""
    terms = terms_of(bounds, less)
    leases = tuple(Lease(f"s{n}", terms) for n in range(bounds.candidates))
    nobody = (NO_TOKEN,) * bounds.receivers
    first = World(0, leases, (Mind(),) * bounds.candidates, 0, 0, None, (0, None), 0, 0, (), (), nobody, nobody,
                  ((NO_TOKEN, 0),) * bounds.receivers, 0, 0, 0)  # fmt: skip
    return search(first, lambda world: _next(world, bounds, less), _plain, bounds.max_states)


def _plain(world: World) -> World:
    """Without what tells states apart that behave alike: words for people, times that are over."""
    leases = tuple(_plain_lease(lease) for lease in world.leases)
    return world if leases == world.leases else replace(world, leases=leases)


def _plain_lease(lease: Lease) -> Lease:
    asking, owning = lease.stage is Stage.ACQUIRING, lease.stage is Stage.LEADING
    return replace(
        lease, reason="", written_at=0 if lease.pending is None else lease.written_at,
        beat_read_at=0 if owning else lease.beat_read_at, acquire_at=0 if asking or owning else lease.acquire_at,
        next_read_at=0 if asking else lease.next_read_at)  # fmt: skip


Next = tuple[str, World, str]


def _next(world: World, bounds: Bounds, less: Omitted) -> Iterator[Next]:
    """All that may happen now, and the promise that it breaks, if any."""
    if world.now < bounds.ticks:
        then = replace(world, now=world.now + 1)
        yield "time goes on", then, _two_hold(then, bounds)
    for n in range(bounds.candidates):
        yield from _turn(world, n, bounds, less)
    for write in world.writes:
        yield from _write(world, write, bounds, less)
    for sent in world.sent:
        yield from _arrive(world, sent, bounds, less)
        yield f"an effect of s{sent.owner} is lost", replace(world, sent=_without(world.sent, sent)), ""
    for r in range(bounds.receivers):
        if world.restarts < bounds.restarts and world.known[r] != NO_TOKEN:
            after = NO_TOKEN if Omitted.DURABLE in less else world.durable[r]
            known = _with(world.known, r, after)
            yield f"receiver {r} restarts", replace(world, known=known, restarts=world.restarts + 1), ""
    if world.back < bounds.rollbacks and world.before[0] != world.revision:
        revision, record = world.before
        then = replace(world, revision=revision, record=record, back=world.back + 1)
        yield "the register loses its last write", then, ""


def _two_hold(world: World, bounds: Bounds) -> str:
    holding = [n for n, lease in enumerate(world.leases) if lease.holds(clock(n, world.now, bounds))]
    if len(holding) > 1 and not world.back:
        return f"{' and '.join(f's{n}' for n in holding)} hold the lease at one moment"
    return ""


def _turn(world: World, n: int, bounds: Bounds, less: Omitted) -> Iterator[Next]:
    """What an owner may do: a step of its lease, or of its work."""
    now, lease, mind = clock(n, world.now, bounds), world.leases[n], world.minds[n]
    if not any(w.owner == n for w in world.writes):
        then, action = lease.step(now, CHANCE)
        if isinstance(action, ReadRecord):
            then = then.record_read(now, world.revision, world.record, CHANCE)
            yield f"s{n} reads the register", replace(world, leases=_with(world.leases, n, then)), ""
        elif isinstance(action, WriteRecord) and len(world.writes) < bounds.in_flight:
            made = replace(world, leases=_with(world.leases, n, then),
                           writes=(*world.writes, Write(n, action.revision, action.record, -1)))  # fmt: skip
            yield f"s{n} writes term {action.record.term}, owner {action.record.owner or 'nobody'}", made, ""
        told = (
            lease.record_notified(now, world.revision, world.record, CHANCE)
            if bounds.notified and world.record
            else lease
        )
        if told != lease:
            yield f"s{n} is told what the register holds", replace(world, leases=_with(world.leases, n, told)), ""
        if isinstance(action, Sleep) and then != lease:
            yield f"s{n} sees that its lease ran out", replace(world, leases=_with(world.leases, n, then)), ""
    holds = lease.holds(now)
    if holds and mind.token.term != lease.term:
        fresh = Mind(0, Token(lease.term, lease.candidate_id), world.journal)
        yield f"s{n} reads the journal: {world.journal} done", replace(world, minds=_with(world.minds, n, fresh)), ""
    may = holds if Omitted.SECOND_LOOK not in less else mind.token != NO_TOKEN
    if may and mind.known >= 0 and (holds is False or mind.token.term == lease.term):
        step = mind.known + 1
        if step <= bounds.steps and not mind.doing and len(world.sent) < bounds.in_flight:
            for r in range(bounds.receivers):
                then_mind = replace(mind, doing=step)
                made = replace(world, minds=_with(world.minds, n, then_mind),
                               sent=(*world.sent, Sent(n, mind.token, r, step)))  # fmt: skip
                broken = "" if holds else f"s{n} sends an effect though its lease is over by its own clock"
                yield f"s{n} sends step {step} with term {mind.token.term} to receiver {r}", made, broken


def _write(world: World, write: Write, bounds: Bounds, less: Omitted) -> Iterator[Next]:
    n, rest = write.owner, _without(world.writes, write)
    now, lease = clock(n, world.now, bounds), world.leases[n]
    if write.result == -1:
        if world.revision == write.revision:
            revision = world.last + 1  # never one that was there before
            before = (world.revision, world.record) if bounds.rollbacks else (0, None)
            made = replace(world, revision=revision, last=revision, record=write.record, before=before)
        else:
            revision, made, before = 0, world, world.before
        answer = replace(write, result=revision or None)
        yield (f"the register {'takes' if revision else 'turns down'} the write of s{n}",
               replace(made, writes=(*rest, answer)), "")  # fmt: skip
        if world.lost < bounds.lost_answers:
            # The answer is given up; the write is carried out now, later, or never.
            given_up = replace(world, leases=_with(
                world.leases, n, lease.write_finished(now, Outcome.UNKNOWN, 0, CHANCE)),
                lost=world.lost + 1)  # fmt: skip
            yield f"s{n} gives up waiting, its write never arrives", replace(given_up, writes=rest), ""
            if revision:
                late = replace(given_up, revision=revision, last=revision, record=write.record, writes=rest,
                               before=before)  # fmt: skip
                yield f"the write of s{n} is done, its answer lost", late, ""
        return
    outcome = Outcome.CONFLICT if write.result is None else Outcome.DONE
    if Omitted.BEFORE in less and outcome is Outcome.DONE:
        lease = replace(lease, written_at=now)
    told = lease.write_finished(now, outcome, write.result or 0, CHANCE)
    then = replace(world, leases=_with(world.leases, n, told), writes=rest)
    yield f"s{n} hears that its write is {outcome.value}", then, _two_hold(then, bounds)


def _arrive(world: World, sent: Sent, bounds: Bounds, less: Omitted) -> Iterator[Next]:
    """An effect reaches its receiver; its answer reaches the owner at once, or is lost."""
    r, rest = sent.receiver, _without(world.sent, sent)
    known = world.known[r]
    fence = Fence("the job", known)
    if Omitted.CLAIM in less and sent.token.term == known.term:
        fence = Fence("the job", sent.token)
    refused = False
    if Omitted.FENCE not in less:
        try:
            fence.admit(sent.token)
        except FencingError:
            refused = True
    here = replace(world, sent=rest)
    if refused:
        yield f"receiver {r} refuses step {sent.step} of s{sent.owner}", here, ""
        return
    token, last = world.taken[r]
    broken = ""
    if sent.token.term < token.term or (sent.token.term == token.term and sent.token.owner != token.owner):
        broken = f"receiver {r} takes an effect of {sent.token} after one of {token}"
    elif sent.step < last:
        broken = f"receiver {r} takes step {sent.step} after step {last}"
    elif bounds.receivers == 1 and sent.step > last + 1:
        broken = f"receiver {r} takes step {sent.step} after step {last}: one was left out"
    here = replace(
        here, known=_with(here.known, r, fence.known), durable=_with(here.durable, r, fence.known),
        taken=_with(here.taken, r, (sent.token, sent.step)))  # fmt: skip
    yield f"receiver {r} takes step {sent.step} of s{sent.owner}", here, broken
    mind = here.minds[sent.owner]
    if mind.token == sent.token and mind.doing == sent.step and here.journal_term <= sent.token.term:
        # It hears of it, and writes so into the journal: a compare-and-set, so that an older term's write fails.
        done = replace(here, minds=_with(here.minds, sent.owner, replace(mind, doing=0, known=sent.step)),
                       journal=sent.step, journal_term=sent.token.term)  # fmt: skip
        yield f"receiver {r} takes step {sent.step} of s{sent.owner}, which notes it", done, broken


def _with(all_of: tuple[T, ...], n: int, one: T) -> tuple[T, ...]:
    return (*all_of[:n], one, *all_of[n + 1 :])


def _without(all_of: tuple[T, ...], one: T) -> tuple[T, ...]:
    n = all_of.index(one)
    return (*all_of[:n], *all_of[n + 1 :])


def sequence_diagram(found: SearchResult, owners: int) -> str:
    """A history as a sequence, one column an owner, then the register and receivers."""
    columns = [*(f"s{n}" for n in range(owners)), "register", "receivers"]
    wide = 34
    lines = ["".join(f"{name:<{wide}}" for name in columns).rstrip()]
    for n, said in enumerate(found.history, 1):
        first = said.split()[0]
        if first in columns:
            at = columns.index(first)
        else:
            at = len(columns) - (2 if "register" in said or "write" in said else 1)
        if said == "time goes on":
            lines.append("·" * (wide * len(columns) - 4) + " tick")
        else:
            lines.append(" " * (wide * at) + f"{n}. {said}")
    return "\n".join([*lines, f"BROKEN: {found.violation}"])
