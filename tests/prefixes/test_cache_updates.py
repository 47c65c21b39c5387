"""An entry's knowledge of an engine's cache is withdrawn when it may be outdated."""

import asyncio

import aiohttp

from amaranthtally.daemon.entry.cache_updates import CacheUpdateTracker
from amaranthtally.daemon.prompts import cache_salt, prefix_blocks
from amaranthtally.daemon.sidecar.engine_cache import EngineCache
from amaranthtally.daemon.sidecar.prefix_cache_index import (
    MAX_CHANGES,
    MAX_UPDATE_BLOCKS,
    EngineEvent,
    PrefixCacheIndex,
)
from amaranthtally.policy.prefixes import PrefixIndex
from amaranthtally.standins.engine import EngineStandIn
from tests.support import run_async
from tests.support.http import serve_http

NAMES = [f"name-{number}" for number in range(200)]
BLOCKS = list(range(1, 201))
TEXT = "The combine stops when the header is lowered. " * 8


class CacheUpdateLink:
    """An entry that learns of one engine's cache from the replies of its sidecar."""

    def __init__(self):
        self.cache_index = PrefixCacheIndex()
        self.cache_index.record_prompt(NAMES, BLOCKS)
        self.tracker = CacheUpdateTracker()
        self.prefixes = PrefixIndex()

    def reply(self, incarnation=1, serial=None):
        """Transfer a call with the last serial that the entry knows, and its reply."""
        if serial is None:
            serial = self.tracker.last_serial("engine")
        self.apply(self.cache_index.update_since(serial), incarnation)

    def apply(self, update, incarnation=1):
        """Apply the cache update of a reply."""
        event = self.tracker.apply("engine", incarnation, update)
        if event is not None:
            self.prefixes.apply_event(0.0, "engine", event)

    def known_blocks(self):
        """Return the blocks that the entry assumes to be in the engine's cache."""
        return [block for block in BLOCKS if self.prefixes.matches(0.0, (block,))]


def stored_events(*serials):
    return [EngineEvent(serial, True, NAMES[serial - 1]) for serial in serials]


def test_an_entry_receives_stored_and_removed_blocks():
    link = CacheUpdateLink()
    link.cache_index.apply_events("first", stored_events(1, 2, 3))
    link.reply()
    assert link.known_blocks() == [1, 2, 3]
    link.cache_index.apply_events("first", [EngineEvent(4, False, NAMES[1])])
    link.reply()
    assert link.known_blocks() == [1, 3]


def test_a_gap_in_the_events_clears_the_known_blocks():
    """
    The event that an engine removed a block can be lost. Requests with that prefix
    would continue to go to the engine, which would prefill each whole prompt while
    another engine is idle.
    """
    link = CacheUpdateLink()
    link.cache_index.apply_events("first", stored_events(1, 2))
    link.reply()
    link.cache_index.apply_events("first", stored_events(4))
    assert link.known_blocks() == [1, 2]
    link.reply()
    assert link.known_blocks() == [4]


def test_a_restart_of_the_engine_clears_the_known_blocks():
    """
    An engine that restarts has an empty cache and numbers its events from 1 again,
    while its sidecar keeps running. The next reply must clear the blocks in the entry.
    """
    link = CacheUpdateLink()
    link.cache_index.apply_events("first", stored_events(1, 2, 3))
    link.reply()
    link.cache_index.apply_events("second", [])
    link.reply()
    assert link.known_blocks() == []
    link.cache_index.apply_events("second", stored_events(1))
    link.reply()
    assert link.known_blocks() == [1]


def test_a_restart_of_the_sidecar_clears_the_known_blocks():
    """
    A sidecar that restarts numbers its updates from 0 again. An entry that compared the
    new serials with the old ones would keep the old blocks until they expire.
    """
    link = CacheUpdateLink()
    link.cache_index.apply_events("first", stored_events(1, 2, 3))
    link.reply()
    link.cache_index = PrefixCacheIndex()
    link.cache_index.record_prompt(NAMES, BLOCKS)
    link.cache_index.apply_events("first", stored_events(1))
    link.reply(incarnation=2)
    assert link.known_blocks() == [1]


def test_a_late_reply_does_not_restore_a_removed_block():
    """
    The replies of two concurrent calls may arrive out of order. The earlier reply, with
    the older update, must not add a removed block again.
    """
    link = CacheUpdateLink()
    link.cache_index.apply_events("first", stored_events(1, 2))
    earlier = link.cache_index.update_since(0)
    link.cache_index.apply_events("first", [EngineEvent(3, False, NAMES[0])])
    link.apply(link.cache_index.update_since(0))
    link.apply(earlier)
    assert link.known_blocks() == [2]


def test_an_update_is_bounded_however_much_an_entry_missed():
    """
    An entry that made no calls for long would otherwise get all changes in one reply.
    """
    link = CacheUpdateLink()
    for serial in range(1, MAX_CHANGES + 2):
        name = NAMES[(serial - 1) % len(NAMES)]
        link.cache_index.apply_events("first", [EngineEvent(serial, True, name)])
    update = link.cache_index.update_since(0)
    assert update.reset
    assert len(update.stored) + len(update.removed) <= MAX_UPDATE_BLOCKS


def test_accounts_share_no_blocks():
    """
    With shared blocks, the time to the first token would reveal to a caller that
    another account has sent the same text.
    """
    first = prefix_blocks(cache_salt("one"), TEXT, 32)
    second = prefix_blocks(cache_salt("two"), TEXT, 32)
    assert first
    assert not set(first) & set(second)
    assert prefix_blocks(cache_salt("one"), TEXT + TEXT, 32)[: len(first)] == first
    assert len(prefix_blocks(cache_salt("one"), TEXT * 50, 32)) == 32


def test_a_sidecar_detects_a_restart_of_its_engine():
    """
    A sidecar reads the events of its engine over HTTP. A second engine at the address
    of the first has another epoch, which clears the blocks of the first.
    """
    run_async(restart_engine())


async def restart_engine():
    first, second = EngineStandIn("engine"), EngineStandIn("engine")
    first.knobs.event_lag = second.knobs.event_lag = 0.0
    async with aiohttp.ClientSession() as session:
        async with serve_http(first.application(), "127.0.0.1:0", 0.1) as port:
            url = f"http://127.0.0.1:{port}"
            cache = EngineCache(session, url)
            following = asyncio.create_task(cache.follow_events())
            cache.record_prompt("one", TEXT)
            await complete(session, url, TEXT)
            await until(lambda: len(cache) == len(TEXT) // 64)
            first_epoch = cache.epoch
        async with serve_http(second.application(), f"127.0.0.1:{port}", 0.1):
            await until(lambda: cache.epoch != first_epoch)
            assert len(cache) == 0
            assert cache.update_since(cache.update_since(0).serial - 1).reset
        following.cancel()


async def complete(session, url, text):
    body = {"prompt": text, "cache_salt": cache_salt("one")}
    async with session.post(url + "/v1/completions", json=body) as response:
        assert response.status == 200


async def until(condition):
    while not condition():
        await asyncio.sleep(0.02)
