"""Checks beyond types: names must be defined and unique, and values must be consistent with each other."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from stonetrack import api
from stonetrack.settings.schema import Node

MS = 1_000_000  # nanoseconds
KIB = 1_024
STACK_BYTES_PER_LEVEL = 512  # of JSON, for the thread that decodes it


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem: the path of the value, the value found, and what is allowed."""

    path: str
    found: object
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: found {self.found!r}; allowed: {self.allowed}"


class SettingsError(ValueError):
    """The settings are invalid; ``problems`` holds every problem found."""

    def __init__(self, problems: Iterable[Problem], where: str = "settings") -> None:
        self.problems = tuple(problems)
        self.where = where
        super().__init__("\n".join(f"{where}: {problem}" for problem in self.problems))


def _repeats(path: str, names: Iterable[str]) -> Iterator[Problem]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield Problem(f"$.{path}[{index}]", name, "each name once")
        seen.add(name)


def find_problems(node: Node) -> Iterator[Problem]:
    """Yield every problem of settings that have the right types."""
    yield from _repeats("models", (m.name for m in node.models))
    yield from _repeats("classes", (c.name for c in node.classes))
    yield from _repeats("kinds", (k.name for k in node.kinds))
    yield from _repeats("tenants", (t.name for t in node.tenants))
    yield from _repeats("tenants key_hashes", (h for t in node.tenants for h in t.key_hashes))
    classes = [c.name for c in node.classes]
    models = [m.name for m in node.models]
    for index, rule in enumerate(node.rules):
        if rule.to not in classes:
            yield Problem(f"$.rules[{index}].to", rule.to, f"a class: {', '.join(classes)}")
        if rule.model and rule.model not in models:
            yield Problem(f"$.rules[{index}].model", rule.model, f"a model: {', '.join(models)}")
        if rule.max_prompt_tokens and rule.max_prompt_tokens < rule.min_prompt_tokens:
            yield Problem(
                f"$.rules[{index}].max_prompt_tokens",
                rule.max_prompt_tokens,
                f"0 or at least min_prompt_tokens ({rule.min_prompt_tokens})",
            )
    for index, request_class in enumerate(node.classes):
        if request_class.deadline_ms < request_class.first_token_ms:
            yield Problem(
                f"$.classes[{index}].deadline_ms",
                request_class.deadline_ms,
                f"at least first_token_ms ({request_class.first_token_ms})",
            )
        if request_class.deadline_ms <= 2 * node.timing.answer_margin_ms:
            yield Problem(
                f"$.classes[{index}].deadline_ms",
                request_class.deadline_ms,
                f"over twice timing.answer_margin_ms ({node.timing.answer_margin_ms})",
            )
    roles = {k.role for k in node.kinds}
    if api.Role.MIXED not in roles and not {api.Role.PREFILL, api.Role.DECODE} <= roles:
        yield Problem("$.kinds", sorted(r.value for r in roles), "a reader and a writer, or a mixed kind")
    if bool(node.source.file) == bool(node.source.url):
        yield Problem("$.source", node.source.url or node.source.file, "either file or url")
    if node.source.url and not node.source.url.startswith("http://"):
        yield Problem("$.source.url", node.source.url, "http://host:port/path")
    if node.control.url and not node.control.url.startswith("http://"):
        yield Problem("$.control.url", node.control.url, "http://host:port")
    if not node.tenants and not node.any_key:
        yield Problem("$.tenants", [], "a tenant with a key, or any_key: true")
    if node.tenants and not node.any_key and not any(t.key_hashes for t in node.tenants):
        yield Problem("$.tenants", [t.name for t in node.tenants], "at least one key hash, or any_key: true")
    routing = node.routing
    if routing.drain_grace_ms <= routing.connect_timeout_ms // 2:
        yield Problem(
            "$.routing.connect_timeout_ms",
            routing.connect_timeout_ms,
            f"under twice drain_grace_ms ({routing.drain_grace_ms})",
        )
    deepest = node.limits.stack_kib * KIB // STACK_BYTES_PER_LEVEL
    if node.limits.json_depth > deepest:
        yield Problem(
            "$.limits.json_depth", node.limits.json_depth, f"at most {deepest} with stack_kib {node.limits.stack_kib}"
        )
    if routing.may_hold_place and not any(k.hold for k in node.kinds):
        yield Problem("$.routing.may_hold_place", True, "true only where a kind has hold: true")


def router_settings(node: Node, router: int, instances: int) -> api.Settings:
    """Return the settings of one instance's router, with times in nanoseconds."""
    routing = node.routing
    routers = routing.routers or instances
    return api.Settings(
        classes=tuple(
            api.RequestClass(
                c.name,
                c.first_token_ms * MS,
                c.first_token_ms_per_1000 * MS,
                c.token_ms * MS,
                c.deadline_ms * MS,
                c.worth,
                c.late_worth,
                c.effect,
                c.scope,
                c.key_window_ms * MS,
            )
            for c in node.classes
        ),
        kinds=tuple(api.Kind(k.role, k.memory_tokens) for k in node.kinds),
        tenants=tuple(api.Tenant(t.name, t.quota_per_second) for t in node.tenants),
        router=router % routers,
        routers=routers,
        zone=routing.zone,
        max_attempts=routing.max_attempts,
        may_cancel=routing.may_cancel,
        may_probe=routing.may_probe,
        may_hold_place=routing.may_hold_place,
        may_advise_retry=routing.may_advise_retry,
        max_retry_after=routing.max_retry_after_ms * MS,
        writers_read=routing.writers_read,
        report_source=routing.report_source,
        list_on_request=False,
        connect_timeout=routing.connect_timeout_ms * MS,
        release_within=routing.release_within_ms * MS,
        cold_share=routing.cold_share,
        warm_within=routing.warm_within_ms * MS,
        cold_multiple=routing.cold_multiple,
        cold_window=routing.cold_window_ms * MS,
        over_share_worth=routing.over_share_worth,
    )
