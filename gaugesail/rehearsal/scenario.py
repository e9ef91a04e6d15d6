"""The scenario language and its runner.

Each line is one step; ``#`` starts a comment.  A file may hold several scenarios, each after a line

    scenario NAME

In each, declarations come first:

    daemon http|iscsi [path=value ...]   the gateway's protocol, and changes to its settings
    brick NAME shard=N                   a simulated node that the endpoint list names (http)
    node NAME shard=N                    a simulated storage node (iscsi)
    client NAME / initiator NAME         a simulated client
    caller NAME                          a client of the management address
    unanswered CLIENT ID...              requests that get no final answer, as the scenario is about that

then the four verbs:

    send WHO WORDS...                    an action of the peer (peers.py, iscsi_peers.py)
    expect WHO WORDS... [within SECONDS] the next event that WHO observed; a word may contain * and ?
    expect WHO nothing                   WHO has observed nothing more so far
    close WHO [WORDS...]                 a client disconnects, a node dies, the daemon gets SIGTERM
    wait SECONDS

In addition to these lines, ``judge.py`` checks in each scenario that every request has one answer in time,
and that every process serves or ends.

``list`` is discovery.  ``daemon`` is the daemon itself; its end is observed as ``exit CODE``.
``send daemon reload`` replaces its file, ``send daemon replace`` starts another process beside it, and
``close daemon`` then means the oldest running process.  ``send daemon kill`` is SIGKILL to the newest.
"""

from __future__ import annotations

import copy
import shlex
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from fnmatch import fnmatchcase
from typing import Any, Protocol

from . import defaults, iscsi_peers
from .judge import Judge, Process
from .peers import (
    Directory,
    HttpClient,
    HttpNode,
    Listener,
    ManagementClient,
    Peer,
    ScenarioError,
    Words,
    options,
)

DEFAULT_EXPECT_S = 10.0  # how long an expect without ``within`` waits
DECLARATIONS = ("daemon", "brick", "node", "client", "initiator", "caller", "unanswered")
VERBS = ("send", "expect", "close", "wait")


class ScenarioFailed(Exception):
    """A step failed; the text names its line."""


@dataclass(slots=True, frozen=True)
class Step:
    """One line of a scenario."""

    line: int
    verb: str
    words: tuple[str, ...]


def split(text: str) -> dict[str, list[Step]]:
    """Parse the scenarios of a file, by name; a ScenarioError names the invalid line."""
    parts: dict[str, list[tuple[int, str]]] = {}
    current: list[tuple[int, str]] = []
    for number, line in enumerate(text.splitlines(), 1):
        if line.startswith("scenario "):
            name = line.partition(" ")[2].strip()
            if name in parts:
                raise ScenarioError(f"line {number}: duplicate scenario {name!r}")
            current = parts[name] = []
        elif parts:
            current.append((number, line))
        elif line.partition("#")[0].strip():
            current = parts[""] = [(number, line)]
    return {name: parse(lines) for name, lines in parts.items()}


def parse(lines: list[tuple[int, str]]) -> list[Step]:
    """Parse the numbered lines of one scenario; a ScenarioError names the invalid line."""
    steps: list[Step] = []
    after_verb = False
    for number, line in lines:
        try:
            words = shlex.split(line, comments=True)
        except ValueError as error:
            raise ScenarioError(f"line {number}: {error}") from None
        if not words:
            continue
        verb, rest = words[0], tuple(words[1:])
        if verb not in DECLARATIONS + VERBS:
            raise ScenarioError(f"line {number}: unknown word {verb!r}")
        if verb in DECLARATIONS and after_verb:
            raise ScenarioError(f"line {number}: {verb} must come before the first verb")
        if not rest or (verb in ("send", "expect") and len(rest) < 2):
            raise ScenarioError(f"line {number}: {verb} needs more words")
        after_verb = after_verb or verb in VERBS
        steps.append(Step(number, verb, rest))
    if not any(step.verb == "expect" for step in steps):
        first = lines[0][0] if lines else 0
        raise ScenarioError(f"line {first}: a scenario that expects nothing cannot fail")
    return steps


