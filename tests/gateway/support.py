"""Gateway processes in front of endpoints and a store run by the test."""

import asyncio
import json
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import tomli_w
from yarl import URL

from amaranthtally.adapter import headers as names
from amaranthtally.standins.ports import LOOPBACK, reserve_port
from amaranthtally.standins.process import start_process
from amaranthtally.standins.relay import Relay
from amaranthtally.standins.store import open_store_standin
from tests.gateway.fake_endpoint import (
    FakeEndpoint,
    complete_response,
    open_endpoint,
    piece_script,
    sse_events,
)
from tests.support import run_async

KEY = "key-of-the-account"
HOST = "api.example"


def route(name, kind="idempotent", **options):
    """Return a route at ``/NAME/`` to a pool of the same name."""
    base = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 4000,
        "latencySloMs": 1000,
        "service": name,
        "maxAttempts": 2,
    }
    return base | options


STREAM = {"kind": "streaming", "sticky": True}
SEGMENTS = {"slots": 1, "queue": 2, "batch": 8, "callMs": 20.0, "itemMs": 1.0}


def configuration(version, *routes, services=(), keys=(KEY,)):
    """Return an operators' configuration."""
    return {
        "version": version,
        "routes": list(routes),
        "services": list(services),
        "tenants": [{"name": "account", "apiKeys": list(keys)}],
    }


def respond_with(body):
    """Return the script of an endpoint that answers every request with a body."""
    return lambda request: [complete_response(request, body)]


class Gateway:
    """A gateway process and a client that calls it."""

    def __init__(self, process, session):
        self.process = process
        self.session = session
        self.serial = 0

    @property
    def url(self):
        return f"http://127.0.0.1:{self.process.ports['port']}"

    def headers(self, request_id="", **additional):
        self.serial += 1
        base = {
            "Host": HOST,
            names.REQUEST_ID: request_id or f"{self.process.name}-{self.serial}",
            names.DEADLINE_MS: "4000",
            names.AUTHORIZATION: f"Token {KEY}",
        }
        return base | additional

    def request_head(self, method, path, request_id="", **additional):
        """Return the head of a request that a test sends over its own connection."""
        headers = self.headers(request_id, **additional)
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def call(self, path, *, method="POST", body=b"", **headers):
        """Send a request; return the status, headers and body of the response."""
        async with self.session.request(
            method,
            URL(self.url + path, encoded=True),
            data=body,
            headers=self.headers(**headers),
        ) as response:
            return response.status, response.headers, await response.read()

    async def stream(self, path, **headers):
        """Return the status and body of a stream, and whether it is complete."""
        received = b""
        headers = self.headers(**headers)
        async with self.session.post(self.url + path, headers=headers) as response:
            try:
                async for data in response.content.iter_any():
                    received += data
            except aiohttp.ClientError:
                return response.status, received, False
            return response.status, received, True

    async def is_ready(self):
        url = f"http://127.0.0.1:{self.process.ports['ready']}/v1/readyz"
        async with self.session.get(url) as response:
            return response.status == 200

    async def wait_until_ready(self):
        while not await self.is_ready():
            await asyncio.sleep(0.02)

    async def wait_for_event(self, event, **fields):
        """Wait for a log line of an event with these fields and return the line."""
        expected = [f"event={event}", *(f"{k}={v}" for k, v in fields.items())]
        while True:
            for line in self.process.lines:
                if all(field in line.split() for field in expected):
                    return line
            await asyncio.sleep(0.02)


