"""Each background task of each program fails once, and then again and again."""

import asyncio
import json
import re
from pathlib import Path

import capnp
import pytest

from amaranthtally.policy import PeerRecord
from amaranthtally.standins import deployment as deployments
from amaranthtally.standins.deployment import open_deployment
from amaranthtally.standins.process import start_process
from amaranthtally.wire.gateway_client import connect_gateway
from amaranthtally.wire.gateway_codec import Greeter, Versions
from tests.gateway import support
from tests.gateway.support import respond_with, route, run_with_cluster
from tests.lifecycle.model_support import model_plan
from tests.support import run_async
from tests.support.faulty_daemon import LISTING

FAULTY_DAEMON = "tests.support.faulty_daemon"
PACKAGES = Path(__file__).parents[2] / "packages"
CREATION = re.compile(r"create_task\(|ensure_future\(|TaskGroup\(|run_coroutine_thr")
CREATES_TASKS = {
    "supervision.py",
    # The stop of the process and the signal that forces it, awaited together.
    "lifecycle.py",
    # Calls of one search, awaited by it; the event loop reports what is left.
    "stream_origin_tracker.py",
    # Calls of one round, gathered by it; it raises the first exception.
    "peer_confirmation.py",
    # A message of chunks; what it raises is reported by the event loop.
    "chunk_batcher.py",
    # A connection, which it closes whatever it raises; the event loop reports that.
    "peer_listener.py",
}
# The program itself, and the tasks of each connection that it accepts.
UNSUPERVISED = re.compile(
    r"run_(gateway|entry|sidecar)|RequestHandler\.(start|_handle_request)"
    r"|_PeerListener\._handle"
)
STORE_TASKS = {
    "store_watcher",
    "store_follower",
    "store_contact_clock",
    "record_expiry",
}
VITAL = {
    "gateway": STORE_TASKS | {"decision_loop", "connection_gate"},
    "entry": {"decision_loop"},
    "sidecar": set(),
}
# Tasks that end early: these fail once before that, and memory_limit has no limit.
SHORT = {"notice_reader", "initial_load", "seed_reader", "memory_limit"}
LIMIT_S = 20.0
CONFIGURATION_S = 2.5


class Faulty:
    """A daemon, the faults of its tasks, and what it shows of them."""

    def __init__(self, session, settings_file, readiness, metrics):
        self._session = session
        self._folder = settings_file.with_suffix(".faults")
        self._urls = {"readiness": readiness, "metrics": metrics}

    def fail(self, names, how="always"):
        for name in names:
            (self._folder / name).write_text(how)

    def stop_failing(self, names):
        for name in names:
            (self._folder / name).unlink()

    async def listing(self):
        """Return the daemon's listing; it may be ready before it writes the first."""
        file = self._folder / LISTING
        async with asyncio.timeout(LIMIT_S):
            while not (file.exists() and (text := file.read_text())):
                await asyncio.sleep(0.01)
        return json.loads(text)

    async def get(self, what):
        async with self._session.get(self._urls[what]) as response:
            return response.status, await response.text()

    async def is_ready(self):
        return (await self.get("readiness"))[0] == 200

    async def tasks(self, metric):
        """Return the tasks for which a metric is not zero."""
        _, text = await self.get("metrics")
        pairs = re.findall(rf'^{metric}{{task="([^"]+)"}} (\S+)$', text, re.MULTILINE)
        return {task for task, value in pairs if float(value)}

    async def failed(self):
        return await self.tasks("amaranthtally_tasks_failed_total")

    async def failing(self):
        return await self.tasks("amaranthtally_task_failing")


async def wait_for(read, is_expected):
    """Wait until what is read is as expected."""
    async with asyncio.timeout(LIMIT_S):
        while not is_expected(await read()):
            await asyncio.sleep(0.05)