class World(Protocol):
    """The environment of a scenario: in memory with virtual time, or on loopback with real processes."""

    reactor: Any
    management: tuple[str, int]  # the daemon's management address, once it is started
    margin_s: float  # tolerance on every time limit
    monitored: bool  # its processes are polled while the scenario runs

    def free_address(self) -> str:
        """Return an address with a fixed port, for processes that share it."""
        ...

    def start(self, protocol: str, config: dict[str, Any], daemon: Peer) -> tuple[str, int]:
        """Start a process and return its address for clients; ``daemon`` observes its end."""
        ...

    def reload(self, config: dict[str, Any]) -> None:
        """Replace the file of the newest process and send it SIGHUP."""
        ...

    def stop(self) -> None:
        """Send SIGTERM to the oldest running process."""
        ...

    def kill(self) -> None:
        """Send SIGKILL to the newest running process."""
        ...

    def processes(self) -> Sequence[Process]:
        """Return all processes that have served, in the order of their starts."""
        ...

    def until(self, done: Callable[[], bool], seconds: float) -> bool:
        """Let time pass until ``done`` is true; return false if it is not within ``seconds``."""
        ...

    def await_arrivals(self) -> None:
        """Let time pass until what was sent has arrived."""
        ...

    def pass_time(self, seconds: float) -> None:
        """Let time pass."""
        ...


class Daemon(Peer):
    """The daemon under rehearsal, as a peer: closing it is SIGTERM."""

    def __init__(self, world: World) -> None:
        super().__init__("daemon")
        self._world = world
        self.config: dict[str, Any] = {}
        self.protocol = "http"

    def send_reload(self, words: Words) -> None:
        """reload [path=value ...]: replace its file and send SIGHUP; earlier changes are kept"""
        self.config = copy.deepcopy(self.config)
        for path, value in options(words).items():
            defaults.change(self.config, path, value)
        self._world.reload(self.config)

    def send_misreload(self, words: Words) -> None:
        """misreload path=value ...: reload with an invalid file; the next reload drops these changes"""
        kept = self.config
        self.send_reload(words)
        self.config = kept

    def send_replace(self, words: Words) -> None:
        """replace: start another process beside the running one, with the same address for clients"""
        self._world.start(self.protocol, self.config, self)

    def send_kill(self, words: Words) -> None:
        """kill: send SIGKILL to the newest process"""
        self._world.kill()

    def close(self, words: Words) -> None:
        """Send SIGTERM to the oldest process."""
        self._world.stop()


