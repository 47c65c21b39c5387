"""Whatever happens during a stop, callers get an answer to what was passed on."""

import asyncio
import random
import signal

import aiohttp
import pytest

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import complete_response, response_head
from tests.gateway.support import open_silent_stage, route, run_with_cluster

CALLERS = 24
# How long an endpoint takes, in seconds, in two parts.
MAX_RUN_S = 1.8
BODY = b"first part, second part"
NOT_RUN = (429, 503)


class KeptCallers:
    """Callers that send one request after the other, each on a kept connection."""

    def __init__(self, gateway):
        self._gateway = gateway
        self.unanswered = set()
        self.refused = set()
        self.statuses = []

    async def run_until(self, is_over):
        await asyncio.gather(*(self._run(n, is_over) for n in range(CALLERS)))

    async def _run(self, number, is_over):
        async with aiohttp.ClientSession() as session:
            serial = 0
            while not is_over():
                serial += 1
                if not await self._send(session, f"r-{number}-{serial}"):
                    return

    async def _send(self, session, request_id):
        """Send a request; return whether there is a gateway to send another one to."""
        headers = self._gateway.headers(request_id, **{names.DEADLINE_MS: "8000"})
        url = self._gateway.url + ("/order/" if request_id[2] in "02468" else "/read/")
        try:
            async with session.post(url, headers=headers) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError:
            return False
        except (aiohttp.ClientError, OSError):
            self.unanswered.add(request_id)
            return True
        self.statuses.append(response.status)
        assert response.status != 200 or body == BODY
        if response.status in NOT_RUN:
            self.refused.add(request_id)
        return True


def slow_script(seed):
    """Return a script that answers in two parts after a random time."""
    draw = random.Random(seed)

    def script(request):
        head = response_head(request, length=len(BODY))
        pause_s = draw.uniform(0.0, MAX_RUN_S) / 2.0
        return [pause_s, head + BODY[:10], pause_s, BODY[10:]]

    return script


async def open_slow_gateway(cluster, **options):
    """Start a gateway before endpoints that take up to ``MAX_RUN_S``."""
    endpoints = []
    for pool in ("order", "read"):
        name = f"{pool}-1"
        script = slow_script(len(endpoints))
        endpoints.append(await cluster.endpoint(name, pool, script, slots=64))
    orders = route("order", "non_idempotent", timeoutMs=8000)
    cluster.configure(1, orders, route("read", timeoutMs=8000))
    return await cluster.gateway(**options), endpoints


TERM, INT, HUP = signal.SIGTERM, signal.SIGINT, signal.SIGHUP
# Signals and the time before each, in seconds: soon, after the balancer has turned
# away, and in a series among reloads.
SERIES = {
    "terminated soon": [(0.0, TERM), (0.3, TERM)],
    "interrupted soon": [(0.0, TERM), (0.3, INT)],
    "interrupted twice": [(0.0, INT), (0.3, INT)],
    "terminated late": [(0.0, TERM), (2.5, TERM)],
    "a series": [(0.0, TERM), *[(0.2, s) for s in (HUP, TERM, HUP, INT, TERM) * 3]],
}


@pytest.mark.parametrize("series", SERIES)
def test_repeated_stop_signals_cut_no_request(tmp_path, series):
    """Guards against requests that end unanswered as a stop was asked for again."""

    async def check(cluster):
        gateway, endpoints = await open_slow_gateway(cluster)
        ended = asyncio.create_task(gateway.process.wait())
        callers = KeptCallers(gateway)
        calls = asyncio.create_task(callers.run_until(ended.done))
        await asyncio.sleep(1.0)
        for pause_s, number in SERIES[series]:
            await asyncio.sleep(pause_s)
            gateway.process.send(number)
        assert await ended == 0
        await calls
        passed_on = {r.id for endpoint in endpoints for r in endpoint.requests}
        assert callers.unanswered & passed_on == set()
        assert callers.refused & passed_on == set()
        assert len(passed_on) > CALLERS

    run_with_cluster(tmp_path, check)


