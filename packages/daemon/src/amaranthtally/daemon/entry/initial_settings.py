"""Loads the settings of an entry that starts while the platform is down."""

import asyncio

from amaranthtally.daemon.entry.log_follower import LogFollower
from amaranthtally.daemon.lifecycle import split_address
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.wire import SettingsDelta, WireError, connect_sidecar

__all__ = ["load_from_peers"]

RETRY_PAUSE_S = 0.5

log = get_logger()


async def load_from_peers(
    peers: list[str], state: SettingsState, follower: LogFollower, timeout: float
) -> None:
    """
    Fetch the settings from sidecars until settings are loaded from any source.

    ``peers`` are the sidecars' addresses; ``timeout`` is the time limit for each of
    them, in seconds. The entry fetches from all of them and uses the highest revision
    before it reports that it is ready. If it used the first reply, its settings could
    be older than those before its restart, and a change would seem to be reverted.
    """
    await follower.first_read_done.wait()
    while not state.loaded.is_set():
        deltas = await asyncio.gather(
            *(_fetch_settings(peer, timeout) for peer in peers)
        )
        newest = max(deltas, key=lambda delta: delta.revision, default=SettingsDelta(0))
        if newest.revision > 0:
            state.apply_delta(newest, "peer")
            state.loaded.set()
            log.info("settings_from_peers", revision=state.revision, asked=len(peers))
            return
        await asyncio.sleep(RETRY_PAUSE_S)


async def _fetch_settings(peer: str, timeout: float) -> SettingsDelta:
    host, port = split_address(peer)
    try:
        client = await connect_sidecar(host, port, timeout)
    except WireError:
        return SettingsDelta(0)
    try:
        async with asyncio.timeout(timeout):
            return await client.changes_since(0)
    except (WireError, TimeoutError):
        return SettingsDelta(0)
    finally:
        client.close()
