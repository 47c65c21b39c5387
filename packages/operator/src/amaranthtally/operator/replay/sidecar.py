"""A sidecar on the virtual clock: the policy's run queue before a fake endpoint."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from amaranthtally.operator.replay.endpoints import FakeEndpoint, Run
from amaranthtally.operator.replay.ledger import Ledger
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
    """What a sidecar asks of its queue; the policy's ``RunQueue`` is one."""

    @property
    def running(self) -> int:
        """Calls that run now."""

    @property
    def queued(self) -> int:
        """Calls that wait."""

    @property
    def limit(self) -> int:
        """Calls that may run at once."""

    @property
    def service_s(self) -> float:
        """Smoothed time of one call, in seconds."""

    @property
    def backlog_s(self) -> float:
        """Predicted wait of a new call, in seconds."""

    def offer(self, now: float, call: QueuedCall) -> bool:
        """Queue a call; false when the queue is full."""

    def next_call(self, now: float) -> QueuedCall | None:
        """Return a call to start now, or ``None``."""

    def withdraw(self, call: QueuedCall) -> None:
        """Remove a call that waits."""

    def dropped(self, now: float) -> list[QueuedCall]:
        """Return the calls that wait no longer and never started, once."""

    def finished(self, now: float, run_s: float, failed: bool = False) -> None:
        """Note that a running call ended, or failed."""

    def aborted(self) -> None:
        """Note that a running call was cut off."""


@dataclass(slots=True, eq=False)
class Call:
    """One attempt on its way through a sidecar; ``deadline`` as a time stamp."""

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
    arrived: float = 0.0
    started: float = 0.0


@dataclass(slots=True)
class _Record:
    result: AttemptResult | None = None
    waiting: list[Reply] = field(default_factory=list)


