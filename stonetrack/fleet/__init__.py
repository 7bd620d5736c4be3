"""Whole fleets of processes of this program under faults, and the same decisions in simulated time.

:mod:`.script` says what runs and what breaks, :mod:`.shape` what a link does to bytes, :mod:`.links` the sockets of
all links, :mod:`.processes` the programs, :mod:`.rig` plays a script, :mod:`.model` plays it without processes,
:mod:`.judge` reads what passed on the links, :mod:`.page` shows it.  Inputs: a script.  Outputs: a log, a verdict,
a page.
Must not depend on: the router's or a machine's decisions; it only runs them.
"""
