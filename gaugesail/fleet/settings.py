"""The fleet's file: typed, and checked whole, so that all that is wrong with it is told at once."""

from __future__ import annotations

import hashlib
import ipaddress
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from gaugesail.coordination.fleet_terms import MAX_REPLICAS, FleetTerms

from ..http.endpoint_reader import BadList, split_address

LEAST_KEY = 16

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Share = Annotated[float, Meta(ge=0.0, le=0.9)]


class FleetError(ValueError):
    """The file cannot be used; the text names each entry that is wrong, a line for each."""


class _Fleet(msgspec.Struct, forbid_unknown_fields=True):
    """Table [fleet]."""

    name: Name
    head: Name
    listen: str
    keepers: Annotated[list[Name], Meta(min_length=1, max_length=MAX_REPLICAS)]
    key: str = ""
    key_file: str = ""
    advertise: str = ""
    folder: str = ""


class _Budgets(msgspec.Struct, forbid_unknown_fields=True):
    """Table [budgets]."""

    lease_ms: Annotated[int, Meta(ge=1000, le=60_000)] = 4000
    drift: Annotated[float, Meta(ge=0.0, le=0.1)] = 0.01
    most_heads: Annotated[int, Meta(ge=1, le=1000)] = 8
    floor_share: Share = 0.1
    floor_burst_share: Share = 0.5


class _Peer(msgspec.Struct, forbid_unknown_fields=True):
    """One row of [[peer]]."""

    name: Name
    address: str


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """The whole file.  Addresses are (host, port); ``peers`` are those that this head reaches others at."""

    terms: FleetTerms
    gateway: str
    listen: tuple[str, int]
    advertise: tuple[str, int] | None
    key: bytes
    folder: str | None
    peers: dict[str, tuple[str, int]]


def _table(data: dict[str, Any], key: str, kind: Any, faults: list[str]) -> Any:
    """One table, each field checked by itself; what is wrong goes to ``faults``, with its default instead."""
    return _row(data.get(key, {}), kind, f"[{key}]", faults)


def _row(row: Any, kind: Any, where: str, faults: list[str]) -> Any:
    if not isinstance(row, dict):
        faults.append(f"{where}: a table is needed, not {row!r}")
        row = {}
    known = {item.name: item for item in msgspec.structs.fields(kind)}
    found: dict[str, Any] = {}
    for name in row.keys() - known.keys():
        faults.append(f"{where} {name}: unknown; known are {', '.join(sorted(known))}")
    for name, item in known.items():
        if name in row:
            try:
                found[name] = msgspec.convert(row[name], item.type)
                continue
            except msgspec.ValidationError as error:
                faults.append(f"{where} {name}: {error}, not {row[name]!r}")
        elif item.required:
            faults.append(f"{where} {name}: it is missing")
        found[name] = None if item.required else item.default
    return kind(**found)


def _address(text: Any, where: str, faults: list[str]) -> tuple[str, int]:
    if text is None:
        return "", 0  # told already
    try:
        host, port = split_address(text)
        return str(ipaddress.IPv4Address(host)), port  # names are not looked up
    except (BadList, ValueError) as error:
        faults.append(f"{where}: {error}")
        return "", 0


def _key(fleet: _Fleet, faults: list[str]) -> bytes:
    if bool(fleet.key) == bool(fleet.key_file):
        faults.append("[fleet] key: either key or key_file is needed")
        return b""
    try:
        key: bytes = fleet.key.encode() if fleet.key else Path(fleet.key_file).read_bytes().strip()
    except OSError as error:
        faults.append(f"[fleet] key_file: {error}")
        return b""
    if len(key) < LEAST_KEY:
        faults.append(f"[fleet] key: {len(key)} bytes are too few; at least {LEAST_KEY} are needed")
    return key


def read_fleet(data: dict[str, Any]) -> FleetSettings:
    """A file's contents; FleetError tells all that is wrong."""
    faults: list[str] = []
    for word in data.keys() - {"fleet", "budgets", "peer"}:
        faults.append(f"{word}: unknown; known are [fleet], [budgets] and [[peer]]")
    fleet = _table(data, "fleet", _Fleet, faults)
    budgets = _table(data, "budgets", _Budgets, faults)
    peers: dict[str, tuple[str, int]] = {}
    rows = data.get("peer", [])
    if not isinstance(rows, list):
        faults.append("[[peer]]: rows are needed")
        rows = []
    for n, item in enumerate(rows, 1):
        row = _row(item, _Peer, f"[[peer]] {n}", faults)
        address = _address(row.address, f"[[peer]] {n} address", faults)
        if row.name in peers:
            faults.append(f"[[peer]] {n} name: {row.name!r} comes twice")
        if row.name is not None:
            peers[row.name] = address
    listen = _address(fleet.listen, "[fleet] listen", faults)
    advertise = _address(fleet.advertise, "[fleet] advertise", faults) if fleet.advertise else None
    secret = _key(fleet, faults)
    keepers = fleet.keepers or []
    if len(set(keepers)) < len(keepers):
        faults.append("[fleet] keepers: one comes twice")
    for name in keepers:
        if name != fleet.head and name not in peers:
            faults.append(f"[fleet] keepers: {name!r} has no [[peer]] row, so that it cannot be reached")
    if keepers and len(keepers) % 2 == 0:
        faults.append(f"[fleet] keepers: {len(keepers)} bear no more failures than {len(keepers) - 1}")
    if fleet.head in keepers and not fleet.folder:
        faults.append("[fleet] folder: a keeper needs one")
    if faults:
        raise FleetError("\n".join(faults))
    peers.pop(fleet.head, None)
    charter = FleetTerms(
        fleet.name, tuple(sorted(keepers)), budgets.lease_ms * 1000, round(budgets.drift * 1_000_000),
        budgets.most_heads, round(budgets.floor_share * 1_000_000),
        round(budgets.floor_burst_share * 1_000_000),
    )  # fmt: skip
    return FleetSettings(charter, fleet.head, listen, advertise, secret, fleet.folder or None, peers)


def load_fleet(path: str) -> FleetSettings:
    """The file at a path; FleetError names it and all that is wrong with it."""
    try:
        return read_fleet(tomllib.loads(Path(path).read_text()))
    except (OSError, ValueError) as error:
        lines = str(error).splitlines()
        raise FleetError("\n".join(f"{path}: {line}" for line in lines)) from None


def digest(charter: FleetTerms) -> str:
    """Short, and the same on each head whose file says the same of what binds."""
    told = msgspec.json.encode([getattr(charter, name) for name in charter.__slots__])
    return hashlib.blake2b(told, digest_size=8).hexdigest()
