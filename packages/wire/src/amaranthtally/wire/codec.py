"""
Conversion between typed messages and Cap'n Proto structs.

pycapnp reads the committed schema at import, so no generated code is needed.
Its objects have no static types: they are ``Any`` here and nowhere else.
"""

from pathlib import Path
from typing import Any

import capnp

from amaranthtally.wire.messages import (
    NO_NEWS,
    CacheNews,
    CallId,
    Load,
    OnceTerms,
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

capnp.remove_import_hook()
schema: Any = capnp.load(str(Path(__file__).with_name("sidecar.capnp")))

MICROSECONDS = 1_000_000


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


def read_call_id(source: Any) -> CallId:
    """Return the call id held by a reader."""
    return CallId(source.requestId, source.stage, source.attempt)


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


def read_load(source: Any) -> Load:
    """Return the load held by a reader."""
    return Load(
        incarnation=source.incarnation,
        running=source.running,
        queued=source.queued,
        limit=source.limit,
        leaving=source.leaving,
        service_s=to_seconds(source.serviceMicros),
        backlog_s=to_seconds(source.backlogMicros),
        revision=source.revision,
        clock_s=to_seconds(source.clockMicros),
    )


# Terms of calls that may not be repeated


def write_terms(target: Any, terms: OnceTerms) -> None:
    """Fill an ``OnceTerms`` builder."""
    target.incarnation = terms.incarnation
    target.issuedMicros = to_micros(terms.issued_s)
    target.permit = terms.permit
    target.fingerprint = terms.fingerprint


def read_terms(source: Any) -> OnceTerms:
    """Return the terms held by a reader."""
    return OnceTerms(
        incarnation=source.incarnation,
        issued_s=to_seconds(source.issuedMicros),
        permit=source.permit,
        fingerprint=source.fingerprint,
    )


# Calls and replies


def write_call(target: Any, call: StageCall) -> None:
    """Fill a ``StageCall`` builder."""
    write_call_id(target.id, call.id)
    target.account = call.account
    target.stageName = call.stage_name
    target.input = call.input
    target.remainingMicros = to_micros(call.remaining_s)
    target.priority = call.priority
    target.repeatable = call.repeatable
    write_terms(target.terms, call.terms)
    target.callKey = call.call_key
    target.streaming = call.streaming
    target.resumeOffset = call.resume_offset
    target.model = call.model
    target.revision = call.revision
    target.cacheSerial = call.cache_serial


def read_call(source: Any) -> StageCall:
    """Return the stage call held by a reader."""
    return StageCall(
        id=read_call_id(source.id),
        account=source.account,
        stage_name=source.stageName,
        input=bytes(source.input),
        remaining_s=to_seconds(source.remainingMicros),
        priority=source.priority,
        repeatable=source.repeatable,
        terms=read_terms(source.terms),
        call_key=source.callKey,
        streaming=source.streaming,
        resume_offset=source.resumeOffset,
        model=source.model,
        revision=source.revision,
        cache_serial=source.cacheSerial,
    )


def write_reply(target: Any, reply: StageReply) -> None:
    """Fill a ``StageReply`` builder."""
    write_call_id(target.id, reply.id)
    target.status = reply.status.value
    target.output = reply.output
    target.reason = reply.reason
    target.retryAfterMicros = to_micros(reply.retry_after_s)
    target.permanent = reply.permanent
    write_load(target.load, reply.load)
    target.queuedMicros = to_micros(reply.queued_s)
    target.runMicros = to_micros(reply.run_s)
    target.permit = reply.permit
    if reply.cache.serial:
        _write_news(target.cache, reply.cache)


def read_reply(source: Any) -> StageReply:
    """Return the stage reply held by a reader."""
    return StageReply(
        id=read_call_id(source.id),
        status=Status(str(source.status)),
        output=bytes(source.output),
        reason=source.reason,
        retry_after_s=to_seconds(source.retryAfterMicros),
        permanent=source.permanent,
        load=read_load(source.load),
        queued_s=to_seconds(source.queuedMicros),
        run_s=to_seconds(source.runMicros),
        permit=source.permit,
        cache=_read_news(source.cache),
    )


def _write_news(target: Any, news: CacheNews) -> None:
    target.serial = news.serial
    target.reset = news.reset
    if news.stored:
        target.stored = news.stored
    if news.removed:
        target.removed = news.removed


def _read_news(source: Any) -> CacheNews:
    serial = source.serial
    if not serial:
        return NO_NEWS
    return CacheNews(serial, tuple(source.stored), tuple(source.removed), source.reset)
