"""A node that follows the control service: one thread that asks, and the file of the version that it runs.

What a version does to the node is decided in :mod:`stonetrack.control.follower`; here are the thread, the socket and
the file.  A question waits at the service, so news comes at once; a failed one is followed by another at a drawn
moment of a growing pause, a third of the permit at most, so that hundreds that lost their service come back spread
out, and within their permits.  After news, which all hear at one moment, the next question (the acknowledgement) is
drawn over ``SPREAD`` seconds for each hundred nodes.
"""

from __future__ import annotations

import contextlib
import json
import random
import threading
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from stonetrack.control.client import call
from stonetrack.control.documents import NO_VERSION, Document
from stonetrack.control.follower import Follower, InstallStep, Lease, follower_after_restart
from stonetrack.control.messages import Answer, Report
from stonetrack.durable import save
from stonetrack.settings import Node, SettingsError, merged, parse

MS, SECOND = 1_000_000, 1_000_000_000
FIRST, LONGEST = 0.25, 3.0  # seconds of pause after a failed question
LEAST = 0.05  # seconds between two questions
SPREAD = 0.5
STEADY = 5  # seconds after which a start has lasted
OVER = 3.0  # seconds that an answer may take over its wait


class ControlFollower:
    """See the module.

    ``apply_settings`` puts settings in force under a version and raises where the program can't go on under them;
    ``request_counts``
    gives requests asked and served so far; ``acting_digest`` the digest of the version that decisions are made with.
    ``path`` is where the version is kept, None for nowhere.
    """

    def __init__(
        self,
        own: Node,
        name: str,
        boot: str,
        path: Path | None,
        *,
        apply_settings: Callable[[Node, Document], None],
        request_counts: Callable[[], tuple[int, int]],
        acting_digest: Callable[[], str],
        restart: Callable[[], None],
        log: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self._own, self._name, self._boot, self._path = own, name, boot, path
        self._take, self._counts, self._acting, self._restart = apply_settings, request_counts, acting_digest, restart
        self._log, self._draw = log, rng
        self._lock = threading.Lock()  # one change of settings at a time
        self.follower = Follower()
        self.permit = Lease(steps_out=own.control.steps_out)
        self.last_error = ""
        self.reports_sent = 0
        self._steady = False
        self._done = threading.Event()
        self._thread = threading.Thread(target=self._run, name="control", daemon=True)

    def restore(self) -> tuple[Node, Document]:
        """The settings that the node comes back on: its own under the version kept on disk, if it still fits."""
        if self._path is None or not self._path.exists():
            return self._own, NO_VERSION
        try:
            document = msgspec.json.decode(self._path.read_bytes(), type=Document)
            settings = self._under(document)
        except (OSError, msgspec.DecodeError, SettingsError) as error:
            self._log(f"the version kept at {self._path} can't be used: {error}; the node's own settings are in force")
            return self._own, NO_VERSION
        self.follower = follower_after_restart(document, self._started(document.number))
        if self.follower.quarantined:
            self._log(f"version {document.number} is turned down: {self.follower.why}")
            return self._own, NO_VERSION
        return settings, document

    def _started(self, number: int) -> int:
        """How often the process was started on a version without lasting ``STEADY`` seconds, this start included."""
        assert self._path is not None
        path = self._path.with_suffix(".starts")
        count = 1
        with contextlib.suppress(OSError, ValueError):
            of, before = map(int, path.read_text("ascii").split())
            count = before + 1 if of == number else 1
        with contextlib.suppress(OSError):
            save(path, f"{number} {count}".encode())
        return count

    def _lasted(self) -> None:
        """The process has stood for a while: what it runs does not end it."""
        self._steady = True
        if self._path is not None and not self.follower.quarantined:
            with contextlib.suppress(OSError):
                self._path.with_suffix(".starts").unlink(missing_ok=True)

    def start(self) -> None:
        """Begin to ask."""
        self._thread.start()

    def stop(self) -> None:
        """End."""
        self._done.set()

    def refusal(self) -> str:
        """Why no request may be taken at this moment; empty where one may."""
        return self.permit.refusal(time.monotonic_ns(), self.follower.running.number)

    def apply_own_settings(self, own: Node) -> None:
        """The node's own file has changed: it is in force under the version that runs.  Raises SettingsError."""
        with self._lock:
            before, self._own = self._own, own
            try:
                self._take(self._under(self.follower.running), self.follower.running)
            except Exception:
                self._own = before
                raise

    def _under(self, document: Document) -> Node:
        own = json.loads(msgspec.json.encode(self._own))
        return parse(json.dumps(merged(own, document.content)), f"version {document.number}")

    # The thread.

    def _run(self) -> None:
        pause, begun = FIRST, time.monotonic_ns()
        while not self._done.is_set():
            asked_at = time.monotonic_ns()
            if not self._steady and asked_at - begun > STEADY * SECOND:
                self._lasted()
            try:
                answer = self._ask()
            except (OSError, msgspec.DecodeError) as error:
                if not self.last_error:
                    self._log(f"the control service does not answer: {error}")
                self.last_error = str(error)
                self._done.wait(pause * self._draw.uniform(0.5, 1.0))
                pause = min(LONGEST, 2 * pause)
                continue
            if self.last_error:
                self._log("the control service answers again")
            self.last_error, pause = "", FIRST
            news = self._follow(answer, asked_at)
            nodes = max(1, self._own.routing.routers)
            self._done.wait(LEAST + self._draw.random() * (SPREAD * nodes / 100.0 if news else LEAST))

    def _ask(self) -> Answer:
        running, (asked, served) = self.follower.running, self._counts()
        control = self._own.control
        report = Report(
            self._name, self._boot, running.number, running.digest, self._acting(), self.follower.refused,
            self.follower.why, asked, served, control.wait_ms, self.permit.order,
        )  # fmt: skip
        self.reports_sent += 1
        told = call(control.url, "POST", "/node", report, timeout_s=control.wait_ms / 1_000.0 + OVER)
        return msgspec.convert(told, Answer)

    def _follow(self, answer: Answer, asked_at: int) -> bool:
        """Do what the answer says; whether there was news in it."""
        before = self.permit
        self.permit = before.fenced(answer.out, answer.lifted_by, answer.order)
        if self.permit.fence_reason != before.fence_reason:
            self._log(f"shut out: {self.permit.fence_reason}" if self.permit.fence_reason else "let in again")
        if answer.document is not None:
            self.apply_document(answer.document)
        # Only now: a node whose permit ran out while it slept would take requests on the old version in between.
        self.permit = self.permit.renewed(asked_at, answer.permit_ms * MS, answer.steps_out)
        if answer.restart and self.follower.running.number != answer.lifted_by:  # else this answer brought it up
            self._log("started anew, as the control service asks")
            self._restart()
        return answer.document is not None

    def apply_document(self, document: Document) -> None:
        """Take a version as far as it goes."""
        with self._lock:
            before = self.follower
            self.follower, do = before.offered(document)
            settings: Node | None = None
            while do is not InstallStep.NONE:
                if do is InstallStep.VALIDATE:
                    why = ""
                    try:
                        settings = self._under(document)
                    except SettingsError as error:
                        why = "; ".join(str(problem) for problem in error.problems[:5])
                    self.follower, do = self.follower.validated(why)
                elif do is InstallStep.PERSIST and self.follower.installing is not None:
                    self.follower, do = self.follower.persisted(self._keep(document))
                elif do is InstallStep.PERSIST:  # the one before is put back
                    self._keep(self.follower.running)
                    do = InstallStep.NONE
                else:
                    self.follower, do = self.follower.applied(self._force(settings, document))
            after = self.follower
        if after.running.number != before.running.number:
            self._log(f"version {after.running.number} is in force ({after.running.digest})")
        elif after.refused and (after.refused, after.why) != (before.refused, before.why):
            self._log(f"version {after.refused} is turned down: {after.why}")

    def _keep(self, document: Document) -> str:
        if self._path is None:
            return ""
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            save(self._path, msgspec.json.encode(document))
        except OSError as error:
            return f"it can't be kept: {error}"
        return ""

    def _force(self, settings: Node | None, document: Document) -> str:
        assert settings is not None
        try:
            self._take(settings, document)
        except Exception as error:  # whatever it is, the version before goes on
            return f"the program can't go on under it: {type(error).__name__}: {error}"
        return ""
