"""The calls that a steward makes to receivers: what it learns, and its effects, each with the owner's token."""

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
from stonetrack.wire import writer

PROBERS = 16  # checks under way at one time


class EffectRefused(OSError):
    """A receiver that knows a later owner."""

    def __init__(self, text: str, known: Token) -> None:
        super().__init__(text)
        self.known = known


class NoList(CallFailed):
    """The list service was given no list yet, or lost it."""


class _Listed(msgspec.Struct):
    engines: tuple[dict[str, Any], ...] = ()
    origin: str = ""
    version: int = 0


class _Known(msgspec.Struct):
    error: str = ""
    known: Token = NO_TOKEN


def numbered_documents(folder: str, read: Callable[[Any], dict[str, Any]]) -> tuple[dict[str, Any], ...]:
    """What a folder's ``NUMBER.json`` say, in order, each with its number; none where no folder is set.

    One that can't be read stops those after it, since order counts."""
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
    """All that a steward's effects may reach.  Each refuses an owner whose term is over."""

    # Every effect there is, and who takes it; a test goes through them and fails for one without a fence.
    EFFECTS = {"change": "list service", "check": "list service", "put": "list service", "retain": "captures",
               "publish": "control", "stage": "control", "rollback": "control"}  # fmt: skip

    def __init__(self, settings: ControllerSettings) -> None:
        self._settings = settings
        self._tally = CheckTally(settings.checks.fails)
        self._pool = ThreadPoolExecutor(PROBERS, thread_name_prefix="check")
        self._served: tuple[float, float] | None = None  # requests served and asked, at the last look

    # Learning.

    def facts(self, at: float, kind: str) -> Facts:
        """What is known now, as far as this kind of job asks for it.  Raises OSError where the list service does not
        say."""
        if kind == RetentionJob.name:
            return Facts(at)
        if kind == RolloutJob.name:
            nodes = control(self._settings.control, "GET", "/nodes", timeout_s=self._settings.call_s)
            return Facts(at, versions=self._versions(), nodes=tuple(nodes))
        if kind == PublishJob.name:  # alone of all it has something to do where there is no list
            listed = self._listed()
            return Facts(at, listed.engines, listed.origin, listed.version, self._wanted())
        engines = self._lines()
        if kind == HealthCheckJob.name:
            return Facts(at, engines, failing=self._checked(engines, wall_time()))  # nodes hold it against their clocks
        return Facts(at, engines, service=self._service())

    def _checked(self, engines: tuple[dict[str, Any], ...], at: float) -> dict[str, float | None]:
        """One round of checks; engines that are told as leaving are left alone."""
        names = [str(e["name"]) for e in engines if e.get("state", "up") == "up"]
        addresses = {str(e["name"]): str(e["address"]) for e in engines}
        answers = self._pool.map(lambda name: self._answers(addresses[name]), names)
        return self._tally.add(dict(zip(names, answers, strict=True)), at)

    def _answers(self, address: str) -> bool:
        host, _, port = address.rpartition(":")
        headers = [("Host", address), ("X-Request-Id", "check"), ("Connection", "close")]
        try:
            request = writer.request("GET", "/metrics", headers)
            return calls.call(host.strip("[]"), int(port), request, self._settings.checks.timeout_s)[0] < 500
        except (CallFailed, ValueError):
            return False

    def _lines(self) -> tuple[dict[str, Any], ...]:
        """The list service's lines.  Raises OSError, NoList among them."""
        listed = self._listed()
        if listed.version < 0:
            raise NoList("list service: no list was given yet")
        return listed.engines

    def _listed(self) -> _Listed:
        """What the list service says; of one that has no list the version is below 0.  Raises OSError."""
        status, body = self._call("GET", None, None)
        if status == 204:
            return _Listed()
        with contextlib.suppress(msgspec.DecodeError):
            listed = msgspec.json.decode(body, type=_Listed)
            if status == 200:
                return listed
            if status == 503 and listed.origin:
                return _Listed((), listed.origin, -1)
        raise CallFailed(f"list service: {status}: {body[:200].decode('utf-8', 'replace')}")

    def _wanted(self) -> tuple[dict[str, Any], ...]:
        """The lists that are to be published."""
        return numbered_documents(self._settings.publish, lambda told: {"engines": told["engines"]})

    def _versions(self) -> tuple[dict[str, Any], ...]:
        """The versions that are to be rolled out."""
        return numbered_documents(
            self._settings.rollout.folder, lambda told: {"content": told["content"], "kind": told.get("kind", "rule")}
        )

    def _service(self) -> float | None:
        served = asked = 0.0
        for node in self._settings.nodes:
            host, _, port = node.rpartition(":")
            request = writer.request("GET", "/metrics", [("Host", node), ("Connection", "close")])
            with contextlib.suppress(CallFailed, ValueError):
                status, body = calls.call(host, int(port), request, self._settings.call_s)
                for line in body.decode("utf-8", "replace").splitlines() if status == 200 else ():
                    labels, _, value = line.rpartition(" ")
                    if labels.startswith("stonetrack_requests_total{") and 'ended="gone"' not in labels:
                        asked += float(value)
                        served += float(value) * ('ended="served"' in labels)
        before = self._served
        if before is not None and 0.0 <= asked - before[1] < 10.0 and served >= before[0]:
            return None  # too few to tell yet
        self._served = (served, asked)
        if before is None or asked < before[1] or served < before[0]:
            return None  # the first look, or nodes that began anew
        return (served - before[0]) / (asked - before[1])

    # Effects.

    def carry_out(self, step: Step, token: Token, away: tuple[str, ...] = ()) -> dict[str, Any]:
        """One effect; engines ``away`` stay told as leaving.  Raises EffectRefused, FencingError, OSError."""
        args = step.args
        if step.what == "retain":
            return {"deleted": len(apply_retention(Path(args["folder"]), args["budget"], token))}
        if self.EFFECTS[step.what] == "control":
            return self._control(step, token)
        if step.what in ("change", "check"):
            # The line as it stands now: a step that is done again must not bring back what has changed since.
            fresh = {key: args[key] for key in ("state", "failing") if key in args}
            method, lines = "PATCH", [{**e, **fresh} for e in self._lines() if e["name"] == args["name"]]
            if not lines:
                return {}  # the engine has gone from the list meanwhile
        else:
            method = "PUT"
            checked = self._listed().engines if self._settings.checks.every_s else ()
            failing = {e["name"]: e["failing"] for e in checked if e.get("failing")}
            lines = [{**e, **({"state": "draining"} if e["name"] in away else {}),
                      **({"failing": failing[e["name"]]} if e["name"] in failing else {})}
                     for e in args["engines"]]  # fmt: skip
        status, body = self._call(method, msgspec.json.encode({"engines": lines}), token)
        if status == 409:
            told = msgspec.json.decode(body, type=_Known)
            raise EffectRefused(told.error, told.known)
        if status != 200:
            raise CallFailed(f"list service: {status}: {body[:200].decode('utf-8', 'replace')}")
        return dict(msgspec.json.decode(body))

    def _control(self, step: Step, token: Token) -> dict[str, Any]:
        """An effect at the control service.  Raises EffectRefused, ControlError."""
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
