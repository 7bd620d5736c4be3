"""Engine emulators, written from the public specifications: many of them in one process.

:mod:`.engine` is one engine without I/O (queue, slots, memory, prefix cache, slow start, faults), :mod:`.answers` its
answers, :mod:`.host` the sockets of all engines with the discovery service and the control port, :mod:`.tap` the log of
the traffic on each socket, :mod:`.etcd` an emulator of etcd's JSON gateway.
Inputs: the engine protocol, faults.  Outputs: answers, failures, and a traffic log for the tests.
Must not depend on: the node or the router.
"""
