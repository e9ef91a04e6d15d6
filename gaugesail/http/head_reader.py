"""Parses the head of a message: start line, header fields and body framing.

Everything that decides the framing is checked strictly: if two recipients disagree about where a body ends,
one of them reads a part of it as the next request (request smuggling).  References are to RFC 9112.
"""

from __future__ import annotations

import re

from .messages import BadMessage, Head

FRAMING_HEADERS = ("content-length", "transfer-encoding")
SINGLE_HEADERS = ("host", "request-id")  # repeated lines must have equal values

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*\Z")
_TARGET = re.compile(rb"[\x21-\x7e]+\Z")
_DIGITS = re.compile(rb"[0-9]{1,15}\Z")
_VERSION = re.compile(rb"HTTP/1\.([01])\Z")


def read_head(lines: list[bytes], answer: bool, max_body: int | None) -> Head:
    """Parse the lines of an answer's or a request's head; ``max_body`` is in bytes.  Raises BadMessage."""
    headers = _read_headers(lines[1:])
    head = _read_status_line(lines[0], headers) if answer else _read_request_line(lines[0], headers)
    _read_framing(head, answer, max_body)
    return head


def _read_headers(lines: list[bytes]) -> dict[str, str]:
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        value = value.strip(b" \t")
        # A folded line starts with white space, which no token matches; VALUE matches no bare CR or LF.
        if not colon or not TOKEN.match(name) or not VALUE.match(value):
            raise BadMessage("bad header line")
        key = name.decode("ascii").lower()
        # Reject names that a node might read as framing fields, and repeated framing fields.
        if key.replace("_", "-") in FRAMING_HEADERS and (key not in FRAMING_HEADERS or key in headers):
            raise BadMessage("doubled or misspelt framing")
        text = value.decode("latin-1")
        headers[key] = _combine(key, headers[key], text) if key in headers else text
    return headers


def _combine(name: str, first: str, second: str) -> str:
    """Combine the values of a repeated header field; raises BadMessage where it may occur only once."""
    if name not in SINGLE_HEADERS:
        return first + ("; " if name == "cookie" else ", ") + second
    if first != second:
        raise BadMessage(f"two different values of {name}")
    return first


def _read_request_line(line: bytes, headers: dict[str, str]) -> Head:
    words = line.split(b" ")
    if len(words) != 3 or not TOKEN.match(words[0]) or not _TARGET.match(words[1]):
        raise BadMessage("bad request line")
    version = _VERSION.match(words[2])
    if version is None:
        known = words[2].startswith(b"HTTP/")
        raise BadMessage("unknown version", 505 if known else 400)
    minor = version[1]
    keep_alive = _keeps_alive(minor, headers)
    return Head(words[0].decode(), words[1].decode(), 0, headers, keep_alive, http_1_0=minor == b"0")


def _read_status_line(line: bytes, headers: dict[str, str]) -> Head:
    words = line.split(b" ", 2)
    version = _VERSION.match(words[0])
    if version is None or len(words) < 2 or len(words[1]) != 3 or not _DIGITS.match(words[1]):
        raise BadMessage("malformed status line, expected HTTP/1.0 or 1.1 and three digits")
    minor = version[1]
    return Head("", "", int(words[1]), headers, _keeps_alive(minor, headers), http_1_0=minor == b"0")


def _keeps_alive(minor_version: bytes, headers: dict[str, str]) -> bool:
    options = [option.strip().lower() for option in headers.get("connection", "").split(",")]
    return "close" not in options and (minor_version == b"1" or "keep-alive" in options)


def _read_framing(head: Head, answer: bool, max_body: int | None) -> None:
    """Determine the body length (6.3); ambiguous framing is an error."""
    coding = head.headers.get("transfer-encoding")
    length = head.headers.get("content-length")
    without_body = answer and (head.status in (204, 304) or head.status < 200)
    if coding is not None:
        _check_coding(coding, length, head)
        head.chunked = True
    elif length is not None:
        head.length = _read_length(length, max_body)
    elif answer and not without_body:
        head.until_close = True
        head.keep_alive = False
    else:
        head.length = 0
    if without_body:
        head.length = 0


def _check_coding(coding: str, length: str | None, head: Head) -> None:
    if coding.lower() != "chunked" or length is not None or head.http_1_0:
        ambiguous = length is not None or head.http_1_0
        raise BadMessage("unknown or doubled framing", 400 if ambiguous else 501)


def _read_length(text: str, max_body: int | None) -> int:
    if not _DIGITS.match(text.encode("latin-1")):
        raise BadMessage("bad content-length")
    length = int(text)
    if max_body is not None and length > max_body:
        raise BadMessage("the body is too long", 413)
    return length
