"""Follows the prefix cache events of a model engine, for cache-aware routing."""

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
from amaranthtally.decoding import DecodeError, decode_json, unwrap_decoded
from amaranthtally.platform import read_body
from amaranthtally.wire import CacheUpdate

__all__ = ["EngineCache"]

ENGINE_BLOCK_CHARS = 64
BLOCK_NAME_CHARS = 16
MAX_BLOCKS = 64
LONG_POLL_S = 20.0
READ_MARGIN_S = 5.0
POLL_PAUSE_S = 0.1
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
    """The known content of an engine's prefix cache; events may be late or missing."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url
        self._index = PrefixCacheIndex()

    def __len__(self) -> int:
        return len(self._index)

    @property
    def epoch(self) -> str:
        """The id of the engine's last known start; empty before the first events."""
        return self._index.epoch

    def record_prompt(self, account: str, text: str) -> None:
        """Record an input that is sent to the engine for an account."""
        salt = cache_salt(account)
        blocks = prefix_blocks(salt, text, MAX_BLOCKS)
        self._index.record_prompt(_engine_block_names(salt, text, len(blocks)), blocks)

    def update_since(self, serial: int) -> CacheUpdate:
        """Return the changes since the serial of an entry's last update."""
        return self._index.update_since(serial)

    def clear(self) -> None:
        """Forget the engine's events, so that all are read again."""
        self._index.reset()

    async def follow_events(self) -> None:
        """Read events by long polling until cancelled."""
        while True:
            try:
                await self._read_events()
                # Under load each poll would return a single event; the pause lets
                # several accumulate.
                await asyncio.sleep(POLL_PAUSE_S)
            except (aiohttp.ClientError, TimeoutError, DecodeError) as error:
                log.debug("cache_events_unread", cause=type(error).__name__)
                await asyncio.sleep(RETRY_S)

    async def _read_events(self) -> None:
        query = {
            "after": str(self._index.last_event),
            "epoch": self._index.epoch,
            "wait": str(LONG_POLL_S),
        }
        async with self._session.get(
            f"{self._url}/v1/cache/events",
            params=query,
            timeout=aiohttp.ClientTimeout(total=LONG_POLL_S + READ_MARGIN_S),
        ) as response:
            response.raise_for_status()
            batch = unwrap_decoded(decode_json(await read_body(response), _Events))
        events = [
            EngineEvent(e.serial, e.kind == "stored", e.block) for e in batch.events
        ]
        self._index.apply_events(batch.epoch, events)


def _engine_block_names(salt: str, text: str, count: int) -> list[str]:
    """
    Return the names that the engine uses in its events for a prompt's first blocks.

    A block's name is a digest of the salt and of all text up to the end of the block.
    """
    state = sha256(salt.encode())
    names = []
    for index in range(count):
        start = index * ENGINE_BLOCK_CHARS
        state.update(text[start : start + ENGINE_BLOCK_CHARS].encode(errors="replace"))
        names.append(state.hexdigest()[:BLOCK_NAME_CHARS])
    return names
