"""The cost of capturing: requests per second and first-token time with and without it, alternating in one run; bytes
per call; the speed of a replay; the time to open a large capture.

    .venv/bin/python -m benchmarks.capture [--calls N]
"""

from __future__ import annotations

import argparse
import tempfile
import time
from pathlib import Path

from benchmarks.relay import paired
from stonetrack import api
from stonetrack.capture import codec, segment
from stonetrack.capture.codec import Header
from stonetrack.capture.history import iter_records
from stonetrack.capture.maintenance import MaintenanceRunner
from stonetrack.capture.parallel import replay_folder
from stonetrack.capture.replay import replay
from stonetrack.logic import Router

MS = 1_000_000


def measure_live(rounds: int, seconds: float) -> Path:
    """Run a node with capture and one without, alternately.  Returns the folder of the captures."""
    folder = Path(tempfile.mkdtemp(prefix="stonetrack-bench-"))
    paired(folder, {"capture": {"dir": str(folder / "capture")}}, rounds, seconds)
    return folder / "capture"


def measure_large(calls: int, servers: int) -> None:
    """Make a capture of a busy node; measure its size, the time to open it, and the replay time."""
    config = api.Settings(
        classes=(api.RequestClass("c", 2_000 * MS, 40 * MS, 80 * MS, 10_000 * MS),),
        kinds=(api.Kind(api.Role.PREFILL, 200_000), api.Kind(api.Role.DECODE, 150_000)),
        report_source=api.ReportSource.ANSWERS)  # fmt: skip
    router = Router(config, 1)
    entries = tuple(api.ServerEntry(f"{'rw'[n % 2]}{n}", 0, n % 2, n // 12, api.ServerState.UP) for n in range(servers))
    records: list[bytes] = [codec.encode(Header("b", "i0.1", 1, config))]
    blocks: list[bytes] = []
    number, now = 0, 1_000 * MS

    def handle(event: api.Event) -> list[api.Action]:
        nonlocal number
        actions = router.handle(now, event)
        records.append(codec.encode_call(now, event, actions))
        if len(records) >= 2_000:
            blocks.append(segment.encode_block(records, number))
            number += len(records)
            records.clear()
        return actions

    start = time.process_time()
    handle(api.ServerList(api.ListKind.FULL, 1, entries))
    report, n = api.LoadReport(3.0, 1.0, 0.4, 500.0), 0
    while number < calls:
        n += 1
        now += 25 * MS  # 40 requests a second
        actions = handle(api.RequestArrived(f"chatcmpl-{n:024x}", 0, f"s{n % 400}", 9_000 * MS, 900, f"b{n % 16}", 500))
        attempt = 0
        while sends := [a for a in actions if isinstance(a, api.Send)]:
            name, server = sends[0].request, sends[0].server
            if server.startswith("r"):
                actions = handle(
                    api.AttemptEnded(name, attempt, server, api.Outcome.READ, 3 * MS, False, 400, report=report)
                )
                attempt += 1
            else:
                handle(api.FirstToken(name, attempt, server, MS))
                actions = handle(
                    api.AttemptEnded(name, attempt, server, api.Outcome.SERVED, 2 * MS, True, report=report)
                )
    blocks.append(segment.encode_block(records, number))
    cpu_seconds = time.process_time() - start
    with tempfile.TemporaryDirectory() as temporary:
        path = Path(temporary) / "i0.1-0.cap"
        path.write_bytes(segment.MAGIC + b"".join(blocks))
        size = path.stat().st_size
        start = time.perf_counter()
        found, damage = segment.scan_blocks(path.read_bytes())
        scan_seconds = time.perf_counter() - start
        total = sum(block.records for block in found)
        start = time.perf_counter()
        result = replay(iter_records([path], []))
        replay_seconds = time.perf_counter() - start
        maintenance = MaintenanceRunner(Path(temporary), budget_bytes=1 << 40, log=print, states_every=2_000)
        maintenance.run_once()
        maintenance.stop()
        start = time.perf_counter()
        outcomes = replay_folder(Path(temporary), 8)
        parallel_seconds = time.perf_counter() - start
        assert sum(outcome.calls for outcome in outcomes) == result.calls
        assert all(outcome.difference is None for outcome in outcomes)
    assert damage is None and result.matches
    print(
        f"{total} calls at {servers} servers: {size / total:.1f} bytes a call; opened and checked in {scan_seconds:.2f} s; "
        f"replayed in {replay_seconds:.1f} s, {(now / 1e9) / replay_seconds:.0f} times its own time at 40 requests a second (made in {cpu_seconds:.1f} s);"
        f" by 8 processes from its states {parallel_seconds:.1f} s, {(now / 1e9) / parallel_seconds:.0f} times"
    )


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=100_000)
    options = parser.parse_args()
    folder = measure_live(5, 3.0)
    calls = size = 0
    for path in sorted(folder.glob("*.cap")):
        blocks, _ = segment.scan_blocks(path.read_bytes())
        calls += sum(block.records for block in blocks)
        size += path.stat().st_size
    print(f"live: {calls} calls, {size / max(calls, 1):.1f} bytes a call")
    measure_large(options.calls, 60)


if __name__ == "__main__":
    main()
