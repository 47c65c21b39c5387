"""Implements the sidecar protocol; runs stage calls in the run queue's order."""

import asyncio
import secrets
from dataclasses import replace
from typing import Any

import aiohttp

from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.settings_sync import SettingsSync
from amaranthtally.daemon.sidecar.adapters import EndpointCall, adapter_for
from amaranthtally.daemon.sidecar.at_most_once import AtMostOnceCalls
from amaranthtally.daemon.sidecar.endpoint_call import call_endpoint
from amaranthtally.daemon.sidecar.engine_cache import EngineCache
from amaranthtally.daemon.sidecar.handover import read_handover
from amaranthtally.daemon.sidecar.metrics import EndpointMetrics
from amaranthtally.daemon.sidecar.served_models import ServedModels
from amaranthtally.daemon.sidecar.tombstones import Tombstones
from amaranthtally.daemon.signatures import KeyRing
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.policy import QueuedCall, RunQueue, build_stage_limits
from amaranthtally.policy.at_most_once import CallLedger
from amaranthtally.policy.handover import Handover, ReceivedHandovers
from amaranthtally.settings import SidecarSettings
from amaranthtally.wire import (
    AtMostOnceTerms,
    CallId,
    ChunkHandler,
    HelloReply,
    Load,
    OutcomeQuery,
    SettingsDelta,
    SettingsFetcher,
    StageCall,
    StageReply,
    Status,
)

__all__ = ["StageHandler"]

INCARNATION_BITS = 63
TOMBSTONE_CAPACITY = 10_000
# Added to the timer that drops queued calls, in seconds: a timer may fire slightly
# early, when the call cannot be dropped yet.
DROP_TIMER_MARGIN_S = 0.001

log = get_logger()


