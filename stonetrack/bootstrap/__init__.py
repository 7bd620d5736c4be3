"""How a node begins and keeps up with its server list among hundreds that do the same.

:mod:`.asking` decides when the list service is asked and for what, :mod:`.holding` which document comes into force,
:mod:`.stages` what a node that does not know enough yet may do.  Comes in: times, answers, documents' versions.  Goes
out: when to ask next, what to take, whether to serve.
Must never touch: sockets, threads, clocks, or requests.
"""
