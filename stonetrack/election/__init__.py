"""Leader election: at most one process at a time works on behalf of the fleet; effects of old leaders are refused.

Inputs: times of a monotonic clock, records of a compare-and-set store, results of writes to it.  Outputs: the next
read or write, and whether this process may act now (:mod:`.lease`); whether a receiver accepts an effect
(:mod:`.fencing`).  Must not depend on: sockets, threads, clocks, files, randomness of its own; the work of the leader
(``controller``).
"""
