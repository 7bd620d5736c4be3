"""Maintenance of captures: indexes, snapshots, packing, retention; also after a kill at any step."""

from __future__ import annotations

import fcntl
import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from stonetrack.capture import history, seek, segment
from stonetrack.capture.codec import Call, CaptureError
from stonetrack.capture.history import HistoryReader
from stonetrack.capture.maintenance import MaintenanceRunner
from stonetrack.capture.recorder import delete_over_budget, is_open
from stonetrack.capture.replay import replay_numbered
from stonetrack.capture.retention import SegmentFile, segments_to_delete
from stonetrack.capture.store import Store
from tests.harness import Client, chat, harness, wait_for
from tests.test_capture import calls, command, files, write
from tests.test_replaying import numbered


def run_maintenance(folder: Path, **options: int) -> list[str]:
    """Run all pending maintenance jobs.  Returns the log lines."""
    log_lines: list[str] = []
    maintenance_runner = MaintenanceRunner(
        folder, budget_bytes=options.pop("budget_bytes", 1 << 40), log=log_lines.append, **options
    )
    try:
        maintenance_runner.run_once()
    finally:
        maintenance_runner.stop()
    return log_lines


def test_maintenance_indexes_packs_and_stores_snapshots_without_changing_records(tmp_path: Path) -> None:
    recorded = calls(3_000)
    write(tmp_path, recorded, segment_bytes=8_000, block_records=25)
    before = sum(path.stat().st_size for path in files(tmp_path))
    assert run_maintenance(tmp_path, states_every=500) == []
    after = sum(path.stat().st_size for path in files(tmp_path))
    assert after < 0.8 * before and not list(tmp_path.glob("*.packing"))
    (name,) = history.segments_by_router(tmp_path)
    reading = HistoryReader(files(tmp_path))
    assert list(reading) == numbered(recorded) and not reading.damage
    with Store(tmp_path) as store:
        assert all(store.index_of(path) is not None for path in files(tmp_path))
        assert [s.number for s in store.states(name)] == [500, 1_000, 1_500, 2_000, 2_500, 3_000]
    from_snapshot = list(seek.since(tmp_path, HistoryReader(files(tmp_path)), recorded[-1].at))
    assert from_snapshot[0][0] == 3_000 and replay_numbered(from_snapshot).matches
    assert run_maintenance(tmp_path, states_every=500) == []  # nothing is left to do


def test_a_replay_in_pieces_has_the_same_result_as_a_whole_one(tmp_path: Path) -> None:
    recorded = calls(2_000)
    write(tmp_path, recorded, segment_bytes=8_000, block_records=50)
    without = command("replay", str(tmp_path), "--jobs", "3")
    assert without.returncode == 2 and "no states" in without.stderr
    run_maintenance(tmp_path, states_every=250)
    done = command("replay", str(tmp_path), "--jobs", "3")
    assert done.returncode == 0 and "2000 calls replayed in 9 pieces, 0 skipped, 0 missing" in done.stdout, done.stderr
    with Store(tmp_path) as store:  # a snapshot that does not match the calls before it
        wrong, right = list(store.states("i0.1"))[2:4]
        store.put_state(replace(wrong, number=right.number, at=right.at))
    done = command("replay", str(tmp_path), "--jobs", "3")
    assert done.returncode == 1 and f"first difference: record {right.number}" in done.stdout
    assert command("replay", str(tmp_path), "--jobs", "3", "--since", "1").returncode == 2


def test_maintenance_notes_a_decision_that_differs(tmp_path: Path) -> None:
    recorded = calls(600)
    n = next(i for i, c in enumerate(recorded) if i > 300 and c.actions)
    write(tmp_path, [*recorded[:n], Call(recorded[n].at, recorded[n].event, ()), *recorded[n + 1 :]])
    log_lines = run_maintenance(tmp_path)
    assert len(log_lines) == 1 and f"call {n + 1} of" in log_lines[0]
    with Store(tmp_path) as store:
        assert "decided otherwise" in store.notes()[0][2]
    assert "note on" in command("capture", "ls", str(tmp_path)).stdout


def test_a_damaged_segment_is_logged_and_not_changed(tmp_path: Path) -> None:
    write(tmp_path, calls(400), block_records=50)
    (path,) = files(tmp_path)
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    path.write_bytes(data)
    log_lines = run_maintenance(tmp_path)
    assert len(log_lines) == 1 and path.name in log_lines[0] and "offset" in log_lines[0]
    assert path.read_bytes() == data
    verified = command("capture", "verify", str(tmp_path))
    assert verified.returncode == 1 and "damaged" in verified.stdout


def test_a_segment_being_written_is_not_processed(tmp_path: Path) -> None:
    write(tmp_path, calls(600), segment_bytes=2_000, block_records=50)
    paths = files(tmp_path)
    with paths[-1].open("rb") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        assert is_open(paths[-1]) and not is_open(paths[0])
        run_maintenance(tmp_path)
        with Store(tmp_path) as store:
            assert store.index_of(paths[-1]) is None and store.index_of(paths[0]) is not None
    assert delete_over_budget(tmp_path, 0) == [path.name for path in paths]  # without the lock all may be deleted


