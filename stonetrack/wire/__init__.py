"""Protocols without I/O: bytes in, events out; values in, bytes out.

Holds HTTP/1.1 messages (:mod:`.http1`) and event streams (:mod:`.sse`), for both sides of a connection.
Comes in: what was read from a socket.  Goes out: typed events, or bytes ready to be written.
Must never touch: sockets, threads, clocks, the node, or any API spoken above HTTP.
"""
