"""Feeds captured calls to a fresh router and compares what it decides."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from stonetrack import api
from stonetrack.capture import codec, segment
from stonetrack.capture.codec import Call, CaptureError, Gap, Header, Record, State
from stonetrack.capture.snapshot import restore
from stonetrack.logic import Router


@dataclass(frozen=True, slots=True)
class Difference:
    """The first call that was decided otherwise."""

    number: int
    call: Call
    now: tuple[api.Action, ...]


@dataclass
class Replayed:
    """What came of a replay."""

    calls: int = 0
    routers: int = 0
    states: int = 0  # snapshots that replay went on from
    skipped: int = 0  # calls after a gap, or before any header
    missing: int = 0  # calls that the capture itself says it lacks
    difference: Difference | None = None
    damage: list[str] = field(default_factory=list)

    @property
    def same(self) -> bool:
        """Whether every call that could be replayed was decided as before."""
        return self.difference is None


def read_file(path: Path) -> tuple[list[Record], segment.Damage | None]:
    """A segment's records that can be read, and the first damage."""
    data = path.read_bytes()
    blocks, damage = segment.scan(data)
    found: list[Record] = []
    for block in blocks:
        try:
            found += [codec.decode(raw) for raw in segment.records(data, block)]
        except CaptureError as error:
            return found, damage or segment.Damage(block.offset, str(error))
    return found, damage


def read(paths: Iterable[Path], damage: list[str]) -> Iterator[Record]:
    """The records of segments in order; what is damaged is told and ends what can be replayed of that router."""
    for path in paths:
        records, wrong = read_file(path)
        yield from records
        if wrong is not None:
            damage.append(f"{path.name}: offset {wrong.offset}: {wrong.text}")
            if not wrong.text.startswith("torn"):
                yield Gap(0, 0)


def replay(records: Iterable[Record], make: Callable[[api.Settings, int], Router] = Router, *, until: int | None = None,
           request: str = "", look: Callable[[int, Call, Router], None] | None = None) -> Replayed:  # fmt: skip
    """Replay to the first difference (in the calls about ``request``, if given), or to a time.

    ``look`` sees each call and the router after it.
    """
    result = Replayed()
    router: Router | None = None
    for number, record in enumerate(records):
        if isinstance(record, Header):
            router = make(record.settings, record.seed)
            result.routers += 1
        elif isinstance(record, State):
            router = restore(record.data)
            result.states += 1
        elif isinstance(record, Gap):
            result.missing += record.count
            router = None
        elif router is None:
            result.skipped += 1
        else:
            if until is not None and record.at > until:
                return result
            now = tuple(router.handle(record.at, record.event))
            result.calls += 1
            if look is not None:
                look(number, record, router)
            mine = not request or codec.request_of(record.event) == request
            if mine and now != record.actions:
                result.difference = Difference(number, record, now)
                return result
    return result
