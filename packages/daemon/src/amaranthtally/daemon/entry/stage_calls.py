"""Builds stage calls and converts their replies to the policy's results."""

from dataclasses import dataclass

import msgspec
from result import Ok

from amaranthtally.daemon.entry.live_request import LiveRequest, StageRecord
from amaranthtally.decoding import decode_json
from amaranthtally.policy import (
    AttemptId,
    AttemptOutcome,
    AttemptResult,
    CallEnd,
    Endpoint,
    Send,
    Stage,
    proof_of_not_run,
)
from amaranthtally.wire import AtMostOnceTerms, CallId, StageCall, StageReply, Status

__all__ = ["StageResult", "build_call", "read_reply", "stage_record"]

_OUTCOME_BY_STATUS = {
    Status.FINISHED: AttemptOutcome.FINISHED,
    Status.FAILED: AttemptOutcome.FAILED,
    Status.UNKNOWN: AttemptOutcome.UNKNOWN,
    Status.CONFLICT: AttemptOutcome.UNKNOWN,
}


class _StreamEnd(msgspec.Struct):
    chunks: int


@dataclass(frozen=True, slots=True)
class StageResult:
    """The policy's result of a reply, and the complete output of the stage as JSON."""

    result: AttemptResult
    output: bytes

    @property
    def finished(self) -> bool:
        """Whether the stage finished and its output is complete."""
        return self.result.outcome is AttemptOutcome.FINISHED


def build_call(
    request: LiveRequest,
    send: Send,
    revision: int,
    remaining_s: float,
    expires_s: float,
    cache_serial: int = 0,
) -> StageCall:
    """
    Return the call of one attempt.

    ``remaining_s`` is the time left for the attempt. An at-most-once call is not
    started after ``expires_s``, a time on the clock of the sidecar incarnation that it
    is bound to. Both are in seconds.
    """
    attempt = send.attempt
    stage = request.arrival.pipeline.stages[attempt.stage]
    call_key, terms = "", AtMostOnceTerms()
    if not stage.repeatable:
        assert request.bound is not None
        binding = request.bound.binding(attempt.stage, stage)
        call_key = request.bound.call_key(binding)
        terms = request.bound.terms(binding, expires_s)
    return StageCall(
        id=CallId(*attempt),
        account=request.arrival.account,
        stage_name=stage.name,
        input=request.stage_input(),
        remaining_s=remaining_s,
        priority=request.arrival.priority,
        repeatable=stage.repeatable,
        terms=terms,
        call_key=call_key,
        streaming=stage.streams,
        resume_offset=send.resume_offset,
        model=stage.model,
        revision=revision,
        cache_serial=cache_serial,
    )


def read_reply(request: LiveRequest, stage: Stage, reply: StageReply) -> StageResult:
    """Return an attempt's result; a streamed output is joined from its chunks."""
    # The client has compared the reply's call with the one that was sent.
    stated = reply.status is Status.NOT_RUN
    proof = proof_of_not_run(CallEnd(is_own=True, states_not_run=stated))
    outcome = AttemptOutcome.NOT_RUN if proof else _OUTCOME_BY_STATUS[reply.status]
    output = reply.output
    if outcome is AttemptOutcome.FINISHED and stage.streams:
        # An engine that dies can end its stream early without an error. The sidecar
        # reports the number of chunks of a stream that its engine declared complete. If
        # the entry has a different number, chunks are missing, and the attempt counts
        # as failed, so that another one continues the stream.
        end = decode_json(output, _StreamEnd)
        expected_chunks = end.ok_value.chunks if isinstance(end, Ok) else None
        outcome = (
            AttemptOutcome.FINISHED
            if expected_chunks == len(request.chunks)
            else AttemptOutcome.FAILED
        )
        output = request.text_output()
    result = AttemptResult(
        outcome,
        reply.run_s,
        reply.queued_s,
        len(output),
        reply.retry_after_s,
        permanent=reply.permanent,
        proof=proof,
    )
    return StageResult(result, output)


def stage_record(
    stage: Stage, endpoint: Endpoint, attempt: AttemptId, reply: StageReply
) -> StageRecord:
    """Return the record of a stage for the caller's response."""
    return StageRecord(
        name=stage.name,
        endpoint=endpoint.id,
        host=endpoint.host,
        region=endpoint.region,
        ms=round(reply.run_s * 1000, 3),
        queued_ms=round(reply.queued_s * 1000, 3),
        attempts=attempt.number,
    )
