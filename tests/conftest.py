"""Property tests draw the same examples in each run; tests listed in KNOWN-RED.txt may fail, and are printed.

A line of KNOWN-RED.txt is ``test | cause | issue``, with three lines at most.  Such a test still runs.  Its failure is
reported, but does not fail the run; if it passes, the run fails until its line is removed, since the list is wrong.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")

MAX_KNOWN_RED = 3
FILE_NAME = "KNOWN-RED.txt"
KNOWN_KEY: pytest.StashKey[tuple[KnownRed, ...]] = pytest.StashKey()


@dataclass(frozen=True)
class KnownRed:
    """A test that is known to fail because of a real defect."""

    test: str
    cause: str
    issue: str


def read_known_red(path: Path) -> tuple[KnownRed, ...]:
    """The entries of the list; empty without a file.  Raises pytest.UsageError for an invalid list."""
    if not path.exists():
        return ()
    lines = [line for line in path.read_text("utf-8").splitlines() if line.strip()]
    known = []
    for number, line in enumerate(lines, 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path}:{number}: found {line[:80]!r}; allowed: test | cause | issue")
        known.append(KnownRed(*parts))
    if len(known) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"{path}: found {len(known)} tests; allowed: {MAX_KNOWN_RED} at most")
    return tuple(known)


def pytest_configure(config: pytest.Config) -> None:
    """Read the list from pytest's root directory."""
    config.stash[KNOWN_KEY] = read_known_red(config.rootpath / FILE_NAME)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests; one that does not exist is an error where its whole file was collected."""
    for known in config.stash[KNOWN_KEY]:
        found = [item for item in items if item.nodeid == known.test or item.nodeid.startswith(f"{known.test}[")]
        for item in found:
            item.add_marker(pytest.mark.xfail(reason=f"{FILE_NAME}: {known.cause} ({known.issue})", strict=True))
        file, _, _ = known.test.partition("::")
        whole_file = any(argument in (file, "tests") for argument in config.args)
        if not found and whole_file:
            raise pytest.UsageError(f"{FILE_NAME}: {known.test}: no such test")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list, so that every run shows it."""
    for known in terminalreporter.config.stash[KNOWN_KEY]:
        terminalreporter.write_line(f"KNOWN RED {known.test}: {known.cause} ({known.issue})")
