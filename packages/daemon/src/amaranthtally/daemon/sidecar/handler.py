"""Runs stage calls at the endpoint, one decision at a time by the run queue."""

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
from amaranthtally.policy import QueuedCall, RunQueue
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
# A timer may ring by as much too early, in seconds; the call would not be dropped yet.
DROP_SLACK_S = 0.001

log = get_logger()


class StageHandler:
    """The sidecar's side of the inner protocol."""

    def __init__(
        self,
        settings: SidecarSettings,
        session: aiohttp.ClientSession,
        metrics: EndpointMetrics,
        sync: SettingsSync,
        models: ServedModels,
        cache: EngineCache | None = None,
    ) -> None:
        self._settings = settings
        self._sync = sync
        self._models = models
        self._session = session
        self._metrics = metrics
        self._cache = cache
        self._adapter = adapter_for(settings.endpoint_kind)
        self._incarnation = secrets.randbits(INCARNATION_BITS) | 1
        self._queue = RunQueue(settings.concurrency, settings.queue_capacity)
        self._once = AtMostOnceCalls(
            CallLedger(
                self._incarnation, settings.record_capacity, settings.record_ttl
            ),
            ReceivedHandovers(settings.record_capacity),
            self,
        )
        self._handover_keys = KeyRing(settings.handover_keys)
        self._tombstones = Tombstones(TOMBSTONE_CAPACITY)
        self._starts: dict[int, asyncio.Future[bool]] = {}
        self._waiting: dict[CallId, QueuedCall] = {}
        self._next_drop: asyncio.TimerHandle | None = None
        self._serial = 0
        self._leaving = False
        self._draining = False
        self._loop = asyncio.get_running_loop()
        self._born = self._loop.time()

    @property
    def unfinished(self) -> int:
        """Calls that a stop waits for; one without callers for a while is none."""
        calls = self._queue.running + self._queue.queued
        return calls - self._once.abandoned(self._settings.abandoned_wait)

    @property
    def clock_s(self) -> float:
        """Seconds since this incarnation began."""
        return self._loop.time() - self._born

    def stop_accepting(self) -> None:
        """Take no new work from now on."""
        self._leaving = True

    def set_draining(self, draining: bool) -> None:
        """Take no new work while the operators drain this host."""
        self._draining = draining

    # Inner protocol

    async def hello(
        self, entry: str, revision: int, fetch: SettingsFetcher
    ) -> HelloReply:
        """Greet an entry."""
        log.info("entry_connected", entry=entry, revision=revision)
        self._sync.add_source(entry, revision, fetch)
        return HelloReply(self._settings.endpoint, self.load())

    def load(self) -> Load:
        """Return the present load."""
        return Load(
            incarnation=self._incarnation,
            running=self._queue.running,
            queued=self._queue.queued,
            limit=self._queue.limit,
            leaving=self._leaving or self._draining,
            service_s=self._queue.service_s,
            backlog_s=self._queue.backlog_s,
            clock_s=self.clock_s,
            revision=self._sync.revision,
            models=self._models.state,
        )

    def changes_since(self, revision: int) -> SettingsDelta:
        """Return the settings changes known here after ``revision``."""
        return self._sync.changes_since(revision)

    def announce_revision(self, revision: int, fetch: SettingsFetcher) -> int:
        """Hear of a peer's revision and return one's own."""
        self._sync.note_revision(revision, fetch)
        return self._sync.revision

    async def run(self, call: StageCall, on_chunk: ChunkHandler) -> StageReply:
        """Run a stage call, or say that it was not run."""
        self._sync.note_revision(call.revision)
        reply = await self._run(self._models.named(call), on_chunk)
        self._metrics.call_ended(reply)
        if self._cache is None:
            return reply
        return replace(reply, cache=self._cache.update_since(call.cache_serial))

    async def cancel(self, call_id: CallId) -> StageReply:
        """Cancel a call that has not started; a late copy of it is refused."""
        self._tombstones.add(call_id)
        if self.cancel_waiting(call_id):
            return self.not_run(call_id, "cancelled before start")
        return self.reply(call_id, Status.UNKNOWN, reason="not waiting")

    async def query_outcome(
        self, call_key: str, terms: AtMostOnceTerms, inquiry: OutcomeQuery
    ) -> StageReply:
        """Say what became of a call that may not be repeated."""
        return await self._once.query_outcome(call_key, terms, inquiry)

    async def hand_over(self, body: bytes, signature: bytes) -> bool:
        """Take a stopping peer's records; false where they are not kept."""
        if self._leaving:
            return False
        handover = read_handover(body, signature, self._handover_keys)
        return handover is not None and self._once.take(handover)

    def handovers(self, final: bool) -> list[Handover]:
        """Return the records to hand on, once it has left; ``final`` as it ends."""
        return self._once.handovers(self._settings.endpoint, final)

    # Calls

    async def _run(self, call: StageCall, on_chunk: ChunkHandler) -> StageReply:
        if not call.repeatable:
            return await self._once.run(call, on_chunk)
        refusal = self.refusal(call)
        if refusal:
            return self.not_run(call.id, refusal)
        return await self.run_in_turn(call, on_chunk)

    def refusal(self, call: StageCall) -> str:
        """Return why a call is not taken now; empty where it is."""
        if self._leaving or self._draining:
            return "leaving"
        if call.id in self._tombstones:
            return "cancelled before start"
        late = 0 < call.terms.expires_s < self.clock_s
        if call.remaining_s <= 0 or late:
            return "deadline passed"
        return self._models.refusal(call.model)

    def cancel_waiting(self, call_id: CallId) -> bool:
        """Take a call out of the queue; false where it does not wait there."""
        waiting = self._waiting.get(call_id)
        if waiting is None:
            return False
        # One that has been let start still waits for its task to be scheduled.
        start = self._starts.pop(waiting.serial, None)
        if start is None:
            return False
        self._tombstones.add(call_id)
        self._queue.withdraw(waiting)
        start.cancel()
        return True

    async def run_in_turn(self, call: StageCall, on_chunk: ChunkHandler) -> StageReply:
        """Queue a call, run it in its turn, and return its reply."""
        with self._models.use(call.model):
            return await self._run_in_turn(call, on_chunk)

    async def _run_in_turn(self, call: StageCall, on_chunk: ChunkHandler) -> StageReply:
        arrived = self._loop.time()
        self._serial += 1
        queued = QueuedCall(call.priority, arrived + call.remaining_s, self._serial)
        if not self._queue.offer(arrived, queued):
            return self.not_run(call.id, "queue full, or too little time left")
        start = self._loop.create_future()
        self._starts[queued.serial] = start
        self._waiting[call.id] = queued
        self._start_next()
        try:
            may_start = await start
        except asyncio.CancelledError:
            if call.id in self._tombstones:
                return self.not_run(call.id, "cancelled before start")
            self._leave_queue(queued)
            raise
        finally:
            self._waiting.pop(call.id, None)
        if not may_start:
            return self.not_run(call.id, "dropped: it could not end in time")
        if not call.repeatable:
            self._once.started(call.call_key)
        # What the call may take is what is left of it now: counted from its arrival,
        # one that had waited behind stuck calls was given up only after its deadline,
        # with no time left to run it elsewhere.
        left_s = queued.deadline - self._loop.time()
        return await self._run_now(replace(call, remaining_s=left_s), on_chunk, arrived)

    async def _run_now(
        self, call: StageCall, on_chunk: ChunkHandler, arrived: float
    ) -> StageReply:
        started = self._loop.time()
        target = EndpointCall(
            self._session, self._settings.endpoint_url, call, on_chunk, self._cache
        )
        try:
            end = await call_endpoint(self._adapter, target)
        except BaseException:
            self._queue.released()
            self._start_next()
            raise
        if end.model_missing:
            self._models.missed(call.model)
        ended = self._loop.time()
        self._queue.finished(ended, ended - started, end.overloaded)
        self._start_next()
        return self.reply(
            call.id,
            end.status,
            output=end.output,
            reason=end.reason,
            queued_s=started - arrived,
            run_s=ended - started,
            permanent=end.permanent,
        )

    # Queue

    def _start_next(self) -> None:
        now = self._loop.time()
        for dropped in self._queue.dropped(now):
            self._starts.pop(dropped.serial).set_result(False)
        while (queued := self._queue.next_call(now)) is not None:
            self._starts.pop(queued.serial).set_result(True)
        self._wake_for_next_drop()

    def _wake_for_next_drop(self) -> None:
        """
        Look at the queue again when its next call can't end in time any more.

        While every slot is stuck nothing else would. Told at its deadline, the entry
        could not run the call elsewhere, nor say in time that it did not run.
        """
        if self._next_drop is not None:
            self._next_drop.cancel()
        at = self._queue.drops_at()
        self._next_drop = None
        if at is not None:
            self._next_drop = self._loop.call_at(at + DROP_SLACK_S, self._start_next)

    def _leave_queue(self, queued: QueuedCall) -> None:
        if self._starts.pop(queued.serial, None) is not None:
            self._queue.withdraw(queued)
            return
        self._queue.released()
        self._start_next()

    # Replies

    def not_run(self, call_id: CallId, reason: str) -> StageReply:
        """Return the reply of a call that has not started."""
        return self.reply(
            call_id,
            Status.NOT_RUN,
            reason=reason,
            retry_after_s=self._queue.backlog_s,
        )

    def reply(self, call_id: CallId, status: Status, **fields: Any) -> StageReply:
        """Return a reply with the present load."""
        return StageReply(id=call_id, status=status, load=self.load(), **fields)
