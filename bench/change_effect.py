"""
Time from a change in the store to its effect at every gateway, beside an odd record.

Run ``.venv/bin/python -m bench.change_effect [--gateways 6] [--changes 20]``. Real
gateway processes on loopback use the stand-in store. In each of three phases routes are
added and an endpoint leaves and comes back, in turn: before a record that no decoder
expects is written, while it is there, and after it has been removed. A route is in
effect at a gateway when a call to it is served there, a record when its log says so.
Requests that reach the endpoint later than the users' bound are counted too. Changes
without effect within ``TIMEOUT_S`` count as that long.
"""

import argparse
import asyncio
import re
import sys
import tempfile
import time
from datetime import datetime
from pathlib import Path

from tests.gateway.support import open_gateway_cluster, respond_with, route
from tests.gateway.test_odd_records import (
    NESTED_RECORDS,
    OUT_OF_RANGE,
    SLOTS_TOO_LARGE,
)

ITEMS = {**NESTED_RECORDS, **OUT_OF_RANGE, "slots": SLOTS_TOO_LARGE}
DATA_CENTRES = ("cluj-a", "iasi-a", "bucuresti-a")
# Changes without effect for so long are given up, in seconds.
TIMEOUT_S = 4.0
# The users' bound for an endpoint that leaves, in seconds.
DRAIN_S = 2.5
POLL_S = 0.05
# Pause between changes, so that one does not wait for the batch of the one before, and
# before each phase, in seconds.
PAUSE_S = 0.6
SETTLE_S = 3.0
TIMESTAMP = re.compile(r"timestamp=(\S+)")


class Fleet:
    """Gateways, the endpoints behind them, and what has been written so far."""

    def __init__(self, cluster, gateways, leaver):
        self.cluster = cluster
        self.gateways = gateways
        self.leaver = leaver
        self.routes = [route("job")]
        self.version = 1
        self.late_requests = 0

    async def add_route(self):
        """Return the seconds until a new route is served at each gateway."""
        self.version += 1
        self.routes.append(route(f"new-{self.version}", service="job"))
        written = time.monotonic()
        self.cluster.configure(self.version, *self.routes)
        path = f"/new-{self.version}/"
        return await asyncio.gather(
            *(_served_after_s(gateway, path, written) for gateway in self.gateways)
        )

    async def set_state(self, state):
        """Return the seconds until each gateway has the endpoint's state."""
        begun = len(self.leaver.requests)
        written = time.time()
        self.cluster.store.put("servers/leaver", self.leaver.record("job", state=state))
        times_s = await asyncio.gather(
            *(self._recorded_after_s(gateway, written) for gateway in self.gateways)
        )
        if state == "draining" and max(times_s) >= DRAIN_S:
            left_s = DRAIN_S - (time.time() - written)
            await asyncio.sleep(max(0.0, left_s))
            begun = len(self.leaver.requests)
            await asyncio.gather(
                *(gateway.call("/job/") for gateway in self.gateways for _ in range(4))
            )
            self.late_requests += len(self.leaver.requests) - begun
        return times_s

    async def _recorded_after_s(self, gateway, written):
        revision = self.cluster.store.items["servers/leaver"].revision
        try:
            async with asyncio.timeout(TIMEOUT_S):
                line = await gateway.wait_for_event(
                    "endpoint_changed", endpoint="leaver", revision=revision
                )
        except TimeoutError:
            return TIMEOUT_S
        stamp = datetime.fromisoformat(TIMESTAMP.search(line)[1])
        return stamp.timestamp() - written


async def _served_after_s(gateway, path, written):
    while (elapsed_s := time.monotonic() - written) < TIMEOUT_S:
        if (await gateway.call(path))[0] == 200:
            return time.monotonic() - written
        await asyncio.sleep(POLL_S)
    return min(TIMEOUT_S, elapsed_s)


async def _measure_phase(fleet, name, changes):
    await asyncio.sleep(SETTLE_S)
    calls = fleet.cluster.store.calls
    calls_before, late_before = len(calls), fleet.late_requests
    begun = time.monotonic()
    routes_s, records_s = [], []
    for number in range(changes):
        if number % 2 == 0:
            routes_s += await fleet.add_route()
        else:
            state = "ready" if number % 4 == 3 else "draining"
            records_s += await fleet.set_state(state)
        await asyncio.sleep(PAUSE_S)
    seconds = time.monotonic() - begun
    rate = (len(calls) - calls_before) / seconds / len(fleet.gateways)
    for kind, times_s in (("route", routes_s), ("record", records_s)):
        sys.stdout.write(f"{name:6} {kind:6} {_quantiles(times_s)}\n")
    sys.stdout.write(
        f"{name:6} store calls a gateway and second {rate:.2f}, requests to the "
        f"endpoint later than {DRAIN_S} s {fleet.late_requests - late_before}\n"
    )
    sys.stdout.flush()


def _quantiles(times_s):
    ordered = sorted(times_s)
    if not ordered:
        return "no changes"
    p50, p95 = (ordered[int(share * (len(ordered) - 1))] for share in (0.5, 0.95))
    without = sum(seconds >= TIMEOUT_S for seconds in ordered)
    return (
        f"p50 {p50:.3f} s, p95 {p95:.3f} s, max {ordered[-1]:.3f} s, without effect in "
        f"{TIMEOUT_S} s {without} of {len(ordered)}"
    )


async def _run(gateway_count, changes, item):
    with tempfile.TemporaryDirectory() as folder:
        async with open_gateway_cluster(Path(folder)) as cluster:
            await cluster.endpoint("stays", "job", respond_with(b"stays"))
            leaver = await cluster.endpoint("leaver", "job", respond_with(b"leaver"))
            cluster.configure(1, route("job"))
            gateways = await asyncio.gather(
                *(
                    cluster.gateway(f"g{n}", DATA_CENTRES[n % len(DATA_CENTRES)])
                    for n in range(gateway_count)
                )
            )
            fleet = Fleet(cluster, gateways, leaver)
            await _measure_phase(fleet, "before", changes)
            key, value = ITEMS[item]
            cluster.store.put(key, value)
            await _measure_phase(fleet, "while", changes)
            cluster.store.remove(key)
            await _measure_phase(fleet, "after", changes)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateways", type=int, default=6)
    parser.add_argument("--changes", type=int, default=20, help="of each phase")
    parser.add_argument("--item", choices=sorted(ITEMS), default="endpoint")
    arguments = parser.parse_args()
    asyncio.run(_run(arguments.gateways, arguments.changes, arguments.item))


if __name__ == "__main__":
    main()
