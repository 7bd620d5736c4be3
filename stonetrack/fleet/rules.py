"""The five rules and the service, from what passed on client and engine sockets.  No I/O.

Evidence is what clients saw (``load.Seen``) and the stand-ins' log (``emulator.tap``), both with times of one clock,
and when instances were killed.  Nothing that a node says of itself counts.

1. *One final answer in time, nothing after it.*  Every request that a running instance took is answered (served,
   refused, failed, broken off with an error event) before its client's time runs out, once; no byte follows on the
   connection and no new attempt at an engine.  A connection cut without an answer is excused only where an instance
   was killed just then.
2. *No effect twice, no overlap.*  Two attempts of one request never run at one time as the engines' sockets saw it.
   For unsafe classes no writing attempt follows, and no refusal, where an earlier one may have run; for keyed ones
   repeats carry the same key.
3. *Drains.*  Nothing new reaches an engine later than the grace after this instance was told that it leaves.
4. *Cold.*  No cold engine is sent more than the multiple of what it can do, over the window.
5. *Nothing pinned.*  A read state or a place with no attempt of its request out ends within the time allowed.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

from stonetrack.fleet.faulted import Faulted
from stonetrack.fleet.load import Seen
from stonetrack.fleet.pulse import MachineWaits, Waits
from stonetrack.fleet.traffic import Traffic

MS = 1_000_000
SECOND = 1_000 * MS
Record = dict[str, Any]
_ATTEMPTS = ("read", "write", "whole")
_REFUSED = frozenset({400, 409, 413, 422, 429, 503})  # the engine says that it has not run


@dataclass(frozen=True, slots=True)
class Terms:
    """The rules' figures; ``slack`` is what measuring adds (a scheduler's delay, not a node's freedom)."""

    grace: int = 250 * MS
    release_within: int = 500 * MS
    slack: int = 300 * MS
    order_slack: int = 20 * MS
    kill_window: int = 2 * SECOND


@dataclass(frozen=True, slots=True)
class Kill:
    """An instance killed outright: when it was signalled, and when it was gone (its sockets are closed in between)."""

    at: int
    gone: int
    instance: str


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule broken; ``at`` in nanoseconds of the machine's clock."""

    rule: int
    request: str
    at: int
    text: str

    def __str__(self) -> str:
        return f"rule {self.rule}: request {self.request or '?'}: {self.text}"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt as its engine's socket saw it; ``end`` is 0 while it has none."""

    request: str
    number: str
    engine: str
    instance: str
    job: str
    begin: int
    end: int
    how: str  # done, left, cut, open
    status: int


@dataclass
class Verdict:
    """What came of a day."""

    breaches: list[Breach]
    service: float
    service_by_class: dict[str, float]
    counts: dict[str, int]
    excused: int
    margins: dict[str, float] = field(default_factory=dict)  # how near each rule came to its bound, 1 is at it

    @property
    def kept(self) -> bool:
        """Whether every rule was kept."""
        return not self.breaches


def attempts(log: Sequence[Record]) -> list[Attempt]:
    """All attempts, in order of their beginnings."""
    made: list[Attempt] = []
    open_at: dict[int, Record] = {}

    def close(conn: int, end: int, how: str, status: int) -> None:
        if (r := open_at.pop(conn, None)) is not None:
            made.append(Attempt(r["id"], r["n"], r["engine"], r["instance"], r["job"], r["t"], end, how, status))

    for record in log:
        what = record["what"]
        if what == "request" and record["job"] in _ATTEMPTS:
            open_at[record["conn"]] = record
        elif what in ("done", "left", "cut"):
            close(record["conn"], record["t"], what, record.get("status", 0))
    for conn in list(open_at):
        close(conn, 0, "open", 0)
    return sorted(made, key=lambda attempt: attempt.begin)


