"""Audit logs: decisions counted by version, spans in a hash chain, request filters, collection and queries."""

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

from stonetrack.audit import filter as request_filter
from stonetrack.audit import queries
from stonetrack.audit.audit_log import IDLE_CLOSE_NS, ActingVersion, AuditLog, Span
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


def test_decision_is_counted_under_its_acting_version() -> None:
    log = AuditLog("b", max_duration=60 * SECOND)
    log.switch_version(0, ONE)
    log.record(1, ONE, "q1", ["Send"])
    log.switch_version(2, TWO)
    log.record(3, ONE, "q1", ["Send"])  # the old router still decides for its own requests
    log.record(4, TWO, "q2", ["Send", "HoldPlace"])
    log.record(5, TWO, "", [])
    assert log.close_due(IDLE_CLOSE_NS) == []
    (old,) = log.close_due(3 + IDLE_CLOSE_NS)
    assert old.acting == ONE and old.counts == {"Send": 2} and (old.first, old.last) == ("q1", "q1")
    assert old.may_contain("q1") and not old.may_contain("q2")
    (new,) = log.close_due(60 * SECOND + 2)
    assert new.acting == TWO and new.counts == {"Send": 1, "HoldPlace": 1} and new.boot == "b"
    log.record(70 * SECOND, TWO, "q3", ["Refuse"])
    (rest,) = log.close_due(70 * SECOND, close_all=True)
    assert rest.began == 60 * SECOND + 2 and rest.may_contain("q3") and log.close_due(99 * SECOND, close_all=True) == []


def test_span_is_closed_at_its_maximum_of_requests() -> None:
    log = AuditLog("b", max_duration=3_600 * SECOND, max_requests=100)
    log.switch_version(0, ONE)
    closed = []
    for n in range(1_000):
        log.record(n, ONE, f"q{n}", ["Send"])
        closed += log.close_due(n)
    assert len(closed) == 10 and all(span.counts["Send"] == 100 for span in closed)


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5 * SECOND), st.booleans()), max_size=60))
def test_no_decision_is_lost_or_counted_twice(events: list[tuple[int, int, bool]]) -> None:
    log, now, closed, recorded = AuditLog("b", max_duration=7 * SECOND, max_requests=5), 0, [], 0
    versions = [ActingVersion("s", "h", n) for n in range(4)]
    log.switch_version(0, versions[0])
    for n, (which, wait, switch) in enumerate(events):
        now += wait
        if switch:
            log.switch_version(now, versions[which])
        log.record(now, versions[which], f"q{n}", ["Send"])
        recorded += 1
        closed += log.close_due(now)
    closed += log.close_due(now, close_all=True)
    assert sum(span.counts.get("Send", 0) for span in closed) == recorded
    for n, (which, _, _) in enumerate(events):
        assert any(span.acting == versions[which] and span.may_contain(f"q{n}") for span in closed)


# The filter.


@pytest.mark.parametrize("count", [1, 10, 1_000, 20_000])
def test_filter_has_no_false_negatives_and_few_false_positives(count: int) -> None:
    names = [f"chatcmpl-{random.Random(n).getrandbits(96):024x}" for n in range(count)]
    data = request_filter.encode(names)
    assert all(request_filter.may_contain(data, name) for name in names)
    false_positives = sum(request_filter.may_contain(data, f"other-{n}") for n in range(5_000))
    assert false_positives == 0 and len(data) <= count * 4 + 1
    assert not request_filter.may_contain(b"", "q") and request_filter.encode([]) == b""
    assert request_filter.may_contain(b"\x07" + bytes(10), "q")  # the earlier format rules nothing out


# The hash chain.


def spans(count: int, boot: str = "b") -> list[Span]:
    return [
        Span(boot, n, n + 1, ActingVersion(version=n), {"Send": n} if n else {}, f"q{n}", f"q{n}") for n in range(count)
    ]


def chained(items: list[Span], number: int = 0, last: str = START) -> list[bytes]:
    lines = []
    for span in items:
        raw, last = encode_line(number, last, span)
        lines.append(raw)
        number += 1
    return lines


def test_intact_chain_reads_as_written_and_continues_over_restarts() -> None:
    lines = chained(spans(5))
    first = read_chain(lines)
    assert first.intact and not first.findings and list(first.spans) == spans(5) and first.number == 5
    more = chained(spans(3, "after a restart"), first.number, first.last)
    assert read_chain([*lines, *more]).findings == () and read_chain([]).last == START


