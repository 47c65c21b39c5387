"""Asks all other gateways whether they know anything newer than what is held."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any

from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.gateway.shared_check import SharedCheck
from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["PeerConfirmation"]

# Time for the answers of all peers, in seconds: ten round trips to another region.
ANSWER_TIMEOUT_S = 0.4
# Interval between rounds, in seconds. A round calls every peer.
ROUND_INTERVAL_S = 0.2

log = get_logger()


class PeerConfirmation:
    """
    Confirms, while the store is away, that no other gateway knows newer records.

    A gateway learns of endpoints only up to the revision that it names, and begins
    streams at these only. Once all have named theirs and what they have up to it was
    read, their streams began at versions that are known here.
    """

    def __init__(
        self,
        connections: PeerConnections,
        peers: Callable[[], Iterable[str]],
        versions: Callable[[], Versions],
        read_missing: Callable[[str, Versions], Awaitable[bool]],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        """Create it; ``read_missing`` returns whether all that a peer has is known."""
        self._connections = connections
        self._peers = peers
        self._versions = versions
        self._read_missing = read_missing
        self._check = SharedCheck(self._ask_all, ROUND_INTERVAL_S, spawn)

    async def confirm(self, within_s: float) -> bool:
        """Return whether all peers answered and what they know is known here."""
        return await self._check.run(within_s)

    async def _ask_all(self) -> bool:
        peers = tuple(self._peers())
        calls = [asyncio.create_task(self._ask(peer)) for peer in peers]
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                # One that is alone cannot tell whether it is cut off.
                return bool(calls) and all(await asyncio.gather(*calls))
        except TimeoutError:
            return False
        finally:
            for call in calls:
                call.cancel()

    async def _ask(self, peer: str) -> bool:
        try:
            status = await self._connections.exchange_status(peer, self._versions())
        except PeerLostError as error:
            log.info("peer_not_asked", peer=peer, cause=str(error))
            return False
        # One without records has just started and says nothing of the time before.
        if not status.versions.records:
            return False
        return await self._read_missing(peer, status.versions)
