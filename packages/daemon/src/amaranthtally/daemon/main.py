"""The ``amaranthtallyd`` binary."""

import argparse
import sys
from collections.abc import Callable, Coroutine
from enum import IntEnum
from pathlib import Path
from typing import Any

from amaranthtally.daemon.lifecycle import ReloadSignal
from amaranthtally.daemon.log_writer import BoundedWriter
from amaranthtally.daemon.logs import configure_logs
from amaranthtally.settings import (
    SettingsFileError,
    load_entry_settings,
    load_gateway_settings,
    load_host_settings,
)
from amaranthtally.wire.loop import run

__all__ = ["ExitCode", "main"]

DESCRIPTION = """\
Serve multi-stage model pipelines.

An entry accepts callers' requests over HTTP and routes their stages; a sidecar
runs beside one endpoint, and all calls to the endpoint pass through it. A gateway is
an entry on the users' platform, where endpoints are called without sidecars. SIGTERM
stops each of them gracefully: requests already accepted are finished first. SIGQUIT
ends such a stop at once, with a refusal of whatever is not finished.
"""


class ExitCode(IntEnum):
    """Exit codes of the daemon."""

    STOPPED = 0
    BAD_SETTINGS = 2
    CANNOT_LISTEN = 3


def main(argv: list[str] | None = None) -> int:
    """Run one role until a stop signal; return the exit code."""
    arguments = _parser().parse_args(argv)
    start_role = _ROLES[arguments.role]
    try:
        work = start_role(arguments.settings)
    except SettingsFileError as error:
        sys.stderr.write(f"{error}\n")
        return ExitCode.BAD_SETTINGS
    if arguments.check:
        work.close()
        sys.stdout.write(f"{arguments.settings}: no mistakes found\n")
        return ExitCode.STOPPED
    try:
        run(work)
    except OSError as error:
        sys.stderr.write(
            f"{arguments.settings}: cannot listen: {error}; "
            "choose a free address of this host\n"
        )
        return ExitCode.CANNOT_LISTEN
    return ExitCode.STOPPED


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="amaranthtallyd",
        description=DESCRIPTION,
        epilog="Exit codes: 0 stopped, 2 wrong settings, 3 cannot listen.",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("role", choices=sorted(_ROLES), help="what this process does")
    parser.add_argument(
        "--settings",
        type=Path,
        required=True,
        metavar="FILE.toml",
        help="settings of this process (see docs/OPERATIONS.md)",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    return parser


# Each role's modules are imported only when it is started, so that a sidecar doesn't
# load an entry's modules into memory.


def _start_entry(path: Path) -> Coroutine[Any, Any, None]:
    settings = load_entry_settings(path)
    configure_logs(settings.log_level)
    from amaranthtally.daemon.entry.service import run_entry

    return run_entry(settings)


def _start_gateway(path: Path) -> Coroutine[Any, Any, None]:
    reload_signal = ReloadSignal()
    settings = load_gateway_settings(path)
    log_writer = BoundedWriter(sys.stdout.fileno())
    configure_logs(settings.log_level, log_writer)
    from amaranthtally.daemon.gateway.service import run_gateway

    return run_gateway(settings, path, log_writer, reload_signal)


def _start_sidecar(path: Path) -> Coroutine[Any, Any, None]:
    endpoint_settings = load_host_settings(path)
    configure_logs(endpoint_settings[0].log_level)
    from amaranthtally.daemon.sidecar.service import run_sidecar

    return run_sidecar(endpoint_settings)


_ROLES: dict[str, Callable[[Path], Coroutine[Any, Any, None]]] = {
    "entry": _start_entry,
    "gateway": _start_gateway,
    "sidecar": _start_sidecar,
}


if __name__ == "__main__":
    sys.exit(main())
