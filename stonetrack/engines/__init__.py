"""The engines' side of the node: attempts on sockets, the server list, load reports, places and releases.

Pure: :mod:`.protocol` (requests, and answers into outcomes), :mod:`.load` (reports), :mod:`.listing` (server lists),
:mod:`.releases` (when to repeat a release).  On sockets: :mod:`.attempt`, :mod:`.pool`, :mod:`.calls`,
:mod:`.background_calls`, :mod:`.sources`.  Inputs: what the node asks for.  Outputs: attempt events, lists, reports.
Must not depend on: clients, their protocols, or any choice among engines.
"""