class StageHandler:
    """The sidecar's implementation of the sidecar protocol."""

    def __init__(
        self,
        settings: SidecarSettings,
        session: aiohttp.ClientSession,
        metrics: EndpointMetrics,
        sync: SettingsSync,
        models: ServedModels,
        supervisor: Supervisor,
        cache: EngineCache | None = None,
    ) -> None:
        self._settings = settings
        self._sync = sync
        self._models = models
        self._session = session
        self._metrics = metrics
        self._cache = cache
        self._limits = build_stage_limits(settings.max_response_bytes)
        self._adapter = adapter_for(settings.endpoint_kind)
        self._incarnation = secrets.randbits(INCARNATION_BITS) | 1
        self._queue = RunQueue(settings.concurrency, settings.queue_capacity)
        self._at_most_once = AtMostOnceCalls(
            CallLedger(
                self._incarnation, settings.record_capacity, settings.record_ttl
            ),
            ReceivedHandovers(settings.record_capacity),
            self,
            supervisor,
        )
        self._handover_keys = KeyRing(settings.handover_keys)
        self._tombstones = Tombstones(TOMBSTONE_CAPACITY)
        # By call serial: resolves to whether the call may start or is dropped.
        self._start_futures: dict[int, asyncio.Future[bool]] = {}
        self._queued: dict[CallId, QueuedCall] = {}
        self._drop_timer: asyncio.TimerHandle | None = None
        self._last_serial = 0
        self._stopping = False
        self._draining = False
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()

    @property
    def unfinished(self) -> int:
        """Number of queued and running calls, except abandoned running calls."""
        calls = self._queue.running + self._queue.queued
        return calls - self._at_most_once.count_abandoned(self._settings.abandoned_wait)

    @property
    def clock_s(self) -> float:
        """Seconds since the start of this incarnation."""
        return self._loop.time() - self._started_at

    def stop_accepting(self) -> None:
        """Reject new work from now on."""
        self._stopping = True

    def set_draining(self, draining: bool) -> None:
        """Reject new work while the host is being drained."""
        self._draining = draining

    # Sidecar protocol

    async def hello(
        self, entry: str, revision: int, fetch: SettingsFetcher
    ) -> HelloReply:
        """Accept an entry and add it as a source of settings."""
        log.info("entry_connected", entry=entry, revision=revision)
        self._sync.add_source(entry, revision, fetch)
        return HelloReply(self._settings.endpoint, self.load())

    def load(self) -> Load:
        """Return the current load."""
        return Load(
            incarnation=self._incarnation,
            running=self._queue.running,
            queued=self._queue.queued,
            limit=self._queue.limit,
            leaving=self._stopping or self._draining,
            service_s=self._queue.service_s,
            backlog_s=self._queue.backlog_s,
            clock_s=self.clock_s,
            revision=self._sync.revision,
            models=self._models.state,
        )

    def changes_since(self, revision: int) -> SettingsDelta:
        """Return this process's settings changes after ``revision``."""
        return self._sync.changes_since(revision)

    def announce_revision(self, revision: int, fetch: SettingsFetcher) -> int:
        """Receive a peer's settings revision and return this process's revision."""
        self._sync.note_revision(revision, fetch)
        return self._sync.revision

    async def run(self, call: StageCall, on_chunk: ChunkHandler) -> StageReply:
        """Run a stage call, or return the reason why it was not run."""
        self._sync.note_revision(call.revision)
        reply = await self._run(self._models.with_default_model(call), on_chunk)
        self._metrics.call_ended(reply)
        if self._cache is None:
            return reply
        return replace(reply, cache=self._cache.update_since(call.cache_serial))

    async def cancel(self, call_id: CallId) -> StageReply:
        """Cancel a call that has not started; reject copies of it that arrive later."""
        self._tombstones.add(call_id)
        if self.cancel_queued(call_id):
            return self.not_run(call_id, "cancelled before start")
        return self.reply(call_id, Status.UNKNOWN, reason="not waiting")

    async def query_outcome(
        self, call_key: str, terms: AtMostOnceTerms, query: OutcomeQuery
    ) -> StageReply:
        """Return the outcome of an at-most-once call."""
        return await self._at_most_once.query_outcome(call_key, terms, query)

    async def hand_over(self, body: bytes, signature: bytes) -> bool:
        """Store a stopping peer's records; return whether they were stored."""
        if self._stopping:
            return False
        handover = read_handover(body, signature, self._handover_keys)
        return handover is not None and self._at_most_once.receive_handover(handover)

    def handovers(self, final: bool) -> list[Handover]:
        """
        Return the records to hand over once no new work is accepted.

        ``final`` is true for the last handover before the process exits.
        """
        return self._at_most_once.handovers(self._settings.endpoint, final)

    # Calls

    async def _run(self, call: StageCall, on_chunk: ChunkHandler) -> StageReply:
        if not call.repeatable:
            return await self._at_most_once.run(call, on_chunk)
        refusal = self.refusal(call)
        if refusal:
            return self.not_run(call.id, refusal)
        return await self.run_queued(call, on_chunk)

    def refusal(self, call: StageCall) -> str:
        """Return why a call is rejected, or an empty string if it is accepted."""
        if self._stopping or self._draining:
            return "leaving"
        if call.id in self._tombstones:
            return "cancelled before start"
        expired = 0 < call.terms.expires_s < self.clock_s
        if call.remaining_s <= 0 or expired:
            return "deadline passed"
        return self._models.refusal(call.model)

    def cancel_queued(self, call_id: CallId) -> bool:
        """Remove a call from the queue; return whether it was queued."""
        queued = self._queued.get(call_id)
        if queued is None:
            return False
        # A call that the queue has started stays in ``_queued`` until its task runs,
        # but is no longer in ``_start_futures``.
        start = self._start_futures.pop(queued.serial, None)
        if start is None:
            return False
        self._tombstones.add(call_id)
        self._queue.withdraw(queued)
        start.cancel()
        return True

    async def run_queued(self, call: StageCall, on_chunk: ChunkHandler) -> StageReply:
        """Queue a call, run it when the queue starts it, and return its reply."""
        with self._models.use(call.model):
            return await self._run_queued(call, on_chunk)

    async def _run_queued(self, call: StageCall, on_chunk: ChunkHandler) -> StageReply:
        arrived = self._loop.time()
        self._last_serial += 1
        queued = QueuedCall(
            call.priority, arrived + call.remaining_s, self._last_serial
        )
        if not self._queue.offer(arrived, queued):
            return self.not_run(call.id, "queue full, or too little time left")
        start = self._loop.create_future()
        self._start_futures[queued.serial] = start
        self._queued[call.id] = queued
        self._start_next()
        try:
            may_start = await start
        except asyncio.CancelledError:
            if call.id in self._tombstones:
                return self.not_run(call.id, "cancelled before start")
            self._leave_queue(queued)
            raise
        finally:
            self._queued.pop(call.id, None)
        if not may_start:
            return self.not_run(call.id, "dropped: it could not end in time")
        if not call.repeatable:
            self._at_most_once.started(call.call_key)
        # The time-out is the time that remains now. If it were counted from the call's
        # arrival, a call that had queued behind stuck calls would time out only after
        # its deadline, with no time left for a retry elsewhere.
        time_left_s = queued.deadline - self._loop.time()
        return await self._run_now(
            replace(call, remaining_s=time_left_s), on_chunk, arrived
        )

    async def _run_now(
        self, call: StageCall, on_chunk: ChunkHandler, arrived: float
    ) -> StageReply:
        started = self._loop.time()
        target = EndpointCall(
            self._session,
            self._settings.endpoint_url,
            call,
            on_chunk,
            self._cache,
            self._limits,
        )
        try:
            result = await call_endpoint(self._adapter, target)
        except BaseException:
            self._queue.aborted()
            self._start_next()
            raise
        if result.model_missing:
            self._models.note_missing(call.model)
        ended = self._loop.time()
        self._queue.finished(ended, ended - started, result.overloaded)
        self._start_next()
        return self.reply(
            call.id,
            result.status,
            output=result.output,
            reason=result.reason,
            queued_s=started - arrived,
            run_s=ended - started,
            permanent=result.permanent,
        )

    # Queue

    def _start_next(self) -> None:
        now = self._loop.time()
        for dropped in self._queue.dropped(now):
            self._start_futures.pop(dropped.serial).set_result(False)
        while (queued := self._queue.next_call(now)) is not None:
            self._start_futures.pop(queued.serial).set_result(True)
        self._schedule_next_drop()

    def _schedule_next_drop(self) -> None:
        """
        Set a timer for when the next queued call can no longer finish in time.

        While all slots are stuck, nothing else triggers a look at the queue. If the
        entry learned of the drop only at the deadline, it could neither run the call
        elsewhere nor report in time that it was not run.
        """
        if self._drop_timer is not None:
            self._drop_timer.cancel()
        drop_at = self._queue.next_drop_at()
        self._drop_timer = None
        if drop_at is not None:
            self._drop_timer = self._loop.call_at(
                drop_at + DROP_TIMER_MARGIN_S, self._start_next
            )

    def _leave_queue(self, queued: QueuedCall) -> None:
        if self._start_futures.pop(queued.serial, None) is not None:
            self._queue.withdraw(queued)
            return
        self._queue.aborted()
        self._start_next()

    # Replies

    def not_run(self, call_id: CallId, reason: str) -> StageReply:
        """Return a reply for a call that was not started."""
        return self.reply(
            call_id,
            Status.NOT_RUN,
            reason=reason,
            retry_after_s=self._queue.backlog_s,
        )

    def reply(self, call_id: CallId, status: Status, **fields: Any) -> StageReply:
        """Return a reply that carries the current load."""
        return StageReply(id=call_id, status=status, load=self.load(), **fields)
