"""Randomized fault soaks of the platform's node: real processes, faults that overlap, the invariants as the oracle.

A seed gives the size of a fleet, its traffic and its faults (:mod:`.faults`).  Nodes run as processes (:mod:`.nodes`);
clients, links and engines are of this package and of ``fleet`` (:mod:`.clients`, :mod:`.platform`).  What passed on the
sockets is judged (:mod:`.engine_side`, :mod:`.oracle`); nothing is asked of a node.  Inputs: seeds.  Outputs: one
verdict a seed, and for those that failed a timeline by request id.  Must not depend on: anything beyond loopback.
"""
