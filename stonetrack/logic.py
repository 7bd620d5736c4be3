"""Every decision of stonetrack.  The interface (settings, events, actions) is stonetrack/api.py.

One Router is one node, pure in its events.  Order: tables, scores, choices, health, request life.
"""

from __future__ import annotations

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
WEIGHTS = WEIGHT_PREFIX + WEIGHT_LOAD + WEIGHT_MEMORY
BLOCK = 16  # tokens
TABLE_BLOCKS = 31_250  # most blocks kept for one server
LEAVE_FACTOR, LEAVE_STREAMS = 1.3, 2.0  # a cell's best stands "well above" mean * factor + streams
REPORT_AGE = 5 * SECOND  # an older load report is no longer heard

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
QUOTA_SPAN = 4 * SECOND  # a tenant may use this much of its quota at once
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
        return self.pace() * float(0.5 ** max(0.0, (now - self.at) / SECOND - 0.5))

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
        if (entry := self.entries.pop(key, None)) is not None:
            self.blocks -= entry.tokens // BLOCK


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
    over_share: bool  # its tenant has used up its quota here
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
        self.seed = seed  # nothing is drawn at random today
        self.now = 0
        self.actions: list[api.Action] = []
        self.servers: dict[str, Server] = {}
        self.requests: dict[str, Request] = {}
        self.held: dict[str, None] = {}
        self.latency = {role: Stat() for role in Role}
        self.prompt_work = Stat()  # tokens to read of one request
        self.good: dict[Role, deque[int]] = {role: deque() for role in Role}  # outcomes of warm servers
        self.allowance: dict[int, tuple[float, int]] = {}  # requests left within a tenant's quota, and when
        self.subscribe_at = 0
        self.timer_set = False

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Take one event; the actions are to be carried out in order."""
        self.now = max(now, self.now)
        self.actions = []
        if not self.timer_set:
            self.timer_set = True
            self.actions.append(api.SetTimer(0, SWEEP))
        if isinstance(event, api.RequestArrived):
            self._arrived(event)
        elif isinstance(event, api.AttemptEnded):
            self._attempt_ended(event)
        elif isinstance(event, api.FirstToken):
            self._first_token(event)
        elif isinstance(event, api.TimerFired):
            self._sweep()
        elif isinstance(event, api.ServerList):
            self._server_list(event)
        elif isinstance(event, api.ProbeEnded):
            self._probe_ended(event)
        elif (request := self.requests.get(event.request)) is not None:
            if isinstance(event, api.RequestGone) and request.phase is not Phase.ENDED:
                self._end(request)
            elif isinstance(event, api.PlaceAnswer) and request.place == event.server and not event.held:
                self._drop_place(request)
        return self.actions

    # The server list.

    def _server_list(self, event: api.ServerList) -> None:
        if event.kind in (ListKind.SAVED, ListKind.FAILED):
            self.subscribe_at = self.now + SECOND * (event.kind is ListKind.FAILED)
        listed = {entry.server for entry in event.entries}
        for entry in event.entries:
            if not 0 <= entry.kind < len(self.settings.kinds):
                raise ValueError(f"server {entry.server}: unknown kind {entry.kind}")
            self._listed(entry)
        for server in self.servers.values():
            if event.kind in (ListKind.SAVED, ListKind.FULL) and server.name not in listed:
                server.state = ServerState.REMOVED
        self._forget_servers()

    def _listed(self, entry: api.ServerEntry) -> None:
        server = self.servers.get(entry.server)
        kind = self.settings.kinds[entry.kind]
        if server is None and entry.state is ServerState.REMOVED:
            return
        if server is None:
            blocks = min(TABLE_BLOCKS, kind.memory_tokens // BLOCK or TABLE_BLOCKS)
            server = Server(entry.server, kind.role, entry.zone, entry.cell, entry.weight, entry.started,
                            PrefixTable(blocks))
            self.servers[entry.server] = server
            server.cold_until = entry.started + self.settings.warm_within if entry.started else 0
        elif entry.started != server.started and entry.state is ServerState.UP:
            # A restart: nothing that was kept there is left, and the server is cold.
            server.table, server.report = PrefixTable(server.table.limit), None
            server.started = entry.started
            server.cold_until = max(server.cold_until, entry.started + self.settings.warm_within)
        server.state, server.role = entry.state, kind.role
        server.zone, server.cell, server.weight = entry.zone, entry.cell, entry.weight

    def _forget_servers(self) -> None:
        for s in list(self.servers.values()):
            if s.state is ServerState.REMOVED and not (s.waiting or s.streams or s.states):
                del self.servers[s.name]

    # Scores of the reader choice, each within [0, 1].

    def _covered(self, server: Server, request: Request, proven: bool = False) -> int:
        """Longest covered length held there for this prompt, in tokens (only what a read proved)."""
        held = server.table.entries
        return max((min(held[key].tokens, tokens) for key, tokens in request_keys(request)
                    if key in held and (held[key].proven or not proven)), default=0)

    def _report(self, server: Server) -> api.LoadReport | None:
        fresh = server.report is not None and self.now - server.report_at <= REPORT_AGE
        return server.report if fresh else None

    def _read_load(self, server: Server) -> float | None:
        """Tokens to be read there: reported and own change since; own sends out where none report."""
        if self.settings.report_source is api.ReportSource.NONE:
            return server.work_out / server.weight
        if (report := self._report(server)) is None:
            return None
        requests = (report.in_flight or 0.0) * self.prompt_work.pace()
        reported = requests if report.waiting_tokens is None else report.waiting_tokens
        return max(server.work_out, reported + server.work_out - server.work_then) / server.weight

    def _scores(self, request: Request, servers: list[Server]) -> dict[str, float]:
        """Weighted sum of the three scores for each server."""
        relative: dict[str, float] = {}
        for role in Role:
            heard = {s.name: self._read_load(s) for s in servers if s.role is role}
            loads = [load for load in heard.values() if load is not None]
            mean = sum(loads) / max(len(loads), 1)
            for name, load in heard.items():
                relative[name] = (mean if load is None else load) - mean
        low, high = min(relative.values()), max(relative.values())
        # Exception (tiny spread): below one request's reading it is noise, not stretched to the full range.
        spread = max(high - low, self.prompt_work.pace(), 1.0)
        shares = {s.name: r.memory_share for s in servers
                  if (r := self._report(s)) is not None and r.memory_share is not None}
        mean_share = sum(shares.values()) / max(len(shares), 1)
        most_states = max(1, max(s.states for s in servers))
        result = {}
        for s in servers:
            prefix = self._covered(s, request) / max(request.prompt, 1)
            idle = 1.0 - (relative[s.name] - low) / spread
            used = shares.get(s.name, mean_share) if shares else s.states / most_states
            result[s.name] = (WEIGHT_PREFIX * clamp(prefix) + WEIGHT_LOAD * clamp(idle)
                              + WEIGHT_MEMORY * clamp(1.0 - used)) / WEIGHTS
        return result

    # The choices.

    def _choose_reader(self, request: Request) -> Server | None:
        readers = [s for s in self.servers.values() if s.role is not Role.WRITER]
        whole = list(self.servers.values()) if self.settings.writers_read else []
        servers = self._usable(readers, request) or self._usable(whole, request)
        if not servers:
            return None
        # Exception (pile-up): a reader whose queue takes much of the aim does not compete while another's
        # does not; kept prefixes would draw ever more to it.
        expected = {s.name: self._expected(request, s) for s in servers}
        for share in (CROWDED, ADMIT):
            if min(expected.values()) <= share:
                servers = [s for s in servers if expected[s.name] <= share]
                break
        scores = self._scores(request, servers)
        return max(servers, key=lambda s: (round(scores[s.name], 9), self._tie(s, request)))

    def _choose_writer(self, request: Request, cell: int | None) -> Server | None:
        writers = [s for s in self.servers.values() if s.role is Role.WRITER]
        mixed = [s for s in self.servers.values() if s.role is Role.MIXED]
        servers = self._usable(writers, request) or self._usable(mixed, request)
        if not servers:
            return None
        # Exception (full memory): where own requests wait for a first token, long prompts fill the memory
        # unseen in the count of streams.  Covers slow and hung writers; could move a state out of its cell.
        servers = [s for s in servers if not s.waiting
                   or self.now - min(s.waiting.values()) <= WRITER_WAITS] or servers
        heard = {s.name: self._streams(s) for s in servers}
        known = [streams for streams in heard.values() if streams is not None]
        mean = sum(known) / len(known) if known else 0.0

        def load(server: Server) -> tuple[float, int]:
            streams = heard[server.name]
            if streams is None:
                streams = mean if known else server.streams / server.weight
            return (streams, -self._tie(server, request))

        best = min(servers, key=load)
        near = min((s for s in servers if s.cell == cell), key=load, default=best)
        return near if load(near)[0] <= mean * LEAVE_FACTOR + LEAVE_STREAMS else best

    def _streams(self, server: Server) -> float | None:
        """Streams at a writer: reported and own change since; our own where none report."""
        if self.settings.report_source is api.ReportSource.NONE:
            return server.streams / server.weight
        if (report := self._report(server)) is None or report.in_flight is None:
            return None
        return max(server.streams, report.in_flight + server.streams - server.streams_then) / server.weight

    def _tie(self, server: Server, request: Request) -> int:
        return crc32(f"{self.settings.router}/{request.session or request.name}/{server.name}".encode())

    # Health: who may be chosen at all.

    def _usable(self, servers: list[Server], request: Request) -> list[Server]:
        """Sound servers; failing that, any that is up and can bear a send."""
        able = [s for s in servers if s.state is ServerState.UP and s.full_until <= self.now
                and self._cold_room(s) and self._may_repeat(request, s)]
        sound = [s for s in able if s.ejected_until <= self.now and not self._silent(s)
                 and not (s.trials and s.waiting)]
        group = sound or able
        return [s for s in group if s.name not in request.failed] or group

    def _silent(self, server: Server) -> bool:
        """An attempt has waited far longer than such attempts do, and nothing came since it left."""
        oldest = min(server.waiting.values(), default=self.now)
        patience = max(QUIET_WORST * self.latency[server.role].worst, float(QUIET_LEAST))
        return server.good_at < oldest and self.now - oldest > patience

    def _cold_room(self, server: Server) -> bool:
        """Whether a cold server may be sent one more request by this router alone.

        The budget is what a warm server of the role did for this router in a window (so each router
        counts its own share) times the multiple and the share of capacity that a start has."""
        if server.cold_until <= self.now:
            return True
        peers = sum(1 for s in self.servers.values() if s.role is server.role
                    and s.state is ServerState.UP and s.cold_until <= self.now)
        carried = self._in_window(self.good[server.role]) / max(peers, 1)
        budget = COLD_SAFETY * self.settings.cold_multiple * self.settings.cold_share * carried
        return self._in_window(server.cold_sends) + 1 <= max(1.0, budget)

    def _in_window(self, times: deque[int]) -> int:
        while times and times[0] <= self.now - self.settings.cold_window:
            times.popleft()
        return len(times)

    def _good(self, server: Server, request: Request, elapsed: int) -> None:
        stat = self.latency[server.role]
        pace = elapsed / request.queue  # reads: for each token that stood before them and in them
        server.samples += 1
        server.pace += max(SMOOTH, 1.0 / server.samples) * (pace - server.pace)
        stat.add(float(elapsed), request.queue, self.now)
        server.good_at = self.now
        server.strikes /= 2
        if server.cold_until <= self.now:
            self.good[server.role].append(self.now)
            self._in_window(self.good[server.role])
        if server.lost:
            # Back after it could not be reached: most likely restarted, so cold until told more.
            server.lost = False
            server.cold_until = max(server.cold_until, self.now + self.settings.warm_within)
        server.trials = max(0, server.trials - 1)
        if not server.trials:
            server.span = EJECT_FIRST

    def _strike(self, server: Server, outcome: Outcome) -> None:
        server.strikes += 1.0
        if outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            # Exception (crash): its process is gone and what it kept with it.
            server.table, server.report = PrefixTable(server.table.limit), None
            server.lost = True
        elif not server.trials and server.strikes < STRIKES_OUT:
            return
        self._eject(server, outcome.value)

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
        if server is not None and event.outcome is Outcome.SERVED:
            self._take_report(server, event.report)
        elif server is not None:
            self._strike(server, event.outcome)

    def _take_report(self, server: Server | None, report: api.LoadReport | None) -> None:
        if server is not None and report is not None:
            server.report, server.report_at = report, self.now
            server.streams_then, server.work_then = server.streams, server.work_out

    # A request's life.

    def _arrived(self, event: api.RequestArrived) -> None:
        if not 0 <= event.class_index < len(self.settings.classes):
            raise ValueError(f"request {event.request}: unknown class {event.class_index}")
        request = Request(
            event.request, self.settings.classes[event.class_index], self._over_share(event.tenant),
            event.session, event.shared_beginning, min(event.shared_tokens, event.prompt_tokens),
            event.prompt_tokens, self.now, self.now + event.time_left)
        self.requests[request.name] = request
        self._advance(request)

    def _over_share(self, tenant: int) -> bool:
        """Take one from the tenant's allowance here: its quota among the routers, for QUOTA_SPAN."""
        if not 0 <= tenant < len(self.settings.tenants):
            return False
        rate = self.settings.tenants[tenant].quota_per_second / self.settings.routers / SECOND
        left, at = self.allowance.get(tenant, (rate * QUOTA_SPAN, self.now))
        left = min(left + rate * (self.now - at), rate * QUOTA_SPAN)
        self.allowance[tenant] = (left - (left >= 1.0), self.now)
        return rate > 0.0 and left < 1.0

    def _advance(self, request: Request) -> None:
        """Move on a request that has no attempt out: send it, hold it, or end it."""
        left = request.deadline - self.now
        steps = 1 if request.reader or self._reads_whole() else 2
        if left <= ANSWER_MARGIN or request.attempts + steps > self.settings.max_attempts:
            return self._give_up(request)
        if request.reader:
            reader = self.servers.get(request.reader)
            # The answer to a place may be lost; a state that moved there exists nowhere else.
            place = self.servers.get(request.place)
            if place is not None and place in self._usable([place], request):
                writer: Server | None = place
            else:
                writer = self._choose_writer(request, reader.cell if reader else None)
            if writer is not None:
                return self._send(request, writer, Phase.WRITING)
            if request.phase is not Phase.READ:
                request.phase, request.stands_since = Phase.READ, self.now
            if self.now - request.stands_since > RELEASE_SHARE * self.settings.release_within:
                self._release(request)
                request.phase = Phase.HELD
        else:
            server = self._choose_reader(request)
            if server is not None and self._too_late(request, server):
                return self._give_up(request)
            if server is not None:
                reading = server.role is Role.READER
                self._send(request, server, Phase.READING if reading else Phase.WRITING)
                return self._hold_place(request, server.cell) if reading else None
            request.phase = Phase.HELD
        self.held[request.name] = None
        return None

    def _expected(self, request: Request, server: Server) -> float:
        """Expected time to the first token, from the arrival, as a share of the aim."""
        if (read := self.latency[server.role]).count < 10:
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
        worth = request.cls.worth * (self.settings.over_share_worth if request.over_share else 1.0)
        share = ADMIT_LOW + (ADMIT - ADMIT_LOW) * worth / best
        return self._may_refuse(request) and self._expected(request, server) > share

    def _reads_whole(self) -> bool:
        """Whether some server up takes a request whole, in one attempt."""
        return any(s.state is ServerState.UP and (s.role is Role.MIXED or (
            s.role is Role.WRITER and self.settings.writers_read)) for s in self.servers.values())

    def _hold_place(self, request: Request, cell: int) -> None:
        writer = self._choose_writer(request, cell) if self.settings.may_hold_place else None
        if writer is not None:
            request.place, request.holds = writer.name, True
            writer.streams += 1
            self.actions.append(api.HoldPlace(request.name, writer.name))

    def _drop_place(self, request: Request) -> None:
        if (writer := self.servers.get(request.place)) is not None:
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
        if (reader := self.servers.get(request.reader)) is not None:
            reader.states -= 1
        request.reader = ""

    def _send(self, request: Request, server: Server, phase: Phase) -> None:
        self.held.pop(request.name, None)
        request.phase, request.server, request.sent = phase, server.name, self.now
        request.writing = phase is Phase.WRITING
        server.waiting[request.name] = self.now
        request.work = 0.0
        if phase is Phase.READING or not request.reader:
            request.work = float(max(request.prompt - self._covered(server, request), BLOCK))
            self.prompt_work.add(request.work, 1.0)
            request.credit = self._covered(server, request, proven=True)
            for key, tokens in request_keys(request):
                server.table.learn(key, tokens, self.now)
            server.work_out += request.work
        fixed = self.prompt_work.pace()  # a read's fixed part, taken as that of one mean prompt
        request.queue = server.work_out + fixed if request.work else len(server.waiting)
        if phase is Phase.WRITING:
            self._drop_place(request)
            server.streams += 1
        if server.cold_until > self.now:
            server.cold_sends.append(self.now)
        # No time-out of its own: work called off is done twice.  _call_off ends what a silent server has.
        self.actions.append(api.Send(request.name, server.name, request.deadline - self.now))

    def _first_token(self, event: api.FirstToken) -> None:
        request, server = self.requests.get(event.request), self.servers.get(event.server)
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
        self._take_report(server, event.report)
        request = self.requests.get(event.request)
        if request is None or request.attempts != event.attempt or not request.server:
            return
        request.attempts += 1
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
            # The reader lost the state (dead, restarted, cut off): read anew, free what a place took.
            request.failed += (request.reader,)
            self._release(request)
        elif event.outcome not in (Outcome.SERVED, Outcome.NOT_SENT):
            request.failed += (event.server,)
        if ended or not request.reader:
            self._release(request)
        if ended:
            self._forget(request)
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
            # Exception (voided prefixes): a read that found far less than a proven entry promised shows
            # that the reader forgot; what was sent before this read goes from its table.
            if request.credit >= 4 * BLOCK and event.kept_tokens < request.credit // 2:
                for key in [k for k, e in server.table.entries.items() if e.sent < request.sent]:
                    server.table.drop(key)
            for key, _ in request_keys(request):
                if key in server.table.entries:
                    server.table.entries[key].proven = True
        elif outcome is Outcome.SERVED:
            server.good_at = self.now
        elif outcome is Outcome.FULL and not event.state_missing:
            server.full_until = self.now + FULL_PAUSE
        elif outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED):
            self._strike(server, outcome)

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
        self.requests.pop(request.name, None)
        self._forget_servers()

    def _give_up(self, request: Request) -> None:
        after = min(self.settings.max_retry_after, SECOND // 2) if self.settings.may_advise_retry else 0
        refuse = self._may_refuse(request)
        self.actions.append(api.Refuse(request.name, after) if refuse else api.Fail(request.name))
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
        if (request.cls.effect is Effect.UNSAFE or first is None
                or self.now >= request.ran_at + request.cls.key_window):
            return False
        return {api.Scope.ALL: True, api.Scope.ZONE: server.zone == first.zone,
                api.Scope.CELL: server.cell == first.cell}[request.cls.scope]


    def _call_off(self, server: Server) -> None:
        """A silent server (hung, cut off, dead): leave it out and take back what it has not begun."""
        server.lost = True
        self._eject(server, "silent")
        for name in [n for n, sent in server.waiting.items() if sent > server.good_at]:
            request = self.requests[name]
            again = request.cls.effect is Effect.SAFE or not request.writing
            if (again and request.phase is not Phase.ENDED and self.settings.may_cancel
                    and request.attempts + 2 < self.settings.max_attempts):
                del server.waiting[name]
                self.actions.append(api.Cancel(name, request.attempts))

    def _sweep(self) -> None:
        self.actions.append(api.SetTimer(0, SWEEP))
        if self.subscribe_at and self.subscribe_at <= self.now and self.settings.list_on_request:
            self.subscribe_at = 0
            self.actions.append(api.Subscribe())
        for server in [s for s in self.servers.values() if self._silent(s)]:
            self._call_off(server)
        for name in list(self.held):
            self._advance(self.requests[name])
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
    if request.beginning is not None:
        yield "beginning " + request.beginning, request.beginning_tokens
    if request.session:
        yield "session " + request.session, request.prompt


def check_settings(settings: api.Settings) -> None:
    """Raise ValueError naming the value that can't be used."""
    for role in [kind.role for kind in settings.kinds if not isinstance(kind.role, Role)]:
        raise ValueError(f"unknown role {role!r}")
    for name, value in (("classes", len(settings.classes)), ("kinds", len(settings.kinds)),
                        ("routers", settings.routers), ("max_attempts", settings.max_attempts)):
        if value < 1:
            raise ValueError(f"settings: {name} must be at least 1, not {value}")
    if not 0 <= settings.router < settings.routers:
        raise ValueError(f"settings: router {settings.router} is not below routers {settings.routers}")
