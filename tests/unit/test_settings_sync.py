"""Fetches of settings from peers: how many at once."""

import asyncio

from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.daemon.settings_sync import SIDECAR_LINKS, SettingsSync
from amaranthtally.wire import SettingsDelta
from tests.support import run_async


def test_slow_fetches_do_not_pile_up():
    """Guards against copies of all settings that fill a thin link together."""

    async def check():
        at_once = []
        running = 0

        async def fetch(revision):
            nonlocal running
            running += 1
            at_once.append(running)
            await asyncio.sleep(10.0)
            return SettingsDelta(0, (), b"")

        sync = SettingsSync("one", SettingsState(), SIDECAR_LINKS)
        for revision in range(1, 25):
            sync.note_revision(revision, fetch)
            await asyncio.sleep(0.1)
        await sync.close()
        # A second one beside the first, whose peer may be paused.
        assert max(at_once) == 2

    run_async(check())
