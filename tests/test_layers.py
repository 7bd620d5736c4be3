"""Imports point one way, rooms that must be pure are, and the adapter needs nothing beyond the module."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "stonetrack"
# What each package may import of ours, itself and the module's interface aside.
ALLOWED = {
    "wire": set(),
    "node": set(),
    "settings": set(),
    "bootstrap": set(),
    "engines": {"node", "wire", "settings", "bootstrap"},
    "frontend": {"node", "wire", "settings"},
    "background": set(),
    "manage": {"settings"},
    "election": set(),
    "pages": set(),
    "audit": {"pages", "engines", "node", "wire", "settings"},
    "cas_store": {"engines", "node", "wire"},
    "control": {"election", "frontend", "engines", "node", "wire", "settings"},
    "controller": {
        "control",
        "capture",
        "discovery",
        "frontend",
        "cas_store",
        "election",
        "engines",
        "wire",
        "settings",
    },
    "discovery": {"election", "frontend", "engines", "node", "wire", "settings"},
    "capture": {"logic", "background"},
    "daemon": {
        "control",
        "audit",
        "background",
        "capture",
        "frontend",
        "engines",
        "node",
        "wire",
        "settings",
        "bootstrap",
        "logic",
    },  # fmt: skip
    "edge": {"frontend", "engines", "node", "wire", "settings", "logic", "simulator_adapter"},
    "emulator": {"discovery", "cas_store", "frontend", "settings", "engines", "wire"},
    "fleet": {
        "node",
        "control",
        "logic",
        "pages",
        "emulator",
        "discovery",
        "cas_store",
        "election",
        "bootstrap",
        "engines",
        "wire",
        "settings",
    },  # fmt: skip
    "soak": {"fleet", "emulator", "wire"},
    "scenario": {"pages", "fleet", "emulator", "engines", "wire", "settings"},
    "cli": {
        "control",
        "audit",
        "controller",
        "cas_store",
        "election",
        "background",
        "capture",
        "discovery",
        "fleet",
        "soak",
        "scenario",
        "emulator",
        "daemon",
        "edge",
        "frontend",
        "engines",
        "settings",
    },  # fmt: skip
}
COMMON = {"api", "clocks", "durable", "__version__"}  # what every package may import
IO = {"socket", "select", "threading", "time", "os", "subprocess", "queue", "signal"}
PURE = [
    "wire/*.py", "node/invariants.py", "node/transitions.py",
    "node/request_lifecycle.py", "node/ports.py", "node/system_errors.py", "engines/protocol.py", "engines/load.py",
    "engines/server_list.py", "engines/release_queue.py", "engines/reuse_delay.py", "engines/start_times.py",
    "bootstrap/*.py",
    "discovery/history.py", "discovery/admission.py", "discovery/settings.py", "election/*.py", "audit/filter.py",
    "audit/audit_log.py", "audit/hash_chain.py", "audit/queries.py", "audit/collection_schedule.py",
    "audit/settings.py",
    "cas_store/ports.py", "controller/jobs.py", "controller/maintenance.py",
    "controller/publishing.py", "controller/rollout.py", "controller/health_checks.py",
    "engines/failure_hints.py", "control/documents.py", "control/follower.py", "control/history.py",
    "control/rollout.py",
    "control/settings.py", "control/model_checker.py", "control/stale_nodes.py", "control/messages.py",
    "daemon/stable_positions.py", "engines/idle_timeouts.py", "controller/retention.py",
    "controller/settings.py", "fleet/shape.py",
    "fleet/script.py", "fleet/model.py", "fleet/judge.py", "fleet/serving.py", "fleet/faulted.py",
    "frontend/answers.py", "frontend/classify.py", "frontend/auth.py", "frontend/errors.py",
    "wire/json_limits.py", "settings/*.py", "emulator/engine.py", "emulator/answers.py", "fleet/rules.py",
    "fleet/traffic.py", "soak/engine_side.py", "scenario/script.py",
    "scenario/bench.py", "capture/codec.py", "capture/segment.py", "capture/snapshot.py", "capture/explain.py",
    "capture/compare.py", "capture/index.py", "capture/retention.py", "capture/case.py", "capture/redact.py",
    "capture/journal.py", "manage/framing.py", "manage/datastore.py", "manage/yang.py", "manage/model.py",
    "manage/messages.py", "edge/config.py", "edge/requests.py", "edge/exchange.py", "edge/engine_table.py",
    "edge/budget.py",
    "background/timer_wheel.py", "background/scheduler.py", "logic.py", "api.py",
]  # fmt: skip
BANNED = {"asyncio", "socketserver", "http", "urllib", "xmlrpc", "requests", "httpx", "h11", "h2", "grpc"}
# A helper of the standard library that opens nothing: reading a query string.
EXCEPTIONS = {("emulator/host.py", "urllib.parse")}


def imports(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            if node.module == "stonetrack":
                found |= {f"stonetrack.{alias.name}" for alias in node.names}
    return found


FILES = sorted(path for path in ROOT.rglob("*.py"))


@pytest.mark.parametrize("path", FILES, ids=lambda p: str(p.relative_to(ROOT)))
def test_imports_point_one_way(path: Path) -> None:
    package = path.relative_to(ROOT).parts[0]
    if package not in ALLOWED:
        return
    for name in imports(path):
        parts = name.split(".")
        if parts[0] == "stonetrack" and len(parts) > 1:
            assert parts[1] in ALLOWED[package] | COMMON | {package}, f"{path} imports {name}"


@pytest.mark.parametrize("path", [p for pattern in PURE for p in sorted(ROOT.glob(pattern))], ids=str)
def test_decisions_and_protocols_are_free_of_io(path: Path) -> None:
    assert not {name.split(".")[0] for name in imports(path)} & IO, path


@pytest.mark.parametrize("path", FILES, ids=lambda p: str(p.relative_to(ROOT)))
def test_no_networking_library_is_used(path: Path) -> None:
    used = {name for name in imports(path) if name.split(".")[0] in BANNED}
    assert not {name for name in used if (str(path.relative_to(ROOT)), name) not in EXCEPTIONS}


def test_the_adapter_loads_nothing_beyond_the_module() -> None:
    code = (
        "import sys; import stonetrack.simulator_adapter; "
        "print('\\n'.join(n for n in sys.modules if n.startswith('stonetrack')))"
    )
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split()
    assert set(loaded) == {"stonetrack", "stonetrack.api", "stonetrack.logic", "stonetrack.simulator_adapter"}


def test_each_package_says_what_it_is_for() -> None:
    for package in ALLOWED:
        text = ast.get_docstring(ast.parse((ROOT / package / "__init__.py").read_text("utf-8"))) or ""
        assert "Must not depend on" in text and len(text.splitlines()) >= 4, package
