"""Sources of server lists: a watched file, the discovery service (HTTP long polling), and the list saved last.

HTTP: ``GET URL?after=VERSION&origin=HISTORY&wait_ms=N`` answers 200 with a document newer than the version, 204 after
the wait, 429 or 503 with ``Retry-After`` if the service can't answer now.  :mod:`stonetrack.bootstrap` decides when to
poll and which document comes into force; this module has the thread, the socket and the file.
"""

from __future__ import annotations

import contextlib
import random
import threading
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from stonetrack import api
from stonetrack.bootstrap.gradual_changes import GradualServerList, StepSettings
from stonetrack.bootstrap.list_versions import Decision, DocumentVersion, VersionTracker
from stonetrack.bootstrap.polling import PollResult, PollScheduler, PollSettings
from stonetrack.durable import save
from stonetrack.engines.calls import CallFailed, exchange
from stonetrack.engines.server_list import Engine, ListDocument, ListError, ServerListState, parse_document
from stonetrack.settings.schema import Source
from stonetrack.wire import http1, writer

MS, SECOND = 1_000_000, 1_000_000_000
SAVE_INTERVAL = 60 * SECOND  # between writes of the saved list for a confirmation alone
CONNECT_TIMEOUT_S = 2.0
ANSWER_MARGIN_S = 5.0  # beyond the wait of a poll, in which bytes of its answer have to arrive
MAX_ANSWER_S = 30.0  # beyond the wait of a poll, in which its whole answer has to arrive


def file_signature(path: Path) -> tuple[int, int, int]:
    """Values that differ after a file was rewritten.  Raises OSError."""
    status = path.stat()
    return status.st_mtime_ns, status.st_size, status.st_ino