@pytest.mark.parametrize("at", range(8))
def test_missing_changed_or_moved_line_is_found(at: int) -> None:
    lines = chained(spans(8))
    without = read_chain([*lines[:at], *lines[at + 1 :]])
    if at in (0, 7):
        assert without.intact and without.begins == (
            at == 0
        )  # not visible at the ends, where retention removes the oldest
    else:
        assert [(f.line, f.defect) for f in without.findings] == [(at + 1, ChainDefect.GAP)]
    changed = read_chain([*lines[:at], lines[at].replace(b'"boot":"b"', b'"boot":"x"'), *lines[at + 1 :]])
    assert changed.findings[0].defect is ChainDefect.CHANGED and not changed.intact
    if at < 7:
        moved = read_chain([*lines[:at], lines[at + 1], lines[at], *lines[at + 2 :]])
        assert not moved.intact


def test_torn_end_lost_disk_and_restored_copy_are_distinguished() -> None:
    lines = chained(spans(4))
    torn = read_chain([*lines, b"abc {"])
    assert [f.defect for f in torn.findings] == [ChainDefect.TORN] and torn.intact and torn.number == 4
    lost = read_chain([*lines, *chained(spans(2, "new"))])
    assert [(f.line, f.defect) for f in lost.findings] == [(5, ChainDefect.RESTART)]
    copy = read_chain(lines[:2])
    restored = read_chain([*lines, *chained(spans(2, "old copy"), copy.number, copy.last)])
    assert [(f.line, f.defect) for f in restored.findings] == [(5, ChainDefect.BACK)]


# On disk.


def writer(folder: Path, boot: str, **more: int) -> tuple[LogWriter, list[str]]:
    logged: list[str] = []
    clock = iter(range(0, 1 << 60, SECOND))
    bounds = {"max_duration": SECOND, "max_file_bytes": 4_096, "max_files": 3, **more}
    return LogWriter(folder, "n1-0", boot, lambda: next(clock), log=logged.append, **bounds), logged


def test_log_continues_over_restarts_in_a_bounded_number_of_files(tmp_path: Path) -> None:
    for boot in ("a", "b", "c"):
        log_writer, logged = writer(tmp_path, boot)
        log_writer.switch_version(0, ONE)
        for n in range(40):
            log_writer.record(n, ONE, f"{boot}{n}", ["Send"])
            log_writer._write()
        log_writer.stop()
        assert logged == []
    found = read_log(tmp_path, "n1-0")
    assert len(log_files(tmp_path, "n1-0")) == 3 and sum(p.stat().st_size for p in tmp_path.iterdir()) < 3 * 4_500
    assert found.intact and found.number > 100 and any(span.may_contain("c39") for span in found.spans)
    result = CliRunner().invoke(main, ["audit", "verify", str(tmp_path)])
    assert result.exit_code == 0 and "complete: 1 audit logs" in result.output
    for arguments, expected in ((["request", "c39"], "list 1 of h"), (["request", "nobody"], "in no span"),
                               (["node", "n1-0"], "Send 1"), (["who", "--version", "1"], "n1-0: ")):  # fmt: skip
        assert expected in CliRunner().invoke(main, ["audit", *arguments, str(tmp_path)]).output
    path = log_files(tmp_path, "n1-0")[0]
    path.write_bytes(path.read_bytes().replace(b'"Send":1', b'"Send":9', 1))
    result = CliRunner().invoke(main, ["audit", "verify", str(tmp_path)])
    assert result.exit_code == 1 and "not what was written" in result.output


