"""What a fleet is made of and what breaks, as a Jsonnet file gives it.  Nothing here runs anything.

A *link* stands between two parts, given by their names: ``n0``, ``n1``… are nodes, ``lists`` the list service, ``e:r0``
an engine, ``check`` the checker that looks at every node's readiness.  A fault on links names who connects (``of``, a
pattern; all by default) and to whom (``to``); one on processes names them in ``to``.
"""

from __future__ import annotations

import random
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta

from stonetrack.emulator.engine import Spec
from stonetrack.emulator.etcd import FAULTS as REGISTER_FAULTS
from stonetrack.emulator.host import FAULTS
from stonetrack.fleet.traffic import Clients
from stonetrack.settings import SettingsError, decode, evaluate
from stonetrack.settings.check import Problem
from stonetrack.settings.schema import Strict

FROM = "@from"  # whoever the record is from that a fault waits for
ON_LINKS = ("refuse", "cut", "cut_there", "cut_back", "delay", "slow", "reset", "break_after")
ON_PROCESSES = ("kill", "stop", "term", "start", "lose_state", "keep_state", "old_state", "full_disk", "hup")
ON_REGISTER = tuple(f"register_{name}" for name in REGISTER_FAULTS)  # the stand-in of etcd's own
ON_ENGINES = tuple(f"engine_{name}" for name in FAULTS if name != "list_late")  # the stand-ins' own
WHAT = (*ON_LINKS, *ON_PROCESSES, *ON_ENGINES, *ON_REGISTER)


class Fault(Strict, frozen=True):
    """One fault; times in seconds from the start.

    ``for_s`` is how long it lasts (a killed or stopped process comes back then; 0: it stays).  ``when`` replaces
    ``at``: the fault comes once a record passes whose fields are these, as often as ``times``; ``@from`` in ``to`` or
    ``of`` is then whoever the record is from.
    """

    what: str
    to: str
    of: str = "*"
    at: Annotated[float, Meta(ge=0.0, le=3_600.0)] = 0.0
    for_s: Annotated[float, Meta(ge=0.0, le=3_600.0)] = 0.0
    after_s: Annotated[float, Meta(ge=0.0, le=600.0)] = 0.0  # from the record that a fault waits for
    jitter_s: Annotated[float, Meta(ge=0.0, le=600.0)] = 0.0
    share: Annotated[float, Meta(gt=0.0, le=1.0)] = 1.0  # of the parts that the pattern names, picked by the seed
    when: dict[str, Any] = {}
    times: Annotated[int, Meta(ge=1)] = 1
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    args: dict[str, Any] = {}  # of a fault of the stand-ins
    bytes: Annotated[int, Meta(ge=0)] = 0  # slow: a second; break_after: after so many


class Service(Strict, frozen=True):
    """The list service's settings that a script may set."""

    lists_per_second: Annotated[float, Meta(gt=0.0)] = 10.0
    waiting: Annotated[float, Meta(ge=1.0)] = 8.0
    versions: Annotated[int, Meta(ge=1)] = 1_000


class Stewards(Strict, frozen=True):
    """Stewards of the play, ``s0``, ``s1``…, with the stand-in of etcd, ``register``, between them.

    They publish ``publish`` lists of ``engines`` lines, and maintain some of these.
    """

    count: Annotated[int, Meta(ge=1, le=100)] = 3
    lease_s: Annotated[float, Meta(gt=0.0, le=600.0)] = 1.0
    margin_ms: Annotated[int, Meta(ge=0)] = 50
    publish: Annotated[int, Meta(ge=0, le=1_000)] = 5
    every_s: Annotated[float, Meta(gt=0.0)] = 2.0  # from one list that is to be published to the next
    maintain: Annotated[int, Meta(ge=0, le=100)] = 3  # lines of engines that nobody runs
    maintained: tuple[str, ...] = ()  # engines, in place of these
    phase_s: Annotated[float, Meta(gt=0.0)] = 0.4  # of maintenance
    checks_s: Annotated[float, Meta(ge=0.0)] = 0.0  # from one round of checks of engines to the next; 0: none
    rollout: dict[str, Any] = {}  # settings of roll-outs, where there is a control service
    embedded: bool = False  # a folder of LMDB in place of the stand-in


