"""Helpers for tests of settings with real processes."""

import asyncio
import re
import tomllib
from contextlib import asynccontextmanager, suppress

from amaranthtally.standins.deployment import ADMIN_KEY, DeploymentPlan, Pool
from tests.support import plan

HEADERS = {"Authorization": f"Bearer {ADMIN_KEY}"}
REVISION = re.compile(r"amaranthtally_settings_revision\S* (\d+)")
POLL_INTERVAL_S = 0.05
REVISION_TIMEOUT_S = 40.0
CHUNK = 65_536


def small_plan(**knobs):
    """Return a plan with a pipeline of two stages, one of them run by model engines."""
    base_plan = plan()
    pools = [
        Pool("encoder", "encoder", 3),
        Pool("assessment", "engine", 3, knobs={"token_time": 0.002, **knobs}),
    ]
    settings = {
        "pipeline:assessment": {
            "stages": ["encode", "generate"],
            "deadline_ms": 20_000,
            "stage.encode.pool": "encoder",
            "stage.generate.pool": "assessment",
            "stage.generate.streams": True,
        }
    }
    return DeploymentPlan(
        "small",
        base_plan.latency_ms,
        base_plan.regions,
        pools,
        base_plan.accounts,
        settings,
    )


async def propose(deployment, ops, entry=0, **fields):
    """Send a proposal to an entry; return the HTTP status and the JSON document."""
    body = {"who": "test", "why": "test", "ops": ops, **fields}
    url = deployment.admin_url(entry) + "/admin/v1/changes"
    async with deployment.http.post(url, json=body, headers=HEADERS) as response:
        return response.status, await response.json(content_type=None)


async def get_admin(deployment, path, entry=0):
    """Get a document from the administration API of an entry."""
    url = f"{deployment.admin_url(entry)}/admin/v1/{path}"
    async with deployment.http.get(url, headers=HEADERS) as response:
        assert response.status == 200, await response.text()
        return await response.json()


def set_value(key, value, scope="firm"):
    return {"scope": scope, "key": key, "value": value}


async def revision_at(deployment, port):
    """Return the revision in force in the process that serves metrics at ``port``."""
    url = f"http://127.0.0.1:{port}/metrics"
    async with deployment.http.get(url) as response:
        match = REVISION.search(await response.text())
        return int(match.group(1)) if match else 0


async def wait_for_revision_everywhere(deployment, revision):
    """Wait until the revision is in force in every entry and sidecar."""
    ports = [entry.ports["port"] for entry in deployment.entries]
    ports += [pair.sidecar.ports["http"] for pair in deployment.endpoints.values()]
    await asyncio.gather(
        *(wait_for_revision(deployment, port, revision) for port in ports)
    )


async def wait_for_revision(deployment, port, revision):
    async with asyncio.timeout(REVISION_TIMEOUT_S):
        while await revision_at(deployment, port) < revision:
            await asyncio.sleep(POLL_INTERVAL_S)


async def platform_call_counts(deployment):
    """Return the number of calls to the platform by caller and kind."""
    async with deployment.http.get(deployment.platform_url + "/_counts") as response:
        return await response.json()


async def restart_sidecar(deployment, pair):
    """Kill a sidecar and start it again at the same address, without any state."""
    await pair.sidecar.kill()
    pair.sidecar = await deployment.start_daemon("sidecar", pair.id, pair.sidecar_file)


async def start_second_sidecar(deployment, pair):
    """Start a second sidecar of an endpoint on new addresses while the first runs."""
    addresses = {
        key: deployment.reserve_address() for key in ("wire_address", "http_address")
    }
    settings = tomllib.loads(pair.sidecar_file.read_text()) | addresses
    file = deployment.write_settings(pair.id, settings)
    pair.sidecar = await deployment.start_daemon("sidecar", pair.id, file)


async def restart_entry(deployment, number, **overrides):
    """Kill an entry and start it again, with changed settings if given."""
    entry = deployment.entries[number]
    await entry.kill()
    file = deployment.entry_files[number]
    settings = {**tomllib.loads(file.read_text()), **overrides}
    file = deployment.write_settings(entry.name, settings)
    deployment.entries[number] = await deployment.start_daemon(
        "entry", entry.name, file
    )


class Relay:
    """Forwards TCP connections to a port; can simulate a network failure."""

    def __init__(self, target):
        self.target = target
        self.port = 0
        self._is_cut = False
        self._tasks = set()

    def cut(self):
        """Abort all connections and close new ones immediately."""
        self._is_cut = True
        for task in list(self._tasks):
            task.cancel()

    def restore(self):
        """Forward new connections again."""
        self._is_cut = False

    async def forward(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            if not self._is_cut:
                target_streams = await asyncio.open_connection("127.0.0.1", self.target)
                await self._forward_both_ways(reader, writer, *target_streams)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.transport.abort()

    async def _forward_both_ways(self, reader, writer, reader_out, writer_out):
        directions = [
            asyncio.create_task(copy_stream(reader, writer_out)),
            asyncio.create_task(copy_stream(reader_out, writer)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            writer_out.transport.abort()


async def copy_stream(reader, writer):
    with suppress(OSError):
        while data := await reader.read(CHUNK):
            writer.write(data)
            await writer.drain()


@asynccontextmanager
async def open_relay(target):
    """Open a relay on a port chosen by the kernel."""
    relay = Relay(target)
    server = await asyncio.start_server(relay.forward, "127.0.0.1", 0)
    relay.port = server.sockets[0].getsockname()[1]
    try:
        yield relay
    finally:
        relay.cut()
        server.close()
