"""Responses that come in more bytes, or in smaller chunks, than are parsed at once."""

import asyncio
import random
import time
from collections import Counter
from contextlib import suppress

import aiohttp
import pytest
from aiohttp.client_proto import ResponseHandler

from amaranthtally.platform import Reception, ResponseLimitError, bounded_session
from amaranthtally.platform.read_turns import SLICE_BYTES, TURN_S, ReadTurns
from amaranthtally.policy import PLATFORM_LIMIT
from tests.support import run_async

HEAD = b"HTTP/1.1 200 OK\r\n"
BODY = bytes(random.Random(1).randbytes(700_000))
SMALL = BODY[:30_000]
SLICES_A_TURN = 4
MANY_CHUNKS = 16_385
PAUSE_S = 0.002


def chunks(body, size):
    parts = (body[n : n + size] for n in range(0, len(body), size))
    framed = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + framed + b"0\r\n\r\n"


RESPONSES = {
    "length": (HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY, BODY),
    "close": (HEAD + b"\r\n" + BODY, BODY),
    "chunks": (chunks(BODY, 10_000), BODY),
    "chunks of one byte": (chunks(SMALL, 1), SMALL),
    "informational heads": (
        b"HTTP/1.1 103 Early\r\n\r\n" * 2000 + chunks(SMALL, 100),
        SMALL,
    ),
}
WRITES = (1, 100, SLICE_BYTES, SLICE_BYTES + 1, 10_000_000)


