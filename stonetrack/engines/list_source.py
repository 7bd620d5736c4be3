"""Where server lists come from: a watched file, an HTTP list with versions and long poll, the list saved last.

HTTP: ``GET URL?after=VERSION&origin=HISTORY&wait_ms=N`` answers 200 with a document newer than the version, 204 when
the wait is over, 429 or 503 with ``Retry-After`` where it can't answer now.  When it is asked and which document comes
into force is decided in :mod:`stonetrack.bootstrap`; here are the thread, the socket and the file.
"""

from __future__ import annotations

import contextlib
import random
import threading
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from stonetrack import api
from stonetrack.bootstrap.asking import Asker, Ended, Terms
from stonetrack.bootstrap.holding import Choice, Holding, Stamp
from stonetrack.bootstrap.steps import Pace, Steps
from stonetrack.durable import save
from stonetrack.engines.calls import CallFailed, exchange
from stonetrack.engines.server_list import Engine, ListDocument, ListError, ServerListState, parse_document
from stonetrack.settings.schema import Source
from stonetrack.wire import http1, writer

MS, SECOND = 1_000_000, 1_000_000_000
SAVE_EVERY = 60 * SECOND  # how often a confirmation alone is written to the saved list
CONNECT = 2.0  # seconds
OVER = 5.0  # seconds that an answer may take over the poll's time


def file_signature(path: Path) -> tuple[int, int, int]:
    """What changes when a file is written anew.  Raises OSError."""
    status = path.stat()
    return status.st_mtime_ns, status.st_size, status.st_ino


