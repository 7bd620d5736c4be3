"""The discovery service: serves the server list to all nodes, in versions that never repeat.

:mod:`.history` keeps versions and the changes between them, :mod:`.admission` decides which node is answered when and
which is rejected, :mod:`.state_file` is the file that survives a restart, :mod:`.service` holds the sockets.  Inputs:
lists (a watched file, or PUT).  Outputs: full lists, changes, and times to retry.  Must not depend on: the router, or
engines.
"""
