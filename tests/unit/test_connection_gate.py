"""Connections that are closed unread."""

import asyncio

from amaranthtally.daemon.gateway import connection_gate
from amaranthtally.daemon.gateway.connection_gate import ConnectionGate
from tests.support import run_async


class Echo(asyncio.Protocol):
    """Answers each read with the same bytes."""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.transport.write(data)


async def exchange(port):
    """Return what comes back; empty if the connection ends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(b"hello")
        return await reader.read(5)
    except ConnectionError:
        return b""
    finally:
        writer.close()


def test_connections_are_closed_unread_while_the_loop_is_late_and_taken_after():
    """Guards against a gateway that stays closed, or reads what it cannot serve."""

    async def check():
        gate = ConnectionGate()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: gate.guard(Echo), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        assert await exchange(port) == b"hello"
        for _ in range(5):
            gate._estimate.note_check(1.0)
        assert await exchange(port) == b""
        assert gate.closed == 1
        checks = asyncio.create_task(gate.run())
        await asyncio.sleep(12 * connection_gate.CHECK_INTERVAL_S)
        assert await exchange(port) == b"hello"
        checks.cancel()
        server.close()

    run_async(check())
