"""The deadline of a stream's next event, and which bytes complete an event.  No sockets, no clock."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stonetrack.node.ports import StreamProgress
from stonetrack.node.stream_deadline import BYTES_GRACE_NS, EVENT_LIMIT_FACTOR, StreamDeadline
from stonetrack.wire import sse

SECOND = 1_000_000_000
SILENCE = 4 * SECOND
USUAL = SILENCE + BYTES_GRACE_NS


def deadline() -> StreamDeadline:
    found = StreamDeadline(SILENCE)
    found.event_completed(0)
    return found


# Bytes of a chunk's size kept a stream open beyond its time (issue 67).
@given(st.lists(st.integers(1, SECOND), min_size=1, max_size=80))
def test_bytes_outside_of_a_chunk_extend_nothing_beyond_their_grace(pauses: list[int]) -> None:
    stream, now = deadline(), 0
    for pause in pauses:
        now += pause
        stream.bytes_received(StreamProgress(100, 0), now)
    assert stream.at == USUAL


def test_a_stream_without_a_byte_has_no_grace() -> None:
    assert deadline().at == SILENCE


# Ever new chunks that complete no event kept a stream open for as long as they came: kin of issue 67.
@given(st.lists(st.tuples(st.integers(1, SECOND), st.integers(1, 1_000)), min_size=1, max_size=80))
def test_no_sequence_of_chunks_without_an_event_extends_the_deadline_beyond_the_event_limit(
    chunks: list[tuple[int, int]],
) -> None:
    stream, now, announced = deadline(), 0, 0
    for pause, size in chunks:
        now, announced = now + pause, announced + size
        if now >= stream.at:
            break
        stream.bytes_received(StreamProgress(announced, size), now)
    assert stream.at <= EVENT_LIMIT_FACTOR * SILENCE and stream.at >= SILENCE


def test_a_chunk_that_is_announced_late_extends_nothing() -> None:
    stream = deadline()
    stream.bytes_received(StreamProgress(1, 1), USUAL - 1)
    assert stream.at > USUAL
    stream.bytes_received(StreamProgress(2, 1), USUAL + 1)
    assert stream.at == USUAL


@pytest.mark.parametrize(("pause", "extended"), [(SECOND // 20, True), (SECOND // 2, False)])
def test_a_chunk_extends_the_deadline_if_it_arrives_in_time_at_the_pace_of_its_bytes(
    pause: int, extended: bool
) -> None:
    stream = deadline()
    for received in range(1, 8):
        stream.bytes_received(StreamProgress(100, 100 - received), USUAL - (8 - received) * pause)
    assert (stream.at > USUAL) is extended


@given(st.integers(1, 12), st.sampled_from([b"\n", b"\r\n"]))
def test_where_an_event_ends_does_not_depend_on_how_its_bytes_are_split(step: int, line_end: bytes) -> None:
    lines = [
        b": alive",
        b"",
        b"id: 7",
        b"",
        b"",
        b"event: x",
        b"data: one",
        b"data: two",
        b"",
        b"data:",
        b"",
        b"datax: 1",
        b"",
    ]
    stream = b"".join(line + line_end for line in lines)
    ends = sse.EventEnds()
    found = {start // step for start in range(0, len(stream), step) if ends.feed(stream[start : start + step])}
    first = stream.index(b"two") + len(b"two") + 2 * len(line_end)
    second = stream.index(b"data:" + line_end) + len(b"data:") + 2 * len(line_end)
    assert found == {(first - 1) // step, (second - 1) // step}


def test_whole_events_complete_an_event_and_nothing_else_does() -> None:
    ends = sse.EventEnds()
    assert ends.feed(b"data: a\n\n") and ends.feed(b"data: a\r\n\r\n") and ends.feed(b"data: a\n\ndata: b")
    assert not ends.feed(b"more") and ends.feed(b"\n\n") and not ends.feed(b"\n\n") and not ends.feed(b": x\n\n")
