"""Simulated iSCSI peers: an initiator, a storage node, and the operator's file."""

from __future__ import annotations

import copy
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ..iscsi import pdu as wire
from ..iscsi.pdu import FINAL, NO_TAG, Op, Pdu, PduReader, fields
from ..net import Connection, dial
from .judge import TrackedRequest
from .peers import Listener, Peer, Words, options

TARGET = "iqn.2026-12.ee.example:rehearsed"
BLOCK_BYTES = 512
SCSI_STATUS = {"good": 0x00, "check": 0x02, "busy": 0x08, "full": 0x28}


def operator_file(nodes: list[IscsiNode], changes: dict[str, str]) -> dict[str, Any]:
    """Return an operator's file, with ``changes`` applied by their dotted paths.

    LUN 0 has a basic volume on shard 0 and a priority volume on shard 1.
    """
    from . import defaults

    config: dict[str, Any] = {
        "target": {"listen": "127.0.0.1:0", "management": "127.0.0.1:0", "name": TARGET},
        "limits": {"connect_timeout_ms": 250, "sockets": 1024},
        "rules": {"max_attempts": 4, "may_cancel": True, "drain_grace_us": 250_000,
                  "max_hold_off_us": 500_000,
                  "most_units": 8, "mean_units": 2.0},
        "class": [
            {"name": "read", "aim_ms": 500, "deadline_ms": 3000, "late_share": 0.15},
            {"name": "write", "aim_ms": 600, "deadline_ms": 5000, "late_share": 0.15, "writes": True},
        ],
        "plan": [{"name": "basic", "rate": 200, "reserve": 100},
                 {"name": "priority", "rate": 400, "reserve": 300, "weight": 3, "price": 1.4}],
        "lun": [{"number": 0, "extent": [
            {"first": 0, "blocks": 1024, "volume": "0a", "plan": "basic", "shard": 0},
            {"first": 1024, "blocks": 1024, "volume": "0b", "plan": "priority", "shard": 1}]}],
        "node": [{"id": node.name, "address": node.address, "shard": node.shard, "target": TARGET,
                  "phase": "Ready"} for node in nodes],
    }  # fmt: skip
    for path, value in changes.items():
        defaults.change(config, path, value)
    return config


class OperatorFile(Peer):
    """Discovery for this protocol: an edit of the operator's file, followed by a reload."""

    def __init__(self, world: Any, config: dict[str, Any]) -> None:
        super().__init__("list")
        self._world, self._config = world, config

    def send(self, words: Words) -> None:
        """NODE PHASE [up=MS]: change the phase of a node"""
        self._config = copy.deepcopy(self._config)
        row = next(row for row in self._config["node"] if row["id"] == words[0])
        row["phase"] = words[1]
        row["up_since_ms"] = int(options(words).get("up", 0))
        self._world.reload(self._config)


