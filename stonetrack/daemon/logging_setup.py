"""Structured logging with structlog: one JSON object per line."""

from __future__ import annotations

import logging
import sys
from typing import Any, TextIO

import structlog


def configure_logging(level: str, out: TextIO | None = None) -> Any:
    """Configure logging and return a logger."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=out or sys.stderr),
        cache_logger_on_first_use=False,
    )
    return structlog.get_logger()
