"""
Claims: the bindings of keys that callers choose, stored in the platform.

If several entries claim a key at once, the compare-and-swap that creates the claim
decides which one succeeds.
"""

import asyncio
import random
import secrets
from dataclasses import dataclass
from hashlib import sha256

import msgspec
from result import Err, Ok, Result

from amaranthtally.daemon.entry.outage import OutageDetector
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import (
    KeyValueClient,
    PlatformError,
    PlatformUnavailable,
    decode_entry,
)
from amaranthtally.policy.at_most_once import Binding

__all__ = [
    "CLAIM_PREFIX",
    "SHARD_DIGITS",
    "Claim",
    "ClaimResult",
    "ClaimStore",
    "claim_path",
]

CLAIM_PREFIX = "claims/"
SHARD_DIGITS = 3
ID_BYTES = 8
CLAIM_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 3
INITIAL_PAUSE_S = 0.1
MAX_PAUSE_S = 0.5

log = get_logger()


class Claim(msgspec.Struct, frozen=True):
    """
    The bindings of a key.

    ``claimed_at`` is used only to remove old claims, and is in seconds since the epoch
    on the platform's clock.
    """

    id: str
    fingerprint: str
    bindings: list[Binding]
    claimed_at: float


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The stored claim; ``is_new`` if this request created it."""

    claim: Claim
    is_new: bool


class ClaimStore:
    """Creates claims: one write for a new key, a write and a read for a repeat."""

    def __init__(self, platform: KeyValueClient) -> None:
        self._platform = platform
        self._outage = OutageDetector()
        self._loop = asyncio.get_running_loop()

    async def claim(
        self,
        path: str,
        fingerprint: str,
        bindings: list[Binding],
        max_wait_s: float = 0.0,
    ) -> Result[ClaimResult, PlatformError]:
        """
        Claim a key, or return the existing claim.

        If the platform fails, the call is retried for up to ``max_wait_s`` seconds, but
        not during a long outage.
        """
        if self._outage.is_long(self._loop.time()):
            max_wait_s = 0.0
        limit_s = max(CLAIM_TIMEOUT_S, max_wait_s)
        try:
            async with asyncio.timeout(limit_s):
                return await self._claim_with_retries(
                    path, fingerprint, bindings, max_wait_s
                )
        except TimeoutError:
            self._outage.note_failure(self._loop.time())
            return Err(PlatformUnavailable(f"no response in {limit_s} s"))

    async def _claim_with_retries(
        self, path: str, fingerprint: str, bindings: list[Binding], max_wait_s: float
    ) -> Result[ClaimResult, PlatformError]:
        claim_id = secrets.token_hex(ID_BYTES)
        retry_until = self._loop.time() + max_wait_s
        pause = INITIAL_PAUSE_S
        while True:
            result = await self._claim_once(path, claim_id, fingerprint, bindings)
            now = self._loop.time()
            if isinstance(result, Ok):
                self._outage.note_success()
                return result
            self._outage.note_failure(now)
            if now + pause > retry_until:
                return result
            log.info("claim_put_off", cause=str(result.err_value))
            # The random pause spreads the writes of all waiting requests when the
            # platform is available again.
            await asyncio.sleep(pause * random.uniform(0.5, 1.0))
            pause = min(2 * pause, MAX_PAUSE_S)

    async def _claim_once(
        self, path: str, claim_id: str, fingerprint: str, bindings: list[Binding]
    ) -> Result[ClaimResult, PlatformError]:
        # Use the platform's clock. A claim with the time of a host whose clock is slow
        # would be removed while its caller still repeats the key, and the repeat would
        # run the request a second time.
        claimed_at = self._platform.platform_time_s
        if claimed_at is None:
            read = await self._read(path)
            if isinstance(read, Err):
                return read
            claimed_at = self._platform.platform_time_s
        if claimed_at is None:
            return Err(
                PlatformUnavailable("the platform's responses have no Date header")
            )
        new_claim = Claim(claim_id, fingerprint, bindings, round(claimed_at))
        result: Result[ClaimResult, PlatformError] = Err(
            PlatformUnavailable("not tried")
        )
        for _ in range(MAX_ATTEMPTS):
            written = await self._platform.compare_and_swap(
                path, msgspec.json.encode(new_claim), 0
            )
            if isinstance(written, Ok) and written.ok_value:
                return Ok(ClaimResult(new_claim, is_new=True))
            if isinstance(written, Err) and isinstance(
                written.err_value, PlatformUnavailable
            ):
                return written
            # Either the key exists, or the response was lost and the write may have
            # taken effect. Reading the key back shows which claim is stored. If there
            # is none, repeating the same write is safe, even if its first copy arrives
            # late.
            read = await self._read(path)
            if isinstance(read, Err):
                return read
            if read.ok_value is not None:
                stored = read.ok_value
                return Ok(ClaimResult(stored, is_new=stored.id == new_claim.id))
            result = Err(PlatformUnavailable("the responses to the claim were lost"))
        return result

    async def _read(self, path: str) -> Result[Claim | None, PlatformError]:
        read = await self._platform.get(path)
        if isinstance(read, Err):
            return read
        if read.ok_value is None:
            return Ok(None)
        return decode_entry(read.ok_value, Claim)


def claim_path(account: str, pipeline: str, key: str) -> str:
    """Return the path of a key's claim; it has a digest instead of the key itself."""
    text = "\0".join((account, pipeline, key))
    digest = sha256(text.encode()).hexdigest()
    return f"{CLAIM_PREFIX}{digest[:SHARD_DIGITS]}/{digest}"
