"""A lease on the fleet's work, taken by compare-and-set on a register.

The problem.  Any number of candidates; at most one may act.  The register orders writes but has no clock that all
trust, and a candidate may stop for a minute between any two instructions.

The record in the register names the owner and a *term* that grows by one with each taking, and counts the owner's
*beats*.  Nobody compares times of two machines:

- The owner counts its lease on its own monotonic clock from **before** it sent the write that took or renewed it, and
  counts it short: ``lease x (1 - drift) - margin``.  Past that it has stopped by itself, whatever it last heard.
- A candidate counts from the moment at which it **had read** a beat that it had not seen before, and counts it long:
  ``lease x (1 + drift) + margin``.  That moment is after the owner's write, which is after the owner's count began.
  So its count ends after the owner's, as long as clocks run within ``drift`` of each other.

States::

    WATCHING --stale or free--> ASKING --done--> OWNING --out of time, overtaken, paused, asked to go--> WATCHING
    ASKING --lost race--> WATCHING          ASKING --answer lost--> DOUBT --next read tells--> OWNING or WATCHING
    any --term goes back--> HALTED --a record past the highest term seen--> WATCHING

Edges that need a reason:

- DOUBT, not OWNING, after an answer was lost: the write may have been done or not.  The next read tells by ``claim``, a
  word that only this write carries; the lease then counts from before the write, as if its answer had come.
- A renewal whose answer was lost changes nothing: the old count goes on and the next read tells the revision.
- A renewal that lost its race is read before anything else: a person who pauses, or asks for a hand-over, writes the
  same record, and the owner is still the owner.  Until the read it goes on within its count.
- HALTED: a register that lost its last writes, or was put back from a copy, would give out a term a second time, and
  the receivers' fences could not tell the two owners apart.  So nothing is done until a person has raised the term
  above all that is known (``steward resume``).
- A free record (the owner handed over) may be taken at once, after a wait drawn so that candidates do not all write.

A lease alone does not exclude an owner that was stopped between its look at the clock and its write; the receivers'
fences do (:mod:`.fence`).  Everything here is a value: each step gives the next state, so that the same code runs in
the steward and in the exhaustive exploration (:mod:`.explore`).
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

import msgspec

UNKNOWN_REVISION = -1  # no revision known


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the register holds; ``owner`` is empty while nobody owns."""

    term: int
    owner: str = ""
    claim: str = ""  # of the write that took it
    beats: int = 0
    paused: str = ""  # why nobody may own, in a person's words; empty: not paused
    wanted: str = ""  # the candidate to whom the owner is asked to hand over; "*": to anybody else


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations in nanoseconds; ``drift`` is the most by which two clocks' rates differ."""

    lease: int
    drift: float = 0.05
    margin: int = 0
    renewals: int = 3  # beats within a lease

    @property
    def leader_span(self) -> int:
        """For how long an owner acts, from before it asked."""
        return int(self.lease * (1.0 - self.drift)) - self.margin

    @property
    def candidate_span(self) -> int:
        """For how long a candidate leaves a beat alone, from when it had read it."""
        return int(self.lease * (1.0 + self.drift)) + self.margin

    @property
    def renewal_interval(self) -> int:
        """From one renewal, or look, to the next."""
        return max(1, self.leader_span // self.renewals)


class Stage(Enum):
    """See the module."""

    WATCHING = "watching"
    ACQUIRING = "asking"
    UNCERTAIN = "doubt"
    LEADING = "owning"
    HALTED = "halted"


class Outcome(Enum):
    """What became of a write."""

    DONE = "done"
    CONFLICT = "lost"  # another revision is there: nothing was written
    UNKNOWN = "unknown"  # the answer was lost
    FAILED = "failed"  # certainly not done


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the record."""


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write the record if the revision is still this one (0: if there is none)."""

    revision: int
    record: Record


@dataclass(frozen=True, slots=True)
class Sleep:
    """Nothing to do until then, nanoseconds of the clock."""

    until: int


Action = ReadRecord | WriteRecord | Sleep


@dataclass(frozen=True, slots=True)
class Lease:
    """One candidate's view; times in nanoseconds of its own clock.

    ``candidate_id`` names this process alone, not its place: one that was started again is another candidate.  ``rank``
    is how many beats it waits longer than the most wanted candidate before it asks.
    """

    candidate_id: str
    times: LeaseTimes
    rank: int = 0
    stage: Stage = Stage.WATCHING
    record: Record | None = None
    revision: int = UNKNOWN_REVISION
    beat_read_at: int = 0  # when this beat was first read
    highest_term: int = 0  # highest term known
    next_read_at: int = 0  # when the next look or renewal is due
    acquire_at: int = 0  # not to ask before
    written_at: int = 0  # when the write out was sent
    pending: Record | None = None  # the write out, or the one in doubt
    acquire_attempts: int = 0  # writes that asked for the lease; each carries a claim of its own
    held_until: int = 0  # the lease, while it owns
    stepping_down: bool = False  # this process is asked to end
    reason: str = ""  # why it does not own, for people

    # What may be done.

    def holds(self, now: int) -> bool:
        """Whether this process may act.  To be asked right before each effect, and after every wait."""
        return self.stage is Stage.LEADING and now < self.held_until

    @property
    def term(self) -> int:
        """The term of the lease held; 0 while none is."""
        return self.record.term if self.stage is Stage.LEADING and self.record is not None else 0

    def step(self, now: int, chance: float) -> tuple[Lease, Action]:
        """What to do now.  ``chance`` is a fresh number in [0, 1)."""
        if self.stage is Stage.LEADING:
            return self._own(now, chance)
        if self.stage is Stage.ACQUIRING:
            return self, Sleep(
                self.written_at + self.times.lease
            )  # the host answers for its write before it asks again
        if now >= self.next_read_at:
            return self._look(now, chance)
        if self.revision == UNKNOWN_REVISION or self.stage is Stage.UNCERTAIN:
            return self, Sleep(self.next_read_at)
        free_at = self._free_at()
        if free_at is None:
            return self, Sleep(self.next_read_at)
        if now < max(free_at, self.acquire_at):
            return self, Sleep(min(self.next_read_at, max(free_at, self.acquire_at)))
        term = max(self.highest_term, self.record.term if self.record is not None else 0) + 1
        kept = self.record or Record(0)
        asked = Record(term, self.candidate_id, f"{self.candidate_id}/{self.acquire_attempts}", 0, kept.paused, "")
        asking = replace(
            self, stage=Stage.ACQUIRING, pending=asked, written_at=now, acquire_attempts=self.acquire_attempts + 1
        )
        return asking, WriteRecord(max(0, self.revision), asked)

    def _look(self, now: int, chance: float) -> tuple[Lease, Action]:
        return replace(self, next_read_at=now + int(self.times.renewal_interval * (0.75 + 0.5 * chance))), ReadRecord()

    def _free_at(self) -> int | None:
        """When the record may be taken, by this candidate; None while it may not."""
        if self.stepping_down or self.stage is Stage.HALTED:
            return None
        record = self.record
        if record is None:
            return self.beat_read_at
        if record.paused:
            return None
        if not record.owner:
            if record.wanted in ("", "*", self.candidate_id, configured_name(self.candidate_id)):
                return self.beat_read_at
            return self.beat_read_at + self.times.candidate_span  # whom it was meant for does not come
        return self.beat_read_at + self.times.candidate_span

    def _own(self, now: int, chance: float) -> tuple[Lease, Action]:
        assert self.record is not None
        if now >= self.held_until:
            return self._watch(now, "the lease ran out").step(now, chance)
        wanted = self.record.wanted
        if (
            self.stepping_down
            or self.record.paused
            or wanted not in ("", self.candidate_id, configured_name(self.candidate_id))
        ):
            kept = wanted if wanted not in ("", "*") else ""
            free = replace_record(self.record, owner="", claim="", wanted=kept)
            self_then = replace(self, stage=Stage.WATCHING, held_until=0, reason="handed over", next_read_at=now,
                                acquire_at=now + self.times.candidate_span)  # fmt: skip
            # It stops here, whether the write comes through or not: then the others wait their patience.
            return self_then, WriteRecord(self.revision, free)
        if now >= self.next_read_at and self.revision == UNKNOWN_REVISION:
            return self._look(now, chance)
        if now >= self.next_read_at:
            renewed = replace_record(self.record, beats=self.record.beats + 1, wanted="")
            return replace(self, pending=renewed, written_at=now,
                           next_read_at=now + self.times.renewal_interval), WriteRecord(
                self.revision, renewed)  # fmt: skip
        return self, Sleep(min(self.next_read_at, self.held_until))

    def _watch(self, now: int, why: str) -> Lease:
        return replace(self, stage=Stage.WATCHING, held_until=0, reason=why, pending=None, next_read_at=now)

    # What came of it.

    def record_read(self, now: int, revision: int, record: Record | None, chance: float) -> Lease:
        """What the register held; None where there is no record.  ``now`` is after the answer came."""
        term = record.term if record is not None else 0
        if term < self.highest_term:
            why = f"the register went back from term {self.highest_term} to {term}"
            return replace(
                self, stage=Stage.HALTED, record=record, revision=revision, held_until=0, reason=why, pending=None
            )
        fresh = revision != self.revision
        then = replace(
            self, record=record, revision=revision, highest_term=term, beat_read_at=now if fresh else self.beat_read_at
        )
        mine = record is not None and record.owner == self.candidate_id
        if self.stage is Stage.UNCERTAIN and self.pending is not None:
            if mine and record is not None and record.claim == self.pending.claim:
                return then._begin(self.written_at)
            return replace(then, stage=Stage.WATCHING, pending=None)._spread(now, chance)
        if self.stage is Stage.LEADING:
            assert self.record is not None
            if mine and record is not None and record.term == self.record.term:
                return then
            return then._watch(now, "another owner took over" if record and record.owner else "handed over")
        if self.stage is Stage.HALTED:
            if not fresh:
                return then
            then = replace(then, stage=Stage.WATCHING, reason="", beat_read_at=now)
        return then._spread(now, chance) if fresh else then

    def record_notified(self, now: int, revision: int, record: Record, chance: float) -> Lease:
        """The register told of a write by itself, where a candidate follows it: as good as a look, which is then due
        only once the beat is stale.  What is not newer than what was read says nothing, and what comes late counts
        from when it came: a candidate then waits longer, never shorter."""
        if self.stage is not Stage.WATCHING or not 0 <= self.revision < revision or record.term < self.highest_term:
            return self
        then = self.record_read(now, revision, record, chance)
        return replace(then, next_read_at=max(then.next_read_at, now + self.times.candidate_span))

    def _spread(self, now: int, chance: float) -> Lease:
        """A moment of its own from which it may ask, once the record is free."""
        free_at = self._free_at()
        wait = int(self.times.renewal_interval * (self.rank + chance) / 2.0)
        return replace(self, acquire_at=(now if free_at is None else max(now, free_at)) + wait)

    def _begin(self, written_at: int) -> Lease:
        return replace(self, stage=Stage.LEADING, held_until=written_at + self.times.leader_span, pending=None,
                       reason="", next_read_at=written_at + self.times.renewal_interval)  # fmt: skip

    def write_finished(self, now: int, outcome: Outcome, revision: int, chance: float) -> Lease:
        """What became of the write of the last step; ``revision`` is the new one where it was done."""
        asked = self.pending
        if self.stage is Stage.ACQUIRING and asked is not None:
            if outcome is Outcome.DONE:
                return replace(self, record=asked, revision=revision, highest_term=asked.term, beat_read_at=now)._begin(
                    self.written_at
                )
            if outcome is Outcome.UNKNOWN:
                return replace(self, stage=Stage.UNCERTAIN, next_read_at=now)
            return replace(self, stage=Stage.WATCHING, pending=None, next_read_at=now)._spread(now, chance)
        if self.stage is Stage.LEADING and asked is not None:
            if outcome is Outcome.DONE:
                return replace(
                    self,
                    record=asked,
                    revision=revision,
                    held_until=self.written_at + self.times.leader_span,
                    pending=None,
                )
            if outcome is Outcome.FAILED:  # nothing was written, and the register may need its time
                return replace(self, pending=None)
            return replace(self, pending=None, next_read_at=now, revision=UNKNOWN_REVISION)
        return replace(self, pending=None, next_read_at=now)

    def fenced(self, now: int, highest: int) -> Lease:
        """A receiver refused this term, since it took an effect of a later one (or of this one by another owner): the
        register does not say what it should."""
        top = max(self.highest_term, highest)
        term = self.record.term if self.record is not None else 0
        why = f"a receiver knows term {highest}, the register says {term}"
        stage = Stage.HALTED if term <= highest else Stage.WATCHING
        return replace(self, stage=stage, highest_term=top, held_until=0, reason=why, pending=None, next_read_at=now)

    def step_down(self) -> Lease:
        """This process is asked to end: hand over at the next step, and do not ask again."""
        return replace(self, stepping_down=True)


def replace_record(record: Record, **changes: object) -> Record:
    """A record with some fields changed."""
    return msgspec.structs.replace(record, **changes)


def configured_name(candidate_id: str) -> str:
    """The place that a process's name belongs to: ``s1`` of ``s1/4fe2``."""
    return candidate_id.partition("/")[0]
