"""stonetrack: a router between prefill and decode engines of a model service; the decisions are in :mod:`.logic`."""

from stonetrack.logic import Router

__all__ = ["Router"]
__version__ = "0.2.0"
