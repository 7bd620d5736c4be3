"""An emulator of etcd's v3 JSON gateway with a single member and fault injection: range, txn, watch.

Written from the published API; txn supports compares of MOD and CREATE, put and range.  ``Store`` is the state, without
I/O; :class:`Gateway` serves it.  Faults are injected by POST /fault: ``{"fault": NAME, "for_ms": N, ...}``

``slow`` (``ms``)        every response is delayed
``late`` (``ms``)        writes are applied at once and their responses delayed
``lost``                 writes are applied, and the connection closes without a response
``no_leader``            every call fails with 503 and has no effect
``forget`` (``writes``)  the last writes are lost, as after a power failure without sync; with ``anew`` their
                         revisions are reused
``compact``              revisions up to now are compacted: a watch from an earlier revision is cancelled
"""

from __future__ import annotations

import base64
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from socket import socket
from typing import Any

import msgspec

from stonetrack.durable import save
from stonetrack.frontend.connection import Connection, HttpRequest
from stonetrack.frontend.host import Host, plain_response
from stonetrack.settings.schema import Limits, Timing

FAULTS = ("slow", "late", "lost", "no_leader", "forget", "compact")
_HISTORY = 10_000


class BadRequest(Exception):
    """A request that the gateway rejects."""


@dataclass
class Store:
    """Keys with their revisions, and a log of writes so that the last ones can be undone."""

    revision: int = 1
    keys: dict[bytes, tuple[bytes, int, int]] = field(default_factory=dict)  # value, create revision, mod revision
    writes: list[tuple[bytes, tuple[bytes, int, int] | None]] = field(default_factory=list)  # key and previous entry
    compacted: int = 0

    def range(self, body: dict[str, Any]) -> dict[str, Any]:
        """KV.Range."""
        key, end = _bytes(body, "key"), _bytes(body, "range_end")
        found = sorted(k for k in self.keys if (key <= k < end if end else k == key))
        kvs = [self._kv(k, bool(body.get("keys_only"))) for k in found]
        return {"header": self._header(), **({"kvs": kvs, "count": str(len(kvs))} if kvs else {})}

    def _kv(self, key: bytes, keys_only: bool) -> dict[str, Any]:
        value, created, modified = self.keys[key]
        reply = {"key": _text(key), "create_revision": str(created), "mod_revision": str(modified)}
        return reply if keys_only else {**reply, "value": _text(value)}

    def _header(self) -> dict[str, Any]:
        return {"revision": str(self.revision), "raft_term": "2"}

    def txn(self, body: dict[str, Any]) -> dict[str, Any]:
        """KV.Txn: ``success`` if all compares hold, else ``failure``."""
        succeeded = all(self._compare_holds(each) for each in body.get("compare", ()))
        answers = []
        for operation in body.get("success" if succeeded else "failure", ()):
            if (put := operation.get("request_put")) is not None:
                self._put(_bytes(put, "key"), _bytes(put, "value"))
                answers.append({"response_put": {"header": self._header()}})
            elif (range_request := operation.get("request_range")) is not None:
                answers.append({"response_range": self.range(range_request)})
            else:
                raise BadRequest("etcdserver: request_put and request_range are served here")
        reply: dict[str, Any] = {"header": self._header(), "responses": answers}
        return {**reply, "succeeded": True} if succeeded else reply  # the gateway omits false fields

    def _compare_holds(self, compare: dict[str, Any]) -> bool:
        _, created, modified = self.keys.get(_bytes(compare, "key"), (b"", 0, 0))
        match compare.get("target"):
            case "MOD":
                return modified == int(compare.get("mod_revision", "0"))
            case "CREATE":
                return created == int(compare.get("create_revision", "0"))
        raise BadRequest("etcdserver: compares of MOD and CREATE are served here")

    def _put(self, key: bytes, value: bytes) -> None:
        before = self.keys.get(key)
        self.writes = [*self.writes[-_HISTORY:], (key, before)]
        self.revision += 1
        self.keys[key] = (value, before[1] if before else self.revision, self.revision)

    def drop_writes(self, writes: int, anew: bool) -> None:
        """Undo the last writes; with ``anew`` their revisions are reused."""
        for _ in range(min(writes, len(self.writes))):
            key, before = self.writes.pop()
            if before is None:
                del self.keys[key]
            else:
                self.keys[key] = before
            self.revision -= anew


def _bytes(body: dict[str, Any], name: str) -> bytes:
    try:
        return base64.b64decode(body.get(name, ""), validate=True)
    except (ValueError, TypeError) as error:
        raise BadRequest(f"{name}: {error}") from None


