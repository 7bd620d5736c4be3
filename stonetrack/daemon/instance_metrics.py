"""Metrics of an instance, with prometheus-client; one registry per instance."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from stonetrack.frontend.instance_service import RequestRecord

SECOND = 1e9
OTHER = "other"  # label of classes and tenants that are not in the current settings
_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0)


class _CallbackCollector(Collector):
    """Values that are computed at each scrape."""

    def __init__(self, collect: Callable[[], Iterable[Metric]]) -> None:
        self._collect = collect

    def collect(self) -> Iterator[Metric]:
        """Return the metric families."""
        yield from self._collect()


class InstanceMetrics:
    """The metrics of one instance; ``collect`` returns the values that are computed at each scrape."""

    def __init__(self, collect: Callable[[], Iterable[Metric]], classes: list[str], tenants: list[str]) -> None:
        self.registry = CollectorRegistry()
        self._series: dict[tuple[str, str, str, str], tuple[Counter, Counter, Histogram, Histogram]] = {}
        self.set_names(classes, tenants)
        self.requests = Counter(
            "stonetrack_requests",
            "Requests by how they ended",
            ["front", "class", "tenant", "ended"],
            registry=self.registry,
        )
        self.attempts = Counter("stonetrack_request_attempts", "Attempts made", ["class"], registry=self.registry)
        self.time_to_first_token = Histogram(
            "stonetrack_first_token_seconds",
            "From the request's head to the first token",
            ["class"],
            buckets=_BUCKETS,
            registry=self.registry,
        )
        self.duration = Histogram(
            "stonetrack_request_seconds",
            "From the request's head to its end",
            ["class"],
            buckets=(*_BUCKETS, 64.0, 128.0),
            registry=self.registry,
        )
        self.registry.register(_CallbackCollector(collect))

    def set_names(self, classes: list[str], tenants: list[str]) -> None:
        """Set the names of classes and tenants of new settings; the counts are kept."""
        self._series.clear()
        self._classes, self._tenants = frozenset(classes), frozenset(tenants)

    def observe(self, record: RequestRecord) -> None:
        """Count a finished request; a class or tenant that is not in the current settings counts as ``OTHER``."""
        key = (record.frontend, record.class_name, record.tenant_name, record.outcome)
        if (found := self._series.get(key)) is None:  # looking up labels costs more than counting
            cls = record.class_name if record.class_name in self._classes else OTHER
            tenant = record.tenant_name if record.tenant_name in self._tenants | {""} else OTHER
            found = (self.requests.labels(record.frontend, cls, tenant, record.outcome), self.attempts.labels(cls),
                     self.duration.labels(cls), self.time_to_first_token.labels(cls))  # fmt: skip
            self._series[key] = found
        requests, attempts, duration, time_to_first_token = found
        requests.inc()
        attempts.inc(record.attempts)
        duration.observe(record.duration / SECOND)
        if record.time_to_first_token >= 0:
            time_to_first_token.observe(record.time_to_first_token / SECOND)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics page and its content type."""
        return generate_latest(self.registry), CONTENT_TYPE_LATEST


def gauge(name: str, text: str, value: float) -> Metric:
    """Return a gauge without labels."""
    return GaugeMetricFamily(f"stonetrack_{name}", text, value=value)


def counters(name: str, text: str, label: str, values: dict[str, int]) -> Metric:
    """Return a counter with one label."""
    family = CounterMetricFamily(f"stonetrack_{name}", text, labels=[label])
    for key, value in sorted(values.items()):
        family.add_metric([key], value)
    return family


def gauges(name: str, text: str, label: str, values: dict[str, float]) -> Metric:
    """Return a gauge with one label."""
    family = GaugeMetricFamily(f"stonetrack_{name}", text, labels=[label])
    for key, value in sorted(values.items()):
        family.add_metric([key], value)
    return family
