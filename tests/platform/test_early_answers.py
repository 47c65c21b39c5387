"""Servers of the platform that answer a write before they have read it."""

import asyncio
import json
import socket
import struct
from contextlib import asynccontextmanager

import pytest

from amaranthtally.adapter.store import StoreWrite
from amaranthtally.platform import open_key_value, open_store
from amaranthtally.wire.loop import run

# More than both sides' sockets hold while the server does not read.
VALUE = b"v" * 8_388_608
RECEIVE_BUFFER_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# When the connection is reset after the response, in seconds.
RESETS_S = (0.0, 0.05, 0.5)


@asynccontextmanager
async def open_early_server(data, reset_s, half_closes):
    """Answer with some bytes once a head has come, and reset the connection later."""

    async def answer(reader, writer):
        connection = writer.get_extra_info("socket")
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        if half_closes:
            writer.write_eof()
        await asyncio.sleep(reset_s)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()

    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    # The reader's limit keeps the server from reading the rest of the value.
    server = await asyncio.start_server(answer, sock=listener, limit=1024)
    host, port = listener.getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()


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
        async with open_early_server(HEAD + b"\r\n" + body, reset_s, half_closes) as at:
            assert (await send(at)).is_err()

    run(check())


@pytest.mark.parametrize("write", WRITES)
def test_a_whole_early_answer_to_a_write_is_taken(write):
    """Guards against a client that takes every early answer for a broken one."""
    send, body = WRITES[write]
    length = b"Content-Length: %d\r\n\r\n" % len(body)

    async def check():
        async with open_early_server(HEAD + length + body, 0.5, False) as address:
            assert (await send(address)).is_ok()

    run(check())
