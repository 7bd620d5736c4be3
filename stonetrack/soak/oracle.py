"""Which invariants a play broke, read from what passed on the sockets.  No I/O, no clock.

Numbers are those of the standing terms.  Times are nanoseconds of the machine's monotonic clock.  What the harness
itself was late by (:class:`Lateness`) is added to each bound, and nothing else.  Nothing that a node says of itself
counts here but its run-time invariants, a second opinion that is told as such.
"""

from __future__ import annotations

import re
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from stonetrack.fleet.load import Seen
from stonetrack.fleet.pulse import MachineWaits, Waits
from stonetrack.soak.engine_side import Arrival, End, Kind, Stay
from stonetrack.soak.nodes import Life

MS = 1_000_000
SECOND = 1_000 * MS
ANSWER_SLACK = 500 * MS
HELD_SLACK = 300 * MS
LEFT_SLACK = 100 * MS
TOLD_SLACK = 150 * MS
DRAIN_GRACE = 300 * MS  # the settings' 250 ms and the protocol's 50
WATCH_SILENT_FOR = 6 * SECOND  # a silent watch counts as told after this
EVENT_SLACK = 300 * MS
EVENTS_LATE_SHARE = 0.1  # of all streams that may have a late event
OVERLAP_SLACK = 2 * MS  # two clocks are read one after the other
LEASES = "/kv/leases/"
LATE_CALL = 400 * MS  # from a request's sending to the passing on of its reservation: nobody waits for that any more
REAPED = 300 * MS  # from a process's death to the harness's note of it
COMING = 700 * MS  # after SIGTERM: what comes later and is taken is lost where SIGKILL finds it unanswered
HELD_TOLD = re.compile(r"INVARIANT 3 NOTHING_LEAKED: held for ([0-9.]+) s")
STOPPED_ANSWER = 3 * SECOND  # for a client that stops within a request
SERVICE_LEAST = 0.5  # share of the requests of usual clients: half of what an undisturbed play serves


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken invariant; ``request`` is empty where it is a process's."""

    invariant: int
    request: str
    text: str


class Lateness:
    """How late harness and machine were: samples (when, by how much) of the harness's own waking up, in order of time,
    and the time in which work stood ready and had no processor (``fleet.pulse``)."""

    def __init__(self, samples: Sequence[tuple[int, int]], waits: Waits | MachineWaits | None = None) -> None:
        self._when = [when for when, _ in samples]
        self._late = [late for _, late in samples]
        self.waits: Waits | MachineWaits = waits or Waits()

    def most(self, since: int, until: int) -> int:
        """The longest lateness that may have touched what lies between two times."""
        return self.own(since, until) + self.waits.held(since, until)

    def own(self, since: int, until: int) -> int:
        """The harness's part of it."""
        low = max(0, bisect_left(self._when, since) - 1)
        high = bisect_right(self._when, until) + 1
        return max(self._late[low:high], default=0)


@dataclass(frozen=True, slots=True)
class Terms:
    """What the settings allow; nanoseconds."""

    release_within: int
    unsafe: frozenset[str]  # names of classes that may not be repeated
    service_least: float = 0.0  # share of the requests of usual clients


@dataclass(slots=True)
class Evidence:
    """All that a play leaves behind."""

    seen: list[Seen]
    arrivals: list[Arrival]
    stays: list[Stay]  # the last ones may still be held
    log: list[dict[str, Any]]  # of the links: open, begun, left, close, reset
    changes: list[tuple[int, int, str, str]]  # when, version, engine, state
    told: dict[int, list[tuple[int, int]]]  # by node: when a version was written to it, and which
    watch_faults: dict[int, list[tuple[int, int]]]  # by node: when its watch or agent was silent
    lives: dict[int, list[Life]]  # by node
    lateness: Lateness
    ended: int
    troubled: dict[str, list[tuple[int, int]]] = field(default_factory=dict)  # by engine: when it or its links were ill
    complaints: list[str] = field(default_factory=list)  # run-time invariants in nodes' logs
    process_findings: list[str] = field(default_factory=list)  # crashes, what is left at rest


