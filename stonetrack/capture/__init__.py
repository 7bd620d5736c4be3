"""Captures: events that a router received and the actions it returned, kept on disk and replayed.

:mod:`.codec` encodes events and actions and decodes them, :mod:`.segment` is the file format, both without I/O;
:mod:`.recorder` writes segments off the hot path, :mod:`.replay` feeds them to a new router. Inputs: (clock, event,
actions) from the node's core.  Outputs: segments; the first decision that differs. Must not depend on: prompts,
answers, API keys of clients, or the order in which the router receives events.
"""
