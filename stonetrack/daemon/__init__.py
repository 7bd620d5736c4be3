"""One instance put together, and the supervisor of several.

:mod:`.instance` joins fronts, node and engines in one process; :mod:`.supervisor` starts instances on one listening
socket and starts them again; :mod:`.meters` and :mod:`.log` are what they tell.
Inputs: settings, a listening socket, signals.  Outputs: a running node.
Must not depend on: what the fronts, the node or the engines' side decide.
"""
