"""Management: one datastore core and the protocols that reach it (NETCONF first; docs/ROADMAP.md says what is there).

:mod:`.framing` is RFC 6242 and :mod:`.datastore` RFC 8342's running, candidate and startup with their locks and
commits, both without I/O, threads or clocks.
Inputs: bytes of sessions, edits.  Outputs: messages, versions of the configuration, refusals that name what and
where. Must not depend on: requests, or the router's decisions.
"""
