"""Error responses of the fleet's own services (discovery, controller, control); frontends use their API's form."""

from __future__ import annotations

import msgspec

from stonetrack.frontend.host import plain_response


def error_body(reason: str) -> bytes:
    """Return the JSON body of an error."""
    return msgspec.json.encode({"error": reason})


def rejection_response(status: int, reason: str) -> bytes:
    """Return the complete response for a rejected client; the connection closes after it."""
    headers = (("Retry-After", "1"),) if status == 503 else ()
    return plain_response(status, error_body(reason), headers, keep=False)