class GatewayCluster:
    """A store, endpoints and gateways on loopback."""

    def __init__(self, stack, store, folder):
        self.store = store
        self.folder = folder
        self.daemon_module = "amaranthtally.daemon.main"
        self._stack = stack
        self._folder = folder

    async def endpoint(self, name, pool, script, endpoint_type=FakeEndpoint, **record):
        """Start an endpoint and register it."""
        endpoint = await self._stack.enter_async_context(
            open_endpoint(name, script, endpoint_type)
        )
        self.store.put(f"servers/{name}", endpoint.record(pool, **record))
        return endpoint

    @staticmethod
    def configuration(version, *routes, **options):
        return configuration(version, *routes, **options)

    def configure(self, version, *routes, **options):
        self.store.put("op/config", configuration(version, *routes, **options))

    async def gateway(self, name="gateway", data_centre="cluj-a", store="", **options):
        """Start a gateway and wait until it is ready."""
        gateway = await self.start_gateway(name, data_centre, store, **options)
        await gateway.wait_until_ready()
        return gateway

    async def start_gateway(
        self, name="gateway", data_centre="cluj-a", store="", **options
    ):
        """Start a gateway without waiting for its readiness."""
        path = self._folder / f"{name}.toml"
        path.write_text(
            tomli_w.dumps(self.settings(name, data_centre, store) | options)
        )
        process = await start_process(
            name, self.daemon_module, "gateway", "--settings", path
        )
        self._stack.push_async_callback(process.kill)
        session = aiohttp.ClientSession(auto_decompress=False)
        return Gateway(process, await self._stack.enter_async_context(session))

    async def relay(self, target):
        """Start a relay to an address."""
        relay = Relay(target)
        await self._stack.enter_async_context(relay.serve())
        return relay

    def reserve_address(self):
        """Reserve an address for as long as the cluster runs."""
        return f"{LOOPBACK}:{self._stack.enter_context(reserve_port())}"

    def settings(self, name, data_centre, store):
        return {
            "name": name,
            "host": "127.0.0.1",
            "region": data_centre,
            "data_centre": data_centre,
            "caller_address": "127.0.0.1:0",
            "ready_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "store_address": store or self.store.address,
            "stop_grace": 6.0,
        }


@asynccontextmanager
async def open_gateway_cluster(folder):
    """Yield a cluster; end its processes on exit."""
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(open_store_standin())
        yield GatewayCluster(stack, store, folder)


def pieces_of(endpoint):
    """Return the pieces in the calls that an endpoint has received."""
    return [
        entry
        for request in endpoint.requests
        if request.target.endswith("run")
        for entry in json.loads(request.body)["entries"]
    ]


async def call_until(gateway, end, statuses, pause_s, path="/job/", **headers):
    """Start a call after each pause until a time; note the statuses of all."""
    loop = asyncio.get_running_loop()

    async def call():
        status, _, _ = await gateway.call(path, **headers)
        statuses.append(status)

    async with asyncio.TaskGroup() as tasks:
        while loop.time() < end:
            tasks.create_task(call())
            await asyncio.sleep(pause_s)


async def open_staged_pool(cluster, script):
    """Open two endpoints of a stage, one with a script, before an engine; one route."""
    await cluster.endpoint("first-1", "first", script)
    await cluster.endpoint("first-2", "first", piece_script())
    text = sse_events(1)
    await cluster.endpoint("engine", "engine", lambda r: [complete_response(r, text)])
    stages = [{"service": "first", "after": [], "sizeBytes": 1000}]
    services = [{"name": "first", "segments": SEGMENTS | {"batch": 1}}]
    ask = route("ask", phases=stages, service="engine", **STREAM)
    cluster.configure(1, ask, services=services)


async def open_silent_stage(cluster):
    """Configure a route at ``/job/`` whose stage never answers; return call headers."""
    await cluster.endpoint("stage", "stage", lambda r: [60.0])
    await cluster.endpoint("e", "job", lambda r: [complete_response(r)])
    stages = [{"service": "stage", "after": [], "sizeBytes": 1}]
    segments = {"slots": 1, "queue": 2, "batch": 8, "callMs": 5000.0}
    long = {"timeoutMs": 30000, "latencySloMs": 30000}
    staged_route = route("job", phases=stages, **STREAM | long)
    services = [{"name": "stage", "segments": segments}]
    cluster.configure(1, staged_route, services=services)
    return {names.CHUNK_COUNTS: "1", names.DEADLINE_MS: "30000"}


def piece_headers(counts):
    """Return the headers of a request with these numbers of pieces in its stages."""
    return {names.CHUNK_COUNTS: counts, names.CHUNK_KEY: "input"}


def run_with_cluster(tmp_path, test):
    """Run a test with a new cluster."""

    async def run():
        async with open_gateway_cluster(tmp_path) as cluster:
            await test(cluster)

    run_async(run())
