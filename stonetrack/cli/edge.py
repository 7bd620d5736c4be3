"""The command that runs one node of the platform's protocol."""

from __future__ import annotations

import os
import sys

import click


@click.command()
def edge() -> None:
    """Run one node of the platform until TERM, configured by the file that EDGE_CONFIG names; HUP reads it again."""
    from stonetrack.edge.serve import run

    sys.exit(run(os.environ))
