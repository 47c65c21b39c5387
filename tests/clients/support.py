"""Programs under test with lowered limits, and what must hold of them."""

import asyncio
import resource
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import aiohttp

from amaranthtally.standins.deployment import ADMIN_KEY, open_deployment
from tests.clients.crowds import connections_left_open, send_flood
from tests.gateway.fake_endpoint import complete_response
from tests.gateway.support import open_gateway_cluster, route
from tests.support import plan

# The memory of the smallest host of each program, lowered so that a small crowd shows
# what a large one does to a larger host, in MB.
MEMORY_MB = 150
BYTES_PER_KB = 1024
BYTES_PER_MB = 1_000_000
# Descriptors that a process may open where the crowd is to take all of them.
FEW_DESCRIPTORS = 200
# A caller tries again on a new connection, a few times within its deadline: after a
# pause, in seconds, as a busy gateway closes some connections unread at any moment.
TRIES = 3
PAUSE_S = 0.1
# Descriptors that a process may hold beyond those before the crowd came: connections
# to endpoints and peers come and go meanwhile.
DESCRIPTOR_SLACK = 24
# Connections that are left open: more than the process may open descriptors.
CROWD = 260
# How long descriptors may take to be closed after a crowd has gone, in seconds.
CLOSING_TIMEOUT_S = 20.0
# Size of a response, in bytes: more than the kernel holds for a reader.
LARGE_BYTES = 300_000


@dataclass(frozen=True)
class Listener:
    """
    An address of a process, and an ordinary request that it answers with 200.

    It answers at ``answering_port``, if this is another one.
    """

    process: Any
    port: int
    path: str
    headers: dict
    method: str = "GET"
    body: bytes = b""
    answering_port: int = 0

    @property
    def host(self):
        return "127.0.0.1"

    async def answers(self):
        """Whether an ordinary request is answered, on one of a few new connections."""
        timeout = aiohttp.ClientTimeout(total=10.0)
        for _ in range(TRIES):
            connector = aiohttp.TCPConnector(force_close=True)
            async with aiohttp.ClientSession(
                connector=connector, timeout=timeout
            ) as session:
                if await self._answers_once(session):
                    return True
            await asyncio.sleep(PAUSE_S)
        return False

    async def _answers_once(self, session):
        port = self.answering_port or self.port
        url = f"http://{self.host}:{port}{self.path}"
        try:
            async with session.request(
                self.method, url, headers=self.headers, data=self.body
            ) as response:
                await response.read()
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    @property
    def peak_mb(self):
        """The most memory that the process has had resident, in MB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmHWM:"))
        return int(line.split()[1]) * BYTES_PER_KB / BYTES_PER_MB

    @property
    def descriptors(self):
        """Number of descriptors that the process has open."""
        return sum(1 for _ in Path(f"/proc/{self.process.pid}/fd").iterdir())


@contextmanager
def few_descriptors(count):
    """Let processes that are started meanwhile open ``count`` descriptors at most."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count or soft, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


LISTENERS = {}
PEER_LISTENERS = {}


def listener(name, registry=LISTENERS):
    """Register what opens a listener under a name."""

    def register(function):
        registry[name] = asynccontextmanager(function)
        return function

    return register


async def _gateway(folder, descriptors, port, path, headers):
    async with open_gateway_cluster(folder) as cluster:
        body = b"a" * LARGE_BYTES
        await cluster.endpoint("e", "job", lambda r: [complete_response(r, body)])
        cluster.configure(1, route("job", public=True))
        metrics = cluster.reserve_address()
        with few_descriptors(descriptors):
            gateway = await cluster.gateway(
                memory_mb=MEMORY_MB, metrics_address=metrics
            )
        ports = gateway.process.ports | {"metrics": int(metrics.rpartition(":")[2])}
        headers = gateway.headers() if headers else {}
        yield Listener(gateway.process, ports[port], path, headers)


@listener("gateway callers")
async def _gateway_callers(folder, descriptors=0):
    async for opened in _gateway(folder, descriptors, "port", "/job/", True):
        yield opened


@listener("gateway readiness")
async def _gateway_readiness(folder, descriptors=0):
    async for opened in _gateway(folder, descriptors, "ready", "/v1/readyz", False):
        yield opened


@listener("gateway metrics")
async def _gateway_metrics(folder, descriptors=0):
    async for opened in _gateway(folder, descriptors, "metrics", "/metrics", False):
        yield opened


@listener("gateway peers", PEER_LISTENERS)
async def _gateway_peers(folder, descriptors=0):
    async for opened in _gateway(folder, descriptors, "port", "/job/", True):
        peers = opened.process.ports["peers"]
        yield replace(opened, port=peers, answering_port=opened.port)


@asynccontextmanager
async def _deployment(descriptors):
    async with AsyncExitStack() as stack:
        with few_descriptors(descriptors):
            opening = open_deployment(plan(), servers=1)
            deployment = await stack.enter_async_context(opening)
        yield deployment


@listener("entry callers")
async def _entry_callers(folder, descriptors=0):
    async with _deployment(descriptors) as deployment:
        (entry,) = deployment.entries
        key = deployment.plan.accounts[0].key
        headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        path = "/v1/pipelines/assessment/requests"
        body = b'{"input": "baler"}'
        yield Listener(entry, entry.ports["port"], path, headers, "POST", body)


@listener("entry administration")
async def _entry_administration(folder, descriptors=0):
    async with _deployment(descriptors) as deployment:
        (entry,) = deployment.entries
        headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
        yield Listener(entry, entry.ports["admin"], "/admin/v1/status", headers)


@listener("sidecar health")
async def _sidecar_health(folder, descriptors=0):
    async with _deployment(descriptors) as deployment:
        sidecar = deployment.pool("assessment")[0].sidecar
        yield Listener(sidecar, sidecar.ports["http"], "/readyz", {})


@listener("sidecar peers", PEER_LISTENERS)
async def _sidecar_peers(folder, descriptors=0):
    async for opened in _sidecar_health(folder, descriptors):
        peers = opened.process.ports["port"]
        yield replace(opened, port=peers, answering_port=opened.port)


async def check_unharmed(opened, descriptors_before):
    """Check that a process lives, answers, and holds neither memory nor descriptors."""
    assert opened.process.exit_code is None
    assert opened.peak_mb < MEMORY_MB
    assert await opened.answers()
    async with asyncio.timeout(CLOSING_TIMEOUT_S):
        while opened.descriptors > descriptors_before + DESCRIPTOR_SLACK:
            await asyncio.sleep(0.1)


async def check_flood(opening, flood):
    """Check a process after a flood."""
    async with opening as opened:
        assert await opened.answers()
        before = opened.descriptors
        await send_flood(opened.host, opened.port, flood)
        await check_unharmed(opened, before)


async def check_left_open(opening, sent):
    """Check a process while connections are left open, and after."""
    async with opening as opened:
        assert await opened.answers()
        before = opened.descriptors
        async with connections_left_open(opened.host, opened.port, CROWD, sent):
            await asyncio.sleep(1.0)
            assert await opened.answers()
        await check_unharmed(opened, before)
