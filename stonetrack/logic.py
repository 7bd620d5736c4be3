"""All routing decisions of stonetrack.  The interface (settings, events, actions) is stonetrack/api.py.

A Router makes the decisions of one node; they depend on its events alone.  Order of the code: tables, scores, choice of
servers, health, life of a request.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from math import exp
from zlib import crc32

from stonetrack import api
from stonetrack.api import Effect, ListKind, Outcome, Role, ServerState

MS = 1_000_000  # nanoseconds
SECOND = 1_000 * MS

# Constants of the algorithm (docs/design.md).  Names in _NS are durations in nanoseconds.
WEIGHT_PREFIX, WEIGHT_LOAD, WEIGHT_MEMORY = 3.0, 2.0, 2.0
WEIGHT_SUM = WEIGHT_PREFIX + WEIGHT_LOAD + WEIGHT_MEMORY
BLOCK_TOKENS = 16  # tokens of a block of a prefix cache
MAX_TABLE_BLOCKS = 31_250  # blocks remembered for one server
# A cell is left where its least loaded decode engine has more than mean * factor + streams.
CELL_EXIT_FACTOR, CELL_EXIT_STREAMS = 1.3, 2.0
REPORT_HALF_LIFE_NS = 2 * SECOND  # in which a load report's distance from the mean halves
NOISE_REQUESTS = 4  # differences below the prefill work of so many requests, or so many held states, are noise
TIE_SCORE_MARGIN = WEIGHT_LOAD / 2 / WEIGHT_SUM  # scores this close tie for a key that no table of this node holds
FRESH_REPORT_NS = SECOND // 2  # up to this age a report is taken for the present load
PROBE_WAIT_NS = 40 * MS  # for which a request waits for the reports it has asked for
ENGINES_PER_REPLICA = 6  # a shared prefix has one preferred replica for so many prefill engines, in powers of two

SWEEP_INTERVAL_NS = 50 * MS  # between checks of waiting and unanswered requests, while there are any
ANSWER_MARGIN_NS = 60 * MS  # before its client leaves, a waiting request gets its final answer
RELEASE_TIME_SHARE = 0.7  # of the time for which a state may be held with no attempt out
TIMEOUT_SHARE = 0.5  # of the time left to the latency target, then to the deadline: no attempt is late before that
TIMELY_SHARE = 0.15  # of the latency target: an outcome within it is timely and shows that requests get through
CANCEL_BUDGET_STEP, MAX_CANCEL_BUDGET = 0.3, 3.0  # cancellations that a timely outcome adds, and most that are saved up

CROWDED_SHARE = 0.4  # of the latency target: a prefill engine above it yields to one below it
MAX_ADMIT_SHARE, MIN_ADMIT_SHARE = 0.9, 0.5  # of the latency target, for the expected wait: at top utility, at none

MIN_EJECTION_NS, MAX_EJECTION_NS = 300 * MS, 16 * SECOND  # for which a server that failed is ejected
CLASS_REJECTION_SHARE = 0.05  # of the latency target: a rejection that took longer is meant for the class alone
RECENT_SUCCESS_NS = 20 * SECOND  # for which a success recommends a server to a further attempt
QUOTA_BURST_NS = 4 * SECOND  # a tenant may use this much of its quota at once
MAX_DECODE_WAIT_NS = 200 * MS  # a decode engine whose first tokens take longer has no room
# A server in slow start that may get N calls in a window fails at more than N + 2 sqrt(N) + 2 (under 30: at more than
# N + 3 sqrt(N) + 3).  Its calls are a random count: each request goes there by a hash.  A Poisson count of mean 0.63 N
# passes that bound with a chance below one in a million for every N (N = 30 is the tightest: mean 19, bound 42.9).
# Where the arrivals jump to three times what the fleet carries, what is seen of them lags by a quarter of the window,
# so the first window gets up to 1.5 times the mean.  So the mean aimed at is 0.63 / 1.5 of N.
SLOW_START_TARGET_SHARE = 0.42
FLOW_DECAY_SHARE = 0.25  # of the slow-start window: mean time for which an arrival or a success counts
MIN_FLOW_DECAY_NS = SECOND // 4
PRIOR_CARRIED_SHARE = 1 / 3  # of the arrivals, assumed carried while nothing is known: three times capacity may arrive
PRIOR_WEIGHT_REQUESTS = 1.0  # the prior counts as so many requests
MIN_PACE_SAMPLES = 3  # outcomes of a role from which its latency is known
SMOOTHING_WEIGHT = 0.2  # of a new sample in running means

ALL_CLASSES = -1  # key of an ejection that holds for every class
ARRIVALS, PREFILLS, DECODES = "arrivals", "reads", "writes"  # what is counted of the flow: the last two at warm servers
MAY_HAVE_RUN = (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)  # the request may have been run
ENGINE_ANSWERED = (Outcome.READ, Outcome.SERVED, Outcome.ERROR, Outcome.FULL)  # the engine answered: it had arrived


class Phase(Enum):
    """State of a request: what is out or held for it, and after the semicolon the timer that bounds that."""

    WAITING = "held"  # no attempt out, perhaps a held state; the sweep ends the request or releases the state in time
    PREFILLING = "reading"  # an attempt at a prefill engine; the attempt's time limit
    DECODING = "writing"  # an attempt at a decode engine, and a held state; the attempt's time limit
    STREAMING = "streaming"  # the stream to the client; the stream's end
    ENDED = "ended"  # answered, an attempt still out; that attempt's outcome


@dataclass(slots=True)
class RunningStats:
    """Running mean and deviation of a value, and the mean of the units of work it was measured over."""

    mean: float = 0.0
    deviation: float = 0.0
    mean_units: float = 0.0
    count: int = 0
    updated_at: int = 0

    def recent_ratio(self, now: int, gap: float = 0.0) -> float:
        """The ratio, halved for each second without a sample beyond ``gap``, the usual time between samples.

        A node that refuses all requests gets no samples, and would refuse for ever."""
        return self.ratio() * float(0.5 ** max(0.0, (now - self.updated_at - gap) / SECOND - 0.5))

    def add(self, value: float, units: float, now: int = 0) -> None:
        self.updated_at = now
        self.count += 1
        share = max(SMOOTHING_WEIGHT / 2, 1.0 / self.count)
        self.deviation += share * (abs(value - self.mean) * (self.count > 1) - self.deviation)
        self.mean += share * (value - self.mean)
        self.mean_units += share * (units - self.mean_units)

    def ratio(self) -> float:
        """Mean value for one unit of work."""
        return self.mean / self.mean_units if self.mean_units else 0.0


@dataclass(slots=True)
class Ejection:
    """Time for which a server is ejected; each further ejection in a row is twice as long."""

    until: int = 0
    duration: int = 0


class PrefixTable:
    """Keys of prefixes that this router sent to one server, least recently used first, bounded in blocks."""

    def __init__(self, max_blocks: int) -> None:
        self.max_blocks = max_blocks
        self.blocks = 0
        self.entries: OrderedDict[str, tuple[int, int]] = OrderedDict()  # tokens expected in its cache, when sent

    def record(self, key: str, tokens: int, now: int) -> None:
        self.drop(key)
        if tokens >= BLOCK_TOKENS:
            self.entries[key] = (tokens // BLOCK_TOKENS * BLOCK_TOKENS, now)
            self.blocks += tokens // BLOCK_TOKENS
        while self.blocks > self.max_blocks:
            self.drop(next(iter(self.entries)))

    def drop(self, key: str) -> None:
        if (entry := self.entries.pop(key, None)) is not None:
            self.blocks -= entry[0] // BLOCK_TOKENS


@dataclass(slots=True)
class Server:
    """What this router knows of one server.  Streams, states and attempts are those of this router."""

    name: str
    role: Role
    prefix_table: PrefixTable
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    started: int = 0
    state: ServerState = ServerState.UP
    report: api.LoadReport | None = None
    report_at: int = 0
    streams_at_report: int = 0
    tokens_at_report: float = 0.0  # pending_tokens when the report came
    unanswered: dict[str, int] = field(default_factory=dict)  # by request: when its attempt, not yet answered, was sent
    cell_load_ratio: float = 1.0  # streams from its cell's prefill engines over the mean, if no request left the cell
    pending_tokens: float = 0.0  # to be prefilled in the attempts out
    held_states: int = 0
    streams: int = 0  # attempts out that may answer
    ejections: dict[int, Ejection] = field(default_factory=dict)  # by class, or ALL_CLASSES
    cancels_in_a_row: int = 0
    class_success_at: dict[int, int] = field(default_factory=dict)  # by class: time of its last success
    success_at: int = 0  # time of the last success
    success_sent_at: int = 0  # send time of the attempt sent last of those that succeeded
    unit_latency: float = 0.0  # smoothed: of a prefill for each token queued, of a first token for each attempt waiting
    slow_start_until: int = 0


@dataclass(slots=True)
class Request:
    """One request and what is out or held for it."""

    name: str
    class_settings: api.RequestClass
    class_index: int
    over_quota: bool  # its tenant has used up its quota at this node
    session: str
    prefix_keys: tuple[tuple[str, int], ...]  # keys of prefix tables and the tokens each covers, widest shared first
    second_key: str  # names the prefill engine that is the alternative to that of the first key
    prompt_tokens: int
    latency_target: float  # from the arrival to a first token of full utility
    arrived_at: int
    deadline: int
    phase: Phase = Phase.WAITING
    attempts: int = 0
    server: str = ""  # of the attempt out
    sent_at: int = 0
    late_at: float = 0.0  # from when the attempt out is late
    decoding: bool = False  # the attempt out may answer, so it counts as a stream of its server
    prefill_tokens: float = 0.0  # to be prefilled by the attempt out
    queued_units: float = 1.0  # those and what this router sent there before: tokens, or at decode engines attempts
    expected_share: float = 0.0  # of the latency target that the first token takes, by the last estimate
    state_server: str = ""  # where a state is held
    may_hold_state: bool = False  # somewhere: a state that may be held is released on every path but a first token
    state_held_since: int = 0  # end of the last attempt known to have arrived: the state has no attempt out since then
    failed_servers: tuple[str, ...] = ()  # not to be tried again while others are up
    slow_start_servers: tuple[str, ...] = ()  # sent to in their slow start: never again, which keeps their budget
    probed_servers: tuple[str, ...] = ()  # asked for their reports before the first send
    probed_at: int = 0
    first_run_server: str = ""  # the first where it may have run
    first_run_sent_at: int = 0

    def capped_target(self) -> float:
        """The latency target, or the client's time where that is shorter."""
        return min(self.latency_target, float(self.deadline - self.arrived_at))


