"""Whether the iSCSI target takes a login request, RFC 7143 section 11.13."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from .pdu import FINAL, Pdu

CONTINUED_TEXT = 0x40  # the C bit
UNUSED_STAGE, FULL_FEATURE = 2, 3  # stages of a login; there is none with the number 2


class LoginStatus(IntEnum):
    """Status class and detail of a login response."""

    SUCCESS = 0
    INITIATOR_ERROR = 0x0200
    AUTHENTICATION_FAILURE = 0x0201
    TARGET_NOT_FOUND = 0x0203
    UNSUPPORTED_VERSION = 0x0205
    MISSING_PARAMETER = 0x0207
    INVALID_DURING_LOGIN = 0x020B
    SERVICE_UNAVAILABLE = 0x0301


@dataclass(slots=True, frozen=True)
class LoginRequest:
    """One login request, and what is known of its session."""

    pdu: Pdu
    offered: dict[str, str]  # the keys of its text
    is_first: bool  # of its session
    is_discovery: bool


def stage(pdu: Pdu) -> int:
    """The present stage of a login request."""
    return pdu.flags >> 2 & 3


def next_stage(pdu: Pdu) -> int:
    """The stage that a login request asks for, if it asks for a transition."""
    return pdu.flags & 3


def transits(pdu: Pdu) -> bool:
    """Whether a login request asks for a transition to the next stage."""
    return bool(pdu.flags & FINAL)


def is_last_stage(pdu: Pdu) -> bool:
    """Whether a login request asks for the full feature phase."""
    return transits(pdu) and next_stage(pdu) == FULL_FEATURE


def login_status(request: LoginRequest, target: str, no_common_method: bool) -> LoginStatus:
    """Return the status of the response to a login request at the target of this name.

    :param no_common_method: no authentication method is common to both.
    """
    pdu, offered = request.pdu, request.offered
    if pdu.byte3 > 0:  # the lowest version that the initiator supports
        return LoginStatus.UNSUPPORTED_VERSION
    if stage(pdu) == UNUSED_STAGE or _is_invalid_transition(pdu) or pdu.flags & CONTINUED_TEXT:
        return LoginStatus.INVALID_DURING_LOGIN
    names_target = request.is_discovery or "TargetName" in offered
    if request.is_first and not ("InitiatorName" in offered and names_target):
        return LoginStatus.MISSING_PARAMETER
    if not request.is_discovery and offered.get("TargetName", target) != target:
        return LoginStatus.TARGET_NOT_FOUND
    return LoginStatus.AUTHENTICATION_FAILURE if no_common_method else LoginStatus.SUCCESS


def _is_invalid_transition(pdu: Pdu) -> bool:
    wanted = next_stage(pdu)
    return transits(pdu) and (wanted <= stage(pdu) or wanted == UNUSED_STAGE)
