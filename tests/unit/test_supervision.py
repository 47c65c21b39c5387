"""Background tasks that fail: what is logged and counted, and when they run again."""

import asyncio
import gc

import pytest
from structlog.testing import capture_logs

from amaranthtally.daemon.lifecycle import StopSignal
from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.daemon.supervision import (
    EVENT_LOOP,
    MAX_FAILURES,
    MAX_RESTART_DELAY_S,
    RESTART_JITTER,
    WELL_AFTER_S,
    Supervisor,
    TaskEndedError,
    open_supervisor,
)
from amaranthtally.settings import Tree
from tests.support.virtual_time import run_on_virtual_time

LONGEST_PAUSE_S = MAX_RESTART_DELAY_S * (1.0 + RESTART_JITTER)


class Loop:
    """A loop that fails at each start for as long as ``fault`` is set."""

    def __init__(self, fault=None):
        self.fault = fault
        self.starts = []

    async def run(self):
        self.starts.append(asyncio.get_running_loop().time())
        if self.fault is not None:
            raise self.fault
        await asyncio.Event().wait()


def run_supervised(check):
    """Run a check with a supervisor on virtual time; return what was logged."""

    async def run():
        supervisor = Supervisor()
        await check(supervisor)
        await supervisor.close()
        assert not supervisor.running

    with capture_logs() as lines:
        run_on_virtual_time(run())
    return lines


def events(lines, event):
    return [line for line in lines if line["event"] == event]


@pytest.mark.parametrize("fault", [ValueError("a"), RecursionError(), MemoryError()])
def test_a_task_that_fails_once_is_logged_counted_and_started_again(fault):
    """Guards against a loop that ends for good while all else goes on."""
    loop = Loop(fault)
    discarded = []

    def discard():
        discarded.append(len(loop.starts))
        loop.fault = None

    async def check(supervisor):
        supervisor.run("follower", loop.run, discard, is_vital=True)
        await asyncio.sleep(1.0)
        assert len(loop.starts) == 2
        # State that can't be trusted is not used during the pause either.
        assert discarded == [1]
        assert supervisor.failures == {"follower": 1}
        assert not supervisor.failing

    (line,) = events(run_supervised(check), "task_failed")
    assert line["task"] == "follower"
    assert line["failures"] == 1
    assert line["restarts_in_s"] > 0
    assert type(fault).__name__ in line["exception"]


def test_a_deep_recursion_fits_into_a_line_of_the_log():
    """Guards against a line that fills the buffer of the log at each failure."""

    def recurse(one, other):
        other(other, one)

    async def fail():
        recurse(recurse, lambda one, other: other(other, one))

    async def check(supervisor):
        supervisor.run("loop", fail)
        await asyncio.sleep(0.05)

    (line,) = events(run_supervised(check), "task_failed")
    assert "RecursionError" in line["exception"]
    assert len(line["exception"]) < 10_000


def test_a_task_that_fails_again_and_again_is_failing_until_it_has_run_for_a_while():
    """Guards against a process that counts as ready though its loop never runs."""
    vital, other = Loop(ValueError("a")), Loop(ValueError("b"))

    async def check(supervisor):
        supervisor.run("vital", vital.run, is_vital=True)
        supervisor.run("other", other.run)
        await asyncio.sleep(300.0)
        assert supervisor.failing == {"vital", "other"}
        assert supervisor.failing_vital == ("vital",)
        pauses = [b - a for a, b in zip(vital.starts, vital.starts[1:], strict=False)]
        assert max(pauses) <= LONGEST_PAUSE_S
        assert pauses[0] < pauses[3] < pauses[-1]
        vital.fault = None
        await asyncio.sleep(LONGEST_PAUSE_S)
        assert supervisor.failing_vital
        await asyncio.sleep(WELL_AFTER_S)
        assert supervisor.failing == {"other"}

    lines = run_supervised(check)
    assert len(events(lines, "task_failing")) == 2
    assert [line["task"] for line in events(lines, "task_recovered")] == ["vital"]
    assert len(events(lines, "task_failed")) > 2 * MAX_FAILURES


