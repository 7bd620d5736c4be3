"""The sockets of all links of a fleet: one thread, one epoll set, one log with one clock.

A link listens at an address of its own and carries each connection on to its target, through a :class:`.shape.Pipe`
each way.  What is logged passed: a request's head when it left for the target, an answer when it left for who asked
(``what``: ``open``, ``head``, ``answer``, ``close``, ``reset``, ``refused``; with ``from``, ``to``, ``conn``).  Of a
list's answer the version and kind are read, of other bodies the size.

Refusing: a listening socket is closed, and its port stays taken by a second socket that does not listen, so that the
kernel refuses as it does for a process that is gone.
"""

from __future__ import annotations

import contextlib
import heapq
import random
import re
import select
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec

from stonetrack.control.messages import Answer
from stonetrack.emulator.tap import Tap
from stonetrack.fleet.listening import bound, end_listening
from stonetrack.fleet.shape import Pipe, Policy
from stonetrack.node.sockets import reset
from stonetrack.wire import http1
from stonetrack.wire.errors import ProtocolError

_HIGH = 1 << 20  # bytes waiting in a pipe from which its source is not read
_LIMITS = http1.Limits(body=64 << 20)
_IN = select.EPOLLIN | select.EPOLLRDHUP
_INSTANCE = re.compile(rb"(?im)^x-stonetrack-instance:[ \t]*([^\r\n]*?)-[0-9]+[ \t]*\r?$")  # NAME-NUMBER
_FILLERS = 4  # connections that fill a backlog of none (Linux takes one more than it is told)
_BEAT = 20_000_000  # nanoseconds from one look at the clock to the next, at the least


class _Line(msgspec.Struct):
    name: str = ""
    state: str = "up"


class _Document(msgspec.Struct):
    version: int = -1
    kind: str = ""
    origin: str = ""
    engines: list[_Line] = []


def _list_told(body: bytes) -> dict[str, Any]:
    told = msgspec.json.decode(body, type=_Document)
    states = {line.name: line.state for line in told.engines}
    return {"version": told.version, "kind": told.kind, "origin": told.origin, "states": states}


def _version_told(body: bytes) -> dict[str, Any]:
    told = msgspec.json.decode(body, type=Answer)
    return {"permit_ms": told.permit_ms, "steps_out": told.steps_out, "out": told.out, "restart": told.restart,
            "offered": told.document.number if told.document is not None else 0}  # fmt: skip


class Reading:
    """What is read along of one connection."""

    def __init__(self, note: Callable[..., None], to: str) -> None:
        self._note = note
        self._told = {"lists": _list_told, "control": _version_told}.get(to)
        self._readers = {
            True: http1.MessageReader(http1.Side.REQUESTS, _LIMITS),
            False: http1.MessageReader(http1.Side.RESPONSES, _LIMITS),
        }
        self._broken = {True: False, False: False}
        self._head: http1.ResponseHead | None = None
        self._body = bytearray()
        self._size = 0

    def feed(self, there: bool, data: bytes) -> None:
        """Bytes that passed."""
        if self._broken[there]:
            return
        try:
            for event in self._readers[there].feed(data):
                self._event(event)
        except ProtocolError as error:
            self._broken[there] = True
            self._note("unreadable", why=str(error))

    def _event(self, event: http1.Event) -> None:
        if isinstance(event, http1.RequestHead):
            request, instance = event.headers.get("x-request-id"), event.headers.get("x-stonetrack-instance")
            more = {"id": request} if request else {}
            self._note("head", method=event.method, path=event.path, query=event.query, instance=instance, **more)
        elif isinstance(event, http1.ResponseHead):
            self._head, self._body, self._size = event, bytearray(), 0
        elif isinstance(event, http1.Data):
            self._size += len(event.data)
            if self._told is not None:
                self._body += event.data
        elif isinstance(event, http1.End) and self._head is not None and self._head.status >= 200:
            head, self._head = self._head, None
            told_of: dict[str, Any] = {}
            if self._told is not None and head.status == 200:
                with contextlib.suppress(msgspec.DecodeError):
                    told_of = self._told(bytes(self._body))
            if after := head.headers.get("retry-after"):
                told_of["retry_after"] = after
            self._note("answer", status=head.status, bytes=self._size, **told_of)


