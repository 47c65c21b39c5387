"""The bytes of responses that are being received, counted over all of them together."""

from collections.abc import Callable
from math import inf
from typing import cast

from amaranthtally.policy import build_memory_budget

__all__ = ["Reception"]

# Ends a response; its connection then holds nothing more.
EndResponse = Callable[[], None]


class Reception:
    """
    A limit on what several connections hold of bodies that are not complete.

    Each response alone may be far below its own bound while all of them together take a
    process's memory. Beyond the limit the largest is ended, until the others fit.
    """

    def __init__(self, limit_bytes: float = inf) -> None:
        self._budget = build_memory_budget(limit_bytes)

    @property
    def held_bytes(self) -> int:
        """What is held of all responses."""
        return self._budget.used

    def set_limit(self, limit_bytes: float) -> None:
        """Replace the limit; what is held stays until more comes."""
        self._budget.set_limit(limit_bytes)

    def hold(self, end: EndResponse, size: int) -> None:
        """Count bytes of a response; end the largest ones beyond the limit."""
        self._budget.hold(end, size)
        while self._budget.used > self._budget.limit:
            largest = cast(EndResponse, self._budget.largest())
            self.release(largest)
            largest()

    def release(self, end: EndResponse) -> None:
        """Count a response as complete, or as ended."""
        self._budget.release(end, self._budget.held(end))
