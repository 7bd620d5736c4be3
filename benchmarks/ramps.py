"""Random slow starts: how many calls an engine in slow start gets from all nodes together, against its budget.

    python -m benchmarks.ramps [--ramps 1000] [--seed 1]

The routers are real; engines are a model: warm ones carry ``carries`` calls in a window and reject a call that would wait
for longer than ``QUEUE`` of a window.  Loads are shares of what the engines carry when all are warm.  A budget is exceeded
when any window of the settings holds more calls than the bound of the acceptance criterion.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, replace

import click

from stonetrack import api
from stonetrack.logic import ARRIVALS, PREFILLS, SECOND, Router

NODES = (1, 3, 10, 30, 200)
QUEUE = 0.2  # of a window
READER = api.Kind(api.Role.PREFILL, 200_000)
CLASS = api.RequestClass("chat", 2 * SECOND, 0, 0, 10 * SECOND)
BASE = api.Settings(classes=(CLASS,), kinds=(READER,), max_attempts=4, cold_window=3 * SECOND)


@dataclass(frozen=True, slots=True)
class SlowStart:
    """One random slow start of some of the engines."""

    nodes: int
    engines: int
    cold: int  # of the engines; they start together
    carries: float  # calls of a warm engine in a window
    multiple: float
    share: float
    load_before: float
    load: float  # from the start on
    uneven: bool
    restarts: float  # share of the nodes that restart at each tenth of a window

    @property
    def budget(self) -> float:
        """Calls that an engine in slow start may get in a window."""
        return self.multiple * self.share * self.carries


def bound(budget: float) -> float:
    """Most calls in a window for which an engine with this budget stays up."""
    spread = 3.0 if budget < 30.0 else 2.0
    return budget + spread * math.sqrt(budget) + spread


def random_slow_start(draw: random.Random, nodes: int) -> SlowStart:
    """A random slow start within the acceptance criterion: loads up to three times what the engines carry."""
    engines = draw.choice((4, 8))
    share = draw.uniform(0.2, 0.35)
    multiple = draw.uniform(2.0, 4.0)
    budget = draw.choice((4.0, 12.0, 29.0, 30.0, 45.0))
    before = draw.choice((0.5, 1.0, 3.0))
    return SlowStart(
        nodes, engines, draw.choice((1, 1, engines // 2, engines)), budget / (share * multiple), multiple, share,
        before, max(before, draw.choice((0.7, 1.0, 1.5, 3.0))), draw.random() < 0.5, draw.choice((0.0, 0.0, 0.1)),
    )  # fmt: skip


def router(slow_start: SlowStart, now: int, began: int) -> Router:
    """The router of a node, with the server list."""
    settings = replace(BASE, routers=slow_start.nodes, cold_share=slow_start.share, cold_multiple=slow_start.multiple)
    made = Router(settings, 1)
    entries = tuple(
        api.ServerEntry(f"r{n}", 0, 0, 0, api.ServerState.UP, started=began if n < slow_start.cold else 0)
        for n in range(slow_start.engines)
    )
    made.handle(now, api.ServerList(api.ListKind.FULL, 1, entries))
    return made


def most_calls(slow_start: SlowStart, draw: random.Random) -> int:
    """Most calls that one engine in slow start got in any window."""
    window = BASE.cold_window
    began = 100 * SECOND
    begin, end = began - window, began + 2 * window
    made = [router(slow_start, begin, began) for _ in range(slow_start.nodes)]
    weights = [1.0 / (1 + n) if slow_start.uneven else 1.0 for n in range(slow_start.nodes)]
    done: list[tuple[float, int]] = []  # completions at warm engines: time, node
    free_at = float(begin)  # when the warm engines, taken as one, have finished all calls admitted
    calls: list[deque[int]] = [deque() for _ in range(slow_start.cold)]
    most, now, next_restart = 0, float(begin), float(began)
    while True:
        load = slow_start.load if now >= began else slow_start.load_before
        now += draw.expovariate(load * slow_start.engines * slow_start.carries / window)
        if now >= end:
            return most
        while done and done[0][0] <= now:
            at, number = heapq.heappop(done)
            made[number].now = max(made[number].now, int(at))
            made[number]._count_flow(PREFILLS)
        if slow_start.restarts and now >= next_restart:
            next_restart += window / 10
            for number in range(slow_start.nodes):
                if draw.random() < slow_start.restarts:
                    made[number] = router(slow_start, int(now), began)
        number = draw.choices(range(slow_start.nodes), weights)[0]
        node = made[number]
        node.now = max(node.now, int(now))
        warm = slow_start.engines if now < began else slow_start.engines - slow_start.cold
        share = node._slow_start_share(api.Role.PREFILL) if now >= began else 0.0
        node._count_flow(ARRIVALS)
        chosen = int(draw.random() / share) if share else slow_start.cold
        if chosen < slow_start.cold:
            mine = calls[chosen]
            mine.append(int(now))
            while mine[0] < now - window:
                mine.popleft()
            most = max(most, len(mine))
        elif warm and free_at - now < QUEUE * window:
            free_at = max(free_at, now) + window / (warm * slow_start.carries)
            heapq.heappush(done, (free_at, number))


@click.command()
@click.option("--ramps", default=1_000, show_default=True, help="For each number of nodes.")
@click.option("--seed", default=1, show_default=True)
def main(ramps: int, seed: int) -> None:
    """Print, for each number of nodes, calls over budget and how many passed their bound."""
    for nodes in NODES:
        draw = random.Random(f"{seed} {nodes}")
        shares, over, at_three = [], 0, []
        for _ in range(ramps):
            slow_start = random_slow_start(draw, nodes)
            most = most_calls(slow_start, draw)
            over += most > bound(slow_start.budget)
            shares.append(most / bound(slow_start.budget))
            if slow_start.load == 3.0:
                at_three.append(most / bound(slow_start.budget))
        shares.sort()
        at_three.sort()
        click.echo(
            f"{nodes:4} nodes, {ramps} ramps: calls as a share of the bound: median {shares[len(shares) // 2]:.2f}, "
            f"99% {shares[len(shares) * 99 // 100]:.2f}, most {shares[-1]:.2f}; at three times capacity "
            f"({len(at_three)}): median {at_three[len(at_three) // 2]:.2f}, most {at_three[-1]:.2f}; over: {over}"
        )


if __name__ == "__main__":
    main()
