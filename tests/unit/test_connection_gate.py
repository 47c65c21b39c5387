"""Connections that are closed unread."""

import asyncio

import pytest
import uvloop

from amaranthtally.daemon.gateway import connection_gate
from amaranthtally.daemon.gateway.connection_gate import (
    LATE_CHECK_S,
    MAX_PER_CHECK,
    ConnectionGate,
    LoadEstimate,
)
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


def taken(estimate):
    """Return how many of many connections are taken until the next check."""
    return sum(estimate.take() for _ in range(10 * MAX_PER_CHECK))


@pytest.mark.parametrize("delay_s", [LATE_CHECK_S + 0.01, 0.1, 5.0])
def test_single_late_checks_cost_no_connections(delay_s):
    """Guards against resets as a process wakes, or after a moment of a neighbour's."""
    estimate = LoadEstimate()
    for _ in range(5):
        estimate.note_check(delay_s)
        assert taken(estimate) == MAX_PER_CHECK
        for _ in range(10):
            estimate.note_check(0.0)


def test_late_checks_in_a_row_reduce_what_is_taken():
    """Guards against a gateway that goes on to take what makes it late."""
    estimate = LoadEstimate()
    counts = []
    for _ in range(5):
        estimate.note_check(LATE_CHECK_S + 0.01)
        counts.append(taken(estimate))
    assert counts == [MAX_PER_CHECK, 8, 4, 2, 1]


def test_late_checks_without_connections_cost_none():
    """Guards against callers who pay for what other processes of the host do."""
    estimate = LoadEstimate()
    for _ in range(20):
        estimate.note_check(LATE_CHECK_S + 0.01)
        assert estimate.take()
    estimate.note_check(LATE_CHECK_S + 0.01)
    assert taken(estimate) == MAX_PER_CHECK


def test_an_unread_connection_is_reset_without_an_error():
    """Guards against an exception, with its traceback in the log, for each of them."""

    async def check():
        loop = asyncio.get_running_loop()
        errors = []
        loop.set_exception_handler(lambda _, context: errors.append(context))
        gate = ConnectionGate()
        server = await loop.create_server(lambda: gate.guard(Echo), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            answers = [await exchange(port) for _ in range(MAX_PER_CHECK + 4)]
        assert b"" in answers
        assert errors == []

    uvloop.run(asyncio.wait_for(check(), 10.0))
