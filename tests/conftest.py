"""Drawn tests draw the same each time, so that a verdict does not depend on the run."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")
