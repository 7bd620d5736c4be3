"""Protocols without I/O: bytes in, events out; values in, bytes out.

Holds HTTP/1.1 messages (:mod:`.http1`) and event streams (:mod:`.sse`), for both sides of a connection.
Inputs: what was read from a socket.  Outputs: typed events, or bytes ready to be written.
Must not depend on: sockets, threads, clocks, the node, or any API spoken above HTTP.
"""
