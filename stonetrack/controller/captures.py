"""A shared folder of captures as a receiver of the controller's effects: a file in it keeps the token, under a lock."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import msgspec

from stonetrack.capture.recorder import delete_over_budget
from stonetrack.durable import save
from stonetrack.election.fencing import NO_TOKEN, Fence, Token

TOKEN_FILE = "owner.json"


def apply_retention(folder: Path, budget: int, token: Token | None) -> list[str]:
    """Delete captures over the budget in bytes, on behalf of the token's leader.  Raises FencingError, OSError."""
    lock = os.open(folder / "owner.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX)
        path = folder / TOKEN_FILE
        known = msgspec.json.decode(path.read_bytes(), type=Token) if path.exists() else NO_TOKEN
        fence = Fence(f"captures in {folder}", known)
        fence.admit(token, lambda accepted: save(path, msgspec.json.encode(accepted)))
        return delete_over_budget(folder, budget)
    finally:
        os.close(lock)
