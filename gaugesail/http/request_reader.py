"""Validates a client's header fields against the settings and builds the engine's request record.

The values that a client states count against limits that it shares with other clients, so values beyond the
settings are rejected.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from gaugesail.policy.settings import Settings

from ..buffers import Body
from ..core.ports import ClientRequest
from .forwarded_request import ForwardedRequest, forwarded_fields
from .messages import BadMessage, Head

MAX_ID_LENGTH = 200  # characters of a request id
MAX_DEADLINE_FACTOR = 2  # of the class's deadline: the longest timeout that a client may request
_HEX_64_BIT = re.compile(r"[0-9a-fA-F]{1,16}\Z")
_BLOCK = re.compile(r"(?:^|;\s*)block=([^;]*)")
_NUMBER = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?\Z")
_INTEGER = re.compile(r"-?[0-9]{1,9}\Z")


@dataclass(slots=True)
class IoHeader:
    """The fields of the X-IO header, checked to be numbers but still text."""

    units: str
    gateways_in_use: str
    shard: str
    volume: str  # hexadecimal


class RequestReader:
    """Builds request records under one set of settings."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._class_indexes = {spec.name: index for index, spec in enumerate(settings.classes)}
        self._plan_indexes = {plan.name: index for index, plan in enumerate(settings.plans)}
        self._deadlines_us = [spec.deadline_us for spec in settings.classes]

    def read(self, head: Head, body: Body) -> ClientRequest:
        """Return the request of this head.

        Raises BadMessage, which names the missing or malformed header field.
        """
        headers = head.headers
        client_request_id = headers.get("request-id", "")
        class_index = self._class_indexes.get(headers.get("request-class", ""))
        plan_index = self._plan_indexes.get(headers.get("x-plan", ""))
        if not client_request_id or len(client_request_id) > MAX_ID_LENGTH:
            raise BadMessage("Request-Id is missing or too long")
        if class_index is None:
            raise BadMessage("Request-Class is missing or unknown")
        if plan_index is None:
            raise BadMessage("X-Plan is missing or unknown")
        io, block = _read_io(headers)
        timeout_us = self._timeout_us(headers.get("request-timeout-ms"), class_index)
        self._check_bounds(io)
        return ClientRequest(
            client_request_id,
            self._settings,
            class_index,
            timeout_us,
            ForwardedRequest(head.method, head.target, client_request_id, body, forwarded_fields(headers)),
            int(io.shard),
            plan_index,
            float(io.units),
            int(block, 16) if block is not None else 0,
            int(io.volume, 16),
            max(1.0, float(io.gateways_in_use)),
            headers.get("client-retry") == "1",
        )

    def _timeout_us(self, text: str | None, class_index: int) -> int:
        if text is not None and not (text.isascii() and text.isdigit() and len(text) <= 9):
            raise BadMessage("Request-Timeout-Ms is no whole number")
        # Clients that write slowly may request somewhat more time than the class has.
        timeout_us = self._deadlines_us[class_index] if text is None else int(text) * 1000
        if timeout_us > self._deadlines_us[class_index] * MAX_DEADLINE_FACTOR:
            raise BadMessage("Request-Timeout-Ms is beyond the class's")
        return timeout_us

    def _check_bounds(self, io: IoHeader) -> None:
        settings = self._settings
        units_allowed = 0 < float(io.units) <= settings.max_request_units
        if not units_allowed or float(io.gateways_in_use) > settings.gateway_count:
            raise BadMessage("units or hosts are beyond the settings'")
        if int(io.shard) < -1 or (settings.shard_count and int(io.shard) >= settings.shard_count):
            raise BadMessage("there is no such shard")


def _read_io(headers: dict[str, str]) -> tuple[IoHeader, str | None]:
    """Return the fields of X-IO and the block in the cookie, in hexadecimal; None without a block."""
    fields = dict(field.strip().partition("=")[::2] for field in headers.get("x-io", "").split(","))
    io = IoHeader(
        fields.get("units", ""), fields.get("hosts", "1"), fields.get("shard", ""), fields.get("volume", "")
    )
    block = _BLOCK.search(headers.get("cookie", ""))
    if not (_NUMBER.match(io.units) and _NUMBER.match(io.gateways_in_use) and _INTEGER.match(io.shard)):
        raise BadMessage("X-IO is missing or malformed")
    if not _HEX_64_BIT.match(io.volume) or (block and not _HEX_64_BIT.match(block[1])):
        raise BadMessage("the volume or the block is no hex number")
    return io, block[1] if block else None
