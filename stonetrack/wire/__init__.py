"""Protocols without I/O: bytes in, events out; values in, bytes out.

HTTP/1.1 messages (:mod:`.http1` parses, :mod:`.writer` serializes) and event streams (:mod:`.sse`), for both sides of
a connection.
Inputs: the bytes read from a socket.  Outputs: typed events, or bytes ready to be written.
Must not depend on: sockets, threads, clocks, the node, or any API spoken above HTTP.
"""
