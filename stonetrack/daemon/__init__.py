"""The node as a program: its instances and their supervisor.

:mod:`.instance` combines frontends, node and engine clients in one process; :mod:`.supervisor` starts instances on one
listening socket and restarts them; :mod:`.instance_metrics` and :mod:`.logging_setup` provide metrics and logs.
Inputs: settings, a listening socket, signals.  Outputs: a running node.
Must not depend on: the decisions of frontends, node and engine clients.
"""
