"""Load reports asked for: ``GET /metrics/load`` on a few threads over the shared pool.

The router asks right before it sends a prompt, so an answer that comes late is of no use: what waits for a thread for
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
from stonetrack.node.sockets import MachineShort
from stonetrack.node.threads import lasting
from stonetrack.wire import writer

PATH = "/metrics/load"
TIMEOUT_S = 0.1  # seconds for one probe
STALE_NS = 50_000_000  # nanoseconds after which a probe that waits is not wanted any more
_MOST = 32  # waiting


class Probes:
    """Runs the probes; ``probed`` gets each one's result."""

    def __init__(
        self,
        calls: EngineCalls,
        clock: Callable[[], int],
        read_report: ParseLoadReport,
        probed: Callable[[api.ProbeEnded], None],
        threads: int = 3,
        log: Callable[[str], None] = lambda text: None,
    ) -> None:
        self._calls, self._clock, self._read_report, self._probed = calls, clock, read_report, probed
        self._engines: dict[str, Engine] = {}
        self._jobs: queue.Queue[tuple[str, int] | None] = queue.Queue(_MOST)
        self._threads = [lasting(f"probes-{n}", self._run, log) for n in range(threads)]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads; what waits is dropped."""
        for _ in self._threads:
            with contextlib.suppress(queue.Full):
                self._jobs.put_nowait(None)

    def list_changed(self, engines: dict[str, Engine]) -> None:
        """Take a new list."""
        self._engines = engines

    def probe(self, server: str) -> None:
        """Ask for a report, in the background."""
        with contextlib.suppress(queue.Full):
            self._jobs.put_nowait((server, self._clock()))

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            server, since = job
            engine = self._engines.get(server)
            if engine is None or self._clock() - since > STALE_NS:
                continue
            message = writer.request("GET", PATH, [("Host", f"{engine.host}:{engine.port}")])
            report = None
            try:
                answer = self._calls.call(engine, message, TIMEOUT_S)
            except MachineShort:
                outcome = api.Outcome.NOT_SENT
            except TimeoutError:
                outcome = api.Outcome.TIMED_OUT
            except OSError:
                outcome = api.Outcome.CONNECT_FAILED
            else:
                outcome = api.Outcome.SERVED if answer.head.status == 200 else api.Outcome.ERROR
                told = answer.head.headers.get(LOAD_HEADER) or answer.body.decode("latin-1").strip()
                report = self._read_report(pairs) if (pairs := load_report_pairs(told)) else None
            self._probed(api.ProbeEnded(server, outcome, self._clock() - since, report))
