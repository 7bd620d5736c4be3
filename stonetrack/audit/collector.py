"""The collector: polls nodes for the new lines of their audit logs, evenly and within a budget, and stores them.

The collector and any node may be killed at any time: the lines of an answer and the node's position are stored in one
transaction, and the next poll continues there.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from stonetrack.audit.collection_schedule import CollectionSchedule, Poll
from stonetrack.audit.settings import CollectorSettings
from stonetrack.audit.store import Store
from stonetrack.clocks import wall_time
from stonetrack.engines.calls import CallFailed, exchange
from stonetrack.wire import http1, writer

SECOND = 1_000_000_000
MORE_HEADER = "x-stonetrack-more"  # set on an answer that does not hold all lines
_LIMITS = http1.Limits(body=64 << 20)


class Collector:
    """The collector's thread.  ``log`` takes an event and fields."""

    def __init__(self, settings: CollectorSettings, store: Store, log: Callable[..., None]) -> None:
        self._settings, self.store, self._log = settings, store, log
        now = time.monotonic_ns()
        self._schedule = CollectionSchedule(settings.nodes, int(settings.every_s * SECOND), settings.per_second, now)
        self._done = threading.Event()
        self._thread = threading.Thread(target=self._run, name="collect", daemon=True)
        self.polls = self.failed = self.bytes = 0

    def start(self) -> None:
        """Start to poll."""
        self._thread.start()

    def stop(self) -> None:
        """Stop; the end of a poll under way is not awaited."""
        self._done.set()
        self._thread.join(1.0)

    def _run(self) -> None:
        while not self._done.is_set():
            poll = self._schedule.next()
            if poll is None or self._done.wait(max(0.0, (poll.at - time.monotonic_ns()) / SECOND)):
                return
            more = False
            try:
                more = self._poll(poll)
            except (CallFailed, ValueError) as error:
                self.failed += 1
                self.store.failed(poll.node, str(error))
            except Exception as error:  # one node's answer must never end the collection from the others
                self.failed += 1
                self._log("collector", node=poll.node, error=f"{type(error).__name__}: {error}")
            self._schedule.ended(poll.node, time.monotonic_ns(), more)

    def _poll(self, poll: Poll) -> bool:
        """Poll a node once; return whether it has more lines.  Raises CallFailed, ValueError."""
        address, _, name = poll.node.partition("/")
        host, _, port = address.rpartition(":")
        progress = self.store.progress(poll.node)
        target = f"/audit?of={name}&after={progress.next - 1}"
        request = writer.request("GET", target, [("Host", address), ("Connection", "close")])
        self.polls += 1
        head, body = exchange(host.strip("[]"), int(port), request, self._settings.timeout_s, _LIMITS)
        if head.status != 200:
            raise CallFailed(f"{address}: it answered {head.status}: {body[:200].decode('utf-8', 'replace')}")
        lines = body.splitlines(keepends=True)
        self.bytes += len(body)
        before = len(progress.findings)
        progress = self.store.add(poll.node, lines, wall_time())
        for line, defect in progress.findings[before:]:
            self._log("account", node=poll.node, line=line, wrong=defect)
        return bool(head.headers.get(MORE_HEADER))
