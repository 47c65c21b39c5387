"""What the tests of settings with real processes share."""

import asyncio
import re
import tomllib
from contextlib import asynccontextmanager, suppress

from amaranthtally.standins.deployment import ADMIN_KEY, DeploymentPlan, Pool
from tests.support import plan

HEADERS = {"Authorization": f"Bearer {ADMIN_KEY}"}
REVISION = re.compile(r"amaranthtally_settings_revision\S* (\d+)")
POLL_S = 0.05
WAIT_S = 40.0
CHUNK = 65_536


def small_plan(**knobs):
    """One pipeline of two stages over two pools, one of them an engine."""
    whole = plan()
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
        "small", whole.latency_ms, whole.regions, pools, whole.accounts, settings
    )


async def propose(deployment, ops, entry=0, **fields):
    """Send a proposal; return the status and the document."""
    body = {"who": "test", "why": "test", "ops": ops, **fields}
    url = deployment.admin_url(entry) + "/admin/v1/changes"
    async with deployment.http.post(url, json=body, headers=HEADERS) as response:
        return response.status, await response.json(content_type=None)


async def admin(deployment, path, entry=0):
    """Read from the administration API."""
    url = f"{deployment.admin_url(entry)}/admin/v1/{path}"
    async with deployment.http.get(url, headers=HEADERS) as response:
        assert response.status == 200, await response.text()
        return await response.json()


def set_value(key, value, scope="firm"):
    return {"scope": scope, "key": key, "value": value}


async def revision_at(deployment, port):
    """Return the revision in force in the process whose health port this is."""
    url = f"http://127.0.0.1:{port}/metrics"
    async with deployment.http.get(url) as response:
        found = REVISION.search(await response.text())
        return int(found.group(1)) if found else 0


async def wait_everywhere(deployment, revision):
    """Return once every entry and sidecar has the revision in force."""
    ports = [entry.ports["port"] for entry in deployment.entries]
    ports += [pair.sidecar.ports["http"] for pair in deployment.endpoints.values()]
    await asyncio.gather(*(wait_at(deployment, port, revision) for port in ports))


async def wait_at(deployment, port, revision):
    async with asyncio.timeout(WAIT_S):
        while await revision_at(deployment, port) < revision:
            await asyncio.sleep(POLL_S)


async def counts(deployment):
    """Return the platform's calls by caller and kind."""
    async with deployment.http.get(deployment.platform_url + "/_counts") as response:
        return await response.json()


async def restart_sidecar(deployment, pair):
    """Kill a sidecar and start it again at its address, with nothing in memory."""
    await pair.sidecar.kill()
    pair.sidecar = await deployment.start_daemon("sidecar", pair.id, pair.sidecar_file)


async def start_second_sidecar(deployment, pair):
    """Start another sidecar of an endpoint while the old one keeps its addresses."""
    own = {
        key: deployment.reserve_address() for key in ("wire_address", "http_address")
    }
    settings = tomllib.loads(pair.sidecar_file.read_text()) | own
    file = deployment.write_settings(pair.id, settings)
    pair.sidecar = await deployment.start_daemon("sidecar", pair.id, file)


async def restart_entry(deployment, number, **overrides):
    """Kill an entry and start it again."""
    entry = deployment.entries[number]
    await entry.kill()
    file = deployment.entry_files[number]
    settings = {**tomllib.loads(file.read_text()), **overrides}
    file = deployment.write_settings(entry.name, settings)
    deployment.entries[number] = await deployment.start_daemon(
        "entry", entry.name, file
    )


class Relay:
    """Carries TCP to a port until it is cut."""

    def __init__(self, target):
        self.target = target
        self.port = 0
        self._cut = False
        self._tasks = set()

    def cut(self):
        """Break every connection and refuse new ones."""
        self._cut = True
        for task in list(self._tasks):
            task.cancel()

    def mend(self):
        """Carry connections again."""
        self._cut = False

    async def carry(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            if not self._cut:
                out = await asyncio.open_connection("127.0.0.1", self.target)
                await self._both_ways(reader, writer, *out)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.transport.abort()

    async def _both_ways(self, reader, writer, reader_out, writer_out):
        ways = [
            asyncio.create_task(pump(reader, writer_out)),
            asyncio.create_task(pump(reader_out, writer)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            writer_out.transport.abort()


async def pump(reader, writer):
    with suppress(OSError):
        while data := await reader.read(CHUNK):
            writer.write(data)
            await writer.drain()


@asynccontextmanager
async def open_relay(target):
    """Open a relay on a port that the kernel gives."""
    relay = Relay(target)
    server = await asyncio.start_server(relay.carry, "127.0.0.1", 0)
    relay.port = server.sockets[0].getsockname()[1]
    try:
        yield relay
    finally:
        relay.cut()
        server.close()
