"""Tells a short outage of the platform from a long one."""

from math import inf

__all__ = ["LONG_OUTAGE_S", "OutageDetector"]

LONG_OUTAGE_S = 10.0


class OutageDetector:
    """
    Notes the calls that failed; all times are in seconds of one clock.

    A short outage is worth waiting out. In a long one every caller would wait in
    vain, and their tries would meet the platform together as it comes back.
    """

    def __init__(self) -> None:
        self._began = inf
        self._failed_at = -inf

    def is_long(self, now: float) -> bool:
        """Whether calls have failed for long, and none has succeeded."""
        return now - self._began > LONG_OUTAGE_S

    def note_success(self) -> None:
        """Note a call that was answered."""
        self._began = inf

    def note_failure(self, now: float) -> None:
        """Note a call that failed; one long after the last begins another outage."""
        forgotten = now - self._failed_at > LONG_OUTAGE_S
        self._began = now if forgotten else min(self._began, now)
        self._failed_at = now
