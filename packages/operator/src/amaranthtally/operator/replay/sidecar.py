"""Fake sidecar on the virtual clock: a queue of calls and a fake endpoint."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from amaranthtally.operator.replay.endpoints import FakeEndpoint, Run
from amaranthtally.operator.replay.recorder import ReplayRecorder
from amaranthtally.operator.replay.trace import EndpointPlan, PoolPlan
from amaranthtally.operator.replay.work import WorkModel
from amaranthtally.policy import (
    AttemptId,
    AttemptOutcome,
    AttemptResult,
    LoadReport,
    QueuedCall,
)
from amaranthtally.simulator.clock import VirtualClock

__all__ = ["Call", "FakeSidecar", "Queue"]

INCARNATION = 1
LOAD_HISTORY = 4096

Reply = Callable[[AttemptResult], None]


class Queue(Protocol):
    """Interface of a sidecar's queue; the policy's ``RunQueue`` implements it."""

    @property
    def running(self) -> int:
        """Number of running calls."""

    @property
    def queued(self) -> int:
        """Number of queued calls."""

    @property
    def limit(self) -> int:
        """Maximum number of calls that run at once."""

    @property
    def service_s(self) -> float:
        """Smoothed run time of one call, in seconds."""

    @property
    def backlog_s(self) -> float:
        """Predicted wait of a new call, in seconds."""

    def offer(self, now: float, call: QueuedCall) -> bool:
        """Queue a call; return false if the queue is full."""

    def next_call(self, now: float) -> QueuedCall | None:
        """Return the next call to start now, or ``None``."""

    def withdraw(self, call: QueuedCall) -> None:
        """Remove a queued call."""

    def dropped(self, now: float) -> list[QueuedCall]:
        """Return the calls dropped before their start; each call is returned once."""

    def finished(self, now: float, run_s: float, failed: bool = False) -> None:
        """Record that a running call ended, or failed, after ``run_s`` seconds."""

    def aborted(self) -> None:
        """Record that a running call was aborted."""


@dataclass(slots=True, eq=False)
class Call:
    """One attempt at a sidecar; ``deadline`` is a time on the virtual clock."""

    attempt: AttemptId
    account: str
    deadline: float
    priority: int
    repeatable: bool
    prefix: tuple[int, ...]
    resume_chunks: int
    reply: Reply
    progress: Callable[[int], None]
    queued: QueuedCall | None = None
    run: Run | None = None
    arrived_at: float = 0.0
    started_at: float = 0.0


@dataclass(slots=True)
class _CallRecord:
    result: AttemptResult | None = None
    pending_replies: list[Reply] = field(default_factory=list)


class FakeSidecar:
    """Stands in for the daemon's ``StageHandler``, without I/O."""

    def __init__(
        self,
        clock: VirtualClock,
        plan: EndpointPlan,
        pool: PoolPlan,
        queue: Queue,
        endpoint: FakeEndpoint,
        work: WorkModel,
        recorder: ReplayRecorder,
    ) -> None:
        self._clock = clock
        self._plan = plan
        self._pool = pool
        self._queue = queue
        self._endpoint = endpoint
        self._work = work
        self._recorder = recorder
        self._serial = 0
        self._queued_calls: dict[int, Call] = {}
        self._calls: dict[AttemptId, Call] = {}
        self._records: dict[tuple[str, int], _CallRecord] = {}
        self._cancelled_attempts: set[AttemptId] = set()
        self._leaving = False
        self._load_lag_s = 0.0
        self._load_history: deque[tuple[float, LoadReport]] = deque(maxlen=LOAD_HISTORY)
        self._record_load()

    @property
    def plan(self) -> EndpointPlan:
        """The endpoint's id, pool, region and data centre."""
        return self._plan

    @property
    def pool(self) -> PoolPlan:
        """The endpoint's pool."""
        return self._pool

    @property
    def endpoint(self) -> FakeEndpoint:
        """The fake endpoint that runs the calls."""
        return self._endpoint

    def delay_load(self, lag_s: float) -> None:
        """From now on, report the load as it was ``lag_s`` seconds earlier."""
        self._load_lag_s = lag_s

    # Calls from entries

    def load(self) -> LoadReport:
        """Return the load report for a reply sent now, delayed by the load lag."""
        reported_at = self._clock.now - self._load_lag_s
        while len(self._load_history) > 1 and self._load_history[1][0] <= reported_at:
            self._load_history.popleft()
        return self._load_history[0][1]

    def run(self, call: Call) -> None:
        """Queue a call, or reply that it did not run."""
        now = self._clock.now
        call.arrived_at = now
        if call.attempt in self._cancelled_attempts or call.deadline <= now:
            self._reply_not_run(call)
            return
        if not call.repeatable and not self._open_record(call):
            return
        self._serial += 1
        call.queued = QueuedCall(call.priority, call.deadline, self._serial)
        if not self._queue.offer(now, call.queued):
            self._reply_not_run(call)
            return
        self._queued_calls[self._serial] = call
        self._calls[call.attempt] = call
        self._start_next()
        self._record_load()

    def cancel(self, attempt: AttemptId) -> None:
        """Cancel a call; an at-most-once call that has started runs on."""
        call = self._calls.get(attempt)
        if call is None:
            self._cancelled_attempts.add(attempt)
            return
        if call.run is None and call.queued is not None:
            self._cancelled_attempts.add(attempt)
            self._queue.withdraw(call.queued)
            del self._queued_calls[call.queued.serial]
            self._reply_not_run(call)
        elif call.run is not None and call.repeatable:
            self._endpoint.cancel(call.run)
            self._record_end(call)
            self._queue.aborted()
            self._start_next()
        self._record_load()

    def query_outcome(self, request_id: str, stage: int, reply: Reply) -> None:
        """Reply with the outcome of an at-most-once call, once it has ended."""
        record = self._records.get((request_id, stage))
        if record is None:
            reply(AttemptResult(AttemptOutcome.UNKNOWN))
        elif record.result is not None:
            reply(record.result)
        else:
            record.pending_replies.append(reply)

    # Running calls

    def _open_record(self, call: Call) -> bool:
        key = (call.attempt.request_id, call.attempt.stage)
        if key in self._records:
            self.query_outcome(*key, call.reply)
            return False
        record = self._records[key] = _CallRecord(pending_replies=[call.reply])
        call.reply = partial(self._close_record, key, record)
        return True

    def _close_record(
        self, key: tuple[str, int], record: _CallRecord, result: AttemptResult
    ) -> None:
        record.result = result
        if result.outcome is AttemptOutcome.NOT_RUN:
            del self._records[key]
        for reply in record.pending_replies:
            reply(result)

    def _start_next(self) -> None:
        for dropped in self._queue.dropped(self._clock.now):
            self._reply_not_run(self._queued_calls.pop(dropped.serial))
        while (queued := self._queue.next_call(self._clock.now)) is not None:
            self._start(self._queued_calls.pop(queued.serial))

    def _start(self, call: Call) -> None:
        attempt = call.attempt
        work = self._work.stage_work(attempt.request_id, attempt.stage, self._pool)
        is_straggler = self._work.is_straggler(attempt, self._pool)
        factor = self._pool.straggle_factor if is_straggler else 1.0
        call.started_at = self._clock.now
        call.run = Run(
            seconds=work.seconds * factor,
            tokens=work.tokens,
            prefix=call.prefix,
            resume_chunks=call.resume_chunks,
            done=partial(self._finish_run, call),
            progress=call.progress,
        )
        self._recorder.note_start(attempt, call.repeatable)
        self._endpoint.start(call.run)

    def _finish_run(self, call: Call, finished: bool) -> None:
        run_s = self._record_end(call)
        self._queue.finished(self._clock.now, run_s, not finished)
        self._start_next()
        call.reply(
            AttemptResult(
                AttemptOutcome.FINISHED if finished else AttemptOutcome.FAILED,
                run_s=run_s,
                queued_s=call.started_at - call.arrived_at,
                output_bytes=self._pool.output_bytes if finished else 0,
            )
        )
        self._record_load()

    def _record_end(self, call: Call) -> float:
        run_s = self._clock.now - call.started_at
        self._calls.pop(call.attempt, None)
        self._recorder.note_run(call.attempt, self._pool, run_s)
        return run_s

    def _reply_not_run(self, call: Call) -> None:
        self._calls.pop(call.attempt, None)
        retry_after_s = self._queue.backlog_s
        call.reply(AttemptResult(AttemptOutcome.NOT_RUN, retry_after_s=retry_after_s))

    def _record_load(self) -> None:
        report = LoadReport(
            incarnation=INCARNATION,
            running=self._queue.running,
            queued=self._queue.queued,
            limit=self._queue.limit,
            service_s=self._queue.service_s,
            backlog_s=self._queue.backlog_s,
            leaving=self._leaving,
        )
        self._load_history.append((self._clock.now, report))
