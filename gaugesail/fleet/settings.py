"""The fleet's file: reads and checks all of it, and reports all errors at once.

The fields of the structs are the file's keys; they are mapped to FleetTerms and FleetSettings here.
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
    """The file cannot be used; each line of the text is an error, with its entry and what is expected."""


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
    drift: Annotated[float, Meta(ge=0.0, le=0.1)] = 0.01  # largest relative error of a clock's rate
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
    advertise: Address | None  # where other gateways reach it; None: at ``listen``
    key: bytes  # shared by the fleet
    folder: str | None  # of its store; None: no store
    peers: dict[str, Address]  # addresses of other gateways, by name


class _FileReader:
    """Reads the tables of one file.  ``errors`` collects all errors; a wrong value is read as if absent."""

    def __init__(self, data: dict[str, Any]) -> None:
        self._data = data
        self.errors: list[str] = []

    def check_table_names(self) -> None:
        """Report unknown tables."""
        for name in self._data.keys() - {"fleet", "budgets", "peer"}:
            self.errors.append(f"{name}: unknown table; expected [fleet], [budgets] or [[peer]]")

    def table(self, key: str, kind: type[_Row]) -> _Row:
        """Read one table; each field is checked by itself."""
        return self._row(self._data.get(key, {}), kind, f"[{key}]")

    def _row(self, row: Any, kind: type[_Row], where: str) -> _Row:
        if not isinstance(row, dict):
            self.errors.append(f"{where}: expected a table, got {row!r}")
            row = {}
        known = {field.name: field for field in msgspec.structs.fields(kind)}
        for name in row.keys() - known.keys():
            self.errors.append(f"{where} {name}: unknown key; expected one of {', '.join(sorted(known))}")
        values = {name: self._value(row, field, where) for name, field in known.items()}
        return kind(**values)

    def _value(self, row: dict[str, Any], field: msgspec.structs.FieldInfo, where: str) -> Any:
        """Read one field; its default, or None if it has none, if it is wrong or missing."""
        if field.name in row:
            try:
                return msgspec.convert(row[field.name], field.type)
            except msgspec.ValidationError as error:
                self.errors.append(f"{where} {field.name}: {error}, got {row[field.name]!r}")
        elif field.required:
            self.errors.append(f"{where} {field.name}: missing, but required")
        return None if field.required else field.default

    def peers(self) -> dict[str, Address]:
        """Read the rows of [[peer]]: addresses by gateway name."""
        rows = self._data.get("peer", [])
        if not isinstance(rows, list):
            self.errors.append(f"[[peer]]: expected an array of tables, got {rows!r}")
            rows = []
        peers: dict[str, Address] = {}
        for number, item in enumerate(rows, 1):
            row = self._row(item, _Peer, f"[[peer]] {number}")
            address = self.address(row.address, f"[[peer]] {number} address")
            if row.name in peers:
                self.errors.append(f"[[peer]] {number} name: expected a name once, got {row.name!r} again")
            if row.name is not None:
                peers[row.name] = address
        return peers

    def address(self, text: str | None, where: str) -> Address:
        """Read HOST:PORT, where the host is an IPv4 address: names are not resolved."""
        if text is None:
            return "", 0  # reported already
        try:
            host, port = split_address(text)
            return str(ipaddress.IPv4Address(host)), port
        except (BadList, ValueError) as error:
            self.errors.append(f"{where}: {error}")
            return "", 0

    def key(self, fleet: _Fleet) -> bytes:
        """Read the shared key, from the file itself or from the one that ``key_file`` names."""
        if bool(fleet.key) == bool(fleet.key_file):
            self.errors.append("[fleet] key: expected either key or key_file, got both or neither")
            return b""
        try:
            key = fleet.key.encode() if fleet.key else Path(fleet.key_file).read_bytes().strip()
        except OSError as error:
            self.errors.append(f"[fleet] key_file: {error}")
            return b""
        if len(key) < MIN_KEY_BYTES:
            self.errors.append(f"[fleet] key: {len(key)} bytes given, expected at least {MIN_KEY_BYTES}")
        return key

    def check_replicas(self, fleet: _Fleet, replicas: list[str], peers: dict[str, Address]) -> None:
        """Check that replicas are odd in number, distinct and reachable, and that this one has a store."""
        if len(set(replicas)) < len(replicas):
            self.errors.append(f"[fleet] keepers: expected each name once, got {replicas!r}")
        for name in replicas:
            if name != fleet.head and name not in peers:
                self.errors.append(
                    f"[fleet] keepers: {name!r} has no [[peer]] row with the address to reach it at"
                )
        if replicas and len(replicas) % 2 == 0:
            self.errors.append(
                f"[fleet] keepers: {len(replicas)} tolerate no more failures than {len(replicas) - 1};"
                " expected an odd number"
            )
        if fleet.head in replicas and not fleet.folder:
            self.errors.append(f"[fleet] folder: missing, but required: {fleet.head!r} is one of the keepers")


def read_fleet(data: dict[str, Any]) -> FleetSettings:
    """Return the settings of a file's parsed contents.  Raises FleetError, which lists all errors."""
    reader = _FileReader(data)
    reader.check_table_names()
    fleet = reader.table("fleet", _Fleet)
    budgets = reader.table("budgets", _Budgets)
    peers = reader.peers()
    listen = reader.address(fleet.listen, "[fleet] listen")
    advertise = reader.address(fleet.advertise, "[fleet] advertise") if fleet.advertise else None
    key = reader.key(fleet)
    replicas = fleet.keepers or []
    reader.check_replicas(fleet, replicas, peers)
    if reader.errors:
        raise FleetError("\n".join(reader.errors))
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
    """Read the file at a path.  Raises FleetError with the path and an error in each line."""
    try:
        return read_fleet(tomllib.loads(Path(path).read_text()))
    except (OSError, ValueError) as error:
        lines = str(error).splitlines()
        raise FleetError("\n".join(f"{path}: {line}" for line in lines)) from None


def digest(terms: FleetTerms) -> str:
    """Return a short hash of the terms' values in order, which gateways compare to agree on their terms."""
    values = msgspec.json.encode([getattr(terms, name) for name in terms.__slots__])
    return hashlib.blake2b(values, digest_size=8).hexdigest()
