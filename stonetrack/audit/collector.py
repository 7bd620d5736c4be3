"""The collector: asks nodes for what is new in their accounts, evenly and under a budget, and keeps it.

It may die at any moment, and so may a node: what was taken is in one transaction with where the node stands, and the
next question begins there.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from stonetrack.audit.collection_schedule import CollectionSchedule, Question
from stonetrack.audit.settings import Collect
from stonetrack.audit.store import Store
from stonetrack.clocks import wall_time
from stonetrack.engines.calls import CallFailed, exchange
from stonetrack.wire import http1, writer

SECOND = 1_000_000_000
MORE = "x-stonetrack-more"  # an answer's header where there was more than fitted
_LIMITS = http1.Limits(body=64 << 20)


class Collector:
    """One thread.  ``log`` takes a text and fields."""

    def __init__(self, settings: Collect, store: Store, log: Callable[..., None]) -> None:
        self._settings, self.store, self._log = settings, store, log
        now = time.monotonic_ns()
        self._rounds = CollectionSchedule(settings.nodes, int(settings.every_s * SECOND), settings.per_second, now)
        self._done = threading.Event()
        self._thread = threading.Thread(target=self._run, name="collect", daemon=True)
        self.asked = self.failed = self.bytes = 0

    def start(self) -> None:
        """Begin."""
        self._thread.start()

    def stop(self) -> None:
        """End; a question under way is not waited for."""
        self._done.set()
        self._thread.join(1.0)

    def _run(self) -> None:
        while not self._done.is_set():
            question = self._rounds.next()
            if question is None or self._done.wait(max(0.0, (question.at - time.monotonic_ns()) / SECOND)):
                return
            more = False
            try:
                more = self._ask(question)
            except (CallFailed, ValueError) as error:
                self.failed += 1
                self.store.failed(question.node, str(error))
            except Exception as error:  # one node's answer must never end the collecting of all
                self.failed += 1
                self._log("collector", node=question.node, error=f"{type(error).__name__}: {error}")
            self._rounds.ended(question.node, time.monotonic_ns(), more)

    def _ask(self, question: Question) -> bool:
        """One question; whether there is more.  Raises CallFailed, ValueError."""
        address, _, name = question.node.partition("/")
        host, _, port = address.rpartition(":")
        stands = self.store.standing(question.node)
        target = f"/audit?of={name}&after={stands.next - 1}"
        request = writer.request("GET", target, [("Host", address), ("Connection", "close")])
        self.asked += 1
        head, body = exchange(host.strip("[]"), int(port), request, self._settings.timeout_s, _LIMITS)
        if head.status != 200:
            raise CallFailed(f"{address}: it answered {head.status}: {body[:200].decode('utf-8', 'replace')}")
        lines = body.splitlines(keepends=True)
        self.bytes += len(body)
        before = len(stands.findings)
        stands = self.store.add(question.node, lines, wall_time())
        for line, wrong in stands.findings[before:]:
            self._log("account", node=question.node, line=line, wrong=wrong)
        return bool(head.headers.get(MORE))
