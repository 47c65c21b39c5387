"""Worker processes for a command, and their shutdown on signals."""

import signal
from collections.abc import Iterator
from concurrent.futures import Executor, ProcessPoolExecutor
from contextlib import contextmanager
from multiprocessing import get_context

__all__ = ["interruptible", "open_workers"]


@contextmanager
def open_workers(count: int) -> Iterator[Executor]:
    """Yield a pool of ``count`` processes; cancel work not yet started on exit."""
    # Workers are spawned rather than forked, so that they do not inherit this process's
    # threads and locks.
    pool = ProcessPoolExecutor(count, mp_context=get_context("spawn"))
    try:
        yield pool
    finally:
        pool.shutdown(cancel_futures=True)


@contextmanager
def interruptible() -> Iterator[None]:
    """
    Raise ``KeyboardInterrupt`` on SIGINT and SIGTERM, also in a background process.

    A command that a signal ends at once would leave its workers waiting forever.
    """
    signals = (signal.SIGINT, signal.SIGTERM)
    previous_handlers = [
        signal.signal(signal_number, signal.default_int_handler)
        for signal_number in signals
    ]
    try:
        yield
    finally:
        for signal_number, handler in zip(signals, previous_handlers, strict=True):
            signal.signal(signal_number, handler)
