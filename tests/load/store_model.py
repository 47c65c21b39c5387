"""The store and its client without network, with faults for single gateways."""

import asyncio
from collections import Counter
from contextlib import suppress

import msgspec
from result import Err, Ok

from amaranthtally.adapter.store import StoreEvents, StoreItem
from amaranthtally.platform import PlatformOutcomeUnknown, PlatformUnavailable
from amaranthtally.platform.errors import PlatformHistoryCompacted

STORE_S = 0.004
NO_ANSWER_S = 1.5
WATCH_MARGIN_S = 1.0
# Price of a lease's renewal, in calls.
RENEWAL_PRICE = 0.1


class StoreModel:
    """
    The store, with faults for single gateways.

    ``rejected`` gateways get errors, ``cut`` ones no answers, and the watches of
    ``silent`` ones deliver no events. ``faulty`` ones raise an exception at each
    answer with events.
    """

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.compacted_at = 0
        self.leases = {}
        self.calls = Counter()
        # Calls that read the state, by gateway.
        self.readers = Counter()
        self.rejected = set()
        self.cut = set()
        self.silent = set()
        self.faulty = set()
        self.is_down = False
        self._changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        raw = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.items[key] = StoreItem(key, raw, self.revision, lease)
        self._record(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record(StoreItem(key, None, self.revision))

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.remove(key)

    def compact_history(self):
        self.history.clear()
        self.compacted_at = self.revision

    def price(self):
        """Return the price of all calls so far, in calls."""
        renewals = self.calls["renew_lease"]
        return sum(self.calls.values()) - renewals * (1.0 - RENEWAL_PRICE)

    async def expire_leases(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.1)
            for lease in [k for k, end in self.leases.items() if end <= loop.time()]:
                self.end_lease(lease)

    async def wait_for_change(self, seconds):
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._changed.wait()

    def _record(self, item):
        self.history.append(item)
        self._changed.set()
        self._changed = asyncio.Event()


class StoreModelClient:
    """The store's client of one gateway."""

    is_receiving = False

    def __init__(self, store, name):
        self._store = store
        self._name = name

    async def list(self, prefix):
        self._raise_fault()
        return await self._call("list", self._list)

    async def watch(self, prefix, after, wait_s):
        store = self._store
        failure = await self._begin("watch")
        if failure is not None:
            return failure
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while True:
            if self._name in store.silent or self._name in store.cut or store.is_down:
                await asyncio.sleep(max(0.0, end - loop.time()) + WATCH_MARGIN_S)
                return Err(PlatformOutcomeUnknown("TimeoutError"))
            if after < store.compacted_at:
                return Err(PlatformHistoryCompacted())
            events = tuple(item for item in store.history if item.revision > after)
            if events:
                self._raise_fault()
            if events or loop.time() >= end:
                return Ok(StoreEvents(events, store.revision))
            await store.wait_for_change(end - loop.time())

    def _raise_fault(self):
        if self._name in self._store.faulty:
            raise ValueError("an answer that cannot be handled")

    async def get(self, key):
        return await self._call("get", lambda: self._store.items.get(key))

    async def transact(self, conditions, writes, removed=()):
        def apply():
            for condition in conditions:
                item = self._store.items.get(condition.key)
                if (item.revision if item else 0) != condition.revision:
                    return None
            for write in writes:
                self._store.put(write.key, write.value, write.lease)
            return self._store.revision

        return await self._call("transact", apply)

    async def grant_lease(self, ttl_s):
        def grant():
            lease = max(self._store.leases, default=0) + 1
            self._store.leases[lease] = self._end(ttl_s)
            return lease

        return await self._call("grant_lease", grant)

    async def renew_lease(self, lease):
        def renew():
            if lease not in self._store.leases:
                return False
            self._store.leases[lease] = self._end(6.0)
            return True

        return await self._call("renew_lease", renew)

    async def end_lease(self, lease):
        return await self._call("end_lease", lambda: self._store.end_lease(lease))

    def _list(self):
        return StoreEvents(tuple(self._store.items.values()), self._store.revision)

    def _end(self, ttl_s):
        return asyncio.get_running_loop().time() + ttl_s

    async def _begin(self, name):
        self._store.calls[name] += 1
        self._store.readers[self._name] += name in ("list", "watch")
        if self._store.is_down or self._name in self._store.cut:
            await asyncio.sleep(NO_ANSWER_S)
            return Err(PlatformOutcomeUnknown("TimeoutError"))
        await asyncio.sleep(STORE_S)
        if self._name in self._store.rejected:
            return Err(PlatformUnavailable("status 503"))
        return None

    async def _call(self, name, answer):
        failure = await self._begin(name)
        return Ok(answer()) if failure is None else failure
