"""Stand-ins for engines, written from the public specifications: many of them in one process.

:mod:`.engine` is one engine without I/O (queue, slots, memory, kept text, cold start, faults), :mod:`.answers` what it
says, :mod:`.host` the sockets of all of them with the list service and the control port, :mod:`.tap` the log of what
passed on each socket.  Inputs: the engines' protocol, faults.  Outputs: answers, trouble, and a log for the judge.
Must not depend on: the node or the router.
"""
