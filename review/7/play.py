"""One answer of a reader is spoilt: noise in place of its body."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig2  # noqa: E402

NOISE = b"[" * 4_096


def play(fleet: rig2.Fleet, trouble: bool) -> list[str]:
    node = fleet.start_node()
    spoilt = []

    def spoil_once(call: rig2.Call) -> bool:
        if not trouble or spoilt:
            return False
        spoilt.append(call)
        fleet.record(f"{call.engine.name}: {call.request} -> 202 with {len(NOISE)} bytes of noise as its body")
        call.answer(202, NOISE)
        return True

    for writer in fleet.writers:
        writer.events, writer.pause = 60, 0.05
    answers = []
    clients = [rig2.spawn(lambda: answers.append(fleet.ask(node, 5_000))) for _ in range(6)]
    time.sleep(1.0)  # six streams are under way
    for reader in fleet.readers:
        reader.behave = spoil_once
    answers.append(fleet.ask(node, 5_000))
    for client in clients:
        client.join(20)
    broken = []
    if (code := node.process.poll()) is not None:
        broken.append(f"the node's process ended with {code}")
        broken += [f"lost: {a.request} got {a}" for a in answers if not a.whole]
    return broken


rig2.main(HERE, play)
