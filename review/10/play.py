"""A new configuration moves discovery to an agent that lags by some seconds, after the node was told of drains."""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig2  # noqa: E402

GRACE_S, SLACK_S, LAG_S = 0.25, 0.05, 3.0


class LaggingAgent(rig2.Discovery):
    """An agent that gets each change LAG_S seconds after the other one."""

    def __init__(self, fleet: rig2.Fleet, name: str) -> None:
        self.known = {e.name: e.target() for e in fleet.engines}
        super().__init__(fleet, name)

    def document(self, targets: list[dict] | None = None) -> dict:
        if targets is None:
            return {"rev": self.rev, "all": True, "targets": list(self.known.values())}
        return super().document(targets)

    def gets(self, rev: int, target: dict) -> None:
        with self.changed:
            self.rev = rev
            self.known[target["uid"]] = target
            self.changes.append((rev, target))
            self.changed.notify_all()
        self.fleet.record(f"{self.name}: has rev {rev}: {target['uid']} {target['state']}")


def play(fleet: rig2.Fleet, trouble: bool) -> list[str]:
    second = LaggingAgent(fleet, "discovery-2")
    node = fleet.start_node()
    time.sleep(1.2)
    draining = fleet.writers[:3]
    for writer in draining:
        fleet.discovery.set_state(writer, "DRAINING")
        rev, target = fleet.discovery.rev, writer.target()
        rig2.spawn(lambda rev=rev, target=target: (time.sleep(LAG_S), second.gets(rev, target)))
    told_at = fleet.record.now()
    time.sleep(0.5)
    if trouble:
        node.config["discovery"] = second.address
        node.write_config()
        node.signal(signal.SIGHUP)
    clients = []
    for _ in range(40):
        clients.append(rig2.spawn(fleet.ask, node, 5_000))
        time.sleep(0.1)
    for client in clients:
        client.join(20)
    broken = []
    for call in fleet.calls:
        after = call.at - told_at
        if call.engine in draining and after > GRACE_S + SLACK_S:
            broken.append(f"drain: {call.request} went to {call.engine.name} {after:.3f} s after its drain was told")
    return broken


rig2.main(HERE, play)
