"""Every decision of stonetrack.  The interface (settings, events, actions) is stonetrack/api.py.

One Router is one node.  It is pure: the clock comes with each event, the same events give the
same actions.  Reading order: settings, tables, scores, choices, health, request life.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from zlib import crc32

from stonetrack import api
from stonetrack.api import Effect, ListKind, Outcome, Role, ServerState

MS = 1_000_000  # nanoseconds
SECOND = 1_000 * MS

# The mechanism's own figures (docs/design.md).
WEIGHT_PREFIX, WEIGHT_LOAD, WEIGHT_MEMORY = 3.0, 2.0, 2.0
BLOCK = 16  # tokens
TABLE_BLOCKS = 31_250  # most blocks kept for one server
LEAVE_FACTOR, LEAVE_STREAMS = 1.3, 2.0  # a cell's best stands "well above" mean * factor + streams
REPORT_AGE = 5 * SECOND  # an older load report is no longer heard

# Ours: timing.
SWEEP = 50 * MS  # how often held requests and silent servers are looked at
ANSWER_MARGIN = 60 * MS  # a held request is given up this long before its client leaves
RELEASE_SHARE = 0.7  # of the time allowed for holding a state with no attempt out
QUIET_LEAST = 2 * SECOND  # a server's silence below this says nothing,
QUIET_WORST = 2.0  # nor does one below so many times the role's longest answer of late
PROBE_EVERY = 2 * SECOND  # where reports come by probe only

CROWDED = 0.4  # share of the aim from which a reader is passed over for one that takes less
ADMIT, ADMIT_LOW = 0.9, 0.5  # share of the aim that the expected wait may take: full worth, none

# Ours: health.
STRIKES_OUT = 1.6  # strikes that eject; a success halves them
EJECT_FIRST, EJECT_MOST = 1 * SECOND, 8 * SECOND
TRIALS = 3  # good outcomes, one at a time, that end an ejection
SLOW_RATIO, SLOW_SAMPLES = 3.0, 8  # a smoothed pace so far over the role's median is slow
SLOW_AIM_SHARE = 0.1  # a read that takes less than this share of the aim harms nobody
FULL_PAUSE = 300 * MS
WRITER_WAITS = 200 * MS  # a writer whose first tokens take longer has no room
COLD_SAFETY = 0.5  # share used of the budget that a cold server is known to bear
SMOOTH = 0.2  # weight of a new sample in running means

UNPROVEN = (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)  # it may have run


class Phase(Enum):
    """A request's life.  What is held and the timer that saves it stand beside each state."""

    HELD = "held"  # nothing; the sweep
    READING = "reading"  # an attempt at a reader, perhaps a place; the attempt's time limit
    READ = "read"  # a state; the sweep releases it in time
    WRITING = "writing"  # an attempt at a writer and a state; the attempt's time limit
    STREAMING = "streaming"  # the client's stream; the stream's end
    ENDED = "ended"  # answered, an attempt still out; that attempt's outcome


@dataclass(slots=True)
class Stat:
    """Running latency for each unit of work, and the longest of late."""

    time: float = 0.0
    work: float = 0.0
    worst: float = 0.0  # longest of late, fading with each sample
    count: int = 0
    at: int = 0  # when last added to

    def recent(self, now: int) -> float:
        """The pace, halved for each second without a sample: refusing must not keep it high."""
        return float(self.pace() * 0.5 ** max(0.0, (now - self.at) / SECOND - 0.5))

    def add(self, time: float, work: float, now: int = 0) -> None:
        self.at = now
        self.worst = max(time, 0.98 * self.worst)
        self.count += 1
        share = max(SMOOTH / 2, 1.0 / self.count)
        self.time += share * (time - self.time)
        self.work += share * (work - self.work)

    def pace(self) -> float:
        return self.time / self.work if self.work else 0.0


@dataclass(slots=True)
class Entry:
    """Tokens of one key that a reader should hold, when sent, and whether a read has ended since."""

    tokens: int
    sent: int
    proven: bool = False


