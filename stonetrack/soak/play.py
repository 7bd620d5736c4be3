"""One seed: a fleet of real node processes under drawn faults, and what the oracle says of it."""

from __future__ import annotations

import contextlib
import random
import re
import shutil
import socket
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from stonetrack.emulator.tap import Tap, read
from stonetrack.fleet.clients import Apart
from stonetrack.fleet.links import Link, Links
from stonetrack.fleet.listening import bound
from stonetrack.fleet.load import Seen
from stonetrack.fleet.pulse import Pulse, wait_for_processors
from stonetrack.fleet.traffic import Clients, Traffic
from stonetrack.soak.crowd import Crowd
from stonetrack.soak.faults import Fault, Kind, draw
from stonetrack.soak.latitude import Latitude, Sentence
from stonetrack.soak.nodes import Node, Use
from stonetrack.soak.oracle import SERVICE_LEAST, Evidence, Lateness, Oracle, Terms, Violation
from stonetrack.soak.platform import Platform, listen

MS = 1_000_000
SECOND = 1_000 * MS
BEGUN = re.compile(rb"(?i)\r\nx-correlation-id: *([0-9A-Za-z_.:-]+)\r\n")
LINK_LOG = "links.jsonl"
METRONOME = 0.01  # seconds
RELEASE_WITHIN = 500 * MS
HELD_UP = 0.15  # seconds of a node that is held up
CROWD_LOOK = 0.05  # seconds between two looks of a crowd
LONGEST_DEADLINE = 5.0  # seconds, of the classes below
KILL_AFTER = min(LONGEST_DEADLINE, 3.0) + 0.7  # seconds from SIGTERM to SIGKILL: the soonest that the page allows
CPU_AT_REST = 0.3  # seconds of a processor in one second of rest
DESCRIPTORS_AT_REST = 100  # over those before the load: kept connections, wakers of resting workers, late answers
THREADS_MOST = 400
LATE_MOST = 100 * MS  # of the harness, over which a play that failed is played again
WAITED_MOST = 0.15  # share of the time in which work had no processor, the same
TRIES = 3  # of one seed on a machine that is short
CALM_WITHIN = 60.0  # seconds for which the next of them waits for processors
CLASSES = (
    Traffic(name="quick", share=2.0, deadline_ms=3_500, aim_ms=1_500, turn_tokens=(100, 600)),
    Traffic(name="keyed", share=1.0, deadline_ms=5_000, aim_ms=2_000, effect="keyed", turn_tokens=(100, 600)),
    Traffic(name="once", share=1.0, deadline_ms=4_000, aim_ms=1_500, effect="unsafe", turn_tokens=(100, 600)),
)
SEMANTICS = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}


@dataclass(frozen=True, slots=True)
class Size:
    """How large a play is."""

    nodes: int = 10
    prefill: int = 5
    decode: int = 6
    rate: float = 60.0  # new requests a second, over all nodes
    seconds: float = 20.0
    quiet: float = 4.0  # seconds after the last answer, in which all has to come to rest


@dataclass(slots=True)
class Result:
    """What came of one seed."""

    seed: int
    faults: list[Fault]
    violations: list[Violation]
    service: float
    requests: int
    lateness: int  # the harness's, at most, in nanoseconds
    machine_waited: float  # share of the time in which work had no processor
    evidence: Evidence
    began: int  # monotonic ns of the load's start

    @property
    def passed(self) -> bool:
        """Whether nothing was broken."""
        return not self.violations

    @property
    def machine_short(self) -> bool:
        """Whether harness or machine were so late that what was broken may be their own fault."""
        return self.lateness > LATE_MOST or self.machine_waited > WAITED_MOST


