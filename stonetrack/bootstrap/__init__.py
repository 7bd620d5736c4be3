"""How a node obtains its server list and keeps it current, in a fleet of hundreds of nodes that do the same.

:mod:`.polling` decides when to poll the discovery service and for what, :mod:`.list_versions` which document comes
into force, :mod:`.gradual_changes` how quickly, :mod:`.readiness_stages` what a node without a current list may do.
Inputs: times, poll results, versions of documents.
Outputs: time and parameters of the next poll, documents to accept, readiness.
Must not depend on: sockets, threads, clocks, or requests.
"""
