"""SIGHUP before a process can take it, while it does, and after."""

import asyncio
import os
import signal

import pytest

from amaranthtally.daemon.lifecycle import ReloadSignal
from tests.support import run_async


@pytest.fixture
def reloads():
    before = signal.getsignal(signal.SIGHUP)
    yield ReloadSignal()
    signal.signal(signal.SIGHUP, before)


def send():
    os.kill(os.getpid(), signal.SIGHUP)


def test_a_reload_that_came_while_the_process_started_is_done(reloads):
    """Guards against settings that changed during a start and are never read."""

    async def check():
        done = asyncio.Event()
        send()
        with reloads.handled_by(done.set):
            async with asyncio.timeout(2.0):
                await done.wait()

    run_async(check())


def test_each_reload_is_done_while_the_loop_sleeps(reloads):
    async def check():
        done = []
        with reloads.handled_by(lambda: done.append(1)):
            for number in range(1, 4):
                send()
                async with asyncio.timeout(2.0):
                    while len(done) < number:
                        await asyncio.sleep(0.01)

    run_async(check())


def test_a_reload_that_comes_at_the_end_is_no_crash(reloads):
    async def check():
        done = []
        with reloads.handled_by(lambda: done.append(1)):
            pass
        send()
        await asyncio.sleep(0.05)
        assert not done

    run_async(check())
    send()
