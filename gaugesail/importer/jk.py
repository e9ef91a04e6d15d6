"""Reads mod_jk's workers.properties: lb workers, references between workers, macros."""

from __future__ import annotations

import re

from .model import Balancer, ImportedConfig, Member, logical_lines, parse_number

_MACRO = re.compile(r"\$\(([^)]*)\)")
LB_TYPES, NODE_TYPES = ("lb",), ("ajp13", "ajp14", "ajp12")
PHASES = {"a": "Ready", "active": "Ready", "d": "Terminating", "disabled": "Terminating", "s": "Terminating",
          "stopped": "Terminating"}  # fmt: skip
# Attributes of mod_jk without an equivalent.
IGNORED_ATTRIBUTES = frozenset(
    [
        "balanced_workers",
        "cache_acquire_timeout",
        "cachesize",
        "cache_timeout",
        "connection_acquire_timeout",
        "connection_ping_interval",
        "connection_pool_minsize",
        "connection_pool_size",
        "connection_pool_timeout",
        "connect_timeout",
        "distance",
        "domain",
        "error_escalation_time",
        "fail_on_status",
        "lock",
        "lock_timeout",
        "maintain",
        "max_packet_size",
        "max_reply_timeouts",
        "method",
        "mount",
        "ping_mode",
        "ping_timeout",
        "prepost_timeout",
        "recover_time",
        "recovery_options",
        "redirect",
        "retries",
        "retry_interval",
        "retry_on_status",
        "secret",
        "session_cookie",
        "session_cookie_on_path",
        "session_path",
        "set_session_cookie",
        "socket_buffer",
        "socket_keepalive",
        "socket_timeout",
        "source",
        "sticky_session",
        "sticky_session_force",
        "uri_map",
        "bad_worker_timeout",
    ]
)
KNOWN_ATTRIBUTES = frozenset(
    [
        "type",
        "host",
        "port",
        "lbfactor",
        "activation",
        "disabled",
        "stopped",
        "route",
        "jvm_route",
        "reference",
        "reply_timeout",
        "balance_workers",
        "socket_connect_timeout",
    ]
)

Value = tuple[str, int]  # text and line number
Worker = dict[str, Value]  # by attribute


def read_jk(file: str, text: str) -> ImportedConfig:
    """Read the lb workers of a worker file.

    Raises ConfigLineError, which names a line that cannot be read.

    :param file: the file's name, for errors and warnings.
    :param text: its contents.
    """
    config = ImportedConfig(file)
    workers, listed = _workers(config, text)
    resolved = {name: _with_references(config, workers, name) for name in workers}
    for name, worker in resolved.items():
        kind, line = worker.get("type", ("ajp13", 0))
        if kind in LB_TYPES:
            members, members_line = worker.get("balance_workers", ("", line))
            if not members:
                if name in listed:
                    raise config.error(members_line, f"the lb worker {name!r} has no balance_workers")
                continue  # a template that other workers refer to
            balancer = config.balancers[name] = Balancer(name, line=members_line)
            for member in re.split(r"[\s,]+", members):
                if member not in resolved:
                    raise config.error(members_line, f"worker {member!r} is not defined")
                balancer.members.append(_member(config, member, resolved[member]))
        elif kind not in NODE_TYPES:
            config.warn(line, f"a worker of the type {kind!r} is ignored")
    return config


def _workers(config: ImportedConfig, text: str) -> tuple[dict[str, Worker], set[str]]:
    """Return the workers with their attributes, macros expanded; and the names in worker.list."""
    macros: dict[str, str] = {}
    workers: dict[str, Worker] = {}
    listed: set[str] = set()
    for line, content in logical_lines(text, "#!"):
        key, equals, value = content.partition("=")
        key, value = key.strip(), value.strip()
        if not equals or not key:
            raise config.error(line, f"expected key=value, got {content!r}")

        def expand(match: re.Match[str], line: int = line) -> str:
            if match[1] not in macros:
                raise config.error(line, f"the macro $({match[1]}) is not defined above this line")
            return macros[match[1]]

        key, value = _MACRO.sub(expand, key), _MACRO.sub(expand, value)
        if not key.startswith("worker."):
            macros[key] = value
            continue
        macros[key] = value  # in mod_jk every property can be used as a macro
        if key == "worker.list":
            listed |= set(filter(None, re.split(r"[\s,]+", value)))
            continue
        name, dot, attribute = key[len("worker.") :].rpartition(".")
        if not dot:
            if attribute not in IGNORED_ATTRIBUTES:
                raise config.error(line, f"expected worker.NAME.ATTRIBUTE, got {key!r}")
            config.warn(line, f"{attribute} is ignored")
            continue
        if attribute not in KNOWN_ATTRIBUTES and attribute not in IGNORED_ATTRIBUTES:
            raise config.error(line, f"unknown attribute {attribute!r}")
        if attribute in IGNORED_ATTRIBUTES:
            config.warn(line, f"{attribute} is ignored")
        worker = workers.setdefault(name, {})
        if attribute == "balance_workers" and attribute in worker:
            value = f"{worker[attribute][0]},{value}"  # may be repeated: the values add up
        worker[attribute] = (value, line)
    for name in listed - set(workers):
        config.warn(1, f"worker.list names {name!r}, which is not defined")
    return workers, listed


def _with_references(config: ImportedConfig, workers: dict[str, Worker], name: str) -> Worker:
    """Return a worker with the attributes that it inherits by ``reference``; its own take precedence."""
    resolved: Worker = dict(workers[name])
    seen = {name}
    while "reference" in resolved:
        text, line = resolved.pop("reference")
        other = text.removeprefix("worker.")
        if other not in workers:
            raise config.error(line, f"the reference {text!r} is not defined")
        if other in seen:
            raise config.error(line, f"the reference {text!r} is circular")
        seen.add(other)
        resolved = workers[other] | resolved
    return resolved


def _member(config: ImportedConfig, name: str, worker: Worker) -> Member:
    port, port_line = worker.get("port", ("8009", 0))
    host, host_line = worker.get("host", ("127.0.0.1", port_line))
    member = Member(
        name, host, int(parse_number(config, port_line, "port", port, 1, 65535)), line=host_line or port_line
    )
    for key, (value, line) in worker.items():
        if key == "lbfactor":
            member.capacity = parse_number(config, line, key, value, 0.01, 1000)
        elif key in ("route", "jvm_route"):
            member.name = value
        elif key == "activation":
            phase = PHASES.get(value.lower())
            if phase is None:
                raise config.error(line, f"activation: expected one of {', '.join(PHASES)}, got {value!r}")
            member.phase = phase
        elif key in ("disabled", "stopped") and value.lower() in ("1", "true", "on", "yes"):
            member.phase = "Terminating"
        elif key == "reply_timeout":
            config.extend_deadline(int(parse_number(config, line, key, value, 0, 3_600_000)))
        elif key == "socket_connect_timeout":
            config.limit_connect_timeout(int(parse_number(config, line, key, value, 0, 60_000)))
    return member
