"""The list service as a program: which engines there are, told to all nodes, in versions that never count anew.

:mod:`.history` keeps versions and what changed between them, :mod:`.turns` decides who is answered when and who is
sent away, :mod:`.keeping` the file that outlives a restart, :mod:`.service` the sockets.  Inputs: lists (a watched
file, or put).  Outputs: whole lists, changes, and moments to come again.
Must not depend on: the router, or engines.
"""
