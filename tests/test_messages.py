"""NETCONF messages: examples of the RFC, invalid messages, and documents that refer to entities."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lxml import etree

from stonetrack.manage.messages import (
    BASE_10,
    BASE_11,
    BASE_NS,
    MalformedMessage,
    RpcError,
    data_reply,
    error_reply,
    ok_reply,
    parse_hello,
    parse_rpc,
    parse_xml,
    server_hello,
)

GET = (
    f'<?xml version="1.0" encoding="UTF-8"?><n:rpc xmlns:n="{BASE_NS}" message-id="101" xmlns:ex="http://example.net/content/1.0"'
    ' ex:user-id="fred"><n:get/></n:rpc>'
).encode()


def local_names(data: bytes) -> list[str]:
    return [etree.QName(each).localname for each in etree.fromstring(data).iter()]


def test_a_reply_repeats_the_attributes_of_its_rpc() -> None:
    """RFC 6241, 4.1 and 4.2: the reply repeats every attribute of the rpc, whatever its prefix."""
    rpc = parse_rpc(GET)
    assert rpc.name == f"{{{BASE_NS}}}get"
    for data in (
        ok_reply(rpc),
        data_reply(rpc, [etree.Element(f"{{{BASE_NS}}}data")]),
        error_reply(rpc.attributes, []),
    ):
        root = etree.fromstring(data)
        assert root.tag == f"{{{BASE_NS}}}rpc-reply" and dict(root.attrib) == dict(rpc.attributes)
        assert root.get("message-id") == "101" and root.get("{http://example.net/content/1.0}user-id") == "fred"
    assert local_names(ok_reply(rpc)) == ["rpc-reply", "ok"]


def test_an_rpc_without_message_id_gets_missing_attribute() -> None:
    with pytest.raises(RpcError) as caught:
        parse_rpc(f'<rpc xmlns="{BASE_NS}"><get/></rpc>'.encode())
    error = caught.value
    assert (error.error_type, error.tag) == ("rpc", "missing-attribute")
    assert dict(error.info) == {"bad-attribute": "message-id", "bad-element": "rpc"}
    reply = etree.fromstring(error_reply({}, [error]))
    assert reply.findtext(f".//{{{BASE_NS}}}error-tag") == "missing-attribute"
    assert reply.findtext(f".//{{{BASE_NS}}}error-info/{{{BASE_NS}}}bad-attribute") == "message-id"


@pytest.mark.parametrize("inside", ["", "<get/><get/>"])
def test_an_rpc_must_contain_exactly_one_operation(inside: str) -> None:
    with pytest.raises(RpcError, match="allowed: one"):
        parse_rpc(f'<rpc xmlns="{BASE_NS}" message-id="1">{inside}</rpc>'.encode())


BOMB = (
    '<!DOCTYPE rpc [<!ENTITY a "ha"><!ENTITY b "&a;&a;&a;&a;&a;&a;&a;&a;"><!ENTITY c "&b;&b;&b;&b;&b;&b;&b;&b;">]>'
    f'<rpc xmlns="{BASE_NS}" message-id="1"><get>&c;</get></rpc>'
).encode()
FILE = (
    f'<!DOCTYPE rpc [<!ENTITY x SYSTEM "file:///etc/hostname">]><rpc xmlns="{BASE_NS}" message-id="1"><get>'
    "&x;</get></rpc>"
).encode()


@pytest.mark.parametrize("data", [
    b"", b"x", b"<rpc", b"<rpc/>", b'<rpc xmlns="urn:other" message-id="1"><get/></rpc>', BOMB, FILE,
    f'<!DOCTYPE rpc><rpc xmlns="{BASE_NS}" message-id="1"><get/></rpc>'.encode(), GET[:-5], GET + b"<more/>",
    b"<a>" * 100_000, b"\xff\xfe\x00", f'<rpc xmlns="{BASE_NS}" message-id="1">&amp;&nope;<get/></rpc>'.encode(),
])  # fmt: skip
def test_invalid_messages_are_malformed_and_entities_are_not_resolved(data: bytes) -> None:
    with pytest.raises(MalformedMessage):
        parse_rpc(data)


def test_hello_exchanges_capabilities() -> None:
    sent = server_hello(7, [BASE_10, BASE_11])
    root = parse_xml(sent)
    assert root.findtext(f"{{{BASE_NS}}}session-id") == "7"
    with pytest.raises(MalformedMessage, match="session-id"):
        parse_hello(sent)  # a client's hello has no session-id (8.1)
    client_hello = f'<hello xmlns="{BASE_NS}"><capabilities><capability> {BASE_11} </capability></capabilities></hello>'
    assert parse_hello(client_hello.encode()) == {BASE_11}
    for wrong in (client_hello.replace("base:1.1", "base:9"), client_hello.replace("hello", "hallo"), "<hello/>"):
        with pytest.raises(MalformedMessage):
            parse_hello(wrong.encode())


def test_rpc_errors_carry_tag_path_and_namespaces() -> None:
    error = RpcError("application", "invalid-value", "found -1; allowed: 0 or more", "/st:router/st:class[1]",
                     {"st": "urn:stonetrack:router"}, (("session-id", "4"),))  # fmt: skip
    reply = etree.fromstring(error_reply({"message-id": "5"}, [error, error]))
    rpc_errors = reply.findall(f"{{{BASE_NS}}}rpc-error")
    assert len(rpc_errors) == 2
    assert [etree.QName(each).localname for each in rpc_errors[0]] == [
        "error-type", "error-tag", "error-severity", "error-path", "error-message", "error-info"]  # fmt: skip
    path_element = rpc_errors[0].find(f"{{{BASE_NS}}}error-path")
    assert (
        path_element is not None
        and path_element.text == error.path
        and path_element.nsmap["st"] == "urn:stonetrack:router"
    )
    with pytest.raises(ValueError, match="no-such-tag"):
        RpcError("rpc", "no-such-tag", "")


@given(st.text(max_size=60))
def test_any_text_can_be_an_error_message(text: str) -> None:
    found = etree.fromstring(error_reply({}, [RpcError("rpc", "operation-failed", text)]))
    assert len(found.findtext(f".//{{{BASE_NS}}}error-message") or "") <= len(text)


def test_mutated_messages_raise_only_the_declared_errors() -> None:
    rng = random.Random(4)
    corpus = [GET, BOMB, FILE, server_hello(1, [BASE_11])]
    parsed = 0
    for _ in range(3_000):
        data = bytearray(rng.choice(corpus))
        for _ in range(rng.randrange(1, 4)):
            index = rng.randrange(len(data))
            match rng.randrange(3):
                case 0:
                    data[index] = rng.randrange(256)
                case 1:
                    del data[index : index + rng.randrange(1, 9)]
                case _:
                    data[index:index] = rng.choice([b"<", b">", b"&", b"]]>", b"<!DOCTYPE a>", b'"', b"<get/>"])
            if not data:
                data = bytearray(b"x")
        try:
            parse_rpc(bytes(data))
            parsed += 1
        except (MalformedMessage, RpcError):
            pass
    assert 0 < parsed < 1_500
