"""Settings of an entry that starts while the platform is down: its peers' newest."""

import asyncio

from amaranthtally.daemon.entry.log_follower import LogFollower
from amaranthtally.daemon.lifecycle import split_address
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.wire import SettingsDelta, WireError, connect_sidecar

__all__ = ["load_from_peers"]

PAUSE_S = 0.5

log = get_logger()


async def load_from_peers(
    peers: list[str], state: SettingsState, follower: LogFollower, timeout: float
) -> None:
    """
    Ask all ``peers``, sidecar addresses, until settings are read from anywhere.

    An entry that took the first answer could serve by settings older than those
    it served by before: its callers would see a change go back. All are asked, and
    the highest revision counts, before the entry says that it is ready.
    ``timeout`` bounds each peer's answer, in seconds.
    """
    await follower.tried.wait()
    while not state.loaded.is_set():
        gaps = await asyncio.gather(*(_ask(peer, timeout) for peer in peers))
        newest = max(gaps, key=lambda gap: gap.revision, default=SettingsDelta(0))
        if newest.revision > 0:
            state.apply_delta(newest, "peer")
            state.loaded.set()
            log.info("settings_from_peers", revision=state.revision, asked=len(peers))
            return
        await asyncio.sleep(PAUSE_S)


async def _ask(peer: str, timeout: float) -> SettingsDelta:
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
