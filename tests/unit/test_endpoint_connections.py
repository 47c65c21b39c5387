"""Responses that a sidecar's endpoint leaves on a connection."""

import asyncio

import aiohttp
import pytest

from amaranthtally.daemon.sidecar.adapters import EndpointCall, adapter_for
from amaranthtally.daemon.sidecar.endpoint_call import call_endpoint
from amaranthtally.daemon.sidecar.service import open_endpoint_session
from amaranthtally.wire import CallId, StageCall, Status
from tests.support import run_async

CALLS = 6
KINDS = ("plain", "encoder", "retriever", "reranker")


def response(status, body):
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


LEFTOVERS = {
    "success": response(b"200 OK", b'"foreign"'),
    "failure": response(b"500 Failed", b"foreign"),
    "missing": response(b"404 Not Found", b"foreign"),
}


async def serve_with_leftovers(reader, writer, leftover):
    """Send a leftover before the response to each call but a connection's first."""
    previous = b""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            body = await reader.readexactly(length)
            writer.write(previous)
            await writer.drain()
            await asyncio.sleep(0.01)
            own = b'"own"' if b"1" in body else b'"other"'
            writer.write(response(b"200 OK", own))
            previous = leftover
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("leftover", LEFTOVERS.values(), ids=LEFTOVERS)
def test_a_call_gets_no_response_to_an_earlier_one(kind, leftover):
    """Guards against a stage that gets another call's result, or counts as failed."""

    async def check():
        server = await asyncio.start_server(
            lambda r, w: serve_with_leftovers(r, w, leftover), "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()
        async with open_endpoint_session() as session:
            for number in range(CALLS):
                call = StageCall(
                    CallId(f"r{number}", 0, 1),
                    "account",
                    "order",
                    b'{"input": 1, "previous": null}',
                    5.0,
                    repeatable=kind != "plain",
                )
                target = EndpointCall(session, f"http://{host}:{port}", call, None)
                result = await call_endpoint(adapter_for(kind), target)
                assert (result.status, result.output) == (Status.FINISHED, b'"own"')
        server.close()

    run_async(check())


def test_an_endpoint_that_cannot_be_reached_has_not_run_a_call():
    """Guards against an order that counts as begun though nothing was sent."""

    async def check():
        call = StageCall(
            CallId("r", 0, 1), "a", "order", b'{"input": 1, "previous": null}', 5.0
        )
        async with open_endpoint_session() as session:
            assert isinstance(session, aiohttp.ClientSession)
            target = EndpointCall(session, "http://127.0.0.1:1", call, None)
            result = await call_endpoint(adapter_for("plain"), target)
        assert result.status is Status.NOT_RUN

    run_async(check())
