"""Calls of a controller to receivers: gathers facts, and carries out effects, each with the leader's token."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

from stonetrack.clocks import wall_time
from stonetrack.control.client import ControlError
from stonetrack.control.client import call as control
from stonetrack.controller.captures import apply_retention
from stonetrack.controller.health_checks import CheckTally, HealthCheckJob
from stonetrack.controller.jobs import Facts, Step
from stonetrack.controller.publishing import PublishJob
from stonetrack.controller.retention import RetentionJob
from stonetrack.controller.rollout import RolloutJob
from stonetrack.controller.settings import ControllerSettings
from stonetrack.election.fencing import NO_TOKEN, TOKEN_HEADER, Token
from stonetrack.engines import calls
from stonetrack.engines.calls import CallFailed
from stonetrack.wire import json_limits, writer

CONCURRENT_CHECKS = 16


class EffectRefused(OSError):
    """A receiver refuses the effect, since it knows a later leader."""

    def __init__(self, text: str, known: Token) -> None:
        super().__init__(text)
        self.known = known


class NoList(CallFailed):
    """The discovery service has no list yet, or lost it."""


class _List(msgspec.Struct):
    engines: tuple[dict[str, Any], ...] = ()
    origin: str = ""
    version: int = 0


class _Refusal(msgspec.Struct):
    error: str = ""
    known: Token = NO_TOKEN


def numbered_documents(folder: str, read: Callable[[Any], dict[str, Any]]) -> tuple[dict[str, Any], ...]:
    """The documents ``NUMBER.json`` of a folder, in order, each with its number; none where no folder is set.

    One that can't be read hides those after it, since the order matters."""
    found: list[dict[str, Any]] = []
    if not folder:
        return ()
    paths = [p for p in Path(folder).glob("*.json") if p.stem.isdigit()]
    for path in sorted(paths, key=lambda p: int(p.stem)):
        try:
            found.append({"number": int(path.stem), **read(msgspec.json.decode(path.read_bytes()))})
        except (OSError, msgspec.DecodeError, KeyError, TypeError, AttributeError):
            break
    return tuple(found)


