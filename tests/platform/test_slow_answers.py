"""Answers that come slowly over thin links, and answers that stop."""

import asyncio
import base64
import json
from contextlib import asynccontextmanager

import aiohttp
from aiohttp import web
from result import Err, Ok

from amaranthtally.platform import HostList, open_key_value, open_store
from tests.support import run_async

# How long an answer comes, in parts; a client's bound on silence is shorter.
ANSWER_S = 3.0
PARTS = 20
# By when a client has given an answer up that has stopped, in seconds.
GIVEN_UP_S = 2.5
VALUE = base64.b64encode(b"v" * 30_000).decode()


@asynccontextmanager
async def open_slow_server(body, stops_after=PARTS):
    """Serve one body in parts; after ``stops_after`` of them it is silent."""
    raw = json.dumps(body).encode()
    size = len(raw) // PARTS + 1

    async def answer(request):
        response = web.StreamResponse(headers={"Content-Length": str(len(raw))})
        await response.prepare(request)
        for number in range(PARTS):
            if number >= stops_after:
                await asyncio.sleep(60.0)
            await response.write(raw[number * size : (number + 1) * size])
            await asyncio.sleep(ANSWER_S / PARTS)
        return response

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    try:
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0][:2]
        yield f"{host}:{port}"
    finally:
        await runner.cleanup()


def store_page():
    item = {"key": "op/config", "value": VALUE, "revision": 3}
    return {"entries": [item], "at": 3}


def rows():
    return [{"Key": "settings/a", "Value": VALUE, "ModifyIndex": 3}]


def test_the_store_is_read_however_thin_the_link():
    """Guards against reads that are cut while their bytes come."""

    async def check():
        async with (
            open_slow_server(store_page()) as address,
            open_store(address, lambda transfer: None) as client,
        ):
            found = await client.list("")
            assert isinstance(found, Ok)
            assert len(found.ok_value.items) == 1

    run_async(check())


def test_a_store_that_stops_in_the_middle_is_given_up():
    """Guards against reads without an end over a way that has gone silent."""

    async def check():
        ended = []
        async with (
            open_slow_server(store_page(), stops_after=2) as address,
            open_store(address, ended.append) as client,
        ):
            async with asyncio.timeout(GIVEN_UP_S):
                assert isinstance(await client.list(""), Err)
            assert not client.is_receiving
        assert ended[0].outcome != "ended"
        assert ended[0].received_bytes > 0

    run_async(check())


def test_the_key_value_service_is_read_however_thin_the_link():
    """Guards against reads of all settings that are cut while their bytes come."""

    async def check():
        async with (
            open_slow_server(rows()) as address,
            open_key_value(f"http://{address}", "test") as client,
        ):
            found = await client.list("settings/")
            assert isinstance(found, Ok)
            assert len(found.ok_value.entries) == 1

    run_async(check())


def test_a_key_value_service_that_stops_in_the_middle_is_given_up():
    """Guards against reads without an end over a way that has gone silent."""

    async def check():
        async with (
            open_slow_server(rows(), stops_after=2) as address,
            open_key_value(f"http://{address}", "test") as client,
            asyncio.timeout(GIVEN_UP_S),
        ):
            assert isinstance(await client.list("settings/"), Err)

    run_async(check())


def test_the_list_of_hosts_is_read_however_thin_the_link():
    """Guards against lists of many hosts that are cut while their bytes come."""

    async def check():
        hosts = [{"host": f"host-{n}", "state": "leaving"} for n in range(1_000)]
        async with (
            open_slow_server(hosts) as address,
            aiohttp.ClientSession() as session,
        ):
            found = await HostList(session, f"http://{address}").read_leaving()
        assert isinstance(found, Ok)
        assert len(found.ok_value) == 1_000

    run_async(check())
