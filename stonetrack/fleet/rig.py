"""Plays a script with real processes: the list service, nodes, stand-in engines, and every link between them.

One thread carries out what is due (starts, changes, faults), one checks readiness over links of its own, one carries
all links.  Ends everything at the end, also when it is told to end or fails.
"""

from __future__ import annotations

import contextlib
import heapq
import json
import random
import shutil
import signal
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from fnmatch import fnmatchcase
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
from msgspec.structs import replace

from stonetrack.control.client import ControlError
from stonetrack.control.client import call as control
from stonetrack.durable import save
from stonetrack.election.fencing import Token
from stonetrack.emulator.host import Fleet
from stonetrack.emulator.tap import Tap, read
from stonetrack.engines import calls
from stonetrack.engines.calls import CallFailed
from stonetrack.fleet import judge
from stonetrack.fleet.clients import Apart
from stonetrack.fleet.faulted import faults
from stonetrack.fleet.links import Link, Links
from stonetrack.fleet.load import Seen
from stonetrack.fleet.processes import Part, address_of, inject
from stonetrack.fleet.pulse import MachineWaits, Pulse
from stonetrack.fleet.rules import Judge, Kill, Terms, Verdict
from stonetrack.fleet.script import FROM, ON_ENGINES, ON_LINKS, ON_REGISTER, Fault, Publication, Script, picked
from stonetrack.fleet.traffic import class_settings
from stonetrack.settings import merged
from stonetrack.wire import writer

ROOT = Path(__file__).parent.parent.parent
START_WITHIN = 30.0  # seconds that the list service and the stand-ins may take to start
MS = 1_000_000
REST = 3.0  # seconds at the end in which no client asks, so that what is held can be let go of
NOBODY = "127.0.0.1:9"  # an address at which no engine is
LOG = "links.log"
LISTS_LOG = "lists.log"  # in the list service's folder


@dataclass
class Played:
    """What came of a play; times in the log are nanoseconds from ``start`` on."""

    script: Script
    seed: int
    log: list[dict[str, Any]]
    start: int
    seen: list[Seen] = field(default_factory=list)  # by clients, with times of the machine's clock
    verdict: Verdict | None = None  # on the five rules, where there were clients
    unclean: list[str] = field(default_factory=list)  # parts that had to be killed at the end
    trouble: list[str] = field(default_factory=list)  # faults that could not be carried out
    late: int = 0  # the longest time for which links held up what they should have passed on, nanoseconds
    waits: MachineWaits | None = None  # what work waited for on the machine; times of its clock


def node_settings(script: Script, url: str, state_dir: Path, name: str) -> dict[str, Any]:
    """A node's settings as JSON holds them; the script's own win."""
    extended = {"release": True, "hold": True}
    base: dict[str, Any] = {
        "models": [{"name": "demo"}],
        "classes": [{"name": "chat", "first_token_ms": 2_000, "deadline_ms": 6_000}],
        "kinds": [{"name": n, "role": n, "memory_tokens": 200_000, **extended} for n in ("reader", "writer", "mixed")],
        "tenants": [{"name": "fleet"}],
        "any_key": True,
        "source": {"url": url, "wait_ms": script.wait_ms},
        "listen": {"port": 0},
        "routing": {"routers": script.nodes * script.instances},
        "timing": {"drain_ms": 1_000},
        "state_dir": str(state_dir),
        "log_level": "warning",
    }
    if name:  # an older program knows neither
        base["name"] = name
        base["source"]["lists_per_second"] = script.lists.lists_per_second
    if script.clients is not None:
        base |= class_settings(script.clients)
    return merged(merged(base, script.node), script.node_of.get(name, {}))


