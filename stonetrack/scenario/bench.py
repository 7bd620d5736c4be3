"""Conversion of a bench scenario into a scenario for the real node.

Converted are the faults with their times, durations, sizes and the roles of the affected servers; the classes with
latency targets, deadlines, utility and idempotency; the roles' shares of the fleet.  Not converted are the speeds and
rates of the bench's servers (emulated engines have their own) and faults that are not visible on sockets.  The fleet is
reduced to ``engines`` and ``instances``, each fault to the same share of it, and the time is scaled to ``seconds``.  Times
in a bench scenario are microseconds.  :func:`convert` also returns the omitted faults.
"""

from __future__ import annotations

from typing import Any

import msgspec


class BenchError(ValueError):
    """The file is not a bench scenario; the text names what is missing."""


class _BenchFault(msgspec.Struct):
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


class _BenchScenario(msgspec.Struct):
    length: float
    troubles: list[_BenchFault]
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
    """The scenario as JSON values, and the omitted faults.  Raises BenchError if ``data`` is not a bench scenario."""
    try:
        scenario = msgspec.json.decode(data, type=_BenchScenario, strict=False)
    except msgspec.DecodeError as error:
        raise BenchError(f"not a bench scenario: {error}") from None
    if not scenario.servers or not scenario.classes:
        raise BenchError("not a bench scenario: servers and classes are needed")
    roles = [ROLES.get(name, "mixed") for name in scenario.fam.roles] or ["mixed"]
    up = [s for s in scenario.servers if s.up] or scenario.servers
    fleet = _scaled_fleet(up, roles, engines)
    scale = seconds / max(scenario.length / 1e6, 1e-9)
    omitted: list[str] = []
    faults: list[dict[str, Any]] = []
    for fault in scenario.troubles:
        converted = _convert_fault(fault, scenario, roles, fleet, scale, instances)
        if not converted:
            omitted.append(f"{fault.kind} at {fault.at / 1e6:.1f} s")
        faults += converted
    classes = [
        {"name": c.name, "share": c.share, "worth": c.worth, "late_worth": min(1.0, c.late_worth),
         "aim_ms": int(c.aim / 1e3), "deadline_ms": int(max(c.deadline, c.aim) / 1e3),
         "effect": EFFECTS.get(c.effect, "safe"), "turns": [1, 4]}
        for c in scenario.classes]  # fmt: skip
    cold = {"warm_within_ms": 5_000, "cold_window_ms": 1_500}
    return {
        "name": f"from {scenario.site}", "seconds": seconds, "instances": instances, "engines": fleet,
        "list_delay_ms": 300, "clients": {"rate": rate, "classes": classes},
        "troubles": sorted(faults, key=lambda t: t["at_ms"]),
        "settings": {"routing": {**cold, "drain_grace_ms": max(250, int(scenario.drain_grace / 1e3))}},
    }, omitted  # fmt: skip


def _scaled_fleet(servers: list[_Server], roles: list[str], most: int) -> list[dict[str, Any]]:
    """A fleet of at most about ``most`` engines with the same mix of roles, at least one of each role."""
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


def _engines_hit(
    fault: _BenchFault, servers: list[int], scenario: _BenchScenario, roles: list[str], fleet: list[dict[str, Any]]
) -> list[str]:
    """The engines of the scaled fleet that represent the affected servers: the same share of each role, at least one."""
    names = []
    for role in dict.fromkeys(spec["role"] for spec in fleet):
        candidates = [spec["name"] for spec in fleet if spec["role"] == role]
        same_role = [
            n for n, s in enumerate(scenario.servers) if (roles[s.kind] if s.kind < len(roles) else "mixed") == role
        ]
        affected = len([n for n in servers if n in same_role])
        if affected:
            names += candidates[: max(1, min(len(candidates), round(len(candidates) * affected / len(same_role))))]
    return names


def _convert_fault(fault: _BenchFault, scenario: _BenchScenario, roles: list[str], fleet: list[dict[str, Any]], scale: float,
             instances: int) -> list[dict[str, Any]]:  # fmt: skip
    at, duration_ms = int(fault.at / 1e3 * scale), max(200, int(fault.len / 1e3 * scale))
    engines = _engines_hit(fault, fault.on, scenario, roles, fleet)

    def step(
        what: str, affected: list[str] | None = None, when: int = at, cls: str = "", **args: Any
    ) -> list[dict[str, Any]]:
        chosen = engines if affected is None else affected
        if cls:
            args["class"] = cls
        return [{"at_ms": when, "what": what, "engines": chosen, "args": args}] if chosen else []

    def load(what: str, **args: Any) -> list[dict[str, Any]]:
        return [{"at_ms": at, "what": what, "args": {"for_ms": duration_ms, **args}}]

    match fault.kind:
        case "crash" | "vanish":
            return step("crash", down_ms=duration_ms)
        case "hang":
            return step("hang", for_ms=duration_ms)
        case "pauses":
            return step("pause", for_ms=min(duration_ms, 500))
        case "slow":
            return step("slow", for_ms=duration_ms, factor=max(1.5, fault.size or 4.0))
        case "flush":
            every = [spec["name"] for spec in fleet if spec["role"] != "writer"]
            return step("flush", engines or every[: max(1, round(len(every) * (fault.size or 0.5)))])
        case "fast_errors":
            return step("errors", for_ms=duration_ms, share=min(1.0, fault.size or 0.5))
        case "answer_lost":
            return step("lost", engines or [spec["name"] for spec in fleet][:3], for_ms=duration_ms,
                        share=min(1.0, fault.size or 0.3))  # fmt: skip
        case "throttle":
            return step("throttle", for_ms=duration_ms, cls=scenario.classes[0].name)
        case "preempt":
            converted: list[dict[str, Any]] = []
            for each in fault.steps:
                affected = _engines_hit(fault, list(each.get("stop", ())), scenario, roles, fleet)
                converted += step(
                    "leave", affected, int(float(each.get("at", fault.at)) / 1e3 * scale), notice_ms=800, down_ms=800
                )
            return converted
        case "burst":
            return load("burst", factor=max(1.2, fault.size or 2.0))
        case "hot_key":
            return load("new_beginning", share=min(1.0, fault.size * 4 or 0.2))
        case "discovery_stale":
            return load("list_late", delay_ms=int(max(500.0, fault.size * 1_000 * scale)))
        case "balancer_crash" | "balancer_roll":
            count = 1 if fault.kind == "balancer_crash" else instances
            return [{"at_ms": at + n * max(1_500, duration_ms // max(count, 1)), "what": "kill", "instance": n}
                    for n in range(min(count, instances))]  # fmt: skip
    return []
