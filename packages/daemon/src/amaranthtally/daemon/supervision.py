"""Runs background tasks, so that none of them ends or fails without being noticed."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Coroutine, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from random import Random
from traceback import format_exception
from typing import Any, TypeVar

from aioprometheus import Counter as CounterMetric, Gauge

from amaranthtally.daemon.logs import get_logger

__all__ = [
    "Supervisor",
    "TaskEndedError",
    "Work",
    "is_cancelled_by_owner",
    "open_supervisor",
]

# Pause before the first restart of a task that failed, in seconds. It doubles with each
# further failure. A single failure has to cost a small part of the 4 s in which users
# expect a change to take effect.
RESTART_DELAY_S = 0.1
# Longest pause before a restart, in seconds, without jitter. The loop that watches the
# store lists everything when it starts again, and each listing is paid for.
MAX_RESTART_DELAY_S = 5.0
# Random part that is added to a pause, as a share of it. One record may make the same
# task fail in every process at the same time.
RESTART_JITTER = 0.5
# A task is failing after this many failures within the window, in seconds.
MAX_FAILURES = 3
FAILURE_WINDOW_S = 30.0
# A failing task is well again when it has run for this long without a failure, in
# seconds: half of the window, or a task that fails at regular intervals would change
# between failing and well.
WELL_AFTER_S = FAILURE_WINDOW_S / 2
# Innermost frames in a logged traceback. A thousand of them, as of a RecursionError,
# would fill the buffer of the log.
MAX_TRACEBACK_FRAMES = 30
# The label of errors that the event loop reports outside of any supervised task.
EVENT_LOOP = "event_loop"

T = TypeVar("T")
Work = Callable[[], Coroutine[Any, Any, None]]

log = get_logger()
failures_metric = CounterMetric(
    "amaranthtally_tasks_failed_total", "Failures of background tasks, by task."
)
failing_metric = Gauge(
    "amaranthtally_task_failing",
    "1 while a background task fails again and again, by task.",
)


class TaskEndedError(Exception):
    """A task ended that runs until it is cancelled, or nobody cancelled it."""


@dataclass(slots=True)
class _SupervisedTask:
    """A task that is started again when it fails, and its recent failures."""

    name: str
    work: Work
    before_restart: Callable[[], None] | None
    is_vital: bool
    may_end: bool
    is_failing: bool = False
    failures_in_row: int = 0
    failed_at: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_FAILURES))
    recovery: asyncio.TimerHandle | None = None


class Supervisor:
    """
    Runs the background tasks of a process and starts those that fail again.

    Each failure is logged with its traceback and counted by task. A task that fails
    again and again is ``failing`` until it has run without a failure for a while.
    """

    def __init__(self, random: Random | None = None) -> None:
        self._random = random or Random()
        self._tasks: dict[str, _SupervisedTask] = {}
        self._running: set[asyncio.Task[Any]] = set()
        self._failures: Counter[str] = Counter()
        self._loop = asyncio.get_running_loop()

    @property
    def failures(self) -> Mapping[str, int]:
        """Number of failures by the name of the task."""
        return self._failures

    @property
    def failure_count(self) -> int:
        """Number of failures of all tasks."""
        return self._failures.total()

    @property
    def failing(self) -> frozenset[str]:
        """Names of the tasks that fail again and again."""
        return frozenset(t.name for t in self._tasks.values() if t.is_failing)

    @property
    def failing_vital(self) -> tuple[str, ...]:
        """Sorted names of the failing tasks that this process can't serve without."""
        tasks = self._tasks.values()
        return tuple(sorted(t.name for t in tasks if t.is_failing and t.is_vital))

    @property
    def names(self) -> frozenset[str]:
        """Names of the tasks given to ``run``, those that have ended included."""
        return frozenset(self._tasks)

    @property
    def running(self) -> frozenset[asyncio.Task[Any]]:
        """The asyncio tasks that run under supervision, one-shot calls included."""
        return frozenset(self._running)

    def run(
        self,
        name: str,
        work: Work,
        before_restart: Callable[[], None] | None = None,
        *,
        is_vital: bool = False,
        may_end: bool = False,
    ) -> None:
        """
        Run the coroutine that ``work`` makes, and start a new one when it fails.

        ``before_restart`` discards state that can't be trusted after an exception; it
        is called as soon as the task has failed. While a task that ``is_vital`` is
        failing, the process is not ready. Unless a task ``may_end``, its return is a
        failure, too.
        """
        if name in self._tasks:
            raise ValueError(f"a task named {name} is supervised already")
        task = _SupervisedTask(name, work, before_restart, is_vital, may_end)
        self._tasks[name] = task
        self._start(name, self._run_until_ended(task), ())

    def spawn(
        self,
        name: str,
        work: Coroutine[Any, Any, T],
        expected: tuple[type[Exception], ...] = (),
    ) -> asyncio.Task[T]:
        """
        Run a one-shot coroutine in the background; log and count its exception.

        Exceptions of the types in ``expected`` are left to those who await the task.
        """
        return self._start(name, work, expected)

    def spawn_call(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Spawn a coroutine under the qualified name of its function."""
        return self.spawn(getattr(work, "__qualname__", "unnamed"), work)

    def report_error(self, name: str, error: BaseException) -> None:
        """Log and count an exception that its task goes on after."""
        failures = self._count_failure(name)
        log.error(
            "task_failed", task=name, failures=failures, exception=_traceback_of(error)
        )

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks.values():
            _cancel_recovery(task)
        running = list(self._running)
        for running_task in running:
            running_task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log and count an error that asyncio would only print."""
        failures = self._count_failure(EVENT_LOOP)
        error = context.get("exception")
        source = next(
            (context[k] for k in ("handle", "task", "future") if k in context), ""
        )
        log.error(
            "event_loop_error",
            message=context.get("message", ""),
            source=repr(source),
            failures=failures,
            exception=_traceback_of(error) if error is not None else "",
        )

    # Supervised tasks

    async def _run_until_ended(self, task: _SupervisedTask) -> None:
        while (error := await _run_once(task)) is not None:
            await self._prepare_restart(task, error)

    async def _prepare_restart(self, task: _SupervisedTask, error: Exception) -> None:
        """Discard the task's state at once, then wait; repeat this if it fails."""
        next_error: Exception | None = error
        while next_error is not None:
            delay_s = self._note_failure(task, next_error)
            next_error = _discard_state(task)
            await asyncio.sleep(delay_s)
        task.recovery = self._loop.call_later(WELL_AFTER_S, self._note_well, task)

    def _note_failure(self, task: _SupervisedTask, error: Exception) -> float:
        """Count and log a failure; return the pause before the restart, in seconds."""
        _cancel_recovery(task)
        delay_s = self._restart_delay_s(task)
        now = self._loop.time()
        task.failures_in_row += 1
        task.failed_at.append(now)
        failures = self._count_failure(task.name)
        log.error(
            "task_failed",
            task=task.name,
            failures=failures,
            restarts_in_s=round(delay_s, 3),
            exception=_traceback_of(error),
        )
        is_frequent = (
            len(task.failed_at) == MAX_FAILURES
            and now - task.failed_at[0] <= FAILURE_WINDOW_S
        )
        if is_frequent:
            _mark_failing(task)
        return delay_s

    def _restart_delay_s(self, task: _SupervisedTask) -> float:
        # Bounds the exponent, which is beyond any float after a day of failures.
        doublings = min(task.failures_in_row, 16)
        delay_s = min(MAX_RESTART_DELAY_S, RESTART_DELAY_S * 2.0**doublings)
        return delay_s * (1.0 + RESTART_JITTER * self._random.random())

    def _note_well(self, task: _SupervisedTask) -> None:
        task.recovery = None
        task.failures_in_row = 0
        if task.is_failing:
            task.is_failing = False
            failing_metric.set({"task": task.name}, 0)
            log.info("task_recovered", task=task.name)

    # All tasks

    def _start(
        self,
        name: str,
        work: Coroutine[Any, Any, T],
        expected: tuple[type[Exception], ...],
    ) -> asyncio.Task[T]:
        started = self._loop.create_task(work, name=name)
        self._running.add(started)
        started.add_done_callback(partial(self._note_end, expected))
        return started

    def _note_end(
        self, expected: tuple[type[Exception], ...], ended: asyncio.Task[Any]
    ) -> None:
        self._running.discard(ended)
        error = _error_of(ended)
        if error is None or isinstance(error, expected):
            return
        name = ended.get_name()
        self.report_error(name, error)
        if name in self._tasks:
            # Not the work failed but its supervision, so that nothing restarts it.
            _mark_failing(self._tasks[name])

    def _count_failure(self, name: str) -> int:
        self._failures[name] += 1
        failures_metric.inc({"task": name})
        return self._failures[name]


@contextmanager
def open_supervisor() -> Iterator[Supervisor]:
    """
    Yield a supervisor that also handles the errors of the running event loop.

    Its owner closes it before the resources that its tasks use.
    """
    loop = asyncio.get_running_loop()
    supervisor = Supervisor()
    previous = loop.get_exception_handler()
    loop.set_exception_handler(supervisor.handle_loop_error)
    try:
        yield supervisor
    finally:
        loop.set_exception_handler(previous)


def is_cancelled_by_owner(error: BaseException) -> bool:
    """
    Whether an exception is the cancellation of the current task.

    If not, something that the task awaits may have been cancelled.
    """
    current = asyncio.current_task()
    is_cancelling = current is None or current.cancelling() > 0
    return isinstance(error, asyncio.CancelledError) and is_cancelling


async def _run_once(task: _SupervisedTask) -> Exception | None:
    """Run a task; return its failure, or ``None`` if it has ended as it may."""
    try:
        await task.work()
    except asyncio.CancelledError as error:
        if is_cancelled_by_owner(error):
            raise
        return TaskEndedError("cancelled, though not by its owner")
    except Exception as error:
        return error
    return None if task.may_end else TaskEndedError("returned, though it may not end")


def _discard_state(task: _SupervisedTask) -> Exception | None:
    """Call ``before_restart``; return the exception that it raises."""
    if task.before_restart is None:
        return None
    try:
        task.before_restart()
    except Exception as error:
        return error
    return None


def _mark_failing(task: _SupervisedTask) -> None:
    if not task.is_failing:
        task.is_failing = True
        failing_metric.set({"task": task.name}, 1)
        log.error("task_failing", task=task.name, vital=task.is_vital)


def _cancel_recovery(task: _SupervisedTask) -> None:
    if task.recovery is not None:
        task.recovery.cancel()
        task.recovery = None


def _traceback_of(error: BaseException) -> str:
    lines = format_exception(error, limit=-MAX_TRACEBACK_FRAMES)
    return "".join(lines).rstrip()


def _error_of(ended: asyncio.Task[Any]) -> BaseException | None:
    if not ended.cancelled():
        return ended.exception()
    if ended.cancelling():
        return None
    return TaskEndedError("cancelled, though not by its owner")
