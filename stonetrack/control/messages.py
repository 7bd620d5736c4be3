"""What passes between a node and the control service, as types.  No I/O."""

from __future__ import annotations

import msgspec

from stonetrack.control.documents import Document


class Report(msgspec.Struct, frozen=True):
    """A node's question; counts are of its process, so they begin anew with ``boot``."""

    name: str
    boot: str
    running: int = 0
    digest: str = ""
    acting: str = ""  # digest of the version that its decisions are made with
    refused: int = 0
    why: str = ""
    asked: int = 0
    served: int = 0
    wait_ms: int = 0
    order: int = 0  # the last one that this process has heard


class Answer(msgspec.Struct, frozen=True):
    """What the node is to do."""

    permit_ms: int
    steps_out: bool
    document: Document | None = None
    out: str = ""  # why it is shut out, until it runs ``lifted_by``
    lifted_by: int = 0  # the version that is to be run
    restart: bool = False
    order: int = 0  # counts the service's orders to this node; odd: out, even: in again
