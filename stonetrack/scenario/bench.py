"""A bench day's troubles as a scenario for the real node.

What is taken over: the kinds of trouble with their times, lengths, sizes and the roles of the servers they hit; the
classes with aims, deadlines, worth and effect; the roles' shares of the fleet.  What is not: speeds and rates of the
bench's servers (stand-ins have their own), and troubles that no socket shows.  A fleet is cut down to ``engines`` and
``instances``, a trouble to the same share of it, and time is squeezed to ``seconds``.  Times in a bench day are
microseconds.  :func:`convert` says what it left out.
"""

from __future__ import annotations

from typing import Any

import msgspec


class BenchError(ValueError):
    """Not a bench day; the text names what is missing."""


class _Trouble(msgspec.Struct):
    kind: str
    at: float
    len: float = 0.0
    size: float = 0.0
    extra: float = 0.0
    on: list[int] = []
    steps: list[dict[str, Any]] = []


class _Class(msgspec.Struct):
    name: str
    share: float = 1.0
    aim: float = 2e6
    deadline: float = 1e7
    worth: float = 1.0
    late_worth: float = 0.0
    effect: str = "safe"


class _Server(msgspec.Struct):
    kind: int = 0
    cell: int = 0
    up: bool = True


class _Family(msgspec.Struct):
    roles: list[str] = []


class _Day(msgspec.Struct):
    length: float
    troubles: list[_Trouble]
    classes: list[_Class]
    servers: list[_Server]
    balancers: list[dict[str, Any]] = []
    fam: _Family = msgspec.field(default_factory=_Family)
    site: str = "bench"
    drain_grace: float = 250_000.0


ROLES = {"read": "reader", "write": "writer", "both": "mixed"}
EFFECTS = {"safe": "safe", "pure": "safe", "keyed": "keyed", "token": "keyed", "unsafe": "unsafe",
           "side_effect": "unsafe"}  # fmt: skip


def convert(data: bytes, *, engines: int = 12, instances: int = 3, seconds: float = 30.0, rate: float = 60.0,
            ) -> tuple[dict[str, Any], list[str]]:  # fmt: skip
    """A scenario as JSON holds it, and what was left out.  Raises BenchError."""
    try:
        day = msgspec.json.decode(data, type=_Day, strict=False)
    except msgspec.DecodeError as error:
        raise BenchError(f"not a bench day: {error}") from None
    if not day.servers or not day.classes:
        raise BenchError("not a bench day: servers and classes are needed")
    roles = [ROLES.get(name, "mixed") for name in day.fam.roles] or ["mixed"]
    up = [s for s in day.servers if s.up] or day.servers
    fleet = _fleet(up, roles, engines)
    scale = seconds / max(day.length / 1e6, 1e-9)
    left_out: list[str] = []
    troubles: list[dict[str, Any]] = []
    for trouble in day.troubles:
        made = _trouble(trouble, day, roles, fleet, scale, instances)
        if not made:
            left_out.append(f"{trouble.kind} at {trouble.at / 1e6:.1f} s")
        troubles += made
    classes = [
        {"name": c.name, "share": c.share, "worth": c.worth, "late_worth": min(1.0, c.late_worth),
         "aim_ms": int(c.aim / 1e3), "deadline_ms": int(max(c.deadline, c.aim) / 1e3),
         "effect": EFFECTS.get(c.effect, "safe"), "turns": [1, 4]}
        for c in day.classes]  # fmt: skip
    cold = {"warm_within_ms": 5_000, "cold_window_ms": 1_500}
    return {
        "name": f"from {day.site}", "seconds": seconds, "instances": instances, "engines": fleet,
        "list_delay_ms": 300, "clients": {"rate": rate, "classes": classes},
        "troubles": sorted(troubles, key=lambda t: t["at_ms"]),
        "settings": {"routing": {**cold, "drain_grace_ms": max(250, int(day.drain_grace / 1e3))}},
    }, left_out  # fmt: skip


