"""Runs a scenario: emulated engines and the node as processes, clients and faults from this process, then the judge.

Everything runs on loopback and for a bounded time; all processes are ended in any case.
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
from stonetrack.scenario.result import ScenarioResult
from stonetrack.scenario.script import Scenario, load_scenario, plan
from stonetrack.settings import Node, SettingsError, merged, parse

IDLE_SECONDS = 1.5  # seconds after the last answer in which held state must be released
MAX_PROCESSOR_WAIT = 0.5  # share of a run; above it the machine may have caused a breach
EXIT_NOT_JUDGED = 3  # exit code of a run with breaches above that share


def node_settings(scenario: Scenario, list_url: str, state_dir: Path) -> dict[str, Any]:
    """The node's settings for a scenario as JSON values; the scenario's own settings take precedence."""
    extended = {"release": True, "hold": True}
    memory = {spec.role: spec.memory_tokens for spec in scenario.engines}
    base: dict[str, Any] = {
        "name": "day",
        "models": [{"name": "demo"}],
        **class_settings(scenario.clients),
        "kinds": [
            {"name": role.value, "role": role.value, "memory_tokens": tokens, **extended}
            for role, tokens in memory.items()
        ],
        "tenants": [{"name": "day"}],
        "any_key": True,
        "source": {"url": list_url, "wait_ms": 2_000},
        "listen": {"port": 0},
        "routing": {"may_hold_place": True, "routers": scenario.instances},
        "timing": {"drain_ms": 4_000},
        "state_dir": str(state_dir),
        "capture": {"dir": str(state_dir.parent / "capture")},
    }
    return merged(base, scenario.settings)


class FaultInjector(threading.Thread):
    """Injects the steps of a plan at their times."""

    def __init__(
        self, steps: list[Step], load_started: int, control: tuple[str, int], node: Process, log: Path
    ) -> None:
        super().__init__(name="troubles", daemon=True)
        self.steps, self.load_started, self.control, self.node, self.log = steps, load_started, control, node, log
        self.kills: list[Kill] = []
        self.injected: list[tuple[float, str, str]] = []
        self.failed: list[str] = []

    def run(self) -> None:
        """Inject each step at its time; steps that fail are recorded in ``failed``."""
        for step in self.steps:
            wait = step.at - (time.monotonic_ns() - self.load_started) / 1e9
            if wait > 0:
                time.sleep(wait)
            try:
                what = self._inject(step)
            except (CallFailed, OSError, ValueError, KeyError) as error:
                self.failed.append(f"{step.what} {step.engine}: {error}")
                continue
            self.injected.append(((time.monotonic_ns() - self.load_started) / 1e9, what, step.engine))

    def _inject(self, step: Step) -> str:
        if step.what in ("burst", "new_beginning"):
            return step.what  # injected by the load generator
        if step.what == "kill":
            pid = self.instance_pid(step.instance)
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

    def instance_pid(self, instance: int) -> int:
        """The process id of an instance, from the supervisor's log.  Raises KeyError if the log does not contain it."""
        found = None
        for line in self.log.read_text("utf-8").splitlines():
            with contextlib.suppress(json.JSONDecodeError):
                record = json.loads(line)
                if record.get("event") == "instance ready" and record.get("index") == instance:
                    found = record["pid"]
        if found is None:
            raise KeyError(f"instance {instance} is not in the log")
        return int(found)


