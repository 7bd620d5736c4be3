"""Load reports as engines give them: the ORCA header in answers, and vLLM's metrics for probes.

Sources: the ORCA header ``endpoint-load-metrics`` (``TEXT name=value, …`` or ``JSON {…}``) and the Prometheus text
format with vLLM's names.  ``waiting_prompt_tokens`` is an extension: prompt tokens yet to be read.
"""

from __future__ import annotations

import math
import re

import msgspec

from stonetrack.api import LoadReport

HEADER = "endpoint-load-metrics"
_RUNNING = ("num_requests_running", "vllm:num_requests_running")
_WAITING = ("num_requests_waiting", "vllm:num_requests_waiting")
_MEMORY = ("kv_cache_usage_perc", "vllm:kv_cache_usage_perc", "gpu_cache_usage_perc", "vllm:gpu_cache_usage_perc")
_TOKENS = ("waiting_prompt_tokens", "vllm:waiting_prompt_tokens")
_LINE = re.compile(r"^([A-Za-z_:][\w:]*)(?:\{[^}]*\})?\s+(\S+)")
_MOST = 65_536  # bytes looked at


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
    """The report of an answer's header; None where there is none that can be read."""
    values: dict[str, float] = {}
    form, _, rest = value[:_MOST].partition(" ")
    if form == "JSON":
        try:
            raw = msgspec.json.decode(rest)
        except (msgspec.DecodeError, RecursionError):
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
    """The report of a metrics page; series of one name are summed (one for each model), shares averaged."""
    sums: dict[str, list[float]] = {}
    for line in text[: _MOST * 16].splitlines():
        found = _LINE.match(line)
        if found and (number := _number(found.group(2))) is not None:
            sums.setdefault(found.group(1), []).append(number)
    return _report({name: sum(v) / len(v) if name in _MEMORY else sum(v) for name, v in sums.items()})


def to_header(report: LoadReport) -> str:
    """The header that a stand-in sends: running and waiting apart, as vLLM gives them."""
    waiting = report.queued or 0.0
    parts = [
        ("num_requests_running", (report.in_flight or 0.0) - waiting),
        ("num_requests_waiting", waiting),
        ("kv_cache_usage_perc", report.memory_share or 0.0),
        ("waiting_prompt_tokens", report.waiting_tokens or 0.0),
    ]
    return "TEXT " + ", ".join(f"named_metrics.{name}={value:g}" for name, value in parts)
