"""Engine-side records: attempts that arrived, which state or reservation is held for which request, and since when.

No I/O.  The oracle judges from these records.  A state or reservation leaks if it is held while no arrived attempt of
its request is open, for longer than allowed since the last such attempt ended or the reservation was made.  Times are
nanoseconds of the machine's monotonic clock; the caller passes them and holds a lock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class HeldKind(Enum):
    """What an engine can hold for a request."""

    STATE = "state"
    RESERVATION = "reservation"


class End(Enum):
    """How an attempt ended, as seen by its engine."""

    ANSWERED = "answered"  # complete, to the last byte
    REJECTED = "turned away"  # not processed
    FAILED = "failed"  # error, reset or corrupt stream: it may have had its effect
    CANCELLED = "given up"  # the node closed the connection
    ENGINE_STOPPED = "engine gone"


@dataclass(slots=True, eq=False)
class Arrival:
    """One attempt whose last byte has reached a running engine."""

    request: str
    engine: str
    is_decode: bool
    arrived_at: int
    port: int  # remote port, identifies the link that carried the attempt
    sent_time_left: int  # nanoseconds
    ended: int = 0
    end: End | None = None
    first_event: int = 0
    consumed_state: bool = False  # the state that a decode attempt needs is no longer recorded as held


@dataclass(frozen=True, slots=True)
class HeldState:
    """A period in which a state or reservation was held while no attempt of its request was open."""

    request: str
    kind: HeldKind
    engine: str
    since: int
    until: int  # 0: not released by the end of the run


@dataclass(slots=True)
class _Held:
    kind: HeldKind
    engine: str
    since: int  # start of the current period; 0 while an arrived attempt of the request is open


@dataclass(slots=True)
class _Request:
    held: list[_Held] = field(default_factory=list)
    open_attempts: list[Arrival] = field(default_factory=list)
    running_prefills: set[Arrival] = field(default_factory=set)  # cancelled ones included: leave a state


class EngineStateRecords:
    """The records of all engines."""

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.history: list[HeldState] = []
        self._requests: dict[str, _Request] = {}

    def attempt_arrived(self, arrival: Arrival) -> bool:
        """Record the arrival of an attempt; return whether the state that a decode attempt needs is held."""
        self.arrivals.append(arrival)
        request = self._requests.setdefault(arrival.request, _Request())
        request.open_attempts.append(arrival)
        self._stop_clocks(arrival.request, request, arrival.arrived_at)
        if not arrival.is_decode:
            request.running_prefills.add(arrival)
            return True
        states = [held for held in request.held if held.kind is HeldKind.STATE]
        arrival.consumed_state = bool(states)
        for held in list(request.held):  # sending a decode attempt also cancels a reservation elsewhere
            request.held.remove(held)
        return arrival.consumed_state

    def attempt_ended(
        self, arrival: Arrival, at: int, end: End, state_retained: bool = False, prefill_continues: bool = False
    ) -> None:
        """Record the end of an attempt.

        ``state_retained``: it had not fetched its state, which remains held.  ``prefill_continues``: the engine
        completes the prefill regardless."""
        if arrival.ended:
            return
        arrival.ended, arrival.end = at, end
        request = self._requests[arrival.request]
        request.open_attempts.remove(arrival)
        if not prefill_continues:
            request.running_prefills.discard(arrival)
        if state_retained and arrival.consumed_state:
            request.held.append(_Held(HeldKind.STATE, arrival.engine, 0))
        self._start_clocks(request, at)

    def prefill_completed(self, arrival: Arrival, at: int) -> bool:
        """Record that a prefill is complete and its state held; False if a release has already removed that state.

        Owed: ``Obligation.ABANDONED_READ``."""
        request = self._requests[arrival.request]
        if arrival not in request.running_prefills:
            return False
        request.running_prefills.discard(arrival)
        request.held.append(_Held(HeldKind.STATE, arrival.engine, 0 if request.open_attempts else at))
        return True

    def reserve(self, request: str, engine: str, at: int) -> None:
        """Record a reservation, which replaces an earlier one elsewhere.  Owed: ``Obligation.RESERVATION``."""
        entry = self._requests.setdefault(request, _Request())
        for held in [held for held in entry.held if held.kind is HeldKind.RESERVATION]:
            entry.held.remove(held)
        entry.held.append(_Held(HeldKind.RESERVATION, engine, 0 if entry.open_attempts else at))

    def release(self, request: str, at: int, includes_running_prefills: bool = True) -> None:
        """Release everything held for a request; ``includes_running_prefills`` also the states of unfinished prefills.

        Owed: ``Obligation.RELEASE``."""
        entry = self._requests.get(request)
        if entry is None:
            return
        if includes_running_prefills:
            entry.running_prefills.clear()
        self._stop_clocks(request, entry, at)
        entry.held.clear()

    def engine_stopped(self, engine: str, at: int) -> None:
        """Record that an engine's process has ended and holds nothing any more."""
        for name, request in self._requests.items():
            for arrival in [each for each in request.open_attempts if each.engine == engine]:
                self.attempt_ended(arrival, at, End.ENGINE_STOPPED)
            request.running_prefills -= {each for each in request.running_prefills if each.engine == engine}
            for held in [each for each in request.held if each.engine == engine]:
                self._add_held_record(name, held, at)
                request.held.remove(held)

    def still_held(self) -> list[HeldState]:
        """States and reservations held now while no attempt of their request is open.  Owed: ``Obligation.STATE``."""
        return [
            HeldState(name, held.kind, held.engine, held.since, 0)
            for name, request in self._requests.items()
            for held in request.held
            if held.since
        ]

    def _stop_clocks(self, name: str, request: _Request, at: int) -> None:
        for held in request.held:
            self._add_held_record(name, held, at)
            held.since = 0

    def _start_clocks(self, request: _Request, at: int) -> None:
        if not request.open_attempts:
            for held in request.held:
                held.since = held.since or at

    def _add_held_record(self, name: str, held: _Held, at: int) -> None:
        if held.since:
            self.history.append(HeldState(name, held.kind, held.engine, held.since, at))
