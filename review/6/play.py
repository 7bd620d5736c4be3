"""Bad clients send at full speed, then one sends the id of a usual client's open request."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig2  # noqa: E402

TIME_LEFT_MS, HANG_S, GRACE_S = 9_000, 12.0, 0.5
FLOOD, CONNECTIONS, FLOOD_S = 4_300, 8, 8.0


def turned_away(fleet: rig2.Fleet, node: rig2.Node, stop: threading.Event, count: list[int]) -> None:
    """A bad client: asks with 20 ms left, and again, under a new id, as soon as it is turned away."""
    head, _, body = fleet.chat(20, "0" * 16).partition(b"0" * 16)
    sock = node.connect(5)
    reader = rig2.Reader(sock)
    while not stop.is_set():
        try:
            sock.sendall(head + fleet.new_id().encode() + body)
            answer = rig2.read_answer(reader, fleet.record)
        except OSError:
            answer = rig2.Answer()
        if answer.whole:
            count[0] += 1
        if not answer.whole or answer.headers.get("connection") == "close":
            sock.close()
            sock = node.connect(5)
            reader = rig2.Reader(sock)
    sock.close()


def play(fleet: rig2.Fleet, trouble: bool) -> list[str]:
    node = fleet.start_node(effect="side_effect")
    usual, answers = fleet.new_id(), []

    def hang_at_first(call: rig2.Call) -> bool:
        """The writer that the usual client's request comes to first begins to hang then."""
        if call.request == usual and len([c for c in fleet.calls_for(usual) if c.engine.role == "write"]) == 1:
            call.engine.hangs_until = fleet.record.now() + HANG_S
        return False

    for writer in fleet.writers:
        writer.behave = hang_at_first
    client = rig2.spawn(lambda: answers.append(fleet.ask(node, TIME_LEFT_MS, 14.0, request=usual, cls="trip-plan")))
    time.sleep(0.3)
    if trouble:
        stop, count, start = threading.Event(), [0], time.monotonic()
        clients = [rig2.spawn(turned_away, fleet, node, stop, count) for _ in range(CONNECTIONS)]
        while count[0] < FLOOD and time.monotonic() - start < FLOOD_S:
            time.sleep(0.01)
        stop.set()
        for each in clients:
            each.join(5)
        fleet.record(f"bad clients: {count[0]} requests turned away within {time.monotonic() - start:.2f} s")
        if count[0] < FLOOD:
            raise rig2.CannotRun("this machine is too slow for the bad clients")
        fleet.record("a bad client sends the id of the usual client's open request")
        foreign = fleet.ask(node, TIME_LEFT_MS, 5.0, request=usual, cls="trip-plan")
    client.join(20)
    broken = []
    answer, limit = answers[0], TIME_LEFT_MS / 1000 + GRACE_S
    if not answer.status or answer.first_at - answer.sent_at > limit:
        broken.append(f"lost: the usual client got {answer} within 14 s; its time and 0.5 s ended after {limit} s")
    attempts = [c for c in fleet.calls_for(usual) if c.engine.role == "write"]
    for earlier, later in zip(attempts, attempts[1:], strict=False):
        if not earlier.ended_at or earlier.ended_at > later.at:
            broken.append(
                f"duplicate: {usual} came to {later.engine.name} at {later.at:.3f} while its attempt at "
                f"{earlier.engine.name} (from {earlier.at:.3f}) was out"
            )
    if trouble and foreign.status == 200:
        broken.append("lost: the bad client was served under the id of another client's open request")
    return broken


rig2.main(HERE, play)
