"""One engine without I/O: jobs and time in, what to send out.

A reader reads prompts one after the other at ``read_rate``, from where the text it has kept ends; the read state then
waits in its memory.  A writer has ``slots`` streams; a step takes longer the more of them run; a state is fetched
first.  Both have a bounded queue.  A mixed engine does all.  Step times vary by a seeded few per cent.

Cold start.  An engine that has just started can do ``cold_share`` of its capacity, growing to all of it in ``warm_ms``.
Sent more than ``cold_multiple`` times what it can do now, over ``cold_window_ms``, it falls over and stays down.

Faults act on the same paths: ``slow`` divides its speed, ``full`` refuses at once, ``throttle`` refuses one class after
a while, ``lost`` does the work and loses the answer, ``errors`` fails at once, ``half`` breaks a stream within an
event, ``flush`` forgets kept text, ``hang`` and ``pause`` stop its time.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from stonetrack.api import LoadReport, Role
from stonetrack.emulator import answers

MS = 1_000_000
SECOND = 1_000 * MS
WARM = -1  # a start long ago
MOST_RELEASED = 4_096  # releases remembered for reads that are still under way or come later


class Spec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What an engine is; rates in tokens a second."""

    name: str
    role: Role
    cell: int | str = 0
    zone: int | str = 0
    slots: int = 32
    queue: int = 32
    memory_tokens: int = 200_000
    read_rate: float = 20_000.0
    read_ms: float = 2.0  # fixed part of a read
    token_ms: float = 10.0
    crowding: float = 1.0  # a full engine's steps take 1 + crowding times as long
    fetch_rate: float = 400_000.0
    answer_least: int = 8
    answer_most: int = 32
    cold_share: float = 0.25
    warm_ms: float = 12_000.0
    cold_multiple: float = 3.0
    cold_window_ms: float = 3_000.0
    jitter: float = 0.05

    @property
    def capacity(self) -> float:
        """Work a second when warm: tokens read, or streams written."""
        if self.role is Role.DECODE:
            mean = (self.answer_least + self.answer_most) / 2.0
            return self.slots * 1000.0 / (mean * self.token_ms * (1.0 + self.crowding))
        return self.read_rate


class Ran(Enum):
    """What a job is."""

    READ = "read"
    WRITE = "write"
    WHOLE = "whole"


@dataclass
class Job:
    """One request at the engine."""

    key: int  # of the connection
    request: str
    ran: Ran
    body: dict[str, Any]
    prompt: int
    cached: int = 0
    state_at: str = ""  # engine where the state waits
    answer: answers.Answer | None = None
    stage: str = "queued"
    left: bool = False
    number: int = 0  # of the attempt
    awaits: bool = False  # it is counted as waiting for the state

    @property
    def work(self) -> int:
        """Tokens to read."""
        return max(self.prompt - self.cached, 16)


