"""Runs attempts at sidecars and takes what comes of them."""

import asyncio
from collections.abc import Sequence
from dataclasses import replace
from typing import Protocol

from amaranthtally.daemon.entry.cache_news import CacheFollower
from amaranthtally.daemon.entry.inquiries import Inquirer
from amaranthtally.daemon.entry.live_request import LiveRequest
from amaranthtally.daemon.entry.metrics import EntryMetrics
from amaranthtally.daemon.entry.peers import Peers
from amaranthtally.daemon.entry.stage_calls import (
    build_call,
    read_reply,
    stage_record,
)
from amaranthtally.daemon.entry.stream_text import ChunkFate
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import (
    AttemptId,
    AttemptOutcome,
    AttemptResult,
    CacheEvent,
    Endpoint,
    Send,
)
from amaranthtally.wire import OutcomeQuery, PeerLostError, StageReply, WireError

__all__ = ["AttemptListener", "Attempts"]

log = get_logger()


class AttemptListener(Protocol):
    """Whoever decides what follows from an attempt."""

    def chunks_taken(self, attempt: AttemptId, chunks: int) -> None:
        """Hear how many chunks of a stream its request has now."""

    def cache_heard(self, endpoint: str, event: CacheEvent) -> None:
        """Hear what an engine holds in its cache."""

    def attempt_ended(self, attempt: AttemptId, result: AttemptResult) -> None:
        """Hear how an attempt ended."""


class Attempts:
    """Carries stage calls to sidecars; each ends in one word to the listener."""

    def __init__(
        self,
        listener: AttemptListener,
        peers: Peers,
        inquirer: Inquirer,
        metrics: EntryMetrics,
        region: str,
    ) -> None:
        self._listener = listener
        self._peers = peers
        self._inquirer = inquirer
        self._metrics = metrics
        self._region = region
        self._cache_news = CacheFollower()
        self._loop = asyncio.get_running_loop()

    async def run(
        self,
        request: LiveRequest,
        send: Send,
        endpoint: Endpoint | None,
        revision: int,
    ) -> None:
        """Send a stage to an endpoint; ``None`` where it is registered no more."""
        attempt = send.attempt
        stage = request.arrival.pipeline.stages[attempt.stage]
        if endpoint is None:
            self._listener.attempt_ended(attempt, AttemptResult(AttemptOutcome.UNKNOWN))
            return
        try:
            client = await self._peers.client(endpoint)
        except PeerLostError as error:
            self._log_attempt(attempt, endpoint, "unreachable", str(error))
            self._listener.attempt_ended(
                attempt, AttemptResult(AttemptOutcome.NOT_RUN, unreachable=True)
            )
            return
        remaining_s = send.deadline - self._loop.time()
        call = build_call(
            request,
            send,
            revision,
            remaining_s,
            expires_s=self._inquirer.expiry(endpoint.id, remaining_s),
            cache_serial=self._cache_news.heard(endpoint.id),
        )

        def on_chunks(offset: int, texts: Sequence[str]) -> None:
            self._take_chunks(request, attempt, endpoint, offset, texts)

        try:
            reply = await client.run(call, on_chunks if stage.streams else None)
        except WireError as error:
            self._log_attempt(attempt, endpoint, "lost", str(error))
            self._listener.attempt_ended(attempt, AttemptResult(AttemptOutcome.LOST))
            return
        if endpoint.region != self._region:
            size = len(call.input) + len(reply.output)
            self._metrics.region_crossed(stage.name, size)
        self._take_reply(request, attempt, endpoint, reply)

    def _take_chunks(
        self,
        request: LiveRequest,
        attempt: AttemptId,
        endpoint: Endpoint,
        offset: int,
        texts: Sequence[str],
    ) -> None:
        had = len(request.chunks)
        fate = request.take_chunks(attempt, offset, texts)
        if len(request.chunks) > had:
            self._listener.chunks_taken(attempt, len(request.chunks))
        if fate in (ChunkFate.DIVERGENT, ChunkFate.TOO_LONG):
            task = request.tasks[attempt]
            self._log_attempt(attempt, endpoint, "stream refused", fate.value)
            permanent = fate is ChunkFate.TOO_LONG
            self._listener.attempt_ended(
                attempt, AttemptResult(AttemptOutcome.FAILED, permanent=permanent)
            )
            task.cancel()

    async def ask(
        self, request: LiveRequest, attempt: AttemptId, endpoint: Endpoint | None
    ) -> None:
        """Ask what became of a call that may not be repeated, and take that."""
        stage = request.arrival.pipeline.stages[attempt.stage]
        assert request.bound is not None
        binding = request.bound.binding(attempt.stage, stage)
        reply = await self._inquirer.inquire(request.bound, binding, OutcomeQuery.WAIT)
        if reply is None or endpoint is None:
            self._listener.attempt_ended(attempt, AttemptResult(AttemptOutcome.UNKNOWN))
            return
        self._take_reply(request, attempt, endpoint, reply)

    def _take_reply(
        self,
        request: LiveRequest,
        attempt: AttemptId,
        endpoint: Endpoint,
        reply: StageReply,
    ) -> None:
        awaited = int(attempt in request.tasks)
        self._peers.note_load(endpoint.id, replace(reply.load, ended_calls=awaited))
        self._take_cache_news(endpoint, reply)
        if attempt not in request.tasks:
            return
        stage = request.arrival.pipeline.stages[attempt.stage]
        ended = read_reply(request, stage, reply)
        if ended.finished:
            record = stage_record(stage, endpoint, attempt, reply)
            request.take_output(ended.output, record)
        else:
            self._log_attempt(attempt, endpoint, reply.status.value, reply.reason)
        self._listener.attempt_ended(attempt, ended.result)

    def _take_cache_news(self, endpoint: Endpoint, reply: StageReply) -> None:
        if not reply.cache.serial:
            return
        incarnation = reply.load.incarnation
        event = self._cache_news.take(endpoint.id, incarnation, reply.cache)
        if event is not None:
            self._listener.cache_heard(endpoint.id, event)

    def _log_attempt(
        self, attempt: AttemptId, endpoint: Endpoint, fate: str, cause: str
    ) -> None:
        log.info(
            "attempt_ended",
            request_id=attempt.request_id,
            stage=attempt.stage,
            attempt=attempt.number,
            endpoint=endpoint.id,
            fate=fate,
            cause=cause,
        )
