"""Asks the store whether it has anything newer than what is held."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from result import Err

from amaranthtally.daemon.gateway.shared_check import SharedCheck
from amaranthtally.daemon.gateway.store_replica import StoreReplica
from amaranthtally.platform import StoreClient

__all__ = ["ALL_KEYS", "StoreConfirmation"]

# The empty prefix, which matches every key. A gateway needs all keys of the store.
ALL_KEYS = ""
# Time for one answer, in seconds: ten round trips to a store in another region.
CALL_TIMEOUT_S = 0.4
# Interval between calls, in seconds. Each is paid for, and after all gateways have
# failed, hundreds of streams are taken up within seconds. A stream that is taken up in
# the meantime waits for the next call.
CALL_INTERVAL_S = 0.2


class StoreConfirmation:
    """
    Confirms that the records held are those of the store.

    A watch that hears nothing may have nothing to report, or may be cut off. The two
    are told apart only by an answer to a call that was sent afterwards.
    """

    def __init__(
        self,
        client: StoreClient,
        replica: StoreReplica,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        self._client = client
        self._replica = replica
        self._check = SharedCheck(self._ask, CALL_INTERVAL_S, spawn)

    async def confirm(self, within_s: float) -> bool:
        """
        Return whether all that the store had at the time of this call is known here.

        Changes that it has are applied before. The answer is false if there is none in
        time, and if the records have to be listed again.
        """
        return await self._check.run(within_s)

    async def _ask(self) -> bool:
        known = self._replica.revision
        # Before the first listing, a watch would return the whole history.
        if not known:
            return False
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                response = await self._client.watch(ALL_KEYS, known, 0.0)
        except TimeoutError:
            return False
        if isinstance(response, Err):
            return False
        events = response.ok_value
        # The watcher discards records that are ahead of the store. If it has done so
        # during the call, those before the changes are missing.
        if events.revision < known or self._replica.revision < known:
            return False
        self._replica.apply(events.items, events.revision)
        return self._replica.revision >= events.revision
