"""All commands."""

from __future__ import annotations

import click

from stonetrack import __version__
from stonetrack.cli import capturing, keeping, serving, trying


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(__version__, prog_name="stonetrack")
def main() -> None:
    """A router for language-model serving: readers (prefill) and writers (decode) behind one chat API."""


for command in (
    serving.serve,
    serving.check,
    serving.hash_key,
    serving.instance,
    trying.standin,
    trying.demo,
    trying.day,
    capturing.capture,
    capturing.replay,
):
    main.add_command(command)
for command in (
    keeping.keep,
    keeping.note,
    keeping.tend,
    keeping.cut,
    keeping.cases,
    keeping.export,
    keeping.redact_folder,
):
    capturing.capture.add_command(command)
