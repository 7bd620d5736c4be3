"""The run of one seed: real node processes under drawn faults, judged by the oracle."""

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
from stonetrack.soak.faults import Fault, FaultKind, draw_faults
from stonetrack.soak.idle_connections import IdleConnections
from stonetrack.soak.nodes import Node, ResourceUsage
from stonetrack.soak.oracle import MIN_SERVED_SHARE, Evidence, Lateness, Limits, Oracle, Violation
from stonetrack.soak.platform import Platform, listen
from stonetrack.soak.unspecified import EngineBehaviour, Unspecified

MS = 1_000_000
SECOND = 1_000 * MS
REQUEST_ID = re.compile(rb"(?i)\r\nx-correlation-id: *([0-9A-Za-z_.:-]+)\r\n")
LINK_LOG = "links.jsonl"
MONITOR_INTERVAL = 0.01  # seconds
RELEASE_WITHIN = 500 * MS
SUSPEND_SECONDS = 0.15  # duration of one SIGSTOP
MAX_UNFINISHED_WATCH = 6.0  # seconds in which a node has to leave a watch that completes nothing
REFILL_INTERVAL = 0.05  # seconds between two calls of IdleConnections.refill()
LONGEST_DEADLINE = 5.0  # seconds; the maximum of the classes below
KILL_TIMEOUT = min(LONGEST_DEADLINE, 3.0) + 0.7  # seconds from SIGTERM to SIGKILL: the page's minimum
MAX_IDLE_CPU = 0.3  # processor seconds per second after the load
MAX_EXTRA_DESCRIPTORS = 100  # since before the load: pooled connections, wake-up pipes of idle workers, late answers
MAX_THREADS = 400
MAX_LATENESS = 100 * MS  # of the harness; a failed run with more is repeated
MAX_PROCESSOR_WAIT_SHARE = 0.15  # of the time in which work waited for a processor; as above
MAX_RUNS = 3  # of one seed while the machine's resources are exhausted
PROCESSOR_WAIT_TIMEOUT = 60.0  # seconds that a repeated run waits for free processors
CLASSES = (
    Traffic(name="quick", share=2.0, deadline_ms=3_500, aim_ms=1_500, turn_tokens=(100, 600)),
    Traffic(name="keyed", share=1.0, deadline_ms=5_000, aim_ms=2_000, effect="keyed", turn_tokens=(100, 600)),
    Traffic(name="once", share=1.0, deadline_ms=4_000, aim_ms=1_500, effect="unsafe", turn_tokens=(100, 600)),
)
SEMANTICS = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}


@dataclass(frozen=True, slots=True)
class RunSize:
    """The size of a run."""

    nodes: int = 10
    prefill: int = 5
    decode: int = 6
    rate: float = 60.0  # new requests a second, over all nodes
    seconds: float = 20.0
    quiet: float = 4.0  # seconds after the last answer until the nodes must be idle


@dataclass(slots=True)
class Result:
    """The result of one seed."""

    seed: int
    faults: list[Fault]
    violations: list[Violation]
    served_share: float
    requests: int
    lateness: int  # maximum of the harness in nanoseconds
    processor_wait_share: float  # share of the time in which work waited for a processor
    evidence: Evidence
    load_started: int  # monotonic nanoseconds

    @property
    def passed(self) -> bool:
        """Whether there are no violations."""
        return not self.violations

    @property
    def resources_exhausted(self) -> bool:
        """Whether harness or machine were late enough to have caused the violations."""
        return self.lateness > MAX_LATENESS or self.processor_wait_share > MAX_PROCESSOR_WAIT_SHARE


class _LatenessMonitor:
    """Measures the lateness of this process.

    A sample is the delay of a timed wake-up plus the round trip of a byte through a link: a late link delays the nodes.
    """

    def __init__(self, links: Links) -> None:
        self.samples: list[tuple[int, int]] = []
        self._stop = threading.Event()
        self._pulse = Pulse()
        self._pulse.start()
        self._echo_listener = listen()
        link = links.add("harness", "echo", self._echo_listener.getsockname())
        self._probe_connection = socket.create_connection(("127.0.0.1", link.port))
        threading.Thread(target=self._echo_bytes, daemon=True).start()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _echo_bytes(self) -> None:
        with contextlib.suppress(OSError), self._echo_listener.accept()[0] as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while data := sock.recv(16):
                sock.sendall(data)

    def _run(self) -> None:
        while not self._stop.is_set():
            before = time.monotonic_ns()
            self._stop.wait(MONITOR_INTERVAL)
            with contextlib.suppress(OSError):
                self._probe_connection.sendall(b"x")
                self._probe_connection.recv(16)
            now = time.monotonic_ns()
            self.samples.append((now, max(0, now - before - int(MONITOR_INTERVAL * SECOND))))

    def stop(self) -> Lateness:
        self._stop.set()
        self._thread.join(2.0)
        self._pulse.stop()
        self._probe_connection.close()
        self._echo_listener.close()
        return Lateness(self.samples, self._pulse.waits())


