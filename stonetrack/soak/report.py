"""What a soak leaves to read: one line a seed, and for a failed one the timeline of each request that went wrong."""

from __future__ import annotations

from pathlib import Path

from stonetrack.soak.oracle import Violation, by_invariant
from stonetrack.soak.play import Result, Size

SECOND = 1e9
MOST_REQUESTS = 20  # timelines written for one seed
TIMELINE = "timeline.txt"


def line(result: Result) -> str:
    """The line of one seed."""
    broken = by_invariant(result.violations) or "none"
    return (
        f"seed {result.seed}: service {result.service:.3f} of {result.requests} requests, {len(result.faults)} faults, "
        f"harness late {result.lateness / 1e6:.0f} ms, processors waited for {result.machine_waited:.2f} of the time, "
        f"violations {broken}"
    )


def command(seed: int, size: Size) -> str:
    """The command that plays a seed again."""
    return (
        f"stonetrack soak --seeds {seed}:{seed + 1} --nodes {size.nodes} --seconds {size.seconds:g} "
        f"--rate {size.rate:g} --report DIR"
    )


class Timeline:
    """The events of single requests in order of time, from client, links, engines and node logs on one clock."""

    def __init__(self, result: Result, folder: Path) -> None:
        self._result = result
        self._logs = {path.parent.name: path.read_text("utf-8", "replace") for path in folder.glob("n*/err.txt")}

    def of(self, request: str) -> list[str]:
        """All that is known of one request."""
        began, evidence = self._result.began, self._result.evidence
        told: list[tuple[int, str]] = []
        for seen in evidence.seen:
            if seen.request == request:
                told.append((seen.sent, f"client: {seen.cls} {seen.behaviour} sends, would wait "
                                        f"{(seen.deadline - seen.sent) / SECOND:.3f} s"))  # fmt: skip
                if seen.first:
                    told.append((seen.first, "client: first event"))
                told.append((seen.end, f"client: {seen.ended} {seen.status} {seen.why[:80]}"))
        for record in evidence.log:
            if record.get("id") == request:
                told.append(
                    (record["t"], f"link {record['from']} to {record['to']} #{record['conn']}: {record['what']}")
                )
        for arrival in evidence.arrivals:
            if arrival.request == request:
                role = "decode" if arrival.decodes else "prefill"
                told.append((arrival.at, f"engine {arrival.engine}: {role} attempt arrived"))
                if arrival.ended and arrival.end is not None:
                    told.append((arrival.ended, f"engine {arrival.engine}: {arrival.end.value}"))
        for stay in evidence.stays:
            if stay.request == request:
                told.append((stay.since, f"engine {stay.engine}: {stay.kind.value}'s clock begins to run"))
                if stay.until:
                    told.append((stay.until, f"engine {stay.engine}: {stay.kind.value}'s clock stops"))
        lines = [f"{(at - began) / SECOND:9.3f} {text}" for at, text in sorted(told)]
        for name, log in self._logs.items():
            lines += [f"{name} log: {each}" for each in log.splitlines() if request in each and "trace " not in each]
        return lines


def write(result: Result, size: Size, folder: Path) -> None:
    """The timeline of a seed that failed, beside its logs."""
    out = [line(result), command(result.seed, size), "", "faults (seconds from the start of the load):"]
    out += [f"  {fault.text()}" for fault in result.faults]
    timeline = Timeline(result, folder)
    requests: dict[str, list[Violation]] = {}
    for violation in result.violations:
        requests.setdefault(violation.request, []).append(violation)
    for request, violations in list(requests.items())[:MOST_REQUESTS]:
        out += ["", f"request {request}" if request else "processes"]
        out += [f"  violation of {each.invariant}: {each.text}" for each in violations]
        out += [f"  {text}" for text in timeline.of(request)] if request else []
    if len(requests) > MOST_REQUESTS:
        out += ["", f"and {len(requests) - MOST_REQUESTS} more requests"]
    (folder / TIMELINE).write_text("\n".join(out) + "\n", "utf-8")
