"""Apache's balancer blocks: <Proxy balancer://NAME>, BalancerMember, ProxySet, ProxyPass."""

from __future__ import annotations

import re
import shlex
from urllib.parse import urlsplit

from .model import Balancer, Found, Member, logical_lines, number

_URL = re.compile(r"balancer://([^/\s]+)/?", re.I)
_TIME = re.compile(r"(\d{1,9})(ms|s|mi|h)?\Z")
_SCALE = {"ms": 1, "s": 1000, "mi": 60_000, "h": 3_600_000, None: 1000}
PORTS = {"http": 80, "https": 443, "ajp": 8009, "h2c": 80, "iscsi": 3260}
# What mod_proxy knows and the head has no use for: the module decides, or the connections are its own.
MEMBER_IDLE = frozenset(
    [
        "acquire",
        "addressttl",
        "disablereuse",
        "enablereuse",
        "flushpackets",
        "flushwait",
        "iobuffersize",
        "responsefieldsize",
        "keepalive",
        "lbset",
        "max",
        "min",
        "ping",
        "receivebuffersize",
        "redirect",
        "retry",
        "smax",
        "ttl",
        "upgrade",
        "secret",
        "hcmethod",
        "hcpasses",
        "hcfails",
        "hcinterval",
        "hcuri",
        "hcexpr",
        "hctemplate",
        "growth",
        "mapping",
    ]
)
BALANCER_IDLE = frozenset(
    [
        "failonstatus",
        "failontimeout",
        "forcerecovery",
        "growth",
        "lbmethod",
        "nofailover",
        "nonce",
        "scolonpathdelim",
        "stickysession",
        "stickysessionsep",
    ]
)


def read_apache(file: str, text: str) -> Found:
    """Everything of a configuration that has a meaning here."""
    found = Found(file)
    inside: Balancer | None = None
    opened = 0
    for line, content in logical_lines(text, "#"):
        try:
            words = shlex.split(content, comments=False)
        except ValueError as error:
            raise found.bad(line, str(error)) from None
        if not words:
            continue
        directive = words[0].lower()
        if directive == "<proxy":
            if inside is not None:
                raise found.bad(line, f"<Proxy> inside the <Proxy> of line {opened}")
            match = _URL.match(" ".join(words[1:]).rstrip(">").strip().strip("\"'"))
            if not content.rstrip().endswith(">"):
                raise found.bad(line, "<Proxy> is not closed with >")
            if match:
                inside, opened = _balancer(found, match[1], line), line
            else:
                found.warn(line, "a <Proxy> that is no balancer has no meaning here")
        elif directive == "</proxy>":
            inside = None
        elif directive == "balancermember":
            _member(found, inside, words[1:], line)
        elif directive == "proxyset":
            first = _URL.match(words[1]) if len(words) > 1 else None
            target = _balancer(found, first[1], line) if first else inside
            if target is None:
                raise found.bad(line, "ProxySet outside a balancer names none")
            _balancer_keys(found, words[2 if first else 1 :], line)
        elif directive in ("proxypass", "proxypassmatch"):
            _proxy_pass(found, words, line)
        else:
            found.warn(line, f"{words[0]} has no meaning here")
    if inside is not None:
        raise found.bad(opened, "<Proxy> is never closed")
    return found


def _balancer(found: Found, name: str, line: int) -> Balancer:
    return found.balancers.setdefault(name, Balancer(name, line=line))


def _pairs(found: Found, words: list[str], line: int) -> dict[str, str]:
    pairs = {}
    for word in words:
        key, equals, value = word.partition("=")
        if not equals or not key or not value:
            raise found.bad(line, f"{word!r} is not key=value")
        pairs[key.lower()] = value
    return pairs


def _millis(found: Found, line: int, key: str, text: str) -> int:
    match = _TIME.match(text)
    if not match:
        raise found.bad(line, f"{key}: {text!r} is no time")
    return int(match[1]) * _SCALE[match[2]]


def _member(found: Found, inside: Balancer | None, words: list[str], line: int) -> None:
    if words and (match := _URL.match(words[0])):
        inside, words = _balancer(found, match[1], line), words[1:]
    if inside is None:
        raise found.bad(line, "BalancerMember outside a balancer names none")
    if not words:
        raise found.bad(line, "BalancerMember has no URL")
    try:
        url = urlsplit(words[0])
        host, port = url.hostname, url.port or PORTS.get(url.scheme)
    except ValueError as error:
        raise found.bad(line, f"{words[0]!r}: {error}") from None
    if not host or not port or ":" in host:
        raise found.bad(line, f"{words[0]!r} is no URL with a host and a port that is known")
    if url.path not in ("", "/"):
        found.warn(line, f"the path {url.path!r} has no meaning here")
    member = Member(f"{host}:{port}", host, port, line=line)
    for key, value in _pairs(found, words[1:], line).items():
        if key == "loadfactor":
            member.power = number(found, line, key, value, 0.01, 100)
        elif key == "route":
            member.name = value
        elif key == "timeout":
            found.longest(_millis(found, line, key, value))
        elif key == "connectiontimeout":
            found.shortest_connect(_millis(found, line, key, value))
        elif key == "status":
            _status(found, member, value, line)
        elif key in MEMBER_IDLE:
            found.warn(line, f"{key} has no meaning here")
        else:
            raise found.bad(line, f"unknown parameter {key!r}")
    inside.members.append(member)


def _status(found: Found, member: Member, value: str, line: int) -> None:
    """+D -D and so on: what is disabled, stopped or drains takes nothing new."""
    on = True
    for letter in value:
        if letter in "+-":
            on = letter == "+"
        elif letter.upper() in "DSN":
            member.phase = "Terminating" if on else "Ready"
        elif letter.upper() in "HR":
            found.warn(
                line, "a standby has no meaning here: each node holds its own data; it is left out of use"
            )
            member.phase = "Terminating" if on else "Ready"
        elif letter.upper() in "IEC":
            found.warn(line, f"status {letter} has no meaning here")
        else:
            raise found.bad(line, f"status: unknown letter {letter!r}")


def _balancer_keys(found: Found, words: list[str], line: int) -> None:
    for key, value in _pairs(found, words, line).items():
        if key == "timeout":
            found.longest(_millis(found, line, key, value))
        elif key == "maxattempts":
            found.attempts = int(number(found, line, key, value, 0, 100)) + 1
        elif key in BALANCER_IDLE:
            found.warn(line, f"{key} has no meaning here")
        else:
            raise found.bad(line, f"unknown parameter {key!r}")


def _proxy_pass(found: Found, words: list[str], line: int) -> None:
    target = next((n for n, word in enumerate(words[1:], 1) if _URL.match(word)), None)
    if target is None:
        found.warn(line, f"{words[0]} to no balancer has no meaning here")
        return
    _balancer(found, _URL.match(words[target])[1], line)  # type: ignore[index]
    keys = [word for word in words[target + 1 :] if word.lower() not in ("nocanon", "interpolate")]
    _balancer_keys(found, keys, line)
