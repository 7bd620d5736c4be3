"""NETCONF framing with fixed and generated streams; the datastores compared with a plain model."""

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

# The chunks of the example in RFC 6242, 4.2.
EXAMPLE = (
    b'\n#4\n<rpc\n#18\n message-id="102"\n\n#79\n'
    b'     xmlns="urn:ietf:params:xml:ns:netconf:base:1.0">\n  <close-session/>\n</rpc>'
    b"\n##\n"
)


def test_the_chunked_example_of_rfc_6242_is_decoded() -> None:
    decoder = FrameDecoder()
    decoder.enable_chunking()
    (message,) = decoder.feed(EXAMPLE)
    assert message.startswith(b'<rpc message-id="102"\n     xmlns=') and message.endswith(b"</rpc>") and decoder.empty


def feed_in_pieces(decoder: FrameDecoder, data: bytes, rng: random.Random) -> list[bytes]:
    """The messages decoded from a stream that is split at random positions."""
    found: list[bytes] = []
    while data:
        cut = rng.randrange(1, len(data) + 1)
        found += decoder.feed(data[:cut])
        data = data[cut:]
    return found


@settings(max_examples=200, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=60), min_size=1, max_size=6), st.integers(1, 30), st.randoms())
def test_chunked_messages_round_trip_for_any_split_of_the_stream(
    messages: list[bytes], size: int, rng: random.Random
) -> None:
    decoder = FrameDecoder()
    decoder.enable_chunking()
    assert (
        feed_in_pieces(decoder, b"".join(frame_chunked(message, size) for message in messages), rng) == messages
        and decoder.empty
    )


@settings(max_examples=150, deadline=None)
@given(st.lists(st.binary(max_size=40).filter(lambda m: b"]" not in m), max_size=5), st.randoms())
def test_delimited_messages_round_trip(messages: list[bytes], rng: random.Random) -> None:
    decoder = FrameDecoder()
    assert feed_in_pieces(decoder, b"".join(map(frame_delimited, messages)), rng) == messages and decoder.empty


def test_the_framing_changes_between_two_buffered_messages() -> None:
    decoder = FrameDecoder()
    decoder.push(frame_delimited(b"<hello/>") + frame_chunked(b"<rpc>]]>]]></rpc>"))
    assert decoder.next() == b"<hello/>"
    decoder.enable_chunking()
    assert decoder.next() == b"<rpc>]]>]]></rpc>" and decoder.next() is None and decoder.empty


@pytest.mark.parametrize("data", [b"x", b"\nx", b"\n#0\n", b"\n#01\nx", b"\n#-1\n", b"\n#+1\nx", b"\n# 1\nx", b"\n##\n",
                                  b"\n#x", b"\n#99999999999", f"\n#{MAX_CHUNK_BYTES + 1}\n".encode(), b"\n#1\nab",
                                  b"\n#\n", b"\n#1\na\n#\xd9\xa1\n"])  # fmt: skip
def test_invalid_chunk_headers_raise_framing_error(data: bytes) -> None:
    for cut in range(len(data) + 1):
        decoder = FrameDecoder()
        decoder.enable_chunking()
        with pytest.raises(FramingError, match="found|an end"):
            decoder.feed(data[:cut])
            decoder.feed(data[cut:])


def test_message_size_is_limited_before_bytes_are_buffered() -> None:
    decoder = FrameDecoder(max_message_bytes=100)
    decoder.enable_chunking()
    with pytest.raises(FramingError, match="over 100 bytes"):
        decoder.feed(b"\n#60\n" + b"x" * 60 + b"\n#41\n")
    decoder = FrameDecoder(max_message_bytes=100)
    with pytest.raises(FramingError, match="over 100 bytes"):
        decoder.feed(b"x" * 200)
    with pytest.raises(FramingError, match="holds"):
        frame_delimited(b"a]]>]]>b")
    with pytest.raises(FramingError, match="empty"):
        frame_chunked(b"")


# The datastores.

PATHS = ["/a", "/a/x", "/a/y", "/b", "/b/x", "/ab"]


