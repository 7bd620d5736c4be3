"""A node's name: what the settings say, else one made at the first start and kept in the state folder."""

from __future__ import annotations

import contextlib
import os
import re
import secrets
from pathlib import Path

from stonetrack.settings import Node

_ALLOWED = re.compile(r"[A-Za-z0-9._-]{1,100}")


def node_name(settings: Node) -> str:
    """The name; without a state folder one that lasts as long as the process."""
    if settings.name:
        return settings.name
    made = f"node-{secrets.token_hex(4)}"
    if not settings.state_dir:
        return made
    path = Path(settings.state_dir) / "name"
    with contextlib.suppress(OSError):
        path.parent.mkdir(parents=True, exist_ok=True)
        with contextlib.suppress(FileExistsError):
            fresh = path.with_name(f"name.{os.getpid()}.new")
            fresh.write_text(made + "\n", "ascii")
            os.link(fresh, path)  # the first of two processes wins, whole or not at all
        fresh.unlink(missing_ok=True)
        kept = path.read_text("ascii", "replace").strip()
        if _ALLOWED.fullmatch(kept):
            return kept
    return made
