"""Captures: the same decisions again, whatever happened to the files on the way."""

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
    """What a router was told on a lively quarter of an hour, and what it did."""
    draw = random.Random(count)
    made: list[Call] = []
    fixture = RouterFixture()
    handle = fixture.router.handle

    def noting(now: int, event: api.Event) -> list[api.Action]:
        actions = handle(now, event)
        made.append(Call(now, event, tuple(actions)))
        return actions

    fixture.router = Router(SETTINGS, 1)
    handle = fixture.router.handle
    fixture.router.handle = noting  # type: ignore[method-assign]
    fixture.handle(api.ServerList(api.ListKind.SAVED, 1, FLEET))
    n = 0
    while len(made) < count:
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
            then = fixture.finish_prefill(sends[0], elapsed=draw.randrange(1, 300) * 1_000_000)
            if draw.random() < 0.2:
                fixture.handle(api.RequestGone(then.request))
                fixture.end_attempt(then, api.Outcome.CANCELLED, 1)
            else:
                fixture.serve(then)
    return made[:count]


def write(folder: Path, made: list[Call], **more: object) -> Recorder:
    told: list[str] = []
    writer = Recorder(folder, HEADER, time.time_ns, log=told.append, flush_interval=0.01, **more)  # type: ignore[arg-type]
    writer.start()
    for call in made:
        writer.record(call.at, call.event, call.actions)
        while len(writer._queue) > 1_000:
            time.sleep(0.001)
    writer.stop()
    return writer


def files(folder: Path) -> list[Path]:
    return sorted(folder.glob("*.cap"))


def test_every_event_and_action_comes_back_as_it_was() -> None:
    made = calls(300)
    for call in made:
        assert codec.decode(codec.encode(call)) == call
    header = codec.decode(codec.encode(HEADER))
    assert header == HEADER
    kinds = {type(call.event).__name__ for call in made} | {type(a).__name__ for call in made for a in call.actions}
    assert {"RequestArrived", "AttemptEnded", "ServerList", "Send", "SetTimer", "Release"} <= kinds


def test_a_capture_replays_to_the_same_decisions(tmp_path: Path) -> None:
    made = calls(2_000)
    write(tmp_path, made, segment_bytes=4_000, block_records=200)
    assert len(files(tmp_path)) > 2
    damage: list[str] = []
    records = list(iter_records(files(tmp_path), damage))
    assert records == [HEADER, *made] and not damage
    for _ in range(2):
        result = replay(records)
        assert result.calls == 2_000 and result.matches


def test_another_module_shows_as_the_first_difference() -> None:
    class Other(Router):
        def handle(self, now: int, event: api.Event) -> list[api.Action]:
            actions = super().handle(now, event)
            return [a for a in actions if not isinstance(a, api.Release)]

    made = calls(400)
    result = replay([HEADER, *made], Other)
    first = next(n for n, call in enumerate(made) if any(isinstance(a, api.Release) for a in call.actions))
    assert result.difference is not None and result.difference.number == first + 1
    assert result.difference.call == made[first]
    request = codec.request_of(made[first].event)
    assert replay([HEADER, *made], Other, request="nobody").matches
    assert not replay([HEADER, *made], Other, request=request).matches
    assert replay([HEADER, *made], Other, until=made[first].at - 1).matches


def test_a_file_cut_at_any_byte_loses_only_its_tail(tmp_path: Path) -> None:
    write(tmp_path, calls(60), block_records=10)
    (path,) = files(tmp_path)
    data = path.read_bytes()
    blocks, damage = segment.scan_blocks(data)
    assert damage is None and len(blocks) >= 6
    for at in range(len(data)):
        whole, torn = segment.scan_blocks(data[:at])
        assert whole == [b for b in blocks if b.offset + b.size <= at]
        ends = {len(segment.MAGIC), *(b.offset + b.size for b in blocks)}
        assert (torn is None) == (at in ends)
        if torn is not None and at > len(segment.MAGIC):
            assert torn.torn and torn.text.startswith("torn") and torn.offset <= at


def test_a_flipped_bit_is_found_and_named_and_the_rest_stays_readable(tmp_path: Path) -> None:
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
        hit = next(b for b in blocks if b.offset <= at < b.offset + b.size)
        if at in range(hit.offset + 28, hit.offset + 32):
            continue  # four bytes that mean nothing
        assert f"{path.name}: offset {hit.offset}: " in reading.damage[0]
        before = sum(b.records for b in blocks if b.offset < hit.offset)
        assert len(records) >= before
        after = [b for b in blocks if b.offset > hit.offset]
        length_hit = at < hit.offset + 4  # the block's length: where the next begins can't be known
        if after and hit.first and not length_hit:
            gaps = [record for record in records if isinstance(record, Gap)]
            assert [gap.count for gap in gaps] == [hit.records] and len(records) == 61 - hit.records + 1
            assert replay(records).matches


