"""Runs a day: stand-ins and the node as processes of their own, clients and troubles from here, then the judge.

Everything is on loopback, bounded in time, and ended at the end, whatever happened.
"""

from __future__ import annotations

import contextlib
import json
import signal
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from stonetrack.emulator.host import Fleet
from stonetrack.emulator.tap import read
from stonetrack.engines.calls import CallFailed
from stonetrack.fleet.load import Load, gone, kill, schedule
from stonetrack.fleet.processes import Process, inject, program
from stonetrack.fleet.pulse import Pulse
from stonetrack.fleet.rules import Judge, Kill, Terms
from stonetrack.fleet.traffic import Step, class_settings
from stonetrack.scenario.page import write_page
from stonetrack.scenario.played import Played
from stonetrack.scenario.script import Day, load_day, plan
from stonetrack.settings import Node, SettingsError, merged, parse

QUIET = 1.5  # seconds after the last answer in which things must be let go of
BUSY = 0.5  # of a play's time waited for processors: from here on a broken rule may be the machine's
NOT_JUDGED = 3  # the exit code of such a play


def node_settings(day: Day, list_url: str, state_dir: Path) -> dict[str, Any]:
    """The node's settings for a day, as JSON holds them; the day's own win."""
    extended = {"release": True, "hold": True}
    memory = {spec.role: spec.memory_tokens for spec in day.engines}
    base: dict[str, Any] = {
        "name": "day",
        "models": [{"name": "demo"}],
        **class_settings(day.clients),
        "kinds": [
            {"name": role.value, "role": role.value, "memory_tokens": tokens, **extended}
            for role, tokens in memory.items()
        ],
        "tenants": [{"name": "day"}],
        "any_key": True,
        "source": {"url": list_url, "wait_ms": 2_000},
        "listen": {"port": 0},
        "routing": {"may_hold_place": True, "routers": day.instances},
        "timing": {"drain_ms": 4_000},
        "state_dir": str(state_dir),
        "capture": {"dir": str(state_dir.parent / "capture")},
    }
    return merged(base, day.settings)


class Troubles(threading.Thread):
    """Carries out a plan."""

    def __init__(self, steps: list[Step], start: int, control: tuple[str, int], node: Process, log: Path) -> None:
        super().__init__(name="troubles", daemon=True)
        self.steps, self.start_at, self.control, self.node, self.log = steps, start, control, node, log
        self.kills: list[Kill] = []
        self.done: list[tuple[float, str, str]] = []
        self.failed: list[str] = []

    def run(self) -> None:
        """Each step at its time."""
        for step in self.steps:
            wait = step.at - (time.monotonic_ns() - self.start_at) / 1e9
            if wait > 0:
                time.sleep(wait)
            try:
                what = self._do(step)
            except (CallFailed, OSError, ValueError, KeyError) as error:
                self.failed.append(f"{step.what} {step.engine}: {error}")
                continue
            self.done.append(((time.monotonic_ns() - self.start_at) / 1e9, what, step.engine))

    def _do(self, step: Step) -> str:
        if step.what in ("burst", "new_beginning"):
            return step.what  # part of the load
        if step.what == "kill":
            pid = self.pid(step.instance)
            at = time.monotonic_ns()
            kill(pid, signal.SIGKILL)
            while not gone(pid) and time.monotonic_ns() < at + 5_000_000_000:
                time.sleep(0.002)
            self.kills.append(Kill(at, time.monotonic_ns(), f"day-{step.instance}"))
            return f"kill day-{step.instance}"
        if step.what == "reload":
            kill(self.node.running.pid, signal.SIGHUP)
            return "reload"
        inject(self.control, step.engine, step.what, step.args)
        return step.what

    def pid(self, instance: int) -> int:
        """The process of an instance, by the supervisor's log."""
        found = None
        for line in self.log.read_text("utf-8").splitlines():
            with contextlib.suppress(json.JSONDecodeError):
                record = json.loads(line)
                if record.get("event") == "instance ready" and record.get("index") == instance:
                    found = record["pid"]
        if found is None:
            raise KeyError(f"instance {instance} is not in the log")
        return int(found)


