"""The fleet's file: read and checked as a whole, so that all that is wrong with it is told at once.

Its keys are the operators', and stay; they are mapped to FleetTerms and FleetSettings here.
"""

from __future__ import annotations

import hashlib
import ipaddress
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

from gaugesail.coordination.fleet_terms import MAX_REPLICAS, MILLION, FleetTerms

from ..http.endpoint_reader import BadList, split_address

MIN_KEY_BYTES = 16

Address = tuple[str, int]  # host and port
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


_Row = TypeVar("_Row", _Fleet, _Budgets, _Peer)


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """The fleet's file of one gateway."""

    terms: FleetTerms
    gateway: str
    listen: Address
    advertise: Address | None  # where others reach it; None: where it listens
    key: bytes  # shared by the fleet
    folder: str | None  # of its store; None: it has none
    peers: dict[str, Address]  # where this gateway reaches others


class _FileReader:
    """Reads one file's contents.  What is wrong is collected in ``faults``, and read as if it were absent."""

    def __init__(self, data: dict[str, Any]) -> None:
        self._data = data
        self.faults: list[str] = []

    def unknown_tables(self) -> None:
        """Tables that no file has."""
        for word in self._data.keys() - {"fleet", "budgets", "peer"}:
            self.faults.append(f"{word}: unknown; known are [fleet], [budgets] and [[peer]]")

    def table(self, key: str, kind: type[_Row]) -> _Row:
        """One table, each field checked by itself."""
        return self._row(self._data.get(key, {}), kind, f"[{key}]")

    def _row(self, row: Any, kind: type[_Row], where: str) -> _Row:
        if not isinstance(row, dict):
            self.faults.append(f"{where}: a table is needed, not {row!r}")
            row = {}
        known = {field.name: field for field in msgspec.structs.fields(kind)}
        for name in row.keys() - known.keys():
            self.faults.append(f"{where} {name}: unknown; known are {', '.join(sorted(known))}")
        values = {name: self._value(row, field, where) for name, field in known.items()}
        return kind(**values)

    def _value(self, row: dict[str, Any], field: msgspec.structs.FieldInfo, where: str) -> Any:
        """One field; None, or its default, where it is wrong or missing."""
        if field.name in row:
            try:
                return msgspec.convert(row[field.name], field.type)
            except msgspec.ValidationError as error:
                self.faults.append(f"{where} {field.name}: {error}, not {row[field.name]!r}")
        elif field.required:
            self.faults.append(f"{where} {field.name}: it is missing")
        return None if field.required else field.default

    def peers(self) -> dict[str, Address]:
        """The rows of [[peer]]."""
        rows = self._data.get("peer", [])
        if not isinstance(rows, list):
            self.faults.append("[[peer]]: rows are needed")
            rows = []
        peers: dict[str, Address] = {}
        for number, item in enumerate(rows, 1):
            row = self._row(item, _Peer, f"[[peer]] {number}")
            address = self.address(row.address, f"[[peer]] {number} address")
            if row.name in peers:
                self.faults.append(f"[[peer]] {number} name: {row.name!r} comes twice")
            if row.name is not None:
                peers[row.name] = address
        return peers

    def address(self, text: str | None, where: str) -> Address:
        """HOST:PORT, of which the host is an IPv4 address: names are not looked up."""
        if text is None:
            return "", 0  # a fault that is told already
        try:
            host, port = split_address(text)
            return str(ipaddress.IPv4Address(host)), port
        except (BadList, ValueError) as error:
            self.faults.append(f"{where}: {error}")
            return "", 0

    def key(self, fleet: _Fleet) -> bytes:
        """The shared key, from the file itself or from the one that it names."""
        if bool(fleet.key) == bool(fleet.key_file):
            self.faults.append("[fleet] key: either key or key_file is needed")
            return b""
        try:
            key = fleet.key.encode() if fleet.key else Path(fleet.key_file).read_bytes().strip()
        except OSError as error:
            self.faults.append(f"[fleet] key_file: {error}")
            return b""
        if len(key) < MIN_KEY_BYTES:
            self.faults.append(
                f"[fleet] key: {len(key)} bytes are too few; at least {MIN_KEY_BYTES} are needed"
            )
        return key

    def check_replicas(self, fleet: _Fleet, replicas: list[str], peers: dict[str, Address]) -> None:
        """An odd number of replicas, each once and reachable, and a store where this gateway is one."""
        if len(set(replicas)) < len(replicas):
            self.faults.append("[fleet] keepers: one comes twice")
        for name in replicas:
            if name != fleet.head and name not in peers:
                self.faults.append(
                    f"[fleet] keepers: {name!r} has no [[peer]] row, so that it cannot be reached"
                )
        if replicas and len(replicas) % 2 == 0:
            self.faults.append(
                f"[fleet] keepers: {len(replicas)} bear no more failures than {len(replicas) - 1}"
            )
        if fleet.head in replicas and not fleet.folder:
            self.faults.append("[fleet] folder: a keeper needs one")


def read_fleet(data: dict[str, Any]) -> FleetSettings:
    """The settings of a file's contents; FleetError tells all that is wrong."""
    reader = _FileReader(data)
    reader.unknown_tables()
    fleet = reader.table("fleet", _Fleet)
    budgets = reader.table("budgets", _Budgets)
    peers = reader.peers()
    listen = reader.address(fleet.listen, "[fleet] listen")
    advertise = reader.address(fleet.advertise, "[fleet] advertise") if fleet.advertise else None
    key = reader.key(fleet)
    replicas = fleet.keepers or []
    reader.check_replicas(fleet, replicas, peers)
    if reader.faults:
        raise FleetError("\n".join(reader.faults))
    peers.pop(fleet.head, None)
    terms = _terms(fleet, budgets)
    return FleetSettings(terms, fleet.head, listen, advertise, key, fleet.folder or None, peers)


def _terms(fleet: _Fleet, budgets: _Budgets) -> FleetTerms:
    return FleetTerms(
        name=fleet.name,
        replicas=tuple(sorted(fleet.keepers)),
        lease_us=budgets.lease_ms * 1000,
        max_drift_ppm=round(budgets.drift * MILLION),
        max_gateways=budgets.most_heads,
        floor_share=round(budgets.floor_share * MILLION),
        floor_burst_share=round(budgets.floor_burst_share * MILLION),
    )


def load_fleet(path: str) -> FleetSettings:
    """The settings of the file at a path; FleetError names it and all that is wrong with it."""
    try:
        return read_fleet(tomllib.loads(Path(path).read_text()))
    except (OSError, ValueError) as error:
        lines = str(error).splitlines()
        raise FleetError("\n".join(f"{path}: {line}" for line in lines)) from None


def digest(terms: FleetTerms) -> str:
    """Short, and the same at each gateway whose file has the same terms: a hash of their values in order."""
    values = msgspec.json.encode([getattr(terms, name) for name in terms.__slots__])
    return hashlib.blake2b(values, digest_size=8).hexdigest()
