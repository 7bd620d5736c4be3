"""A stream engine for measurements: as little work as can be, in a process of its own, forked to use several cores.

``POST /v1/chat/completions`` is answered as reader (``do_remote_decode``) at once, else as a stream: ``metadata.tokens``
events, ``metadata.gap_ms`` apart (0: all at once).  It lists itself at ``GET /engines``.
"""

from __future__ import annotations

import heapq
import os
import re
import select
import socket
import sys
import time

from stonetrack.wire import sse, writer

_LENGTH = re.compile(rb"[Cc]ontent-[Ll]ength: (\d+)")
_TOKENS = re.compile(rb'"tokens":(\d+)')
_GAP = re.compile(rb'"gap_ms":(\d+)')
EVENT = b'{"id":"e","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}]}'
LAST = b'{"id":"e","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}'
HEAD = writer.chunked_head(200, [("Content-Type", "text/event-stream")])
PIECE = writer.chunk(sse.encode(EVENT))
END = writer.chunk(sse.encode(LAST) + sse.encode(b"[DONE]")) + writer.LAST_CHUNK
STATE = writer.response(
    200,
    [("Content-Type", "application/json")],
    b'{"choices":[],"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":"r0"}}',
)


def serve(listener: socket.socket, listing: bytes) -> None:
    """Serve for ever; ended by its parent's end or a signal."""
    listener.setblocking(False)
    poll = select.epoll()
    poll.register(listener.fileno(), select.EPOLLIN)
    conns: dict[int, tuple[socket.socket, bytearray]] = {}
    timers: list[tuple[float, int, int, int]] = []
    parent = os.getppid()
    while True:
        wait = max(0.0, timers[0][0] - time.monotonic()) if timers else 1.0
        for fd, _ in poll.poll(wait, 1024):
            if fd == listener.fileno():
                for _ in range(64):
                    try:
                        sock, _ = listener.accept()
                    except OSError:
                        break
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    sock.setblocking(True)
                    conns[sock.fileno()] = (sock, bytearray())
                    poll.register(sock.fileno(), select.EPOLLIN)
                continue
            sock, buffer = conns[fd]
            try:
                data = sock.recv(65_536, socket.MSG_DONTWAIT)
            except OSError:
                data = b""
            if not data:
                poll.unregister(fd)
                sock.close()
                del conns[fd]
                continue
            buffer += data
            end = buffer.find(b"\r\n\r\n")
            if end < 0:
                continue
            found = _LENGTH.search(buffer, 0, end)
            size = end + 4 + (int(found.group(1)) if found else 0)
            if len(buffer) < size:
                continue
            request = bytes(buffer[:size])
            del buffer[:size]
            if request.startswith(b"GET /engines"):
                if b"after=1" in request:
                    time.sleep(0)
                    sock.sendall(writer.response(204, []))
                else:
                    sock.sendall(writer.response(200, [("Content-Type", "application/json")], listing))
            elif b'"do_remote_decode":true' in request:
                sock.sendall(STATE)
            else:
                asked = _TOKENS.search(request)
                tokens = int(asked.group(1)) if asked else 16
                pause = _GAP.search(request)
                gap = int(pause.group(1)) if pause else 0
                if gap == 0:
                    sock.sendall(HEAD + PIECE * tokens + END)
                else:
                    sock.sendall(HEAD + PIECE)
                    heapq.heappush(timers, (time.monotonic() + gap / 1e3, fd, tokens - 1, gap))
        now = time.monotonic()
        while timers and timers[0][0] <= now:
            due, fd, left, gap = heapq.heappop(timers)
            if fd not in conns:
                continue
            try:
                conns[fd][0].sendall(PIECE if left else END)
            except OSError:
                continue
            if left:
                heapq.heappush(timers, (due + gap / 1e3, fd, left - 1, gap))
        if os.getppid() != parent:
            return


def main() -> None:
    """Listen, fork, print the port."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen(4096)
    port = listener.getsockname()[1]
    engines = ",".join(
        f'{{"name":"{kind[0]}{n}","address":"127.0.0.1:{port}","kind":"{kind}","cell":{n % 2}}}'
        for kind in ("reader", "writer") for n in range(4))  # fmt: skip
    listing = f'{{"version":1,"kind":"full","engines":[{engines}]}}'.encode()
    print(f"ready {port}", flush=True)
    for _ in range(int(sys.argv[1]) - 1):
        if os.fork() == 0:
            break
    serve(listener, listing)


if __name__ == "__main__":
    main()
