"""Copies model weights from the platform's weight store to an engine."""

import asyncio
from collections.abc import AsyncIterator
from random import uniform

import aiohttp
from aiohttp import hdrs

from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import response_bounds
from amaranthtally.policy import WEIGHTS_LIMIT

__all__ = ["WeightsError", "copy_weights"]

CHUNK_BYTES = 65_536
READ_TIMEOUT_S = 30.0
TOO_MANY_REQUESTS = 429
DEFAULT_WAIT_S = 1.0
# A longer one, in seconds, is not believed.
MAX_WAIT_S = 600.0
MAX_JITTER = 8.0

log = get_logger()


class WeightsError(Exception):
    """The weight store or the engine failed during a copy."""

    def __init__(self, model: str, detail: str) -> None:
        super().__init__(
            f"weights of {model} were not copied ({detail}); "
            "check the model's name and the weight store"
        )


async def copy_weights(
    session: aiohttp.ClientSession, store_url: str, engine_url: str, model: str
) -> None:
    """
    Stream a model's weights to the engine; raise ``WeightsError`` on failure.

    The store is rate-limited: it rejects excess requests with the time after which to
    retry. Sidecars that are rejected together would retry together and be rejected
    again, so each multiplies that time by a random factor, whose range doubles with
    every rejection.
    """
    jitter = 1.0
    while True:
        wait_s = await _try_copy(session, store_url, engine_url, model)
        if wait_s is None:
            return
        log.info("weights_put_off", model=model, wait_s=round(wait_s, 3))
        await asyncio.sleep(wait_s * uniform(1.0, 1.0 + jitter))
        jitter = min(MAX_JITTER, jitter * 2)


async def _try_copy(
    session: aiohttp.ClientSession, store_url: str, engine_url: str, model: str
) -> float | None:
    timeout = aiohttp.ClientTimeout(total=None, sock_read=READ_TIMEOUT_S)
    try:
        with response_bounds(WEIGHTS_LIMIT):
            source = await session.get(
                f"{store_url}/v1/weights/{model}", timeout=timeout
            )
        async with source:
            if source.status == TOO_MANY_REQUESTS:
                return _wait_s(source.headers.get(hdrs.RETRY_AFTER, ""))
            source.raise_for_status()
            weights = _Weights(source)
            async with session.put(
                f"{engine_url}/v1/weights/{model}",
                data=weights.read(),
                timeout=timeout,
            ) as target:
                target.raise_for_status()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise WeightsError(model, type(error).__name__) from error
    # An engine may answer before it has been sent everything.
    if not weights.is_complete:
        raise WeightsError(model, "the engine did not read them to the end")
    return None


class _Weights:
    """The weights in a response, as they are passed on."""

    def __init__(self, source: aiohttp.ClientResponse) -> None:
        self._source = source
        self.is_complete = False

    async def read(self) -> AsyncIterator[bytes]:
        async for part in self._source.content.iter_chunked(CHUNK_BYTES):
            yield part
        self.is_complete = True


def _wait_s(retry_after: str) -> float:
    """Return the seconds that a header names; it may also name a date, or be wrong."""
    try:
        wait_s = float(retry_after)
    except ValueError:
        return DEFAULT_WAIT_S
    return wait_s if 0.0 <= wait_s <= MAX_WAIT_S else DEFAULT_WAIT_S
