"""The command that runs the node on the platform's protocol."""

from __future__ import annotations

import os
import sys

import click


@click.command()
def edge() -> None:
    """Run one node of the platform until TERM, as EDGE_CONFIG tells; HUP reads it again."""
    from stonetrack.edge.serve import run

    sys.exit(run(os.environ))
