"""What an instance counts, by prometheus-client; one registry an instance."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from stonetrack.frontend.instance_service import RequestRecord

SECOND = 1e9
OTHER = "other"  # a class or tenant that the settings no longer have
_FIRST = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0)


class _Read(Collector):
    """Values that are read when they are asked for."""

    def __init__(self, read: Callable[[], Iterable[Metric]]) -> None:
        self._read = read

    def collect(self) -> Iterator[Metric]:
        """The families."""
        yield from self._read()


class InstanceMetrics:
    """The metrics of one instance."""

    def __init__(self, read: Callable[[], Iterable[Metric]], classes: list[str], tenants: list[str]) -> None:
        self.registry = CollectorRegistry()
        self._children: dict[tuple[str, str, str, str], tuple[Counter, Counter, Histogram, Histogram]] = {}
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
            buckets=_FIRST,
            registry=self.registry,
        )
        self.duration = Histogram(
            "stonetrack_request_seconds",
            "From the request's head to its end",
            ["class"],
            buckets=(*_FIRST, 64.0, 128.0),
            registry=self.registry,
        )
        self.registry.register(_Read(read))

    def set_names(self, classes: list[str], tenants: list[str]) -> None:
        """Take the names of new settings; what was counted stays."""
        self._children.clear()
        self._classes, self._tenants = frozenset(classes), frozenset(tenants)

    def observe(self, record: RequestRecord) -> None:
        """Count one request; one that came under settings that lack its class or tenant now counts as ``OTHER``."""
        key = (record.frontend, record.class_name, record.tenant_name, record.outcome)
        if (found := self._children.get(key)) is None:  # looking labels up anew costs more than counting
            name = record.class_name if record.class_name in self._classes else OTHER
            tenant = record.tenant_name if record.tenant_name in self._tenants | {""} else OTHER
            found = (self.requests.labels(record.frontend, name, tenant, record.outcome), self.attempts.labels(name),
                     self.duration.labels(name), self.time_to_first_token.labels(name))  # fmt: skip
            self._children[key] = found
        requests, attempts, took, first = found
        requests.inc()
        attempts.inc(record.attempts)
        took.observe(record.duration / SECOND)
        if record.time_to_first_token >= 0:
            first.observe(record.time_to_first_token / SECOND)

    def render(self) -> tuple[bytes, str]:
        """The metrics page and its content type."""
        return generate_latest(self.registry), CONTENT_TYPE_LATEST


def gauge(name: str, text: str, value: float) -> Metric:
    """A gauge without labels."""
    return GaugeMetricFamily(f"stonetrack_{name}", text, value=value)


def counters(name: str, text: str, label: str, values: dict[str, int]) -> Metric:
    """A counter with one label."""
    family = CounterMetricFamily(f"stonetrack_{name}", text, labels=[label])
    for key, value in sorted(values.items()):
        family.add_metric([key], value)
    return family


def gauges(name: str, text: str, label: str, values: dict[str, float]) -> Metric:
    """A gauge with one label."""
    family = GaugeMetricFamily(f"stonetrack_{name}", text, labels=[label])
    for key, value in sorted(values.items()):
        family.add_metric([key], value)
    return family
