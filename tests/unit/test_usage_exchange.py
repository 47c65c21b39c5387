"""Usage reports between gateways, over the wire."""

import asyncio
from importlib.resources import files
from types import SimpleNamespace

import capnp
import pytest

from amaranthtally.policy import AccountUsage, UsageReport, Work
from amaranthtally.wire import MethodUnknownError
from amaranthtally.wire.gateway_client import connect_gateway
from amaranthtally.wire.gateway_codec import gateway_schema
from amaranthtally.wire.gateway_server import serve_gateway
from amaranthtally.wire.usage_codec import write_usage
from tests.support import run_async

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
LARGE_FLEET_RECEIVERS = 4
REPORTS_PER_S = 2


def older_gateway(folder):
    """Return a gateway of a version without the method."""
    lines = files("amaranthtally.wire").joinpath("gateway.capnp").read_text("utf-8")
    newer = ("exchangeUsage @18", "withdrawJobs @19")
    known = [line for line in lines.splitlines() if not any(n in line for n in newer)]
    path = folder / "older.capnp"
    path.write_text("\n".join(known))
    schema = capnp.SchemaParser().load(str(path))

    class OlderGateway(schema.Gateway.Server):
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
            await capnp.TwoPartyServer(
                stream, bootstrap=older_gateway(tmp_path)
            ).on_disconnect()

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
    sent_and_received = 2 * LARGE_FLEET_RECEIVERS * REPORTS_PER_S * size
    assert sent_and_received < CONTROL_BYTES_PER_S, size
