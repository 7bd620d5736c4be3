"""A minimal engine for benchmarks, which does as little work as possible; forked processes use several cores.

``POST /v1/chat/completions`` gets a prefill answer for ``do_remote_decode``, else a stream with ``metadata.tokens``
events, ``metadata.gap_ms`` milliseconds apart (0: all at once).  ``GET /engines`` returns the server list.
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
TOKEN_CHUNK = writer.chunk(sse.encode(EVENT))
LAST_CHUNKS = writer.chunk(sse.encode(LAST) + sse.encode(b"[DONE]")) + writer.LAST_CHUNK
PREFILL_RESPONSE = writer.response(
    200,
    [("Content-Type", "application/json")],
    b'{"choices":[],"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":"r0"}}',
)


def serve(listener: socket.socket, server_list: bytes) -> None:
    """Serve until the parent process ends or a signal arrives."""
    listener.setblocking(False)
    poll = select.epoll()
    poll.register(listener.fileno(), select.EPOLLIN)
    connections: dict[int, tuple[socket.socket, bytearray]] = {}
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
                    connections[sock.fileno()] = (sock, bytearray())
                    poll.register(sock.fileno(), select.EPOLLIN)
                continue
            sock, buffer = connections[fd]
            try:
                data = sock.recv(65_536, socket.MSG_DONTWAIT)
            except OSError:
                data = b""
            if not data:
                poll.unregister(fd)
                sock.close()
                del connections[fd]
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
                    sock.sendall(writer.response(200, [("Content-Type", "application/json")], server_list))
            elif b'"do_remote_decode":true' in request:
                sock.sendall(PREFILL_RESPONSE)
            else:
                token_count = _TOKENS.search(request)
                tokens = int(token_count.group(1)) if token_count else 16
                gap_found = _GAP.search(request)
                gap = int(gap_found.group(1)) if gap_found else 0
                if gap == 0:
                    sock.sendall(HEAD + TOKEN_CHUNK * tokens + LAST_CHUNKS)
                else:
                    sock.sendall(HEAD + TOKEN_CHUNK)
                    heapq.heappush(timers, (time.monotonic() + gap / 1e3, fd, tokens - 1, gap))
        now = time.monotonic()
        while timers and timers[0][0] <= now:
            due, fd, left, gap = heapq.heappop(timers)
            if fd not in connections:
                continue
            try:
                connections[fd][0].sendall(TOKEN_CHUNK if left else LAST_CHUNKS)
            except OSError:
                continue
            if left:
                heapq.heappush(timers, (due + gap / 1e3, fd, left - 1, gap))
        if os.getppid() != parent:
            return


def main() -> None:
    """Listen, print the port, fork and serve."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen(4096)
    port = listener.getsockname()[1]
    engines = ",".join(
        f'{{"name":"{kind[0]}{n}","address":"127.0.0.1:{port}","kind":"{kind}","cell":{n % 2}}}'
        for kind in ("reader", "writer") for n in range(4))  # fmt: skip
    server_list = f'{{"version":1,"kind":"full","engines":[{engines}]}}'.encode()
    print(f"ready {port}", flush=True)
    for _ in range(int(sys.argv[1]) - 1):
        if os.fork() == 0:
            break
    serve(listener, server_list)


if __name__ == "__main__":
    main()