class Rig:
    """One play.  ``program`` is the checkout whose nodes run, by default this one."""

    def __init__(self, script: Script, seed: int, folder: Path, program: Path | None = None) -> None:
        self.script, self.seed, self.folder = script, seed, folder
        self._program = program
        self._draw = random.Random(seed)
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        self._tap = Tap(folder / LOG)
        self.links = Links(self._tap, seed, self._seen)
        self.parts: dict[str, Part] = {}
        self._order = 0
        self._lock = threading.Lock()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._triggered: deque[Callable[[], None]] = deque()
        self._waiting = [(fault, [fault.times]) for fault in script.faults if fault.when]
        self._weights = self._rolled = 0
        self._stop = threading.Event()
        self.start = self._until = 0
        self._engine_lines: list[dict[str, Any]] = []
        self.trouble: list[str] = []
        self._ready: dict[str, tuple[str, int]] = {}  # nodes that the checker found ready
        self._kills: list[Kill] = []
        self._load: Apart | None = None
        self._seen_by_clients: list[Seen] = []
        self._pulse = Pulse()

    # The log, as it is written (in the links' thread).

    def _seen(self, record: dict[str, Any]) -> None:
        for fault, left in self._waiting:
            if left[0] and all(str(record.get(k, "")) == str(v) for k, v in fault.when.items()):
                left[0] -= 1
                if FROM in (fault.to, fault.of):
                    source = str(record["from"])
                    fault = replace(fault, to=source if fault.to == FROM else fault.to,
                                    of=source if fault.of == FROM else fault.of)  # fmt: skip
                if fault.what in ON_LINKS and not (fault.jitter_s or fault.after_s):  # before the next byte passes
                    self.links.soon(partial(self._carry, partial(self._begin_now, fault)))
                else:
                    self._triggered.append(partial(self._begin, fault))

    # Putting together.

    def _engines(self) -> None:
        fleet = Fleet(engines=self.script.engines, seed=self.seed)
        path = self.folder / "engines.json"
        path.write_bytes(msgspec.json.encode(fleet))
        part = Part("engines", ("standin", str(path), "--log", str(self.folder / "engines.log")),
                    self.folder / "engines", ROOT)  # fmt: skip
        self.parts["engines"] = part
        part.start()
        part.wait_ready(START_WITHIN)
        _, body = calls.call(*address_of(part.url), writer.request("GET", "/state", [("Host", "rig")]), 5.0)
        for name, state in msgspec.json.decode(body)["engines"].items():
            self.links.add("node", f"e:{name}", ("127.0.0.1", state["port"]), shared=True)
        self._hear_engines(-1)

    def _hear_engines(self, after: int) -> int:
        """Hear from the stand-ins which of them are up, leaving or new; the version heard."""
        target = f"/engines?after={after}&wait_ms={1_000 if after >= 0 else 0}"
        request = writer.request("GET", target, [("Host", "rig"), ("Connection", "close")])
        status, body = calls.call(*address_of(self.parts["engines"].url), request, 5.0)
        if status == 200:
            told = msgspec.json.decode(body)
            lines = {} if told["kind"] == "full" else {line["name"]: line for line in self._engine_lines}
            for line in told["engines"]:
                lines[line["name"]] = {**line, "address": self.links.links["node", f"e:{line['name']}"].address}
            self._engine_lines = [line for line in lines.values() if line["state"] != "removed"]
            return int(told["version"])
        return after

    def _follow_engines(self) -> None:
        version = -1
        while not self._stop.is_set():
            try:
                heard = self._hear_engines(version)
            except (CallFailed, msgspec.DecodeError):
                self._stop.wait(0.1)
                continue
            if heard != version:
                version = heard
                save(self.folder / "lists" / "engines.json", self._list())

    def _list(self) -> bytes:
        """The list as it is now: engines behind their links, and lines that only give it its size."""
        lines = list(self._engine_lines)
        for n in range(self.script.listed):
            kind = "reader" if n % 2 else "writer"
            lines.append({"name": f"nobody-{n}", "address": NOBODY, "kind": kind, "cell": n % 8, "zone": 0,
                          "state": "draining" if self.script.engines and self.script.stewards is None else "up",
                          "weight": 1.0 + (self._weights if n == 0 else 0)})  # fmt: skip
        return msgspec.json.encode({"engines": lines})

    def _lists(self) -> None:
        folder = self.folder / "lists"
        folder.mkdir()
        save(folder / "engines.json", self._list())
        service = self.script.lists
        settings = {
            "listen": {"port": 0},
            "state_dir": str(folder / "state"),
            "file": str(folder / "engines.json"),
            "poll_ms": 20,
            "lists_per_second": service.lists_per_second,
            "waiting": service.waiting,
            "versions": service.versions,
            "limits": {"body_bytes": 64 << 20, "workers": 20_000, "connections": 40_000},
            "timing": {"drain_ms": 500},
        }
        if self.script.stewards is not None:
            settings |= {"file": "", "may_put": True}
        (folder / "lists.json").write_text(json.dumps(settings))
        part = Part("lists", ("lists", str(folder / "lists.json"), "--log", str(folder / LISTS_LOG)), folder, ROOT)
        self.parts["lists"] = part
        part.start()
        part.wait_ready(START_WITHIN)

    def _control(self) -> None:
        """The control service; what it publishes is planned with the rest."""
        wanted = self.script.control
        if wanted is None:
            return
        folder = self.folder / "control"
        folder.mkdir()
        base = {"listen": {"port": 0}, "state_dir": str(folder / "state"), "wait_s": 1.0, "permit_s": 4.0,
                "rule": {"grace_s": 2.0, "bound_s": 4.0}, "timing": {"drain_ms": 200}}  # fmt: skip
        (folder / "control.json").write_text(json.dumps(merged(base, wanted.settings)))
        arguments = ("control", "run", str(folder / "control.json"), "--log", str(folder / "control.log"))
        self.parts["control"] = Part("control", arguments, folder, ROOT)
        self.parts["control"].start()
        self.parts["control"].wait_ready(START_WITHIN)

    def _put_version(self, version: Publication) -> None:
        """Publish as an operator would, or an owner of that term; links are not between."""
        if version.rolled:
            self._rolled += 1
            document = msgspec.json.encode({"content": version.content, "kind": version.kind})
            save(self.folder / "rollout" / f"{self._rolled:04}.json", document)
            self.links.note("to be rolled out", number=self._rolled)
            return
        body = {"content": version.content, "kind": version.kind, "share": version.share}
        token = Token(version.term, f"owner-{version.term}") if version.term else None
        try:
            told = control(self.parts["control"].url, "PUT", "/settings", body, token, 2.0)
            self.links.note("published", number=told["number"], share=version.share, kind=version.kind)
        except ControlError as error:
            self.links.note("not published", why=str(error))

    def _nodes(self) -> None:
        to = address_of(self.parts["lists"].url)
        for n in range(self.script.nodes):
            name = f"n{n}"
            link = self.links.add(name, "lists", to)
            folder = self.folder / name
            folder.mkdir()
            url = f"http://{link.address}/engines"
            settings = node_settings(self.script, url, folder / "state", "" if self._program else name)
            if self.script.control is not None:
                way = self.links.add(name, "control", address_of(self.parts["control"].url))
                settings["control"] = {"wait_ms": 1_000, "mark": True, **settings.get("control", {}),
                                       "url": f"http://{way.address}"}  # fmt: skip
            (folder / "node.json").write_text(json.dumps(settings))
            arguments = ("serve", str(folder / "node.json"), "--instances", str(self.script.instances),
                         "--log", str(folder / "node.log"))  # fmt: skip
            self.parts[name] = Part(name, arguments, folder, self._program or ROOT, self._clock_of(name))

    def _stewards(self) -> None:
        """The register, the stewards, and a link from each to what it talks to."""
        wanted = self.script.stewards
        if wanted is None:
            return
        folder = self.folder / "register"
        if not wanted.embedded:
            self.parts["register"] = Part(
                "register", ("standin-etcd", "--state", str(folder / "state.json")), folder, ROOT)  # fmt: skip
            self.parts["register"].start()
            self.parts["register"].wait_ready(START_WITHIN)
        (self.folder / "publish").mkdir()
        (self.folder / "rollout").mkdir()
        for n in range(wanted.count):
            name = f"s{n}"
            mine = self.folder / name
            mine.mkdir()
            lists = self.links.add(name, "lists", address_of(self.parts["lists"].url))
            register: dict[str, Any] = {"folder": str(folder)}
            if not wanted.embedded:
                store = self.links.add(name, "register", address_of(self.parts["register"].url))
                register = {"etcd": [store.address], "timeout_s": 0.5 * wanted.lease_s}
            phase = wanted.phase_s
            settings = {
                "name": name, "register": register, "lease_s": wanted.lease_s, "margin_ms": wanted.margin_ms,
                "lists": f"http://{lists.address}/engines", "publish": str(self.folder / "publish"),
                "maintenance": {"engines": wanted.maintained or [f"nobody-{k}" for k in range(wanted.maintain)],
                                "drain_s": phase, "out_s": phase, "warm_s": phase},
                "checks": {"every_s": wanted.checks_s, "timeout_s": 0.3}, "listen": {"port": 0},
            }  # fmt: skip
            if self.script.control is not None and wanted.rollout:
                way = self.links.add(name, "control", address_of(self.parts["control"].url))
                settings["control"] = f"http://{way.address}"
                settings["rollout"] = {**wanted.rollout, "folder": str(self.folder / "rollout")}
            (mine / "steward.json").write_text(json.dumps(settings))
            arguments = ("steward", "run", str(mine / "steward.json"), "--log", str(mine / "steward.log"))
            self.parts[name] = Part(name, arguments, mine, ROOT, self._clock_of(name))

    def _clock_of(self, name: str) -> dict[str, str]:
        """What a program is told of its clock."""
        ahead = self.script.clock_ms.get(name, 0)
        return {"STONETRACK_RIG_CLOCK_MS": str(ahead)} if ahead else {}

    def _publish(self, number: int) -> None:
        """Another list that is to be published; the first line's weight tells them apart."""
        self._weights = number
        save(self.folder / "publish" / f"{number:04}.json", self._list())
        self.links.note("to be published", number=number)

    # Playing.

    def play(self) -> Played:
        """All of the script; ends what it started whatever happens."""
        unclean: list[str] = []
        checker = threading.Thread(target=self._check, name="check", daemon=True)
        try:
            self._pulse.start()
            if self.script.engines:
                self._engines()
            self._lists()
            self._control()
            self._stewards()
            self._nodes()
            if self.script.engines:
                threading.Thread(target=self._follow_engines, name="engines", daemon=True).start()
            self.start = time.monotonic_ns()
            self._plan()
            self._at(self.script.load_from, self._begin_load)
            checker.start()
            end = self.script.seconds
            while (now := self._now()) < end and not self._stop.is_set():
                while self._triggered:
                    self._carry(self._triggered.popleft())
                while self._due and self._due[0][0] <= now:
                    with self._lock:
                        call = heapq.heappop(self._due)[2]
                    self._carry(call)
                wait = min([end, *([self._due[0][0]] if self._due else [])]) - self._now()
                time.sleep(max(0.0, min(0.01, wait)))
            if self._load is not None:
                self._seen_by_clients = self._load.join(10.0)
            self._until = time.monotonic_ns()
        finally:
            self._stop.set()
            if self._load is not None:
                self._load.end()
            unclean = self._end()
            self.links.stop()
            self._pulse.stop()
        log = [{**r, "t": r["t"] - self.start} for r in read(self.folder / LOG)]
        verdict = self._verdict() if self.script.clients is not None else None
        return Played(self.script, self.seed, log, self.start, self._seen_by_clients, verdict, unclean, self.trouble,
                      self.links.late, self._pulse.waits())  # fmt: skip

    # Clients.

    def _begin_load(self) -> None:
        clients = self.script.clients
        if clients is None:
            return
        seconds = max(0.5, self.script.seconds - self.script.load_from - REST)
        self._load = Apart(clients, seconds, self.seed, self.folder)
        self._lead()

    def _lead(self) -> None:
        """Tell the clients which nodes are ready."""
        if self._load is not None:
            self._load.lead_to(list(self._ready.copy().values()))

    def _verdict(self) -> Verdict:
        assert self.script.clients is not None
        routing = self.script.node.get("routing", {})
        within = routing.get("release_within_ms", 500) * MS
        usual = Terms()
        terms = Terms(grace=routing.get("drain_grace_ms", 250) * MS, release_within=within,
                      slack=usual.slack + self.links.late, order_slack=usual.order_slack + self.links.late)  # fmt: skip
        passed = read(self.folder / LOG)
        told = judge.told(passed, self.script.instances)
        engines = sorted([*read(self.folder / "engines.log"), *told], key=lambda record: record["t"])
        classes = self.script.clients.classes
        return Judge(self._seen_by_clients, engines, self._kills, classes, terms, self._until,
                     self._pulse.waits(), faults(passed, self._until)).verdict()  # fmt: skip

    def _now(self) -> float:
        return (time.monotonic_ns() - self.start) / 1e9

    def _end(self) -> list[str]:
        for part in self.parts.values():
            part.signal(signal.SIGCONT)
            part.signal(signal.SIGTERM)
        until = time.monotonic() + 8.0
        return [part.name for part in self.parts.values() if not part.finish(until)]

    def _at(self, at: float, call: Callable[[], None]) -> None:
        with self._lock:
            self._order += 1
            heapq.heappush(self._due, (at, self._order, call))

    def _plan(self) -> None:
        for n in range(self.script.nodes):
            at = self._draw.random() * self.script.start_within_ms / 1_000.0
            self._at(at, partial(self._start_part, f"n{n}"))
        if (stewards := self.script.stewards) is not None:
            for n in range(stewards.count):
                at = self._draw.random() * self.script.start_within_ms / 1_000.0
                self._at(at, partial(self._start_part, f"s{n}"))
            for n in range(stewards.publish):
                self._at(n * stewards.every_s, partial(self._publish, n + 1))
        for version in self.script.control.versions if self.script.control is not None else ():
            self._at(version.at, partial(self._put_version, version))
        for at in self.script.changes:
            self._at(at, self._change_list)
        for fault in self.script.faults:
            if not fault.when:
                self._at(fault.at, partial(self._begin, fault))

    def _carry(self, call: Callable[[], None]) -> None:
        try:
            call()
        except (OSError, RuntimeError, KeyError) as error:
            self.trouble.append(str(error))
            self.links.note("trouble", why=str(error))

    def _change_list(self) -> None:
        self._weights += 1
        save(self.folder / "lists" / "engines.json", self._list())
        self.links.note("list changed")

    def _start_part(self, name: str) -> None:
        part = self.parts[name]
        part.start()
        self.links.note("start", part=name, starts=part.starts)

    # Faults.

    def _begin(self, fault: Fault) -> None:
        for name in picked(self.script, fault, self._draw):
            later = self._now() + fault.after_s + self._draw.random() * fault.jitter_s
            self._at(later, partial(self._hit, fault, name))

    def _begin_now(self, fault: Fault) -> None:
        for name in picked(self.script, fault, self._draw):
            self._hit(fault, name)

    def _hit(self, fault: Fault, name: str) -> None:
        self.links.note("fault", fault=fault.what, to=name, of=fault.of, late_ms=fault.delay_ms + fault.jitter_ms,
                        **{"for": fault.for_s})  # fmt: skip
        if fault.what in ON_ENGINES:
            self._on_engine(fault, name)
            return
        if fault.what in ON_REGISTER:
            self._on_register(fault)
            return
        undo = self._on_links(fault, name) if fault.what in ON_LINKS else self._on_process(fault, name)
        if undo is not None and fault.for_s:

            def over() -> None:
                undo()
                self.links.note("over", fault=fault.what, to=name, of=fault.of)

            self._at(self._now() + fault.for_s, over)

    def _to(self, name: str, of: str = "*") -> list[Link]:
        """The links that lead to a part, from those that a pattern names."""
        return [link for (source, to), link in self.links.links.items()
                if to == name and (fnmatchcase(source, of) or link.shared)]  # fmt: skip

    def _sources(self, link: Link, of: str) -> list[str]:
        """Whom of those that share a link a fault hits; none where it hits all of the link."""
        if not link.shared or of == "*":
            return []
        return [name for name in self.parts if fnmatchcase(name, of)]

    def _change(self, link: Link, of: str, policy: dict[str, Any]) -> None:
        sources = self._sources(link, of)
        for source in sources:
            self.links.change_pair(link, source, **policy)
        if not sources:
            self.links.change(link, **policy)

    def _on_links(self, fault: Fault, name: str) -> Callable[[], None] | None:
        links = self._to(name, fault.of)
        if not links:
            raise KeyError(f"{fault.what}: no link from {fault.of} to {name}")
        if fault.what == "reset":
            for link in links:
                for source in self._sources(link, fault.of) or [""]:
                    self.links.reset(link, source)
            return None
        all_policies: dict[str, dict[str, Any]] = {
            "refuse": {"refuse": True},
            "cut": {"cut_there": True, "cut_back": True},
            "cut_there": {"cut_there": True},
            "cut_back": {"cut_back": True},
            "delay": {"delay": int(fault.delay_ms * 1e6), "jitter": int(fault.jitter_ms * 1e6)},
            "slow": {"rate": fault.bytes},
            "break_after": {"break_after": fault.bytes},
        }
        policy = all_policies[fault.what]
        for link in links:
            self._change(link, fault.of, policy)

        def whole_again() -> None:
            for link in links:
                self._change(link, fault.of, dict.fromkeys(policy, 0))

        return whole_again

    def _on_engine(self, fault: Fault, name: str) -> None:
        spans = {"for_ms": fault.for_s * 1_000, "down_ms": fault.for_s * 1_000} if fault.for_s else {}
        control = address_of(self.parts["engines"].url)
        inject(control, name.removeprefix("e:"), fault.what.removeprefix("engine_"), {**spans, **fault.args})

    def _on_register(self, fault: Fault) -> None:
        body = {"fault": fault.what.removeprefix("register_"), "for_ms": fault.for_s * 1_000.0, **fault.args}
        at = address_of(self.parts["register"].url)
        headers = [("Host", "rig"), ("Connection", "close")]
        calls.call(*at, writer.request("POST", "/fault", headers, msgspec.json.encode(body)), 5.0)

    def _on_process(self, fault: Fault, name: str) -> Callable[[], None] | None:
        part = self.parts["engines" if name.startswith("e:") else name]
        state = part.folder / "state"
        kept = part.folder / "state.kept"
        match fault.what:
            case "kill":
                self._away(name, part)
                return lambda: self._back(name, part)
            case "stop":
                part.signal(signal.SIGSTOP)
                return lambda: part.signal(signal.SIGCONT)
            case "term":
                part.signal(signal.SIGTERM)
            case "hup":
                if part.running is not None:
                    part.running.send_signal(signal.SIGHUP)
            case "start":
                self._back(name, part)
            case "lose_state":
                self._away(name, part)
                shutil.rmtree(state, ignore_errors=True)
                return lambda: self._back(name, part)
            case "keep_state":
                shutil.rmtree(kept, ignore_errors=True)
                if state.exists():
                    shutil.copytree(state, kept)
            case "old_state":
                self._away(name, part)
                shutil.rmtree(state, ignore_errors=True)
                if kept.exists():
                    shutil.copytree(kept, state)
                return lambda: self._back(name, part)
            case "full_disk":
                self._away(name, part)
                part.full_disk = True
                self._back(name, part)
                part.full_disk = False
        return None

    def _away(self, name: str, part: Part) -> None:
        """Kill it; nobody listens at its links until it is back."""
        at = time.monotonic_ns()
        self._ready.pop(name, None)
        self._lead()
        part.kill()
        for n in range(self.script.instances if name.startswith("n") else 0):
            self._kills.append(Kill(at, time.monotonic_ns(), f"{name}-{n}"))
        for link in self._to(name):
            self.links.change(link, refuse=True)

    def _back(self, name: str, part: Part) -> None:
        self._start_part(name)
        if name not in ("lists", "register", "control"):
            return  # a node listens at a port of its own choice, which the checker finds

        def listen() -> None:
            if not part.ready():
                self._at(self._now() + 0.02, listen)
                return
            for link in self._to(name):
                link.target = address_of(part.url)
                self.links.change(link, refuse=False)
            self.links.note("listens", part=name)

        listen()

    # Readiness, as a load balancer would see it.

    def _check(self) -> None:
        last: dict[str, str] = {}
        pause = max(0.25, self.script.nodes / 400)
        while not self._stop.wait(pause):
            for n in range(self.script.nodes):
                if self._stop.is_set():
                    return
                name = f"n{n}"
                part = self.parts[name]
                if not part.ready():
                    said = "down"
                else:
                    link = self.links.links.get(("check", name))
                    if link is None:
                        link = self.links.add("check", name, address_of(part.url))
                    link.target = address_of(part.url)
                    if link.policy.refuse and part.alive:
                        self.links.change(link, refuse=False)
                    said = self._health(link)
                if said == "ready":
                    self._ready[name] = address_of(part.url)
                else:
                    self._ready.pop(name, None)
                self._lead()
                if last.get(name) != said and not self._stop.is_set():
                    last[name] = said
                    self.links.note("health", part=name, said=said)

    @staticmethod
    def _health(link: Link) -> str:
        request = writer.request("GET", "/health", [("Host", "check"), ("Connection", "close")])
        try:
            status, body = calls.call("127.0.0.1", link.port, request, 1.0)
            told = msgspec.json.decode(body)
        except (TimeoutError, CallFailed, msgspec.DecodeError):
            return "no answer"
        if status == 200:
            return "ready"
        stage = str(told.get("stage"))
        return stage if stage not in ("ready", "None") else str(told.get("status"))


def play(script: Script, seed: int, folder: Path, program: Path | None = None) -> Played:
    """Play a script; the log and all that the processes said goes to ``folder``.  Raises RuntimeError, OSError."""
    rig = Rig(script, seed, folder, program)
    before = None
    with contextlib.suppress(ValueError):  # not in a main thread
        before = signal.signal(signal.SIGTERM, lambda *_: rig._stop.set())
    try:
        return rig.play()
    finally:
        if before is not None:
            signal.signal(signal.SIGTERM, before)
