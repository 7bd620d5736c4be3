"""Background jobs: priorities, budgets of time and bytes, deadlines, and one thread that runs them.

:mod:`.timer_wheel` holds the jobs that are due later, :mod:`.scheduler` selects the next job, both without I/O, threads
or clocks; :mod:`.runner` is the thread that runs the jobs. Inputs: jobs that work in short steps.  Outputs: their
steps, in the order and at the rate that the scheduler sets. Must not depend on: requests, or the router.
"""
