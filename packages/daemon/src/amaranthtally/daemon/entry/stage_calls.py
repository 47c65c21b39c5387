"""Stage calls as an entry sends them, and what their replies mean to the policy."""

from dataclasses import dataclass

import msgspec

from amaranthtally.daemon.entry.live_request import LiveRequest, StageRecord
from amaranthtally.policy import (
    AttemptId,
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    Send,
    Stage,
)
from amaranthtally.wire import AtMostOnceTerms, CallId, StageCall, StageReply, Status

__all__ = ["EndedStage", "build_call", "read_reply", "stage_record"]

_FATES = {
    Status.FINISHED: AttemptOutcome.FINISHED,
    Status.NOT_RUN: AttemptOutcome.NOT_RUN,
    Status.FAILED: AttemptOutcome.FAILED,
    Status.UNKNOWN: AttemptOutcome.UNKNOWN,
    Status.CONFLICT: AttemptOutcome.UNKNOWN,
}


class _StreamEnd(msgspec.Struct):
    chunks: int


@dataclass(frozen=True, slots=True)
class EndedStage:
    """A reply as the policy takes it, and the stage's whole output as JSON."""

    result: AttemptResult
    output: bytes

    @property
    def finished(self) -> bool:
        """Whether the output is whole."""
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
    Return the call of one attempt; ``remaining_s`` is the attempt's time left.

    ``expires_s`` is when a call that may not be repeated starts no more, on the
    clock of the incarnation that it is bound to.
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


def read_reply(request: LiveRequest, stage: Stage, reply: StageReply) -> EndedStage:
    """Return what a reply says of the attempt; a streamed output is put together."""
    fate = _FATES[reply.status]
    output = reply.output
    if fate is AttemptOutcome.FINISHED and stage.streams:
        # An engine that dies can end its stream early without an error. The
        # sidecar counts what the engine declared whole; a different count
        # here means chunks are missing and the stage is run on, not answered.
        whole = msgspec.json.decode(output, type=_StreamEnd).chunks
        fate = (
            AttemptOutcome.FINISHED
            if whole == len(request.chunks)
            else AttemptOutcome.FAILED
        )
        output = request.text_output()
    result = AttemptResult(
        fate,
        reply.run_s,
        reply.queued_s,
        len(output),
        reply.retry_after_s,
        permanent=reply.permanent,
    )
    return EndedStage(result, output)


def stage_record(
    stage: Stage, endpoint: Endpoint, attempt: AttemptId, reply: StageReply
) -> StageRecord:
    """Return the stage's line in the caller's answer."""
    return StageRecord(
        name=stage.name,
        endpoint=endpoint.id,
        host=endpoint.host,
        region=endpoint.region,
        ms=round(reply.run_s * 1000, 3),
        queued_ms=round(reply.queued_s * 1000, 3),
        attempts=attempt.number,
    )
