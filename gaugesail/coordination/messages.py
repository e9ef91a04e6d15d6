"""All records that gateways of a fleet exchange or store, from one module per group.

Any message may be delayed, duplicated, reordered or lost; each carries what its receiver needs to recognize
an outdated one.
"""

from __future__ import annotations

from .bootstrap_messages import BootstrapBind, BootstrapStatus
from .consensus_messages import (
    AppendEntries,
    AppendResponse,
    InstallSnapshot,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from .lease_messages import (
    HeldQuota,
    LeaseRequest,
    LeaseResponse,
    LeaseStatus,
    QuotaDemand,
    QuotaOrder,
    QuotaOrders,
)
from .log_commands import (
    AcknowledgeFloor,
    AllocateQuota,
    CloseSession,
    Command,
    ForgetGateway,
    LogEntry,
    Noop,
    OpenSession,
    ReplaceVoters,
    SetLimits,
    SettleLimits,
)
from .membership_messages import Ack, DigestOffer, MemberUpdate, Nack, Ping, PingRequest, StateSync
from .operator_messages import OperatorCommand, OperatorCommandResult
from .record import Record
from .store_messages import StoreMark, StoreMarkVerdict

Message = (
    VoteRequest
    | VoteResponse
    | AppendEntries
    | AppendResponse
    | InstallSnapshot
    | TimeoutNow
    | StoreMark
    | StoreMarkVerdict
    | BootstrapStatus
    | BootstrapBind
    | LeaseRequest
    | LeaseResponse
    | QuotaOrders
    | Ping
    | Ack
    | PingRequest
    | Nack
    | DigestOffer
    | StateSync
    | OperatorCommand
    | OperatorCommandResult
)

__all__ = [
    "Ack",
    "AcknowledgeFloor",
    "AllocateQuota",
    "AppendEntries",
    "AppendResponse",
    "BootstrapBind",
    "BootstrapStatus",
    "CloseSession",
    "Command",
    "DigestOffer",
    "ForgetGateway",
    "HeldQuota",
    "InstallSnapshot",
    "LeaseRequest",
    "LeaseResponse",
    "LeaseStatus",
    "LogEntry",
    "MemberUpdate",
    "Message",
    "Nack",
    "Noop",
    "OpenSession",
    "OperatorCommand",
    "OperatorCommandResult",
    "Ping",
    "PingRequest",
    "QuotaDemand",
    "QuotaOrder",
    "QuotaOrders",
    "Record",
    "ReplaceVoters",
    "SetLimits",
    "SettleLimits",
    "StateSync",
    "StoreMark",
    "StoreMarkVerdict",
    "TimeoutNow",
    "VoteRequest",
    "VoteResponse",
]
