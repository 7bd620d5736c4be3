"""What a node's account costs: requests a second with and without it, in turn in one run; bytes a request and a day.

.venv/bin/python -m benchmarks.account [--rounds 9] [--seconds 4]
"""

from __future__ import annotations

import argparse
import tempfile
from pathlib import Path

from benchmarks.relay import paired
from stonetrack.audit.log_writer import log_lines, node_names


def main() -> None:
    """See the module."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=9)
    parser.add_argument("--seconds", type=float, default=4.0)
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="stonetrack-bench-"))
    kept = folder / "audit"
    paired(folder, {"audit": {"dir": str(kept), "every_ms": 1_000}}, options.rounds, options.seconds)
    held = [line for name in node_names(kept) for line in log_lines(kept, name)]
    requests = sum(line.count(b"chatcmpl-") > 0 for line in held)
    print(f"{len(held)} spans, {sum(map(len, held))} bytes, {requests} with requests")


if __name__ == "__main__":
    main()
