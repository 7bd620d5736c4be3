"""A compare-and-set store in etcd, through its published v3 JSON gateway.

    POST /v3/kv/range   {"key": base64}                                       the entry
    POST /v3/kv/txn     compare MOD (or CREATE for none), put, else range     compare-and-set
    POST /v3/watch      {"create_request": {...}}                             a stream of JSON lines

The gateway writes 64-bit numbers as strings and omits fields that are zero.  etcd's own leases are not used: a key that
expires by itself would lose the term, and etcd may end a lease early (a new leader) unnoticed; this project's lease is
in the record (``election.lease``).  Several endpoints are tried in turn, a write only if it certainly was not sent.
"""

from __future__ import annotations

import base64
import contextlib
import time
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from stonetrack import api
from stonetrack.cas_store.ports import NO_ENTRY, Entry, StoreError, UnknownOutcome, checked_key
from stonetrack.engines import calls
from stonetrack.engines.calls import CallFailed
from stonetrack.node.sockets import connect
from stonetrack.wire import http1, json_limits, writer
from stonetrack.wire.errors import ProtocolError

T = TypeVar("T")
_LIMITS = http1.Limits(body=64 << 20)


def b64(data: bytes) -> str:
    """Bytes in the encoding of the gateway."""
    return base64.b64encode(data).decode()


class Kv(msgspec.Struct):
    """One key in an answer of the gateway."""

    key: str = ""
    value: str = ""
    mod_revision: str = "0"


class _Range(msgspec.Struct):
    kvs: list[Kv] = []


class _Header(msgspec.Struct):
    revision: str = "0"


class _Reply(msgspec.Struct):
    response_range: _Range = msgspec.field(default_factory=_Range)


class _Txn(msgspec.Struct):
    header: _Header = msgspec.field(default_factory=_Header)
    succeeded: bool = False
    responses: list[_Reply] = []


class _Event(msgspec.Struct):
    kv: Kv = msgspec.field(default_factory=Kv)
    type: str = "PUT"


class _Watch(msgspec.Struct):
    events: list[_Event] = []
    canceled: bool = False


class _Watched(msgspec.Struct):
    result: _Watch = msgspec.field(default_factory=_Watch)


class _ErrorBody(msgspec.Struct):
    message: str = ""
    error: str = ""
    code: int = 0


def range_request(key: str) -> dict[str, Any]:
    """The body of a read of one key (linearizable by default)."""
    return {"key": b64(checked_key(key))}


def prefix_request(prefix: str) -> dict[str, Any]:
    """The body of a read of the keys with this prefix, without values."""
    key_bytes = checked_key(prefix)
    end = key_bytes[:-1] + bytes([key_bytes[-1] + 1])  # a prefix ends in an ASCII character
    return {
        "key": b64(key_bytes),
        "range_end": b64(end),
        "keys_only": True,
        "sort_order": "ASCEND",
        "sort_target": "KEY",
    }


def compare_and_set_request(key: str, revision: int, value: bytes) -> dict[str, Any]:
    """The body of a compare-and-set transaction."""
    key_bytes = b64(checked_key(key, value))
    condition = ({"target": "MOD", "mod_revision": str(revision)} if revision
             else {"target": "CREATE", "create_revision": "0"})  # fmt: skip
    return {
        "compare": [{"key": key_bytes, "result": "EQUAL", **condition}],
        "success": [{"request_put": {"key": key_bytes, "value": b64(value)}}],
        "failure": [{"request_range": {"key": key_bytes}}],
    }


def entry_of(body: bytes) -> Entry:
    """The entry in the answer to a range request.  Raises StoreError."""
    kvs = _decode(body, _Range).kvs
    return entry(kvs[0]) if kvs else NO_ENTRY


def entry(kv: Kv) -> Entry:
    """Convert a key of the gateway to an entry.  Raises StoreError."""
    try:
        return Entry(base64.b64decode(kv.value, validate=True), int(kv.mod_revision))
    except ValueError as error:
        raise StoreError(f"etcd: a key that can't be read: {error}") from None


def _decode(body: bytes, type_: type[T]) -> T:
    try:
        return json_limits.decode_as(body, type_)
    except msgspec.DecodeError as error:
        raise StoreError(f"etcd: {error}") from None


