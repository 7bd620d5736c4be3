"""Communication with engines: attempts on sockets, the server list, load reports, reservations and releases.

Without I/O: :mod:`.protocol` (builds requests, maps answers to outcomes), :mod:`.load` (load reports),
:mod:`.server_list` (server lists), :mod:`.release_queue` (when to retry a release), :mod:`.idle_timeouts` and
:mod:`.reuse_delay` (when an idle connection may be reused), :mod:`.start_times`, :mod:`.failure_hints`.  With I/O:
:mod:`.attempt`, :mod:`.pool`, :mod:`.calls`, :mod:`.background_calls`, :mod:`.release_workers`, :mod:`.list_source`.
Inputs: requests from the node.  Outputs: attempt events, server lists, load reports.
Must not depend on: clients, their protocols, or any choice among engines.
"""
