"""Two customers' settings in one process, one after the other: nothing of the first is visible under the second."""

from __future__ import annotations

import json
import re
from dataclasses import replace
from typing import Any

import pytest

from stonetrack import api
from stonetrack.daemon.stable_positions import StablePositions
from stonetrack.edge import requests
from stonetrack.edge.config import parse as parse_edge
from stonetrack.edge.engines import build_request
from stonetrack.edge.serve import EdgeNode
from stonetrack.logic import SECOND, Router
from stonetrack.settings import parse
from tests.harness import Client, Harness, chat, harness, raw_settings, wait_for
from tests.platform import free_port, platform, round_trip
from tests.router_fixture import SETTINGS, RouterFixture
from tests.test_choices import fill_queues

FIRST_SETTINGS: dict[str, Any] = {
    "classes": [{"name": "aldo-talk", "first_token_ms": 2_000, "deadline_ms": 4_000, "worth": 9.0}],
    "tenants": [{"name": "aldo-house"}],
    "models": [{"name": "demo"}, {"name": "aldo-model"}],
    "routing": {"max_attempts": 3},
}
SECOND_SETTINGS: dict[str, Any] = {
    "classes": [{"name": "second-talk", "first_token_ms": 1_500, "deadline_ms": 3_000, "effect": "unsafe"}],
    "tenants": [{"name": "second-house"}],
    "models": [{"name": "demo"}],
    "routing": {"max_attempts": 2},
}


def visible_state(node: Harness) -> str:
    """What an instance exposes: its metrics and its health."""
    return node.node.metrics()[0].decode() + json.dumps(node.node.health()[1])


def serve_requests(node: Harness, count: int = 8) -> None:
    client = Client(node.port)
    for n in range(count):
        assert client.call(chat(f"text {n}"))[0].status == 200
    client.close()


def test_a_reload_to_another_customers_settings_exposes_nothing_of_the_first() -> None:
    with harness(1, 1, settings=FIRST_SETTINGS) as node:
        serve_requests(node)
        assert "aldo-talk" in visible_state(node) and "aldo-house" in visible_state(node)
        assert wait_for(lambda: sum(event == "request" for event, _ in node.log.lines) == 8)
        node.log.lines.clear()
        node.node.reload(parse(json.dumps(raw_settings(node.engines.list_url, **SECOND_SETTINGS))))
        router = node.node.core.router
        assert isinstance(router, Router)
        assert [c.name for c in router.settings.classes] == ["second-talk"]
        assert [t.name for t in router.settings.tenants] == ["second-house"] and router.settings.max_attempts == 2
        assert not any(stat.count for stat in router.latency.values()) and not router.class_rejected_at
        assert wait_for(
            lambda: all(not s.class_success_at and not s.prefix_table.entries for s in router.servers.values())
        )
        serve_requests(node)
        assert "second-talk" in visible_state(node) and "aldo" not in visible_state(node)
        client = Client(node.port)
        assert client.call({**chat(), "model": "aldo-model"})[0].status == 404
        client.close()
        assert not re.search("aldo", json.dumps([f for e, f in node.log.lines if e == "request"]))


def test_a_request_of_the_first_that_ends_under_the_second_counts_for_no_class() -> None:
    """Guards against counting and logging it under the class that has its class number after the reload."""
    with harness(1, 1, settings=FIRST_SETTINGS, token_ms=30.0, answer_least=20, answer_most=20) as node:
        client = Client(node.port)
        client.send_request(chat(stream=True))
        assert client.sock.recv(1)
        node.node.reload(parse(json.dumps(raw_settings(node.engines.list_url, **SECOND_SETTINGS))))
        while client.sock.recv(65_536)[-5:] != b"0\r\n\r\n":
            pass
        assert wait_for(lambda: any(event == "request" for event, _ in node.log.lines))
        page = node.node.metrics()[0].decode()
        assert 'class="other",ended="served"' in page and "aldo" not in page and "second-" not in page
        client.close()


def test_a_second_customers_node_in_the_same_process_exposes_nothing_of_the_first() -> None:
    with harness(1, 1, settings=FIRST_SETTINGS) as node:
        serve_requests(node)
    with harness(1, 1, settings=SECOND_SETTINGS) as node:
        serve_requests(node)
        assert "second-talk" in visible_state(node) and "aldo" not in visible_state(node)


def test_a_removed_class_does_not_affect_the_remaining_classes() -> None:
    """Guards against a removed class of utility 9: the remaining class was valued at a ninth and refused early."""
    base = SETTINGS.classes[0]
    valuable, plain = replace(base, name="dear", worth=9.0), replace(base, name="plain")
    positions = StablePositions(replace(SETTINGS, classes=(valuable, plain)))
    laid = positions.arrange(replace(SETTINGS, classes=(plain,)))
    assert [(c.name, c.worth) for c in laid.classes] == [("dear", 0.0), ("plain", 1.0)]
    assert not positions.is_different_deployment(replace(SETTINGS, classes=(plain,)))
    assert positions.is_different_deployment(replace(SETTINGS, classes=(replace(base, name="other"),)))


