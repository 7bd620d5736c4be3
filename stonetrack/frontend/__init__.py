"""Frontends: HTTP connections of clients, and the APIs served on them.

:mod:`.host` holds the sockets and threads, :mod:`.app` the routes, :mod:`.chat` and :mod:`.kserve` one API each.
Interpreting a request (:mod:`.classify`, :mod:`.auth`) and encoding an answer (:mod:`.answers`) involve no I/O.
Inputs: connections.  Outputs: an ``InferenceRequest`` to the node, and the node's answer in the form of the
client's API.
Must not depend on: engines, their protocol, or any choice of the router.
"""
