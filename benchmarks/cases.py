"""Makes the cases in ``tests/cases``: a live node with logic.py as it was before each fix runs on emulated engines under
the fault that the fix is for; its capture is cut where the fix first decides otherwise.  Needs the project's history.

    .venv/bin/python -m benchmarks.cases OUT [NAME ...]
"""

from __future__ import annotations

import contextlib
import random
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from stonetrack.capture import case, history, revision
from stonetrack.capture.codec import CaptureError
from stonetrack.logic import Router
from tests.harness import Client, Harness, chat, harness


@dataclass(frozen=True)
class Recipe:
    """One failure: the commit that fixed it, and the fault under which it shows."""

    fixed_by: str
    title: str
    found: str
    fault: Callable[[Harness], None]
    clients: int = 12
    seconds: float = 4.0
    words: tuple[int, int] = (50, 3_000)
    fleet: dict[str, Any] = field(default_factory=lambda: {"prefill": 3, "decode": 3})
    spec: dict[str, Any] = field(default_factory=dict)
    settings: dict[str, Any] = field(default_factory=dict)


def restart(node: Harness) -> None:
    time.sleep(0.5)
    node.fault("r1", "crash", down_ms=300)


def slow(engine: str, factor: float) -> Callable[[Harness], None]:
    def go(node: Harness) -> None:
        time.sleep(0.7)
        node.fault(engine, "slow", factor=factor, for_ms=3_000)

    return go


def hang(engine: str) -> Callable[[Harness], None]:
    def go(node: Harness) -> None:
        time.sleep(0.7)
        node.fault(engine, "hang", for_ms=2_500)

    return go


def nothing(node: Harness) -> None:
    """No fault but the load."""


HEAVY = {"read_rate": 30_000.0, "token_ms": 4.0}
RECIPES = {
    "cold-unused": Recipe(
        "069de13", "a restarted reader was hardly used while cold", "releases and preemptions on suva-charge-later", restart,
        clients=6, seconds=2.5,
    ),
    "moving-queue": Recipe(
        "9201cc2", "reads in a queue that moved were called off and read anew", "small fleets, days of crashes",
        nothing, clients=40, spec={**HEAVY, "read_rate": 9_000.0}, fleet={"prefill": 2, "decode": 2},
    ),
    "late-credit": Recipe(
        "b351457", "timely outcomes paid for calls off while queues grew", "answers lost on kochi-statements",
        hang("r0"), clients=40, spec={**HEAVY, "read_rate": 12_000.0}, fleet={"prefill": 2, "decode": 2},
    ),
    "waiting-writer": Recipe(
        "4b53495", "streams went on to a writer at which first tokens were waited for", "incident if7b347",
        hang("w0"), clients=24,
    ),
    "crowded-reader": Recipe(
        "247e015", "prefixes drew requests to a reader that would answer late", "kochi-statements, nothing reported",
        slow("r0", 12.0), clients=24, spec=HEAVY,
    ),
    "late-answers": Recipe(
        "99c5f44", "work that could not be in time displaced timely work", "incidents ia626ed, i9a9161, if7b347",
        nothing, clients=60, spec={**HEAVY, "read_rate": 6_000.0},
    ),
    "pile-up": Recipe(
        "6ec3205", "readers past their aim went on competing by their prefixes", "suva-charge, standard days",
        slow("r0", 10.0), clients=40, spec={**HEAVY, "read_rate": 12_000.0},
    ),
    "faded": Recipe(
        "016e123", "after a burst idle writers were refused for: nothing new was sampled", "kochi's burst",
        slow("w0", 20.0), clients=30,
    ),
}  # fmt: skip


def live(recipe: Recipe, old: revision.Module, folder: Path, seed: int) -> None:
    """Run the node with the old logic.py and capture it."""
    settings = {
        **recipe.settings,
        "capture": {"dir": str(folder), "flush_ms": 20},
        "classes": [{"name": "chat", "first_token_ms": 600, "deadline_ms": 3_000, "worth": 1.0},
                    {"name": "batch", "first_token_ms": 900, "deadline_ms": 3_000, "worth": 0.2}],
        "rules": [{"to": "batch", "header": {"name": "x-batch", "value": "1"}}],
    }  # fmt: skip
    made = lambda s, n: old.make(s, n)  # noqa: E731
    with harness(**recipe.fleet, settings=settings, make_router=made, **recipe.spec) as node:
        end = time.monotonic() + recipe.seconds

        def one(index: int) -> None:
            draw = random.Random(seed * 1_000 + index)
            client = Client(node.port)
            while time.monotonic() < end:
                text = "w " * draw.randrange(*recipe.words)
                headers = "X-Batch: 1\r\n" * (draw.random() < 0.4) + f"X-Session-Id: s{draw.randrange(9)}\r\n"
                with contextlib.suppress(OSError):
                    client.call(chat(text, max_tokens=4), headers=headers)
            client.close()

        threads = [threading.Thread(target=one, args=(n,)) for n in range(recipe.clients)]
        for thread in threads:
            thread.start()
        recipe.fault(node)
        for thread in threads:
            thread.join(20.0)


def make(name: str, out: Path, tries: int = 3) -> bool:
    """Make one case; returns whether the fault appeared."""
    recipe = RECIPES[name]
    old, new = revision.load(recipe.fixed_by + "^"), revision.load(recipe.fixed_by)
    for seed in range(tries):
        with tempfile.TemporaryDirectory() as temporary:
            live(recipe, old, Path(temporary), seed)
            (files,) = history.segments_by_router(Path(temporary)).values()
            header, events = case.recorded_history(history.iter_records(files, []))
            try:
                made = case.cut_case(header, events, old, new, title=recipe.title, fixed_by=recipe.fixed_by,
                                found=recipe.found, later_make=Router, on_progress=lambda text: print(f"{name}: {text}"))  # fmt: skip
            except CaptureError as error:
                print(f"{name}, seed {seed}: {str(error)[:200]}")
                continue
        (out / f"{name}.case").write_bytes(case.encode(made))
        return True
    return False


def main() -> None:
    """Make all cases, or those named."""
    out = Path(sys.argv[1])
    out.mkdir(parents=True, exist_ok=True)
    for name in sys.argv[2:] or RECIPES:
        print(f"{name}: {'made' if make(name, out) else 'did not come about'}")


if __name__ == "__main__":
    main()
