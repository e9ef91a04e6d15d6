"""Two processes of one gateway send the requests of an ordered key as one process would."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from gaugesail.policy.actions import (
    Action,
    ClaimKey,
    FailRequest,
    GrantKey,
    RejectRequest,
    ReleaseKey,
    SetTimer,
    StartAttempt,
)
from gaugesail.policy.events import (
    AnswerAdopted,
    AnswerEnded,
    AnswerEnding,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Event,
    KeyAuthority,
    KeyAuthorityChanged,
    KeyClaimed,
    KeyGranted,
    KeyReleased,
    RequestReceived,
    TimerFired,
)
from gaugesail.policy.gateway import Gateway

from ..support import gateway_driver

PAUSE_US = 100_000
TIMEOUT_US = 2_000_000
ORDERED_CLASS = 2  # "once"
NODE = gateway_driver.node_id(0)
POSSIBLY_RUNNING = {AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED}


@dataclass(eq=False)
class Request:
    """A request of an ordered key; ``known_at`` is when the process that decides received it or its claim."""

    request_id: int
    process: Process
    key: int
    received_at: int
    known_at: int | None = None
    in_flight: bool = False
    attempts: int = 0
    finished: bool = False
    left: bool = False  # its client has disconnected
    continues: bool = False  # its answer has begun, and is passed on
    answer_id: int = 0  # under which the process that passes it on knows it
    answer_attempt: int = 0
    is_moving: bool = False  # its answer is on the way to the successor


@dataclass(eq=False)
class Process:
    """One process: its gateway, and the messages on their way to it."""

    gateway: Gateway
    next_id: int
    inbox: deque[Event] = field(default_factory=deque)
    timers: list[tuple[int, int]] = field(default_factory=list)
    alive: bool = True


class TwoProcesses:
    """A predecessor, which decides the order, and its successor; checks every attempt of both."""

    def __init__(self) -> None:
        self.now = 50_000_000
        made = gateway_driver.settings(
            gateway_count=1, overload_window_us=0, ordered_key_pause_us=PAUSE_US, retry_budget_window_us=0
        )
        self.old = Process(Gateway(made, 7, self.now), 1)
        self.new = Process(Gateway(made, 8, self.now), 100_001)
        self.requests: dict[int, Request] = {}
        self.paused: dict[int, tuple[int, Request]] = {}  # by key: end of the pause, and whose attempt it is
        endpoint = Endpoint(NODE, 0, EndpointState.READY)
        for process in (self.old, self.new):
            self.feed(process, EndpointList(EndpointListKind.FULL, (endpoint,)))
        self.feed(self.new, KeyAuthorityChanged(KeyAuthority.SIBLING))

    @property
    def processes(self) -> list[Process]:
        return [process for process in (self.old, self.new) if process.alive]

    def feed(self, process: Process, event: Event) -> None:
        if process.alive:
            for action in process.gateway.handle(self.now, [event]):
                self._carry_out(process, action)

    def _carry_out(self, process: Process, action: Action) -> None:
        other = self.new if process is self.old else self.old
        match action:
            case StartAttempt():
                self._start(self.requests[action.request_id])
            case RejectRequest() | FailRequest():
                request = self.requests[action.request_id]
                assert not request.finished, "a second final answer"
                request.finished = True
            case SetTimer():
                process.timers.append((action.at_us, action.token))
            case ClaimKey():
                other.inbox.append(
                    KeyClaimed(action.request_id, action.key, action.received_us, action.is_held)
                )
            case ReleaseKey():
                other.inbox.append(KeyReleased(action.request_id, action.paused_until))
            case GrantKey():
                other.inbox.append(KeyGranted(action.claim_id))

    def _start(self, request: Request) -> None:
        assert not request.finished
        same_key = [other for other in self.requests.values() if other.key == request.key]
        assert not any(other.in_flight for other in same_key), "two attempts of a key at once"
        until, exempt = self.paused.get(request.key, (0, request))
        assert self.now >= until or exempt is request, "an attempt of this key may still be running"
        for other in same_key:
            known_earlier = other.known_at is not None and other.known_at < request.received_at
            assert other.finished or not known_earlier, "an earlier request of this key is unfinished"
        request.in_flight = True
        request.attempts += 1

    # ---- steps ----

    def send(self, is_new: bool, key: int) -> None:
        process = self.new if is_new else self.old
        if not process.alive:
            return
        request = Request(process.next_id, process, key, self.now)
        process.next_id += 1
        self.requests[request.request_id] = request
        if process is self.old or not self.old.alive:
            request.known_at = self.now
        event = RequestReceived(
            request.request_id, ORDERED_CLASS, self.now + TIMEOUT_US, 0, key=key, received_us=self.now
        )
        self.feed(process, event)

    def end_attempt(self, which: int, result: AttemptResult) -> None:
        in_flight = [r for r in self.requests.values() if r.in_flight and not r.continues and r.process.alive]
        if not in_flight:
            return
        request = in_flight[which % len(in_flight)]
        request.in_flight = False
        if result in POSSIBLY_RUNNING:
            self.paused[request.key] = self.now + PAUSE_US, request
        served = result is AttemptResult.SERVED and not request.finished
        request.finished = request.finished or served
        number = request.attempts - 1
        ended = AttemptEnded(request.request_id, number, NODE, result, 1000, request.finished, load_report=())
        self.feed(request.process, ended)

    def begin_answer(self, which: int) -> None:
        """The first part of a large answer arrives: the request is finished, its attempt is not."""
        begun = [r for r in self.requests.values() if r.in_flight and not r.continues and r.process.alive]
        if not begun:
            return
        request = begun[which % len(begun)]
        request.continues = request.finished = True
        request.answer_id, request.answer_attempt = request.request_id, request.attempts - 1
        ended = AttemptEnded(
            request.request_id, request.answer_attempt, NODE, AttemptResult.SERVED, 1000, True,
            answer_continues=True,
        )  # fmt: skip
        self.feed(request.process, ended)

    def _continued(self) -> list[Request]:
        return [r for r in self.requests.values() if r.continues and not r.is_moving and r.process.alive]

    def end_answer(self, which: int, ending: AnswerEnding) -> None:
        """An answer that is passed on comes to its end, or moves to the successor."""
        continued = self._continued()
        if not continued:
            return
        request = continued[which % len(continued)]
        process, answer_id, attempt = request.process, request.answer_id, request.answer_attempt
        if ending is AnswerEnding.MOVED:
            if not (process is self.old and self.new.alive):
                return
            request.process, request.is_moving = self.new, True
            request.answer_id, request.answer_attempt = self.new.next_id, 0
            self.new.next_id += 1
            self.new.inbox.append(AnswerAdopted(request.answer_id, request.key))
        else:
            request.in_flight = request.continues = False
            if ending is AnswerEnding.BROKEN:
                self.paused[request.key] = self.now + PAUSE_US, request
        self.feed(process, AnswerEnded(answer_id, attempt, ending))

    def _lose_moving_answers(self) -> None:
        """What is on its way over a link that breaks never arrives."""
        for request in self.requests.values():
            if request.is_moving:
                request.is_moving = request.in_flight = request.continues = False
                self.paused[request.key] = self.now + PAUSE_US, request

    def disconnect(self, which: int) -> None:
        pending = [r for r in self.requests.values() if not r.finished and r.process.alive]
        if pending:
            request = pending[which % len(pending)]
            request.finished = True
            self.feed(request.process, ClientDisconnected(request.request_id))

    def deliver(self, count: int) -> None:
        for process in self.processes:
            for _ in range(min(count, len(process.inbox))):
                event = process.inbox.popleft()
                if isinstance(event, AnswerAdopted):
                    moved = next(r for r in self.requests.values() if r.answer_id == event.request_id)
                    moved.is_moving = False
                if isinstance(event, KeyClaimed) and event.claim_id in self.requests:
                    request = self.requests[event.claim_id]
                    request.known_at = request.known_at or self.now
                self.feed(process, event)

    def pass_time(self, span_us: int) -> None:
        end = self.now + span_us
        while True:
            due = min(
                ((at, process) for process in self.processes for at, _ in process.timers),
                key=lambda row: row[0],
                default=None,
            )
            if due is None or due[0] > end:
                break
            self.now = max(self.now, due[0])
            process = due[1]
            token = next(token for at, token in process.timers if at == due[0])
            process.timers.remove((due[0], token))
            self.feed(process, TimerFired(token))
        self.now = end

    def _lose(self, process: Process) -> None:
        """A process dies: its connections are reset, and what it had in flight may be running."""
        process.alive = False
        self._lose_moving_answers()
        for request in self.requests.values():
            if request.process is process:
                if request.in_flight:
                    self.paused[request.key] = self.now + PAUSE_US, request
                request.in_flight = request.continues = False
                request.finished = True
        for one in (self.old, self.new):
            one.inbox.clear()

    def kill_old(self) -> None:
        if not (self.old.alive and self.new.alive):
            return
        self._lose(self.old)
        self.feed(self.new, KeyAuthorityChanged(KeyAuthority.UNAVAILABLE))
        self._new_decides(KeyAuthorityChanged(KeyAuthority.OWN, attempts_unknown=True))

    def _new_decides(self, event: KeyAuthorityChanged) -> None:
        for request in self.requests.values():
            request.known_at = request.known_at or self.now
        self.feed(self.new, event)

    def kill_new(self) -> None:
        if self.old.alive and self.new.alive:
            self._lose(self.new)
            self.feed(self.old, KeyAuthorityChanged(KeyAuthority.OWN))

    def stop_old(self) -> None:
        """The predecessor ends after its last answer, and reports what may be running."""
        unfinished = [r for r in self.requests.values() if r.process is self.old and not r.finished]
        if not (self.old.alive and self.new.alive) or unfinished:
            return
        report = self.old.gateway.ordered_keys.possibly_running(self.now)
        self._lose(self.old)
        self._new_decides(KeyAuthorityChanged(KeyAuthority.OWN, paused_keys=report))

    def cut_link(self, gap_us: int) -> None:
        """The link breaks while both processes run, and is opened again within the pause of a key."""
        if not (self.old.alive and self.new.alive):
            return
        self._lose_moving_answers()
        for process in (self.old, self.new):
            process.inbox.clear()
        for request in self.requests.values():
            if request.process is self.new and not request.in_flight:
                request.known_at = None
        self.feed(self.old, KeyAuthorityChanged(KeyAuthority.OWN))
        self.feed(self.new, KeyAuthorityChanged(KeyAuthority.UNAVAILABLE))
        self.pass_time(gap_us)
        self.feed(self.old, KeyAuthorityChanged(KeyAuthority.OWN))
        self.feed(self.new, KeyAuthorityChanged(KeyAuthority.SIBLING))
        self.deliver(1000)

    def finish(self) -> None:
        """Serve everything; each request gets its answer in time, and nothing stays blocked."""
        for _ in range(400):
            self.deliver(1000)
            self.end_attempt(0, AttemptResult.SERVED)
            self.end_answer(0, AnswerEnding.WHOLE)
            self.pass_time(10_000)
        assert all(request.finished for request in self.requests.values())
        for process in self.processes:
            assert not process.gateway.pending
            assert not process.gateway.ordered_keys.has_waiting_claims


RESULTS = st.sampled_from(
    [AttemptResult.SERVED] * 4
    + [AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.ERROR, AttemptResult.NO_CONNECTION]
)
COMMON = [
    st.tuples(st.just("send"), st.booleans(), st.integers(1, 2)),
    st.tuples(st.just("end_attempt"), st.integers(0, 9), RESULTS),
    st.tuples(st.just("begin_answer"), st.integers(0, 9)),
    st.tuples(st.just("end_answer"), st.integers(0, 9), st.sampled_from(AnswerEnding)),
    st.tuples(st.just("deliver"), st.integers(1, 4)),
    st.tuples(st.just("pass_time"), st.sampled_from([500, 5_000, 40_000, 130_000, 600_000])),
]
RARE = [
    st.tuples(st.just("disconnect"), st.integers(0, 9)),
    st.tuples(st.just("kill_old")),
    st.tuples(st.just("kill_new")),
    st.tuples(st.just("stop_old")),
    st.tuples(st.just("cut_link"), st.sampled_from([0, 1_000, 50_000])),
]
STEPS = st.lists(st.one_of(*COMMON, *COMMON, *COMMON, *RARE), min_size=20, max_size=120)


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(STEPS)
def test_the_order_of_a_key_holds_across_two_processes(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    two = TwoProcesses()
    for name, *arguments in steps:
        getattr(two, name)(*arguments)
    two.finish()


def test_a_request_of_the_successor_waits_for_an_earlier_one_of_the_predecessor() -> None:
    """Guards against two processes sending writes of one item at once while one replaces the other."""
    two = TwoProcesses()
    two.send(False, 1)
    two.pass_time(1000)
    two.send(True, 1)
    two.pass_time(1000)
    two.send(False, 1)
    two.deliver(10)
    assert [r.in_flight for r in two.requests.values()] == [True, False, False]
    two.end_attempt(0, AttemptResult.SERVED)
    two.deliver(10)
    assert [r.in_flight for r in two.requests.values()] == [False, True, False]
    two.end_attempt(0, AttemptResult.SERVED)
    two.deliver(10)
    assert [r.in_flight for r in two.requests.values()] == [False, False, True]


def test_an_answer_that_moves_holds_its_key_until_its_end_at_the_successor() -> None:
    """Guards against a request at either process beside an answer that has moved."""
    two = TwoProcesses()
    two.send(False, 1)
    two.begin_answer(0)
    two.send(False, 1)
    two.end_answer(0, AnswerEnding.MOVED)
    two.pass_time(1000)
    two.send(True, 1)
    assert states(two) == [True, False, False], "before the successor has claimed the key"
    two.deliver(10)
    two.deliver(10)
    assert states(two) == [True, False, False]
    two.end_answer(0, AnswerEnding.WHOLE)
    two.deliver(10)
    assert states(two) == [False, True, False]


def test_an_answer_that_moves_and_is_lost_leaves_its_key_quiet() -> None:
    two = TwoProcesses()
    two.send(False, 1)
    two.begin_answer(0)
    two.send(False, 1)
    two.end_answer(0, AnswerEnding.MOVED)
    two.kill_new()
    two.pass_time(PAUSE_US - 1000)
    assert states(two) == [False, False]
    two.pass_time(2000 + PAUSE_US)
    assert states(two) == [False, True]


def test_an_answer_that_moves_again_holds_its_key() -> None:
    """Guards against a turn that is lost at the second replacement in a row."""
    two = TwoProcesses()
    two.send(False, 1)
    two.begin_answer(0)
    two.end_answer(0, AnswerEnding.MOVED)
    two.deliver(10)
    two.stop_old()
    two.send(True, 1)
    two.pass_time(PAUSE_US * 3)
    assert states(two) == [True, False]
    third = Gateway(two.new.gateway.state.settings, 9, two.now)
    moved = two.requests[1]
    two.feed(two.new, AnswerEnded(moved.answer_id, 0, AnswerEnding.MOVED))
    two.pass_time(PAUSE_US * 3)
    assert states(two) == [True, False], "the third process has not claimed it yet"
    third.handle(two.now, [KeyAuthorityChanged(KeyAuthority.SIBLING)])
    claims = third.handle(two.now, [AnswerAdopted(900_000, 1)])
    assert [type(action) for action in claims] == [ClaimKey]
    two.feed(two.new, KeyClaimed(900_000, 1, two.now, True))
    two.pass_time(PAUSE_US * 3)
    assert states(two) == [True, False]
    releases = [a for a in third.handle(two.now, [AnswerEnded(900_000, 0, AnswerEnding.WHOLE)])]
    assert [type(action) for action in releases] == [ReleaseKey]
    moved.in_flight = False
    two.feed(two.new, KeyReleased(900_000, 0))
    assert states(two) == [False, True]


def test_the_last_report_of_a_process_counts_from_its_time() -> None:
    """Guards against a pause that is short by what has passed since the latest batch of events."""
    two = TwoProcesses()
    two.send(False, 1)
    two.now += PAUSE_US // 2
    assert two.old.gateway.ordered_keys.possibly_running(two.now) == ((1, two.now + PAUSE_US),)


def test_a_silent_predecessor_lets_ordered_requests_wait_and_be_answered_in_time() -> None:
    two = TwoProcesses()
    two.send(True, 1)
    two.pass_time(TIMEOUT_US)
    request = next(iter(two.requests.values()))
    assert request.finished and not request.attempts


def test_requests_without_order_are_sent_without_a_message() -> None:
    two = TwoProcesses()
    two.new.gateway.handle(two.now, [KeyAuthorityChanged(KeyAuthority.UNAVAILABLE)])
    event = RequestReceived(900_000, 0, two.now + TIMEOUT_US, 0, key=1)
    actions = two.new.gateway.handle(two.now, [event])
    assert [type(action) for action in actions if not isinstance(action, SetTimer)] == [StartAttempt]


def states(two: TwoProcesses) -> list[bool]:
    """Whether each request has an attempt in flight, in the order of receipt."""
    return [request.in_flight for request in two.requests.values()]


def granted_and_waiting() -> TwoProcesses:
    """The successor's request has an attempt in flight; one of the predecessor waits for the same key."""
    two = TwoProcesses()
    two.send(True, 1)
    two.deliver(10)
    two.deliver(10)
    two.pass_time(1000)
    two.send(False, 1)
    return two


