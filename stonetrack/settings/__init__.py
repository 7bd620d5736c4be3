"""Settings: evaluates a Jsonnet file into typed and checked values, or reports all problems at once.

:mod:`.schema` holds the types, :mod:`.check` the checks beyond types, :mod:`.load` the evaluation.
Inputs: a file's path.  Outputs: a ``Node``, or ``SettingsError`` naming path, value and what is allowed.
Must not depend on: sockets, threads, the router's state.
"""

from stonetrack.settings.check import SettingsError
from stonetrack.settings.load import decode, evaluate, load, merged, parse
from stonetrack.settings.schema import Node

__all__ = ["Node", "SettingsError", "decode", "evaluate", "load", "merged", "parse"]
