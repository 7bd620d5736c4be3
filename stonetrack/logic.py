"""Every decision of stonetrack.  The interface (settings, events, actions) is stonetrack/api.py.

One Router is one node, pure in its events.  Order: tables, scores, choices, health, request life.
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

# The mechanism's own figures (docs/design.md).
WEIGHT_PREFIX, WEIGHT_LOAD, WEIGHT_MEMORY = 3.0, 2.0, 2.0
WEIGHTS = WEIGHT_PREFIX + WEIGHT_LOAD + WEIGHT_MEMORY
BLOCK = 16  # tokens
TABLE_BLOCKS = 31_250  # most blocks kept for one server
LEAVE_FACTOR, LEAVE_STREAMS = 1.3, 2.0  # a cell's best stands "well above" mean * factor + streams
REPORT_HALF = 2 * SECOND  # a load report's distance from the mean halves in this time
NOISE = 4  # differences below so many requests' reading, or waiting states, are noise
NEAR = WEIGHT_LOAD / 2 / WEIGHTS  # scores this close are a tie for a key that no own table holds
FRESH = SECOND // 2  # a report this young tells of the load as it is
ASK_WAIT = 40 * MS  # a request waits this long for the reports asked for it
READERS_PER_HOME = 6  # a shared beginning gets one home for so many readers, in powers of two

SWEEP = 50 * MS  # how often held and waiting requests are looked at while there are any
ANSWER_MARGIN = 60 * MS  # a held request is given up this long before its client leaves
RELEASE_SHARE = 0.7  # of the time allowed for holding a state with no attempt out
PATIENCE = 0.5  # share of the time left, to the aim or then the end, in which no attempt is called late
QUICK = 0.15  # share of the aim within which an outcome tells that nothing is jammed;
CREDIT_EACH, CREDIT_MOST = 0.3, 3.0  # it allows so many calls off, with so many saved up

CROWDED = 0.4  # share of the aim from which a reader is passed over for one that takes less
ADMIT, ADMIT_LOW = 0.9, 0.5  # share of the aim that the expected wait may take: full worth, none

PAUSE_LEAST, PAUSE_MOST = 300 * MS, 16 * SECOND  # how long a server that failed is left out
SLOW_FULL = 0.05  # a refusal as full that took more of the aim is meant for the class alone
PROVEN_FOR = 20 * SECOND  # so long a good outcome recommends a server to a further attempt
QUOTA_SPAN = 4 * SECOND  # a tenant may use this much of its quota at once
WRITER_WAITS = 200 * MS  # a writer whose first tokens take longer has no room
# A server in slow start that may get N calls in a window falls at more than N + 2 sqrt(N) + 2 (under 30: at more than
# N + 3 sqrt(N) + 3).  Its calls are a random count: each request goes there by a hash.  A Poisson count of mean 0.63 N
# passes that bound with a chance below one in a million for every N (N = 30 is the tightest: mean 19, bound 42.9).
# Where the arrivals jump to three times what the fleet carries, what is seen of them lags by a quarter of the window,
# so the first window gets up to 1.5 times the mean.  So the mean aimed at is 0.63 / 1.5 of N.
SLOW_START_AIM = 0.42
FLOW_SHARE = 0.25  # of the slow-start window: how long an arrival or a good outcome counts, in the mean
FLOW_LEAST = SECOND // 4
LOAD_UNKNOWN = 1 / 3  # of the arrivals are taken as carried where nothing is known: three times capacity may be asked
LOAD_WEIGHT = 1.0  # requests as which that counts
PACED = 3  # outcomes of a role from which its pace is known
SMOOTH = 0.2  # weight of a new sample in running means

ALL = -1  # stands for every class
ARRIVALS, READS, WRITES = "arrivals", "reads", "writes"  # what is counted of a fleet's flow: the last two where warm
UNPROVEN = (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)  # it may have run
ARRIVED = (Outcome.READ, Outcome.SERVED, Outcome.ERROR, Outcome.FULL)  # an engine's own answer: it was there


class Phase(Enum):
    """A request's life.  What is held and the timer that saves it stand beside each state."""

    HELD = "held"  # nothing, or a state; the sweep ends it, or releases the state, in time
    READING = "reading"  # an attempt at a reader; the attempt's time limit
    WRITING = "writing"  # an attempt at a writer and a state; the attempt's time limit
    STREAMING = "streaming"  # the client's stream; the stream's end
    ENDED = "ended"  # answered, an attempt still out; that attempt's outcome


@dataclass(slots=True)
class Stat:
    """Running latency and its deviation, and the work that it was for."""

    time: float = 0.0
    spread: float = 0.0
    work: float = 0.0
    count: int = 0
    at: int = 0  # when last added to

    def recent(self, now: int, gap: float = 0.0) -> float:
        """The pace, halved for each second past the usual gap without a sample: refusals give none."""
        return self.pace() * float(0.5 ** max(0.0, (now - self.at - gap) / SECOND - 0.5))

    def add(self, time: float, work: float, now: int = 0) -> None:
        self.at = now
        self.count += 1
        share = max(SMOOTH / 2, 1.0 / self.count)
        self.spread += share * (abs(time - self.time) * (self.count > 1) - self.spread)
        self.time += share * (time - self.time)
        self.work += share * (work - self.work)

    def pace(self) -> float:
        return self.time / self.work if self.work else 0.0


@dataclass(slots=True)
class Pause:
    """A time for which a server is left out; each further one in a row is twice as long."""

    until: int = 0
    span: int = 0


