"""Finds a sidecar that stands still behind an open connection."""

import asyncio
from collections.abc import Callable

from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire import Load, PeerLostError, SidecarClient

__all__ = ["watch_heartbeat"]

INTERVAL_S = 0.5
ANSWER_TIMEOUT_S = 1.0

log = get_logger()


async def watch_heartbeat(
    endpoint: str, client: SidecarClient, on_load: Callable[[str, Load], None]
) -> None:
    """
    Close the connection when its sidecar no longer answers; return at its end.

    A frozen process, or a link that drops packets without a word, keeps the
    connection open: calls on it would wait until their deadline, with no time left
    to run them elsewhere. Closing ends them at once as lost. Only a connection
    with calls in flight is asked, so idle ones cost nothing.
    """
    while True:
        await asyncio.sleep(INTERVAL_S)
        if not client.pending_calls:
            continue
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
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
