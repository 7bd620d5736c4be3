"""Versions of the settings for a whole fleet, who runs which, and what is done about a stale node.

Inputs: documents that an owner publishes, and what nodes report.  Outputs: which document each node is to run, its
permit to take requests, and orders to those that lag.  Decisions are pure (documents, follow, history, stale_nodes,
rollout); the service's threads and sockets are in :mod:`.service`.  Must not depend on: a request, a router or an
engine: a node alone decides how it takes a version, and serves on what it took.
"""
