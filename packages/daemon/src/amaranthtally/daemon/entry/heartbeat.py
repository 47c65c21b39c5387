"""Detects a sidecar that no longer responds on an open connection."""

import asyncio
from collections.abc import Callable

from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire import Load, PeerLostError, SidecarClient

__all__ = ["watch_heartbeat"]

POLL_INTERVAL_S = 0.5
RESPONSE_TIMEOUT_S = 1.0

log = get_logger()


async def watch_heartbeat(
    endpoint: str, client: SidecarClient, on_load: Callable[[str, Load], None]
) -> None:
    """
    Close the connection if its sidecar stops responding; return once it is closed.

    A frozen process, or a link that silently drops packets, keeps the connection
    open. Calls on it would wait until their deadline, with no time left to run them
    elsewhere; closing the connection ends them at once as lost. Only connections with
    calls in flight are polled, so idle ones cost nothing.
    """
    while True:
        await asyncio.sleep(POLL_INTERVAL_S)
        if not client.pending_calls:
            continue
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                load = await client.load()
        except PeerLostError:
            return
        except TimeoutError:
            log.warning(
                "sidecar_silent",
                endpoint=endpoint,
                address=client.peer,
                calls=client.pending_calls,
            )
            client.close()
            return
        on_load(endpoint, load)
