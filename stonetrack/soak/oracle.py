"""The invariants that a run violated, determined from what passed on the sockets.  No I/O, no clock.

Times are nanoseconds of the machine's monotonic clock.  Only the lateness of the harness and the machine
(:class:`Lateness`) is added to the bounds.  Invariants 1 to 7 are those of ``node.invariants``; 8 concerns streams and
9 processes.  A node's own statements are not evidence, except for its run-time invariants, which are reported
separately under number 0.
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
from stonetrack.soak.engine_side import Arrival, End, HeldKind, HeldState
from stonetrack.soak.nodes import ProcessRun

MS = 1_000_000
SECOND = 1_000 * MS
ANSWER_SLACK = 500 * MS
HELD_SLACK = 300 * MS
CLIENT_LEFT_SLACK = 100 * MS
SENT_TIME_SLACK = 150 * MS
DRAIN_GRACE = 300 * MS  # 250 ms of the settings and 50 ms of the protocol
WATCH_SILENCE_TIMEOUT = 6 * SECOND  # a change counts as propagated to a silent watch after this
EVENT_SLACK = 300 * MS
MAX_LATE_STREAM_SHARE = 0.1  # tolerated share of streams with a late event
UNFINISHED_STREAM_WAIT = 5 * SECOND  # from the last event of a stream that is not whole to the end of its connection
OVERLAP_SLACK = 2 * MS  # engine and link take their timestamps one after the other
RESERVATION_PATH = "/kv/leases/"
LATE_RESERVATION = 400 * MS  # after the attempt began: the node no longer waits for this reservation
REAP_SLACK = 300 * MS  # between a process's death and the time that the harness records
TERMINATION_WINDOW = 700 * MS  # after SIGTERM; SIGKILL may lose requests that arrive later
HELD_MESSAGE = re.compile(r"INVARIANT 3 NOTHING_LEAKED: held for ([0-9.]+) s")
STOPPED_CLIENT_TIMEOUT = 3 * SECOND  # for a client that stops sending within a request
MIN_SERVED_SHARE = 0.5  # of the requests of usual clients: half of what a run without faults serves


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation; ``request`` is empty for a violation by a process."""

    invariant: int
    request: str
    text: str


class Lateness:
    """How late harness and machine were.

    ``samples`` are (time, lateness) of the harness's own wake-ups, ordered by time; ``waits`` is the time in which
    runnable work waited for a processor (``fleet.pulse``).
    """

    def __init__(self, samples: Sequence[tuple[int, int]], waits: Waits | MachineWaits | None = None) -> None:
        self._when = [when for when, _ in samples]
        self._lateness = [late for _, late in samples]
        self.waits: Waits | MachineWaits = waits or Waits()

    def maximum(self, since: int, until: int) -> int:
        """The maximum lateness of harness and machine between two times."""
        return self.harness_maximum(since, until) + self.waits.held(since, until)

    def harness_maximum(self, since: int, until: int) -> int:
        """The maximum lateness of the harness alone between two times."""
        low = max(0, bisect_left(self._when, since) - 1)
        high = bisect_right(self._when, until) + 1
        return max(self._lateness[low:high], default=0)


@dataclass(frozen=True, slots=True)
class Limits:
    """The bounds that the settings allow; times in nanoseconds."""

    release_within: int
    unsafe_classes: frozenset[str]  # names of the non-idempotent request classes
    min_served_share: float = 0.0  # of the requests of usual clients


@dataclass(slots=True)
class Evidence:
    """Everything recorded during a run."""

    client_records: list[Seen]
    arrivals: list[Arrival]
    held_states: list[HeldState]  # those held at the end included
    link_log: list[dict[str, Any]]  # link records: open, begun, left, close, reset
    list_changes: list[tuple[int, int, str, str]]  # time, version, engine, state
    list_deliveries: dict[int, list[tuple[int, int]]]  # by node: time and version of each list written to it
    watch_faults: dict[int, list[tuple[int, int]]]  # by node: periods in which its watch or agent was silent
    process_runs: dict[int, list[ProcessRun]]  # by node
    lateness: Lateness
    ended: int
    faulty_periods: dict[str, list[tuple[int, int]]] = field(default_factory=dict)  # by engine, links included
    invariant_log_lines: list[str] = field(default_factory=list)  # run-time invariants in the nodes' logs
    process_findings: list[str] = field(default_factory=list)  # crashes, and resources in use after the load


