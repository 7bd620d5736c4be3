"""Discovery is slow: each of its answers begins after 0.8 s."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig2  # noqa: E402

DELAY_S = 0.8
TOLD_S, DRAIN_GRACE_S, SLACK_S, HELD_UP_S = 6.0, 0.25, 0.05, 0.15


def play(fleet: rig2.Fleet, trouble: bool) -> list[str]:
    fleet.discovery.delay = DELAY_S if trouble else 0.0
    node = fleet.start_node()
    for _ in range(10):
        fleet.ask(node, 5_000)
    for engine in (fleet.readers[1], fleet.writers[1], fleet.writers[2]):
        fleet.discovery.set_state(engine, "DRAINING")
        engine.drains_since = fleet.record.now()
    until = fleet.record.now() + TOLD_S + 10.0
    while fleet.record.now() < until:
        fleet.ask(node, 5_000)
        time.sleep(0.05)
    broken = []
    for call in fleet.calls:
        since = getattr(call.engine, "drains_since", None)
        if since is not None and call.at > since + TOLD_S + DRAIN_GRACE_S + SLACK_S + HELD_UP_S:
            broken.append(f"drain: {call.request} came to {call.engine.name} {call.at - since:.3f} s after its drain")
    if len(broken) > 5:
        broken[5:] = [f"and {len(broken) - 5} more"]
    return broken


rig2.main(HERE, play)
