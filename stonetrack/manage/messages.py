"""NETCONF's messages: hello, rpc, rpc-reply and rpc-error (RFC 6241, sections 4 and 8.1, appendix A).

Bytes in and out.  XML is read by lxml with everything off that reads more than the message: no entities, no DTD, no
network, no tree deeper than its own bound; a document type is refused before its tree is looked at.  Namespaces decide
what an element is, never prefixes (1.2).

Input that can't be parsed as an rpc has no message-id to reply to and raises :class:`MalformedMessage`: a 1.1 session
replies with ``malformed-message``, a 1.0 session ends (appendix A).  An invalid rpc raises :class:`RpcError`, which is
sent as the reply.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from lxml import etree

BASE_NS = "urn:ietf:params:xml:ns:netconf:base:1.0"
BASE_10, BASE_11 = "urn:ietf:params:netconf:base:1.0", "urn:ietf:params:netconf:base:1.1"
ERROR_TYPES = ("transport", "rpc", "protocol", "application")
ERROR_TAGS = frozenset({
    "in-use", "invalid-value", "too-big", "missing-attribute", "bad-attribute", "unknown-attribute", "missing-element",
    "bad-element", "unknown-element", "unknown-namespace", "access-denied", "lock-denied", "resource-denied",
    "rollback-failed", "data-exists", "data-missing", "operation-not-supported", "operation-failed",
    "malformed-message",
})  # fmt: skip
Element = Any  # lxml's


class MalformedMessage(ValueError):
    """Bytes that are no rpc; the text says why."""


@dataclass(eq=False)
class RpcError(Exception):
    """One rpc-error.  ``path`` is an XPath with prefixes from ``namespaces``; ``info`` holds names and texts."""

    error_type: str
    tag: str
    text: str
    path: str = ""
    namespaces: Mapping[str, str] = field(default_factory=dict)
    info: tuple[tuple[str, str], ...] = ()

    def __post_init__(self) -> None:
        if self.error_type not in ERROR_TYPES or self.tag not in ERROR_TAGS:
            raise ValueError(
                f"error {self.error_type}/{self.tag}; allowed: {', '.join(ERROR_TYPES)} and the tags of appendix A"
            )

    def __str__(self) -> str:
        return f"{self.tag}: {self.text}"


@dataclass(frozen=True)
class Rpc:
    """One request: all attributes of ``<rpc>``, which its reply repeats (4.1), and the operation's element."""

    attributes: Mapping[str, str]
    operation: Element

    @property
    def name(self) -> str:
        """The operation's name in its namespace: ``{uri}name``."""
        return str(self.operation.tag)


def parse_xml(data: bytes) -> Element:
    """The root of a document.  Raises MalformedMessage."""
    parser = etree.XMLParser(
        resolve_entities=False, no_network=True, load_dtd=False, dtd_validation=False, huge_tree=False,
        remove_comments=True, remove_pis=True, collect_ids=False,
    )  # fmt: skip
    try:
        root = etree.fromstring(data, parser)
    except (etree.XMLSyntaxError, ValueError) as error:
        raise MalformedMessage(f"no XML: {error}") from None
    if root.getroottree().docinfo.internalDTD is not None:
        raise MalformedMessage("a document type; allowed: none (RFC 6241, section 3)")
    return root


def parse_rpc(data: bytes) -> Rpc:
    """The request of a message.  Raises MalformedMessage, or RpcError where it is one and wrong."""
    root = parse_xml(data)
    if root.tag != f"{{{BASE_NS}}}rpc":
        raise MalformedMessage(f"found {root.tag}; allowed: rpc in {BASE_NS}")
    if "message-id" not in root.attrib:
        raise RpcError("rpc", "missing-attribute", "rpc without message-id",
                       info=(("bad-attribute", "message-id"), ("bad-element", "rpc")))  # fmt: skip
    found = list(root)
    if len(found) != 1:
        said = f"{len(found)} operations in one rpc; allowed: one"
        raise RpcError("rpc", "missing-element" if not found else "bad-element", said, info=(("bad-element", "rpc"),))
    return Rpc(dict(root.attrib), found[0])


def parse_hello(data: bytes) -> frozenset[str]:
    """The capabilities of a client's hello (8.1).  Raises MalformedMessage: a session without a hello ends."""
    root = parse_xml(data)
    if root.tag != f"{{{BASE_NS}}}hello":
        raise MalformedMessage(f"found {root.tag}; allowed: hello in {BASE_NS}")
    if root.find(f"{{{BASE_NS}}}session-id") is not None:
        raise MalformedMessage("a client's hello with a session-id")
    found = frozenset(
        (each.text or "").strip() for each in root.iterfind(f"{{{BASE_NS}}}capabilities/{{{BASE_NS}}}capability")
    )
    if not found & {BASE_10, BASE_11}:
        raise MalformedMessage(f"a hello without {BASE_10} or {BASE_11}")
    return found


def _bytes(root: Element) -> bytes:
    return bytes(etree.tostring(root, xml_declaration=True, encoding="UTF-8"))


def _add(parent: Element, name: str, text: str | None = None) -> Element:
    made = etree.SubElement(parent, f"{{{BASE_NS}}}{name}")
    made.text = text
    return made


def server_hello(session: int, capabilities: Iterable[str]) -> bytes:
    """The server's hello."""
    root = etree.Element(f"{{{BASE_NS}}}hello", nsmap={None: BASE_NS})
    inside = _add(root, "capabilities")
    for each in capabilities:
        _add(inside, "capability", each)
    _add(root, "session-id", str(session))
    return _bytes(root)


def _reply(attributes: Mapping[str, str]) -> Element:
    root = etree.Element(f"{{{BASE_NS}}}rpc-reply", nsmap={None: BASE_NS})
    for name, value in attributes.items():
        root.set(name, value)
    return root


def ok_reply(rpc: Rpc) -> bytes:
    """``<ok/>``."""
    root = _reply(rpc.attributes)
    _add(root, "ok")
    return _bytes(root)


def data_reply(rpc: Rpc, elements: Iterable[Element]) -> bytes:
    """A reply that holds data."""
    root = _reply(rpc.attributes)
    root.extend(elements)
    return _bytes(root)


def error_reply(attributes: Mapping[str, str], found: Iterable[RpcError]) -> bytes:
    """A reply of errors; ``attributes`` are those of the request, none where they could not be read."""
    root = _reply(attributes)
    for error in found:
        inside = _add(root, "rpc-error")
        for name, text in (("error-type", error.error_type), ("error-tag", error.tag), ("error-severity", "error")):
            _add(inside, name, text)
        if error.path:
            at = etree.SubElement(inside, f"{{{BASE_NS}}}error-path", nsmap=dict(error.namespaces))
            at.text = error.path
        said = _add(inside, "error-message", _printable(error.text))
        said.set("{http://www.w3.org/XML/1998/namespace}lang", "en")
        if error.info:
            info = _add(inside, "error-info")
            for name, text in error.info:
                _add(info, name, _printable(text))
    return _bytes(root)


def _printable(text: str) -> str:
    """Text that XML can hold: what a client sent may not be."""
    return "".join(
        c if c in "\t\n" or " " <= c <= "\ud7ff" or "\ue000" <= c <= "\ufffd" or c > "\uffff" else "?" for c in text
    )
