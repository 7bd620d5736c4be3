"""Changes of settings while a router runs: which state is kept, which names are dropped, and the indexes of names."""

from __future__ import annotations

import json
import threading
import time
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stonetrack import api
from stonetrack.api import Role
from stonetrack.capture.history import HistoryReader
from stonetrack.capture.replay import replay_numbered
from stonetrack.daemon.stable_positions import StablePositions
from stonetrack.logic import MS, SECOND, Router
from stonetrack.settings import parse
from tests.harness import Client, chat, harness, raw_settings, wait_for
from tests.router_fixture import SETTINGS, RouterFixture, single

CLASS = SETTINGS.classes[0]


def test_router_keeps_its_state_when_settings_change() -> None:
    fixture = RouterFixture()
    fixture.run_request("q0")
    attempt = single(fixture.arrive("q1", session="s-q0", prompt=3_200), api.Send)
    tables = {name: dict(s.prefix_table.entries) for name, s in fixture.router.servers.items()}
    fast_class = replace(CLASS, first_token_aim=100 * MS, deadline=SECOND)
    fixture.router.adopt(replace(SETTINGS, classes=(fast_class, replace(CLASS, name="second")), max_attempts=2))
    assert {name: dict(s.prefix_table.entries) for name, s in fixture.router.servers.items()} == tables
    assert fixture.router.latency[Role.PREFILL].count == 1 and fixture.router.requests["q1"].class_settings is CLASS
    fixture.finish_prefill(attempt)  # a running request continues with the class that it arrived with
    assert fixture.router.requests["q1"].capped_target() > SECOND
    fixture.arrive("q2", class_index=1, prompt=160)
    assert fixture.router.requests["q2"].class_settings.name == "second"
    fixture.arrive("q3")
    assert fixture.router.requests["q3"].class_settings is fast_class


@pytest.mark.parametrize(
    "changed",
    [
        replace(SETTINGS, classes=(replace(CLASS, name="other"),)),
        replace(SETTINGS, kinds=SETTINGS.kinds[:2]),
        replace(SETTINGS, classes=(replace(CLASS, name="before"), CLASS)),
    ],
)
def test_router_rejects_settings_that_change_the_meaning_of_indexes(changed: api.Settings) -> None:
    fixture = RouterFixture()
    with pytest.raises(ValueError, match="settings: "):
        fixture.router.adopt(changed)
    assert fixture.router.settings is SETTINGS


@given(st.lists(st.lists(st.sampled_from("abcdef"), unique=True, min_size=1), min_size=1, max_size=8))
def test_names_keep_their_indexes_through_any_changes(versions: list[list[str]]) -> None:
    def settings(names: list[str], worth: float) -> api.Settings:
        tenants = tuple(api.Tenant(name, worth) for name in names)
        return replace(SETTINGS, classes=tuple(replace(CLASS, name=n, worth=worth) for n in names), tenants=tenants)

    positions = StablePositions(settings(versions[0], 1.0))
    index_of: dict[str, int] = {}
    for n, names in enumerate(versions):
        changed = settings(names, float(n + 1))
        before = positions.settings
        assert positions.removed_names(changed) == [f"{what} {c.name}" for what, entries in (("class", before.classes),
                                     ("tenant", before.tenants)) for c in entries if c.name not in names]  # fmt: skip
        positions.settings = positions.arrange(changed)
        for name in names:
            assert (
                positions.class_index(name)
                == positions.tenant_index(name)
                == index_of.setdefault(name, positions.class_index(name))
            )
            assert positions.settings.classes[index_of[name]].worth == n + 1
    with pytest.raises(KeyError):
        positions.class_index("never")


def test_running_request_completes_after_its_class_was_removed() -> None:
    with harness(1, 1, answer_least=40, answer_most=40, token_ms=15.0) as made:
        base = raw_settings(made.engines.list_url)
        two = [base["classes"][0], {**base["classes"][0], "name": "second"}]
        rules = [{"to": "second", "header": {"name": "X-Class", "value": "second"}}]
        made.node.reload(parse(json.dumps({**base, "classes": two, "rules": rules})))
        client = Client(made.port)
        client.send_request(chat(max_tokens=40), headers="X-Class: second\r\n")
        assert wait_for(lambda: len(made.seen("request", job="write")) == 1)
        made.node.reload(parse(json.dumps(base)))
        dropped = [fields["dropped"] for text, fields in made.log.lines if text == "settings changed"]
        assert dropped == [[], ["class second"]]
        head, body = client.answer()
        assert head.status == 200 and body and wait_for(lambda: not made.node.core.open_requests)
        assert client.call(chat(max_tokens=2))[0].status == 200
        client.close()