def validate(config: Mapping[str, Any]) -> Iterable[ConfigRejected]:
    """Values must not be negative, and /b/x requires /a/x."""
    for path, value in config.items():
        if value < 0:
            yield ConfigRejected(Tag.INVALID_VALUE, path, f"found {value}; allowed: 0 or more")
    if "/b/x" in config and "/a/x" not in config:
        yield ConfigRejected(Tag.OPERATION_FAILED, "/b/x", "it needs /a/x")


def is_valid(config: Mapping[str, Any]) -> bool:
    return not list(validate(config))


class PlainModel:
    """Reference model: the same rules on plain dictionaries that are copied at each step."""

    def __init__(self) -> None:
        self.running: dict[str, int] = {}
        self.candidate: dict[str, int] = {}
        self.revert_target: dict[str, int] | None = None
        self.deadline = 0
        self.author = 0
        self.persist = ""
        self.locks: dict[Store, int] = {}

    def set_running(self, config: dict[str, int]) -> None:
        if self.candidate == self.running:
            self.candidate = dict(config)
        self.running = dict(config)

    def apply(self, config: dict[str, int], edits: list[Edit]) -> dict[str, int] | None:
        updated = dict(config)
        for edit in edits:
            below = {p for p in updated if p == edit.path or p.startswith(edit.path + "/")}
            if (edit.op is Op.CREATE and edit.path in updated) or (edit.op is Op.DELETE and not below):
                return None
            if edit.op in (Op.DELETE, Op.REMOVE):
                updated = {p: v for p, v in updated.items() if p not in below}
            else:
                updated[edit.path] = edit.value
        return updated


SESSIONS = st.integers(1, 3)
EDITS = st.lists(
    st.builds(Edit, st.sampled_from(Op), st.sampled_from(PATHS), st.integers(-1, 3)), min_size=1, max_size=4
)