class ListSource:
    """Follows one source on a thread of its own.

    ``take`` gets each event with the addresses that go with it.  ``found`` is asked whether the saved list, with these
    engines up (their roles by name) and confirmed so many nanoseconds ago, may be acted on; ``confirmed`` hears of the
    engines up each time that what is in force was told or confirmed by the service, or came further.  ``clock`` is Unix
    time in nanoseconds.
    """

    def __init__(
        self,
        source: Source,
        listing: ServerListState,
        clock: Callable[[], int],
        *,
        instance: str,
        saved: Path | None,
        on_list: Callable[[api.ServerList, dict[str, Engine]], None],
        log: Callable[[str], None],
        may_use_saved: Callable[[dict[str, str], int], bool] = lambda up, age: True,
        on_confirmed: Callable[[dict[str, str]], None] = lambda up: None,
        nodes: int = 1,
        rng: random.Random | None = None,
    ) -> None:
        self._source, self._listing, self._clock = source, listing, clock
        self._instance, self._saved, self._take, self._log = instance, saved, on_list, log
        self._found, self._confirmed = may_use_saved, on_confirmed
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="server-list", daemon=True)
        self._seen: tuple[int, int, int] | None = None
        self._error = ""
        self._saved_at = 0
        terms = Terms(nodes, source.lists_per_second, source.wait_ms * MS, source.poll_ms * MS)
        self._terms, self._draw = terms, rng or random.Random()
        self.holding = Holding()
        self.steps = Steps(Pace(source.step_share, source.step_ms * MS, source.gone_share))
        self._lock = threading.Lock()  # of the steps, and of the order in which events go out
        self._stepping = False
        self.poll_results: Counter[str] = Counter()  # questions by how they ended

    def start(self) -> None:
        """Take the saved list at once, where it may be acted on, then follow the source."""
        if self._saved is not None and self._saved.exists():
            try:
                self._restore(self._saved.read_bytes())
            except (OSError, ListError) as error:
                self._trouble(f"the saved list is passed over: {error}")
        self._thread.start()

    def stop(self) -> None:
        """Stop following; does not wait for a poll under way."""
        self._stop.set()

    def _restore(self, data: bytes) -> None:
        document, now = parse_document(data), self._clock()
        trial = ServerListState(self._listing.kinds)
        event = trial.apply(document, now, saved=True)
        age = now - int(document.confirmed * SECOND)
        entries = trial.router_entries()
        acted = self._found(self._up(entries), age)
        self._listing.adopt(trial, acted)  # changes are asked for on top of it, acted on or not
        if acted:
            with self._lock:
                self.steps.aim(entries, frozenset(), now)
                self._take(event, dict(trial.engines))
        else:
            self._log(f"the saved list of {age / SECOND:.0f} s ago is not acted on")
        if not self._source.file and document.origin:  # a history without a name may have been begun anew
            self.holding.restore(document.origin, document.version)

    def _accept(self, document: ListDocument) -> None:
        now = self._clock()
        event = self._listing.apply(document, now)
        told = frozenset(line.name for line in document.engines if line.state is not api.ServerState.UP)
        self._bring(event, told, now)
        self._error = ""
        self._told(write=True)

    def _bring(self, event: api.ServerList | None, told: frozenset[str], now: int) -> None:
        """Bring the listing into force, in steps where it must be; ``event`` says what changed, None for all."""
        with self._lock:
            plain = self._listing.notified and not self.steps.under_way
            self.steps.aim(self._listing.router_entries(), told, now)
            self._listing.notified = True
            if event is not None and plain and not self.steps.under_way:
                self._take(event, dict(self._listing.engines))
            else:
                self._whole()
            start = self.steps.waiting and not self._stepping
            self._stepping |= bool(start)
            if self.steps.held:
                self._log(f"server list: {self.steps.held} engines are gone at once; they stay until it is confirmed")
            if self.steps.waiting:
                self._log(f"server list: {self.steps.waiting} new engines come in steps")
        if start:
            threading.Thread(target=self._step, name="list-steps", daemon=True).start()

    def _whole(self) -> None:
        """Tell all that is in force.  Under the lock."""
        entries = tuple(self.steps.in_force.values())
        self._take(api.ServerList(api.ListKind.FULL, self._listing.version, entries), dict(self._listing.engines))

    def _step(self) -> None:
        """Take one step after another until the list is wholly in force."""
        while True:
            with self._lock:
                due = self.steps.due()
                self._stepping = due is not None
            if due is None or self._stop.wait(max(0.0, (due - self._clock()) / SECOND)):
                return
            with self._lock:
                if self.steps.tick(self._clock()):
                    self._whole()
            self._confirmed(self._up(self.steps.in_force))

    def _up(self, entries: dict[str, api.ServerEntry]) -> dict[str, str]:
        """Roles of the engines that are up among these, by name."""
        kinds = self._listing.kinds
        return {e.server: kinds[e.kind].role.value for e in list(entries.values()) if e.state is api.ServerState.UP}

    def _told(self, write: bool = False) -> None:
        """The service has told or confirmed what is in force."""
        now = self._clock()
        with self._lock:
            if self.steps.confirmed(now):
                self._whole()
        self._confirmed(self._up(self.steps.in_force))
        if self._saved is not None and (write or now - self._saved_at > SAVE_EVERY):
            self._saved_at = now
            with contextlib.suppress(OSError):
                save(self._saved, self._listing.to_json(now / SECOND))

    def _stands(self) -> None:
        """The service says that the listing still holds."""
        if not self._listing.notified:  # a saved list that was too old to act on by itself
            self._bring(None, frozenset(), self._clock())
        self._told()

    def _trouble(self, text: str) -> None:
        if text != self._error:
            self._error = text
            self._log(text)

    def _run(self) -> None:
        if self._source.file:
            self._run_file()
        else:
            self._run_http()

    # A watched file.

    def _run_file(self) -> None:
        pause = 0.1
        while not self._stop.is_set():
            try:
                self._file()
                pause = waited = self._source.poll_ms / 1000.0
            except (OSError, ListError) as error:
                self._trouble(f"server list from {self._source.file}: {error}")
                waited, pause = pause, min(max(pause, 0.1) * 2, 2.0)
            except Exception as error:  # a list must never end the thread that follows it
                self._trouble(f"server list: {type(error).__name__}: {error}")
                waited = 2.0
            self._stop.wait(waited)

    def _file(self) -> None:
        path = Path(self._source.file)
        seen = file_signature(path)
        if seen != self._seen:
            self._accept(parse_document(path.read_bytes()))
            self._seen = seen

    # A service.

    def _run_http(self) -> None:
        asker = Asker(self._terms, self._draw, self._clock())
        while not self._stop.wait(max(0.0, (asker.due - self._clock()) / SECOND)):
            question = asker.ask(self._clock(), *self.holding.question())
            if question is None:
                continue
            retry_after: float | None = None
            try:
                how, retry_after = self._question(question.after, question.origin, question.wait)
            except CallFailed as error:
                how = Ended.AWAY if error.outcome is api.Outcome.CONNECT_FAILED else Ended.FAILED
                self._trouble(f"server list from {self._source.url}: {error}")
            except ListError as error:
                how = Ended.UNFIT
                self.holding.whole_next = True
                self._trouble(f"server list from {self._source.url}: {error}")
            except Exception as error:  # a list must never end the thread that follows it
                how = Ended.UNFIT
                self._trouble(f"server list: {type(error).__name__}: {error}")
            self.poll_results[how.value] += 1
            asker.ended(self._clock(), how, retry_after)

    def _question(self, after: int, origin: str, wait: int) -> tuple[Ended, float | None]:
        address, slash, path = self._source.url.removeprefix("http://").partition("/")
        host, _, port = address.rpartition(":")
        mark = "&" if "?" in path else "?"
        of = f"&origin={origin}" if origin else ""
        target = f"{slash or '/'}{path}{mark}after={after}{of}&wait_ms={wait // MS}"
        request = writer.request(
            "GET", target, [("Host", address), ("X-Stonetrack-Instance", self._instance), ("Connection", "close")]
        )
        limits = http1.Limits(body=64 << 20)
        head, body = exchange(host.strip("[]"), int(port), request, wait / SECOND + OVER, limits, CONNECT)
        if self._stop.is_set():
            return Ended.UNCHANGED, None
        if head.status == 200:
            return self._document(parse_document(body)), None
        if head.status == 204:
            self.holding.confirmed()
            if self.holding.version >= 0:
                self._stands()
            return Ended.UNCHANGED, None
        self._trouble(f"server list from {self._source.url}: it answered {head.status}")
        if head.status in (429, 503):
            return Ended.TURNED_AWAY, _seconds(head.headers.get("retry-after"))
        return Ended.FAILED, None

    def _document(self, document: ListDocument) -> Ended:
        base = document.after if document.kind == "changes" else -1
        marks = Stamp(document.origin, document.version, base)
        choice = self.holding.judge(marks, self._clock())
        if choice is Choice.TAKE:
            self._accept(document)
            self.holding.taken(marks, self._clock())
            return Ended.TAKEN
        if choice is Choice.SAME:
            self.holding.taken(marks, self._clock())
            self._stands()
            return Ended.TAKEN
        self._trouble(
            f"server list from {self._source.url}: version {document.version} of {document.origin or 'no history'} is "
            f"passed over ({choice.value}), {self.holding.version} of {self.holding.origin or 'no history'} is in force"
        )
        return Ended.UNCHANGED if choice is Choice.NO_BASE else Ended.UNFIT


def _seconds(text: str) -> float | None:
    """A Retry-After in seconds; dates are not read, as no clock is trusted for them."""
    return float(text) if text.isascii() and text.isdecimal() and len(text) < 10 else None
