"""What reads a server's responses, and responses that are broken."""

import asyncio
import json
import socket
import struct
from contextlib import asynccontextmanager

import pytest

from amaranthtally.daemon.sidecar.adapters import EndpointCall, adapter_for
from amaranthtally.daemon.sidecar.endpoint_call import call_endpoint
from amaranthtally.daemon.sidecar.engine_orders import (
    EngineOrders,
    LeaseGrant,
    OrderError,
    boot_time,
)
from amaranthtally.daemon.sidecar.service import open_endpoint_session
from amaranthtally.daemon.sidecar.weights import WeightsError, copy_weights
from amaranthtally.operator.connection import Connection, Target
from amaranthtally.platform import (
    HostList,
    LeaseClient,
    bounded_session,
    open_key_value,
    open_store,
)
from amaranthtally.policy.model_orders import SetRole
from amaranthtally.wire import CallId, StageCall, Status
from tests.gateway.broken_responses import WHOLE, broken_responses
from tests.gateway.malformed_heads import malformed_responses
from tests.support import run_async

STORE_ITEM = json.dumps({"key": "k", "value": "MQ==", "revision": 7}).encode()
LEASE_ROW = json.dumps([{"Value": "MQ==", "ModifyIndex": 7}]).encode()
PAGE = json.dumps({"entries": [], "at": 9, "hasMore": False}).encode()
# Time between the last byte and the end of the connection, in seconds.
PAUSE_S = 0.01
# Without a length and chunks, a close is the end of a body, but a reset is not.
UNFRAMED = "unframed"
NAMES = (*broken_responses([b"HTTP/1.1 200 OK\r\n"], b"12345"), UNFRAMED)


def response(name, status, body):
    lines = [b"HTTP/1.1 %s\r\n" % status, b"X-Consul-Index: 3\r\n"]
    if name == UNFRAMED:
        return b"".join(lines) + b"\r\n" + body[:-1]
    return broken_responses(lines, body)[name]


@asynccontextmanager
async def serve(data, resets):
    """Answer each request with some bytes, and end its connection."""

    async def answer(reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        if b"content-length:" in head:
            length = head.split(b"content-length:")[1].split(b"\r\n")[0]
            await reader.readexactly(int(length))
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        if resets:
            linger = struct.pack("ii", 1, 0)
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()
        # Connections that outlive the loop report this as an error.
        await asyncio.sleep(2 * PAUSE_S)


async def store_accepts(data, resets, call):
    async with (
        serve(data, resets) as address,
        open_store(address, lambda transfer: None) as client,
    ):
        return (await call(client)).is_ok()


async def key_value_accepts(data, resets, call):
    async with (
        serve(data, resets) as address,
        open_key_value(f"http://{address}", "test") as client,
    ):
        return (await call(client)).is_ok()


async def sidecar_accepts(data, resets, kind):
    call = StageCall(
        CallId("r", 0, 1), "a", "order", b'{"input": 1, "previous": null}', 5.0
    )
    async with serve(data, resets) as address, open_endpoint_session() as session:
        target = EndpointCall(session, f"http://{address}", call, None)
        result = await call_endpoint(adapter_for(kind), target)
        return result.status is Status.FINISHED


async def lease_accepts(data, resets, call):
    async with serve(data, resets) as address, bounded_session() as session:
        return (await call(LeaseClient(session, f"http://{address}"))).is_ok()


async def hosts_accept(data, resets, call):
    async with serve(data, resets) as address, bounded_session() as session:
        return (await call(HostList(session, f"http://{address}"))).is_ok()


async def engine_accepts(data, resets, call):
    async with serve(data, resets) as address, bounded_session() as session:
        try:
            await call(session, f"http://{address}")
        except (OrderError, WeightsError):
            return False
        return True


def send_order(session, url):
    grant = LeaseGrant(1, boot_time() + 60.0)
    return EngineOrders(session, url).send(SetRole("both"), grant)


async def operator_accepts(data, resets, path):
    async with serve(data, resets) as address:
        target = Target(admin_url=f"http://{address}", admin_key="key")
        return (
            await asyncio.to_thread(Connection(target).read, path, dict[str, int])
        ).is_ok()


CALLS = {
    "get": (store_accepts, b"200 OK", STORE_ITEM, lambda c: c.get("k")),
    "absent": (store_accepts, b"404 Not Found", b"none", lambda c: c.get("k")),
    "list": (store_accepts, b"200 OK", PAGE, lambda c: c.list("")),
    "renewed": (store_accepts, b"200 OK", b"{} ", lambda c: c.renew_lease(1)),
    "lease-gone": (store_accepts, b"404 No", b"none", lambda c: c.renew_lease(1)),
    "lost-write": (store_accepts, b"412 No", b"none", lambda c: c.transact([], [])),
    "key": (key_value_accepts, b"200 OK", b"[]  ", lambda c: c.get("k")),
    "no-key": (key_value_accepts, b"404 No", b"none", lambda c: c.get("k")),
    "swap": (
        key_value_accepts,
        b"200 OK",
        b"true",
        lambda c: c.compare_and_swap("k", b"", 1),
    ),
    "plain": (sidecar_accepts, b"200 OK", b'"own"', "plain"),
    "encoder": (sidecar_accepts, b"200 OK", b'"own"', "encoder"),
    "lease-key": (lease_accepts, b"200 OK", LEASE_ROW, lambda c: c.read("k")),
    "lease": (lease_accepts, b"200 OK", b'{"ID": "s"}', lambda c: c.open_session(9.0)),
    "acquired": (
        lease_accepts,
        b"200 OK",
        b"true",
        lambda c: c.acquire("k", b"", 0, "s"),
    ),
    "hosts": (hosts_accept, b"200 OK", b"[]   ", lambda h: h.read_leaving()),
    "engine": (
        engine_accepts,
        b"200 OK",
        b'{"models": []}',
        lambda session, url: EngineOrders(session, url).state(),
    ),
    "operator": (operator_accepts, b"200 OK", b'{"a": 1}', "state"),
}

# These read a status alone, or pass a body on.
ORDERS = {
    "order": (engine_accepts, b"200 OK", b"", send_order),
    "weights": (
        engine_accepts,
        b"200 OK",
        b"weights",
        lambda session, url: copy_weights(session, url, url, "m"),
    ),
}


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
def test_a_response_that_breaks_off_is_not_accepted(call, resets):
    """Guards against an absent key, a lost lease or a result that nobody has sent."""
    accepts, status, body, argument = call

    async def check():
        accepted = []
        for name in NAMES if resets else NAMES[:-1]:
            data = response(name, status, body)
            if await accepts(data, resets, argument):
                accepted.append(name)
        assert tuple(accepted) == WHOLE

    run_async(check())


@pytest.mark.parametrize("call", (CALLS | ORDERS).values(), ids=CALLS | ORDERS)
def test_a_response_with_a_malformed_head_is_not_accepted(call):
    """Guards against a status of 000, or a body of unknown end, that is believed."""
    accepts, _, body, argument = call

    async def check():
        responses = malformed_responses([b"X-Consul-Index: 3"], body)
        accepted = [
            name
            for name, data in responses.items()
            if await accepts(data, False, argument)
        ]
        assert accepted == []

    run_async(check())
