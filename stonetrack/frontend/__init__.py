"""Fronts: HTTP connections of clients, and the APIs spoken on them.

:mod:`.host` holds the sockets and threads, :mod:`.app` the routes, :mod:`.chat` and :mod:`.kserve` one API each; what a
request means (:mod:`.classify`, :mod:`.auth`) and what an answer looks like (:mod:`.answers`) is free of I/O.
Inputs: connections.  Outputs: an ``InferenceRequest`` to the node, and what the node's answer looks like in the
client's API.
Must not depend on: engines, their protocol, or any choice of the router.
"""
