"""etcd as the register, by its published v3 JSON gateway: bodies in and out (:func:`range_request` …), a thin host.

    POST /v3/kv/range   {"key": base64}                                       the entry
    POST /v3/kv/txn     compare MOD (or CREATE for none), put, else range     compare-and-set
    POST /v3/watch      {"create_request": {...}}                             a stream of JSON lines

Numbers of 64 bits are strings there, and a field that is zero is left out.  etcd's own leases are not used: a key that
goes by itself takes the term with it, and what ends a lease early (a new leader) would end ours unseen; ours are in
the record (``election.lease``).  Several endpoints are tried in turn, a write only while it certainly was not sent.
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
from stonetrack.wire import http1, writer
from stonetrack.wire.errors import ProtocolError

T = TypeVar("T")
_LIMITS = http1.Limits(body=64 << 20)


def b64(data: bytes) -> str:
    """Bytes as the gateway has them."""
    return base64.b64encode(data).decode()


class Kv(msgspec.Struct):
    """One key as the gateway tells it."""

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


class _Trouble(msgspec.Struct):
    message: str = ""
    error: str = ""
    code: int = 0


def range_request(key: str) -> dict[str, Any]:
    """The body that reads one key, by the leader's word (linearizable is the default)."""
    return {"key": b64(checked_key(key))}


def prefix_request(prefix: str) -> dict[str, Any]:
    """The body that reads the keys that begin so, without values."""
    raw = checked_key(prefix)
    end = raw[:-1] + bytes([raw[-1] + 1])  # a prefix ends in an ASCII character
    return {"key": b64(raw), "range_end": b64(end), "keys_only": True, "sort_order": "ASCEND", "sort_target": "KEY"}


def swap_request(key: str, revision: int, value: bytes) -> dict[str, Any]:
    """The body of a compare-and-set."""
    raw = b64(checked_key(key, value))
    found = ({"target": "MOD", "mod_revision": str(revision)} if revision
             else {"target": "CREATE", "create_revision": "0"})  # fmt: skip
    return {
        "compare": [{"key": raw, "result": "EQUAL", **found}],
        "success": [{"request_put": {"key": raw, "value": b64(value)}}],
        "failure": [{"request_range": {"key": raw}}],
    }


def entry_of(body: bytes) -> Entry:
    """The entry that a range answers.  Raises StoreError."""
    kvs = _decode(body, _Range).kvs
    return entry(kvs[0]) if kvs else NO_ENTRY


def entry(kv: Kv) -> Entry:
    """An entry.  Raises StoreError."""
    try:
        return Entry(base64.b64decode(kv.value, validate=True), int(kv.mod_revision))
    except ValueError as error:
        raise StoreError(f"etcd: a key that can't be read: {error}") from None


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise StoreError(f"etcd: {error}") from None


class EtcdStore:
    """The host.  ``endpoints`` are ``host:port``; ``timeout`` is seconds without a byte."""

    def __init__(self, endpoints: tuple[str, ...], timeout: float = 1.0) -> None:
        self._endpoints = [(h, int(p)) for h, _, p in (e.rpartition(":") for e in endpoints)]
        self._timeout = timeout

    def read(self, key: str) -> Entry:
        """See ``ports.CasStore``."""
        return self._any(lambda at: entry_of(self._call(at, "/v3/kv/range", range_request(key))))

    def keys(self, prefix: str) -> list[str]:
        """See ``ports.CasStore``."""
        asked = prefix_request(prefix)
        body = self._any(lambda at: self._call(at, "/v3/kv/range", asked))
        return [base64.b64decode(kv.key).decode() for kv in _decode(body, _Range).kvs]

    def compare_and_set(self, key: str, revision: int, value: bytes) -> int | None:
        """See ``ports.CasStore``."""
        asked = swap_request(key, revision, value)
        told = self._any(lambda at: _decode(self._call(at, "/v3/kv/txn", asked, write=True), _Txn))
        return int(told.header.revision) if told.succeeded else None

    def _any(self, ask: Callable[[tuple[str, int]], T]) -> T:
        """The first endpoint's answer; the next one is asked only where nothing can have been written."""
        for n, at in enumerate(list(self._endpoints)):
            try:
                return ask(at)
            except UnknownOutcome:
                raise
            except StoreError:
                if n == len(self._endpoints) - 1:
                    raise
                self._endpoints = [*self._endpoints[1:], self._endpoints[0]]
        raise StoreError("etcd: no endpoint is given")

    def _call(self, at: tuple[str, int], path: str, body: dict[str, Any], write: bool = False) -> bytes:
        request = writer.request("POST", path, _headers(at), msgspec.json.encode(body))
        try:
            status, data = calls.call(*at, request, self._timeout, _LIMITS)
        except CallFailed as error:
            if write and error.outcome is not api.Outcome.CONNECT_FAILED:
                raise UnknownOutcome(f"etcd: {error}") from None
            raise StoreError(f"etcd: {error}") from None
        if status == 200:
            return data
        with contextlib.suppress(StoreError):
            told = _decode(data, _Trouble)
            data = (told.message or told.error).encode()
        text = f"etcd at {at[0]}:{at[1]}: {status}: {data[:200].decode('utf-8', 'replace')}"
        # A request that timed out within the cluster (no leader, a slow disk) may still be carried out.
        raise UnknownOutcome(text) if write and status >= 500 else StoreError(text)

    def watch(self, key: str, revision: int, seconds: float, tell: Callable[[Entry], bool]) -> None:
        """See ``ports.CasStore``."""
        body = {"create_request": {"key": b64(checked_key(key)), "start_revision": str(revision + 1)}}
        at = self._endpoints[0]
        request = writer.request("POST", "/v3/watch", _headers(at), msgspec.json.encode(body))
        end = time.monotonic() + seconds
        try:
            with connect(*at, self._timeout) as sock:
                sock.sendall(request)
                reader, line = http1.MessageReader(http1.Side.RESPONSES, _LIMITS), bytearray()
                while (left := end - time.monotonic()) > 0:
                    sock.settimeout(left)
                    data = sock.recv(65_536)
                    for event in reader.feed(data) if data else ():
                        line += event.data if isinstance(event, http1.Data) else b""
                    *whole, rest = bytes(line).split(b"\n")
                    line = bytearray(rest)
                    if not all(_told(each, tell) for each in whole if each) or not data:
                        return
        except TimeoutError:
            return
        except (OSError, ProtocolError) as error:
            raise StoreError(f"etcd: {error}") from None

    def close(self) -> None:
        """See ``ports.CasStore``."""


def _told(line: bytes, tell: Callable[[Entry], bool]) -> bool:
    """Tell of one line of a watch's stream; whether to go on.  Raises StoreError."""
    said = _decode(line, _Watched).result
    for event in said.events:
        if event.type == "DELETE" or not tell(entry(event.kv)):
            return False  # a key that is gone is for a read to find
    return not said.canceled


def _headers(at: tuple[str, int]) -> list[tuple[str, str]]:
    return [("Host", f"{at[0]}:{at[1]}"), ("Content-Type", "application/json"), ("Connection", "close")]