class PrefixTable:
    """Keys this router sent to one reader, least recently used first, bounded in blocks."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.blocks = 0
        self.entries: OrderedDict[str, tuple[int, int]] = OrderedDict()  # tokens it should hold, when sent

    def learn(self, key: str, tokens: int, now: int) -> None:
        self.drop(key)
        if tokens >= BLOCK:
            self.entries[key] = (tokens // BLOCK * BLOCK, now)
            self.blocks += tokens // BLOCK
        while self.blocks > self.limit:
            self.drop(next(iter(self.entries)))

    def drop(self, key: str) -> None:
        if (entry := self.entries.pop(key, None)) is not None:
            self.blocks -= entry[0] // BLOCK


@dataclass(slots=True)
class Server:
    """What this router knows of one server."""

    name: str
    role: Role
    table: PrefixTable
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    started: int = 0
    state: ServerState = ServerState.UP
    report: api.LoadReport | None = None
    report_at: int = 0
    streams_then: int = 0  # own streams when the report came
    work_then: float = 0.0  # own tokens to read when the report came
    waiting: dict[str, int] = field(default_factory=dict)  # own attempts not yet begun: sent when
    surplus: float = 1.0  # streams that its cell's readers bring it, over the mean, if none leaves
    work_out: float = 0.0  # tokens to read in own attempts out
    states: int = 0  # own read states that wait here
    streams: int = 0  # own requests writing or streaming here
    paused: dict[int, Pause] = field(default_factory=dict)  # by class, ALL for every class
    late: int = 0  # attempts called off in a row
    took: dict[int, int] = field(default_factory=dict)  # by class: its last good outcome
    good_at: int = 0
    answered: int = 0  # when the attempt last sent of those with a good outcome was sent
    pace: float = 0.0  # smoothed latency: of a read for each token queued, of a writer's first token
    cold_until: int = 0


@dataclass(slots=True)
class Request:
    """One request and what it holds."""

    name: str
    cls: api.RequestClass
    class_index: int
    over_share: bool  # its tenant has used up its quota here
    session: str
    keys: tuple[tuple[str, int], ...]  # of the prefix table, with the tokens each covers, widest shared first
    beside: str  # key of the reader that may take it instead of the first key's
    prompt: int
    wanted: float  # time from the arrival to a first token of full worth
    arrived: int
    deadline: int
    phase: Phase = Phase.HELD
    attempts: int = 0
    server: str = ""  # where the attempt out is
    sent: int = 0
    due: float = 0.0  # when the attempt out is late
    writing: bool = False  # the attempt out may answer, so it counts as a stream there
    work: float = 0.0  # tokens it has to read there
    queue: float = 1.0  # those, and those of this router's attempts before it
    expected: float = 0.0  # time to the first token as last estimated, as a share of the aim
    reader: str = ""  # where a state waits
    holds: bool = False  # a state may be held somewhere: released on every path but a first token
    stands_since: int = 0  # when the last attempt that is known to have arrived ended: a state waits since then
    failed: tuple[str, ...] = ()  # servers not to be tried again while others are up
    eased: tuple[str, ...] = ()  # servers in slow start that it was sent to: never again, so that their budget holds
    pair: tuple[str, ...] = ()  # readers that were asked for their reports before the first send
    asked_at: int = 0
    ran_on: str = ""  # first server where it may have run
    ran_at: int = 0

    def aim(self) -> float:
        """Time from the arrival in which an answer is wanted and its client still there."""
        return min(self.wanted, float(self.deadline - self.arrived))


class Router:
    """One node's decisions: feed events to :meth:`handle`, carry out what it returns.  Draws nothing."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.now = 0
        self.actions: list[api.Action] = []
        self.servers: dict[str, Server] = {}
        self.requests: dict[str, Request] = {}
        self.held: dict[str, None] = {}
        self.out: dict[str, None] = {}  # requests whose attempt has not begun
        self.pools: dict[Role, list[Server]] = {role: [] for role in Role}  # servers up
        self.by_probe = settings.may_probe and settings.report_source is api.ReportSource.PROBES
        self.homes = 1  # readers among which each beginning is spread
        self.interval, self.arrived_at = 0.0, 0  # time between own arrivals; the last one
        self.held_back: dict[int, int] = {}  # by class: last refused as by a limit on it
        self.credit = CREDIT_MOST  # late attempts that may be called off
        self.latency = {role: Stat() for role in Role}
        self.prompt_work = Stat()  # tokens to read of one request
        self.allowance: dict[int, tuple[float, int]] = {}  # requests left within a tenant's quota, and when
        self.flow: dict[str, tuple[float, int]] = {}  # fading counts of ARRIVALS, READS and WRITES, and when
        self.subscribe_at = 0
        self.timer_set = False

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event; the actions are to be carried out in order."""
        self.now = max(now, self.now)
        self.actions = []
        if isinstance(event, api.RequestArrived):
            self._arrived(event)
        elif isinstance(event, api.AttemptEnded):
            self._attempt_ended(event)
        elif isinstance(event, api.FirstToken):
            self._first_token(event)
        elif isinstance(event, api.TimerFired):
            self.timer_set = False
            self._sweep()
        elif isinstance(event, api.ServerList):
            self._server_list(event)
        elif isinstance(event, api.ProbeEnded):
            self._probe_ended(event)
        elif isinstance(event, api.RequestGone):
            request = self.requests.get(event.request)
            if request is not None and request.phase is not Phase.ENDED:
                self._end(request)
        if not self.timer_set and (self.held or self.out or self.subscribe_at):
            self.timer_set = True
            self.actions.append(api.SetTimer(0, SWEEP))
        return self.actions

    def adopt(self, settings: api.Settings) -> None:
        """Go on under other settings: tables, paces, counts and requests under way stay, a request keeps the
        class it came with.  Classes and tenants keep their places, new ones stand behind them; kinds stay.

        Raises ValueError where they don't, and nothing changed."""
        for what, old, new in (
            ("classes", [c.name for c in self.settings.classes], [c.name for c in settings.classes]),
            ("tenants", [t.name for t in self.settings.tenants], [t.name for t in settings.tenants]),
        ):
            if new[: len(old)] != old:
                raise ValueError(f"settings: {what} {new}: {old} have to come first")
        if settings.kinds != self.settings.kinds:
            raise ValueError("settings: kinds can't change while servers of them are known")
        self.settings = settings
        self.by_probe = settings.may_probe and settings.report_source is api.ReportSource.PROBES

    # The server list.

    def _server_list(self, event: api.ServerList) -> None:
        if event.kind in (ListKind.SAVED, ListKind.FAILED):
            again = self.now + SECOND * (event.kind is ListKind.FAILED)
            self.subscribe_at = again if self.settings.list_on_request else 0
        listed = {entry.server for entry in event.entries}
        for entry in event.entries:
            if not 0 <= entry.kind < len(self.settings.kinds):
                raise ValueError(f"server {entry.server}: unknown kind {entry.kind}")
            self._listed(entry)
        for server in self.servers.values():
            if event.kind in (ListKind.SAVED, ListKind.FULL) and server.name not in listed:
                server.state = ServerState.REMOVED
        for gone in [s for s in self.servers.values() if s.state is ServerState.REMOVED]:
            if not (gone.waiting or gone.streams or gone.states):
                del self.servers[gone.name]
        for role, pool in self.pools.items():
            pool[:] = [s for s in self.servers.values() if s.role is role and s.state is ServerState.UP]
        readers, writers = self.pools[Role.PREFILL], self.pools[Role.DECODE]
        self.homes = 1 << max(0, (len(readers) // READERS_PER_HOME).bit_length() - 1)
        if self._asks():
            self.homes = max(2, self.homes // 2)  # each session has two of them, so half spread as wide
        reads, writes = Counter(s.cell for s in readers), Counter(s.cell for s in writers)
        for s in writers:
            s.surplus = reads[s.cell] / max(len(readers), 1) * len(writers) / writes[s.cell]

    def _listed(self, entry: api.ServerEntry) -> None:
        server = self.servers.get(entry.server)
        kind = self.settings.kinds[entry.kind]
        if server is None and entry.state is ServerState.REMOVED:
            return
        if server is None:
            blocks = min(TABLE_BLOCKS, kind.memory_tokens // BLOCK or TABLE_BLOCKS)
            server = self.servers[entry.server] = Server(entry.server, kind.role, PrefixTable(blocks))
        elif entry.started != server.started and entry.state is ServerState.UP:
            # A restart: nothing that was kept there is left, and the server is cold.
            server.table, server.report = PrefixTable(server.table.limit), None
        server.state, server.role, server.started = entry.state, kind.role, entry.started
        server.cold_until = entry.started + self.settings.warm_within if entry.started else 0
        server.zone, server.cell, server.weight = entry.zone, entry.cell, entry.weight

    # Scores of the reader choice, each within [0, 1].

    def _covered(self, server: Server, request: Request) -> int:
        """Longest covered length held there for this prompt, in tokens."""
        held = server.table.entries
        return max((min(held[key][0], tokens) for key, tokens in request.keys if key in held), default=0)

    def _weigh(self, heard: list[tuple[Server, float | None]]) -> tuple[dict[str, float], float]:
        """Each server's value, drawn to the mean of those heard as its report ages, unheard ones at the mean;
        and that mean."""
        known = [value for _, value in heard if value is not None]
        mean = sum(known) / max(len(known), 1)
        result = {}
        for s, value in heard:
            fresh = 0.5 ** ((self.now - s.report_at) / REPORT_HALF) if s.report else 1.0
            result[s.name] = mean if value is None else mean + (value - mean) * float(fresh)
        return result, mean

    def _read_load(self, server: Server) -> float | None:
        """Tokens to be read there: reported and own change since; own sends out where none report."""
        if self.settings.report_source is not api.ReportSource.ANSWERS:  # probes go to writers only
            return server.work_out / server.weight
        if (report := server.report) is None:
            return None
        requests = (report.in_flight or 0.0) * self.prompt_work.pace()
        reported = requests if report.waiting_tokens is None else report.waiting_tokens
        return max(server.work_out, reported + server.work_out - server.work_then) / server.weight

    def _scores(self, request: Request, servers: list[Server], covered: dict[str, int]) -> dict[str, float]:
        """Weighted sum of the three scores for each server."""
        relative: dict[str, float] = {}
        for role in Role:
            loads, mean = self._weigh([(s, self._read_load(s)) for s in servers if s.role is role])
            relative |= {name: load - mean for name, load in loads.items()}
        low, high = min(relative.values()), max(relative.values())
        # Exception (tiny spread): below a few requests' reading it is noise, not stretched to the full range.
        spread = max(high - low, NOISE * self.prompt_work.pace(), 1.0)
        shares = [(s, s.report.memory_share if s.report else None) for s in servers]
        reported = any(share is not None for _, share in shares)
        used, _ = self._weigh(shares)
        most_states = max(NOISE, max(s.states for s in servers))
        result = {}
        for s in servers:
            idle = 1.0 - (relative[s.name] - low) / spread
            memory = used[s.name] if reported else s.states / most_states
            result[s.name] = (
                WEIGHT_PREFIX * clamp(covered[s.name] / max(request.prompt, 1))
                + WEIGHT_LOAD * clamp(idle)
                + WEIGHT_MEMORY * clamp(1.0 - memory)
            ) / WEIGHTS
        return result

    # The choices.

    def _choose_reader(self, request: Request) -> Server | None:
        """The reader with the highest score, unless the answer would come too late from any."""
        whole = self.pools[Role.DECODE] if self.settings.writers_read else []
        servers = self._usable(self.pools[Role.PREFILL] + self.pools[Role.MIXED], request) or self._usable(
            whole, request
        )
        if not servers:
            return None
        if not request.attempts and self._asks():
            # Exception (asking): what others send shows in no own count, so the home and one beside it are
            # asked first.  Covers flushes, hot homes, dead readers.  Costs two probes and a choice of all.
            if not request.pair:
                self._ask(request, servers)
            if any(self._awaited(request, name) for name in request.pair):
                return None
            servers = [s for s in servers if s.name in request.pair] or servers
        # Exception (pile-up): a reader whose queue takes much of the aim does not compete while another's
        # does not; kept prefixes would draw ever more to it.
        covered = {s.name: self._covered(s, request) for s in servers}
        scores = self._scores(request, servers, covered)
        wait = self._writers_wait() + self.now - request.arrived
        work = {s.name: self._backlog(s) + max(request.prompt - covered[s.name], BLOCK) for s in servers}
        expected = {s.name: (wait + self._read_time(s, work[s.name])) / request.aim() for s in servers}
        # Others that were asked before a refusal read the prompt anew: only one with much room takes it,
        # since that work makes the next one late where all are near their limit.  Could refuse one in time.
        servers = [s for s in servers if s.name not in request.pair[2:] or expected[s.name] <= CROWDED] or servers
        first = self._best_reader(request, servers, scores, covered)
        if request.pair and self.latency[first.role].count < PACED:
            # Exception (no pace): after a restart nothing tells how long a backlog takes, so the backlogs are
            # compared; a move costs reading the prompt at most.  Could move for nothing where speeds differ.
            return min(servers, key=lambda s: self._backlog(s) + request.prompt * (s is not first))
        if expected[first.name] > CROWDED:
            roomy = [s for s in servers if expected[s.name] <= CROWDED]
            if not roomy and request.pair:
                roomy = [min(servers, key=lambda s: expected[s.name])]
            servers = roomy or servers
        best = self._best_reader(request, servers, scores, covered)
        request.expected = expected[best.name]
        return best

    def _best_reader(
        self, request: Request, servers: list[Server], scores: dict[str, float], covered: dict[str, int]
    ) -> Server:
        if not any(covered[s.name] for s in servers):
            # Exception (unknown key): no own table holds it, so what scores about the same is a tie for the
            # hash of the key alone, and routers that share nothing send it to one reader.
            least = max(scores[s.name] for s in servers) - NEAR
            near = [s for s in servers if scores[s.name] >= least or s.name in request.pair]
            return max(near, key=lambda s: spread_hash(request.keys[0][0], s.name))
        return max(servers, key=lambda s: (round(scores[s.name], 9), self._tie(s, request)))

    def _asks(self) -> bool:
        """Whether readers are asked for their load: so many that no router hears enough of each."""
        return self.homes > 1 and self.settings.may_probe and self.settings.report_source is api.ReportSource.ANSWERS

    def _ask(self, request: Request, servers: list[Server]) -> None:
        """Ask the reader of the first key and one beside it, where they have not told their load just now."""
        first = max(servers, key=lambda s: spread_hash(request.keys[0][0], s.name))
        pair = [
            first,
            *sorted((s for s in servers if s is not first), key=lambda s: -spread_hash(request.beside, s.name))[:1],
        ]
        self._ask_also(request, pair)

    def _ask_also(self, request: Request, servers: list[Server]) -> None:
        """Wait for these readers' reports too; all that would grow old meanwhile are asked for, else a full
        reader would look empty."""
        request.pair, request.asked_at = (*request.pair, *(s.name for s in servers)), self.now
        asked = [self.servers[name] for name in request.pair if name in self.servers]
        self.actions += [api.Probe(s.name) for s in asked if self._warm(s) and not self._fresh(s, ASK_WAIT + SWEEP)]

    def _look_further(self, request: Request) -> bool:
        """Whether it waits for the reports of two other readers, asked once.

        Exception (crowded homes): a beginning that many share fills its homes while other readers idle, and
        to refuse then costs more than to read it anew.  Acts where the pair would be late; could add work
        where all are full, but only as much as those two have room for."""
        others = self._usable(self.pools[Role.PREFILL] + self.pools[Role.MIXED], request)
        others = [s for s in others if s.name not in request.pair]
        if len(request.pair) != 2 or not others:
            return False
        self._ask_also(request, sorted(others, key=lambda s: spread_hash(request.name, s.name))[:2])
        return True

    def _fresh(self, server: Server, ahead: int = 0) -> bool:
        """Whether its report tells of the load as it is, and will so long from now."""
        return server.report is not None and self.now + ahead - server.report_at <= FRESH

    def _awaited(self, request: Request, name: str) -> bool:
        server = self.servers.get(name)
        return (
            server is not None
            and self._warm(server)
            and not self._fresh(server)
            and not self._paused(server, ALL)
            and self.now < request.asked_at + ASK_WAIT
        )

    def _backlog(self, server: Server) -> float:
        """Tokens to be read there, other routers' too where a report tells of them just now."""
        load = self._read_load(server) if self._asks() and self._fresh(server) else None
        return max(server.work_out, (load or 0.0) * server.weight)

    def _choose_writer(self, request: Request, cell: int | None) -> Server | None:
        servers = self._usable(self.pools[Role.DECODE], request) or self._usable(self.pools[Role.MIXED], request)
        if not servers:
            return None
        # Exception (full memory): where own requests wait for a first token, long prompts fill the memory
        # unseen in the count of streams.  Covers slow and hung writers; could move a state out of its cell.
        servers = [s for s in servers if not s.waiting or self.now - min(s.waiting.values()) <= WRITER_WAITS] or servers
        streams, mean = self._weigh([(s, self._streams(s)) for s in servers])

        def load(server: Server) -> tuple[float, float]:
            return (streams[server.name], -self._tie(server, request))

        # Exception (lopsided cell): a cell with more than its share of the readers would bring its writers
        # well over the mean, long before one router's own counts tell; that much of its requests goes to
        # cells with less than their share.  Could load links for nothing where cells differ in speed.
        draw = spread_hash(request.name, "cell")
        near = [s for s in servers if s.cell == cell and s.surplus * draw <= LEAVE_FACTOR]
        if not near:
            servers = [s for s in servers if spread_hash(request.name, s.name) < 1.0 - s.surplus] or servers
        best = min(servers, key=load)
        best_near = min(near, key=load, default=best)
        leave = streams[best_near.name] > mean * LEAVE_FACTOR + LEAVE_STREAMS
        return best if leave else best_near

    def _streams(self, server: Server) -> float | None:
        """Streams at a writer: reported and own change since; our own where none report."""
        if self.settings.report_source is api.ReportSource.NONE:
            return server.streams / server.weight
        if (report := server.report) is None or report.in_flight is None:
            return None
        return max(server.streams, report.in_flight + server.streams - server.streams_then) / server.weight

    def _tie(self, server: Server, request: Request) -> float:
        return spread_hash(f"{self.settings.router}/{request.session or request.name}", server.name)

    # Health: who may be chosen at all.

    def _usable(self, servers: list[Server], request: Request) -> list[Server]:
        """Servers that are up and may be sent this request."""
        # A cold server is sent the few requests whose hash falls into its share of all: this holds for all
        # routers together, however many, since each leaves as much to it, and sends each request once there:
        # where all are cold nothing else may take one that failed, and all repeats would come to it.
        # Guards fleets that all start at once past what they can do; could give up one that would be read.
        shares = {role: self._slow_start_share(role) for role in {s.role for s in servers if not self._warm(s)}}
        group = [
            s
            for s in servers
            if s.state is ServerState.UP
            and not self._paused(s, ALL)
            and not self._paused(s, request.class_index)
            and (
                self._warm(s)
                or s.name not in request.failed
                and s.name not in request.eased
                and spread_hash(request.name, s.name) < shares[s.role] * s.weight
            )
            and self._may_repeat(request, s)
        ]
        least = self.now - PROVEN_FOR
        if not request.failed and self.held_back.get(request.class_index, least) <= least:
            return [s for s in group if s.cold_until > self.now] or group
        group = [s for s in group if s.name not in request.failed] or group
        # A further attempt has no time to find out, nor has any while its class is held back somewhere: it
        # goes where the class was served of late.
        return [s for s in group if s.took.get(request.class_index, least) > least] or group

    def _warm(self, server: Server) -> bool:
        """Whether it is past its slow start."""
        return server.cold_until <= self.now

    def _slow_start_share(self, role: Role) -> float:
        """Share of the arrivals that a server of this role and of weight 1 is sent while in slow start.

        It may get ``cold_multiple`` times ``cold_share`` of what it would carry when warm.  No router knows that rate;
        but all together leave it the same share of their arrivals, as far as its warm peers are seen to carry these.
        What arrives beyond that is no measure of what a server can do."""
        writes = role is Role.DECODE
        peers = self.pools[role] if writes else self.pools[Role.PREFILL] + self.pools[Role.MIXED]
        total = sum(s.weight for s in peers)
        warm = sum(s.weight for s in peers if self._warm(s))
        carried = LOAD_UNKNOWN
        if warm:
            seen = self._flow(WRITES if writes else READS) * total / warm
            carried = min(1.0, (seen + LOAD_UNKNOWN * LOAD_WEIGHT) / (self._flow(ARRIVALS) + LOAD_WEIGHT))
        return SLOW_START_AIM * self.settings.cold_multiple * self.settings.cold_share * carried / max(total, 1e-9)

    def _flow(self, what: str) -> float:
        """How many there were of late; each counts less as it grows old."""
        count, at = self.flow.get(what, (0.0, self.now))
        return count * exp((at - self.now) / max(FLOW_SHARE * self.settings.cold_window, FLOW_LEAST))

    def _count_flow(self, what: str) -> None:
        self.flow[what] = (self._flow(what) + 1.0, self.now)

    def _paused(self, server: Server, key: int) -> bool:
        return key in server.paused and server.paused[key].until > self.now

    def _pause(self, server: Server, key: int) -> None:
        """Leave out for the time in which this router would come by twice; longer after each failure."""
        pause = server.paused.setdefault(key, Pause())
        visit = 2.0 * self.interval * len(self.pools[server.role])
        pause.span = int(min(max(pause.span * 2, visit, PAUSE_LEAST), PAUSE_MOST))
        pause.until = self.now + pause.span

    def _good(self, server: Server, request: Request, elapsed: int) -> None:
        if self._warm(server):
            self._count_flow(WRITES if server.role is Role.DECODE else READS)
        stat = self.latency[server.role]
        pace = elapsed / request.queue  # reads: for each token that stood before them and in them
        server.pace += (SMOOTH if server.pace else 1.0) * (pace - server.pace)
        if elapsed <= QUICK * request.wanted:
            self.credit = min(CREDIT_MOST, self.credit + CREDIT_EACH)
        stat.add(float(elapsed), request.queue, self.now)
        server.good_at = server.took[request.class_index] = self.now
        server.answered = max(server.answered, request.sent)
        server.late = 0
        for key in (ALL, request.class_index):
            if not self._paused(server, key):
                server.paused.pop(key, None)

    def _eject(self, server: Server, reason: str) -> None:
        """Leave a server out for a while; a third of a role at most."""
        peers = self.pools[server.role]
        out = sum(self._paused(s, ALL) for s in peers)
        if not self._paused(server, ALL) and out < max(len(peers) // 3, min(1, len(peers) - 1)):
            self._pause(server, ALL)
            self.actions.append(api.Log(f"server {server.name} left out: {reason}"))

    def _probe_ended(self, event: api.ProbeEnded) -> None:
        server = self.servers.get(event.server)
        self._take_report(server, event.report)
        if server is not None and event.outcome not in (Outcome.SERVED, Outcome.NOT_SENT):
            self._eject(server, event.outcome.value)
        for name in [n for n in self.held if event.server in self.requests[n].pair]:
            self._advance(self.requests[name])

    def _take_report(self, server: Server | None, report: api.LoadReport | None) -> None:
        if server is not None and report is not None:
            server.report, server.report_at = report, self.now
            server.streams_then, server.work_then = server.streams, server.work_out

    # A request's life.

    def _arrived(self, event: api.RequestArrived) -> None:
        if not 0 <= event.class_index < len(self.settings.classes):
            raise ValueError(f"request {event.request}: unknown class {event.class_index}")
        since, self.arrived_at = self.arrived_at or self.now, self.now
        self.interval += SMOOTH * (self.now - since - self.interval)
        keys = [(f"session {event.session}", event.prompt_tokens)] if event.session else []
        beside = keys[0][0] if keys else event.request
        if event.shared_beginning is not None:
            # A beginning has one key for each of its homes, so that a popular one does not bury one reader.
            home = crc32(event.session.encode()) % self.homes
            keys.insert(0, (f"beginning {home} {event.shared_beginning}", event.shared_tokens))
            other = home ^ (1 + crc32(event.session[::-1].encode()) % max(1, self.homes - 1))
            beside = f"beginning {other} {event.shared_beginning}"
        cls = self.settings.classes[event.class_index]
        wanted = cls.first_token_aim + cls.aim_per_1000_tokens * event.prompt_tokens / 1000.0
        request = Request(
            event.request,
            cls,
            event.class_index,
            self._over_share(event.tenant),
            event.session,
            tuple(keys or [(event.request, 0)]),
            beside,
            event.prompt_tokens,
            wanted,
            self.now,
            self.now + event.time_left,
        )
        self.requests[request.name] = request
        self._advance(request)
        self._count_flow(ARRIVALS)  # after its own choice: nothing of it can have been carried yet

    def _over_share(self, tenant: int) -> bool:
        """Take one from the tenant's allowance here: its quota among the routers, for QUOTA_SPAN."""
        if not 0 <= tenant < len(self.settings.tenants):
            return False
        rate = self.settings.tenants[tenant].quota_per_second / self.settings.routers / SECOND
        most = rate * QUOTA_SPAN + 2.0  # chance brings a few together, however small the rate
        left, at = self.allowance.get(tenant, (most, self.now))
        left = min(left + rate * (self.now - at), most)
        self.allowance[tenant] = (left - (left >= 1.0), self.now)
        return rate > 0.0 and left < 1.0

    def _advance(self, request: Request) -> None:
        """Move on a request that has no attempt out: send it, hold it, or end it.  Owed: ``Obligation.STATE``."""
        left = request.deadline - self.now
        whole = self.pools[Role.MIXED] or (self.settings.writers_read and self.pools[Role.DECODE])
        steps = 1 if request.reader or whole else 2
        if left <= ANSWER_MARGIN or request.attempts + steps > self.settings.max_attempts:
            return self._give_up(request)
        if request.reader and self._stands_too_long(request):
            # Also before a send: one that does not reach its engine leaves the state standing meanwhile.
            self._release(request)
            return self._advance(request)
        if request.reader:
            reader = self.servers.get(request.reader)
            writer = self._choose_writer(request, reader.cell if reader else None)
            if writer is not None:
                return self._send(request, writer, Phase.WRITING)
        else:
            server = self._choose_reader(request)
            worth = request.cls.worth * (self.settings.over_share_worth if request.over_share else 1.0)
            most = max(c.worth for c in self.settings.classes) or 1.0  # where nothing is worth anything, all are alike
            bound = ADMIT_LOW + (ADMIT - ADMIT_LOW) * worth / most
            if server is not None and request.expected > bound and self._may_refuse(request):
                if not self._look_further(request):
                    return self._give_up(request)  # it would be late: the work had better go to others
                server = None
            if server is not None:
                reading = server.role is Role.PREFILL
                self._send(request, server, Phase.READING if reading else Phase.WRITING)
                return self._look_ahead(request, server.cell) if reading else None
        request.phase = Phase.HELD
        self.held[request.name] = None
        return None

    def _read_time(self, server: Server, tokens: float) -> float:
        """Expected time until so many tokens, a read's own among them, are read there."""
        if (read := self.latency[server.role]).count < PACED:
            return 0.0
        # A reader's own pace tells of other routers' work there; it fades to the role's.
        pace = read.recent(self.now, self.interval)
        if server.pace:
            pace += (server.pace - pace) * float(0.5 ** ((self.now - server.good_at) / SECOND))
        return pace * (tokens + self.prompt_work.pace())

    def _writers_wait(self) -> float:
        """Writers are also judged by who waits there now: their first tokens tell of it too late."""
        ages = [self.now - min(s.waiting.values()) for s in self.pools[Role.DECODE] if s.waiting]
        return max(
            self.latency[Role.DECODE].recent(self.now, self.interval), sum(ages) / max(len(self.pools[Role.DECODE]), 1)
        )

    def _look_ahead(self, request: Request, cell: int) -> None:
        """Ask the writer in view and one beside it for their reports, during the read.

        No reservation is asked for, also where the settings allow it: nothing that a writer answers tells whether the
        read has arrived, so what it holds could only be let go of in time by taking reads back (docs/obligations.md
        has what that costs, and that reservations earned nothing that could be measured).

        Owed: ``Obligation.RESERVATION``."""
        if not self.by_probe:
            return
        writer = self._choose_writer(request, cell)
        if writer is None or not self._warm(writer):
            return  # in slow start every call counts, so the send is its only one
        beside = [s for s in self.pools[Role.DECODE] if s.cell == writer.cell and s is not writer]
        self.actions += [api.Probe(s.name) for s in [writer, *beside[:1]] if self._warm(s)]

    def _stands_too_long(self, request: Request) -> bool:
        """Whether what is held has to go now, if the release is to be heard within the time allowed."""
        return self.now - request.stands_since > RELEASE_SHARE * self.settings.release_within

    def _let_go_unproven(self, request: Request) -> None:
        """Let go of a state behind an attempt at a writer that is not known to have arrived.

        Exception (silent send): bytes that a kernel took may reach nobody, and the state held for their attempt would
        stand until that ends.  Acts where no answer shows an arrival in time; the attempt stays out, since a release
        leaves alone what an attempt waits for.  Could cost a second read, where the attempt fails after that.

        Owed: ``Obligation.STATE``."""
        if not self._stands_too_long(request):
            return
        if request.writing and request.reader:
            self._release(request)
            request.holds = True  # what the attempt waits for, if it has arrived: let go of when that ends otherwise

    def _release(self, request: Request) -> None:
        """Let go of the state held for a request, if any."""
        if request.holds:
            self.actions.append(api.Release(request.name))
            request.holds = False
        if (reader := self.servers.get(request.reader)) is not None:
            reader.states -= 1
        request.reader = ""

    def _send(self, request: Request, server: Server, phase: Phase) -> None:
        self.held.pop(request.name, None)
        request.phase, request.server, request.sent = phase, server.name, self.now
        request.writing = phase is Phase.WRITING
        server.waiting[request.name] = self.now
        if not self._warm(server):
            request.eased += (server.name,)
        request.work, request.queue = 0.0, float(len(server.waiting))
        if phase is Phase.READING or not request.reader:
            before = self._backlog(server)
            request.work = float(max(request.prompt - self._covered(server, request), BLOCK))
            self.prompt_work.add(request.work, 1.0)
            for key, tokens in request.keys:
                server.table.learn(key, min(tokens, request.prompt), self.now)
            server.work_out += request.work
            fixed = self.prompt_work.pace()  # a read's fixed part, taken as that of one mean prompt
            request.queue = max(server.work_out, before + request.work) + fixed
        if phase is Phase.WRITING:
            server.streams += 1
        self.out[request.name] = None
        self._set_due(request, server)
        self.actions.append(api.Send(request.name, server.name, request.deadline - self.now))

    def _set_due(self, request: Request, server: Server) -> None:
        """An attempt is late past a share of the time left, until it is wanted or then the client leaves."""
        left = request.arrived + request.wanted - self.now
        left = left if left > 0.0 else request.deadline - self.now
        usual = self.latency[server.role].time + 4.0 * self.latency[server.role].spread  # of nearly all
        request.due = self.now + max(usual, PATIENCE * left)

    def _first_token(self, event: api.FirstToken) -> None:
        request, server = self.requests.get(event.request), self.servers.get(event.server)
        if request is None or request.attempts != event.attempt or server is None:
            return
        server.waiting.pop(request.name, None)
        self.out.pop(request.name, None)
        self._good(server, request, event.elapsed)
        if request.phase is not Phase.ENDED:
            request.phase = Phase.STREAMING
        request.holds = False  # with the first token all that was held goes by itself
        self._release(request)

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        server = self.servers.get(event.server)
        self._take_report(server, event.report)
        request = self.requests.get(event.request)
        if request is None or request.attempts != event.attempt or not request.server:
            return
        request.attempts += 1
        if event.outcome in ARRIVED:
            request.stands_since = self.now
        self.out.pop(request.name, None)
        ended = event.finished or request.phase is Phase.ENDED
        if server is not None:
            self._settle(request, server, event)
            server.states += event.outcome is Outcome.READ
        request.server = ""
        if request.writing and not request.ran_on and event.outcome in UNPROVEN:
            request.ran_on, request.ran_at = event.server, request.sent
        if event.outcome is Outcome.READ:
            request.reader, request.holds = event.server, True
        elif event.state_missing:
            # The reader lost the state (dead, restarted, cut off): read anew.
            request.failed += (request.reader,) if request.reader else ()
            self._release(request)
        elif event.outcome not in (Outcome.SERVED, Outcome.NOT_SENT):
            request.failed += (event.server,)
        # The state of an answer that was lost is gone: with attempts left for no more, it is read anew.
        # Covers answers called off, cut off and spoilt; could read for nothing where none had been fetched.
        lost = event.outcome in (Outcome.CANCELLED, Outcome.RESET)
        last_two = lost and self.settings.max_attempts - request.attempts == 2
        if ended or not request.reader or last_two:
            self._release(request)
        if ended:
            del self.requests[request.name]
        else:
            self._advance(request)

    def _settle(self, request: Request, server: Server, event: api.AttemptEnded) -> None:
        """Book an attempt's end at its server: counters, health, the reader's table."""
        server.waiting.pop(request.name, None)
        server.work_out = max(0.0, server.work_out - request.work)
        if request.writing:
            server.streams -= 1
        if (outcome := event.outcome) is Outcome.READ:
            # The pace is that of the work truly done: kept text that was gone had to be read too.
            request.queue += max(request.prompt - event.kept_tokens, BLOCK) - request.work
            self._good(server, request, event.elapsed)
            # Exception (voided prefixes): a read that found far less than the table promised shows that
            # the reader forgot; what was sent before this read goes from its table.
            promised = request.prompt - request.work
            if promised >= 4 * BLOCK and event.kept_tokens < promised / 2:
                for key in [k for k, (_, sent) in server.table.entries.items() if sent < request.sent]:
                    server.table.drop(key)
        elif outcome is Outcome.FULL and not event.state_missing:
            # A server out of room says so at once to all; one that holds a class back takes its time.
            held = request.class_index if event.elapsed > SLOW_FULL * request.aim() else ALL
            if held != ALL:
                self.held_back[held] = self.now
            self._pause(server, held)
        elif outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED):
            if outcome is Outcome.CONNECT_FAILED:
                # Exception (crash): its process is gone and what it kept with it.
                server.table, server.report = PrefixTable(server.table.limit), None
            self._eject(server, outcome.value)
        elif outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            # It would have taken longer still: without this a jam that answers nobody looks quick.
            self.latency[server.role].add(float(event.elapsed), request.queue, self.now)

    def _end(self, request: Request) -> None:
        """The request is answered or its client gone; nothing new goes out for it."""
        self.held.pop(request.name, None)
        if request.server:
            if request.phase is not Phase.STREAMING and self.settings.may_cancel:
                self.actions.append(api.Cancel(request.name, request.attempts))
            request.phase = Phase.ENDED
        else:
            self._release(request)
            del self.requests[request.name]

    def _give_up(self, request: Request) -> None:
        """End a request that no engine answered: refused where a retry is harmless, else failed.

        Owed: ``Obligation.ANSWER``."""
        after = min(self.settings.max_retry_after, SECOND // 2) if self.settings.may_advise_retry else 0
        answer = api.Refuse(request.name, after) if self._may_refuse(request) else api.Fail(request.name)
        self.actions.append(answer)
        self._end(request)

    # Effects.

    def _may_refuse(self, request: Request) -> bool:
        """A refusal says that a retry is harmless."""
        if not request.ran_on or request.cls.effect is Effect.SAFE:
            return True
        return request.cls.effect is Effect.KEYED and request.cls.scope is api.Scope.ALL

    def _may_repeat(self, request: Request, server: Server) -> bool:
        """Whether a send to this server can have no second effect."""
        if not request.ran_on or request.cls.effect is Effect.SAFE:
            return True
        first = self.servers.get(request.ran_on)
        if request.cls.effect is Effect.UNSAFE or first is None or self.now >= request.ran_at + request.cls.key_window:
            return False
        return {
            api.Scope.ALL: True,
            api.Scope.ZONE: server.zone == first.zone,
            api.Scope.CELL: server.cell == first.cell,
        }[request.cls.scope]

    def _call_off(self, request: Request, server: Server) -> None:
        """An attempt is late: take it back while there is time for another.

        Covers hung and silent servers and answers that are lost.  In an overload all are late: calls off
        are paid for by timely outcomes, so that work is not doubled then.

        Owed: ``Obligation.ATTEMPT``."""
        if self._asks() and not request.writing and self._warm(server):
            # Exception (busy): engines read on after a call off: a reader that tells of work is waited for.
            # Guards against calls off of all routers at once; could wait for one that hangs with work queued.
            if request.asked_at <= request.sent and not self._fresh(server):
                request.asked_at, request.due = self.now, self.now + ASK_WAIT
                self.actions.append(api.Probe(server.name))
                return
            if self._busy(server, request):
                request.asked_at = 0
                self._set_due(request, server)
                return
        self._set_due(request, server)
        again = request.cls.effect is Effect.SAFE or not request.writing
        steps = 1 if request.reader else 2
        moves = server.answered < request.sent <= server.good_at  # what was sent before it still comes
        if moves or not (
            again
            and self.settings.may_cancel
            and self.credit >= 1.0
            and request.attempts + 1 + steps <= self.settings.max_attempts
        ):
            return
        self.credit -= 1.0
        request.due = float("inf")
        self.actions.append(api.Cancel(request.name, request.attempts))
        server.late += 1
        if server.late > 1:
            self._eject(server, "silent")

    def _busy(self, server: Server, request: Request) -> bool:
        """Whether its own report, just heard, tells of work that takes its time."""
        if not self._fresh(server) or server.report is None:
            return False
        waiting, read = server.report.waiting_tokens or 0.0, self.latency[server.role]
        if read.count < PACED:
            return waiting > request.prompt
        return waiting * read.pace() > QUICK * request.wanted

    def _sweep(self) -> None:
        if self.subscribe_at and self.subscribe_at <= self.now:
            self.subscribe_at = 0
            self.actions.append(api.Subscribe())
        for name in list(self.out):
            request = self.requests[name]
            server = self.servers.get(request.server)
            self._let_go_unproven(request)
            if request.phase is not Phase.ENDED and server is not None and request.due <= self.now:
                self._call_off(request, server)
        for name in list(self.held):
            self._advance(self.requests[name])


def clamp(value: float) -> float:
    """The value within [0, 1]."""
    return min(1.0, max(0.0, value))


def spread_hash(key: str, name: str) -> float:
    """A stable number in [0, 1) for a pair, as if drawn at random."""
    mixed = crc32(f"{name}/{key}".encode())
    mixed = (mixed ^ mixed >> 15) * 0x2C1B3C6D & 0xFFFFFFFF  # a plain crc of like texts is not independent
    return (mixed ^ mixed >> 13) / (1 << 32)
