"""What is claimed of an engine's cache ends when it may no longer be true."""

import asyncio

import aiohttp

from amaranthtally.daemon.entry.cache_news import CacheFollower
from amaranthtally.daemon.lifecycle import serve_http
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

NAMES = [f"name-{number}" for number in range(200)]
BLOCKS = list(range(1, 201))
TEXT = "The combine stops when the header is lowered. " * 8


class Link:
    """An entry that hears of one engine's cache through replies."""

    def __init__(self):
        self.digest = PrefixCacheIndex()
        self.digest.record_prompt(NAMES, BLOCKS)
        self.follower = CacheFollower()
        self.index = PrefixIndex()

    def reply(self, incarnation=1, heard=None):
        """Let a call and its reply pass; ``heard`` was sent with the call."""
        if heard is None:
            heard = self.follower.heard("engine")
        self.take(self.digest.update_since(heard), incarnation)

    def take(self, news, incarnation=1):
        event = self.follower.take("engine", incarnation, news)
        if event is not None:
            self.index.apply_event(0.0, "engine", event)

    def believed(self):
        """Return the blocks that the entry takes the engine to hold."""
        return [block for block in BLOCKS if self.index.matches(0.0, (block,))]


def stored(*serials):
    return [EngineEvent(serial, True, NAMES[serial - 1]) for serial in serials]


def test_an_entry_hears_of_blocks_stored_and_removed():
    link = Link()
    link.digest.apply_events("first", stored(1, 2, 3))
    link.reply()
    assert link.believed() == [1, 2, 3]
    link.digest.apply_events("first", [EngineEvent(4, False, NAMES[1])])
    link.reply()
    assert link.believed() == [1, 3]


def test_a_gap_in_the_events_clears_what_was_claimed():
    """
    An engine removed a block and the event was lost. Requests with that prefix
    would go on to it, each paying the whole prompt, while an idle engine waits.
    """
    link = Link()
    link.digest.apply_events("first", stored(1, 2))
    link.reply()
    link.digest.apply_events("first", stored(4))
    assert link.believed() == [1, 2]
    link.reply()
    assert link.believed() == [4]


def test_a_restarted_engine_is_not_believed_to_hold_anything():
    """
    An engine dies and comes back empty, its serials from 1 on, while its sidecar
    lives: the next reply must take back what entries believe.
    """
    link = Link()
    link.digest.apply_events("first", stored(1, 2, 3))
    link.reply()
    link.digest.apply_events("second", [])
    link.reply()
    assert link.believed() == []
    link.digest.apply_events("second", stored(1))
    link.reply()
    assert link.believed() == [1]


def test_a_restarted_sidecar_takes_its_claims_back():
    """
    A sidecar restarts and counts its news from 0. An entry that compared the new
    serials with the old ones would keep the old claims until they expire.
    """
    link = Link()
    link.digest.apply_events("first", stored(1, 2, 3))
    link.reply()
    link.digest = PrefixCacheIndex()
    link.digest.record_prompt(NAMES, BLOCKS)
    link.digest.apply_events("first", stored(1))
    link.reply(incarnation=2)
    assert link.believed() == [1]


def test_replies_that_overtake_each_other_change_nothing_back():
    """
    Two calls run at once. The later reply comes first: the earlier one, with older
    news, must not bring a removed block back.
    """
    link = Link()
    link.digest.apply_events("first", stored(1, 2))
    early = link.digest.update_since(0)
    link.digest.apply_events("first", [EngineEvent(3, False, NAMES[0])])
    link.take(link.digest.update_since(0))
    link.take(early)
    assert link.believed() == [2]


def test_news_is_bounded_whatever_an_entry_missed():
    """
    An entry that was away for long would otherwise be sent all of it in a reply.
    """
    link = Link()
    for serial in range(1, MAX_CHANGES + 2):
        name = NAMES[(serial - 1) % len(NAMES)]
        link.digest.apply_events("first", [EngineEvent(serial, True, name)])
    news = link.digest.update_since(0)
    assert news.reset
    assert len(news.stored) + len(news.removed) <= MAX_UPDATE_BLOCKS


def test_the_blocks_of_two_accounts_are_never_the_same():
    """
    With shared blocks a caller would learn from the time to the first token that
    another account has sent the same text.
    """
    one = prefix_blocks(cache_salt("one"), TEXT, 32)
    two = prefix_blocks(cache_salt("two"), TEXT, 32)
    assert one
    assert not set(one) & set(two)
    assert prefix_blocks(cache_salt("one"), TEXT + TEXT, 32)[: len(one)] == one
    assert len(prefix_blocks(cache_salt("one"), TEXT * 50, 32)) == 32


def test_a_sidecar_follows_its_engine_through_a_restart():
    """
    As above, over the engine's HTTP form: the first engine's blocks are claimed,
    the second one at the same address says by its epoch that it is another.
    """
    run_async(follow_through_a_restart())


async def follow_through_a_restart():
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
            known = cache.epoch
        async with serve_http(second.application(), f"127.0.0.1:{port}", 0.1):
            await until(lambda: cache.epoch != known)
            assert len(cache) == 0
            assert cache.update_since(cache.update_since(0).serial - 1).reset
        following.cancel()


async def complete(session, url, text):
    body = {"prompt": text, "cache_salt": cache_salt("one")}
    async with session.post(url + "/v1/completions", json=body) as response:
        assert response.status == 200


async def until(holds):
    while not holds():
        await asyncio.sleep(0.02)
