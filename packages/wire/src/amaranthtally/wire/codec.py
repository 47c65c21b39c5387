"""
Conversion between typed messages and Cap'n Proto structs.

pycapnp reads the committed schema at import, so no generated code is needed.
Its objects have no static types: they are ``Any`` here and nowhere else.

Structs are read by field descriptors: reading by name takes four times as long, for
an attribute is looked up and missed before the schema is asked.
"""

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import capnp

from amaranthtally.wire.messages import (
    NO_NEWS,
    CacheNews,
    CallId,
    Load,
    ModelState,
    OnceTerms,
    StageCall,
    StageReply,
    Status,
    StreamPart,
)

__all__ = [
    "read_call",
    "read_call_id",
    "read_load",
    "read_part",
    "read_reply",
    "read_terms",
    "schema",
    "write_call",
    "write_call_id",
    "write_load",
    "write_parts",
    "write_reply",
    "write_terms",
]

capnp.remove_import_hook()
schema: Any = capnp.load(str(Path(__file__).with_name("sidecar.capnp")))

MICROSECONDS = 1_000_000


def _fields(struct: Any, *names: str) -> tuple[Any, ...]:
    known = struct.schema.fields
    return tuple(known[name] for name in names)


def _read(source: Any, fields: tuple[Any, ...]) -> Iterator[Any]:
    # The underscore keeps the method's name apart from those of the fields.
    return map(source._get_by_field, fields)  # noqa: SLF001


def to_micros(seconds: float) -> int:
    """Return whole microseconds, never below zero."""
    return max(0, int(seconds * MICROSECONDS))


def to_seconds(micros: int) -> float:
    """Return seconds."""
    return micros / MICROSECONDS


# Call ids


def write_call_id(target: Any, call_id: CallId) -> None:
    """Fill a ``CallId`` builder."""
    target.requestId = call_id.request_id
    target.stage = call_id.stage
    target.attempt = call_id.attempt


_CALL_ID = _fields(schema.CallId, "requestId", "stage", "attempt")


def read_call_id(source: Any) -> CallId:
    """Return the call id held by a reader."""
    return CallId(*_read(source, _CALL_ID))


# Load


def write_load(target: Any, load: Load) -> None:
    """Fill a ``Load`` builder."""
    target.incarnation = load.incarnation
    target.running = load.running
    target.queued = load.queued
    target.limit = load.limit
    target.leaving = load.leaving
    target.serviceMicros = to_micros(load.service_s)
    target.backlogMicros = to_micros(load.backlog_s)
    target.revision = load.revision
    target.clockMicros = to_micros(load.clock_s)
    if load.models is not None:
        _write_models(target.models, load.models)


_LOAD = _fields(
    schema.Load,
    "incarnation",
    "running",
    "queued",
    "limit",
    "leaving",
    "serviceMicros",
    "backlogMicros",
    "revision",
    "clockMicros",
    "models",
)


def read_load(source: Any) -> Load:
    """Return the load held by a reader."""
    (
        incarnation,
        running,
        queued,
        limit,
        leaving,
        service_micros,
        backlog_micros,
        revision,
        clock_micros,
        models,
    ) = _read(source, _LOAD)
    return Load(
        incarnation=incarnation,
        running=running,
        queued=queued,
        limit=limit,
        leaving=leaving,
        service_s=to_seconds(service_micros),
        backlog_s=to_seconds(backlog_micros),
        revision=revision,
        clock_s=to_seconds(clock_micros),
        models=_read_models(models),
    )


def _write_models(target: Any, models: ModelState) -> None:
    target.served = sorted(models.served)
    target.role = models.role
    target.lastOrder = models.last_order
    target.known = True


_MODELS_KNOWN = _fields(schema.ModelState, "known")
_MODELS = _fields(schema.ModelState, "served", "role", "lastOrder")


def _read_models(source: Any) -> ModelState | None:
    (known,) = _read(source, _MODELS_KNOWN)
    if not known:
        return None
    served, role, last_order = _read(source, _MODELS)
    return ModelState(frozenset(served), role, last_order)


# Terms of calls that may not be repeated


def write_terms(target: Any, terms: OnceTerms) -> None:
    """Fill an ``OnceTerms`` builder."""
    target.incarnation = terms.incarnation
    target.issuedMicros = to_micros(terms.issued_s)
    target.permit = terms.permit
    target.fingerprint = terms.fingerprint
    target.expiresMicros = to_micros(terms.expires_s)


_TERMS = _fields(
    schema.OnceTerms,
    "incarnation",
    "issuedMicros",
    "permit",
    "fingerprint",
    "expiresMicros",
)


def read_terms(source: Any) -> OnceTerms:
    """Return the terms held by a reader."""
    incarnation, issued_micros, permit, fingerprint, expires_micros = _read(
        source, _TERMS
    )
    return OnceTerms(
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


_CALL = _fields(
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
_CALL_ONCE = _fields(schema.StageCall, "terms", "callKey")


def read_call(source: Any) -> StageCall:
    """Return the stage call held by a reader."""
    (
        call_id,
        account,
        stage_name,
        body,
        remaining_micros,
        priority,
        repeatable,
        streaming,
        resume_offset,
        model,
        revision,
        cache_serial,
    ) = _read(source, _CALL)
    terms, call_key = OnceTerms(), ""
    if not repeatable:
        found, call_key = _read(source, _CALL_ONCE)
        terms = read_terms(found)
    return StageCall(
        id=read_call_id(call_id),
        account=account,
        stage_name=stage_name,
        input=bytes(body),
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
        _write_news(target.cache, reply.cache)


_REPLY = _fields(
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
    """Return the stage reply held by a reader."""
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
    ) = _read(source, _REPLY)
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
        cache=_read_news(cache),
    )


def _write_news(target: Any, news: CacheNews) -> None:
    target.serial = news.serial
    target.reset = news.reset
    if news.stored:
        target.stored = news.stored
    if news.removed:
        target.removed = news.removed


_NEWS_SERIAL = _fields(schema.CacheNews, "serial")
_NEWS = _fields(schema.CacheNews, "stored", "removed", "reset")


def _read_news(source: Any) -> CacheNews:
    (serial,) = _read(source, _NEWS_SERIAL)
    if not serial:
        return NO_NEWS
    stored, removed, reset = _read(source, _NEWS)
    return CacheNews(serial, tuple(stored), tuple(removed), reset)


# Streams


def write_parts(request: Any, parts: Sequence[StreamPart]) -> None:
    """Fill a ``chunks`` request."""
    targets = request.init("parts", len(parts))
    for target, part in zip(targets, parts, strict=True):
        target.stream = part.stream
        write_call_id(target.init("id"), part.id)
        target.offset = part.offset
        target.texts = part.texts


_PART = _fields(schema.StreamPart, "stream", "id", "offset", "texts")


def read_part(source: Any) -> StreamPart:
    """Return the stream part held by a reader."""
    stream, call_id, offset, texts = _read(source, _PART)
    return StreamPart(stream, read_call_id(call_id), offset, list(texts))
