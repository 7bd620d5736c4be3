"""Background threads whose failures do not go unnoticed.

A thread that fails with an exception is logged and restarted after a delay.  One that fails ``MAX_FAILURES`` times
within ``FAILURE_WINDOW_S`` ends the process: its supervisor (or the platform) can start a new one, while a node that
serves without one of its threads would look healthy and never answer some requests.
"""

from __future__ import annotations

import os
import threading
import time
from collections import deque
from collections.abc import Callable

MAX_FAILURES = 5
FAILURE_WINDOW_S = 10.0
RESTART_DELAY_S = 0.05
EXIT_CODE = 70  # sysexits.h: an internal error


def end_process(message: str) -> None:
    """End the process at once; open requests are lost as in a crash."""
    os._exit(EXIT_CODE)


def _run(name: str, body: Callable[[], None], log: Callable[[str], None]) -> None:
    failure_times: deque[float] = deque(maxlen=MAX_FAILURES)
    while True:
        try:
            body()
            return
        except Exception as error:
            failure_times.append(time.monotonic())
            message = f"thread {name}: {type(error).__name__}: {error}"
            if len(failure_times) == MAX_FAILURES and failure_times[-1] - failure_times[0] < FAILURE_WINDOW_S:
                log(f"{message}; the {MAX_FAILURES}th time within {FAILURE_WINDOW_S:g} s: the process ends")
                end_process(message)
                return
            log(f"{message}; it goes on")
        time.sleep(RESTART_DELAY_S)


def restarting_thread(name: str, body: Callable[[], None], log: Callable[[str], None]) -> threading.Thread:
    """A daemon thread, not yet started, that runs ``body`` until it returns and restarts it after failures."""
    return threading.Thread(target=_run, args=(name, body, log), name=name, daemon=True)
