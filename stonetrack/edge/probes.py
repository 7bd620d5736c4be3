"""Load probes: ``GET /metrics/load`` on a few threads over the shared pool.

The router probes right before it sends a prompt, so a late answer is useless: a probe that has waited for a thread for
longer than ``STALE_NS`` is dropped, and the queue is short.
"""

from __future__ import annotations

import contextlib
import queue
from collections.abc import Callable

from stonetrack import api
from stonetrack.edge.calls import EngineCalls
from stonetrack.edge.engine_table import Engine
from stonetrack.edge.exchange import LOAD_HEADER, ParseLoadReport, load_report_pairs
from stonetrack.engines.pool import Carried
from stonetrack.node.sockets import ResourceExhausted
from stonetrack.node.threads import restarting_thread
from stonetrack.wire import writer

PATH = "/metrics/load"
TIMEOUT_S = 0.1  # of one probe
STALE_NS = 50_000_000  # a probe that has waited for longer is dropped
_MAX_QUEUED = 32


class Probes:
    """Runs probes on background threads; ``on_probed`` gets the result of each."""

    def __init__(
        self,
        calls: EngineCalls,
        clock: Callable[[], int],
        parse_report: ParseLoadReport,
        on_probed: Callable[[api.ProbeEnded], None],
        threads: int = 3,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        self._calls, self._clock, self._parse_report, self._on_probed = calls, clock, parse_report, on_probed
        self._engines: dict[str, Engine] = {}
        self._queue: queue.Queue[tuple[str, int] | None] = queue.Queue(_MAX_QUEUED)
        self._threads = [restarting_thread(f"probes-{n}", self._run, log) for n in range(threads)]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads; queued probes are dropped."""
        for _ in self._threads:
            with contextlib.suppress(queue.Full):
                self._queue.put_nowait(None)

    def list_changed(self, engines: dict[str, Engine]) -> None:
        """Use the engines of a new list."""
        self._engines = engines

    def probe(self, server: str) -> None:
        """Request a load report, in the background; dropped if the queue is full."""
        with contextlib.suppress(queue.Full):
            self._queue.put_nowait((server, self._clock()))

    def _run(self) -> None:
        while (queued := self._queue.get()) is not None:
            server, queued_at = queued
            engine = self._engines.get(server)
            if engine is None or self._clock() - queued_at > STALE_NS:
                continue
            message = writer.request("GET", PATH, [("Host", f"{engine.host}:{engine.port}")])
            report = None
            try:
                answer = self._calls.call(engine, message, TIMEOUT_S, Carried.PROBE)
            except ResourceExhausted:
                outcome = api.Outcome.NOT_SENT
            except TimeoutError:
                outcome = api.Outcome.TIMED_OUT
            except OSError:
                outcome = api.Outcome.CONNECT_FAILED
            else:
                outcome = api.Outcome.SERVED if answer.head.status == 200 else api.Outcome.ERROR
                text = answer.head.headers.get(LOAD_HEADER) or answer.body.decode("latin-1").strip()
                report = self._parse_report(pairs) if (pairs := load_report_pairs(text)) else None
            self._on_probed(api.ProbeEnded(server, outcome, self._clock() - queued_at, report))
