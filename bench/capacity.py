"""Slopes for docs/CAPACITY.md: what each role costs as the deployment grows.

    .venv/bin/python -m bench.capacity

Two entries with registered endpoints and client accounts that nobody calls, one
sidecar, and connections of the inner protocol between two processes.
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
from bench.process_cost import bytes_moved, cpu_seconds, memory_mb

PLAN = Path(__file__).parent.parent / "examples" / "agrosalv.toml"
ENDPOINT_STEPS = (0, 1000, 4000, 11000)
ACCOUNT_STEPS = (5, 100, 940)
BATCH = 500
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
    spent = {role: cpu_seconds(pid) for role, pid in pids.items()}
    moved = {role: bytes_moved(pid) for role, pid in pids.items()}
    counts = await platform_calls(deployment)
    await asyncio.sleep(IDLE_SECONDS)
    calls = await platform_calls(deployment) - counts
    for role, pid in pids.items():
        share = (cpu_seconds(pid) - spent[role]) / IDLE_SECONDS
        rate = (bytes_moved(pid) - moved[role]) / IDLE_SECONDS
        print(
            f"idle {label}: {role} {share:.2%} of a core, {memory_mb(pid):.1f} MB, "
            f"{rate:.0f} bytes/s"
        )
    print(f"idle {label}: {calls / IDLE_SECONDS:.2f} platform calls/s in all")


async def platform_calls(deployment: Deployment) -> int:
    async with deployment.http.get(deployment.platform_url + "/_counts") as found:
        return sum((await found.json()).values())


async def grow_accounts(deployment: Deployment, entry: int) -> None:
    known = len(deployment.plan.accounts)
    for target in ACCOUNT_STEPS:
        values = {
            f"account:bench-{n}": {"key_sha256": f"{n:064x}"}
            for n in range(known, target)
        }
        await commit(deployment, values)
        known = max(known, target)
        print(f"accounts {target}: entry {memory_mb(entry):.1f} MB")


async def grow_endpoints(deployment: Deployment, entry: int) -> None:
    known = 0
    for target in ENDPOINT_STEPS:
        spent, start = cpu_seconds(entry), time.perf_counter()
        while known < target:
            upto = min(target, known + BATCH)
            values = {f"endpoint.b-{n}": registration(n) for n in range(known, upto)}
            await commit(deployment, {"firm": values})
            known = upto
        spent, took = cpu_seconds(entry) - spent, time.perf_counter() - start
        print(
            f"endpoints {target}: entry {memory_mb(entry):.1f} MB, "
            f"{spent:.2f} cpu s, {took:.2f} s"
        )
    await measure_changes(deployment, "endpoint", {"endpoint.b-1": registration(1)})
    await measure_changes(deployment, "limit", {"limit.rate": 100})


async def measure_changes(
    deployment: Deployment, label: str, values: dict[str, Any]
) -> None:
    """Report what one change costs the entry that commits it and another one."""
    pids = [entry.pid for entry in deployment.entries]
    spent = [cpu_seconds(pid) for pid in pids]
    for number in range(CHANGES):
        again = {k: vary(v, number) for k, v in values.items()}
        await commit(deployment, {"firm": again})
    costs = [(cpu_seconds(p) - s) / CHANGES for p, s in zip(pids, spent, strict=True)]
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
    """Fork a server and connect to it many times, greeting each."""
    reader, writer = os.pipe()
    server = os.fork()
    if server == 0:
        run(_serve_until_ended(writer))
        os._exit(0)
    port = int(os.read(reader, 16))
    try:
        run(_connect_many(port, server))
    finally:
        os.kill(server, 9)
        os.waitpid(server, 0)


async def _serve_until_ended(writer: int) -> None:
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
