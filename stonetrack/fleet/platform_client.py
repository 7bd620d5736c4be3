"""Clients of the platform's protocol, beside those of the chat API: same schedule, same record of what was seen."""

from __future__ import annotations

import contextlib
import socket
import time

import msgspec

from stonetrack.fleet.load import Client, Planned, Seen
from stonetrack.wire import http1, sse, writer

CHAT = "/v1/chat/completions"
STAYS = 0.7  # share of requests for which a client stays with the connection that it has
HALF_CLOSE, STOPS, LITTLE_TIME = "half_close", "stops", "little_time"
LITTLE = (0.02, 0.3)  # seconds of a client that has very little time left
STOPPED_FOR = 3.0  # seconds in which a node owes an answer or a close to who stops within a request


class PlatformClient(Client):
    """One client; see ``fleet.load.Client``."""

    def turn_to(self, host: str, port: int) -> None:
        """See ``Client.turn_to``; most stay on an open connection, so that nodes that leave are still sent to."""
        if self.sock is None or self.draw.random() >= STAYS:
            super().turn_to(host, port)

    def run(self, planned: Planned, retry: int) -> Seen:
        """See ``Client.run``."""
        if planned.behaviour == STOPS:
            return self._stop_within(planned, retry)
        if planned.behaviour == LITTLE_TIME:
            planned = _with_patience(planned, self.draw.uniform(*LITTLE))
        return super().run(planned, retry)

    def _request(self, planned: Planned, seen: Seen) -> tuple[bytes, bool]:
        seen.request = f"{self.draw.getrandbits(64):016x}"
        prompt = max(1, sum(len(message["content"]) for message in planned.messages) // 4)
        headers = [
            ("Host", "origin.svc"),
            ("X-Correlation-Id", seen.request),
            ("X-Service-Class", planned.traffic.name),
            ("X-Session-Key", planned.session),
            ("X-Time-Left", f"{max(1, int(planned.patience * 1_000))}m"),
            ("X-Facts", f"prompt_len={prompt},max_out={planned.traffic.max_tokens}"),
        ]
        body = msgspec.json.encode({"model": "chat", "stream": True, "messages": planned.messages})
        return writer.request("POST", CHAT, headers, body), True

    def _answer(self, planned: Planned, seen: Seen, stream: bool) -> None:
        if planned.behaviour == HALF_CLOSE and self.sock is not None:
            self.sock.shutdown(socket.SHUT_WR)
        super()._answer(planned, seen, stream)

    def _event(self, seen: Seen, data: bytes, now: int) -> None:
        super()._event(seen, data, now)
        if data != b"[DONE]":
            written = msgspec.json.decode(data).get("written_ns", 0)
            if written:
                seen.event_late = max(seen.event_late, now - written)

    def _end(self, seen: Seen, planned: Planned, events: sse.EventStreamReader | None, body: bytes, now: int) -> None:
        if events is not None:
            super()._end(seen, planned, events, body, now)
            return
        seen.why = body.decode("utf-8", "replace").strip()[:200]
        seen.ended = "refused" if seen.status in (429, 503) else "failed" if seen.status >= 500 else "rejected"

    def _stop_within(self, planned: Planned, retry: int) -> Seen:
        """Send part of a request and stay: the node owes an error or a close."""
        traffic = planned.traffic
        seen = Seen(number=planned.number, cls=traffic.name, how="stream", behaviour=STOPS, retry=retry, worth=0.0)
        request, _ = self._request(planned, seen)
        self.close()
        seen.sent = time.monotonic_ns()
        seen.deadline = seen.sent + int(STOPPED_FOR * 1e9)
        with contextlib.suppress(OSError):
            self.sock = socket.create_connection((self.host, self.port), timeout=5.0)
            self.sock.sendall(request[: self.draw.randrange(1, len(request) - 1)])
            self.sock.settimeout(STOPPED_FOR + 3.0)
            seen.ended = "no answer"
            reader = http1.MessageReader(http1.Side.RESPONSES)
            data = self.sock.recv(65_536)
            heads = [event for event in reader.feed(data) if isinstance(event, http1.ResponseHead)] if data else []
            seen.status = heads[0].status if heads else 0
            seen.ended = "rejected" if heads else "closed"
        seen.ended = seen.ended or "closed"
        seen.end = time.monotonic_ns()
        self.close()
        return seen


def _with_patience(planned: Planned, patience: float) -> Planned:
    return Planned(
        planned.at, planned.number, planned.traffic, planned.session, planned.messages, planned.how,
        planned.behaviour, patience)  # fmt: skip
