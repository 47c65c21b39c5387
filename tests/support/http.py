"""Serves an application in the test's own process."""

from contextlib import asynccontextmanager

from aiohttp import web

from amaranthtally.daemon.lifecycle import split_address


@asynccontextmanager
async def serve_http(app, address, grace_s):
    """Serve an application at ``ip:port``; yield the bound port."""
    host, port = split_address(address)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=grace_s)
    await runner.setup()
    try:
        await web.TCPSite(runner, host, port).start()
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()
