"""Clients send much at once and go; what begins for them at an engine after that begins for nobody."""

import pathlib
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig2  # noqa: E402

CLIENTS, REQUESTS, TIME_LEFT_MS = 6, 1_500, 5_000
PROMPT, READ_S = 4_000, 0.3  # a prompt of 4,000 tokens at 13,000 tokens a second
AFTER_CLOSE_S, SLACK_S = 0.1, 0.05


def send_at_once(sock: socket.socket, data: bytes) -> int:
    """Send as much as the system takes within 0.1 s, without waiting for the node; the number of bytes."""
    sock.setblocking(False)
    sent, until = 0, time.monotonic() + 0.1
    while sent < len(data) and time.monotonic() < until:
        try:
            sent += sock.send(data[sent : sent + 65_536])
        except BlockingIOError:
            time.sleep(0.002)
    return sent


def play(fleet: rig2.Fleet, trouble: bool) -> list[str]:
    node = fleet.start_node()
    for reader in fleet.readers:
        reader.read_s = READ_S
    clients, closed_at = [], {}
    for _ in range(CLIENTS):
        requests = [fleet.new_id() for _ in range(REQUESTS)]
        data = b"".join(fleet.chat(TIME_LEFT_MS, request, prompt=PROMPT) for request in requests)
        sock = node.connect(20.0)
        clients.append(sock)
        sent = send_at_once(sock, data)
        fleet.record(f"client: has sent {sent} of {len(data)} bytes, {REQUESTS} requests, the first is {requests[0]}")
        if trouble:
            sock.close()
            at = fleet.record.now()
            closed_at |= dict.fromkeys(requests, at)
            fleet.record(f"client: has closed its connection, first request {requests[0]}")
        time.sleep(0.2)
    time.sleep(2.0)
    broken = []
    for call in fleet.calls:
        after = call.at - closed_at.get(call.request, call.at)
        if after > AFTER_CLOSE_S + SLACK_S:
            broken.append(f"lost: {call.request} began at {call.engine.name} {after:.3f} s after its client had gone")
    return broken


rig2.main(HERE, play)
