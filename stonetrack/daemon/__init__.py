"""One instance put together, and the supervisor of several.

:mod:`.instance` joins fronts, node and engines in one process; :mod:`.supervisor` starts instances on one listening
socket and starts them again; :mod:`.meters` and :mod:`.log` are what they tell.
Comes in: settings, a listening socket, signals.  Goes out: a running node.
Must never touch: what the fronts, the node or the engines' side decide.
"""
