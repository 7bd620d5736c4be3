"""The interface of stonetrack: settings in, events in, actions out.

Times and durations are whole nanoseconds.  A caller builds ``Settings`` and one ``Router`` (:mod:`stonetrack.logic`)
and passes it events; each call returns the actions to carry out, in order.  This module holds types only.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """What a kind of server does: prefill, decode, or both."""

    PREFILL = "reader"
    DECODE = "writer"
    MIXED = "mixed"
    # Aliases: logic.py of an older revision, which a replay loads beside this module, uses these names.
    READER = PREFILL
    WRITER = DECODE


class Effect(Enum):
    """Whether requests of a class are idempotent: always (SAFE), by their key (KEYED), or not (UNSAFE)."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Servers among which a repeat of a keyed request is recognised and discarded."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    """State of a server in the server list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class ListKind(Enum):
    """What a server list contains: changes, all servers, those of a saved list, or nothing since discovery failed."""

    CHANGES = "changes"
    FULL = "full"
    SAVED = "saved"
    FAILED = "failed"


class Outcome(Enum):
    """Result of an attempt or a probe.  READ: a prefill succeeded, and its engine holds the state."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    READ = "read"


class ReportSource(Enum):
    """What carries load reports."""

    ANSWERS = "answers"
    PROBES = "probes"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests: latency targets to the first token and for each token, utility, retry policy."""

    name: str
    first_token_aim: int
    aim_per_1000_tokens: int
    token_aim: int
    deadline: int
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    key_window: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and its quota in requests per second, over all routers."""

    name: str
    quota_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of server; memory in tokens, 0 where it is not known."""

    role: Role
    memory_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of a router."""

    classes: tuple[RequestClass, ...]
    kinds: tuple[Kind, ...]
    tenants: tuple[Tenant, ...] = ()
    router: int = 0
    routers: int = 1
    zone: int = 0
    max_attempts: int = 4
    may_cancel: bool = False
    may_probe: bool = False
    may_hold_place: bool = False
    may_move: bool = False
    may_advise_retry: bool = False
    max_retry_after: int = 0
    writers_read: bool = False
    report_source: ReportSource = ReportSource.NONE
    list_on_request: bool = False
    connect_timeout: int = 250_000_000
    answer_slack: int = 0
    release_within: int = 500_000_000
    cold_share: float = 0.25
    warm_within: int = 12_000_000_000
    cold_multiple: float = 3.0
    cold_window: int = 3_000_000_000
    over_share_worth: float = 1.0
    worth_by_work: bool = False

    def __post_init__(self) -> None:
        """Raise ValueError that names the invalid value."""
        for role in [kind.role for kind in self.kinds if not isinstance(kind.role, Role)]:
            raise ValueError(f"unknown role {role!r}")
        for name, value in (
            ("classes", len(self.classes)),
            ("kinds", len(self.kinds)),
            ("routers", self.routers),
            ("max_attempts", self.max_attempts),
        ):
            if value < 1:
                raise ValueError(f"settings: {name} must be at least 1, not {value}")
        if not 0 <= self.router < self.routers:
            raise ValueError(f"settings: router {self.router} is not below routers {self.routers}")


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One entry of a server list; ``started`` is 0 where the server started long ago."""

    server: str
    zone: int
    kind: int
    cell: int
    state: ServerState
    weight: float = 1.0
    started: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load as a server reports it; a value is None where it is missing."""

    in_flight: float | None = None
    queued: float | None = None
    memory_share: float | None = None
    waiting_tokens: float | None = None


# Events


@dataclass(frozen=True, slots=True)
class ServerList:
    """The server list, or changes to it."""

    kind: ListKind
    version: int = 0
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request has arrived and is owed one final answer within ``time_left``."""

    request: str
    class_index: int
    session: str
    time_left: int
    prompt_tokens: int
    shared_beginning: str | None = None
    shared_tokens: int = 0
    max_answer_tokens: int = 0
    tenant: int = 0
    resumed: bool = False
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class FirstToken:
    """The answer to an attempt has begun and streams to the client."""

    request: str
    attempt: int
    server: str
    elapsed: int


@dataclass(frozen=True, slots=True)
class PlaceAnswer:
    """Answer of a decode engine to a reservation."""

    request: str
    attempt: int
    server: str
    held: bool


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one outcome of an attempt."""

    request: str
    attempt: int
    server: str
    outcome: Outcome
    elapsed: int
    finished: bool = False
    kept_tokens: int = 0
    state_missing: bool = False
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class RequestGone:
    """The client has gone; no answer is owed."""

    request: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by ``SetTimer`` has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """Result of a probe."""

    server: str
    outcome: Outcome
    elapsed: int
    report: LoadReport | None = None


Event = ServerList | RequestArrived | FirstToken | PlaceAnswer | AttemptEnded | RequestGone | TimerFired | ProbeEnded


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a server; ``time_limit`` 0 means until the client's deadline."""

    request: str
    server: str
    time_limit: int = 0


@dataclass(frozen=True, slots=True)
class HoldPlace:
    """Reserve capacity at a decode engine for a request in its prefill."""

    request: str
    server: str


@dataclass(frozen=True, slots=True)
class Release:
    """Release all states and reservations held for the request."""

    request: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: rejected, a retry is harmless."""

    request: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise about a retry."""

    request: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    request: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Move:
    """End a running stream cleanly, so that its client resumes it elsewhere."""

    request: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for its load report."""

    server: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for ``TimerFired`` after ``delay``."""

    token: int
    delay: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the server list."""


@dataclass(frozen=True, slots=True)
class Log:
    """One log line for operators."""

    text: str


Action = Send | HoldPlace | Release | Refuse | Fail | Cancel | Move | Probe | SetTimer | Subscribe | Log
