"""A node's account: decisions under their versions, spans in a chain, requests found by filters."""

from __future__ import annotations

import json
import random
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from stonetrack.audit import filter as prints
from stonetrack.audit import queries
from stonetrack.audit.audit_log import QUIET, ActingVersion, AuditLog, Span
from stonetrack.audit.collection_schedule import CollectionSchedule
from stonetrack.audit.hash_chain import START, ChainDefect, encode_line, read_chain
from stonetrack.audit.log_writer import LogWriter, log_files, read_log
from stonetrack.audit.page import gaps, write_page
from stonetrack.audit.store import Store
from stonetrack.cli.main import main
from stonetrack.fleet.processes import address_of, program
from tests.harness import wait_for

SECOND = 1_000_000_000
ONE, TWO = ActingVersion("s1", "h", 1), ActingVersion("s1", "h", 2)


def test_each_decision_is_counted_under_the_version_of_its_moment() -> None:
    account = AuditLog("b", every=60 * SECOND)
    account.switch_version(0, ONE)
    account.record(1, ONE, "q1", ["Send"])
    account.switch_version(2, TWO)
    account.record(3, ONE, "q1", ["Send"])  # the old router still decides for its own
    account.record(4, TWO, "q2", ["Send", "HoldPlace"])
    account.record(5, TWO, "", [])
    assert account.due(QUIET) == []
    (old,) = account.due(3 + QUIET)
    assert old.acting == ONE and old.counts == {"Send": 2} and (old.first, old.last) == ("q1", "q1")
    assert old.may_contain("q1") and not old.may_contain("q2")
    (new,) = account.due(60 * SECOND + 2)
    assert new.acting == TWO and new.counts == {"Send": 1, "HoldPlace": 1} and new.boot == "b"
    account.record(70 * SECOND, TWO, "q3", ["Refuse"])
    (rest,) = account.due(70 * SECOND, all_of=True)
    assert rest.began == 60 * SECOND + 2 and rest.may_contain("q3") and account.due(99 * SECOND, all_of=True) == []


def test_a_span_is_closed_before_it_holds_too_much() -> None:
    account = AuditLog("b", every=3_600 * SECOND, most=100)
    account.switch_version(0, ONE)
    closed = []
    for n in range(1_000):
        account.record(n, ONE, f"q{n}", ["Send"])
        closed += account.due(n)
    assert len(closed) == 10 and all(span.counts["Send"] == 100 for span in closed)


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5 * SECOND), st.booleans()), max_size=60))
def test_no_decision_is_lost_or_counted_twice(story: list[tuple[int, int, bool]]) -> None:
    account, now, closed, noted = AuditLog("b", every=7 * SECOND, most=5), 0, [], 0
    versions = [ActingVersion("s", "h", n) for n in range(4)]
    account.switch_version(0, versions[0])
    for n, (which, wait, turn) in enumerate(story):
        now += wait
        if turn:
            account.switch_version(now, versions[which])
        account.record(now, versions[which], f"q{n}", ["Send"])
        noted += 1
        closed += account.due(now)
    closed += account.due(now, all_of=True)
    assert sum(span.counts.get("Send", 0) for span in closed) == noted
    for n, (which, _, _) in enumerate(story):
        assert any(span.acting == versions[which] and span.may_contain(f"q{n}") for span in closed)


# The filter.


@pytest.mark.parametrize("count", [1, 10, 1_000, 20_000])
def test_a_filter_misses_nothing_and_takes_few_for_there_that_are_not(count: int) -> None:
    names = [f"chatcmpl-{random.Random(n).getrandbits(96):024x}" for n in range(count)]
    data = prints.made(names)
    assert all(prints.may_contain(data, name) for name in names)
    wrong = sum(prints.may_contain(data, f"other-{n}") for n in range(5_000))
    assert wrong == 0 and len(data) <= count * 4 + 1
    assert not prints.may_contain(b"", "q") and prints.made([]) == b""
    assert prints.may_contain(b"\x07" + bytes(10), "q")  # a form of before rules nothing out


# The chain.


def spans(count: int, boot: str = "b") -> list[Span]:
    return [
        Span(boot, n, n + 1, ActingVersion(version=n), {"Send": n} if n else {}, f"q{n}", f"q{n}") for n in range(count)
    ]


def chained(items: list[Span], number: int = 0, last: str = START) -> list[bytes]:
    made = []
    for span in items:
        raw, last = encode_line(number, last, span)
        made.append(raw)
        number += 1
    return made


