"""The node's name: from the settings, else generated at the first start and stored in the state folder."""

from __future__ import annotations

import contextlib
import os
import re
import secrets
from pathlib import Path

from stonetrack.settings import Node

_ALLOWED = re.compile(r"[A-Za-z0-9._-]{1,100}")


def node_name(settings: Node) -> str:
    """Return the name; without a state folder it is generated again at each start."""
    if settings.name:
        return settings.name
    generated = f"node-{secrets.token_hex(4)}"
    if not settings.state_dir:
        return generated
    path = Path(settings.state_dir) / "name"
    with contextlib.suppress(OSError):
        path.parent.mkdir(parents=True, exist_ok=True)
        with contextlib.suppress(FileExistsError):
            temporary = path.with_name(f"name.{os.getpid()}.new")
            temporary.write_text(generated + "\n", "ascii")
            os.link(temporary, path)  # atomic: the first of two processes wins
        temporary.unlink(missing_ok=True)
        stored = path.read_text("ascii", "replace").strip()
        if _ALLOWED.fullmatch(stored):
            return stored
    return generated
