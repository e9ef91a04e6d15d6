"""Frames and settings of the simulator's wire, by tables of struct formats; no decision is made here."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from typing import Any

from gaugesail.policy.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    PollEndpoints,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
    WriteLog,
)
from gaugesail.policy.events import (
    AnswerStarted,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Event,
    HealthCheckEnded,
    PeerMessageReceived,
    RequestReceived,
    TimerFired,
)
from gaugesail.policy.settings import (
    DeduplicationScope,
    Idempotency,
    InvalidSetting,
    Plan,
    RequestClass,
    Settings,
)


class WireError(Exception):
    """The input does not follow the wire."""


EVENT_SIZE, ACTION_SIZE = 56, 24
HEADER = struct.Struct("<IIQ")
REPLY = struct.Struct("<II")
ENTRY = struct.Struct("<6sHHHBfQ")
RESULTS = {
    0: AttemptResult.SERVED,
    5: AttemptResult.ERROR,
    11: AttemptResult.REJECTED,
    110: AttemptResult.TIMEOUT,
    111: AttemptResult.NO_CONNECTION,
    104: AttemptResult.RESET,
    125: AttemptResult.CANCELLED,
    114: AttemptResult.NOT_STARTED,
}
LIST_KINDS = {
    0: EndpointListKind.CHANGES,
    2: EndpointListKind.FULL,
    1: EndpointListKind.CACHED,
    3: EndpointListKind.FAILED,
}
ENLIST, PEERS_KNOWN, POWER_OFF, CENSUS, INBOX, CRASH = 1, 2, 10, 11, 9, 76
EVERYONE = 0xFFFF


def _lookup(table: dict[int, Any], code: int, what: str) -> Any:
    try:
        return table[code]
    except KeyError:
        raise WireError(f"unknown {what} {code}") from None


def _result(code: int) -> AttemptResult:
    result: AttemptResult = _lookup(RESULTS, code, "completion code")
    return result


def _report(values: tuple[Any, ...]) -> tuple[float, ...]:
    if values[0] > 4:
        raise WireError(f"a load report of {values[0]} values")
    return tuple(values[1 : 1 + values[0]])


def _request(v: tuple[Any, ...]) -> RequestReceived:
    ticket, kind, flags, shard, plan, give_up, units, key, mounts, volume = v
    return RequestReceived(
        ticket, kind, give_up, int(shard), plan, units, key, volume, max(1.0, mounts), bool(flags & 2)
    )


def _outcome(v: tuple[Any, ...]) -> AttemptEnded:
    ticket, result, hop, node, used, elapsed, final, others = v[:8]
    return AttemptEnded(
        ticket, hop, node, _result(result), elapsed, bool(final), used, others, _report(v[8:])
    )


# code: (record after the code and the gateway, what it becomes)
EVENTS: dict[int, tuple[struct.Struct, Callable[[tuple[Any, ...]], Event] | None]] = {
    ENLIST: (struct.Struct("<QII"), None),
    PEERS_KNOWN: (struct.Struct("<QIB"), None),
    3: (struct.Struct("<IBHfHQfQfQ"), _request),
    4: (struct.Struct("<IB6sI"), lambda v: AnswerStarted(*v)),
    5: (struct.Struct("<IBB6sHIBHB4f"), _outcome),
    6: (struct.Struct("<I"), lambda v: ClientDisconnected(*v)),
    7: (struct.Struct("<Q"), lambda v: TimerFired(*v)),
    8: (struct.Struct("<6sIBB4f"), lambda v: HealthCheckEnded(v[0], _result(v[2]), v[1], _report(v[3:]))),
    INBOX: (struct.Struct("<HII"), None),
    POWER_OFF: (struct.Struct("<"), None),
    CENSUS: (struct.Struct("<II"), None),
}

# action: (code, record after the code and the gateway, its fields)
ACTIONS: dict[type, tuple[int, struct.Struct, Callable[[Any], tuple[Any, ...]]]] = {
    PollEndpoints: (65, struct.Struct("<HI"), lambda a: ()),
    WatchEndpoints: (66, struct.Struct("<HIB"), lambda a: (a.on,)),
    CancelAttempt: (67, struct.Struct("<HIIB"), lambda a: (a.request_id, a.attempt)),
    StartAttempt: (68, struct.Struct("<HII6sI"), lambda a: (a.request_id, a.node_id, a.timeout_us)),
    SetTimer: (69, struct.Struct("<HIQQ"), lambda a: (a.at_us, a.token)),
    CloseIdleConnections: (70, struct.Struct("<HI6s"), lambda a: (a.node_id,)),
    RejectRequest: (72, struct.Struct("<HIII"), lambda a: (a.request_id, a.retry_after_us)),
    CheckHealth: (74, struct.Struct("<HI6s"), lambda a: (a.node_id,)),
    FailRequest: (75, struct.Struct("<HII"), lambda a: (a.request_id,)),
}
TEXT = struct.Struct("<HIII")
MESSAGE = struct.Struct("<HIHII")


class Started:
    """A gateway starts, with its settings and seed."""

    def __init__(self, seed: int, settings: Settings) -> None:
        self.seed, self.settings = seed, settings


class Stopped:
    """A gateway was killed."""


def _slice(tail: bytes, offset: int, length: int) -> bytes:
    if offset + length > len(tail):
        raise WireError("a field points beyond the tail")
    return tail[offset : offset + length]


def _nodes(tail: bytes, offset: int, count: int) -> tuple[Endpoint, ...]:
    found = []
    for node, zone, kind, shard, mode, power, started in ENTRY.iter_unpack(
        _slice(tail, offset, count * ENTRY.size)
    ):
        if mode > 2:
            raise WireError(f"unknown mode {mode}")
        found.append(Endpoint(node, shard, EndpointState(mode), zone, kind, power, started))
    return tuple(found)


def read_batch(
    body: bytes, count: int, sheets: dict[int, tuple[Endpoint, ...]]
) -> Iterator[tuple[int, Event | Started | Stopped]]:
    """The events of one frame's body, each with the gateway it is for; lists are kept in ``sheets``."""
    records, tail = body[: count * EVENT_SIZE], body[count * EVENT_SIZE :]
    if len(records) != count * EVENT_SIZE:
        raise WireError("the frame is shorter than its records")
    for at in range(0, len(records), EVENT_SIZE):
        code = int.from_bytes(records[at : at + 2], "little")
        record, build = _lookup(EVENTS, code, "event code")
        gateway = int.from_bytes(records[at + 2 : at + 6], "little")
        values = record.unpack_from(records, at + 6)
        if build is not None:
            yield gateway, build(values)
        elif code == CENSUS:  # its sheet number stands where others name the gateway
            sheets[gateway] = _nodes(tail, *values)
        elif code == PEERS_KNOWN:
            kind = _lookup(LIST_KINDS, values[2], "list scope")
            failed = kind is EndpointListKind.FAILED
            yield gateway, EndpointList(kind, () if failed else _lookup(sheets, values[1], "sheet"))
        elif code == INBOX:
            yield gateway, PeerMessageReceived(values[0], _slice(tail, values[1], values[2]))
        elif code == ENLIST:
            yield gateway, Started(values[0], parse_settings(_slice(tail, values[1], values[2])))
        else:
            yield gateway, Stopped()


