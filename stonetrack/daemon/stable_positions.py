"""Where classes and tenants stand for the router, whatever order the settings have them in.  No I/O.

The router counts classes and tenants by their place, and requests are read by a front under one version of the settings
and decided under the next.  So a name keeps its place for as long as the router lives: new names are added behind, and
one that is gone keeps its place, for the requests that came with it, and counts for nothing else.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from stonetrack import api


def _laid(before: tuple[Any, ...], now: tuple[Any, ...]) -> tuple[Any, ...]:
    given = {each.name: each for each in now}
    kept = [given.pop(each.name, each) for each in before]
    return (*kept, *given.values())


class StablePositions:
    """One router's; ``settings`` are those it was made with."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings

    def arrange(self, settings: api.Settings) -> api.Settings:
        """Other settings with everything at its place."""
        named = {each.name for each in settings.classes}
        classes = _laid(self.settings.classes, settings.classes)
        return replace(
            settings,
            # The worth of one that is gone would weigh against those that are asked for.
            classes=tuple(each if each.name in named else replace(each, worth=0.0) for each in classes),
            tenants=_laid(self.settings.tenants, settings.tenants),
        )

    def is_different_deployment(self, settings: api.Settings) -> bool:
        """Whether other settings have no class, or no tenant, in common with these: nothing learned is for them."""
        classes = {each.name for each in self.settings.classes} & {each.name for each in settings.classes}
        ours, theirs = ({each.name for each in s.tenants} for s in (self.settings, settings))
        return not classes or bool(ours and theirs and not ours & theirs)

    def removed_names(self, settings: api.Settings) -> list[str]:
        """What other settings no longer have, by name."""
        classes = {c.name for c in settings.classes}
        tenants = {t.name for t in settings.tenants}
        return [f"class {c.name}" for c in self.settings.classes if c.name not in classes] + [
            f"tenant {t.name}" for t in self.settings.tenants if t.name not in tenants
        ]

    def class_index(self, name: str) -> int:
        """The place of a class.  Raises KeyError."""
        return self._place([c.name for c in self.settings.classes], name)

    def tenant_index(self, name: str) -> int:
        """The place of a tenant.  Raises KeyError."""
        return self._place([t.name for t in self.settings.tenants], name)

    @staticmethod
    def _place(names: list[str], name: str) -> int:
        if name not in names:
            raise KeyError(name)
        return names.index(name)
