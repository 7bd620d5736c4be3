"""Clients send much at once and go; what begins for them at an engine after that begins for nobody."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig2  # noqa: E402

CLIENTS, REQUESTS, TIME_LEFT_MS = 6, 1_500, 5_000
PROMPT, READ_S = 4_000, 0.3  # a prompt of 4,000 tokens at 13,000 tokens a second
AFTER_CLOSE_S, SLACK_S = 0.1, 0.05


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
        sender = rig2.spawn(sock.sendall, data)
        sender.join(5)
        if sender.is_alive():
            raise rig2.CannotRun("the system does not take so much at once")
        fleet.record(f"client: has sent {len(data)} bytes, {REQUESTS} requests, the first is {requests[0]}")
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