def write_reply(actions: list[tuple[int, Action | str]]) -> bytes:
    """One reply frame; a plain string stands for a crash and its text."""
    records, tail = bytearray(), bytearray()
    for gateway, action in actions:
        if isinstance(action, (str, WriteLog)):
            crash = isinstance(action, str)
            text = (action if isinstance(action, str) else action.text or repr(action)).encode()
            record = TEXT.pack(CRASH if crash else 71, gateway, len(tail), len(text))
            tail += text
        elif isinstance(action, SendPeerMessage):
            to = EVERYONE if action.to is None else action.to
            record = MESSAGE.pack(73, gateway, to, len(tail), len(action.data))
            tail += action.data
        else:
            code, layout, values = ACTIONS[type(action)]
            record = layout.pack(code, gateway, *values(action))
        records += record.ljust(ACTION_SIZE, b"\0")
    return REPLY.pack(len(actions), REPLY.size + len(records) + len(tail)) + records + tail


EFFECTS = {
    "retryable": Idempotency.IDEMPOTENT, "dedup": Idempotency.KEYED, "fragile": Idempotency.NOT_IDEMPOTENT,
}  # fmt: skip
GROUPS = {
    "all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.SHARD,
}  # fmt: skip
# setting of the interface: (path on the wire, type, value where it is absent; None: it must be there)
CLASS_KEYS: dict[str, tuple[str, Callable[[str], Any], str | None]] = {
    "name": ("name", str, None),
    "latency_objective_us": ("aim_us", int, None),
    "deadline_us": ("give_up_us", int, None),
    "priority_weight": ("gain", float, "1"),
    "late_weight_share": ("late_share", float, "0"),
    "idempotency": ("effect", EFFECTS.__getitem__, "retryable"),
    "deduplication_scope": ("group", GROUPS.__getitem__, "all"),
    "deduplication_window_us": ("window_us", int, "0"),
    "ordered": ("keep_order", lambda s: s == "true", "false"),
}
PLAN_KEYS: dict[str, tuple[str, Callable[[str], Any], str | None]] = {
    "name": ("name", str, None),
    "rate": ("rate", float, "0"),
    "reserve": ("reserve", float, "0"),
    "share_weight": ("parts", float, "1"),
    "priority_weight": ("pays", float, "1"),
    "limit": ("never_over", float, "0"),
    "limit_burst": ("most_at_once", float, "0"),
    "limit_slack": ("limit_slack", float, "0"),
}