class Router:
    """Decisions of one node: :meth:`handle` takes an event and returns actions to carry out.  No randomness.

    ``max_prefix_entries`` bounds the prefixes remembered for all servers together; a process may set what its memory
    allows.
    """

    max_prefix_entries = 1_000_000

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.now = 0
        self.actions: list[api.Action] = []
        self.servers: dict[str, Server] = {}
        self.requests: dict[str, Request] = {}
        self.waiting_requests: dict[str, None] = {}  # in Phase.WAITING
        self.unanswered_requests: dict[str, None] = {}  # with an attempt out that has not been answered
        self.pools: dict[Role, list[Server]] = {role: [] for role in Role}  # servers that are up
        self.reports_by_probe = settings.may_probe and settings.report_source is api.ReportSource.PROBES
        self.prefix_replicas = 1  # preferred replicas of each shared prefix
        self.arrival_interval, self.last_arrival_at = 0.0, 0  # of this node: mean nanoseconds between arrivals
        self.class_rejected_at: dict[int, int] = {}  # by class: last rejection that was meant for the class
        self.cancel_budget = MAX_CANCEL_BUDGET  # late attempts that may be cancelled
        self.latency = {role: RunningStats() for role in Role}
        self.prefill_work = RunningStats()  # tokens to be prefilled for one request
        self.quota_left: dict[int, tuple[float, int]] = {}  # by tenant: requests left within its quota, and when
        self.flow: dict[str, tuple[float, int]] = {}  # decaying counts of ARRIVALS, PREFILLS and DECODES, and when
        self.subscribe_at = 0
        self.timer_set = False

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event; the actions are to be carried out in order."""
        self.now = max(now, self.now)
        self.actions = []
        if isinstance(event, api.RequestArrived):
            self._request_arrived(event)
        elif isinstance(event, api.AttemptEnded):
            self._attempt_ended(event)
        elif isinstance(event, api.FirstToken):
            self._first_token(event)
        elif isinstance(event, api.TimerFired):
            self.timer_set = False
            self._sweep()
        elif isinstance(event, api.ServerList):
            self._apply_server_list(event)
        elif isinstance(event, api.ProbeEnded):
            self._probe_ended(event)
        elif isinstance(event, api.RequestGone):
            request = self.requests.get(event.request)
            if request is not None and request.phase is not Phase.ENDED:
                self._finish(request)
        if not self.timer_set and (self.waiting_requests or self.unanswered_requests or self.subscribe_at):
            self.timer_set = True
            self.actions.append(api.SetTimer(0, SWEEP_INTERVAL_NS))
        return self.actions

    def adopt(self, settings: api.Settings) -> None:
        """Change the settings and keep tables, latencies, counts and open requests; a request keeps the class settings
        it came with.  Classes and tenants keep their positions, new ones follow them; kinds do not change.

        Raises ValueError otherwise, with nothing changed."""
        for what, old, new in (
            ("classes", [c.name for c in self.settings.classes], [c.name for c in settings.classes]),
            ("tenants", [t.name for t in self.settings.tenants], [t.name for t in settings.tenants]),
        ):
            if new[: len(old)] != old:
                raise ValueError(f"settings: {what} {new}: {old} have to come first")
        if settings.kinds != self.settings.kinds:
            raise ValueError("settings: kinds can't change while servers of them are known")
        self.settings = settings
        self.reports_by_probe = settings.may_probe and settings.report_source is api.ReportSource.PROBES

    # The server list.

    def _apply_server_list(self, event: api.ServerList) -> None:
        if event.kind in (ListKind.SAVED, ListKind.FAILED):
            retry_at = self.now + SECOND * (event.kind is ListKind.FAILED)
            self.subscribe_at = retry_at if self.settings.list_on_request else 0
        listed = {entry.server for entry in event.entries}
        for entry in event.entries:
            if not 0 <= entry.kind < len(self.settings.kinds):
                raise ValueError(f"server {entry.server}: unknown kind {entry.kind}")
            self._apply_entry(entry)
        for server in self.servers.values():
            if event.kind in (ListKind.SAVED, ListKind.FULL) and server.name not in listed:
                server.state = ServerState.REMOVED
        for removed in [s for s in self.servers.values() if s.state is ServerState.REMOVED]:
            if not (removed.unanswered or removed.streams or removed.held_states):
                del self.servers[removed.name]
        for role, pool in self.pools.items():
            pool[:] = [s for s in self.servers.values() if s.role is role and s.state is ServerState.UP]
        prefill, decode = self.pools[Role.PREFILL], self.pools[Role.DECODE]
        self.prefix_replicas = 1 << max(0, (len(prefill) // ENGINES_PER_REPLICA).bit_length() - 1)
        if self._probes_prefill():
            self.prefix_replicas = max(2, self.prefix_replicas // 2)  # half as many: each session uses two of them
        prefill_in, decode_in = Counter(s.cell for s in prefill), Counter(s.cell for s in decode)
        for s in decode:
            s.cell_load_ratio = prefill_in[s.cell] / max(len(prefill), 1) * len(decode) / decode_in[s.cell]

    def _apply_entry(self, entry: api.ServerEntry) -> None:
        server = self.servers.get(entry.server)
        kind = self.settings.kinds[entry.kind]
        if server is None and entry.state is ServerState.REMOVED:
            return
        if server is None:
            blocks = min(MAX_TABLE_BLOCKS, kind.memory_tokens // BLOCK_TOKENS or MAX_TABLE_BLOCKS)
            server = self.servers[entry.server] = Server(entry.server, kind.role, PrefixTable(blocks))
        elif entry.started != server.started and entry.state is ServerState.UP:
            # It restarted: its cache is empty, and its slow start begins.
            server.prefix_table, server.report = PrefixTable(server.prefix_table.max_blocks), None
        server.state, server.role, server.started = entry.state, kind.role, entry.started
        server.slow_start_until = entry.started + self.settings.warm_within if entry.started else 0
        server.zone, server.cell, server.weight = entry.zone, entry.cell, entry.weight

    # Scores for the choice of a prefill engine, each within [0, 1].

    def _cached_tokens(self, server: Server, request: Request) -> int:
        """Longest prefix of this prompt, in tokens, that the server's cache should hold."""
        entries = server.prefix_table.entries
        return max((min(entries[key][0], tokens) for key, tokens in request.prefix_keys if key in entries), default=0)

    def _discount_by_age(self, reported: list[tuple[Server, float | None]]) -> tuple[dict[str, float], float]:
        """Each server's value, moved towards the mean of the reported values as its report ages, and that mean.
        Servers without a value are at the mean."""
        known = [value for _, value in reported if value is not None]
        mean = sum(known) / max(len(known), 1)
        result = {}
        for s, value in reported:
            weight = 0.5 ** ((self.now - s.report_at) / REPORT_HALF_LIFE_NS) if s.report else 1.0
            result[s.name] = mean if value is None else mean + (value - mean) * float(weight)
        return result, mean

    def _prefill_load(self, server: Server) -> float | None:
        """Tokens to be prefilled there: as reported, and this node's change since; its own sends where none report."""
        if self.settings.report_source is not api.ReportSource.ANSWERS:  # probes go to decode engines only
            return server.pending_tokens / server.weight
        if (report := server.report) is None:
            return None
        estimated = (report.in_flight or 0.0) * self.prefill_work.ratio()
        reported = estimated if report.waiting_tokens is None else report.waiting_tokens
        return max(server.pending_tokens, reported + server.pending_tokens - server.tokens_at_report) / server.weight

    def _scores(self, request: Request, servers: list[Server], cached: dict[str, int]) -> dict[str, float]:
        """Weighted sum of the three scores for each server."""
        relative: dict[str, float] = {}
        for role in Role:
            loads, mean = self._discount_by_age([(s, self._prefill_load(s)) for s in servers if s.role is role])
            relative |= {name: load - mean for name, load in loads.items()}
        low, high = min(relative.values()), max(relative.values())
        # Exception (tiny spread): a spread below the prefill work of a few requests is noise, and is not stretched to
        # the full range of the score.
        spread = max(high - low, NOISE_REQUESTS * self.prefill_work.ratio(), 1.0)
        shares = [(s, s.report.memory_share if s.report else None) for s in servers]
        reported = any(share is not None for _, share in shares)
        used, _ = self._discount_by_age(shares)
        max_states = max(NOISE_REQUESTS, max(s.held_states for s in servers))
        result = {}
        for s in servers:
            idle = 1.0 - (relative[s.name] - low) / spread
            memory = used[s.name] if reported else s.held_states / max_states
            result[s.name] = (
                WEIGHT_PREFIX * clamp_to_unit(cached[s.name] / max(request.prompt_tokens, 1))
                + WEIGHT_LOAD * clamp_to_unit(idle)
                + WEIGHT_MEMORY * clamp_to_unit(1.0 - memory)
            ) / WEIGHT_SUM
        return result

    # Choice of servers.

    def _choose_prefill(self, request: Request) -> Server | None:
        """The engine with the highest score, among those that are expected to answer in time where there are any."""
        whole = self.pools[Role.DECODE] if self.settings.writers_read else []
        servers = self._eligible(self.pools[Role.PREFILL] + self.pools[Role.MIXED], request) or self._eligible(
            whole, request
        )
        if not servers:
            return None
        if not request.attempts and self._probes_prefill():
            # Exception (asking): what other nodes send shows in no count of this one, so the preferred replica and
            # one alternative are probed first.  Guards against flushed caches, hot replicas and dead engines; acts
            # before a request's first attempt.  Costs two probes, and the choice among all engines.
            if not request.probed_servers:
                self._probe_replicas(request, servers)
            if any(self._awaits_report(request, name) for name in request.probed_servers):
                return None
            servers = [s for s in servers if s.name in request.probed_servers] or servers
        # Exception (pile-up): cached prefixes would draw ever more requests to one engine.  An engine whose queue takes
        # much of the latency target does not compete while another's does not.
        cached = {s.name: self._cached_tokens(s, request) for s in servers}
        scores = self._scores(request, servers, cached)
        wait = self._expected_decode_wait() + self.now - request.arrived_at
        queued = {
            s.name: self._queued_tokens(s) + max(request.prompt_tokens - cached[s.name], BLOCK_TOKENS) for s in servers
        }
        expected = {
            s.name: (wait + self._expected_prefill_time(s, queued[s.name])) / request.capped_target() for s in servers
        }
        # Exception (others): engines probed before a refusal have to prefill the whole prompt, and where all are near
        # their limit that work makes the next request late.  Such an engine is chosen only with much room; could refuse
        # a request that it would have served in time.
        servers = [
            s for s in servers if s.name not in request.probed_servers[2:] or expected[s.name] <= CROWDED_SHARE
        ] or servers
        first = self._best_prefill(request, servers, scores, cached)
        if request.probed_servers and self.latency[first.role].count < MIN_PACE_SAMPLES:
            # Exception (no pace): after a restart of this node it is not known how long a backlog takes, so backlogs
            # are compared; a move costs at most the prefill of the prompt.  Could move a request for nothing where
            # engines differ in speed.
            return min(servers, key=lambda s: self._queued_tokens(s) + request.prompt_tokens * (s is not first))
        if expected[first.name] > CROWDED_SHARE:
            roomy = [s for s in servers if expected[s.name] <= CROWDED_SHARE]
            if not roomy and request.probed_servers:
                roomy = [min(servers, key=lambda s: expected[s.name])]
            servers = roomy or servers
        best = self._best_prefill(request, servers, scores, cached)
        request.expected_share = expected[best.name]
        return best

    def _best_prefill(
        self, request: Request, servers: list[Server], scores: dict[str, float], cached: dict[str, int]
    ) -> Server:
        if not any(cached[s.name] for s in servers):
            # Exception (unknown key): nodes share no tables and would send a new prefix to different engines.  Where no
            # table of this node holds the key, scores that are about the same tie, and the hash of the key alone
            # decides, so that all nodes choose the same engine.
            threshold = max(scores[s.name] for s in servers) - TIE_SCORE_MARGIN
            tied = [s for s in servers if scores[s.name] >= threshold or s.name in request.probed_servers]
            return max(tied, key=lambda s: hash_fraction(request.prefix_keys[0][0], s.name))
        return max(servers, key=lambda s: (round(scores[s.name], 9), self._tie_break(s, request)))

    def _probes_prefill(self) -> bool:
        """Whether prefill engines are probed for their load: there are too many for a node to hear enough of each."""
        return (
            self.prefix_replicas > 1
            and self.settings.may_probe
            and self.settings.report_source is api.ReportSource.ANSWERS
        )

    def _probe_replicas(self, request: Request, servers: list[Server]) -> None:
        """Probe the engine of the first key and that of the second, where their reports are not fresh."""
        first = max(servers, key=lambda s: hash_fraction(request.prefix_keys[0][0], s.name))
        pair = [
            first,
            *sorted((s for s in servers if s is not first), key=lambda s: -hash_fraction(request.second_key, s.name))[
                :1
            ],
        ]
        self._probe_and_wait(request, pair)

    def _probe_and_wait(self, request: Request, servers: list[Server]) -> None:
        """Let the request wait for these engines' reports too.  All reports that would age beyond FRESH_REPORT_NS
        meanwhile are asked for, since a full engine without a fresh report would look empty."""
        request.probed_servers, request.probed_at = (*request.probed_servers, *(s.name for s in servers)), self.now
        probed = [self.servers[name] for name in request.probed_servers if name in self.servers]
        self.actions += [
            api.Probe(s.name)
            for s in probed
            if self._is_warm(s) and not self._has_fresh_report(s, PROBE_WAIT_NS + SWEEP_INTERVAL_NS)
        ]

    def _probe_others(self, request: Request) -> bool:
        """Whether the request waits for the reports of two other engines; they are probed once for a request.

        Exception (crowded replicas): many requests that share a prefix fill its preferred replicas while other engines
        idle, and a refusal then costs more than another prefill.  Acts where both probed engines would be late; could
        add work where all are full, but no more than those two have room for."""
        others = self._eligible(self.pools[Role.PREFILL] + self.pools[Role.MIXED], request)
        others = [s for s in others if s.name not in request.probed_servers]
        if len(request.probed_servers) != 2 or not others:
            return False
        self._probe_and_wait(request, sorted(others, key=lambda s: hash_fraction(request.name, s.name))[:2])
        return True

    def _has_fresh_report(self, server: Server, ahead: int = 0) -> bool:
        """Whether its report gives its present load, and still will in ``ahead`` nanoseconds."""
        return server.report is not None and self.now + ahead - server.report_at <= FRESH_REPORT_NS

    def _awaits_report(self, request: Request, name: str) -> bool:
        server = self.servers.get(name)
        return (
            server is not None
            and self._is_warm(server)
            and not self._has_fresh_report(server)
            and not self._is_ejected(server, ALL_CLASSES)
            and self.now < request.probed_at + PROBE_WAIT_NS
        )

    def _queued_tokens(self, server: Server) -> float:
        """Tokens to be prefilled there; those of other nodes are included while a report is fresh."""
        load = self._prefill_load(server) if self._probes_prefill() and self._has_fresh_report(server) else None
        return max(server.pending_tokens, (load or 0.0) * server.weight)

    def _choose_decode(self, request: Request, cell: int | None) -> Server | None:
        """The decode engine with the fewest streams: of the given cell, unless that cell is well above the mean."""
        servers = self._eligible(self.pools[Role.DECODE], request) or self._eligible(self.pools[Role.MIXED], request)
        if not servers:
            return None
        # Exception (full memory): long prompts fill an engine's memory, which the count of streams does not show.  Acts
        # where requests of this node wait long for a first token.  Covers slow and hung engines too; could move a state
        # out of its cell.
        servers = [
            s for s in servers if not s.unanswered or self.now - min(s.unanswered.values()) <= MAX_DECODE_WAIT_NS
        ] or servers
        streams, mean = self._discount_by_age([(s, self._decode_load(s)) for s in servers])

        def load(server: Server) -> tuple[float, float]:
            return (streams[server.name], -self._tie_break(server, request))

        # Exception (lopsided cell): a cell with more than its share of the prefill engines would bring its decode
        # engines well over the mean, long before one node's own counts show it.  That surplus of its requests goes to
        # cells with less than their share.  Could load links for nothing where cells differ in speed.
        draw = hash_fraction(request.name, "cell")
        in_cell = [s for s in servers if s.cell == cell and s.cell_load_ratio * draw <= CELL_EXIT_FACTOR]
        if not in_cell:
            servers = [s for s in servers if hash_fraction(request.name, s.name) < 1.0 - s.cell_load_ratio] or servers
        best = min(servers, key=load)
        best_in_cell = min(in_cell, key=load, default=best)
        leave_cell = streams[best_in_cell.name] > mean * CELL_EXIT_FACTOR + CELL_EXIT_STREAMS
        return best if leave_cell else best_in_cell

    def _decode_load(self, server: Server) -> float | None:
        """Streams at a decode engine: as reported, and this node's change since; its own where none report."""
        if self.settings.report_source is api.ReportSource.NONE:
            return server.streams / server.weight
        if (report := server.report) is None or report.in_flight is None:
            return None
        return max(server.streams, report.in_flight + server.streams - server.streams_at_report) / server.weight

    def _tie_break(self, server: Server, request: Request) -> float:
        return hash_fraction(f"{self.settings.router}/{request.session or request.name}", server.name)

    # Health: which servers may be chosen.

    def _eligible(self, servers: list[Server], request: Request) -> list[Server]:
        """Servers that are up and may be sent this request."""
        # Exception (slow start): a server in slow start is sent only the requests whose hash falls into its share of
        # all.  Guards against pushing fleets that all start at once past what they can do.  Holds for all nodes
        # together, however many: each leaves the same share to it, and sends a request there once, since where all are
        # in slow start no other server may take a request that failed and all repeats would come to it.  Could fail a
        # request that would have been served.
        shares = {role: self._slow_start_share(role) for role in {s.role for s in servers if not self._is_warm(s)}}
        eligible = [
            s
            for s in servers
            if s.state is ServerState.UP
            and not self._is_ejected(s, ALL_CLASSES)
            and not self._is_ejected(s, request.class_index)
            and (
                self._is_warm(s)
                or s.name not in request.failed_servers
                and s.name not in request.slow_start_servers
                and hash_fraction(request.name, s.name) < shares[s.role] * s.weight
            )
            and self._may_repeat(request, s)
        ]
        since = self.now - RECENT_SUCCESS_NS
        if not request.failed_servers and self.class_rejected_at.get(request.class_index, since) <= since:
            return [s for s in eligible if s.slow_start_until > self.now] or eligible
        eligible = [s for s in eligible if s.name not in request.failed_servers] or eligible
        # A further attempt has no time to explore, and no attempt has while some server rejects its class: it goes
        # where the class was served recently.
        return [s for s in eligible if s.class_success_at.get(request.class_index, since) > since] or eligible

    def _is_warm(self, server: Server) -> bool:
        """Whether its slow start is over."""
        return server.slow_start_until <= self.now

    def _slow_start_share(self, role: Role) -> float:
        """Share of the arrivals that a server of this role and of weight 1 is sent while in slow start.

        It may get ``cold_multiple`` times ``cold_share`` of what it would carry when warm.  No node knows that rate;
        but all together leave it the same share of their arrivals, as far as its warm peers are seen to carry these.
        What arrives beyond that is no measure of what a server can do."""
        decodes = role is Role.DECODE
        peers = self.pools[role] if decodes else self.pools[Role.PREFILL] + self.pools[Role.MIXED]
        total = sum(s.weight for s in peers)
        warm = sum(s.weight for s in peers if self._is_warm(s))
        carried = PRIOR_CARRIED_SHARE
        if warm:
            seen = self._recent_flow(DECODES if decodes else PREFILLS) * total / warm
            carried = min(
                1.0,
                (seen + PRIOR_CARRIED_SHARE * PRIOR_WEIGHT_REQUESTS)
                / (self._recent_flow(ARRIVALS) + PRIOR_WEIGHT_REQUESTS),
            )
        return (
            SLOW_START_TARGET_SHARE
            * self.settings.cold_multiple
            * self.settings.cold_share
            * carried
            / max(total, 1e-9)
        )

    def _recent_flow(self, what: str) -> float:
        """Decaying count of ARRIVALS, PREFILLS or DECODES."""
        count, at = self.flow.get(what, (0.0, self.now))
        return count * exp((at - self.now) / max(FLOW_DECAY_SHARE * self.settings.cold_window, MIN_FLOW_DECAY_NS))

    def _count_flow(self, what: str) -> None:
        self.flow[what] = (self._recent_flow(what) + 1.0, self.now)

    def _is_ejected(self, server: Server, key: int) -> bool:
        return key in server.ejections and server.ejections[key].until > self.now

    def _start_ejection(self, server: Server, key: int) -> None:
        """Eject for the time in which this node would come by twice; each time in a row twice as long as before."""
        ejection = server.ejections.setdefault(key, Ejection())
        two_visits = 2.0 * self.arrival_interval * len(self.pools[server.role])
        ejection.duration = int(min(max(ejection.duration * 2, two_visits, MIN_EJECTION_NS), MAX_EJECTION_NS))
        ejection.until = self.now + ejection.duration

    def _record_success(self, server: Server, request: Request, elapsed: int) -> None:
        if self._is_warm(server):
            self._count_flow(DECODES if server.role is Role.DECODE else PREFILLS)
        stats = self.latency[server.role]
        unit_latency = elapsed / request.queued_units  # prefill: for each token queued before it and in it
        server.unit_latency += (SMOOTHING_WEIGHT if server.unit_latency else 1.0) * (unit_latency - server.unit_latency)
        if elapsed <= TIMELY_SHARE * request.latency_target:
            self.cancel_budget = min(MAX_CANCEL_BUDGET, self.cancel_budget + CANCEL_BUDGET_STEP)
        stats.add(float(elapsed), request.queued_units, self.now)
        server.success_at = server.class_success_at[request.class_index] = self.now
        server.success_sent_at = max(server.success_sent_at, request.sent_at)
        server.cancels_in_a_row = 0
        for key in (ALL_CLASSES, request.class_index):
            if not self._is_ejected(server, key):
                server.ejections.pop(key, None)

    def _eject(self, server: Server, reason: str) -> None:
        """Eject a server for a while; at most a third of a role is ejected at a time."""
        peers = self.pools[server.role]
        ejected = sum(self._is_ejected(s, ALL_CLASSES) for s in peers)
        if not self._is_ejected(server, ALL_CLASSES) and ejected < max(len(peers) // 3, min(1, len(peers) - 1)):
            self._start_ejection(server, ALL_CLASSES)
            self.actions.append(api.Log(f"server {server.name} left out: {reason}"))

    def _probe_ended(self, event: api.ProbeEnded) -> None:
        server = self.servers.get(event.server)
        self._store_report(server, event.report)
        if server is not None and event.outcome not in (Outcome.SERVED, Outcome.NOT_SENT):
            self._eject(server, event.outcome.value)
        for name in [n for n in self.waiting_requests if event.server in self.requests[n].probed_servers]:
            self._advance(self.requests[name])

    def _store_report(self, server: Server | None, report: api.LoadReport | None) -> None:
        if server is not None and report is not None:
            server.report, server.report_at = report, self.now
            server.streams_at_report, server.tokens_at_report = server.streams, server.pending_tokens

    # Life of a request.

    def _request_arrived(self, event: api.RequestArrived) -> None:
        if not 0 <= event.class_index < len(self.settings.classes):
            raise ValueError(f"request {event.request}: unknown class {event.class_index}")
        previous, self.last_arrival_at = self.last_arrival_at or self.now, self.now
        self.arrival_interval += SMOOTHING_WEIGHT * (self.now - previous - self.arrival_interval)
        keys = [(f"session {event.session}", event.prompt_tokens)] if event.session else []
        second_key = keys[0][0] if keys else event.request
        if event.shared_beginning is not None:
            # A shared prefix has one key for each preferred replica, so that a popular one does not overload an engine.
            replica = crc32(event.session.encode()) % self.prefix_replicas
            keys.insert(0, (f"beginning {replica} {event.shared_beginning}", event.shared_tokens))
            other = replica ^ (1 + crc32(event.session[::-1].encode()) % max(1, self.prefix_replicas - 1))
            second_key = f"beginning {other} {event.shared_beginning}"
        class_settings = self.settings.classes[event.class_index]
        latency_target = (
            class_settings.first_token_aim + class_settings.aim_per_1000_tokens * event.prompt_tokens / 1000.0
        )
        request = Request(
            event.request,
            class_settings,
            event.class_index,
            self._consume_quota(event.tenant),
            event.session,
            tuple(keys or [(event.request, 0)]),
            second_key,
            event.prompt_tokens,
            latency_target,
            self.now,
            self.now + event.time_left,
        )
        self.requests[request.name] = request
        self._advance(request)
        self._count_flow(ARRIVALS)  # after its own choice: no part of it can have been carried yet

    def _consume_quota(self, tenant: int) -> bool:
        """Take one request from what the tenant has left at this node, and return whether nothing was left.  A node has
        an equal part of the quota, saved up for QUOTA_BURST_NS."""
        if not 0 <= tenant < len(self.settings.tenants):
            return False
        rate = self.settings.tenants[tenant].quota_per_second / self.settings.routers / SECOND
        burst = rate * QUOTA_BURST_NS + 2.0  # chance brings a few together, however small the rate
        left, at = self.quota_left.get(tenant, (burst, self.now))
        left = min(left + rate * (self.now - at), burst)
        self.quota_left[tenant] = (left - (left >= 1.0), self.now)
        return rate > 0.0 and left < 1.0

    def _advance(self, request: Request) -> None:
        """Send, keep waiting or end a request that has no attempt out.  Owed: ``Obligation.STATE``."""
        time_left = request.deadline - self.now
        whole = self.pools[Role.MIXED] or (self.settings.writers_read and self.pools[Role.DECODE])
        steps = 1 if request.state_server or whole else 2
        if time_left <= ANSWER_MARGIN_NS or request.attempts + steps > self.settings.max_attempts:
            return self._refuse_or_fail(request)
        if request.state_server and self._must_release(request):
            # Also before a send: an attempt that does not reach its engine leaves the state held meanwhile.
            self._release(request)
            return self._advance(request)
        if request.state_server:
            holder = self.servers.get(request.state_server)
            decode = self._choose_decode(request, holder.cell if holder else None)
            if decode is not None:
                return self._send(request, decode, Phase.DECODING)
        else:
            server = self._choose_prefill(request)
            utility = request.class_settings.worth * (self.settings.over_share_worth if request.over_quota else 1.0)
            max_utility = max(c.worth for c in self.settings.classes) or 1.0  # all classes are alike where none has any
            admitted = MIN_ADMIT_SHARE + (MAX_ADMIT_SHARE - MIN_ADMIT_SHARE) * utility / max_utility
            if server is not None and request.expected_share > admitted and self._may_refuse(request):
                if not self._probe_others(request):
                    return self._refuse_or_fail(request)  # it would be late: others make better use of the capacity
                server = None
            if server is not None:
                prefills = server.role is Role.PREFILL
                self._send(request, server, Phase.PREFILLING if prefills else Phase.DECODING)
                return self._probe_decode(request, server.cell) if prefills else None
        request.phase = Phase.WAITING
        self.waiting_requests[request.name] = None
        return None

    def _expected_prefill_time(self, server: Server, tokens: float) -> float:
        """Nanoseconds until so many tokens, those of the request among them, are prefilled there."""
        if (latency := self.latency[server.role]).count < MIN_PACE_SAMPLES:
            return 0.0
        # An engine's own latency includes the work of other nodes there; with time it fades to that of its role.
        unit_latency = latency.recent_ratio(self.now, self.arrival_interval)
        if server.unit_latency:
            unit_latency += (server.unit_latency - unit_latency) * float(
                0.5 ** ((self.now - server.success_at) / SECOND)
            )
        return unit_latency * (tokens + self.prefill_work.ratio())

    def _expected_decode_wait(self) -> float:
        """Nanoseconds to a first token; at least the mean age of the attempts that wait now, since first tokens alone
        would show an overload too late."""
        ages = [self.now - min(s.unanswered.values()) for s in self.pools[Role.DECODE] if s.unanswered]
        return max(
            self.latency[Role.DECODE].recent_ratio(self.now, self.arrival_interval),
            sum(ages) / max(len(self.pools[Role.DECODE]), 1),
        )

    def _probe_decode(self, request: Request, cell: int) -> None:
        """Probe, during the prefill, the decode engine that would be chosen and another one of its cell.

        No reservation is made, even where the settings allow it: no answer of a decode engine tells whether the prefill
        attempt has arrived, so a reservation could be released in time only by cancelling prefill attempts
        (docs/obligations.md gives the cost of that, and that no gain from reservations was measurable).

        Owed: ``Obligation.RESERVATION``."""
        if not self.reports_by_probe:
            return
        decode = self._choose_decode(request, cell)
        if decode is None or not self._is_warm(decode):
            return  # in slow start every call counts, so the send is its only one
        others = [s for s in self.pools[Role.DECODE] if s.cell == decode.cell and s is not decode]
        self.actions += [api.Probe(s.name) for s in [decode, *others[:1]] if self._is_warm(s)]

    def _must_release(self, request: Request) -> bool:
        """Whether a held state has to be released now for the release to be answered within the time allowed."""
        return self.now - request.state_held_since > RELEASE_TIME_SHARE * self.settings.release_within

    def _release_unproven(self, request: Request) -> None:
        """Release a state whose decode attempt is not known to have arrived.

        Exception (silent send): bytes that the kernel accepted may reach no engine, and the state for the attempt would
        be held until the attempt ends.  Acts where no answer proves an arrival in time; the attempt stays out, since a
        release leaves alone what an attempt waits for.  Could cost a second prefill, where the attempt fails after
        that.

        Owed: ``Obligation.STATE``."""
        if not self._must_release(request):
            return
        if request.decoding and request.state_server:
            self._release(request)
            request.may_hold_state = True  # an attempt that has arrived keeps its state: released if it fails

    def _release(self, request: Request) -> None:
        """Release the state held for a request, if any."""
        if request.may_hold_state:
            self.actions.append(api.Release(request.name))
            request.may_hold_state = False
        if (holder := self.servers.get(request.state_server)) is not None:
            holder.held_states -= 1
        request.state_server = ""

    def _send(self, request: Request, server: Server, phase: Phase) -> None:
        self.waiting_requests.pop(request.name, None)
        request.phase, request.server, request.sent_at = phase, server.name, self.now
        request.decoding = phase is Phase.DECODING
        server.unanswered[request.name] = self.now
        if not self._is_warm(server):
            request.slow_start_servers += (server.name,)
        request.prefill_tokens, request.queued_units = 0.0, float(len(server.unanswered))
        if phase is Phase.PREFILLING or not request.state_server:
            before = self._queued_tokens(server)
            request.prefill_tokens = float(
                max(request.prompt_tokens - self._cached_tokens(server, request), BLOCK_TOKENS)
            )
            self.prefill_work.add(request.prefill_tokens, 1.0)
            self._record_prefixes(server, request)
            server.pending_tokens += request.prefill_tokens
            fixed = self.prefill_work.ratio()  # the fixed cost of a prefill, taken as that of one mean prompt
            request.queued_units = max(server.pending_tokens, before + request.prefill_tokens) + fixed
        if phase is Phase.DECODING:
            server.streams += 1
        self.unanswered_requests[request.name] = None
        self._set_late_at(request, server)
        self.actions.append(api.Send(request.name, server.name, request.deadline - self.now))

    def _record_prefixes(self, server: Server, request: Request) -> None:
        """Remember the prompt's prefixes for the server that prefills it.

        Exception (bound in entries): guards against memory that grows with ever new names of short prompts, which the
        bound in blocks allows; acts when a server's table has more than its equal part of ``max_prefix_entries``."""
        table = server.prefix_table
        for key, tokens in request.prefix_keys:
            table.record(key, min(tokens, request.prompt_tokens), self.now)
        if len(table.entries) * len(self.servers) <= self.max_prefix_entries:
            return  # within the part even if every server had a table: usual, and found without counting them
        tables = sum(1 for each in self.servers.values() if each.role is not Role.DECODE)
        most = self.max_prefix_entries // max(tables, 1)
        while len(table.entries) > max(most, len(request.prefix_keys)):
            table.drop(next(iter(table.entries)))

    def _set_late_at(self, request: Request, server: Server) -> None:
        """An attempt is late after a share of the time left to the latency target or, past that, to the deadline."""
        left = request.arrived_at + request.latency_target - self.now
        left = left if left > 0.0 else request.deadline - self.now
        usual = self.latency[server.role].mean + 4.0 * self.latency[server.role].deviation  # nearly all take less
        request.late_at = self.now + max(usual, TIMEOUT_SHARE * left)

    def _first_token(self, event: api.FirstToken) -> None:
        request, server = self.requests.get(event.request), self.servers.get(event.server)
        if request is None or request.attempts != event.attempt or server is None:
            return
        server.unanswered.pop(request.name, None)
        self.unanswered_requests.pop(request.name, None)
        self._record_success(server, request, event.elapsed)
        if request.phase is not Phase.ENDED:
            request.phase = Phase.STREAMING
        request.may_hold_state = False  # the engines free what was held at the first token
        self._release(request)

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        server = self.servers.get(event.server)
        self._store_report(server, event.report)
        request = self.requests.get(event.request)
        if request is None or request.attempts != event.attempt or not request.server:
            return
        request.attempts += 1
        if event.outcome in ENGINE_ANSWERED:
            request.state_held_since = self.now
        self.unanswered_requests.pop(request.name, None)
        ended = event.finished or request.phase is Phase.ENDED
        if server is not None:
            self._record_end(request, server, event)
            server.held_states += event.outcome is Outcome.READ
        request.server = ""
        if request.decoding and not request.first_run_server and event.outcome in MAY_HAVE_RUN:
            request.first_run_server, request.first_run_sent_at = event.server, request.sent_at
        if event.outcome is Outcome.READ:
            request.state_server, request.may_hold_state = event.server, True
        elif event.state_missing:
            # The prefill engine lost the state (it died, restarted or was cut off): another prefill is needed.
            request.failed_servers += (request.state_server,) if request.state_server else ()
            self._release(request)
        elif event.outcome not in (Outcome.SERVED, Outcome.NOT_SENT):
            request.failed_servers += (event.server,)
        # Exception (lost answer): the state of an answer that was lost is gone.  Acts where only the attempts for one
        # more prefill and decode are left: the state is released.  Covers answers cancelled, cut off and corrupt; could
        # prefill again for nothing where the state had not been fetched.
        lost = event.outcome in (Outcome.CANCELLED, Outcome.RESET)
        last_two = lost and self.settings.max_attempts - request.attempts == 2
        if ended or not request.state_server or last_two:
            self._release(request)
        if ended:
            del self.requests[request.name]
        else:
            self._advance(request)

    def _record_end(self, request: Request, server: Server, event: api.AttemptEnded) -> None:
        """Update the server's counters, health and prefix table at the end of an attempt."""
        server.unanswered.pop(request.name, None)
        server.pending_tokens = max(0.0, server.pending_tokens - request.prefill_tokens)
        if request.decoding:
            server.streams -= 1
        if (outcome := event.outcome) is Outcome.READ:
            # Latency is counted over the work that was done: a prefix missing from the cache had to be prefilled too.
            request.queued_units += (
                max(request.prompt_tokens - event.kept_tokens, BLOCK_TOKENS) - request.prefill_tokens
            )
            self._record_success(server, request, event.elapsed)
            # Exception (voided prefixes): a prefill that found far less in the cache than the table promised shows that
            # the engine dropped its cache; what was sent before this prefill goes from its table.
            promised = request.prompt_tokens - request.prefill_tokens
            if promised >= 4 * BLOCK_TOKENS and event.kept_tokens < promised / 2:
                for key in [k for k, (_, sent) in server.prefix_table.entries.items() if sent < request.sent_at]:
                    server.prefix_table.drop(key)
        elif outcome is Outcome.FULL and not event.state_missing:
            # A server without room rejects at once and all classes; one that limits a class takes its time.
            rejected = (
                request.class_index if event.elapsed > CLASS_REJECTION_SHARE * request.capped_target() else ALL_CLASSES
            )
            if rejected != ALL_CLASSES:
                self.class_rejected_at[rejected] = self.now
            self._start_ejection(server, rejected)
        elif outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED):
            if outcome is Outcome.CONNECT_FAILED:
                # Exception (crash): the process is gone, and its cache with it.
                server.prefix_table, server.report = PrefixTable(server.prefix_table.max_blocks), None
            self._eject(server, outcome.value)
        elif outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            # It would have taken longer still: without this sample an overload in which nothing is answered looks fast.
            self.latency[server.role].add(float(event.elapsed), request.queued_units, self.now)

    def _finish(self, request: Request) -> None:
        """The request is answered or its client gone; no new attempt is made for it."""
        self.waiting_requests.pop(request.name, None)
        if request.server:
            if request.phase is not Phase.STREAMING and self.settings.may_cancel:
                self.actions.append(api.Cancel(request.name, request.attempts))
            request.phase = Phase.ENDED
        else:
            self._release(request)
            del self.requests[request.name]

    def _refuse_or_fail(self, request: Request) -> None:
        """End a request that no engine answered: refused where a retry is harmless, else failed.

        Owed: ``Obligation.ANSWER``."""
        retry_after = min(self.settings.max_retry_after, SECOND // 2) if self.settings.may_advise_retry else 0
        answer = api.Refuse(request.name, retry_after) if self._may_refuse(request) else api.Fail(request.name)
        self.actions.append(answer)
        self._finish(request)

    # Idempotency.

    def _may_refuse(self, request: Request) -> bool:
        """Whether a retry by the client is harmless, which a refusal promises."""
        if not request.first_run_server or request.class_settings.effect is Effect.SAFE:
            return True
        return request.class_settings.effect is Effect.KEYED and request.class_settings.scope is api.Scope.ALL

    def _may_repeat(self, request: Request, server: Server) -> bool:
        """Whether a send to this server can have no second effect."""
        if not request.first_run_server or request.class_settings.effect is Effect.SAFE:
            return True
        first = self.servers.get(request.first_run_server)
        if (
            request.class_settings.effect is Effect.UNSAFE
            or first is None
            or self.now >= request.first_run_sent_at + request.class_settings.key_window
        ):
            return False
        return {
            api.Scope.ALL: True,
            api.Scope.ZONE: server.zone == first.zone,
            api.Scope.CELL: server.cell == first.cell,
        }[request.class_settings.scope]

    def _cancel_late(self, request: Request, server: Server) -> None:
        """Cancel a late attempt while there is time for another.

        Covers hung and silent servers and answers that are lost.  In an overload all attempts are late, so timely
        outcomes pay for cancellations (the cancellation budget), and work is not doubled then.

        Owed: ``Obligation.ATTEMPT``."""
        if self._probes_prefill() and not request.decoding and self._is_warm(server):
            # Exception (busy): engines go on with a prefill after its cancellation, so an engine that reports work is
            # waited for.  Guards against cancellations by all nodes at once; could wait for an engine that hangs with
            # work queued.
            if request.probed_at <= request.sent_at and not self._has_fresh_report(server):
                request.probed_at, request.late_at = self.now, self.now + PROBE_WAIT_NS
                self.actions.append(api.Probe(server.name))
                return
            if self._reports_backlog(server, request):
                request.probed_at = 0
                self._set_late_at(request, server)
                return
        self._set_late_at(request, server)
        repeatable = request.class_settings.effect is Effect.SAFE or not request.decoding
        steps = 1 if request.state_server else 2
        progresses = server.success_sent_at < request.sent_at <= server.success_at  # earlier attempts still succeed
        if progresses or not (
            repeatable
            and self.settings.may_cancel
            and self.cancel_budget >= 1.0
            and request.attempts + 1 + steps <= self.settings.max_attempts
        ):
            return
        self.cancel_budget -= 1.0
        request.late_at = float("inf")
        self.actions.append(api.Cancel(request.name, request.attempts))
        server.cancels_in_a_row += 1
        if server.cancels_in_a_row > 1:
            self._eject(server, "silent")

    def _reports_backlog(self, server: Server, request: Request) -> bool:
        """Whether its fresh report shows work that explains the delay."""
        if not self._has_fresh_report(server) or server.report is None:
            return False
        waiting, latency = server.report.waiting_tokens or 0.0, self.latency[server.role]
        if latency.count < MIN_PACE_SAMPLES:
            return waiting > request.prompt_tokens
        return waiting * latency.ratio() > TIMELY_SHARE * request.latency_target

    def _sweep(self) -> None:
        if self.subscribe_at and self.subscribe_at <= self.now:
            self.subscribe_at = 0
            self.actions.append(api.Subscribe())
        for name in list(self.unanswered_requests):
            request = self.requests[name]
            server = self.servers.get(request.server)
            self._release_unproven(request)
            if request.phase is not Phase.ENDED and server is not None and request.late_at <= self.now:
                self._cancel_late(request, server)
        for name in list(self.waiting_requests):
            self._advance(self.requests[name])


def clamp_to_unit(value: float) -> float:
    """The value within [0, 1]."""
    return min(1.0, max(0.0, value))


def hash_fraction(key: str, name: str) -> float:
    """A stable number in [0, 1) for a pair, spread evenly (rendezvous hashing chooses the highest)."""
    mixed = crc32(f"{name}/{key}".encode())
    mixed = (mixed ^ mixed >> 15) * 0x2C1B3C6D & 0xFFFFFFFF  # crc32 alone gives similar texts related values
    return (mixed ^ mixed >> 13) / (1 << 32)
