"""Faults of a soak run, by name; most of them undo themselves after a random time."""

import asyncio
import signal

from amaranthtally.standins.relay import LinkFault

FAULTS = {}
ENDPOINT_FAULTS = ("refuse", "reset before", "reset after", "twice", "hang")
# Shortest and longest duration of a fault, in seconds.
SHORT_S, LONG_S = 0.3, 2.5
# Longest time between two signals of a series, in seconds.
MAX_SIGNAL_INTERVAL_S = 0.3


def fault(function):
    """Register a fault under its function's name."""
    FAULTS[function.__name__] = function
    return function


def random_duration_s(random):
    return random.uniform(SHORT_S, LONG_S)


@fault
async def kill(world, random, name):
    world.gateways[name].process.send(signal.SIGKILL)
    await world.gateways[name].process.wait()
    await asyncio.sleep(random_duration_s(random))
    await world.start_gateway(name)


@fault
async def planned_stop(world, random, name):
    await world.stop_gateway(name)
    await world.start_gateway(name)


@fault
async def stop_among_signals(world, random, name):
    """Stop a gateway, and send it reloads, pauses and stops at random until it ends."""
    stopping = asyncio.create_task(world.stop_gateway(name))
    process = world.gateways[name].process
    while not stopping.done():
        await asyncio.sleep(MAX_SIGNAL_INTERVAL_S * random.random())
        signal_number = random.choice((signal.SIGHUP, signal.SIGTERM, signal.SIGSTOP))
        process.send(signal_number)
        if signal_number is signal.SIGSTOP:
            await asyncio.sleep(MAX_SIGNAL_INTERVAL_S * random.random())
            process.send(signal.SIGCONT)
    await stopping
    await world.start_gateway(name)


@fault
async def pause(world, random, name):
    world.gateways[name].process.send(signal.SIGSTOP)
    await asyncio.sleep(random_duration_s(random))
    world.gateways[name].process.send(signal.SIGCONT)


@fault
async def reload(world, random, name):
    world.gateways[name].process.send(signal.SIGHUP)


@fault
async def store_link(world, random, name):
    relay = world.relays[name]
    relay.fail(random.choice(list(LinkFault)))
    await asyncio.sleep(2.0 * random_duration_s(random))
    relay.clear_fault()


@fault
async def store_down(world, random, name):
    await _store_fault(world, random, "down")


@fault
async def store_answers_lost(world, random, name):
    await _store_fault(world, random, "lost_answers")


@fault
async def store_silent(world, random, name):
    await _store_fault(world, random, "silent_watches")


@fault
async def store_forgets(world, random, name):
    world.store.compact_history()


@fault
async def lease_lapses(world, random, name):
    world.store.remove(f"entries/{name}")


@fault
async def new_version(world, random, name):
    world.configure()


@fault
async def large_version(world, random, name):
    world.write_larger_version(random)


@fault
async def endpoint_fails(world, random, name):
    script = world.scripts[random.choice(sorted(world.scripts))]
    script.inject_fault(random.choice(ENDPOINT_FAULTS), random.randint(1, 4))


@fault
async def endpoint_leaves(world, random, name):
    endpoint = random.choice(sorted(world.endpoints))
    world.register(endpoint, state="draining")
    await asyncio.sleep(random_duration_s(random))
    world.store.remove(f"servers/{endpoint}")
    await asyncio.sleep(random_duration_s(random))
    world.register(endpoint)


async def _store_fault(world, random, kind):
    setattr(world.store.outage, kind, True)
    await asyncio.sleep(random_duration_s(random))
    setattr(world.store.outage, kind, False)