class ListSource:
    """Follows one source on a background thread.

    ``on_list`` gets each event with the addresses of its engines.  ``may_use_saved`` decides whether the saved list may
    be used; its arguments are the engines that are up (roles by name) and the nanoseconds since the last confirmation.
    ``on_confirmed`` gets the engines that are up whenever the service sends or confirms the list in force, or a further
    step of a list takes effect.  ``clock`` is Unix time in nanoseconds.
    """

    def __init__(
        self,
        source: Source,
        state: ServerListState,
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
        self._settings, self._state, self._clock = source, state, clock
        self._instance, self._saved_path, self._on_list, self._log = instance, saved, on_list, log
        self._may_use_saved, self._on_confirmed = may_use_saved, on_confirmed
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="server-list", daemon=True)
        self._signature: tuple[int, int, int] | None = None
        self._last_error = ""
        self._saved_at = 0
        terms = PollSettings(nodes, source.lists_per_second, source.wait_ms * MS, source.poll_ms * MS)
        self._terms, self._rng = terms, rng or random.Random()
        self.versions = VersionTracker()
        self.gradual_list = GradualServerList(StepSettings(source.step_share, source.step_ms * MS, source.gone_share))
        self._lock = threading.Lock()  # guards the steps, and the order of events
        self._stepping = False
        self.poll_results: Counter[str] = Counter()  # number of polls by result

    def start(self) -> None:
        """Use the saved list at once, if that is allowed, then follow the source."""
        if self._saved_path is not None and self._saved_path.exists():
            try:
                self._restore(self._saved_path.read_bytes())
            except (OSError, ListError) as error:
                self._log_error(f"saved server list ignored: {error}")
        self._thread.start()

    def stop(self) -> None:
        """Stop following; does not wait for a running poll."""
        self._stopping.set()

    def _restore(self, data: bytes) -> None:
        document, now = parse_document(data), self._clock()
        restored = ServerListState(self._state.kinds)
        event = restored.apply(document, now, saved=True)
        age = now - int(document.confirmed * SECOND)
        entries = restored.router_entries()
        accepted = self._may_use_saved(self._up_roles(entries), age)
        self._state.adopt(restored, accepted)  # the base of the changes to ask for, even if it is not used
        if accepted:
            with self._lock:
                self.gradual_list.set_target(entries, frozenset(), now)
                self._on_list(event, dict(restored.engines))
        else:
            self._log(f"saved server list not used: confirmed {age / SECOND:.0f} s ago")
        if not self._settings.file and document.origin:  # a history without a name may have been restarted
            self.versions.restore(document.origin, document.version)

    def _apply(self, document: ListDocument) -> None:
        now = self._clock()
        event = self._state.apply(document, now)
        reported = frozenset(entry.name for entry in document.engines if entry.state is not api.ServerState.UP)
        self._advance(event, reported, now)
        self._last_error = ""
        self._confirm(write=True)

    def _advance(self, event: api.ServerList | None, reported: frozenset[str], now: int) -> None:
        """Bring the list into force, in steps if necessary; ``event`` has the changes, None for the whole list."""
        with self._lock:
            direct = self._state.notified and not self.gradual_list.in_progress
            self.gradual_list.set_target(self._state.router_entries(), reported, now)
            self._state.notified = True
            if event is not None and direct and not self.gradual_list.in_progress:
                self._on_list(event, dict(self._state.engines))
            else:
                self._notify_all()
            start = self.gradual_list.pending_additions and not self._stepping
            self._stepping |= bool(start)
            if self.gradual_list.unconfirmed_removals:
                self._log(
                    f"server list: {self.gradual_list.unconfirmed_removals} engines disappeared at once; "
                    "kept until the list is confirmed"
                )
            if self.gradual_list.pending_additions:
                self._log(f"server list: {self.gradual_list.pending_additions} new engines are added in steps")
        if start:
            threading.Thread(target=self._run_steps, name="list-steps", daemon=True).start()

    def _notify_all(self) -> None:
        """Notify the node of the whole list in force.  Requires the lock."""
        entries = tuple(self.gradual_list.in_force.values())
        self._on_list(api.ServerList(api.ListKind.FULL, self._state.version, entries), dict(self._state.engines))

    def _run_steps(self) -> None:
        """Take one step after another until the whole list is in force."""
        while True:
            with self._lock:
                due = self.gradual_list.due()
                self._stepping = due is not None
            if due is None or self._stopping.wait(max(0.0, (due - self._clock()) / SECOND)):
                return
            with self._lock:
                if self.gradual_list.tick(self._clock()):
                    self._notify_all()
            self._on_confirmed(self._up_roles(self.gradual_list.in_force))

    def _up_roles(self, entries: dict[str, api.ServerEntry]) -> dict[str, str]:
        """Roles of the engines among ``entries`` that are up, by name."""
        kinds = self._state.kinds
        return {e.server: kinds[e.kind].role.value for e in list(entries.values()) if e.state is api.ServerState.UP}

    def _confirm(self, write: bool = False) -> None:
        """The service has sent or confirmed the list in force."""
        now = self._clock()
        with self._lock:
            if self.gradual_list.confirmed(now):
                self._notify_all()
        self._on_confirmed(self._up_roles(self.gradual_list.in_force))
        if self._saved_path is not None and (write or now - self._saved_at > SAVE_INTERVAL):
            self._saved_at = now
            with contextlib.suppress(OSError):
                save(self._saved_path, self._state.to_json(now / SECOND))

    def _confirm_unchanged(self) -> None:
        """The service says that the list has not changed."""
        if not self._state.notified:  # a saved list that was too old to be used unconfirmed
            self._advance(None, frozenset(), self._clock())
        self._confirm()

    def _log_error(self, text: str) -> None:
        if text != self._last_error:
            self._last_error = text
            self._log(text)

    def _run(self) -> None:
        if self._settings.file:
            self._run_file()
        else:
            self._run_http()

    # Watched file.

    def _run_file(self) -> None:
        backoff = 0.1
        while not self._stopping.is_set():
            try:
                self._poll_file()
                backoff = delay = self._settings.poll_ms / 1000.0
            except (OSError, ListError) as error:
                self._log_error(f"server list from {self._settings.file}: {error}")
                delay, backoff = backoff, min(max(backoff, 0.1) * 2, 2.0)
            except Exception as error:  # no list may end the thread that follows it
                self._log_error(f"server list: {type(error).__name__}: {error}")
                delay = 2.0
            self._stopping.wait(delay)

    def _poll_file(self) -> None:
        path = Path(self._settings.file)
        signature = file_signature(path)
        if signature != self._signature:
            self._apply(parse_document(path.read_bytes()))
            self._signature = signature

    # Discovery service.

    def _run_http(self) -> None:
        scheduler = PollScheduler(self._terms, self._rng, self._clock())
        while not self._stopping.wait(max(0.0, (scheduler.due - self._clock()) / SECOND)):
            poll = scheduler.start_poll(self._clock(), *self.versions.poll_base())
            if poll is None:
                continue
            retry_after: float | None = None
            try:
                result, retry_after = self._poll(poll.after, poll.origin, poll.wait)
            except CallFailed as error:
                result = PollResult.UNREACHABLE if error.outcome is api.Outcome.CONNECT_FAILED else PollResult.FAILED
                self._log_error(f"server list from {self._settings.url}: {error}")
            except ListError as error:
                result = PollResult.UNUSABLE
                self.versions.request_full = True
                self._log_error(f"server list from {self._settings.url}: {error}")
            except Exception as error:  # no list may end the thread that follows it
                result = PollResult.UNUSABLE
                self._log_error(f"server list: {type(error).__name__}: {error}")
            self.poll_results[result.value] += 1
            scheduler.finish_poll(self._clock(), result, retry_after)

    def _poll(self, after: int, origin: str, wait: int) -> tuple[PollResult, float | None]:
        address, slash, path = self._settings.url.removeprefix("http://").partition("/")
        host, _, port = address.rpartition(":")
        separator = "&" if "?" in path else "?"
        origin_query = f"&origin={origin}" if origin else ""
        target = f"{slash or '/'}{path}{separator}after={after}{origin_query}&wait_ms={wait // MS}"
        request = writer.request(
            "GET", target, [("Host", address), ("X-Stonetrack-Instance", self._instance), ("Connection", "close")]
        )
        limits = http1.Limits(body=64 << 20)
        wait_s = wait / SECOND
        head, body = exchange(
            host.strip("[]"),
            int(port),
            request,
            wait_s + ANSWER_MARGIN_S,
            limits,
            CONNECT_TIMEOUT_S,
            wait_s + MAX_ANSWER_S,
        )
        if self._stopping.is_set():
            return PollResult.UNCHANGED, None
        if head.status == 200:
            return self._decide(parse_document(body)), None
        if head.status == 204:
            self.versions.confirmed()
            if self.versions.version >= 0:
                self._confirm_unchanged()
            return PollResult.UNCHANGED, None
        self._log_error(f"server list from {self._settings.url}: it answered {head.status}")
        if head.status in (429, 503):
            return PollResult.REJECTED, _parse_retry_after(head.headers.get("retry-after"))
        return PollResult.FAILED, None

    def _decide(self, document: ListDocument) -> PollResult:
        base = document.after if document.kind == "changes" else -1
        stamp = DocumentVersion(document.origin, document.version, base)
        choice = self.versions.decide(stamp, self._clock())
        if choice is Decision.ACCEPT:
            self._apply(document)
            self.versions.accepted(stamp, self._clock())
            return PollResult.ACCEPTED
        if choice is Decision.SAME:
            self.versions.accepted(stamp, self._clock())
            self._confirm_unchanged()
            return PollResult.ACCEPTED
        self._log_error(
            f"server list from {self._settings.url}: ignored version {document.version} of "
            f"{document.origin or 'no history'} ({choice.value}); "
            f"in force: {self.versions.version} of {self.versions.origin or 'no history'}"
        )
        return PollResult.UNCHANGED if choice is Decision.NO_BASE else PollResult.UNUSABLE


def _parse_retry_after(text: str) -> float | None:
    """A Retry-After value in seconds, else None; dates are not supported, because they need synchronized clocks."""
    return float(text) if text.isascii() and text.isdecimal() and len(text) < 10 else None
