"""stonetrack: the decisions of a front for readers and writers of a model service."""

from stonetrack.logic import Router

__all__ = ["Router"]
__version__ = "0.1.0"
