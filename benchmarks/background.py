"""The timer wheel against ``heapq`` and ``sched`` at 1, 1,000 and 100,000 timers; nanoseconds an operation, in turn in one run.

A day of a timer here: added, and nine times in ten cancelled before it is due.  ``heapq`` marks what is cancelled and
passes it over when it comes up; ``sched`` takes it out.

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


def wheel(dues: list[int], cancel: list[bool], standing: int) -> float:
    made: TimerWheel[int] = TimerWheel(0)
    held: list[Timer[int]] = [made.add(due, n) for n, due in enumerate(dues[:standing])]
    start = time.perf_counter()
    now = 0
    for n in range(standing, len(dues)):
        now += MS // 10
        held.append(made.add(now + dues[n], n))
        if cancel[n]:
            made.cancel(held[n - standing])
        if n % 20 == 0:
            made.advance(now)
    return time.perf_counter() - start


def heap(dues: list[int], cancel: list[bool], standing: int) -> float:
    queue: list[tuple[int, int]] = [(due, n) for n, due in enumerate(dues[:standing])]
    heapq.heapify(queue)
    gone: set[int] = set()
    start = time.perf_counter()
    now = 0
    for n in range(standing, len(dues)):
        now += MS // 10
        heapq.heappush(queue, (now + dues[n], n))
        if cancel[n]:
            gone.add(n - standing)
        if n % 20 == 0:
            while queue and queue[0][0] <= now:
                _, which = heapq.heappop(queue)
                gone.discard(which)
    return time.perf_counter() - start


def plain(dues: list[int], cancel: list[bool], standing: int, most: int = 400) -> float:
    now = [0]
    made = sched.scheduler(lambda: now[0], lambda _: None)
    held = [made.enterabs(due, 0, int) for due in dues[:standing]]
    end = min(len(dues), standing + most)
    start = time.perf_counter()
    for n in range(standing, end):
        now[0] += MS // 10
        held.append(made.enterabs(now[0] + dues[n], 0, int))
        if cancel[n]:
            with contextlib.suppress(ValueError):  # it ran
                made.cancel(held[n - standing])
        if n % 20 == 0:
            made.run(blocking=False)
    return (time.perf_counter() - start) * (len(dues) - standing) / (end - standing)


def main() -> None:
    """Measure and print."""
    ways: dict[str, Callable[[list[int], list[bool], int], float]] = {"wheel": wheel, "heapq": heap, "sched": plain}
    rows: dict[str, list[float]] = {name: [] for name in ways}
    sizes = (1, 1_000, 100_000)
    print(f"{'timers':>8}" + "".join(f"{name + ' ns':>12}" for name in ways) + "   heapq/wheel  sched/wheel")
    for standing in sizes:
        draw = random.Random(standing)
        dues = [draw.randrange(1, 4_000) * MS for _ in range(standing + OPERATIONS)]
        cancel = [draw.random() < 0.9 for _ in dues]
        took: dict[str, list[float]] = {name: [] for name in ways}
        for _ in range(3):
            for name, way in ways.items():
                took[name].append(way(dues, cancel, standing) / OPERATIONS * 1e9)
        best = {name: sorted(values)[1] for name, values in took.items()}
        for name, value in best.items():
            rows[name].append(value)
        row = "".join(f"{best[name]:>12.0f}" for name in ways)
        print(f"{standing:>8}{row}{best['heapq'] / best['wheel']:>14.2f}{best['sched'] / best['wheel']:>13.2f}")
    if len(sys.argv) > 1:
        plot(sys.argv[1], sizes, rows)


def plot(path: str, sizes: tuple[int, ...], rows: dict[str, list[float]]) -> None:
    """Time an operation over standing timers."""
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
