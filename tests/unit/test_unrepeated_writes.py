"""Writes whose response never comes: whether they took effect is unknown."""

import asyncio

import pytest
from result import Err

from amaranthtally.platform import (
    LeaseClient,
    PlatformOutcomeUnknown,
    bounded_session,
    open_key_value,
    open_store,
)
from tests.support import run_async

HEAD_END = b"\r\n\r\n"
SOUND = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue"
# What a server does with a write instead of answering it.
ENDS = {
    "closed": b"",
    "status 000": b"HTTP/1.1 000\r\nContent-Length: 4\r\n\r\ntrue",
    "half a head": SOUND[:20],
    "half a body": SOUND[:-2],
    "other words": SOUND.replace(b"true", b"\xff\xfe??"),
}


class Server:
    """Serves a first call soundly, and ends the connection of each later one."""

    def __init__(self, ending):
        self.ending = ending
        self.calls = []

    async def serve(self, reader, writer):
        try:
            while head := await reader.readuntil(HEAD_END):
                self.calls.append(head.split(b" ", 1)[0])
                lowered = head.lower()
                if b"content-length:" in lowered:
                    length = lowered.split(b"content-length:")[1].split(b"\r\n")[0]
                    await reader.readexactly(int(length))
                if len(self.calls) > 1:
                    writer.write(self.ending)
                    return
                writer.write(SOUND)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


async def swap(url, session):
    async with open_key_value(url, "test") as client:
        await client.compare_and_swap("first", b"", 0)
        return await client.compare_and_swap("k", b"value", 1)


async def delete(url, session):
    async with open_key_value(url, "test") as client:
        await client.compare_and_swap("first", b"", 0)
        return await client.delete("k", 1)


async def acquire(url, session):
    client = LeaseClient(session, url)
    await client.acquire("first", b"", 0, "s")
    return await client.acquire("k", b"value", 1, "s")


async def transact(url, session):
    async with open_store(url.removeprefix("http://"), lambda t: None) as client:
        await client.get("first")
        return await client.transact([], [])


@pytest.mark.parametrize("write", [swap, delete, acquire, transact])
@pytest.mark.parametrize("end", ENDS)
def test_a_write_without_a_response_is_unknown_and_sent_once(write, end):
    """Guards against a write that took effect, and whose repeat says it did not."""

    async def check():
        server = Server(ENDS[end])
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        async with bounded_session() as session:
            answer = await write(f"http://127.0.0.1:{port}", session)
        assert len(server.calls) == 2
        assert isinstance(answer, Err)
        listener.close()
        if (write, end) != (transact, "other words"):
            assert isinstance(answer.err_value, PlatformOutcomeUnknown)

    run_async(check())