def _text(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _refusal(status: int, why: str) -> bytes:
    return plain_response(status, msgspec.json.encode({"message": why}), keep=False)


class Gateway:
    """The HTTP server.  ``state`` is a file that persists the store, synced at each write; None for memory only."""

    def __init__(self, listener: socket, log: Callable[[str], None], state: Path | None = None) -> None:
        self.store = Store()
        self._state = state
        if state is not None and state.exists():
            self._load(state.read_bytes())
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._faults: dict[str, tuple[float, float]] = {}  # deadline in seconds, delay in milliseconds
        limits = Limits(workers=400, connections=2_000)
        self._host = Host(listener, limits, Timing(), self._handle, _refusal, log)
        self.calls = 0

    def start(self) -> None:
        """Start serving."""
        self._host.start()

    def stop(self) -> None:
        """Stop serving."""
        self._host.stop()

    def _load(self, data: bytes) -> None:
        kept = msgspec.json.decode(data)
        self.store.revision = kept["revision"]
        self.store.keys = {base64.b64decode(k): (base64.b64decode(v), c, m) for k, v, c, m in kept["keys"]}

    def _persist(self) -> None:
        if self._state is not None:
            keys = [[_text(k), _text(v), c, m] for k, (v, c, m) in self.store.keys.items()]
            save(self._state, msgspec.json.encode({"revision": self.store.revision, "keys": keys}))

    def _active_delay_ms(self, fault: str) -> float | None:
        """The delay of a fault in milliseconds; None if the fault is not active."""
        until, ms = self._faults.get(fault, (0.0, 0.0))
        return ms if time.monotonic() < until else None

    def _handle(self, connection: Connection, request: HttpRequest, waker: Any) -> bool:
        head = request.head
        self.calls += 1
        try:
            body = msgspec.json.decode(request.body) if request.body else {}
            if head.path == "/fault":
                return self._fault(connection, body)
            if (ms := self._active_delay_ms("slow")) is not None:
                time.sleep(ms / 1_000.0)
            if self._active_delay_ms("no_leader") is not None:
                connection.write(
                    plain_response(503, msgspec.json.encode({"message": "etcdserver: no leader", "code": 14}))
                )
                return True
            if head.path == "/v3/watch":
                return self._watch(connection, body["create_request"])
            writes = head.path == "/v3/kv/txn"
            with self._changed:
                before = self.store.revision
                reply = self.store.txn(body) if writes else self._range(head.path, body)
                if self.store.revision != before:
                    self._persist()
                    self._changed.notify_all()
            if writes and self._active_delay_ms("lost") is not None:
                return False
            if writes and (ms := self._active_delay_ms("late")) is not None:
                time.sleep(ms / 1_000.0)
            connection.write(plain_response(200, msgspec.json.encode(reply)))
        except (BadRequest, msgspec.DecodeError, KeyError, ValueError, AttributeError) as error:
            connection.write(plain_response(400, msgspec.json.encode({"message": str(error), "code": 3})))
        return True

    def _range(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        if path != "/v3/kv/range":
            raise BadRequest("served here: /v3/kv/range, /v3/kv/txn, /v3/watch")
        return self.store.range(body)

    def _watch(self, connection: Connection, create_request: dict[str, Any]) -> bool:
        key, start = _bytes(create_request, "key"), int(create_request.get("start_revision", "0"))
        connection.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n")
        header = {"revision": str(self.store.revision)}
        connection.write(msgspec.json.encode({"result": {"header": header, "created": True}}) + b"\n")
        end = time.monotonic() + 30.0
        with self._changed:
            while time.monotonic() < end:
                if start <= self.store.compacted:
                    cancelled = {"header": header, "canceled": True, "compact_revision": str(self.store.compacted)}
                    connection.write(msgspec.json.encode({"result": cancelled}) + b"\n")
                    return False
                modified = self.store.keys.get(key, (b"", 0, 0))[2]
                if modified >= start:
                    start = modified + 1
                    events = [{"kv": self.store._kv(key, False)}]
                    connection.write(msgspec.json.encode({"result": {"header": header, "events": events}}) + b"\n")
                self._changed.wait(0.5)
        return False

    def _fault(self, connection: Connection, body: dict[str, Any]) -> bool:
        fault = body.get("fault")
        if fault not in FAULTS:
            raise BadRequest(f"fault {fault!r}; allowed: {', '.join(FAULTS)}")
        with self._changed:
            if fault == "forget":
                self.store.drop_writes(int(body.get("writes", 1)), bool(body.get("anew", False)))
                self._persist()
            elif fault == "compact":
                self.store.compacted = self.store.revision
            else:
                until = time.monotonic() + float(body.get("for_ms", 1_000.0)) / 1_000.0
                self._faults[fault] = (until, float(body.get("ms", 0.0)))
            self._changed.notify_all()
        connection.write(plain_response(200, b"{}"))
        return True
