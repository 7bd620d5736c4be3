"""The types of the settings.  Names of durations end in their unit; numbers are integers unless the type says float.

Every type rejects unknown fields, so that a misspelt name is an error and does not leave a default in force.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from stonetrack.api import Effect, ReportSource, Role, Scope

Millis = Annotated[int, Meta(ge=0, le=86_400_000)]
Positive = Annotated[int, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Name = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[^\x00-\x1f\x7f]+$")]
KeyHash = Annotated[str, Meta(pattern=r"^sha256:[0-9a-f]{64}$")]


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A struct that rejects unknown fields."""


class Listen(Strict, frozen=True):
    """The address that clients connect to.  Port 0 selects a free port."""

    host: Name = "127.0.0.1"
    port: Annotated[int, Meta(ge=0, le=65_535)] = 8080
    backlog: Annotated[int, Meta(ge=1, le=65_535)] = 1024


class Model(Strict, frozen=True):
    """One model; ``engine_name`` is its name at the engines, by default the same name."""

    name: Name
    engine_name: str = ""
    owned_by: str = "stonetrack"
    created: Annotated[int, Meta(ge=0)] = 0


class RequestClass(Strict, frozen=True):
    """One class of requests (see api.RequestClass)."""

    name: Name
    first_token_ms: Annotated[int, Meta(ge=1, le=3_600_000)]
    deadline_ms: Annotated[int, Meta(ge=1, le=3_600_000)]
    first_token_ms_per_1000: Millis = 40
    token_ms: Millis = 80
    worth: Annotated[float, Meta(ge=0.0)] = 1.0
    late_worth: Share = 0.0
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    key_window_ms: Millis = 0


class Header(Strict, frozen=True):
    """A request header's name and the value it must have."""

    name: Name
    value: str


class Rule(Strict, frozen=True):
    """Assigns a class to requests that meet all conditions given here.  The first matching rule applies."""

    to: Name
    model: str = ""
    header: Header | None = None
    min_prompt_tokens: Annotated[int, Meta(ge=0)] = 0
    max_prompt_tokens: Annotated[int, Meta(ge=0)] = 0  # 0: no bound


class Tenant(Strict, frozen=True):
    """One tenant, its quota and the hashes of its API keys: sha256: and the key's SHA-256 in hexadecimal."""

    name: Name
    quota_per_second: Annotated[float, Meta(ge=0.0)] = 0.0
    key_hashes: tuple[KeyHash, ...] = ()


class Kind(Strict, frozen=True):
    """One kind of engine and the extensions of the protocol that it supports."""

    name: Name
    role: Role
    memory_tokens: Annotated[int, Meta(ge=0)] = 0
    release: bool = False
    hold: bool = False
    load_header: bool = True


class Source(Strict, frozen=True):
    """Source of the server list: a watched file, or a discovery service (``http://host:port/path``)."""

    file: str = ""
    url: str = ""
    poll_ms: Annotated[int, Meta(ge=10, le=3_600_000)] = 200
    wait_ms: Annotated[int, Meta(ge=0, le=300_000)] = 20_000
    lists_per_second: Annotated[float, Meta(gt=0.0, le=1e6)] = 50.0  # capacity of the discovery service for full lists
    saved_ms: Millis = 600_000  # how long after its last confirmation a saved list may be used; 0: never
    step_share: Share = 0.25  # new engines are added in steps of this share of the current engines; 0: all at once
    step_ms: Annotated[int, Meta(ge=1, le=600_000)] = 1_000
    gone_share: Share = 0.5  # a larger share of a role removed at once without draining must be confirmed; 1: never
    reach: Annotated[int, Meta(ge=0, le=100)] = 2  # engines of each role to connect to before the node is ready
    patience_ms: Annotated[int, Meta(ge=0, le=600_000)] = 3_000  # after this, one engine of any role suffices
    heed_checks: bool = False  # use the controller's failed checks of engines, as marked in the list, as a hint


class Routing(Strict, frozen=True):
    """Settings of the router besides classes, kinds and tenants (see api.Settings)."""

    routers: Annotated[int, Meta(ge=0, le=100_000)] = 0  # 0: the number of instances
    zone: Annotated[int, Meta(ge=0)] = 0
    max_attempts: Annotated[int, Meta(ge=1, le=100)] = 4
    may_cancel: bool = True
    may_probe: bool = False
    may_hold_place: bool = False
    may_advise_retry: bool = True
    max_retry_after_ms: Millis = 5_000
    writers_read: bool = False
    report_source: ReportSource = ReportSource.ANSWERS
    connect_timeout_ms: Annotated[int, Meta(ge=1, le=60_000)] = 250
    release_within_ms: Annotated[int, Meta(ge=50, le=600_000)] = 500
    cold_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.25
    warm_within_ms: Millis = 12_000
    cold_multiple: Annotated[float, Meta(ge=1.0)] = 3.0
    cold_window_ms: Annotated[int, Meta(ge=1, le=600_000)] = 3_000
    over_share_worth: Share = 1.0
    drain_grace_ms: Annotated[int, Meta(ge=1, le=60_000)] = 250