class DatastoreMachine(RuleBasedStateMachine):
    @initialize()
    def setup_stores(self) -> None:
        self.stores, self.plain, self.now = Datastores(validate, max_versions=16), PlainModel(), 0
        self.stores.load(0, {"/a": 1})
        self.plain.running, self.plain.candidate = {"/a": 1}, {"/a": 1}

    def attempt(self, allowed: bool, operation: Any) -> bool:
        """Run an operation: it must be rejected exactly if the plain model says so, and then change nothing."""
        before = (
            self.stores.running,
            self.stores.candidate,
            self.stores.startup,
            dict(self.stores.locks),
            self.stores.pending,
        )
        try:
            operation()
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

    def may_write(self, store: Store, session: int) -> bool:
        return self.plain.locks.get(store, session) == session

    def expire_due(self) -> None:
        if self.plain.revert_target is not None and self.now >= self.plain.deadline:
            self.revert()

    def revert(self) -> None:
        assert self.plain.revert_target is not None
        self.plain.set_running(self.plain.revert_target)
        self.plain.revert_target = None

    @rule(session=SESSIONS, store=st.sampled_from(Store))
    def lock(self, session: int, store: Store) -> None:
        allowed = store not in self.plain.locks
        if store is Store.CANDIDATE:
            allowed = allowed and self.plain.candidate == self.plain.running
        if store is Store.RUNNING:
            allowed = allowed and (self.plain.revert_target is None or self.plain.author == session)
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
        updated = self.plain.apply(self.plain.candidate, edits)
        allowed = self.may_write(Store.CANDIDATE, session) and updated is not None
        if self.attempt(allowed, lambda: self.stores.edit_candidate(session, edits)):
            assert updated is not None
            self.plain.candidate = updated

    @rule(session=SESSIONS, edits=EDITS)
    def change(self, session: int, edits: list[Edit]) -> None:
        updated = self.plain.apply(self.plain.running, edits)
        allowed = self.may_write(Store.RUNNING, session) and updated is not None and is_valid(updated)
        if self.attempt(allowed, lambda: self.stores.edit_running(self.now, session, edits)):
            assert updated is not None
            self.plain.set_running(updated)

    @rule(session=SESSIONS)
    def discard(self, session: int) -> None:
        if self.attempt(self.may_write(Store.CANDIDATE, session), lambda: self.stores.discard_changes(session)):
            self.plain.candidate = dict(self.plain.running)

    @rule(session=SESSIONS, within=st.sampled_from([0, 0, 5]), persist=st.sampled_from(["", "", "p"]),
          persist_id=st.sampled_from(["", "", "p"]))  # fmt: skip
    def commit(self, session: int, within: int, persist: str, persist_id: str) -> None:
        self.expire_due()
        self.stores.expire_pending(self.now)
        plain = self.plain
        may_confirm = persist_id == plain.persist if plain.persist else plain.author == session and not persist_id
        allowed = (
            self.may_write(Store.RUNNING, session)
            and self.may_write(Store.CANDIDATE, session)
            and is_valid(plain.candidate)
        )
        allowed = allowed and (may_confirm if plain.revert_target is not None else not persist_id)
        if self.attempt(allowed, lambda: self.stores.commit(self.now, session, confirm_within=within, persist=persist,
                                                            persist_id=persist_id)):  # fmt: skip
            revert_target = plain.revert_target if plain.revert_target is not None else dict(plain.running)
            plain.running = dict(plain.candidate)
            plain.revert_target = revert_target if within else None
            plain.deadline, plain.author, plain.persist = self.now + within, session, persist if within else ""

    @precondition(lambda self: self.plain.revert_target is not None)
    @rule(session=SESSIONS, persist_id=st.sampled_from(["", "p"]))
    def cancel(self, session: int, persist_id: str) -> None:
        self.expire_due()
        self.stores.expire_pending(self.now)
        plain = self.plain
        may_confirm = persist_id == plain.persist if plain.persist else plain.author == session and not persist_id
        if self.attempt(
            plain.revert_target is not None and may_confirm,
            lambda: self.stores.cancel_commit(self.now, session, persist_id),
        ):
            self.revert()

    @rule(session=SESSIONS)
    def end_session(self, session: int) -> None:
        self.stores.end_session(self.now, session)
        if self.plain.locks.get(Store.CANDIDATE) == session:
            self.plain.candidate = dict(self.plain.running)
        self.plain.locks = {s: o for s, o in self.plain.locks.items() if o != session}
        if self.plain.revert_target is not None and self.plain.author == session and not self.plain.persist:
            self.revert()

    @rule(duration=st.integers(1, 4))
    def wait(self, duration: int) -> None:
        self.now += duration
        self.expire_due()
        self.stores.expire_pending(self.now)

    @rule(session=SESSIONS, versions_back=st.integers(0, 20))
    def rollback(self, session: int, versions_back: int) -> None:
        number = self.stores.running.number - versions_back
        retained = {v.number: v for v in self.stores.history}
        allowed = self.may_write(Store.RUNNING, session) and self.plain.revert_target is None and number in retained
        if self.attempt(allowed, lambda: self.stores.rollback(self.now, session, number)):
            self.plain.set_running(dict(retained[number].config))

    @invariant()
    def matches_the_plain_model(self) -> None:
        if not hasattr(self, "stores"):
            return
        assert dict(self.stores.running.config) == self.plain.running
        assert dict(self.stores.candidate) == self.plain.candidate
        assert self.stores.locks == self.plain.locks
        assert (self.stores.pending is None) == (self.plain.revert_target is None)
        numbers = [version.number for version in self.stores.history]
        assert numbers == sorted(set(numbers)) and len(numbers) <= 16
        assert all(is_valid(version.config) for version in self.stores.history)


DatastoreMachine.TestCase.settings = settings(max_examples=120, stateful_step_count=30, deadline=None)
TestDatastore = DatastoreMachine.TestCase


def test_a_held_version_is_unaffected_by_later_changes() -> None:
    stores = Datastores(validate)
    held = stores.load(1, {"/a": 1, "/a/x": 2})
    stores.edit_running(2, 1, [Edit(Op.DELETE, "/a"), Edit(Op.CREATE, "/b", 3)])
    assert dict(held.config) == {"/a": 1, "/a/x": 2} and dict(stores.running.config) == {"/b": 3}
    assert stores.running.number == held.number + 1


def test_a_rejection_has_tag_path_and_allowed_values() -> None:
    stores = Datastores(validate)
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
def test_applying_a_diff_yields_the_new_configuration(old: dict[str, int], new: dict[str, int]) -> None:
    stores = Datastores(lambda config: ())
    updated = apply_edits(stores.load(0, old).config, diff_configs(old, new))
    assert dict(updated) == new
