"""SIGHUP before, during and after the time in which a process can reload."""

import asyncio
import os
import signal

import pytest

from amaranthtally.daemon.lifecycle import ReloadSignal
from tests.support import run_async


@pytest.fixture
def reload_signal():
    before = signal.getsignal(signal.SIGHUP)
    yield ReloadSignal()
    signal.signal(signal.SIGHUP, before)


def send_sighup():
    os.kill(os.getpid(), signal.SIGHUP)


def test_sighup_during_start_is_delivered_later(reload_signal):
    """Guards against losing a reload requested while the process was starting."""

    async def check():
        done = asyncio.Event()
        send_sighup()
        with reload_signal.handled_by(done.set):
            async with asyncio.timeout(2.0):
                await done.wait()

    run_async(check())


def test_each_sighup_wakes_the_sleeping_loop(reload_signal):
    async def check():
        done = []
        with reload_signal.handled_by(lambda: done.append(1)):
            for number in range(1, 4):
                send_sighup()
                async with asyncio.timeout(2.0):
                    while len(done) < number:
                        await asyncio.sleep(0.01)

    run_async(check())


def test_sighup_during_shutdown_is_ignored(reload_signal):
    async def check():
        done = []
        with reload_signal.handled_by(lambda: done.append(1)):
            pass
        send_sighup()
        await asyncio.sleep(0.05)
        assert not done

    run_async(check())
    send_sighup()
