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
    open_supervisor,
)
from amaranthtally.settings import Tree
from tests.support.virtual_time import run_on_virtual_time

LONGEST_PAUSE_S = MAX_RESTART_DELAY_S * (1.0 + RESTART_JITTER)


async def fail():
    raise ValueError("a fault")


# Two functions in turn, as a traceback joins the lines of one that calls itself.
async def recurse():
    await recurse_again()


async def recurse_again():
    await recurse()


async def end():
    pass


async def await_cancelled():
    future = asyncio.get_running_loop().create_future()
    future.cancel()
    await future


class Loop:
    """A loop that begins each time with ``fault``, if there is one."""

    def __init__(self, fault=None):
        self.fault = fault
        self.starts = []

    async def run(self):
        self.starts.append(asyncio.get_running_loop().time())
        if self.fault is not None:
            await self.fault()
        else:
            await asyncio.Event().wait()


def run_supervised(check):
    """Run a check with a supervisor on virtual time; return the lines by event."""

    async def run():
        with open_supervisor() as supervisor:
            await check(supervisor)
            await supervisor.close()
            assert not supervisor.running

    lines = {}
    with capture_logs() as captured:
        run_on_virtual_time(run())
    for line in captured:
        lines.setdefault(line["event"], []).append(line)
    return lines


@pytest.mark.parametrize("fault", [fail, recurse, end, await_cancelled])
def test_a_task_that_ends_is_reported_and_started_again(fault):
    """Guards against a loop that ends for good, silently or with an exception."""
    loop, discarded = Loop(fault), []

    def discard():
        discarded.append(len(loop.starts))
        loop.fault = None

    async def check(supervisor):
        supervisor.run("follower", loop.run, discard)
        await asyncio.sleep(1.0)
        assert len(loop.starts) == 2
        # State that can't be trusted is not used during the pause either.
        assert discarded == [1]
        assert supervisor.failures == {"follower": 1}
        assert not supervisor.failing

    (line,) = run_supervised(check)["task_failed"]
    assert (line["task"], line["failures"]) == ("follower", 1)
    assert line["restarts_in_s"] > 0
    # A longer line, as of a deep recursion, would fill the buffer of the log.
    assert "Error" in line["exception"]
    assert len(line["exception"]) < 10_000


def test_a_task_that_fails_again_and_again_is_failing_until_it_has_run_for_a_while():
    """
    Guards against a process that is ready though its loop never runs, and one that is
    not ready for failures far apart.
    """
    vital, other = Loop(fail), Loop(fail)

    async def fail_at_times():
        await asyncio.sleep(600.0)
        await fail()

    async def check(supervisor):
        supervisor.run("vital", vital.run, is_vital=True)
        supervisor.run("other", other.run)
        supervisor.run("rare", fail_at_times)
        supervisor.run("reader", end, may_end=True)
        await asyncio.sleep(6_500.0)
        assert set(supervisor.failures) == {"vital", "other", "rare"}
        assert supervisor.failing == {"vital", "other"}
        assert supervisor.failing_vital == ("vital",)
        pauses = [b - a for a, b in zip(vital.starts, vital.starts[1:], strict=False)]
        assert pauses[0] < pauses[3] < max(pauses) <= LONGEST_PAUSE_S
        vital.fault = None
        await asyncio.sleep(LONGEST_PAUSE_S)
        assert supervisor.failing_vital
        await asyncio.sleep(WELL_AFTER_S)
        assert supervisor.failing == {"other"}

    lines = run_supervised(check)
    assert sorted(line["task"] for line in lines["task_failing"]) == ["other", "vital"]
    assert [line["task"] for line in lines["task_recovered"]] == ["vital"]


def test_state_that_cannot_be_discarded_is_a_failure_and_tried_again():
    """Guards against a loop that goes on with what it must not trust."""
    loop, attempts = Loop(fail), []

    def discard():
        attempts.append(len(loop.starts))
        loop.fault = None
        if len(attempts) < MAX_FAILURES:
            raise ValueError("not discarded")

    async def check(supervisor):
        supervisor.run("loop", loop.run, discard)
        await asyncio.sleep(10.0)
        assert attempts == [1] * MAX_FAILURES
        assert len(loop.starts) == 2
        assert supervisor.failing == {"loop"}

    run_supervised(check)


def test_what_fails_outside_of_loops_is_reported():
    """Guards against a fetch, a forgotten task or a callback that leaves no trace."""

    async def check(supervisor):
        supervisor.spawn("call", fail())
        supervisor.spawn("cancelled", await_cancelled())
        supervisor.spawn_call(fail())
        # An expected exception is for those who await the call.
        with pytest.raises(ValueError, match="a fault"):
            await supervisor.spawn("connect", fail(), (ValueError,))
        loop = asyncio.get_running_loop()
        loop.call_soon(int, "no number")
        await asyncio.wait([loop.create_task(fail())])
        gc.collect()
        await asyncio.sleep(0)
        counts = {"call": 1, "cancelled": 1, "fail": 1, EVENT_LOOP: 2}
        assert supervisor.failures == counts

    lines = run_supervised(check)
    assert sum("a fault" in line["exception"] for line in lines["task_failed"]) == 2
    assert len(lines["event_loop_error"]) == 2


def test_a_stop_that_fails_is_logged():
    """Guards against requests that are cut as the drain ended with an exception."""

    async def check(supervisor):
        assert not await StopSignal().run_until_forced(fail(), 1.0)

    assert run_supervised(check)["stop_failed"]


def test_a_listener_of_settings_that_fails_leaves_the_others_whole():
    """Guards against settings that are in force in a part of a process only."""

    async def check(supervisor):
        state, seen = SettingsState(), []
        state.add_listener(lambda tree: int("no number"))
        state.add_listener(lambda tree: seen.append(tree.revision))
        with pytest.raises(ValueError, match="no number"):
            state.apply_tree(Tree(revision=7), "platform")
        assert seen == [7]

    run_supervised(check)