class Oracle:
    """Determines the violations of one run."""

    def __init__(self, evidence: Evidence, limits: Limits) -> None:
        self._evidence, self._limits = evidence, limits
        self._attempts_begun: dict[str, list[tuple[int, str, str, int]]] = defaultdict(list)  # by request
        self._node_closed_at: dict[int, int] = {}  # by connection: when the node closed it
        self._reservation_calls: dict[tuple[str, str], list[tuple[int, int]]] = defaultdict(list)  # by request, engine
        self._answers_passed: dict[int, list[int]] = defaultdict(
            list
        )  # by connection: when complete answers had passed
        self._connection_ids: dict[tuple[str, int], int] = {}  # by engine and remote port
        for record in evidence.link_log:
            self._index_link_record(record)
        self._arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in evidence.arrivals:
            self._arrivals[arrival.request].append(arrival)
        self._node_of = {request: begun[0][1] for request, begun in self._attempts_begun.items()}

    def _index_link_record(self, record: dict[str, Any]) -> None:
        match record["what"]:
            case "open":
                self._connection_ids[record["to"], record["port"]] = record["conn"]
            case "begun":
                begun = (record["t"], record["from"], record["to"], record["conn"])
                self._attempts_begun[record["id"]].append(begun)
            case "head" if record["method"] == "POST" and record["path"].startswith(RESERVATION_PATH):
                key = (record["path"].removeprefix(RESERVATION_PATH), record["to"])
                self._reservation_calls[key].append((record["t"], record["conn"]))
            case "answer":
                self._answers_passed[record["conn"]].append(record["t"])
            case "left" | "close" | "reset":
                self._node_closed_at.setdefault(record["conn"], record["t"])

    def violations(self) -> list[Violation]:
        """All violations."""
        found = [
            *self._answer_violations(),
            *self._effect_violations(),
            *self._held_state_violations(),
            *self._client_gone_violations(),
            *self._drain_violations(),
            *self._sent_time_violations(),
        ]
        found += [*self._stream_violations(), *self._process_violations()]
        least = self._limits.min_served_share
        if self.served_share() < least:
            found.append(Violation(0, "", f"{self.served_share():.3f} of the requests served, allowed: {least}"))
        return found

    def served_share(self) -> float:
        """Share of the requests of usual clients that were served."""
        usual = [each for each in self._evidence.client_records if each.behaviour == "normal"]
        return sum(each.ended == "served" for each in usual) / max(len(usual), 1)

    def _lateness(self, since: int, until: int) -> int:
        return self._evidence.lateness.maximum(since, until)

    @staticmethod
    def _client_lateness(client: Seen) -> int:
        """The client's own delay between reading its clock and writing the request."""
        return max(0, client.wrote - client.sent)

    # Invariant 1: one final answer, in time.

    def _node_was_killed(self, client: Seen) -> bool:
        """Whether the process that may have received the request was killed while the request was open, or was down."""
        name = self._node_of.get(client.request, "")
        known = [int(name[1:])] if name else list(self._evidence.process_runs)
        for run in (run for number in known for run in self._evidence.process_runs[number]):
            excused = run.killed and (
                not run.termination_requested or client.sent <= run.termination_requested + TERMINATION_WINDOW
            )
            if (
                excused
                and run.started < client.end
                and client.sent < run.ended
                and run.ended <= client.end + REAP_SLACK
            ):
                return True
        return False

    def _answer_violations(self) -> list[Violation]:
        """Requests without exactly one final answer in time.  Owed: ``Obligation.ANSWER``."""
        found = []
        for client in self._evidence.client_records:
            if why := self._answer_problem(client):
                found.append(Violation(1, client.request, why))
        return found

    def _answer_problem(self, client: Seen) -> str:
        if self._client_left_at(client) or client.ended == "refused connection" or self._node_was_killed(client):
            return ""
        if client.behaviour == "stops":
            took = client.end - client.sent
            late = took > STOPPED_CLIENT_TIMEOUT + ANSWER_SLACK + self._lateness(client.sent, client.end)
            return f"stopped within its request and heard nothing for {took / SECOND:.3f} s" if late else ""
        begun = client.request in self._attempts_begun
        if client.ended == "cut" and not client.head and not (begun or not client.reused):
            return ""  # the node closed the idle connection while the request was in transit
        if client.ended in ("cut", "no answer", "garbled") and not client.first:
            return f"ended {client.ended} without an answer ({client.why[:60]}), sent on: {begun}"
        if client.after_end:
            return f"{client.after_end} bytes behind the final answer"
        answered = client.first or client.end
        bound = client.deadline + ANSWER_SLACK + self._lateness(client.sent, answered) + self._client_lateness(client)
        if answered > bound and client.behaviour != "slow":
            return f"answered ({client.ended}) {(answered - client.deadline) / SECOND:.3f} s after its time"
        return self._unfinished_stream_problem(client)

    def _unfinished_stream_problem(self, client: Seen) -> str:
        """A client that was left waiting on a stream that did not become whole."""
        if not client.last_event or client.ended == "served" or client.behaviour != "normal":
            return ""
        waited = client.end - client.last_event
        if waited <= UNFINISHED_STREAM_WAIT + self._lateness(client.last_event, client.end):
            return ""
        return f"left waiting for {waited / SECOND:.3f} s after the last event ({client.ended})"

    # Invariant 2: no second effect.

    def _attempt_over_at(self, arrival: Arrival) -> int:
        """When an attempt was over for its node or its engine, whichever came first."""
        ended = arrival.ended or self._evidence.ended
        connection = self._connection_ids.get((arrival.engine, arrival.port), -1)
        return min(ended, self._node_closed_at.get(connection, ended))

    def _effect_violations(self) -> list[Violation]:
        """Overlapping attempts and repeated effects.  Owed: ``Obligation.ATTEMPT``."""
        found = []
        unsafe = {
            client.request for client in self._evidence.client_records if client.cls in self._limits.unsafe_classes
        }
        for request, arrivals in self._arrivals.items():
            for first, second in zip(arrivals, arrivals[1:], strict=False):
                until = self._attempt_over_at(first)
                if (
                    second.arrived_at < until - OVERLAP_SLACK - self._lateness(second.arrived_at, until)
                    and self._attempt_over_at(second) > second.arrived_at
                ):
                    text = (
                        f"at {second.engine} while out at {first.engine} "
                        f"for {(until - second.arrived_at) / MS:.0f} ms more"
                    )
                    found.append(Violation(2, request, text))
            ran = [each for each in arrivals if each.is_decode and each.end is not End.REJECTED]
            if request in unsafe and len(ran) > 1:
                found.append(Violation(2, request, f"run at {[each.engine for each in ran]}"))
        return found

    # Invariant 3: a held state or reservation is used or released.

    def _held_state_violations(self) -> list[Violation]:
        """States and reservations held for too long, whichever engine held them and whatever it replied to the node.

        Owed: ``Obligation.STATE``, ``Obligation.RESERVATION``, ``Obligation.ABANDONED_READ``."""
        found = []
        for held in self._evidence.held_states:
            since, until = self._observable_since(held), held.until or self._evidence.ended
            bound = self._limits.release_within + HELD_SLACK + self._lateness(since, until)
            if until - since > bound and not self._orphaned(held):
                how = "" if held.until else ", still at the end"
                text = f"{held.kind.value} at {held.engine} held for {(until - since) / SECOND:.3f} s{how}"
                found.append(Violation(3, held.request, text))
        return found

    def _observable_since(self, held: HeldState) -> int:
        """When the node could observe the end of the attempt after which the state was held.

        For the node an attempt is open until its answer has passed the link or the node has closed the connection; an
        answer delayed by a cut link does not end it.
        """
        if held.kind is HeldKind.RESERVATION and (late := self._late_reservation(held)):
            return late
        for arrival in self._arrivals.get(held.request, ()):
            if arrival.ended != held.since or arrival.end is not End.ANSWERED:
                continue
            connection = self._connection_ids.get((arrival.engine, arrival.port), -1)
            passed = min(
                (at for at in self._answers_passed.get(connection, ()) if at >= arrival.ended), default=1 << 62
            )
            known = min(passed, self._node_closed_at.get(connection, 1 << 62))
            return max(held.since, min(known, held.until or self._evidence.ended))
        return held.since

    def _late_reservation(self, held: HeldState) -> int:
        """When the node could observe a reservation whose call the link delivered late; 0 if it was delivered in time.

        This is when its answer has passed the link or the node has closed the connection.
        """
        asked = [each for each in self._reservation_calls.get((held.request, held.engine), ()) if each[0] <= held.since]
        begun = [at for at, *_ in self._attempts_begun.get(held.request, ())]
        if not asked:
            return 0
        came, connection = asked[-1]
        if came - max((at for at in begun if at <= came), default=came) < LATE_RESERVATION:
            return 0
        notified = [at for at in self._answers_passed.get(connection, ()) if at >= came]
        known = min([*notified, self._node_closed_at.get(connection, 1 << 62)])
        return max(held.since, min(known, held.until or self._evidence.ended))

    def _orphaned(self, held: HeldState) -> bool:
        """Whether the node that handled the request was killed, so that no process is left to release the state."""
        name = self._node_of.get(held.request, "")
        process_runs = self._evidence.process_runs.get(int(name[1:]), []) if name else []
        first = self._attempts_begun[held.request][0][0] if name else 0
        until = held.until or self._evidence.ended
        return any(run.killed and run.started < first < run.ended <= until for run in process_runs)

    # Invariant 4: no attempt begins for a client that has left.

    def _client_left_at(self, client: Seen) -> int:
        """When a client left or closed its sending side, which a node may treat as leaving; 0 for never."""
        if client.behaviour == "half_close":
            return client.sent
        return client.end if client.ended == "left" else 0

    def _client_gone_violations(self) -> list[Violation]:
        found = []
        for client in self._evidence.client_records:
            left = self._client_left_at(client)
            if not left:
                continue
            for at, _, engine, _ in self._attempts_begun.get(client.request, ()):
                if at > left + CLIENT_LEFT_SLACK + self._lateness(left, at):
                    text = f"begun at {engine} {(at - left) / SECOND:.3f} s after its client left"
                    found.append(Violation(4, client.request, text))
        return found

    # Invariant 5: no attempt begins at a draining engine.

    def _notified_at(self, node: int, changed: int, version: int) -> int:
        """When a change counts as propagated to a node."""
        written = min(
            (at for at, rev in self._evidence.list_deliveries[node] if rev >= version), default=self._evidence.ended
        )
        silent = [(since, until) for since, until in self._evidence.watch_faults.get(node, ()) if until > changed]
        return max([written, *(since + WATCH_SILENCE_TIMEOUT for since, _ in silent if since <= written)])

    def _drain_violations(self) -> list[Violation]:
        """Attempts at engines that the node's list no longer offered.  Owed: ``Obligation.TOLD_CHANGE``."""
        found = []
        spans: dict[str, list[tuple[int, int, int]]] = defaultdict(list)  # drained at, version, serving again at
        for n, (at, version, engine, state) in enumerate(self._evidence.list_changes):
            if state != "SERVING":
                again = next((t for t, _, e, s in self._evidence.list_changes[n + 1 :] if e == engine), 1 << 62)
                spans[engine].append((at, version, again))
        for request, begun in self._attempts_begun.items():
            for at, name, engine, _ in begun:
                for since, version, again in spans.get(engine, ()):
                    notified = self._notified_at(int(name[1:]), since, version)
                    if notified + DRAIN_GRACE + self._lateness(notified, at) < at < again:
                        text = f"begun at {engine} {(at - notified) / SECOND:.3f} s after it was told to drain"
                        found.append(Violation(5, request, text))
        return found

    # Invariant 7: the time left that is sent to engines.

    def _sent_time_violations(self) -> list[Violation]:
        found = []
        usual = [client for client in self._evidence.client_records if client.behaviour != "stops"]
        deadlines = {client.request: client.deadline + self._client_lateness(client) for client in usual}
        sent_at = {client.request: client.sent for client in usual}
        for request, arrivals in self._arrivals.items():
            if request not in deadlines:
                continue
            for arrival in arrivals:
                connection = self._connection_ids.get((arrival.engine, arrival.port), -1)
                sent = [at for at, _, _, number in self._attempts_begun.get(request, ()) if number == connection]
                begun = max((at for at in sent if at <= arrival.arrived_at), default=0)
                left = deadlines[request] - begun
                slack = SENT_TIME_SLACK + self._lateness(sent_at[request], begun)
                if begun and arrival.sent_time_left > max(left, MS) + slack:
                    text = f"{arrival.engine} was told {arrival.sent_time_left / SECOND:.3f} s of {left / SECOND:.3f}"
                    found.append(Violation(7, request, text))
        return found

    # Invariant 8: streams.

    def _was_faulty(self, engine: str, since: int, until: int) -> bool:
        return any(begin < until and since < end for begin, end in self._evidence.faulty_periods.get(engine, ()))

    def _stream_violations(self) -> list[Violation]:
        found, late = [], []
        checked = 0
        for client in self._evidence.client_records:
            arrivals = [each for each in self._arrivals.get(client.request, ()) if each.is_decode]
            if not client.first or not arrivals or client.behaviour != "normal":
                continue
            last = arrivals[-1]
            if self._was_faulty(last.engine, last.arrived_at, client.end) or self._node_was_killed(client):
                continue
            checked += 1
            if client.event_late > EVENT_SLACK + self._lateness(last.arrived_at, client.end):
                late.append(Violation(8, client.request, f"an event came {client.event_late / MS:.0f} ms late"))
            if last.end is End.ANSWERED and client.ended in ("cut", "broken", "garbled"):
                found.append(
                    Violation(8, client.request, f"{last.engine} finished its stream, the client's is {client.ended}")
                )
        return found + (late if len(late) > MAX_LATE_STREAM_SHARE * checked else [])

    # Invariant 9: processes; and number 0, the nodes' own checks.

    def _process_violations(self) -> list[Violation]:
        found = [Violation(9, "", text) for text in self._evidence.process_findings]
        for line in self._evidence.invariant_log_lines:
            words = line.split()
            request = words[words.index("request") + 1] if "request" in words else ""
            if self._explained_by_lateness(request, line):
                continue
            found.append(Violation(0, request, f"a node's own check: {line[line.index('INVARIANT') :][:160]}"))
        return found

    def _explained_by_lateness(self, request: str, line: str) -> bool:
        """Whether lateness of harness and machine accounts for a node's report that a state was held for too long.

        Engines that answer late delay what the node observes.
        """
        notified = HELD_MESSAGE.search(line)
        client = next((each for each in self._evidence.client_records if each.request == request), None)
        if notified is None or client is None:
            return False
        held = int(float(notified.group(1)) * SECOND)
        bound = self._limits.release_within + HELD_SLACK + self._lateness(client.sent, client.end + held)
        return held <= bound


def count_by_invariant(violations: list[Violation]) -> str:
    """The number of violations by invariant; empty for none."""
    counts = Counter(violation.invariant for violation in violations)
    return " ".join(f"{number}:{count}" for number, count in sorted(counts.items()))
