"""One SCSI command at the iSCSI target, from its arrival to its status."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from ..buffers import Body
from ..core.ports import BodySource, FailureReason
from .operator import Extent
from .pdu import Pdu, Status

# Sense keys, then additional sense codes with their qualifiers (SCSI Primary Commands).
ILLEGAL_REQUEST, ABORTED_COMMAND, HARDWARE_ERROR = 0x05, 0x0B, 0x04
NO_SUCH_UNIT, INVALID_OPCODE, LBA_OUT_OF_RANGE, INVALID_CDB_FIELD = (0x25, 0), (0x20, 0), (0x21, 0), (0x24, 0)
COMMUNICATION_TIMEOUT, INTERNAL_TARGET_FAILURE, DATA_PHASE_ERROR = (0x08, 0x01), (0x44, 0), (0x4B, 0)


class CheckCondition(Exception):
    """A command that ends with status CHECK CONDITION, a sense key and an additional code with qualifier."""

    def __init__(self, key: int, code: tuple[int, int]) -> None:
        super().__init__(f"sense key {key:#x}, code {code[0]:#x}/{code[1]:#x}")
        self.key, self.code = key, code


@dataclass(slots=True)
class Transfer:
    """A read or write of blocks: the payload of its request."""

    write: bool
    lun: int
    lba: int
    blocks: int
    length: int
    body: Body


class TaskSession(Protocol):
    """The session that a task belongs to."""

    @property
    def client_disconnected(self) -> bool:
        """Whether the client has disconnected, even if its end has not been read yet."""
        ...

    def check_condition(self, task: Task, key: int, code: tuple[int, int]) -> None:
        """End a task with status CHECK CONDITION and this sense key, code and qualifier."""
        ...

    def end(self, task: Task, status: Status, data: bytes = b"") -> None:
        """End a task: send its read data, then its status."""
        ...


@dataclass(slots=True, eq=False)
class Task:
    """One command; also the engine's Reply for it."""

    session: TaskSession
    itt: int  # initiator task tag
    lun: bytes
    expected: int  # Expected Data Transfer Length, in bytes
    received_at_us: int
    body: Body | None = field(default=None, init=False)
    extent: Extent | None = field(default=None, init=False)
    length: int = field(default=0, init=False)  # of the transfer, in bytes
    lba: int = field(default=0, init=False)
    deadline_us: int = field(default=0, init=False)
    request_id: int = field(default=0, init=False)  # the engine's; 0 until its data is complete
    r2t_sn: int = field(default=0, init=False)
    r2t_end: int = field(default=0, init=False)  # of the data that is asked for; 0: none
    data_sn: int = field(default=0, init=False)
    write: bool = field(default=False, init=False)
    done: bool = field(default=False, init=False)

    @classmethod
    def of(cls, session: TaskSession, pdu: Pdu, received_at_us: int) -> Task:
        """Return the task of a SCSI Command PDU."""
        return cls(session, pdu.itt, pdu.lun, pdu.word(20), received_at_us)

    def start_stream(self, source: BodySource) -> None:
        """Fail the command: nothing is streamed, as transfers are bounded and nodes' answers complete."""
        self.session.check_condition(self, HARDWARE_ERROR, INTERNAL_TARGET_FAILURE)

    def send_answer(self, answer: Any) -> None:
        """Complete the command with the data that the node returned."""
        self.session.end(self, Status.GOOD, b"" if self.write else answer)

    def reject(self, retry_after_us: int) -> None:
        """Complete the command with status BUSY, which has no time to retry after."""
        self.session.end(self, Status.BUSY)

    def client_has_disconnected(self) -> bool:
        """Whether the client has disconnected or aborted the command."""
        return self.session.client_disconnected or self.done

    def fail(self, reason: FailureReason) -> None:
        """Complete the command with CHECK CONDITION."""
        if reason is FailureReason.OUT_OF_TIME:
            self.session.check_condition(self, ABORTED_COMMAND, COMMUNICATION_TIMEOUT)
        else:
            self.session.check_condition(self, HARDWARE_ERROR, INTERNAL_TARGET_FAILURE)
