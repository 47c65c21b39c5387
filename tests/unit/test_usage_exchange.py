"""Usage reports between gateways, over the wire."""

import asyncio
from types import SimpleNamespace

import capnp
import pytest

from amaranthtally.policy import AccountUsage, UsageReport, Work
from amaranthtally.policy.fair_shares.fair_shares import SEND_INTERVAL_S
from amaranthtally.policy.fair_shares.usage_sender import RECEIVERS
from amaranthtally.wire import MethodUnknownError
from amaranthtally.wire.gateway_client import connect_gateway
from amaranthtally.wire.gateway_codec import gateway_schema
from amaranthtally.wire.gateway_server import serve_gateway
from amaranthtally.wire.usage_codec import write_usage
from tests.support import run_async
from tests.unit.test_older_gateways import older_schema

WORKS = (Work(2.0, 1.0), Work(0.5, 0.25))
REPORT = UsageReport(
    incarnation=2**62,
    serial=7,
    remaining_s=1.5,
    is_overloaded=True,
    wait_limits_s=(0.5, 0.0),
    accounts=tuple(AccountUsage(2**64 - 1 - n, WORKS) for n in range(32)),
    rest=WORKS,
    rest_accounts=9,
)
# Bytes a second that an entry of 750 sends and receives for control in all.
CONTROL_BYTES_PER_S = 18_000
REPORTS_PER_S = 1 / SEND_INTERVAL_S


def older_gateway(folder):
    """Return a gateway of a version without the method."""

    class OlderGateway(older_schema(folder).Gateway.Server):
        """Knows the methods of its schema only."""

    return OlderGateway()


async def call(port):
    client = await connect_gateway("127.0.0.1", port, 1.0, 1.0)
    try:
        await client.exchange_usage("e1", REPORT)
    finally:
        client.close()


def test_a_report_arrives_as_it_was_sent():
    """Guards against figures that change places or lose their account on the way."""
    received = []
    handler = SimpleNamespace(usage_received=lambda *heard: received.append(heard))

    async def check():
        async with capnp.kj_loop(), serve_gateway(handler, "127.0.0.1", 0) as port:
            await call(port)

    run_async(check())
    assert received == [("e1", REPORT)]


def test_an_older_peer_is_told_from_one_that_is_lost(tmp_path):
    """Guards against closing the connection on which an older peer runs jobs."""

    async def check():
        async def accept(stream):
            server = capnp.TwoPartyServer(stream, bootstrap=older_gateway(tmp_path))
            await server.on_disconnect()

        async with capnp.kj_loop():
            server = await capnp.AsyncIoStream.create_server(accept, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            with pytest.raises(MethodUnknownError):
                await call(port)
            server.close()
            await asyncio.sleep(0)

    run_async(check())


def test_reports_of_a_large_fleet_fit_into_its_control_traffic():
    """Guards against reports that use up what 750 entries may send for control."""
    usage = gateway_schema.Usage.new_message()
    write_usage(usage, REPORT)
    size = len(usage.to_bytes())
    sent_and_received = 2 * RECEIVERS * REPORTS_PER_S * size
    assert sent_and_received < CONTROL_BYTES_PER_S, size