async def serve(data, write_bytes):
    """Serve a response in writes of a size, and close the connection."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        # A byte at a time only as far as the first slice.
        first = SLICE_BYTES if write_bytes == 1 else 0
        for start in range(first):
            writer.write(data[start : start + 1])
            if not start % 1000:
                await asyncio.sleep(0)
        for start in range(first, len(data), max(write_bytes, 100)):
            writer.write(data[start : start + max(write_bytes, 100)])
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    return server, f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"


@pytest.mark.parametrize("pause_s", [0.0, PAUSE_S], ids=["at once", "slowly"])
@pytest.mark.parametrize("write_bytes", WRITES)
@pytest.mark.parametrize("name", RESPONSES)
def test_a_response_is_the_same_in_whatever_parts_it_comes(name, write_bytes, pause_s):
    """Guards against bytes that are lost, mixed up, or left as the connection ends."""
    data, body = RESPONSES[name]

    async def check():
        server, url = await serve(data, write_bytes)
        reception = Reception(10 * len(BODY))
        async with bounded_session(reception=reception) as session:

            async def read():
                async with session.get(url) as response:
                    received = bytearray()
                    async for part in response.content.iter_any():
                        received += part
                        await asyncio.sleep(pause_s)
                    return bytes(received)

            assert await asyncio.gather(*(read() for _ in range(4))) == [body] * 4
        assert reception.held_bytes == 0
        server.close()

    run_async(check())


def test_a_pause_between_chunks_loses_nothing():
    """Guards against the rest of a response that the parser keeps as it is over."""

    async def check():
        # One chunk more than the reader takes before it asks for a pause, and less than
        # a slice.
        body = SMALL[: MANY_CHUNKS + 1000]
        first = chunks(body[:MANY_CHUNKS], 1).removesuffix(b"0\r\n\r\n")
        rest = chunks(body[MANY_CHUNKS:], 1).split(b"\r\n\r\n", 1)[1]
        is_read = asyncio.Event()

        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first)
            await is_read.wait()
            writer.write(rest)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
        async with bounded_session() as session, session.get(url) as response:
            content = response.content
            while content.total_bytes < MANY_CHUNKS:
                await asyncio.sleep(PAUSE_S)
            received = content.read_nowait()
            is_read.set()
            # The connection ends before the reader goes on.
            while not content.is_eof() and content.exception() is None:
                await asyncio.sleep(PAUSE_S)
            assert received + await content.read() == body
        server.close()

    run_async(check())


def test_a_call_that_is_given_up_leaves_nothing_behind():
    """Guards against slices of a connection that nobody reads any more."""

    async def check():
        server, url = await serve(chunks(SMALL, 1) * 20, 10_000_000)
        reception = Reception()
        async with bounded_session(reception=reception) as session:
            for _ in range(20):
                with pytest.raises(TimeoutError):
                    async with asyncio.timeout(PAUSE_S), session.get(url) as response:
                        await response.content.readany()
                        await asyncio.sleep(1.0)
            await asyncio.sleep(PAUSE_S)
            assert reception.held_bytes == 0
        server.close()

    run_async(check())


def test_the_largest_of_responses_that_do_not_fit_is_ended():
    """Guards against bodies, each within its bound, that take the memory together."""

    async def check():
        server, url = await serve(RESPONSES["length"][0], 10_000_000)
        small, small_url = await serve(chunks(SMALL, 100), 10_000_000)
        reception = Reception(2 * len(BODY))
        async with bounded_session(PLATFORM_LIMIT, reception) as session:

            async def read(address):
                try:
                    async with session.get(address) as response:
                        return await response.read()
                except aiohttp.ClientError as error:
                    return type(error)

            calls = [read(address) for address in (url,) * 8 + (small_url,)]
            *large, last = await asyncio.gather(*calls)
            assert set(large) == {BODY, ResponseLimitError}
            assert last == SMALL
        assert reception.held_bytes == 0
        server.close()
        small.close()

    run_async(check())


class Connection:
    """Has a number of bytes to parse, and notes when it does."""

    def __init__(self, name, size, order):
        self.name, self.left, self.order = name, size, order

    @property
    def can_parse(self):
        return self.left > 0

    def parse_slice(self, most_bytes):
        size = min(self.left, most_bytes)
        self.left -= size
        self.order.append(self.name)


class Clock:
    """A clock on which each slice takes a quarter of a turn."""

    def __init__(self):
        self.readings = 0

    def __call__(self):
        self.readings += 1
        return self.readings // 2 * TURN_S / SLICES_A_TURN


def test_a_connection_waits_for_one_slice_of_each_other(monkeypatch):
    """Guards against a server that is answered only once others have sent all."""
    monkeypatch.setattr(time, "perf_counter", Clock())

    async def check():
        order = []
        turns = ReadTurns()
        for name in "abcdef":
            turns.request(Connection(name, 20 * SLICE_BYTES, order))
        turns.request(Connection("small", 1, order))
        while "small" not in order:
            before = len(order)
            await asyncio.sleep(0)
            whole = [name for name in order[before:] if name != "small"]
            assert len(whole) <= SLICES_A_TURN
        assert order.index("small") <= 12

    run_async(check())


class FailingConnection(Connection):
    """Raises with its second slice."""

    def parse_slice(self, most_bytes):
        super().parse_slice(most_bytes)
        if self.order.count(self.name) > 1:
            raise ValueError


def test_what_one_connection_raises_does_not_stop_the_others():
    """Guards against a process that reads no response any more after one error."""

    async def check():
        order = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        turns = ReadTurns()
        turns.request(FailingConnection("failing", 5 * SLICE_BYTES, order))
        others = [Connection(name, 5 * SLICE_BYTES, order) for name in "ab"]
        for other in others:
            turns.request(other)
        async with asyncio.timeout(5.0):
            while any(other.can_parse for other in others):
                await asyncio.sleep(0)
        assert order.count("failing") == 2

    run_async(check())


def test_little_is_parsed_at_a_time_however_much_has_come(monkeypatch):
    """Guards against an event loop that serves nobody while it parses small chunks."""
    parsed = Counter()
    turn = 0
    parse = ResponseHandler.data_received

    def count(handler, data):
        parsed[turn] += len(data)
        parse(handler, data)

    async def note_turns():
        nonlocal turn
        while True:
            await asyncio.sleep(0)
            turn += 1

    async def check():
        data = chunks(SMALL, 1) + BODY
        server, url = await serve(data, 10_000_000)
        turns = asyncio.create_task(note_turns())
        async with bounded_session() as session:

            async def read():
                async with session.get(url) as response:
                    with suppress(aiohttp.ClientError):
                        await response.read()

            await asyncio.gather(*(read() for _ in range(12)))
        turns.cancel()
        server.close()
        assert max(parsed.values()) <= (SLICES_A_TURN + 1) * SLICE_BYTES

    monkeypatch.setattr(ResponseHandler, "data_received", count)
    monkeypatch.setattr(time, "perf_counter", Clock())
    run_async(check())
