"""Removes claims that are too old, so that they do not pile up in the platform."""

import asyncio
from random import Random

import msgspec
from result import Err

from amaranthtally.daemon.entry.claims import CLAIM_PREFIX, SHARD_DIGITS, Claim
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import KeyValueClient, KeyValueEntry

__all__ = ["ClaimSweeper"]

SWEEP_INTERVAL_S = 15.0
SHARDS = 16**SHARD_DIGITS

log = get_logger()


class ClaimSweeper:
    """
    Reads one shard of the claims at a time and removes the old ones.

    A binding is dead long before its claim is removed: the sidecar takes none
    that is older than its records. A copy that is still on its way can't run, and
    ``ttl`` is the time within which callers may repeat a key of their own. Ages are
    by the platform's clock alone: a host whose clock runs hours ahead would remove
    claims whose callers still repeat them, and the repeats would run again.
    """

    def __init__(self, platform: KeyValueClient, ttl: float, random: Random) -> None:
        self._platform = platform
        self._ttl = ttl
        self._random = random

    async def run(self) -> None:
        """Sweep for as long as the process lives."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S * self._random.uniform(0.5, 1.5))
            await self.sweep(self._random.randrange(SHARDS))

    async def sweep(self, shard: int) -> int:
        """Remove a shard's old claims and return how many."""
        listing = await self._platform.list(f"{CLAIM_PREFIX}{shard:0{SHARD_DIGITS}x}/")
        if isinstance(listing, Err):
            return 0
        now = self._platform.platform_time_s
        if now is None:
            return 0
        removed = 0
        for entry in listing.ok_value.entries:
            if self._old(entry, now) and await self._remove(entry):
                removed += 1
        if removed:
            log.info("claims_removed", shard=shard, count=removed)
        return removed

    def _old(self, entry: KeyValueEntry, now: float) -> bool:
        claim = msgspec.json.decode(entry.value, type=Claim)
        return now - claim.claimed_at > self._ttl

    async def _remove(self, entry: KeyValueEntry) -> bool:
        # By its index: between the read and the removal another sweep may have
        # removed it and a caller claimed the key anew.
        removed = await self._platform.delete(entry.key, entry.index)
        return not isinstance(removed, Err) and removed.ok_value
