"""
Measures the time from a change's acknowledgement until each process applies it.

The fleet consists of complete daemons and of light nodes (see light_fleet.py). Prints
the delay of the processes, the platform's calls per change and while idle, by role,
and how long a killed entry takes to be ready again.
"""

import argparse
import asyncio
import os
import re
import statistics
import time
from contextlib import AsyncExitStack
from datetime import datetime
from pathlib import Path

from amaranthtally.standins.deployment import ADMIN_KEY, load_plan, open_deployment
from amaranthtally.standins.process import start_process

IN_FORCE = re.compile(r"timestamp=(\S+) .*event=settings_in_force revision=(\d+)")
LIGHT_IN_FORCE = re.compile(r"event=in_force node=(\S+) revision=(\d+) at=(\S+)")
LIGHT_NODE = re.compile(r"event=node node=(\S+) port=(\d+)")
LIGHT_PER_PROCESS = 30
SETTLE_S = 5.0
REQUEST_TEXT = "The combine's header lifts but will not lower."


class Fleet:
    """A deployment and the light nodes that run with it."""

    def __init__(self, deployment, stack):
        self.deployment = deployment
        self.light_processes = []
        self.light_nodes = 0
        self._stack = stack

    async def start_light_nodes(self, role, count):
        for first in range(0, count, LIGHT_PER_PROCESS):
            nodes = min(LIGHT_PER_PROCESS, count - first)
            process = await start_process(
                f"light-{role}-{first}",
                "bench.light_fleet",
                role,
                "--platform",
                self.deployment.platform_url,
                "--first",
                str(first),
                "--nodes",
                str(nodes),
            )
            self._stack.push_async_callback(process.stop)
            self.light_processes.append(process)
            self.light_nodes += nodes

    async def register_light_endpoints(self):
        firm = {}
        for process in self.light_processes:
            for name, port in re.findall(LIGHT_NODE, "\n".join(process.lines)):
                firm[f"endpoint.{name}"] = {
                    "pool": "light",
                    "host": f"host-{name}",
                    "region": "cluj",
                    "data_centre": "cluj-1",
                    "address": f"127.0.0.1:{port}",
                }
        if firm:
            await self.deployment.apply({"firm": firm})

    def applied_at(self):
        """Return when each process applied each revision, by revision and process."""
        applied = {}
        daemons = [*self.deployment.entries]
        daemons += [pair.sidecar for pair in self.deployment.endpoints.values()]
        for process in daemons:
            for at, revision in IN_FORCE.findall("\n".join(process.lines)):
                when = datetime.fromisoformat(at).timestamp()
                applied.setdefault(int(revision), {})[process.name] = when
        for process in self.light_processes:
            lines = "\n".join(process.lines)
            for node, revision, at in LIGHT_IN_FORCE.findall(lines):
                applied.setdefault(int(revision), {})[node] = float(at)
        return applied

    @property
    def size(self):
        deployment = self.deployment
        return len(deployment.entries) + len(deployment.endpoints) + self.light_nodes

    async def counts(self):
        url = self.deployment.platform_url + "/_counts"
        async with self.deployment.http.get(url) as response:
            calls = await response.json()
        by_role = {}
        for name, count in calls.items():
            caller, kind = name.split(" ")
            role = "entry" if caller.startswith("entry") else caller
            by_role[f"{role} {kind}"] = by_role.get(f"{role} {kind}", 0) + count
        return by_role


async def commit_change(fleet, number):
    """Commit a change; return status, revision, and times of sending and response."""
    deployment = fleet.deployment
    body = {
        "who": "bench",
        "why": "bench",
        "ops": [{"scope": "firm", "key": "limit.rate", "value": 1000 + number}],
    }
    entry = number % len(deployment.entries)
    sent = time.time()
    async with deployment.http.post(
        deployment.admin_url(entry) + "/admin/v1/changes",
        json=body,
        headers={"Authorization": f"Bearer {ADMIN_KEY}"},
    ) as response:
        document = await response.json(content_type=None)
        return response.status, document.get("number"), sent, time.time()


