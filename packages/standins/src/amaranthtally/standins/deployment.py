"""
Start a deployment of real processes on loopback, as a TOML plan describes it.

Used by the tests, the bench and the quickstart. Production code starts no processes.
"""

import asyncio
import tempfile
from collections.abc import AsyncIterator, Iterable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import tomli_w

from amaranthtally.standins.plan import (
    Account,
    DeploymentPlan,
    Pool,
    Region,
    load_plan,
)
from amaranthtally.standins.ports import LOOPBACK, reserve_port
from amaranthtally.standins.process import Process, spawn_process, start_process

__all__ = [
    "ADMIN_KEY",
    "TOKEN_KEY",
    "Account",
    "Deployment",
    "DeploymentPlan",
    "EndpointPair",
    "Pool",
    "Region",
    "load_plan",
    "open_deployment",
]

ADMIN_KEY = "loopback-admin-key-0001"
TOKEN_KEY = "loopback-token-key-0001"
HANDOVER_KEY = "loopback-handover-key-0001"
STANDINS = "amaranthtally.standins"
DAEMON = "amaranthtally.daemon.main"
READY_POLL_S = 0.02
READY_TIMEOUT_S = 30.0


class EndpointPair(msgspec.Struct):
    """
    A stand-in endpoint and its sidecar.

    ``sidecar_file`` is the sidecar's settings file.
    """

    id: str
    pool: str
    region: str
    data_centre: str
    host: str
    service: Process
    sidecar: Process
    sidecar_file: Path

    @property
    def address(self) -> str:
        """Address at which the sidecar serves the sidecar protocol."""
        return f"127.0.0.1:{self.sidecar.ports['port']}"

    @property
    def service_url(self) -> str:
        """URL of the stand-in."""
        return f"http://127.0.0.1:{self.service.ports['port']}"

    def registration(self) -> dict[str, Any]:
        """Return the endpoint's registration for the settings tree."""
        return {
            "pool": self.pool,
            "host": self.host,
            "region": self.region,
            "data_centre": self.data_centre,
            "address": self.address,
        }


