"""Messages between gateways that are larger than any real one."""

import asyncio
import struct

import capnp
import pytest

from amaranthtally.policy import PeerRecord
from amaranthtally.wire.errors import PeerLostError
from amaranthtally.wire.gateway_client import connect_gateway
from amaranthtally.wire.gateway_codec import MAX_MESSAGE_WORDS, Greeter, Versions
from amaranthtally.wire.gateway_server import serve_gateway
from tests.support import run_async

# The header of a message of one segment: the number of segments less one, and its size.
TOO_LARGE = struct.pack("<II", 0, MAX_MESSAGE_WORDS + 1)
BLOCK = bytes(65_536)
# What a sender may write before it notices the close: what the sockets hold, in bytes.
SENT_SLACK = 8_000_000
CLOSE_S = 5.0


async def send_endlessly(writer):
    """Send a message that is too large; return the bytes sent until the close."""
    sent = 0
    try:
        writer.write(TOO_LARGE)
        while sent < 8 * MAX_MESSAGE_WORDS:
            writer.write(BLOCK)
            await writer.drain()
            sent += len(BLOCK)
    except ConnectionError:
        pass
    finally:
        writer.close()
    return sent


def test_a_gateway_does_not_receive_a_message_without_end():
    """Guards against a peer's message that fills the memory of a gateway."""

    async def check():
        async with capnp.kj_loop(), serve_gateway(None, "127.0.0.1", 0) as port:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            async with asyncio.timeout(CLOSE_S):
                assert await send_endlessly(writer) < SENT_SLACK

    run_async(check())


def test_a_gateway_does_not_read_an_answer_without_end():
    """Guards against a peer's answer that fills the memory of a gateway."""

    async def check():
        greeter = Greeter(PeerRecord("127.0.0.1:1", "here"))
        sent = asyncio.get_running_loop().create_future()

        async def answer(reader, writer):
            sent.set_result(await send_endlessly(writer))

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with capnp.kj_loop(), asyncio.timeout(CLOSE_S):
            client = await connect_gateway(host, port, CLOSE_S, CLOSE_S)
            with pytest.raises(PeerLostError):
                await client.exchange_status("one", greeter, Versions(), False)
            client.close()
            assert await sent < SENT_SLACK
        server.close()

    run_async(check())
