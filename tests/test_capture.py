"""Captures replay to the same decisions, also from damaged or incomplete files."""

from __future__ import annotations

import os
import random
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from stonetrack import api
from stonetrack.capture import codec, segment, snapshot
from stonetrack.capture.codec import Call, CaptureError, Gap, Header
from stonetrack.capture.history import HistoryReader, iter_records
from stonetrack.capture.recorder import Recorder
from stonetrack.capture.replay import replay
from stonetrack.capture.store import Store
from stonetrack.logic import Router
from tests.harness import Client, chat, harness, wait_for
from tests.router_fixture import FLEET, SETTINGS, RouterFixture

HEADER = Header("test", "i0.1", 1, SETTINGS)


def calls(count: int) -> list[Call]:
    """Calls of a router under varied load and errors, with the actions that it returned."""
    draw = random.Random(count)
    recorded: list[Call] = []
    fixture = RouterFixture()
    handle = fixture.router.handle

    def recording_handle(now: int, event: api.Event) -> list[api.Action]:
        actions = handle(now, event)
        recorded.append(Call(now, event, tuple(actions)))
        return actions

    fixture.router = Router(SETTINGS, 1)
    handle = fixture.router.handle
    fixture.router.handle = recording_handle  # type: ignore[method-assign]
    fixture.handle(api.ServerList(api.ListKind.SAVED, 1, FLEET))
    n = 0
    while len(recorded) < count:
        n += 1
        sends = [a for a in fixture.arrive(f"q{n}", session=f"s{n % 7}", shared_prefix=f"b{n % 3}", shared=600)
                 if isinstance(a, api.Send)]  # fmt: skip
        if not sends:
            fixture.advance(100_000_000)
        elif draw.random() < 0.2:
            fixture.end_attempt(
                sends[0], draw.choice([api.Outcome.ERROR, api.Outcome.FULL, api.Outcome.CONNECT_FAILED]), 0
            )
        else:
            decode_send = fixture.finish_prefill(sends[0], elapsed=draw.randrange(1, 300) * 1_000_000)
            if draw.random() < 0.2:
                fixture.handle(api.RequestGone(decode_send.request))
                fixture.end_attempt(decode_send, api.Outcome.CANCELLED, 1)
            else:
                fixture.serve(decode_send)
    return recorded[:count]


def write(folder: Path, recorded: list[Call], **more: object) -> Recorder:
    log_lines: list[str] = []
    recorder = Recorder(folder, HEADER, time.time_ns, log=log_lines.append, flush_interval=0.01, **more)  # type: ignore[arg-type]
    recorder.start()
    for call in recorded:
        recorder.record(call.at, call.event, call.actions)
        while len(recorder._queue) > 1_000:
            time.sleep(0.001)
    recorder.stop()
    return recorder


def files(folder: Path) -> list[Path]:
    return sorted(folder.glob("*.cap"))


def test_events_and_actions_are_equal_after_encoding_and_decoding() -> None:
    recorded = calls(300)
    for call in recorded:
        assert codec.decode(codec.encode(call)) == call
    header = codec.decode(codec.encode(HEADER))
    assert header == HEADER
    type_names = {type(call.event).__name__ for call in recorded} | {
        type(a).__name__ for call in recorded for a in call.actions
    }
    assert {"RequestArrived", "AttemptEnded", "ServerList", "Send", "SetTimer", "Release"} <= type_names


def test_a_capture_replays_to_the_same_decisions(tmp_path: Path) -> None:
    recorded = calls(2_000)
    write(tmp_path, recorded, segment_bytes=4_000, block_records=200)
    assert len(files(tmp_path)) > 2
    damage: list[str] = []
    records = list(iter_records(files(tmp_path), damage))
    assert records == [HEADER, *recorded] and not damage
    for _ in range(2):
        result = replay(records)
        assert result.calls == 2_000 and result.matches


def test_a_changed_module_is_reported_at_its_first_difference() -> None:
    class Other(Router):
        def handle(self, now: int, event: api.Event) -> list[api.Action]:
            actions = super().handle(now, event)
            return [a for a in actions if not isinstance(a, api.Release)]

    recorded = calls(400)
    result = replay([HEADER, *recorded], Other)
    first = next(n for n, call in enumerate(recorded) if any(isinstance(a, api.Release) for a in call.actions))
    assert result.difference is not None and result.difference.number == first + 1
    assert result.difference.call == recorded[first]
    request = codec.request_of(recorded[first].event)
    assert replay([HEADER, *recorded], Other, request="nobody").matches
    assert not replay([HEADER, *recorded], Other, request=request).matches
    assert replay([HEADER, *recorded], Other, until=recorded[first].at - 1).matches


