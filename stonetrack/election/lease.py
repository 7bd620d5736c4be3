"""Leader election by a lease that candidates acquire with compare-and-set on a shared store.

Any number of candidates may run; at most one may act at a time.  The store orders writes but has no clock that all
processes trust, and a candidate may stop for a minute between any two instructions.

The record in the store names the leader and a *term*, which grows by one with each acquisition, and counts the
leader's renewals (*beats*).  Times of two machines are never compared:

- The leader measures its lease on its own monotonic clock from **before** it sent the write that acquired or renewed
  it, and shortens it: ``lease x (1 - drift) - margin``.  After that it stops by itself, whatever it last received.
- A candidate measures from the moment at which it **had read** a beat that it had not seen before, and lengthens the
  lease: ``lease x (1 + drift) + margin``.  That moment is after the leader's write, which is after the leader's
  measurement began.  So the candidate's time ends after the leader's, as long as the rates of their clocks differ by
  ``drift`` at most.

States::

    WATCHING --stale or free--> ACQUIRING --done--> LEADING --expired, superseded, paused, hand-over--> WATCHING
    ACQUIRING --conflict--> WATCHING      ACQUIRING --answer lost--> UNCERTAIN --next read--> LEADING or WATCHING
    any --term goes back--> HALTED --a record past the highest term seen--> WATCHING

Reasons for the less obvious transitions:

- UNCERTAIN, not LEADING, after an answer was lost: the write may or may not have been carried out.  The next read
  decides by ``claim``, an identifier that only this write has; the lease then counts from before the write, as if its
  answer had arrived.
- A renewal whose answer was lost changes nothing: the lease runs on and the next read returns the revision.
- A renewal that lost a race is followed by a read: an operator who pauses the work, or asks for a hand-over, writes the
  same record, and the leader is still the leader.  Until the read it continues within its lease.
- HALTED: a store that lost its last writes, or was restored from a backup, would assign a term a second time, and the
  receivers' fences could not distinguish the two leaders.  So nothing is done until an operator has raised the term
  above all known ones (``steward resume``).
- A free record (the leader handed over) may be acquired at once, after a random delay so that candidates do not all
  write at the same moment.

A lease alone does not exclude a leader that was stopped between its look at the clock and its write; the receivers'
fences do (:mod:`.fencing`).  Every state is an immutable value, so that the same code runs in the controller and in the
model checker (:mod:`.model_checker`).
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

import msgspec

UNKNOWN_REVISION = -1


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The record in the store; ``owner`` names the leader and is empty while there is none."""

    term: int
    owner: str = ""
    claim: str = ""  # identifies the write that acquired the lease
    beats: int = 0
    paused: str = ""  # an operator's reason why there must be no leader; empty: not paused
    wanted: str = ""  # candidate to which the leader is asked to hand over; "*": any other


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations in nanoseconds; ``drift`` is the largest difference between the rates of two clocks."""

    lease: int
    drift: float = 0.05
    margin: int = 0
    renewals: int = 3  # within a lease

    @property
    def leader_span(self) -> int:
        """How long a leader may act, from before its write was sent."""
        return int(self.lease * (1.0 - self.drift)) - self.margin

    @property
    def candidate_span(self) -> int:
        """How long a candidate waits for the next beat, from when it had read the last one."""
        return int(self.lease * (1.0 + self.drift)) + self.margin

    @property
    def renewal_interval(self) -> int:
        """From one renewal, or read, to the next."""
        return max(1, self.leader_span // self.renewals)


class Stage(Enum):
    """States of a candidate; the module describes the transitions."""

    WATCHING = "watching"
    ACQUIRING = "asking"
    UNCERTAIN = "doubt"
    LEADING = "owning"
    HALTED = "halted"


class Outcome(Enum):
    """The result of a write."""

    DONE = "done"
    CONFLICT = "lost"  # the record has another revision: nothing was written
    UNKNOWN = "unknown"  # the answer was lost
    FAILED = "failed"  # certainly not carried out


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the record."""


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write the record if it still has this revision (0: if there is no record)."""

    revision: int
    record: Record


@dataclass(frozen=True, slots=True)
class Sleep:
    """Nothing to do until this time of the clock, in nanoseconds."""

    until: int


Action = ReadRecord | WriteRecord | Sleep


@dataclass(frozen=True, slots=True)
class Lease:
    """The state of one candidate; times in nanoseconds of its own clock.

    ``candidate_id`` identifies this process: a restarted process is another candidate.  ``rank`` is how many renewal
    intervals it waits longer than the preferred candidate before it tries to acquire the lease.
    """

    candidate_id: str
    times: LeaseTimes
    rank: int = 0
    stage: Stage = Stage.WATCHING
    record: Record | None = None
    revision: int = UNKNOWN_REVISION
    beat_read_at: int = 0  # when the current revision was first read
    highest_term: int = 0  # known
    next_read_at: int = 0  # when the next read or renewal is due
    acquire_at: int = 0  # earliest time of an acquisition
    written_at: int = 0  # when the pending write was sent
    pending: Record | None = None  # the write under way, or the one with an unknown outcome
    acquire_attempts: int = 0  # each has a claim of its own
    held_until: int = 0  # end of the lease, while leading
    stepping_down: bool = False  # this process is asked to stop
    reason: str = ""  # why it does not lead, for operators

    # Decisions.

    def holds(self, now: int) -> bool:
        """Whether this process may act.  Must be checked right before each effect, and after every wait."""
        return self.stage is Stage.LEADING and now < self.held_until

    @property
    def term(self) -> int:
        """The term of the lease held; 0 while none is."""
        return self.record.term if self.stage is Stage.LEADING and self.record is not None else 0

    def step(self, now: int, chance: float) -> tuple[Lease, Action]:
        """The next action.  ``chance`` is a new random number in [0, 1)."""
        if self.stage is Stage.LEADING:
            return self._lead(now, chance)
        if self.stage is Stage.ACQUIRING:
            return self, Sleep(self.written_at + self.times.lease)  # the caller reports the write first
        if now >= self.next_read_at:
            return self._read(now, chance)
        if self.revision == UNKNOWN_REVISION or self.stage is Stage.UNCERTAIN:
            return self, Sleep(self.next_read_at)
        acquirable_at = self._acquirable_at()
        if acquirable_at is None:
            return self, Sleep(self.next_read_at)
        if now < max(acquirable_at, self.acquire_at):
            return self, Sleep(min(self.next_read_at, max(acquirable_at, self.acquire_at)))
        term = max(self.highest_term, self.record.term if self.record is not None else 0) + 1
        kept = self.record or Record(0)
        claimed = Record(term, self.candidate_id, f"{self.candidate_id}/{self.acquire_attempts}", 0, kept.paused, "")
        acquiring = replace(
            self, stage=Stage.ACQUIRING, pending=claimed, written_at=now, acquire_attempts=self.acquire_attempts + 1
        )
        return acquiring, WriteRecord(max(0, self.revision), claimed)

    def _read(self, now: int, chance: float) -> tuple[Lease, Action]:
        return replace(self, next_read_at=now + int(self.times.renewal_interval * (0.75 + 0.5 * chance))), ReadRecord()

    def _acquirable_at(self) -> int | None:
        """When this candidate may acquire the lease; None while it may not."""
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
            return self.beat_read_at + self.times.candidate_span  # the intended successor does not acquire it
        return self.beat_read_at + self.times.candidate_span

    def _lead(self, now: int, chance: float) -> tuple[Lease, Action]:
        assert self.record is not None
        if now >= self.held_until:
            return self._stop_leading(now, "the lease ran out").step(now, chance)
        wanted = self.record.wanted
        if (
            self.stepping_down
            or self.record.paused
            or wanted not in ("", self.candidate_id, configured_name(self.candidate_id))
        ):
            kept = wanted if wanted not in ("", "*") else ""
            free = replace_record(self.record, owner="", claim="", wanted=kept)
            resigned = replace(self, stage=Stage.WATCHING, held_until=0, reason="handed over", next_read_at=now,
                                acquire_at=now + self.times.candidate_span)  # fmt: skip
            # It stops here even if the write fails: the others then wait for the lease to expire.
            return resigned, WriteRecord(self.revision, free)
        if now >= self.next_read_at and self.revision == UNKNOWN_REVISION:
            return self._read(now, chance)
        if now >= self.next_read_at:
            renewed = replace_record(self.record, beats=self.record.beats + 1, wanted="")
            return replace(self, pending=renewed, written_at=now,
                           next_read_at=now + self.times.renewal_interval), WriteRecord(
                self.revision, renewed)  # fmt: skip
        return self, Sleep(min(self.next_read_at, self.held_until))

    def _stop_leading(self, now: int, reason: str) -> Lease:
        return replace(self, stage=Stage.WATCHING, held_until=0, reason=reason, pending=None, next_read_at=now)

    # Results.

    def record_read(self, now: int, revision: int, record: Record | None, chance: float) -> Lease:
        """Apply a read; ``record`` is None where there is none, ``now`` is after the answer arrived."""
        term = record.term if record is not None else 0
        if term < self.highest_term:
            reason = f"the register went back from term {self.highest_term} to {term}"
            return replace(
                self, stage=Stage.HALTED, record=record, revision=revision, held_until=0, reason=reason, pending=None
            )
        changed = revision != self.revision
        state = replace(
            self,
            record=record,
            revision=revision,
            highest_term=term,
            beat_read_at=now if changed else self.beat_read_at,
        )
        mine = record is not None and record.owner == self.candidate_id
        if self.stage is Stage.UNCERTAIN and self.pending is not None:
            if mine and record is not None and record.claim == self.pending.claim:
                return state._start_leading(self.written_at)
            return replace(state, stage=Stage.WATCHING, pending=None)._with_random_delay(now, chance)
        if self.stage is Stage.LEADING:
            assert self.record is not None
            if mine and record is not None and record.term == self.record.term:
                return state
            return state._stop_leading(now, "another owner took over" if record and record.owner else "handed over")
        if self.stage is Stage.HALTED:
            if not changed:
                return state
            state = replace(state, stage=Stage.WATCHING, reason="", beat_read_at=now)
        return state._with_random_delay(now, chance) if changed else state

    def record_notified(self, now: int, revision: int, record: Record, chance: float) -> Lease:
        """Apply a notification of the store's watch, which replaces a read: the next read is due only once the beat
        is stale.  One that is not newer than the last read is ignored; one that arrives late counts from its arrival,
        so that a candidate waits longer, never shorter."""
        if self.stage is not Stage.WATCHING or not 0 <= self.revision < revision or record.term < self.highest_term:
            return self
        state = self.record_read(now, revision, record, chance)
        return replace(state, next_read_at=max(state.next_read_at, now + self.times.candidate_span))

    def _with_random_delay(self, now: int, chance: float) -> Lease:
        """Draw the time from which it may acquire the lease, once the record is free."""
        acquirable_at = self._acquirable_at()
        wait = int(self.times.renewal_interval * (self.rank + chance) / 2.0)
        return replace(self, acquire_at=(now if acquirable_at is None else max(now, acquirable_at)) + wait)

    def _start_leading(self, written_at: int) -> Lease:
        return replace(self, stage=Stage.LEADING, held_until=written_at + self.times.leader_span, pending=None,
                       reason="", next_read_at=written_at + self.times.renewal_interval)  # fmt: skip

    def write_finished(self, now: int, outcome: Outcome, revision: int, chance: float) -> Lease:
        """Apply the result of the pending write; ``revision`` is the new one where it was carried out."""
        pending = self.pending
        if self.stage is Stage.ACQUIRING and pending is not None:
            if outcome is Outcome.DONE:
                return replace(
                    self, record=pending, revision=revision, highest_term=pending.term, beat_read_at=now
                )._start_leading(self.written_at)
            if outcome is Outcome.UNKNOWN:
                return replace(self, stage=Stage.UNCERTAIN, next_read_at=now)
            return replace(self, stage=Stage.WATCHING, pending=None, next_read_at=now)._with_random_delay(now, chance)
        if self.stage is Stage.LEADING and pending is not None:
            if outcome is Outcome.DONE:
                return replace(
                    self,
                    record=pending,
                    revision=revision,
                    held_until=self.written_at + self.times.leader_span,
                    pending=None,
                )
            if outcome is Outcome.FAILED:  # nothing was written, and the store may need time to recover
                return replace(self, pending=None)
            return replace(self, pending=None, next_read_at=now, revision=UNKNOWN_REVISION)
        return replace(self, pending=None, next_read_at=now)

    def fenced(self, now: int, highest: int) -> Lease:
        """A receiver refused this term, since it accepted an effect of a later one (or of this one by another leader):
        the store has lost a write."""
        top = max(self.highest_term, highest)
        term = self.record.term if self.record is not None else 0
        reason = f"a receiver knows term {highest}, the register says {term}"
        stage = Stage.HALTED if term <= highest else Stage.WATCHING
        return replace(self, stage=stage, highest_term=top, held_until=0, reason=reason, pending=None, next_read_at=now)

    def step_down(self) -> Lease:
        """Hand over at the next step, and do not acquire the lease again: this process is asked to stop."""
        return replace(self, stepping_down=True)


def replace_record(record: Record, **changes: object) -> Record:
    """A record with some fields changed."""
    return msgspec.structs.replace(record, **changes)


def configured_name(candidate_id: str) -> str:
    """The configured name within a candidate's identifier: ``s1`` of ``s1/4fe2``."""
    return candidate_id.partition("/")[0]