def _flag(text: str) -> bool:
    return text == "true"


SITE_KEYS: dict[str, tuple[str, Callable[[str], Any], str | None]] = {
    "gateway_count": ("balancers", int, None),
    "gateway_index": ("me", int, None),
    "tick_us": ("tick_us", int, "1000"),
    "answer_slack_us": ("guarantees.answer_slack_us", int, "0"),
    "drain_grace_us": ("guarantees.drain_grace_us", int, "0"),
    "overload_window_us": ("guarantees.fall_us", int, "0"),
    "overload_factor": ("guarantees.fall_multiple", float, "1"),
    "initial_capacity_share": ("guarantees.cold_share", float, "1"),
    "warm_up_us": ("guarantees.ramp_time_us", int, "0"),
    "initial_capacity_units": ("domain.cold_bears", float, "0"),
    "ordered_key_pause_us": ("guarantees.key_quiet_us", int, "0"),
    "retry_budget_free": ("guarantees.free_resends", float, "0"),
    "retry_budget_share": ("guarantees.extra_per_request", float, "0"),
    "retry_budget_window_us": ("guarantees.look_back_us", int, "0"),
    "mean_request_units": ("domain.usual_units", float, "1"),
    "max_request_units": ("domain.max_units", float, "1"),
    "fair_share_weight": ("domain.fair_worth", float, "1"),
    "beyond_share_weight": ("domain.beyond_share", float, "1"),
    "reports_usage_elsewhere": ("domain.tells_elsewhere", _flag, "false"),
    "subscribes_to_endpoints": ("discovery", lambda s: s == "ask", "push"),
    "cancel_allowed": ("permissions.cancel", _flag, "false"),
    "health_checks_allowed": ("permissions.probes", _flag, "false"),
    "peer_messages_allowed": ("permissions.peers", _flag, "false"),
    "retry_after_allowed": ("permissions.retry_after", _flag, "false"),
    "max_attempts": ("permissions.max_attempts", int, "1"),
    "max_retry_after_us": ("permissions.max_retry_after_us", int, "0"),
    "shard_count": ("domain.slots_total", int, "0"),
    "clients_mark_retries": ("clients.marks_retry", _flag, "false"),
    "load_report_fields": ("load_info.fields", lambda s: tuple(s.split(",")) if s else (), ""),
}


def parse_settings(text: bytes) -> Settings:
    """The settings of ENLIST; keys that are not known are ignored."""
    try:
        lines = text.decode().splitlines()
    except UnicodeDecodeError:
        raise WireError("the settings are not text") from None
    pairs = dict(line.partition("=")[::2] for line in lines if line)

    def group(keys: dict[str, tuple[str, Callable[[str], Any], str | None]], prefix: str) -> dict[str, Any]:
        found = {}
        for name, (path, convert, default) in keys.items():
            value = pairs.get(prefix + path, default)
            if value is None:
                raise WireError(f"the setting {prefix + path} is missing")
            try:
                found[name] = convert(value)
            except (ValueError, KeyError):
                raise WireError(f"the setting {prefix + path} has the value {value!r}") from None
        return found

    def count(name: str) -> int:
        if not pairs.get(f"{name}.count", "").isdigit():
            raise WireError(f"the setting {name}.count is missing or no number")
        return int(pairs[f"{name}.count"])

    writes = pairs.get("domain.class_writes", "").split(",")
    try:
        classes = tuple(
            RequestClass(**group(CLASS_KEYS, f"categories.{i}."), writes=writes[i : i + 1] == ["true"])
            for i in range(count("categories"))
        )
        if writes != [""] and len(writes) != len(classes):
            raise WireError("the setting domain.class_writes does not fit the number of categories")
        plans = tuple(Plan(**group(PLAN_KEYS, f"contracts.{i}.")) for i in range(count("contracts")))
        return Settings(classes=classes, plans=plans, **group(SITE_KEYS, ""))
    except InvalidSetting as error:
        keys = SITE_KEYS.get(error.name) or CLASS_KEYS.get(error.name) or PLAN_KEYS.get(error.name)
        raise WireError(f"setting {error.named(keys[0] if keys is not None else error.name)}") from None