class Publication(Strict, frozen=True):
    """A version of the settings that is published during a play; ``rollback`` gives up the staged one instead."""

    at: Annotated[float, Meta(ge=0.0, le=3_600.0)]
    content: dict[str, Any] = {}
    kind: str = "rule"
    share: Annotated[float, Meta(ge=0.0, le=1.0)] = 1.0
    term: int = 0  # of the owner that publishes it; 0: by hand
    rolled: bool = False  # put into the stewards' folder for roll-outs instead


class Controlled(Strict, frozen=True):
    """A control service, ``control``, that the nodes follow, and what it publishes."""

    settings: dict[str, Any] = {}  # over the rig's own
    versions: tuple[Publication, ...] = ()


class Script(Strict, frozen=True):
    """A whole play."""

    name: str
    seconds: Annotated[float, Meta(gt=0.0, le=3_600.0)]
    nodes: Annotated[int, Meta(ge=0, le=100_000)]
    start_within_ms: Annotated[float, Meta(ge=0.0, le=600_000.0)] = 1_000.0
    lists: Service = Service()
    wait_ms: Annotated[int, Meta(ge=0, le=300_000)] = 20_000
    engines: tuple[Spec, ...] = ()
    listed: Annotated[int, Meta(ge=0, le=10_000)] = 100  # lines of engines that nobody runs, to give the list its size
    list_bytes: Annotated[int, Meta(ge=1)] = 14_000  # of such a list, for the model
    changes: tuple[float, ...] = ()  # when the list changes
    faults: tuple[Fault, ...] = ()
    node: dict[str, Any] = {}  # settings of each node, over the rig's own
    clients: Clients | None = None  # who ask the nodes that are ready, in turn
    load_from: Annotated[float, Meta(ge=0.0)] = 5.0  # seconds from the start
    clock_ms: dict[str, int] = {}  # how far the clocks of some nodes and stewards are ahead
    instances: Annotated[int, Meta(ge=1, le=64)] = 1
    stewards: Stewards | None = None
    control: Controlled | None = None
    node_of: dict[str, dict[str, Any]] = {}  # settings of single nodes, over those of all


def load_script(path: Path, variables: dict[str, str] | None = None) -> Script:
    """A script from a file.  Raises SettingsError naming what is wrong and what is allowed."""
    return parse_script(evaluate(path, variables), str(path))


def parse_script(text: str, where: str = "script") -> Script:
    """A script from JSON.  Raises SettingsError."""
    script = decode(text, Script, where)
    wrong = []
    known = names(script)
    for n, fault in enumerate(script.faults):
        if fault.what not in WHAT:
            wrong.append(Problem(f"$.faults[{n}].what", fault.what, ", ".join(WHAT)))
        if fault.what in ON_ENGINES and not fault.to.startswith("e:"):
            wrong.append(Problem(f"$.faults[{n}].to", fault.to, "e:NAME, for a fault of engines"))
        if FROM in (fault.to, fault.of) and not fault.when:
            wrong.append(Problem(f"$.faults[{n}].when", fault.when, f"fields of a record, where {FROM} is named"))
        if fault.to != FROM and not any(fnmatchcase(name, fault.to) for name in known):
            wrong.append(Problem(f"$.faults[{n}].to", fault.to, "a pattern of n0…, lists, e:NAME"))
    for field, of in (("clock_ms", script.clock_ms), ("node_of", script.node_of)):
        for name in set(of) - set(known):
            wrong.append(Problem(f"$.{field}", name, "names of nodes"))
    if not script.nodes and script.stewards is None:
        wrong.append(Problem("$.nodes", script.nodes, "one node at least, or stewards"))
    if script.clients is not None and not script.engines:
        wrong.append(Problem("$.engines", [], "engines, where there are clients"))
    if wrong:
        raise SettingsError(wrong, where)
    return script


def names(script: Script) -> list[str]:
    """All parts that a fault may name."""
    more = [*(f"s{n}" for n in range(script.stewards.count)), "register"] if script.stewards is not None else []
    more += ["control"] if script.control is not None else []
    return [*(f"n{n}" for n in range(script.nodes)), "lists", *(f"e:{spec.name}" for spec in script.engines), *more]


def picked(script: Script, fault: Fault, draw: random.Random) -> list[str]:
    """The parts that a fault hits: all that its pattern names, or a share of them, one at least."""
    hit = [name for name in names(script) if fnmatchcase(name, fault.to)]
    if fault.share < 1.0:
        hit = draw.sample(hit, max(1, round(fault.share * len(hit))))
    return hit
