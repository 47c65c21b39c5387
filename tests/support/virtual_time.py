"""Runs coroutines on virtual time: waiting takes none."""

import asyncio
import selectors


class _VirtualSelector(selectors.DefaultSelector):
    """Skips the time for which the loop would wait."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is left that could wake a task")
        self.now += max(0.0, timeout)
        return super().select(0)


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now


def run_on_virtual_time(work):
    """Run a coroutine without I/O; its clock only advances while all tasks wait."""
    with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
        return runner.run(work)
