"""Adapter from the simulator's line protocol, on standard input and output, to many routers in one process.

It translates only: each instance is a separate :class:`stonetrack.logic.Router`.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Iterator
from typing import TextIO, TypeVar

from stonetrack import api
from stonetrack.logic import Router

_EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}
_ROLES = {"read": api.Role.PREFILL, "write": api.Role.DECODE, "both": api.Role.MIXED}
_SOURCES = {
    "inline": api.ReportSource.ANSWERS,
    "on_probe": api.ReportSource.PROBES,
    "off": api.ReportSource.NONE,
}
_STATES = {
    "up": api.ServerState.UP,
    "draining": api.ServerState.DRAINING,
    "removed": api.ServerState.REMOVED,
}
_LISTS = {
    "INCREMENTAL": api.ListKind.CHANGES,
    "FULL": api.ListKind.FULL,
    "SAVED": api.ListKind.SAVED,
    "FAILED": api.ListKind.FAILED,
}
_OUTCOMES = {
    "delivered": api.Outcome.SERVED,
    "app_error": api.Outcome.ERROR,
    "shed": api.Outcome.FULL,
    "expired": api.Outcome.TIMED_OUT,
    "dial_failed": api.Outcome.CONNECT_FAILED,
    "dropped": api.Outcome.RESET,
    "revoked": api.Outcome.CANCELLED,
    "unused": api.Outcome.NOT_SENT,
    "half_done": api.Outcome.READ,
}
_SCOPES = {scope.value: scope for scope in api.Scope}
_TEXT_FIELDS = frozenset({"line", "params"})
_MEMORY_SHARE = "share_of_memory_that_is_held"
_WAITING_TOKENS = "thousands_of_prompt_tokens_waiting_to_be_read_or_fetched"

Fields = dict[str, str]
T = TypeVar("T")


class WireError(ValueError):
    """A line that can't be parsed; the text names line and field."""


def _required(fields: Fields, name: str) -> str:
    try:
        return fields[name]
    except KeyError:
        raise WireError(f"field {name} is missing") from None


def _int(fields: Fields, name: str, default: int | None = None) -> int:
    text = fields.get(name, "")
    if text == "":
        if default is None:
            raise WireError(f"field {name} is missing")
        return default
    try:
        return int(text)
    except ValueError:
        raise WireError(f"field {name}: not a whole number: {text!r}") from None


def _float(fields: Fields, name: str, default: float) -> float:
    text = fields.get(name, "")
    if text == "":
        return default
    try:
        return float(text)
    except ValueError:
        raise WireError(f"field {name}: not a number: {text!r}") from None


def _flag(fields: Fields, name: str) -> bool:
    text = fields.get(name, "0")
    if text not in ("", "0", "1", "true", "false"):
        raise WireError(f"field {name}: not a truth value: {text!r}")
    return text in ("1", "true")


def _enum_value(table: dict[str, T], fields: Fields, name: str, default: T | None = None) -> T:
    text = fields.get(name, "")
    if text == "" and default is not None:
        return default
    if text not in table:
        raise WireError(f"field {name}: unknown word {text!r}; allowed: {', '.join(table)}")
    return table[text]


def _list(fields: Fields, name: str) -> list[str]:
    text = fields.get(name, "")
    return text.split(",") if text else []


def _item_or_last(items: list[str], index: int, name: str, default: float) -> float:
    if not items:
        return default
    return _float({name: items[min(index, len(items) - 1)]}, name, default)