@dataclass(eq=False)
class Link:
    """One link; ``target`` may change while it stands (a process that was started again)."""

    source: str
    to: str
    target: tuple[str, int]
    policy: Policy = field(default_factory=Policy)
    port: int = 0
    holder: socket.socket | None = None
    listener: socket.socket | None = None
    open: set[_Carried] = field(default_factory=set)
    shared: bool = False  # several sources connect to it; each connection's first head names its own
    pairs: dict[str, Policy] = field(default_factory=dict)  # of those sources for which it differs
    fillers: list[socket.socket] = field(default_factory=list)  # what fills its backlog while it is unreachable

    def policy_of(self, source: str) -> Policy:
        """What it does to a connection of this source."""
        return self.pairs.get(source, self.policy)

    @property
    def address(self) -> str:
        """Where to connect."""
        return f"127.0.0.1:{self.port}"


class _Carried:
    """One connection through a link."""

    def __init__(self, number: int, link: Link, near: socket.socket, far: socket.socket, draw: random.Random,
                 note: Callable[..., None]) -> None:  # fmt: skip
        self.number, self.link, self.near, self.far = number, link, near, far
        self.source = "" if link.shared else link.source
        self.silenced = False  # nothing passes, whatever its link does to others
        self.heard = bytearray()  # while the source is not known
        self.pipes = {True: Pipe(link.policy, True, draw), False: Pipe(link.policy, False, draw)}
        self.reading = Reading(note, link.to)
        self.unsent = {True: bytearray(), False: bytearray()}  # passed, not yet taken by the socket
        self.ends = {True: False, False: False}  # the source's end was read
        self.shut = {True: False, False: False}  # the end was passed on
        self.watched = {True: _IN, False: _IN}  # by end, near or far: the events asked for

    def sink(self, there: bool) -> socket.socket:
        """Where a direction leads."""
        return self.far if there else self.near

    def follow(self, policy: Policy) -> None:
        """From now on this is what its link does to it."""
        for pipe in self.pipes.values():
            pipe.policy = policy

    def listen(self, data: bytes) -> bool:
        """Bytes on a shared link whose source is not known yet; whether they told it."""
        self.heard += data
        head, whole, _ = bytes(self.heard).partition(b"\r\n\r\n")
        if not whole:
            return False
        found = _INSTANCE.search(head)
        self.source = found.group(1).decode("latin-1") if found else self.link.source
        self.heard.clear()
        return True