def test_what_can_not_be_taken_is_counted_and_said(tmp_path: Path) -> None:
    made = calls(300)
    writer = Recorder(tmp_path, HEADER, time.time_ns, log=lambda text: None, max_queued=100)
    for call in made:
        writer.record(call.at, call.event, call.actions)
    writer.start()
    writer.stop()
    records = list(iter_records(files(tmp_path), []))
    assert records[:101] == [HEADER, *made[:100]]
    assert isinstance(records[101], Gap) and records[101].count == 200 == writer.lost_calls
    result = replay(records)
    assert result.calls == 100 and result.missing == 200 and result.matches


def test_a_full_disk_never_stops_the_node_and_is_said_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    full = True
    real = os.write

    def no_room(fd: int, data: bytes) -> int:
        if full and len(data) > 20:
            raise OSError(28, "No space left on device")
        return real(fd, data)

    monkeypatch.setattr(os, "write", no_room)
    told: list[str] = []
    writer = Recorder(tmp_path, HEADER, time.time_ns, log=told.append, flush_interval=0.01)
    writer.start()
    made = calls(200)
    start = time.monotonic()
    for call in made:
        writer.record(call.at, call.event, call.actions)
    assert time.monotonic() - start < 1.0
    assert wait_for(lambda: writer.lost_calls == 200)
    full = False
    writer.stop()
    assert len(told) == 1 and "No space left" in told[0]
    found = list(iter_records(files(tmp_path), []))
    assert sum(r.count for r in found if isinstance(r, Gap)) == 200


def test_what_was_in_hand_when_the_disk_filled_is_counted(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real, room = os.write, [3]

    def little_room(fd: int, data: bytes) -> int:
        room[0] -= 1
        if room[0] == 0:
            real(fd, data[:40])
            raise OSError(28, "No space left on device")
        return real(fd, data)

    monkeypatch.setattr(os, "write", little_room)
    made = calls(200)
    writer = Recorder(tmp_path, HEADER, time.time_ns, log=lambda text: None, flush_interval=0.01, block_records=50)
    for call in made:
        writer.record(call.at, call.event, call.actions)
    writer.start()
    writer.stop()
    damage: list[str] = []
    records = list(iter_records(files(tmp_path), damage))
    found = sum(isinstance(r, Call) for r in records)
    assert found + sum(r.count for r in records if isinstance(r, Gap)) == 200 and writer.lost_calls == 200 - found
    assert len(damage) == 1 and "torn" in damage[0] and replay(records).matches


def test_the_oldest_go_past_the_budget_but_never_one_that_is_kept(tmp_path: Path) -> None:
    write(tmp_path, calls(1_500), segment_bytes=3_000, block_records=200, budget_bytes=1 << 30)
    before = files(tmp_path)
    with Store(tmp_path) as store:
        store.mark_kept(before[1].name, "the weekend")
    sizes = sum(path.stat().st_size for path in before[-2:])
    writer = Recorder(tmp_path, HEADER, time.time_ns, log=lambda text: None, budget_bytes=sizes)
    writer.start()
    writer.record(1, api.TimerFired(0), ())
    writer.stop()
    left = files(tmp_path)
    assert before[1] in left and before[0] not in left and len(left) < len(before)


def test_after_a_gap_replay_goes_on_from_a_snapshot(tmp_path: Path) -> None:
    made = calls(900)
    router = Router(SETTINGS, 1)
    lock = threading.Lock()

    def still(do: Callable[[], None]) -> None:
        with lock:
            do()

    writer = Recorder(tmp_path, HEADER, time.time_ns, log=lambda text: None, max_queued=100, flush_interval=0.01)
    writer.enable_gap_recovery(still, lambda: snapshot.take(router))
    for n, call in enumerate(made):
        with lock:
            writer.record(call.at, call.event, router.handle(call.at, call.event))
        if n == 300:  # the queue overflowed; then the thread comes to it
            writer.start()
            assert wait_for(lambda: not writer._lost_since_gap and not writer._queue)
        elif n > 300 and n % 50 == 0:
            assert wait_for(lambda: not writer._queue)
    writer.stop()
    result = replay(iter_records(files(tmp_path), []))
    assert result.matches and result.missing == writer.lost_calls >= 200 and result.states >= 1
    assert result.calls + result.missing == 900 and not result.skipped


@pytest.mark.parametrize("data", [b"", b"\x90", b"\x92\x01", b"\x91\x07", b"\xc1", codec.encode(Gap(1, 2))[:-1]])
def test_a_record_that_can_not_be_read_is_said_plainly(data: bytes) -> None:
    with pytest.raises(CaptureError):
        codec.decode(data)


def test_a_capture_with_other_fields_is_refused_by_name() -> None:
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
    listed = command("capture", "verify", str(tmp_path))
    assert listed.returncode == 0 and "good" in listed.stdout
    text = b"".join(path.read_bytes() for path in files(tmp_path))
    assert b"charge" not in text
