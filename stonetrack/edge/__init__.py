"""The platform's protocol: the node as one small machine among others, between a front, engines and discovery.

Pure: :mod:`.config` (what a node is told), :mod:`.asks` (a client's head to an ``InferenceRequest``), :mod:`.exchange`
(an engine's bytes to outcomes), :mod:`.hosts` (discovery's lists), :mod:`.budget` (what each part may hold).  On
threads and sockets: :mod:`.engines`, :mod:`.leases`, :mod:`.watch`, :mod:`.sink`, :mod:`.serve`.  Inputs: HTTP/1.1 of
three parties.  Outputs: the same, and one final answer for each request.  Must not depend on: any choice of the router.
"""
