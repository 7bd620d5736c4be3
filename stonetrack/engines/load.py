"""Load reports of engines: the ORCA header in answers, and vLLM's metrics page for probes.

Formats: the ORCA header ``endpoint-load-metrics`` (``TEXT name=value, …`` or ``JSON {…}``) and the Prometheus text
format with vLLM's metric names.  ``waiting_prompt_tokens`` is an extension: prompt tokens that wait for prefill.
"""

from __future__ import annotations

import math
import re

import msgspec

from stonetrack.api import LoadReport
from stonetrack.wire import json_limits

HEADER = "endpoint-load-metrics"
_RUNNING = ("num_requests_running", "vllm:num_requests_running")
_WAITING = ("num_requests_waiting", "vllm:num_requests_waiting")
_MEMORY = ("kv_cache_usage_perc", "vllm:kv_cache_usage_perc", "gpu_cache_usage_perc", "vllm:gpu_cache_usage_perc")
_TOKENS = ("waiting_prompt_tokens", "vllm:waiting_prompt_tokens")
_LINE = re.compile(r"^([A-Za-z_:][\w:]*)(?:\{[^}]*\})?\s+(\S+)")
_MAX_LENGTH = 65_536  # characters of a header that are parsed; 16 times as many of a metrics page


def _number(text: object) -> float | None:
    try:
        value = float(text)  # type: ignore[arg-type]
    except (TypeError, ValueError):
        return None
    return value if math.isfinite(value) and value >= 0.0 else None


def _report(values: dict[str, float]) -> LoadReport | None:
    def first(names: tuple[str, ...]) -> float | None:
        return next((values[name] for name in names if name in values), None)

    running, waiting, memory, tokens = first(_RUNNING), first(_WAITING), first(_MEMORY), first(_TOKENS)
    if running is None and waiting is None and memory is None and tokens is None:
        return None
    in_flight = None if running is None else running + (waiting or 0.0)
    return LoadReport(in_flight, waiting, None if memory is None else min(1.0, memory), tokens)


def from_header(value: str) -> LoadReport | None:
    """Parse the header of an answer; None if it holds no valid report."""
    values: dict[str, float] = {}
    form, _, rest = value[:_MAX_LENGTH].partition(" ")
    if form == "JSON":
        try:
            raw = json_limits.decode(rest.encode())
        except msgspec.DecodeError:
            return None
        named = raw.get("named_metrics") if isinstance(raw, dict) else None
        pairs = [*(raw.items() if isinstance(raw, dict) else ()), *(named.items() if isinstance(named, dict) else ())]
    elif form == "TEXT":
        parts = (part.partition("=") for part in rest.split(","))
        pairs = [(name.strip().removeprefix("named_metrics."), text.strip()) for name, _, text in parts]
    else:
        return None
    for name, text in pairs:
        if (number := _number(text)) is not None:
            values[str(name)] = number
    return _report(values)


def from_metrics(text: str) -> LoadReport | None:
    """Parse a metrics page; series with the same name (one for each model) are summed, shares are averaged."""
    sums: dict[str, list[float]] = {}
    for line in text[: _MAX_LENGTH * 16].splitlines():
        found = _LINE.match(line)
        if found and (number := _number(found.group(2))) is not None:
            sums.setdefault(found.group(1), []).append(number)
    return _report({name: sum(v) / len(v) if name in _MEMORY else sum(v) for name, v in sums.items()})


def to_header(report: LoadReport) -> str:
    """Format a report as an emulator sends it: running and waiting requests as separate values, as in vLLM."""
    waiting = report.queued or 0.0
    parts = [
        ("num_requests_running", (report.in_flight or 0.0) - waiting),
        ("num_requests_waiting", waiting),
        ("kv_cache_usage_perc", report.memory_share or 0.0),
        ("waiting_prompt_tokens", report.waiting_tokens or 0.0),
    ]
    return "TEXT " + ", ".join(f"named_metrics.{name}={value:g}" for name, value in parts)