# What goes out.


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole response."""

    key: int
    status: int
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Events:
    """Events of a stream; ``first`` opens it, ``last`` ends it."""

    key: int
    data: tuple[bytes, ...]
    first: bool
    last: bool


@dataclass(frozen=True, slots=True)
class Cut:
    """Close the connection with a reset, after these bytes of an event."""

    key: int
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Note:
    """A record for the tap."""

    what: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Fell:
    """The engine falls over."""


Out = Reply | Events | Cut | Note | Fell


@dataclass
class Faults:
    """Trouble in force, each until a time in nanoseconds."""

    slow: float = 1.0
    slow_until: int = 0
    full_until: int = 0
    throttle: str = ""
    throttle_until: int = 0
    throttle_ms: float = 300.0
    lost: float = 0.0
    lost_until: int = 0
    errors: float = 0.0
    errors_until: int = 0
    halves: int = 0  # streams yet to be broken within an event
    frozen_until: int = 0


@dataclass
class _Due:
    heap: list[tuple[int, int, Callable[[int], list[Out]]]] = field(default_factory=list)
    count: int = 0

    def at(self, time: int, call: Callable[[int], list[Out]]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (time, self.count, call))


class Engine:
    """See the module.  ``fleet`` finds another engine by name, to fetch a state from."""

    def __init__(self, spec: Spec, seed: int, now: int, started: int, fleet: Callable[[str], Engine | None]) -> None:
        self.spec, self.seed, self.started, self.fleet = spec, seed, started, fleet
        self.random = random.Random(answers.mix(seed, spec.name, started))
        self.faults = Faults()
        self.kept: OrderedDict[str, int] = OrderedDict()  # text kept, by its key: tokens
        self.states: dict[str, tuple[int, int]] = {}  # read states waiting, by request: tokens, attempt
        self.places: dict[str, int] = {}  # places held
        self.awaited: Counter[str] = Counter()  # by request: attempts that have arrived and wait for its state here
        self.deferred: set[str] = set()  # awaited states that were released: they go if nobody fetches them
        self.released: OrderedDict[str, int] = OrderedDict()  # by request: the last attempt that was let go of
        self.waiting: deque[Job] = deque()
        self.jobs: dict[int, Job] = {}
        self.busy_until = now
        self.reading: Job | None = None
        self.streams = 0
        self._due = _Due()
        self._arrived: deque[tuple[int, float]] = deque()  # work, for the cold budget
        self.fallen = False

    # Time.

    def next_due(self) -> int | None:
        """When :meth:`tick` is needed next."""
        if not self._due.heap:
            return None
        return max(self._due.heap[0][0], self.faults.frozen_until)

    def tick(self, now: int) -> list[Out]:
        """All that is due."""
        out: list[Out] = []
        while self._due.heap and self._due.heap[0][0] <= now and now >= self.faults.frozen_until:
            _, _, call = heapq.heappop(self._due.heap)
            out += call(now)
        return out

    def capacity_share(self, now: int) -> float:
        """Share of its capacity that it has now."""
        if self.started == WARM or not self.spec.warm_ms:
            return 1.0
        age = (now - self.started) / MS / self.spec.warm_ms
        return min(1.0, self.spec.cold_share + (1.0 - self.spec.cold_share) * max(age, 0.0))

    def _pace(self, now: int) -> float:
        """How much longer all takes now."""
        slow = self.faults.slow if now < self.faults.slow_until else 1.0
        wobble = 1.0 + self.spec.jitter * (2.0 * self.random.random() - 1.0)
        return slow * wobble / self.capacity_share(now)

    # Load.

    @property
    def memory_used(self) -> int:
        """Tokens held: states and streams; kept text makes room for them."""
        return sum(tokens for tokens, _ in self.states.values()) + sum(
            j.prompt for j in self.jobs.values() if j.stage in ("fetching", "streaming")
        )

    def report(self) -> LoadReport:
        """Its own load report."""
        running = self.streams + (self.reading is not None) + len(self.states)
        tokens = sum(job.work for job in self.waiting if job.ran is not Ran.WRITE) + (
            self.reading.work if self.reading else 0
        )
        return LoadReport(
            float(running + len(self.waiting)),
            float(len(self.waiting)),
            min(1.0, self.memory_used / self.spec.memory_tokens),
            float(tokens),
        )

    # Requests.

    def arrive(self, now: int, key: int, request: str, body: dict[str, Any], place: bool, number: int = 0) -> list[Out]:
        """A chat request."""
        params = body.get("kv_transfer_params")
        params = params if isinstance(params, dict) else {}
        prompt = answers.prompt_tokens(body.get("messages"), body.get("tools"))
        if params.get("do_remote_decode"):
            ran = Ran.READ
        elif params.get("do_remote_prefill"):
            ran = Ran.WRITE
        else:
            ran = Ran.WHOLE
        job = Job(key, request, ran, body, prompt, state_at=str(params.get("remote_engine_id") or ""), number=number)
        if ran is not Ran.WRITE:
            job.cached = self._cached(body, prompt)
        out: list[Out] = [
            Note(
                "work",
                {
                    "id": request,
                    "work": self._work(job),
                    "capacity": self.spec.capacity,
                    "share": round(self.capacity_share(now), 4),
                },
            )
        ]
        if self._overloaded(now, self._work(job)):
            return [*out, Fell()]
        refusal = self._refusal(now, job)
        if refusal is not None:
            return out + refusal
        if place:
            self.places.pop(request, None)
        if self.spec.role is Role.PREFILL and ran is not Ran.READ:
            return [*out, _error(key, 400, "this engine only reads prompts", "wrong_role")]
        if self.spec.role is Role.DECODE and ran is not Ran.WRITE:
            return [*out, _error(key, 409, "no state to fetch, and this engine reads no prompts", "kv_state_missing")]
        if ran is Ran.WRITE:
            other = self.fleet(job.state_at)
            if other is None or request not in other.states:
                return [*out, _error(key, 409, f"no state at {job.state_at!r}", "kv_state_missing")]
        if self._let_go(job):
            return [*out, _error(key, 409, "this attempt was released", "released")]
        if job.prompt > self.spec.memory_tokens:
            return [
                *out,
                _error(key, 400, f"the prompt is over {self.spec.memory_tokens} tokens", "context_length_exceeded"),
            ]
        if len(self.waiting) >= self.spec.queue:
            return [*out, _error(key, 503, "the queue is full", "full")]
        self.jobs[key] = job
        if ran is Ran.WRITE:
            self._await(job)
        self.waiting.append(job)
        return out + self._next(now)

    def _work(self, job: Job) -> float:
        return 1.0 if self.spec.role is Role.DECODE else float(job.work if job.ran is not Ran.WRITE else 0)

    def _overloaded(self, now: int, work: float) -> bool:
        """Whether a cold engine is pushed over by what has come in its window."""
        window = int(self.spec.cold_window_ms * MS)
        self._arrived.append((now, work))
        while self._arrived and self._arrived[0][0] <= now - window:
            self._arrived.popleft()
        if self.capacity_share(now) >= 1.0 or now - self.started < window:
            return False
        most = self.spec.cold_multiple * self.capacity_share(now) * self.spec.capacity * window / SECOND
        self.fallen = sum(w for _, w in self._arrived) > most
        return self.fallen

    def _refusal(self, now: int, job: Job) -> list[Out] | None:
        faults = self.faults
        if now < faults.full_until:
            return [_error(job.key, 503, "full", "full")]
        if now < faults.errors_until and self.random.random() < faults.errors:
            return [_error(job.key, 500, "internal error", "internal")]
        metadata = job.body.get("metadata")
        named = metadata.get("class") if isinstance(metadata, dict) else None
        if now < faults.throttle_until and named == faults.throttle:
            self.jobs[job.key] = job
            job.stage = "throttled"
            self._due.at(now + int(faults.throttle_ms * MS), lambda then: self._throttled(job))
            return []
        return None

    def _throttled(self, job: Job) -> list[Out]:
        if self.jobs.pop(job.key, None) is None or job.left:
            return []
        return [_error(job.key, 429, "this class is held back", "rate_limited")]

    def gone(self, now: int, key: int) -> list[Out]:
        """The peer of a connection has left: waiting work is dropped, a stream ends, a read under way goes on."""
        job = self.jobs.get(key)
        if job is None:
            return []
        job.left = True
        self._await_no_more(job)
        if job.stage == "queued" and job in self.waiting:
            self.waiting.remove(job)
        elif job.stage in ("fetching", "streaming"):
            self.streams -= 1
        elif job.stage == "reading":
            return []  # its state is not kept: nobody knows of it
        self.jobs.pop(key, None)
        return self._next(now)

    def hold(self, request: str) -> bool:
        """Hold a place, where one is free at once."""
        if self.streams + len(self.places) >= self.spec.slots or self.waiting:
            return False
        self.places[request] = 1
        return True

    def release(self, request: str, place: bool, number: int | None) -> bool:
        """Let go of a state or a place, unless a later attempt brought it about; whether there was one.

        A state that a decode attempt waits for stays until that attempt has ended (docs/node.md).  A release that
        names its attempt holds for reads of it that are still under way or come later: it takes
        another connection than the read, and may overtake the end of that one.
        """
        if place:
            return self.places.pop(request, None) is not None
        if number is not None:
            self.released[request] = max(number, self.released.pop(request, -1))
            while len(self.released) > MOST_RELEASED:
                self.released.popitem(last=False)
        if number is not None and self.states.get(request, (0, number + 1))[1] > number:
            return False
        if self.awaited[request] and request in self.states:
            self.deferred.add(request)
            return False
        return self.states.pop(request, None) is not None

    def _await(self, job: Job) -> None:
        """A decode attempt has come for a state elsewhere: a release leaves that alone until the attempt has ended."""
        if (other := self.fleet(job.state_at)) is not None:
            other.awaited[job.request] += 1
            job.awaits = True

    def _await_no_more(self, job: Job) -> None:
        if not job.awaits:
            return
        job.awaits = False
        if (other := self.fleet(job.state_at)) is None:
            return
        other.awaited[job.request] -= 1
        if other.awaited[job.request] <= 0:
            del other.awaited[job.request]
            if job.request in other.deferred:
                other.deferred.discard(job.request)
                other.states.pop(job.request, None)

    def _let_go(self, job: Job) -> bool:
        return job.ran is Ran.READ and self.released.get(job.request, -1) >= job.number

    # Reading.

    def _keys(self, body: dict[str, Any]) -> list[tuple[str, int]]:
        """Prefixes of a prompt, message by message: key and tokens covered."""
        keys, done = [], answers.mix(body.get("tools"))
        text = 0
        for message in body.get("messages") or ():
            encoded = msgspec.json.encode(message)
            text += len(encoded)
            done = answers.mix(done, encoded)
            keys.append((str(done), text // 4))
        return keys

    def _cached(self, body: dict[str, Any], prompt: int) -> int:
        return max((min(tokens, prompt) for key, tokens in self._keys(body) if key in self.kept), default=0)

    def _keep(self, body: dict[str, Any]) -> None:
        for key, tokens in self._keys(body):
            self.kept.pop(key, None)
            self.kept[key] = tokens
        room = max(self.spec.memory_tokens - self.memory_used, 0)
        held = sum(self.kept.values())
        while self.kept and held > room:
            held -= self.kept.popitem(last=False)[1]

    def flush(self) -> None:
        """Forget all kept text."""
        self.kept.clear()

    def _next(self, now: int) -> list[Out]:
        """Begin what can begin."""
        out: list[Out] = []
        for job in list(self.waiting):
            if job.ran is Ran.WRITE:
                if self.streams >= self.spec.slots:
                    continue
                self.waiting.remove(job)
                out += self._fetch(now, job)
            elif self.reading is None and self.memory_used + job.prompt <= self.spec.memory_tokens:
                self.waiting.remove(job)
                self._read(now, job)
        return out

    def _read(self, now: int, job: Job) -> None:
        job.stage, self.reading = "reading", job
        job.cached = self._cached(job.body, job.prompt)
        took = (self.spec.read_ms / 1000.0 + job.work / self.spec.read_rate) * self._pace(now)
        self._due.at(now + int(took * SECOND), lambda then: self._read_done(then, job))

    def _read_done(self, now: int, job: Job) -> list[Out]:
        self.reading = None
        out: list[Out] = []
        self._keep(job.body)
        if job.left:
            self.jobs.pop(job.key, None)
        elif job.ran is Ran.WHOLE:
            out += self._begin(now, job, counted=False)
        elif self._let_go(job):
            self.jobs.pop(job.key, None)
            out.append(_error(job.key, 409, "this attempt was released", "released"))
        else:
            self.jobs.pop(job.key, None)
            self.states[job.request] = (job.prompt, job.number)
            out.append(Note("state", {"id": job.request}))
            answer = answers.make(self.seed, job.request, job.body, job.prompt, job.cached, 1, 1)
            out += self._answer(
                now,
                job,
                {
                    "id": f"engine-{job.request}",
                    "object": "chat.completion",
                    "created": 0,
                    "model": answer.model,
                    "choices": [
                        {
                            "index": 0,
                            "message": {"role": "assistant", "content": answer.text()},
                            "finish_reason": "length",
                        }
                    ],
                    "usage": answer.usage(),
                    "kv_transfer_params": {
                        "do_remote_decode": False,
                        "do_remote_prefill": True,
                        "remote_engine_id": self.spec.name,
                        "remote_block_ids": [answers.mix(job.request) % 1_000],
                        "remote_host": "127.0.0.1",
                        "remote_port": 0,
                    },
                },
            )
        return out + self._next(now)

    def _answer(self, now: int, job: Job, body: dict[str, Any]) -> list[Out]:
        if now < self.faults.lost_until and self.random.random() < self.faults.lost:
            return [Cut(job.key)]
        return [Reply(job.key, 200, body)]

    # Writing.

    def _fetch(self, now: int, job: Job) -> list[Out]:
        other = self.fleet(job.state_at)
        if other is None or job.request not in other.states:
            self._await_no_more(job)
            self.jobs.pop(job.key, None)
            return [_error(job.key, 409, f"the state at {job.state_at!r} is gone", "kv_state_missing")]
        job.stage = "fetching"
        self.streams += 1
        took = job.prompt / self.spec.fetch_rate * self._pace(now)
        self._due.at(now + int(took * SECOND), lambda then: self._fetched(then, job))
        return []

    def _fetched(self, now: int, job: Job) -> list[Out]:
        if job.left:
            return []
        other = self.fleet(job.state_at)
        fetched = other is not None and other.states.pop(job.request, None) is not None
        self._await_no_more(job)
        if not fetched:
            self.streams -= 1
            self.jobs.pop(job.key, None)
            return [
                _error(job.key, 409, f"the state at {job.state_at!r} is gone", "kv_state_missing"),
                *self._next(now),
            ]
        return [Note("taken", {"id": job.request, "at": job.state_at}), *self._begin(now, job, counted=True)]

    def _begin(self, now: int, job: Job, counted: bool) -> list[Out]:
        self.streams += not counted
        job.stage = "streaming"
        job.answer = answers.make(
            self.seed, job.request, job.body, job.prompt, job.cached, self.spec.answer_least, self.spec.answer_most
        )
        self._due.at(now + self._step_time(now), lambda then: self._step(then, job))
        return []

    def _step_time(self, now: int) -> int:
        crowd = 1.0 + self.spec.crowding * min(self.streams / self.spec.slots, 1.0)
        return int(self.spec.token_ms * MS * crowd * self._pace(now))

    def _step(self, now: int, job: Job) -> list[Out]:
        if job.left or job.answer is None:
            return []
        first = job.answer.place == 0
        events = job.answer.step()
        last = events[-1] == b"[DONE]"
        if first and now < self.faults.lost_until and self.random.random() < self.faults.lost:
            return [Cut(job.key), *self._stream_done(now, job)]
        if self.faults.halves and not first:
            self.faults.halves -= 1
            whole = b"data: " + events[0]
            return [Cut(job.key, whole[: len(whole) // 2]), *self._stream_done(now, job)]
        out: list[Out] = [Events(job.key, tuple(events), first, last)]
        if last:
            return out + self._stream_done(now, job)
        self._due.at(now + self._step_time(now), lambda then: self._step(then, job))
        return out

    def _stream_done(self, now: int, job: Job) -> list[Out]:
        self.streams -= 1
        self.jobs.pop(job.key, None)
        return self._next(now)


def _error(key: int, status: int, message: str, code: str) -> Reply:
    return Reply(key, status, {"error": {"message": message, "type": "engine_error", "param": None, "code": code}})