async def stop_in_a_short_grace(cluster, grace_s):
    """
    Stop a busy gateway, and kill it at the end of its grace if it has not ended.

    Return its exit code, its callers and the ids of what was passed on.
    """
    gateway, endpoints = await open_slow_gateway(cluster, stop_grace=grace_s)
    ended = asyncio.create_task(gateway.process.wait())
    callers = KeptCallers(gateway)
    calls = asyncio.create_task(callers.run_until(ended.done))
    await asyncio.sleep(1.0)
    gateway.process.send(TERM)
    _, running = await asyncio.wait({ended}, timeout=grace_s)
    if running:
        gateway.process.send(signal.SIGKILL)
    await calls
    passed_on = {r.id for endpoint in endpoints for r in endpoint.requests}
    return await ended, callers, passed_on


@pytest.mark.parametrize("grace_s", [2.0, 3.0, 4.0])
def test_requests_late_in_a_short_grace_are_answered(tmp_path, grace_s):
    """Guards against what is passed on late, and cut as the grace ends by a kill."""

    async def check(cluster):
        _, callers, passed_on = await stop_in_a_short_grace(cluster, grace_s)
        assert callers.unanswered & passed_on == set()
        assert callers.refused & passed_on == set()
        assert len(passed_on) > CALLERS

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize("grace_s", [2.0, 3.0, 4.0])
def test_a_gateway_ends_by_itself_in_a_short_grace(tmp_path, grace_s):
    """Guards against a stop that lasts until the process is killed."""

    async def check(cluster):
        assert (await stop_in_a_short_grace(cluster, grace_s))[0] == 0

    run_with_cluster(tmp_path, check)


def test_a_request_that_outlasts_the_grace_is_answered(tmp_path):
    """Guards against a closed connection at the end of the grace."""

    async def check(cluster):
        endpoint = await cluster.endpoint("e", "job", lambda r: [60.0])
        cluster.configure(1, route("job", "non_idempotent", timeoutMs=30000))
        gateway = await cluster.gateway(stop_grace=5.0)
        headers = {names.DEADLINE_MS: "30000"}
        call = asyncio.create_task(gateway.call("/job/", **headers))
        await gateway.wait_for_event("attempt_sent")
        gateway.process.send(TERM)
        status, _, _ = await call
        assert status in (502, 504)
        assert len(endpoint.requests) == 1
        assert await gateway.process.wait() == 0

    run_with_cluster(tmp_path, check)


def test_a_store_that_trickles_its_answer_does_not_hold_refusals_up(tmp_path):
    """Guards against a closed connection, as a step of the stop before it hangs."""

    async def check(cluster):
        headers = await open_silent_stage(cluster)
        gateway = await cluster.gateway(stop_grace=8.0)
        await gateway.wait_for_event("registered")
        call = asyncio.create_task(gateway.call("/job/", **headers))
        await gateway.wait_for_event("request_received")
        cluster.store.faults.endless_lease_ends = True
        gateway.process.send(TERM)
        status, _, _ = await call
        assert status == 503
        assert await gateway.process.wait() == 0

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize("memory_mb", [0, 300])
def test_a_response_that_is_read_slowly_is_whole(tmp_path, memory_mb):
    """Guards against a response that a stop cuts as its endpoint has sent it all."""

    async def check(cluster):
        body = b"x" * 6_000_000
        await cluster.endpoint("e", "job", lambda r: [complete_response(r, body)])
        cluster.configure(1, route("job", timeoutMs=30000))
        gateway = await cluster.gateway(stop_grace=10.0, memory_mb=memory_mb)
        port = gateway.process.ports["port"]
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=65536)
        headers = {names.DEADLINE_MS: "30000"}
        writer.write(gateway.request_head("GET", "/job/", **headers))
        await reader.readuntil(b"\r\n\r\n")
        gateway.process.send(TERM)
        await gateway.wait_for_event("gateway_refuses")
        # Longer than the kernel holds what is still to be sent.
        await asyncio.sleep(1.0)
        assert len(await reader.readexactly(len(body))) == len(body)
        assert await gateway.process.wait() == 0
        writer.close()

    run_with_cluster(tmp_path, check)
