"""Replays: explanations, comparison with other revisions, and seeking within a capture."""

from __future__ import annotations

import random
import re
import time
import types
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import pytest

from stonetrack import api, logic
from stonetrack.capture import compare, explain, history, index, revision, seek, snapshot
from stonetrack.capture.codec import Call, CaptureError, Gap, Header, Record, State
from stonetrack.capture.history import HistoryReader
from stonetrack.capture.recorder import Recorder
from stonetrack.capture.replay import replay, replay_numbered
from stonetrack.capture.store import SavedState, Store
from stonetrack.logic import MS, SECOND, Router
from tests.router_fixture import FLEET, MIXED, PREFILL, entry
from tests.test_capture import HEADER, calls, command, files, write

ROOT = Path(__file__).parent.parent
LOGIC, API = ((ROOT / "stonetrack" / name).read_text("utf-8") for name in ("logic.py", "api.py"))


def numbered(made: list[Call]) -> list[tuple[int, Record]]:
    return list(enumerate([HEADER, *made]))


def test_tracing_a_router_changes_no_decision_and_no_state() -> None:
    made = calls(1_200)
    cls, reasons = explain.traced(Router)
    traced, plain = cls(HEADER.settings, 1), Router(HEADER.settings, 1)
    for call in made:
        assert tuple(traced.handle(call.at, call.event)) == call.actions
        plain.handle(call.at, call.event)
    assert snapshot.take(traced) == snapshot.take(plain)
    assert {r.what for r in reasons} >= {"reader", "writer", "ejection", "ejected"}
    assert not any(r.what == "not explained" for r in reasons)


def test_an_explanation_shows_what_was_known_and_why_others_were_not_chosen() -> None:
    made = calls(600)
    cls, reasons = explain.traced(Router)
    router = cls(HEADER.settings, 1)
    for call in made:
        reasons.clear()
        sends = [a for a in router.handle(call.at, call.event) if isinstance(a, api.Send)]
        choices = [r for r in reasons if isinstance(r, explain.Choice)]
        for choice in choices:
            eligible = [c for c in choice.candidates if not c.out]
            assert [c.name for c in choice.candidates if c.chosen] == [choice.chosen] * bool(choice.chosen)
            assert len(choice.candidates) == 4 and (eligible or not choice.chosen)
            assert all(c.out or c.score is not None for c in choice.candidates if choice.what == "reader")
            if choice.what == "reader" and choice.chosen and not choice.exceptions:
                assert max(c.score or 0.0 for c in eligible) == pytest.approx(
                    next(c.score for c in eligible if c.chosen), abs=1e-9
                )
        if isinstance(call.event, api.RequestArrived) and sends:
            assert choices[0].what == "reader" and choices[0].chosen == sends[0].server
        if choices:
            assert f"> {choices[0].chosen}" in "\n".join(explain.table(choices[0])) or not choices[0].chosen


def test_logic_compared_with_itself_has_no_row_and_each_change_shows_by_its_cause() -> None:
    made = calls(1_000)
    same = revision.from_texts("same", LOGIC, API)
    assert same.native and same.logic is not logic
    assert not compare.compare(numbered(made), same).changes
    cases = [
        ("WEIGHT_PREFIX, WEIGHT_LOAD, WEIGHT_MEMORY = 3.0, 2.0, 2.0", "= 0.0, 2.0, 2.0", "reader: scores or ties"),
        ("MIN_EJECTION_NS, MAX_EJECTION_NS = 300 * MS, 16 * SECOND", "= 1, 2", "reader: who stands to choice"),
        ("SWEEP_INTERVAL_NS = 50 * MS", "= 51 * MS", "SetTimer.delay"),
        ("MAX_ADMIT_SHARE, MIN_ADMIT_SHARE = 0.9, 0.5", "= 0.001, 0.0", "Send -> Refuse"),
    ]
    for line, new, cause in cases:
        assert line in LOGIC
        other = revision.from_texts("other", LOGIC.replace(line, line.partition(" = ")[0] + " " + new), API)
        found = compare.compare(numbered(made), other)
        assert found.stepwise and found.calls == 1_000
        assert any(name.startswith(cause) for name in found.causes), (cause, found.causes)
        text = "\n".join(compare.table(found, ("now", "other")))
        assert f"{len(found.changes)} decided otherwise by other" in text and cause in text


