"""Clients of a bad day: open-loop arrivals on blocking sockets, and what each saw.

What comes is drawn from the seed before the load starts (:func:`schedule`); a client never waits for another.  Each
request gives one :class:`Seen`, times from the machine's monotonic clock, the same as the stand-ins' log has.
"""

from __future__ import annotations

import contextlib
import os
import queue
import random
import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from stonetrack.fleet.traffic import Clients, Step, Traffic
from stonetrack.wire import http1, sse, writer
from stonetrack.wire.errors import ProtocolError

MS = 1_000_000
LONGEST_SILENCE = 6.0  # seconds beyond its time in which a client that hears nothing waits still
_WORDS = [
    "charger",
    "near",
    "the",
    "road",
    "to",
    "Nadi",
    "with",
    "a",
    "free",
    "stand",
    "tonight",
    "please",
    "and",
    "how",
    "far",
    "is",
    "it",
    "from",
    "the",
    "mill",
]


@dataclass(frozen=True, slots=True)
class Planned:
    """One request to come; ``at`` in seconds from the start of the load."""

    at: float
    number: int
    traffic: Traffic
    session: str
    messages: tuple[dict[str, str], ...]
    how: str  # stream, plain, generate, generate_stream
    behaviour: str  # normal, leave_at_first, leave_early, slow, half_close, stops, little_time
    patience: float  # seconds


class Seen(msgspec.Struct, kw_only=True):
    """What a client saw of one request; times in nanoseconds, 0 where it did not come to it."""

    number: int
    cls: str
    how: str
    behaviour: str
    retry: int
    worth: float
    sent: int = 0
    wrote: int = 0  # when the kernel had taken the request: later than ``sent`` where the client was held up
    deadline: int = 0
    aim: int = 0
    status: int = 0
    request: str = ""
    instance: str = ""
    head: int = 0
    first: int = 0
    last_event: int = 0  # when its last event came
    end: int = 0
    ended: str = ""  # served, refused, failed, broken, rejected, left, cut, refused connection, no answer, garbled
    done_events: int = 0
    error_events: int = 0
    after_end: int = 0  # bytes that came after the final answer
    text: str = ""
    tokens: int = 0
    why: str = ""
    reused: bool = False  # on a connection used before
    event_late: int = 0  # the longest time from an engine's writing of an event to its coming here, where told
    slept: int = 0  # of a slow client: what it saw at the end may have been there for so long


