"""HTTP/1.1 and event stream parsing: independent of how bytes are split, and strict about ambiguous framing."""

from __future__ import annotations

import random
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stonetrack.wire import http1, sse, writer
from stonetrack.wire.errors import ProtocolError, TooLarge

REQUESTS, RESPONSES = http1.Side.REQUESTS, http1.Side.RESPONSES
HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"
names = st.text("abcdefghijklmnopqrstuvwxyz-", min_size=1, max_size=12)
values = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=30)
bodies = st.lists(st.binary(min_size=1, max_size=50), max_size=6)


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    at = sorted({min(cut, len(data)) for cut in cuts})
    return [data[a:b] for a, b in zip([0, *at], [*at, len(data)], strict=True)]


def merged(events: list[http1.Event]) -> list[http1.Event]:
    """Merges adjacent ``Data`` events: how data is split may differ, its content must not."""
    result: list[http1.Event] = []
    for event in events:
        if isinstance(event, http1.Data) and result and isinstance(result[-1], http1.Data):
            result[-1] = http1.Data(result[-1].data + event.data)
        else:
            result.append(event)
    return result


def parse(side: http1.Side, data: list[bytes], limits: http1.Limits | None = None) -> list[http1.Event]:
    parser = http1.MessageReader(side, limits)
    return merged([event for piece in data for event in parser.feed(piece)])


@given(st.lists(st.tuples(names, values), max_size=5), bodies, st.booleans(), st.lists(st.integers(0, 600), max_size=8))
def test_request_parsing_does_not_depend_on_how_bytes_are_split(
    fields: list[tuple[str, str]], body: list[bytes], chunked: bool, cuts: list[int]
) -> None:
    fields = [(f"x-{name}", text) for name, text in fields]
    if chunked:
        head = writer.request("POST", "/a?b=c", [("Host", "h"), *fields, ("Transfer-Encoding", "chunked")])
        data = head + b"".join(map(writer.chunk, body)) + writer.LAST_CHUNK
    else:
        data = writer.request("POST", "/a?b=c", [("Host", "h"), *fields], b"".join(body))
    data += data  # two requests on one connection
    whole = parse(REQUESTS, [data])
    assert whole == parse(REQUESTS, split(data, cuts))
    first = whole[0]
    assert isinstance(first, http1.RequestHead) and first.path == "/a" and first.query == "b=c"
    assert [item for item in first.headers if item[0].startswith("x-")] == [(n, v.strip(" \t")) for n, v in fields]
    assert b"".join(e.data for e in whole if isinstance(e, http1.Data)) == b"".join(body) * 2
    assert sum(isinstance(e, http1.End) for e in whole) == 2


def test_response_fed_byte_by_byte() -> None:
    data = (
        writer.chunked_head(200, [("Content-Type", "text/event-stream")])
        + writer.chunk(b"data: x\n\n")
        + writer.LAST_CHUNK
    )
    assert parse(RESPONSES, [data]) == parse(RESPONSES, [data[n : n + 1] for n in range(len(data))])


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        HEAD + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\n",
        HEAD + b"Content-Length: +3\r\n\r\n",
        HEAD + b"Content-Length: 3, 3\r\n\r\n",
        HEAD + b"Content-Length: \xb2\r\n\r\n",
        HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        HEAD + b"Transfer-Encoding: xchunked\r\n\r\n",
        HEAD + b"X: a\r\n folded\r\n\r\n",
        HEAD + b"X : a\r\n\r\n",
        HEAD + b"X: a\x00b\r\n\r\n",
        HEAD + b"X: a\rb\r\n\r\n",
        HEAD + b"X\x00: a\r\n\r\n",
        HEAD + b": a\r\n\r\n",
        HEAD + b"X: a\n\r\n",
        HEAD + b"Host: b\r\n\r\n",
        b"POST /x HTTP/1.1\r\n\r\n",
        b"POST /x HTTP/1.1\n\n",
        b"POST  /x HTTP/1.1\r\nHost: a\r\n\r\n",
        b"POST /x y HTTP/1.1\r\nHost: a\r\n\r\n",
        b"POST /x HTTP/2.0\r\nHost: a\r\n\r\n",
        b"P@ST /x HTTP/1.1\r\nHost: a\r\n\r\n",
        b"POST /\x80 HTTP/1.1\r\nHost: a\r\n\r\n",
        b"\r\n\r\n\r\nPOST /x HTTP/1.1\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\n",
    ],
)
def test_ambiguous_requests_are_rejected(data: bytes) -> None:
    for received in ([data], [data[n : n + 1] for n in range(len(data))]):
        with pytest.raises(ProtocolError) as raised:
            parse(REQUESTS, received)
        assert raised.value.status in (400, 501, 505)


@pytest.mark.parametrize("size", [b"", b"-1", b"+1", b" 1", b"0x1", b"g", b"1" * 17, b"1 2", b"\xb2"])
def test_chunk_size_must_be_hexadecimal_digits_only(size: bytes) -> None:
    with pytest.raises(ProtocolError):
        parse(REQUESTS, [HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + size + b"\r\nabc\r\n0\r\n\r\n"])


@pytest.mark.parametrize("body", [b"3\r\nabcd\r\n", b"3\nabc\r\n", b"3\r\nabc\n0", b"3\r\nabcX\n"])
def test_chunk_data_must_match_chunk_size(body: bytes) -> None:
    with pytest.raises(ProtocolError):
        parse(REQUESTS, [HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body])


