"""What engines know of requests: attempts that arrived, what is held for whom, and since when.  No I/O.

This is the oracle's ground.  A state or reservation leaks where it is held, no attempt that has arrived is out, and
more time has passed than allowed since the last such attempt ended or the reservation was made.  Times are nanoseconds
of the machine's monotonic clock; the caller gives them and holds a lock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Kind(Enum):
    """What may be held for a request."""

    STATE = "state"
    RESERVATION = "reservation"


class End(Enum):
    """How an attempt ended as its engine sees it."""

    ANSWERED = "answered"  # whole, to its last byte
    TURNED_AWAY = "turned away"  # never ran
    FAILED = "failed"  # an error, a reset, a spoilt stream: its effect may have happened
    GIVEN_UP = "given up"  # the node closed the connection
    ENGINE_GONE = "engine gone"


@dataclass(slots=True, eq=False)
class Arrival:
    """One attempt whose last byte has reached a running engine."""

    request: str
    engine: str
    decodes: bool
    at: int
    port: int  # the connection's other end, by which the link that carried it is found
    time_told: int  # nanoseconds
    ended: int = 0
    end: End | None = None
    first_event: int = 0
    took_state: bool = False  # the state that it waits for is not held by anyone any more


@dataclass(frozen=True, slots=True)
class Stay:
    """One state or reservation, from when its clock began to run to when it was taken or released."""

    request: str
    kind: Kind
    engine: str
    since: int
    until: int  # 0: still held at the end


@dataclass(slots=True)
class _Held:
    kind: Kind
    engine: str
    since: int  # when its clock began to run; 0 while an attempt that has arrived is out


@dataclass(slots=True)
class _Request:
    held: list[_Held] = field(default_factory=list)
    out: list[Arrival] = field(default_factory=list)
    reading: set[Arrival] = field(default_factory=set)  # reads, given up or not, that will leave a state: none released


class EngineSide:
    """The books of all engines together."""

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.stays: list[Stay] = []
        self._requests: dict[str, _Request] = {}

    def arrived(self, arrival: Arrival) -> bool:
        """An attempt has arrived; whether the state that a decode attempt needs is there."""
        self.arrivals.append(arrival)
        request = self._requests.setdefault(arrival.request, _Request())
        request.out.append(arrival)
        self._stop_clocks(arrival.request, request, arrival.at)
        if not arrival.decodes:
            request.reading.add(arrival)
            return True
        states = [held for held in request.held if held.kind is Kind.STATE]
        arrival.took_state = bool(states)
        for held in list(request.held):  # the reservation elsewhere is given up by the send
            request.held.remove(held)
        return arrival.took_state

    def ended(self, arrival: Arrival, at: int, end: End, state_kept: bool = False, reads_on: bool = False) -> None:
        """An attempt has ended; ``state_kept`` where it had not fetched the state yet, which waits again; ``reads_on``
        where its prompt is read to the end all the same."""
        if arrival.ended:
            return
        arrival.ended, arrival.end = at, end
        request = self._requests[arrival.request]
        request.out.remove(arrival)
        if not reads_on:
            request.reading.discard(arrival)
        if state_kept and arrival.took_state:
            request.held.append(_Held(Kind.STATE, arrival.engine, 0))
        self._start_clocks(request, at)

    def read(self, arrival: Arrival, at: int) -> bool:
        """A prefill attempt has read its prompt: its state waits.  False where a release had taken it meanwhile.

        Owed: ``Obligation.ABANDONED_READ``."""
        request = self._requests[arrival.request]
        if arrival not in request.reading:
            return False
        request.reading.discard(arrival)
        request.held.append(_Held(Kind.STATE, arrival.engine, 0 if request.out else at))
        return True

    def reserve(self, request: str, engine: str, at: int) -> None:
        """A reservation is made; an earlier one elsewhere is given up.  Owed: ``Obligation.RESERVATION``."""
        known = self._requests.setdefault(request, _Request())
        for held in [held for held in known.held if held.kind is Kind.RESERVATION]:
            known.held.remove(held)
        known.held.append(_Held(Kind.RESERVATION, engine, 0 if known.out else at))

    def release(self, request: str, at: int, takes_reads: bool = True) -> None:
        """All that no attempt waits for is released, with ``takes_reads`` also what prefill attempts will leave.

        Owed: ``Obligation.RELEASE``."""
        known = self._requests.get(request)
        if known is None:
            return
        if takes_reads:
            known.reading.clear()
        self._stop_clocks(request, known, at)
        known.held.clear()

    def engine_gone(self, engine: str, at: int) -> None:
        """An engine's process has ended, with all that it held."""
        for name, request in self._requests.items():
            for arrival in [each for each in request.out if each.engine == engine]:
                self.ended(arrival, at, End.ENGINE_GONE)
            request.reading -= {each for each in request.reading if each.engine == engine}
            for held in [each for each in request.held if each.engine == engine]:
                self._close(name, held, at)
                request.held.remove(held)

    def still_held(self) -> list[Stay]:
        """What is held with its clock running.  Owed: ``Obligation.STATE``."""
        return [
            Stay(name, held.kind, held.engine, held.since, 0)
            for name, request in self._requests.items()
            for held in request.held
            if held.since
        ]

    def _stop_clocks(self, name: str, request: _Request, at: int) -> None:
        for held in request.held:
            self._close(name, held, at)
            held.since = 0

    def _start_clocks(self, request: _Request, at: int) -> None:
        if not request.out:
            for held in request.held:
                held.since = held.since or at

    def _close(self, name: str, held: _Held, at: int) -> None:
        if held.since:
            self.stays.append(Stay(name, held.kind, held.engine, held.since, at))
