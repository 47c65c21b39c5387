"""A small deployment on loopback: the store, gateway processes and servers."""

import asyncio
import os
import signal
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any

from review.common2.http import Message, call, encode, read_body, read_head
from review.common2.store import Store
from review.common2.template import render

ROOT = Path(__file__).resolve().parents[2]
SETTINGS_PATH = "/etc/amaranthtally/settings.toml"
PORTS = {"frontend": 8625, "readiness": 8621, "controlPlane": 8628}
HOST = "api.example"
KEY = "key-of-the-account-0001"
START_TIMEOUT_S = 20.0
MEMORY_MB = 300
# The bounds of the small sites' sheets.
BOUNDS = {
    "stableWindowMs": 4000,
    "drainMs": 2500,
    "graceS": 8,
    "configApplyMs": 2500,
    "retryBudgetRatio": 0.2,
    "budgetSlack": 58,
}


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._time = asyncio.get_running_loop().time
        self._began = self._time()

    def note(self, text: str) -> None:
        """Write one line with the time since the start, in seconds."""
        self._file.write(f"{self._time() - self._began:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, name: str, zone: str, ip: str, path: Path) -> None:
        self.name, self.zone, self.ip = name, zone, ip
        self.path = path
        self.process: asyncio.subprocess.Process | None = None
        self.log = path.with_suffix(".log")

    @property
    def front(self) -> str:
        """The address for clients."""
        return f"{self.ip}:{PORTS['frontend']}"

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split()
        words = [str(self.path) if w == SETTINGS_PATH else w for w in words]
        if words[0] == "python3":
            words[0] = sys.executable
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Whether the process says that it is ready."""
        address = f"{self.ip}:{PORTS['readiness']}"
        headers = {"Host": HOST}
        answer = await call(address, "GET", "/v1/readyz", headers, within_s=1.0)
        return answer.status == 200

    async def wait_ready(self) -> None:
        """Wait until the process is ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


Handler = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A server of a service; its handler answers what is not refused."""

    def __init__(self, name: str, service: str, zone: str, handler: Handler) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.address = ""
        self.state = "ready"
        self.fields: dict[str, Any] = {}
        # Requests whose head has come, and those that have come as a whole.
        self.heads: list[tuple[float, Message]] = []
        self.arrivals: list[tuple[float, Message]] = []
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, ip, 0, limit=1 << 20)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    @property
    def entry(self) -> dict[str, Any]:
        """What it writes of itself into the store."""
        own = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": 1,
            "born": 1,
        }
        return own | self.fields

    def close(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        loop = asyncio.get_running_loop()
        try:
            while (request := await read_head(reader)) is not None:
                self.heads.append((loop.time(), request))
                await read_body(reader, request)
                if not request.is_complete:
                    return
                expected = request.headers.get("x-amaranthtally-expect-instance")
                if expected not in (None, self.name):
                    writer.write(refusal(request, 421))
                    continue
                self.arrivals.append((loop.time(), request))
                await self._handler(self, request, writer)
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def refusal(request: Message, status: int) -> bytes:
    """Return the answer of a server that doesn't run a request."""
    headers = {
        "X-Amaranthtally-Request-Id": request.headers.get(
            "x-amaranthtally-request-id", ""
        ),
        "X-Amaranthtally-Not-Executed": "1",
    }
    return encode(f"HTTP/1.1 {status} No", headers)


def answer(
    server: Server, request: Message, body: bytes, status: int = 200, **more: str
) -> bytes:
    """Return a server's signed answer."""
    headers = {
        "X-Amaranthtally-Request-Id": request.headers["x-amaranthtally-request-id"],
        "X-Amaranthtally-Server-Signature": f"{server.name}.1",
    }
    more = {name.replace("_", "-"): value for name, value in more.items()}
    return encode(f"HTTP/1.1 {status} OK", headers | more, body)


async def answer_at_once(
    server: Server, request: Message, writer: asyncio.StreamWriter
) -> None:
    """Answer with the server's name."""
    writer.write(answer(server, request, server.service.encode()))


class World:
    """The deployment; ``close`` ends all that it has started."""

    def __init__(self, folder: Path, seed: int | None = None) -> None:
        self.record = Record(folder / "record.txt")
        self.random = Random(seed)
        self.store = Store()
        self.gateways: dict[str, Gateway] = {}
        self.servers: dict[str, Server] = {}
        self.zones: dict[str, str] = {}
        self._temporary = tempfile.TemporaryDirectory(prefix="review2-")
        self._net = f"127.{self.random.randrange(2, 250)}.{self.random.randrange(250)}"
        self._hosts = 0
        self._requests = 0
        self._time = asyncio.get_running_loop().time

    def host(self) -> str:
        """Return another loopback address."""
        self._hosts += 1
        return f"{self._net}.{self._hosts}"

    async def add_gateways(self, zones: dict[str, str], each: int) -> None:
        """Start gateways in zones, each with its region, and wait for them."""
        self.zones = zones
        for zone in zones:
            for number in range(1, each + 1):
                name = f"edge-{zone}-{number}"
                path = Path(self._temporary.name) / f"{name}.toml"
                self.gateways[name] = Gateway(name, zone, self.host(), path)
        first = [g for g in self.gateways.values() if g.name.endswith("-1")]
        seeds = [f"{g.ip}:{PORTS['controlPlane']}" for g in first[:3]]
        for gateway in self.gateways.values():
            address = await self.store.listen(gateway.name, self.host())
            gateway.path.write_text(self._settings(gateway, address, seeds))
        for gateway in self.gateways.values():
            await gateway.start()
        for gateway in self.gateways.values():
            await gateway.wait_ready()

    async def add_server(
        self, name: str, service: str, zone: str, handler: Handler = answer_at_once
    ) -> Server:
        """Start a server and enter it into the store."""
        server = self.servers[name] = Server(name, service, zone, handler)
        await server.start(self.host())
        self.register(server)
        return server

    def register(self, server: Server) -> None:
        """Write a server's entry."""
        self.store.put(f"servers/{server.name}", server.entry)

    def configure(
        self, version: int, routes: list[dict[str, Any]], **more: Any
    ) -> float:
        """Write a configuration; return when the store acknowledged it."""
        names = {r["service"] for r in routes if "service" in r}
        names |= {p["service"] for r in routes for p in r.get("phases", ())}
        services = [{"name": n, "healthPath": "/healthz"} for n in sorted(names)]
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
            "tenants": [{"name": "account", "apiKeys": [KEY]}],
        }
        revision = self.store.put("op/config", document | more)
        self.record.note(f"configuration {version} acknowledged, revision {revision}")
        return self._time()

    def headers(self, deadline_ms: int = 4000, **more: str) -> dict[str, str]:
        """Return the headers of another request."""
        self._requests += 1
        base = {
            "Host": HOST,
            "X-Amaranthtally-Request-Id": f"{self._requests:016x}",
            "X-Amaranthtally-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {KEY}",
        }
        return base | {name.replace("_", "-"): value for name, value in more.items()}

    async def close(self) -> None:
        """End all processes, the store and the servers."""
        for gateway in self.gateways.values():
            await gateway.kill()
        if keep := os.environ.get("KEEP_LOGS"):
            for gateway in self.gateways.values():
                (Path(keep) / gateway.log.name).write_bytes(gateway.log.read_bytes())
        for server in self.servers.values():
            server.close()
        await self.store.close()
        self.record.close()
        self._temporary.cleanup()

    def _settings(self, gateway: Gateway, store: str, seeds: list[str]) -> str:
        fields = {
            "nodeName": gateway.name,
            "ip": gateway.ip,
            "zone": gateway.zone,
            "region": self.zones[gateway.zone],
            "seeds": seeds,
            "zones": self.zones,
            "listen": {name: f"{gateway.ip}:{port}" for name, port in PORTS.items()},
            "platform": {"address": store},
            "bounds": BOUNDS,
            "limits": {"memoryMb": MEMORY_MB},
        }
        return render((ROOT / "deploy/gateway.toml").read_text(), fields)


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route at ``/NAME/``."""
    base = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "service": service,
        "timeoutMs": 5000,
        "latencySloMs": 1000,
        "maxAttempts": 2,
        "priority": 1,
    }
    return base | more


def run_case(
    folder: Path, case: Callable[[World, bool], Awaitable[bool]], limit_s: float = 110.0
) -> int:
    """Run a case; return 1 if a rule was broken, 0 if it held, 2 if it couldn't run."""

    async def run() -> int:
        world = World(folder)
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
        try:
            async with asyncio.timeout(limit_s):
                held = await case(world, has_trouble)
        except Exception as error:
            world.record.note(f"the case could not run: {error!r}")
            return 2
        finally:
            await world.close()
        return 0 if held else 1

    return asyncio.run(run())