def test_capture_continues_over_a_change_of_settings_and_replays(tmp_path: Path) -> None:
    """A stream is running; later requests are decided with the changed settings, also in the replay."""
    with harness(2, 2, settings={"capture": {"dir": str(tmp_path), "flush_ms": 20}}, token_ms=10.0) as made:
        client, stream = Client(made.port), Client(made.port)
        stream.send_request(chat(max_tokens=12))
        assert wait_for(lambda: len(made.seen("request", job="write")) == 1)
        base = {**raw_settings(made.engines.list_url), "capture": {"dir": str(tmp_path), "flush_ms": 20}}
        for n in range(12):
            client.call(chat(f"{n}", max_tokens=2, prompt_cache_key=f"s{n % 3}"))
            if n in (3, 7):
                classes = [{**base["classes"][0], "worth": float(n)}]
                made.node.reload(parse(json.dumps({**base, "classes": classes, "routing": {"max_attempts": n}})))
        assert stream.answer()[0].status == 200
        client.close()
        dropped = [fields["dropped"] for text, fields in made.log.lines if text == "settings changed"]
        assert dropped == [[], []]
        router = made.node.core.router
        assert isinstance(router, Router) and router.settings.max_attempts == 7
    history = HistoryReader(sorted(tmp_path.glob("*.cap")))
    result = replay_numbered(history.records(0))
    assert result.matches and result.states == 2 and result.routers == 1 and not result.missing and not result.skipped
    assert result.calls > 50 and result.router.settings.max_attempts == 7 and not history.damage


def test_client_that_has_just_connected_is_answered_while_the_node_drains() -> None:
    """A node that was restarted closed the connection of a client whose request it had not read yet."""
    with harness(1, 1) as made:
        client = Client(made.port)
        assert wait_for(lambda: made.node.host.connections == 1)
        ended: list[bool] = []

        def drain_and_stop() -> None:
            ended.append(made.node.drain(5.0))
            made.node.stop()

        drain = threading.Thread(target=drain_and_stop)
        drain.start()
        time.sleep(0.5)  # the acceptor thread has ended by then
        head, _ = client.call(chat(max_tokens=2))
        assert head.status == 200 and head.headers.get("connection") == "close"
        drain.join(5.0)
        assert ended == [True]
        client.close()


def prefix_hits(change: str) -> int:
    """Number of second turns, of 12 sessions, that go to the prefill engine of the first turn."""
    with harness(4, 2) as made:
        client = Client(made.port)
        firsts = [f"session {n} " + "words " * 300 for n in range(12)]
        for n, text in enumerate(firsts):
            client.call(chat(text, max_tokens=2, prompt_cache_key=f"s{n}"))
        if change:
            base = raw_settings(made.engines.list_url)
            classes = [{**base["classes"][0], "worth": 2.0}] if change == "values" else [
                {**base["classes"][0], "name": "new"}, *base["classes"][::-1]]  # fmt: skip
            if change == "fresh":
                base["hash_key"] = "another"
            made.node.reload(parse(json.dumps({**base, "classes": classes})))
        before = len(made.seen("request", job="read"))
        for n, text in enumerate(firsts):
            body = chat(text, max_tokens=2, prompt_cache_key=f"s{n}")
            body["messages"] += [{"role": "assistant", "content": "a"}, {"role": "user", "content": "and now?"}]
            client.call(body)
        client.close()
        assert wait_for(lambda: len(made.seen("request", job="read")) == before + 12)
        reads = made.seen("request", job="read")
        first_of = {n: r["engine"] for n, r in enumerate(reads[:12])}
        same: int = sum(r["engine"] == first_of[n] for n, r in enumerate(reads[before : before + 12]))
        changed = [fields for text, fields in made.log.lines if text == "settings changed"]
        assert bool(changed) is bool(change)
        if changed:
            assert changed[0]["dropped"] == (["the router's tables"] if change == "fresh" else [])
        return same


def test_change_of_settings_keeps_the_prefix_tables() -> None:
    """Also if the order of classes changes; a change that requires a new router is logged."""
    assert [prefix_hits(change) for change in ("", "values", "order")] == [12, 12, 12]
    prefix_hits("fresh")
