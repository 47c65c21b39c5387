"""Responses that never end, over real sockets."""

import asyncio
import gzip
from contextlib import asynccontextmanager

import aiohttp
import pytest
from result import Err

from amaranthtally.platform import (
    PlatformOutcomeUnknown,
    ResponseLimitError,
    bounded_connector,
    open_store,
    response_bounds,
)
from amaranthtally.policy import ResponseLimit
from tests.support import run_async

LIMIT = ResponseLimit(
    head_bytes=16_384, header_lines=32, body_bytes=100_000, stall_s=0.3
)
# What a server may send beyond a bound before it notices the close: what both sides'
# sockets and the server's own buffer hold, in bytes.
SENT_SLACK = 12_000_000
# A server sends no longer than this, in seconds, if nobody closes its connection.
SEND_S = 8.0
# Time within which a connection must be closed, in seconds.
CLOSE_S = 1.0
PAUSE_S = 0.005
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "header lines": (HEAD, b"X-Line: value\r\n"),
    "one header line": (HEAD + b"X-Line: ", b"v" * 512),
    "informational heads": (b"", b"HTTP/1.1 103 Early\r\n\r\n"),
    "a body with no length": (HEAD + b"\r\n", b"b" * 1024),
    "chunks of one byte": (CHUNKED, b"1\r\nb\r\n"),
    "a chunk's extension": (CHUNKED + b"1;", b"e" * 512),
    "trailers": (CHUNKED + b"0\r\n", b"X-Line: value\r\n"),
    "no protocol": (b"", b"\x00\xff" * 256),
}
CLOSED = (aiohttp.ClientError,)


class Server:
    """Sends a beginning and then the same bytes again and again, quickly or slowly."""

    def __init__(self, beginning, repeated, pause_s):
        self.parts = (beginning, repeated, pause_s)
        self.sent = 0
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        beginning, repeated, pause_s = self.parts
        end = asyncio.get_running_loop().time() + SEND_S
        block = repeated * (1 if pause_s else max(1, 65_536 // max(1, len(repeated))))
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(beginning)
            await asyncio.sleep(10 * pause_s)
            while asyncio.get_running_loop().time() < end:
                writer.write(block)
                await writer.drain()
                self.sent += len(block)
                await asyncio.sleep(pause_s)
        except ConnectionError:
            self.closed.set()
        finally:
            writer.close()


@asynccontextmanager
async def open_server(server):
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    try:
        yield f"http://127.0.0.1:{listener.sockets[0].getsockname()[1]}/"
    finally:
        listener.close()


async def read(url, limit=LIMIT):
    async with aiohttp.ClientSession(connector=bounded_connector()) as session:
        with response_bounds(limit):
            response = await session.get(url)
        async with response:
            return await response.read()


@pytest.mark.parametrize("pause_s", [0.0, PAUSE_S], ids=["quickly", "slowly"])
@pytest.mark.parametrize("name", ENDLESS)
def test_a_response_without_end_is_cut_off(name, pause_s):
    """Guards against endpoints that fill the memory, or hold a connection for ever."""
    # The slow server sends some hundred small pieces a second.
    limit = LIMIT._replace(head_bytes=1000, body_bytes=1000) if pause_s else LIMIT

    async def check():
        server = Server(*ENDLESS[name], pause_s)
        async with open_server(server) as url, asyncio.timeout(SEND_S):
            with pytest.raises(CLOSED):
                await read(url, limit)
            async with asyncio.timeout(CLOSE_S):
                await server.closed.wait()
            assert server.sent < SENT_SLACK

    run_async(check())


def test_a_response_without_progress_is_cut_off():
    """Guards against a connection that stays with an endpoint that has stopped."""

    async def check():
        server = Server(CHUNKED, b"1\r\nb\r\n", SEND_S)
        async with open_server(server) as url, asyncio.timeout(CLOSE_S + LIMIT.stall_s):
            with pytest.raises(ResponseLimitError, match="no bytes"):
                await read(url)

    run_async(check())


def test_a_slow_response_that_makes_progress_is_whole():
    """Guards against a bound on silence that counts the whole duration."""

    async def check():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(2 * LIMIT.stall_s)
            writer.write(HEAD + b"Content-Length: 10\r\n\r\n")
            for _ in range(10):
                await asyncio.sleep(LIMIT.stall_s / 3)
                writer.write(b"b")

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        assert await read(f"http://127.0.0.1:{port}/") == b"b" * 10
        listener.close()

    run_async(check())


def test_bytes_on_an_idle_connection_close_it():
    """Guards against an endpoint that goes on sending once its response has ended."""

    async def check():
        server = Server(HEAD + b"Content-Length: 1\r\n\r\nb", b"more", PAUSE_S)
        async with (
            open_server(server) as url,
            aiohttp.ClientSession(connector=bounded_connector()) as session,
        ):
            with response_bounds(LIMIT):
                response = await session.get(url)
            assert await response.read() == b"b"
            async with asyncio.timeout(CLOSE_S):
                await server.closed.wait()

    run_async(check())


def test_the_store_is_not_read_without_end():
    """Guards against a store's response that fills the memory of every entry."""

    async def check():
        server = Server(HEAD + b"\r\n", b"b" * 1024, 0.0)
        async with open_server(server) as url, asyncio.timeout(SEND_S):
            await list_too_much(url)
            async with asyncio.timeout(CLOSE_S):
                await server.closed.wait()

    run_async(check())


def test_a_store_response_that_grows_once_decompressed_is_not_read_whole():
    """Guards against a bound that counts the compressed bytes only."""

    async def check():
        body = gzip.compress(bytes(100 * LIMIT.body_bytes))
        assert len(body) < LIMIT.body_bytes
        head = b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(body)
        server = Server(HEAD + head + body, b"", SEND_S)
        async with open_server(server) as url, asyncio.timeout(SEND_S):
            await list_too_much(url)

    run_async(check())


async def list_too_much(url):
    address = url.removeprefix("http://").strip("/")
    transfers = []
    async with open_store(address, transfers.append, LIMIT) as client:
        answer = await client.list("")
    assert isinstance(answer, Err)
    assert isinstance(answer.err_value, PlatformOutcomeUnknown)
    (transfer,) = transfers
    assert transfer.outcome == ResponseLimitError.__name__
    assert transfer.received_bytes < 10 * LIMIT.body_bytes
