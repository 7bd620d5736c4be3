"""A client sends many requests at once on one connection; each is owed its answer by its own time."""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig2  # noqa: E402

REQUESTS, TIME_LEFT_MS, GRACE_S, SLACK_S = 16, 3_000, 0.5, 0.05


def ask_at_once(fleet: rig2.Fleet, node: rig2.Node) -> list[rig2.Answer]:
    """All requests in one write on one connection, then their answers in order."""
    requests = [fleet.new_id() for _ in range(REQUESTS)]
    sock = node.connect(20.0)
    fleet.record(f"client: sends {REQUESTS} requests at once, {TIME_LEFT_MS} ms left for each: {' '.join(requests)}")
    sock.sendall(b"".join(fleet.chat(TIME_LEFT_MS, request) for request in requests))
    sent_at = fleet.record.now()
    reader, answers = rig2.Reader(sock), []
    for request in requests:
        answer = rig2.read_answer(reader, fleet.record)
        answer.request, answer.sent_at = request, sent_at
        told = ", ".join(
            f"{c.engine.name} told {c.told_ms:.0f} ms at {c.at - sent_at:.3f} s" for c in fleet.calls_for(request)
        )
        fleet.record(f"client: {request} got {answer} from {answer.first_at - sent_at:.3f} s on; {told}")
        answers.append(answer)
        if not answer.status or answer.headers.get("connection", "").lower() == "close":
            break
    sock.close()
    return answers


def play(fleet: rig2.Fleet, trouble: bool) -> list[str]:
    node = fleet.start_node()
    for writer in fleet.writers:
        writer.events, writer.pause = 10, 0.04
    answers = ask_at_once(fleet, node) if trouble else [fleet.ask(node, TIME_LEFT_MS) for _ in range(REQUESTS)]
    broken = []
    for answer in answers:
        took = answer.first_at - answer.sent_at
        if not answer.status or took > TIME_LEFT_MS / 1000 + GRACE_S + SLACK_S:
            broken.append(f"lost: {answer.request} had {TIME_LEFT_MS / 1000} s and got {answer} after {took:.3f} s")
    return broken


rig2.main(HERE, play)