class PduConnection(Connection):
    """Reports complete PDUs to its owner, which has ``opened``, ``lost`` and ``message``."""

    def __init__(self, owner: Any) -> None:
        self._owner, self._reader = owner, PduReader(1 << 24)
        self.cmd_sn, self.stat_sn = 1, 1
        self.window = 16

    def connectionMade(self) -> None:
        """Report the new connection."""
        self._owner.opened(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes."""
        self._reader.feed(data)
        for pdu in self._reader.pdus():
            self._owner.message(self, pdu)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the end of the connection."""
        self._owner.lost(self)

    def write(
        self, opcode: int, flags: int, itt: int, words: dict[int, int] | None = None, **more: Any
    ) -> None:
        """Send a PDU; ``words`` holds 32-bit header words by their byte offsets."""
        cdb = more.pop("cdb", b"")
        self.link.write(Pdu(opcode, flags, itt, rest=fields(words, cdb), **more).encode())


class IscsiClient(Peer):
    """An initiator.  Options of its commands: lba= blocks= lun= tag= sn= fill= (one letter, for writes)."""

    def __init__(self, reactor: Any, name: str, address: Callable[[], tuple[str, int]]) -> None:
        super().__init__(name)
        self._reactor, self._address = reactor, address
        self._connection: PduConnection | None = None
        self._read_data: dict[int, bytes] = {}  # by tag: data of reads received so far
        self._write_data: dict[int, bytes] = {}  # by tag: data of writes, to be sent on an R2T
        self._requests: dict[int, list[TrackedRequest]] = {}  # by tag: tracked commands, oldest first
        self._unsent: dict[int, int] = {}  # by tag: bytes of a write that are not sent yet
        self._aborted_tag = -1

    def opened(self, connection: PduConnection) -> None:
        """Handle a new connection."""
        self._connection = connection

    def lost(self, connection: PduConnection) -> None:
        """Handle the end of a connection."""
        self._connection = None
        self._settle_all("its connection ended")
        self.saw("closed")

    def _settle_all(self, reason: str = "") -> None:
        """Settle all commands: unanswered for ``reason``, or, without one, because the client disconnects."""
        for request in (request for tagged in self._requests.values() for request in tagged):
            if reason and self.judge is not None:
                self.judge.mark_unanswered(request, reason)
            request.settled = True
        self._requests.clear()

    def _track_command(self, tag: int, unsent: int) -> None:
        """Track a command; its time limit starts with the last byte of the command or of its data."""
        if self.judge is not None:
            self._requests.setdefault(tag, []).append(self.judge.add_request(self.name, str(tag)))
            self._track_data(tag, unsent)

    def _track_data(self, tag: int, unsent: int) -> None:
        self._unsent[tag] = unsent
        if not unsent and self.judge is not None:
            self.judge.request_complete(self._requests[tag][-1], None, lambda: True)

    def _answered(self, tag: int, rejected: bool = False) -> None:
        """Settle a command: a status answers the first command with this tag, a reject the last."""
        tagged = self._requests.get(tag)
        if self.judge is None:
            return
        if tagged:
            self.judge.answered(tagged.pop(-1 if rejected else 0))
        elif not rejected:
            self.judge.add_fault(f"{self.name}: a status that nothing asked for: {tag}")

    def _connected(self) -> PduConnection:
        if self._connection is None:
            raise ValueError(f"{self.name} is not connected")
        return self._connection

    def message(self, connection: PduConnection, pdu: Pdu) -> None:
        """Handle a PDU of the gateway."""
        tag = str(pdu.itt)
        if pdu.opcode == Op.LOGIN_RESPONSE:
            self.saw("login", f"{pdu.word(36) >> 16:#06x}", *sorted(wire.read_text(pdu.data)))
        elif pdu.opcode == Op.DATA_IN:
            self._read_data[pdu.itt] = self._read_data.get(pdu.itt, b"") + pdu.data
            if pdu.flags & 1:
                self._status(pdu, self._read_data.pop(pdu.itt))
        elif pdu.opcode == Op.RESPONSE:
            self._status(pdu, pdu.data)
        elif pdu.opcode == Op.R2T:
            self.saw("r2t", tag, f"offset={pdu.word(40)}", f"length={pdu.word(44)}")
            self._answer_r2t(pdu)
        elif pdu.opcode == Op.REJECT:
            if pdu.data[0] & 0x3F == Op.COMMAND:
                self._answered(int.from_bytes(pdu.data[16:20], "big"), True)
            self.saw("reject", str(pdu.byte2))
        elif pdu.opcode == Op.TASK_RESPONSE:
            for request in self._requests.pop(self._aborted_tag, []):
                request.settled = True
            self.saw("aborted", str(pdu.byte2))
        elif pdu.opcode == Op.NOP_IN:
            self.saw("nop", tag, pdu.data.decode("latin-1"))
        elif pdu.opcode == Op.TEXT_RESPONSE:
            self.saw("text", pdu.data.decode("latin-1").replace("\0", " ").strip())
        elif pdu.opcode == Op.LOGOUT_RESPONSE:
            self.saw("logout")

    def _status(self, pdu: Pdu, data: bytes) -> None:
        self._answered(pdu.itt)
        name = next((name for name, code in SCSI_STATUS.items() if code == pdu.byte3), str(pdu.byte3))
        more = [f"{len(data)}", data[:1].decode("latin-1")] if data and name == "good" else []
        if name == "check":
            more = [f"{data[4]:02x}/{data[14]:02x}/{data[15]:02x}"]
        self.saw(name, str(pdu.itt), *more)

    def _answer_r2t(self, pdu: Pdu) -> None:
        data = self._write_data.get(pdu.itt)
        if data is not None:
            start, end, data_sn = pdu.word(40), pdu.word(40) + pdu.word(44), 0
            while start < end:
                part = data[start : min(end, start + 8192)]
                words = {20: pdu.word(20), 36: data_sn, 40: start}
                start, data_sn = start + len(part), data_sn + 1
                self._connected().write(Op.DATA_OUT, FINAL if start == end else 0, pdu.itt, words, data=part)
            if remaining := self._unsent.get(pdu.itt, 0):
                self._track_data(pdu.itt, max(0, remaining - pdu.word(44)))

    def send_login(self, words: Words) -> None:
        """login [Key=value ...]: connect and log in to the full feature phase in one step"""
        keys = {"InitiatorName": "iqn.2026-12.ee.example:client", "SessionType": "Normal",
                "TargetName": TARGET,
                "AuthMethod": "None", "MaxRecvDataSegmentLength": "8192"} | options(words)  # fmt: skip
        keys = {key: value for key, value in keys.items() if value}
        connecting = dial(self._reactor, self._address(), 5.0, lambda: PduConnection(self))

        def log_in(connection: PduConnection) -> None:
            connection.write(Op.LOGIN, FINAL | 0x07, 0, {24: 1}, data=wire.write_text(keys), immediate=True)

        connecting.addCallbacks(log_in, lambda failure: self.saw("refused"))

    def send_connect(self, words: Words) -> None:
        """connect: connect without a login"""
        connecting = dial(self._reactor, self._address(), 5.0, lambda: PduConnection(self))
        connecting.addCallbacks(lambda _: self.saw("connected"), lambda failure: self.saw("refused"))

    def _send_command(self, cdb: bytes, words: Words, flags: int, size: int, data: bytes = b"") -> None:
        given, connection = options(words), self._connected()
        sn = int(given.get("sn", connection.cmd_sn))
        if "sn" not in given:
            connection.cmd_sn += 1
        lun = wire.lun_bytes(int(given.get("lun", 0)))
        connection.write(
            Op.COMMAND,
            FINAL | flags,
            int(given.get("tag", 1)),
            {20: size, 24: sn},
            lun=lun,
            cdb=cdb,
            data=data,
        )
        self._track_command(int(given.get("tag", 1)), size - len(data) if flags & 0x20 else 0)

    def send_read(self, words: Words) -> None:
        """read [options]: send a read command"""
        given = options(words)
        blocks = int(given.get("blocks", 1))
        cdb = wire.block_cdb(False, int(given.get("lba", 0)), blocks)
        self._send_command(cdb, words, 0x40, blocks * BLOCK_BYTES)

    def send_many_reads(self, words: Words) -> None:
        """many-reads N: send N reads with tags from 1000 on"""
        for tag in range(int(words[0])):
            self.send_read([f"tag={tag + 1000}"])

    def send_write(self, words: Words) -> None:
        """write [options] [immediate=BYTES] [silent]: send a write command; a silent one answers no R2T"""
        given = options(words)
        blocks, tag = int(given.get("blocks", 1)), int(given.get("tag", 1))
        data = given.get("fill", "w").encode() * (blocks * BLOCK_BYTES)
        self._write_data[tag] = data
        if "silent" in words:
            del self._write_data[tag]  # its R2Ts are not answered
        cdb = wire.block_cdb(True, int(given.get("lba", 0)), blocks)
        immediate = given.get("fill", "w").encode() * int(given.get("immediate", 0))
        self._send_command(cdb, words, 0x20, len(data), immediate)

    def send_cdb(self, words: Words) -> None:
        """cdb HEX [length=N]: send any command that reads"""
        self._send_command(bytes.fromhex(words[0]), words, 0x40, int(options(words).get("length", 255)))

    def send_nop(self, words: Words) -> None:
        """nop TEXT: send a NOP-Out with this data"""
        self._connected().write(
            Op.NOP_OUT,
            FINAL,
            99,
            {20: NO_TAG, 24: self._connected().cmd_sn},
            data=words[0].encode(),
            immediate=True,
        )

    def send_abort(self, words: Words) -> None:
        """abort TAG: request the abort of a command"""
        self._aborted_tag = int(words[0])
        header_words = {20: int(words[0]), 24: self._connected().cmd_sn}
        self._connected().write(Op.TASK, FINAL | 1, 98, header_words, immediate=True)

    def send_text(self, words: Words) -> None:
        """text Key=value: send a text request"""
        self._connected().write(
            Op.TEXT, FINAL, 97, {20: NO_TAG}, data=words[0].encode() + b"\0", immediate=True
        )

    def send_logout(self, words: Words) -> None:
        """logout: request a logout"""
        self._connected().write(Op.LOGOUT, FINAL, 96, {24: self._connected().cmd_sn}, immediate=True)

    def send_hex(self, words: Words) -> None:
        """hex BYTES...: send raw bytes"""
        self._connected().link.write(bytes.fromhex("".join(words)))

    def close(self, words: Words) -> None:
        """Reset the connection."""
        self._settle_all()
        self._connected().link.abortConnection()


class IscsiNode(Listener):
    """A simulated storage node; it accepts logins and holds each command until the scenario answers it."""

    def __init__(self, reactor: Any, name: str, shard: int) -> None:
        self.shard = shard
        self.held: dict[str, tuple[PduConnection, Pdu]] = {}
        self._unresponsive = False
        self._command_count = 0
        self._window = 16
        super().__init__(reactor, name)

    def accept(self) -> PduConnection:
        """Return the protocol of a new connection."""
        return PduConnection(self)

    def opened(self, connection: PduConnection) -> None:
        """Handle a new connection."""
        connection.window = self._window
        self.open.append(connection)

    def lost(self, connection: PduConnection) -> None:
        """Handle the end of a connection."""
        self.open.remove(connection)
        self.saw("closed")

    def _write(
        self,
        to: PduConnection,
        op: int,
        flags: int,
        itt: int,
        words: dict[int, int] | None = None,
        **more: Any,
    ) -> None:
        sequence_numbers = {24: to.stat_sn, 28: to.cmd_sn, 32: to.cmd_sn + to.window - 1}
        to.stat_sn += 1
        to.write(op, flags, itt, sequence_numbers | (words or {}), **more)

    def message(self, connection: PduConnection, pdu: Pdu) -> None:
        """Handle a PDU; commands are numbered from 1 in order of arrival, whatever their tags."""
        if pdu.opcode == Op.LOGIN:
            self.saw("login")
            if not self._unresponsive:
                keys = wire.negotiate(wire.read_text(pdu.data), wire.Limits())
                self._write(connection, Op.LOGIN_RESPONSE, pdu.flags, pdu.itt, data=wire.write_text(keys))
        elif pdu.opcode == Op.COMMAND:
            connection.cmd_sn += 1
            self._command_count += 1
            self.held[str(self._command_count)] = connection, pdu
            kind = "write" if pdu.flags & 0x20 else "read"
            lba, blocks = int.from_bytes(pdu.cdb[2:6], "big"), int.from_bytes(pdu.cdb[7:9], "big")
            self.saw(
                kind, str(self._command_count), f"lba={lba}", f"blocks={blocks}", f"data={len(pdu.data)}"
            )
        elif pdu.opcode == Op.DATA_OUT:
            self.saw("data", f"offset={pdu.word(40)}", f"length={len(pdu.data)}")
        elif pdu.opcode == Op.TASK:
            self.saw("abort")
            if not self._unresponsive:
                self._write(connection, Op.TASK_RESPONSE, FINAL, pdu.itt)
        elif pdu.opcode == Op.LOGOUT:
            self.saw("logout")

    def send_mute(self, words: Words) -> None:
        """mute: stop answering logins and aborts"""
        self._unresponsive = True

    def send_break(self, words: Words) -> None:
        """break: reset all sessions; new ones are accepted"""
        for connection in list(self.open):
            connection.link.abortConnection()

    def send_window(self, words: Words) -> None:
        """window N: set how many commands may be in flight, from the next answer on"""
        self._window = int(words[0])
        for connection in self.open:
            connection.window = self._window

    def send_data(self, words: Words) -> None:
        """data N LETTER [part=BYTES] [offset=BYTES]: send a read's data and its status, or a part only"""
        connection, pdu = self.held[words[0]]
        given, size = options(words), pdu.word(20)
        if "part" in given:
            data = words[1].encode() * int(given["part"])
            self._write(
                connection, Op.DATA_IN, 0, pdu.itt, {20: NO_TAG, 40: int(given.get("offset", 0))}, data=data
            )
            return
        start = int(given.get("offset", 0))
        data = words[1].encode() * (size - start)
        self._write(connection, Op.DATA_IN, FINAL | 1, pdu.itt, {20: NO_TAG, 40: start}, data=data)

    def send_status(self, words: Words) -> None:
        """status N good|check|busy|full: send the status of a command"""
        connection, pdu = self.held.pop(words[0])
        data = wire.sense(0x04, 0x44, 0) if words[1] == "check" else b""
        self._write(connection, Op.RESPONSE, FINAL, pdu.itt, byte3=SCSI_STATUS[words[1]], data=data)

    def send_r2t(self, words: Words) -> None:
        """r2t N offset= length=: request a part of a write's data"""
        connection, pdu = self.held[words[0]]
        given = options(words)
        self._write(
            connection, Op.R2T, FINAL, pdu.itt,
            {20: 7, 40: int(given["offset"]), 44: int(given["length"])}, lun=pdu.lun,
        )  # fmt: skip