class FakeSidecar:
    """Does what ``StageHandler`` of the daemon does, without I/O."""

    def __init__(
        self,
        clock: VirtualClock,
        plan: EndpointPlan,
        pool: PoolPlan,
        queue: Queue,
        endpoint: FakeEndpoint,
        work: WorkModel,
        ledger: Ledger,
    ) -> None:
        self._clock = clock
        self._plan = plan
        self._pool = pool
        self._queue = queue
        self._endpoint = endpoint
        self._work = work
        self._ledger = ledger
        self._serial = 0
        self._waiting: dict[int, Call] = {}
        self._calls: dict[AttemptId, Call] = {}
        self._records: dict[tuple[str, int], _Record] = {}
        self._tombstones: set[AttemptId] = set()
        self._leaving = False
        self._load_lag_s = 0.0
        self._loads: deque[tuple[float, LoadReport]] = deque(maxlen=LOAD_HISTORY)
        self._note_load()

    @property
    def plan(self) -> EndpointPlan:
        """Where the endpoint stands."""
        return self._plan

    @property
    def pool(self) -> PoolPlan:
        """The pool of the endpoint."""
        return self._pool

    @property
    def endpoint(self) -> FakeEndpoint:
        """The fake that runs the calls."""
        return self._endpoint

    def delay_load(self, lag_s: float) -> None:
        """Report the load of ``lag_s`` seconds ago from now on."""
        self._load_lag_s = lag_s

    # Inner protocol

    def load(self) -> LoadReport:
        """Return the load that a reply carries now."""
        seen = self._clock.now - self._load_lag_s
        while len(self._loads) > 1 and self._loads[1][0] <= seen:
            self._loads.popleft()
        return self._loads[0][1]

    def run(self, call: Call) -> None:
        """Queue a call, or reply that it was not run."""
        now = self._clock.now
        call.arrived = now
        if call.attempt in self._tombstones or call.deadline <= now:
            self._reply_not_run(call)
            return
        if not call.repeatable and not self._open_record(call):
            return
        self._serial += 1
        call.queued = QueuedCall(call.priority, call.deadline, self._serial)
        if not self._queue.offer(now, call.queued):
            self._reply_not_run(call)
            return
        self._waiting[self._serial] = call
        self._calls[call.attempt] = call
        self._start_next()
        self._note_load()

    def cancel(self, attempt: AttemptId) -> None:
        """Cancel a call; one that may not be repeated runs on once started."""
        call = self._calls.get(attempt)
        if call is None:
            self._tombstones.add(attempt)
            return
        if call.run is None and call.queued is not None:
            self._tombstones.add(attempt)
            self._queue.withdraw(call.queued)
            del self._waiting[call.queued.serial]
            self._reply_not_run(call)
        elif call.run is not None and call.repeatable:
            self._endpoint.cancel(call.run)
            self._note_end(call)
            self._queue.aborted()
            self._start_next()
        self._note_load()

    def outcome(self, request_id: str, stage: int, reply: Reply) -> None:
        """Say what became of a call that may not be repeated, once it has ended."""
        record = self._records.get((request_id, stage))
        if record is None:
            reply(AttemptResult(AttemptOutcome.UNKNOWN))
        elif record.result is not None:
            reply(record.result)
        else:
            record.waiting.append(reply)

    # Calls

    def _open_record(self, call: Call) -> bool:
        key = (call.attempt.request_id, call.attempt.stage)
        if key in self._records:
            self.outcome(*key, call.reply)
            return False
        record = self._records[key] = _Record(waiting=[call.reply])
        call.reply = partial(self._close_record, key, record)
        return True

    def _close_record(
        self, key: tuple[str, int], record: _Record, result: AttemptResult
    ) -> None:
        record.result = result
        if result.outcome is AttemptOutcome.NOT_RUN:
            del self._records[key]
        for reply in record.waiting:
            reply(result)

    def _start_next(self) -> None:
        for dropped in self._queue.dropped(self._clock.now):
            self._reply_not_run(self._waiting.pop(dropped.serial))
        while (queued := self._queue.next_call(self._clock.now)) is not None:
            self._start(self._waiting.pop(queued.serial))

    def _start(self, call: Call) -> None:
        attempt = call.attempt
        work = self._work.of(attempt.request_id, attempt.stage, self._pool)
        straggles = self._work.straggles(attempt, self._pool)
        factor = self._pool.straggle_factor if straggles else 1.0
        call.started = self._clock.now
        call.run = Run(
            seconds=work.seconds * factor,
            tokens=work.tokens,
            prefix=call.prefix,
            resume_chunks=call.resume_chunks,
            done=partial(self._done, call),
            progress=call.progress,
        )
        self._ledger.note_start(attempt, call.repeatable)
        self._endpoint.start(call.run)

    def _done(self, call: Call, finished: bool) -> None:
        run_s = self._note_end(call)
        self._queue.finished(self._clock.now, run_s, not finished)
        self._start_next()
        call.reply(
            AttemptResult(
                AttemptOutcome.FINISHED if finished else AttemptOutcome.FAILED,
                run_s=run_s,
                queued_s=call.started - call.arrived,
                output_bytes=self._pool.output_bytes if finished else 0,
            )
        )
        self._note_load()

    def _note_end(self, call: Call) -> float:
        run_s = self._clock.now - call.started
        self._calls.pop(call.attempt, None)
        self._ledger.note_run(call.attempt, self._pool, run_s)
        return run_s

    def _reply_not_run(self, call: Call) -> None:
        self._calls.pop(call.attempt, None)
        retry_after_s = self._queue.backlog_s
        call.reply(AttemptResult(AttemptOutcome.NOT_RUN, retry_after_s=retry_after_s))

    def _note_load(self) -> None:
        report = LoadReport(
            incarnation=INCARNATION,
            running=self._queue.running,
            queued=self._queue.queued,
            limit=self._queue.limit,
            service_s=self._queue.service_s,
            backlog_s=self._queue.backlog_s,
            leaving=self._leaving,
        )
        self._loads.append((self._clock.now, report))