def parse_settings(pairs: Fields) -> api.Settings:
    """Settings from path=value pairs; unknown paths are ignored."""
    per_1000 = _list(pairs, "family_info.aim_us_per_1000_prompt_tokens")
    token_aims = _list(pairs, "family_info.token_aim_ns")
    memory = _list(pairs, "family_info.kv_tokens")
    classes = []
    for n in range(_int(pairs, "request_classes.count", 0)):
        at = f"request_classes.{n}."
        classes.append(
            api.RequestClass(
                name=pairs.get(at + "name", str(n)),
                first_token_aim=_int(pairs, at + "aim_ns"),
                aim_per_1000_tokens=int(
                    _item_or_last(per_1000, n, "family_info.aim_us_per_1000_prompt_tokens", 0) * 1000
                ),
                token_aim=int(_item_or_last(token_aims, n, "family_info.token_aim_ns", 0)),
                deadline=_int(pairs, at + "hard_limit_ns"),
                worth=_float(pairs, at + "worth", 1.0),
                late_worth=_float(pairs, at + "late_worth", 0.0),
                effect=_enum_value(_EFFECTS, pairs, at + "semantics", api.Effect.SAFE),
                scope=_enum_value(_SCOPES, pairs, at + "dedup_scope", api.Scope.ALL),
                key_window=_int(pairs, at + "key_ttl_ns", 0),
            )
        )
    kinds = []
    for n, role in enumerate(_list(pairs, "family_info.role_by_kind")):
        kinds.append(
            api.Kind(
                role=_enum_value(_ROLES, {"family_info.role_by_kind": role}, "family_info.role_by_kind"),
                memory_tokens=int(_item_or_last(memory, n, "family_info.kv_tokens", 0)),
            )
        )
    tenants = [
        api.Tenant(
            name=pairs.get(f"tenants.{n}.name", str(n)),
            quota_per_second=_float(pairs, f"tenants.{n}.quota_rps", 0.0),
        )
        for n in range(_int(pairs, "tenants.count", 0))
    ]
    return api.Settings(
        classes=tuple(classes),
        kinds=tuple(kinds),
        tenants=tuple(tenants),
        router=_int(pairs, "me", 0),
        routers=_int(pairs, "balancers", 1),
        zone=_int(pairs, "zone", 0),
        max_attempts=_int(pairs, "bounds.max_attempts", 1),
        may_cancel=_flag(pairs, "bounds.cancel"),
        may_probe=_flag(pairs, "bounds.probing"),
        may_hold_place=_flag(pairs, "family_info.may_reserve"),
        may_move=_flag(pairs, "family_info.resume"),
        may_advise_retry=_flag(pairs, "bounds.retry_after"),
        max_retry_after=_int(pairs, "bounds.max_retry_after_ns", 0),
        writers_read=_flag(pairs, "family_info.writers_read"),
        report_source=_enum_value(_SOURCES, pairs, "report.source", api.ReportSource.NONE),
        list_on_request=pairs.get("discovery") == "on_request",
        connect_timeout=_int(pairs, "bounds.connect_timeout_ns", 0),
        answer_slack=_int(pairs, "contract.grace_to_answer_ns", 0),
        release_within=_int(pairs, "family_info.release_within_ns", 500_000_000),
        cold_share=_float(pairs, "contract.cold_from", 1.0),
        warm_within=_int(pairs, "contract.warm_within_ns", 0),
        cold_multiple=_float(pairs, "contract.overload_factor", 1.0),
        cold_window=_int(pairs, "contract.fall_ns", 0),
        over_share_worth=_float(pairs, "over_share_worth", 1.0),
        worth_by_work=pairs.get("value_by") == "work",
    )


def split_line(line: str) -> tuple[str, Fields]:
    """First word and fields of a line; a text field takes the rest of the line."""
    parts = line.split("\t")
    fields: Fields = {}
    for n, part in enumerate(parts[1:], 1):
        name, equals, value = part.partition("=")
        if not equals:
            raise WireError(f"part {part!r} is no name=value pair")
        if name in _TEXT_FIELDS:
            value = "\t".join([value, *parts[n + 1 :]])
            fields[name] = value
            break
        fields[name] = value
    return parts[0], fields


