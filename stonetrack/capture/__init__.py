"""What the module was told and what it decided, kept on disk, and the same decisions again.

:mod:`.codec` turns events and actions into bytes and back, :mod:`.segment` is the file format, both without I/O;
:mod:`.recorder` writes segments off the hot path, :mod:`.replay` feeds them to a fresh router.
Inputs: (clock, event, actions) from the node's core.  Outputs: segments; the first decision that differs.
Must not depend on: prompts, answers, keys of clients, or the order in which the router is told.
"""