def run_and_judge(scenario: Scenario, seed: int, folder: Path, output: Callable[[str], None]) -> ScenarioResult:
    """Run a scenario and judge it; logs go to ``folder``."""
    folder.mkdir(parents=True, exist_ok=True)
    seed += scenario.seed_offset
    steps = plan(scenario, seed)
    planned = schedule(scenario.clients, scenario.seconds, seed, steps)
    tap_path, node_log, settings_path = folder / "engines.log", folder / "node.log", folder / "settings.json"
    for path in (tap_path, node_log):
        path.unlink(missing_ok=True)
    fleet = Fleet(engines=scenario.engines, seed=seed, list_delay_ms=scenario.list_delay_ms)
    (folder / "fleet.json").write_bytes(msgspec.json.encode(fleet))
    with Pulse() as pulse, program("standin", str(folder / "fleet.json"), "--log", str(tap_path)) as engines:
        settings: Node = parse(json.dumps(node_settings(scenario, engines.url, folder / "state")))
        settings_path.write_bytes(msgspec.json.encode(settings))
        with program(
            "serve", str(settings_path), "--instances", str(scenario.instances), "--log", str(node_log)
        ) as node:
            load = Load(lambda: node.address, scenario.clients, planned, seed)
            load_started = time.monotonic_ns()
            injector = FaultInjector(steps, load_started, engines.address, node, node_log)
            injector.start()
            last_shown = [0.0]

            def show_progress(count: int) -> None:
                if time.monotonic() - last_shown[0] > 0.5:
                    last_shown[0] = time.monotonic()
                    output(f"\r{scenario.name}: {count} of {len(planned)} requests")

            client_records = load.run(show_progress)
            injector.join(10.0)
            time.sleep(IDLE_SECONDS)
            until = time.monotonic_ns()
        node_exit_code = node.running.returncode
    output("\n")
    log = read(tap_path)
    routing = settings.routing
    terms = Terms(grace=routing.drain_grace_ms * 1_000_000, release_within=routing.release_within_ms * 1_000_000)
    waits = pulse.waits()
    verdict = Judge(client_records, log, injector.kills, scenario.clients.classes, terms, until, waits).verdict()
    (folder / "clients.log").write_bytes(b"\n".join(msgspec.json.encode(s) for s in client_records) + b"\n")
    return ScenarioResult(scenario, seed, client_records, log, injector.kills, injector.injected,
                          load_started, verdict, node_exit_code, injector.failed, waits.share())  # fmt: skip


def run_scenario(path: Path, seed: int, folder: Path, progress: bool) -> int:
    """Run the scenario of a file; return the exit code.

    0: every rule was kept; 1: a rule was broken or a step failed; 2: the file is invalid; 3 (``EXIT_NOT_JUDGED``): a
    rule was broken while work waited for processors for more than ``MAX_PROCESSOR_WAIT`` of the time.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))  # so that the started processes are ended
    try:
        scenario = load_scenario(path)
    except SettingsError as error:
        click.echo(str(error), err=True)
        return 2
    result = run_and_judge(
        scenario, seed, folder, (lambda text: click.echo(text, nl=False, err=True)) if progress else lambda _: None
    )
    page = write_page(result, folder)
    click.echo(summary(result))
    click.echo(f"report {page}")
    if not result.verdict.kept and result.processor_wait_share > MAX_PROCESSOR_WAIT:
        return EXIT_NOT_JUDGED
    return 0 if result.verdict.kept and not result.failed_steps else 1


def summary(result: ScenarioResult) -> str:
    """The verdict as text of a few lines."""
    verdict = result.verdict
    counts = ", ".join(
        f"{n} {name}" for name, n in sorted(verdict.counts.items()) if name not in ("requests", "attempts")
    )
    lines = [
        f"{result.scenario.name}, seed {result.seed}: {verdict.counts['requests']} requests, "
        f"{verdict.counts['attempts']} attempts ({counts})",
        f"service {verdict.service:.3f} ({', '.join(f'{k} {v:.3f}' for k, v in verdict.service_by_class.items())})",
        "nearest to each bound: " + ", ".join(f"{name} {value:.2f}" for name, value in verdict.margins.items()),
        f"work waited for a processor in {result.processor_wait_share:.2f} of the time",
    ]
    lines += [f"fault not injected: {text}" for text in result.failed_steps]
    if verdict.kept:
        lines.append(f"rules kept ({verdict.excused} excused by kills)")
    else:
        lines.append(f"{len(verdict.breaches)} breaches:")
        lines += [f"  {breach}" for breach in verdict.breaches[:20]]
        if result.processor_wait_share > MAX_PROCESSOR_WAIT:
            lines.append(f"not judged: the machine was too busy (over {MAX_PROCESSOR_WAIT} of the time); play it again")
    return "\n".join(lines)
