"""All commands.  A command's module is imported when it is called, so that a process loads only what it uses."""

from __future__ import annotations

from importlib import import_module

import click

from stonetrack import __version__

COMMANDS = {
    "serve": "serve:serve",
    "lists": "serve:lists",
    "steward": "controller:steward",
    "control": "control:control",
    "check": "serve:check",
    "hash-key": "serve:hash_key",
    "instance": "serve:instance",
    "edge": "edge:edge",
    "standin": "emulators:standin",
    "standin-etcd": "emulators:standin_etcd",
    "demo": "emulators:demo",
    "day": "emulators:day",
    "fleet": "fleet:fleet",
    "soak": "soak:soak",
    "audit": "audit:audit",
    "capture": "capture_changes:capture",
    "replay": "capture:replay",
}


class LazyGroup(click.Group):
    """A group whose commands are imported when they are called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """See ``click.Group``."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """See ``click.Group``."""
        if cmd_name not in COMMANDS:
            return None
        module, _, name = COMMANDS[cmd_name].partition(":")
        command = getattr(import_module(f"stonetrack.cli.{module}"), name)
        assert isinstance(command, click.Command)
        return command


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(__version__, prog_name="stonetrack")
def main() -> None:
    """A router for language-model serving: readers (prefill) and writers (decode) behind one chat API."""