def test_a_key_rests_in_both_processes_after_an_attempt_that_may_be_running() -> None:
    """Guards against a release that does not tell the other process of the pause."""
    two = granted_and_waiting()
    assert states(two) == [True, False]
    two.end_attempt(0, AttemptResult.TIMEOUT)
    two.deliver(10)
    two.pass_time(PAUSE_US - 20_000)
    assert states(two) == [False, False]
    two.pass_time(40_000)
    assert states(two) == [False, True]


def test_an_attempt_in_flight_keeps_its_key_when_the_link_is_opened_again() -> None:
    """Guards against a second attempt beside one that the link's end left in flight."""
    two = granted_and_waiting()
    two.disconnect(0)  # its attempt goes on
    two.cut_link(1000)
    two.pass_time(PAUSE_US * 2)
    assert states(two) == [True, False]
    two.end_attempt(0, AttemptResult.SERVED)
    two.deliver(10)
    two.pass_time(PAUSE_US * 2)
    assert states(two) == [False, True]


def test_the_last_attempts_of_a_predecessor_that_ends_pause_their_keys_only() -> None:
    two = TwoProcesses()
    two.send(False, 1)
    two.disconnect(0)
    two.pass_time(1000)
    two.stop_old()
    two.send(True, 1)
    two.send(True, 2)
    assert states(two)[1:] == [False, True]
    two.pass_time(PAUSE_US + 20_000)
    assert states(two)[1:] == [True, True]
