"""Errors as the fleet's own services (lists, steward, control) say them; the fronts have their protocols' forms."""

from __future__ import annotations

import msgspec

from stonetrack.frontend.host import plain_response


def error_body(why: str) -> bytes:
    """An error's body."""
    return msgspec.json.encode({"error": why})


def rejection_response(status: int, why: str) -> bytes:
    """The whole response for a client that is turned away; the connection closes after it."""
    headers = (("Retry-After", "1"),) if status == 503 else ()
    return plain_response(status, error_body(why), headers, keep=False)