def test_a_whole_chain_reads_as_it_was_written_and_goes_on_over_restarts() -> None:
    lines = chained(spans(5))
    first = read_chain(lines)
    assert first.intact and not first.findings and list(first.spans) == spans(5) and first.number == 5
    more = chained(spans(3, "after a restart"), first.number, first.last)
    assert read_chain([*lines, *more]).findings == () and read_chain([]).last == START


@pytest.mark.parametrize("at", range(8))
def test_a_line_that_is_missing_changed_or_moved_shows(at: int) -> None:
    lines = chained(spans(8))
    without = read_chain([*lines[:at], *lines[at + 1 :]])
    if at in (0, 7):
        assert without.intact and without.begins == (at == 0)  # the ends can't show it: retention takes the oldest
    else:
        assert [(f.line, f.wrong) for f in without.findings] == [(at + 1, ChainDefect.GAP)]
    changed = read_chain([*lines[:at], lines[at].replace(b'"boot":"b"', b'"boot":"x"'), *lines[at + 1 :]])
    assert changed.findings[0].wrong is ChainDefect.CHANGED and not changed.intact
    if at < 7:
        moved = read_chain([*lines[:at], lines[at + 1], lines[at], *lines[at + 2 :]])
        assert not moved.intact


def test_a_torn_end_a_lost_disk_and_an_old_copy_are_told_apart() -> None:
    lines = chained(spans(4))
    torn = read_chain([*lines, b"abc {"])
    assert [f.wrong for f in torn.findings] == [ChainDefect.TORN] and torn.intact and torn.number == 4
    lost = read_chain([*lines, *chained(spans(2, "new"))])
    assert [(f.line, f.wrong) for f in lost.findings] == [(5, ChainDefect.RESTART)]
    back = read_chain(lines[:2])
    twice = read_chain([*lines, *chained(spans(2, "old copy"), back.number, back.last)])
    assert [(f.line, f.wrong) for f in twice.findings] == [(5, ChainDefect.BACK)]


# On disk.


def keeper(folder: Path, boot: str, **more: int) -> tuple[LogWriter, list[str]]:
    said: list[str] = []
    clock = iter(range(0, 1 << 60, SECOND))
    bounds = {"every": SECOND, "file_bytes": 4_096, "most_files": 3, **more}
    return LogWriter(folder, "n1-0", boot, lambda: next(clock), log=said.append, **bounds), said


def test_an_account_goes_on_over_restarts_in_files_of_bounded_number(tmp_path: Path) -> None:
    for boot in ("a", "b", "c"):
        made, said = keeper(tmp_path, boot)
        made.switch_version(0, ONE)
        for n in range(40):
            made.record(n, ONE, f"{boot}{n}", ["Send"])
            made._write()
        made.stop()
        assert said == []
    found = read_log(tmp_path, "n1-0")
    assert len(log_files(tmp_path, "n1-0")) == 3 and sum(p.stat().st_size for p in tmp_path.iterdir()) < 3 * 4_500
    assert found.intact and found.number > 100 and any(span.may_contain("c39") for span in found.spans)
    result = CliRunner().invoke(main, ["audit", "verify", str(tmp_path)])
    assert result.exit_code == 0 and "complete: 1 accounts" in result.output
    for arguments, said_of in ((["request", "c39"], "list 1 of h"), (["request", "nobody"], "in no span"),
                               (["node", "n1-0"], "Send 1"), (["who", "--version", "1"], "n1-0: ")):  # fmt: skip
        assert said_of in CliRunner().invoke(main, ["audit", *arguments, str(tmp_path)]).output
    path = log_files(tmp_path, "n1-0")[0]
    path.write_bytes(path.read_bytes().replace(b'"Send":1', b'"Send":9', 1))
    result = CliRunner().invoke(main, ["audit", "verify", str(tmp_path)])
    assert result.exit_code == 1 and "not what was written" in result.output


