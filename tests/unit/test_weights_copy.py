"""Copies of weights whose source or engine answers early, late or oddly."""

import asyncio

import pytest
from aiohttp import web

from amaranthtally.daemon.sidecar import weights
from amaranthtally.daemon.sidecar.weights import WeightsError, copy_weights
from amaranthtally.platform import bounded_session
from tests.support import run_async
from tests.support.http import serve_http

PART = b"w" * 100_000
PARTS = 30
PAUSE_S = 0.005


class Services:
    """A weight store that sends parts, and an engine that stores them."""

    def __init__(self, *, reads=True, breaks_off=False, retry_after=""):
        self.reads, self.breaks_off = reads, breaks_off
        self.retry_after = retry_after
        self.stored = None

    async def send(self, request):
        if self.retry_after:
            headers = {"Retry-After": self.retry_after}
            self.retry_after = ""
            return web.Response(status=429, headers=headers)
        response = web.StreamResponse()
        await response.prepare(request)
        for number in range(PARTS):
            if self.breaks_off and number == PARTS // 2:
                request.transport.abort()
            await response.write(PART)
            await asyncio.sleep(PAUSE_S)
        return response

    async def store(self, request):
        if self.reads:
            self.stored = await request.read()
        return web.Response()


async def copy(services):
    app = web.Application(client_max_size=2 * PARTS * len(PART))
    app.router.add_get("/v1/weights/m", services.send)
    app.router.add_put("/v1/weights/m", services.store)
    async with serve_http(app, "127.0.0.1:0", 0.1) as port, bounded_session() as http:
        url = f"http://127.0.0.1:{port}"
        await copy_weights(http, url, url, "m")


def test_all_weights_are_copied():
    """Guards against a bound on what weights may take, or a part that is missing."""
    services = Services()
    run_async(copy(services))
    assert services.stored == PARTS * PART


@pytest.mark.parametrize(
    ("reads", "breaks_off"), [(False, False), (False, True), (True, True)]
)
def test_weights_that_are_not_read_to_the_end_are_not_copied(reads, breaks_off):
    """Guards against a model that counts as loaded as an engine answers early."""
    with pytest.raises(WeightsError):
        run_async(copy(Services(reads=reads, breaks_off=breaks_off)))


@pytest.mark.parametrize("retry_after", ["soon", "nan", "-1", "1e9", "0.01"])
def test_an_odd_time_to_come_back_is_not_believed(monkeypatch, retry_after):
    """Guards against a copy that ends, or waits for ever, for an odd header."""
    monkeypatch.setattr(weights, "DEFAULT_WAIT_S", 0.01)
    services = Services(retry_after=retry_after)
    run_async(copy(services))
    assert services.stored == PARTS * PART
