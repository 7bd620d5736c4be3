"""The engines' side of the node: attempts on sockets, the server list, load reports, places and releases.

Pure: :mod:`.protocol` (requests, and answers into outcomes), :mod:`.load` (reports), :mod:`.server_list` (server
lists), :mod:`.release_queue` (when to repeat a release).  On sockets: :mod:`.attempt`, :mod:`.pool`, :mod:`.calls`,
:mod:`.background_calls`, :mod:`.list_source`.
Inputs: what the node asks for.  Outputs: attempt events, lists, reports.
Must not depend on: clients, their protocols, or any choice among engines.
"""
