"""The file format of captures, without I/O.

A segment is ``MAGIC`` and blocks.  A block is a header of 32 bytes and a body.  The header, little-endian: length of
the body (4 bytes), uncompressed length (4), number of records (4), number of the first record (8), xxh64 of header and
body (8), zeros (4).  The body is the zstandard-compressed records, each preceded by its length (4 bytes).  The checksum
covers the header's fields too, so a flipped bit in any of them is detected.  A block is the unit of durability: a
process killed while writing one leaves a torn tail, which :func:`scan_blocks` cuts off and reports.
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
_CHECKSUM = struct.Struct("<Q")
HEAD_BYTES = _HEAD.size + _CHECKSUM.size + 4
MAX_BLOCK_BYTES = 64 << 20  # uncompressed


@dataclass(frozen=True, slots=True)
class Block:
    """The position of a block and its records."""

    offset: int
    size: int  # bytes, including the block's header
    first: int  # number of its first record
    records: int


@dataclass(frozen=True, slots=True)
class Damage:
    """A defect of a segment and the offset at which it begins."""

    offset: int
    text: str
    torn: bool = False  # an incomplete write at the end, left by a killed process


def encode_block(records: Iterable[bytes], first: int, level: int = 3) -> bytes:
    """Encode one block."""
    parts = []
    count = 0
    for record in records:
        parts.append(len(record).to_bytes(4, "little"))
        parts.append(record)
        count += 1
    unpacked = b"".join(parts)
    body = zstandard.ZstdCompressor(level=level).compress(unpacked)
    head = _HEAD.pack(len(body), len(unpacked), count, first)
    return head + _CHECKSUM.pack(_checksum(head, body)) + bytes(4) + body


def _checksum(head: bytes, body: bytes) -> int:
    return xxhash.xxh64_intdigest(body, seed=xxhash.xxh64_intdigest(head) & 0xFFFFFFFF)


def scan_blocks(data: bytes | memoryview) -> tuple[list[Block], Damage | None]:
    """The intact blocks, and the first damage.  Scanning continues after a damaged block if its header is plausible
    enough to find the next one; it stops at a torn tail."""
    if len(data) < len(MAGIC) and MAGIC.startswith(bytes(data)):
        return [], Damage(0, f"torn: {len(data)} of {len(MAGIC)} bytes of the file's magic number", True)
    if bytes(data[: len(MAGIC)]) != MAGIC:
        return [], Damage(0, f"not a capture of this version (it begins with {bytes(data[:10])!r})")
    blocks: list[Block] = []
    damage: Damage | None = None
    offset = len(MAGIC)
    while offset < len(data):
        remaining = len(data) - offset
        if remaining < HEAD_BYTES:
            return blocks, damage or Damage(offset, f"torn: {remaining} bytes of a block's header", True)
        head = bytes(data[offset : offset + _HEAD.size])
        size, unpacked, count, first = _HEAD.unpack(head)
        block_bytes = HEAD_BYTES + size
        if size > MAX_BLOCK_BYTES or unpacked > MAX_BLOCK_BYTES or remaining < block_bytes:
            return blocks, damage or Damage(offset, f"torn: {remaining} of {block_bytes} bytes of a block", True)
        (stored_checksum,) = _CHECKSUM.unpack_from(data, offset + _HEAD.size)
        if _checksum(head, bytes(data[offset + HEAD_BYTES : offset + block_bytes])) == stored_checksum:
            blocks.append(Block(offset, block_bytes, first, count))
        else:
            damage = damage or Damage(offset, "a block's checksum is wrong")
        offset += block_bytes
    return blocks, damage


def decode_block(data: bytes | memoryview, block: Block) -> Iterator[bytes]:
    """Yield a block's records.  Raises CaptureError."""
    body = bytes(data[block.offset + HEAD_BYTES : block.offset + block.size])
    try:
        unpacked = zstandard.ZstdDecompressor().decompress(body, max_output_size=MAX_BLOCK_BYTES)
    except zstandard.ZstdError as error:
        raise CaptureError(f"offset {block.offset}: {error}") from None
    offset = 0
    for _ in range(block.records):
        size = int.from_bytes(unpacked[offset : offset + 4], "little")
        if offset + 4 + size > len(unpacked):
            raise CaptureError(f"offset {block.offset}: a record is cut short")
        yield unpacked[offset + 4 : offset + 4 + size]
        offset += 4 + size
