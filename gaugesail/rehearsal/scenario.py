"""The scenario language and its runner.

One line is one step; ``#`` starts a comment.  A file may hold several scenarios, each after a line

    scenario NAME

In each, declarations come first:

    daemon http|iscsi [path=value ...]   which head, and changes to its settings
    brick NAME shard=N                   a stand-in brick that the list names (http)
    node NAME shard=N                    a stand-in storage node (iscsi)
    client NAME / initiator NAME         a stand-in client
    caller NAME                          one who calls at the second address
    unanswered CLIENT ID...              requests that get no final answer, as the scenario is about that

then the four verbs:

    send WHO WORDS...                    the stand-in tells what they mean (peers.py, iscsi_peers.py)
    expect WHO WORDS... [within SECONDS] the next thing that WHO saw; a word may hold * and ?
    expect WHO nothing                   WHO has seen nothing more by now
    close WHO [WORDS...]                 a client leaves, a node dies, the daemon gets SIGTERM
    wait SECONDS

Beside its lines, ``judge.py`` checks in each scenario that every request has its one answer in time, and that
every process serves or ends.

``list`` is discovery and ``daemon`` the daemon itself, whose end is seen as ``exit CODE``;
``send daemon reload`` replaces its file, ``send daemon replace`` starts the next process beside it, and
``close daemon`` then means the one that has run for longest.  ``send daemon kill`` is SIGKILL to the latest.
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
from .peers import Caller, Directory, HttpBrick, HttpClient, Listener, Peer, ScenarioError, Words, options

PATIENCE_S = 10.0  # how long an expect without ``within`` waits
DECLARATIONS = ("daemon", "brick", "node", "client", "initiator", "caller", "unanswered")
VERBS = ("send", "expect", "close", "wait")


class ScenarioFailed(Exception):
    """A step did not come true; the text names the line."""


@dataclass(slots=True, frozen=True)
class Step:
    """One line of a scenario."""

    line: int
    verb: str
    words: tuple[str, ...]


def split(text: str) -> dict[str, list[Step]]:
    """The scenarios of a file by name; ScenarioError names the line that cannot be read."""
    parts: dict[str, list[tuple[int, str]]] = {}
    current: list[tuple[int, str]] = []
    for number, line in enumerate(text.splitlines(), 1):
        if line.startswith("scenario "):
            name = line.partition(" ")[2].strip()
            if name in parts:
                raise ScenarioError(f"line {number}: a second scenario {name!r}")
            current = parts[name] = []
        elif parts:
            current.append((number, line))
        elif line.partition("#")[0].strip():
            current = parts[""] = [(number, line)]
    return {name: parse(lines) for name, lines in parts.items()}


def parse(lines: list[tuple[int, str]]) -> list[Step]:
    """The steps of one scenario from its numbered lines."""
    steps: list[Step] = []
    acting = False
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
        if verb in DECLARATIONS and acting:
            raise ScenarioError(f"line {number}: {verb} must come before the first verb")
        if not rest or (verb in ("send", "expect") and len(rest) < 2):
            raise ScenarioError(f"line {number}: {verb} needs more words")
        acting = acting or verb in VERBS
        steps.append(Step(number, verb, rest))
    if not any(step.verb == "expect" for step in steps):
        first = lines[0][0] if lines else 0
        raise ScenarioError(f"line {first}: a scenario that expects nothing cannot fail")
    return steps


class World(Protocol):
    """Where a scenario is played: in memory and its own time, or on loopback against a process."""

    reactor: Any
    management: tuple[str, int]  # where the daemon takes calls, once it is started
    margin_s: float  # by which anything may be late
    watched: bool  # its processes can be looked at at any time

    def address(self) -> str: ...
    def start(self, wire: str, config: dict[str, Any], daemon: Peer) -> tuple[str, int]: ...
    def change(self, config: dict[str, Any]) -> None: ...
    def stop(self) -> None: ...
    def kill(self) -> None: ...
    def processes(self) -> Sequence[Process]: ...
    def until(self, done: Callable[[], bool], seconds: float) -> bool: ...
    def settle(self) -> None: ...
    def pass_time(self, seconds: float) -> None: ...


class Daemon(Peer):
    """The daemon under rehearsal, as a peer: closing it is SIGTERM."""

    def __init__(self, world: World) -> None:
        super().__init__("daemon")
        self._world = world
        self.config: dict[str, Any] = {}
        self.wire = "http"

    def send_reload(self, words: Words) -> None:
        """reload [path=value ...]: its file is replaced and SIGHUP sent; what was changed before stays so"""
        self.config = copy.deepcopy(self.config)
        for path, value in options(words).items():
            defaults.change(self.config, path, value)
        self._world.change(self.config)

    def send_misreload(self, words: Words) -> None:
        """misreload path=value ...: as reload, with a file that is not good; the next one is again"""
        kept = self.config
        self.send_reload(words)
        self.config = kept

    def send_replace(self, words: Words) -> None:
        """replace: another process is started beside the one that runs, with the same address for clients"""
        self._world.start(self.wire, self.config, self)

    def send_kill(self, words: Words) -> None:
        """kill: SIGKILL to the process that was started last"""
        self._world.kill()

    def close(self, words: Words) -> None:
        self._world.stop()


class Player:
    """Plays one scenario in one world."""

    def __init__(self, world: World, steps: list[Step]) -> None:
        self._world, self._steps = world, steps
        self._daemon = Daemon(world)
        self.peers: dict[str, Peer] = {"daemon": self._daemon}
        self._wire, self._changes = "http", dict[str, str]()
        self._started = False
        self._address = ("", 0)
        self.judge = Judge(world.reactor, world.processes, world.margin_s)

    def play(self) -> None:
        """Returns when every step came true; ScenarioFailed names the first that did not."""
        for step in self._steps:
            if self.judge.faults:
                raise ScenarioFailed(f"before line {step.line}: {self.judge.faults[0]}")
            try:
                if step.verb in DECLARATIONS:
                    self._declare(step.verb, list(step.words))
                    continue
                if not self._started:
                    self._start()
                self._act(step)
            except (ScenarioError, KeyError, IndexError, ValueError) as error:
                raise ScenarioFailed(f"line {step.line}: {type(error).__name__}: {error}") from error
        self._play_out()

    def _play_out(self) -> None:
        """All that is owed has its time yet; then the judge has the last word."""
        judge = self.judge
        if self._started:
            self._world.settle()
            self._world.until(lambda: bool(judge.faults) or not judge.pending, judge.longest_s + PATIENCE_S)
            self._world.until(lambda: bool(judge.faults) or not judge.ending, judge.kill_s + PATIENCE_S)
            judge.look()
            judge.finish()
        if judge.faults:
            raise ScenarioFailed(f"at the end: {'; '.join(judge.faults)}")

    def _declare(self, what: str, words: Words) -> None:
        reactor, given = self._world.reactor, options(words)
        if what == "daemon":
            self._wire, self._changes = words[0], given
            if self._wire not in ("http", "iscsi"):
                raise ScenarioError(f"no wire {self._wire!r}")
        elif what == "unanswered":
            self.judge.allowed |= {f"{words[0]} {name}" for name in words[1:]}
        elif words[0] in self.peers:
            raise ScenarioError(f"{words[0]!r} is declared twice")
        elif what == "brick":
            self.peers[words[0]] = HttpBrick(reactor, words[0], int(given.get("shard", 0)))
        elif what == "node":
            self.peers[words[0]] = iscsi_peers.IscsiNode(reactor, words[0], int(given.get("shard", 0)))
        elif what == "client":
            self.peers[words[0]] = HttpClient(reactor, words[0], lambda: self._address)
        elif what == "caller":
            self.peers[words[0]] = Caller(reactor, words[0], lambda: self._world.management)
        else:
            self.peers[words[0]] = iscsi_peers.IscsiClient(reactor, words[0], lambda: self._address)

    def _start(self) -> None:
        self._started = True
        if self._wire == "iscsi":
            nodes = [peer for peer in self.peers.values() if isinstance(peer, iscsi_peers.IscsiNode)]
            config = iscsi_peers.operator_file(nodes, self._changes)
            directory: Peer = iscsi_peers.OperatorFile(self._world, config)
        else:
            directory = Directory(
                self._world.reactor, "list", lambda at: self._daemon.send_reload([f"discovery={at}"])
            )
            for brick in self.peers.values():
                if isinstance(brick, HttpBrick):
                    directory.add(brick)
            config = {
                "name": "rehearsed", "listen": "127.0.0.1:0", "discovery": directory.address, "seed": "7",
                "management": "127.0.0.1:0",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": directory.listing(True), "settings": defaults.settings(),
            }  # fmt: skip
            for path, value in self._changes.items():
                defaults.change(config, path, value)
        if any(step.words[:2] == ("daemon", "replace") for step in self._steps):
            # Both processes are told the same address: it can't be one that the system picks.
            owner = config if self._wire == "http" else config["target"]
            owner["listen"] = self._world.address()
        self.peers["list"] = directory
        self._daemon.config, self._daemon.wire = config, self._wire
        self.judge.longest_s = self._longest_s(config)
        for peer in self.peers.values():
            peer.judge = self.judge
        self._address = self._world.start(self._wire, config, self._daemon)
        if self._world.watched:
            self.judge.watch()

    def _longest_s(self, config: dict[str, Any]) -> float:
        """The longest deadline of a class."""
        if self._wire == "iscsi":
            return float(max(row["deadline_ms"] for row in config["class"])) / 1e3
        return float(max(row["give_up_us"] for row in config["settings"]["categories"])) / 1e6

    def _act(self, step: Step) -> None:
        words = list(step.words)
        if step.verb == "wait":
            self._world.pass_time(float(words[0]))
            return
        who = self.peers.get(words[0])
        if who is None:
            raise ScenarioError(f"nobody is called {words[0]!r}")
        if step.verb == "send":
            who.send(words[1:])
        elif step.verb == "close":
            who.close(words[1:])
        else:
            self._expect(step, who, words[1:])

    def _expect(self, step: Step, who: Peer, words: Words) -> None:
        patience = PATIENCE_S
        if len(words) > 2 and words[-2] == "within":
            patience, words = float(words[-1]), words[:-2]
        if words == ["nothing"]:
            self._world.settle()
            if who.inbox:
                raise ScenarioFailed(f"line {step.line}: {who.name} saw {who.inbox[0]}, not nothing")
            return
        if not self._world.until(lambda: bool(who.inbox or self.judge.faults), patience):
            raise ScenarioFailed(f"line {step.line}: {who.name} saw nothing for {patience} s, not {words}")
        if not who.inbox:
            raise ScenarioFailed(f"line {step.line}: {self.judge.faults[0]}")
        seen = who.inbox.popleft()
        if len(seen) < len(words) or not all(map(fnmatchcase, seen, words)):
            raise ScenarioFailed(f"line {step.line}: {who.name} saw {seen}, not {words}")

    def finish(self) -> None:
        """Take the listeners down."""
        for peer in self.peers.values():
            if isinstance(peer, Listener):
                peer.close([])
