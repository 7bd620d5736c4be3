"""What a node owes, what begins each obligation, what alone ends it, and who acts before its deadline.  No I/O.

One table for the router, the run-time check, the emulated engines and the oracle, taken from the protocol's page.
docs/obligations.md shows it; a test keeps the two alike and looks up every function named here.

The rule under all rows: only an answer on the connection of the call itself, by the engine that was called, after the
call, ends an obligation.  An answer of another engine, an older answer, an answer on another connection, a connection
that was established, bytes that a kernel accepted: each may guide a choice, and none ends an obligation.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Obligation(Enum):
    """Kind of obligation; the value is its name in the docs."""

    ANSWER = "answer"
    ATTEMPT = "attempt"
    STATE = "state"
    RESERVATION = "reservation"
    ABANDONED_READ = "abandoned read"
    RELEASE = "release"
    TOLD_CHANGE = "told change"


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table.

    ``acts`` names the functions that act before the deadline, ``checked_by`` those that check that they did: the node's
    own first where it has one, then those of the oracle or of the emulated engines; each as ``module:name``.
    """

    obligation: Obligation
    begins: str
    ends: str
    deadline: str
    acts: tuple[str, ...]
    checked_by: tuple[str, ...]


LOGIC = "stonetrack.logic:Router."
LEDGER = "stonetrack.node.invariants:Ledger."
ORACLE = "stonetrack.soak.oracle:Oracle."
ENGINES = "stonetrack.soak.engine_side:EngineStateRecords."

TABLE: tuple[Row, ...] = (
    Row(
        Obligation.ANSWER,
        "the last byte of a request is read on a connection that this machine accepted",
        "the last byte of its final answer is written, or its client closes or resets the connection",
        "the client's deadline, and 0.5 s in which an answer is useless but no violation",
        (LOGIC + "_refuse_or_fail", "stonetrack.node.request_lifecycle:RequestLifecycle.check_deadlines"),
        (LEDGER + "check", ORACLE + "_answer_violations"),
    ),
    Row(
        Obligation.ATTEMPT,
        "its first byte is written",
        "its engine's whole answer or the connection's end; a close or a half close abandons it, and ends nothing at "
        "its engine",
        "the time limit that it passed to its engine",
        (
            LOGIC + "_cancel_late",
            "stonetrack.node.request_lifecycle:RequestLifecycle.check_deadlines",
            "stonetrack.engines.attempt:SocketAttempt.abort",
        ),
        (LEDGER + "may_begin", ORACLE + "_effect_violations"),
    ),
    Row(
        Obligation.STATE,
        "its prefill engine answers 202 on the attempt's connection",
        "a first event or a 410 on the connection of a decode attempt; or any engine's answer to a release that was "
        "decided later",
        "the configured time and 0.3 s after the last attempt that has arrived ended",
        (LOGIC + "_advance", LOGIC + "_release_unproven"),
        (LEDGER + "check", ORACLE + "_held_state_violations", ENGINES + "still_held"),
    ),
    Row(
        Obligation.RESERVATION,
        "the call for it is written, whatever the answer",
        "404 or 409 on the call's connection; or any engine's answer to a release that was decided later",
        "the configured time and 0.3 s after the call, since no prefill attempt is known to have arrived",
        (LOGIC + "_probe_decode",),
        (ORACLE + "_held_state_violations", ENGINES + "reserve"),
    ),
    Row(
        Obligation.ABANDONED_READ,
        "a prefill attempt that was written completely ends without its engine's answer",
        "its connection has ended, and its engine has answered a release that was written after it was abandoned",
        "the configured time and 0.3 s after each moment from which its engine may have left a state",
        ("stonetrack.edge.abandoned:AbandonedPrefills._release_due",),
        (ORACLE + "_held_state_violations", ENGINES + "prefill_completed"),
    ),
    Row(
        Obligation.RELEASE,
        "it is decided",
        "the engine that was called answers it with 204 on the call's connection",
        "that of what it releases; before the next attempt of its request",
        ("stonetrack.edge.releases:Releases.try_any_engine", "stonetrack.edge.releases:Releases.await_release"),
        (LEDGER + "note", ENGINES + "release"),
    ),
    Row(
        Obligation.TOLD_CHANGE,
        "discovery has written it to the node, or a watch has been silent for 6 s",
        "no attempt begins at the engine any more",
        "the configured grace period",
        ("stonetrack.node.core:Core.may_send", "stonetrack.edge.watch:DiscoveryWatch"),
        (LEDGER + "may_begin", ORACLE + "_drain_violations"),
    ),
)


def markdown() -> str:
    """The table in Markdown, as docs/obligations.md shows it."""
    lines = ["| obligation | begins | ends alone by | deadline | who acts | who checks |", "| --- " * 6 + "|"]
    for row in TABLE:
        acts, checks = (
            "; ".join(f"`{name.rpartition(':')[2]}`" for name in names) for names in (row.acts, row.checked_by)
        )
        cells = (row.obligation.value, row.begins, row.ends, row.deadline, acts, checks)
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)
