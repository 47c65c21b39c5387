"""
Claims: bindings of callers' own keys, kept in the platform.

The compare-and-swap that creates a claim is the one arbiter between entries.
"""

import asyncio
import secrets
import time
from dataclasses import dataclass
from hashlib import sha256

import msgspec
from result import Err, Ok, Result

from amaranthtally.platform import KeyValueClient, PlatformDown, PlatformError
from amaranthtally.policy.once import Binding

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


class Claim(msgspec.Struct, frozen=True):
    """A key's binding; ``claimed_at`` in seconds since the epoch, for removal only."""

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

    async def claim(
        self, path: str, fingerprint: str, bindings: list[Binding]
    ) -> Result[FoundClaim, PlatformError]:
        """Claim a key, or return whose claim came first."""
        wanted = Claim(
            secrets.token_hex(ID_BYTES), fingerprint, bindings, round(time.time(), 3)
        )
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                return await self._settle(path, wanted)
        except TimeoutError:
            return Err(PlatformDown(f"no answer in {CLAIM_TIMEOUT_S} s"))

    async def _settle(
        self, path: str, wanted: Claim
    ) -> Result[FoundClaim, PlatformError]:
        found: Result[FoundClaim, PlatformError] = Err(PlatformDown("not tried"))
        for _ in range(TRIES):
            written = await self._platform.compare_and_swap(
                path, msgspec.json.encode(wanted), 0
            )
            if isinstance(written, Ok) and written.ok_value:
                return Ok(FoundClaim(wanted, fresh=True))
            if isinstance(written, Err) and isinstance(written.err_value, PlatformDown):
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
            found = Err(PlatformDown("the claim's answers were lost"))
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