class EtcdStore:
    """A client of etcd.  ``endpoints`` are ``host:port``; ``timeout`` is seconds without a byte."""

    def __init__(self, endpoints: tuple[str, ...], timeout: float = 1.0) -> None:
        self._endpoints = [(host, int(port)) for host, _, port in (e.rpartition(":") for e in endpoints)]
        self._timeout = timeout

    def read(self, key: str) -> Entry:
        """See ``ports.CasStore``."""
        return self._first_answer(lambda endpoint: entry_of(self._call(endpoint, "/v3/kv/range", range_request(key))))

    def keys(self, prefix: str) -> list[str]:
        """See ``ports.CasStore``."""
        request = prefix_request(prefix)
        body = self._first_answer(lambda endpoint: self._call(endpoint, "/v3/kv/range", request))
        return [base64.b64decode(kv.key).decode() for kv in _decode(body, _Range).kvs]

    def compare_and_set(self, key: str, revision: int, value: bytes) -> int | None:
        """See ``ports.CasStore``."""
        request = compare_and_set_request(key, revision, value)
        reply = self._first_answer(
            lambda endpoint: _decode(self._call(endpoint, "/v3/kv/txn", request, write=True), _Txn)
        )
        return int(reply.header.revision) if reply.succeeded else None

    def _first_answer(self, send: Callable[[tuple[str, int]], T]) -> T:
        """The answer of the first endpoint that gives one; the next is tried only if nothing can have been written."""
        for n, endpoint in enumerate(list(self._endpoints)):
            try:
                return send(endpoint)
            except UnknownOutcome:
                raise
            except StoreError:
                if n == len(self._endpoints) - 1:
                    raise
                self._endpoints = [*self._endpoints[1:], self._endpoints[0]]
        raise StoreError("etcd: no endpoint is given")

    def _call(self, endpoint: tuple[str, int], path: str, body: dict[str, Any], write: bool = False) -> bytes:
        request = writer.request("POST", path, _headers(endpoint), msgspec.json.encode(body))
        try:
            status, data = calls.call(*endpoint, request, self._timeout, _LIMITS)
        except CallFailed as error:
            if write and error.outcome is not api.Outcome.CONNECT_FAILED:
                raise UnknownOutcome(f"etcd: {error}") from None
            raise StoreError(f"etcd: {error}") from None
        if status == 200:
            return data
        with contextlib.suppress(StoreError):
            error_body = _decode(data, _ErrorBody)
            data = (error_body.message or error_body.error).encode()
        text = f"etcd at {endpoint[0]}:{endpoint[1]}: {status}: {data[:200].decode('utf-8', 'replace')}"
        # A request that timed out within the cluster (no leader, a slow disk) may still be carried out.
        raise UnknownOutcome(text) if write and status >= 500 else StoreError(text)

    def watch(self, key: str, revision: int, seconds: float, on_write: Callable[[Entry], bool]) -> None:
        """See ``ports.CasStore``."""
        body = {"create_request": {"key": b64(checked_key(key)), "start_revision": str(revision + 1)}}
        endpoint = self._endpoints[0]
        request = writer.request("POST", "/v3/watch", _headers(endpoint), msgspec.json.encode(body))
        end = time.monotonic() + seconds
        try:
            with connect(*endpoint, self._timeout) as sock:
                sock.sendall(request)
                reader, buffer = http1.MessageReader(http1.Side.RESPONSES, _LIMITS), bytearray()
                while (remaining := end - time.monotonic()) > 0:
                    sock.settimeout(remaining)
                    data = sock.recv(65_536)
                    for event in reader.feed(data) if data else ():
                        buffer += event.data if isinstance(event, http1.Data) else b""
                    *lines, rest = bytes(buffer).split(b"\n")
                    buffer = bytearray(rest)
                    if not all(_report_writes(line, on_write) for line in lines if line) or not data:
                        return
        except TimeoutError:
            return
        except (OSError, ProtocolError) as error:
            raise StoreError(f"etcd: {error}") from None

    def close(self) -> None:
        """See ``ports.CasStore``."""


def _report_writes(line: bytes, on_write: Callable[[Entry], bool]) -> bool:
    """Report the writes of one line of the watch stream; returns whether to continue.  Raises StoreError."""
    watch = _decode(line, _Watched).result
    for event in watch.events:
        if event.type == "DELETE" or not on_write(entry(event.kv)):
            return False  # the caller's next read finds that the key is deleted
    return not watch.canceled


def _headers(endpoint: tuple[str, int]) -> list[tuple[str, str]]:
    return [("Host", f"{endpoint[0]}:{endpoint[1]}"), ("Content-Type", "application/json"), ("Connection", "close")]