def test_a_full_disk_is_said_and_nothing_written_twice(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    made, said = keeper(tmp_path, "a", file_bytes=1 << 20)
    made.switch_version(0, ONE)
    made.record(0, ONE, "q1", ["Send"])

    def full(fd: int) -> None:
        raise OSError("no space left on device")

    with monkeypatch.context() as patched:
        patched.setattr("stonetrack.audit.log_writer.os.fsync", full)
        made._write()
        made._write()
    assert made.last_error and len(said) == 1 and "no space left" in said[0]
    made._write()
    made.stop()
    found = read_log(tmp_path, "n1-0")
    assert found.findings == () and not made.last_error
    assert sum(span.counts.get("Send", 0) for span in found.spans) == 1


def damaged(write: bytes) -> Iterator[tuple[str, bytes]]:
    """What may be on disk of a write that was not synced when the power went: any part, in any order of blocks."""
    for cut in range(len(write) + 1):
        yield f"torn at {cut}", write[:cut]
    for block in (16, 64, 200):
        for lost in range(0, len(write), block):
            holed = write[:lost] + bytes(min(block, len(write) - lost)) + write[lost + block :]
            yield f"{block} at {lost} never came", holed
            yield f"{block} at {lost} alone came", bytes(lost) + write[lost : lost + block]


def test_whatever_is_left_of_a_write_no_span_is_made_up_and_none_that_was_synced_is_missing(tmp_path: Path) -> None:
    """Each write, torn and reordered; the next process goes on after it, and the reader says what is wrong."""
    first, said = keeper(tmp_path / "whole", "a", file_bytes=1 << 20)
    sizes = [0]
    for n in range(4):
        first.switch_version(n, ONE)
        first.record(n, ONE, f"q{n}", ["Send"])
        first._write(all_of=True)
        sizes.append(log_files(tmp_path / "whole", "n1-0")[0].stat().st_size)
    data = log_files(tmp_path / "whole", "n1-0")[0].read_bytes()
    true = read_log(tmp_path / "whole", "n1-0").spans
    assert len(set(sizes)) == 5 and not said
    for synced, (start, end) in enumerate(zip(sizes, sizes[1:], strict=False)):
        for n, (what, left) in enumerate(damaged(data[start:end])):
            folder = tmp_path / f"{synced}-{n}"
            folder.mkdir()
            (folder / "n1-0-0.account").write_bytes(data[:start] + left)
            later, _ = keeper(folder, "b")
            later.switch_version(9, TWO)
            later.record(9, TWO, "after", ["Send"])
            later._write(all_of=True)
            found = read_log(folder, "n1-0")
            whole = left == data[start:end]
            assert found.spans[:-1] == true[: synced + whole], (synced, what)
            assert found.spans[-1].boot == "b" and found.spans[-1].may_contain("after"), (synced, what)
            assert bool(found.findings) == (not whole and bool(left)), (synced, what)


# Collecting.


@pytest.mark.parametrize("nodes,per_second", [(40, 10.0), (200, 50.0), (5_000, 100.0)])
def test_nodes_are_asked_evenly_once_a_period_and_never_faster_than_the_budget(nodes: int, per_second: float) -> None:
    every = 60 * SECOND
    rounds, now, asked = CollectionSchedule([f"n{n}" for n in range(nodes)], every, per_second, 0, seed=3), 0, []
    while now < 4 * every and (question := rounds.next()) is not None:
        now = max(now, question.at)
        asked.append((now, question.node))
        rounds.ended(question.node, now + 10_000_000, more=False)
    assert min(b[0] - a[0] for a, b in zip(asked, asked[1:], strict=False)) >= SECOND / per_second - 1
    for node in ("n0", f"n{nodes - 1}"):
        mine = [at for at, name in asked if name == node]
        assert len(mine) in (3, 4, 5) and max(b - a for a, b in zip(mine, mine[1:], strict=False)) < 1.3 * every
    seconds = [sum(at // SECOND == second for at, _ in asked) for second in range(20, 200)]
    assert max(seconds) <= per_second + 1


def test_a_node_with_more_to_tell_is_asked_again_at_once_and_a_stopped_collector_does_not_catch_up() -> None:
    rounds = CollectionSchedule(["a"], 10 * SECOND, 100.0, 0)
    first = rounds.next()
    assert first is not None and rounds.next() is None
    rounds.ended("a", first.at + 5, more=True)
    again = rounds.next()
    assert again is not None and again.at - first.at <= SECOND // 50
    rounds.ended("a", first.at + 95 * SECOND, more=False)
    late = rounds.next()
    assert late is not None and first.at + 95 * SECOND <= late.at <= first.at + 110 * SECOND


def test_what_is_collected_goes_on_where_it_was_and_says_what_it_lacks(tmp_path: Path) -> None:
    lines = chained(spans(20))
    store = Store(tmp_path)
    assert store.add("h:1/n", lines[:7], 1.0).next == 7
    store.failed("h:1/n", "no answer")
    assert store.add("h:1/n", [], 2.0).trouble == "" and store.add("h:1/n", lines[7:15], 3.0).next == 15
    assert store.account("h:1/n") == read_chain(lines[:15])
    assert store.add("h:1/n", lines[16:], 4.0).findings == [(16, "GAP")]
    store.close()
    again = Store(tmp_path, readonly=True)
    found = again.account("h:1/n")
    assert not found.intact and len(found.spans) == 19 and again.nodes()["h:1/n"].until == 20
    again.close()
    accounts = {"n": found, "m": read_chain(lines[:3])}
    assert "n: lines are missing" in str(queries.known(accounts))
    assert queries.known({"m": read_chain(lines)}).lacking == {}
    assert "nothing was told of the time since" in str(queries.known({"m": read_chain(lines[:3])}, until=10))


def test_questions_are_answered_from_spans() -> None:
    accounts = {"n": read_chain(chained(spans(6))), "m": read_chain(chained(spans(3)))}
    assert set(queries.who(accounts, 4)) == {"n"} and set(queries.who(accounts, 2)) == {"n", "m"}
    assert queries.who(accounts, 0) == {}  # nothing was decided
    assert [s.acting.version for s in queries.at(accounts, 2)["n"]] == [1, 2]
    assert {n: a.version for n, a in queries.newest(accounts).items()} == {"n": 5, "m": 2}
    assert {n: s.acting.version for n, s in queries.stale_nodes(accounts, 5, 2).items()} == {"n": 4, "m": 2}
    assert queries.difference(accounts, 4, 1) == {"Send": (1.0, 1.0)}


def test_the_page_hatches_what_was_not_told_and_names_what_is_wrong(tmp_path: Path) -> None:
    late = [Span("b", n * SECOND, (n + 1) * SECOND, ONE if n < 6 else TWO, {"Send": n}, "", "") for n in (0, 1, 5, 6)]
    assert gaps(tuple(late), 0, 10 * SECOND) == [(2 * SECOND, 5 * SECOND), (7 * SECOND, 10 * SECOND)]
    accounts = {"n1-0": read_chain(chained(late)), "n2-0": read_chain([*chained(late)[:1], *chained(late)[2:]])}
    write_page(accounts, tmp_path / "page.html")
    text = (tmp_path / "page.html").read_text()
    assert "not told" in text and "lines are missing before it" in text and "n2-0 !" in text and "list 2" in text
    assert "not complete: 1 of 2" in text


def test_a_collector_is_killed_a_node_is_killed_and_no_line_is_missing(tmp_path: Path) -> None:
    """Real processes: a node whose account grows, a collector that asks it over its port."""
    lists, node = tmp_path / "engines.json", tmp_path / "node.json"
    lists.write_text(json.dumps({"version": 1, "engines": []}))
    node.write_text(json.dumps({
        "models": [{"name": "demo"}], "classes": [{"name": "chat", "first_token_ms": 500, "deadline_ms": 1_000}],
        "kinds": [{"name": "any", "role": "mixed"}], "tenants": [{"name": "t"}], "any_key": True, "name": "n7",
        "source": {"file": str(lists), "poll_ms": 20}, "listen": {"port": 0}, "state_dir": str(tmp_path / "state"),
        "audit": {"dir": "audit", "every_ms": 100}}))  # fmt: skip

    def held() -> int:
        store = Store(tmp_path / "store", readonly=True)
        stands = store.nodes()
        store.close()
        return sum(s.count for s in stands.values())

    counts: list[int] = []
    for round_ in range(2):
        with program("serve", str(node), "--log", str(tmp_path / "log")) as running:
            host, port = address_of(running.url)
            collect = tmp_path / "collect.json"
            collect.write_text(json.dumps({"store": str(tmp_path / "store"), "nodes": [f"{host}:{port}/n7-0"],
                                           "every_s": 0.2}))  # fmt: skip
            for _ in range(2):
                with program("audit", "collect", str(collect)) as collector:
                    before = held() if round_ or counts else 0
                    assert wait_for(lambda before=before: held() > before)  # type: ignore[misc]
                    collector.running.send_signal(signal.SIGKILL)
                counts.append(held())
            lists.write_text(json.dumps({"version": 2 + round_, "engines": []}))
            time.sleep(0.3)
            running.running.send_signal(signal.SIGKILL)
    assert counts == sorted(counts)
    result = CliRunner().invoke(main, ["audit", "verify", str(tmp_path / "state" / "audit")])
    assert result.exit_code == 0, result.output
    said = {}
    for arguments in (["verify"], ["who", "--version", "1"], ["at", str(time.time())], ["export"], ["diff", "1", "2"],
                      ["stale-nodes", "--version", "1"]):  # fmt: skip
        result = CliRunner().invoke(main, ["audit", *arguments, str(tmp_path / "store")])
        assert result.exit_code == 0, result.output
        said[arguments[0]] = result.output
    renamed = CliRunner().invoke(main, ["audit", "stragglers", "--version", "1", str(tmp_path / "store")])
    assert renamed.exit_code == 2 and "stonetrack audit stale-nodes" in renamed.output
    assert "complete: 1 accounts" in said["verify"] and "not complete" in said["at"]
    assert json.loads(said["export"].splitlines()[0])["acting"]["program"]
