"""Where events meet the router: one at a time, in one order.

The order.  ``handle_event`` takes a lock, reads the clock, hands the event to ``Router.handle`` and sorts its actions
into the mailboxes of the requests they are for, then lets go.  So events are ordered by who takes the lock first, their
times never step back, and a request's mailbox holds its commands in the order they were decided.  Nothing blocks
under the lock: no socket is touched there, and the router is pure.

Each request is run by one thread, which alone touches its sockets.  A command decided in another thread (a sweep, a
server list) wakes it through ``Mailbox.wake``.
"""

from __future__ import annotations

import heapq
import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

from stonetrack import api
from stonetrack.node.ports import InferenceRequest
from stonetrack.node.threads import restarting_thread

TIMER_RETRY_NS = 100_000_000  # nanoseconds after which a timer fires again that failed


class RouterProtocol(Protocol):
    """What the core needs of ``stonetrack.logic.Router``."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event; the actions to carry out."""


class Mailbox:
    """One request's mailbox."""

    __slots__ = ("acting_version", "owner_blocked", "actions", "thread_id", "released", "request_id", "wake")

    def __init__(self, request_id: str, wake: Callable[[], None]) -> None:
        self.request_id = request_id
        self.actions: deque[api.Action] = deque()
        self.thread_id = threading.get_ident()
        self.wake = wake
        self.acting_version = ""  # what its last send was decided with
        self.owner_blocked = False  # its thread is in a call that may last, and carries out nothing meanwhile
        self.released = False  # a release was carried out in its place, since it was last unblocked


