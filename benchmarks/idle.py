"""10,000 idle connections, then 2,000 that send half a head: memory each, threads, and what other clients notice.

.venv/bin/python -m benchmarks.idle [--count N]
"""

from __future__ import annotations

import argparse
import resource
import socket
import tempfile
import time
from pathlib import Path

from benchmarks.relay import closed_loop, instance_pid, resident, settings, started
from stonetrack.fleet.judge import quantile


def threads(pid: int) -> int:
    """Threads of a process."""
    return len(list(Path(f"/proc/{pid}/task").iterdir()))


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=10_000)
    count = parser.parse_args().count
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    with (
        tempfile.TemporaryDirectory() as temporary,
        started("-m", "benchmarks.engine", "2") as (_, engine),
        started("-m", "stonetrack", "serve", str(settings(int(engine), Path(temporary)))) as (node, url),
    ):
        port, pid = int(url.rsplit(":", 1)[1]), instance_pid(node.pid)
        kept: list[socket.socket] = []

        def tell(what: str) -> None:
            rate, firsts = closed_loop(port, 2, 3.0, 16)
            print(
                f"{what:<34}{rate:7.0f} requests/s, first token {quantile(firsts, 0.5) * 1e3:.2f} ms median, "
                f"{quantile(firsts, 0.99) * 1e3:.2f} ms 99th; {threads(pid)} threads, "
                f"{(resident(pid) - base) / 1024 / max(len(kept), 1):.1f} KiB a connection",
                flush=True,
            )

        closed_loop(port, 2, 1.0, 16)
        base = resident(pid)
        tell("none")
        for n in range(count):
            kept.append(socket.create_connection(("127.0.0.1", port)))
            if n % 500 == 499:
                time.sleep(0.05)
        time.sleep(1.0)
        tell(f"{count} idle")
        for sock in kept[:2_000]:
            sock.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX: ")
        tell("2000 of them half a head")


if __name__ == "__main__":
    main()
