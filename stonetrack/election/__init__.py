"""One owner at a time for work on behalf of the fleet: who may do it, and how an old owner is kept out.

Inputs: times of a monotonic clock, what a register holds, what became of a write to it.  Outputs: what to read or write
there next, and whether this process may act now (:mod:`.lease`); whether a receiver takes an effect (:mod:`.fence`).
Must not depend on: sockets, threads, clocks, files, chance of its own; the fleet's work itself (``controller``).
"""
