"""The users' bounds on the files under ``policy``: 800 non-blank lines in all, none over 110 characters."""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
LINES, WIDTH = 800, 110


def main() -> int:
    """Print the measure; 1 where it is over."""
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text("utf-8"))["policy"]
    lines = [line for name in policy for line in (ROOT / name).read_text("utf-8").splitlines()]
    count = sum(1 for line in lines if line.strip())
    longest = max(map(len, lines))
    print(f"{', '.join(policy)}: {count} non-blank lines ({LINES} at most), longest {longest} ({WIDTH} at most)")
    return int(count > LINES or longest > WIDTH)


if __name__ == "__main__":
    sys.exit(main())
