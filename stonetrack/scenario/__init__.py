"""Bad days: scripted trouble against real nodes and stand-ins, judged from what passed on the sockets.

:mod:`.script` is the scenario, :mod:`.load` the clients, :mod:`.judge` the five rules and the service, without I/O,
:mod:`.run` starts it all, :mod:`.page` writes the report.  Inputs: a scenario and a seed.  Outputs: logs, a verdict.
Must not depend on: the inside of a node; what a node believes is no evidence.
"""