class Receivers:
    """All receivers of a controller's effects.  Each refuses a leader whose term is over."""

    # Every effect and its receiver; a test goes through them and fails for one without a fence.
    EFFECTS = {"change": "list service", "check": "list service", "put": "list service", "retain": "captures",
               "publish": "control", "stage": "control", "rollback": "control"}  # fmt: skip

    def __init__(self, settings: ControllerSettings) -> None:
        self._settings = settings
        self._tally = CheckTally(settings.checks.fails)
        self._pool = ThreadPoolExecutor(CONCURRENT_CHECKS, thread_name_prefix="check")
        self._served: tuple[float, float] | None = None  # requests served, and all requests, at the last look

    # Facts.

    def facts(self, at: float, job: str) -> Facts:
        """Gather the facts that this job needs.  Raises OSError where the discovery service does not answer."""
        if job == RetentionJob.name:
            return Facts(at)
        if job == RolloutJob.name:
            nodes = control(self._settings.control, "GET", "/nodes", timeout_s=self._settings.call_s)
            return Facts(at, versions=self._versions(), nodes=tuple(nodes))
        if job == PublishJob.name:  # the only job with work to do where there is no list
            listed = self._listed()
            return Facts(at, listed.engines, listed.origin, listed.version, self._wanted())
        engines = self._current_lines()
        if job == HealthCheckJob.name:
            # Nodes compare the times of failures with their own wall clocks.
            return Facts(at, engines, failing=self._run_checks(engines, wall_time()))
        return Facts(at, engines, service=self._served_share())

    def _run_checks(self, engines: tuple[dict[str, Any], ...], at: float) -> dict[str, float | None]:
        """Run one round of checks; engines that are listed as draining are not checked."""
        names = [str(e["name"]) for e in engines if e.get("state", "up") == "up"]
        addresses = {str(e["name"]): str(e["address"]) for e in engines}
        answers = self._pool.map(lambda name: self._answers_check(addresses[name]), names)
        return self._tally.add(dict(zip(names, answers, strict=True)), at)

    def _answers_check(self, address: str) -> bool:
        host, _, port = address.rpartition(":")
        headers = [("Host", address), ("X-Request-Id", "check"), ("Connection", "close")]
        try:
            request = writer.request("GET", "/metrics", headers)
            return calls.call(host.strip("[]"), int(port), request, self._settings.checks.timeout_s)[0] < 500
        except (CallFailed, ValueError):
            return False

    def _current_lines(self) -> tuple[dict[str, Any], ...]:
        """The lines of the present list.  Raises NoList and other OSErrors."""
        listed = self._listed()
        if listed.version < 0:
            raise NoList("list service: no list was given yet")
        return listed.engines

    def _listed(self) -> _List:
        """The present list; its version is below 0 where the discovery service has no list.  Raises OSError."""
        status, body = self._call("GET", None, None)
        if status == 204:
            return _List()
        with contextlib.suppress(msgspec.DecodeError):
            listed = json_limits.decode_as(body, _List)
            if status == 200:
                return listed
            if status == 503 and listed.origin:
                return _List((), listed.origin, -1)
        raise CallFailed(f"list service: {status}: {body[:200].decode('utf-8', 'replace')}")

    def _wanted(self) -> tuple[dict[str, Any], ...]:
        """The lists to publish."""
        return numbered_documents(self._settings.publish, lambda document: {"engines": document["engines"]})

    def _versions(self) -> tuple[dict[str, Any], ...]:
        """The versions to roll out."""
        return numbered_documents(
            self._settings.rollout.folder,
            lambda document: {"content": document["content"], "kind": document.get("kind", "rule")},
        )

    def _served_share(self) -> float | None:
        served = total = 0.0
        for node in self._settings.nodes:
            host, _, port = node.rpartition(":")
            request = writer.request("GET", "/metrics", [("Host", node), ("Connection", "close")])
            with contextlib.suppress(CallFailed, ValueError):
                status, body = calls.call(host, int(port), request, self._settings.call_s)
                for line in body.decode("utf-8", "replace").splitlines() if status == 200 else ():
                    labels, _, value = line.rpartition(" ")
                    if labels.startswith("stonetrack_requests_total{") and 'ended="gone"' not in labels:
                        total += float(value)
                        served += float(value) * ('ended="served"' in labels)
        before = self._served
        if before is not None and 0.0 <= total - before[1] < 10.0 and served >= before[0]:
            return None  # too few requests for a share
        self._served = (served, total)
        if before is None or total < before[1] or served < before[0]:
            return None  # the first look, or nodes restarted
        return (served - before[0]) / (total - before[1])

    # Effects.

    def carry_out(self, step: Step, token: Token, withheld: tuple[str, ...] = ()) -> dict[str, Any]:
        """Carry out one effect; engines ``withheld`` stay draining.  Raises EffectRefused, FencingError, OSError."""
        args = step.args
        if step.what == "retain":
            return {"deleted": len(apply_retention(Path(args["folder"]), args["budget"], token))}
        if self.EFFECTS[step.what] == "control":
            return self._control(step, token)
        if step.what in ("change", "check"):
            # The line as it is now: a repeated step must not undo what has changed since.
            changes = {key: args[key] for key in ("state", "failing") if key in args}
            method, lines = "PATCH", [{**e, **changes} for e in self._current_lines() if e["name"] == args["name"]]
            if not lines:
                return {}  # the engine was removed from the list meanwhile
        else:
            method = "PUT"
            checked = self._listed().engines if self._settings.checks.every_s else ()
            failing = {e["name"]: e["failing"] for e in checked if e.get("failing")}
            lines = [{**e, **({"state": "draining"} if e["name"] in withheld else {}),
                      **({"failing": failing[e["name"]]} if e["name"] in failing else {})}
                     for e in args["engines"]]  # fmt: skip
        status, body = self._call(method, msgspec.json.encode({"engines": lines}), token)
        if status == 409:
            refusal = json_limits.decode_as(body, _Refusal)
            raise EffectRefused(refusal.error, refusal.known)
        if status != 200:
            raise CallFailed(f"list service: {status}: {body[:200].decode('utf-8', 'replace')}")
        return dict(json_limits.decode(body, values=None))

    def _control(self, step: Step, token: Token) -> dict[str, Any]:
        """Carry out an effect at the control service.  Raises EffectRefused, ControlError."""
        method, path = {"publish": ("PUT", "/settings"), "stage": ("POST", "/stage"),
                        "rollback": ("POST", "/rollback")}[step.what]  # fmt: skip
        wanted = ("content", "kind", "share") if step.what == "publish" else ("number", "share")
        body = {name: step.args[name] for name in wanted if name in step.args}
        try:
            return dict(control(self._settings.control, method, path, body, token, self._settings.call_s))
        except ControlError as error:
            if error.known.term:
                raise EffectRefused(str(error), error.known) from None
            raise

    def _call(self, method: str, body: bytes | None, token: Token | None) -> tuple[int, bytes]:
        address, slash, path = self._settings.lists.removeprefix("http://").partition("/")
        host, _, port = address.rpartition(":")
        headers = [("Host", address), ("Connection", "close")]
        if token is not None:
            headers.append((TOKEN_HEADER, str(token)))
        request = writer.request(method, f"{slash}{path}" or "/", headers, body)
        return calls.call(host, int(port), request, self._settings.call_s)
