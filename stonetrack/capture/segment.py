"""The file format of captures, without I/O.

A segment is ``MAGIC`` and blocks.  A block is a head of 32 bytes and a body.  The head, all little-endian: length of
the body (4 bytes), length unpacked (4), records (4), number of the first record (8), xxh64 of head and body (8), zeros
(4).  The body is zstandard over records, each with its length before it (4 bytes).  The checksum covers the head's
fields too, so that a flipped bit anywhere is found.  A block is what is made durable at once: a kill within one leaves
a tail that :func:`scan_blocks` cuts off and tells.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash
import zstandard

from stonetrack.capture.codec import CaptureError

MAGIC = b"stonecap\x01\n"
_HEAD = struct.Struct("<IIIQ")
_SUM = struct.Struct("<Q")
HEAD_BYTES = _HEAD.size + _SUM.size + 4
MAX_BLOCK_BYTES = 64 << 20  # bytes of a block unpacked


@dataclass(frozen=True, slots=True)
class Block:
    """Where a block stands and what it holds."""

    offset: int
    size: int  # with its head
    first: int  # number of its first record
    records: int


@dataclass(frozen=True, slots=True)
class Damage:
    """What is wrong, and from which offset on."""

    offset: int
    text: str
    torn: bool = False  # the tail that a kill leaves


def encode_block(records: Iterable[bytes], first: int, level: int = 3) -> bytes:
    """One block."""
    parts = []
    count = 0
    for record in records:
        parts.append(len(record).to_bytes(4, "little"))
        parts.append(record)
        count += 1
    raw = b"".join(parts)
    body = zstandard.ZstdCompressor(level=level).compress(raw)
    head = _HEAD.pack(len(body), len(raw), count, first)
    return head + _SUM.pack(_checksum(head, body)) + bytes(4) + body


def _checksum(head: bytes, body: bytes) -> int:
    return xxhash.xxh64_intdigest(body, seed=xxhash.xxh64_intdigest(head) & 0xFFFFFFFF)


def scan_blocks(data: bytes | memoryview) -> tuple[list[Block], Damage | None]:
    """The blocks that are whole, and the first damage.  Reading goes on after a damaged block where its head can be
    trusted to say where the next begins; a torn tail ends it."""
    if len(data) < len(MAGIC) and MAGIC.startswith(bytes(data)):
        return [], Damage(0, f"torn: {len(data)} of {len(MAGIC)} bytes of the file's beginning", True)
    if bytes(data[: len(MAGIC)]) != MAGIC:
        return [], Damage(0, f"not a capture of this version (it begins with {bytes(data[:10])!r})")
    blocks: list[Block] = []
    damage: Damage | None = None
    at = len(MAGIC)
    while at < len(data):
        left = len(data) - at
        if left < HEAD_BYTES:
            return blocks, damage or Damage(at, f"torn: {left} bytes of a block's head", True)
        head = bytes(data[at : at + _HEAD.size])
        size, raw, count, first = _HEAD.unpack(head)
        whole = HEAD_BYTES + size
        if size > MAX_BLOCK_BYTES or raw > MAX_BLOCK_BYTES or left < whole:
            return blocks, damage or Damage(at, f"torn: {left} of {whole} bytes of a block", True)
        (told,) = _SUM.unpack_from(data, at + _HEAD.size)
        if _checksum(head, bytes(data[at + HEAD_BYTES : at + whole])) == told:
            blocks.append(Block(at, whole, first, count))
        else:
            damage = damage or Damage(at, "a block's checksum is wrong")
        at += whole
    return blocks, damage


def decode_block(data: bytes | memoryview, block: Block) -> Iterator[bytes]:
    """A block's records.  Raises CaptureError."""
    body = bytes(data[block.offset + HEAD_BYTES : block.offset + block.size])
    try:
        raw = zstandard.ZstdDecompressor().decompress(body, max_output_size=MAX_BLOCK_BYTES)
    except zstandard.ZstdError as error:
        raise CaptureError(f"offset {block.offset}: {error}") from None
    at = 0
    for _ in range(block.records):
        size = int.from_bytes(raw[at : at + 4], "little")
        if at + 4 + size > len(raw):
            raise CaptureError(f"offset {block.offset}: a record is cut short")
        yield raw[at + 4 : at + 4 + size]
        at += 4 + size
