"""One emulated engine without I/O: jobs and time in, outputs to send.

A prefill engine processes prompts one after the other at ``read_rate``, skipping cached prefixes; the resulting state
is held in its memory.  A decode engine has ``slots`` streams; a step takes longer the more of them run; the state is
fetched first.  Both have a bounded queue.  A mixed engine does both.  Step times have a seeded jitter.

Slow start: an engine that has just started has ``cold_share`` of its capacity, growing to all of it in ``warm_ms``.
If it receives more than ``cold_multiple`` times its current capacity over ``cold_window_ms``, it crashes.

Faults act on the same paths: ``slow`` divides the speed, ``full`` rejects at once, ``throttle`` rejects one class after
a delay, ``lost`` does the work and loses the response, ``errors`` fails at once, ``half`` breaks a stream within an
event, ``flush`` clears the prefix cache, ``hang`` and ``pause`` freeze the engine.
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
ALWAYS_WARM = -1  # start time of an engine without slow start
MAX_RELEASED_ATTEMPTS = 4_096  # remembered for prefills that are running or arrive later


class Spec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Parameters of an engine; rates in tokens per second."""

    name: str
    role: Role
    cell: int | str = 0
    zone: int | str = 0
    slots: int = 32
    queue: int = 32
    memory_tokens: int = 200_000
    read_rate: float = 20_000.0
    read_ms: float = 2.0  # fixed part of a prefill
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
        """Work per second when warm: prefill tokens, or decoded streams."""
        if self.role is Role.DECODE:
            mean = (self.answer_least + self.answer_most) / 2.0
            return self.slots * 1000.0 / (mean * self.token_ms * (1.0 + self.crowding))
        return self.read_rate


class JobKind(Enum):
    """The part of a request that a job covers."""

    PREFILL = "read"
    DECODE = "write"
    COMBINED = "whole"


@dataclass
class Job:
    """One request at the engine."""

    key: int  # identifies the connection
    request: str
    kind: JobKind
    body: dict[str, Any]
    prompt: int
    cached: int = 0
    state_engine: str = ""  # engine that holds the state
    answer: answers.Answer | None = None
    stage: str = "queued"
    client_gone: bool = False
    attempt: int = 0
    counted_as_awaiting: bool = False  # included in awaiting_decode of the prefill engine

    @property
    def prefill_tokens(self) -> int:
        """Tokens to prefill, cached ones excluded."""
        return max(self.prompt - self.cached, 16)


