"""Background threads that are not lost unseen.

A thread that ends by an error is logged and started again after a pause.  One that does so ``MOST`` times within
``SPAN`` seconds ends the process: whoever started it (a supervisor, the platform) can start it anew, and a node that
serves without one of its threads would look healthy and owe answers for ever.
"""

from __future__ import annotations

import os
import threading
import time
from collections import deque
from collections.abc import Callable

MAX_FAILURES = 5  # errors
FAILURE_WINDOW_S = 10.0  # seconds
RESTART_DELAY_S = 0.05  # seconds before it runs again
EXIT_CODE = 70  # sysexits.h: an internal error


def end_process(text: str) -> None:
    """End at once; what was taken is lost as in a crash."""
    os._exit(EXIT_CODE)


def _run(name: str, body: Callable[[], None], log: Callable[[str], None]) -> None:
    failed: deque[float] = deque(maxlen=MAX_FAILURES)
    while True:
        try:
            body()
            return
        except Exception as error:
            failed.append(time.monotonic())
            text = f"thread {name}: {type(error).__name__}: {error}"
            if len(failed) == MAX_FAILURES and failed[-1] - failed[0] < FAILURE_WINDOW_S:
                log(f"{text}; the {MAX_FAILURES}th time within {FAILURE_WINDOW_S:g} s: the process ends")
                end_process(text)
                return
            log(f"{text}; it goes on")
        time.sleep(RESTART_DELAY_S)


def restarting_thread(name: str, body: Callable[[], None], log: Callable[[str], None]) -> threading.Thread:
    """A daemon thread, not yet started, that runs ``body`` until that returns."""
    return threading.Thread(target=_run, args=(name, body, log), name=name, daemon=True)
