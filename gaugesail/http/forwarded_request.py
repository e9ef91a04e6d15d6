"""What a node is sent of a client's request; the payload of the engine's record of it."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..buffers import Body

if TYPE_CHECKING:
    from .staged_upload import StagedUpload

# Fields of the one connection (RFC 9110 7.6.1), or that the gateway writes itself; all others are passed on,
# as an Idempotency-Key, say, is the node's to read.
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
    """One request, with its body as far as it is held in memory."""

    method: str
    target: str
    request_id: str
    body: Body
    fields: tuple[str, ...] = ()  # what else the client said, to be passed on as it is
    upload: StagedUpload | None = None  # the transport's own: a large body on its way to a node

    def head(self, host: str, left_us: int, length: int | None) -> bytes:
        """The head for a node; without a length the body goes in chunks."""
        lines = [
            f"{self.method} {self.target} HTTP/1.1",
            f"Host: {host}",
            f"Request-Id: {self.request_id}",
            f"Request-Timeout-Ms: {max(1, left_us // 1000)}",
            *self.fields,
        ]
        if length is None:
            lines.append("Transfer-Encoding: chunked")
        elif length or self.method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {length}")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"

    def release(self) -> None:
        """The request has its answer: what is held of it goes, and what has not run never will."""
        self.body.release()
        if self.upload is not None:
            self.upload.fail()


def forwarded_fields(headers: dict[str, str]) -> tuple[str, ...]:
    """The lines of the headers that go on to a node."""
    connection_options = headers.get("connection", "").lower().replace(" ", "").split(",")
    return tuple(
        f"{name}: {value}"
        for name, value in headers.items()
        if name not in NOT_FORWARDED and name not in connection_options
    )


def origin_form(target: str) -> str:
    """A target without the scheme and host that clients may send before it, RFC 9112 3.2.2."""
    match = _ORIGIN.match(target)
    if match is None:
        return target
    rest = target[match.end() :]
    return rest if rest.startswith("/") else "/" + rest
