"""Conversion between the sidecar protocol's messages and Cap'n Proto structs."""

from typing import Any

from amaranthtally.wire.fields import (
    fields_of,
    read_fields,
    schema,
    to_micros,
    to_seconds,
)
from amaranthtally.wire.load_codec import (
    read_cache_update,
    read_load,
    write_cache_update,
    write_load,
)
from amaranthtally.wire.messages import (
    AtMostOnceTerms,
    CallId,
    StageCall,
    StageReply,
    Status,
)

__all__ = [
    "read_call",
    "read_call_id",
    "read_load",
    "read_reply",
    "read_terms",
    "schema",
    "write_call",
    "write_call_id",
    "write_load",
    "write_reply",
    "write_terms",
]

# Call ids


def write_call_id(target: Any, call_id: CallId) -> None:
    """Fill a ``CallId`` builder."""
    target.requestId = call_id.request_id
    target.stage = call_id.stage
    target.attempt = call_id.attempt


_CALL_ID = fields_of(schema.CallId, "requestId", "stage", "attempt")


def read_call_id(source: Any) -> CallId:
    """Decode a ``CallId`` reader."""
    return CallId(*read_fields(source, _CALL_ID))


# Terms of at-most-once calls


def write_terms(target: Any, terms: AtMostOnceTerms) -> None:
    """Fill an ``OnceTerms`` builder."""
    target.incarnation = terms.incarnation
    target.issuedMicros = to_micros(terms.issued_s)
    target.permit = terms.permit
    target.fingerprint = terms.fingerprint
    target.expiresMicros = to_micros(terms.expires_s)


_TERMS = fields_of(
    schema.OnceTerms,
    "incarnation",
    "issuedMicros",
    "permit",
    "fingerprint",
    "expiresMicros",
)


def read_terms(source: Any) -> AtMostOnceTerms:
    """Decode an ``OnceTerms`` reader."""
    incarnation, issued_micros, permit, fingerprint, expires_micros = read_fields(
        source, _TERMS
    )
    return AtMostOnceTerms(
        incarnation=incarnation,
        issued_s=to_seconds(issued_micros),
        permit=permit,
        fingerprint=fingerprint,
        expires_s=to_seconds(expires_micros),
    )


# Calls and replies


def write_call(target: Any, call: StageCall) -> None:
    """Fill a ``StageCall`` builder."""
    write_call_id(target.init("id"), call.id)
    target.account = call.account
    target.stageName = call.stage_name
    target.input = call.input
    target.remainingMicros = to_micros(call.remaining_s)
    target.priority = call.priority
    target.repeatable = call.repeatable
    if not call.repeatable:
        write_terms(target.init("terms"), call.terms)
        target.callKey = call.call_key
    target.streaming = call.streaming
    target.resumeOffset = call.resume_offset
    target.model = call.model
    target.revision = call.revision
    target.cacheSerial = call.cache_serial


_CALL = fields_of(
    schema.StageCall,
    "id",
    "account",
    "stageName",
    "input",
    "remainingMicros",
    "priority",
    "repeatable",
    "streaming",
    "resumeOffset",
    "model",
    "revision",
    "cacheSerial",
)
_AT_MOST_ONCE = fields_of(schema.StageCall, "terms", "callKey")


def read_call(source: Any) -> StageCall:
    """Decode a ``StageCall`` reader."""
    (
        call_id,
        account,
        stage_name,
        input_data,
        remaining_micros,
        priority,
        repeatable,
        streaming,
        resume_offset,
        model,
        revision,
        cache_serial,
    ) = read_fields(source, _CALL)
    terms, call_key = AtMostOnceTerms(), ""
    if not repeatable:
        terms_reader, call_key = read_fields(source, _AT_MOST_ONCE)
        terms = read_terms(terms_reader)
    return StageCall(
        id=read_call_id(call_id),
        account=account,
        stage_name=stage_name,
        input=bytes(input_data),
        remaining_s=to_seconds(remaining_micros),
        priority=priority,
        repeatable=repeatable,
        terms=terms,
        call_key=call_key,
        streaming=streaming,
        resume_offset=resume_offset,
        model=model,
        revision=revision,
        cache_serial=cache_serial,
    )


def write_reply(target: Any, reply: StageReply) -> None:
    """Fill a ``StageReply`` builder."""
    write_call_id(target.init("id"), reply.id)
    target.status = reply.status.value
    target.output = reply.output
    target.reason = reply.reason
    target.retryAfterMicros = to_micros(reply.retry_after_s)
    target.permanent = reply.permanent
    write_load(target.init("load"), reply.load)
    target.queuedMicros = to_micros(reply.queued_s)
    target.runMicros = to_micros(reply.run_s)
    target.permit = reply.permit
    if reply.cache.serial:
        write_cache_update(target.cache, reply.cache)


_REPLY = fields_of(
    schema.StageReply,
    "id",
    "status",
    "output",
    "reason",
    "retryAfterMicros",
    "load",
    "queuedMicros",
    "runMicros",
    "permit",
    "permanent",
    "cache",
)
_STATUSES = {status.value: status for status in Status}


def read_reply(source: Any) -> StageReply:
    """Decode a ``StageReply`` reader."""
    (
        call_id,
        status,
        output,
        reason,
        retry_after_micros,
        load,
        queued_micros,
        run_micros,
        permit,
        permanent,
        cache,
    ) = read_fields(source, _REPLY)
    return StageReply(
        id=read_call_id(call_id),
        status=_STATUSES[str(status)],
        output=bytes(output),
        reason=reason,
        retry_after_s=to_seconds(retry_after_micros),
        permanent=permanent,
        load=read_load(load),
        queued_s=to_seconds(queued_micros),
        run_s=to_seconds(run_micros),
        permit=permit,
        cache=read_cache_update(cache),
    )