class Links:
    """All links; methods may be called from any thread and are carried out in the links' own."""

    def __init__(
        self,
        tap: Tap,
        seed: int,
        seen: Callable[[dict[str, Any]], None] | None = None,
        begun: re.Pattern[bytes] | None = None,
    ) -> None:
        self._tap, self._draw, self._seen = tap, random.Random(seed), seen
        self._begun = begun  # finds a request's id in its first bytes; None: beginnings are not noted
        self._epoll = select.epoll()
        self._wake, self._waker = socket.socketpair()
        self._wake.setblocking(False)
        self._epoll.register(self._wake.fileno(), select.EPOLLIN)
        self._by_fd: dict[int, tuple[_Carried, bool]] = {}  # by descriptor: the connection, whether it is the near end
        self._listeners: dict[int, Link] = {}
        self._calls: list[Callable[[], None]] = []
        self._due: list[tuple[int, int, _Carried]] = []
        self._number = self._order = 0
        self._stopping = False
        self.late = 0  # the longest time that passed beyond a beat: so long may something have stood here, nanoseconds
        self.links: dict[tuple[str, str], Link] = {}
        self._thread = threading.Thread(target=self._run, name="links", daemon=True)
        self._thread.start()

    def add(self, source: str, to: str, target: tuple[str, int], shared: bool = False) -> Link:
        """A new link, listening at once."""
        holder = bound()
        link = Link(source, to, target, port=holder.getsockname()[1], holder=holder, shared=shared)
        self.links[source, to] = link
        self.do(lambda: self._listen(link))
        return link

    def do(self, call: Callable[[], None]) -> None:
        """Carry out in the links' thread, and wait for it."""
        if threading.current_thread() is self._thread:
            call()
            return
        done = threading.Event()

        def run() -> None:
            try:
                call()
            finally:
                done.set()

        self._calls.append(run)
        with contextlib.suppress(OSError):
            self._waker.send(b"x")
        if not done.wait(10.0):
            raise RuntimeError("the links' thread does not answer")

    def soon(self, call: Callable[[], None]) -> None:
        """Carry out after what the links' thread does now, before it waits again: for what is decided by a record."""
        self._calls.append(call)

    def change_pair(self, link: Link, source: str, **policy: Any) -> None:
        """Change what a shared link does to one source.  Nobody can refuse a source before it speaks: its connections
        are reset once their first head has come."""

        def carry() -> None:
            of_source = link.pairs.setdefault(source, replace(link.policy))
            for name, value in policy.items():
                setattr(of_source, name, value)
            now = time.monotonic_ns()
            for each in [e for e in link.open if e.source == source]:
                each.follow(of_source)
                if of_source.refuse:
                    self._drop(each, "reset")
                else:
                    self._move(each, now)

        self.do(carry)

    def change(self, link: Link, **policy: Any) -> None:
        """Change what a link does, to all sources."""

        def carry() -> None:
            for each_policy in (link.policy, *link.pairs.values()):
                for name, value in policy.items():
                    setattr(each_policy, name, value)
            if link.policy.refuse:
                self._unlisten(link)
                for each in list(link.open):
                    self._drop(each, "reset")
            else:
                self._listen(link)
            now = time.monotonic_ns()
            for each in list(link.open):
                self._move(each, now)

        self.do(carry)

    def silence_open(self, link: Link) -> None:
        """Nothing passes any more on the connections that a link carries now; new ones are as before."""

        def carry() -> None:
            silent = replace(link.policy, cut_there=True, cut_back=True)
            for each in link.open:
                each.follow(silent)
                each.silenced = True

        self.do(carry)

    def speak_again(self, link: Link) -> None:
        """What :meth:`silence_open` silenced passes again, with all that waited."""

        def carry() -> None:
            for each in [e for e in link.open if e.silenced]:
                each.silenced = False
                each.follow(link.policy)
                self._move(each, time.monotonic_ns())

        self.do(carry)

    def unreachable(self, link: Link, on: bool) -> None:
        """New connections never come up: nobody accepts, and the backlog is full, so the kernel drops what comes."""

        def carry() -> None:
            self._empty(link)
            self._unlisten(link)
            if not on:
                self._listen(link)
                return
            full = bound(link.port)
            full.listen(0)
            link.fillers.append(full)
            for _ in range(_FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", link.port))
                link.fillers.append(filler)

        self.do(carry)

    def reset(self, link: Link, source: str = "") -> None:
        """Reset all connections that a link carries now, or those of one source of a shared one."""

        def carry() -> None:
            for each in [e for e in link.open if not source or e.source == source]:
                self._drop(each, "reset")

        self.do(carry)

    def note(self, what: str, **fields: Any) -> None:
        """A line of the rig's own in the log."""
        self._tap.record(what, **fields)

    def stop(self) -> None:
        """Close everything."""
        self._stopping = True
        with contextlib.suppress(OSError):
            self._waker.send(b"x")
        self._thread.join(5.0)

    # The loop.

    def _run(self) -> None:
        beat = time.monotonic_ns()
        while not self._stopping:
            before, beat = beat, time.monotonic_ns()
            self.late = max(self.late, beat - before - _BEAT)
            for fd, mask in self._epoll.poll(self._timeout(), 512):
                if fd == self._wake.fileno():
                    with contextlib.suppress(BlockingIOError):
                        self._wake.recv(4_096)
                elif fd in self._listeners:
                    self._accept(self._listeners[fd])
                elif fd in self._by_fd:
                    self._ready(*self._by_fd[fd], mask)
            while self._calls:
                self._calls.pop(0)()
            now = time.monotonic_ns()
            while self._due and self._due[0][0] <= now:
                each = heapq.heappop(self._due)[2]
                if each in each.link.open:
                    self._move(each, now)
            self._tap.flush()
        for link in self.links.values():
            for each in list(link.open):
                self._drop(each, "close")
            self._unlisten(link)
            self._empty(link)
            if link.holder is not None:
                link.holder.close()
        self._tap.flush()
        for sock in (self._wake, self._waker):
            sock.close()
        self._epoll.close()

    def _timeout(self) -> float:
        wait = _BEAT / 1e9 if not self._due else (self._due[0][0] - time.monotonic_ns()) / 1e9
        return min(_BEAT / 1e9, max(0.0, wait))

    def _listen(self, link: Link) -> None:
        if link.listener is None and not link.policy.refuse and not link.fillers:
            link.listener = bound(link.port)
            link.listener.listen(1024)
            link.listener.setblocking(False)
            self._listeners[link.listener.fileno()] = link
            self._epoll.register(link.listener.fileno(), select.EPOLLIN)

    def _unlisten(self, link: Link) -> None:
        if link.listener is not None:
            del self._listeners[link.listener.fileno()]
            self._epoll.unregister(link.listener.fileno())
            end_listening(link.listener)
            link.listener = None

    @staticmethod
    def _empty(link: Link) -> None:
        """End what keeps a link's address unreachable."""
        for filler in link.fillers:
            end_listening(filler)
        link.fillers.clear()

    def _accept(self, link: Link) -> None:
        while link.listener is not None:
            try:
                near, _ = link.listener.accept()
            except OSError:
                return
            self._number += 1
            number = self._number
            far = socket.socket()
            try:
                far.connect(link.target)  # loopback: there or not, at once
            except OSError:
                far.close()
                self._write(link, number, "refused")
                reset(near)
                continue
            self._carry(link, number, near, far)

    def _carry(self, link: Link, number: int, near: socket.socket, far: socket.socket) -> None:
        for sock in (near, far):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def note(what: str, **more: Any) -> None:
            self._write(link, number, what, carried.source, **more)

        carried = _Carried(number, link, near, far, self._draw, note)
        link.open.add(carried)
        self._by_fd[near.fileno()], self._by_fd[far.fileno()] = (carried, True), (carried, False)
        self._epoll.register(near.fileno(), _IN)
        self._epoll.register(far.fileno(), _IN)
        note("open", port=far.getsockname()[1])

    def _write(self, link: Link, number: int, what: str, source: str = "", **more: Any) -> None:
        record = {"from": source or link.source, "to": link.to, "conn": number, **more}
        self._tap.record(what, **record)
        if self._seen is not None:
            self._seen({"what": what, **record})

    def _ready(self, each: _Carried, near: bool, mask: int) -> None:
        """A descriptor has bytes, an end, or room again."""
        there = near  # what the near end says goes there
        now = time.monotonic_ns()
        if mask & (select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR) and not each.ends[there]:
            source = each.near if near else each.far
            try:
                data = source.recv(262_144)
            except BlockingIOError:
                data = None
            except OSError:
                if there:
                    self._said(each, b"")
                self._lost(each, there)
                return
            if data is not None:
                if there and not each.source and each.listen(data):
                    policy = each.link.policy_of(each.source)
                    each.follow(policy)
                    if policy.refuse:
                        self._drop(each, "refused")
                        return
                each.pipes[there].push(now, data)
                each.ends[there] = not data
                if there:
                    self._said(each, data)
        self._move(each, now)

    def _said(self, each: _Carried, data: bytes) -> None:
        """Note what who connects has just done, whether or not it passes on: a request begun, or its end (``left``)."""
        if not data:
            self._write(each.link, each.number, "left", each.source)
        elif self._begun is not None and (found := self._begun.search(data)) is not None:
            request = found.group(1).decode("latin-1")
            self._write(each.link, each.number, "begun", each.source, id=request)

    def _lost(self, each: _Carried, there: bool) -> None:
        """An end was reset: the other hears of it, unless the link is cut that way, when it hears nothing yet."""
        if each.pipes[there].policy.cut(there):
            each.ends[there] = True
            each.pipes[there].push(time.monotonic_ns(), b"")
            self._watch(each)
        else:
            self._drop(each, "reset")

    def _move(self, each: _Carried, now: int) -> None:
        """Pass on what may pass in both directions."""
        for there, pipe in each.pipes.items():
            data = pipe.take(now)
            if data:
                each.reading.feed(there, data)
                each.unsent[there] += data
            unsent, sink = each.unsent[there], each.sink(there)
            try:
                while unsent:
                    del unsent[: sink.send(unsent, socket.MSG_NOSIGNAL)]
            except BlockingIOError:
                pass
            except OSError:
                self._lost(each, not there)
                if each not in each.link.open:
                    return
                unsent.clear()
            if pipe.broken and not unsent:
                self._drop(each, "reset")
                return
            if pipe.ended and not unsent and not each.shut[there]:
                each.shut[there] = True
                with contextlib.suppress(OSError):
                    sink.shutdown(socket.SHUT_WR)
            if (at := pipe.due()) is not None and at > now:
                self._order += 1
                heapq.heappush(self._due, (at, self._order, each))
        if all(each.shut.values()):
            self._drop(each, "close")
        else:
            self._watch(each)

    def _watch(self, each: _Carried) -> None:
        for near in (True, False):
            sock, there = (each.near, True) if near else (each.far, False)
            reads = not each.ends[there] and len(each.pipes[there]) < _HIGH
            writes = bool(each.unsent[not there])
            mask = (_IN if reads else 0) | (select.EPOLLOUT if writes else 0)
            if mask == each.watched[near]:
                continue
            if not mask:  # a peer that has gone would be reported for ever
                self._epoll.unregister(sock.fileno())
            elif not each.watched[near]:
                self._epoll.register(sock.fileno(), mask)
            else:
                self._epoll.modify(sock.fileno(), mask)
            each.watched[near] = mask

    def _drop(self, each: _Carried, what: str) -> None:
        if each not in each.link.open:
            return
        each.link.open.discard(each)
        self._write(each.link, each.number, what, each.source)
        for sock in (each.near, each.far):
            self._by_fd.pop(sock.fileno(), None)
            with contextlib.suppress(OSError, ValueError):
                self._epoll.unregister(sock.fileno())
            if what != "close":
                reset(sock)
            else:
                sock.close()
