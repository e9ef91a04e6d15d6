"""A client's request in the form in which it is sent to a node; the payload of the engine's record."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..buffers import Body
from ..memory_budget import REQUEST_RECORD_BYTES

if TYPE_CHECKING:
    from .staged_upload import StagedUpload

# Connection-specific fields (RFC 9110 7.6.1), and fields that the gateway writes itself.  All others are
# forwarded: nodes read fields that the gateway does not know, for example Idempotency-Key.
NOT_FORWARDED = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "http2-settings",
        "expect",
        "content-length",
        "host",
        "request-id",
        "request-timeout-ms",
    }
)
_ORIGIN = re.compile(r"https?://[^/?#]*", re.IGNORECASE)


@dataclass(slots=True)
class ForwardedRequest:
    """One request, with the buffered part of its body."""

    method: str
    target: str
    request_id: str
    body: Body
    fields: str = ""  # further header lines, each with its end, forwarded unchanged
    upload: StagedUpload | None = None  # set by the transport for a large body

    def head(self, host: str, remaining_us: int, length: int | None) -> bytes:
        """Return the head sent to a node, with the remaining time; a body without a length is chunked."""
        lines = [
            f"{self.method} {self.target} HTTP/1.1",
            f"Host: {host}",
            f"Request-Id: {self.request_id}",
            f"Request-Timeout-Ms: {max(1, remaining_us // 1000)}",
        ]
        if length is None:
            lines.append("Transfer-Encoding: chunked")
        elif length or self.method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {length}")
        lines.append(self.fields)
        return "\r\n".join(lines).encode("latin-1") + b"\r\n"

    def reserve(self) -> None:
        """Count what the request holds beside its body; raises PoolEmpty if there is no memory left."""
        self.body.reserve(REQUEST_RECORD_BYTES + len(self.fields))

    def release(self) -> None:
        """Free the body of a request that has its answer, and fail an upload that has not started to run."""
        self.body.release()
        if self.upload is not None:
            self.upload.fail()


def forwarded_fields(headers: dict[str, str]) -> str:
    """Return the header lines that are forwarded to a node, as one text: many short ones cost much more."""
    connection_options = headers.get("connection", "").lower().replace(" ", "").split(",")
    return "".join(
        f"{name}: {value}\r\n"
        for name, value in headers.items()
        if name not in NOT_FORWARDED and name not in connection_options
    )


def origin_form(target: str) -> str:
    """Convert an absolute-form target (RFC 9112 3.2.2) to origin form; others are returned unchanged."""
    match = _ORIGIN.match(target)
    if match is None:
        return target
    rest = target[match.end() :]
    return rest if rest.startswith("/") else "/" + rest
