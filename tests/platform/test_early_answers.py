"""Servers of the platform that answer a write before they have read it."""

import json

import pytest

from amaranthtally.adapter.store import StoreWrite
from amaranthtally.platform import open_key_value, open_store
from amaranthtally.wire.loop import run
from tests.gateway.fake_endpoint import (
    EarlyEndpoint,
    HalfClose,
    Reset,
    open_endpoint,
)

# More than both sides' sockets hold while the server does not read.
VALUE = b"v" * 8_388_608
HEAD = b"HTTP/1.1 200 OK\r\n"
# When the connection is reset after the response, in seconds.
RESETS_S = (0.0, 0.05, 0.5)


def open_early_server(data, reset_s, half_closes):
    """Answer with some bytes once a head has come, and reset the connection later."""
    steps = [data, *([HalfClose] if half_closes else []), reset_s, Reset]
    return open_endpoint("server", lambda request: steps, EarlyEndpoint)


async def write_to_store(address):
    async with open_store(address, lambda transfer: None) as client:
        return await client.transact([], [StoreWrite("k", VALUE)])


async def write_to_key_value(address):
    async with open_key_value(f"http://{address}", "test") as client:
        return await client.compare_and_swap("k", VALUE, 0)


WRITES = {
    "store": (write_to_store, json.dumps({"revision": 7}).encode()),
    "key-value": (write_to_key_value, b"true"),
}


@pytest.mark.parametrize("half_closes", [False, True], ids=["open", "half-closed"])
@pytest.mark.parametrize("reset_s", RESETS_S)
@pytest.mark.parametrize("write", WRITES)
def test_a_write_that_was_cut_off_is_not_taken_for_done(write, reset_s, half_closes):
    """Guards against a write that counts as done though its value was never read."""
    send, body = WRITES[write]

    async def check():
        data = HEAD + b"\r\n" + body
        async with open_early_server(data, reset_s, half_closes) as server:
            assert (await send(server.address)).is_err()

    run(check())


@pytest.mark.parametrize("write", WRITES)
def test_a_whole_early_answer_to_a_write_is_taken(write):
    """Guards against a client that takes every early answer for a broken one."""
    send, body = WRITES[write]
    length = b"Content-Length: %d\r\n\r\n" % len(body)

    async def check():
        async with open_early_server(HEAD + length + body, 0.5, False) as server:
            assert (await send(server.address)).is_ok()

    run(check())
