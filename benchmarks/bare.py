"""A minimal threaded relay: one thread for each connection copies bytes from an engine to the client.

It parses no answer, keeps no state and makes no decisions: two requests to the engine (prefill and decode) and a copy
loop.  This is a lower bound for the cost of a threaded router in Python.
"""

from __future__ import annotations

import re
import socket
import sys
import threading

from stonetrack.engines.protocol import CHAT_PATH

_LENGTH = re.compile(rb"[Cc]ontent-[Ll]ength: (\d+)")


def receive(sock: socket.socket) -> bytes:
    """Receive one request or response with a Content-Length; empty at the end of the connection."""
    data = b""
    while True:
        received = sock.recv(65_536)
        if not received:
            return b""
        data += received
        end = data.find(b"\r\n\r\n")
        if end >= 0:
            found = _LENGTH.search(data, 0, end)
            if len(data) >= end + 4 + (int(found.group(1)) if found else 0):
                return data


def relay(client: socket.socket, port: int) -> None:
    """Relay the requests on one client connection."""
    engines: list[socket.socket] = []
    try:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for _ in range(2):
            engine = socket.create_connection(("127.0.0.1", port))
            engine.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            engines.append(engine)
        while request := receive(client):
            body = request[request.index(b"\r\n\r\n") + 4 :]
            prefill = body[:-1] + b',"do_remote_decode":true}'
            engines[0].sendall(
                b"POST %b HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n" % (CHAT_PATH.encode(), len(prefill))
                + prefill
            )
            receive(engines[0])
            engines[1].sendall(request)
            tail = b""
            while not tail.endswith(b"0\r\n\r\n"):
                data = engines[1].recv(65_536)
                if not data:
                    return
                client.sendall(data)
                tail = (tail + data)[-5:]
    except OSError:
        pass
    finally:
        for sock in (client, *engines):
            sock.close()


def main() -> None:
    """Listen on a free port, print it, and relay to the engine's port."""
    threading.stack_size(256 * 1024)
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(4096)
    print(f"ready {listener.getsockname()[1]}", flush=True)
    while True:
        client, _ = listener.accept()
        threading.Thread(target=relay, args=(client, int(sys.argv[1])), daemon=True).start()


if __name__ == "__main__":
    main()
