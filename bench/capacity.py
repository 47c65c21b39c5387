"""Measures for docs/CAPACITY.md how the cost of each role grows with a deployment.

    .venv/bin/python -m bench.capacity

Prints the memory, processor time and traffic of an entry and a sidecar while a
deployment with two entries registers endpoints and client accounts, to which no
requests are sent, and the memory of sidecar connections between two processes.
"""

import asyncio
import os
import time
from pathlib import Path
from typing import Any

import capnp

from amaranthtally.standins.deployment import (
    Deployment,
    load_plan,
    open_deployment,
)
from amaranthtally.wire import (
    HelloReply,
    Load,
    SettingsDelta,
    connect_sidecar,
    serve_sidecar,
)
from amaranthtally.wire.loop import run
from bench.process_cost import cpu_seconds, io_bytes, memory_mb

PLAN = Path(__file__).parent.parent / "examples" / "agrosalv.toml"
ENDPOINT_STEPS = (0, 1000, 4000, 11000)
ACCOUNT_STEPS = (5, 100, 940)
BATCH_SIZE = 500
IDLE_SECONDS = 30.0
CHANGES = 20
CONNECTION_STEPS = (0, 200, 800)


async def main() -> None:
    async with open_deployment(load_plan(PLAN), entries=2, servers=1) as deployment:
        entry = deployment.entries[0]
        sidecar = next(iter(deployment.endpoints.values())).sidecar
        await report_idle(deployment, "small", entry.pid, sidecar.pid)
        await grow_accounts(deployment, entry.pid)
        await grow_endpoints(deployment, entry.pid)
        await report_idle(deployment, "grown", entry.pid, sidecar.pid)


async def report_idle(
    deployment: Deployment, label: str, entry: int, sidecar: int
) -> None:
    pids = {"entry": entry, "sidecar": sidecar}
    cpu_before = {role: cpu_seconds(pid) for role, pid in pids.items()}
    io_before = {role: io_bytes(pid) for role, pid in pids.items()}
    calls_before = await platform_calls(deployment)
    await asyncio.sleep(IDLE_SECONDS)
    calls = await platform_calls(deployment) - calls_before
    for role, pid in pids.items():
        share = (cpu_seconds(pid) - cpu_before[role]) / IDLE_SECONDS
        rate = (io_bytes(pid) - io_before[role]) / IDLE_SECONDS
        print(
            f"idle {label}: {role} {share:.2%} of a core, {memory_mb(pid):.1f} MB, "
            f"{rate:.0f} bytes/s"
        )
    print(f"idle {label}: {calls / IDLE_SECONDS:.2f} platform calls/s in all")


async def platform_calls(deployment: Deployment) -> int:
    async with deployment.http.get(deployment.platform_url + "/_counts") as response:
        return sum((await response.json()).values())


async def grow_accounts(deployment: Deployment, entry: int) -> None:
    registered = len(deployment.plan.accounts)
    for target in ACCOUNT_STEPS:
        values = {
            f"account:bench-{n}": {"key_sha256": f"{n:064x}"}
            for n in range(registered, target)
        }
        await commit(deployment, values)
        registered = max(registered, target)
        print(f"accounts {target}: entry {memory_mb(entry):.1f} MB")


async def grow_endpoints(deployment: Deployment, entry: int) -> None:
    registered = 0
    for target in ENDPOINT_STEPS:
        cpu_s, start = cpu_seconds(entry), time.perf_counter()
        while registered < target:
            batch_end = min(target, registered + BATCH_SIZE)
            values = {
                f"endpoint.b-{n}": registration(n) for n in range(registered, batch_end)
            }
            await commit(deployment, {"firm": values})
            registered = batch_end
        cpu_s, elapsed = cpu_seconds(entry) - cpu_s, time.perf_counter() - start
        print(
            f"endpoints {target}: entry {memory_mb(entry):.1f} MB, "
            f"{cpu_s:.2f} cpu s, {elapsed:.2f} s"
        )
    await measure_changes(deployment, "endpoint", {"endpoint.b-1": registration(1)})
    await measure_changes(deployment, "limit", {"limit.rate": 100})


async def measure_changes(
    deployment: Deployment, label: str, values: dict[str, Any]
) -> None:
    """Print the processor time of one change, at the committing and another entry."""
    pids = [entry.pid for entry in deployment.entries]
    cpu_before = [cpu_seconds(pid) for pid in pids]
    for number in range(CHANGES):
        varied = {k: vary(v, number) for k, v in values.items()}
        await commit(deployment, {"firm": varied})
    costs = [
        (cpu_seconds(p) - s) / CHANGES for p, s in zip(pids, cpu_before, strict=True)
    ]
    print(
        f"one change of a {label}: committing {costs[0]:.3f} s, other {costs[1]:.3f} s"
    )


def vary(value: Any, number: int) -> Any:
    """Return a value that differs for each number."""
    if isinstance(value, dict):
        return {**value, "host": f"host-{number}"}
    return value + number


def registration(number: int) -> dict[str, Any]:
    return {
        "pool": "assessment",
        "host": f"host-b-{number}",
        "region": "cluj",
        "data_centre": "cluj-1",
        "address": f"127.0.0.1:{1 + number % 1000}",
    }


async def commit(deployment: Deployment, values: dict[str, dict[str, Any]]) -> None:
    if any(values.values()):
        change = await deployment.apply(values)
        for number in range(len(deployment.entries)):
            await deployment.wait_revision(change["number"], number)


# Connections


class IdleHandler:
    async def hello(self, entry, revision, fetch):
        return HelloReply("encoder-1", Load())

    def load(self):
        return Load()

    def changes_since(self, revision):
        return SettingsDelta(0, ())


def measure_connections() -> None:
    """Fork a server, open many connections to it, and send a hello on each."""
    reader, writer = os.pipe()
    server = os.fork()
    if server == 0:
        run(_serve_until_killed(writer))
        os._exit(0)
    port = int(os.read(reader, 16))
    try:
        run(_connect_many(port, server))
    finally:
        os.kill(server, 9)
        os.waitpid(server, 0)


async def _serve_until_killed(writer: int) -> None:
    async with capnp.kj_loop(), serve_sidecar(IdleHandler(), "127.0.0.1", 0) as port:
        os.write(writer, b"%d" % port)
        await asyncio.Event().wait()


async def _connect_many(port: int, server: int) -> None:
    async with capnp.kj_loop():
        clients = []
        for target in CONNECTION_STEPS:
            while len(clients) < target:
                client = await connect_sidecar("127.0.0.1", port, 5.0)
                await client.hello("entry", 0, IdleHandler())
                clients.append(client)
            print(
                f"connections {target}: client {memory_mb(os.getpid()):.1f} MB, "
                f"server {memory_mb(server):.1f} MB"
            )
        for client in clients:
            client.close()


if __name__ == "__main__":
    measure_connections()
    asyncio.run(main())
