"""mod_jk's workers.properties: lb workers, references between workers, macros."""

from __future__ import annotations

import re

from .model import Balancer, Found, Member, logical_lines, number

_MACRO = re.compile(r"\$\(([^)]*)\)")
LB_TYPES, NODE_TYPES = ("lb",), ("ajp13", "ajp14", "ajp12")
PHASES = {"a": "Ready", "active": "Ready", "d": "Terminating", "disabled": "Terminating", "s": "Terminating",
          "stopped": "Terminating"}  # fmt: skip
# What mod_jk knows and the head has no use for.
IDLE = frozenset(
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
MEANT = frozenset(
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

Value = tuple[str, int]  # text and the line it came from
Worker = dict[str, Value]


def read_jk(file: str, text: str) -> Found:
    """Everything of a worker file that has a meaning here."""
    found = Found(file)
    workers, listed = _workers(found, text)
    resolved = {name: _with_references(found, workers, name) for name in workers}
    for name, worker in resolved.items():
        kind, line = worker.get("type", ("ajp13", 0))
        if kind in LB_TYPES:
            members, at = worker.get("balance_workers", ("", line))
            if not members:
                if name in listed:
                    raise found.bad(at, f"the lb worker {name!r} has no balance_workers")
                continue  # a template for others
            balancer = found.balancers[name] = Balancer(name, line=at)
            for member in re.split(r"[\s,]+", members):
                if member not in resolved:
                    raise found.bad(at, f"worker {member!r} is not defined")
                balancer.members.append(_member(found, member, resolved[member]))
        elif kind not in NODE_TYPES:
            found.warn(line, f"a worker of the type {kind!r} has no meaning here")
    return found


def _workers(found: Found, text: str) -> tuple[dict[str, Worker], set[str]]:
    """The workers with their attributes, macros put in; and the names in worker.list."""
    macros: dict[str, str] = {}
    workers: dict[str, Worker] = {}
    listed: set[str] = set()
    for line, content in logical_lines(text, "#!"):
        key, equals, value = content.partition("=")
        key, value = key.strip(), value.strip()
        if not equals or not key:
            raise found.bad(line, f"{content!r} is not key=value")

        def put_in(match: re.Match[str], line: int = line) -> str:
            if match[1] not in macros:
                raise found.bad(line, f"the macro $({match[1]}) is not defined above")
            return macros[match[1]]

        key, value = _MACRO.sub(put_in, key), _MACRO.sub(put_in, value)
        if not key.startswith("worker."):
            macros[key] = value
            continue
        macros[key] = value  # mod_jk lets every property be used as a macro
        if key == "worker.list":
            listed |= set(filter(None, re.split(r"[\s,]+", value)))
            continue
        name, dot, attribute = key[len("worker.") :].rpartition(".")
        if not dot:
            if attribute not in IDLE:
                raise found.bad(line, f"{key!r} names no attribute of a worker")
            found.warn(line, f"{attribute} has no meaning here")
            continue
        if attribute not in MEANT and attribute not in IDLE:
            raise found.bad(line, f"unknown attribute {attribute!r}")
        if attribute in IDLE:
            found.warn(line, f"{attribute} has no meaning here")
        worker = workers.setdefault(name, {})
        if attribute == "balance_workers" and attribute in worker:
            value = f"{worker[attribute][0]},{value}"  # may come several times, and adds up
        worker[attribute] = (value, line)
    for name in listed - set(workers):
        found.warn(1, f"worker.list names {name!r}, which is not defined")
    return workers, listed


def _with_references(found: Found, workers: dict[str, Worker], name: str) -> Worker:
    """A worker with what it takes over by ``reference``, level after level; its own values come first."""
    whole: Worker = dict(workers[name])
    seen = {name}
    while "reference" in whole:
        text, line = whole.pop("reference")
        other = text.removeprefix("worker.")
        if other not in workers:
            raise found.bad(line, f"the reference {text!r} is not defined")
        if other in seen:
            raise found.bad(line, f"the reference {text!r} goes in a circle")
        seen.add(other)
        whole = workers[other] | whole
    return whole


def _member(found: Found, name: str, worker: Worker) -> Member:
    port, line = worker.get("port", ("8009", 0))
    host, at = worker.get("host", ("127.0.0.1", line))
    member = Member(name, host, int(number(found, line, "port", port, 1, 65535)), line=at or line)
    for key, (value, where) in worker.items():
        if key == "lbfactor":
            member.power = number(found, where, key, value, 0.01, 1000)
        elif key in ("route", "jvm_route"):
            member.name = value
        elif key == "activation":
            phase = PHASES.get(value.lower())
            if phase is None:
                raise found.bad(where, f"activation: {value!r} is none of {', '.join(PHASES)}")
            member.phase = phase
        elif key in ("disabled", "stopped") and value.lower() in ("1", "true", "on", "yes"):
            member.phase = "Terminating"
        elif key == "reply_timeout":
            found.longest(int(number(found, where, key, value, 0, 3_600_000)))
        elif key == "socket_connect_timeout":
            found.shortest_connect(int(number(found, where, key, value, 0, 60_000)))
    return member
