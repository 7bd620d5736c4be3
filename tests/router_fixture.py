"""A router driven by hand in tests: shortcuts for settings and events, and a record of its actions."""

from __future__ import annotations

from dataclasses import replace
from typing import TypeVar

from stonetrack import api
from stonetrack.logic import MS, SECOND, Router

A = TypeVar("A")

CLASS = api.RequestClass("chat", 2 * SECOND, 40 * MS, 80 * MS, 10 * SECOND)
SETTINGS = api.Settings(
    classes=(CLASS,),
    kinds=(api.Kind(api.Role.PREFILL, 200_000), api.Kind(api.Role.DECODE, 150_000), api.Kind(api.Role.MIXED)),
    routers=2,
    max_attempts=5,
    may_cancel=True,
)
PREFILL, DECODE, MIXED = 0, 1, 2


def entry(name: str, kind: int, cell: int = 0, **more: object) -> api.ServerEntry:
    base = api.ServerEntry(name, zone=0, kind=kind, cell=cell, state=api.ServerState.UP)
    return replace(base, **more)  # type: ignore[arg-type]


FLEET = (
    *(entry(f"r{n}", PREFILL, cell=n % 2) for n in range(4)),
    *(entry(f"w{n}", DECODE, cell=n % 2) for n in range(4)),
)


class RouterFixture:
    """A router, its clock, and all its actions so far."""

    def __init__(
        self, settings: api.Settings = SETTINGS, fleet: tuple[api.ServerEntry, ...] = FLEET, now: int = 100 * SECOND
    ) -> None:
        self.router = Router(settings, seed=1)
        self.now = now
        self.actions: list[api.Action] = []
        self.tries: dict[str, int] = {}
        self.handle(api.ServerList(api.ListKind.SAVED, 1, fleet))

    def handle(self, event: api.Event) -> list[api.Action]:
        actions = self.router.handle(self.now, event)
        self.actions += actions
        return actions

    def advance(self, time: int) -> list[api.Action]:
        """Let ``time`` nanoseconds pass in sweeps; the actions of the router meanwhile."""
        actions: list[api.Action] = []
        end = self.now + time
        while self.now < end:
            self.now = min(self.now + 50 * MS, end)
            actions += self.handle(api.TimerFired(0))
        return actions

    def arrive(
        self,
        name: str,
        session: str = "",
        shared_prefix: str | None = None,
        shared: int = 0,
        prompt: int = 1600,
        left: int = 10 * SECOND,
        **more: int,
    ) -> list[api.Action]:
        self.tries[name] = -1
        return self.handle(
            api.RequestArrived(
                name,
                more.get("class_index", 0),
                session or "s-" + name,
                left,
                prompt,
                shared_prefix,
                shared,
                200,
                more.get("tenant", 0),
            )
        )

    def end_attempt(
        self, send: api.Send, outcome: api.Outcome, attempt: int, elapsed: int = 100 * MS, **more: object
    ) -> list[api.Action]:
        self.now += elapsed
        base = api.AttemptEnded(send.request, attempt, send.server, outcome, elapsed)
        return self.handle(replace(base, **more))  # type: ignore[arg-type]

    def finish_prefill(
        self, send: api.Send, attempt: int = 0, kept: int | None = None, elapsed: int = 100 * MS
    ) -> api.Send:
        """The prefill succeeds, by default with the expected number of reused tokens; the send to a decode engine."""
        if kept is None:
            request = self.router.requests[send.request]
            kept = int(request.prompt_tokens - request.prefill_tokens)
        return single(self.end_attempt(send, api.Outcome.READ, attempt, elapsed, kept_tokens=kept), api.Send)

    def serve(self, send: api.Send, attempt: int = 1) -> None:
        """The answer starts and ends."""
        self.handle(api.FirstToken(send.request, attempt, send.server, 50 * MS))
        self.end_attempt(send, api.Outcome.SERVED, attempt, 100 * MS, finished=True)

    def run_request(self, name: str, **more: int) -> str:
        """One request from arrival to its end; the prefill engine that it used."""
        send = single(self.arrive(name, **more), api.Send)  # type: ignore[arg-type]
        self.serve(self.finish_prefill(send))
        return send.server


def of_type(actions: list[api.Action], kind: type[A]) -> list[A]:
    return [action for action in actions if isinstance(action, kind)]


def single(actions: list[api.Action], kind: type[A]) -> A:
    found = of_type(actions, kind)
    assert len(found) == 1, f"{len(found)} of {kind.__name__} in {actions}"
    return found[0]
