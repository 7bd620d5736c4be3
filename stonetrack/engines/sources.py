"""Where server lists come from: a watched file, an HTTP list with versions and long poll, the list saved last.

HTTP: ``GET URL?after=VERSION&wait_ms=N`` answers 200 with a document newer than the version, or 204 when the wait is
over.  A source that fails is asked again at growing pauses (0.1 to 2 s); the list before stays in force.
"""

from __future__ import annotations

import contextlib
import os
import threading
from collections.abc import Callable
from pathlib import Path

from stonetrack import api
from stonetrack.engines.errands import CallFailed, call
from stonetrack.engines.listing import Engine, ListError, Listing
from stonetrack.settings.schema import Source
from stonetrack.wire import http1, writer


def save(path: Path, data: bytes) -> None:
    """Write a file whole or not at all."""
    fresh = path.with_name(f"{path.name}.{os.getpid()}.new")
    with open(fresh, "wb") as out:
        out.write(data)
        out.flush()
        os.fsync(out.fileno())
    os.replace(fresh, path)


class ListSource:
    """Follows one source on a thread of its own; ``take`` gets each event with the addresses that go with it."""

    def __init__(
        self,
        source: Source,
        listing: Listing,
        clock: Callable[[], int],
        *,
        instance: str,
        saved: Path | None,
        take: Callable[[api.ServerList, dict[str, Engine]], None],
        log: Callable[[str], None],
    ) -> None:
        self._source, self._listing, self._clock = source, listing, clock
        self._instance, self._saved, self._take, self._log = instance, saved, take, log
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="server-list", daemon=True)
        self._seen: tuple[int, int, int] | None = None
        self._error = ""
        self.loaded = threading.Event()

    def start(self) -> None:
        """Take the saved list at once, then follow the source."""
        if self._saved is not None and self._saved.exists():
            try:
                self._accept(self._saved.read_bytes(), saved=True)
            except (OSError, ListError) as error:
                self._trouble(f"the saved list is passed over: {error}")
        self._listing.version = -1  # the source is asked for a whole list first
        self._thread.start()

    def stop(self) -> None:
        """Stop following; does not wait for a poll under way."""
        self._stop.set()

    def _accept(self, data: bytes, saved: bool = False) -> None:
        event = self._listing.take(data, self._clock(), saved)
        self._take(event, dict(self._listing.engines))
        self._error = ""
        if not saved:
            self.loaded.set()
        if self._saved is not None and not saved:
            with contextlib.suppress(OSError):
                save(self._saved, self._listing.saved())

    def _trouble(self, text: str) -> None:
        if text != self._error:
            self._error = text
            self._log(text)

    def _run(self) -> None:
        pause = 0.1
        while not self._stop.is_set():
            try:
                waited = self._file() if self._source.file else self._http()
                pause = 0.1
            except (OSError, ListError) as error:
                self._trouble(f"server list from {self._source.file or self._source.url}: {error}")
                waited, pause = pause, min(pause * 2, 2.0)
            except Exception as error:  # a list must never end the thread that follows it
                self._trouble(f"server list: {type(error).__name__}: {error}")
                waited = 2.0
            if waited:
                self._stop.wait(waited)

    def _file(self) -> float:
        path = Path(self._source.file)
        stat = path.stat()
        seen = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
        if seen != self._seen:
            self._accept(path.read_bytes())
            self._seen = seen
        return self._source.poll_ms / 1000.0

    def _http(self) -> float:
        address, slash, path = self._source.url.removeprefix("http://").partition("/")
        host, _, port = address.rpartition(":")
        wait = self._source.wait_ms
        mark = "&" if "?" in path else "?"
        target = f"{slash or '/'}{path}{mark}after={self._listing.version}&wait_ms={wait}"
        request = writer.request(
            "GET", target, [("Host", address), ("X-Stonetrack-Instance", self._instance), ("Connection", "close")]
        )
        limits = http1.Limits(body=64 << 20)
        try:
            status, body = call(host.strip("[]"), int(port), request, wait / 1000.0 + 5.0, limits)
        except CallFailed as error:
            raise OSError(str(error)) from None
        if self._stop.is_set():
            return 0.0
        if status == 200:
            self._accept(body)
            return 0.0
        if status == 204:
            return 0.0 if wait else self._source.poll_ms / 1000.0
        raise OSError(f"it answered {status}")
