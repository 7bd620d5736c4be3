"""Hundreds of bad clients take the node over its memory limit; the platform kills it then."""

import contextlib
import pathlib
import signal
import subprocess
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import rig2  # noqa: E402

MEMORY_MB, SOCKETS = 64, 1_024
BAD_CLIENTS, HEAD_BYTES, BODIES_BYTES = 400, 15_000, (14_000, 250_000)  # so many of each kind
USUAL_CLIENTS, TIME_LEFT_MS, LENGTH_S = 6, 5_000, 14.0


def resident_mb(pid: int) -> float:
    """The resident memory of a process in MiB; 0 once it has ended."""
    with contextlib.suppress(OSError):
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def play(fleet: rig2.Fleet, trouble: bool) -> list[str]:
    node = fleet.start_node(memory_mb=MEMORY_MB, sockets=SOCKETS)
    for writer in fleet.writers:
        writer.events, writer.pause = 100, 0.06  # 100 tokens, the pace that the class wants
    stop, answers = threading.Event(), []

    def usual_client() -> None:
        while not stop.is_set():
            with contextlib.suppress(OSError):
                answers.append(fleet.ask(node, TIME_LEFT_MS))
            time.sleep(0.2)

    usual = [rig2.spawn(usual_client) for _ in range(USUAL_CLIENTS)]
    time.sleep(1.0)
    fleet.record(f"the node holds {resident_mb(node.process.pid):.1f} MiB of {MEMORY_MB}")
    for body_bytes in BODIES_BYTES if trouble else ():
        arguments = [node.address[1], BAD_CLIENTS, LENGTH_S, HEAD_BYTES, body_bytes]
        fleet.record(f"{BAD_CLIENTS} bad clients begin, heads of {HEAD_BYTES} and bodies of {body_bytes} bytes")
        command = [sys.executable, "-B", str(HERE / "bad_clients.py"), *map(str, arguments)]
        fleet.processes.append(subprocess.Popen(command, start_new_session=True))
    most, over, until = 0.0, [], time.monotonic() + LENGTH_S
    while time.monotonic() < until and not over:
        most = max(most, now := resident_mb(node.process.pid))
        if now > MEMORY_MB:
            node.signal(signal.SIGKILL)
            over.append(f"crash: the node held {now:.1f} MiB of {MEMORY_MB} and was killed")
        time.sleep(0.02)
    fleet.record(f"at most {most:.1f} MiB of {MEMORY_MB}; {len(answers)} requests of usual clients ended before")
    stop.set()
    for client in usual:
        client.join(25)
    if over:
        over += [f"lost with the node: {a.request} got {a}" for a in answers if not a.whole]
    elif trouble and (code := node.process.poll()) is not None:
        over.append(f"crash: the node's process ended with {code}")
    return over


rig2.main(HERE, play)
