"""Recognizes requests that come back before the time that their refusal named."""

from amaranthtally.policy.request_key import RequestKey

__all__ = ["EarlyRetries"]

# Refused requests that are remembered, the newest ones; each takes about 200 bytes.
MAX_REFUSED = 4096


class EarlyRetries:
    """The content keys of refused requests, and when each may come back."""

    def __init__(self) -> None:
        self._may_return_at: dict[tuple[str, RequestKey], float] = {}

    def __len__(self) -> int:
        return len(self._may_return_at)

    def note_refused(
        self, now: float, account: str, key: RequestKey | None, retry_after_s: float
    ) -> None:
        """Note that a request was refused; one without a key is not recognized."""
        if key is None:
            return
        self._may_return_at.pop((account, key), None)
        self._may_return_at[account, key] = now + retry_after_s
        if len(self._may_return_at) > MAX_REFUSED:
            del self._may_return_at[next(iter(self._may_return_at))]

    def is_early(self, now: float, account: str, key: RequestKey | None) -> bool:
        """Whether a request with this content was told to come back later."""
        if key is None:
            return False
        return now < self._may_return_at.get((account, key), now)