class Deployment:
    """The processes of a deployment, which end when the exit stack is closed."""

    def __init__(
        self, plan: DeploymentPlan, folder: Path, stack: AsyncExitStack
    ) -> None:
        self.plan = plan
        self.folder = folder
        self.entries: list[Process] = []
        self.entry_files: list[Path] = []
        self.endpoints: dict[str, EndpointPair] = {}
        self.http: aiohttp.ClientSession
        self._stack = stack
        self.platform: Process

    # Addresses

    @property
    def platform_url(self) -> str:
        """URL of the platform stand-in."""
        return f"http://127.0.0.1:{self.platform.ports['port']}"

    def entry_url(self, number: int = 0) -> str:
        """URL of an entry's API for callers."""
        return f"http://127.0.0.1:{self.entries[number].ports['port']}"

    def admin_url(self, number: int = 0) -> str:
        """URL of an entry's administration API."""
        return f"http://127.0.0.1:{self.entries[number].ports['admin']}"

    def pool(self, name: str) -> list[EndpointPair]:
        """Return the endpoints of a pool."""
        return [pair for pair in self.endpoints.values() if pair.pool == name]

    def reserve_address(self) -> str:
        """Reserve an address for as long as the deployment runs."""
        return f"{LOOPBACK}:{self._stack.enter_context(reserve_port())}"

    # Start of processes

    async def start_platform(self, *knobs: str) -> None:
        """Start the platform stand-in."""
        self.http = await self._stack.enter_async_context(_open_session())
        self.platform = await self.start_standin("platform", "platform", *knobs)

    async def start_standin(self, name: str, kind: str, *knobs: str) -> Process:
        """Start a stand-in that ends with the deployment."""
        return await self._start_standin(name, kind, self.reserve_address(), knobs)

    async def start_standin_at(
        self, name: str, kind: str, port: int, knobs: dict[str, Any]
    ) -> Process:
        """Start a stand-in at a given port, for instance after it was killed."""
        pairs = [f"{key}={value}" for key, value in knobs.items()]
        return await self._start_standin(name, kind, f"{LOOPBACK}:{port}", pairs)

    async def _start_standin(
        self, name: str, kind: str, listen: str, knobs: Iterable[str]
    ) -> Process:
        process = await start_process(
            name, STANDINS, kind, "--listen", listen, "--name", name, "--set", *knobs
        )
        self._stack.push_async_callback(process.kill)
        return process

    async def start_daemon(self, role: str, name: str, file: Path) -> Process:
        """Start a daemon that ends with the deployment; wait until it listens."""
        process = await start_process(name, DAEMON, role, "--settings", file)
        self._stack.push_async_callback(process.kill)
        return process

    async def spawn_daemon(self, role: str, name: str, file: Path) -> Process:
        """Start a daemon that ends with the deployment; don't wait until it listens."""
        process = await spawn_process(name, DAEMON, role, "--settings", file)
        self._stack.push_async_callback(process.kill)
        return process

    async def start_endpoints(self, servers: int | None, **overrides: Any) -> None:
        """Start the endpoints of all pools concurrently, in the plan's order."""
        starts = [
            self.start_endpoint(pool, number, **overrides)
            for pool in self.plan.pools
            for number in range(min(pool.servers, servers or pool.servers))
        ]
        for pair in await asyncio.gather(*starts):
            self.endpoints[pair.id] = pair

    async def start_endpoint(
        self, pool: Pool, number: int, **overrides: Any
    ) -> EndpointPair:
        """Start a stand-in and its sidecar; regions are assigned round-robin."""
        region = self.plan.regions[number % len(self.plan.regions)]
        name = f"{pool.name}-{number + 1}"
        knobs = [f"{key}={value}" for key, value in pool.knobs.items()]
        service = await self.start_standin(name, pool.kind, *knobs)
        location = {
            "endpoint": name,
            "host": f"host-{name}",
            "region": region.name,
            "data_centre": region.data_centres[0],
        }
        settings = {
            **location,
            "wire_address": self.reserve_address(),
            "http_address": self.reserve_address(),
            "endpoint_url": f"http://127.0.0.1:{service.ports['port']}",
            "endpoint_kind": pool.kind,
            "platform_url": self.platform_url,
            "concurrency": pool.concurrency,
            "drain_wait": 0.5,
            "handover_keys": [HANDOVER_KEY],
            **overrides,
        }
        file = self.write_settings(name, settings)
        sidecar = await self.start_daemon("sidecar", name, file)
        pair = EndpointPair(
            name,
            pool.name,
            region.name,
            region.data_centres[0],
            location["host"],
            service,
            sidecar,
            file,
        )
        return pair

    async def start_entry(self, **overrides: Any) -> Process:
        """Start the next entry; entries are assigned to the regions round-robin."""
        number = len(self.entries)
        region = self.plan.regions[number % len(self.plan.regions)]
        name = f"entry-{number + 1}"
        settings = {
            "name": name,
            "host": f"host-{name}",
            "region": region.name,
            "data_centre": region.data_centres[0],
            "caller_address": self.reserve_address(),
            "admin_address": self.reserve_address(),
            "platform_url": self.platform_url,
            "token_keys": [TOKEN_KEY],
            "admin_keys": [ADMIN_KEY],
            **overrides,
        }
        file = self.write_settings(name, settings)
        process = await self.start_daemon("entry", name, file)
        self.entries.append(process)
        self.entry_files.append(file)
        return process

    def write_settings(self, name: str, settings: dict[str, Any]) -> Path:
        """Write the TOML file with a process's settings; return its path."""
        path = self.folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(settings), encoding="utf-8")
        return path

    # Settings

    def initial_settings(self) -> dict[str, dict[str, Any]]:
        """Return the initial settings: the plan's settings, accounts and endpoints."""
        from hashlib import sha256

        tree: dict[str, dict[str, Any]] = {
            k: dict(v) for k, v in self._flat_settings().items()
        }
        firm_settings = tree.setdefault("firm", {})
        for pair in self.endpoints.values():
            firm_settings[f"endpoint.{pair.id}"] = pair.registration()
        for account in self.plan.accounts:
            scope = tree.setdefault(f"account:{account.name}", {})
            scope["key_sha256"] = sha256(account.key.encode()).hexdigest()
        return tree

    def _flat_settings(self) -> dict[str, dict[str, Any]]:
        return {scope: _flatten(table) for scope, table in self.plan.settings.items()}

    async def apply(
        self, tree: dict[str, dict[str, Any]], entry: int = 0, why: str = "test"
    ) -> dict[str, Any]:
        """Commit values by scope and key through an entry; return the change."""
        ops = [
            {"scope": scope, "key": key, "value": value}
            for scope, table in tree.items()
            for key, value in table.items()
        ]
        async with self.http.post(
            self.admin_url(entry) + "/admin/v1/changes",
            json={"who": "test", "why": why, "ops": ops},
            headers={"Authorization": f"Bearer {ADMIN_KEY}"},
        ) as response:
            response.raise_for_status()
            change: dict[str, Any] = await response.json()
            return change

    async def set_knobs(self, process: Process, **knobs: Any) -> None:
        """Set knobs of a running stand-in."""
        url = f"http://127.0.0.1:{process.ports['port']}/_knobs"
        async with self.http.post(url, json=knobs) as response:
            response.raise_for_status()

    async def records(self, process: Process) -> list[dict[str, Any]]:
        """Return the records of a stand-in."""
        url = f"http://127.0.0.1:{process.ports['port']}/_records"
        async with self.http.get(url) as response:
            records: list[dict[str, Any]] = await response.json()
            return records

    async def wait_ready(self, number: int = 0) -> None:
        """Wait until an entry is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                async with self.http.get(
                    self.entry_url(number) + "/readyz"
                ) as response:
                    if response.status == 200:
                        return
                await asyncio.sleep(READY_POLL_S)

    async def wait_revision(self, revision: int, number: int = 0) -> None:
        """Wait until an entry applies a settings revision or a later one."""
        headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
        url = self.admin_url(number) + "/admin/v1/status"
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                async with self.http.get(url, headers=headers) as response:
                    if (await response.json())["revision"] >= revision:
                        return
                await asyncio.sleep(READY_POLL_S)

    # Calls

    async def call(
        self,
        pipeline: str,
        text: Any,
        entry: int = 0,
        account: int = 0,
        key: str = "",
        **body: Any,
    ) -> aiohttp.ClientResponse:
        """Send a request as a client account; the response's body has been read."""
        headers = {"Authorization": f"Bearer {self.plan.accounts[account].key}"}
        if key:
            headers["Idempotency-Key"] = key
        response = await self.http.post(
            f"{self.entry_url(entry)}/v1/pipelines/{pipeline}/requests",
            json={"input": text, **body},
            headers=headers,
        )
        await response.read()
        return response


@asynccontextmanager
async def open_deployment(
    plan: DeploymentPlan,
    entries: int = 1,
    servers: int | None = None,
    entry_overrides: dict[str, Any] | None = None,
    sidecar_overrides: dict[str, Any] | None = None,
) -> AsyncIterator[Deployment]:
    """
    Start all processes of a deployment, apply its settings, and end it on exit.

    ``servers`` limits the number of servers of each pool.
    """
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        deployment = Deployment(plan, folder, stack)
        await deployment.start_platform()
        await deployment.start_endpoints(servers, **(sidecar_overrides or {}))
        for _ in range(entries):
            await deployment.start_entry(**(entry_overrides or {}))
        await deployment.wait_ready(0)
        change = await deployment.apply(deployment.initial_settings())
        for number in range(entries):
            await deployment.wait_ready(number)
            await deployment.wait_revision(change["number"], number)
        yield deployment


def _flatten(table: dict[str, Any], prefix: str = "") -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for key, value in table.items():
        if isinstance(value, dict):
            flat.update(_flatten(value, f"{prefix}{key}."))
        else:
            flat[prefix + key] = value
    return flat


def _open_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
