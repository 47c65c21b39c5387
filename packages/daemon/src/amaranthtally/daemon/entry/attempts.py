"""Runs stage attempts on sidecars and processes their replies."""

import asyncio
from collections.abc import Sequence
from dataclasses import replace
from typing import Protocol

from amaranthtally.daemon.entry.cache_updates import CacheUpdateTracker
from amaranthtally.daemon.entry.live_request import LiveRequest
from amaranthtally.daemon.entry.metrics import EntryMetrics
from amaranthtally.daemon.entry.outcome_queries import OutcomeQuerier
from amaranthtally.daemon.entry.sidecar_connections import SidecarConnections
from amaranthtally.daemon.entry.stage_calls import (
    build_call,
    read_reply,
    stage_record,
)
from amaranthtally.daemon.entry.stream_text import ChunkOutcome
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import (
    UNREACHABLE,
    AttemptId,
    AttemptOutcome,
    AttemptResult,
    CacheEvent,
    Endpoint,
    Send,
)
from amaranthtally.wire import OutcomeQuery, PeerLostError, StageReply, WireError

__all__ = ["AttemptListener", "AttemptRunner"]

log = get_logger()


class AttemptListener(Protocol):
    """Receives the progress and the outcome of attempts."""

    def chunks_received(self, attempt: AttemptId, chunks: int) -> None:
        """Note how many chunks of its stream a request has now."""

    def cache_changed(self, endpoint: str, event: CacheEvent) -> None:
        """Note a change of an engine's prefix cache."""

    def attempt_ended(self, attempt: AttemptId, result: AttemptResult) -> None:
        """Note the outcome of an attempt."""


class AttemptRunner:
    """Sends stage calls to sidecars and reports one outcome each to the listener."""

    def __init__(
        self,
        listener: AttemptListener,
        connections: SidecarConnections,
        outcome_querier: OutcomeQuerier,
        metrics: EntryMetrics,
        region: str,
    ) -> None:
        self._listener = listener
        self._connections = connections
        self._outcome_querier = outcome_querier
        self._metrics = metrics
        self._region = region
        self._cache_updates = CacheUpdateTracker()
        self._loop = asyncio.get_running_loop()

    async def run(
        self,
        request: LiveRequest,
        send: Send,
        endpoint: Endpoint | None,
        revision: int,
    ) -> None:
        """Run a stage on an endpoint; ``None`` if it is no longer registered."""
        attempt = send.attempt
        stage = request.arrival.pipeline.stages[attempt.stage]
        if endpoint is None:
            self._listener.attempt_ended(attempt, AttemptResult(AttemptOutcome.UNKNOWN))
            return
        try:
            client = await self._connections.client(endpoint)
        except PeerLostError as error:
            self._log_attempt(attempt, endpoint, "unreachable", str(error))
            self._listener.attempt_ended(attempt, UNREACHABLE)
            return
        remaining_s = send.deadline - self._loop.time()
        call = build_call(
            request,
            send,
            revision,
            remaining_s,
            expires_s=self._outcome_querier.expiry(endpoint.id, remaining_s),
            cache_serial=self._cache_updates.last_serial(endpoint.id),
        )

        def on_chunks(offset: int, texts: Sequence[str]) -> None:
            self._receive_chunks(request, attempt, endpoint, offset, texts)

        try:
            reply = await client.run(call, on_chunks if stage.streams else None)
        except WireError as error:
            self._log_attempt(attempt, endpoint, "lost", str(error))
            self._listener.attempt_ended(attempt, AttemptResult(AttemptOutcome.LOST))
            return
        if endpoint.region != self._region:
            size = len(call.input) + len(reply.output)
            self._metrics.region_crossed(stage.name, size)
        self._process_reply(request, attempt, endpoint, reply)

    def _receive_chunks(
        self,
        request: LiveRequest,
        attempt: AttemptId,
        endpoint: Endpoint,
        offset: int,
        texts: Sequence[str],
    ) -> None:
        previous_count = len(request.chunks)
        outcome = request.add_chunks(attempt, offset, texts)
        if len(request.chunks) > previous_count:
            self._listener.chunks_received(attempt, len(request.chunks))
        if outcome in (ChunkOutcome.DIVERGENT, ChunkOutcome.TOO_LONG):
            task = request.tasks[attempt]
            self._log_attempt(attempt, endpoint, "stream refused", outcome.value)
            permanent = outcome is ChunkOutcome.TOO_LONG
            self._listener.attempt_ended(
                attempt, AttemptResult(AttemptOutcome.FAILED, permanent=permanent)
            )
            task.cancel()

    async def query_outcome(
        self, request: LiveRequest, attempt: AttemptId, endpoint: Endpoint | None
    ) -> None:
        """Query the outcome of an at-most-once call and process the reply."""
        stage = request.arrival.pipeline.stages[attempt.stage]
        assert request.bound is not None
        binding = request.bound.binding(attempt.stage, stage)
        reply = await self._outcome_querier.query(
            request.bound, binding, OutcomeQuery.WAIT
        )
        if reply is None or endpoint is None:
            self._listener.attempt_ended(attempt, AttemptResult(AttemptOutcome.UNKNOWN))
            return
        self._process_reply(request, attempt, endpoint, reply)

    def _process_reply(
        self,
        request: LiveRequest,
        attempt: AttemptId,
        endpoint: Endpoint,
        reply: StageReply,
    ) -> None:
        ended_calls = int(attempt in request.tasks)
        self._connections.note_load(
            endpoint.id, replace(reply.load, ended_calls=ended_calls)
        )
        self._apply_cache_update(endpoint, reply)
        if attempt not in request.tasks:
            return
        stage = request.arrival.pipeline.stages[attempt.stage]
        stage_result = read_reply(request, stage, reply)
        if stage_result.finished:
            record = stage_record(stage, endpoint, attempt, reply)
            request.add_output(stage_result.output, record)
        else:
            self._log_attempt(attempt, endpoint, reply.status.value, reply.reason)
        self._listener.attempt_ended(attempt, stage_result.result)

    def _apply_cache_update(self, endpoint: Endpoint, reply: StageReply) -> None:
        if not reply.cache.serial:
            return
        incarnation = reply.load.incarnation
        event = self._cache_updates.apply(endpoint.id, incarnation, reply.cache)
        if event is not None:
            self._listener.cache_changed(endpoint.id, event)

    def _log_attempt(
        self, attempt: AttemptId, endpoint: Endpoint, outcome: str, cause: str
    ) -> None:
        log.info(
            "attempt_ended",
            request_id=attempt.request_id,
            stage=attempt.stage,
            attempt=attempt.number,
            endpoint=endpoint.id,
            fate=outcome,
            cause=cause,
        )
