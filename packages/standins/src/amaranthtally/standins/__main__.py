"""Run one stand-in: ``python -m amaranthtally.standins KIND --listen IP:PORT``."""

import argparse
import asyncio
import signal
import sys
from contextlib import AsyncExitStack

import uvloop
from aiohttp import web

from amaranthtally.standins import engine, plain, platform, pools  # noqa: F401
from amaranthtally.standins.registry import StandIn, build_standin, standin_kinds


def main() -> int:
    """Run the stand-in until SIGTERM or SIGINT; return the exit code."""
    parser = argparse.ArgumentParser(prog="standins", description=__doc__)
    parser.add_argument("kind", choices=standin_kinds())
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="IP:PORT")
    parser.add_argument("--name", default="", help="name in responses and records")
    parser.add_argument(
        "--set", nargs="*", default=[], metavar="KNOB=VALUE", help="initial knob values"
    )
    arguments = parser.parse_args()
    standin = build_standin(arguments.kind, arguments.name or arguments.kind)
    standin.knobs.set_from_text(arguments.set)
    uvloop.run(_serve(standin, arguments.listen))
    return 0


async def _serve(standin: StandIn, listen: str) -> None:
    host, _, port = listen.rpartition(":")
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    async with AsyncExitStack() as stack:
        runner = web.AppRunner(standin.application(), access_log=None)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, host, int(port), shutdown_timeout=0.1).start()
        sys.stderr.write(
            f"event=listening role={standin.kind} name={standin.name} "
            f"port={runner.addresses[0][1]}\n"
        )
        sys.stderr.flush()
        await stop.wait()


if __name__ == "__main__":
    sys.exit(main())
