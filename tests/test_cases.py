"""Cases keep fixed faults fixed; redacted captures contain no names."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from stonetrack import api
from stonetrack.capture import case, redact, revision, snapshot
from stonetrack.capture.codec import Call, CaptureError, Header, Record, State
from stonetrack.capture.history import iter_records
from stonetrack.capture.replay import replay
from stonetrack.frontend.classify import ByteEstimator, describe_prompt, hash_key, session_of
from stonetrack.logic import Router
from stonetrack.settings import parse
from tests.harness import Client, chat, harness, raw_settings
from tests.test_capture import HEADER, calls, command, files, write
from tests.test_replaying import API, LOGIC

CASES = sorted((Path(__file__).parent / "cases").glob("*.case"))


@pytest.mark.parametrize("path", CASES, ids=lambda p: p.stem)
def test_a_fixed_fault_stays_fixed(path: Path) -> None:
    recorded = case.decode(path.read_bytes())
    assert case.encode(recorded) == path.read_bytes()
    assert recorded.faulty_actions != recorded.fixed_actions and recorded.fixed_by and recorded.title and recorded.found
    assert case.is_possible(recorded.events, [*recorded.earlier_actions, recorded.faulty_actions])
    result = case.run_case(recorded, Router)
    assert result.verdict == "fixed", f"{recorded.title}: {result.last_actions}"
    assert case.run_case(recorded, Router) == result


def test_there_are_cases_of_five_different_fixes() -> None:
    assert len({case.decode(path.read_bytes()).fixed_by for path in CASES}) >= 5


def test_a_case_detects_its_fault_in_the_current_module() -> None:
    """Removes each fix from the current logic.py; its case reports the fault."""
    removed = {
        "moving-queue": ("if progresses or not (", "if not ("),
        "cold-unused": ("return [s for s in eligible if s.slow_start_until > self.now] or eligible", "return eligible"),
        "late-answers": ("request.expected_share > admitted and", "False and"),
    }
    for name, (source, mutated) in removed.items():
        assert source in LOGIC
        module = revision.from_texts(name, LOGIC.replace(source, mutated), API)
        recorded = case.decode((Path(__file__).parent / "cases" / f"{name}.case").read_bytes())
        assert case.run_case(recorded, module.make).verdict != "fixed", name
        assert case.run_case(recorded, revision.from_texts("whole", LOGIC, API).make).verdict == "fixed"


def test_a_case_is_cut_from_a_capture_and_minimized(tmp_path: Path) -> None:
    recorded = calls(500)
    write(tmp_path, recorded)
    folder = tmp_path / "module"
    folder.mkdir()
    (folder / "api.py").write_text(API)
    weights = "WEIGHT_PREFIX, WEIGHT_LOAD, WEIGHT_MEMORY = 3.0, 2.0, 2.0"
    assert weights in LOGIC
    (folder / "logic.py").write_text(LOGIC.replace(weights, weights.replace("3.0, 2.0, 2.0", "0.0, 2.0, 2.0")))
    out = tmp_path / "prefix.case"
    done = command(
        "capture", "cut", str(tmp_path), "--then", str(folder), "--title", "prefixes not used", "--out", str(out)
    )
    assert done.returncode == 0, done.stderr
    cut = case.decode(out.read_bytes())
    assert 3 <= len(cut.events) <= 20 and cut.title == "prefixes not used"
    assert case.run_case(cut, Router).verdict == "fixed"
    assert case.run_case(cut, revision.load(str(folder)).make).verdict == "broken again"
    result = command("capture", "cases", str(tmp_path))
    assert result.returncode == 0 and "prefix.case: fixed" in result.stdout
    result = command("capture", "cases", str(out), "--at", str(folder))
    assert result.returncode == 1 and "broken again" in result.stdout and "then:" in result.stdout
    assert "case prefix.case" in command("capture", "ls", str(tmp_path)).stdout
    alike = command("capture", "cut", str(tmp_path), "--then", "now", "--title", "none", "--out", str(out))
    assert alike.returncode == 2 and "alike" in alike.stderr


def test_minimize_keeps_exactly_the_needed_parts() -> None:
    tried: list[list[int]] = []

    def holds(parts: list[int]) -> bool:
        tried.append(parts)
        return {3, 17, 18} <= set(parts)

    assert case.minimize(list(range(40)), holds) == [3, 17, 18] and len(tried) < 200
    assert case.minimize([1], lambda parts: True) == []


def test_an_impossible_history_is_distinguished_from_a_possible_one() -> None:
    recorded = calls(200)
    events = [(call.at, call.event) for call in recorded]
    decided = [call.actions for call in recorded]
    assert case.is_possible(events, decided)
    ends = [n for n, (_, event) in enumerate(events) if isinstance(event, api.AttemptEnded)]
    sent = [n for n, actions in enumerate(decided) if any(isinstance(a, api.Send) for a in actions)]
    for omitted in (sent[0], sent[3]):
        shorter = [each for n, each in enumerate(events) if n != omitted]
        assert not case.is_possible(shorter, [each for n, each in enumerate(decided) if n != omitted])
    at, event = events[ends[0]]
    assert isinstance(event, api.AttemptEnded)
    for wrong in (replace(event, server="r9"), replace(event, attempt=7)):
        assert not case.is_possible([*events[: ends[0]], (at, wrong)], decided[: ends[0] + 1])


@pytest.mark.parametrize("data", [b"", b"{}", b"[1]\n[2]", b'{"format": 9}', b'{"format": 1}\n[1, ["Nothing"], []]'])
def test_invalid_cases_are_refused(data: bytes) -> None:
    with pytest.raises(CaptureError):
        case.decode(data)


# Redacted captures.


def test_a_redacted_capture_replays_to_the_same_decisions(tmp_path: Path) -> None:
    recorded = calls(600)
    header = Header("v", "i0.1", 1, replace(HEADER.settings, tenants=(api.Tenant("Suva Charging", 5.0),)))
    router = Router(header.settings, 1)
    records: list[Record] = [header]
    for n, call in enumerate(recorded):
        if n == 300:
            records.append(State(call.at, "v", snapshot.take(router)))
        records.append(Call(call.at, call.event, tuple(router.handle(call.at, call.event))))
    changed = list(redact.redact(records, b"key"))
    result = replay(changed)
    assert result.matches and result.calls == 600 and result.states == 1
    text = b"".join(redact.to_json(n, record) for n, record in enumerate(changed)) + changed[301].data  # type: ignore[union-attr]
    assert b"Suva" not in text and b"chat" not in text
    assert list(redact.redact(records, b"other")) != changed


def test_a_renamed_capture_contains_none_of_the_original_names(tmp_path: Path) -> None:
    recorded = calls(600)
    write(tmp_path / "in", recorded)
    done = command("capture", "redact", str(tmp_path / "in"), str(tmp_path / "out"), "--rename", "--key", "secret")
    assert done.returncode == 0 and "600 calls replay the same" in done.stdout, done.stderr
    records = list(iter_records(files(tmp_path / "out"), []))
    assert replay(records).matches
    exported = b"".join(redact.to_json(n, record) for n, record in enumerate(records))
    for name in ("q12", "s3", "b1", "r0", "w3", "i0.1"):
        assert f'"{name}"'.encode() not in exported
    again = command("capture", "redact", str(tmp_path / "in"), str(tmp_path / "out"))
    assert again.returncode == 2 and "not empty" in again.stderr
    plain = command("capture", "redact", str(tmp_path / "in"), str(tmp_path / "plain"))
    assert plain.returncode == 0 and "600 calls replay the same" in plain.stdout


def test_records_are_exported_as_lines_of_json(tmp_path: Path) -> None:
    recorded = calls(300)
    write(tmp_path, recorded)
    done = command(
        "capture", "export", str(tmp_path), "--since", str(recorded[100].at), "--until", str(recorded[200].at)
    )
    rows = [json.loads(line) for line in done.stdout.splitlines()]
    assert [row["number"] for row in rows if row["at"] == recorded[150].at][-1] >= 151 and 95 < len(rows) < 110
    assert {row["router"] for row in rows} == {"i0.1"} and rows[0]["event"]["type"]


def test_sessions_and_shared_prefixes_are_hashed_with_the_key_shared_by_nodes() -> None:
    one = parse(json.dumps(raw_settings("http://127.0.0.1:1/")))
    same = parse(json.dumps(raw_settings("http://127.0.0.1:2/")))
    other = parse(json.dumps(raw_settings("http://127.0.0.1:1/", hash_key="secret")))
    assert hash_key(one) == hash_key(same) != hash_key(other) and len(hash_key(one)) == 32
    names = [session_of(("bob",), 0, hash_key(each)) for each in (one, same, other)]
    assert names[0] == names[1] != names[2]
    messages = [{"role": "system", "content": "You are brief."}, {"role": "user", "content": "Hi"}]
    prefixes = [
        describe_prompt(messages, None, "m", ByteEstimator(), hash_key(each)).shared_prefix for each in (one, other)
    ]
    assert prefixes[0] != prefixes[1] and None not in prefixes


def test_a_live_capture_contains_no_prompt_session_or_tenant_name(tmp_path: Path) -> None:
    settings = {"capture": {"dir": str(tmp_path), "flush_ms": 10}, "tenants": [{"name": "Suva Charging"}]}
    with harness(1, 1, settings=settings) as node:
        client = Client(node.port)
        body = chat("Where is the charger in Nadi?", prompt_cache_key="driver-77", max_tokens=3)
        body["messages"].insert(0, {"role": "system", "content": "You know Fiji."})
        client.call(body)
        client.close()
    raw = b"".join(
        msgspec.msgpack.encode(redact.to_json(n, r)) for n, r in enumerate(iter_records(files(tmp_path), []))
    )
    assert b"RequestArrived" in raw
    for secret in (b"Nadi", b"driver-77", b"Fiji", b"Suva"):
        assert secret not in raw


@pytest.mark.parametrize("path", CASES, ids=lambda p: p.stem)
def test_the_revision_before_each_fix_has_the_fault(path: Path) -> None:
    recorded = case.decode(path.read_bytes())
    try:
        old, new = (revision.load(name) for name in (f"{recorded.fixed_by}^", recorded.fixed_by))
    except CaptureError:
        pytest.skip("a checkout without the project's history")
    assert case.run_case(recorded, old.make) == case.CaseResult(None, recorded.faulty_actions, "broken again")
    assert case.run_case(recorded, new.make) == case.CaseResult(None, recorded.fixed_actions, "fixed")
