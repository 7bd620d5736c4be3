"""Configuration management: the datastores and the protocols that access them (NETCONF; see docs/ROADMAP.md).

:mod:`.framing` implements RFC 6242, :mod:`.datastore` the running, candidate and startup datastores of RFC 8342 with
their locks and commits, both without I/O, threads or clocks.
Inputs: bytes of sessions, edits.  Outputs: messages, versions of the configuration, rejections with error tag and
path.  Must not depend on: requests, or the router's decisions.
"""