class Player:
    """Plays one scenario in one world."""

    def __init__(self, world: World, steps: list[Step]) -> None:
        self._world, self._steps = world, steps
        self._daemon = Daemon(world)
        self.peers: dict[str, Peer] = {"daemon": self._daemon}
        self._protocol, self._changes = "http", dict[str, str]()
        self._started = False
        self._address = ("", 0)
        self.judge = Judge(world.reactor, world.processes, world.margin_s)

    def play(self) -> None:
        """Run all steps; ScenarioFailed names the first one that fails, or a broken invariant."""
        for step in self._steps:
            if self.judge.faults:
                raise ScenarioFailed(f"before line {step.line}: {self.judge.faults[0]}")
            try:
                if step.verb in DECLARATIONS:
                    self._declare(step.verb, list(step.words))
                    continue
                if not self._started:
                    self._start()
                self._run_step(step)
            except (ScenarioError, KeyError, IndexError, ValueError) as error:
                raise ScenarioFailed(
                    f"line {step.line}: {step.verb} {step.words} failed: {type(error).__name__}: {error}"
                ) from error
        self._finish_requests()

    def _finish_requests(self) -> None:
        """Wait for the pending answers and the ending processes, then run the judge's final checks."""
        judge = self.judge
        if self._started:
            self._world.await_arrivals()
            self._world.until(
                lambda: bool(judge.faults) or not judge.pending, judge.max_deadline_s + DEFAULT_EXPECT_S
            )
            self._world.until(
                lambda: bool(judge.faults) or not judge.ending, judge.kill_after_s + DEFAULT_EXPECT_S
            )
            judge.check_processes()
            judge.finish()
        if judge.faults:
            raise ScenarioFailed(f"at the end: {'; '.join(judge.faults)}")

    def _declare(self, declaration: str, words: Words) -> None:
        reactor, given = self._world.reactor, options(words)
        if declaration == "daemon":
            self._protocol, self._changes = words[0], given
            if self._protocol not in ("http", "iscsi"):
                raise ScenarioError(f"unknown protocol {self._protocol!r}: expected http or iscsi")
        elif declaration == "unanswered":
            self.judge.expected_unanswered |= {f"{words[0]} {name}" for name in words[1:]}
        elif words[0] in self.peers:
            raise ScenarioError(f"{words[0]!r} is declared twice")
        elif declaration == "brick":
            self.peers[words[0]] = HttpNode(reactor, words[0], int(given.get("shard", 0)))
        elif declaration == "node":
            self.peers[words[0]] = iscsi_peers.IscsiNode(reactor, words[0], int(given.get("shard", 0)))
        elif declaration == "client":
            self.peers[words[0]] = HttpClient(reactor, words[0], lambda: self._address)
        elif declaration == "caller":
            self.peers[words[0]] = ManagementClient(reactor, words[0], lambda: self._world.management)
        else:
            self.peers[words[0]] = iscsi_peers.IscsiClient(reactor, words[0], lambda: self._address)

    def _start(self) -> None:
        self._started = True
        if self._protocol == "iscsi":
            nodes = [peer for peer in self.peers.values() if isinstance(peer, iscsi_peers.IscsiNode)]
            config = iscsi_peers.operator_file(nodes, self._changes)
            directory: Peer = iscsi_peers.OperatorFile(self._world, config)
        else:
            directory = Directory(
                self._world.reactor,
                "list",
                lambda address: self._daemon.send_reload([f"discovery={address}"]),
            )
            for node in self.peers.values():
                if isinstance(node, HttpNode):
                    directory.add(node)
            config = {
                "name": "rehearsed", "listen": "127.0.0.1:0", "discovery": directory.address, "seed": "7",
                "management": "127.0.0.1:0",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": directory.listing(True), "settings": defaults.settings(),
            }  # fmt: skip
            for path, value in self._changes.items():
                defaults.change(config, path, value)
        if any(step.words[:2] == ("daemon", "replace") for step in self._steps):
            # Both processes are given the same address, so the system cannot choose it.
            owner = config if self._protocol == "http" else config["target"]
            owner["listen"] = self._world.free_address()
        self.peers["list"] = directory
        self._daemon.config, self._daemon.protocol = config, self._protocol
        self.judge.max_deadline_s = self._max_deadline_s(config)
        for peer in self.peers.values():
            peer.judge = self.judge
        self._address = self._world.start(self._protocol, config, self._daemon)
        if self._world.monitored:
            self.judge.poll_processes()

    def _max_deadline_s(self, config: dict[str, Any]) -> float:
        """Return the longest deadline of all classes."""
        if self._protocol == "iscsi":
            return float(max(row["deadline_ms"] for row in config["class"])) / 1e3
        return float(max(row["give_up_us"] for row in config["settings"]["categories"])) / 1e6

    def _run_step(self, step: Step) -> None:
        words = list(step.words)
        if step.verb == "wait":
            self._world.pass_time(float(words[0]))
            return
        peer = self.peers.get(words[0])
        if peer is None:
            raise ScenarioError(f"{words[0]!r} is not declared")
        if step.verb == "send":
            peer.send(words[1:])
        elif step.verb == "close":
            peer.close(words[1:])
        else:
            self._expect(step, peer, words[1:])

    def _expect(self, step: Step, peer: Peer, words: Words) -> None:
        timeout_s = DEFAULT_EXPECT_S
        if len(words) > 2 and words[-2] == "within":
            timeout_s, words = float(words[-1]), words[:-2]
        if words == ["nothing"]:
            self._world.await_arrivals()
            if peer.inbox:
                raise ScenarioFailed(f"line {step.line}: {peer.name} saw {peer.inbox[0]}, not nothing")
            return
        if not self._world.until(lambda: bool(peer.inbox or self.judge.faults), timeout_s):
            raise ScenarioFailed(f"line {step.line}: {peer.name} saw nothing for {timeout_s} s, not {words}")
        if not peer.inbox:
            raise ScenarioFailed(f"line {step.line}: {self.judge.faults[0]}")
        seen = peer.inbox.popleft()
        if len(seen) < len(words) or not all(map(fnmatchcase, seen, words)):
            raise ScenarioFailed(f"line {step.line}: {peer.name} saw {seen}, not {words}")

    def finish(self) -> None:
        """Close the listeners."""
        for peer in self.peers.values():
            if isinstance(peer, Listener):
                peer.close([])
