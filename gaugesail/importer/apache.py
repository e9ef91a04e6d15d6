"""Reads Apache's balancer blocks: <Proxy balancer://NAME>, BalancerMember, ProxySet, ProxyPass."""

from __future__ import annotations

import re
import shlex
from urllib.parse import urlsplit

from .model import Balancer, ImportedConfig, Member, logical_lines, parse_number

_BALANCER_URL = re.compile(r"balancer://([^/\s]+)/?", re.I)
_TIME_PATTERN = re.compile(r"(\d{1,9})(ms|s|mi|h)?\Z")
_UNIT_MS = {"ms": 1, "s": 1000, "mi": 60_000, "h": 3_600_000, None: 1000}
DEFAULT_PORTS = {"http": 80, "https": 443, "ajp": 8009, "h2c": 80, "iscsi": 3260}
# Parameters of mod_proxy without an equivalent: the gateway's policy decides on them, or it manages its own
# connections.
IGNORED_MEMBER_KEYS = frozenset(
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
IGNORED_BALANCER_KEYS = frozenset(
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


def read_apache(file: str, text: str) -> ImportedConfig:
    """Read the balancers of an Apache configuration.

    Raises ConfigLineError, which names a line that cannot be read.

    :param file: the file's name, for errors and warnings.
    :param text: its contents.
    """
    config = ImportedConfig(file)
    current: Balancer | None = None
    opened_at = 0
    for line, content in logical_lines(text, "#"):
        try:
            words = shlex.split(content, comments=False)
        except ValueError as error:
            raise config.error(line, str(error)) from None
        if not words:
            continue
        directive = words[0].lower()
        if directive == "<proxy":
            if current is not None:
                raise config.error(line, f"<Proxy> inside the <Proxy> of line {opened_at}")
            match = _BALANCER_URL.match(" ".join(words[1:]).rstrip(">").strip().strip("\"'"))
            if not content.rstrip().endswith(">"):
                raise config.error(line, "<Proxy>: expected > at the end of the line")
            if match:
                current, opened_at = _balancer(config, match[1], line), line
            else:
                config.warn(line, "<Proxy> is ignored: its URL is no balancer://NAME")
        elif directive == "</proxy>":
            current = None
        elif directive == "balancermember":
            _member(config, current, words[1:], line)
        elif directive == "proxyset":
            first = _BALANCER_URL.match(words[1]) if len(words) > 1 else None
            target = _balancer(config, first[1], line) if first else current
            if target is None:
                raise config.error(line, "ProxySet outside <Proxy>: expected balancer://NAME")
            _balancer_keys(config, words[2 if first else 1 :], line)
        elif directive in ("proxypass", "proxypassmatch"):
            _proxy_pass(config, words, line)
        else:
            config.warn(line, f"{words[0]} is ignored")
    if current is not None:
        raise config.error(opened_at, "<Proxy> has no </Proxy>")
    return config


def _balancer(config: ImportedConfig, name: str, line: int) -> Balancer:
    return config.balancers.setdefault(name, Balancer(name, line=line))


def _pairs(config: ImportedConfig, words: list[str], line: int) -> dict[str, str]:
    pairs = {}
    for word in words:
        key, equals, value = word.partition("=")
        if not equals or not key or not value:
            raise config.error(line, f"expected key=value, got {word!r}")
        pairs[key.lower()] = value
    return pairs


def _parse_time_ms(config: ImportedConfig, line: int, key: str, text: str) -> int:
    match = _TIME_PATTERN.match(text)
    if not match:
        raise config.error(line, f"{key}: expected a time like 500ms, 4s or 4 (seconds), got {text!r}")
    return int(match[1]) * _UNIT_MS[match[2]]


def _member(config: ImportedConfig, balancer: Balancer | None, words: list[str], line: int) -> None:
    if words and (match := _BALANCER_URL.match(words[0])):
        balancer, words = _balancer(config, match[1], line), words[1:]
    if balancer is None:
        raise config.error(line, "BalancerMember outside <Proxy>: expected balancer://NAME")
    if not words:
        raise config.error(line, "BalancerMember: expected a URL")
    try:
        url = urlsplit(words[0])
        host, port = url.hostname, url.port or DEFAULT_PORTS.get(url.scheme)
    except ValueError as error:
        raise config.error(line, f"{words[0]!r}: {error}") from None
    if not host or not port or ":" in host:
        raise config.error(line, f"expected a URL with a host and a port, got {words[0]!r}")
    if url.path not in ("", "/"):
        config.warn(line, f"the path {url.path!r} is ignored")
    member = Member(f"{host}:{port}", host, port, line=line)
    for key, value in _pairs(config, words[1:], line).items():
        if key == "loadfactor":
            member.capacity = parse_number(config, line, key, value, 0.01, 100)
        elif key == "route":
            member.name = value
        elif key == "timeout":
            config.extend_deadline(_parse_time_ms(config, line, key, value))
        elif key == "connectiontimeout":
            config.limit_connect_timeout(_parse_time_ms(config, line, key, value))
        elif key == "status":
            _status(config, member, value, line)
        elif key in IGNORED_MEMBER_KEYS:
            config.warn(line, f"{key} is ignored")
        else:
            raise config.error(line, f"unknown parameter {key!r}")
    balancer.members.append(member)


def _status(config: ImportedConfig, member: Member, value: str, line: int) -> None:
    """Read status flags like +D-S; a member that is disabled, stopped or draining gets no new requests."""
    is_set = True
    for letter in value:
        if letter in "+-":
            is_set = letter == "+"
        elif letter.upper() in "DSN":
            member.phase = "Terminating" if is_set else "Ready"
        elif letter.upper() in "HR":
            config.warn(line, "a standby gets no requests: each node holds its own data")
            member.phase = "Terminating" if is_set else "Ready"
        elif letter.upper() in "IEC":
            config.warn(line, f"status {letter} is ignored")
        else:
            raise config.error(line, f"status: expected letters of DSNHRIEC, got {letter!r}")


def _balancer_keys(config: ImportedConfig, words: list[str], line: int) -> None:
    for key, value in _pairs(config, words, line).items():
        if key == "timeout":
            config.extend_deadline(_parse_time_ms(config, line, key, value))
        elif key == "maxattempts":
            config.attempts = int(parse_number(config, line, key, value, 0, 100)) + 1
        elif key in IGNORED_BALANCER_KEYS:
            config.warn(line, f"{key} is ignored")
        else:
            raise config.error(line, f"unknown parameter {key!r}")


def _proxy_pass(config: ImportedConfig, words: list[str], line: int) -> None:
    target = next((n for n, word in enumerate(words[1:], 1) if _BALANCER_URL.match(word)), None)
    if target is None:
        config.warn(line, f"{words[0]} is ignored: its target is no balancer://NAME")
        return
    _balancer(config, _BALANCER_URL.match(words[target])[1], line)  # type: ignore[index]
    keys = [word for word in words[target + 1 :] if word.lower() not in ("nocanon", "interpolate")]
    _balancer_keys(config, keys, line)
