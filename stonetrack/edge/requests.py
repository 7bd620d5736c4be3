"""A client's request as the router is to see it, or why it can't be taken.  No I/O.

Only heads are read; the body goes to the engines as it came, and what is in it is theirs to judge.  So do headers that
are not of one connection alone (RFC 9110, 7.6.1): an idempotency key is the client's and the engines', also where the
node has no use for it.  All that is doubtful in a head that decides something is refused: an id goes into the path of
calls to engines, so it is held to plain characters; a header that stands twice is read by nobody knows whom.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from stonetrack.node.ports import Ask
from stonetrack.wire.http1 import Headers, RequestHead

MS = 1_000_000
CHAT_PATH = "/v1/chat/completions"
CHARACTERS_PER_TOKEN = 4  # the protocol's own measure
ANSWER_MARGIN_NS = 30 * MS  # for the way of a last answer back to the client
MAX_TIME_LEFT_NS = 600_000 * MS  # more time left than this is taken as this

_ID = re.compile(r"[0-9A-Za-z_.:-]{1,128}")
_TIME = re.compile(r"([0-9]{1,15})([mu])")
_UNITS = {"m": MS, "u": 1_000}
_FACT = re.compile(r"([a-z_0-9]{1,32})=([^,=\s]{1,200})")
_COUNT = re.compile(r"[0-9]{1,9}")
ID_HEADER, CLASS_HEADER, SESSION_HEADER, TIME_LEFT_HEADER, FACTS_HEADER, REPEAT_HEADER, TENANT_HEADER = (
    "x-correlation-id",
    "x-service-class",
    "x-session-key",
    "x-time-left",
    "x-facts",
    "x-repeat",
    "x-account",
)
_OF_ONE_CONNECTION = frozenset({
    "connection", "expect", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
    "trailer", "transfer-encoding", "upgrade",
})  # fmt: skip
_WRITTEN_ANEW = frozenset({"host", "content-length", ID_HEADER, TIME_LEFT_HEADER})


class BadRequest(ValueError):
    """A request that can't be taken; ``status`` is the answer's."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """What goes to the engines unchanged, and when the client stops waiting for a first event (node's clock, ns)."""

    target: str
    data: bytes
    deadline: int
    headers: tuple[tuple[str, str], ...] = ()


def parse_time_left(text: str) -> int:
    """Nanoseconds of a time-left header.  Raises BadRequest."""
    found = _TIME.fullmatch(text)
    if found is None or not int(found.group(1)):
        raise BadRequest(f"{TIME_LEFT_HEADER}: found {text[:40]!r}; allowed: a whole number from 1 on, then m or u")
    return min(int(found.group(1)) * _UNITS[found.group(2)], MAX_TIME_LEFT_NS)


def parse_facts(text: str) -> dict[str, str]:
    """The pairs of a facts header.  Raises BadRequest."""
    pairs: dict[str, str] = {}
    for part in text.split(",") if text else ():
        found = _FACT.fullmatch(part.strip())
        if found is None or found.group(1) in pairs:
            raise BadRequest(f"{FACTS_HEADER}: found {part[:60]!r}; allowed: name=value pairs, each name once")
        pairs[found.group(1)] = found.group(2)
    return pairs


def _count(pairs: dict[str, str], name: str, default: int) -> int:
    text = pairs.get(name)
    if text is None:
        return default
    if not _COUNT.fullmatch(text):
        raise BadRequest(f"{FACTS_HEADER}: {name}: found {text[:40]!r}; allowed: a whole number of tokens")
    return int(text)


def _one(headers: Headers, name: str) -> str:
    found = headers.all(name)
    if len(found) > 1:
        raise BadRequest(f"{name}: stands {len(found)} times; once is allowed")
    return found[0] if found else ""


def forwarded_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    """The headers that go to the engines as they came."""
    dropped = _OF_ONE_CONNECTION | _WRITTEN_ANEW | set(headers.tokens("connection"))
    return tuple((name.title(), value) for name, value in headers if name not in dropped)


def _tenant(headers: Headers, tenants: dict[str, int]) -> int:
    """The tenant's number; 0 where the deployment has none or the request names none."""
    name = _one(headers, TENANT_HEADER)
    if not tenants or not name:
        return 0
    if name not in tenants:
        raise BadRequest(f"{TENANT_HEADER}: found {name[:40]!r}; allowed: {', '.join(tenants)}")
    return tenants[name]


def parse_request(
    head: RequestHead, body: bytes, classes: dict[str, int], waited: int, now: int, tenants: dict[str, int]
) -> Ask:
    """The request, ``waited`` nanoseconds after its head came; classes and tenants by name.  Raises BadRequest."""
    headers = head.headers
    request = _one(headers, ID_HEADER)
    if not _ID.fullmatch(request):
        raise BadRequest(f"{ID_HEADER}: found {request[:40]!r}; allowed: 1 to 128 letters, digits, _ . : -")
    name = _one(headers, CLASS_HEADER)
    if name not in classes:
        raise BadRequest(f"{CLASS_HEADER}: found {name[:40]!r}; allowed: {', '.join(classes)}")
    left = parse_time_left(_one(headers, TIME_LEFT_HEADER)) - waited
    told = parse_facts(_one(headers, FACTS_HEADER))
    prompt = _count(told, "prompt_len", len(body) // CHARACTERS_PER_TOKEN)
    beginning = told.get("prefix")
    return Ask(
        request,
        classes[name],
        _one(headers, SESSION_HEADER)[:200],
        max(left - ANSWER_MARGIN_NS, 0),
        max(prompt, 1),
        ForwardedRequest(head.target, body, now + left, forwarded_headers(headers)),
        beginning if beginning not in (None, "0") else None,
        min(_count(told, "prefix_len", 0), prompt),
        _count(told, "max_out", 0),
        tenant=_tenant(headers, tenants),
        repeated=_one(headers, REPEAT_HEADER) == "1",
    )