def _fleet(servers: list[_Server], roles: list[str], most: int) -> list[dict[str, Any]]:
    """A fleet of the same mix, at least one of each role that the day has."""
    by_role: dict[str, int] = {}
    for server in servers:
        role = roles[server.kind] if server.kind < len(roles) else "mixed"
        by_role[role] = by_role.get(role, 0) + 1
    total = sum(by_role.values())
    fleet = []
    for role, count in sorted(by_role.items()):
        for n in range(min(count, max(1, round(most * count / total)))):
            fleet.append({
                "name": f"{role[0]}{n}", "role": role, "cell": n % 2, "slots": 24, "queue": 24, "memory_tokens": 120_000,
                "read_rate": 40_000, "read_ms": 3, "token_ms": 8, "answer_least": 6, "answer_most": 24,
                "warm_ms": 5_000, "cold_window_ms": 1_500})  # fmt: skip
    return fleet


def _hit(trouble: _Trouble, servers: list[int], day: _Day, roles: list[str], fleet: list[dict[str, Any]]) -> list[str]:
    """Engines of our fleet that stand for those hit: the same share of each role, at least one."""
    names = []
    for role in dict.fromkeys(spec["role"] for spec in fleet):
        mine = [spec["name"] for spec in fleet if spec["role"] == role]
        all_of = [n for n, s in enumerate(day.servers) if (roles[s.kind] if s.kind < len(roles) else "mixed") == role]
        hit = len([n for n in servers if n in all_of])
        if hit:
            names += mine[: max(1, min(len(mine), round(len(mine) * hit / len(all_of))))]
    return names


def _trouble(trouble: _Trouble, day: _Day, roles: list[str], fleet: list[dict[str, Any]], scale: float,
             instances: int) -> list[dict[str, Any]]:  # fmt: skip
    at, span = int(trouble.at / 1e3 * scale), max(200, int(trouble.len / 1e3 * scale))
    engines = _hit(trouble, trouble.on, day, roles, fleet)

    def step(
        what: str, hit: list[str] | None = None, when: int = at, cls: str = "", **args: Any
    ) -> list[dict[str, Any]]:
        chosen = engines if hit is None else hit
        if cls:
            args["class"] = cls
        return [{"at_ms": when, "what": what, "engines": chosen, "args": args}] if chosen else []

    def load(what: str, **args: Any) -> list[dict[str, Any]]:
        return [{"at_ms": at, "what": what, "args": {"for_ms": span, **args}}]

    match trouble.kind:
        case "crash" | "vanish":
            return step("crash", down_ms=span)
        case "hang":
            return step("hang", for_ms=span)
        case "pauses":
            return step("pause", for_ms=min(span, 500))
        case "slow":
            return step("slow", for_ms=span, factor=max(1.5, trouble.size or 4.0))
        case "flush":
            every = [spec["name"] for spec in fleet if spec["role"] != "writer"]
            return step("flush", engines or every[: max(1, round(len(every) * (trouble.size or 0.5)))])
        case "fast_errors":
            return step("errors", for_ms=span, share=min(1.0, trouble.size or 0.5))
        case "answer_lost":
            return step("lost", engines or [spec["name"] for spec in fleet][:3], for_ms=span,
                        share=min(1.0, trouble.size or 0.3))  # fmt: skip
        case "throttle":
            return step("throttle", for_ms=span, cls=day.classes[0].name)
        case "preempt":
            made: list[dict[str, Any]] = []
            for each in trouble.steps:
                hit = _hit(trouble, list(each.get("stop", ())), day, roles, fleet)
                made += step(
                    "leave", hit, int(float(each.get("at", trouble.at)) / 1e3 * scale), notice_ms=800, down_ms=800
                )
            return made
        case "burst":
            return load("burst", factor=max(1.2, trouble.size or 2.0))
        case "hot_key":
            return load("new_beginning", share=min(1.0, trouble.size * 4 or 0.2))
        case "discovery_stale":
            return load("list_late", delay_ms=int(max(500.0, trouble.size * 1_000 * scale)))
        case "balancer_crash" | "balancer_roll":
            count = 1 if trouble.kind == "balancer_crash" else instances
            return [{"at_ms": at + n * max(1_500, span // max(count, 1)), "what": "kill", "instance": n}
                    for n in range(min(count, instances))]  # fmt: skip
    return []
