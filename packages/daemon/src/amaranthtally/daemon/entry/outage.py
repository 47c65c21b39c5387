"""Distinguishes short outages of the platform from long ones."""

from math import inf

__all__ = ["LONG_OUTAGE_S", "OutageDetector"]

LONG_OUTAGE_S = 10.0


class OutageDetector:
    """
    Records failed calls; all times are in seconds on the same clock.

    During a short outage it is useful to wait and retry. During a long one callers
    would wait for nothing, and their retries would all reach the platform at once when
    it recovers.
    """

    def __init__(self) -> None:
        self._started_at = inf
        self._last_failure_at = -inf

    def is_long(self, now: float) -> bool:
        """Whether all calls have failed for more than ``LONG_OUTAGE_S`` seconds."""
        return now - self._started_at > LONG_OUTAGE_S

    def note_success(self) -> None:
        """Record a successful call, which ends the outage."""
        self._started_at = inf

    def note_failure(self, now: float) -> None:
        """Record a failed call; one long after the last failure starts a new outage."""
        is_new_outage = now - self._last_failure_at > LONG_OUTAGE_S
        self._started_at = now if is_new_outage else min(self._started_at, now)
        self._last_failure_at = now
