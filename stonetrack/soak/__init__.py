"""Randomized fault soaks of the platform's node: real processes, overlapping faults, the invariants as the oracle.

A seed determines the engines' behaviour, the traffic and the faults (:mod:`.faults`) of one run (:mod:`.run`).
Nodes run as processes (:mod:`.nodes`) against emulated engines and discovery agents (:mod:`.platform`); clients and
links come from ``fleet``.  The verdict is based on what passed on the sockets (:mod:`.engine_side`, :mod:`.oracle`);
apart from their logged invariants, the nodes are not queried.  Inputs: seeds.  Outputs: one verdict per seed, and for a
failed seed a timeline per request id.  Must not depend on: anything beyond loopback.
"""
