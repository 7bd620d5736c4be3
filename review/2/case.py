"""Case 2: a planned restart while some clients write their requests slowly."""

from __future__ import annotations

import contextlib
import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as s  # noqa: E402

SLOW_CLIENTS = 8
HEAD_BEFORE_S = 0.3  # the heads are written so long before SIGTERM
LAST_BYTE_AFTER_S = 0.9  # the last byte of the first body is written so long after SIGTERM, of each further one later
APART_S = 0.05
KILL_AFTER_S = 3.0 + 0.7 + 0.1  # no sooner than the longest deadline (counted as 3 s) and 0.7 s after SIGTERM
LATE_S = 0.7  # what came later than this after SIGTERM is lost, if SIGKILL finds it unanswered


class UsualWriter(s.Engine):
    """A stream of 6 s: 25 events of 4 tokens each, a token every 60 ms as class quick-find wants it."""

    event_s, events = 0.24, 25


class SlowClient(threading.Thread):
    """Writes its request in pieces over a little more than a second, then reads the answer."""

    def __init__(self, node: s.Node, number: int, term_at: float, record: s.Record) -> None:
        super().__init__(daemon=True)
        self.node, self.number, self.term_at, self.record = node, number, term_at, record
        self.request = f"510c{number:012x}"
        self.last_byte_at = 0.0
        self.answer = s.Answer()

    def run(self) -> None:
        """See ``Thread.run``."""
        data = s.request_bytes(self.request, "quick-find", 6_000, f"slow-{self.number}")
        last = self.term_at + LAST_BYTE_AFTER_S + self.number * APART_S
        first = self.term_at - HEAD_BEFORE_S
        cut = data.index(b"\r\n\r\n") + 4
        pieces = [data[:cut], *(data[cut + n * 300 : cut + (n + 1) * 300] for n in range((len(data) - cut) // 300 + 1))]
        pieces = [each for each in pieces if each]
        with contextlib.suppress(OSError), contextlib.closing(self.node.connect(20.0)) as sock:
            for n, piece in enumerate(pieces):
                time.sleep(max(0.0, first + (last - first) * n / (len(pieces) - 1) - time.monotonic()))
                sock.sendall(piece)
            self.last_byte_at = time.monotonic()
            self.record.add(f"client {self.number} wrote the last byte of {self.request}")
            self.answer = s.read_answer(sock)
        self.record.add(f"client {self.number} {self.request}: {self.answer.text()}")


def main() -> int:
    """Run the case; returns the exit code."""
    record = s.Record(FOLDER)
    fleet = s.Fleet(record)
    engines = [s.Engine(fleet, "r0", "read"), s.Engine(fleet, "r1", "read")]
    engines += [UsualWriter(fleet, "w0", "write"), UsualWriter(fleet, "w1", "write")]
    agent = s.Agent(engines, {"read": "prefill", "write": "decode"})
    node = s.Node(agent, s.settings(s.SUVA_CLASSES))
    try:
        if not node.wait_until_up():
            print("the node did not start")
            return s.NOT_RUN
        time.sleep(1.0)
        term_at = time.monotonic() + 1.0
        clients = [SlowClient(node, number, term_at, record) for number in range(SLOW_CLIENTS)]
        for each in clients:
            each.start()
        time.sleep(max(0.0, term_at - time.monotonic()))
        if s.TROUBLE:
            record.add("SIGTERM to the node")
            node.signal(signal.SIGTERM)
            term_at = time.monotonic()
            while node.process.poll() is None and time.monotonic() < term_at + KILL_AFTER_S:
                time.sleep(0.01)
            record.add(f"SIGKILL to the node (its exit code so far: {node.process.poll()})")
            node.signal(signal.SIGKILL)
        for each in clients:
            each.join(30.0)
    finally:
        log = node.end()
    lost = 0
    for each in clients:
        answered = each.answer.whole or not each.last_byte_at
        late = each.last_byte_at - term_at
        if not answered and (not s.TROUBLE or late > LATE_S):
            lost += 1
            record.add(f"LOST {each.request}: taken {late:.3f} s after SIGTERM, {each.answer.text()}")
    refused = sum(each.answer.status in (429, 503) for each in clients)
    served = sum(each.answer.status == 200 and each.answer.whole for each in clients)
    text = f"served {served}, refused {refused}, lost {lost} of {SLOW_CLIENTS}"
    record.add(text)
    print(text)
    if not any(each.last_byte_at for each in clients) or (not s.TROUBLE and not served):
        print("the case could not run:", log[-500:])
        return s.NOT_RUN
    return s.RULE_BROKEN if lost else s.RULE_HELD


if __name__ == "__main__":
    sys.exit(main())
