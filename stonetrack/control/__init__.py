"""Settings versions for a whole fleet, which node runs which, and what is done about stale nodes.

Inputs: documents that a leader publishes, and reports of nodes.  Outputs: the document that each node is to run, its
lease on taking requests, and orders to nodes that lag.  Decisions are pure (documents, follower, history, stale_nodes,
rollout); the service's threads and sockets are in :mod:`.service`.  Must not depend on: a request, a router or an
engine: each node decides for itself how it installs a version, and continues to serve on the version it has.
"""
