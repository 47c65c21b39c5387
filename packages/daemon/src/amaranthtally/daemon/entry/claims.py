"""
Claims: bindings of callers' own keys, kept in the platform.

The compare-and-swap that creates a claim is the one arbiter between entries.
"""

import asyncio
import random
import secrets
from dataclasses import dataclass
from hashlib import sha256

import msgspec
from result import Err, Ok, Result

from amaranthtally.daemon.entry.outage import OutageWatch
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import KeyValueClient, PlatformError, PlatformUnavailable
from amaranthtally.policy.at_most_once import Binding

__all__ = [
    "CLAIM_PREFIX",
    "SHARD_DIGITS",
    "Claim",
    "Claims",
    "FoundClaim",
    "claim_path",
]

CLAIM_PREFIX = "claims/"
SHARD_DIGITS = 3
ID_BYTES = 8
CLAIM_TIMEOUT_S = 1.0
TRIES = 3
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5

log = get_logger()


class Claim(msgspec.Struct, frozen=True):
    """
    A key's binding; ``claimed_at`` is for removal only.

    It is in seconds since the epoch by the platform's clock.
    """

    id: str
    fingerprint: str
    bindings: list[Binding]
    claimed_at: float


@dataclass(frozen=True, slots=True)
class FoundClaim:
    """The claim that holds; ``fresh`` where this very request made it."""

    claim: Claim
    fresh: bool


class Claims:
    """Makes claims; one write for a new key, a write and a read for a repeat."""

    def __init__(self, platform: KeyValueClient) -> None:
        self._platform = platform
        self._outage = OutageWatch()
        self._loop = asyncio.get_running_loop()

    async def claim(
        self,
        path: str,
        fingerprint: str,
        bindings: list[Binding],
        patience_s: float = 0.0,
    ) -> Result[FoundClaim, PlatformError]:
        """
        Claim a key, or return whose claim came first.

        While the platform fails it is tried again for ``patience_s`` seconds, but
        not in an outage that has lasted for long.
        """
        if self._outage.is_long(self._loop.time()):
            patience_s = 0.0
        limit_s = max(CLAIM_TIMEOUT_S, patience_s)
        try:
            async with asyncio.timeout(limit_s):
                return await self._settle_in(path, fingerprint, bindings, patience_s)
        except TimeoutError:
            self._outage.failed(self._loop.time())
            return Err(PlatformUnavailable(f"no answer in {limit_s} s"))

    async def _settle_in(
        self, path: str, fingerprint: str, bindings: list[Binding], patience_s: float
    ) -> Result[FoundClaim, PlatformError]:
        claim_id = secrets.token_hex(ID_BYTES)
        until = self._loop.time() + patience_s
        pause = FIRST_PAUSE_S
        while True:
            found = await self._settle(path, claim_id, fingerprint, bindings)
            now = self._loop.time()
            if isinstance(found, Ok):
                self._outage.succeeded()
                return found
            self._outage.failed(now)
            if now + pause > until:
                return found
            log.info("claim_put_off", cause=str(found.err_value))
            # The waits differ, so that the callers of an outage do not all write
            # at once when the platform is back.
            await asyncio.sleep(pause * random.uniform(0.5, 1.0))
            pause = min(2 * pause, LONGEST_PAUSE_S)

    async def _settle(
        self, path: str, claim_id: str, fingerprint: str, bindings: list[Binding]
    ) -> Result[FoundClaim, PlatformError]:
        # A claim stamped by a host whose clock is behind would be removed while its
        # caller still repeats the key, and the repeat would run a second time.
        claimed_at = self._platform.platform_time_s
        if claimed_at is None:
            read = await self._read(path)
            if isinstance(read, Err):
                return read
            claimed_at = self._platform.platform_time_s
        if claimed_at is None:
            return Err(PlatformUnavailable("its answers have no Date"))
        wanted = Claim(claim_id, fingerprint, bindings, round(claimed_at))
        found: Result[FoundClaim, PlatformError] = Err(PlatformUnavailable("not tried"))
        for _ in range(TRIES):
            written = await self._platform.compare_and_swap(
                path, msgspec.json.encode(wanted), 0
            )
            if isinstance(written, Ok) and written.ok_value:
                return Ok(FoundClaim(wanted, fresh=True))
            if isinstance(written, Err) and isinstance(
                written.err_value, PlatformUnavailable
            ):
                return written
            # Refused, or the answer was lost and the write may have taken effect:
            # only what stands there now says whose claim it is. Where nothing
            # does, the same write again is safe, also beside its late first copy.
            read = await self._read(path)
            if isinstance(read, Err):
                return read
            if read.ok_value is not None:
                stored = read.ok_value
                return Ok(FoundClaim(stored, fresh=stored.id == wanted.id))
            found = Err(PlatformUnavailable("the claim's answers were lost"))
        return found

    async def _read(self, path: str) -> Result[Claim | None, PlatformError]:
        read = await self._platform.get(path)
        if isinstance(read, Err):
            return read
        if read.ok_value is None:
            return Ok(None)
        return Ok(msgspec.json.decode(read.ok_value.value, type=Claim))


def claim_path(account: str, pipeline: str, key: str) -> str:
    """Return where a key's claim stands; the key itself is not kept."""
    text = "\0".join((account, pipeline, key))
    digest = sha256(text.encode()).hexdigest()
    return f"{CLAIM_PREFIX}{digest[:SHARD_DIGITS]}/{digest}"
