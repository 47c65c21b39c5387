"""Processes that do a command's work side by side, and what ends them."""

import signal
from collections.abc import Iterator
from concurrent.futures import Executor, ProcessPoolExecutor
from contextlib import contextmanager
from multiprocessing import get_context

__all__ = ["interruptible", "open_workers"]


@contextmanager
def open_workers(count: int) -> Iterator[Executor]:
    """Yield so many processes; what they have not begun by the end is not done."""
    # Spawned, not forked: a worker starts without threads and locks of this process.
    pool = ProcessPoolExecutor(count, mp_context=get_context("spawn"))
    try:
        yield pool
    finally:
        pool.shutdown(cancel_futures=True)


@contextmanager
def interruptible() -> Iterator[None]:
    """
    Raise ``KeyboardInterrupt`` on SIGTERM as on Ctrl-C, also in the background.

    Ended by a signal at once, a command would leave its workers waiting for ever.
    """
    signals = (signal.SIGINT, signal.SIGTERM)
    before = [signal.signal(number, signal.default_int_handler) for number in signals]
    try:
        yield
    finally:
        for number, handler in zip(signals, before, strict=True):
            signal.signal(number, handler)
