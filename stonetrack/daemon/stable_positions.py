"""Stable indexes of classes and tenants in the router, independent of their order in the settings.  No I/O.

The router refers to classes and tenants by index, and a request may be parsed with one version of the settings and
decided with the next.  So a name keeps its index for the lifetime of the router: new names are appended, and a removed
name keeps its index for the requests that arrived with it, and has no other effect.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from stonetrack import api


def _merge_by_name(before: tuple[Any, ...], now: tuple[Any, ...]) -> tuple[Any, ...]:
    remaining = {each.name: each for each in now}
    kept = [remaining.pop(each.name, each) for each in before]
    return (*kept, *remaining.values())


class StablePositions:
    """The indexes of one router; ``settings`` are its current settings."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings

    def arrange(self, settings: api.Settings) -> api.Settings:
        """Return other settings with all names at their indexes."""
        names = {each.name for each in settings.classes}
        classes = _merge_by_name(self.settings.classes, settings.classes)
        return replace(
            settings,
            # The utility of a removed class would reduce the weight of the others.
            classes=tuple(each if each.name in names else replace(each, worth=0.0) for each in classes),
            tenants=_merge_by_name(self.settings.tenants, settings.tenants),
        )

    def is_different_deployment(self, settings: api.Settings) -> bool:
        """Return whether other settings have no class, or no tenant, in common: nothing learned applies to them."""
        classes = {each.name for each in self.settings.classes} & {each.name for each in settings.classes}
        ours, theirs = ({each.name for each in s.tenants} for s in (self.settings, settings))
        return not classes or bool(ours and theirs and not ours & theirs)

    def removed_names(self, settings: api.Settings) -> list[str]:
        """Return the names of classes and tenants that other settings no longer have."""
        classes = {c.name for c in settings.classes}
        tenants = {t.name for t in settings.tenants}
        return [f"class {c.name}" for c in self.settings.classes if c.name not in classes] + [
            f"tenant {t.name}" for t in self.settings.tenants if t.name not in tenants
        ]

    def class_index(self, name: str) -> int:
        """Return the index of a class.  Raises KeyError."""
        return self._index([c.name for c in self.settings.classes], name)

    def tenant_index(self, name: str) -> int:
        """Return the index of a tenant.  Raises KeyError."""
        return self._index([t.name for t in self.settings.tenants], name)

    @staticmethod
    def _index(names: list[str], name: str) -> int:
        if name not in names:
            raise KeyError(name)
        return names.index(name)
