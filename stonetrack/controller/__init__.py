"""The steward: what must be done once for the whole fleet, by one owner at a time.

Inputs: a register, settings, what the list service and the engines say.  Outputs: effects at receivers, each with the
owner's token, and a journal of steps from which a successor goes on.  The kinds of jobs are pure (:mod:`.jobs` and one
file a kind); ``service`` holds the threads and sockets.  Must not depend on: decisions on requests, which are the
module's.
"""
