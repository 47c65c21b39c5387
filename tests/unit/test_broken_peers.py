"""Answers between gateways that break off."""

import asyncio
import socket
import struct

import capnp
import pytest

from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.policy import OriginEntry, StreamOrigin
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_server import serve_gateway
from tests.support import run_async

ORIGIN = StreamOrigin("job", "v1")
# Answers are cut off at each of these distances, in bytes.
STEP = 24


class Peer:
    def find_origin(self, request_id):
        return OriginEntry(request_id, ORIGIN, asyncio.get_running_loop().time() + 60)


class CuttingRelay:
    """Forwards requests, and a number of bytes of replies; then ends connections."""

    def __init__(self, port, resets):
        self.port = port
        self.resets = resets
        self.left = 0
        self.forwarded = 0

    async def serve(self, reader, writer):
        target_reader, target_writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )
        requests = asyncio.create_task(self._forward_requests(reader, target_writer))
        while self.left and (data := await target_reader.read(self.left)):
            self.left -= len(data)
            self.forwarded += len(data)
            writer.write(data)
            await writer.drain()
        requests.cancel()
        if self.resets:
            linger = struct.pack("ii", 1, 0)
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()
        target_writer.close()

    async def _forward_requests(self, reader, target_writer):
        while data := await reader.read(65_536):
            target_writer.write(data)
        target_writer.close()


async def find(address):
    peers = PeerConnections("g0", Supervisor(), None)
    peers.set_addresses({"g1": address})
    try:
        return await peers.find_origin("g1", "r1")
    finally:
        peers.close()


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
def test_an_answer_that_breaks_off_is_none(resets):
    """Guards against an origin that is read as unknown, or from a part of an answer."""

    async def check():
        async with capnp.kj_loop(), serve_gateway(Peer(), "127.0.0.1", 0) as port:
            relay = CuttingRelay(port, resets)
            server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
            host, relay_port = server.sockets[0].getsockname()
            relay.left = 1_000_000
            assert (await find(f"{host}:{relay_port}")).origin == ORIGIN
            # The last message only frees what was sent before.
            needed = relay.forwarded
            lost = 0
            for size in range(0, needed, STEP):
                relay.left = size
                try:
                    entry = await find(f"{host}:{relay_port}")
                except PeerLostError:
                    lost += 1
                    continue
                assert entry is not None
                assert entry.origin == ORIGIN
            assert lost >= needed // STEP - 2
            server.close()

    run_async(check())