async def generate_load(fleet, rate, counter):
    """Send requests at a steady rate until cancelled."""
    tasks = set()
    number = 0

    async def send_request(entry):
        response = await fleet.deployment.call("assessment", REQUEST_TEXT, entry=entry)
        counter[response.status] = counter.get(response.status, 0) + 1

    while True:
        number += 1
        task = asyncio.create_task(send_request(number % len(fleet.deployment.entries)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / rate)


def count_increases(before, after):
    return {k: after[k] - before.get(k, 0) for k in after if after[k] != before.get(k)}


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def print_quantiles(name, seconds):
    ms = [1000 * value for value in seconds]
    print(
        f"{name}: n={len(ms)} p50={statistics.median(ms):.0f} ms "
        f"p99={quantile(ms, 0.99):.0f} ms worst={max(ms):.0f} ms"
    )


async def measure_changes(fleet, count, pause):
    before = await fleet.counts()
    committed = []
    for number in range(count):
        status, revision, sent, acknowledged = await commit_change(fleet, number)
        if status == 200:
            committed.append((revision, sent, acknowledged))
        else:
            print(f"change {number}: status {status}")
        await asyncio.sleep(pause)
    after = await fleet.counts()
    await asyncio.sleep(SETTLE_S)
    applied = fleet.applied_at()
    lags, last, missing, commit_times = [], [], 0, []
    for revision, sent, acknowledged in committed:
        times = applied.get(revision, {})
        missing += fleet.size - len(times)
        lags += [max(0.0, at - acknowledged) for at in times.values()]
        last.append(max(0.0, max(times.values()) - acknowledged))
        commit_times.append(acknowledged - sent)
    print_quantiles("sent to acknowledged", commit_times)
    print_quantiles("acknowledged to in force, each process", lags)
    print_quantiles("acknowledged to in force, last process", last)
    print(f"processes that skipped a revision on the way: {missing}")
    calls = {
        k: round(v / len(committed), 2)
        for k, v in count_increases(before, after).items()
    }
    print(f"platform calls per change, all processes together: {calls}")


def processor_seconds(process):
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure_idle(fleet, seconds):
    before = await fleet.counts()
    cpu_s = sum(map(processor_seconds, fleet.light_processes))
    await asyncio.sleep(seconds)
    if fleet.light_processes:
        cpu_s = sum(map(processor_seconds, fleet.light_processes)) - cpu_s
        share = 100 * cpu_s / seconds / fleet.light_nodes
        print(f"processor time of a light node, idle: {share:.2f}% of a core")
    calls = count_increases(before, await fleet.counts())
    print(f"platform calls in {seconds:.0f} s idle, all processes together: {calls}")


async def restart(fleet, number):
    deployment = fleet.deployment
    await deployment.entries[number].kill()
    started = time.time()
    entry = deployment.entries[number]
    file = deployment.entry_files[number]
    deployment.entries[number] = await deployment.start_daemon(
        "entry", entry.name, file
    )
    listening = time.time()
    await deployment.wait_ready(number)
    return listening - started, time.time() - started


async def measure_restarts(fleet, count, label):
    times = [await restart(fleet, 0) for _ in range(count)]
    print_quantiles(
        f"entry, start to listening, {label}", [listening for listening, _ in times]
    )
    print_quantiles(f"entry, start to ready, {label}", [ready for _, ready in times])


async def measure(arguments):
    plan = load_plan(Path(arguments.plan))
    async with AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(
            open_deployment(plan, arguments.entries, arguments.servers)
        )
        fleet = Fleet(deployment, stack)
        await fleet.start_light_nodes("sidecar", arguments.light_sidecars)
        await fleet.start_light_nodes("entry", arguments.light_entries)
        await fleet.register_light_endpoints()
        await asyncio.sleep(SETTLE_S)
        print(
            f"complete entries {arguments.entries}, complete sidecars "
            f"{len(deployment.endpoints)}, light entries {arguments.light_entries}, "
            f"light sidecars {arguments.light_sidecars}, "
            f"load {arguments.load}/s, platform slow {arguments.slow} s"
        )
        if arguments.idle:
            await measure_idle(fleet, arguments.idle)
        if arguments.slow:
            await deployment.set_knobs(deployment.platform, slow=arguments.slow)
        counter = {}
        if arguments.load:
            task = asyncio.create_task(generate_load(fleet, arguments.load, counter))
            stack.callback(task.cancel)
        await measure_changes(fleet, arguments.changes, arguments.pause)
        if arguments.load:
            print(f"requests by status: {counter}")
        if arguments.restarts:
            await measure_restarts(fleet, arguments.restarts, "platform up")
            peers = [pair.address for pair in deployment.endpoints.values()][:4]
            text = deployment.entry_files[0].read_text()
            deployment.entry_files[0].write_text(f"peers = {peers!r}\n{text}")
            await deployment.set_knobs(deployment.platform, outage=True)
            await measure_restarts(fleet, arguments.restarts, "platform down")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plan", default="examples/agrosalv.toml")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--servers", type=int, default=2)
    parser.add_argument("--light-entries", type=int, default=0)
    parser.add_argument("--light-sidecars", type=int, default=0)
    parser.add_argument("--changes", type=int, default=50)
    parser.add_argument("--pause", type=float, default=0.2)
    parser.add_argument("--load", type=float, default=0.0, help="requests a second")
    parser.add_argument("--slow", type=float, default=0.0, help="seconds a call")
    parser.add_argument("--idle", type=float, default=0.0, help="seconds")
    parser.add_argument("--restarts", type=int, default=0)
    asyncio.run(measure(parser.parse_args()))


if __name__ == "__main__":
    main()
