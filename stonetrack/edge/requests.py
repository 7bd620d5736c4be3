"""Parses a client's request for the router, or says why it is refused.  No I/O.

Only the head is parsed; the body is forwarded to the engines unchanged, and they validate it.  So are all headers that
are not hop-by-hop (RFC 9110, 7.6.1): an idempotency key, for example, is between the client and the engines, also where
the node does not use it.  Headers that the node decides by are parsed strictly: an id becomes part of the path of calls
to engines, so its characters are restricted; a header that occurs twice is refused, since receivers differ in which one
they use.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from stonetrack.node.ports import InferenceRequest
from stonetrack.wire.http1 import Headers, RequestHead

MS = 1_000_000
CHAT_PATH = "/v1/chat/completions"
CHARACTERS_PER_TOKEN = 4  # the protocol's estimate
ANSWER_MARGIN_NS = 30 * MS  # reserved for the final answer's way back to the client
MAX_TIME_LEFT_NS = 600_000 * MS  # a longer time left is capped

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
_HOP_BY_HOP = frozenset({
    "connection", "expect", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
    "trailer", "transfer-encoding", "upgrade",
})  # fmt: skip
_REPLACED = frozenset({"host", "content-length", ID_HEADER, TIME_LEFT_HEADER})


class BadRequest(ValueError):
    """A request that is refused; ``status`` is the HTTP status of the answer."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class ForwardedRequest:
    """What is forwarded to the engines unchanged, and the time up to which the client waits for the first event (node's
    clock, ns)."""

    target: str
    data: bytes
    deadline: int
    headers: tuple[tuple[str, str], ...] = ()

    def discard(self) -> None:
        """Free what is forwarded, once no further attempt can follow."""
        self.data, self.headers = b"", ()


def parse_time_left(text: str) -> int:
    """Parse a time-left header to nanoseconds.  Raises BadRequest."""
    found = _TIME.fullmatch(text)
    if found is None or not int(found.group(1)):
        raise BadRequest(f"{TIME_LEFT_HEADER}: found {text[:40]!r}; allowed: a whole number from 1 on, then m or u")
    return min(int(found.group(1)) * _UNITS[found.group(2)], MAX_TIME_LEFT_NS)


def parse_facts(text: str) -> dict[str, str]:
    """Parse the name=value pairs of a facts header.  Raises BadRequest."""
    pairs: dict[str, str] = {}
    for part in text.split(",") if text else ():
        found = _FACT.fullmatch(part.strip())
        if found is None or found.group(1) in pairs:
            raise BadRequest(f"{FACTS_HEADER}: found {part[:60]!r}; allowed: name=value pairs, each name once")
        pairs[found.group(1)] = found.group(2)
    return pairs


def _parse_token_count(pairs: dict[str, str], name: str, default: int) -> int:
    text = pairs.get(name)
    if text is None:
        return default
    if not _COUNT.fullmatch(text):
        raise BadRequest(f"{FACTS_HEADER}: {name}: found {text[:40]!r}; allowed: a whole number of tokens")
    return int(text)


def _single_header(headers: Headers, name: str) -> str:
    found = headers.all(name)
    if len(found) > 1:
        raise BadRequest(f"{name}: stands {len(found)} times; once is allowed")
    return found[0] if found else ""


def forwarded_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    """The headers that are forwarded to the engines unchanged."""
    dropped = _HOP_BY_HOP | _REPLACED | set(headers.tokens("connection"))
    return tuple((name.title(), value) for name, value in headers if name not in dropped)


def _parse_tenant(headers: Headers, tenants: dict[str, int]) -> int:
    """The tenant's number; 0 if the deployment has no tenants or the request names none."""
    name = _single_header(headers, TENANT_HEADER)
    if not tenants or not name:
        return 0
    if name not in tenants:
        raise BadRequest(f"{TENANT_HEADER}: found {name[:40]!r}; allowed: {', '.join(tenants)}")
    return tenants[name]


def parse_request(
    head: RequestHead, body: bytes, classes: dict[str, int], waited_ns: int, now: int, tenants: dict[str, int]
) -> InferenceRequest:
    """Parse a request whose client's time began ``waited_ns`` ago; ``classes`` and ``tenants`` map names to numbers.

    ``now`` is the node's clock in nanoseconds.  Raises BadRequest."""
    headers = head.headers
    request = _single_header(headers, ID_HEADER)
    if not _ID.fullmatch(request):
        raise BadRequest(f"{ID_HEADER}: found {request[:40]!r}; allowed: 1 to 128 letters, digits, _ . : -")
    name = _single_header(headers, CLASS_HEADER)
    if name not in classes:
        raise BadRequest(f"{CLASS_HEADER}: found {name[:40]!r}; allowed: {', '.join(classes)}")
    time_left = parse_time_left(_single_header(headers, TIME_LEFT_HEADER)) - waited_ns
    facts = parse_facts(_single_header(headers, FACTS_HEADER))
    prompt_tokens = _parse_token_count(facts, "prompt_len", len(body) // CHARACTERS_PER_TOKEN)
    shared_prefix = facts.get("prefix")
    return InferenceRequest(
        request,
        classes[name],
        _single_header(headers, SESSION_HEADER)[:200],
        max(time_left - ANSWER_MARGIN_NS, 0),
        max(prompt_tokens, 1),
        ForwardedRequest(head.target, body, now + time_left, forwarded_headers(headers)),
        shared_prefix if shared_prefix not in (None, "0") else None,
        min(_parse_token_count(facts, "prefix_len", 0), prompt_tokens),
        _parse_token_count(facts, "max_out", 0),
        tenant=_parse_tenant(headers, tenants),
        repeated=_single_header(headers, REPEAT_HEADER) == "1",
    )
