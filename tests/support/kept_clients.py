"""Clients that keep their connections to a process that is ending, and send on them up to its kill."""

from __future__ import annotations

import random
import signal
import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from gaugesail.rehearsal.kill_time import earliest_kill_s

from .faulty_process import HOST, HangingNode, ListService, ThreadedNode, read_head, wait_until
from .gateway_processes import GatewayProcesses, put_request

# A request that is sent so shortly before its connection ends may have crossed the close, unread.
CROSSING_S = 0.05
# A request that is sent so long before the earliest kill can be served by a node that answers at once.
TIME_TO_SERVE_S = 0.35
SERVING, HANGING = 0, 1  # shards


@dataclass(eq=False)
class Exchange:
    """One request on a kept connection; times are monotonic seconds."""

    name: str
    shard: int
    sent: float
    status: int = 0  # 0: no whole answer
    ended: float = 0.0  # when the answer was complete, or the connection had ended

    def is_lost(self, process_ended: float) -> bool:
        """Whether the request must have been read and has no whole answer."""
        return not self.status and min(self.ended, process_ended) - self.sent > CROSSING_S


class KeptClient:
    """A client with one connection, on which it sends its requests at the given times."""

    def __init__(self, port: int, name: str, deadline_s: float) -> None:
        self._name, self._deadline_s = name, deadline_s
        self._socket = socket.create_connection((HOST, port), 2.0)
        self._socket.settimeout(10.0)
        self._stream = self._socket.makefile("rb")
        self._sent = 0

    def exchange(self, shard: int) -> Exchange:
        """Send a request and wait for its answer, or for the end of the connection."""
        self._sent += 1
        name = f"{self._name}{self._sent:08x}"
        exchange = Exchange(name, shard, time.monotonic())
        with suppress(OSError):
            self._socket.sendall(put_request(name, hash(name) & 0xFFFF, shard, self._deadline_s))
            head = read_head(self._stream)
            length = int(head.get("content-length", "0")) if head else 0
            if head is not None and len(self._stream.read(length)) == length:
                exchange.status = int(head[""].split()[1])
        exchange.ended = time.monotonic()
        return exchange

    def has_ended(self) -> bool:
        """Whether the connection has been closed while the client rested."""
        self._socket.setblocking(False)
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self._socket.settimeout(10.0)

    def close(self) -> None:
        self._stream.close()
        self._socket.close()


@dataclass(eq=False)
class EndingGateway:
    """A gateway with a longest deadline, a node that serves and one that hangs, and kept clients."""

    folder: Path
    deadline_s: float
    effect: str = "retryable"  # of a write
    exchanges: list[Exchange] = field(default_factory=list)
    _clients: list[tuple[KeptClient, int, float]] = field(default_factory=list)
    _threads: list[threading.Thread] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._nodes: list[HangingNode] = [ThreadedNode(SERVING), HangingNode(HANGING)]
        self._discovery = ListService(self._nodes)
        changes = {"categories__1__effect": self.effect}
        for category, aim_s in ((0, 0.5), (1, 0.6)):
            changes[f"categories__{category}__give_up_us"] = str(int(self.deadline_s * 1e6))
            changes[f"categories__{category}__aim_us"] = str(int(min(aim_s, self.deadline_s / 2) * 1e6))
        self.gateway = GatewayProcesses(self.folder, self._discovery, changes)
        self.old = self.gateway.start_and_await()

    @property
    def kill_s(self) -> float:
        """When SIGKILL may follow SIGTERM, in seconds after it."""
        return earliest_kill_s(self.deadline_s)

    def add_clients(self, rests_s: list[float], shard: int) -> None:
        """Connect clients that will each rest until ``rests_s`` after SIGTERM, and then send."""
        for number, rest_s in enumerate(rests_s):
            client = KeptClient(self.gateway.port, f"{shard}{number:07x}", self.deadline_s)
            assert client.exchange(SERVING).status == 200
            self._clients.append((client, shard, rest_s))

    def _send_at(self, client: KeptClient, send_at: float, shard: int) -> None:
        time.sleep(max(0.0, send_at - time.monotonic()))
        if not client.has_ended():
            self.exchanges.append(client.exchange(shard))
        client.close()

    def end_old(self) -> float:
        """Send SIGTERM, and SIGKILL as early as may be; returns how long the process ran on, in seconds.

        Clients that rest until before SIGTERM send first.
        """
        self.term_at = time.monotonic() + max(0.0, -min((rest for _, _, rest in self._clients), default=0.0))
        for client, shard, rest_s in self._clients:
            arguments = client, self.term_at + rest_s, shard
            thread = threading.Thread(target=self._send_at, args=arguments, daemon=True)
            self._threads.append(thread)
            thread.start()
        time.sleep(max(0.0, self.term_at - time.monotonic()))
        self.old.send_signal(signal.SIGTERM)
        wait_until(lambda: self.old.poll() is not None, self.term_at + self.kill_s - time.monotonic())
        self._old_ended = time.monotonic()
        self.old.kill()
        self.old.wait()
        for thread in self._threads:
            thread.join(12.0)
            assert not thread.is_alive()
        return self._old_ended - self.term_at

    def lost(self) -> list[str]:
        """The requests that must have been read and got no whole answer."""
        return [
            f"{exchange.name} to shard {exchange.shard}, sent {exchange.sent - self.term_at:.3f} s after"
            f" SIGTERM, unanswered {exchange.ended - exchange.sent:.3f} s later"
            for exchange in self.exchanges
            if exchange.is_lost(self._old_ended)
        ]

    def refused_too_soon(self) -> list[str]:
        """The requests to the node that serves that were not served, although there was time."""
        return [
            f"{exchange.name}, sent {exchange.sent - self.term_at:.3f} s after SIGTERM: {exchange.status}"
            for exchange in self.exchanges
            if exchange.shard == SERVING
            and exchange.status not in (0, 200)
            and exchange.sent - self.term_at < self.kill_s - TIME_TO_SERVE_S
        ]

    def close(self) -> None:
        self.gateway.close()
        self._discovery.close()
        for node in self._nodes:
            node.close()


def spread_rests_s(seed: int, count: int, latest_s: float) -> list[float]:
    """Draw ``count`` times from shortly before SIGTERM to ``latest_s`` after it."""
    rng = random.Random(seed)
    return sorted(rng.uniform(-0.2, latest_s) for _ in range(count))
