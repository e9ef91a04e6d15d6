"""Reads and writes of blocks, as their command descriptor blocks ask for them."""

from __future__ import annotations

import struct

from .operator import LogicalUnit
from .pdu import Pdu
from .task import ILLEGAL_REQUEST, INVALID_CDB_FIELD, LBA_OUT_OF_RANGE, NO_SUCH_UNIT, CheckCondition, Task

# Operation codes (SCSI Block Commands).
READ_10, READ_16, WRITE_10, WRITE_16 = 0x28, 0x88, 0x2A, 0x8A
READS_AND_WRITES = (READ_10, READ_16, WRITE_10, WRITE_16)
LONG_FORM = 0x80  # bit of the operation codes with 16 bytes
EXPECTS_READ, EXPECTS_WRITE = 0x40, 0x20  # flags of the SCSI Command PDU
MAX_TRANSFER_BYTES = 256 * 1024  # with the command window it bounds the memory that one slow client can use


def read_transfer(task: Task, unit: LogicalUnit | None, pdu: Pdu) -> None:
    """Set what a task transfers; its length is 0 for a command without blocks.

    Raises CheckCondition if its unit has no such blocks, or the transfer is not possible.
    """
    cdb = pdu.cdb
    task.write = cdb[0] in (WRITE_10, WRITE_16)
    task.lba, count = _block_range(cdb)
    if unit is None:
        raise CheckCondition(ILLEGAL_REQUEST, NO_SUCH_UNIT)
    if task.lba + count > unit.blocks:
        raise CheckCondition(ILLEGAL_REQUEST, LBA_OUT_OF_RANGE)
    if not count:
        return
    task.length = count * unit.block_size
    task.extent = unit.extent(task.lba, count)
    # A range over two extents would need two nodes for one command: the client has to split it.
    is_possible = task.extent is not None and task.length <= MAX_TRANSFER_BYTES
    is_announced = bool(pdu.flags & (EXPECTS_WRITE if task.write else EXPECTS_READ))
    if not (is_possible and is_announced) or (task.write and task.expected < task.length):
        raise CheckCondition(ILLEGAL_REQUEST, INVALID_CDB_FIELD)


def _block_range(cdb: bytes) -> tuple[int, int]:
    """Return the first block and the number of blocks."""
    if cdb[0] & LONG_FORM:
        first, count = struct.unpack(">QI", cdb[2:14])
    else:
        first, count = struct.unpack(">I", cdb[2:6])[0], struct.unpack(">H", cdb[7:9])[0]
    return int(first), int(count)
