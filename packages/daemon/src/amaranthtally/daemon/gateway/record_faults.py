"""Logs and counts records that cannot be used, and listeners that fail on a change."""

from collections import Counter as Tally, OrderedDict
from collections.abc import Callable, Mapping
from typing import TypeVar

from result import Err, Result

from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.logs import get_logger

__all__ = ["RecordFaults"]

# Most keys whose last malformed revision is remembered, so that others who write under
# new keys all the time cannot exhaust the memory.
MAX_KEYS = 4096
# Longest key and cause in a log line, in characters.
MAX_LOGGED_LENGTH = 200

log = get_logger()

T = TypeVar("T")


class RecordFaults:
    """
    Tells operators of records that others wrote and that this gateway cannot use.

    Each revision of a key is logged and counted once: a listing returns all records
    again. Counts are by prefix, of which there are few.
    """

    def __init__(self) -> None:
        self._revisions: OrderedDict[str, int] = OrderedDict()
        self._malformed: Tally[str] = Tally()
        self._failed: Tally[str] = Tally()

    @property
    def malformed(self) -> Mapping[str, int]:
        """Number of malformed records by prefix."""
        return self._malformed

    @property
    def failed(self) -> Mapping[str, int]:
        """Number of times that a listener failed, by prefix."""
        return self._failed

    def read(
        self, prefix: str, item: StoreItem, read: Callable[[bytes], Result[T, str]]
    ) -> T | None:
        """
        Return what a record says, or ``None`` and note it if it cannot be used.

        A reader that raises makes its record malformed: if it went on, one record would
        keep all others under its prefix from their listener, and a retry as well.
        """
        try:
            decoded = read(item.value or b"")
        except Exception as error:
            decoded = Err(repr(error))
        if isinstance(decoded, Err):
            self._note_malformed(prefix, item, decoded.err_value)
            return None
        return decoded.ok_value

    def configuration_malformed(self, prefix: str, cause: str, source: str) -> None:
        """Note a configuration that is refused; the one before stays in force."""
        self._malformed[prefix] += 1
        log.error(
            "configuration_malformed", cause=cause[:MAX_LOGGED_LENGTH], source=source
        )

    def listener_failed(
        self, prefix: str, revision: int, error: Exception, *, is_logged: bool
    ) -> None:
        """Count a listener that raised an exception; log it with its traceback."""
        self._failed[prefix] += 1
        if is_logged:
            log.error(
                "listener_failed", prefix=prefix, revision=revision, exc_info=error
            )

    def _note_malformed(self, prefix: str, item: StoreItem, cause: str) -> None:
        if self._revisions.get(item.key) == item.revision:
            return
        self._revisions[item.key] = item.revision
        self._revisions.move_to_end(item.key)
        if len(self._revisions) > MAX_KEYS:
            self._revisions.popitem(last=False)
        self._malformed[prefix] += 1
        log.warning(
            "record_malformed",
            key=item.key[:MAX_LOGGED_LENGTH],
            revision=item.revision,
            cause=cause[:MAX_LOGGED_LENGTH],
        )