def test_full_disk_is_logged_and_no_line_is_written_twice(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    log_writer, logged = writer(tmp_path, "a", max_file_bytes=1 << 20)
    log_writer.switch_version(0, ONE)
    log_writer.record(0, ONE, "q1", ["Send"])

    def full(fd: int) -> None:
        raise OSError("no space left on device")

    with monkeypatch.context() as patched:
        patched.setattr("stonetrack.audit.log_writer.os.fsync", full)
        log_writer._write()
        log_writer._write()
    assert log_writer.last_error and len(logged) == 1 and "no space left" in logged[0]
    log_writer._write()
    log_writer.stop()
    found = read_log(tmp_path, "n1-0")
    assert found.findings == () and not log_writer.last_error
    assert sum(span.counts.get("Send", 0) for span in found.spans) == 1


def damaged(write: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield what may be on disk of an unsynced write after a power failure: any part of it, in any order of blocks."""
    for cut in range(len(write) + 1):
        yield f"torn at {cut}", write[:cut]
    for block in (16, 64, 200):
        for lost in range(0, len(write), block):
            holed = write[:lost] + bytes(min(block, len(write) - lost)) + write[lost + block :]
            yield f"{block} at {lost} missing", holed
            yield f"only {block} at {lost} present", bytes(lost) + write[lost : lost + block]


def test_torn_write_invents_no_span_and_loses_no_synced_one(tmp_path: Path) -> None:
    """Each write is torn and reordered; the next process continues after it, and the reader reports the defect."""
    first, logged = writer(tmp_path / "whole", "a", max_file_bytes=1 << 20)
    sizes = [0]
    for n in range(4):
        first.switch_version(n, ONE)
        first.record(n, ONE, f"q{n}", ["Send"])
        first._write(close_all=True)
        sizes.append(log_files(tmp_path / "whole", "n1-0")[0].stat().st_size)
    data = log_files(tmp_path / "whole", "n1-0")[0].read_bytes()
    written = read_log(tmp_path / "whole", "n1-0").spans
    assert len(set(sizes)) == 5 and not logged
    for synced, (start, end) in enumerate(zip(sizes, sizes[1:], strict=False)):
        for n, (damage, left) in enumerate(damaged(data[start:end])):
            folder = tmp_path / f"{synced}-{n}"
            folder.mkdir()
            (folder / "n1-0-0.account").write_bytes(data[:start] + left)
            later, _ = writer(folder, "b")
            later.switch_version(9, TWO)
            later.record(9, TWO, "after", ["Send"])
            later._write(close_all=True)
            found = read_log(folder, "n1-0")
            whole = left == data[start:end]
            assert found.spans[:-1] == written[: synced + whole], (synced, damage)
            assert found.spans[-1].boot == "b" and found.spans[-1].may_contain("after"), (synced, damage)
            assert bool(found.findings) == (not whole and bool(left)), (synced, damage)


# Collection.


@pytest.mark.parametrize("nodes,per_second", [(40, 10.0), (200, 50.0), (5_000, 100.0)])
def test_nodes_are_polled_evenly_once_a_period_within_the_budget(nodes: int, per_second: float) -> None:
    period = 60 * SECOND
    schedule, now, polls = CollectionSchedule([f"n{n}" for n in range(nodes)], period, per_second, 0, seed=3), 0, []
    while now < 4 * period and (poll := schedule.next()) is not None:
        now = max(now, poll.at)
        polls.append((now, poll.node))
        schedule.ended(poll.node, now + 10_000_000, more=False)
    assert min(b[0] - a[0] for a, b in zip(polls, polls[1:], strict=False)) >= SECOND / per_second - 1
    for node in ("n0", f"n{nodes - 1}"):
        times = [at for at, name in polls if name == node]
        assert len(times) in (3, 4, 5) and max(b - a for a, b in zip(times, times[1:], strict=False)) < 1.3 * period
    seconds = [sum(at // SECOND == second for at, _ in polls) for second in range(20, 200)]
    assert max(seconds) <= per_second + 1


def test_node_with_more_lines_is_polled_again_at_once_and_missed_polls_are_skipped() -> None:
    schedule = CollectionSchedule(["a"], 10 * SECOND, 100.0, 0)
    first = schedule.next()
    assert first is not None and schedule.next() is None
    schedule.ended("a", first.at + 5, more=True)
    again = schedule.next()
    assert again is not None and again.at - first.at <= SECOND // 50
    schedule.ended("a", first.at + 95 * SECOND, more=False)
    late = schedule.next()
    assert late is not None and first.at + 95 * SECOND <= late.at <= first.at + 110 * SECOND


def test_collection_continues_at_its_position_and_reports_gaps(tmp_path: Path) -> None:
    lines = chained(spans(20))
    store = Store(tmp_path)
    assert store.add("h:1/n", lines[:7], 1.0).next == 7
    store.failed("h:1/n", "no answer")
    assert store.add("h:1/n", [], 2.0).trouble == "" and store.add("h:1/n", lines[7:15], 3.0).next == 15
    assert store.read_log("h:1/n") == read_chain(lines[:15])
    assert store.add("h:1/n", lines[16:], 4.0).findings == [(16, "GAP")]
    store.close()
    again = Store(tmp_path, readonly=True)
    found = again.read_log("h:1/n")
    assert not found.intact and len(found.spans) == 19 and again.nodes()["h:1/n"].until == 20
    again.close()
    logs = {"n": found, "m": read_chain(lines[:3])}
    assert "n: lines are missing" in str(queries.coverage(logs))
    assert queries.coverage({"m": read_chain(lines)}).lacking == {}
    assert "no span covers the time since" in str(queries.coverage({"m": read_chain(lines[:3])}, until=10))


def test_queries_are_answered_from_spans() -> None:
    logs = {"n": read_chain(chained(spans(6))), "m": read_chain(chained(spans(3)))}
    assert set(queries.spans_of_version(logs, 4)) == {"n"} and set(queries.spans_of_version(logs, 2)) == {"n", "m"}
    assert queries.spans_of_version(logs, 0) == {}  # no decisions
    assert [s.acting.version for s in queries.spans_at(logs, 2)["n"]] == [1, 2]
    assert {n: a.version for n, a in queries.latest_versions(logs).items()} == {"n": 5, "m": 2}
    assert {n: s.acting.version for n, s in queries.stale_nodes(logs, 5, 2).items()} == {"n": 4, "m": 2}
    assert queries.action_shares(logs, 4, 1) == {"Send": (1.0, 1.0)}


def test_page_hatches_gaps_and_lists_defects(tmp_path: Path) -> None:
    spans_with_gaps = [
        Span("b", n * SECOND, (n + 1) * SECOND, ONE if n < 6 else TWO, {"Send": n}, "", "") for n in (0, 1, 5, 6)
    ]
    assert gaps(tuple(spans_with_gaps), 0, 10 * SECOND) == [(2 * SECOND, 5 * SECOND), (7 * SECOND, 10 * SECOND)]
    logs = {
        "n1-0": read_chain(chained(spans_with_gaps)),
        "n2-0": read_chain([*chained(spans_with_gaps)[:1], *chained(spans_with_gaps)[2:]]),
    }
    write_page(logs, tmp_path / "page.html")
    text = (tmp_path / "page.html").read_text()
    assert "no data" in text and "lines are missing before it" in text and "n2-0 !" in text and "list 2" in text
    assert "not complete: 1 of 2" in text


def test_no_line_is_lost_when_collector_and_node_are_killed(tmp_path: Path) -> None:
    """Real processes: a node whose audit log grows and a collector that polls it over its port."""
    lists, node = tmp_path / "engines.json", tmp_path / "node.json"
    lists.write_text(json.dumps({"version": 1, "engines": []}))
    node.write_text(json.dumps({
        "models": [{"name": "demo"}], "classes": [{"name": "chat", "first_token_ms": 500, "deadline_ms": 1_000}],
        "kinds": [{"name": "any", "role": "mixed"}], "tenants": [{"name": "t"}], "any_key": True, "name": "n7",
        "source": {"file": str(lists), "poll_ms": 20}, "listen": {"port": 0}, "state_dir": str(tmp_path / "state"),
        "audit": {"dir": "audit", "every_ms": 100}}))  # fmt: skip

    def held() -> int:
        store = Store(tmp_path / "store", readonly=True)
        progress = store.nodes()
        store.close()
        return sum(node_progress.count for node_progress in progress.values())

    counts: list[int] = []
    for iteration in range(2):
        with program("serve", str(node), "--log", str(tmp_path / "log")) as running:
            host, port = address_of(running.url)
            collect = tmp_path / "collect.json"
            collect.write_text(json.dumps({"store": str(tmp_path / "store"), "nodes": [f"{host}:{port}/n7-0"],
                                           "every_s": 0.2}))  # fmt: skip
            for _ in range(2):
                with program("audit", "collect", str(collect)) as collector:
                    before = held() if iteration or counts else 0
                    assert wait_for(lambda before=before: held() > before)  # type: ignore[misc]
                    collector.running.send_signal(signal.SIGKILL)
                counts.append(held())
            lists.write_text(json.dumps({"version": 2 + iteration, "engines": []}))
            time.sleep(0.3)
            running.running.send_signal(signal.SIGKILL)
    assert counts == sorted(counts)
    result = CliRunner().invoke(main, ["audit", "verify", str(tmp_path / "state" / "audit")])
    assert result.exit_code == 0, result.output
    output = {}
    for arguments in (["verify"], ["who", "--version", "1"], ["at", str(time.time())], ["export"], ["diff", "1", "2"],
                      ["stale-nodes", "--version", "1"]):  # fmt: skip
        result = CliRunner().invoke(main, ["audit", *arguments, str(tmp_path / "store")])
        assert result.exit_code == 0, result.output
        output[arguments[0]] = result.output
    renamed = CliRunner().invoke(main, ["audit", "stragglers", "--version", "1", str(tmp_path / "store")])
    assert renamed.exit_code == 2 and "stonetrack audit stale-nodes" in renamed.output
    assert "complete: 1 audit logs" in output["verify"] and "not complete" in output["at"]
    assert json.loads(output["export"].splitlines()[0])["acting"]["program"]
