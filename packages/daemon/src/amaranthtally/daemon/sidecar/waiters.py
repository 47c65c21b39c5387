"""Who still waits for a call that may not be repeated."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf

__all__ = ["Waiters"]


class Waiters:
    """
    The entries that wait for one call's result.

    An entry waits for as long as its caller does: it withdraws its question at the
    caller's deadline, and when it dies its connection ends.
    """

    __slots__ = ("_clock", "_left_at", "_present")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._present = 0
        self._left_at = inf

    @property
    def gone_s(self) -> float:
        """Seconds since the last one left; less than 0 while one waits."""
        return -inf if self._present else self._clock() - self._left_at

    @contextmanager
    def join(self) -> Iterator[None]:
        """Wait for as long as the context is open."""
        self._present += 1
        try:
            yield
        finally:
            self._present -= 1
            self._left_at = self._clock()
