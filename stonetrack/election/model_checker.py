"""Model checker: explores every history of a few candidates that run :mod:`.lease` and :mod:`.fencing`.

The model has candidates whose clocks run at different rates, a store that carries out writes at any later moment and
whose answers may be lost, receivers that may restart, effects that arrive at any later moment or never, and one job of
a few steps whose journal is in the store too.  A stopped process is one that takes no step while time passes.  The
search is breadth first, so that the first violation found has a shortest history.

Properties:

1. no two candidates hold the lease at one moment (while the store keeps what was written);
2. at each receiver the leaders' effects do not interleave: terms never decrease, a term has one leader;
3. steps of the job are carried out in order, each at least once, and never again after the next one;
4. no leader sends an effect after its lease has expired by its own clock.

:class:`Omitted` removes one protection, to show that the exploration finds the violation that it prevents.
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
CHANCE = 0.0  # all candidates acquire the lease as early as they may


class Omitted(Flag):
    """Protections left out."""

    NOTHING = 0
    FENCE = auto()  # receivers accept every effect
    MARGIN = auto()  # clocks are assumed to run at one rate
    SECOND_LOOK = auto()  # a leader does not check its lease again before each effect
    DURABLE = auto()  # receivers forget their token at a restart
    BEFORE = auto()  # the lease counts from the answer, not from before the write
    CLAIM = auto()  # a receiver compares the term alone, not the leader


@dataclass(frozen=True, slots=True)
class Bounds:
    """The size of the model."""

    candidates: int = 2
    receivers: int = 1
    ticks: int = 6
    steps: int = 2  # of the job
    in_flight: int = 2  # writes, and effects, under way at one time
    restarts: int = 1  # of receivers
    lost_answers: int = 1  # answers of the store
    rollbacks: int = 0  # how often the store loses its last write
    lease: int = 3  # ticks
    renewals: int = 1
    notified: bool = False  # candidates watch the store, and may be notified of its record at any moment
    max_states: int = 2_000_000


@dataclass(frozen=True, slots=True)
class Write:
    """A write under way to the store, or its answer under way back."""

    candidate: int
    revision: int
    record: Record
    result: int | None = None  # -1 before it is carried out; None: conflict; else the new revision


@dataclass(frozen=True, slots=True)
class Effect:
    """An effect under way to a receiver."""

    candidate: int
    token: Token
    receiver: int
    step: int


@dataclass(frozen=True, slots=True)
class LeaderState:
    """What a leader knows beside its lease."""

    doing: int = 0  # the step whose effect was sent and not yet confirmed; 0 for none
    token: Token = NO_TOKEN  # under which it began its work
    known: int = -1  # steps done by the journal as read in this term; -1 for not read


@dataclass(frozen=True, slots=True)
class World:
    """One state of the model."""

    now: int
    leases: tuple[Lease, ...]
    leader_states: tuple[LeaderState, ...]
    revision: int
    last_revision: int  # highest revision ever assigned
    record: Record | None
    before: tuple[int, Record | None]  # the record and revision after the last write is lost
    journal: int  # steps done
    journal_term: int
    writes: tuple[Write, ...]
    effects: tuple[Effect, ...]
    known: tuple[Token, ...]  # token of each receiver, in memory
    durable: tuple[Token, ...]
    accepted: tuple[tuple[Token, int], ...]  # of each receiver: token of the last effect accepted, and its step
    restarts: int
    answers_lost: int
    rollbacks_done: int


def clock(candidate: int, now: int, bounds: Bounds) -> int:
    """A candidate's own clock: the first candidate's is slow by a quarter."""
    return now - now // 4 if candidate == 0 else now


def lease_times(bounds: Bounds, omitted: Omitted) -> LeaseTimes:
    """The durations of the lease in ticks: clocks differ by a quarter at most."""
    return LeaseTimes(bounds.lease, 0.0 if Omitted.MARGIN in omitted else 0.25, 0, bounds.renewals)


def explore(bounds: Bounds, omitted: Omitted = Omitted.NOTHING) -> SearchResult:
    """Search all histories within the bounds for a violation of a property."""
    times = lease_times(bounds, omitted)
    leases = tuple(Lease(f"s{n}", times) for n in range(bounds.candidates))
    no_tokens = (NO_TOKEN,) * bounds.receivers
    initial = World(0, leases, (LeaderState(),) * bounds.candidates, 0, 0, None, (0, None), 0, 0, (), (), no_tokens,
                    no_tokens, ((NO_TOKEN, 0),) * bounds.receivers, 0, 0, 0)  # fmt: skip
    return search(initial, lambda world: _transitions(world, bounds, omitted), _canonical, bounds.max_states)


def _canonical(world: World) -> World:
    """Clear what distinguishes states that behave alike: messages for operators, times that have passed."""
    leases = tuple(_canonical_lease(lease) for lease in world.leases)
    return world if leases == world.leases else replace(world, leases=leases)


def _canonical_lease(lease: Lease) -> Lease:
    acquiring, leading = lease.stage is Stage.ACQUIRING, lease.stage is Stage.LEADING
    return replace(
        lease, reason="", written_at=0 if lease.pending is None else lease.written_at,
        beat_read_at=0 if leading else lease.beat_read_at, acquire_at=0 if acquiring or leading else lease.acquire_at,
        next_read_at=0 if acquiring else lease.next_read_at)  # fmt: skip


Transition = tuple[str, World, str]


def _transitions(world: World, bounds: Bounds, omitted: Omitted) -> Iterator[Transition]:
    """All that may happen now, and the property that it violates, if any."""
    if world.now < bounds.ticks:
        following = replace(world, now=world.now + 1)
        yield "time goes on", following, _two_leaders(following, bounds)
    for n in range(bounds.candidates):
        yield from _candidate_transitions(world, n, bounds, omitted)
    for write in world.writes:
        yield from _write_transitions(world, write, bounds, omitted)
    for effect in world.effects:
        yield from _effect_transitions(world, effect, bounds, omitted)
        yield f"an effect of s{effect.candidate} is lost", replace(world, effects=_without(world.effects, effect)), ""
    for r in range(bounds.receivers):
        if world.restarts < bounds.restarts and world.known[r] != NO_TOKEN:
            after = NO_TOKEN if Omitted.DURABLE in omitted else world.durable[r]
            known = _with(world.known, r, after)
            yield f"receiver {r} restarts", replace(world, known=known, restarts=world.restarts + 1), ""
    if world.rollbacks_done < bounds.rollbacks and world.before[0] != world.revision:
        revision, record = world.before
        following = replace(world, revision=revision, record=record, rollbacks_done=world.rollbacks_done + 1)
        yield "the register loses its last write", following, ""


def _two_leaders(world: World, bounds: Bounds) -> str:
    holding = [n for n, lease in enumerate(world.leases) if lease.holds(clock(n, world.now, bounds))]
    if len(holding) > 1 and not world.rollbacks_done:
        return f"{' and '.join(f's{n}' for n in holding)} hold the lease at one moment"
    return ""


def _candidate_transitions(world: World, n: int, bounds: Bounds, omitted: Omitted) -> Iterator[Transition]:
    """What a candidate may do: a step of its lease, or of its work."""
    now, lease, leader = clock(n, world.now, bounds), world.leases[n], world.leader_states[n]
    if not any(w.candidate == n for w in world.writes):
        following, action = lease.step(now, CHANCE)
        if isinstance(action, ReadRecord):
            following = following.record_read(now, world.revision, world.record, CHANCE)
            yield f"s{n} reads the register", replace(world, leases=_with(world.leases, n, following)), ""
        elif isinstance(action, WriteRecord) and len(world.writes) < bounds.in_flight:
            after = replace(world, leases=_with(world.leases, n, following),
                           writes=(*world.writes, Write(n, action.revision, action.record, -1)))  # fmt: skip
            yield f"s{n} writes term {action.record.term}, owner {action.record.owner or 'nobody'}", after, ""
        notified = (
            lease.record_notified(now, world.revision, world.record, CHANCE)
            if bounds.notified and world.record
            else lease
        )
        if notified != lease:
            yield f"s{n} is told what the register holds", replace(world, leases=_with(world.leases, n, notified)), ""
        if isinstance(action, Sleep) and following != lease:
            yield f"s{n} sees that its lease ran out", replace(world, leases=_with(world.leases, n, following)), ""
    holds = lease.holds(now)
    if holds and leader.token.term != lease.term:
        fresh = LeaderState(0, Token(lease.term, lease.candidate_id), world.journal)
        yield (
            f"s{n} reads the journal: {world.journal} done",
            replace(world, leader_states=_with(world.leader_states, n, fresh)),
            "",
        )
    allowed = holds if Omitted.SECOND_LOOK not in omitted else leader.token != NO_TOKEN
    if allowed and leader.known >= 0 and (holds is False or leader.token.term == lease.term):
        step = leader.known + 1
        if step <= bounds.steps and not leader.doing and len(world.effects) < bounds.in_flight:
            for r in range(bounds.receivers):
                leader_after = replace(leader, doing=step)
                after = replace(world, leader_states=_with(world.leader_states, n, leader_after),
                               effects=(*world.effects, Effect(n, leader.token, r, step)))  # fmt: skip
                violation = "" if holds else f"s{n} sends an effect though its lease is over by its own clock"
                yield f"s{n} sends step {step} with term {leader.token.term} to receiver {r}", after, violation


def _write_transitions(world: World, write: Write, bounds: Bounds, omitted: Omitted) -> Iterator[Transition]:
    n, rest = write.candidate, _without(world.writes, write)
    now, lease = clock(n, world.now, bounds), world.leases[n]
    if write.result == -1:
        if world.revision == write.revision:
            revision = world.last_revision + 1  # never one that was used before
            before = (world.revision, world.record) if bounds.rollbacks else (0, None)
            after = replace(world, revision=revision, last_revision=revision, record=write.record, before=before)
        else:
            revision, after, before = 0, world, world.before
        answer = replace(write, result=revision or None)
        yield (f"the register {'takes' if revision else 'turns down'} the write of s{n}",
               replace(after, writes=(*rest, answer)), "")  # fmt: skip
        if world.answers_lost < bounds.lost_answers:
            # The candidate stops waiting for the answer; the write is carried out now, later, or never.
            given_up = replace(world, leases=_with(
                world.leases, n, lease.write_finished(now, Outcome.UNKNOWN, 0, CHANCE)),
                answers_lost=world.answers_lost + 1)  # fmt: skip
            yield f"s{n} gives up waiting, its write never arrives", replace(given_up, writes=rest), ""
            if revision:
                late = replace(given_up, revision=revision, last_revision=revision, record=write.record, writes=rest,
                               before=before)  # fmt: skip
                yield f"the write of s{n} is done, its answer lost", late, ""
        return
    outcome = Outcome.CONFLICT if write.result is None else Outcome.DONE
    if Omitted.BEFORE in omitted and outcome is Outcome.DONE:
        lease = replace(lease, written_at=now)
    updated = lease.write_finished(now, outcome, write.result or 0, CHANCE)
    following = replace(world, leases=_with(world.leases, n, updated), writes=rest)
    yield f"s{n} hears that its write is {outcome.value}", following, _two_leaders(following, bounds)


def _effect_transitions(world: World, effect: Effect, bounds: Bounds, omitted: Omitted) -> Iterator[Transition]:
    """An effect reaches its receiver; the answer reaches the leader at once, or is lost."""
    r, rest = effect.receiver, _without(world.effects, effect)
    known = world.known[r]
    fence = Fence("the job", known)
    if Omitted.CLAIM in omitted and effect.token.term == known.term:
        fence = Fence("the job", effect.token)
    refused = False
    if Omitted.FENCE not in omitted:
        try:
            fence.admit(effect.token)
        except FencingError:
            refused = True
    received = replace(world, effects=rest)
    if refused:
        yield f"receiver {r} refuses step {effect.step} of s{effect.candidate}", received, ""
        return
    token, last = world.accepted[r]
    violation = ""
    if effect.token.term < token.term or (effect.token.term == token.term and effect.token.owner != token.owner):
        violation = f"receiver {r} takes an effect of {effect.token} after one of {token}"
    elif effect.step < last:
        violation = f"receiver {r} takes step {effect.step} after step {last}"
    elif bounds.receivers == 1 and effect.step > last + 1:
        violation = f"receiver {r} takes step {effect.step} after step {last}: one was left out"
    received = replace(
        received, known=_with(received.known, r, fence.known), durable=_with(received.durable, r, fence.known),
        accepted=_with(received.accepted, r, (effect.token, effect.step)))  # fmt: skip
    yield f"receiver {r} takes step {effect.step} of s{effect.candidate}", received, violation
    leader = received.leader_states[effect.candidate]
    if leader.token == effect.token and leader.doing == effect.step and received.journal_term <= effect.token.term:
        # The leader receives the answer and writes the journal by compare-and-set: an older term's write fails.
        done = replace(received, leader_states=_with(
            received.leader_states, effect.candidate, replace(leader, doing=0, known=effect.step)),
                       journal=effect.step, journal_term=effect.token.term)  # fmt: skip
        yield f"receiver {r} takes step {effect.step} of s{effect.candidate}, which notes it", done, violation


def _with(items: tuple[T, ...], n: int, item: T) -> tuple[T, ...]:
    return (*items[:n], item, *items[n + 1 :])


def _without(items: tuple[T, ...], item: T) -> tuple[T, ...]:
    n = items.index(item)
    return (*items[:n], *items[n + 1 :])


def sequence_diagram(result: SearchResult, candidates: int) -> str:
    """Format a history as a sequence diagram: a column for each candidate, then the store and the receivers."""
    columns = [*(f"s{n}" for n in range(candidates)), "register", "receivers"]
    width = 34
    lines = ["".join(f"{name:<{width}}" for name in columns).rstrip()]
    for n, text in enumerate(result.history, 1):
        first_word = text.split()[0]
        if first_word in columns:
            at = columns.index(first_word)
        else:
            at = len(columns) - (2 if "register" in text or "write" in text else 1)
        if text == "time goes on":
            lines.append("·" * (width * len(columns) - 4) + " tick")
        else:
            lines.append(" " * (width * at) + f"{n}. {text}")
    return "\n".join([*lines, f"BROKEN: {result.violation}"])