def node_settings(nodes: int, number: int) -> dict[str, Any]:
    """The settings of one node, in the structure of its configuration file."""
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


def soak_clients(rate: float) -> Clients:
    """The behaviour of a soak's clients at ``rate`` new requests per second."""
    return Clients(rate=rate, classes=CLASSES, plain=0.0, kserve=0.0, leave_at_first=0.02, leave_early=0.04, slow=0.01,
                   half_close=0.01, stops=0.01, little_time=0.02, retries=1, retry_ms=30)  # fmt: skip


class SeedRun:
    """The run of one seed, up to its verdict; ``folder`` receives the logs, ``pinned`` choices are not drawn."""

    def __init__(
        self,
        seed: int,
        size: RunSize,
        folder: Path,
        faults: list[Fault] | None = None,
        trace: bool = False,
        client_settings: Clients | None = None,
        program: Path | None = None,
        pinned: Mapping[Unspecified, object] | None = None,
    ) -> None:
        self.seed, self.size, self.folder = seed, size, folder
        self._program = program  # checkout that the nodes run from; None: this one
        self.client_settings = client_settings or soak_clients(size.rate)
        shutil.rmtree(folder, ignore_errors=True)  # logs of an earlier run would be judged as well
        folder.mkdir(parents=True)
        self.platform = Platform(size.prefill, size.decode, size.nodes)
        random_source = random.Random(f"world/{seed}")
        self.platform.behaviour = EngineBehaviour(seed, pinned)
        self.platform.work_seconds, self.platform.event_interval = (
            random_source.uniform(0.005, 0.06),
            random_source.uniform(0.005, 0.03),
        )
        self._tap = Tap(folder / LINK_LOG)
        self.links = Links(self._tap, seed, begun=REQUEST_ID)
        self._engine_links: dict[tuple[int, str], Link] = {}
        self._agent_links: list[Link] = []
        self._create_links(size)
        engines = self.platform.engines.values()
        prefill, decode = ([e.name for e in engines if e.is_decode is is_decode] for is_decode in (False, True))
        self._faults_drawn = faults is None  # given faults may leave no engine that serves
        self.faults = draw_faults(seed, size.seconds, size.nodes, prefill, decode) if faults is None else faults
        self._port_holders: list[socket.socket] = []  # keep the nodes' ports bound while their processes are down
        self.nodes = [self._create_node(number, trace) for number in range(size.nodes)]
        self._watch_faults: dict[int, list[tuple[int, int]]] = defaultdict(list)
        self._faulty_periods: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self._findings: list[str] = []
        self._threads: list[threading.Thread] = []
        # A process gets its parent-death signal when the thread that started it ends (prctl(2)): keep one thread.
        self._start_executor = ThreadPoolExecutor(1)

    def _create_links(self, size: RunSize) -> None:
        for number in range(size.nodes):
            for name, engine in self.platform.engines.items():
                link = self.links.add(f"n{number}", name, ("127.0.0.1", engine.port))
                self._engine_links[number, name] = link
            agent = self.platform.agents[number]
            self._agent_links.append(self.links.add(f"n{number}", "discovery", ("127.0.0.1", agent.port)))
        self.platform.endpoint_of = lambda node, name: self._engine_links[node, name].address

    def _create_node(self, number: int, trace: bool) -> Node:
        holder = bound()
        self._port_holders.append(holder)
        port: int = holder.getsockname()[1]
        configuration = node_settings(self.size.nodes, number)
        data = self.platform.configuration(
            f"n{number}", number, port, self._agent_links[number].address, configuration, sockets=512
        )
        return Node(number, port, data, self.folder / f"n{number}", trace, self._program)

    # The run.

    def run(self) -> Result:
        """Run the seed.  Raises RuntimeError if a node does not start or the clients do not end."""
        monitor = _LatenessMonitor(self.links)
        load: Apart | None = None
        try:
            for node in self.nodes:
                self._start(node)
            for node in self.nodes:
                node.wait_until_up()
            before = [node.resource_usage() for node in self.nodes]
            load = Apart(self.client_settings, self.size.seconds, self.seed, self.folder, "platform")
            load_started = time.monotonic_ns()
            self._inject_faults(load, load_started)
            client_records = load.join(LONGEST_DEADLINE + 61.0)
            self._check_idle(before)
            ended = time.monotonic_ns()
            lateness = monitor.stop()
            return self._judge(client_records, lateness, load_started, ended)
        finally:
            if load is not None:
                load.end()
            for node in self.nodes:
                node.kill()
            self.links.stop()
            self.platform.close()
            self._start_executor.shutdown()
            for holder in self._port_holders:
                holder.close()

    def _start(self, node: Node) -> None:
        self._start_executor.submit(node.start).result()

    def _inject_faults(self, load: Apart, load_started: int) -> None:
        pending = list(self.faults)
        end = load_started + int(self.size.seconds * SECOND)
        while (now := time.monotonic_ns()) < end:
            while pending and load_started + int(pending[0].at * SECOND) <= now:
                self._start_fault(pending.pop(0))
            for node in self.nodes:
                node.check_exit()
            load.lead_to(
                [n.address for n in self.nodes if n.process.alive and not n.process_runs[-1].termination_requested]
            )
            time.sleep(0.02)
        for thread in self._threads:
            thread.join(KILL_TIMEOUT + 40.0)
        load.lead_to([node.address for node in self.nodes])

    def _start_fault(self, fault: Fault) -> None:
        self.links.note("fault", text=fault.describe())
        thread = threading.Thread(target=self._inject, args=(fault,), daemon=True)
        self._threads.append(thread)
        thread.start()

    def _inject(self, fault: Fault) -> None:
        since = time.monotonic_ns()
        until = since + int((fault.seconds + 1.0) * SECOND)
        for engine in fault.engines:
            self._faulty_periods[engine].append((since, until))
        try:
            _INJECTORS[fault.kind](self, fault)
        except Exception as error:  # a fault that cannot be injected makes the run fail, not pass
            self._findings.append(f"harness: {fault.describe()}: {type(error).__name__}: {error}")
        for engine in fault.engines:
            self._faulty_periods[engine].append((since, time.monotonic_ns() + SECOND))

    def _fault_links(self, fault: Fault) -> list[Link]:
        return [
            link
            for (node, engine), link in self._engine_links.items()
            if engine in fault.engines and fault.node in (-1, node)
        ]

    def change_links(self, fault: Fault, **policy: Any) -> None:
        """Apply a policy to the links to the fault's engines until the fault ends."""
        links = self._fault_links(fault)
        for link in links:
            self.links.change(link, **policy)
        time.sleep(fault.seconds)
        for link in links:
            self.links.change(link, **{name: type(value)() for name, value in policy.items()})

    def silence_open_connections(self, fault: Fault) -> None:
        """Silence the connections that are open now."""
        links = self._fault_links(fault)
        for link in links:
            self.links.silence_open(link)
        time.sleep(fault.seconds)
        for link in links:
            self.links.speak_again(link)

    def silence_open_connections_permanently(self, fault: Fault) -> None:
        """Silence the connections that are open now for good; the end of another fault on the same links may still let
        their bytes pass."""
        for link in self._fault_links(fault):
            self.links.silence_open(link)
        time.sleep(LONGEST_DEADLINE)  # afterwards no request waits on them

    def unreachable(self, fault: Fault) -> None:
        """Let new connections to the fault's engines never be established."""
        links = self._fault_links(fault)
        for link in links:
            self.links.unreachable(link, True)
        time.sleep(fault.seconds)
        for link in links:
            self.links.unreachable(link, False)

    def reset(self, fault: Fault) -> None:
        """Reset all connections to the fault's engines."""
        for link in self._fault_links(fault):
            self.links.reset(link)

    def kill_engine(self, fault: Fault) -> None:
        """Kill engines and restart them with empty caches."""
        for engine in fault.engines:
            self.platform.engines[engine].close()
        time.sleep(fault.seconds)
        for engine in fault.engines:
            self.platform.restart_engine(engine)

    def inject_engine_fault(self, fault: Fault) -> None:
        """Let engines misbehave until the fault ends."""
        for engine in fault.engines:
            self.platform.engines[engine].fault = fault.engine_fault
        time.sleep(fault.seconds)
        for engine in fault.engines:
            self.platform.engines[engine].fault = None

    def drain(self, fault: Fault) -> None:
        """Drain engines and return them to service."""
        for engine in fault.engines:
            self.platform.change_state(engine, "DRAINING")
        time.sleep(fault.seconds)
        for engine in fault.engines:
            self.platform.change_state(engine, "SERVING")

    def silence_agent(self, fault: Fault) -> None:
        """Silence a node's discovery agent."""
        agent, since = self.platform.agents[fault.node], time.monotonic_ns()
        agent.silent = True
        time.sleep(fault.seconds)
        agent.silent = False
        with self.platform.changed:
            self.platform.changed.notify_all()
        self._watch_faults[fault.node].append((since, time.monotonic_ns()))

    def silence_watch(self, fault: Fault) -> None:
        """Silence the connection of a node's watch."""
        since = time.monotonic_ns()
        link = self._agent_links[fault.node]
        self.links.silence_open(link)
        time.sleep(fault.seconds)
        self.links.speak_again(link)
        self._watch_faults[fault.node].append((since, time.monotonic_ns()))

    def leave_watch_unfinished(self, fault: Fault) -> None:
        """Let a node's watches go on with bytes that complete nothing; each stays so until the node closes it."""
        agent, since = self.platform.agents[fault.node], time.monotonic_ns()
        agent.unfinished = True
        with self.platform.changed:
            self.platform.changed.notify_all()
        time.sleep(fault.seconds)
        agent.unfinished = False
        until = time.monotonic() + MAX_UNFINISHED_WATCH
        while agent.unfinished_watches and time.monotonic() < until:
            time.sleep(0.02)
        self._watch_faults[fault.node].append((since, time.monotonic_ns()))

    def terminate(self, fault: Fault) -> None:
        """Terminate a node by SIGTERM and restart it."""
        node = self.nodes[fault.node]
        with node.control_lock:
            node.terminate(KILL_TIMEOUT)
            self._start(node)
            node.wait_until_up()

    def kill_node(self, fault: Fault) -> None:
        """Kill a node and restart it."""
        node = self.nodes[fault.node]
        with node.control_lock:
            node.kill()
            time.sleep(min(fault.seconds, 1.0))
            self._start(node)
            node.wait_until_up()

    def reload(self, fault: Fault) -> None:
        """Let a node reload its configuration."""
        node = self.nodes[fault.node]
        with node.control_lock:
            node.reload()

    def suspend(self, fault: Fault) -> None:
        """Suspend a node repeatedly."""
        node, until = self.nodes[fault.node], time.monotonic() + fault.seconds
        while time.monotonic() < until:
            with node.control_lock:
                node.suspend(SUSPEND_SECONDS)
            time.sleep(0.4)

    def open_idle_connections(self, fault: Fault) -> None:
        """Keep idle connections open to a node, also while it terminates and restarts."""
        until = time.monotonic() + fault.seconds
        with IdleConnections(self.nodes[fault.node].address, fault.amount) as connections:
            while time.monotonic() < until:
                connections.refill()
                time.sleep(REFILL_INTERVAL)
            self.links.note(
                "crowd", node=fault.node, opened=connections.opened, closed_by_node=connections.closed_by_node
            )

    # Idle state and verdict.

    def _check_idle(self, before: list[ResourceUsage]) -> None:
        time.sleep(self.size.quiet)
        for node, first in zip(self.nodes, before, strict=True):
            with contextlib.suppress(OSError):
                cpu = node.resource_usage().cpu_seconds
                time.sleep(0.2)
                now = node.resource_usage()
                if (now.cpu_seconds - cpu) / 0.2 > MAX_IDLE_CPU:
                    self._findings.append(f"{node.name} uses {(now.cpu_seconds - cpu) / 0.2:.2f} of a core at rest")
                if now.descriptors > first.descriptors + MAX_EXTRA_DESCRIPTORS:
                    self._findings.append(f"{node.name}: {first.descriptors} descriptors became {now.descriptors}")
                if now.threads > MAX_THREADS:
                    self._findings.append(f"{node.name}: {now.threads} threads at rest")
            node.check_exit()
            self._findings += node.crashes

    def _judge(self, client_records: list[Seen], lateness: Lateness, load_started: int, ended: int) -> Result:
        self.links.do(self._tap.flush)
        invariant_log_lines = []
        for node in self.nodes:
            lines = node.log_path.read_text("utf-8", "replace").splitlines()
            invariant_log_lines += [f"{node.name} {line}" for line in lines if " INVARIANT " in line]
            self._findings += [f"{node.name}: {line}" for line in lines if "Traceback" in line or " it goes on" in line]
        with self.platform.lock:
            records = self.platform.state_records
            evidence = Evidence(
                client_records,
                list(records.arrivals),
                [*records.history, *records.still_held()],
                read(self.folder / LINK_LOG),
                list(self.platform.changes),
                {agent.node: list(agent.deliveries) for agent in self.platform.agents},
                dict(self._watch_faults),
                {node.number: node.process_runs for node in self.nodes},
                lateness,
                ended,
                dict(self._faulty_periods),
                invariant_log_lines,
                self._findings,
            )
        unsafe = frozenset(each.name for each in CLASSES if each.effect == "unsafe")
        oracle = Oracle(evidence, Limits(RELEASE_WITHIN, unsafe, MIN_SERVED_SHARE if self._faults_drawn else 0.0))
        late = lateness.harness_maximum(load_started, ended)
        return Result(
            self.seed, self.faults, oracle.violations(), oracle.served_share(), len(client_records), late,
            lateness.waits.share(), evidence, load_started)  # fmt: skip


