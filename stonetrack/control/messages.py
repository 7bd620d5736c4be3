"""Messages between a node and the control service.  No I/O."""

from __future__ import annotations

import msgspec

from stonetrack.control.documents import Document


class Report(msgspec.Struct, frozen=True):
    """A node's report; ``asked`` and ``served`` count requests of its process, from 0 with each new ``boot``."""

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
    order: int = 0  # number of the last order that this process has received


class Answer(msgspec.Struct, frozen=True):
    """The service's answer to a report; ``permit_ms`` is the duration of the node's lease on taking requests."""

    permit_ms: int
    steps_out: bool
    document: Document | None = None
    out: str = ""  # why it is fenced, until it runs ``lifted_by``
    lifted_by: int = 0  # number of the node's desired version
    restart: bool = False
    order: int = 0  # number of the service's last order to this node; odd: fenced, even: fence lifted
