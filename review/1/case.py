"""Case 1: some engines send a second answer some milliseconds behind a good one."""

from __future__ import annotations

import contextlib
import random
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as s  # noqa: E402

SECONDS = 45.0  # of load
CLIENTS = 24
MEAN_PAUSE_S = 0.3  # between two requests of a client: about 35 requests a second in all
SPOILT_SHARE = 0.1  # of the streams that bring a second answer
SECOND_ANSWER_S = 0.005  # "some milliseconds late"


class RepeatingEngine(s.Engine):
    """Repeats some of its answers on the same connection, 5 ms after their end."""

    def __init__(self, fleet: s.Fleet, name: str, role: str) -> None:
        self.random, self.repeated = random.Random(name), 0
        super().__init__(fleet, name, role)

    def decode(self, sock: s.socket.socket, request: str) -> None:
        """See ``Engine.decode``."""
        super().decode(sock, request)
        if s.TROUBLE and self.random.random() < SPOILT_SHARE:
            time.sleep(SECOND_ANSWER_S)
            again = b"".join(s.chunked(s.event(f"{request}:{number}")) for number in range(self.events))
            with contextlib.suppress(OSError):
                sock.sendall(s.STREAM_HEAD + again + s.chunked(s.STREAM_END) + b"0\r\n\r\n")
                self.repeated += 1
                self.fleet.record.add(f"engine {self.name} second answer to {request} sent")


class Client(threading.Thread):
    """A usual client: one request after another on a kept connection, each with a new id."""

    def __init__(self, node: s.Node, number: int, until: float, record: s.Record) -> None:
        super().__init__(daemon=True)
        self.node, self.number, self.until, self.record = node, number, until, record
        self.random = random.Random(number)
        self.served, self.foreign, self.others = 0, 0, 0

    def run(self) -> None:
        """See ``Thread.run``."""
        sock, sent = None, 0
        while time.monotonic() < self.until:
            time.sleep(self.random.expovariate(1.0 / MEAN_PAUSE_S))
            request = f"{self.number:04x}{sent:012x}"
            sent += 1
            try:
                sock = sock or self.node.connect(8.0)
                self.record.add(f"client {self.number} sends {request}")
                sock.sendall(s.request_bytes(request, "quick-find", 6_000, f"session-{self.number}-{sent // 4}"))
                answer = s.read_answer(sock)
            except OSError as error:
                self.record.add(f"client {self.number} {request}: {error}")
                sock = None
                continue
            self.judge(request, answer)
            if not (answer.whole and answer.keep):
                sock.close()
                sock = None

    def judge(self, request: str, answer: s.Answer) -> None:
        """A served answer has to be the stream that an engine made for this request."""
        foreign = [content for content in answer.contents if content.partition(":")[0] != request]
        self.record.add(f"client {self.number} {request}: {answer.text()}{' FOREIGN' if foreign else ''}")
        if foreign:
            self.foreign += 1
        elif answer.status == 200 and answer.whole:
            self.served += 1
        else:
            self.others += 1


def main() -> int:
    """Run the case; returns the exit code."""
    record = s.Record(FOLDER)
    fleet = s.Fleet(record)
    writers = [RepeatingEngine(fleet, f"w{n}", "write") for n in range(2)]
    engines = [s.Engine(fleet, "r0", "read"), s.Engine(fleet, "r1", "read"), *writers]
    agent = s.Agent(engines, {"read": "prefill", "write": "decode"})
    node = s.Node(agent, s.settings(s.SUVA_CLASSES))
    try:
        if not node.wait_until_up():
            print("the node did not start")
            return s.NOT_RUN
        until = time.monotonic() + SECONDS
        clients = [Client(node, number, until, record) for number in range(CLIENTS)]
        for each in clients:
            each.start()
        for each in clients:
            each.join(30.0)
        crashed = node.process.poll() is not None
    finally:
        log = node.end()
    served, foreign = sum(c.served for c in clients), sum(c.foreign for c in clients)
    others, repeated = sum(c.others for c in clients), sum(w.repeated for w in writers)
    text = f"served {served}, other answers {others}, second answers sent {repeated}, foreign answers {foreign}"
    record.add(text)
    print(text)
    if crashed or served < 200 or (s.TROUBLE and not repeated):
        print("the case could not run:", log[-500:])
        return s.NOT_RUN
    return s.RULE_BROKEN if foreign else s.RULE_HELD


if __name__ == "__main__":
    sys.exit(main())
