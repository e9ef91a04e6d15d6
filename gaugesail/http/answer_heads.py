"""Formats the header sections of answers to clients."""

from __future__ import annotations

REASONS = {
    200: "OK",
    400: "Bad Request",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    417: "Expectation Failed",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def answer_head(status: int, length: int, retry_after_us: int | None, keep_alive: bool) -> bytes:
    """Format the head of an answer with a body of ``length`` bytes; no Retry-After for None or 0."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"Content-Length: {length}"]
    if retry_after_us:
        lines.append(f"Retry-After: {retry_after_us / 1e6:.3f}")
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def stream_head(length: int | None, chunked: bool, keep_alive: bool) -> bytes:
    """Format the head of a streamed answer."""
    lines = ["HTTP/1.1 200 OK"]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    elif chunked:
        lines.append("Transfer-Encoding: chunked")
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"
