"""What owners of the fleet's work did to a receiver, judged from the receiver's own order and the links.  No I/O.

1. *No interleaving.*  The terms of the effects that the list service took never go down, and a term has one owner.
2. *Each result once.*  Each list that was to be published changed the service's list once, and where the service lost
   its state, which begins another history, the last one was put once more; each engine under maintenance was told as
   leaving for one stretch, and is up again.
3. *Soon.*  A new owner's first effect comes within so long after the old one's last moment.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

Record = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Effect:
    """One effect that the list service took; ``changed`` engines, which made ``version``."""

    term: int
    owner: str
    version: int
    changed: int
    what: str = "put"
    leaving: tuple[str, ...] = ()  # after it
    origin: str = ""  # the history of ``version``


def effects(service_log: Sequence[Record]) -> list[Effect]:
    """All effects in the order in which the service took them (it writes them down under its lock)."""
    found = [r for r in service_log if r.get("event") == "effect"]
    return [Effect(r["term"], r["owner"], r["version"], r["changed"], r["what"], tuple(r["leaving"]),
                   r.get("origin", "")) for r in found]  # fmt: skip


def interleaved(taken: Sequence[Effect]) -> Iterator[str]:
    """Promise 1."""
    highest, owner = 0, ""
    for each in taken:
        if each.term < highest:
            yield f"term {each.term} of {each.owner} was taken after term {highest} of {owner}"
        elif each.term == highest and each.owner != owner:
            yield f"term {each.term} has two owners, {owner} and {each.owner}"
        highest, owner = max(highest, each.term), each.owner if each.term >= highest else owner


def results(taken: Sequence[Effect], lists: int, engines: Sequence[str]) -> Iterator[str]:
    """Promise 2: so many lists changed the service's, and each engine was leaving for one stretch, which is over."""
    puts, leaving = list[str](), frozenset[str]()
    for each in taken:  # a list that is put may carry out what maintenance has begun, and changes nothing else then
        moved, leaving = len(leaving ^ set(each.leaving)), frozenset(each.leaving)
        if each.what == "put" and each.changed > moved:
            puts.append(each.origin)
    again = len(set(puts)) - 1  # histories begun anew
    if not lists <= len(puts) <= lists + max(0, again):
        yield f"{lists} lists were to be put, {len(puts)} times one changed what was there, {again} times anew"
    for name in engines:
        story = [name in each.leaving for each in taken]
        began = sum(after and not before for before, after in zip([False, *story], story, strict=False))
        if began != 1 or story[-1]:
            yield f"{name} was told as leaving {began} times" + (", and still is" if story and story[-1] else "")


def kept_terms(service_log: Sequence[Record]) -> list[int]:
    """The terms of the effects, without repeats."""
    terms: list[int] = []
    for each in effects(service_log):
        if not terms or terms[-1] != each.term:
            terms.append(each.term)
    return terms