def _words(draw: random.Random, tokens: int) -> str:
    return " ".join(draw.choice(_WORDS) for _ in range(max(1, tokens * 4 // 5)))


def schedule(clients: Clients, seconds: float, seed: int, steps: list[Step]) -> list[Planned]:
    """All requests of the day, in order of time."""
    draw = random.Random(f"load/{seed}")
    beginnings = {
        t.name: [f"{_words(draw, draw.randint(*t.beginning))}." for _ in range(t.beginnings)] for t in clients.classes
    }
    sessions: list[tuple[Traffic, str, list[dict[str, str]], int]] = []
    planned: list[Planned] = []
    at, number = 0.0, 0
    weights = [t.share for t in clients.classes]
    while True:
        rate = clients.rate
        fresh = 0.0
        for step in steps:
            span = float(step.args.get("for_ms", 2_000)) / 1_000.0
            if step.what == "burst" and step.at <= at < step.at + span:
                rate *= float(step.args.get("factor", 2.0))
            if step.what == "new_beginning" and step.at <= at < step.at + span:
                fresh = float(step.args.get("share", 0.2))
        at += draw.expovariate(rate)
        if at >= seconds:
            return planned
        if sessions and (len(sessions) >= clients.sessions or draw.random() < 0.5):
            index = draw.randrange(len(sessions))
        else:
            traffic = draw.choices(clients.classes, weights)[0]
            index = len(sessions)
            beginning = draw.choice(beginnings[traffic.name])
            if draw.random() < fresh:
                beginning = f"news: {_words(random.Random(f'{seed}/new'), 1_200)}"
            sessions.append(
                (traffic, f"s{seed}-{number}", [{"role": "system", "content": beginning}], draw.randint(*traffic.turns))
            )
        traffic, name, messages, left = sessions[index]
        messages = [
            *messages,
            {"role": "user", "content": f"{number}: {_words(draw, draw.randint(*traffic.turn_tokens))}"},
        ]
        if left <= 1:
            del sessions[index]
        else:
            sessions[index] = (traffic, name, [*messages, {"role": "assistant", "content": _words(draw, 12)}], left - 1)
        how = "plain" if draw.random() < clients.plain else "stream"
        if draw.random() < clients.kserve:
            how = "generate" if how == "plain" else "generate_stream"
        roll = draw.random()
        behaviour = "normal"
        for kind, share in (
            ("leave_at_first", clients.leave_at_first),
            ("leave_early", clients.leave_early),
            ("slow", clients.slow),
            ("half_close", clients.half_close),
            ("stops", clients.stops),
            ("little_time", clients.little_time),
        ):
            if 0.0 <= roll < share:
                behaviour = kind
            roll -= share
        patience = traffic.deadline_ms / 1_000.0 * draw.uniform(0.6, 1.0)
        planned.append(Planned(at, number, traffic, name, tuple(messages), how, behaviour, patience))
        number += 1


class _Left(Exception):
    """The client has left on purpose."""


class Client:
    """Runs one planned request after the other, on a connection of its own that it may keep."""

    def __init__(self, host: str, port: int, seed: int) -> None:
        self.host, self.port = host, port
        self.draw = random.Random(f"client/{seed}")
        self.sock: socket.socket | None = None
        self.last: Seen | None = None  # what was seen last on the connection
        self.reader = http1.MessageReader(http1.Side.RESPONSES, http1.Limits(body=64 << 20))

    def close(self) -> None:
        """Close the connection."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def turn_to(self, host: str, port: int) -> None:
        """Send to this address from now on."""
        if (host, port) != (self.host, self.port):
            self.close()
            self.host, self.port, self.last = host, port, None

    def run(self, planned: Planned, retry: int) -> Seen:
        """One request; what was seen."""
        traffic = planned.traffic
        seen = Seen(
            number=planned.number,
            cls=traffic.name,
            how=planned.how,
            behaviour=planned.behaviour,
            retry=retry,
            worth=traffic.worth,
        )
        if self.sock is not None and self.last is not None:
            self._after(self.last, 0.0)
        seen.reused = self.sock is not None
        try:
            if self.sock is None:
                self.sock = socket.create_connection((self.host, self.port), timeout=5.0)
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                if planned.behaviour == "slow":
                    self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                self.reader = http1.MessageReader(http1.Side.RESPONSES, http1.Limits(body=64 << 20))
        except OSError as error:
            seen.ended, seen.why = "refused connection", str(error)
            seen.sent = seen.end = time.monotonic_ns()
            return seen
        request, stream = self._request(planned, seen)
        seen.sent = time.monotonic_ns()
        seen.deadline = seen.sent + int(planned.patience * 1e9)
        prompt = sum(len(m["content"]) for m in planned.messages) // 4
        seen.aim = seen.sent + int((traffic.aim_ms + traffic.aim_ms_per_1000 * prompt / 1_000.0) * MS)
        try:
            self.sock.settimeout(planned.patience + LONGEST_SILENCE)
            self.sock.sendall(request)
            seen.wrote = time.monotonic_ns()
            self._answer(planned, seen, stream)
        except _Left:
            seen.ended = "left"
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            self.close()
        except (OSError, ProtocolError) as error:
            seen.ended = seen.ended or ("no answer" if isinstance(error, TimeoutError) else "cut")
            seen.why = str(error)
            self.close()
        seen.end = time.monotonic_ns()
        self.last = seen
        if self.sock is not None:
            self._after(seen)
        if seen.ended not in ("served", "refused", "failed") or self.draw.random() < 0.5:
            self.close()
        return seen

    def _after(self, seen: Seen, wait: float = 0.002) -> None:
        """Bytes that came though the answer was final; a connection that shows them, or its end, is closed."""
        assert self.sock is not None
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLIN | select.POLLRDHUP)
        if not poller.poll(wait * 1_000.0):
            return
        with contextlib.suppress(OSError):
            self.sock.settimeout(0.0)
            seen.after_end += len(self.sock.recv(65_536))
        self.close()

    def _request(self, planned: Planned, seen: Seen) -> tuple[bytes, bool]:
        """The bytes of a request, and whether its answer is a stream."""
        traffic = planned.traffic
        headers = [
            ("Host", f"{self.host}:{self.port}"),
            ("Content-Type", "application/json"),
            ("Authorization", "Bearer day"),
            ("X-Class", traffic.name),
            ("X-Session-Id", planned.session),
            ("X-Time-Left-Ms", str(int(planned.patience * 1_000))),
        ]
        if traffic.effect == "keyed":
            headers.append(("Idempotency-Key", f"{planned.session}-{planned.number}"))
        metadata = {"class": traffic.name}
        if planned.how.startswith("generate"):
            text = "\n".join(m["content"] for m in planned.messages)
            body: dict[str, Any] = {
                "text_input": text,
                "parameters": {"max_tokens": traffic.max_tokens, "metadata": metadata},
            }
            target = f"/v2/models/demo/{planned.how}"
        else:
            body = {
                "model": "demo",
                "messages": planned.messages,
                "max_tokens": traffic.max_tokens,
                "stream": planned.how == "stream",
                "metadata": metadata,
            }
            target = "/v1/chat/completions"
        stream = planned.how in ("stream", "generate_stream")
        return writer.request("POST", target, headers, msgspec.json.encode(body)), stream

    def _answer(self, planned: Planned, seen: Seen, stream: bool) -> None:
        assert self.sock is not None
        events = sse.EventStreamReader() if stream else None
        body = bytearray()
        leave_at = seen.sent + self.draw.randrange(1, 60) * MS if planned.behaviour == "leave_early" else 0
        slow = 0
        while True:
            now = time.monotonic_ns()
            if leave_at:
                self.sock.settimeout(max(0.001, (leave_at - now) / 1e9))
            try:
                data = self.sock.recv(1 if planned.behaviour == "slow" and slow < 40 else 65_536)
            except TimeoutError:
                if leave_at and time.monotonic_ns() >= leave_at:
                    raise _Left from None
                raise
            if planned.behaviour == "slow" and slow < 40:
                slow += 1
                before = time.monotonic_ns()
                time.sleep(0.05)
                seen.slept += time.monotonic_ns() - before
            now = time.monotonic_ns()
            ended = False
            for event in self.reader.feed(data) if data else self.reader.eof():
                if ended:
                    seen.after_end += 1  # whatever comes in one piece with the end
                elif isinstance(event, http1.ResponseHead):
                    seen.head, seen.status = now, event.status
                    seen.request = event.headers.get("x-request-id") or seen.request
                    seen.instance = event.headers.get("x-stonetrack-instance")
                    if "text/event-stream" not in event.headers.get("content-type"):
                        events = None
                elif isinstance(event, http1.Data):
                    if events is None:
                        body += event.data
                        continue
                    for sent in events.feed(event.data):
                        self._event(seen, sent.data, now)
                        if planned.behaviour == "leave_at_first" and seen.first:
                            raise _Left
                elif isinstance(event, http1.End) and seen.head:
                    self._end(seen, planned, events, bytes(body), now)
                    ended = True
            if ended:
                return
            if not data:
                raise ConnectionError("closed by the node before the answer's end")

    def _event(self, seen: Seen, data: bytes, now: int) -> None:
        if seen.done_events or seen.error_events:
            seen.after_end += len(data)
        seen.last_event = now
        if data == b"[DONE]":
            seen.done_events += 1
            return
        raw = msgspec.json.decode(data)
        if "error" in raw:
            seen.error_events += 1
            seen.why = str(raw["error"])[:300]
            return
        seen.first = seen.first or now
        if "text_output" in raw:
            seen.text += raw["text_output"]
            seen.tokens += 1
        for choice in raw.get("choices", ()):
            content = choice["delta"].get("content")
            if content:
                seen.text += content
                seen.tokens += 1

    def _end(self, seen: Seen, planned: Planned, events: sse.EventStreamReader | None, body: bytes, now: int) -> None:
        if events is not None:
            if not events.between_events:
                seen.ended = "garbled"
            elif seen.error_events:
                seen.ended = "broken"
            else:
                seen.ended = "served" if seen.done_events or planned.how == "generate_stream" else "garbled"
            return
        try:
            raw = msgspec.json.decode(body)
        except msgspec.DecodeError:
            seen.ended, seen.why = "garbled", repr(body[:100])
            return
        if seen.status == 200:
            seen.first = seen.first or now
            seen.text = raw["text_output"] if "text_output" in raw else raw["choices"][0]["message"]["content"] or ""
            seen.tokens = len(seen.text.split())
            seen.ended = "served"
            return
        error = raw.get("error")
        seen.why = str(error.get("message") if isinstance(error, dict) else error)[:300]
        if seen.status in (429, 503):
            seen.ended = "refused"
        else:
            seen.ended = "failed" if seen.status in (502, 504) else "rejected"


class Load:
    """Plays a schedule with as many client threads as it needs, up to ``most``; ``to`` gives each try its address."""

    def __init__(
        self,
        to: Callable[[], tuple[str, int]],
        clients: Clients,
        planned: list[Planned],
        seed: int,
        most: int = 400,
        make: type[Client] = Client,
    ) -> None:
        self.to, self.clients, self.planned, self.seed = to, clients, planned, seed
        self.most, self._make = most, make
        self.seen: list[Seen] = []
        self._jobs: queue.SimpleQueue[Planned | None] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._free = 0
        self._threads: list[threading.Thread] = []
        self.started = 0

    def run(self, tick: Callable[[int], None]) -> list[Seen]:
        """Play it all; ``tick`` is told how many have started.  Returns when every request has ended."""
        self.started = start = time.monotonic_ns()
        for n, planned in enumerate(self.planned):
            wait = planned.at - (time.monotonic_ns() - start) / 1e9
            if wait > 0:
                time.sleep(wait)
            with self._lock:
                spawn = self._free == 0 and len(self._threads) < self.most
                self._free -= not spawn
            if spawn:
                thread = threading.Thread(target=self._work, args=(len(self._threads),), daemon=True)
                self._threads.append(thread)
                thread.start()
            self._jobs.put(planned)
            tick(n + 1)
        for _ in self._threads:
            self._jobs.put(None)
        for thread in self._threads:
            thread.join(60.0)
        return sorted(self.seen, key=lambda each: each.sent)

    def _work(self, number: int) -> None:
        client = self._make("", 0, self.seed * 10_000 + number)
        while (planned := self._jobs.get()) is not None:
            for retry in range(self.clients.retries + 1):
                client.turn_to(*self.to())
                seen = client.run(planned, retry)
                with self._lock:
                    self.seen.append(seen)
                again = seen.ended in ("refused", "cut", "refused connection") and planned.traffic.effect == "safe"
                if not again or planned.behaviour != "normal":
                    break
                time.sleep(self.clients.retry_ms / 1_000.0 * client.draw.uniform(0.5, 1.5))
            with self._lock:
                self._free += 1
        client.close()


def kill(pid: int, number: int) -> None:
    """Signal a process of ours, gone or not."""
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, number)


def gone(pid: int) -> bool:
    """Whether a process has ended with all its threads: its sockets are closed then, though its parent may not have
    looked yet.  (The first thread shows as ended before the others are, and they keep the sockets.)"""
    try:
        if len(os.listdir(f"/proc/{pid}/task")) > 1:
            return False
        with open(f"/proc/{pid}/stat", encoding="ascii", errors="replace") as file:
            return file.read().rsplit(")", 1)[1].split()[0] in "ZX"
    except OSError:
        return True
