"""The faults of a soak, drawn from a seed so that several overlap.  No I/O, no clock.

Kinds are those that processes and sockets on loopback can show without rights; the machine's own (stepped clocks, each
error of each system call, folders) are injected by the tests of the node instead.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from stonetrack.soak.platform import Trouble


class Kind(Enum):
    """One kind of fault; the text stands in timelines."""

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
    TERM = "a node is told to end, killed where it does not, and started again"
    KILL_NODE = "a node is killed and started again"
    HUP = "a node is told to read its configuration, three times in a row, once a broken one"
    STOP_NODE = "a node is held up for 0.15 s, several times"
    CROWD = "connections that say nothing are opened to a node, and again as it closes them"


WEIGHTS = {
    Kind.ENGINE_SILENT: 3, Kind.ROLE_SILENT: 3, Kind.KEPT_SILENT: 3, Kind.ONE_WAY_THERE: 2, Kind.ONE_WAY_BACK: 2,
    Kind.UNREACHABLE: 2, Kind.SLOW_LINK: 1, Kind.BREAKS_IN_ANSWER: 1, Kind.RESETS: 2, Kind.KILL_ENGINE: 2,
    Kind.TROUBLE: 6, Kind.DRAIN: 1, Kind.DISCOVERY_SILENT: 1, Kind.WATCH_SILENT: 1, Kind.TERM: 2, Kind.KILL_NODE: 1,
    Kind.HUP: 1, Kind.STOP_NODE: 1, Kind.CROWD: 2, Kind.KEPT_SILENT_FOR_GOOD: 1,
}  # fmt: skip
SHORTEST, LONGEST = 0.4, 5.0  # seconds that a fault lasts
ROLE_SHARE = 0.75  # of a role's engines that fall silent together
EACH_SECOND = 0.7  # faults begun a second
CROWD_LEAST, CROWD_MOST = 100, 500  # connections: some of what a node has for its clients, and more than it has
QUIET_BEFORE, QUIET_AFTER = 1.5, 1.0  # seconds of the load without faults


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; times in seconds from the start of the load."""

    at: float
    seconds: float
    kind: Kind
    engines: tuple[str, ...] = ()
    node: int = -1  # -1: all nodes
    trouble: Trouble | None = None
    amount: int = 0  # bytes, for a break; connections, of a crowd

    def text(self) -> str:
        """One line."""
        parts = [self.kind.name.lower(), *self.engines]
        if self.node >= 0:
            parts.append(f"n{self.node}")
        if self.trouble is not None:
            parts.append(self.trouble.value)
        return f"{self.at:.2f} for {self.seconds:.2f} s: {' '.join(parts)}"


def draw(seed: int, seconds: float, nodes: int, prefill: list[str], decode: list[str]) -> list[Fault]:
    """The faults of one play in order of time."""
    random_source = random.Random(f"faults/{seed}")
    count = max(2, round((seconds - QUIET_BEFORE - QUIET_AFTER) * EACH_SECOND))
    kinds = random_source.choices(list(WEIGHTS), list(WEIGHTS.values()), k=count)
    return sorted((_one(random_source, kind, seconds, nodes, prefill, decode) for kind in kinds), key=lambda f: f.at)


def _one(
    random_source: random.Random, kind: Kind, seconds: float, nodes: int, prefill: list[str], decode: list[str]
) -> Fault:
    at = random_source.uniform(QUIET_BEFORE, max(QUIET_BEFORE, seconds - QUIET_AFTER - SHORTEST))
    lasts = min(random_source.uniform(SHORTEST, LONGEST), seconds - at - QUIET_AFTER / 2)
    node = random_source.randrange(nodes)
    role = random_source.choice([prefill, decode, decode])
    engine = (random_source.choice(role),)
    match kind:
        case Kind.ROLE_SILENT:
            silent = random_source.sample(role, max(1, int(len(role) * ROLE_SHARE)))
            return Fault(at, lasts, kind, tuple(silent))
        case Kind.TROUBLE:
            return Fault(at, lasts, kind, engine, trouble=random_source.choice(list(Trouble)))
        case Kind.BREAKS_IN_ANSWER:
            return Fault(at, lasts, kind, engine, node, amount=random_source.randrange(1, 900))
        case Kind.CROWD:
            return Fault(at, lasts, kind, (), node, amount=random_source.randrange(CROWD_LEAST, CROWD_MOST))
        case Kind.RESETS | Kind.SLOW_LINK:
            return Fault(at, lasts, kind, engine, node)
        case Kind.DISCOVERY_SILENT | Kind.WATCH_SILENT | Kind.TERM | Kind.KILL_NODE | Kind.HUP | Kind.STOP_NODE:
            return Fault(at, lasts, kind, (), node)
        case _:
            return Fault(at, lasts, kind, engine)
