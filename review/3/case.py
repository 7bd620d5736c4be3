"""Case 3: hundreds of bad clients stop in the middle of a request and stay."""

from __future__ import annotations

import contextlib
import random
import re
import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as s  # noqa: E402

MEMORY_MB, SOCKETS = 112, 960
BAD_CLIENTS = 450
BODY_BYTES = 262_144  # what a body may hold
SENT_BYTES = 262_000  # of it, before a bad client stops
USUAL_CLIENTS = 8
QUIET_S, LOAD_S = 3.0, 12.0
CHECK_S = 0.2  # between two looks at the node's memory


class UsualClient(threading.Thread):
    """Sends one request after another, each with a new id, and reads the answers."""

    def __init__(self, node: s.Node, number: int, until: float, record: s.Record) -> None:
        super().__init__(daemon=True)
        self.node, self.number, self.until, self.record = node, number, until, record
        self.random = random.Random(number)
        self.served, self.others, self.unanswered = 0, 0, 0

    def run(self) -> None:
        """See ``Thread.run``."""
        sent = 0
        while time.monotonic() < self.until and self.node.process.poll() is None:
            time.sleep(self.random.uniform(0.0, 0.6))
            request = f"{self.number:04x}{sent:012x}"
            sent += 1
            answer = s.Answer()
            with contextlib.suppress(OSError), contextlib.closing(self.node.connect(8.0)) as sock:
                sock.sendall(s.request_bytes(request, "quick-find", 6_000, f"session-{self.number}"))
                answer = s.read_answer(sock)
            self.served += answer.whole and answer.status == 200
            self.others += answer.whole and answer.status != 200
            self.unanswered += not answer.whole
            self.record.add(f"client {self.number} {request}: {answer.text()[:60]}")


class BadClient(threading.Thread):
    """Stops in the middle of a request and stays; does the same again once it is answered or closed."""

    def __init__(self, node: s.Node, number: int, until: float, record: s.Record) -> None:
        super().__init__(daemon=True)
        self.node, self.number, self.until, self.record = node, number, until, record
        self.ended = 0

    def run(self) -> None:
        """See ``Thread.run``."""
        while time.monotonic() < self.until and self.node.process.poll() is None:
            head = s.request_bytes(f"bad{self.number}x{self.ended}", "quick-find", 6_000, "bad", 0)
            head = head[: head.index(b"Content-Length")] + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
            answer = s.Answer()
            with contextlib.suppress(OSError), contextlib.closing(self.node.connect(4.0)) as sock:
                sock.sendall(head + b"a" * SENT_BYTES)
                answer = s.read_answer(sock)
            self.ended += 1
            self.record.add(f"bad client {self.number}: {answer.text()[:60]}")


class Platform(threading.Thread):
    """Kills the node once it holds more memory than its limit."""

    def __init__(self, node: s.Node, record: s.Record) -> None:
        super().__init__(daemon=True)
        self.node, self.record, self.most, self.killed = node, record, 0, False

    def run(self) -> None:
        """See ``Thread.run``."""
        status = Path(f"/proc/{self.node.process.pid}/status")
        while self.node.process.poll() is None:
            text = ""
            with contextlib.suppress(OSError):  # the process has ended
                text = status.read_text("ascii", "replace")
            found = re.search(r"VmRSS:\s+([0-9]+) kB", text)
            self.most = max(self.most, int(found.group(1)) if found else 0)
            if self.most > MEMORY_MB * 1024:
                self.killed = True
                self.record.add(f"node killed: it holds {self.most / 1024:.0f} MiB of {MEMORY_MB}")
                self.node.signal(signal.SIGKILL)
                return
            time.sleep(CHECK_S)


def main() -> int:
    """Run the case; returns the exit code."""
    record = s.Record(FOLDER)
    fleet = s.Fleet(record)
    engines = [s.Engine(fleet, f"{role[0]}{n}", role) for role in ("read", "write") for n in range(3)]
    agent = s.Agent(engines, {"read": "prefill", "write": "decode"})
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    node = s.Node(agent, s.settings(s.SUVA_CLASSES), limits)
    try:
        if not node.wait_until_up():
            print("the node did not start")
            return s.NOT_RUN
        platform = Platform(node, record)
        platform.start()
        until = time.monotonic() + QUIET_S + LOAD_S
        usual = [UsualClient(node, number, until, record) for number in range(USUAL_CLIENTS)]
        bad = [BadClient(node, number, until, record) for number in range(BAD_CLIENTS if s.TROUBLE else 0)]
        for each in usual:
            each.start()
        time.sleep(QUIET_S)
        record.add(f"the node holds {platform.most / 1024:.0f} MiB; {len(bad)} bad clients begin")
        for each in bad:
            each.start()
        for each in (*usual, *bad):
            each.join(30.0)
        crashed = platform.killed or node.process.poll() is not None
    finally:
        log = node.end()
    unanswered = sum(each.unanswered for each in usual)
    served, others = sum(each.served for each in usual), sum(each.others for each in usual)
    text = (
        f"most memory {platform.most / 1024:.0f} MiB of {MEMORY_MB}, node {'killed' if crashed else 'up'}; usual "
        f"clients: served {served}, other answers {others}, unanswered {unanswered}"
    )
    record.add(text)
    print(text)
    if not served:
        print("the case could not run:", log[-500:])
        return s.NOT_RUN
    return s.RULE_BROKEN if crashed else s.RULE_HELD


if __name__ == "__main__":
    sys.exit(main())
