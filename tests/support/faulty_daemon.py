"""
Runs a daemon whose supervised tasks fail on demand.

Beside the settings file NAME.toml there is a folder NAME.faults. While it has a file
with the name of a task, the task fails; a file that says "once" is removed by that. The
daemon lists its tasks, and those that it keeps running without supervision, in
tasks.json.
"""

import asyncio
import json
import sys
from pathlib import Path

from amaranthtally.daemon import supervision
from amaranthtally.daemon.main import main

POLL_INTERVAL_S = 0.02
LIST_INTERVAL_S = 1.0
# Tasks of one call, such as a write, end within this time, in seconds.
LASTING_S = 0.3
LISTING = "tasks.json"
# Shorter than in service, so that a test sees a task fail and recover in seconds.
SHORT_TIMES = {"MAX_RESTART_DELAY_S": 0.3, "WELL_AFTER_S": 1.0}


def faults_folder():
    """Return the folder beside the settings file in the arguments."""
    return Path(sys.argv[sys.argv.index("--settings") + 1]).with_suffix(".faults")


class InjectedError(Exception):
    """The fault that a test asked for."""


class FaultySupervisor(supervision.Supervisor):
    """A supervisor whose tasks fail as the files in the folder say."""

    def __init__(self):
        super().__init__()
        self._loop.call_later(POLL_INTERVAL_S, self._list_tasks)

    def run(self, name, work, *args, **options):
        super().run(name, lambda: _run_with_faults(name, work), *args, **options)

    def _list_tasks(self):
        self._loop.call_later(LIST_INTERVAL_S, self._list_tasks)
        self._loop.call_later(LASTING_S, self._write_listing, self._unsupervised())

    def _unsupervised(self):
        inner = {task for task in asyncio.all_tasks() if task.get_name() == "inner"}
        return asyncio.all_tasks() - self.running - inner

    def _write_listing(self, earlier):
        lasting = earlier & self._unsupervised()
        listing = {
            "vital": {name: task.is_vital for name, task in self._tasks.items()},
            "unsupervised": sorted({t.get_coro().__qualname__ for t in lasting}),
        }
        (faults_folder() / LISTING).write_text(json.dumps(listing))


async def _run_with_faults(name, work):
    inner = asyncio.create_task(work(), name="inner")
    try:
        while not inner.done():
            await asyncio.wait([inner], timeout=POLL_INTERVAL_S)
            _raise_fault(faults_folder() / name)
        await inner
    finally:
        inner.cancel()
        await asyncio.wait([inner])


def _raise_fault(file):
    if file.exists():
        if file.read_text() == "once":
            file.unlink()
        raise InjectedError(file.name)


if __name__ == "__main__":
    faults_folder().mkdir(exist_ok=True)
    for constant, value in SHORT_TIMES.items():
        setattr(supervision, constant, value)
    supervision.Supervisor = FaultySupervisor
    sys.exit(main())