def test_a_task_that_fails_at_times_is_not_failing():
    """Guards against taking a gateway out of service for failures hours apart."""

    async def fail_later():
        await asyncio.sleep(600.0)
        raise ValueError("a")

    async def check(supervisor):
        supervisor.run("rare", fail_later, is_vital=True)
        await asyncio.sleep(6_500.0)
        assert supervisor.failures["rare"] == 10

    assert not events(run_supervised(check), "task_failing")


def test_a_task_that_returns_has_failed_unless_it_may_end():
    """Guards against a loop that ends without any exception."""

    async def end():
        pass

    async def check(supervisor):
        supervisor.run("loop", end)
        supervisor.run("reader", end, may_end=True)
        await asyncio.sleep(10.0)
        assert supervisor.failing == {"loop"}
        assert set(supervisor.failures) == {"loop"}

    (first, *_) = events(run_supervised(check), "task_failed")
    assert TaskEndedError.__name__ in first["exception"]


def test_a_task_that_something_else_cancels_has_failed():
    """Guards against a loop that ends as a call that it awaits was cancelled."""

    async def await_cancelled():
        future = asyncio.get_running_loop().create_future()
        future.cancel()
        await future

    async def check(supervisor):
        supervisor.run("loop", await_cancelled)
        call = supervisor.spawn("call", await_cancelled())
        await asyncio.wait([call])
        await asyncio.sleep(0)
        assert supervisor.failures == {"loop": 1, "call": 1}

    run_supervised(check)


def test_state_that_cannot_be_discarded_is_a_failure_and_tried_again():
    """Guards against a loop that goes on with what it must not trust."""
    loop = Loop(ValueError("a"))
    attempts = []

    def discard():
        attempts.append(len(loop.starts))
        loop.fault = None
        if len(attempts) < MAX_FAILURES:
            raise ValueError("b")

    async def check(supervisor):
        supervisor.run("loop", loop.run, discard)
        await asyncio.sleep(10.0)
        assert attempts == [1] * MAX_FAILURES
        assert len(loop.starts) == 2
        assert supervisor.failing == {"loop"}

    run_supervised(check)


def test_the_exception_of_a_call_is_logged_though_nobody_awaits_it():
    """Guards against a fetch or a push that fails without a trace."""
    fault = ValueError("a")

    async def check(supervisor):
        supervisor.spawn("call", Loop(fault).run())
        supervisor.spawn_call(Loop(fault).run())
        connecting = supervisor.spawn("connect", Loop(fault).run(), (ValueError,))
        # An expected exception is for those who await the call.
        with pytest.raises(ValueError, match="a"):
            await connecting
        assert supervisor.failures == {"call": 1, "Loop.run": 1}

    lines = events(run_supervised(check), "task_failed")
    assert len(lines) == 2
    assert all("raise self.fault" in line["exception"] for line in lines)


def test_what_asyncio_would_only_print_is_logged_and_counted():
    """Guards against a callback or a forgotten task that fails without a trace."""

    async def check():
        with open_supervisor() as supervisor:
            loop = asyncio.get_running_loop()
            loop.call_soon(int, "no number")
            forgotten = asyncio.create_task(Loop(ValueError("a")).run())
            await asyncio.wait([forgotten])
            del forgotten
            gc.collect()
            await asyncio.sleep(0)
            assert supervisor.failures == {EVENT_LOOP: 2}

    with capture_logs() as lines:
        run_on_virtual_time(check())
    assert len(events(lines, "event_loop_error")) == 2


def test_a_stop_that_fails_is_logged():
    """Guards against requests that are cut as the drain ended with an exception."""

    async def check():
        work = Loop(ValueError("a")).run()
        assert await StopSignal().run_until_forced(work, 1.0)

    with capture_logs() as lines:
        run_on_virtual_time(check())
    (line,) = events(lines, "stop_failed")
    assert str(line["exc_info"]) == "a"


def test_a_listener_of_settings_that_fails_leaves_the_others_whole():
    """Guards against settings that are in force in a part of a process only."""

    async def check():
        state, seen = SettingsState(), []

        def fail(tree):
            raise ValueError("a")

        state.add_listener(fail)
        state.add_listener(lambda tree: seen.append(tree.revision))
        with pytest.raises(ValueError, match="a"):
            state.apply_tree(Tree(revision=7), "platform")
        assert seen == [7]

    run_on_virtual_time(check())