def test_a_file_truncated_at_any_byte_loses_only_its_tail(tmp_path: Path) -> None:
    write(tmp_path, calls(60), block_records=10)
    (path,) = files(tmp_path)
    data = path.read_bytes()
    blocks, damage = segment.scan_blocks(data)
    assert damage is None and len(blocks) >= 6
    for at in range(len(data)):
        complete, torn = segment.scan_blocks(data[:at])
        assert complete == [b for b in blocks if b.offset + b.size <= at]
        ends = {len(segment.MAGIC), *(b.offset + b.size for b in blocks)}
        assert (torn is None) == (at in ends)
        if torn is not None and at > len(segment.MAGIC):
            assert torn.torn and torn.text.startswith("torn") and torn.offset <= at


def test_a_flipped_bit_is_reported_and_the_other_blocks_stay_readable(tmp_path: Path) -> None:
    write(tmp_path, calls(60), block_records=10)
    (path,) = files(tmp_path)
    data = path.read_bytes()
    blocks, _ = segment.scan_blocks(data)
    draw = random.Random(1)
    for _ in range(300):
        at = draw.randrange(len(segment.MAGIC), len(data))
        flipped = bytearray(data)
        flipped[at] ^= 1 << draw.randrange(8)
        path.write_bytes(flipped)
        reading = HistoryReader([path])
        records = [record for _, record in reading]
        damaged_block = next(b for b in blocks if b.offset <= at < b.offset + b.size)
        if at in range(damaged_block.offset + 28, damaged_block.offset + 32):
            continue  # unused zero bytes of the header
        assert f"{path.name}: offset {damaged_block.offset}: " in reading.damage[0]
        before = sum(b.records for b in blocks if b.offset < damaged_block.offset)
        assert len(records) >= before
        after = [b for b in blocks if b.offset > damaged_block.offset]
        length_hit = at < damaged_block.offset + 4  # with a wrong length the next block can't be found
        if after and damaged_block.first and not length_hit:
            gaps = [record for record in records if isinstance(record, Gap)]
            assert [gap.count for gap in gaps] == [damaged_block.records] and len(
                records
            ) == 61 - damaged_block.records + 1
            assert replay(records).matches


def test_calls_that_do_not_fit_in_the_queue_are_counted_in_a_gap(tmp_path: Path) -> None:
    recorded = calls(300)
    recorder = Recorder(tmp_path, HEADER, time.time_ns, log=lambda text: None, max_queued=100)
    for call in recorded:
        recorder.record(call.at, call.event, call.actions)
    recorder.start()
    recorder.stop()
    records = list(iter_records(files(tmp_path), []))
    assert records[:101] == [HEADER, *recorded[:100]]
    assert isinstance(records[101], Gap) and records[101].count == 200 == recorder.lost_calls
    result = replay(records)
    assert result.calls == 100 and result.missing == 200 and result.matches


def test_a_full_disk_does_not_block_the_node_and_is_logged_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    full = True
    real = os.write

    def write_to_full_disk(fd: int, data: bytes) -> int:
        if full and len(data) > 20:
            raise OSError(28, "No space left on device")
        return real(fd, data)

    monkeypatch.setattr(os, "write", write_to_full_disk)
    log_lines: list[str] = []
    recorder = Recorder(tmp_path, HEADER, time.time_ns, log=log_lines.append, flush_interval=0.01)
    recorder.start()
    recorded = calls(200)
    start = time.monotonic()
    for call in recorded:
        recorder.record(call.at, call.event, call.actions)
    assert time.monotonic() - start < 1.0
    assert wait_for(lambda: recorder.lost_calls == 200)
    full = False
    recorder.stop()
    assert len(log_lines) == 1 and "No space left" in log_lines[0]
    found = list(iter_records(files(tmp_path), []))
    assert sum(r.count for r in found if isinstance(r, Gap)) == 200


