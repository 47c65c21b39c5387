"""
Runs many light nodes in one process; each has only a daemon's settings code.

An entry node watches the platform and notifies sidecars of new revisions; a sidecar
node serves the settings calls of the sidecar protocol and notifies other sidecars.
Complete daemons would need 48 MB each.
"""

import argparse
import sys
import time
from contextlib import AsyncExitStack

import capnp

from amaranthtally.daemon.entry.change_store import ChangeStore
from amaranthtally.daemon.entry.log_follower import LogFollower
from amaranthtally.daemon.entry.snapshots import SnapshotStore
from amaranthtally.daemon.lifecycle import stop_on_signal
from amaranthtally.daemon.logs import configure_logs
from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.daemon.settings_sync import (
    ENTRY_LINKS,
    SIDECAR_LINKS,
    SettingsSync,
)
from amaranthtally.daemon.supervision import open_supervisor
from amaranthtally.platform import open_key_value
from amaranthtally.wire import serve_sidecar
from amaranthtally.wire.loop import run


class LightSidecar:
    """Serves only the settings calls of the sidecar protocol."""

    def __init__(self, sync):
        self._sync = sync

    def changes_since(self, revision):
        return self._sync.changes_since(revision)

    def announce_revision(self, revision, fetch):
        self._sync.note_revision(revision, fetch)
        return self._sync.revision


def write_log_line(**pairs):
    sys.stderr.write(" ".join(f"{k}={v}" for k, v in pairs.items()) + "\n")
    sys.stderr.flush()


def open_state(name):
    state = SettingsState()

    def report_in_force(tree):
        write_log_line(
            event="in_force", node=name, revision=tree.revision, at=time.time()
        )

    state.add_listener(report_in_force)
    return state


async def open_entry(name, platform, stack, supervisor):
    state = open_state(name)
    client = await stack.enter_async_context(open_key_value(platform, name))
    follower = LogFollower(ChangeStore(client), SnapshotStore(client), state)
    sync = SettingsSync(name, state, ENTRY_LINKS, supervisor)
    stack.push_async_callback(sync.close)
    supervisor.run(f"log_follower[{name}]", follower.follow)
    supervisor.run(f"settings_sync[{name}]", sync.run)


async def open_sidecar(name, stack, supervisor):
    sync = SettingsSync(name, open_state(name), SIDECAR_LINKS, supervisor)
    stack.push_async_callback(sync.close)
    supervisor.run(f"settings_sync[{name}]", sync.run)
    port = await stack.enter_async_context(
        serve_sidecar(LightSidecar(sync), "127.0.0.1", 0)
    )
    write_log_line(event="node", node=name, port=port)


async def serve(arguments):
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(capnp.kj_loop())
        stop = stack.enter_context(stop_on_signal())
        supervisor = stack.enter_context(open_supervisor())
        for number in range(arguments.first, arguments.first + arguments.nodes):
            name = f"{arguments.role}-l{number}"
            if arguments.role == "entry":
                await open_entry(name, arguments.platform, stack, supervisor)
            else:
                await open_sidecar(name, stack, supervisor)
        stack.push_async_callback(supervisor.close)
        write_log_line(event="listening", port=0)
        await stop.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("role", choices=["entry", "sidecar"])
    parser.add_argument("--platform", default="")
    parser.add_argument("--first", type=int, required=True)
    parser.add_argument("--nodes", type=int, required=True)
    configure_logs("warning")
    run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
