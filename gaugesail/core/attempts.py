"""Attempts, from their start to their single end, and the node transport's reports about them.

At most one attempt of a request is in flight.  The first end of an attempt determines its result.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gaugesail.policy.actions import CancelAttempt, StartAttempt
from gaugesail.policy.events import (
    AnswerAdopted,
    AnswerEnded,
    AnswerEnding,
    AttemptEnded,
    AttemptResult,
    HealthCheckEnded,
)
from gaugesail.policy.settings import NodeId

from .activity import Activity
from .deadlines import AttemptDeadline, DeadlineQueue
from .final_answers import FinalAnswers
from .policy_runner import PolicyRunner
from .ports import Attempt, BodySink, BodySource, Clock, FailureReason, NodeTransport
from .request_ids import RequestIds
from .request_table import OpenRequest, RequestTable
from .rules import Denial, RuleMonitor, deny_attempt, deny_first_byte
from .trace import Step

# Results after which a request has not run.
NEVER_RUN = (AttemptResult.NOT_STARTED, AttemptResult.REJECTED, AttemptResult.NO_CONNECTION)
# Of an answer that was passed on as it came, by the result of its attempt; NOT_STARTED: it was handed over.
ANSWER_ENDINGS = {AttemptResult.SERVED: AnswerEnding.WHOLE, AttemptResult.NOT_STARTED: AnswerEnding.MOVED}
STREAM_COUNTERS = {
    AnswerEnding.WHOLE: "streamed",
    AnswerEnding.MOVED: "stream_moved",
    AnswerEnding.BROKEN: "stream_broken",
}
ANSWER_MARGIN_US = 4_000  # between the latest answer and the client's timeout


def _deadline_us(entry: OpenRequest, action: StartAttempt, now_us: int) -> int:
    """The end of an attempt that starts now: its own timeout, but early enough for the final answer."""
    last_us = entry.deadline_us - ANSWER_MARGIN_US
    return min(last_us, now_us + action.timeout_us) if action.timeout_us else last_us


@dataclass(slots=True, eq=False)
class Attempts:
    """Starts, aborts and ends attempts; implements ``AttemptListener`` for the node transport."""

    clock: Clock
    transport: NodeTransport
    table: RequestTable
    ids: RequestIds
    deadlines: DeadlineQueue
    policy: PolicyRunner
    answers: FinalAnswers
    rules: RuleMonitor
    activity: Activity
    in_maintenance: set[NodeId]
    on_client_disconnected: Callable[[int], None]  # with the request's id
    new_request_id: Callable[[], int]

    # ---- called by the policy ----

    def start(self, action: StartAttempt) -> None:
        """Start an attempt, or report NOT_STARTED to the policy if the rules deny it."""
        entry = self.table.open.get(action.request_id)
        now_us = self.clock.now_us()
        if entry is not None and self._has_run_before(entry):
            self.answers.fail(action.request_id, FailureReason.ID_IN_USE)
            self._deny(action, None, Denial.ID_IN_USE)
            return
        deadline_us = 0 if entry is None else _deadline_us(entry, action, now_us)
        denial = deny_attempt(entry, deadline_us, action.start_before_us, now_us)
        if denial is not None:
            self._deny(action, entry, denial)
        elif entry is not None:
            self._send(entry, self._new_attempt(entry, action, now_us, deadline_us))

    def _has_run_before(self, entry: OpenRequest) -> bool:
        """Whether it became known since the request was accepted that its id may have run already."""
        return not entry.attempts and self.ids.may_have_run(entry.request.client_request_id)

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt, unless it has ended or its answer is being streamed."""
        attempt = self.table.attempts.get((action.request_id, action.attempt))
        if attempt is not None and not attempt.answer_started:
            self.abort(attempt, AttemptResult.CANCELLED)

    def _new_attempt(
        self, entry: OpenRequest, action: StartAttempt, now_us: int, deadline_us: int
    ) -> Attempt:
        request = entry.request
        keeps_order = request.settings.classes[request.class_index].ordered
        return Attempt(
            action.request_id,
            entry.attempts,
            action.node_id,
            request.shard,
            request.client_request_id,
            request.payload,
            now_us,
            deadline_us,
            ordered_key=request.key if keeps_order else 0,
            start_before_us=action.start_before_us,
            client_has_disconnected=lambda: self._end_if_client_has_disconnected(entry),
        )

    def _deny(self, action: StartAttempt, entry: OpenRequest | None, denial: Denial) -> None:
        """Report a denied attempt; it counts toward the limit unless another one is in flight."""
        self.activity.counts["attempts_denied"] += 1
        number = 0
        client_request_id = ""
        if entry is not None:
            number = entry.attempts
            client_request_id = entry.request.client_request_id
            if entry.in_flight is None:
                entry.attempts += 1
        self._note_denial(client_request_id, denial)
        self.policy.add(
            AttemptEnded(
                action.request_id, number, action.node_id, AttemptResult.NOT_STARTED, 0, entry is None
            )
        )

    def _send(self, entry: OpenRequest, attempt: Attempt) -> None:
        if entry.latest_result is not None:
            self.activity.counts[f"retried_after_{entry.latest_result.name.lower()}"] += 1
        self.table.add_attempt(entry, attempt)
        self.ids.send(attempt.client_request_id)
        self.activity.counts["sent"] += 1
        node = attempt.node_id.decode(errors="replace")
        self.activity.note(attempt.client_request_id, Step.SENT, f"{attempt.number} to {node}")
        self.deadlines.add(attempt.deadline_us, AttemptDeadline(attempt))
        if attempt.node_id in self.in_maintenance:  # overrides the policy until maintenance ends
            self.attempt_ended(attempt, AttemptResult.NO_CONNECTION)
            return
        try:
            self.transport.send(attempt, self)
        except Exception as error:  # the attempt must end even if the transport fails
            self.activity.fault("send_raised", error)
            self.abort(attempt, AttemptResult.RESET)

    # ---- ends decided by the engine ----

    def deadline_reached(self, attempt: Attempt) -> None:
        """Abort an attempt at its deadline, unless its answer is being streamed.

        One whose answer has begun to arrive has the rest of its request's time, and is passed on then unless
        it is known to be short.  So has one that has not begun, as the gateway has no connection for it.
        """
        is_outdated = self.clock.now_us() < attempt.deadline_us  # it has been given another since
        if attempt.ended or attempt.answer_started or is_outdated:
            return
        self._read_now(attempt)
        if attempt.ended or attempt.answer_started:
            return
        entry = self.table.open.get(attempt.request_id)
        goes_on = attempt.answer_begun or self.transport.is_held_back(attempt)
        if goes_on and entry is not None:
            last_us = entry.deadline_us - ANSWER_MARGIN_US
            if attempt.deadline_us < last_us:
                self.activity.counts["answer_awaited"] += attempt.answer_begun
                attempt.deadline_us = last_us
                self.deadlines.add(last_us, AttemptDeadline(attempt))
                return
        if not self.pass_on(attempt):
            self.abort(attempt, AttemptResult.TIMEOUT)

    def _read_now(self, attempt: Attempt) -> None:
        """Read an answer that arrived in time, but was not read while the process was late."""
        try:
            self.transport.read_now(attempt)
        except Exception as error:  # the attempt ends as any other
            self.activity.fault("read_now_raised", error)

    def pass_on(self, attempt: Attempt) -> bool:
        """Pass on what has come of an answer that its client would not get in time otherwise.

        Returns False if it has not begun, is known to be short, or no client waits for it.
        """
        if attempt.ended or not attempt.answer_begun or attempt.request_id not in self.table.open:
            return False
        try:
            is_passed_on = self.transport.pass_on(attempt)
        except Exception as error:  # the attempt ends as any other
            self.activity.fault("pass_on_raised", error)
            return False
        self.activity.counts["answer_passed_on_at_deadline"] += is_passed_on
        return is_passed_on

    def shorten(self, attempt: Attempt, deadline_us: int) -> None:
        """End an attempt by ``deadline_us``, if that is earlier than its deadline."""
        if deadline_us < attempt.deadline_us:
            attempt.deadline_us = deadline_us
            self.deadlines.add(deadline_us, AttemptDeadline(attempt))

    def abort(self, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt; its connection is aborted before anything else may be sent.

        If its last byte was never written, for example as the connection was not established in time, the
        attempt cannot have run and ends as NO_CONNECTION; as NOT_STARTED, which says nothing of its node, if
        the gateway itself had no connection for it.
        """
        if attempt.answer_begun:
            self._report_answer_given_up(attempt, result)
        try:
            held_back = self.transport.is_held_back(attempt)
            if self.transport.abort(attempt) is False:
                result = AttemptResult.NOT_STARTED if held_back else AttemptResult.NO_CONNECTION
                self.activity.counts["no_connection_free"] += held_back
        except Exception as error:  # the result is reported in any case
            self.activity.fault("abort_raised", error)
        self.attempt_ended(attempt, result)

    def _report_answer_given_up(self, attempt: Attempt, result: AttemptResult) -> None:
        """Log an answer that had begun and is not waited for any longer."""
        self.activity.counts["answer_given_up"] += 1
        self.activity.log.info(
            "answer_given_up",
            request=attempt.client_request_id,
            node=attempt.node_id.decode(errors="replace"),
            why=result.name.lower(),
            after_ms=(self.clock.now_us() - attempt.sent_us) // 1000,
            client_waits=attempt.request_id in self.table.open,
            answer=self.transport.describe_answer(attempt),
        )

    def cancel_unwritten(self, attempt: Attempt) -> None:
        """Cancel an attempt that is not completely written; one that is written continues."""
        try:
            cancelled = self.transport.cancel_unwritten(attempt)
        except Exception as error:  # the attempt continues
            self.activity.fault("cancel_unwritten_raised", error)
            return
        if cancelled:
            self.attempt_ended(attempt, AttemptResult.NOT_STARTED)

    def _end_if_client_has_disconnected(self, entry: OpenRequest) -> bool:
        if self.answers.client_has_disconnected(entry):
            self.on_client_disconnected(entry.request_id)
            return True
        return False

    # ---- AttemptListener: reported by the node transport ----

    def may_start(self, attempt: Attempt) -> bool:
        """Whether the first byte of an attempt may be sent; called by the transport right before it."""
        denial = deny_first_byte(attempt, self.clock.now_us())
        if denial is None:
            return True
        self._note_denial(attempt.client_request_id, denial)
        return False

    def attempt_started(self, attempt: Attempt) -> None:
        """Record that the first byte of an attempt is being sent."""
        self.activity.note(attempt.client_request_id, Step.STARTED)
        self.rules.attempt_started(attempt, self.clock.now_us())

    def answer_begun(self, attempt: Attempt) -> None:
        """Record the first byte of an attempt's answer."""
        if not attempt.answer_begun:
            attempt.answer_begun = True
            self.activity.note(attempt.client_request_id, Step.ANSWER_BEGUN, str(attempt.number))

    def answer_started(self, attempt: Attempt, source: BodySource) -> BodySink | None:
        """Start streaming an answer; it is the request's final answer even if it breaks off later.

        From now on neither the deadline nor the policy ends the attempt, and its id and its ordered key stay
        in use until its end.  Returns None if no client receives the answer.

        For the node's window, latency and slow start the attempt ends here: the node has taken the request,
        and the pace of the rest is that of the client.
        """
        if attempt.ended or attempt.answer_started:
            return None
        attempt.answer_started = True
        entry = self.table.open.get(attempt.request_id)
        sink: BodySink | None = None
        self.activity.note(attempt.client_request_id, Step.STREAMED)
        if entry is not None:
            attempt.deadline_us = entry.deadline_us
            sink = self.answers.start_stream(entry, source)
        self._report(attempt, AttemptResult.SERVED, True, answer_continues=attempt.ordered_key != 0)
        return sink

    def adopt_stream(self, node_id: NodeId, client_request_id: str, ordered_key: int) -> Attempt:
        """Continue an answer that another process began; its id and key are in use until its end."""
        attempt = Attempt(
            self.new_request_id(),
            0,
            node_id,
            -1,
            client_request_id,
            None,
            self.clock.now_us(),
            0,
            answer_started=True,
            ordered_key=ordered_key,
        )
        self.ids.use(client_request_id)
        self.ids.send(client_request_id)
        if ordered_key:
            self.policy.add(AnswerAdopted(attempt.request_id, ordered_key))
        return attempt

    def attempt_ended(self, attempt: Attempt, result: AttemptResult, answer: bytes = b"") -> None:
        """End an attempt with its result and, for SERVED, its answer; later reports of it are ignored."""
        if attempt.ended:
            return
        attempt.ended = True
        attempt.client_has_disconnected = None  # it references the request, which references the attempt
        self.rules.attempt_ended(attempt)
        self.activity.note(attempt.client_request_id, Step.ENDED, result.name.lower())
        self.table.remove_attempt(attempt)
        if attempt.answer_started:
            self._stream_ended(attempt, result)
            return
        entry = self.table.open.get(attempt.request_id)
        request_finished = entry is None
        if entry is None:
            self.ids.release(attempt.client_request_id)
        else:
            entry.may_have_run = entry.may_have_run or result not in NEVER_RUN
            entry.in_flight = None
            entry.latest_result = result
            if result is AttemptResult.SERVED:
                request_finished = True
                self.answers.serve(entry, answer)
        attempt.payload = None  # the deadline queue may reference the attempt until its deadline
        self._report(attempt, result, request_finished)

    def health_check_ended(self, node_id: NodeId, result: AttemptResult, elapsed_us: int) -> None:
        """Report the result of a health check, after ``elapsed_us``, to the policy."""
        self.policy.add(HealthCheckEnded(node_id, result, elapsed_us))

    def _stream_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        if result is AttemptResult.CANCELLED:
            self.ids.abandon(attempt.client_request_id)  # its client left before the end of the answer
        self.ids.release(attempt.client_request_id)
        ending = ANSWER_ENDINGS.get(result, AnswerEnding.BROKEN)
        self.activity.counts[STREAM_COUNTERS[ending]] += 1
        if attempt.ordered_key:
            self.policy.add(AnswerEnded(attempt.request_id, attempt.number, ending))

    def _report(
        self, attempt: Attempt, result: AttemptResult, request_finished: bool, answer_continues: bool = False
    ) -> None:
        self.activity.counts[f"attempt_{result.name.lower()}"] += 1
        elapsed_us = max(0, self.clock.now_us() - attempt.sent_us)
        self.policy.add(
            AttemptEnded(
                attempt.request_id,
                attempt.number,
                attempt.node_id,
                result,
                elapsed_us,
                request_finished,
                answer_continues=answer_continues,
            )
        )

    def _note_denial(self, client_request_id: str, denial: Denial) -> None:
        self.activity.counts[f"denied_{denial.value}"] += 1
        self.activity.note(client_request_id, Step.DENIED, denial.value)