class Limits(Strict, frozen=True):
    """Bounds on the resources of one instance."""

    connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 12_000
    workers: Annotated[int, Meta(ge=1, le=50_000)] = 4_000
    stack_kib: Annotated[int, Meta(ge=64, le=65_536)] = 256
    head_bytes: Annotated[int, Meta(ge=1_024, le=1 << 20)] = 65_536
    headers: Annotated[int, Meta(ge=8, le=10_000)] = 100
    body_bytes: Annotated[int, Meta(ge=1_024, le=1 << 30)] = 8 << 20
    json_depth: Annotated[int, Meta(ge=4, le=500)] = 64
    json_values: Annotated[int, Meta(ge=100, le=10_000_000)] = 100_000
    engine_body_bytes: Annotated[int, Meta(ge=1_024, le=1 << 30)] = 64 << 20
    socket_send_bytes: Annotated[int, Meta(ge=0, le=64 << 20)] = 128 << 10  # SO_SNDBUF for clients; 0: kernel default
    send_buffer_bytes: Annotated[int, Meta(ge=4_096, le=64 << 20)] = 256 << 10
    pool_per_engine: Annotated[int, Meta(ge=0, le=10_000)] = 64


class Timing(Strict, frozen=True):
    """Time limits outside the router's decisions."""

    header_ms: Annotated[int, Meta(ge=10, le=600_000)] = 10_000
    body_ms: Annotated[int, Meta(ge=10, le=600_000)] = 30_000
    idle_ms: Annotated[int, Meta(ge=10, le=86_400_000)] = 75_000
    client_stall_ms: Annotated[int, Meta(ge=10, le=600_000)] = 15_000
    stream_silence_ms: Annotated[int, Meta(ge=10, le=600_000)] = 10_000
    answer_margin_ms: Annotated[int, Meta(ge=0, le=60_000)] = 100
    cancel_confirm_ms: Annotated[int, Meta(ge=0, le=5_000)] = 20
    pool_idle_ms: Annotated[int, Meta(ge=0, le=600_000)] = 4_000  # longest idle time before reuse, for any engine
    pool_longest_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 60_000  # if seen to keep connections open; 0: no longer
    drain_ms: Annotated[int, Meta(ge=0, le=600_000)] = 20_000


class Capture(Strict, frozen=True):
    """Recording of the router's events and decisions on disk; off if ``dir`` is empty."""

    dir: str = ""
    flush_ms: Annotated[int, Meta(ge=10, le=60_000)] = 250
    segment_bytes: Annotated[int, Meta(ge=4_096, le=1 << 30)] = 16 << 20
    segment_seconds: Annotated[int, Meta(ge=1, le=86_400)] = 600
    budget_bytes: Annotated[int, Meta(ge=65_536)] = 256 << 20
    waiting: Annotated[int, Meta(ge=100, le=10_000_000)] = 50_000
    sync: bool = True
    tend_share: Share = 0.05  # of one core, in the supervisor, for indexes, checks, snapshots, compression; 0: none
    tend_bytes_per_second: Annotated[int, Meta(ge=0)] = 8 << 20
    states_every: Annotated[int, Meta(ge=100)] = 20_000  # records between two snapshots that seeking starts from


class Audit(Strict, frozen=True):
    """The node's audit log of the settings version behind its decisions; off if ``dir`` is empty."""

    dir: str = ""  # a relative path is resolved in state_dir
    every_ms: Annotated[int, Meta(ge=100, le=86_400_000)] = 60_000  # longest time that one span covers
    file_bytes: Annotated[int, Meta(ge=4_096, le=1 << 30)] = 4 << 20
    files: Annotated[int, Meta(ge=2, le=1_000)] = 8  # number kept; older files are deleted


class Control(Strict, frozen=True):
    """The service that publishes versions of the settings; off if ``url`` is empty."""

    url: str = ""  # http://host:port
    wait_ms: Annotated[int, Meta(ge=0, le=300_000)] = 5_000  # of a long poll at the service; below a third of a lease
    steps_out: bool = False  # until the service's first answer: accept no requests without a lease, from the start
    mark: bool = False  # send engines the settings version of each attempt (X-Stonetrack-Acting)


class Node(Strict, frozen=True):
    """All settings of one node."""

    models: Annotated[tuple[Model, ...], Meta(min_length=1)]
    classes: Annotated[tuple[RequestClass, ...], Meta(min_length=1)]
    kinds: Annotated[tuple[Kind, ...], Meta(min_length=1)]
    source: Source
    name: Annotated[str, Meta(max_length=100, pattern=r"^[A-Za-z0-9._-]*$")] = ""  # empty: generated, kept in state_dir
    listen: Listen = Listen()
    rules: tuple[Rule, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    hash_key: Annotated[str, Meta(max_length=1_000)] = ""  # of sessions and shared prefixes; the same on all nodes
    any_key: bool = False  # accept requests with any key, or none, as the first tenant's
    routing: Routing = Routing()
    limits: Limits = Limits()
    timing: Timing = Timing()
    capture: Capture = Capture()
    audit: Audit = Audit()
    control: Control = Control()
    state_dir: str = ""  # where the server list is stored for a restart; empty: not stored
    log_level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"
