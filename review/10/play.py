"""One stream in four is spoilt: a head that does not end, and that keeps coming."""

import contextlib
import itertools
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig2  # noqa: E402

TIME_LEFT_MS, GRACE_S, SLACK_S = 3_000, 0.5, 0.05
PAUSE_S, LONGEST_S = 0.015, 20.0


def endless_head(call: rig2.Call) -> None:
    """The request has run; in place of the opening comes a head that does not end."""
    record = call.engine.fleet.record
    record(f"{call.engine.name}: {call.request} runs, its head begins and does not end")
    with contextlib.suppress(OSError):
        call.send(b"HTTP/1.1 200 OK\r\nX-Note: ")
        for _ in range(int(LONGEST_S / PAUSE_S)):
            call.send(b"z")
            time.sleep(PAUSE_S)
    record(f"{call.engine.name}: {call.request} the connection is gone")


def play(fleet: rig2.Fleet, trouble: bool) -> list[str]:
    node = fleet.start_node(effect="side_effect")
    numbers = itertools.count(1)

    def spoil_some(call: rig2.Call) -> bool:
        if not trouble or next(numbers) % 4:
            return False
        endless_head(call)
        return True

    for writer in fleet.writers:
        writer.behave = spoil_some
    answers, clients = [], []
    for _ in range(16):
        clients.append(rig2.spawn(lambda: answers.append(fleet.ask(node, TIME_LEFT_MS))))
        time.sleep(0.2)
    for client in clients:
        client.join(25)
    broken = []
    for answer in answers:
        took = answer.first_at - answer.sent_at
        if not answer.status or took > TIME_LEFT_MS / 1000 + GRACE_S + SLACK_S:
            broken.append(f"lost: {answer.request} had {TIME_LEFT_MS / 1000} s and got {answer} after {took:.3f} s")
    return broken


rig2.main(HERE, play)
