"""NETCONF messages: hello, rpc, rpc-reply and rpc-error (RFC 6241, sections 4 and 8.1, appendix A).

Bytes in and out.  lxml parses the XML with every feature off that reads beyond the message: no entities, no DTD, no
network, and lxml's own limit on depth; a document type is rejected before the tree is used.  Elements are identified by
namespace, never by prefix (1.2).

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
Element = Any  # an lxml element


class MalformedMessage(ValueError):
    """The bytes are no valid message; the text gives the reason."""


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
    """One request: all attributes of ``<rpc>``, which the reply repeats (4.1), and the element of the operation."""

    attributes: Mapping[str, str]
    operation: Element

    @property
    def name(self) -> str:
        """The qualified name of the operation: ``{uri}name``."""
        return str(self.operation.tag)


def parse_xml(data: bytes) -> Element:
    """Parse a document and return its root.  Raises MalformedMessage."""
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
    """Parse a request.  Raises MalformedMessage, or RpcError for an rpc that is invalid."""
    root = parse_xml(data)
    if root.tag != f"{{{BASE_NS}}}rpc":
        raise MalformedMessage(f"found {root.tag}; allowed: rpc in {BASE_NS}")
    if "message-id" not in root.attrib:
        raise RpcError("rpc", "missing-attribute", "rpc without message-id",
                       info=(("bad-attribute", "message-id"), ("bad-element", "rpc")))  # fmt: skip
    operations = list(root)
    if len(operations) != 1:
        message = f"{len(operations)} operations in one rpc; allowed: one"
        raise RpcError(
            "rpc", "missing-element" if not operations else "bad-element", message, info=(("bad-element", "rpc"),)
        )
    return Rpc(dict(root.attrib), operations[0])


def parse_hello(data: bytes) -> frozenset[str]:
    """The capabilities in a client's hello (8.1).  Raises MalformedMessage: a session without a valid hello ends."""
    root = parse_xml(data)
    if root.tag != f"{{{BASE_NS}}}hello":
        raise MalformedMessage(f"found {root.tag}; allowed: hello in {BASE_NS}")
    if root.find(f"{{{BASE_NS}}}session-id") is not None:
        raise MalformedMessage("a client's hello with a session-id")
    capabilities = frozenset(
        (each.text or "").strip() for each in root.iterfind(f"{{{BASE_NS}}}capabilities/{{{BASE_NS}}}capability")
    )
    if not capabilities & {BASE_10, BASE_11}:
        raise MalformedMessage(f"a hello without {BASE_10} or {BASE_11}")
    return capabilities


def _serialize(root: Element) -> bytes:
    return bytes(etree.tostring(root, xml_declaration=True, encoding="UTF-8"))


def _add_child(parent: Element, name: str, text: str | None = None) -> Element:
    child = etree.SubElement(parent, f"{{{BASE_NS}}}{name}")
    child.text = text
    return child


def server_hello(session: int, capabilities: Iterable[str]) -> bytes:
    """The server's hello."""
    root = etree.Element(f"{{{BASE_NS}}}hello", nsmap={None: BASE_NS})
    container = _add_child(root, "capabilities")
    for each in capabilities:
        _add_child(container, "capability", each)
    _add_child(root, "session-id", str(session))
    return _serialize(root)


def _reply(attributes: Mapping[str, str]) -> Element:
    root = etree.Element(f"{{{BASE_NS}}}rpc-reply", nsmap={None: BASE_NS})
    for name, value in attributes.items():
        root.set(name, value)
    return root


def ok_reply(rpc: Rpc) -> bytes:
    """A reply with ``<ok/>``."""
    root = _reply(rpc.attributes)
    _add_child(root, "ok")
    return _serialize(root)


def data_reply(rpc: Rpc, elements: Iterable[Element]) -> bytes:
    """A reply with data elements."""
    root = _reply(rpc.attributes)
    root.extend(elements)
    return _serialize(root)


def error_reply(attributes: Mapping[str, str], rpc_errors: Iterable[RpcError]) -> bytes:
    """A reply with errors; ``attributes`` are those of the request, empty if they could not be parsed."""
    root = _reply(attributes)
    for error in rpc_errors:
        container = _add_child(root, "rpc-error")
        for name, text in (("error-type", error.error_type), ("error-tag", error.tag), ("error-severity", "error")):
            _add_child(container, name, text)
        if error.path:
            path_element = etree.SubElement(container, f"{{{BASE_NS}}}error-path", nsmap=dict(error.namespaces))
            path_element.text = error.path
        message_element = _add_child(container, "error-message", _printable(error.text))
        message_element.set("{http://www.w3.org/XML/1998/namespace}lang", "en")
        if error.info:
            info = _add_child(container, "error-info")
            for name, text in error.info:
                _add_child(info, name, _printable(text))
    return _serialize(root)


def _printable(text: str) -> str:
    """Replace characters that XML can't represent: a text may quote what a client sent."""
    return "".join(
        c if c in "\t\n" or " " <= c <= "\ud7ff" or "\ue000" <= c <= "\ufffd" or c > "\uffff" else "?" for c in text
    )
