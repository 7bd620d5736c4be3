"""When engines last started, on the node's clock.  No I/O.

Server lists give the start as Unix time on the engine's machine.  The wall clock of this machine may have been wrong
when the node read it, and either clock may be stepped.  Treating a restarted engine as warm overloads it, which is
worse than a slow start for a warm engine.  So the start is assumed at the latest possible time:

- A start time that is new in a list, after another list was received, lies between the two lists: the engine counts as
  started when the later list arrives, whatever the wall clock says.
- For start times in the first list that a process receives, only the wall clock is known; none lies in the future.
- A start time that is reported again keeps the time that was assumed before.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_ENGINES = 4_096  # remembered, including delisted engines, which may be listed again


class StartTimes:
    """The start times reported so far; all times in nanoseconds."""

    def __init__(self) -> None:
        self._known: OrderedDict[str, tuple[int, int]] = OrderedDict()  # as reported, and on the node's clock

    def on_node_clock(self, engine: str, reported: int, now: int, after_another_list: bool) -> int:
        """When an engine started, on the node's clock; 0 for long ago, as in ``reported``."""
        if reported <= 0:
            return 0
        before = self._known.get(engine)
        if before is not None and before[0] == reported:
            return before[1]
        started = now if after_another_list else min(reported, now)
        self._known[engine] = (reported, started)
        if len(self._known) > MAX_ENGINES:
            self._known.popitem(last=False)
        return started