def test_calls_being_written_when_the_disk_fills_are_counted(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real, writes_left = os.write, [3]

    def write_to_filling_disk(fd: int, data: bytes) -> int:
        writes_left[0] -= 1
        if writes_left[0] == 0:
            real(fd, data[:40])
            raise OSError(28, "No space left on device")
        return real(fd, data)

    monkeypatch.setattr(os, "write", write_to_filling_disk)
    recorded = calls(200)
    recorder = Recorder(tmp_path, HEADER, time.time_ns, log=lambda text: None, flush_interval=0.01, block_records=50)
    for call in recorded:
        recorder.record(call.at, call.event, call.actions)
    recorder.start()
    recorder.stop()
    damage: list[str] = []
    records = list(iter_records(files(tmp_path), damage))
    found = sum(isinstance(r, Call) for r in records)
    assert found + sum(r.count for r in records if isinstance(r, Gap)) == 200 and recorder.lost_calls == 200 - found
    assert len(damage) == 1 and "torn" in damage[0] and replay(records).matches


def test_the_oldest_segments_over_budget_are_deleted_but_not_kept_ones(tmp_path: Path) -> None:
    write(tmp_path, calls(1_500), segment_bytes=3_000, block_records=200, budget_bytes=1 << 30)
    before = files(tmp_path)
    with Store(tmp_path) as store:
        store.mark_kept(before[1].name, "the weekend")
    sizes = sum(path.stat().st_size for path in before[-2:])
    recorder = Recorder(tmp_path, HEADER, time.time_ns, log=lambda text: None, budget_bytes=sizes)
    recorder.start()
    recorder.record(1, api.TimerFired(0), ())
    recorder.stop()
    left = files(tmp_path)
    assert before[1] in left and before[0] not in left and len(left) < len(before)


def test_after_a_gap_replay_resumes_from_a_snapshot(tmp_path: Path) -> None:
    recorded = calls(900)
    router = Router(SETTINGS, 1)
    lock = threading.Lock()

    def run_between_calls(action: Callable[[], None]) -> None:
        with lock:
            action()

    recorder = Recorder(tmp_path, HEADER, time.time_ns, log=lambda text: None, max_queued=100, flush_interval=0.01)
    recorder.enable_gap_recovery(run_between_calls, lambda: snapshot.take(router))
    for n, call in enumerate(recorded):
        with lock:
            recorder.record(call.at, call.event, router.handle(call.at, call.event))
        if n == 300:  # the queue has overflowed before the thread starts
            recorder.start()
            assert wait_for(lambda: not recorder._lost_since_gap and not recorder._queue)
        elif n > 300 and n % 50 == 0:
            assert wait_for(lambda: not recorder._queue)
    recorder.stop()
    result = replay(iter_records(files(tmp_path), []))
    assert result.matches and result.missing == recorder.lost_calls >= 200 and result.states >= 1
    assert result.calls + result.missing == 900 and not result.skipped


@pytest.mark.parametrize("data", [b"", b"\x90", b"\x92\x01", b"\x91\x07", b"\xc1", codec.encode(Gap(1, 2))[:-1]])
def test_an_undecodable_record_raises_a_capture_error(data: bytes) -> None:
    with pytest.raises(CaptureError):
        codec.decode(data)


def test_a_capture_with_other_fields_is_rejected_with_the_class_name() -> None:
    import msgspec

    other = msgspec.msgpack.encode([codec.EVENT, 1, ["TimerFired", 0, "more"], []])
    with pytest.raises(CaptureError, match="TimerFired: 2 fields; this version knows 1: token"):
        codec.decode(other)


# Against a live node.


def command(*arguments: str, seed: str = "0") -> subprocess.CompletedProcess[str]:
    env = {**os.environ, "PYTHONHASHSEED": seed}
    return subprocess.run([sys.executable, "-m", "stonetrack", *arguments], capture_output=True, text=True, env=env)


def test_a_live_nodes_capture_replays_with_any_hash_seed(tmp_path: Path) -> None:
    with harness(2, 2, settings={"capture": {"dir": str(tmp_path), "flush_ms": 20}}) as node:
        client = Client(node.port)
        for n in range(30):
            if n == 10:
                node.fault("w0", "crash", down_ms=200)
            if n == 20:
                node.fault("r0", "full", for_ms=100)
            client.call(chat(f"{n}", max_tokens=3))
        client.close()
        assert "stonetrack_capture_records" in node.node.metrics()[0].decode()
    result = replay(iter_records(files(tmp_path), []))
    assert result.calls > 120 and result.matches and not result.missing
    for seed in ("0", "1", "2", "3", "4"):
        done = command("replay", str(tmp_path), seed=seed)
        assert done.returncode == 0 and f"{result.calls} calls replayed" in done.stdout, done.stdout + done.stderr
    verified = command("capture", "verify", str(tmp_path))
    assert verified.returncode == 0 and "good" in verified.stdout
    text = b"".join(path.read_bytes() for path in files(tmp_path))
    assert b"charge" not in text
