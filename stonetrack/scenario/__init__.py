"""Scenarios: scripted faults against a real node and emulated engines, judged from what passed on the sockets.

:mod:`.script` defines a scenario, :mod:`.run` runs it, :mod:`.page` writes the report, :mod:`.bench` converts a bench
scenario.  Clients and the judge of the five rules come from ``fleet``.  Inputs: a scenario and a seed.  Outputs: logs
and a verdict.  Must not depend on: the internals of a node; its own state is not evidence.
"""
