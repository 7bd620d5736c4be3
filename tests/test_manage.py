"""Management's core: framing against hand-made and drawn streams; the datastore against a plain model."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from stonetrack.manage.datastore import ConfigRejected, Datastores, Edit, Op, Store, Tag, apply_edits, diff_configs
from stonetrack.manage.framing import MAX_CHUNK_BYTES, FrameDecoder, FramingError, frame_chunked, frame_delimited

# RFC 6242, 4.2: the example's chunks.
EXAMPLE = (
    b'\n#4\n<rpc\n#18\n message-id="102"\n\n#79\n'
    b'     xmlns="urn:ietf:params:xml:ns:netconf:base:1.0">\n  <close-session/>\n</rpc>'
    b"\n##\n"
)


def test_the_rfcs_example_is_read_as_it_says() -> None:
    framer = FrameDecoder()
    framer.enable_chunking()
    (message,) = framer.feed(EXAMPLE)
    assert message.startswith(b'<rpc message-id="102"\n     xmlns=') and message.endswith(b"</rpc>") and framer.empty


def fed(framer: FrameDecoder, stream: bytes, draw: random.Random) -> list[bytes]:
    """What comes of a stream that is cut anywhere."""
    found: list[bytes] = []
    while stream:
        cut = draw.randrange(1, len(stream) + 1)
        found += framer.feed(stream[:cut])
        stream = stream[cut:]
    return found


@settings(max_examples=200, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=60), min_size=1, max_size=6), st.integers(1, 30), st.randoms())
def test_messages_come_out_as_they_went_in_however_they_are_cut(
    messages: list[bytes], size: int, draw: random.Random
) -> None:
    framer = FrameDecoder()
    framer.enable_chunking()
    assert (
        fed(framer, b"".join(frame_chunked(message, size) for message in messages), draw) == messages and framer.empty
    )


@settings(max_examples=150, deadline=None)
@given(st.lists(st.binary(max_size=40).filter(lambda m: b"]" not in m), max_size=5), st.randoms())
def test_marked_messages_come_out_as_they_went_in(messages: list[bytes], draw: random.Random) -> None:
    framer = FrameDecoder()
    assert fed(framer, b"".join(map(frame_delimited, messages)), draw) == messages and framer.empty


def test_the_form_changes_between_two_messages_of_one_read() -> None:
    framer = FrameDecoder()
    framer.push(frame_delimited(b"<hello/>") + frame_chunked(b"<rpc>]]>]]></rpc>"))
    assert framer.next() == b"<hello/>"
    framer.enable_chunking()
    assert framer.next() == b"<rpc>]]>]]></rpc>" and framer.next() is None and framer.empty


@pytest.mark.parametrize("data", [b"x", b"\nx", b"\n#0\n", b"\n#01\nx", b"\n#-1\n", b"\n#+1\nx", b"\n# 1\nx", b"\n##\n",
                                  b"\n#x", b"\n#99999999999", f"\n#{MAX_CHUNK_BYTES + 1}\n".encode(), b"\n#1\nab",
                                  b"\n#\n", b"\n#1\na\n#\xd9\xa1\n"])  # fmt: skip
def test_what_is_no_chunk_ends_the_session_at_once(data: bytes) -> None:
    for cut in range(len(data) + 1):
        framer = FrameDecoder()
        framer.enable_chunking()
        with pytest.raises(FramingError, match="found|an end"):
            framer.feed(data[:cut])
            framer.feed(data[cut:])


def test_a_message_is_bounded_before_its_bytes_are_held() -> None:
    framer = FrameDecoder(max_message_bytes=100)
    framer.enable_chunking()
    with pytest.raises(FramingError, match="over 100 bytes"):
        framer.feed(b"\n#60\n" + b"x" * 60 + b"\n#41\n")
    framer = FrameDecoder(max_message_bytes=100)
    with pytest.raises(FramingError, match="over 100 bytes"):
        framer.feed(b"x" * 200)
    with pytest.raises(FramingError, match="holds"):
        frame_delimited(b"a]]>]]>b")
    with pytest.raises(FramingError, match="empty"):
        frame_chunked(b"")


# The datastore.

PATHS = ["/a", "/a/x", "/a/y", "/b", "/b/x", "/ab"]


def valid(config: Mapping[str, Any]) -> Iterable[ConfigRejected]:
    """No negative values, and /b/x wants /a/x."""
    for path, value in config.items():
        if value < 0:
            yield ConfigRejected(Tag.INVALID_VALUE, path, f"found {value}; allowed: 0 or more")
    if "/b/x" in config and "/a/x" not in config:
        yield ConfigRejected(Tag.OPERATION_FAILED, "/b/x", "it needs /a/x")


def ok(config: Mapping[str, Any]) -> bool:
    return not list(valid(config))


class Plain:
    """The same rules on plain dictionaries, copied whole at each step."""

    def __init__(self) -> None:
        self.running: dict[str, int] = {}
        self.candidate: dict[str, int] = {}
        self.before: dict[str, int] | None = None
        self.deadline = 0
        self.author = 0
        self.persist = ""
        self.locks: dict[Store, int] = {}

    def put(self, config: dict[str, int]) -> None:
        if self.candidate == self.running:
            self.candidate = dict(config)
        self.running = dict(config)

    def edited(self, config: dict[str, int], edits: list[Edit]) -> dict[str, int] | None:
        made = dict(config)
        for e in edits:
            below = {p for p in made if p == e.path or p.startswith(e.path + "/")}
            if (e.op is Op.CREATE and e.path in made) or (e.op is Op.DELETE and not below):
                return None
            if e.op in (Op.DELETE, Op.REMOVE):
                made = {p: v for p, v in made.items() if p not in below}
            else:
                made[e.path] = e.value
        return made


SESSIONS = st.integers(1, 3)
EDITS = st.lists(
    st.builds(Edit, st.sampled_from(Op), st.sampled_from(PATHS), st.integers(-1, 3)), min_size=1, max_size=4
)


class Machine(RuleBasedStateMachine):
    @initialize()
    def begin(self) -> None:
        self.stores, self.plain, self.now = Datastores(valid, max_versions=16), Plain(), 0
        self.stores.load(0, {"/a": 1})
        self.plain.running, self.plain.candidate = {"/a": 1}, {"/a": 1}

    def attempt(self, allowed: bool, do: Any) -> bool:
        """Do it; it must be refused exactly where the plain model says so, and then leave everything as it was."""
        before = (
            self.stores.running,
            self.stores.candidate,
            self.stores.startup,
            dict(self.stores.locks),
            self.stores.pending,
        )
        try:
            do()
        except ConfigRejected as refused:
            assert not allowed, refused
            after = (
                self.stores.running,
                self.stores.candidate,
                self.stores.startup,
                dict(self.stores.locks),
                self.stores.pending,
            )
            assert after == before
            return False
        assert allowed
        return True

    def free(self, store: Store, session: int) -> bool:
        return self.plain.locks.get(store, session) == session

    def overdue(self) -> None:
        if self.plain.before is not None and self.now >= self.plain.deadline:
            self.back()

    def back(self) -> None:
        assert self.plain.before is not None
        self.plain.put(self.plain.before)
        self.plain.before = None

    @rule(session=SESSIONS, store=st.sampled_from(Store))
    def lock(self, session: int, store: Store) -> None:
        allowed = store not in self.plain.locks
        if store is Store.CANDIDATE:
            allowed = allowed and self.plain.candidate == self.plain.running
        if store is Store.RUNNING:
            allowed = allowed and (self.plain.before is None or self.plain.author == session)
        if self.attempt(allowed, lambda: self.stores.lock(session, store)):
            self.plain.locks[store] = session

    @rule(session=SESSIONS, store=st.sampled_from(Store))
    def unlock(self, session: int, store: Store) -> None:
        if self.attempt(self.plain.locks.get(store) == session, lambda: self.stores.unlock(session, store)):
            del self.plain.locks[store]
            if store is Store.CANDIDATE:
                self.plain.candidate = dict(self.plain.running)

    @rule(session=SESSIONS, edits=EDITS)
    def edit(self, session: int, edits: list[Edit]) -> None:
        made = self.plain.edited(self.plain.candidate, edits)
        allowed = self.free(Store.CANDIDATE, session) and made is not None
        if self.attempt(allowed, lambda: self.stores.edit_candidate(session, edits)):
            assert made is not None
            self.plain.candidate = made

    @rule(session=SESSIONS, edits=EDITS)
    def change(self, session: int, edits: list[Edit]) -> None:
        made = self.plain.edited(self.plain.running, edits)
        allowed = self.free(Store.RUNNING, session) and made is not None and ok(made)
        if self.attempt(allowed, lambda: self.stores.edit_running(self.now, session, edits)):
            assert made is not None
            self.plain.put(made)

    @rule(session=SESSIONS)
    def discard(self, session: int) -> None:
        if self.attempt(self.free(Store.CANDIDATE, session), lambda: self.stores.discard_changes(session)):
            self.plain.candidate = dict(self.plain.running)

    @rule(session=SESSIONS, within=st.sampled_from([0, 0, 5]), persist=st.sampled_from(["", "", "p"]),
          persist_id=st.sampled_from(["", "", "p"]))  # fmt: skip
    def commit(self, session: int, within: int, persist: str, persist_id: str) -> None:
        self.overdue()
        self.stores.expire_pending(self.now)
        plain = self.plain
        mine = persist_id == plain.persist if plain.persist else plain.author == session and not persist_id
        allowed = self.free(Store.RUNNING, session) and self.free(Store.CANDIDATE, session) and ok(plain.candidate)
        allowed = allowed and (mine if plain.before is not None else not persist_id)
        if self.attempt(allowed, lambda: self.stores.commit(self.now, session, confirm_within=within, persist=persist,
                                                            persist_id=persist_id)):  # fmt: skip
            before = plain.before if plain.before is not None else dict(plain.running)
            plain.running = dict(plain.candidate)
            plain.before = before if within else None
            plain.deadline, plain.author, plain.persist = self.now + within, session, persist if within else ""

    @precondition(lambda self: self.plain.before is not None)
    @rule(session=SESSIONS, persist_id=st.sampled_from(["", "p"]))
    def cancel(self, session: int, persist_id: str) -> None:
        self.overdue()
        self.stores.expire_pending(self.now)
        plain = self.plain
        mine = persist_id == plain.persist if plain.persist else plain.author == session and not persist_id
        if self.attempt(
            plain.before is not None and mine, lambda: self.stores.cancel_commit(self.now, session, persist_id)
        ):
            self.back()

    @rule(session=SESSIONS)
    def ended(self, session: int) -> None:
        self.stores.end_session(self.now, session)
        if self.plain.locks.get(Store.CANDIDATE) == session:
            self.plain.candidate = dict(self.plain.running)
        self.plain.locks = {s: o for s, o in self.plain.locks.items() if o != session}
        if self.plain.before is not None and self.plain.author == session and not self.plain.persist:
            self.back()

    @rule(time=st.integers(1, 4))
    def wait(self, time: int) -> None:
        self.now += time
        self.overdue()
        self.stores.expire_pending(self.now)

    @rule(session=SESSIONS, back=st.integers(0, 20))
    def rollback(self, session: int, back: int) -> None:
        number = self.stores.running.number - back
        kept = {v.number: v for v in self.stores.history}
        allowed = self.free(Store.RUNNING, session) and self.plain.before is None and number in kept
        if self.attempt(allowed, lambda: self.stores.rollback(self.now, session, number)):
            self.plain.put(dict(kept[number].config))

    @invariant()
    def the_same(self) -> None:
        if not hasattr(self, "stores"):
            return
        assert dict(self.stores.running.config) == self.plain.running
        assert dict(self.stores.candidate) == self.plain.candidate
        assert self.stores.locks == self.plain.locks
        assert (self.stores.pending is None) == (self.plain.before is None)
        numbers = [version.number for version in self.stores.history]
        assert numbers == sorted(set(numbers)) and len(numbers) <= 16
        assert all(ok(version.config) for version in self.stores.history)


Machine.TestCase.settings = settings(max_examples=120, stateful_step_count=30, deadline=None)
TestDatastore = Machine.TestCase


def test_a_reader_keeps_its_version_whatever_is_committed_after_it() -> None:
    stores = Datastores(valid)
    held = stores.load(1, {"/a": 1, "/a/x": 2})
    stores.edit_running(2, 1, [Edit(Op.DELETE, "/a"), Edit(Op.CREATE, "/b", 3)])
    assert dict(held.config) == {"/a": 1, "/a/x": 2} and dict(stores.running.config) == {"/b": 3}
    assert stores.running.number == held.number + 1


def test_a_refusal_names_what_where_and_what_is_allowed() -> None:
    stores = Datastores(valid)
    stores.load(1, {"/a": 1})
    cases: list[tuple[list[Edit], Tag, str]] = [
        ([Edit(Op.MERGE, "/b", 1), Edit(Op.MERGE, "/a", -1)], Tag.INVALID_VALUE, "/a: found -1; allowed: 0 or more"),
        ([Edit(Op.CREATE, "/a", 1)], Tag.DATA_EXISTS, "/a: it is there already; allowed: merge"),
        ([Edit(Op.DELETE, "/c")], Tag.DATA_MISSING, "/c: it is not there; allowed: remove"),
    ]
    for edits, tag, text in cases:
        with pytest.raises(ConfigRejected) as caught:
            stores.edit_running(2, 1, edits)
        assert caught.value.tag is tag and str(caught.value) == text
        assert dict(stores.running.config) == {"/a": 1} and stores.running.number == 1
    stores.lock(7, Store.RUNNING)
    with pytest.raises(ConfigRejected, match="locked by session 7") as locked:
        stores.edit_running(2, 1, [Edit(Op.MERGE, "/a", 2)])
    assert locked.value.tag is Tag.IN_USE and locked.value.owner == 7


@settings(max_examples=100, deadline=None)
@given(
    st.dictionaries(st.sampled_from(PATHS), st.integers(0, 3)),
    st.dictionaries(st.sampled_from(PATHS), st.integers(0, 3)),
)
def test_a_difference_leads_from_one_to_the_other(old: dict[str, int], new: dict[str, int]) -> None:
    stores = Datastores(lambda config: ())
    made = apply_edits(stores.load(0, old).config, diff_configs(old, new))
    assert dict(made) == new