class Judge:
    """Judges one day."""

    def __init__(
        self,
        seen: Sequence[Seen],
        log: Sequence[Record],
        kills: Sequence[Kill],
        traffic: Iterable[Traffic],
        terms: Terms | None = None,
        until: int = 0,
        waits: Waits | MachineWaits | None = None,
        links: Faulted | None = None,
    ) -> None:
        """``until`` is when the judged time ends, nanoseconds; what is held then counts as held till then.

        ``waits`` is for how long work stood ready and had no processor: the machine's fault, not the node's; ``links``
        for how long a link between a node and an engine could not carry what it should.
        """
        self.waits: Waits | MachineWaits = waits or Waits()
        self.links = links or Faulted()
        self.until = until or (log[-1]["t"] if log else 0)
        self.seen, self.log, self.kills = seen, log, kills
        self.traffic = {t.name: t for t in traffic}
        self.terms = terms or Terms()
        self.attempts = attempts(log)
        self.by_request: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in self.attempts:
            self.by_request[attempt.request].append(attempt)
        self.excused = 0
        self.margins: dict[str, float] = defaultdict(float)

    def verdict(self) -> Verdict:
        """All rules and the service."""
        breaches = [*self.answers(), *self.effects(), *self.drains(), *self.cold(), *self.pinned()]
        service, by_class = self.service()
        counts: dict[str, int] = defaultdict(int)
        for each in self.seen:
            counts[each.ended] += 1
        counts["requests"] = len(self.seen)
        counts["attempts"] = len(self.attempts)
        return Verdict(
            sorted(breaches, key=lambda b: b.at),
            service,
            by_class,
            dict(counts),
            self.excused,
            {name: round(value, 3) for name, value in sorted(self.margins.items())},
        )

    def _margin(self, name: str, value: float) -> None:
        self.margins[name] = max(self.margins[name], value)

    def _held(self, engine: str, instance: str, since: int, until: int) -> int:
        """For how long the machine and the links between the two held things up; never more than passed."""
        held = self.waits.held(since, until) + self.links.held(engine, instance, since, until)
        return min(held, max(0, until - since))

    def _killed_at(self, since: int, until: int, slept: int = 0) -> bool:
        """Whether a kill explains an end seen at ``until`` by a client that slept so long between its reads."""
        return any(
            since <= k.gone + self.terms.order_slack + self.waits.held(k.at, since)  # a killed process may die late
            and k.at <= until <= k.gone + self.terms.kill_window + slept
            for k in self.kills
        )

    # Rule 1.

    def answers(self) -> Iterator[Breach]:
        """One final answer in time, nothing after it."""
        for s in self.seen:
            yield from self._answer(s)

    def _answer(self, s: Seen) -> Iterator[Breach]:
        if s.ended in ("cut", "refused connection", "no answer"):
            if s.ended == "refused connection" or self._killed_at(s.sent, s.end, s.slept):
                self.excused += 1
            else:
                yield Breach(1, s.request, s.end, f"{s.ended} without a final answer ({s.why}; {s.how}, {s.cls})")
            return
        if s.ended == "left":
            return
        if s.ended == "garbled" or s.done_events > 1 or s.error_events > 1 or (s.done_events and s.error_events):
            yield Breach(
                1,
                s.request,
                s.end,
                f"no single final answer: {s.done_events} ends, {s.error_events} errors ({s.ended}: {s.why})",
            )
        if s.after_end:
            yield Breach(1, s.request, s.end, f"{s.after_end} bytes after the final answer")
        answered = s.head or s.end
        if s.behaviour != "slow":
            held = self._held("", s.instance, s.sent, answered)
            self._margin("1 answer in time", (answered - s.sent - held) / max(s.deadline - s.sent, 1))
            if answered > s.deadline + self.terms.slack + held:
                late = (answered - s.deadline) / MS
                yield Breach(1, s.request, answered, f"answered {late:.0f} ms after the client's time ran out")
        for attempt in self.by_request.get(s.request, ()):
            held = self._held(attempt.engine, attempt.instance, s.end, attempt.begin)
            if attempt.begin > s.end + self.terms.order_slack + held:
                late = (attempt.begin - s.end) / MS
                yield Breach(
                    1,
                    s.request,
                    attempt.begin,
                    f"attempt {attempt.number} reached {attempt.engine} {late:.0f} ms after the final answer",
                )

    # Rule 2.

    def effects(self) -> Iterator[Breach]:
        """No overlapping attempts, no effect twice."""
        cls_of = {s.request: s.cls for s in self.seen if s.request}
        refused = {s.request: s for s in self.seen if s.ended == "refused" and s.request}
        for request, made in self.by_request.items():
            for before, after in zip(made, made[1:], strict=False):
                end = before.end or self.until
                hidden = self.links.held(before.engine, before.instance, after.begin, end)  # that it was left
                if self._came_late(before, after) or (hidden and end - after.begin <= hidden + self.terms.order_slack):
                    continue
                if not before.end or after.begin < before.end:
                    how = "never ended" if not before.end else f"ended {(before.end - after.begin) / MS:.1f} ms later"
                    yield Breach(
                        2,
                        request,
                        after.begin,
                        f"attempt {after.number} began at {after.engine} while attempt "
                        f"{before.number} at {before.engine} was out ({how})",
                    )
            effect = self.traffic[cls_of[request]].effect if request in cls_of else "safe"
            if effect == "unsafe":
                maybe = [a for a in made if a.job != "read" and not (a.how == "done" and a.status in _REFUSED)]
                writes = [a for a in made if a.job != "read"]
                if maybe and any(a.begin > maybe[0].begin for a in writes):
                    yield Breach(
                        2,
                        request,
                        maybe[0].begin,
                        f"an unsafe request was sent again though it may have run at {maybe[0].engine}",
                    )
                if maybe and request in refused:
                    yield Breach(
                        2,
                        request,
                        maybe[0].begin,
                        f"an unsafe request that may have run at {maybe[0].engine} "
                        "was refused, which tells that a retry is harmless",
                    )
        for record in self.log:
            if record["what"] == "request" and record["job"] in ("write", "whole"):
                cls = cls_of.get(record["id"])
                if cls and self.traffic[cls].effect == "keyed" and not record.get("key"):
                    yield Breach(
                        2, record["id"], record["t"], f"a keyed request reached {record['engine']} without its key"
                    )

    def _came_late(self, before: Attempt, after: Attempt) -> bool:
        """Whether ``after`` was sent before ``before``, and a link kept it all the time since that one began."""
        passed = after.begin - before.begin
        return int(after.number) < int(before.number) and passed <= self.terms.order_slack + self.links.held(
            after.engine, after.instance, before.begin, after.begin
        )

    # Rule 3.

    def drains(self) -> Iterator[Breach]:
        """Nothing new to an engine that an instance was told is leaving."""
        told: dict[tuple[str, str], int] = {}
        known: dict[str, set[str]] = defaultdict(set)
        for record in self.log:
            what = record["what"]
            if what == "told":
                instance, up = record["instance"], set(record["up"])
                gone = (known[instance] | set(record["leaving"])) - up
                for engine in gone:
                    told.setdefault((instance, engine), record["t"])
                for engine in up:
                    told.pop((instance, engine), None)
                known[instance] |= up | gone
            elif what == "request" and record["job"] in (*_ATTEMPTS, "hold"):
                since = told.get((record["instance"], record["engine"]))
                if since is None:
                    continue
                late = record["t"] - since - self._held(record["engine"], record["instance"], since, record["t"])
                self._margin("3 drain grace", late / self.terms.grace)
                if late > self.terms.grace:
                    yield Breach(
                        3,
                        record["id"],
                        record["t"],
                        f"{record['job']} reached {record['engine']} {late / MS:.0f} ms "
                        f"after {record['instance']} was told that it leaves",
                    )

    # Rule 4.

    def cold(self) -> Iterator[Breach]:
        """No cold engine is pushed over."""
        up: dict[str, Record] = {}
        window: dict[str, list[tuple[int, float]]] = defaultdict(list)
        for record in self.log:
            what, engine = record["what"], record.get("engine", "")
            if what == "up":
                up[engine] = record
                window[engine].clear()
            elif what == "fell":
                yield Breach(4, "", record["t"], f"{engine} fell over")
            elif what == "work" and (started := up.get(engine)) and started["cold"]:
                yield from self._pressed(record, started, window[engine])

    def _pressed(self, record: Record, started: Record, seen: list[tuple[int, float]]) -> Iterator[Breach]:
        span = int(started["cold_window_ms"] * MS)
        age = record["t"] - started["started"]
        share = started["cold_share"] + (1.0 - started["cold_share"]) * age / (started["warm_ms"] * MS)
        if share >= 1.0:
            return
        seen.append((record["t"], record["work"]))
        while seen and seen[0][0] <= record["t"] - span:
            seen.pop(0)
        if age < span:
            return
        most = started["cold_multiple"] * share * started["capacity"] * span / SECOND
        pressure = sum(work for _, work in seen) / most
        self._margin("4 cold budget", pressure)
        if pressure > 1.0:
            yield Breach(
                4,
                record["id"],
                record["t"],
                f"{record['engine']} was cold (share {share:.2f}) and got {pressure:.2f} times its budget",
            )

    # Rule 5.

    def pinned(self) -> Iterator[Breach]:
        """States and places end in time while no attempt is out."""
        open_held: dict[tuple[str, str, str], int] = {}
        ends = {"taken": "state", "state lost": "state", "let go": ""}
        instance_of = {(a.request, a.engine): a.instance for a in self.attempts}
        instance_of |= {(r["id"], r["engine"]): r["instance"] for r in self.log if r["what"] == "place"}
        held: list[tuple[str, str, str, int, int, int]] = []
        for record in self.log:
            what = record["what"]
            if what in ("state", "place"):
                key = (what, record["engine"], record["id"])
                open_held.setdefault(key, record["t"])
            elif what in ends or (what == "request" and record["job"] == "release"):
                # A release has done its duty when it reaches the engine's socket, also where that one hangs.
                kind = ends.get(what) or ("place" if record.get("place") else "state")
                engine = record.get("at") or record["engine"]
                since = open_held.pop((kind, engine, record["id"]), None)
                if since is not None:
                    held.append((kind, engine, record["id"], since, record["t"], int(record.get("n") or -1)))
            elif what in ("down", "fell"):
                for key in [k for k in open_held if k[1] == record["engine"]]:
                    held.append((*key, open_held.pop(key), record["t"], -1))
        held += [(*key, since, max(since, self.until), -1) for key, since in open_held.items()]
        for kind, engine, request, since, until, number in held:
            instance = instance_of.get((request, engine), "")
            if self._owner_died(instance, since, until):
                self.excused += 1
                continue
            for begin, end, tries in self._idle(request, since, until, number):
                # Each try that found nobody at home (a refused connection shows on no socket) ended the wait anew.
                held_up = self._held(engine, instance, begin, end)
                if tries:  # nobody knows where they went: any engine out of reach may be it
                    held_up = max(held_up, self.links.held_anywhere(instance, begin, end))
                allowed = self.terms.release_within * (1 + tries) + self.terms.slack + held_up
                self._margin("5 held", (end - begin) / allowed)
                if end - begin > allowed:
                    yield Breach(
                        5,
                        request,
                        end,
                        f"a {kind} at {engine} was held {(end - begin) / MS:.0f} ms with no "
                        f"attempt out ({tries} tries unseen)",
                    )

    def _owner_died(self, instance: str | None, since: int, until: int) -> bool:
        return any(
            (not instance or k.instance == instance) and since - self.terms.slack <= k.gone and k.at <= until
            for k in self.kills
        )

    def _idle(self, request: str, since: int, until: int, number: int) -> Iterator[tuple[int, int, int]]:
        """The times in a span in which no attempt of the request was out, and how many tries fell into each unseen.

        ``number`` is the last attempt by the word of what ended the span, -1 where that tells none.
        """
        free_from, last = since, -1
        for attempt in self.by_request.get(request, ()):
            end = self.links.heard(attempt.engine, attempt.instance, attempt.end or until)  # for its node it was out
            begin = self.links.sent(attempt.engine, attempt.instance, attempt.begin, self.terms.order_slack)
            if begin >= until:
                break
            if end > since:
                if begin > free_from:
                    yield free_from, begin, max(0, int(attempt.number) - last - 1)
                free_from = max(free_from, end)
            last = int(attempt.number)
        if until > free_from:
            yield free_from, until, max(0, number - last)

    # Service.

    def service(self) -> tuple[float, dict[str, float]]:
        """Worth answered in time over worth asked; a client's retries count with its first try."""
        asked: dict[str, float] = defaultdict(float)
        got: dict[str, float] = defaultdict(float)
        tries: dict[int, list[Seen]] = defaultdict(list)
        for s in self.seen:
            tries[s.number].append(s)
        for made in tries.values():
            if made[0].behaviour != "normal":
                continue
            traffic = self.traffic[made[0].cls]
            asked[traffic.name] += traffic.worth
            got[traffic.name] += max(self._worth(s, traffic, made[0].aim) for s in made)
        by_class = {name: got[name] / worth for name, worth in asked.items() if worth}
        return sum(got.values()) / max(sum(asked.values()), 1e-9), by_class

    @staticmethod
    def _worth(s: Seen, traffic: Traffic, aim: int) -> float:
        if s.ended != "served":
            return 0.0
        return traffic.worth if s.first <= aim else traffic.worth * traffic.late_worth
