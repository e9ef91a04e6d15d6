"""The SCSI commands that the iSCSI target answers without a node: inquiries, sizes and lists of units."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from .operator import LogicalUnit
from .pdu import lun_bytes
from .task import ILLEGAL_REQUEST, INVALID_CDB_FIELD, INVALID_OPCODE, NO_SUCH_UNIT, CheckCondition

# Operation codes (SCSI Primary Commands, SCSI Block Commands).
TEST_UNIT_READY, INQUIRY, READ_CAPACITY_10, SERVICE_ACTION_IN, REPORT_LUNS = 0x00, 0x12, 0x25, 0x9E, 0xA0
READ_CAPACITY_16 = 0x10  # a service action
SUPPORTED_PAGES, DEVICE_IDENTIFICATION = 0x00, 0x83  # pages of vital product data
BLOCK_DEVICE, NO_UNIT = 0x00, 0x7F  # peripheral qualifier and device type
STANDARD_INQUIRY = bytes([0, 6, 2, 31, 0, 0, 2]) + b"GAUGESAIHEAD            0001"  # behind the device type
LARGEST_CAPACITY_10 = 0xFFFFFFFF
MAX_NAME_BYTES = 200  # of a unit, in its identification


@dataclass(slots=True, frozen=True)
class Units:
    """The logical units of a target."""

    target: str  # its name
    by_number: dict[int, LogicalUnit]


def parameter_data(cdb: bytes, unit: LogicalUnit | None, units: Units) -> bytes:
    """Return the data that a command asks for, cut to its allocation length.

    Raises CheckCondition for a command that is not known, or not valid for its unit.
    """
    if cdb[0] == REPORT_LUNS:
        entries = b"".join(map(lun_bytes, sorted(units.by_number)))
        return (struct.pack(">II", len(entries), 0) + entries)[: int.from_bytes(cdb[6:10], "big")]
    if cdb[0] == INQUIRY:
        return _inquiry(cdb, unit, units.target)[: int.from_bytes(cdb[3:5], "big")]
    if unit is None:
        raise CheckCondition(ILLEGAL_REQUEST, NO_SUCH_UNIT)
    if cdb[0] == TEST_UNIT_READY:
        return b""
    return _capacity(cdb, unit)


def _capacity(cdb: bytes, unit: LogicalUnit) -> bytes:
    last_block = unit.blocks - 1
    if cdb[0] == READ_CAPACITY_10:
        return struct.pack(">II", min(last_block, LARGEST_CAPACITY_10), unit.block_size)
    if cdb[0] == SERVICE_ACTION_IN and cdb[1] & 0x1F == READ_CAPACITY_16:
        data = struct.pack(">QI", last_block, unit.block_size).ljust(32, b"\0")
        return data[: int.from_bytes(cdb[10:14], "big")]
    raise CheckCondition(ILLEGAL_REQUEST, INVALID_OPCODE)


def _inquiry(cdb: bytes, unit: LogicalUnit | None, target: str) -> bytes:
    kind = BLOCK_DEVICE if unit is not None else NO_UNIT
    asks_for_page, page = bool(cdb[1] & 1), cdb[2]
    if not asks_for_page and not page:
        return bytes([kind]) + STANDARD_INQUIRY
    if asks_for_page and page == SUPPORTED_PAGES:
        return bytes([kind, SUPPORTED_PAGES, 0, 2, SUPPORTED_PAGES, DEVICE_IDENTIFICATION])
    if asks_for_page and page == DEVICE_IDENTIFICATION and unit is not None:
        name = f"{target}:{unit.number}".encode()[:MAX_NAME_BYTES]
        identifier = bytes([0x02, 0x01, 0, len(name)]) + name
        return bytes([kind, DEVICE_IDENTIFICATION]) + len(identifier).to_bytes(2, "big") + identifier
    raise CheckCondition(ILLEGAL_REQUEST, INVALID_CDB_FIELD)
