"""The single point where events reach the router, one at a time and in one order.

Order: ``handle_event`` takes a lock, reads the clock, passes the event to ``Router.handle``, sorts the actions into the
mailboxes of the requests that they are for, and releases the lock.  Events are thus ordered by who takes the lock
first, their times never go back, and a request's mailbox holds its actions in the order in which they were decided.
Nothing blocks under the lock: no socket is used there, and the router is pure.

Each request is run by one thread, which alone uses its sockets.  An action decided in another thread (by a timer or a
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

TIMER_RETRY_NS = 100_000_000  # delay after which a timer whose callback failed fires again


class DuplicateRequest(ValueError):
    """A request arrived with the id of an open one; frontends reject it before."""


class RouterProtocol(Protocol):
    """What the core requires of ``stonetrack.logic.Router``."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle one event and return the actions to carry out."""


class Mailbox:
    """Actions for one request that its thread has not carried out yet."""

    __slots__ = ("acting_version", "owner_blocked", "actions", "thread_id", "released", "request_id", "wake")

    def __init__(self, request_id: str, wake: Callable[[], None]) -> None:
        self.request_id = request_id
        self.actions: deque[api.Action] = deque()
        self.thread_id = threading.get_ident()
        self.wake = wake
        self.acting_version = ""  # settings and server list that its last send was decided with
        self.owner_blocked = False  # its thread is in a call that may block, and carries out nothing meanwhile
        self.released = False  # a release was carried out on the thread's behalf during that call


class Core:
    """One instance's router, with its lock, timers and the mailboxes of its requests."""

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
        self._acting_version = acting_version  # called under the lock, at each decision to send
        self.router = router
        self._log, self._probe, self._subscribe = log, probe, subscribe
        self._release = release  # carries out a request's release at once, where that needs nothing of its thread
        self._record = record  # called with every event under the lock; must not block
        self._lock = threading.Lock()
        self._mailboxes: dict[str, Mailbox] = {}
        self._closed: dict[str, int] = {}  # servers that the list reported as draining or gone, and since when
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
        """Requests accepted and not yet finished."""
        return len(self._mailboxes)

    def accept_request(self, request: InferenceRequest, wake: Callable[[], None]) -> Mailbox:
        """Accept a request: from now on it is owed one final answer.

        Raises DuplicateRequest if a request with its id is open: that one's thread would wait for its actions for ever.
        """
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
        """Settings and server list that a request's last send was decided with; empty where they are not recorded."""
        mailbox = self._mailboxes.get(request_id)
        return mailbox.acting_version if mailbox is not None else ""

    def run_exclusively(self, callback: Callable[[], None]) -> None:
        """Run a callback between two events; it must not block."""
        with self._lock:
            callback()

    def finish_request(self, mailbox: Mailbox) -> None:
        """Remove the mailbox of a finished request."""
        with self._lock:
            self._mailboxes.pop(mailbox.request_id, None)

    def may_send(self, server: str) -> bool:
        """Whether the latest server list still has the server up.

        A send decided just before a list announced a drain may not have been written yet.  The check is repeated here,
        and such a send is reported as not sent, so that the grace period holds however long connecting took.

        Owed: ``Obligation.TOLD_CHANGE``.
        """
        return server not in self._closed

    def closed_for(self, server: str) -> int:
        """Nanoseconds since a list announced that the server takes no new requests; 0 where it does."""
        since = self._closed.get(server)
        return 0 if since is None else max(1, self.clock() - since)

    def handle_event(self, event: api.Event, mailbox: Mailbox | None = None) -> None:
        """Pass one event to the router and its actions to the threads and callbacks that carry them out."""
        this_thread = threading.get_ident()
        to_wake: list[Mailbox] = []
        unlocked_actions: list[api.Action] = []
        with self._lock:
            now = self.clock()
            if mailbox is not None:
                if mailbox.request_id in self._mailboxes:
                    raise DuplicateRequest(f"request {mailbox.request_id} is open")
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
                    unlocked_actions.append(action)
                elif (recipient := self._mailboxes.get(action.request)) is not None:
                    recipient.actions.append(action)
                    if isinstance(action, api.Release) and recipient.owner_blocked and self._release is not None:
                        # Waking the thread is not enough: it may be connecting for longer than the release may take.
                        recipient.released = True
                        unlocked_actions.append(action)
                    if self._acting_version is not None and isinstance(action, api.Send):
                        recipient.acting_version = self._acting_version()
                    if recipient.thread_id != this_thread and (not to_wake or to_wake[-1] is not recipient):
                        to_wake.append(recipient)
        for woken in to_wake:
            woken.wake()
        for action in unlocked_actions:
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
        if len(self._closed) > 4_096:  # bounds names that never return; the oldest are dropped
            for server in sorted(self._closed, key=self._closed.__getitem__)[:1_024]:
                del self._closed[server]


class Timers:
    """A thread that calls back when timers are due; the router has few of them."""

    def __init__(self, callback: Callable[[int], None], log: Callable[[str], None]) -> None:
        self._callback, self._log = callback, log
        self._heap: list[tuple[int, int, int]] = []
        self._sequence = 0
        self._changed = threading.Condition(threading.Lock())
        self._stopping = False
        self._thread = restarting_thread("timers", self._run, log)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread; pending timers are dropped."""
        with self._changed:
            self._stopping = True
            self._changed.notify()
        if self._thread.ident is not None:
            self._thread.join(2.0)

    def add(self, token: int, delay: int) -> None:
        """Call back with the token after ``delay`` nanoseconds."""
        with self._changed:
            self._sequence += 1
            heapq.heappush(self._heap, (time.monotonic_ns() + delay, self._sequence, token))
            if self._heap[0][1] == self._sequence:
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
                self._callback(token)
            except Exception as error:  # the router still needs its timers after a failure
                self._log(f"timer {token}: {type(error).__name__}: {error}; it will fire again")
                self.add(token, TIMER_RETRY_NS)
