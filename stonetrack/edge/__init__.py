"""The platform's protocol: one node of a fleet, between clients, engines and the discovery service.

Without I/O: :mod:`.config` (the configuration file), :mod:`.requests` (parses a client's request), :mod:`.exchange`
(parses an engine's answer), :mod:`.engine_table` (server lists from discovery), :mod:`.documents` (splits a watch into
JSON documents), :mod:`.request_ids` (duplicate detection), :mod:`.budget` (shares of descriptors and memory).
With threads and sockets: :mod:`.serve` (the process), :mod:`.engines`, :mod:`.calls`, :mod:`.probes`, :mod:`.releases`,
:mod:`.abandoned`, :mod:`.watch`, :mod:`.sink`.  For operators: :mod:`.metrics`, :mod:`.trace`.
Inputs: HTTP/1.1 from clients, engines and discovery.  Outputs: HTTP/1.1 to the same, one final answer for each request.
Must not depend on: how the router decides.
"""