class Core:
    """One instance's router and what surrounds it."""

    def __init__(
        self,
        router: RouterProtocol,
        clock: Callable[[], int],
        *,
        log: Callable[[str], None],
        probe: Callable[[str], None] = lambda server: None,
        subscribe: Callable[[], None] = lambda: None,
        release: Callable[[str], None] | None = None,
        record: Callable[[int, api.Event, list[api.Action]], None] | None = None,
        acting_version: Callable[[], str] | None = None,
    ) -> None:
        self.clock = clock
        self._acting_version = acting_version  # asked under the lock, at each decision to send
        self.router = router
        self._log, self._probe, self._subscribe = log, probe, subscribe
        self._release = release  # carries out a release at once, by request, where that needs nothing of its thread
        self._record = record  # told of every call under the lock; must not wait
        self._lock = threading.Lock()
        self._mailboxes: dict[str, Mailbox] = {}
        self._closed: dict[str, int] = {}  # servers that the list told of as leaving: when
        self.events: Counter[str] = Counter()
        self.actions: Counter[str] = Counter()
        self._timers = Timers(lambda token: self.handle_event(api.TimerFired(token)), log)

    def start(self) -> None:
        """Start the timer thread."""
        self._timers.start()

    def stop(self) -> None:
        """Stop the timer thread; requests are not touched."""
        self._timers.stop()

    @property
    def open_requests(self) -> int:
        """Requests taken and not yet over."""
        return len(self._mailboxes)

    def accept_request(self, request: InferenceRequest, wake: Callable[[], None]) -> Mailbox:
        """Take a request: from now on it is owed one final answer."""
        mailbox = Mailbox(request.request_id, wake)
        self.handle_event(
            api.RequestArrived(
                request.request_id,
                request.class_index,
                request.session,
                request.time_left,
                request.prompt_tokens,
                request.shared_prefix,
                request.shared_tokens,
                request.max_answer_tokens,
                request.tenant,
                repeated=request.repeated,
            ),
            mailbox,
        )
        return mailbox

    def acting_version_of(self, request_id: str) -> str:
        """What a request's last send was decided with; empty where nobody asks for it."""
        mailbox = self._mailboxes.get(request_id)
        return mailbox.acting_version if mailbox is not None else ""

    def run_exclusively(self, do: Callable[[], None]) -> None:
        """Do something between two events; it must be quick."""
        with self._lock:
            do()

    def finish_request(self, mailbox: Mailbox) -> None:
        """The request is over; its mailbox is closed."""
        with self._lock:
            self._mailboxes.pop(mailbox.request_id, None)

    def may_send(self, server: str) -> bool:
        """Whether the last list that came still has the server up.

        A send decided just before a list told of a drain may not have been written yet; it is asked here again,
        and taken back as not sent, so that the grace is kept however long connecting took.

        Owed: ``Obligation.TOLD_CHANGE``.
        """
        return server not in self._closed

    def closed_for(self, server: str) -> int:
        """Nanoseconds since a list told that the server is to be sent nothing; 0 where it may be."""
        since = self._closed.get(server)
        return 0 if since is None else max(1, self.clock() - since)

    def handle_event(self, event: api.Event, mailbox: Mailbox | None = None) -> None:
        """Hand one event to the router and its actions to those who carry them out."""
        me = threading.get_ident()
        woken: list[Mailbox] = []
        outside: list[api.Action] = []
        with self._lock:
            now = self.clock()
            if mailbox is not None:
                self._mailboxes[mailbox.request_id] = mailbox
            if isinstance(event, api.ServerList):
                self._note_list(event, now)
            actions = self.router.handle(now, event)
            if self._record is not None:
                self._record(now, event, actions)
            self.events[type(event).__name__] += 1
            for action in actions:
                self.actions[type(action).__name__] += 1
                if isinstance(action, api.SetTimer):
                    self._timers.add(action.token, action.delay)
                elif isinstance(action, (api.Probe, api.Log, api.Subscribe)):
                    outside.append(action)
                elif (owner := self._mailboxes.get(action.request)) is not None:
                    owner.actions.append(action)
                    if isinstance(action, api.Release) and owner.owner_blocked and self._release is not None:
                        # A thread told is not a release sent: its thread may connect for longer than is left.
                        owner.released = True
                        outside.append(action)
                    if self._acting_version is not None and isinstance(action, api.Send):
                        owner.acting_version = self._acting_version()
                    if owner.thread_id != me and (not woken or woken[-1] is not owner):
                        woken.append(owner)
        for each in woken:
            each.wake()
        for action in outside:
            if isinstance(action, api.Probe):
                self._probe(action.server)
            elif isinstance(action, api.Log):
                self._log(action.text)
            elif isinstance(action, api.Release) and self._release is not None:
                self._release(action.request)
            else:
                self._subscribe()

    def _note_list(self, event: api.ServerList, now: int) -> None:
        listed = set()
        for entry in event.entries:
            listed.add(entry.server)
            if entry.state is api.ServerState.UP:
                self._closed.pop(entry.server, None)
            else:
                self._closed.setdefault(entry.server, now)
        if event.kind in (api.ListKind.SAVED, api.ListKind.FULL):
            for server in list(getattr(self.router, "servers", ())):
                if server not in listed:
                    self._closed.setdefault(server, now)
        if len(self._closed) > 4_096:  # names that never come back; the oldest are forgotten
            for server in sorted(self._closed, key=self._closed.__getitem__)[:1_024]:
                del self._closed[server]


class Timers:
    """One thread that calls back when timers are due; used for the router's few."""

    def __init__(self, fire: Callable[[int], None], log: Callable[[str], None]) -> None:
        self._fire, self._log = fire, log
        self._heap: list[tuple[int, int, int]] = []
        self._count = 0
        self._changed = threading.Condition(threading.Lock())
        self._stopping = False
        self._thread = restarting_thread("timers", self._run, log)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread; timers not due are dropped."""
        with self._changed:
            self._stopping = True
            self._changed.notify()
        if self._thread.ident is not None:
            self._thread.join(2.0)

    def add(self, token: int, delay: int) -> None:
        """Call back with the token after so many nanoseconds."""
        with self._changed:
            self._count += 1
            heapq.heappush(self._heap, (time.monotonic_ns() + delay, self._count, token))
            if self._heap[0][1] == self._count:
                self._changed.notify()

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._stopping:
                    wait = (self._heap[0][0] - time.monotonic_ns()) / 1e9 if self._heap else None
                    if wait is not None and wait <= 0:
                        break
                    self._changed.wait(wait)
                if self._stopping:
                    return
                _, _, token = heapq.heappop(self._heap)
            try:
                self._fire(token)
            except Exception as error:  # a router that failed once still needs its timers
                self._log(f"timer {token}: {type(error).__name__}: {error}; it fires again")
                self.add(token, TIMER_RETRY_NS)