def test_only_one_process_maintains_a_folder(tmp_path: Path) -> None:
    write(tmp_path, calls(50))
    one = MaintenanceRunner(tmp_path, budget_bytes=1 << 40, log=print)
    one.run_once()
    two = MaintenanceRunner(tmp_path, budget_bytes=1 << 40, log=print)
    with pytest.raises(CaptureError, match="another process"):
        two.run_once()
    one.stop()
    two.run_once()
    two.stop()


def test_segments_are_deleted_oldest_first_up_to_the_budget() -> None:
    segment_files = [
        SegmentFile("b", 10, 2),
        SegmentFile("a", 10, 1, kept=True),
        SegmentFile("c", 10, 3),
        SegmentFile("d", 10, 4, open=True),
    ]
    assert (
        segments_to_delete(segment_files, 40) == []
        and segments_to_delete(segment_files, 39) == ["b"]
        and segments_to_delete(segment_files, 20) == ["b", "c"]
    )
    assert segments_to_delete(segment_files, 0) == ["b", "c"] and segments_to_delete([], 0) == []


def test_after_retention_the_remaining_segments_replay_from_a_snapshot(tmp_path: Path) -> None:
    recorded = calls(3_000)
    write(tmp_path, recorded, segment_bytes=8_000, block_records=50)
    run_maintenance(tmp_path, states_every=300)
    size = sum(path.stat().st_size for path in files(tmp_path))
    with Store(tmp_path) as store:
        kept = files(tmp_path)[1].name
        store.mark_kept(kept, "the weekend")
    assert "deleted" in run_maintenance(tmp_path, states_every=300, budget_bytes=size // 2)[0]
    remaining = files(tmp_path)
    assert kept in [path.name for path in remaining] and sum(path.stat().st_size for path in remaining) <= size // 2
    found = list(seek.since(tmp_path, HistoryReader(remaining), recorded[-1].at))
    assert replay_numbered(found).matches and found[0][0] >= 2_700


def test_an_unreadable_store_prevents_deletion(tmp_path: Path) -> None:
    write(tmp_path, calls(400), segment_bytes=2_000, block_records=50)
    (tmp_path / "store").mkdir(exist_ok=True)
    (tmp_path / "store" / "data.mdb").write_bytes(b"not a store" * 1_000)
    with pytest.raises(CaptureError, match="store"):
        delete_over_budget(tmp_path, 0)
    recorder = write(tmp_path, calls(300), budget_bytes=1)
    assert recorder.written == 301 and len(files(tmp_path)) > 2
    result = command("capture", "ls", str(tmp_path))
    assert result.returncode == 2 and "Traceback" not in result.stderr


CRASH = """
import os, sys
from pathlib import Path
from stonetrack.capture import maintenance
from stonetrack.capture.maintenance import MaintenanceRunner
step, folder = int(sys.argv[1]), Path(sys.argv[2])
count = 0

def count_calls(kind, real):
    def call(*arguments, **options):
        global count
        count += 1
        if count == step:
            os._exit(9)
        return real(*arguments, **options)
    return call

os.rename = count_calls("rename", os.rename)
os.fsync = count_calls("fsync", os.fsync)
maintenance.segment.encode_block = count_calls("pack", maintenance.segment.encode_block)
for name in ("put_index", "put_state", "put_progress", "delete_segments"):
    setattr(maintenance.Store, name, count_calls(name, getattr(maintenance.Store, name)))
maintenance.SETTLE_SECONDS = 0.0
maintenance_runner = MaintenanceRunner(folder, budget_bytes=int(sys.argv[3]), log=print, states_every=200)
maintenance_runner.run_once()
maintenance_runner.stop()
print("done", count)
"""


def test_maintenance_killed_at_any_step_keeps_every_record_and_can_continue(tmp_path: Path) -> None:
    recorded = calls(500)
    steps = 0
    for step in range(1, 200):
        folder = tmp_path / str(step)
        write(folder, recorded, segment_bytes=6_000, block_records=50)
        done = subprocess.run([sys.executable, "-c", CRASH, str(step), str(folder), str(1 << 40)],
                              capture_output=True, text=True)  # fmt: skip
        reading = HistoryReader(files(folder))
        assert list(reading) == numbered(recorded) and not reading.damage, f"killed at step {step}"
        steps = step
        if done.returncode == 0:
            break
        assert done.returncode == 9, done.stderr
        if step % 4 == 0:
            assert run_maintenance(folder, states_every=200) == [] and not list(folder.glob("*.packing"))
    assert 12 <= steps < 199 and os.listdir(tmp_path)


def test_a_live_nodes_folder_is_maintained_while_it_serves(tmp_path: Path) -> None:
    settings = {"capture": {"dir": str(tmp_path), "flush_ms": 10, "segment_bytes": 4_096}}
    maintenance_runner = MaintenanceRunner(
        tmp_path, budget_bytes=1 << 40, log=print, states_every=100, scan_interval=0.05
    )
    maintenance_runner.start()
    with harness(2, 2, settings=settings) as node:
        client = Client(node.port)
        for n in range(120):
            client.call(chat(f"{n}", max_tokens=2))
        client.close()
        paths = files(tmp_path)
        assert len(paths) > 2
        assert wait_for(lambda: all(maintenance_runner.store.index_of(path) is not None for path in paths[:-1]), 15.0)
    maintenance_runner.stop()
    result = replay_numbered(HistoryReader(files(tmp_path)))
    assert result.matches and result.calls > 400 and not result.missing
    assert {segment.MAGIC} == {path.read_bytes()[: len(segment.MAGIC)] for path in files(tmp_path)}