def play(day: Day, seed: int, folder: Path, tell: Callable[[str], None]) -> Played:
    """Play a day and judge it; logs go to ``folder``."""
    folder.mkdir(parents=True, exist_ok=True)
    seed += day.seed_offset
    steps = plan(day, seed)
    planned = schedule(day.clients, day.seconds, seed, steps)
    tap_path, node_log, settings_path = folder / "engines.log", folder / "node.log", folder / "settings.json"
    for path in (tap_path, node_log):
        path.unlink(missing_ok=True)
    fleet = Fleet(engines=day.engines, seed=seed, list_delay_ms=day.list_delay_ms)
    (folder / "fleet.json").write_bytes(msgspec.json.encode(fleet))
    with Pulse() as pulse, program("standin", str(folder / "fleet.json"), "--log", str(tap_path)) as engines:
        settings: Node = parse(json.dumps(node_settings(day, engines.url, folder / "state")))
        settings_path.write_bytes(msgspec.json.encode(settings))
        with program("serve", str(settings_path), "--instances", str(day.instances), "--log", str(node_log)) as node:
            load = Load(lambda: node.address, day.clients, planned, seed)
            start = time.monotonic_ns()
            troubles = Troubles(steps, start, engines.address, node, node_log)
            troubles.start()
            shown = [0.0]

            def tick(count: int) -> None:
                if time.monotonic() - shown[0] > 0.5:
                    shown[0] = time.monotonic()
                    tell(f"\r{day.name}: {count} of {len(planned)} requests")

            seen = load.run(tick)
            troubles.join(10.0)
            time.sleep(QUIET)
            until = time.monotonic_ns()
        node_exit = node.running.returncode
    tell("\n")
    log = read(tap_path)
    routing = settings.routing
    terms = Terms(grace=routing.drain_grace_ms * 1_000_000, release_within=routing.release_within_ms * 1_000_000)
    waits = pulse.waits()
    verdict = Judge(seen, log, troubles.kills, day.clients.classes, terms, until, waits).verdict()
    (folder / "clients.log").write_bytes(b"\n".join(msgspec.json.encode(s) for s in seen) + b"\n")
    return Played(day, seed, seen, log, troubles.kills, troubles.done, start, verdict, node_exit, troubles.failed,
                  waits.share())  # fmt: skip


def run_day(path: Path, seed: int, folder: Path, progress: bool) -> int:
    """Play a file's day; 0 where every rule was kept, 1 where not, 2 for a file that can't be used.

    3 where rules were broken on a machine on which work waited for processors for half of the play.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))  # so that what was started is ended
    try:
        day = load_day(path)
    except SettingsError as error:
        click.echo(str(error), err=True)
        return 2
    played = play(
        day, seed, folder, (lambda text: click.echo(text, nl=False, err=True)) if progress else lambda _: None
    )
    page = write_page(played, folder)
    click.echo(summary(played))
    click.echo(f"report {page}")
    if not played.verdict.kept and played.waited > BUSY:
        return NOT_JUDGED
    return 0 if played.verdict.kept and not played.failed_steps else 1


def summary(played: Played) -> str:
    """The verdict in a few lines."""
    verdict = played.verdict
    counts = ", ".join(
        f"{n} {name}" for name, n in sorted(verdict.counts.items()) if name not in ("requests", "attempts")
    )
    lines = [
        f"{played.day.name}, seed {played.seed}: {verdict.counts['requests']} requests, "
        f"{verdict.counts['attempts']} attempts ({counts})",
        f"service {verdict.service:.3f} ({', '.join(f'{k} {v:.3f}' for k, v in verdict.service_by_class.items())})",
        "nearest to each bound: " + ", ".join(f"{name} {value:.2f}" for name, value in verdict.margins.items()),
        f"work waited for a processor in {played.waited:.2f} of the time",
    ]
    lines += [f"trouble not carried out: {text}" for text in played.failed_steps]
    if verdict.kept:
        lines.append(f"rules kept ({verdict.excused} excused by kills)")
    else:
        lines.append(f"{len(verdict.breaches)} breaches:")
        lines += [f"  {breach}" for breach in verdict.breaches[:20]]
        if played.waited > BUSY:
            lines.append(f"not judged: the machine was too busy (over {BUSY} of the time); play it again")
    return "\n".join(lines)
