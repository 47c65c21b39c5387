"""Keeps a listener that fails from stopping others, and gives it all records again."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from amaranthtally.daemon.gateway.record_faults import RecordFaults
from amaranthtally.daemon.logs import get_logger

__all__ = ["ListenerGuard"]

# Pause before a listener that failed gets all records again, in seconds; it doubles
# each time. A listing of a large fleet takes a tenth of a second to apply.
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 8.0

log = get_logger()


class ListenerGuard:
    """
    Runs what applies changes; what raises runs again, until all is applied.

    A change counts as applied once its listener has it. The records are held by then,
    with their revision: followers get them although a listener here has failed, and a
    retry takes them from there. It costs no call to the store, succeeds while the store
    is away, and gives the listener what was removed meanwhile too. Odd records are
    handled where they are decoded, without an exception, and cause no retry.
    """

    def __init__(
        self,
        faults: RecordFaults,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        self._faults = faults
        self._spawn = spawn
        self._retries: dict[str, Callable[[], None]] = {}
        self._recovering: set[str] = set()

    @property
    def needs_listing(self) -> bool:
        """Whether a listener has failed and has not got all records since."""
        return bool(self._retries)

    def apply(
        self,
        prefix: str,
        revision: int,
        work: Callable[[], None],
        retry: Callable[[], None],
    ) -> bool:
        """
        Apply one change; return whether it did not raise.

        If it raised, ``retry`` applies all that is known, later.
        """
        try:
            work()
        except Exception as error:
            # A burst of changes may fail for one cause, whose traceback is logged once.
            is_new = prefix not in self._retries
            self._faults.listener_failed(prefix, revision, error, is_logged=is_new)
            self._retries[prefix] = retry
            if prefix not in self._recovering:
                self._recovering.add(prefix)
                self._spawn(self._recover(prefix, revision))
            return False
        return True

    def apply_all(
        self,
        prefix: str,
        revision: int,
        work: Callable[[], None],
        retry: Callable[[], None],
    ) -> None:
        """Apply all that is known, after which no retry is due unless this raises."""
        if not self.apply(prefix, revision, work, retry):
            return
        if self._retries.pop(prefix, None) is not None:
            log.info("listener_recovered", prefix=prefix, revision=revision)

    async def _recover(self, prefix: str, revision: int) -> None:
        pause_s = FIRST_RETRY_S
        try:
            while prefix in self._retries:
                await asyncio.sleep(pause_s)
                pause_s = min(MAX_RETRY_S, 2.0 * pause_s)
                # A listing may have come first.
                retry = self._retries.get(prefix)
                if retry is not None:
                    self.apply_all(prefix, revision, retry, retry)
                    if prefix in self._retries:
                        log.warning("listener_fails", prefix=prefix, retry_in_s=pause_s)
        finally:
            self._recovering.discard(prefix)
