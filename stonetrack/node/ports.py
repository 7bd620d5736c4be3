"""The interfaces between the node, a frontend (``Sink``) and the engine client (``Engines``, ``Attempt``).

Implementations of both are passed in, so that all frontends share decisions, rules and limits, and a test can replace
either with a fake.  Times are nanoseconds on the node's clock (``Clock``: Unix time at start, then monotonic).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from stonetrack.api import LoadReport, Outcome

Clock = Callable[[], int]


@dataclass(frozen=True, slots=True)
class InferenceRequest:
    """One request as a frontend passes it on.

    ``body`` is the request in a form that its frontend and the engine client agree on; the node never looks into it.
    ``time_left`` is how long the client waits for a first token, less a margin for the answer's way back.
    """

    request_id: str
    class_index: int
    session: str
    time_left: int
    prompt_tokens: int
    body: Any
    shared_prefix: str | None = None
    shared_tokens: int = 0
    max_answer_tokens: int = 0
    tenant: int = 0
    idempotency_key: str = ""  # as the client gave it
    buffered: bool = False  # the client receives the answer as a whole, which is then due within ``time_left``
    repeated: bool = False
    settings: Any = None  # that the frontend read the request with, where they may change meanwhile


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens counted by the engine that answered."""

    prompt: int = 0
    answer: int = 0
    cached: int = 0


# Events of an attempt, in order: AnswerStarted, any number of AnswerPart and StreamProgress, AttemptResult; or
# AttemptResult alone.


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The answer has started."""


class AnswerPart:
    """A part of the answer, in a form that the engine client and the frontend agree on; opaque to the node.

    ``ends_event`` tells whether an event of the engine's stream is complete with it.
    """

    __slots__ = ()
    ends_event: bool


@dataclass(slots=True)
class Choices(AnswerPart):
    """Part of a chat completion: the choices as the engine sent them (index, delta, finish_reason, …) and the rest."""

    choices: list[dict[str, Any]]
    usage: dict[str, Any] | None = None
    extra: dict[str, Any] = field(default_factory=dict)
    ends_event: bool = True


@dataclass(slots=True)
class RawEvents(AnswerPart):
    """Bytes of a stream's events, passed on unchanged."""

    data: bytes
    ends_event: bool = True


@dataclass(frozen=True, slots=True)
class StreamProgress:
    """Bytes of a stream arrived that complete no event.

    ``remaining`` is what is still to come of the chunk that is being received, in bytes, 0 between chunks;
    ``announced`` is the size of all chunks so far, which tells one chunk from the next.
    """

    announced: int
    remaining: int


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The final outcome of an attempt.

    ``state`` is what a prefill engine returned for the decode engine, opaque to the node; ``rejection`` is an engine's
    own answer that the request itself is at fault (status, error object), which is passed on as it is.
    """

    outcome: Outcome
    why: str = ""
    kept_tokens: int = 0
    state_missing: bool = False
    report: LoadReport | None = None
    state: Any = None
    rejection: tuple[int, dict[str, Any]] | None = None


AttemptEvent = AnswerStarted | AnswerPart | StreamProgress | AttemptResult


# Final answers.


@dataclass(frozen=True, slots=True)
class Served:
    """The answer is complete."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not accepted; a retry is safe after ``retry_after`` nanoseconds (0: no advice)."""

    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """Failed before an answer started, without a guarantee that nothing ran.  ``late`` says that the time ran out."""

    why: str = ""
    late: bool = False


@dataclass(frozen=True, slots=True)
class Broken:
    """The answer broke off after it had started.  ``late`` says that the time ran out."""

    why: str = ""
    late: bool = False


@dataclass(frozen=True, slots=True)
class Rejected:
    """An engine found the request itself at fault: its status and error object, for the client."""

    status: int
    error: dict[str, Any]


Final = Served | Refused | Failed | Broken | Rejected


class ClientDisconnected(ConnectionError):
    """The client's connection is gone."""


class Sink(Protocol):
    """The client's side of an answer.  Methods never block; bytes that the client does not take yet are buffered."""

    def fileno(self) -> int:
        """The client's descriptor, polled for disconnection and for room to write."""

    def read_ahead(self) -> bool:
        """Receive what the client has sent behind its request, within a bound; return whether nothing is left unread.

        While something is, a disconnection can't be seen."""

    def begin(self) -> None:
        """Start the answer.  Raises ClientDisconnected."""

    def send_part(self, part: AnswerPart) -> None:
        """Send a part of the answer.  Raises ClientDisconnected."""

    def finish(self, final: Final) -> None:
        """Send the one final answer.  Raises ClientDisconnected."""

    def cork(self, on: bool) -> None:
        """While on, output is only buffered; the caller flushes afterwards."""

    def flush(self) -> int:
        """Write what the socket takes and return the bytes still pending.  Raises ClientDisconnected."""

    @property
    def pending(self) -> int:
        """Bytes buffered and not yet taken by the socket."""


class Attempt(Protocol):
    """One attempt at an engine, on a new or a pooled connection."""

    def fileno(self) -> int:
        """The descriptor of its connection, or -1 once the attempt is over."""

    @property
    def has_unsent_data(self) -> bool:
        """Whether part of the request is still to be written."""

    @property
    def stream_position(self) -> str:
        """The part of the message that a stream is in, for logs; empty before its first event."""

    def process_io(self) -> list[AttemptEvent]:
        """Read and write what the socket allows without blocking; the events that follow."""

    def abort(self) -> None:
        """Abort: close, and wait a bounded time for the engine to notice."""


class Engines(Protocol):
    """The engine client."""

    def start(
        self,
        request: InferenceRequest,
        server: str,
        attempt_number: int,
        state: Any,
        reserved: bool,
        may_send: Callable[[str], bool],
    ) -> Attempt | AttemptResult:
        """Connect and begin to send; an AttemptResult where the attempt ended at once.

        May block for the connect timeout.  ``may_send`` is called again right before the first byte is written.
        """

    def reserve(self, request_id: str, server: str, attempt_number: int, callback: Callable[[bool], None]) -> None:
        """Request a reservation at a decode engine in the background, during attempt ``attempt_number``.

        ``callback`` receives whether the engine holds one.  A reservation that is confirmed after the request moved on
        is released by the engine client itself.
        """

    def release(
        self,
        request_id: str,
        prefill_server: str,
        state: Any,
        decode_server: str,
        attempt_number: int,
        state_remains: bool,
    ) -> None:
        """Release held state and a reservation in the background, with retries within the time allowed.

        What attempts after ``attempt_number`` created stays.  An engine that holds no state is not called.  With
        ``state_remains`` other state stays held for the request: where engines release all or nothing, nothing is
        released.
        """

    def probe(self, server: str) -> None:
        """Request a load report in the background; it reaches the node as an event."""