def run_with_retries(
    create_run: Callable[[], SeedRun],
    output: Callable[[str], None] = print,
    expected: Callable[[Result], bool] = lambda result: result.passed,
) -> Result:
    """Run a seed; repeat the run, at most ``MAX_RUNS`` in total, if its result is not the expected one and resources
    were exhausted.  Each repetition is reported to ``output``."""
    result = create_run().run()
    for number in range(2, MAX_RUNS + 1):
        if expected(result) or not result.resources_exhausted:
            break
        late, waited = result.lateness / MS, result.processor_wait_share
        output(
            f"seed {result.seed}: resources were exhausted (late by {late:.0f} ms, waited for {waited:.2f} of the "
            f"time), {len(result.violations)} violations; run {number} of {MAX_RUNS}"
        )
        wait_for_processors(PROCESSOR_WAIT_TIMEOUT)
        result = create_run().run()
    return result


_INJECTORS: dict[FaultKind, Callable[[SeedRun, Fault], None]] = {
    FaultKind.ENGINE_SILENT: lambda run, fault: run.change_links(fault, cut_there=True, cut_back=True),
    FaultKind.ROLE_SILENT: lambda run, fault: run.change_links(fault, cut_there=True, cut_back=True),
    FaultKind.KEPT_SILENT: SeedRun.silence_open_connections,
    FaultKind.KEPT_SILENT_FOR_GOOD: SeedRun.silence_open_connections_permanently,
    FaultKind.ONE_WAY_THERE: lambda run, fault: run.change_links(fault, cut_there=True),
    FaultKind.ONE_WAY_BACK: lambda run, fault: run.change_links(fault, cut_back=True),
    FaultKind.UNREACHABLE: SeedRun.unreachable,
    FaultKind.SLOW_LINK: lambda run, fault: run.change_links(fault, delay=20 * MS, jitter=60 * MS, rate=20_000),
    FaultKind.BREAKS_IN_ANSWER: lambda run, fault: run.change_links(fault, break_after=fault.amount),
    FaultKind.RESETS: SeedRun.reset,
    FaultKind.KILL_ENGINE: SeedRun.kill_engine,
    FaultKind.TROUBLE: SeedRun.inject_engine_fault,
    FaultKind.DRAIN: SeedRun.drain,
    FaultKind.DISCOVERY_SILENT: SeedRun.silence_agent,
    FaultKind.WATCH_SILENT: SeedRun.silence_watch,
    FaultKind.WATCH_UNFINISHED: SeedRun.leave_watch_unfinished,
    FaultKind.TERM: SeedRun.terminate,
    FaultKind.KILL_NODE: SeedRun.kill_node,
    FaultKind.HUP: SeedRun.reload,
    FaultKind.STOP_NODE: SeedRun.suspend,
    FaultKind.CROWD: SeedRun.open_idle_connections,
}
