"""What engines know of requests: attempts that arrived, what is held for whom, and since when.  No I/O.

This is the oracle's ground.  A state or reservation leaks where it is held, no attempt that has arrived is out, and
more time has passed than allowed since the last such attempt ended or the reservation was made.  Times are nanoseconds
of the machine's monotonic clock; the caller gives them and holds a lock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class HeldKind(Enum):
    """What may be held for a request."""

    STATE = "state"
    RESERVATION = "reservation"


class End(Enum):
    """How an attempt ended as its engine sees it."""

    ANSWERED = "answered"  # whole, to its last byte
    REJECTED = "turned away"  # never ran
    FAILED = "failed"  # an error, a reset, a spoilt stream: its effect may have happened
    CANCELLED = "given up"  # the node closed the connection
    ENGINE_STOPPED = "engine gone"


@dataclass(slots=True, eq=False)
class Arrival:
    """One attempt whose last byte has reached a running engine."""

    request: str
    engine: str
    is_decode: bool
    arrived_at: int
    port: int  # the connection's other end, by which the link that carried it is found
    sent_time_left: int  # nanoseconds
    ended: int = 0
    end: End | None = None
    first_event: int = 0
    consumed_state: bool = False  # the state that it waits for is not held by anyone any more


@dataclass(frozen=True, slots=True)
class HeldState:
    """One state or reservation, from when its clock began to run to when it was taken or released."""

    request: str
    kind: HeldKind
    engine: str
    since: int
    until: int  # 0: still held at the end


@dataclass(slots=True)
class _Held:
    kind: HeldKind
    engine: str
    since: int  # when its clock began to run; 0 while an attempt that has arrived is out


@dataclass(slots=True)
class _Request:
    held: list[_Held] = field(default_factory=list)
    open_attempts: list[Arrival] = field(default_factory=list)
    running_prefills: set[Arrival] = field(default_factory=set)  # will leave a state


class EngineStateRecords:
    """The books of all engines together."""

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.history: list[HeldState] = []
        self._requests: dict[str, _Request] = {}

    def attempt_arrived(self, arrival: Arrival) -> bool:
        """An attempt has arrived; whether the state that a decode attempt needs is there."""
        self.arrivals.append(arrival)
        request = self._requests.setdefault(arrival.request, _Request())
        request.open_attempts.append(arrival)
        self._stop_clocks(arrival.request, request, arrival.arrived_at)
        if not arrival.is_decode:
            request.running_prefills.add(arrival)
            return True
        states = [held for held in request.held if held.kind is HeldKind.STATE]
        arrival.consumed_state = bool(states)
        for held in list(request.held):  # the reservation elsewhere is given up by the send
            request.held.remove(held)
        return arrival.consumed_state

    def attempt_ended(
        self, arrival: Arrival, at: int, end: End, state_retained: bool = False, prefill_continues: bool = False
    ) -> None:
        """An attempt has ended; ``state_kept`` where it had not fetched the state yet, which waits again; ``reads_on``
        where its prompt is read to the end all the same."""
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
        """A prefill attempt has read its prompt: its state waits.  False where a release had taken it meanwhile.

        Owed: ``Obligation.ABANDONED_READ``."""
        request = self._requests[arrival.request]
        if arrival not in request.running_prefills:
            return False
        request.running_prefills.discard(arrival)
        request.held.append(_Held(HeldKind.STATE, arrival.engine, 0 if request.open_attempts else at))
        return True

    def reserve(self, request: str, engine: str, at: int) -> None:
        """A reservation is made; an earlier one elsewhere is given up.  Owed: ``Obligation.RESERVATION``."""
        entry = self._requests.setdefault(request, _Request())
        for held in [held for held in entry.held if held.kind is HeldKind.RESERVATION]:
            entry.held.remove(held)
        entry.held.append(_Held(HeldKind.RESERVATION, engine, 0 if entry.open_attempts else at))

    def release(self, request: str, at: int, includes_running_prefills: bool = True) -> None:
        """All that no attempt waits for is released, with ``takes_reads`` also what prefill attempts will leave.

        Owed: ``Obligation.RELEASE``."""
        entry = self._requests.get(request)
        if entry is None:
            return
        if includes_running_prefills:
            entry.running_prefills.clear()
        self._stop_clocks(request, entry, at)
        entry.held.clear()

    def engine_stopped(self, engine: str, at: int) -> None:
        """An engine's process has ended, with all that it held."""
        for name, request in self._requests.items():
            for arrival in [each for each in request.open_attempts if each.engine == engine]:
                self.attempt_ended(arrival, at, End.ENGINE_STOPPED)
            request.running_prefills -= {each for each in request.running_prefills if each.engine == engine}
            for held in [each for each in request.held if each.engine == engine]:
                self._add_held_record(name, held, at)
                request.held.remove(held)

    def still_held(self) -> list[HeldState]:
        """What is held with its clock running.  Owed: ``Obligation.STATE``."""
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
