"""Reports of a soak: one line per seed, and for a failed seed a timeline of each request with a violation."""

from __future__ import annotations

from pathlib import Path

from stonetrack.soak.oracle import Violation, count_by_invariant
from stonetrack.soak.run import Result, RunSize

SECOND = 1e9
MAX_REQUESTS = 20  # timelines written per seed
TIMELINE_FILE = "timeline.txt"


def summary_line(result: Result) -> str:
    """The result of one seed in one line."""
    broken = count_by_invariant(result.violations) or "none"
    return (
        f"seed {result.seed}: service {result.served_share:.3f} of {result.requests} requests, "
        f"{len(result.faults)} faults, harness late {result.lateness / 1e6:.0f} ms, "
        f"processors waited for {result.processor_wait_share:.2f} of the time, "
        f"violations {broken}"
    )


def replay_command(seed: int, size: RunSize) -> str:
    """The command that runs a seed again."""
    return (
        f"stonetrack soak --seeds {seed}:{seed + 1} --nodes {size.nodes} --seconds {size.seconds:g} "
        f"--rate {size.rate:g} --report DIR"
    )


class Timeline:
    """Events of single requests, ordered by time, from clients, links, engines and node logs (one common clock)."""

    def __init__(self, result: Result, folder: Path) -> None:
        self._result = result
        self._logs = {path.parent.name: path.read_text("utf-8", "replace") for path in folder.glob("n*/err.txt")}

    def events_of(self, request: str) -> list[str]:
        """The events of one request and the node log lines that name it."""
        load_started, evidence = self._result.load_started, self._result.evidence
        events: list[tuple[int, str]] = []
        for client in evidence.client_records:
            if client.request == request:
                events.append((client.sent, f"client: {client.cls} {client.behaviour} sends, would wait "
                                        f"{(client.deadline - client.sent) / SECOND:.3f} s"))  # fmt: skip
                if client.first:
                    events.append((client.first, "client: first event"))
                events.append((client.end, f"client: {client.ended} {client.status} {client.why[:80]}"))
        for record in evidence.link_log:
            if record.get("id") == request:
                events.append(
                    (record["t"], f"link {record['from']} to {record['to']} #{record['conn']}: {record['what']}")
                )
        for arrival in evidence.arrivals:
            if arrival.request == request:
                role = "decode" if arrival.is_decode else "prefill"
                events.append((arrival.arrived_at, f"engine {arrival.engine}: {role} attempt arrived"))
                if arrival.ended and arrival.end is not None:
                    events.append((arrival.ended, f"engine {arrival.engine}: {arrival.end.value}"))
        for held in evidence.held_states:
            if held.request == request:
                events.append((held.since, f"engine {held.engine}: {held.kind.value}'s clock begins to run"))
                if held.until:
                    events.append((held.until, f"engine {held.engine}: {held.kind.value}'s clock stops"))
        lines = [f"{(at - load_started) / SECOND:9.3f} {text}" for at, text in sorted(events)]
        for name, log in self._logs.items():
            lines += [f"{name} log: {each}" for each in log.splitlines() if request in each and "trace " not in each]
        return lines


def write_timeline(result: Result, size: RunSize, folder: Path) -> None:
    """Write the timeline of a failed seed next to its logs."""
    lines = [
        summary_line(result),
        replay_command(result.seed, size),
        "",
        "faults (seconds from the start of the load):",
    ]
    lines += [f"  {fault.describe()}" for fault in result.faults]
    timeline = Timeline(result, folder)
    requests: dict[str, list[Violation]] = {}
    for violation in result.violations:
        requests.setdefault(violation.request, []).append(violation)
    for request, violations in list(requests.items())[:MAX_REQUESTS]:
        lines += ["", f"request {request}" if request else "processes"]
        lines += [f"  violation of {each.invariant}: {each.text}" for each in violations]
        lines += [f"  {text}" for text in timeline.events_of(request)] if request else []
    if len(requests) > MAX_REQUESTS:
        lines += ["", f"and {len(requests) - MAX_REQUESTS} more requests"]
    (folder / TIMELINE_FILE).write_text("\n".join(lines) + "\n", "utf-8")
