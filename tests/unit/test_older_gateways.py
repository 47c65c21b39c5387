"""Calls of gateways of an older version, which do not know every method."""

import re
from pathlib import Path

import capnp
import pytest

from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.policy import LoadMessage
from amaranthtally.wire import MethodUnknownError, gateway_codec
from amaranthtally.wire.gateway_codec import Versions
from tests.support import run_async


def older_schema(folder):
    """Return the schema of before the exchange of loads; numbers have no gaps."""
    schema = Path(gateway_codec.__file__).with_name("gateway.capnp").read_text()
    path = folder / "older.capnp"
    path.write_text(re.sub(r"  \w+ @1[789] [^;]*;", "", schema))
    return capnp.SchemaParser().load(str(path))


def test_a_peer_that_does_not_know_a_call_keeps_its_connection(tmp_path):
    """Guards against jobs that are lost while gateways are replaced one by one."""
    connections = []

    class Server(older_schema(tmp_path).Gateway.Server):
        async def greet(self, **_):
            pass

    async def accept(stream):
        server = capnp.TwoPartyServer(stream, bootstrap=Server())
        connections.append(server)
        await server.on_disconnect()

    async def check():
        async with capnp.kj_loop():
            await call_twice()

    async def call_twice():
        listener = await capnp.AsyncIoStream.create_server(accept, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        peers = PeerConnections("g0", Supervisor(), None)
        peers.set_addresses({"g1": f"127.0.0.1:{port}"})
        for _ in range(2):
            with pytest.raises(MethodUnknownError):
                await peers.exchange_loads("g1", LoadMessage(1, 1, 0, 0, ""))
            await peers.exchange_status("g1", Versions())
        peers.close()
        listener.close()

    run_async(check())
    assert len(connections) == 1