def test_classes_without_utility_are_served() -> None:
    free = replace(SETTINGS, classes=(replace(SETTINGS.classes[0], worth=0.0),))
    fixture = RouterFixture(free)
    fill_queues(fixture)
    fixture.arrive("q")  # computes its expected time


def edge_config(world: Any, **changes: Any) -> bytes:
    configuration = json.loads(world.config())
    configuration["settings"] = {**configuration["settings"], **changes}
    return json.dumps(configuration).encode()


TENANT = {"name": "second-house", "quota_rps": 5.0}
OTHER_SETTINGS = {
    "request_classes": [
        {"name": "second-talk", "aim_ns": SECOND, "hard_limit_ns": 3 * SECOND, "semantics": "side_effect"}
    ],
    "tenants": [TENANT, {**TENANT, "name": "third-house"}],
}


def test_a_platform_node_refuses_another_customers_configuration_entirely(tmp_path: Any, capfd: Any) -> None:
    """The router's tables are per class, so the configuration has no effect at all: discovery is not changed either."""
    with platform() as world, platform() as other:
        path = tmp_path / "config.json"
        path.write_bytes(world.config())
        edge_node = EdgeNode(parse_edge(path.read_bytes()))
        edge_node.start()
        try:
            path.write_bytes(edge_config(other, **OTHER_SETTINGS))
            edge_node.reload(path)
            log_text = capfd.readouterr().err
            assert f"configuration refused, nothing changed: {path}: $.settings.request_classes" in log_text
            assert "found ['second-talk']; allowed while the node runs: ['chat']" in log_text
            client = Client(world.listen)
            assert round_trip(client, "q0")[0].status == 200 and set(edge_node.engine_table.engines) == set(
                world.engines
            )
            assert not other.discovery.request_targets
            client.close()
        finally:
            edge_node.stop()


def test_two_platform_nodes_in_one_process_have_their_own_names_and_limits() -> None:
    with platform() as world:
        first = EdgeNode(parse_edge(world.config()))
        changed = edge_config(world, **OTHER_SETTINGS).replace(f":{world.listen}".encode(), f":{free_port()}".encode())
        second = EdgeNode(parse_edge(changed))
        try:
            assert first.classes == {"chat": 0} and second.classes == {"second-talk": 0}
            assert first.tenants == {} and second.tenants == {"second-house": 0, "third-house": 1}
            router = second.core.router
            assert isinstance(router, Router) and router.settings.classes[0].effect is api.Effect.UNSAFE
            assert router.settings.tenants[0].quota_per_second == 5.0
        finally:
            first.host.listener.close()
            second.host.listener.close()


@pytest.mark.parametrize(("name", "number"), [("second-house", 0), ("third-house", 1), (None, 0)])
def test_a_requests_tenant_is_parsed_if_the_deployment_has_tenants(name: str | None, number: int) -> None:
    from tests.test_edge import head

    tenants = {"second-house": 0, "third-house": 1}
    parsed = requests.parse_request(head(X_Account=name), b"{}", {"plan": 0}, 0, 0, tenants)
    assert parsed.tenant == number
    assert requests.parse_request(head(X_Account="nobody"), b"{}", {"plan": 0}, 0, 0, {}).tenant == 0
    with pytest.raises(requests.BadRequest, match="x-account: found 'nobody'; allowed: second-house, third-house"):
        requests.parse_request(head(X_Account="nobody"), b"{}", {"plan": 0}, 0, 0, tenants)


def test_end_to_end_headers_are_forwarded() -> None:
    """Guards against dropping the idempotency key: in a deployment with keyed classes the engine refused the request as
    not the client's."""
    from tests.test_edge import head

    parsed = requests.parse_request(
        head(Idempotency_Key="k-1", Connection="X-Hop", X_Hop="1", Expect="100-continue", TE="trailers"),
        b"{}", {"plan": 0}, 0, 0, {})  # fmt: skip
    forwarded = dict(parsed.body.headers)
    assert forwarded["Idempotency-Key"] == "k-1" and forwarded["X-Service-Class"] == "plan"
    assert not {"Connection", "X-Hop", "Expect", "Te", "X-Time-Left", "X-Correlation-Id"} & set(forwarded)
    sent = build_request(parsed, 2 * SECOND)
    assert b"\r\nIdempotency-Key: k-1\r\n" in sent and sent.count(b"X-Time-Left: 2000m\r\n") == 1