class PrefixTable:
    """Keys this router sent to one reader, least recently used first, bounded in blocks."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.blocks = 0
        self.entries: OrderedDict[str, Entry] = OrderedDict()

    def learn(self, key: str, tokens: int, now: int) -> None:
        self.drop(key)
        if tokens >= BLOCK:
            self.entries[key] = Entry(tokens // BLOCK * BLOCK, now)
            self.blocks += tokens // BLOCK
        while self.blocks > self.limit:
            self.drop(next(iter(self.entries)))

    def drop(self, key: str) -> None:
        entry = self.entries.pop(key, None)
        if entry is not None:
            self.blocks -= entry.tokens // BLOCK

    def drop_before(self, time: int) -> None:
        for key in [k for k, e in self.entries.items() if e.sent < time]:
            self.drop(key)


@dataclass(slots=True)
class Server:
    """What this router knows of one server."""

    name: str
    role: Role
    zone: int
    cell: int
    weight: float
    started: int
    table: PrefixTable
    state: ServerState = ServerState.UP
    report: api.LoadReport | None = None
    report_at: int = 0
    streams_then: int = 0  # own streams when the report came
    work_then: float = 0.0  # own tokens to read when the report came
    waiting: dict[str, int] = field(default_factory=dict)  # own attempts not yet begun: sent when
    work_out: float = 0.0  # tokens to read in own attempts out
    states: int = 0  # own read states that wait here
    streams: int = 0  # own requests writing or streaming here, places included
    strikes: float = 0.0
    ejected_until: int = 0
    span: int = EJECT_FIRST
    trials: int = 0  # good outcomes still wanted before the server counts as sound
    lost: bool = False  # it could not be reached: it may come back cold and empty
    good_at: int = 0
    pace: float = 0.0  # smoothed latency: of a read for each token queued, of a writer's first token
    samples: int = 0  # of the pace
    full_until: int = 0
    cold_until: int = 0
    cold_sends: deque[int] = field(default_factory=deque)


@dataclass(slots=True)
class Request:
    """One request and what it holds."""

    name: str
    cls: api.RequestClass
    tenant: int
    session: str
    beginning: str | None
    beginning_tokens: int
    prompt: int
    arrived: int
    deadline: int
    phase: Phase = Phase.HELD
    attempts: int = 0
    server: str = ""  # where the attempt out is
    sent: int = 0
    cancelled: bool = False
    writing: bool = False  # the attempt out may answer, so it counts as a stream there
    work: float = 0.0  # tokens it has to read there
    queue: float = 1.0  # those, and those of this router's attempts before it
    credit: int = 0  # tokens a proven entry promised at the send
    reader: str = ""  # where a state waits
    place: str = ""  # writer asked to hold a place
    holds: bool = False  # a state or place may be held somewhere: released on every path but a first token
    stands_since: int = 0  # when the state came to wait with no attempt out
    failed: tuple[str, ...] = ()  # servers not to be tried again while others are up
    ran_on: str = ""  # first server where it may have run
    ran_at: int = 0

    def aim(self) -> float:
        return self.cls.first_token_aim + self.cls.aim_per_1000_tokens * self.prompt / 1000.0


class Router:
    """One node's decisions: feed events to :meth:`handle`, carry out what it returns."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        check_settings(settings)
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0
        self.actions: list[api.Action] = []
        self.servers: dict[str, Server] = {}
        self.requests: dict[str, Request] = {}
        self.held: dict[str, None] = {}
        self.latency = {role: Stat() for role in Role}
        self.prompt_work = Stat()  # tokens to read of one request
        self.carried = {role: [0.0, 0.0] for role in Role}  # good outcomes in a window, and when
        self.subscribe_at = 0
        self.timer_set = False

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event; the actions are to be carried out in order."""
        self.now = max(now, self.now)
        self.actions = []
        if not self.timer_set:
            self.timer_set = True
            self.actions.append(api.SetTimer(0, SWEEP))
        match event:
            case api.RequestArrived():
                self._arrived(event)
            case api.AttemptEnded():
                self._attempt_ended(event)
            case api.FirstToken():
                self._first_token(event)
            case api.TimerFired():
                self._sweep()
            case api.ServerList():
                self._server_list(event)
            case api.RequestGone():
                self._gone(event)
            case api.PlaceAnswer():
                request = self.requests.get(event.request)
                if request is not None and request.place == event.server and not event.held:
                    self._drop_place(request)
            case api.ProbeEnded():
                self._probe_ended(event)
        return self.actions

    # The server list.

    def _server_list(self, event: api.ServerList) -> None:
        if event.kind is ListKind.FAILED:
            self.subscribe_at = self.now + SECOND
            return
        if event.kind is ListKind.SAVED and self.settings.list_on_request:
            self.actions.append(api.Subscribe())
        listed = set()
        for entry in event.entries:
            listed.add(entry.server)
            if not 0 <= entry.kind < len(self.settings.kinds):
                raise ValueError(f"server {entry.server}: unknown kind {entry.kind}")
            self._listed(entry)
        if event.kind is not ListKind.CHANGES:
            for server in self.servers.values():
                if server.name not in listed:
                    server.state = ServerState.REMOVED
        self._forget_servers()

    def _listed(self, entry: api.ServerEntry) -> None:
        server = self.servers.get(entry.server)
        kind = self.settings.kinds[entry.kind]
        if server is None:
            if entry.state is ServerState.REMOVED:
                return
            blocks = min(TABLE_BLOCKS, kind.memory_tokens // BLOCK or TABLE_BLOCKS)
            server = Server(entry.server, kind.role, entry.zone, entry.cell, entry.weight, entry.started,
                            PrefixTable(blocks))
            self.servers[entry.server] = server
            server.cold_until = entry.started + self.settings.warm_within if entry.started else 0
        elif entry.started != server.started and entry.state is ServerState.UP:
            # A restart: nothing that was kept there is left, and the server is cold.
            self._lost_all(server)
            server.started = entry.started
            server.cold_until = max(server.cold_until, entry.started + self.settings.warm_within)
        server.state, server.role = entry.state, kind.role
        server.zone, server.cell, server.weight = entry.zone, entry.cell, entry.weight

    def _lost_all(self, server: Server) -> None:
        server.table = PrefixTable(server.table.limit)
        server.report = None

    def _forget_servers(self) -> None:
        for name in [s.name for s in self.servers.values()
                     if s.state is ServerState.REMOVED and not s.waiting and not s.streams and not s.states]:
            del self.servers[name]

    # Scores of the reader choice, each within [0, 1].

    def _covered(self, server: Server, request: Request, proven: bool = False) -> int:
        """Longest covered length held there for this prompt, in tokens (only what a read proved)."""
        best = 0
        for key, tokens in request_keys(request):
            entry = server.table.entries.get(key)
            if entry is not None and (entry.proven or not proven):
                best = max(best, min(entry.tokens, tokens))
        return best

    def _report(self, server: Server) -> api.LoadReport | None:
        fresh = server.report is not None and self.now - server.report_at <= REPORT_AGE
        return server.report if fresh else None

    def _read_load(self, server: Server) -> float | None:
        """Tokens to be read there: reported and own change since; own sends out where none report."""
        if self.settings.report_source is api.ReportSource.NONE:
            return server.work_out
        report = self._report(server)
        if report is None or (report.waiting_tokens is None and report.in_flight is None):
            return None
        reported = report.waiting_tokens
        if reported is None:
            reported = (report.in_flight or 0.0) * self.prompt_work.pace()
        return max(server.work_out, reported + server.work_out - server.work_then)

    def _scores(self, request: Request, servers: list[Server]) -> dict[str, float]:
        """Weighted sum of the three scores for each server."""
        heard = {s.name: self._read_load(s) for s in servers}
        relative: dict[str, float] = {}
        for role in (Role.READER, Role.MIXED, Role.WRITER):
            loads = [load for s in servers if s.role is role and (load := heard[s.name]) is not None]
            mean = sum(loads) / len(loads) if loads else 0.0
            for s in servers:
                if s.role is role:
                    load = heard[s.name]
                    relative[s.name] = ((mean if load is None else load) - mean) / s.weight
        low, high = min(relative.values()), max(relative.values())
        # Exception (tiny spread): a spread below one request's reading is noise and is not
        # stretched to the full range.
        spread = max(high - low, self.prompt_work.pace(), 1.0)
        most_states = max(s.states for s in servers)
        reports = {s.name: report for s in servers if (report := self._report(s)) is not None}
        shares = [r.memory_share for r in reports.values() if r.memory_share is not None]
        total = WEIGHT_PREFIX + WEIGHT_LOAD + WEIGHT_MEMORY
        result = {}
        for s in servers:
            prefix = self._covered(s, request) / max(request.prompt, 1)
            load = (high - relative[s.name]) / spread if high - low >= spread else (
                1.0 - (relative[s.name] - low) / spread)
            report = reports.get(s.name)
            if report is not None and report.memory_share is not None:
                used = report.memory_share
            elif shares:
                used = sum(shares) / len(shares)
            else:
                used = s.states / most_states if most_states else 0.0
            result[s.name] = (WEIGHT_PREFIX * clamp(prefix) + WEIGHT_LOAD * clamp(load)
                              + WEIGHT_MEMORY * clamp(1.0 - used)) / total
        return result

    # The choices.

    def _choose_reader(self, request: Request) -> Server | None:
        able = [s for s in self.servers.values() if s.role is not Role.WRITER or self.settings.writers_read]
        pure = [s for s in able if s.role is not Role.WRITER]
        servers = self._usable(pure, request) or self._usable(able, request)
        if not servers:
            return None
        # Exception (pile-up): a reader whose queue takes much of the aim does not compete while another's
        # does not; kept prefixes would draw ever more to it.
        for share in (CROWDED, ADMIT):
            uncrowded = [s for s in servers if self._expected(request, s) <= share]
            if uncrowded:
                servers = uncrowded
                break
        scores = self._scores(request, servers)
        return max(servers, key=lambda s: (round(scores[s.name], 9), self._tie(s, request)))

    def _choose_writer(self, request: Request, cell: int | None) -> Server | None:
        writers = [s for s in self.servers.values() if s.role is Role.WRITER]
        mixed = [s for s in self.servers.values() if s.role is Role.MIXED]
        servers = self._usable(writers, request) or self._usable(mixed, request)
        if not servers:
            return None
        # Exception (full memory): where own requests wait for their first token, longer prompts than
        # elsewhere fill the memory; the count of streams does not show it.  Covers slow and hung writers;
        # it could harm by moving a state to another cell when a whole cell is briefly full.
        servers = [s for s in servers if not self._waits(s)] or servers
        heard = {s.name: self._streams(s) for s in servers}
        known = [streams for streams in heard.values() if streams is not None]
        mean = sum(known) / len(known) if known else 0.0

        def load(server: Server) -> tuple[float, int]:
            streams = heard[server.name]
            if streams is None:
                streams = mean if known else server.streams / server.weight
            return (streams, -self._tie(server, request))

        best = min(servers, key=load)
        near = [s for s in servers if s.cell == cell]
        if near:
            nearest = min(near, key=load)
            if load(nearest)[0] <= mean * LEAVE_FACTOR + LEAVE_STREAMS:
                return nearest
        return best

    def _waits(self, server: Server) -> bool:
        return bool(server.waiting) and self.now - min(server.waiting.values()) > WRITER_WAITS

    def _streams(self, server: Server) -> float | None:
        """Streams at a writer: reported and own change since; our own where none report."""
        if self.settings.report_source is api.ReportSource.NONE:
            return server.streams / server.weight
        report = self._report(server)
        if report is None or report.in_flight is None:
            return None
        return max(server.streams, report.in_flight + server.streams - server.streams_then) / server.weight

    def _tie(self, server: Server, request: Request) -> int:
        return crc32(f"{self.settings.router}/{request.session or request.name}/{server.name}".encode())

    # Health: who may be chosen at all.

    def _usable(self, servers: list[Server], request: Request) -> list[Server]:
        """Sound servers; failing that, any that is up and can bear a send."""
        able = [s for s in servers if s.state is ServerState.UP and s.full_until <= self.now
                and self._cold_room(s) and self._may_repeat(request, s)]
        sound = [s for s in able if self._sound(s)]
        fresh = [s for s in sound if s.name not in request.failed]
        if fresh or sound:
            return fresh or sound
        return [s for s in able if s.name not in request.failed] or able

    def _sound(self, server: Server) -> bool:
        if server.ejected_until > self.now or self._silent(server):
            return False
        return not server.trials or not server.waiting

    def _silent(self, server: Server) -> bool:
        """An attempt has waited far longer than such attempts do, and nothing came since it left."""
        if not server.waiting:
            return False
        oldest = min(server.waiting.values())
        patience = max(QUIET_WORST * self.latency[server.role].worst, float(QUIET_LEAST))
        return server.good_at < oldest and self.now - oldest > patience

    def _cold_room(self, server: Server) -> bool:
        """Whether a cold server may be sent one more request by this router alone.

        Its budget in a window is this router's own mean load of a warm server of the role,
        times the multiple and the share it starts with: each router counts its own share.
        """
        if server.cold_until <= self.now:
            return True
        window = self.settings.cold_window
        while server.cold_sends and server.cold_sends[0] <= self.now - window:
            server.cold_sends.popleft()
        peers = sum(1 for s in self.servers.values() if s.role is server.role
                    and s.state is ServerState.UP and s.cold_until <= self.now)
        carried = self._carried(server.role, 0.0) / max(peers, 1)
        budget = COLD_SAFETY * self.settings.cold_multiple * self.settings.cold_share * carried
        return len(server.cold_sends) + 1 <= max(1.0, budget)

    def _carried(self, role: Role, more: float) -> float:
        """Good outcomes of a role in one cold window, smoothed; adds ``more``."""
        count, at = self.carried[role]
        window = max(self.settings.cold_window, 1)
        count *= max(0.0, 1.0 - (self.now - at) / window) if self.now - at < window else 0.0
        self.carried[role] = [count + more, float(self.now)]
        return count + more

    def _good(self, server: Server, request: Request, elapsed: int) -> None:
        stat = self.latency[server.role]
        pace = elapsed / request.queue  # reads: for each token that stood before them and in them
        server.samples += 1
        server.pace += max(SMOOTH, 1.0 / server.samples) * (pace - server.pace)
        stat.add(float(elapsed), request.queue, self.now)
        server.good_at = self.now
        server.strikes /= 2
        if server.cold_until <= self.now:
            self._carried(server.role, 1.0)
        if server.lost:
            # Back after it could not be reached: most likely restarted, so cold until told more.
            server.lost = False
            server.cold_until = max(server.cold_until, self.now + self.settings.warm_within)
        if server.trials:
            server.trials -= 1
            if not server.trials:
                server.span = EJECT_FIRST
        if server.samples >= SLOW_SAMPLES and not server.trials and server.cold_until <= self.now:
            peers = sorted(s.pace for s in self.servers.values()
                           if s.role is server.role and s.samples >= SLOW_SAMPLES)
            harmful = server.role is not Role.READER or elapsed > SLOW_AIM_SHARE * request.aim()
            if harmful and server.pace > SLOW_RATIO * peers[len(peers) // 2]:
                server.samples = 0
                self._eject(server, "slow")

    def _strike(self, server: Server, outcome: Outcome) -> None:
        unreachable = outcome in (Outcome.CONNECT_FAILED, Outcome.RESET)
        server.strikes += 1.0
        if unreachable:
            # Exception (crash): its process is gone and what it kept with it.
            self._lost_all(server)
            self._lose(server, outcome.value)
        elif server.trials or server.strikes >= STRIKES_OUT:
            self._eject(server, outcome.value)

    def _lose(self, server: Server, reason: str) -> None:
        """The server can't be reached: it will most likely come back cold."""
        server.lost = True
        self._eject(server, reason)

    def _eject(self, server: Server, reason: str) -> None:
        """Leave a server out for a while, then try it with single requests; a third of a role at most."""
        peers = [s for s in self.servers.values() if s.role is server.role and s.state is ServerState.UP]
        out = sum(1 for s in peers if s.ejected_until > self.now)
        if server.ejected_until > self.now or out + 1 > max(len(peers) // 3, min(1, len(peers) - 1)):
            return
        server.ejected_until = self.now + server.span
        server.span = min(server.span * 2, EJECT_MOST)
        server.trials = TRIALS
        server.strikes = 0.0
        self.actions.append(api.Log(f"server {server.name} left out: {reason}"))

    def _probe_ended(self, event: api.ProbeEnded) -> None:
        server = self.servers.get(event.server)
        if server is None:
            return
        if event.outcome is Outcome.SERVED:
            self._take_report(server, event.report)
        else:
            self._strike(server, event.outcome)

    def _take_report(self, server: Server, report: api.LoadReport | None) -> None:
        if report is not None:
            server.report, server.report_at = report, self.now
            server.streams_then, server.work_then = server.streams, server.work_out

    # A request's life.

    def _arrived(self, event: api.RequestArrived) -> None:
        if not 0 <= event.class_index < len(self.settings.classes):
            raise ValueError(f"request {event.request}: unknown class {event.class_index}")
        request = Request(
            event.request, self.settings.classes[event.class_index], event.tenant, event.session,
            event.shared_beginning, min(event.shared_tokens, event.prompt_tokens), event.prompt_tokens,
            self.now, self.now + event.time_left)
        self.requests[request.name] = request
        self._advance(request)

    def _advance(self, request: Request) -> None:
        """Move on a request that has no attempt out: send it, hold it, or end it."""
        left = request.deadline - self.now
        steps = 1 if request.reader else 2
        if self._reads_whole():
            steps = 1
        if left <= ANSWER_MARGIN or request.attempts + steps > self.settings.max_attempts:
            self._give_up(request)
            return
        if request.reader:
            reader = self.servers.get(request.reader)
            # The answer to a place may be lost; a state that moved there exists nowhere else.
            place = self.servers.get(request.place)
            if place is not None and place in self._usable([place], request):
                writer: Server | None = place
            else:
                writer = self._choose_writer(request, reader.cell if reader else None)
            if writer is not None:
                self._send(request, writer, Phase.WRITING)
                return
            if request.phase is not Phase.READ:
                request.phase, request.stands_since = Phase.READ, self.now
            if self.now - request.stands_since > RELEASE_SHARE * self.settings.release_within:
                self._release(request)
                request.phase = Phase.HELD
        else:
            server = self._choose_reader(request)
            if server is not None and self._too_late(request, server):
                self._give_up(request)
                return
            if server is not None:
                reading = server.role is Role.READER
                self._send(request, server, Phase.READING if reading else Phase.WRITING)
                if reading and self.settings.may_hold_place:
                    self._hold_place(request, server.cell)
                return
            request.phase = Phase.HELD
        self.held[request.name] = None

    def _expected(self, request: Request, server: Server) -> float:
        """Expected time to the first token, from the arrival, as a share of the aim."""
        read = self.latency[server.role]
        if read.count < 10:
            return 0.0
        # A reader's own pace tells of other routers' work there; it fades to the role's.
        pace = read.recent(self.now)
        if server.samples:
            pace += (server.pace - pace) * 0.5 ** ((self.now - server.good_at) / SECOND)
        work = max(request.prompt - self._covered(server, request), BLOCK)
        queued = server.work_out + work + self.prompt_work.pace()
        # Writers are also judged by who waits there now: their first tokens tell of it too late.
        writers = [s for s in self.servers.values() if s.role is Role.WRITER and s.state is ServerState.UP]
        ages = [self.now - min(s.waiting.values()) for s in writers if s.waiting]
        write_wait = max(self.latency[Role.WRITER].recent(self.now), sum(ages) / max(len(writers), 1))
        return float(pace * queued + write_wait + self.now - request.arrived) / request.aim()

    def _too_late(self, request: Request, server: Server) -> bool:
        """Whether the answer is expected so late that the work had better go to others."""
        best = max(cls.worth for cls in self.settings.classes)
        share = ADMIT_LOW + (ADMIT - ADMIT_LOW) * request.cls.worth / best
        return self._may_refuse(request) and self._expected(request, server) > share

    def _reads_whole(self) -> bool:
        """Whether some server up takes a request whole, in one attempt."""
        return any(s.state is ServerState.UP and (s.role is Role.MIXED or (
            s.role is Role.WRITER and self.settings.writers_read)) for s in self.servers.values())

    def _hold_place(self, request: Request, cell: int) -> None:
        writer = self._choose_writer(request, cell)
        if writer is not None:
            request.place, request.holds = writer.name, True
            writer.streams += 1
            self.actions.append(api.HoldPlace(request.name, writer.name))

    def _drop_place(self, request: Request) -> None:
        writer = self.servers.get(request.place)
        if writer is not None:
            writer.streams -= 1
        request.place = ""

    def _release(self, request: Request) -> None:
        """Let go of the state and the place held for a request, if any."""
        if request.holds:
            self.actions.append(api.Release(request.name))
            request.holds = False
        self._drop_state(request)
        self._drop_place(request)

    def _drop_state(self, request: Request) -> None:
        reader = self.servers.get(request.reader)
        if reader is not None:
            reader.states -= 1
        request.reader = ""

    def _send(self, request: Request, server: Server, phase: Phase) -> None:
        self.held.pop(request.name, None)
        time_limit = request.deadline - self.now
        request.phase, request.server, request.sent = phase, server.name, self.now
        request.writing, request.cancelled = phase is Phase.WRITING, False
        server.waiting[request.name] = self.now
        request.work = 0.0
        if phase is Phase.READING or not request.reader:
            covered = self._covered(server, request)
            request.work = float(max(request.prompt - covered, BLOCK))
            self.prompt_work.add(request.work, 1.0)
            request.credit = self._covered(server, request, proven=True)
            for key, tokens in request_keys(request):
                server.table.learn(key, tokens, self.now)
            server.work_out += request.work
        # A read also has a fixed part, taken as that of one mean prompt.
        request.queue = server.work_out + self.prompt_work.pace() if request.work else len(server.waiting)
        if phase is Phase.WRITING:
            self._drop_place(request)
            server.streams += 1
        if server.cold_until > self.now:
            server.cold_sends.append(self.now)
        # No time-out of its own: a busy server answers in turn, and work called off is done twice.
        # Attempts are called off where the server falls silent (_sweep).
        self.actions.append(api.Send(request.name, server.name, time_limit))

    def _first_token(self, event: api.FirstToken) -> None:
        request = self.requests.get(event.request)
        server = self.servers.get(event.server)
        if request is None or request.attempts != event.attempt or server is None:
            return
        server.waiting.pop(request.name, None)
        self._good(server, request, event.elapsed)
        if request.phase is not Phase.ENDED:
            request.phase = Phase.STREAMING
        request.holds = False
        self._drop_state(request)

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        server = self.servers.get(event.server)
        if server is not None:
            self._take_report(server, event.report)
        request = self.requests.get(event.request)
        if request is None or request.attempts != event.attempt or not request.server:
            return
        request.attempts += 1
        ended = event.finished or request.phase is Phase.ENDED
        if server is not None:
            self._settle(request, server, event)
        request.server = ""
        if request.writing and not request.ran_on and event.outcome in UNPROVEN:
            request.ran_on, request.ran_at = event.server, request.sent
        if event.outcome is Outcome.READ:
            request.reader, request.holds = event.server, True
            if server is not None:
                server.states += 1
        elif event.state_missing:
            # The reader lost the state (it died, restarted or is cut off): read anew elsewhere.
            request.failed += (request.reader,)
            # What a place took meanwhile goes too.
            self._release(request)
        elif event.outcome not in (Outcome.SERVED, Outcome.NOT_SENT):
            request.failed += (event.server,)
        if ended:
            self._release(request)
            self._forget(request)
            return
        if not request.reader:
            self._release(request)
        self._advance(request)

    def _settle(self, request: Request, server: Server, event: api.AttemptEnded) -> None:
        """Book an attempt's end at its server: counters, health, the reader's table."""
        server.waiting.pop(request.name, None)
        server.work_out = max(0.0, server.work_out - request.work)
        if request.writing:
            server.streams -= 1
        outcome = event.outcome
        if outcome is Outcome.READ:
            # The pace is that of the work truly done: kept text that was gone had to be read too.
            request.queue += max(request.prompt - event.kept_tokens, BLOCK) - request.work
            self._good(server, request, event.elapsed)
            # Exception (voided prefixes): a read that found far less than a proven entry promised
            # shows that the reader forgot; what was sent before this read goes from its table.
            if request.credit >= 4 * BLOCK and event.kept_tokens < request.credit // 2:
                server.table.drop_before(request.sent)
            for key, _ in request_keys(request):
                entry = server.table.entries.get(key)
                if entry is not None:
                    entry.proven = True
        elif outcome is Outcome.SERVED:
            server.good_at = self.now
        elif outcome is Outcome.FULL and not event.state_missing:
            server.full_until = self.now + FULL_PAUSE
        elif outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED):
            self._strike(server, outcome)

    def _gone(self, event: api.RequestGone) -> None:
        request = self.requests.get(event.request)
        if request is not None and request.phase is not Phase.ENDED:
            self._end(request)

    def _end(self, request: Request) -> None:
        """The request is answered or its client gone; nothing new goes out for it."""
        self.held.pop(request.name, None)
        if request.server:
            if request.phase is not Phase.STREAMING and self.settings.may_cancel:
                self.actions.append(api.Cancel(request.name, request.attempts))
            request.phase = Phase.ENDED
        else:
            self._release(request)
            self._forget(request)

    def _forget(self, request: Request) -> None:
        self.held.pop(request.name, None)
        self.requests.pop(request.name, None)
        self._forget_servers()

    def _give_up(self, request: Request) -> None:
        if self._may_refuse(request):
            after = min(self.settings.max_retry_after, SECOND // 2) if self.settings.may_advise_retry else 0
            self.actions.append(api.Refuse(request.name, after))
        else:
            self.actions.append(api.Fail(request.name))
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
        if request.cls.effect is Effect.UNSAFE or self.now >= request.ran_at + request.cls.key_window:
            return False
        first = self.servers.get(request.ran_on)
        if request.cls.scope is api.Scope.ALL:
            return True
        if first is None:
            return False
        if request.cls.scope is api.Scope.ZONE:
            return server.zone == first.zone
        return server.cell == first.cell

    # The sweep.

    def _call_off(self, server: Server) -> None:
        """A silent server (hung, cut off, dead): leave it out and take back what it has not begun."""
        self._lose(server, "silent")
        for name, sent in server.waiting.items():
            request = self.requests[name]
            if sent > server.good_at and request.phase is not Phase.ENDED and not request.cancelled and (
                    self.settings.may_cancel and request.attempts + 2 < self.settings.max_attempts):
                request.cancelled = True
                self.actions.append(api.Cancel(name, request.attempts))

    def _sweep(self) -> None:
        self.actions.append(api.SetTimer(0, SWEEP))
        if self.subscribe_at and self.subscribe_at <= self.now and self.settings.list_on_request:
            self.subscribe_at = 0
            self.actions.append(api.Subscribe())
        for server in self.servers.values():
            if self._silent(server):
                self._call_off(server)
        for name in list(self.held):
            request = self.requests.get(name)
            if request is not None and name in self.held:
                self._advance(request)
        if self.settings.report_source is api.ReportSource.PROBES and self.settings.may_probe:
            for server in self.servers.values():
                if server.state is ServerState.UP and self.now - server.report_at > PROBE_EVERY:
                    server.report_at = self.now - PROBE_EVERY // 2 if server.report is None else self.now
                    self.actions.append(api.Probe(server.name))
                    break


def clamp(value: float) -> float:
    """The value within [0, 1]."""
    return min(1.0, max(0.0, value))


def request_keys(request: Request) -> Iterable[tuple[str, int]]:
    """A prompt's keys in the prefix table, with the tokens each covers."""
    if request.beginning is not None and request.beginning_tokens:
        yield "beginning " + request.beginning, request.beginning_tokens
    if request.session:
        yield "session " + request.session, request.prompt


def check_settings(settings: api.Settings) -> None:
    """Raise ValueError naming the value that can't be used."""
    for kind in settings.kinds:
        if not isinstance(kind.role, Role):
            raise ValueError(f"unknown role {kind.role!r}")
    for name, value in (("classes", len(settings.classes)), ("kinds", len(settings.kinds)),
                        ("routers", settings.routers), ("max_attempts", settings.max_attempts)):
        if value < 1:
            raise ValueError(f"settings: {name} must be at least 1, not {value}")
    if not 0 <= settings.router < settings.routers:
        raise ValueError(f"settings: router {settings.router} is not below routers {settings.routers}")
