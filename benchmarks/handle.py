"""Cost of one request in ``Router.handle`` alone, by fleet size: arrival, prefill, first token, end.

.venv/bin/python -m benchmarks.handle
"""

from __future__ import annotations

import time

from stonetrack import Router, api

MS = 1_000_000


def measure(servers: int, requests: int) -> float:
    """CPU milliseconds per request, with sessions, shared prefixes and a load report in every answer."""
    settings = api.Settings(
        classes=(api.RequestClass("c", 2_000 * MS, 40 * MS, 80 * MS, 10_000 * MS),),
        kinds=(api.Kind(api.Role.PREFILL, 200_000), api.Kind(api.Role.DECODE, 150_000)),
        may_cancel=True, may_hold_place=True, report_source=api.ReportSource.ANSWERS)  # fmt: skip
    router = Router(settings, 1)
    entries = tuple(api.ServerEntry(f"{'rw'[n % 2]}{n}", 0, n % 2, n // 12, api.ServerState.UP) for n in range(servers))
    router.handle(1, api.ServerList(api.ListKind.FULL, 1, entries))
    report = api.LoadReport(3.0, 1.0, 0.4, 500.0)
    now, start = 1_000 * MS, time.process_time()
    for n in range(requests):
        name = f"q{n}"
        now += 5 * MS
        actions = router.handle(now, api.RequestArrived(
            name, 0, f"s{n % 200}", 9_000 * MS, 900, f"b{n % 8}", 500))  # fmt: skip
        number = 0
        while sends := [a for a in actions if isinstance(a, api.Send)]:
            server = sends[0].server
            if server.startswith("r"):
                actions = router.handle(now + 3 * MS, api.AttemptEnded(
                    name, number, server, api.Outcome.READ, 3 * MS, kept_tokens=400, report=report))  # fmt: skip
                number += 1
            else:
                router.handle(now + 4 * MS, api.FirstToken(name, number, server, MS))
                actions = router.handle(now + 5 * MS, api.AttemptEnded(
                    name, number, server, api.Outcome.SERVED, 2 * MS, True, report=report))  # fmt: skip
    return (time.process_time() - start) * 1e3 / requests


def main() -> None:
    """Print one line for each fleet size."""
    for servers, requests in ((12, 3_000), (60, 1_500), (400, 300)):
        best = min(measure(servers, requests) for _ in range(3))
        print(f"{servers} servers: {best:.2f} ms a request", flush=True)


if __name__ == "__main__":
    main()