class _Metronome:
    """Measures by how much this process wakes up too late, and how long its links and engines take for a byte there and
    back: a link that carries late makes a node late."""

    def __init__(self, links: Links) -> None:
        self.samples: list[tuple[int, int]] = []
        self._stop = threading.Event()
        self._pulse = Pulse()
        self._pulse.start()
        self._echo = listen()
        link = links.add("harness", "echo", self._echo.getsockname())
        self._through = socket.create_connection(("127.0.0.1", link.port))
        threading.Thread(target=self._answer, daemon=True).start()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _answer(self) -> None:
        with contextlib.suppress(OSError), self._echo.accept()[0] as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while data := sock.recv(16):
                sock.sendall(data)

    def _run(self) -> None:
        while not self._stop.is_set():
            before = time.monotonic_ns()
            self._stop.wait(METRONOME)
            with contextlib.suppress(OSError):
                self._through.sendall(b"x")
                self._through.recv(16)
            now = time.monotonic_ns()
            self.samples.append((now, max(0, now - before - int(METRONOME * SECOND))))

    def stop(self) -> Lateness:
        self._stop.set()
        self._thread.join(2.0)
        self._pulse.stop()
        self._through.close()
        self._echo.close()
        return Lateness(self.samples, self._pulse.waits())


def settings(nodes: int, number: int) -> dict[str, Any]:
    """The settings of one node, nested as its configuration has them."""
    return {
        "me": number, "balancers": nodes, "zone": 0, "zones": ["a"], "kinds": ["prefill", "decode"],
        "bounds": {"max_attempts": 4, "cancel": True, "probing": True, "retry_after": True,
                   "conn_idle_ns": 30 * SECOND, "max_retry_after_ns": 500 * MS, "connect_timeout_ns": 250 * MS},
        "contract": {"stop_sending_within_ns": 250 * MS, "cold_from": 0.25, "warm_within_ns": 6 * SECOND,
                     "overload_factor": 3.0, "fall_ns": 3 * SECOND, "grace_to_answer_ns": 16 * MS},
        "family_info": {"role_by_kind": ["read", "write"], "kv_tokens": [270_601, 144_079], "may_reserve": True,
                        "aim_us_per_1000_prompt_tokens": [40_000.0] * len(CLASSES),
                        "token_aim_ns": [60 * MS] * len(CLASSES), "report_x0": "share_of_memory_that_is_held",
                        "release_within_ns": RELEASE_WITHIN,
                        "report_x1": "thousands_of_prompt_tokens_waiting_to_be_read_or_fetched"},
        "report": {"source": "inline", "fields": ["inflight", "queue", "x0", "x1"]},
        "request_classes": [
            {"name": each.name, "aim_ns": each.aim_ms * MS, "hard_limit_ns": each.deadline_ms * MS, "worth": each.worth,
             "late_worth": 0.3, "semantics": SEMANTICS[each.effect], "dedup_scope": "all", "key_ttl_ns": 5 * SECOND,
             "stream": True}
            for each in CLASSES],
        "tenants": [],
    }  # fmt: skip


def clients(rate: float) -> Clients:
    """How clients of a soak behave."""
    return Clients(rate=rate, classes=CLASSES, plain=0.0, kserve=0.0, leave_at_first=0.02, leave_early=0.04, slow=0.01,
                   half_close=0.01, stops=0.01, little_time=0.02, retries=1, retry_ms=30)  # fmt: skip


