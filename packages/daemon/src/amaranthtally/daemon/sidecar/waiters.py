"""Counts the entries that await the result of an at-most-once call."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf

__all__ = ["Waiters"]


class Waiters:
    """
    The entries that await the result of one call.

    An entry waits as long as its caller: it cancels its request at the caller's
    deadline, and its connection ends if it dies.
    """

    __slots__ = ("_clock", "_last_exit", "_waiting")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._waiting = 0
        self._last_exit = inf

    @property
    def abandoned_s(self) -> float:
        """Seconds since the last entry stopped waiting; ``-inf`` while one waits."""
        return -inf if self._waiting else self._clock() - self._last_exit

    @contextmanager
    def join(self) -> Iterator[None]:
        """Count a waiting entry until the context exits."""
        self._waiting += 1
        try:
            yield
        finally:
            self._waiting -= 1
            self._last_exit = self._clock()