def test_limits_are_enforced_as_soon_as_they_are_exceeded() -> None:
    limits = http1.Limits(head=1_000, headers=10, body=100, start_line=200)
    cases = [
        (HEAD + b"X: " + b"a" * 2_000, 431),
        (HEAD + b"".join(b"X-%d: a\r\n" % n for n in range(12)), 431),
        (b"GET /" + b"a" * 300, 414),
        (HEAD + b"Content-Length: 101\r\n\r\n", 413),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n65\r\n", 413),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n32\r\n" + b"a" * 50 + b"\r\n33\r\n", 413),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;" + b"x" * 2_000, 400),
    ]
    for data, status in cases:
        with pytest.raises(TooLarge) as raised:
            parse(REQUESTS, [data], limits)
        assert raised.value.status == status, data[:60]


def test_parser_accepts_nothing_after_an_error() -> None:
    parser = http1.MessageReader(REQUESTS)
    with pytest.raises(ProtocolError):
        parser.feed(b"bad\r\n\r\n")
    with pytest.raises(ProtocolError):
        parser.feed(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")


def test_response_without_length_ends_when_the_connection_closes() -> None:
    parser = http1.MessageReader(RESPONSES)
    events = parser.feed(b"HTTP/1.1 200 OK\r\n\r\nabc")
    assert [type(e).__name__ for e in events] == ["ResponseHead", "Data"] and not parser.idle
    assert parser.eof() == [http1.End()]
    cut = http1.MessageReader(RESPONSES)
    cut.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
    with pytest.raises(ProtocolError, match="closed within a message"):
        cut.eof()


def test_feed_of_one_message_leaves_the_next_in_the_buffer() -> None:
    parser = http1.MessageReader(REQUESTS)
    one = writer.request("GET", "/1", [("Host", "a")]) + writer.request("GET", "/2", [("Host", "a")])
    first = parser.feed(one, messages=1)
    assert [e.target for e in first if isinstance(e, http1.RequestHead)] == ["/1"] and not parser.idle
    assert [e.target for e in parser.feed(b"", messages=1) if isinstance(e, http1.RequestHead)] == ["/2"]
    assert parser.idle


def test_parsing_time_is_linear_in_the_number_of_bytes() -> None:
    """The time to feed a single byte does not grow with the number of bytes before it."""

    def seconds_for(size: int) -> float:
        parser = http1.MessageReader(REQUESTS, http1.Limits(head=1 << 20, start_line=1 << 20))
        data = b"GET /" + b"a" * size
        start = time.process_time()
        for n in range(len(data)):
            parser.feed(data[n : n + 1])
        return time.process_time() - start

    seconds_for(1_000)
    assert seconds_for(80_000) < 40 * max(seconds_for(10_000), 1e-4)  # quadratic time would be 64 times as long


def test_mutated_messages_raise_only_protocol_errors() -> None:
    draw = random.Random(7)
    corpus = [
        HEAD + b"Content-Length: 3\r\n\r\nabc",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: x\r\n\r\n",
        b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
    ]
    for _ in range(4_000):
        data = bytearray(draw.choice(corpus))
        for _ in range(draw.randint(1, 6)):
            at = draw.randrange(len(data) + 1)
            change = draw.randrange(3)
            if change == 0 and at < len(data):
                data[at] = draw.randrange(256)
            elif change == 1:
                data[at:at] = bytes(draw.randrange(256) for _ in range(draw.randint(1, 4)))
            else:
                del data[at : at + draw.randint(1, 5)]
        for side in (REQUESTS, RESPONSES):
            parser = http1.MessageReader(side)
            try:
                for piece in split(bytes(data), [draw.randrange(len(data) + 1) for _ in range(2)]):
                    parser.feed(piece)
                parser.eof()
            except ProtocolError:
                pass


def test_writer_rejects_header_injection() -> None:
    with pytest.raises(ValueError, match="control bytes"):
        writer.response(200, [("X", "a\r\nSet-Cookie: b")])


# Event streams.

lines = st.text(st.characters(exclude_characters="\r\n", exclude_categories=["Cs"]), max_size=20)


@given(st.lists(st.lists(lines, min_size=1, max_size=3), max_size=5), st.sampled_from(["\n", "\r\n", "\r"]),
       st.lists(st.integers(0, 400), max_size=10))  # fmt: skip
def test_event_parsing_does_not_depend_on_how_bytes_are_split(
    events: list[list[str]], end: str, cuts: list[int]
) -> None:
    text = "".join("".join(f"data: {line}{end}" for line in event) + end for event in events)
    data = text.encode()
    stream = sse.EventStreamReader()
    parsed = [e.data for piece in split(data, cuts) for e in stream.feed(piece)]
    if end == "\r" and data:  # the last CR may be the first half of a CRLF
        parsed += [e.data for e in stream.feed(b"\n")]
    assert parsed == ["\n".join(event).encode() for event in events]


@given(st.binary(max_size=60).filter(lambda data: b"\r" not in data))
def test_encoded_events_are_parsed_back(data: bytes) -> None:
    stream = sse.EventStreamReader()
    assert [e.data for e in stream.feed(sse.encode(data, "note"))] == [data]
    assert stream.between_events


def test_comments_event_names_and_partial_events() -> None:
    stream = sse.EventStreamReader()
    assert stream.feed(b"\xef\xbb\xbf: hello\nevent: note\ndata:x\nid: 3\n\n") == [sse.ServerSentEvent(b"x", "note")]
    assert stream.feed(b"data: half") == [] and not stream.between_events


def test_event_size_is_limited() -> None:
    with pytest.raises(ProtocolError):
        sse.EventStreamReader(limit=100).feed(b"data: " + b"a" * 200)
    stream = sse.EventStreamReader(limit=100)
    with pytest.raises(ProtocolError):
        for _ in range(200):
            stream.feed(b"data: abc\n")
