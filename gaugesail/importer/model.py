"""The result of reading either format, its errors and warnings, and the operator's file made of it."""

from __future__ import annotations

import re
import zlib
from dataclasses import dataclass, field
from typing import Any

from ..iscsi.operator import write_toml

BLOCKS_PER_MEMBER = 2_097_152  # 1 GiB of 512-byte blocks: a placeholder, which the operator has to check
AIM_DIVISOR = 6  # of the deadline, for the latency objective (aim): the input has only deadlines
_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}\Z")


class ConfigLineError(Exception):
    """A line that cannot be read or converted; the text begins with file and line."""

    def __init__(self, file: str, line: int, text: str) -> None:
        super().__init__(f"{file}:{line}: {text}")


@dataclass(slots=True)
class Member:
    """A storage node."""

    name: str
    host: str
    port: int
    capacity: float = 1.0  # relative to other members
    phase: str = "Ready"
    line: int = 0


@dataclass(slots=True)
class Balancer:
    """A balancer, which becomes a logical unit; each of its members becomes a shard."""

    name: str
    members: list[Member] = field(default_factory=list)
    line: int = 0


@dataclass(slots=True)
class ImportedConfig:
    """The contents of a configuration file that have an equivalent in the operator's file.

    A time or count of 0 is not set.
    """

    file: str
    balancers: dict[str, Balancer] = field(default_factory=dict)
    warnings: list[str] = field(default_factory=list)
    deadline_ms: int = 0
    connect_ms: int = 0
    attempts: int = 0

    def error(self, line: int, text: str) -> ConfigLineError:
        """Return an error at a line of the file, for the caller to raise."""
        return ConfigLineError(self.file, line, text)

    def warn(self, line: int, text: str) -> None:
        """Add a warning about a line of the file."""
        self.warnings.append(f"{self.file}:{line}: {text}")

    def extend_deadline(self, deadline_ms: int) -> None:
        """Extend the deadline to this time; the longest of the file is used."""
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    def limit_connect_timeout(self, connect_ms: int) -> None:
        """Limit the connect timeout to this time; the shortest of the file is used, 0 is ignored."""
        if connect_ms > 0:
            self.connect_ms = min(self.connect_ms or connect_ms, connect_ms)


def parse_number(config: ImportedConfig, line: int, key: str, text: str, low: float, high: float) -> float:
    """Return the number in ``text``.  Raises ConfigLineError unless it is one from ``low`` to ``high``."""
    if not re.match(r"\d{1,9}(\.\d{1,6})?\Z", text) or not low <= float(text) <= high:
        raise config.error(line, f"{key}: expected a number from {low:g} to {high:g}, got {text!r}")
    return float(text)


def logical_lines(text: str, comments: str) -> list[tuple[int, str]]:
    """Return lines with their numbers, without comments and empty ones; a backslash at the end joins lines.

    :param comments: the characters that begin a comment line.
    """
    lines: list[tuple[int, str]] = []
    start, joined = 0, ""
    for n, line in enumerate([*text.splitlines(), ""], 1):
        start = start if joined else n
        if not joined and line.strip()[:1] in tuple(comments):
            continue
        if line.endswith("\\"):
            joined += line[:-1] or " "
            continue
        logical, joined = (joined + line).strip(), ""
        if logical:
            lines.append((start, logical))
    return lines


def operator_file(config: ImportedConfig, hosts: dict[str, str]) -> dict[str, Any]:
    """Return the operator's file as nested tables.

    :param hosts: addresses by host name, as names are not resolved by DNS.
    """
    nodes: list[dict[str, Any]] = []
    units: list[dict[str, Any]] = []
    names: dict[str, int] = {}
    for unit_number, balancer in enumerate(config.balancers.values()):
        if not balancer.members:
            raise config.error(balancer.line, f"balancer {balancer.name!r} has no members")
        extents: list[dict[str, Any]] = []
        for member in balancer.members:
            host = hosts.get(member.host, member.host)
            if not _ADDRESS.match(host):
                raise config.error(
                    member.line, f"{host!r} is a name, expected an address: use --host {host}=ADDRESS"
                )
            shard, name = len(nodes), member.name
            if name in names:
                name = f"{balancer.name}-{name}"
                config.warn(
                    member.line,
                    f"the name {member.name!r} is in use at line {names[member.name]}; renamed to {name!r}",
                )
            names.setdefault(name, member.line)
            nodes.append({
                "id": name, "address": f"{host}:{member.port}", "shard": shard, "power": member.capacity,
                "phase": member.phase,
            })  # fmt: skip
            volume = zlib.crc32(f"{balancer.name}/{name}".encode())
            extents.append({
                "first": BLOCKS_PER_MEMBER * len(extents), "blocks": BLOCKS_PER_MEMBER,
                "volume": f"{volume:08x}", "plan": "basic", "shard": shard,
            })  # fmt: skip
        units.append({"number": unit_number, "extent": extents})
    if not units:
        raise config.error(1, "expected a balancer with members, found none")
    deadline = config.deadline_ms or 3000
    classes = [
        {"name": name, "aim_ms": max(1, deadline // AIM_DIVISOR), "deadline_ms": deadline, "writes": writes}
        for name, writes in (("read", False), ("write", True))
    ]
    return {
        "target": {"listen": "127.0.0.1:3260", "name": "iqn.2026-12.ee.example:imported"},
        "limits": {"connect_timeout_ms": config.connect_ms or 250},
        "rules": {"max_attempts": config.attempts or 2, "may_cancel": True, "drain_grace_us": 250_000,
                  "max_hold_off_us": 500_000},
        "class": classes,
        "plan": [{"name": "basic", "rate": 100.0, "reserve": 50.0}],
        "lun": units,
        "node": nodes,
    }  # fmt: skip


def render(config: ImportedConfig, hosts: dict[str, str]) -> str:
    """Return the text of the operator's file; its first lines say what the operator has to check."""
    return (
        f"# Imported from {config.file}.  The imported file has no block layout and no plans:\n"
        "# check [target], each [[lun.extent]] and each [[plan]] before use.\n"
        + write_toml(operator_file(config, hosts)).strip()
        + "\n"
    )
