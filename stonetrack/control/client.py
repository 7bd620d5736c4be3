"""Client of a control service, for the command line, nodes and controllers."""

from __future__ import annotations

from typing import Any

import msgspec

from stonetrack.election.fencing import NO_TOKEN, TOKEN_HEADER, Token
from stonetrack.engines import calls
from stonetrack.engines.calls import CallFailed
from stonetrack.engines.server_list import split_address
from stonetrack.wire import json_limits, writer


class ControlError(OSError):
    """A failed or refused call; ``known`` is the service's latest leader, for a caller whose term is over."""

    def __init__(self, text: str, known: Token = NO_TOKEN) -> None:
        super().__init__(text)
        self.known = known


def call(
    address: str, method: str, path: str, body: Any = None, token: Token | None = None, timeout_s: float = 10.0
) -> Any:
    """Return the decoded answer of the service; ``address`` is ``host:port`` or its URL.  Raises ControlError."""
    found = split_address(address.removeprefix("http://").rstrip("/"))
    if found is None:
        raise ControlError(f"{address!r}: host:port is allowed")
    host, port = found
    headers = [("Host", f"{host}:{port}"), ("Connection", "close")]
    if token is not None:
        headers.append((TOKEN_HEADER, str(token)))
    data = msgspec.json.encode(body) if body is not None else b""
    try:
        status, answer = calls.call(host, port, writer.request(method, path, headers, data), timeout_s)
        reply = json_limits.decode(answer, values=None)
    except (CallFailed, msgspec.DecodeError) as error:
        raise ControlError(f"{address}: {error}") from None
    if status != 200:
        known = msgspec.convert(reply["known"], Token) if "known" in reply else NO_TOKEN
        raise ControlError(f"{address}: {reply.get('error', status)}", known)
    return reply
