"""The requests of a fleet in simulated time: the routers and the stand-in engines that run, no process, no socket.

Each node is a :class:`~stonetrack.logic.Router`, each engine the stand-ins' own
:class:`~stonetrack.emulator.engine.Engine`; what lies between them is a delay each way.  What engines see is written
down in the taps' words, so that the judge of the five rules (:mod:`.rules`) reads it like a real play's.  For what
can't be seen with processes on one machine: two hundred nodes, twenty seeds, twice of what the engines can do.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from stonetrack import api
from stonetrack.api import Outcome, Role
from stonetrack.emulator.engine import (
    Engine,
    EngineCrashed,
    Output,
    Reply,
    ResetConnection,
    Spec,
    StreamEvents,
    TapEntry,
)
from stonetrack.logic import Router

MS, SECOND = 1_000_000, 1_000_000_000
WAY = MS  # what bytes take from a node to an engine, or back
STATE_MISSING = "kv_state_missing"


@dataclass(frozen=True, slots=True)
class Ask:
    """One request to come: ``at`` nanoseconds from the start, lengths in tokens."""

    at: int
    name: str
    node: int
    prompt: int
    session: str = ""
    beginning: str = ""
    shared: int = 0
    class_index: int = 0


@dataclass
class Answered:
    """What came of a request; times from the start, 0 where it did not come to it."""

    ask: Ask
    ended: str = "open"  # served, refused, failed, broken, left
    first: int = 0
    end: int = 0
    attempts: int = 0


@dataclass
class _Out:
    """An attempt on its way or at an engine."""

    key: int
    node: int
    request: str
    number: int
    engine: str
    sent: int


@dataclass
class _Asked:
    """A request at its node."""

    answered: Answered
    node: int
    body: dict[str, Any]
    deadline: int
    out: _Out | None = None
    state_at: str = ""
    numbers: int = 0
    answered_for: bool = False
    held: set[str] = field(default_factory=set)  # engines where a state waits


class Play:
    """One play; :meth:`run` returns what came of each request, ``log`` is what the engines saw."""

    def __init__(self, settings: Sequence[api.Settings], specs: Sequence[Spec], seed: int, cold: bool = False,
                 rest: int = 4 * SECOND) -> None:  # fmt: skip
        """``settings`` are one node's each; ``cold`` engines have started just now; ``rest`` is for how long a kept
        connection may be used again, nanoseconds."""
        self.rest = rest
        self.opened: list[int] = []  # when a connection to an engine was opened
        self._kept: dict[tuple[int, str], list[int]] = {}  # since when connections of a node to an engine rest
        self.settings = list(settings)
        self.specs = {spec.name: spec for spec in specs}
        self.seed, self.now, self._order = seed, SECOND, 0  # time 0 means long ago in a list
        self.log: list[dict[str, Any]] = []
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._engines: dict[str, Engine | None] = {}
        self._wakes: dict[str, int] = {}
        self._outs: dict[int, _Out] = {}
        self._asked: dict[str, _Asked] = {}
        self._version = 0
        self._keys = 0
        self._draw = random.Random(seed)
        for spec in specs:
            self._up(spec.name, self.now if cold else -int(10 * spec.warm_ms * MS))
        self.routers = [Router(each, seed + n) for n, each in enumerate(self.settings)]
        self._tell()

    # Time.

    def _at(self, at: int, call: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._due, (max(at, self.now), self._order, call))

    def run(self, asks: Sequence[Ask], seconds: float) -> list[Answered]:
        """All of it; requests that have no answer by then stay ``open``."""
        start = self.now
        made = [Answered(ask) for ask in asks]
        for answered in made:
            self._at(start + answered.ask.at, partial(self._arrive, answered))
        end = start + int(seconds * SECOND)
        while self._due and self._due[0][0] <= end:
            self.now, _, call = heapq.heappop(self._due)
            call()
        self.now = end
        return made

    def _note(self, what: str, **more: Any) -> None:
        self.log.append({"t": self.now, "what": what, **more})

    # Engines.

    def crash(self, name: str, at: float, down: float) -> None:
        """An engine dies ``at`` seconds from now and is back, cold, ``down`` seconds later."""
        begin = self.now + int(at * SECOND)
        self._at(begin, partial(self._down, name))
        self._at(begin + int(down * SECOND), partial(self._back, name))

    def _up(self, name: str, started: int) -> None:
        spec = self.specs[name]
        self._engines[name] = Engine(spec, self.seed, self.now, started, self._engines.get)
        self._note("up", engine=name, role=spec.role.value, cold=started > 0, started=started, capacity=spec.capacity,
                   cold_share=spec.cold_share, warm_ms=spec.warm_ms, cold_multiple=spec.cold_multiple,
                   cold_window_ms=spec.cold_window_ms)  # fmt: skip

    def _down(self, name: str) -> None:
        self._engines[name] = None
        self._note("down", engine=name)
        for key, out in list(self._outs.items()):
            if out.engine == name:
                self._ended(key, Outcome.RESET)
        self._at(self.now + 100 * MS, self._tell)

    def _back(self, name: str) -> None:
        self._up(name, self.now)
        self._tell()

    def _tell(self) -> None:
        """The list as it is, to all nodes at once."""
        self._version += 1
        for node, settings in enumerate(self.settings):
            kinds = [kind.role for kind in settings.kinds]
            entries = tuple(
                api.ServerEntry(name, 0, kinds.index(self.specs[name].role), int(self.specs[name].cell),
                                api.ServerState.UP, 1.0, max(engine.started, 0))
                for name, engine in self._engines.items() if engine is not None)  # fmt: skip
            kind = api.ListKind.SAVED if self._version == 1 else api.ListKind.FULL
            self._handle(node, api.ServerList(kind, self._version, entries))

    def _tick(self, name: str) -> None:
        engine = self._engines.get(name)
        self._wakes.pop(name, None)
        if engine is not None:
            self._take(name, engine, engine.tick(self.now))

    def _take(self, name: str, engine: Engine, outs: list[Output]) -> None:
        """What an engine says goes to the nodes."""
        for out in outs:
            match out:
                case TapEntry(what, fields):
                    self._note(what, engine=name, **fields)
                case EngineCrashed():
                    self._note("fell", engine=name)
                    self._down(name)
                    return
                case Reply(key, status, body):
                    self._at(self.now + WAY, partial(self._replied, key, status, body, engine.load_report()))
                case StreamEvents(key, _, first, last):
                    self._at(self.now + WAY, partial(self._streamed, key, first, last))
                case ResetConnection(key, _):
                    self._at(self.now + WAY, partial(self._ended, key, Outcome.RESET))
        due = engine.next_due()
        if due is not None and self._wakes.get(name, due + 1) > due:
            self._wakes[name] = due
            self._at(due, partial(self._tick, name))

    # Requests.

    def _arrive(self, answered: Answered) -> None:
        ask = answered.ask
        cls = self.settings[ask.node].classes[ask.class_index]
        messages = [{"role": "system", "content": ask.beginning.ljust(4 * ask.shared, "~")}] if ask.shared else []
        left = max(4, 4 * (ask.prompt - ask.shared) - 90)  # so that the engine counts about as many tokens
        messages.append({"role": "user", "content": ask.name.ljust(left, ".")})
        body = {"messages": messages, "max_tokens": 16}
        self._asked[ask.name] = _Asked(answered, ask.node, body, self.now + cls.deadline)
        self._handle(ask.node, api.RequestArrived(ask.name, ask.class_index, ask.session, cls.deadline, ask.prompt,
                                                  ask.beginning or None, ask.shared, 16))  # fmt: skip
        self._at(self.now + cls.deadline, partial(self._leave, ask.name))

    def _leave(self, name: str) -> None:
        asked = self._asked.get(name)
        if asked is not None and not asked.answered_for and not asked.answered.first:
            self._answer(asked, "left")
            self._handle(asked.node, api.RequestGone(name))

    def _answer(self, asked: _Asked, ended: str) -> None:
        if not asked.answered_for:
            asked.answered_for = True
            asked.answered.ended, asked.answered.end = ended, self.now

    def _handle(self, node: int, event: api.Event) -> None:
        for action in self.routers[node].handle(self.now, event):
            self._carry(node, action)

    def _carry(self, node: int, action: api.Action) -> None:
        match action:
            case api.Send(request, server, limit):
                self._send(node, request, server, limit)
            case api.Refuse(request, _):
                self._answer(self._asked[request], "refused")
            case api.Fail(request):
                self._answer(self._asked[request], "failed")
            case api.Cancel(request, number):
                out = self._asked[request].out
                if out is not None and out.number == number and out.key in self._outs:
                    self._call_off(out, Outcome.CANCELLED)
            case api.Release(request):
                for name in self._asked[request].held:
                    self._at(self.now + WAY, partial(self._release, name, request))
                self._asked[request].held.clear()
            case api.Probe(server):
                self._at(self.now + 2 * WAY, partial(self._probed, node, server, self.now))
            case api.SetTimer(token, delay):
                self._at(self.now + delay, partial(self._handle, node, api.TimerFired(token)))
            case _:
                pass  # places are not asked for, lists are told, logs are for people

    def _probed(self, node: int, server: str, sent: int) -> None:
        engine = self._engines.get(server)
        outcome = Outcome.SERVED if engine is not None else Outcome.CONNECT_FAILED
        report = engine.load_report() if engine is not None else None
        self._handle(node, api.ProbeEnded(server, outcome, self.now - sent, report))

    def _release(self, name: str, request: str) -> None:
        engine = self._engines.get(name)
        if engine is not None:
            engine.release(request, False, None)

    # Attempts.

    def _send(self, node: int, request: str, server: str, limit: int) -> None:
        asked = self._asked[request]
        self._keys += 1
        out = asked.out = _Out(self._keys, node, request, asked.numbers, server, self.now)
        asked.numbers += 1
        asked.answered.attempts += 1
        self._outs[self._keys] = out
        kept = self._kept.get((node, server), [])
        if not kept or self.now - kept.pop() > self.rest:
            self.opened.append(self.now)
        self._at(self.now + WAY, partial(self._reach, self._keys, asked))
        until = self.now + limit if limit else asked.deadline
        self._at(until, partial(self._time_out, self._keys))

    def _reach(self, key: int, asked: _Asked) -> None:
        out = self._outs.get(key)
        if out is None:
            return
        engine = self._engines.get(out.engine)
        if engine is None:
            self._at(self.now + WAY, partial(self._ended, key, Outcome.CONNECT_FAILED))
            return
        params: dict[str, Any] = {"do_remote_decode": True}
        if engine.spec.role is not Role.PREFILL:
            params = {"do_remote_prefill": True, "remote_engine_id": asked.state_at}
        body = {**asked.body, "kv_transfer_params": params}
        self._note("request", engine=out.engine, id=out.request, n=str(out.number), instance=f"n{out.node}", conn=key,
                   job="read" if engine.spec.role is Role.PREFILL else "write")  # fmt: skip
        self._take(out.engine, engine, engine.submit(self.now, key, out.request, body, False, out.number))

    def _time_out(self, key: int) -> None:
        out = self._outs.get(key)
        if out is not None and not self._asked[out.request].answered.first:
            self._call_off(out, Outcome.TIMED_OUT)

    def _call_off(self, out: _Out, outcome: Outcome) -> None:
        engine = self._engines.get(out.engine)
        if engine is not None:
            self._take(out.engine, engine, engine.disconnect(self.now, out.key))
        self._ended(out.key, outcome)

    def _replied(self, key: int, status: int, body: dict[str, Any], report: api.LoadReport) -> None:
        out = self._outs.get(key)
        if out is None:
            return
        if status == 200:
            asked = self._asked[out.request]
            asked.state_at = out.engine
            asked.held.add(out.engine)
            details = body["usage"].get("prompt_tokens_details") or {}
            self._ended(key, Outcome.READ, kept=int(details.get("cached_tokens") or 0), report=report)
            return
        missing = body["error"]["code"] == STATE_MISSING
        full = missing or status in (429, 503)
        self._ended(key, Outcome.FULL if full else Outcome.ERROR, missing=missing, report=report)

    def _streamed(self, key: int, first: bool, last: bool) -> None:
        out = self._outs.get(key)
        if out is None:
            return
        asked = self._asked[out.request]
        if first:
            asked.answered.first = self.now
            asked.held.clear()
            self._handle(out.node, api.FirstToken(out.request, out.number, out.engine, self.now - out.sent))
        if last:
            self._answer(asked, "served")
            self._ended(key, Outcome.SERVED)

    def _ended(self, key: int, outcome: Outcome, kept: int = 0, missing: bool = False,
               report: api.LoadReport | None = None) -> None:  # fmt: skip
        out = self._outs.pop(key, None)
        if out is None:
            return
        asked = self._asked[out.request]
        if outcome in (Outcome.READ, Outcome.SERVED):
            self._kept.setdefault((out.node, out.engine), []).append(self.now)
        if asked.answered.first and outcome is not Outcome.SERVED:
            self._answer(asked, "broken")
        finished = outcome is Outcome.SERVED or bool(asked.answered.first)
        self._handle(out.node, api.AttemptEnded(out.request, out.number, out.engine, outcome, self.now - out.sent,
                                                finished, kept, missing, report))  # fmt: skip
