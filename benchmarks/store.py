"""Opening and seeking in a large capture: by the index, by one LMDB key per request and block, and by reading all
records.

    .venv/bin/python -m benchmarks.store [--events N]

The events are a short history repeated with later clocks and other request ids: seeking does not look at decisions.
"""

from __future__ import annotations

import argparse
import itertools
import os
import random
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import lmdb

from stonetrack import api
from stonetrack.capture import codec, index, seek, segment
from stonetrack.capture.codec import Header, Record
from stonetrack.capture.history import HistoryReader, segments_by_router
from stonetrack.capture.store import SavedState, Store

MS = 1_000_000
SETTINGS = api.Settings(
    classes=(api.RequestClass("c", 2_000 * MS, 40 * MS, 80 * MS, 10_000 * MS),),
    kinds=(api.Kind(api.Role.PREFILL), api.Kind(api.Role.DECODE)),
)
BLOCK, SEGMENT = 2_000, 200


def history(events: int) -> Iterator[list[Record]]:
    """Blocks of calls, five per request."""
    draw = random.Random(1)
    report = api.LoadReport(3.0, 1.0, 0.4, 500.0)
    block: list[Record] = [Header("b", "i0.1", 1, SETTINGS)]
    now, number, n = 1_000 * MS, 1, 0
    while number < events:
        n += 1
        q, r, w = f"chatcmpl-{n:024x}", f"r{draw.randrange(30)}", f"w{draw.randrange(30)}"
        calls: list[tuple[api.Event, tuple[api.Action, ...]]] = [
            (
                api.RequestArrived(q, 0, f"s{n % 400}", 9_000 * MS, 900, f"b{n % 16}", 500),
                (api.Send(q, r, 9_000 * MS),),
            ),
            (
                api.AttemptEnded(q, 0, r, api.Outcome.READ, 3 * MS, False, 400, report=report),
                (api.Send(q, w, 8_997 * MS),),
            ),
            (api.FirstToken(q, 1, w, MS), ()),
            (api.AttemptEnded(q, 1, w, api.Outcome.SERVED, 2 * MS, True, report=report), ()),
            (api.TimerFired(0), (api.SetTimer(0, 50 * MS),)),
        ]
        for step, (event, actions) in enumerate(calls):
            block.append(codec.Call(now + step, event, actions))
            number += 1
            if len(block) == BLOCK:
                yield block
                block = []
        now += 25 * MS
    yield block


def write(folder: Path, events: int) -> dict[str, float]:
    """Write segments, the index and the LMDB keys.  Returns the seconds and bytes of each."""
    costs = {"index s": 0.0, "keys s": 0.0}
    key_env = lmdb.open(str(folder / "plain"), map_size=8 << 30, max_dbs=1)
    store = Store(folder)
    blocks = history(events)
    number = at = 0
    while segment_blocks := list(itertools.islice(blocks, SEGMENT)):
        path = folder / f"i0.1-{at:020d}.cap"
        at += 1
        builder = index.IndexBuilder()
        offset = len(segment.MAGIC)
        with path.open("wb") as file:
            file.write(segment.MAGIC)
            for records in segment_blocks:
                data = segment.encode_block(map(codec.encode, records), number)
                file.write(data)
                start = time.perf_counter()
                builder.add(segment.Block(offset, len(data), number, len(records)), records)
                costs["index s"] += time.perf_counter() - start
                start = time.perf_counter()
                with key_env.begin(write=True) as transaction:
                    for name in {name for record in records for name in index.requests_of(record)}:
                        transaction.put(name.encode() + number.to_bytes(8, "big"), b"")
                costs["keys s"] += time.perf_counter() - start
                number += len(records)
                offset += len(data)
        status = path.stat()
        store.put_index(path.name, builder.build(status.st_size, status.st_mtime_ns))
        if sys.stderr.isatty():
            print(f"\rwritten {number} of {events}", end="", file=sys.stderr)
    for at in range(20_000, number, 20_000):
        store.put_state(SavedState("i0.1", at, 1_000 * MS + at * 5 * MS, "b", b"x" * 200_000))
    key_env.sync()
    costs["index bytes"] = sum(len(store._get(b"segments", path.name) or b"") for path in folder.glob("*.cap"))
    costs["keys bytes"] = key_env.info()["last_pgno"] * 4_096
    costs["capture bytes"] = sum(path.stat().st_size for path in folder.glob("*.cap"))
    store.close()
    key_env.close()
    return costs


def median_ms(operation: Callable[[], object], times: int) -> float:
    """The median duration of ``times`` runs in milliseconds."""
    durations = []
    for _ in range(times):
        start = time.perf_counter()
        operation()
        durations.append((time.perf_counter() - start) * 1e3)
    return sorted(durations)[times // 2]


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--events", type=int, default=5_000_000)
    options = parser.parse_args()
    draw = random.Random(3)
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        costs = write(folder, options.events)
        (files,) = segments_by_router(folder).values()
        end = 1_000 * MS + options.events * 5 * MS
        requests = options.events // 5

        def by_time() -> None:
            next(seek.since(folder, HistoryReader(files), draw.randrange(1_000 * MS, end)))

        def by_request() -> None:
            name = f"chatcmpl-{draw.randrange(1, requests):024x}"
            assert any(name in index.requests_of(r) for _, r in seek.about(folder, HistoryReader(files), name))

        def by_full_read() -> None:
            name = f"chatcmpl-{requests // 2:024x}"
            assert any(name in index.requests_of(r) for _, r in HistoryReader(files).records())

        def open_with_indexes() -> None:
            with Store(folder) as store:
                assert all(store.index_of(path) is not None for path in files)

        print(
            f"{options.events} events in {len(files)} segments, {costs['capture bytes'] / options.events:.1f} bytes an event"
        )
        print(f"index: {costs['index bytes'] / options.events:.2f} bytes an event, {costs['index s']:.1f} s to make")
        print(
            f"a key for each request and block: {costs['keys bytes'] / options.events:.2f} bytes an event, {costs['keys s']:.1f} s"
        )
        print(f"open with all indexes {median_ms(open_with_indexes, 5):.1f} ms; seek by time {median_ms(by_time, 15):.1f} ms; "
              f"by request {median_ms(by_request, 15):.1f} ms; by reading to the middle {median_ms(by_full_read, 1):.0f} ms")  # fmt: skip
        os.sync()


if __name__ == "__main__":
    main()
