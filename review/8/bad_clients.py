"""Bad clients, each on a connection of its own: a request at full speed, and the next as soon as it is answered.

Arguments: port, number of clients, seconds, bytes of a head, bytes of a body.  Answers are read as they come.
"""

import contextlib
import selectors
import socket
import sys
import time
import uuid

PORT, CLIENTS, LENGTH_S, HEAD_BYTES, BODY_BYTES = (int(float(argument)) for argument in sys.argv[1:])
NOTES = 50  # header lines that fill the head; they go to the engines unchanged
NOTE = "".join(f"X-Note-{n:02d}: {'n' * (HEAD_BYTES // NOTES - 14)}\r\n" for n in range(NOTES))
BODY = b"a" * BODY_BYTES
LAST_CHUNK = b"0\r\n\r\n"


class Client:
    """One client: what it has still to send, and the end of what it got."""

    def __init__(self) -> None:
        request = uuid.uuid4().hex[:16]
        head = [
            "POST /v1/chat/completions HTTP/1.1", "Host: origin.svc", f"X-Correlation-Id: {request}",
            "X-Service-Class: trip-plan", f"X-Session-Key: {request}", "X-Time-Left: 9000m",
            f"X-Facts: prompt_len=500\r\n{NOTE}Content-Length: {BODY_BYTES}",
        ]  # fmt: skip
        self.unsent = memoryview("\r\n".join([*head, "", ""]).encode() + BODY)
        self.got = b""
        self.sock = socket.socket()
        self.sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.sock.connect(("127.0.0.1", PORT))

    def step(self, mask: int) -> bool:
        """Read and write what is possible; returns whether the request is over.  Raises OSError."""
        if mask & selectors.EVENT_READ:
            data = self.sock.recv(262_144)
            self.got = (self.got + data)[-1_000:]
            refused = b"HTTP/1.1 4" in self.got or b"HTTP/1.1 5" in self.got
            return not data or refused or self.got.endswith(LAST_CHUNK)
        self.unsent = self.unsent[self.sock.send(self.unsent) :]
        return False


def main() -> None:
    selector, until = selectors.DefaultSelector(), time.monotonic() + LENGTH_S

    def begin() -> None:
        client = Client()
        selector.register(client.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, client)

    for _ in range(CLIENTS):
        begin()
    while time.monotonic() < until:
        for key, mask in selector.select(0.1):
            client, over = key.data, True
            with contextlib.suppress(OSError):
                try:
                    over = client.step(mask)
                except BlockingIOError:
                    over = False
            if over:
                selector.unregister(client.sock)
                client.sock.close()
                begin()
            elif not client.unsent and key.events & selectors.EVENT_WRITE:
                selector.modify(client.sock, selectors.EVENT_READ, client)


main()