class Instance:
    """One router, and what is needed to parse its events."""

    def __init__(self, fields: Fields) -> None:
        self.report_x0 = fields.get("family_info.report_x0")
        self.report_x1 = fields.get("family_info.report_x1")
        self.router = Router(parse_settings(fields), _int(fields, "entropy", 0))

    def report(self, fields: Fields) -> api.LoadReport | None:
        """The load report of an outcome or a probe; None where there is none."""
        text = fields.get("health_info", "")
        if not text:
            return None
        values: dict[str, float] = {}
        for part in text.split(","):
            name, colon, value = part.partition(":")
            if not colon:
                raise WireError(f"field health_info: no name:value pair in {part!r}")
            values[name] = _float({"health_info": value}, "health_info", 0.0)
        memory = waiting = None
        for name, meaning in (("x0", self.report_x0), ("x1", self.report_x1)):
            if name in values and meaning == _MEMORY_SHARE:
                memory = values[name]
            elif name in values and meaning == _WAITING_TOKENS:
                waiting = values[name] * 1000.0
        return api.LoadReport(values.get("inflight"), values.get("queue"), memory, waiting)

    def event(self, word: str, f: Fields) -> api.Event | None:
        """The event of one line, or None where the interface has no event for it."""
        if word == "KNOCK":
            flags = _int(f, "opts", 0)
            return api.RequestArrived(
                request=_required(f, "call"),
                class_index=_int(f, "cls", 0),
                session=f.get("thread", ""),
                time_left=_int(f, "patience_left_ns"),
                prompt_tokens=_int(f, "input_len", 0),
                shared_beginning=f.get("template") or None,
                shared_tokens=_int(f, "prefix_len", 0),
                max_answer_tokens=_int(f, "max_tokens", 0),
                tenant=_int(f, "team", 0),
                resumed=bool(flags & 16),
                repeated=bool(flags & 2),
            )
        if word == "RESULT":
            outcome = _enum_value(_OUTCOMES, f, "how")
            note = _int(f, "note", 0)
            return api.AttemptEnded(
                request=_required(f, "call"),
                attempt=_int(f, "try", 0),
                server=_required(f, "engine"),
                outcome=outcome,
                elapsed=_int(f, "time_taken_ns", 0),
                finished=_flag(f, "done_flag"),
                kept_tokens=note if outcome in (api.Outcome.READ, api.Outcome.SERVED) else 0,
                state_missing=outcome is api.Outcome.FULL and note == 1,
                report=self.report(f),
            )
        if word == "ACK_FIRST":
            return api.FirstToken(
                _required(f, "call"), _int(f, "try", 0), _required(f, "engine"), _int(f, "time_taken_ns", 0)
            )
        if word == "WAKEUP":
            return api.TimerFired(_int(f, "ctx"))
        if word == "GONE":
            return api.RequestGone(_required(f, "call"))
        if word == "PLACE_NOTE":
            what = _int(f, "what")
            if what not in (1, 2):
                raise WireError(f"field what: unknown note {what}")
            return api.PlaceAnswer(_required(f, "call"), _int(f, "try", 0), _required(f, "engine"), what == 1)
        if word == "SAMPLED":
            return api.ProbeEnded(
                _required(f, "engine"),
                _enum_value(_OUTCOMES, f, "how"),
                _int(f, "time_taken_ns", 0),
                self.report(f),
            )
        if word == "MAIL":
            return None
        raise WireError(f"unknown word {word!r}")


def parse_entry(f: Fields) -> api.ServerEntry:
    """One entry of a server list."""
    return api.ServerEntry(
        server=_required(f, "engine"),
        zone=_int(f, "dc", 0),
        kind=_int(f, "hw", 0),
        cell=_int(f, "cell", 0),
        state=_enum_value(_STATES, f, "condition", api.ServerState.UP),
        weight=_float(f, "scale", 1.0),
        started=_int(f, "since_ns", 0),
    )


def render(node: int, action: api.Action) -> str:
    """One action as a line of the protocol."""
    head = f"\tnode={node}"
    match action:
        case api.Send(request, server, limit):
            line = f"PLACE{head}\tcall={request}\tengine={server}"
            return f"{line}\tlimit_ns={limit}" if limit else line
        case api.HoldPlace(request, server):
            return f"HOLD_PLACE{head}\tcall={request}\tengine={server}"
        case api.Release(request):
            return f"RELEASE{head}\tcall={request}"
        case api.Refuse(request, after):
            line = f"BOUNCE{head}\tcall={request}"
            return f"{line}\tretry_after_ns={after}" if after else line
        case api.Fail(request):
            return f"ABORT{head}\tcall={request}"
        case api.Cancel(request, attempt):
            return f"WITHDRAW{head}\tcall={request}\ttry={attempt}"
        case api.Move(request):
            return f"REDIRECT{head}\tcall={request}"
        case api.Probe(server):
            return f"PROBE{head}\tengine={server}"
        case api.SetTimer(token, delay):
            return f"SLEEP{head}\tctx={token}\toffset_ns={delay}"
        case api.Subscribe():
            return f"OBSERVE{head}\twant=1"
        case api.Log(text):
            return f"WRITE_LOG{head}\tline={text}"


