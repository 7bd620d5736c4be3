"""Cost of a node's audit log: requests per second with and without it, alternating in one run, and its size.

.venv/bin/python -m benchmarks.account [--rounds 9] [--seconds 4]
"""

from __future__ import annotations

import argparse
import tempfile
from pathlib import Path

from benchmarks.relay import paired
from stonetrack.audit.log_writer import log_lines, node_names


def main() -> None:
    """Run the comparison and print the size of the audit log."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=9)
    parser.add_argument("--seconds", type=float, default=4.0)
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="stonetrack-bench-"))
    audit_folder = folder / "audit"
    paired(folder, {"audit": {"dir": str(audit_folder), "every_ms": 1_000}}, options.rounds, options.seconds)
    lines = [line for name in node_names(audit_folder) for line in log_lines(audit_folder, name)]
    requests = sum(line.count(b"chatcmpl-") > 0 for line in lines)
    print(f"{len(lines)} spans, {sum(map(len, lines))} bytes, {requests} with requests")


if __name__ == "__main__":
    main()