class Oracle:
    """Judges one play."""

    def __init__(self, evidence: Evidence, terms: Terms) -> None:
        self._evidence, self._terms = evidence, terms
        self._begun: dict[str, list[tuple[int, str, str, int]]] = defaultdict(list)  # when, node, engine, connection
        self._left: dict[int, int] = {}  # by connection: when the node left it
        self._reserving: dict[tuple[str, str], list[tuple[int, int]]] = defaultdict(list)  # by request and engine
        self._answered: dict[int, list[int]] = defaultdict(list)  # by connection: when answers had passed whole
        self._connection: dict[tuple[str, int], int] = {}  # by engine and far port
        for record in evidence.log:
            self._read(record)
        self._arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in evidence.arrivals:
            self._arrivals[arrival.request].append(arrival)
        self._node_of = {request: begun[0][1] for request, begun in self._begun.items()}

    def _read(self, record: dict[str, Any]) -> None:
        match record["what"]:
            case "open":
                self._connection[record["to"], record["port"]] = record["conn"]
            case "begun":
                begun = (record["t"], record["from"], record["to"], record["conn"])
                self._begun[record["id"]].append(begun)
            case "head" if record["method"] == "POST" and record["path"].startswith(LEASES):
                key = (record["path"].removeprefix(LEASES), record["to"])
                self._reserving[key].append((record["t"], record["conn"]))
            case "answer":
                self._answered[record["conn"]].append(record["t"])
            case "left" | "close" | "reset":
                self._left.setdefault(record["conn"], record["t"])

    def violations(self) -> list[Violation]:
        """All that was broken."""
        found = [*self._answers(), *self._effects(), *self._held(), *self._gone(), *self._drains(), *self._times()]
        found += [*self._streams(), *self._processes()]
        least = self._terms.service_least
        if self.service() < least:
            found.append(Violation(0, "", f"{self.service():.3f} of the requests served, allowed: {least}"))
        return found

    def service(self) -> float:
        """Share of the requests of usual clients that were served."""
        usual = [each for each in self._evidence.seen if each.behaviour == "normal"]
        return sum(each.ended == "served" for each in usual) / max(len(usual), 1)

    def _late(self, since: int, until: int) -> int:
        return self._evidence.lateness.most(since, until)

    @staticmethod
    def _client_late(seen: Seen) -> int:
        """How long the client itself was held up between reading its clock and writing."""
        return max(0, seen.wrote - seen.sent)

    # 1: one final answer, in time.

    def _killed(self, seen: Seen) -> bool:
        """Whether the process that may have had the request was killed while it was open, or was not there."""
        name = self._node_of.get(seen.request, "")
        known = [int(name[1:])] if name else list(self._evidence.lives)
        for life in (life for number in known for life in self._evidence.lives[number]):
            excused = life.killed and (not life.told_to_end or seen.sent <= life.told_to_end + COMING)
            if excused and life.started < seen.end and seen.sent < life.ended and life.ended <= seen.end + REAPED:
                return True
        return False

    def _answers(self) -> list[Violation]:
        """Requests without one final answer in their time.  Owed: ``Obligation.ANSWER``."""
        found = []
        for seen in self._evidence.seen:
            if why := self._not_answered(seen):
                found.append(Violation(1, seen.request, why))
        return found

    def _not_answered(self, seen: Seen) -> str:
        if self._left_at(seen) or seen.ended == "refused connection" or self._killed(seen):
            return ""
        if seen.behaviour == "stops":
            took = seen.end - seen.sent
            late = took > STOPPED_ANSWER + ANSWER_SLACK + self._late(seen.sent, seen.end)
            return f"stopped within its request and heard nothing for {took / SECOND:.3f} s" if late else ""
        begun = seen.request in self._begun
        if seen.ended == "cut" and not seen.head and not (begun or not seen.reused):
            return ""  # it crossed the close of a connection at rest, and nobody had read it
        if seen.ended in ("cut", "no answer", "garbled") and not seen.first:
            return f"ended {seen.ended} without an answer ({seen.why[:60]}), sent on: {begun}"
        if seen.after_end:
            return f"{seen.after_end} bytes behind the final answer"
        answered = seen.first or seen.end
        bound = seen.deadline + ANSWER_SLACK + self._late(seen.sent, answered) + self._client_late(seen)
        if answered > bound and seen.behaviour != "slow":
            return f"answered ({seen.ended}) {(answered - seen.deadline) / SECOND:.3f} s after its time"
        return ""

    # 2: no second effect.

    def _out_until(self, arrival: Arrival) -> int:
        """When an attempt was over for its node or its engine, whichever came first."""
        ended = arrival.ended or self._evidence.ended
        connection = self._connection.get((arrival.engine, arrival.port), -1)
        return min(ended, self._left.get(connection, ended))

    def _effects(self) -> list[Violation]:
        """Attempts that overlap, and second effects.  Owed: ``Obligation.ATTEMPT``."""
        found = []
        unsafe = {seen.request for seen in self._evidence.seen if seen.cls in self._terms.unsafe}
        for request, arrivals in self._arrivals.items():
            for first, second in zip(arrivals, arrivals[1:], strict=False):
                until = self._out_until(first)
                if (
                    second.at < until - OVERLAP_SLACK - self._late(second.at, until)
                    and self._out_until(second) > second.at
                ):
                    text = f"at {second.engine} while out at {first.engine} for {(until - second.at) / MS:.0f} ms more"
                    found.append(Violation(2, request, text))
            ran = [each for each in arrivals if each.decodes and each.end is not End.TURNED_AWAY]
            if request in unsafe and len(ran) > 1:
                found.append(Violation(2, request, f"run at {[each.engine for each in ran]}"))
        return found

    # 3: what is held is taken or released.

    def _held(self) -> list[Violation]:
        """What was held for too long, whoever held it and whatever the node was told.

        Owed: ``Obligation.STATE``, ``Obligation.RESERVATION``, ``Obligation.ABANDONED_READ``."""
        found = []
        for stay in self._evidence.stays:
            since, until = self._known_since(stay), stay.until or self._evidence.ended
            bound = self._terms.release_within + HELD_SLACK + self._late(since, until)
            if until - since > bound and not self._orphaned(stay):
                how = "" if stay.until else ", still at the end"
                text = f"{stay.kind.value} at {stay.engine} held for {(until - since) / SECOND:.3f} s{how}"
                found.append(Violation(3, stay.request, text))
        return found

    def _known_since(self, stay: Stay) -> int:
        """From when on the attempt that started a clock is over for its node: it is out until its answer has passed the
        link or the node has left it.  An answer that a cut link keeps ends nothing yet."""
        if stay.kind is Kind.RESERVATION and (late := self._late_reservation(stay)):
            return late
        for arrival in self._arrivals.get(stay.request, ()):
            if arrival.ended != stay.since or arrival.end is not End.ANSWERED:
                continue
            connection = self._connection.get((arrival.engine, arrival.port), -1)
            passed = min((at for at in self._answered.get(connection, ()) if at >= arrival.ended), default=1 << 62)
            known = min(passed, self._left.get(connection, 1 << 62))
            return max(stay.since, min(known, stay.until or self._evidence.ended))
        return stay.since

    def _late_reservation(self, stay: Stay) -> int:
        """When the node could know of a reservation that was passed on long after it was asked for: its answer has
        passed, or the node has left its connection.  0 for one that came in time."""
        asked = [each for each in self._reserving.get((stay.request, stay.engine), ()) if each[0] <= stay.since]
        begun = [at for at, *_ in self._begun.get(stay.request, ())]
        if not asked:
            return 0
        came, connection = asked[-1]
        if came - max((at for at in begun if at <= came), default=came) < LATE_CALL:
            return 0
        told = [at for at in self._answered.get(connection, ()) if at >= came]
        known = min([*told, self._left.get(connection, 1 << 62)])
        return max(stay.since, min(known, stay.until or self._evidence.ended))

    def _orphaned(self, stay: Stay) -> bool:
        """Whether the node that had the request was killed: nobody is left to release it."""
        name = self._node_of.get(stay.request, "")
        lives = self._evidence.lives.get(int(name[1:]), []) if name else []
        first = self._begun[stay.request][0][0] if name else 0
        until = stay.until or self._evidence.ended
        return any(life.killed and life.started < first < life.ended <= until for life in lives)

    # 4: nothing begins for a client that has gone.

    def _left_at(self, seen: Seen) -> int:
        """When a client left, or closed its sending side, which a node may take for that; 0 for never."""
        if seen.behaviour == "half_close":
            return seen.sent
        return seen.end if seen.ended == "left" else 0

    def _gone(self) -> list[Violation]:
        found = []
        for seen in self._evidence.seen:
            left = self._left_at(seen)
            if not left:
                continue
            for at, _, engine, _ in self._begun.get(seen.request, ()):
                if at > left + LEFT_SLACK + self._late(left, at):
                    text = f"begun at {engine} {(at - left) / SECOND:.3f} s after its client left"
                    found.append(Violation(4, seen.request, text))
        return found

    # 5: nothing goes to an engine that drains.

    def _told_at(self, node: int, changed: int, version: int) -> int:
        """When a change counts as told to a node."""
        written = min((at for at, rev in self._evidence.told[node] if rev >= version), default=self._evidence.ended)
        silent = [(since, until) for since, until in self._evidence.watch_faults.get(node, ()) if until > changed]
        return max([written, *(since + WATCH_SILENT_FOR for since, _ in silent if since <= written)])

    def _drains(self) -> list[Violation]:
        """Attempts at engines that a node had been told not to use.  Owed: ``Obligation.TOLD_CHANGE``."""
        found = []
        spans: dict[str, list[tuple[int, int, int]]] = defaultdict(list)  # closed from, version, open again at
        for n, (at, version, engine, state) in enumerate(self._evidence.changes):
            if state != "SERVING":
                again = next((t for t, _, e, s in self._evidence.changes[n + 1 :] if e == engine), 1 << 62)
                spans[engine].append((at, version, again))
        for request, begun in self._begun.items():
            for at, name, engine, _ in begun:
                for since, version, again in spans.get(engine, ()):
                    told = self._told_at(int(name[1:]), since, version)
                    if told + DRAIN_GRACE + self._late(told, at) < at < again:
                        text = f"begun at {engine} {(at - told) / SECOND:.3f} s after it was told to drain"
                        found.append(Violation(5, request, text))
        return found

    # 7: the time told to engines.

    def _times(self) -> list[Violation]:
        found = []
        usual = [seen for seen in self._evidence.seen if seen.behaviour != "stops"]
        deadlines = {seen.request: seen.deadline + self._client_late(seen) for seen in usual}
        sent_at = {seen.request: seen.sent for seen in usual}
        for request, arrivals in self._arrivals.items():
            if request not in deadlines:
                continue
            for arrival in arrivals:
                connection = self._connection.get((arrival.engine, arrival.port), -1)
                sent = [at for at, _, _, number in self._begun.get(request, ()) if number == connection]
                begun = max((at for at in sent if at <= arrival.at), default=0)
                left = deadlines[request] - begun
                slack = TOLD_SLACK + self._late(sent_at[request], begun)
                if begun and arrival.time_told > max(left, MS) + slack:
                    text = f"{arrival.engine} was told {arrival.time_told / SECOND:.3f} s of {left / SECOND:.3f}"
                    found.append(Violation(7, request, text))
        return found

    # 8: streams.

    def _ill(self, engine: str, since: int, until: int) -> bool:
        return any(begin < until and since < end for begin, end in self._evidence.troubled.get(engine, ()))

    def _streams(self) -> list[Violation]:
        found, late = [], []
        looked = 0
        for seen in self._evidence.seen:
            arrivals = [each for each in self._arrivals.get(seen.request, ()) if each.decodes]
            if not seen.first or not arrivals or seen.behaviour != "normal":
                continue
            last = arrivals[-1]
            if self._ill(last.engine, last.at, seen.end) or self._killed(seen):
                continue
            looked += 1
            if seen.event_late > EVENT_SLACK + self._late(last.at, seen.end):
                late.append(Violation(8, seen.request, f"an event came {seen.event_late / MS:.0f} ms late"))
            if last.end is End.ANSWERED and seen.ended in ("cut", "broken", "garbled"):
                found.append(
                    Violation(8, seen.request, f"{last.engine} finished its stream, the client's is {seen.ended}")
                )
        return found + (late if len(late) > EVENTS_LATE_SHARE * looked else [])

    # 9, 10: processes; and the nodes' own checks.

    def _processes(self) -> list[Violation]:
        found = [Violation(9, "", text) for text in self._evidence.process_findings]
        for line in self._evidence.complaints:
            words = line.split()
            request = words[words.index("request") + 1] if "request" in words else ""
            if self._late_machine(request, line):
                continue
            found.append(Violation(0, request, f"a node's own check: {line[line.index('INVARIANT') :][:160]}"))
        return found

    def _late_machine(self, request: str, line: str) -> bool:
        """Whether a node says that something was held for longer than allowed by no more than harness and machine were
        late in that request's life: engines that answer late let a node hear late."""
        told = HELD_TOLD.search(line)
        seen = next((each for each in self._evidence.seen if each.request == request), None)
        if told is None or seen is None:
            return False
        held = int(float(told.group(1)) * SECOND)
        bound = self._terms.release_within + HELD_SLACK + self._late(seen.sent, seen.end + held)
        return held <= bound


def by_invariant(violations: list[Violation]) -> str:
    """Counts by number; empty for none."""
    counts = Counter(violation.invariant for violation in violations)
    return " ".join(f"{number}:{count}" for number, count in sorted(counts.items()))