# Names of revision 020f764, which snapshots store.

PROBING = replace(
    HEADER, settings=replace(HEADER.settings, may_probe=True, report_source=api.ReportSource.ANSWERS, max_attempts=6)
)


def overlapping(count: int) -> list[Call]:
    """Requests that overlap, and two servers that do not answer: attempts are cancelled, requests refused."""
    draw = random.Random(7)
    router, now = Router(PROBING.settings, 1), 100 * SECOND
    made: list[Call] = []
    out: dict[str, api.Send] = {}
    attempts: dict[str, int] = {}
    streaming: set[str] = set()
    late: list[str] = []
    probed: list[str] = []

    def handle(event: api.Event) -> None:
        actions = tuple(router.handle(now, event))
        made.append(Call(now, event, actions))
        for action in actions:
            match action:
                case api.Send(request):
                    out[request] = action
                case api.Cancel(request):
                    late.append(request)
                case api.Probe(server):
                    probed.append(server)

    def end(request: str, outcome: api.Outcome, **more: Any) -> None:
        send, attempt = out.pop(request), attempts.get(request, 0)
        attempts[request] = attempt + 1
        report = api.LoadReport(draw.random() * 9, 1.0, draw.random(), draw.random() * 20_000)
        handle(api.AttemptEnded(request, attempt, send.server, outcome, 80 * MS, report=report, **more))

    fleet = (*(entry(f"r{n}", PREFILL, cell=n % 2) for n in range(14)), *FLEET[4:], entry("m0", MIXED))
    handle(api.ServerList(api.ListKind.SAVED, 1, fleet))
    while len(made) < count:
        now += 20 * MS
        number = len(made)
        if draw.random() < 0.5:
            shared = f"b{number % 3}" if draw.random() < 0.7 else None
            handle(api.RequestArrived(f"q{number}", 0, f"s{number % 9}", 6 * SECOND, 2_000, shared, 900, tenant=0))
        if draw.random() < 0.4:
            handle(api.TimerFired(0))
        while probed:
            report = api.LoadReport(2.0, 0.0, draw.random(), draw.choice([0.0, 3_000.0, 60_000.0]))
            handle(api.ProbeEnded(probed.pop(), api.Outcome.SERVED, 2 * MS, report))
        while late:
            if (request := late.pop()) in out:
                end(request, api.Outcome.CANCELLED)
        answered = sorted(request for request, send in out.items() if send.server not in ("r3", "w1"))
        for request in draw.sample(answered, len(answered) // 6):
            outcome = draw.choice([api.Outcome.ERROR, api.Outcome.FULL, api.Outcome.RESET, *[api.Outcome.READ] * 6])
            if request in streaming:
                end(request, draw.choice([api.Outcome.SERVED, api.Outcome.RESET]), finished=True)
            elif outcome is not api.Outcome.READ or out[request].server[0] == "r":
                end(request, outcome, kept_tokens=draw.choice([0, 900]) if outcome is api.Outcome.READ else 0)
            else:
                handle(api.FirstToken(request, attempts.get(request, 0), out[request].server, 60 * MS))
                streaming.add(request)
    return made[:count]


WEIGHTS = ("WEIGHT_MEMORY = 3.0, 2.0, 2.0", "WEIGHT_MEMORY = 0.0, 2.0, 2.0")


def older_text() -> str:
    """logic.py with the names that it had in revision 020f764, of all that explanations and snapshots reach into."""
    older = {inner: stored for names in snapshot.ATTRIBUTE_NAMES.values() for stored, inner in names.items()}
    older |= {inner: stored for stored, inner in snapshot.CLASS_NAMES.items()}
    older |= {inner: name for names in revision.OLDER_METHODS.values() for inner, name in names.items()}
    older |= {"PREFILL": "READER", "DECODE": "WRITER"}
    found: set[str] = set()

    def name(match: re.Match[str]) -> str:
        found.add(match[0])
        return older[match[0]]

    text = re.sub(rf"(?<!event\.)\b({'|'.join(older)})\b", name, LOGIC)  # an event's prompt_tokens is of api.py
    assert found == set(older)
    return text


def revisions(changes: tuple[str, str] = ("", "")) -> list[revision.Module]:
    """logic.py under its present names and under older ones, with a line of it replaced."""
    texts = [LOGIC, older_text()]
    assert all(changes[0] in text for text in texts)
    return [revision.from_texts(f"names{n}", text.replace(*changes, 1), API) for n, text in enumerate(texts)]


def test_a_state_is_carried_over_to_a_revision_of_older_names_and_back(monkeypatch: pytest.MonkeyPatch) -> None:
    made = overlapping(900)
    older = revisions()[1]
    assert older.native
    router = Router(PROBING.settings, 1)
    for call in made[:450]:
        router.handle(call.at, call.event)
    data = snapshot.take(router)
    other: Any = snapshot.restore(data, module=older.logic)
    assert set(vars(other)) == set(snapshot.ROUTER) and isinstance(other.requests, dict) and other.requests
    assert {type(r) for r in other.requests.values()} == {older.logic.Request}
    assert {name: s.paused.keys() for name, s in other.servers.items()} == {
        name: s.ejections.keys() for name, s in router.servers.items()
    }
    for call in made[450:700]:
        assert tuple(other.handle(call.at, call.event)) == call.actions
        router.handle(call.at, call.event)
    with monkeypatch.context() as patch:
        for name in ("Server", "Request", "Stat", "Pause"):
            patch.setitem(snapshot.STORED_NAMES, getattr(older.logic, name), name)
        back = snapshot.take(other)
    assert back == snapshot.take(router)
    again = snapshot.restore(back)
    assert type(again) is Router
    assert [tuple(again.handle(c.at, c.event)) for c in made[700:]] == [c.actions for c in made[700:]]


def test_a_revision_of_older_names_is_compared_step_by_step_with_the_same_causes() -> None:
    made = overlapping(900)
    for changes in (("", ""), WEIGHTS, ("TIMEOUT_SHARE = 0.5", "TIMEOUT_SHARE = 0.1")):
        found = [compare.compare(enumerate([PROBING, *made]), module) for module in revisions(changes)]
        assert all(each.stepwise for each in found) and found[0] == found[1]
        assert bool(found[0].changes) == bool(changes[0])


def test_a_revision_of_older_names_is_explained_in_the_same_words_also_from_a_stored_state() -> None:
    made = overlapping(900)
    router = Router(PROBING.settings, 1)
    for call in made[:300]:
        router.handle(call.at, call.event)
    for beginning in (PROBING, State(made[300].at, "v", snapshot.take(router))):
        explanations: list[list[str]] = []
        for module in revisions():
            cls, reasons = explain.traced(module.logic.Router)
            records: list[Record] = [beginning, *made[300 if isinstance(beginning, State) else 0 :]]
            assert replay_numbered(enumerate(records), partial(module.make, cls=cls), restore_class=cls).matches
            assert {r.what for r in reasons} >= {
                "reader",
                "writer",
                "ejection",
                "ejected",
                "refused or failed",
                "cancelled",
            }
            assert not any(r.what == "not explained" for r in reasons)
            explanations.append(list(explain.lines(reasons)))
        assert explanations[0] == explanations[1]


def test_a_snapshot_of_revision_020f764_is_read_back() -> None:
    """The file is what that revision's ``snapshot.take`` gave after ``overlapping(300)``."""
    data = (ROOT / "tests" / "data" / "020f764.snapshot").read_bytes()
    router = snapshot.restore(data)
    assert snapshot.take(router) == data
    state = msgspec.msgpack.decode(data)[3]
    assert set(state) < set(snapshot.ROUTER)
    for stored, inner in snapshot.ATTRIBUTE_NAMES["Router"].items():
        assert stored == "by_probe" or snapshot._plain(getattr(router, inner)) == state[stored]
    assert router.cancel_budget == state["credit"]
    assert list(router.unanswered_requests) == [name for name, _ in state["out"][1:]]
    assert {request.phase for request in router.requests.values()} >= {logic.Phase.PREFILLING, logic.Phase.DECODING}
    assert any(s.prefix_table.entries and s.unit_latency and s.ejections for s in router.servers.values())


def test_revision_020f764_decides_the_same_and_is_explained_in_the_same_words() -> None:
    try:
        module = revision.load("020f764", ROOT)
    except CaptureError:
        pytest.skip("a checkout without the project's history")
    records: list[Record] = [PROBING, *overlapping(900)]
    assert module.native
    found = compare.compare(enumerate(records), module)
    assert found.stepwise and not found.changes
    explanations: list[list[str]] = []
    for each in (revision.current(), module):
        cls, reasons = explain.traced(each.logic.Router)
        assert replay_numbered(enumerate(records), partial(each.make, cls=cls), restore_class=cls).matches
        assert not any(r.what == "not explained" for r in reasons)
        explanations.append(list(explain.lines(reasons)))
    assert explanations[0] == explanations[1]


def test_each_row_is_decided_on_equal_state() -> None:
    """A change that affects one request alone gives rows of that request alone, whatever follows from it."""
    made = calls(800)
    victim = next(c.event.request for c in made[300:] if isinstance(c.event, api.RequestArrived))
    arrived = "if isinstance(event, api.RequestArrived):"
    assert arrived in LOGIC
    text = LOGIC.replace(arrived, f"{arrived[:-1]} and event.request != {victim!r}:")
    found = compare.compare(numbered(made), revision.from_texts("deaf", text, API))
    assert [c.request for c in found.changes] == [victim]


def test_a_revision_with_other_state_is_compared_as_far_as_it_goes() -> None:
    made = calls(800)
    lines = ("        self.timer_set = False\n", "        self.timer_set = self.more = False\n")
    weights = ("WEIGHT_MEMORY = 3.0, 2.0, 2.0", "WEIGHT_MEMORY = 0.0, 2.0, 2.0")
    assert lines[0] in LOGIC and weights[0] in LOGIC
    text = LOGIC.replace(*lines, 1).replace(*weights)
    found = compare.compare(numbered(made), revision.from_texts("more", text, API))
    assert found.changes and not found.stepwise
    assert "goes on by itself" in "\n".join(compare.table(found, ("now", "more")))


def test_events_for_a_revision_of_another_interface_are_translated_by_field_names() -> None:
    made = calls(400)
    resumed, kept = "    resumed: bool = False\n", "    kept_tokens: int = 0\n"
    assert resumed in API and kept in API
    old_api = API.replace(resumed, "").replace(kept, kept + "    x: int = 0\n")
    other = revision.from_texts("old", LOGIC, old_api)
    assert not other.native
    assert not compare.compare(numbered(made), other).changes
    with pytest.raises(CaptureError, match="no TimerFired"):
        revision.translate(api.TimerFired(0), types.ModuleType("less"))
    with pytest.raises(CaptureError, match="SyntaxError"):
        revision.from_texts("broken", "def", API)


def test_an_unknown_revision_is_refused_by_name() -> None:
    for name in ("no-such-revision", "--help"):
        with pytest.raises(CaptureError, match="no-such-revision|is no revision"):
            revision.load(name, ROOT)
    assert revision.load("now").logic is logic


# Seeking within a capture.


def stored(folder: Path, every: int = 400) -> Store:
    """The index and the states of a folder, as capture maintenance makes them."""
    store = Store(folder)
    for name, paths in history.segments_by_router(folder).items():
        for path in paths:
            store.put_index(path.name, seek.index_file(path)[0])
        router = Router(HEADER.settings, 1)
        for number, record in HistoryReader(paths):
            if isinstance(record, Call):
                if number % every == 0:
                    store.put_state(SavedState(name, number, record.at, "test", snapshot.take(router)))
                router.handle(record.at, record.event)
    return store


def test_seeking_gives_what_reading_from_the_start_does(tmp_path: Path) -> None:
    made = calls(2_000)
    write(tmp_path, made, segment_bytes=5_000, block_records=50)
    stored(tmp_path).close()
    (paths,) = history.segments_by_router(tmp_path).values()
    draw = random.Random(5)
    assert len(paths) > 3
    for call in draw.sample(made, 25):
        found = list(seek.since(tmp_path, HistoryReader(paths), call.at))
        assert isinstance(found[0][1], (State, Header)) and found[0][0] <= made.index(call) + 1
        begun = found[0][0] + isinstance(found[0][1], Header)
        assert [r for _, r in found[1:]] == [r for _, r in numbered(made)][begun:]
        result = replay_numbered(found)
        assert result.matches and result.calls == len(found) - 1
    late = list(seek.since(tmp_path, HistoryReader(paths), made[-1].at))
    assert late[0][0] >= 1_600
    for call in draw.sample(made, 25):
        for request in index.requests_of(call):
            expected = [(n, r) for n, r in numbered(made) if request in index.requests_of(r)]
            plain = [
                (n, r)
                for n, r in seek.about(tmp_path, HistoryReader(paths), request)
                if request in index.requests_of(r)
            ]
            assert plain == expected
            whole = list(seek.about(tmp_path, HistoryReader(paths), request, whole=True))
            assert [each for each in whole if request in index.requests_of(each[1])] == expected
            assert replay_numbered(whole).matches
    assert list(seek.about(tmp_path, HistoryReader(paths), "nobody")) == []


def test_an_index_of_another_file_is_not_used(tmp_path: Path) -> None:
    write(tmp_path, calls(200), block_records=50)
    with stored(tmp_path) as store:
        (path,) = files(tmp_path)
        assert store.index_of(path) is not None
        path.write_bytes(path.read_bytes() + b"x")
        assert store.index_of(path) is None
    with pytest.raises(CaptureError, match="index"):
        index.from_bytes(b"\x91\x01")


def test_the_store_keeps_what_was_put_into_it(tmp_path: Path) -> None:
    with Store(tmp_path) as store:
        store.mark_kept("a.cap", "the long weekend")
        store.add_note(7, "chatcmpl-1", "went to r1, why?")
        store.put_case("case", {"title": "t"})
        for number in (0, 100, 200):
            store.put_state(SavedState("i0.1", number, number, "v", b"x" * 10))
        store.put_state(SavedState("i0.10", 50, 50, "v", b"y"))
    with Store(tmp_path) as store:
        assert store.kept_segments() == {"a.cap": "the long weekend"}
        assert store.notes() == [(7, "chatcmpl-1", "went to r1, why?")]
        assert store.cases() == {"case": {"title": "t"}}
        found = [getattr(store.state_before("i0.1", n), "number", None) for n in (0, 99, 100, 500)]
        assert found == [0, 0, 100, 200] and store.state_before("i0.0", 9) is None
        assert [s.number for s in store.states("i0.1")] == [0, 100, 200]
        store.delete_segments([], "i0.1", 150)
        assert [s.number for s in store.states("i0.1")] == [100, 200]
        assert store.unmark_kept("a.cap") and not store.unmark_kept("a.cap")
    (tmp_path / "file").write_text("")
    with pytest.raises(CaptureError, match="store"):
        Store(tmp_path / "file")


def test_a_missing_segment_is_named_and_no_replay_continues_across_it(tmp_path: Path) -> None:
    made = calls(2_000)
    write(tmp_path, made, segment_bytes=4_000, block_records=200)
    paths = files(tmp_path)
    paths[1].unlink()
    reading = HistoryReader(files(tmp_path))
    records = list(reading)
    gaps = [record for _, record in records if isinstance(record, Gap)]
    assert len(gaps) == 1 and gaps[0].count + len(records) - 1 == 2_001
    assert f"{gaps[0].count} records are missing" in reading.damage[0] and paths[2].name in reading.damage[0]
    result = replay([record for _, record in records])
    assert result.matches and result.skipped and result.calls + result.skipped == len(records) - 2


def test_the_commands_report_results_and_errors_without_tracebacks(tmp_path: Path) -> None:
    made = calls(600)
    write(tmp_path, made, block_records=100)
    stored(tmp_path, 200).close()
    request = next(c.event.request for c in made[400:] if isinstance(c.event, api.RequestArrived))
    shown = command("capture", "explain", str(tmp_path), request)
    assert shown.returncode == 0 and "RequestArrived" in shown.stdout and "-> Send(" in shown.stdout, shown.stderr
    assert "score" in shown.stdout and "expected" in shown.stdout
    nobody = command("capture", "explain", str(tmp_path), "nobody")
    assert nobody.returncode == 2 and "nobody" in nobody.stderr and "Traceback" not in nobody.stderr
    (tmp_path / "module").mkdir()
    (tmp_path / "module" / "api.py").write_text(API)
    interval = "SWEEP_INTERVAL_NS = 50 * MS"
    assert interval in LOGIC
    (tmp_path / "module" / "logic.py").write_text(LOGIC.replace(interval, "SWEEP_INTERVAL_NS = 51 * MS"))
    against = command("replay", str(tmp_path), "--against", str(tmp_path / "module"))
    assert against.returncode == 1 and "SetTimer.delay" in against.stdout, against.stdout + against.stderr
    assert command("replay", str(tmp_path), "--since", str(made[500].at)).stdout.count("calls replayed") == 1
    bad = command("replay", str(tmp_path), "--against", "no-such-revision")
    assert bad.returncode == 2 and "no-such-revision" in bad.stderr and "Traceback" not in bad.stderr
    empty = tmp_path / "empty"
    empty.mkdir()
    nothing = command("replay", str(empty))
    assert nothing.returncode == 2 and "no segments" in nothing.stderr
    listed = command("capture", "ls", str(tmp_path))
    assert "600 calls" in listed.stdout and "state before record 400" in listed.stdout


def test_a_difference_is_shown_with_the_scores_behind_it(tmp_path: Path) -> None:
    made = calls(400)
    n = next(i for i, c in enumerate(made) if i > 200 and any(isinstance(a, api.Send) for a in c.actions))
    send = next(a for a in made[n].actions if isinstance(a, api.Send))
    wrong = tuple(api.Send(a.request, "r9") if a is send else a for a in made[n].actions)
    write(tmp_path, [*made[:n], Call(made[n].at, made[n].event, wrong), *made[n + 1 :]])
    replayed = command("replay", str(tmp_path))
    assert replayed.returncode == 1 and f"call {n + 1} at" in replayed.stdout and "r9" in replayed.stdout
    assert f"> {send.server}" in replayed.stdout


def test_irregular_clocks_and_late_reports_replay_the_same(tmp_path: Path) -> None:
    """The clock stops, steps back and jumps; timers share a nanosecond; reports are late; server lists come between."""
    draw = random.Random(3)
    plain = calls(900)
    router = Router(HEADER.settings, 1)
    made: list[Call] = []
    shift = 0

    def handle(at: int, event: api.Event) -> None:
        made.append(Call(at, event, tuple(router.handle(at, event))))

    full = next(call.event for call in plain if isinstance(call.event, api.ServerList))
    for call in plain:
        shift += draw.choice([0, 0, 0, -300_000_000, 5_000_000_000, -5_000_000_000])
        at = max(1, call.at + shift)
        handle(at, call.event)
        if draw.random() < 0.2:
            handle(at, api.TimerFired(0))
            handle(at, api.TimerFired(0))
        if isinstance(call.event, api.AttemptEnded) and draw.random() < 0.4:
            gone = draw.randrange(len(full.entries))
            entries = (replace(full.entries[gone], state=draw.choice(list(api.ServerState))),)
            handle(at, api.ServerList(api.ListKind.CHANGES, 2, entries))
            handle(at - 1, replace(call.event, report=api.LoadReport(draw.random() * 9, 1.0, draw.random(), 50.0)))
            handle(at, replace(full, kind=api.ListKind.FULL))
    write(tmp_path, made, block_records=40, segment_bytes=6_000)
    reading = HistoryReader(files(tmp_path))
    records = list(reading)
    assert not reading.damage and [r for _, r in records] == [HEADER, *made]
    assert replay_numbered(records).matches and replay([HEADER, *made]).matches
    half = Router(HEADER.settings, 1)
    for call in made[:500]:
        half.handle(call.at, call.event)
    again = replay_numbered([(500, State(1, "v", snapshot.take(half))), *enumerate(made[500:], 501)])
    assert again.matches and again.calls == len(made) - 500


def test_no_corrupt_file_stops_the_reader(tmp_path: Path) -> None:
    write(tmp_path, calls(120), block_records=15)
    (path,) = files(tmp_path)
    corpus = [path.read_bytes()]
    draw = random.Random(11)
    damaged = 0
    for _ in range(400):
        data = bytearray(draw.choice(corpus))
        for _ in range(draw.randrange(1, 5)):
            at = draw.randrange(len(data) + 1)
            match draw.randrange(4):
                case 0:
                    data[at:at] = draw.randbytes(draw.randrange(1, 40))
                case 1:
                    del data[at : at + draw.randrange(1, 200)]
                case 2 if at < len(data):
                    data[at] ^= 1 << draw.randrange(8)
                case _:
                    data[at:] = data[: draw.randrange(1, 300)]
        if len(corpus) < 40:
            corpus.append(bytes(data))
        path.write_bytes(data)
        reading = HistoryReader([path])
        records = list(reading)
        damaged += bool(reading.damage)
        result = replay_numbered(records)
        assert result.matches or reading.damage
        assert all(text.startswith(f"{path.name}: ") for text in reading.damage)
    assert damaged > 300


def test_a_segment_of_another_version_is_refused_by_name_and_the_rest_is_read(tmp_path: Path) -> None:
    made = calls(400)
    write(tmp_path, made, block_records=20, segment_bytes=2_500)
    paths = files(tmp_path)
    other = b"stonecap\x00\n"
    paths[1].write_bytes(other + paths[1].read_bytes()[len(other) :])
    reading = HistoryReader(paths)
    records = list(reading)
    assert f"{paths[1].name}: offset 0: not a capture of this version" in reading.damage[0]
    assert f"{paths[2].name}: offset" in reading.damage[1] and "records are missing" in reading.damage[1]
    assert replay_numbered(records).matches and records[-1][1] == made[-1]
    verified = command("capture", "verify", str(tmp_path))
    assert verified.returncode == 1 and "not a capture of this version" in verified.stdout


def test_two_routers_in_one_folder_never_mix(tmp_path: Path) -> None:
    one, two = calls(300), calls(280)
    write(tmp_path, one, block_records=30, segment_bytes=2_000)
    other = Recorder(
        tmp_path, replace(HEADER, instance="i1.1"), time.time_ns, log=lambda text: None, segment_bytes=3_000
    )
    other.start()
    for call in two:
        other.record(call.at, call.event, call.actions)
    other.stop()
    routers = history.segments_by_router(tmp_path)
    assert set(routers) == {"i0.1", "i1.1"}
    for name, made in (("i0.1", one), ("i1.1", two)):
        assert [r for _, r in HistoryReader(routers[name])][1:] == made
        assert replay_numbered(HistoryReader(routers[name])).matches
