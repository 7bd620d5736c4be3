"""The seam: what the node asks of a front (``Sink``) and of the engines' side (``Engines``, ``Attempt``).

Both sides are handed in, so that a second front shares decisions, rules and limits with the first, and a test can
stand in for either.  Times are nanoseconds on the node's clock (``Clock``: Unix time at start, then monotonic).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from stonetrack.api import LoadReport, Outcome

Clock = Callable[[], int]


@dataclass(frozen=True, slots=True)
class InferenceRequest:
    """One request as a front hands it over.

    ``body`` is the request in the form that its front and its engines' side agree on; the node never looks into it.
    ``time_left`` is how long the client waits for a first token, margin for the answer's way already off.
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
    idempotency_key: str = ""  # the client's idempotency key
    buffered: bool = False  # the client sees nothing before the whole answer, which is then due in ``time_left``
    repeated: bool = False
    settings: Any = None  # the settings that the front read it by, where these may change meanwhile


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens counted by the engine that answered."""

    prompt: int = 0
    answer: int = 0
    cached: int = 0


# What an attempt says, in order: Began once, any number of Piece, one Over; or Over alone.


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The answer has begun."""


class AnswerPart:
    """A part of the answer, in the form that its engines' side and its front agree on; opaque to the node."""

    __slots__ = ()


@dataclass(slots=True)
class Choices(AnswerPart):
    """A part of a chat: the choices as the engine sent them (index, delta, finish_reason, …) and the rest."""

    choices: list[dict[str, Any]]
    usage: dict[str, Any] | None = None
    extra: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class RawEvents(AnswerPart):
    """A part of a stream that is passed on unchanged: whole events as bytes."""

    data: bytes


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The attempt's one outcome.

    ``state`` is what a reader returned for the writer, opaque to the node; ``rejection`` an engine's own answer
    that the request itself is at fault (status, error object), which is handed on as it is.
    """

    outcome: Outcome
    why: str = ""
    kept_tokens: int = 0
    state_missing: bool = False
    report: LoadReport | None = None
    state: Any = None
    rejection: tuple[int, dict[str, Any]] | None = None


AttemptEvent = AnswerStarted | AnswerPart | AttemptResult


# Final answers.


@dataclass(frozen=True, slots=True)
class Served:
    """The answer is complete."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Not taken; a retry is harmless, after so many nanoseconds (0: nothing advised)."""

    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """Failed before an answer began; nothing is promised.  ``late`` tells that time ran out."""

    why: str = ""
    late: bool = False


@dataclass(frozen=True, slots=True)
class Broken:
    """The answer broke off after it had begun.  ``late`` tells that time ran out."""

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
    """Where an answer goes.  Nothing here blocks; what the client does not take yet is kept as ``pending``."""

    def fileno(self) -> int:
        """The client's descriptor, watched for leaving and for room."""

    def begin(self) -> None:
        """The answer begins.  Raises ClientDisconnected."""

    def send_part(self, part: AnswerPart) -> None:
        """A part of it.  Raises ClientDisconnected."""

    def finish(self, final: Final) -> None:
        """The one final answer.  Raises ClientDisconnected."""

    def cork(self, on: bool) -> None:
        """While on, what is given is kept as pending; the caller flushes after."""

    def flush(self) -> int:
        """Write what the socket takes; bytes still pending.  Raises ClientDisconnected."""

    @property
    def pending(self) -> int:
        """Bytes not yet taken by the socket."""


class Attempt(Protocol):
    """One attempt at an engine, on a socket of its own or from a pool."""

    def fileno(self) -> int:
        """Its descriptor, or -1 where it is over."""

    @property
    def has_unsent_data(self) -> bool:
        """Whether part of the request waits for room in the socket."""

    def process_io(self) -> list[AttemptEvent]:
        """Take what the socket gives and write what it takes, without blocking."""

    def abort(self) -> None:
        """Take it back: close, and wait a bounded time for the engine to have seen it."""


class Engines(Protocol):
    """The engines' side."""

    def start(
        self,
        request: InferenceRequest,
        server: str,
        attempt_number: int,
        state: Any,
        reserved: bool,
        may_send: Callable[[str], bool],
    ) -> Attempt | AttemptResult:
        """Connect and begin sending; Over where it ended at once.  May block for the connect time-out.

        ``may_send`` is asked again right before the first byte is written.
        """

    def reserve(self, request_id: str, server: str, attempt_number: int, callback: Callable[[bool], None]) -> None:
        """Ask a writer for a place, in the background, during attempt ``number``; ``answer`` gets whether it holds
        one.  A place that comes after the request went on is let go of by the engines' side itself."""

    def release(
        self,
        request_id: str,
        prefill_server: str,
        state: Any,
        decode_server: str,
        attempt_number: int,
        state_remains: bool,
    ) -> None:
        """Let go of a state and a place, in the background, with repeats within the time allowed.

        What attempts after ``number`` brought about stays.  An engine that holds no states is not called.  With
        ``rest`` a state stays held for the request elsewhere: where engines let go of all or nothing, nothing is.
        """

    def probe(self, server: str) -> None:
        """Ask for a load report, in the background; it comes to the node as an event."""
