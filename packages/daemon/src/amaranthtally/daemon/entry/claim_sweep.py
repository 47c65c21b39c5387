"""Removes old claims, so that they do not accumulate in the platform."""

import asyncio
from random import Random

from result import Err

from amaranthtally.daemon.entry.claims import CLAIM_PREFIX, SHARD_DIGITS, Claim
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import KeyValueClient, KeyValueEntry, decode_entry

__all__ = ["ClaimSweeper"]

SWEEP_INTERVAL_S = 15.0
SHARDS = 16**SHARD_DIGITS

log = get_logger()


class ClaimSweeper:
    """
    Removes claims older than ``ttl`` seconds, one shard at a time.

    Callers may repeat a key within ``ttl``. Long before a claim is removed, its binding
    is invalid: a sidecar runs no call whose binding is older than the sidecar's
    records, so a delayed copy of the call cannot run either. The age of a claim is
    measured on the platform's clock only. A host whose clock is hours ahead would
    remove claims that callers still repeat, and the repeats would run a second time.
    """

    def __init__(self, platform: KeyValueClient, ttl: float, random: Random) -> None:
        self._platform = platform
        self._ttl = ttl
        self._random = random

    async def run(self) -> None:
        """Sweep a random shard at random intervals, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S * self._random.uniform(0.5, 1.5))
            await self.sweep(self._random.randrange(SHARDS))

    async def sweep(self, shard: int) -> int:
        """Remove the old claims of a shard and return their number."""
        listing = await self._platform.list(f"{CLAIM_PREFIX}{shard:0{SHARD_DIGITS}x}/")
        if isinstance(listing, Err):
            return 0
        now = self._platform.platform_time_s
        if now is None:
            return 0
        removed = 0
        for entry in listing.ok_value.entries:
            if self._is_old(entry, now) and await self._remove(entry):
                removed += 1
        if removed:
            log.info("claims_removed", shard=shard, count=removed)
        return removed

    def _is_old(self, entry: KeyValueEntry, now: float) -> bool:
        # One that cannot be read is kept: its age is not known.
        claim = decode_entry(entry, Claim)
        return claim.map(lambda c: now - c.claimed_at > self._ttl).unwrap_or(False)

    async def _remove(self, entry: KeyValueEntry) -> bool:
        # Delete only this version of the key: since the read, another sweep may have
        # removed the claim, and a caller may have claimed the key again.
        removed = await self._platform.delete(entry.key, entry.index)
        return not isinstance(removed, Err) and removed.ok_value
