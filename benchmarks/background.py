"""The timer wheel compared with ``heapq`` and ``sched`` at 1, 1,000 and 100,000 timers; nanoseconds per operation,
alternating in one run.

Each timer is added, and nine of ten are cancelled before they are due.  ``heapq`` marks cancelled timers and skips them
when they come up; ``sched`` removes them.

    .venv/bin/python -m benchmarks.background [PLOT.svg]
"""

from __future__ import annotations

import contextlib
import heapq
import random
import sched
import sys
import time
from collections.abc import Callable

from stonetrack.background.timer_wheel import Timer, TimerWheel

MS = 1_000_000
OPERATIONS = 40_000


def run_wheel(dues: list[int], cancel: list[bool], standing: int) -> float:
    timers: TimerWheel[int] = TimerWheel(0)
    added: list[Timer[int]] = [timers.add(due, n) for n, due in enumerate(dues[:standing])]
    start = time.perf_counter()
    now = 0
    for n in range(standing, len(dues)):
        now += MS // 10
        added.append(timers.add(now + dues[n], n))
        if cancel[n]:
            timers.cancel(added[n - standing])
        if n % 20 == 0:
            timers.advance(now)
    return time.perf_counter() - start


def run_heap(dues: list[int], cancel: list[bool], standing: int) -> float:
    queue: list[tuple[int, int]] = [(due, n) for n, due in enumerate(dues[:standing])]
    heapq.heapify(queue)
    cancelled: set[int] = set()
    start = time.perf_counter()
    now = 0
    for n in range(standing, len(dues)):
        now += MS // 10
        heapq.heappush(queue, (now + dues[n], n))
        if cancel[n]:
            cancelled.add(n - standing)
        if n % 20 == 0:
            while queue and queue[0][0] <= now:
                _, which = heapq.heappop(queue)
                cancelled.discard(which)
    return time.perf_counter() - start


def run_sched(dues: list[int], cancel: list[bool], standing: int, max_operations: int = 400) -> float:
    now = [0]
    timers = sched.scheduler(lambda: now[0], lambda _: None)
    added = [timers.enterabs(due, 0, int) for due in dues[:standing]]
    end = min(len(dues), standing + max_operations)
    start = time.perf_counter()
    for n in range(standing, end):
        now[0] += MS // 10
        added.append(timers.enterabs(now[0] + dues[n], 0, int))
        if cancel[n]:
            with contextlib.suppress(ValueError):  # it has run
                timers.cancel(added[n - standing])
        if n % 20 == 0:
            timers.run(blocking=False)
    return (time.perf_counter() - start) * (len(dues) - standing) / (end - standing)


def main() -> None:
    """Measure and print."""
    implementations: dict[str, Callable[[list[int], list[bool], int], float]] = {
        "wheel": run_wheel,
        "heapq": run_heap,
        "sched": run_sched,
    }
    rows: dict[str, list[float]] = {name: [] for name in implementations}
    sizes = (1, 1_000, 100_000)
    print(f"{'timers':>8}" + "".join(f"{name + ' ns':>12}" for name in implementations) + "   heapq/wheel  sched/wheel")
    for standing in sizes:
        draw = random.Random(standing)
        dues = [draw.randrange(1, 4_000) * MS for _ in range(standing + OPERATIONS)]
        cancel = [draw.random() < 0.9 for _ in dues]
        durations: dict[str, list[float]] = {name: [] for name in implementations}
        for _ in range(3):
            for name, run in implementations.items():
                durations[name].append(run(dues, cancel, standing) / OPERATIONS * 1e9)
        medians = {name: sorted(values)[1] for name, values in durations.items()}
        for name, value in medians.items():
            rows[name].append(value)
        row = "".join(f"{medians[name]:>12.0f}" for name in implementations)
        print(
            f"{standing:>8}{row}{medians['heapq'] / medians['wheel']:>14.2f}{medians['sched'] / medians['wheel']:>13.2f}"
        )
    if len(sys.argv) > 1:
        plot(sys.argv[1], sizes, rows)


def plot(path: str, sizes: tuple[int, ...], rows: dict[str, list[float]]) -> None:
    """Plot the time per operation over the number of pending timers."""
    import matplotlib

    matplotlib.use("svg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(6.4, 3.2), layout="constrained")
    for (name, values), colour in zip(rows.items(), ("#1f6f8b", "#c0562f", "#7a7a7a"), strict=True):
        axes.loglog(sizes, values, marker="o", color=colour, label=name)
    axes.set_xlabel("timers standing")
    axes.set_ylabel("ns an operation")
    axes.set_xticks(sizes, [f"{size:,}" for size in sizes])
    axes.minorticks_off()
    axes.legend(frameon=False)
    axes.grid(True, which="major", alpha=0.3)
    axes.spines[["top", "right"]].set_visible(False)
    figure.savefig(path)


if __name__ == "__main__":
    main()
