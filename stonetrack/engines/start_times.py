"""When engines last started, on the node's clock.  No I/O.

Lists give a start as Unix time of the engine's machine.  This machine's wall clock may have been wrong when the node
read it, and either clock may be stepped.  Taking an engine that has just started for a warm one pushes it over, which
is worse than easing a warm one in.  So a start is taken at the latest time at which it can have happened:

- A start that a list reports anew, after another list was heard, lies between the two: it counts from the moment of the
  news, whatever the wall clock says.
- Of the starts in the first list that a process hears nothing is known but the wall clock; none lies in the future.
- The same start reported again is the start known before.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_ENGINES = 4_096  # engines remembered, those that left included, which may be listed again


class StartTimes:
    """The starts reported so far; times in nanoseconds."""

    def __init__(self) -> None:
        self._known: OrderedDict[str, tuple[int, int]] = OrderedDict()  # as reported, and on the node's clock

    def on_node_clock(self, engine: str, reported: int, now: int, after_another_list: bool) -> int:
        """When an engine started on the node's clock; 0 for long ago, as ``reported`` has it."""
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
