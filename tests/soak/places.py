"""Evacuations, cold endpoints and home regions beside the faults of a soak run."""

import asyncio
import time
from math import inf

import aiohttp

from tests.gateway.support import route
from tests.soak.soak_run import DATA_CENTRES

# Time in which an evacuation is in force at gateways in touch, in seconds, and how long
# a gateway is not in touch after a fault of it.
IN_FORCE_S = 5.0
STABLE_S = 4.0
# Shortest and longest evacuation, and the pause between two, in seconds.
EVACUATED_S = (0.3, 11.0)
BETWEEN_S = (0.2, 1.5)
# What a cold engine takes, in requests a second, how long it is cold, in seconds, and
# from when on its limit binds all gateways.
COLD_RATE = 4.0
COLD_START_S = 3.0
KNOWN_WITHIN_S = 1.0
COLD_SERVICE = {"name": "engine", "coldStartS": COLD_START_S, "coldPerS": COLD_RATE}
HOME = DATA_CENTRES[1]
HOME_PREFIX = "home"
HOME_ROUTE = route(HOME_PREFIX, service="read", timeoutMs=3000, allowedRegions=[HOME])
HOME_PAUSE_S = 0.05


async def play_places(run, random, end_at):
    """Evacuate, cool down and ask for what has a home until a time; check all of it."""
    run.configure_places([HOME_ROUTE], [COLD_SERVICE])
    await asyncio.gather(
        _evacuate_in_series(run, random, end_at),
        _cool_down(run, random, end_at),
        _ask_at_home(run, random, end_at),
    )
    _check_homes(run)


async def _evacuate_in_series(run, random, end_at):
    while time.monotonic() < end_at:
        chosen = random.sample(DATA_CENTRES, random.choice((1, 1, 1, 2)))
        for place in chosen:
            run.store.put(f"op/evacuate/{place}", {})
        # One that is written while the store is faulted is read after the fault.
        while run.store_fault_at == inf:
            await asyncio.sleep(0.05)
        in_force_at = time.monotonic() + IN_FORCE_S
        await asyncio.sleep(random.uniform(*EVACUATED_S))
        for place in chosen:
            _check_evacuated(run, place, in_force_at)
            run.store.remove(f"op/evacuate/{place}")
        await asyncio.sleep(random.uniform(*BETWEEN_S))


def _check_evacuated(run, place, in_force_at):
    """Check that gateways in touch have sent nothing there since it was in force."""
    for name, (_, _, data_centre, _) in run.endpoints.items():
        if data_centre != place:
            continue
        for at, request_id in run.scripts[name].received:
            gateway = run.sent_to.get(request_id)
            if at > in_force_at and gateway and _is_in_touch(run, gateway, at):
                run.violations.append(f"{request_id}: sent to {name}, evacuated")
                return


def _is_in_touch(run, gateway, at):
    name = gateway.process.name
    return name not in run.faulted and run.last_fault_at.get(name, 0.0) < at - STABLE_S


async def _cool_down(run, random, end_at):
    """Let an engine say that it is cold, one after the other; check its load."""
    engines = sorted(n for n, entry in run.endpoints.items() if entry[1] == "engine")
    while time.monotonic() < end_at:
        name = random.choice(engines)
        store_faults = run.store_fault_at
        run.register(name, coldLeftMs=1000 * COLD_START_S, sequence=random.random())
        told_at = time.monotonic()
        await asyncio.sleep(COLD_START_S)
        bound = [at for at in run.scripts[name].arrivals if at > told_at]
        bound = [at for at in bound if at > told_at + KNOWN_WITHIN_S]
        most = max((sum(a <= t < a + 1.0 for t in bound) for a in bound), default=0)
        # While the store is faulted, the record reaches nobody.
        was_told = run.store_fault_at == store_faults and not run.faulted
        if was_told and most > 1.5 * COLD_RATE + 5:
            run.violations.append(f"{name}: {most} requests in a second while cold")


async def _ask_at_home(run, random, end_at):
    serial = 0
    while time.monotonic() < end_at:
        serial += 1
        gateway = run.gateways[random.choice(run.names)]
        headers = gateway.headers(f"{HOME_PREFIX}-{serial}")
        url = f"{gateway.url}/{HOME_PREFIX}/"
        try:
            async with asyncio.timeout(4.0):
                async with gateway.session.post(url, headers=headers) as response:
                    await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        await asyncio.sleep(HOME_PAUSE_S)


def _check_homes(run):
    for name, (_, _, data_centre, _) in run.endpoints.items():
        if data_centre == HOME:
            continue
        for _, request_id in run.scripts[name].received:
            if request_id.startswith(f"{HOME_PREFIX}-"):
                run.violations.append(f"{request_id}: sent to {name}, not at home")
                return
