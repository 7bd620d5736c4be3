"""The list traffic of a fleet in simulated time: the nodes' and the service's own decisions, no process, no socket.

Each node is a :class:`~stonetrack.bootstrap.polling.PollScheduler` and a
:class:`~stonetrack.bootstrap.list_versions.VersionTracker`, the
service the :class:`~stonetrack.discovery.admission.AdmissionQueue` of the real one; what lies
between them is a delay for each way.
What passes is written down in the links' words (:mod:`.links`), so that one judge reads both.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from stonetrack.bootstrap.list_versions import Decision, DocumentVersion, VersionTracker
from stonetrack.bootstrap.polling import Poll, PollResult, PollScheduler, PollSettings
from stonetrack.discovery.admission import AdmissionQueue, RetryLater
from stonetrack.fleet.script import Script

MS, SECOND = 1_000_000, 1_000_000_000
WAY = (200_000, 800_000)  # nanoseconds that bytes take one way
OVER = 5 * SECOND  # an answer may take so long over the poll's time
CHANGES_SHARE = 0.05  # of a whole list's bytes, for one version's changes
Record = dict[str, Any]


@dataclass
class _Node:
    """One node and the question that it has out."""

    name: str
    scheduler: PollScheduler
    versions: VersionTracker = field(default_factory=VersionTracker)
    number: int = 0  # of its question


@dataclass
class _Poll:
    """A question that waits at the service."""

    node: _Node
    number: int
    question: Poll


class Model:
    """See the module; :meth:`play` returns the log."""

    def __init__(self, script: Script, seed: int) -> None:
        self.script, self._draw = script, random.Random(seed)
        self._now = 0
        self._order = 0
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self.log: list[Record] = []
        service = script.lists
        self._turns = AdmissionQueue(service.lists_per_second, service.waiting)
        self._version, self._origin = 1, "h1"
        self._remembered = 1  # oldest version that changes can be told after
        self._polls: dict[int, _Poll] = {}  # by the question they put
        self._away = self._silent = False
        self._mute: list[Callable[[], None]] = []  # what arrives, either way, once the link is whole again
        terms = PollSettings(script.nodes, service.lists_per_second, script.wait_ms * MS)
        self._nodes = [
            _Node(f"n{n}", PollScheduler(terms, random.Random(self._draw.random()), 0)) for n in range(script.nodes)
        ]

    # Time.

    def _at(self, at: int, call: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._due, (at, self._order, call))

    def _way(self) -> int:
        return self._draw.randint(*WAY)

    def _send(self, call: Callable[[], None]) -> None:
        """Over the link, either way: what arrives while it is silent is heard when it is whole again."""
        self._at(self._now + self._way(), lambda: self._mute.append(call) if self._silent else call())

    def play(self) -> list[Record]:
        """All of the script's time."""
        for node in self._nodes:
            began = int(self._draw.random() * self.script.start_within_ms * MS)
            node.scheduler.due += began
            self._at(node.scheduler.due, partial(self._ask, node))
        for fault in self.script.faults:
            if fault.to == "lists":
                self._at(int(fault.at * SECOND), partial(self._fault, fault.what, fault.for_s))
        for at in self.script.changes:
            self._at(int(at * SECOND), self._change)
        end = int(self.script.seconds * SECOND)
        while self._due and self._due[0][0] <= end:
            self._now, _, call = heapq.heappop(self._due)
            call()
        self.log.sort(key=lambda record: record["t"])
        return self.log

    def _note(self, what: str, node: _Node, **more: Any) -> None:
        self.log.append({"t": self._now, "what": what, "from": node.name, "to": "lists", **more})

    # The service's troubles.

    def _fault(self, what: str, seconds: float) -> None:
        self.log.append({"t": self._now, "what": "fault", "fault": what, "to": "lists", "for": seconds})
        if what in ("refuse", "kill", "lose_state"):
            self._away = True
            polls, self._polls = self._polls, {}
            for poll in polls.values():
                self._later_end(poll.node, poll.number, PollResult.FAILED, "reset")
            if what == "lose_state":
                self._origin, self._version = f"{self._origin}'", self._version + 1_000
            if what != "refuse":
                self._remembered = self._version  # changes are remembered in memory
                self._turns = AdmissionQueue(self.script.lists.lists_per_second, self.script.lists.waiting)
            self._at(self._now + int(seconds * SECOND), self._back)
        elif what == "cut":
            self._silent = True
            self._at(self._now + int(seconds * SECOND), self._heal)

    def _back(self) -> None:
        self._away = False

    def _heal(self) -> None:
        self._silent = False
        mute, self._mute = self._mute, []
        for late in mute:
            late()

    def _change(self) -> None:
        self._version += 1
        self.log.append({"t": self._now, "what": "version", "version": self._version})
        polls, self._polls = self._polls, {}
        for poll in polls.values():
            self._answer(poll.node, poll.number, poll.question)

    # A node.

    def _ask(self, node: _Node) -> None:
        question = node.scheduler.start_poll(self._now, *node.versions.poll_base())
        if question is None:
            if not node.scheduler.poll_in_flight:
                self._at(node.scheduler.due, lambda: self._ask(node))
            return
        node.number += 1
        if self._away:
            self._note("refused", node)
            self._later_end(node, node.number, PollResult.UNREACHABLE, "")
            return
        number = node.number
        self._note("head", node, after=question.after)
        self._send(lambda: self._arrived(node, number, question))
        limit = question.wait + OVER
        self._at(self._now + limit, lambda: self._timed_out(node, number))

    def _timed_out(self, node: _Node, number: int) -> None:
        if node.number == number and node.scheduler.poll_in_flight:
            self._note("gave up", node)
            self._over(node, number, PollResult.FAILED)

    def _later_end(self, node: _Node, number: int, how: PollResult, what: str) -> None:
        def end() -> None:
            if what and node.number == number:
                self._note(what, node)
            self._over(node, number, how)

        self._at(self._now + self._way(), end)

    def _over(self, node: _Node, number: int, how: PollResult, retry_after: float | None = None) -> None:
        if node.number != number or not node.scheduler.poll_in_flight:
            return
        node.scheduler.finish_poll(self._now, how, retry_after)
        self._at(node.scheduler.due, lambda: self._ask(node))

    def _heard(self, node: _Node, number: int, stamp: DocumentVersion, whole: bool, size: int) -> None:
        if node.number != number or not node.scheduler.poll_in_flight:
            return
        kind = "full" if whole else "changes"
        self._note("answer", node, status=200, kind=kind, version=stamp.version, origin=stamp.origin, bytes=size)
        choice = node.versions.decide(stamp, self._now)
        if choice in (Decision.ACCEPT, Decision.SAME):
            node.versions.accepted(stamp, self._now)
            self._over(node, number, PollResult.ACCEPTED)
        else:
            self._over(node, number, PollResult.UNCHANGED if choice is Decision.NO_BASE else PollResult.UNUSABLE)

    # The service.

    def _arrived(self, node: _Node, number: int, question: Poll) -> None:
        if node.number != number or not node.scheduler.poll_in_flight:
            return  # its connection was closed meanwhile
        if self._away:
            self._later_end(node, number, PollResult.FAILED, "reset")
        elif question.wait and question.origin == self._origin and question.after == self._version:
            poll = _Poll(node, number, question)
            self._polls[id(poll)] = poll
            self._at(self._now + question.wait, lambda: self._unchanged(poll))
        else:
            self._answer(node, number, question)

    def _unchanged(self, poll: _Poll) -> None:
        if self._polls.pop(id(poll), None) is not None:

            def heard() -> None:
                if poll.node.number == poll.number:
                    self._note("answer", poll.node, status=204, bytes=0)
                    poll.node.versions.confirmed()
                    self._over(poll.node, poll.number, PollResult.UNCHANGED)

            self._send(heard)

    def _answer(self, node: _Node, number: int, question: Poll) -> None:
        knows = question.origin == self._origin and self._remembered <= question.after <= self._version
        size = self.script.list_bytes
        if knows:
            size = int(size * min(1.0, CHANGES_SHARE * max(1, self._version - question.after)))
        turn = self._turns.admit(self._now, node.name, size / self.script.list_bytes, question.wait)
        if isinstance(turn, RetryLater):
            after = turn.retry_after_s

            def turned() -> None:
                self._note("answer", node, status=503, retry_after=after, bytes=0)
                self._over(node, number, PollResult.REJECTED, float(after))

            self._send(turned)
            return
        began = self._now

        def serve() -> None:
            self._turns.done(node.name)
            if self._away and self._now > began:
                self._later_end(node, number, PollResult.FAILED, "reset")
                return
            stamp = DocumentVersion(self._origin, self._version, question.after if knows else -1)
            self._send(lambda: self._heard(node, number, stamp, not knows, size))

        self._at(turn.send_at, serve)
