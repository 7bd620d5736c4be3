"""How a node begins and keeps up with its server list among hundreds that do the same.

:mod:`.asking` decides when the list service is asked and for what, :mod:`.holding` which document comes into force,
:mod:`.stages` what a node that does not know enough yet may do.  Inputs: times, answers, documents' versions.
Outputs: when to ask next, what to take, whether to serve.
Must not depend on: sockets, threads, clocks, or requests.
"""
