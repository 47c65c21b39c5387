"""Runs calls that may not be repeated, as the ledger decides."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.sidecar.waiters import Waiters
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

__all__ = ["CallRunner", "AtMostOnceCalls"]

KEPT_OUTPUT_BYTES = 8 * 1024 * 1024
NO_ID = CallId("", 0, 0)

log = get_logger()


class CallRunner(Protocol):
    """The queue before the endpoint."""

    @property
    def clock_s(self) -> float:
        """Seconds since this incarnation began."""

    def refusal(self, call: StageCall) -> str:
        """Return why a call is not taken now; empty where it is."""

    async def run_in_turn(self, call: StageCall, on_chunk: ChunkHandler) -> StageReply:
        """Queue a call, run it, and return its reply."""

    def cancel_waiting(self, call_id: CallId) -> bool:
        """Take a call out of the queue; false where it does not wait there."""

    def load(self) -> Load:
        """Return the present load."""

    def not_run(self, call_id: CallId, reason: str) -> StageReply:
        """Return the reply of a call that has not started."""

    def reply(self, call_id: CallId, status: Status, **fields: Any) -> StageReply:
        """Return a reply with the present load."""


@dataclass(slots=True)
class _Record:
    call_id: CallId
    waiters: Waiters
    reply: "asyncio.Future[StageReply]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class AtMostOnceCalls:
    """One incarnation's calls that may not be repeated, with their results."""

    def __init__(
        self, ledger: CallLedger, handed: ReceivedHandovers, runner: CallRunner
    ) -> None:
        self._ledger = ledger
        self._handed = handed
        self._runner = runner
        self._records: dict[str, _Record] = {}
        self._running: dict[str, Waiters] = {}
        self._outputs: OrderedDict[str, int] = OrderedDict()
        self._output_bytes = 0
        self._effects: set[asyncio.Task[None]] = set()

    async def run(self, call: StageCall, on_chunk: ChunkHandler) -> StageReply:
        """Run a call, or give the reply of the one that ran under its key."""
        now, key = self._runner.clock_s, call.call_key
        verdict = self._ledger.check(now, key, call.terms)
        if verdict is CallVerdict.KNOWN:
            return await self._ended(call.id, key)
        if verdict is CallVerdict.OTHER_INCARNATION:
            return self._handed_reply(call.id, key, call.terms)
        refusal = self._runner.refusal(call)
        if verdict is CallVerdict.FRESH and refusal:
            return self._runner.not_run(call.id, refusal)
        verdict = self._ledger.open(now, key, call.terms)
        if verdict is not CallVerdict.FRESH:
            return self._refuse(call.id, key, verdict)
        self._forget_dropped()
        self._records[key] = _Record(call.id, Waiters(lambda: self._runner.clock_s))
        # The task is the sidecar's own: an entry that dies or hangs up must not
        # cancel a call whose effect may already have happened.
        task = asyncio.create_task(self._effect(call, on_chunk))
        self._effects.add(task)
        task.add_done_callback(self._effects.discard)
        return await self._ended(call.id, key)

    def started(self, key: str) -> None:
        """Note that a call goes to the endpoint."""
        self._ledger.started(key)
        self._running[key] = self._records[key].waiters

    def abandoned(self, wait_s: float) -> int:
        """
        Return how many running calls nobody has waited for in ``wait_s`` seconds.

        A service may hang for good in a call, which nothing else would end: a stop
        that waited for it would be killed, and every record lost with it.
        """
        return sum(waiters.abandoned_s > wait_s for waiters in self._running.values())

    async def query_outcome(
        self, key: str, terms: AtMostOnceTerms, inquiry: OutcomeQuery
    ) -> StageReply:
        """Say what became of a call; one that never came is sealed, but by a look."""
        verdict = self._ledger.check(self._runner.clock_s, key, terms)
        if verdict is CallVerdict.KNOWN:
            return await self._inquire_known(key, terms, inquiry)
        if verdict is CallVerdict.OTHER_INCARNATION:
            return self._handed_reply(NO_ID, key, terms)
        if verdict is CallVerdict.FRESH and inquiry is not OutcomeQuery.POLL:
            return self._seal(key, terms)
        return self._refuse(NO_ID, key, verdict)

    # Planned stops

    def take(self, handover: Handover) -> bool:
        """Keep a stopped peer's records; false where there is no room for them."""
        return self._handed.take(self._runner.clock_s, handover)

    def handovers(self, endpoint: str, final: bool) -> list[Handover]:
        """
        Return all records, once no call is taken any more.

        A call that has not ended is on record as unknown: its effect may come yet.
        """
        now = self._runner.clock_s
        calls = tuple(
            self._handed_call(key)
            for key in self._records
            if self._ledger.state(key) is not None
        )
        own = Handover(
            endpoint, self._ledger.incarnation, now, self._ledger.ttl_s, calls, final
        )
        return [own, *self._handed.export(now)]

    def _handed_call(self, key: str) -> HandedOverCall:
        record, fingerprint = self._records[key], self._ledger.fingerprint(key)
        if not record.reply.done():
            reason = "its sidecar was stopped before it had ended"
            return HandedOverCall(key, fingerprint, Status.UNKNOWN.value, b"", reason)
        reply = record.reply.result()
        return HandedOverCall(
            key, fingerprint, reply.status.value, reply.output, reply.reason
        )

    def _handed_reply(
        self, call_id: CallId, key: str, terms: AtMostOnceTerms
    ) -> StageReply:
        verdict = self._handed.check(self._runner.clock_s, key, terms)
        if verdict is not CallVerdict.KNOWN:
            return self._refuse(call_id, key, verdict)
        call = self._handed.call(terms.incarnation, key)
        return self._runner.reply(
            call_id, Status(call.status), output=call.output, reason=call.reason
        )

    # Steps

    async def _effect(self, call: StageCall, on_chunk: ChunkHandler) -> None:
        key = call.call_key
        record = self._records[key]
        try:
            reply = await self._runner.run_in_turn(call, on_chunk)
        except Exception as error:
            # Without a reply every repeat would wait for ever.
            log.exception("call_broke", request_id=call.id.request_id)
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

    async def _ended(self, call_id: CallId, key: str) -> StageReply:
        record = self._records[key]
        with record.waiters.join():
            reply = await asyncio.shield(record.reply)
        return replace(reply, id=call_id, load=self._runner.load())

    async def _inquire_known(
        self, key: str, terms: AtMostOnceTerms, inquiry: OutcomeQuery
    ) -> StageReply:
        state = self._ledger.state(key)
        if state is CallState.ENDED or inquiry is OutcomeQuery.WAIT:
            return await self._ended(NO_ID, key)
        withdraw = inquiry is OutcomeQuery.WITHDRAW and state is CallState.QUEUED
        record = self._records[key]
        if withdraw and self._runner.cancel_waiting(record.call_id):
            await asyncio.shield(record.reply)
            return self._seal(key, terms)
        return self._runner.reply(NO_ID, Status.UNKNOWN, reason="has not ended")

    def _seal(self, key: str, terms: AtMostOnceTerms) -> StageReply:
        verdict = self._ledger.withdraw(self._runner.clock_s, key, terms)
        if verdict is CallVerdict.FULL:
            reason = "too many withdrawals on record"
            return self._runner.reply(NO_ID, Status.UNKNOWN, reason=reason)
        return self._refuse(NO_ID, key, verdict)

    def _refuse(self, call_id: CallId, key: str, verdict: CallVerdict) -> StageReply:
        status, reason = _REFUSALS[verdict]
        if status is not Status.NOT_RUN:
            return self._runner.reply(call_id, status, reason=reason)
        refused = self._runner.not_run(call_id, reason)
        return replace(refused, permit=self._ledger.permit(key))

    # Memory

    def _forget_dropped(self) -> None:
        while self._outputs:
            key = next(iter(self._outputs))
            if self._ledger.state(key) is not None:
                return
            self._output_bytes -= self._outputs.pop(key)
            del self._records[key]

    def _keep_output(self, key: str, size: int) -> None:
        self._output_bytes += size - self._outputs.pop(key, 0)
        self._outputs[key] = size
        for oldest, kept in self._outputs.items():
            if self._output_bytes <= KEPT_OUTPUT_BYTES:
                return
            # The record stays, so that a repeat does not run; it gets no output.
            self._output_bytes -= kept
            self._outputs[oldest] = 0
            self._replace_reply(oldest)

    def _replace_reply(self, key: str) -> None:
        known = self._records[key]
        record = _Record(known.call_id, known.waiters)
        reason = "the result is no longer kept"
        record.reply.set_result(
            self._runner.reply(record.call_id, Status.UNKNOWN, reason=reason)
        )
        self._records[key] = record


_REFUSALS = {
    CallVerdict.FRESH: (Status.NOT_RUN, "never came"),
    CallVerdict.KNOWN: (Status.UNKNOWN, "has not ended"),
    CallVerdict.CONFLICT: (Status.CONFLICT, "another input under the same key"),
    CallVerdict.OTHER_INCARNATION: (Status.UNKNOWN, "bound to another incarnation"),
    CallVerdict.EXPIRED: (Status.UNKNOWN, "bound too long ago"),
    CallVerdict.WITHDRAWN: (Status.NOT_RUN, "withdrawn before start"),
    CallVerdict.FULL: (Status.NOT_RUN, "too many recent calls on record"),
}