class Play:
    """One seed from start to verdict; ``folder`` takes logs, ``pinned`` sentences of the page are not drawn."""

    def __init__(
        self,
        seed: int,
        size: Size,
        folder: Path,
        faults: list[Fault] | None = None,
        trace: bool = False,
        clients_of: Clients | None = None,
        program: Path | None = None,
        pinned: Mapping[Sentence, object] | None = None,
    ) -> None:
        self.seed, self.size, self.folder = seed, size, folder
        self._program = program  # the checkout whose nodes are played; None: this one
        self.clients = clients_of or clients(size.rate)
        shutil.rmtree(folder, ignore_errors=True)  # a play reads its nodes' logs, and none of another's
        folder.mkdir(parents=True)
        self.world = Platform(size.prefill, size.decode, size.nodes)
        draws = random.Random(f"world/{seed}")
        self.world.latitude = Latitude(seed, pinned)
        self.world.work, self.world.pause = draws.uniform(0.005, 0.06), draws.uniform(0.005, 0.03)
        self._tap = Tap(folder / LINK_LOG)
        self.links = Links(self._tap, seed, begun=BEGUN)
        self._engine_links: dict[tuple[int, str], Link] = {}
        self._agent_links: list[Link] = []
        self._wire(size)
        engines = self.world.engines.values()
        prefill, decode = ([e.name for e in engines if e.decodes is decodes] for decodes in (False, True))
        self._drawn = faults is None  # a script may leave no engine to serve
        self.faults = draw(seed, size.seconds, size.nodes, prefill, decode) if faults is None else faults
        self._holders: list[socket.socket] = []  # nodes' ports are taken, also while their processes are away
        self.nodes = [self._node(number, trace) for number in range(size.nodes)]
        self._watch_faults: dict[int, list[tuple[int, int]]] = defaultdict(list)
        self._troubled: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self._findings: list[str] = []
        self._threads: list[threading.Thread] = []
        # A process gets its parent-death signal when the thread that started it ends (prctl(2)): one lasts.
        self._starter = ThreadPoolExecutor(1)

    def _wire(self, size: Size) -> None:
        for number in range(size.nodes):
            for name, engine in self.world.engines.items():
                link = self.links.add(f"n{number}", name, ("127.0.0.1", engine.port))
                self._engine_links[number, name] = link
            agent = self.world.agents[number]
            self._agent_links.append(self.links.add(f"n{number}", "discovery", ("127.0.0.1", agent.port)))
        self.world.endpoint = lambda node, name: self._engine_links[node, name].address

    def _node(self, number: int, trace: bool) -> Node:
        holder = bound()
        self._holders.append(holder)
        port: int = holder.getsockname()[1]
        told = settings(self.size.nodes, number)
        data = self.world.configuration(
            f"n{number}", number, port, self._agent_links[number].address, told, sockets=512
        )
        return Node(number, port, data, self.folder / f"n{number}", trace, self._program)

    # The play.

    def run(self) -> Result:
        """Play it.  Raises RuntimeError where a node does not start or the clients do not end."""
        metronome = _Metronome(self.links)
        load: Apart | None = None
        try:
            for node in self.nodes:
                self._start(node)
            for node in self.nodes:
                node.wait_up()
            before = [node.use() for node in self.nodes]
            load = Apart(self.clients, self.size.seconds, self.seed, self.folder, "platform")
            began = time.monotonic_ns()
            self._play(load, began)
            seen = load.join(LONGEST_DEADLINE + 61.0)
            self._rest(before)
            ended = time.monotonic_ns()
            lateness = metronome.stop()
            return self._judge(seen, lateness, began, ended)
        finally:
            if load is not None:
                load.end()
            for node in self.nodes:
                node.kill()
            self.links.stop()
            self.world.close()
            self._starter.shutdown()
            for holder in self._holders:
                holder.close()

    def _start(self, node: Node) -> None:
        self._starter.submit(node.start).result()

    def _play(self, load: Apart, began: int) -> None:
        pending = list(self.faults)
        end = began + int(self.size.seconds * SECOND)
        while (now := time.monotonic_ns()) < end:
            while pending and began + int(pending[0].at * SECOND) <= now:
                self._begin(pending.pop(0))
            for node in self.nodes:
                node.look()
            load.lead_to([n.address for n in self.nodes if n.part.alive and not n.lives[-1].told_to_end])
            time.sleep(0.02)
        for thread in self._threads:
            thread.join(KILL_AFTER + 40.0)
        load.lead_to([node.address for node in self.nodes])

    def _begin(self, fault: Fault) -> None:
        self.links.note("fault", text=fault.text())
        thread = threading.Thread(target=self._carry_out, args=(fault,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def _carry_out(self, fault: Fault) -> None:
        since = time.monotonic_ns()
        until = since + int((fault.seconds + 1.0) * SECOND)
        for engine in fault.engines:
            self._troubled[engine].append((since, until))
        try:
            _CARRIED_OUT[fault.kind](self, fault)
        except Exception as error:  # a fault that can't be played makes the play void, not green
            self._findings.append(f"harness: {fault.text()}: {type(error).__name__}: {error}")
        for engine in fault.engines:
            self._troubled[engine].append((since, time.monotonic_ns() + SECOND))

    def _links_to(self, fault: Fault) -> list[Link]:
        return [
            link
            for (node, engine), link in self._engine_links.items()
            if engine in fault.engines and fault.node in (-1, node)
        ]

    def change_links(self, fault: Fault, **policy: Any) -> None:
        """Links to a fault's engines do something until it ends."""
        links = self._links_to(fault)
        for link in links:
            self.links.change(link, **policy)
        time.sleep(fault.seconds)
        for link in links:
            self.links.change(link, **{name: type(value)() for name, value in policy.items()})

    def silence_kept(self, fault: Fault) -> None:
        """Connections that are open now fall silent."""
        links = self._links_to(fault)
        for link in links:
            self.links.silence_open(link)
        time.sleep(fault.seconds)
        for link in links:
            self.links.speak_again(link)

    def silence_kept_for_good(self, fault: Fault) -> None:
        """Connections that are open now fall silent; none of their bytes arrives, unless the end of another fault on
        the same links lets them."""
        for link in self._links_to(fault):
            self.links.silence_open(link)
        time.sleep(LONGEST_DEADLINE)  # by then no request waits on them

    def unreachable(self, fault: Fault) -> None:
        """New connections never come up."""
        links = self._links_to(fault)
        for link in links:
            self.links.unreachable(link, True)
        time.sleep(fault.seconds)
        for link in links:
            self.links.unreachable(link, False)

    def reset(self, fault: Fault) -> None:
        """All connections are reset."""
        for link in self._links_to(fault):
            self.links.reset(link)

    def kill_engine(self, fault: Fault) -> None:
        """An engine dies and comes back cold."""
        for engine in fault.engines:
            self.world.engines[engine].close()
        time.sleep(fault.seconds)
        for engine in fault.engines:
            self.world.restarted(engine)

    def trouble(self, fault: Fault) -> None:
        """An engine does something wrong."""
        for engine in fault.engines:
            self.world.engines[engine].trouble = fault.trouble
        time.sleep(fault.seconds)
        for engine in fault.engines:
            self.world.engines[engine].trouble = None

    def drain(self, fault: Fault) -> None:
        """An engine drains and comes back."""
        for engine in fault.engines:
            self.world.change(engine, "DRAINING")
        time.sleep(fault.seconds)
        for engine in fault.engines:
            self.world.change(engine, "SERVING")

    def silence_agent(self, fault: Fault) -> None:
        """A node's agent says nothing."""
        agent, since = self.world.agents[fault.node], time.monotonic_ns()
        agent.silent = True
        time.sleep(fault.seconds)
        agent.silent = False
        with self.world.changed:
            self.world.changed.notify_all()
        self._watch_faults[fault.node].append((since, time.monotonic_ns()))

    def silence_watch(self, fault: Fault) -> None:
        """A node's watch falls silent on its connection."""
        since = time.monotonic_ns()
        link = self._agent_links[fault.node]
        self.links.silence_open(link)
        time.sleep(fault.seconds)
        self.links.speak_again(link)
        self._watch_faults[fault.node].append((since, time.monotonic_ns()))

    def terminate(self, fault: Fault) -> None:
        """A node is told to end, and started again."""
        node = self.nodes[fault.node]
        with node.one_at_a_time:
            node.terminate(KILL_AFTER)
            self._start(node)
            node.wait_up()

    def kill_node(self, fault: Fault) -> None:
        """A node is killed, and started again."""
        node = self.nodes[fault.node]
        with node.one_at_a_time:
            node.kill()
            time.sleep(min(fault.seconds, 1.0))
            self._start(node)
            node.wait_up()

    def reload(self, fault: Fault) -> None:
        """A node reads its configuration again."""
        node = self.nodes[fault.node]
        with node.one_at_a_time:
            node.reload()

    def hold_up(self, fault: Fault) -> None:
        """A node is held up, several times."""
        node, until = self.nodes[fault.node], time.monotonic() + fault.seconds
        while time.monotonic() < until:
            with node.one_at_a_time:
                node.hold_up(HELD_UP)
            time.sleep(0.4)

    def crowd(self, fault: Fault) -> None:
        """Silent connections crowd a node, through its ends and restarts."""
        until = time.monotonic() + fault.seconds
        with Crowd(self.nodes[fault.node].address, fault.amount) as crowd:
            while time.monotonic() < until:
                crowd.look()
                time.sleep(CROWD_LOOK)
            self.links.note("crowd", node=fault.node, opened=crowd.opened, closed_by_node=crowd.closed_by_node)

    # Rest and verdict.

    def _rest(self, before: list[Use]) -> None:
        time.sleep(self.size.quiet)
        for node, first in zip(self.nodes, before, strict=True):
            with contextlib.suppress(OSError):
                cpu = node.use().cpu_seconds
                time.sleep(0.2)
                now = node.use()
                if (now.cpu_seconds - cpu) / 0.2 > CPU_AT_REST:
                    self._findings.append(f"{node.name} uses {(now.cpu_seconds - cpu) / 0.2:.2f} of a core at rest")
                if now.descriptors > first.descriptors + DESCRIPTORS_AT_REST:
                    self._findings.append(f"{node.name}: {first.descriptors} descriptors became {now.descriptors}")
                if now.threads > THREADS_MOST:
                    self._findings.append(f"{node.name}: {now.threads} threads at rest")
            node.look()
            self._findings += node.crashes

    def _judge(self, seen: list[Seen], lateness: Lateness, began: int, ended: int) -> Result:
        self.links.do(self._tap.flush)
        complaints = []
        for node in self.nodes:
            lines = node.log.read_text("utf-8", "replace").splitlines()
            complaints += [f"{node.name} {line}" for line in lines if " INVARIANT " in line]
            self._findings += [f"{node.name}: {line}" for line in lines if "Traceback" in line or " it goes on" in line]
        with self.world.lock:
            books = self.world.books
            evidence = Evidence(
                seen,
                list(books.arrivals),
                [*books.stays, *books.still_held()],
                read(self.folder / LINK_LOG),
                list(self.world.changes),
                {agent.node: list(agent.told) for agent in self.world.agents},
                dict(self._watch_faults),
                {node.number: node.lives for node in self.nodes},
                lateness,
                ended,
                dict(self._troubled),
                complaints,
                self._findings,
            )
        unsafe = frozenset(each.name for each in CLASSES if each.effect == "unsafe")
        oracle = Oracle(evidence, Terms(RELEASE_WITHIN, unsafe, SERVICE_LEAST if self._drawn else 0.0))
        late = lateness.own(began, ended)
        return Result(
            self.seed, self.faults, oracle.violations(), oracle.service(), len(seen), late, lateness.waits.share(),
            evidence, began)  # fmt: skip


def judged(
    make: Callable[[], Play],
    say: Callable[[str], None] = print,
    expected: Callable[[Result], bool] = lambda result: result.passed,
) -> Result:
    """Play a seed; again where what came of it is not what was expected and the machine was short, ``TRIES`` times in
    all, each of them said."""
    result = make().run()
    for tried in range(2, TRIES + 1):
        if expected(result) or not result.machine_short:
            break
        late, waited = result.lateness / MS, result.machine_waited
        say(
            f"seed {result.seed}: the machine was short (late by {late:.0f} ms, waited for {waited:.2f} of the time), "
            f"{len(result.violations)} violations; play {tried} of {TRIES}"
        )
        wait_for_processors(CALM_WITHIN)
        result = make().run()
    return result


_CARRIED_OUT: dict[Kind, Callable[[Play, Fault], None]] = {
    Kind.ENGINE_SILENT: lambda play, fault: play.change_links(fault, cut_there=True, cut_back=True),
    Kind.ROLE_SILENT: lambda play, fault: play.change_links(fault, cut_there=True, cut_back=True),
    Kind.KEPT_SILENT: Play.silence_kept,
    Kind.KEPT_SILENT_FOR_GOOD: Play.silence_kept_for_good,
    Kind.ONE_WAY_THERE: lambda play, fault: play.change_links(fault, cut_there=True),
    Kind.ONE_WAY_BACK: lambda play, fault: play.change_links(fault, cut_back=True),
    Kind.UNREACHABLE: Play.unreachable,
    Kind.SLOW_LINK: lambda play, fault: play.change_links(fault, delay=20 * MS, jitter=60 * MS, rate=20_000),
    Kind.BREAKS_IN_ANSWER: lambda play, fault: play.change_links(fault, break_after=fault.amount),
    Kind.RESETS: Play.reset,
    Kind.KILL_ENGINE: Play.kill_engine,
    Kind.TROUBLE: Play.trouble,
    Kind.DRAIN: Play.drain,
    Kind.DISCOVERY_SILENT: Play.silence_agent,
    Kind.WATCH_SILENT: Play.silence_watch,
    Kind.TERM: Play.terminate,
    Kind.KILL_NODE: Play.kill_node,
    Kind.HUP: Play.reload,
    Kind.STOP_NODE: Play.hold_up,
    Kind.CROWD: Play.crowd,
}
