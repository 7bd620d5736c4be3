"""The controller: work that must be done once for the whole fleet, by one leader at a time.

Inputs: a compare-and-set store, settings, the state of the discovery service and the engines.  Outputs: effects at
receivers, each with the leader's token, and a journal of steps from which a successor continues.  The jobs are pure
(:mod:`.jobs` and one file for each); ``service`` holds the threads and sockets.  Must not depend on: decisions on
requests, which belong to the router.
"""
