"""Listings of a store that says that there are more pages, and repeats one."""

import json
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from amaranthtally.platform import PlatformUnavailable, open_store
from tests.support import run_async

MAX_CALLS = 20


@asynccontextmanager
async def open_paging_server(keys):
    """Serve pages of one key each, and say that there are more, up to a bound."""
    calls = []

    async def answer(request):
        calls.append(request.query.get("after", ""))
        key = keys[(len(calls) - 1) % len(keys)]
        page = {"entries": [{"key": key}], "at": 3, "hasMore": len(calls) < MAX_CALLS}
        return web.Response(body=json.dumps(page).encode())

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    try:
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        yield f"{host}:{port}", calls
    finally:
        await runner.cleanup()


@pytest.mark.parametrize("keys", [["a"], ["a", "b"], ["b", "a"]])
def test_a_listing_that_repeats_a_page_ends(keys):
    """Guards against calls to the store without end, each of which is paid for."""

    async def check():
        async with (
            open_paging_server(keys) as (address, calls),
            open_store(address, lambda transfer: None) as client,
        ):
            answer = await client.list("")
            assert isinstance(answer.unwrap_err(), PlatformUnavailable)
            assert len(calls) <= len(keys) + 1

    run_async(check())
