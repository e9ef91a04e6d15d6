"""What both formats come down to, what went wrong where, and the operator's file that is made of it."""

from __future__ import annotations

import re
import zlib
from dataclasses import dataclass, field
from typing import Any

from ..iscsi.operator import write_toml

BLOCKS = 2_097_152  # a GiB of 512 bytes for each member, until the operator says how the blocks lie
AIM_SHARE = 6  # a class's aim as a part of its deadline, where only the deadline is known
_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}\Z")


class BadLine(Exception):
    """A line that cannot be read, with its place."""

    def __init__(self, file: str, line: int, text: str) -> None:
        super().__init__(f"{file}:{line}: {text}")


@dataclass(slots=True)
class Member:
    """One storage node."""

    name: str
    host: str
    port: int
    power: float = 1.0
    phase: str = "Ready"
    line: int = 0


@dataclass(slots=True)
class Balancer:
    """One balancer: it becomes a logical unit, each of its members a shard."""

    name: str
    members: list[Member] = field(default_factory=list)
    line: int = 0


@dataclass(slots=True)
class Found:
    """Everything that a file says and that has a meaning here."""

    file: str
    balancers: dict[str, Balancer] = field(default_factory=dict)
    warnings: list[str] = field(default_factory=list)
    deadline_ms: int = 0
    connect_ms: int = 0
    attempts: int = 0

    def bad(self, line: int, text: str) -> BadLine:
        return BadLine(self.file, line, text)

    def warn(self, line: int, text: str) -> None:
        self.warnings.append(f"{self.file}:{line}: {text}")

    def longest(self, deadline_ms: int) -> None:
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    def shortest_connect(self, connect_ms: int) -> None:
        if connect_ms > 0:
            self.connect_ms = min(self.connect_ms or connect_ms, connect_ms)


def number(found: Found, line: int, key: str, text: str, low: float, high: float) -> float:
    """A number within bounds, or a bad line."""
    if not re.match(r"\d{1,9}(\.\d{1,6})?\Z", text) or not low <= float(text) <= high:
        raise found.bad(line, f"{key}: {text!r} is no number from {low:g} to {high:g}")
    return float(text)


def logical_lines(text: str, comments: str) -> list[tuple[int, str]]:
    """Lines with their numbers, joined where one ends in a backslash, without comments and empty ones."""
    lines: list[tuple[int, str]] = []
    start, held = 0, ""
    for n, line in enumerate([*text.splitlines(), ""], 1):
        start = start if held else n
        if not held and line.strip()[:1] in tuple(comments):
            continue
        if line.endswith("\\"):
            held += line[:-1] or " "
            continue
        whole, held = (held + line).strip(), ""
        if whole:
            lines.append((start, whole))
    return lines


def operator_file(found: Found, hosts: dict[str, str]) -> dict[str, Any]:
    """The operator's file as nested tables; ``hosts`` gives addresses for names, as there is no DNS."""
    nodes: list[dict[str, Any]] = []
    units: list[dict[str, Any]] = []
    names: dict[str, int] = {}
    for number_, balancer in enumerate(found.balancers.values()):
        if not balancer.members:
            raise found.bad(balancer.line, f"balancer {balancer.name!r} has no members")
        extents: list[dict[str, Any]] = []
        for member in balancer.members:
            host = hosts.get(member.host, member.host)
            if not _ADDRESS.match(host):
                raise found.bad(
                    member.line, f"{host!r} is a name and there is no DNS: give --host {host}=ADDRESS"
                )
            shard, name = len(nodes), member.name
            if name in names:
                name = f"{balancer.name}-{name}"
                found.warn(
                    member.line, f"the name {member.name!r} is in use at line {names[member.name]}: {name}"
                )
            names.setdefault(name, member.line)
            nodes.append({
                "id": name, "address": f"{host}:{member.port}", "shard": shard, "power": member.power,
                "phase": member.phase,
            })  # fmt: skip
            volume = zlib.crc32(f"{balancer.name}/{name}".encode())
            extents.append({
                "first": BLOCKS * len(extents), "blocks": BLOCKS, "volume": f"{volume:08x}", "plan": "basic",
                "shard": shard,
            })  # fmt: skip
        units.append({"number": number_, "extent": extents})
    if not units:
        raise found.bad(1, "there is no balancer with members here")
    deadline = found.deadline_ms or 3000
    classes = [
        {"name": name, "aim_ms": max(1, deadline // AIM_SHARE), "deadline_ms": deadline, "writes": writes}
        for name, writes in (("read", False), ("write", True))
    ]
    return {
        "target": {"listen": "127.0.0.1:3260", "name": "iqn.2026-12.ee.example:imported"},
        "limits": {"connect_timeout_ms": found.connect_ms or 250},
        "rules": {"max_attempts": found.attempts or 2, "may_cancel": True, "drain_grace_us": 250_000,
                  "max_hold_off_us": 500_000},
        "class": classes,
        "plan": [{"name": "basic", "rate": 100.0, "reserve": 50.0}],
        "lun": units,
        "node": nodes,
    }  # fmt: skip


def render(found: Found, hosts: dict[str, str]) -> str:
    """The file's text; its first lines say what an import cannot know."""
    return (
        f"# Imported from {found.file}.  An import cannot know how the blocks lie, nor the plans:\n"
        "# check [target], each [[lun.extent]] and [[plan]] before this is used.\n"
        + write_toml(operator_file(found, hosts)).strip()
        + "\n"
    )
