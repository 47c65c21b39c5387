"""Limit on concurrent settings fetches from peers."""

import asyncio

from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.daemon.settings_sync import SIDECAR_LINKS, SettingsSync
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.wire import SettingsDelta
from tests.support import run_async


def test_slow_fetches_do_not_accumulate():
    """Guards against concurrent copies of all settings that saturate a slow link."""

    async def check():
        concurrent = []
        running = 0

        async def fetch(revision):
            nonlocal running
            running += 1
            concurrent.append(running)
            await asyncio.sleep(10.0)
            return SettingsDelta(0, (), b"")

        sync = SettingsSync("one", SettingsState(), SIDECAR_LINKS, Supervisor())
        for revision in range(1, 25):
            sync.note_revision(revision, fetch)
            await asyncio.sleep(0.1)
        await sync.close()
        # One fetch, and a second one started because the first hangs.
        assert max(concurrent) == 2

    run_async(check())