async def check_tasks(daemon, vital, check_served, check_out_of_service):
    """Let each task of a program fail, once and then again and again."""
    await wait_for(daemon.is_ready, bool)
    listing = await daemon.listing()
    tasks = listing["vital"]
    assert {name for name, is_vital in tasks.items() if is_vital} == vital
    assert not [n for n in listing["unsupervised"] if not UNSUPERVISED.fullmatch(n)]
    lasting = set(tasks) - SHORT

    daemon.fail(lasting, how="once")
    await wait_for(daemon.failed, lasting.issubset)
    assert await daemon.is_ready()
    await check_served()

    daemon.fail(lasting - vital)
    await wait_for(daemon.failing, (lasting - vital).__eq__)
    assert await daemon.is_ready()
    await check_served()
    daemon.stop_failing(lasting - vital)

    for name in sorted(vital):
        daemon.fail([name])
        await wait_for(
            lambda: daemon.get("readiness"),
            lambda response, name=name: response[0] == 503 and name in response[1],
        )
        await check_out_of_service(name)
        daemon.stop_failing([name])
        await wait_for(daemon.is_ready, bool)
    await wait_for(daemon.failing, set().__eq__)
    await check_served()


async def is_followable(port):
    """Return whether a gateway tells peers that it watches the store."""
    client = await connect_gateway("127.0.0.1", port, 1.0, 1.0)
    try:
        greeter = Greeter(PeerRecord("", ""))
        status = await client.exchange_status("test", greeter, Versions(), False)
        return status.watches
    finally:
        client.close()


def test_tasks_of_a_gateway(tmp_path, monkeypatch):
    """Guards against gateways that go on as connected while a loop has ended."""

    def start_faulty(name, module, *arguments):
        return start_process(name, FAULTY_DAEMON, *arguments)

    monkeypatch.setattr(support, "start_process", start_faulty)

    async def check(cluster):
        await cluster.endpoint("job", "job", respond_with(b"done"))
        cluster.configure(1, route("job"))
        (tmp_path / "g1.faults").mkdir()
        for name in ("notice_reader", "seed_reader"):
            (tmp_path / "g1.faults" / name).write_text("once")
        metrics = cluster.reserve_address()
        gateway = await cluster.gateway("g1", metrics_address=metrics)
        gateways = [gateway, await cluster.gateway("g2")]
        ports = gateway.process.ports
        ready = f"http://127.0.0.1:{ports['ready']}/v1/readyz"
        daemon = Faulty(
            gateway.session, tmp_path / "g1.toml", ready, f"http://{metrics}/metrics"
        )
        paths = iter(range(2, 9))

        async def check_served():
            version = next(paths)
            new = route(f"new{version}", service="job")
            cluster.configure(version, route("job"), new)
            await asyncio.sleep(CONFIGURATION_S)
            for path in ("/job/", f"/new{version}/"):
                assert [(await g.call(path))[0] for g in gateways] == [200, 200]
            assert await is_followable(ports["peers"])

        async def check_out_of_service(name):
            assert not await is_followable(ports["peers"])
            if name in STORE_TASKS:
                # Callers whom the balancer still sends are served by what is known.
                assert (await gateway.call("/job/"))[0] == 200

        async with capnp.kj_loop():
            await check_tasks(
                daemon, VITAL["gateway"], check_served, check_out_of_service
            )
        assert {"seed_reader", "notice_reader"} <= await daemon.failed()

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize("program", ["entry", "sidecar"])
def test_tasks_of_an_entry_and_of_a_sidecar(monkeypatch, program):
    """Guards against a sidecar or an entry that serves on while a loop has ended."""
    monkeypatch.setattr(deployments, "DAEMON", FAULTY_DAEMON)

    async def run():
        async with open_deployment(model_plan(1)) as deployment:
            (pair,) = deployment.endpoints.values()
            file, url = deployment.entry_files[0], deployment.entry_url()
            if program == "sidecar":
                file = pair.sidecar_file
                url = f"http://127.0.0.1:{pair.sidecar.ports['http']}"
            daemon = Faulty(deployment.http, file, f"{url}/readyz", f"{url}/metrics")

            async def check_served():
                assert (await deployment.call("assessment", "claim")).status == 200

            async def ignore(name):
                pass

            await check_tasks(daemon, VITAL[program], check_served, ignore)

    run_async(run())


def test_tasks_are_created_under_supervision():
    """Guards against a task that is added later and ends without being noticed."""
    sources = [
        path
        for package in ("daemon", "wire", "platform")
        for path in (PACKAGES / package).rglob("*.py")
    ]
    found = {p.name for p in sources if CREATION.search(p.read_text(encoding="utf-8"))}
    assert found == CREATES_TASKS
