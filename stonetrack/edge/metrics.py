"""Metrics of one node in the Prometheus text format (``GET /metrics``).

``prometheus_client`` is imported at the first request, so that a node without a scraper does not load it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict
from enum import Enum
from typing import TYPE_CHECKING, Any

from stonetrack.engines.pool import Discarded
from stonetrack.node.invariants import Invariant
from stonetrack.node.memory import resident_bytes

if TYPE_CHECKING:
    from stonetrack.edge.serve import EdgeNode

PREFIX = "stonetrack_edge_"


def _label(key: Enum | str) -> str:
    return key if isinstance(key, str) else key.name.lower()


class _Collector:
    """Collects the metric families of one node at each scrape."""

    def __init__(self, node: EdgeNode) -> None:
        self._node = node

    def collect(self) -> Iterator[Any]:
        """Yield all metric families."""
        records = self._node.records
        violations = {each: records.violations[each] for each in Invariant}  # with zeros, so that each has a series
        yield self._counter("invariant_violations", "Invariants that did not hold, by name", "invariant", violations)
        yield self._counter("attempt_refusals", "Attempts that the guard kept from beginning", "why", records.refusals)
        yield self._counter("attempts", "Attempts by how they ended", "outcome", records.outcomes)
        yield self._counter("answers", "Final answers by kind", "kind", records.answers)
        given_up = records.streams_given_up
        yield self._counter("streams_given_up", "Streams given up, by the part that they were in", "part", given_up)
        yield self._counter("steps", "Steps of requests by kind", "step", records.steps)
        yield self._counter("events", "Events told to the router", "event", self._node.core.events)
        yield self._counter("actions", "Actions that the router decided", "action", self._node.core.actions)
        abandoned = asdict(self._node.abandoned.counts)
        yield self._counter(
            "abandoned_reads", "Reads that ended without a word, by what became of them", "what", abandoned
        )
        discarded = {each: self._node.pool.discarded[each] for each in Discarded}
        yield self._counter(
            "discarded_connections", "Idle connections to engines that could not be reused", "why", discarded
        )
        yield self._gauges()
        yield self._memory()

    @staticmethod
    def _counter(name: str, help_text: str, label: str, counts: Counter[Any] | dict[Any, int]) -> Any:
        from prometheus_client.core import CounterMetricFamily

        family = CounterMetricFamily(PREFIX + name, help_text, labels=[label])
        for key, count in sorted(counts.items(), key=lambda pair: _label(pair[0])):
            family.add_metric([_label(key)], count)
        return family

    def _gauges(self) -> Any:
        from prometheus_client.core import GaugeMetricFamily

        node = self._node
        family = GaugeMetricFamily(PREFIX + "open", "What is open, by kind", labels=["kind"])
        for kind, count in (
            ("requests", node.core.open_requests),
            ("records", len(node.records)),
            ("releases", node.releases.open),
            ("abandoned_reads", len(node.abandoned)),
            ("abandoned_connections", node.abandoned.watched_connections),
            ("client_connections", node.host.connections),
            ("workers", node.host.workers),
        ):
            family.add_metric([kind], count)
        return family

    def _memory(self) -> Any:
        from prometheus_client.core import GaugeMetricFamily

        bodies = self._node.host.bodies
        family = GaugeMetricFamily(PREFIX + "memory_bytes", "Memory, by what takes it", labels=["kind"])
        for kind, size in (
            ("resident", resident_bytes()),
            ("incomplete_requests", bodies.partial_bytes),
            ("bodies_reserved", bodies.reserved_bytes),
            ("requests_served", bodies.served_bytes),
        ):
            family.add_metric([kind], size)
        return family


def exposition(node: EdgeNode) -> str:
    """All metrics of a node in the Prometheus text format."""
    from prometheus_client import CollectorRegistry
    from prometheus_client.exposition import generate_latest

    registry = CollectorRegistry()
    registry.register(_Collector(node))
    return generate_latest(registry).decode()
