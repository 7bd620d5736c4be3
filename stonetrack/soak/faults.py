"""The overlapping faults of a soak run, drawn from a seed.  No I/O, no clock.

The kinds are those that unprivileged processes and sockets on loopback can produce.  Faults of the machine (stepped
clocks, system call errors, unusable folders) are injected by the node's tests instead.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from stonetrack.soak.platform import EngineFault


class FaultKind(Enum):
    """A kind of fault; its name appears in timelines."""

    ENGINE_SILENT = "nothing passes to or from an engine; the kernel takes the bytes"
    ROLE_SILENT = "nearly all engines of one role fall silent at once"
    KEPT_SILENT = "connections that are open to an engine fall silent, new ones work"
    KEPT_SILENT_FOR_GOOD = "connections that are open to an engine fall silent and stay so"
    ONE_WAY_THERE = "nothing reaches an engine, what it says comes back"
    ONE_WAY_BACK = "an engine hears all, nothing of it comes back"
    UNREACHABLE = "new connections to an engine never come up"
    SLOW_LINK = "a link passes on late and in small pieces"
    BREAKS_IN_ANSWER = "connections break after a drawn byte of the answer"
    RESETS = "all connections of one node to an engine are reset"
    KILL_ENGINE = "an engine's process is killed and comes back cold at its address"
    TROUBLE = "an engine does something wrong"
    DRAIN = "an engine drains and comes back"
    DISCOVERY_SILENT = "a node's agent is silent"
    WATCH_SILENT = "a node's watch falls silent on its connection"
    WATCH_UNFINISHED = "a node's watch goes on with bytes that complete nothing"
    TERM = "a node is told to end, killed where it does not, and started again"
    KILL_NODE = "a node is killed and started again"
    HUP = "a node is told to read its configuration, three times in a row, once a broken one"
    STOP_NODE = "a node is held up for 0.15 s, several times"
    CROWD = "connections that say nothing are opened to a node, and again as it closes them"


WEIGHTS = {
    FaultKind.ENGINE_SILENT: 3, FaultKind.ROLE_SILENT: 3, FaultKind.KEPT_SILENT: 3, FaultKind.ONE_WAY_THERE: 2,
    FaultKind.ONE_WAY_BACK: 2, FaultKind.UNREACHABLE: 2, FaultKind.SLOW_LINK: 1, FaultKind.BREAKS_IN_ANSWER: 1,
    FaultKind.RESETS: 2, FaultKind.KILL_ENGINE: 2, FaultKind.TROUBLE: 6, FaultKind.DRAIN: 1,
    FaultKind.DISCOVERY_SILENT: 1, FaultKind.WATCH_SILENT: 1, FaultKind.TERM: 2, FaultKind.KILL_NODE: 1,
    FaultKind.HUP: 1, FaultKind.STOP_NODE: 1, FaultKind.CROWD: 2, FaultKind.KEPT_SILENT_FOR_GOOD: 1,
    FaultKind.WATCH_UNFINISHED: 1,
}  # fmt: skip
MIN_SECONDS, MAX_SECONDS = 0.4, 5.0  # duration of a fault
SILENT_ROLE_SHARE = 0.75  # share of a role's engines that ROLE_SILENT affects
FAULTS_PER_SECOND = 0.7  # mean number of faults started per second
MIN_IDLE_CONNECTIONS, MAX_IDLE_CONNECTIONS = 100, 500  # below and above a node's connection limit
SECONDS_BEFORE, SECONDS_AFTER = 1.5, 1.0  # seconds without faults at the start and end of the load


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; ``at`` and ``seconds`` are seconds, ``at`` counts from the start of the load."""

    at: float
    seconds: float
    kind: FaultKind
    engines: tuple[str, ...] = ()
    node: int = -1  # -1: all nodes
    engine_fault: EngineFault | None = None
    amount: int = 0  # BREAKS_IN_ANSWER: bytes; CROWD: connections

    def describe(self) -> str:
        """The fault in one line."""
        parts = [self.kind.name.lower(), *self.engines]
        if self.node >= 0:
            parts.append(f"n{self.node}")
        if self.engine_fault is not None:
            parts.append(self.engine_fault.value)
        return f"{self.at:.2f} for {self.seconds:.2f} s: {' '.join(parts)}"


def draw_faults(seed: int, seconds: float, nodes: int, prefill: list[str], decode: list[str]) -> list[Fault]:
    """The faults of one run, ordered by time."""
    random_source = random.Random(f"faults/{seed}")
    count = max(2, round((seconds - SECONDS_BEFORE - SECONDS_AFTER) * FAULTS_PER_SECOND))
    kinds = random_source.choices(list(WEIGHTS), list(WEIGHTS.values()), k=count)
    return sorted(
        (_draw_fault(random_source, kind, seconds, nodes, prefill, decode) for kind in kinds), key=lambda f: f.at
    )


def _draw_fault(
    random_source: random.Random, kind: FaultKind, seconds: float, nodes: int, prefill: list[str], decode: list[str]
) -> Fault:
    at = random_source.uniform(SECONDS_BEFORE, max(SECONDS_BEFORE, seconds - SECONDS_AFTER - MIN_SECONDS))
    duration = min(random_source.uniform(MIN_SECONDS, MAX_SECONDS), seconds - at - SECONDS_AFTER / 2)
    node = random_source.randrange(nodes)
    role = random_source.choice([prefill, decode, decode])
    engine = (random_source.choice(role),)
    match kind:
        case FaultKind.ROLE_SILENT:
            silent = random_source.sample(role, max(1, int(len(role) * SILENT_ROLE_SHARE)))
            return Fault(at, duration, kind, tuple(silent))
        case FaultKind.TROUBLE:
            return Fault(at, duration, kind, engine, engine_fault=random_source.choice(list(EngineFault)))
        case FaultKind.BREAKS_IN_ANSWER:
            return Fault(at, duration, kind, engine, node, amount=random_source.randrange(1, 900))
        case FaultKind.CROWD:
            return Fault(
                at, duration, kind, (), node, amount=random_source.randrange(MIN_IDLE_CONNECTIONS, MAX_IDLE_CONNECTIONS)
            )
        case FaultKind.RESETS | FaultKind.SLOW_LINK:
            return Fault(at, duration, kind, engine, node)
        case (
            FaultKind.DISCOVERY_SILENT
            | FaultKind.WATCH_SILENT
            | FaultKind.WATCH_UNFINISHED
            | FaultKind.TERM
            | FaultKind.KILL_NODE
            | FaultKind.HUP
            | FaultKind.STOP_NODE
        ):
            return Fault(at, duration, kind, (), node)
        case _:
            return Fault(at, duration, kind, engine)
