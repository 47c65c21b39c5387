"""Follows the cache events of a model engine, for routing by cached prefixes."""

import asyncio
from hashlib import sha256

import aiohttp
import msgspec

from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.prompts import cache_salt, prefix_blocks
from amaranthtally.daemon.sidecar.prefix_cache_index import (
    EngineEvent,
    PrefixCacheIndex,
)
from amaranthtally.wire import CacheUpdate

__all__ = ["EngineCache"]

ENGINE_BLOCK_CHARS = 64
NAME_CHARS = 16
MOST_BLOCKS = 64
WAIT_S = 20.0
READ_MARGIN_S = 5.0
PAUSE_S = 0.1
RETRY_S = 1.0

log = get_logger()


class _Event(msgspec.Struct):
    serial: int
    kind: str
    block: str


class _Events(msgspec.Struct):
    epoch: str
    events: list[_Event]


class EngineCache:
    """One engine's prefix cache as its events tell it, late and with gaps."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url
        self._digest = PrefixCacheIndex()

    def __len__(self) -> int:
        return len(self._digest)

    @property
    def epoch(self) -> str:
        """The engine's start that is known; empty before its first events."""
        return self._digest.epoch

    def record_prompt(self, account: str, text: str) -> None:
        """Note an input that is sent to the engine for an account."""
        salt = cache_salt(account)
        blocks = prefix_blocks(salt, text, MOST_BLOCKS)
        self._digest.record_prompt(_engine_names(salt, text, len(blocks)), blocks)

    def update_since(self, after: int) -> CacheUpdate:
        """Return what an entry lacks that was told everything up to a serial."""
        return self._digest.update_since(after)

    async def follow_events(self) -> None:
        """Take events until cancelled; an engine that has none is asked seldom."""
        while True:
            try:
                await self._read()
                # Events come one by one under load; a pause takes them together.
                await asyncio.sleep(PAUSE_S)
            except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
                log.debug("cache_events_unread", cause=type(error).__name__)
                await asyncio.sleep(RETRY_S)

    async def _read(self) -> None:
        query = {
            "after": str(self._digest.last_event),
            "epoch": self._digest.epoch,
            "wait": str(WAIT_S),
        }
        async with self._session.get(
            f"{self._url}/v1/cache/events",
            params=query,
            timeout=aiohttp.ClientTimeout(total=WAIT_S + READ_MARGIN_S),
        ) as response:
            response.raise_for_status()
            found = msgspec.json.decode(await response.read(), type=_Events)
        events = [
            EngineEvent(e.serial, e.kind == "stored", e.block) for e in found.events
        ]
        self._digest.apply_events(found.epoch, events)


def _engine_names(salt: str, text: str, count: int) -> list[str]:
    """
    Return the names that the engine's events give a prompt's first blocks.

    An engine names a block by the digest of its salt and all text up to its end.
    """
    state = sha256(salt.encode())
    names = []
    for index in range(count):
        start = index * ENGINE_BLOCK_CHARS
        state.update(text[start : start + ENGINE_BLOCK_CHARS].encode(errors="replace"))
        names.append(state.hexdigest()[:NAME_CHARS])
    return names
