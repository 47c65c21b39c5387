"""Codec of a sidecar's load and of the updates of its engine's prefix cache."""

from typing import Any

from amaranthtally.wire.fields import (
    fields_of,
    read_fields,
    schema,
    to_micros,
    to_seconds,
)
from amaranthtally.wire.messages import NO_CACHE_UPDATE, CacheUpdate, Load, ModelState

__all__ = ["read_cache_update", "read_load", "write_cache_update", "write_load"]


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


_LOAD = fields_of(
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
    """Decode a ``Load`` reader."""
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
    ) = read_fields(source, _LOAD)
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


_MODELS_KNOWN = fields_of(schema.ModelState, "known")
_MODELS = fields_of(schema.ModelState, "served", "role", "lastOrder")


def _read_models(source: Any) -> ModelState | None:
    (known,) = read_fields(source, _MODELS_KNOWN)
    if not known:
        return None
    served, role, last_order = read_fields(source, _MODELS)
    return ModelState(frozenset(served), role, last_order)


# Updates of the prefix cache


def write_cache_update(target: Any, update: CacheUpdate) -> None:
    """Fill a ``CacheUpdate`` builder."""
    target.serial = update.serial
    target.reset = update.reset
    if update.stored:
        target.stored = update.stored
    if update.removed:
        target.removed = update.removed


_UPDATE_SERIAL = fields_of(schema.CacheNews, "serial")
_UPDATE = fields_of(schema.CacheNews, "stored", "removed", "reset")


def read_cache_update(source: Any) -> CacheUpdate:
    """Decode a ``CacheNews`` reader."""
    (serial,) = read_fields(source, _UPDATE_SERIAL)
    if not serial:
        return NO_CACHE_UPDATE
    stored, removed, reset = read_fields(source, _UPDATE)
    return CacheUpdate(serial, tuple(stored), tuple(removed), reset)
