"""Resource limits of the process.  Has few imports, because each supervisor imports it at its start."""

from __future__ import annotations

import contextlib
import resource


def raise_limits() -> int:
    """Raise the limit of open file descriptors to the hard limit; return the limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        with contextlib.suppress(ValueError, OSError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
