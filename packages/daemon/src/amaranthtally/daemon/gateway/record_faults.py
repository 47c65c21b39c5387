"""Logs and counts records that cannot be used, and listeners that fail on a change."""

from collections import Counter as Tally, OrderedDict
from collections.abc import Mapping

from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.logs import get_logger

__all__ = ["RecordFaults"]

# Most keys whose last malformed revision is remembered, so that others who write under
# new keys all the time cannot exhaust the memory.
MAX_KEYS = 4096
# Longest key and cause in a log line, in characters.
MAX_LOGGED_LENGTH = 200

log = get_logger()


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

    def record_malformed(self, prefix: str, item: StoreItem, cause: str) -> bool:
        """Note a malformed record; return whether this revision of it is new."""
        if self._revisions.get(item.key) == item.revision:
            return False
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
        return True

    def configuration_malformed(self, prefix: str, cause: str, source: str) -> None:
        """Note a configuration that is refused; the one before stays in force."""
        self._malformed[prefix] += 1
        log.error(
            "configuration_malformed", cause=cause[:MAX_LOGGED_LENGTH], source=source
        )

    def listener_failed(self, prefix: str, revision: int, error: Exception) -> None:
        """Note that a listener raised an exception, with its traceback."""
        self._failed[prefix] += 1
        log.error("listener_failed", prefix=prefix, revision=revision, exc_info=error)