class SimulatorAdapter:
    """All instances of one process; :meth:`run` serves batches to the end of input."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.line_number = 0
        self.node = 0

    def _lines(self, source: Iterable[str]) -> Iterator[str]:
        for line in source:
            self.line_number += 1
            yield line.rstrip("\r\n")

    def _with_line_number(self, call: Callable[[], T]) -> T:
        try:
            return call()
        except WireError as error:
            raise WireError(f"line {self.line_number}: {error}") from None

    def _event(self, now: int, line: str, lines: Iterator[str], out: list[str]) -> None:
        word, fields = split_line(line)
        node = self.node = _int(fields, "node")
        if word == "BORN":
            pairs = dict(fields)
            for part in fields.get("params", "").split("\t"):
                name, _, value = part.partition("=")
                pairs[name] = value
            try:
                self.instances[node] = Instance(pairs)
            except WireError:
                raise
            except ValueError as error:
                raise WireError(f"settings: {error}") from None
            return
        if word == "POWER_OFF":
            self.instances.pop(node, None)
            return
        event: api.Event | None
        if word == "VIEW":
            entries = []
            for _ in range(_int(fields, "records", 0)):
                entry_word, entry = split_line(next(lines, ""))
                if entry_word != "ENTRY":
                    raise WireError(f"expected ENTRY, found {entry_word!r}")
                entries.append(parse_entry(entry))
            event = api.ServerList(_enum_value(_LISTS, fields, "form"), _int(fields, "stamp", 0), tuple(entries))
        instance = self.instances.get(node)
        if instance is None:
            raise WireError(f"field node: instance {node} is not running")
        if word != "VIEW":
            event = instance.event(word, fields)
        if event is not None:
            try:
                actions = instance.router.handle(now, event)
            except ValueError as error:
                raise WireError(str(error)) from None
            out.extend(render(node, action) for action in actions)

    def run(self, source: Iterable[str], sink: TextIO) -> int:
        """Serve batches until the input ends; returns the exit code of the process."""
        lines = self._lines(source)
        for line in lines:
            if not line:
                continue
            try:
                word, fields = self._with_line_number(lambda text=line: split_line(text))  # type: ignore[misc]
                if word != "BEGIN_BATCH":
                    raise WireError(f"line {self.line_number}: expected BEGIN_BATCH, found {word!r}")
                now = self._with_line_number(lambda f=fields: _int(f, "sim_time_ns"))  # type: ignore[misc]
                turn = self._with_line_number(lambda f=fields: _int(f, "turn"))  # type: ignore[misc]
            except WireError as error:
                print(f"stonetrack: {error}", file=sys.stderr)
                return 2
            out: list[str] = []
            committed = False
            fault: str | None = None
            for inner in lines:
                if inner == "COMMIT":
                    committed = True
                    break
                if fault is None:
                    try:
                        self._event(now, inner, lines, out)
                    except WireError as error:
                        fault = f"line {self.line_number}: {error}"
                        out = [f"BROKEN\tnode={self.node}\tline={fault}"]
            if not committed:
                print("stonetrack: the input ends inside a batch", file=sys.stderr)
                return 2
            out.append(f"END\tturn={turn}")
            sink.write("\n".join(out) + "\n")
            sink.flush()
        return 0


def main() -> int:
    """Entry point of ``python -m stonetrack.simulator_adapter``."""
    return SimulatorAdapter().run(sys.stdin, sys.stdout)


if __name__ == "__main__":
    sys.exit(main())
