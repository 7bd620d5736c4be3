"""Work that must be done but never in the way: priorities, budgets of time and bytes, deadlines, one thread.

:mod:`.timer_wheel` holds what is due later, :mod:`.scheduler` decides what runs next, both without I/O, threads or
clocks; :mod:`.runner` is the thread that carries it out.
Inputs: jobs that work in short steps.  Outputs: their steps, in the order and at the pace that the plan gives.
Must not depend on: requests, or the router.
"""
