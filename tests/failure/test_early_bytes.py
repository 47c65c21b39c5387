"""A peer's first bytes that arrive before the server's first read."""

import socket
from contextlib import AsyncExitStack

import capnp

from amaranthtally.wire import (
    HelloReply,
    Load,
    SettingsDelta,
    connect_sidecar,
    serve_sidecar,
)
from amaranthtally.wire.loop import run

CONNECTIONS = 5
EMPTY_MESSAGE = bytes(8)


class IdleHandler:
    async def hello(self, entry, revision, fetch):
        return HelloReply("encoder-1", Load())

    def load(self):
        return Load()

    def changes_since(self, revision):
        return SettingsDelta(0, ())


def test_bytes_that_arrive_before_the_first_read_are_kept():
    """
    Guards against a sidecar that crashes with SIGSEGV as entries connect.

    On a busy host, an entry's first bytes reach the socket before the server's first
    read. pycapnp then pauses the transport from inside uvloop's buffer callback, and
    all calls in the process are lost. Without WireLoop this test kills the whole pytest
    process.
    """

    async def scenario():
        async with (
            capnp.kj_loop(),
            serve_sidecar(IdleHandler(), "127.0.0.1", 0) as port,
            AsyncExitStack() as stack,
        ):
            for _ in range(CONNECTIONS):
                early = socket.create_connection(("127.0.0.1", port))
                stack.enter_context(early)
                early.sendall(EMPTY_MESSAGE)
            client = await connect_sidecar("127.0.0.1", port, 1.0)
            greeting = await client.hello("entry-1", 0, IdleHandler())
            assert greeting.endpoint == "encoder-1"
            client.close()

    run(scenario())
