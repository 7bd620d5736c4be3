"""What a node owes, what begins it, what alone ends it, and who acts when its time is nearly over.  No I/O.

One table for router, run-time check, emulated engines and oracle, read off the protocol's page.  docs/obligations.md
shows it; a test keeps the two alike and looks for every function that is named here.

The rule under all rows: only an answer on the connection of the call itself, by the engine that was called, after the
call, ends what is owed.  An answer of another engine, an older answer, an answer on another connection, a connect that
came up, bytes that a kernel took: each may guide a choice, and none ends anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Obligation(Enum):
    """One kind of thing owed; the text is its name in the docs."""

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

    ``acts`` names the functions that act before the deadline, ``checked_by`` those that look whether they did: the
    node's own first where it has one, then the oracle's or the emulated engines' books; each as ``module:name``.
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
ENGINES = "stonetrack.soak.engine_side:EngineSide."

TABLE: tuple[Row, ...] = (
    Row(
        Obligation.ANSWER,
        "the last byte of a request is read on a connection that this machine accepted",
        "the last byte of its final answer is written, or its client closes or resets",
        "the client's time, and 0.5 s in which it only earns nothing",
        (LOGIC + "_refuse_or_fail", "stonetrack.node.request_lifecycle:RequestLifecycle.check_deadlines"),
        (LEDGER + "check", ORACLE + "_answers"),
    ),
    Row(
        Obligation.ATTEMPT,
        "its first byte is written",
        "its engine's whole answer or the connection's end; a close or an end of sending gives it up, and ends nothing "
        "at its engine",
        "the time that it told its engine",
        (
            LOGIC + "_cancel_late",
            "stonetrack.node.request_lifecycle:RequestLifecycle.check_deadlines",
            "stonetrack.engines.attempt:SocketAttempt.abort",
        ),
        (LEDGER + "may_begin", ORACLE + "_effects"),
    ),
    Row(
        Obligation.STATE,
        "its prefill engine answers 202 on the attempt's connection",
        "a first event or a 410 on the connection of a decode attempt; or any engine's answer to a release that was "
        "decided later",
        "the settings' time and 0.3 s after the last attempt that has arrived ended",
        (LOGIC + "_advance", LOGIC + "_release_unproven"),
        (LEDGER + "check", ORACLE + "_held", ENGINES + "still_held"),
    ),
    Row(
        Obligation.RESERVATION,
        "the call for it is written, whatever is answered",
        "404 or 409 on the call's connection; or any engine's answer to a release that was decided later",
        "the settings' time and 0.3 s after the call, since no prefill attempt is known to have arrived",
        (LOGIC + "_probe_decode",),
        (ORACLE + "_held", ENGINES + "reserve"),
    ),
    Row(
        Obligation.ABANDONED_READ,
        "a prefill attempt that was written whole ends without its engine's word",
        "its connection has ended, and its engine has answered a release that was written after the giving up",
        "the settings' time and 0.3 s after each moment from which its engine may have left a state",
        ("stonetrack.edge.abandoned:AbandonedPrefills._release_due",),
        (ORACLE + "_held", ENGINES + "read"),
    ),
    Row(
        Obligation.RELEASE,
        "it is decided",
        "the engine that was called answers it, below 500, on the call's connection",
        "that of what it releases; before the next attempt of its request",
        ("stonetrack.edge.releases:Releases.try_any_engine", "stonetrack.edge.releases:Releases.await_release"),
        (LEDGER + "note", ENGINES + "release"),
    ),
    Row(
        Obligation.TOLD_CHANGE,
        "discovery has written it to the node, or a watch has been silent for 6 s",
        "no attempt begins at the engine any more",
        "the settings' grace",
        ("stonetrack.node.core:Core.may_send", "stonetrack.edge.watch:DiscoveryWatch"),
        (LEDGER + "may_begin", ORACLE + "_drains"),
    ),
)


def markdown() -> str:
    """The table as docs/obligations.md has it."""
    lines = ["| obligation | begins | ends alone by | deadline | who acts | who checks |", "| --- " * 6 + "|"]
    for row in TABLE:
        acts, checks = (
            "; ".join(f"`{name.rpartition(':')[2]}`" for name in names) for names in (row.acts, row.checked_by)
        )
        cells = (row.obligation.value, row.begins, row.ends, row.deadline, acts, checks)
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)
