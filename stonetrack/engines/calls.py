"""A blocking HTTP call on a new connection: sends the request and reads the whole answer."""

from __future__ import annotations

import time

from stonetrack import api
from stonetrack.node import sockets
from stonetrack.wire import http1
from stonetrack.wire.errors import ProtocolError

_LIMITS = http1.Limits(body=1 << 20)


class CallFailed(OSError):
    """A call that got no usable answer; ``outcome`` says how it failed."""

    def __init__(self, text: str, outcome: api.Outcome = api.Outcome.ERROR) -> None:
        super().__init__(text)
        self.outcome = outcome


def call(host: str, port: int, request: bytes, timeout: float, limits: http1.Limits = _LIMITS) -> tuple[int, bytes]:
    """Send one request on a new connection; return status and body.  Raises CallFailed."""
    head, body = exchange(host, port, request, timeout, limits)
    return head.status, body


def exchange(
    host: str,
    port: int,
    request: bytes,
    timeout: float,
    limits: http1.Limits = _LIMITS,
    connect_timeout: float | None = None,
    answer_timeout: float | None = None,
) -> tuple[http1.ResponseHead, bytes]:
    """Send one request on a new connection; return the answer's head and body.  Raises CallFailed.

    ``timeout`` limits each wait for bytes, ``connect_timeout`` the time to connect and ``answer_timeout`` the time from
    the request to the end of its answer, however its bytes come; in seconds, the default of both is ``timeout``.
    """
    try:
        sock = sockets.connect(host, port, timeout if connect_timeout is None else connect_timeout)
    except sockets.ResourceExhausted as error:
        raise CallFailed(f"{host}:{port}: {error}", api.Outcome.NOT_SENT) from None
    except OSError as error:
        raise CallFailed(f"{host}:{port}: {error}", api.Outcome.CONNECT_FAILED) from None
    reader = http1.MessageReader(http1.Side.RESPONSES, limits)
    head: http1.ResponseHead | None = None
    body = bytearray()
    try:
        sock.settimeout(timeout)
        end = time.monotonic() + (timeout if answer_timeout is None else answer_timeout)
        sock.sendall(request)
        while True:
            data = sockets.receive_until(sock, 65_536, min(end, time.monotonic() + timeout))
            for event in reader.feed(data) if data else reader.eof():
                if isinstance(event, http1.ResponseHead):
                    head = event
                elif isinstance(event, http1.Data):
                    body += event.data
                elif isinstance(event, http1.End) and head is not None and head.status >= 200:
                    return head, bytes(body)
            if not data:
                raise CallFailed(f"{host}:{port}: closed without an answer", api.Outcome.RESET)
    except TimeoutError:
        raise CallFailed(f"{host}:{port}: no answer in time ({timeout:g} s)", api.Outcome.TIMED_OUT) from None
    except ProtocolError as error:
        raise CallFailed(f"{host}:{port}: {error}") from None
    except CallFailed:
        raise
    except OSError as error:
        raise CallFailed(f"{host}:{port}: {error}", api.Outcome.RESET) from None
    finally:
        sockets.close(sock)
