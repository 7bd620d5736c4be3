"""Follows the control service: one thread that reports to it, and the file with the version in force.

:mod:`stonetrack.control.follower` decides what a version does to the node; this module has the thread, the socket and
the file.  Each report is a long poll, so a new version arrives at once.  A failed report is repeated after a random
part of an exponential delay, at most a third of the lease, so that hundreds of nodes that lost their service return
spread out and before their leases expire.  After a new version, which all nodes get at the same time, the next report
(the acknowledgement) is sent at a random time within ``ACK_SPREAD_S`` per hundred nodes.
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
from stonetrack.wire import json_limits

MS, SECOND = 1_000_000, 1_000_000_000
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.25, 3.0  # after a failed report
MIN_INTERVAL_S = 0.05  # between two reports
ACK_SPREAD_S = 0.5  # for each hundred nodes
STABLE_AFTER_S = 5  # uptime after which a start counts as successful
ANSWER_MARGIN_S = 3.0  # beyond the wait of a report, in which its answer has to arrive


class ControlFollower:
    """Keeps the node on the version that the control service assigns to it.

    ``apply_settings`` brings settings of a version into force and raises an exception if the node can't run with them;
    ``request_counts`` returns the requests received and served so far, ``acting_digest`` the digest of the version that
    decisions are made with.  ``path`` is the file with the version in force, None to store nothing.
    """

    def __init__(
        self,
        own: Node,
        name: str,
        boot_id: str,
        path: Path | None,
        *,
        apply_settings: Callable[[Node, Document], None],
        request_counts: Callable[[], tuple[int, int]],
        acting_digest: Callable[[], str],
        restart: Callable[[], None],
        log: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self._own, self._name, self._boot_id, self._path = own, name, boot_id, path
        self._apply, self._counts, self._acting, self._restart = apply_settings, request_counts, acting_digest, restart
        self._log, self._rng = log, rng
        self._lock = threading.Lock()  # serializes changes of settings
        self.follower = Follower()
        self.lease = Lease(steps_out=own.control.steps_out)
        self.last_error = ""
        self.reports_sent = 0
        self._stable = False
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="control", daemon=True)

    def restore(self) -> tuple[Node, Document]:
        """Return the settings and the version to start with: the stored version, if it is still valid."""
        if self._path is None or not self._path.exists():
            return self._own, NO_VERSION
        try:
            document = json_limits.decode_as(self._path.read_bytes(), Document)
            settings = self._with_version(document)
        except (OSError, msgspec.DecodeError, SettingsError) as error:
            self._log(f"stored version {self._path} ignored: {error}; the node's own settings are in force")
            return self._own, NO_VERSION
        self.follower = follower_after_restart(document, self._count_start(document.number))
        if self.follower.quarantined:
            self._log(f"version {document.number} was rejected: {self.follower.why}")
            return self._own, NO_VERSION
        return settings, document

    def _count_start(self, number: int) -> int:
        """Count this start; return how often in a row a start with the version lasted less than ``STABLE_AFTER_S``."""
        assert self._path is not None
        path = self._path.with_suffix(".starts")
        count = 1
        with contextlib.suppress(OSError, ValueError):
            counted, previous = map(int, path.read_text("ascii").split())
            count = previous + 1 if counted == number else 1
        with contextlib.suppress(OSError):
            save(path, f"{number} {count}".encode())
        return count

    def _clear_start_count(self) -> None:
        """The process has been up long enough: the version in force does not make it exit."""
        self._stable = True
        if self._path is not None and not self.follower.quarantined:
            with contextlib.suppress(OSError):
                self._path.with_suffix(".starts").unlink(missing_ok=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; does not wait for a running report."""
        self._stopping.set()

    def refusal(self) -> str:
        """Return why the node accepts no requests now; empty if it does."""
        return self.lease.refusal(time.monotonic_ns(), self.follower.running.number)

    def apply_own_settings(self, own: Node) -> None:
        """Apply changed settings of the node's own file, with the version in force on top.  Raises SettingsError."""
        with self._lock:
            before, self._own = self._own, own
            try:
                self._apply(self._with_version(self.follower.running), self.follower.running)
            except Exception:
                self._own = before
                raise

    def _with_version(self, document: Document) -> Node:
        own = json.loads(msgspec.json.encode(self._own))
        return parse(json.dumps(merged(own, document.content)), f"version {document.number}")

    # The thread.

    def _run(self) -> None:
        backoff, started = MIN_BACKOFF_S, time.monotonic_ns()
        while not self._stopping.is_set():
            sent_at = time.monotonic_ns()
            if not self._stable and sent_at - started > STABLE_AFTER_S * SECOND:
                self._clear_start_count()
            try:
                answer = self._report()
            except (OSError, msgspec.DecodeError) as error:
                if not self.last_error:
                    self._log(f"the control service does not answer: {error}")
                self.last_error = str(error)
                self._stopping.wait(backoff * self._rng.uniform(0.5, 1.0))
                backoff = min(MAX_BACKOFF_S, 2 * backoff)
                continue
            if self.last_error:
                self._log("the control service answers again")
            self.last_error, backoff = "", MIN_BACKOFF_S
            new_version = self._handle_answer(answer, sent_at)
            nodes = max(1, self._own.routing.routers)
            self._stopping.wait(
                MIN_INTERVAL_S + self._rng.random() * (ACK_SPREAD_S * nodes / 100.0 if new_version else MIN_INTERVAL_S)
            )

    def _report(self) -> Answer:
        running, (received, served) = self.follower.running, self._counts()
        control = self._own.control
        report = Report(
            self._name, self._boot_id, running.number, running.digest, self._acting(), self.follower.refused,
            self.follower.why, received, served, control.wait_ms, self.lease.order,
        )  # fmt: skip
        self.reports_sent += 1
        answer = call(control.url, "POST", "/node", report, timeout_s=control.wait_ms / 1_000.0 + ANSWER_MARGIN_S)
        return msgspec.convert(answer, Answer)

    def _handle_answer(self, answer: Answer, sent_at: int) -> bool:
        """Handle an answer; return whether it had a document."""
        before = self.lease
        self.lease = before.fenced(answer.out, answer.lifted_by, answer.order)
        if self.lease.fence_reason != before.fence_reason:
            self._log(f"fenced: {self.lease.fence_reason}" if self.lease.fence_reason else "no longer fenced")
        if answer.document is not None:
            self.apply_document(answer.document)
        # Renewed after the document is applied: a node that was suspended past its lease would accept requests with the
        # old version in between.
        self.lease = self.lease.renewed(sent_at, answer.permit_ms * MS, answer.steps_out)
        # No restart if this answer has brought the version into force that the restart is for.
        if answer.restart and self.follower.running.number != answer.lifted_by:
            self._log("restarting as requested by the control service")
            self._restart()
        return answer.document is not None

    def apply_document(self, document: Document) -> None:
        """Install a version, or reject it."""
        with self._lock:
            before = self.follower
            self.follower, step = before.offered(document)
            settings: Node | None = None
            while step is not InstallStep.NONE:
                if step is InstallStep.VALIDATE:
                    why = ""
                    try:
                        settings = self._with_version(document)
                    except SettingsError as error:
                        why = "; ".join(str(problem) for problem in error.problems[:5])
                    self.follower, step = self.follower.validated(why)
                elif step is InstallStep.PERSIST and self.follower.installing is not None:
                    self.follower, step = self.follower.persisted(self._persist(document))
                elif step is InstallStep.PERSIST:  # stores the previous version again
                    self._persist(self.follower.running)
                    step = InstallStep.NONE
                else:
                    self.follower, step = self.follower.applied(self._apply_version(settings, document))
            after = self.follower
        if after.running.number != before.running.number:
            self._log(f"version {after.running.number} is in force ({after.running.digest})")
        elif after.refused and (after.refused, after.why) != (before.refused, before.why):
            self._log(f"version {after.refused} was rejected: {after.why}")

    def _persist(self, document: Document) -> str:
        if self._path is None:
            return ""
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            save(self._path, msgspec.json.encode(document))
        except OSError as error:
            return f"it can't be kept: {error}"
        return ""

    def _apply_version(self, settings: Node | None, document: Document) -> str:
        assert settings is not None
        try:
            self._apply(settings, document)
        except Exception as error:  # after any error the previous version stays in force
            return f"the program can't go on under it: {type(error).__name__}: {error}"
        return ""