# Outputs.


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole response."""

    key: int
    status: int
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class StreamEvents:
    """Events of a stream; ``first`` opens it, ``last`` ends it."""

    key: int
    data: tuple[bytes, ...]
    first: bool
    last: bool


@dataclass(frozen=True, slots=True)
class ResetConnection:
    """Reset the connection, after sending these bytes of an event."""

    key: int
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class TapEntry:
    """A record for the tap."""

    what: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class EngineCrashed:
    """The engine crashes."""


Output = Reply | StreamEvents | ResetConnection | TapEntry | EngineCrashed


@dataclass
class Faults:
    """Active faults, each until a time in nanoseconds."""

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
    truncations: int = 0  # number of streams still to be truncated within an event
    frozen_until: int = 0


@dataclass
class _TimerQueue:
    heap: list[tuple[int, int, Callable[[int], list[Output]]]] = field(default_factory=list)
    count: int = 0

    def schedule(self, time: int, call: Callable[[int], list[Output]]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (time, self.count, call))


class Engine:
    """One engine; ``find_engine`` looks up another engine by name, to fetch a state from it."""

    def __init__(
        self, spec: Spec, seed: int, now: int, started: int, find_engine: Callable[[str], Engine | None]
    ) -> None:
        self.spec, self.seed, self.started, self.find_engine = spec, seed, started, find_engine
        self.rng = random.Random(answers.stable_hash(seed, spec.name, started))
        self.faults = Faults()
        self.prefix_cache: OrderedDict[str, int] = OrderedDict()  # tokens by prefix key
        self.held_states: dict[str, tuple[int, int]] = {}  # by request: tokens, attempt
        self.reservations: dict[str, int] = {}  # by request
        self.awaiting_decode: Counter[str] = Counter()  # by request: decode attempts awaiting its state
        self.deferred_releases: set[str] = set()  # released once no decode attempt awaits them
        self.released_attempts: OrderedDict[str, int] = OrderedDict()  # by request: the last released attempt
        self.queued_jobs: deque[Job] = deque()
        self.jobs: dict[int, Job] = {}
        self.busy_until = now
        self.prefill_job: Job | None = None
        self.active_streams = 0
        self._timers = _TimerQueue()
        self._recent_arrivals: deque[tuple[int, float]] = deque()  # time and work, for the slow-start budget
        self.crashed = False

    # Time.

    def next_due(self) -> int | None:
        """The next time at which :meth:`tick` has to be called; None if there is none."""
        if not self._timers.heap:
            return None
        return max(self._timers.heap[0][0], self.faults.frozen_until)

    def tick(self, now: int) -> list[Output]:
        """Run all timers that are due."""
        out: list[Output] = []
        while self._timers.heap and self._timers.heap[0][0] <= now and now >= self.faults.frozen_until:
            _, _, call = heapq.heappop(self._timers.heap)
            out += call(now)
        return out

    def capacity_share(self, now: int) -> float:
        """The share of the capacity that is available now."""
        if self.started == ALWAYS_WARM or not self.spec.warm_ms:
            return 1.0
        age = (now - self.started) / MS / self.spec.warm_ms
        return min(1.0, self.spec.cold_share + (1.0 - self.spec.cold_share) * max(age, 0.0))

    def _duration_factor(self, now: int) -> float:
        """The factor by which durations are longer now."""
        slow = self.faults.slow if now < self.faults.slow_until else 1.0
        jitter_factor = 1.0 + self.spec.jitter * (2.0 * self.rng.random() - 1.0)
        return slow * jitter_factor / self.capacity_share(now)

    # Load.

    @property
    def memory_used(self) -> int:
        """Tokens of states and streams; cached prefixes are evicted to make room for them."""
        return sum(tokens for tokens, _ in self.held_states.values()) + sum(
            j.prompt for j in self.jobs.values() if j.stage in ("fetching", "streaming")
        )

    def load_report(self) -> LoadReport:
        """The engine's load report."""
        running = self.active_streams + (self.prefill_job is not None) + len(self.held_states)
        tokens = sum(job.prefill_tokens for job in self.queued_jobs if job.kind is not JobKind.DECODE) + (
            self.prefill_job.prefill_tokens if self.prefill_job else 0
        )
        return LoadReport(
            float(running + len(self.queued_jobs)),
            float(len(self.queued_jobs)),
            min(1.0, self.memory_used / self.spec.memory_tokens),
            float(tokens),
        )

    # Requests.

    def submit(
        self, now: int, key: int, request: str, body: dict[str, Any], place: bool, attempt: int = 0
    ) -> list[Output]:
        """Accept a chat request."""
        params = body.get("kv_transfer_params")
        params = params if isinstance(params, dict) else {}
        prompt = answers.prompt_tokens(body.get("messages"), body.get("tools"))
        if params.get("do_remote_decode"):
            kind = JobKind.PREFILL
        elif params.get("do_remote_prefill"):
            kind = JobKind.DECODE
        else:
            kind = JobKind.COMBINED
        job = Job(
            key, request, kind, body, prompt, state_engine=str(params.get("remote_engine_id") or ""), attempt=attempt
        )
        if kind is not JobKind.DECODE:
            job.cached = self._cached_tokens(body, prompt)
        out: list[Output] = [
            TapEntry(
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
            return [*out, EngineCrashed()]
        fault_response = self._fault_response(now, job)
        if fault_response is not None:
            return out + fault_response
        if place:
            self.reservations.pop(request, None)
        if self.spec.role is Role.PREFILL and kind is not JobKind.PREFILL:
            return [*out, _error(key, 400, "this engine only reads prompts", "wrong_role")]
        if self.spec.role is Role.DECODE and kind is not JobKind.DECODE:
            return [*out, _error(key, 409, "no state to fetch, and this engine reads no prompts", "kv_state_missing")]
        if kind is JobKind.DECODE:
            prefill_engine = self.find_engine(job.state_engine)
            if prefill_engine is None or request not in prefill_engine.held_states:
                return [*out, _error(key, 409, f"no state at {job.state_engine!r}", "kv_state_missing")]
        if self._is_released(job):
            return [*out, _error(key, 409, "this attempt was released", "released")]
        if job.prompt > self.spec.memory_tokens:
            return [
                *out,
                _error(key, 400, f"the prompt is over {self.spec.memory_tokens} tokens", "context_length_exceeded"),
            ]
        if len(self.queued_jobs) >= self.spec.queue:
            return [*out, _error(key, 503, "the queue is full", "full")]
        self.jobs[key] = job
        if kind is JobKind.DECODE:
            self._count_awaiting(job)
        self.queued_jobs.append(job)
        return out + self._start_jobs(now)

    def _work(self, job: Job) -> float:
        return (
            1.0 if self.spec.role is Role.DECODE else float(job.prefill_tokens if job.kind is not JobKind.DECODE else 0)
        )

    def _overloaded(self, now: int, work: float) -> bool:
        """Whether the arrivals in the window overload an engine in slow start."""
        window = int(self.spec.cold_window_ms * MS)
        self._recent_arrivals.append((now, work))
        while self._recent_arrivals and self._recent_arrivals[0][0] <= now - window:
            self._recent_arrivals.popleft()
        if self.capacity_share(now) >= 1.0 or now - self.started < window:
            return False
        budget = self.spec.cold_multiple * self.capacity_share(now) * self.spec.capacity * window / SECOND
        self.crashed = sum(w for _, w in self._recent_arrivals) > budget
        return self.crashed

    def _fault_response(self, now: int, job: Job) -> list[Output] | None:
        faults = self.faults
        if now < faults.full_until:
            return [_error(job.key, 503, "full", "full")]
        if now < faults.errors_until and self.rng.random() < faults.errors:
            return [_error(job.key, 500, "internal error", "internal")]
        metadata = job.body.get("metadata")
        request_class = metadata.get("class") if isinstance(metadata, dict) else None
        if now < faults.throttle_until and request_class == faults.throttle:
            self.jobs[job.key] = job
            job.stage = "throttled"
            self._timers.schedule(now + int(faults.throttle_ms * MS), lambda then: self._throttled(job))
            return []
        return None

    def _throttled(self, job: Job) -> list[Output]:
        if self.jobs.pop(job.key, None) is None or job.client_gone:
            return []
        return [_error(job.key, 429, "this class is held back", "rate_limited")]

    def disconnect(self, now: int, key: int) -> list[Output]:
        """The peer closed the connection: a queued job is dropped, a stream ends, a running prefill continues."""
        job = self.jobs.get(key)
        if job is None:
            return []
        job.client_gone = True
        self._uncount_awaiting(job)
        if job.stage == "queued" and job in self.queued_jobs:
            self.queued_jobs.remove(job)
        elif job.stage in ("fetching", "streaming"):
            self.active_streams -= 1
        elif job.stage == "reading":
            return []  # finishes without holding its state, which nobody would release
        self.jobs.pop(key, None)
        return self._start_jobs(now)

    def reserve(self, request: str) -> bool:
        """Reserve a slot if one is free now; whether it was reserved."""
        if self.active_streams + len(self.reservations) >= self.spec.slots or self.queued_jobs:
            return False
        self.reservations[request] = 1
        return True

    def release(self, request: str, place: bool, attempt: int | None) -> bool:
        """Release a state or a reservation unless it belongs to a later attempt; whether there was one.

        A state that a decode attempt awaits is held until that attempt has ended (docs/node.md).  A release that
        names its attempt also covers prefills of it that are running or arrive later: it uses another connection
        than the prefill, and may overtake it or its end.
        """
        if place:
            return self.reservations.pop(request, None) is not None
        if attempt is not None:
            self.released_attempts[request] = max(attempt, self.released_attempts.pop(request, -1))
            while len(self.released_attempts) > MAX_RELEASED_ATTEMPTS:
                self.released_attempts.popitem(last=False)
        if attempt is not None and self.held_states.get(request, (0, attempt + 1))[1] > attempt:
            return False
        if self.awaiting_decode[request] and request in self.held_states:
            self.deferred_releases.add(request)
            return False
        return self.held_states.pop(request, None) is not None

    def _count_awaiting(self, job: Job) -> None:
        """Count a decode attempt at the engine that holds its state: releases are deferred until the attempt ends."""
        if (prefill_engine := self.find_engine(job.state_engine)) is not None:
            prefill_engine.awaiting_decode[job.request] += 1
            job.counted_as_awaiting = True

    def _uncount_awaiting(self, job: Job) -> None:
        if not job.counted_as_awaiting:
            return
        job.counted_as_awaiting = False
        if (prefill_engine := self.find_engine(job.state_engine)) is None:
            return
        prefill_engine.awaiting_decode[job.request] -= 1
        if prefill_engine.awaiting_decode[job.request] <= 0:
            del prefill_engine.awaiting_decode[job.request]
            if job.request in prefill_engine.deferred_releases:
                prefill_engine.deferred_releases.discard(job.request)
                prefill_engine.held_states.pop(job.request, None)

    def _is_released(self, job: Job) -> bool:
        return job.kind is JobKind.PREFILL and self.released_attempts.get(job.request, -1) >= job.attempt

    # Prefill.

    def _prefix_keys(self, body: dict[str, Any]) -> list[tuple[str, int]]:
        """The prefixes of a prompt, one per message: key and tokens covered."""
        keys, prefix_hash = [], answers.stable_hash(body.get("tools"))
        text = 0
        for message in body.get("messages") or ():
            encoded = msgspec.json.encode(message)
            text += len(encoded)
            prefix_hash = answers.stable_hash(prefix_hash, encoded)
            keys.append((str(prefix_hash), text // 4))
        return keys

    def _cached_tokens(self, body: dict[str, Any], prompt: int) -> int:
        return max(
            (min(tokens, prompt) for key, tokens in self._prefix_keys(body) if key in self.prefix_cache), default=0
        )

    def _cache_prefixes(self, body: dict[str, Any]) -> None:
        for key, tokens in self._prefix_keys(body):
            self.prefix_cache.pop(key, None)
            self.prefix_cache[key] = tokens
        room = max(self.spec.memory_tokens - self.memory_used, 0)
        held = sum(self.prefix_cache.values())
        while self.prefix_cache and held > room:
            held -= self.prefix_cache.popitem(last=False)[1]

    def clear_prefix_cache(self) -> None:
        """Evict all cached prefixes."""
        self.prefix_cache.clear()

    def _start_jobs(self, now: int) -> list[Output]:
        """Start the queued jobs for which there is capacity."""
        out: list[Output] = []
        for job in list(self.queued_jobs):
            if job.kind is JobKind.DECODE:
                if self.active_streams >= self.spec.slots:
                    continue
                self.queued_jobs.remove(job)
                out += self._start_fetch(now, job)
            elif self.prefill_job is None and self.memory_used + job.prompt <= self.spec.memory_tokens:
                self.queued_jobs.remove(job)
                self._start_prefill(now, job)
        return out

    def _start_prefill(self, now: int, job: Job) -> None:
        job.stage, self.prefill_job = "reading", job
        job.cached = self._cached_tokens(job.body, job.prompt)
        duration = (self.spec.read_ms / 1000.0 + job.prefill_tokens / self.spec.read_rate) * self._duration_factor(now)
        self._timers.schedule(now + int(duration * SECOND), lambda then: self._finish_prefill(then, job))

    def _finish_prefill(self, now: int, job: Job) -> list[Output]:
        self.prefill_job = None
        out: list[Output] = []
        self._cache_prefixes(job.body)
        if job.client_gone:
            self.jobs.pop(job.key, None)
        elif job.kind is JobKind.COMBINED:
            out += self._start_stream(now, job, slot_taken=False)
        elif self._is_released(job):
            self.jobs.pop(job.key, None)
            out.append(_error(job.key, 409, "this attempt was released", "released"))
        else:
            self.jobs.pop(job.key, None)
            self.held_states[job.request] = (job.prompt, job.attempt)
            out.append(TapEntry("state", {"id": job.request}))
            answer = answers.make_answer(self.seed, job.request, job.body, job.prompt, job.cached, 1, 1)
            out += self._respond(
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
                        "remote_block_ids": [answers.stable_hash(job.request) % 1_000],
                        "remote_host": "127.0.0.1",
                        "remote_port": 0,
                    },
                },
            )
        return out + self._start_jobs(now)

    def _respond(self, now: int, job: Job, body: dict[str, Any]) -> list[Output]:
        if now < self.faults.lost_until and self.rng.random() < self.faults.lost:
            return [ResetConnection(job.key)]
        return [Reply(job.key, 200, body)]

    # Decode.

    def _start_fetch(self, now: int, job: Job) -> list[Output]:
        prefill_engine = self.find_engine(job.state_engine)
        if prefill_engine is None or job.request not in prefill_engine.held_states:
            self._uncount_awaiting(job)
            self.jobs.pop(job.key, None)
            return [_error(job.key, 409, f"the state at {job.state_engine!r} is gone", "kv_state_missing")]
        job.stage = "fetching"
        self.active_streams += 1
        duration = job.prompt / self.spec.fetch_rate * self._duration_factor(now)
        self._timers.schedule(now + int(duration * SECOND), lambda then: self._finish_fetch(then, job))
        return []

    def _finish_fetch(self, now: int, job: Job) -> list[Output]:
        if job.client_gone:
            return []
        prefill_engine = self.find_engine(job.state_engine)
        fetched = prefill_engine is not None and prefill_engine.held_states.pop(job.request, None) is not None
        self._uncount_awaiting(job)
        if not fetched:
            self.active_streams -= 1
            self.jobs.pop(job.key, None)
            return [
                _error(job.key, 409, f"the state at {job.state_engine!r} is gone", "kv_state_missing"),
                *self._start_jobs(now),
            ]
        return [
            TapEntry("taken", {"id": job.request, "at": job.state_engine}),
            *self._start_stream(now, job, slot_taken=True),
        ]

    def _start_stream(self, now: int, job: Job, slot_taken: bool) -> list[Output]:
        self.active_streams += not slot_taken
        job.stage = "streaming"
        job.answer = answers.make_answer(
            self.seed, job.request, job.body, job.prompt, job.cached, self.spec.answer_least, self.spec.answer_most
        )
        self._timers.schedule(now + self._step_time(now), lambda then: self._decode_step(then, job))
        return []

    def _step_time(self, now: int) -> int:
        slowdown = 1.0 + self.spec.crowding * min(self.active_streams / self.spec.slots, 1.0)
        return int(self.spec.token_ms * MS * slowdown * self._duration_factor(now))

    def _decode_step(self, now: int, job: Job) -> list[Output]:
        if job.client_gone or job.answer is None:
            return []
        first = job.answer.position == 0
        events = job.answer.next_events()
        last = events[-1] == b"[DONE]"
        if first and now < self.faults.lost_until and self.rng.random() < self.faults.lost:
            return [ResetConnection(job.key), *self._finish_stream(now, job)]
        if self.faults.truncations and not first:
            self.faults.truncations -= 1
            whole = b"data: " + events[0]
            return [ResetConnection(job.key, whole[: len(whole) // 2]), *self._finish_stream(now, job)]
        out: list[Output] = [StreamEvents(job.key, tuple(events), first, last)]
        if last:
            return out + self._finish_stream(now, job)
        self._timers.schedule(now + self._step_time(now), lambda then: self._decode_step(then, job))
        return out

    def _finish_stream(self, now: int, job: Job) -> list[Output]:
        self.active_streams -= 1
        self.jobs.pop(job.key, None)
        return self._start_jobs(now)


def _error(key: int, status: int, message: str, code: str) -> Reply:
    return Reply(key, status, {"error": {"message": message, "type": "engine_error", "param": None, "code": code}})
