"""Runs at-most-once calls and keeps their results, according to the call ledger."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.sidecar.waiters import Waiters
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.policy.at_most_once import CallLedger, CallState, CallVerdict
from amaranthtally.policy.handover import HandedOverCall, Handover, ReceivedHandovers
from amaranthtally.wire import (
    AtMostOnceTerms,
    CallId,
    ChunkHandler,
    Load,
    OutcomeQuery,
    StageCall,
    StageReply,
    Status,
)

__all__ = ["AtMostOnceCalls", "CallRunner"]

MAX_STORED_OUTPUT_BYTES = 8 * 1024 * 1024
# Turns of the event loop in which a call's task learns what its queue has decided.
MAX_DECISION_TURNS = 4
NO_ID = CallId("", 0, 0)

log = get_logger()


class CallRunner(Protocol):
    """Queues calls, runs them at the endpoint and builds replies."""

    @property
    def clock_s(self) -> float:
        """Seconds since the start of this incarnation."""

    def refusal(self, call: StageCall) -> str:
        """Return why a call is rejected, or an empty string if it is accepted."""

    async def run_queued(self, call: StageCall, on_chunk: ChunkHandler) -> StageReply:
        """Queue a call, run it when the queue starts it, and return its reply."""

    def cancel_queued(self, call_id: CallId) -> bool:
        """Remove a call from the queue; return whether it was queued."""

    def load(self) -> Load:
        """Return the current load."""

    def not_run(self, call_id: CallId, reason: str) -> StageReply:
        """Return a reply for a call that was not started."""

    def reply(self, call_id: CallId, status: Status, **fields: Any) -> StageReply:
        """Return a reply that carries the current load."""


@dataclass(slots=True)
class _Record:
    call_id: CallId
    waiters: Waiters
    reply: "asyncio.Future[StageReply]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class AtMostOnceCalls:
    """The at-most-once calls of one incarnation and their results."""

    def __init__(
        self,
        ledger: CallLedger,
        received: ReceivedHandovers,
        runner: CallRunner,
        supervisor: Supervisor,
    ) -> None:
        self._ledger = ledger
        self._received = received
        self._runner = runner
        self._supervisor = supervisor
        self._records: dict[str, _Record] = {}
        self._running: dict[str, Waiters] = {}
        self._outputs: OrderedDict[str, int] = OrderedDict()
        self._output_bytes = 0

    async def run(self, call: StageCall, on_chunk: ChunkHandler) -> StageReply:
        """Run a call, or return the reply of the call that has run under its key."""
        now, key = self._runner.clock_s, call.call_key
        verdict = self._ledger.check(now, key, call.terms)
        if verdict is CallVerdict.KNOWN:
            return await self._await_reply(call.id, key)
        if verdict is CallVerdict.OTHER_INCARNATION:
            return self._reply_from_handover(call.id, key, call.terms)
        refusal = self._runner.refusal(call)
        if verdict is CallVerdict.FRESH and refusal:
            return self._runner.not_run(call.id, refusal)
        verdict = self._ledger.open(now, key, call.terms)
        if verdict is not CallVerdict.FRESH:
            return self._reply_to_verdict(call.id, key, verdict)
        self._remove_expired()
        self._records[key] = _Record(call.id, Waiters(lambda: self._runner.clock_s))
        # The call runs in a task of its own: an entry that dies or disconnects must not
        # cancel a call whose effect may already have happened.
        self._supervisor.spawn("AtMostOnceCalls.run", self._run_call(call, on_chunk))
        return await self._await_reply(call.id, key)

    def started(self, key: str) -> None:
        """Record that a call is about to be sent to the endpoint."""
        self._ledger.started(key)
        self._running[key] = self._records[key].waiters

    def count_abandoned(self, wait_s: float) -> int:
        """
        Count the running calls that no entry has awaited for ``wait_s`` seconds.

        A service may hang in a call for ever. A shutdown that waited for such a call
        would end with the process being killed and all records lost.
        """
        return sum(waiters.abandoned_s > wait_s for waiters in self._running.values())

    async def query_outcome(
        self, key: str, terms: AtMostOnceTerms, query: OutcomeQuery
    ) -> StageReply:
        """
        Return the outcome of a call.

        Unless ``query`` is ``POLL``, a call that was never received is withdrawn, so
        that copies of it that arrive later are rejected.
        """
        verdict = self._ledger.check(self._runner.clock_s, key, terms)
        if verdict is CallVerdict.KNOWN:
            return await self._query_known_call(key, terms, query)
        if verdict is CallVerdict.OTHER_INCARNATION:
            return self._reply_from_handover(NO_ID, key, terms)
        if verdict is CallVerdict.FRESH and query is not OutcomeQuery.POLL:
            return self._withdraw(key, terms)
        return self._reply_to_verdict(NO_ID, key, verdict)

    # Handovers at planned stops

    def receive_handover(self, handover: Handover) -> bool:
        """Store a stopping peer's records; return false if there is no room."""
        return self._received.accept(self._runner.clock_s, handover)

    def handovers(self, endpoint: str, final: bool) -> list[Handover]:
        """
        Return all records; must be called once no new calls are accepted.

        A call that has not ended gets the status unknown: its effect may still happen.
        """
        now = self._runner.clock_s
        calls = tuple(
            self._handed_over_call(key)
            for key in self._records
            if self._ledger.state(key) is not None
        )
        own_records = Handover(
            endpoint, self._ledger.incarnation, now, self._ledger.ttl_s, calls, final
        )
        return [own_records, *self._received.export(now)]

    def _handed_over_call(self, key: str) -> HandedOverCall:
        record, fingerprint = self._records[key], self._ledger.fingerprint(key)
        if not record.reply.done():
            reason = "its sidecar was stopped before it had ended"
            return HandedOverCall(key, fingerprint, Status.UNKNOWN.value, b"", reason)
        reply = record.reply.result()
        return HandedOverCall(
            key, fingerprint, reply.status.value, reply.output, reply.reason
        )

    def _reply_from_handover(
        self, call_id: CallId, key: str, terms: AtMostOnceTerms
    ) -> StageReply:
        verdict = self._received.check(self._runner.clock_s, key, terms)
        if verdict is not CallVerdict.KNOWN:
            return self._reply_to_verdict(call_id, key, verdict)
        call = self._received.call(terms.incarnation, key)
        return self._runner.reply(
            call_id, Status(call.status), output=call.output, reason=call.reason
        )

    # Calls

    async def _run_call(self, call: StageCall, on_chunk: ChunkHandler) -> None:
        key = call.call_key
        record = self._records[key]
        try:
            reply = await self._runner.run_queued(call, on_chunk)
        except Exception as error:
            # Without a reply every repeat of the call would wait for ever.
            log.exception("call_task_failed", request_id=call.id.request_id)
            reply = self._runner.reply(
                call.id, Status.UNKNOWN, reason=type(error).__name__
            )
        self._running.pop(key, None)
        if reply.status is Status.NOT_RUN:
            self._ledger.discard(key)
            del self._records[key]
        else:
            self._ledger.ended(key)
            self._keep_output(key, len(reply.output))
        record.reply.set_result(reply)

    async def _await_reply(self, call_id: CallId, key: str) -> StageReply:
        record = self._records[key]
        with record.waiters.join():
            reply = await asyncio.shield(record.reply)
        return replace(reply, id=call_id, load=self._runner.load())

    async def _query_known_call(
        self, key: str, terms: AtMostOnceTerms, query: OutcomeQuery
    ) -> StageReply:
        state = self._ledger.state(key)
        if state is CallState.ENDED or query is OutcomeQuery.WAIT:
            return await self._await_reply(NO_ID, key)
        if query is OutcomeQuery.WITHDRAW and await self._leave_queue(key):
            return self._withdraw(key, terms)
        return self._runner.reply(NO_ID, Status.UNKNOWN, reason="has not ended")

    async def _leave_queue(self, key: str) -> bool:
        """
        Take a call out of the queue; return whether it was never started.

        A call enters and leaves the queue in a task of its own, which runs a turn of
        the event loop after the call was received or the queue has decided. A
        withdrawal that came in between found no call to take out, and the caller of a
        call that the queue had dropped at its deadline was told that it may have run.
        """
        record = self._records[key]
        for _ in range(MAX_DECISION_TURNS):
            if self._ledger.state(key) is not CallState.QUEUED:
                break
            if self._runner.cancel_queued(record.call_id):
                await asyncio.shield(record.reply)
                break
            await asyncio.sleep(0)
        return self._ledger.state(key) is None

    def _withdraw(self, key: str, terms: AtMostOnceTerms) -> StageReply:
        verdict = self._ledger.withdraw(self._runner.clock_s, key, terms)
        if verdict is CallVerdict.FULL:
            reason = "too many withdrawals on record"
            return self._runner.reply(NO_ID, Status.UNKNOWN, reason=reason)
        return self._reply_to_verdict(NO_ID, key, verdict)

    def _reply_to_verdict(
        self, call_id: CallId, key: str, verdict: CallVerdict
    ) -> StageReply:
        status, reason = _VERDICT_REPLIES[verdict]
        if status is not Status.NOT_RUN:
            return self._runner.reply(call_id, status, reason=reason)
        reply = self._runner.not_run(call_id, reason)
        return replace(reply, permit=self._ledger.permit(key))

    # Stored results

    def _remove_expired(self) -> None:
        while self._outputs:
            key = next(iter(self._outputs))
            if self._ledger.state(key) is not None:
                return
            self._output_bytes -= self._outputs.pop(key)
            del self._records[key]

    def _keep_output(self, key: str, size: int) -> None:
        self._output_bytes += size - self._outputs.pop(key, 0)
        self._outputs[key] = size
        for oldest, output_size in self._outputs.items():
            if self._output_bytes <= MAX_STORED_OUTPUT_BYTES:
                return
            # Keep the record without its output: a repeat of the call must not run.
            self._output_bytes -= output_size
            self._outputs[oldest] = 0
            self._drop_output(oldest)

    def _drop_output(self, key: str) -> None:
        previous = self._records[key]
        record = _Record(previous.call_id, previous.waiters)
        reason = "the result is no longer kept"
        record.reply.set_result(
            self._runner.reply(record.call_id, Status.UNKNOWN, reason=reason)
        )
        self._records[key] = record


_VERDICT_REPLIES = {
    CallVerdict.FRESH: (Status.NOT_RUN, "never came"),
    CallVerdict.KNOWN: (Status.UNKNOWN, "has not ended"),
    CallVerdict.CONFLICT: (Status.CONFLICT, "another input under the same key"),
    CallVerdict.OTHER_INCARNATION: (Status.UNKNOWN, "bound to another incarnation"),
    CallVerdict.EXPIRED: (Status.UNKNOWN, "bound too long ago"),
    CallVerdict.WITHDRAWN: (Status.NOT_RUN, "withdrawn before start"),
    CallVerdict.FULL: (Status.NOT_RUN, "too many recent calls on record"),
}
