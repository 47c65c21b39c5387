"""Reads what the other gateways have learned of endpoints, once after the start."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from random import Random
from typing import Any

from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire import PeerLostError

__all__ = ["NoticeReader", "ReadNotices"]

# Number of peers that are asked at a time.
FANOUT = 3
# Interval between looks for peers that answer, in seconds.
RETRY_INTERVAL_S = 0.1

log = get_logger()

# Reads all notices of one kind from a peer, takes them, and returns their number.
ReadNotices = Callable[[str], Coroutine[Any, Any, int]]


class NoticeReader:
    """
    Reads notices from the first peers that are known.

    A gateway that is killed and starts again within its lease is no new peer to the
    others, which would tell it only as they repeat what they know. Until then it would
    send requests that all others keep back.
    """

    def __init__(
        self,
        peers: Callable[[], Sequence[str]],
        readers: Sequence[ReadNotices],
        random: Random,
    ) -> None:
        self._peers = peers
        self._readers = readers
        self._random = random

    async def run(self) -> None:
        """Ask peers until one has answered."""
        while True:
            names = self._peers()
            asked = self._random.sample(names, min(FANOUT, len(names)))
            if any(await asyncio.gather(*(self._read(peer) for peer in asked))):
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _read(self, peer: str) -> bool:
        try:
            counts = await asyncio.gather(*(read(peer) for read in self._readers))
        except PeerLostError as error:
            log.info("notices_not_read", peer=peer, cause=str(error))
            return False
        log.info("notices_read", peer=peer, notices=sum(counts))
        return True
