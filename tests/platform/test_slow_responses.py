"""Responses that arrive slowly over slow links, and responses that stall."""

import asyncio
import base64
import json
from contextlib import asynccontextmanager

import aiohttp
from aiohttp import web
from result import Err, Ok

from amaranthtally.platform import HostList, open_key_value, open_store
from tests.support import run_async

# The duration of a response sent in parts, in seconds. It is longer than a client's
# read time-out, but the pauses between the parts are shorter.
ANSWER_S = 3.0
PARTS = 20
# Time within which a client must abandon a stalled response, in seconds.
ABANDON_LIMIT_S = 2.5
VALUE = base64.b64encode(b"v" * 30_000).decode()


@asynccontextmanager
async def open_slow_server(body, stops_after=PARTS):
    """Serve one body in parts; stall after ``stops_after`` of them."""
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


def test_the_store_is_read_over_a_slow_link():
    """Guards against time-outs that cut off a response while its data is arriving."""

    async def check():
        async with (
            open_slow_server(store_page()) as address,
            open_store(address, lambda transfer: None) as client,
        ):
            answer = await client.list("")
            assert isinstance(answer, Ok)
            assert len(answer.ok_value.items) == 1

    run_async(check())


def test_a_stalled_response_of_the_store_is_abandoned():
    """Guards against reads that never end over a broken network path."""

    async def check():
        transfers = []
        async with (
            open_slow_server(store_page(), stops_after=2) as address,
            open_store(address, transfers.append) as client,
        ):
            async with asyncio.timeout(ABANDON_LIMIT_S):
                assert isinstance(await client.list(""), Err)
            assert not client.is_receiving
        assert transfers[0].outcome != "ended"
        assert transfers[0].received_bytes > 0

    run_async(check())


def test_the_key_value_service_is_read_over_a_slow_link():
    """Guards against time-outs that cut off a read of all settings in progress."""

    async def check():
        async with (
            open_slow_server(rows()) as address,
            open_key_value(f"http://{address}", "test") as client,
        ):
            answer = await client.list("settings/")
            assert isinstance(answer, Ok)
            assert len(answer.ok_value.entries) == 1

    run_async(check())


def test_a_stalled_response_of_the_key_value_service_is_abandoned():
    """Guards against reads that never end over a broken network path."""

    async def check():
        async with (
            open_slow_server(rows(), stops_after=2) as address,
            open_key_value(f"http://{address}", "test") as client,
            asyncio.timeout(ABANDON_LIMIT_S),
        ):
            assert isinstance(await client.list("settings/"), Err)

    run_async(check())


def test_the_list_of_hosts_is_read_over_a_slow_link():
    """Guards against time-outs that cut off a long list while its data is arriving."""

    async def check():
        hosts = [{"host": f"host-{n}", "state": "leaving"} for n in range(1_000)]
        async with (
            open_slow_server(hosts) as address,
            aiohttp.ClientSession() as session,
        ):
            answer = await HostList(session, f"http://{address}").read_leaving()
        assert isinstance(answer, Ok)
        assert len(answer.ok_value) == 1_000

    run_async(check())
