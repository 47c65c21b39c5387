"""Faults of a soak run, by name; most are undone after a random time."""

import asyncio
import signal
import time

from amaranthtally.standins.relay import LinkFault

FAULTS = {}
# Planned work, which excuses no request that ends unanswered.
PLANNED_WORK = {}
ENDPOINT_FAULTS = ("refuse", "reset before", "reset after", "twice", "hang")
# Shortest and longest duration of a fault, in seconds.
MIN_FAULT_S, MAX_FAULT_S = 0.3, 2.5
# Longest time between two stops of a roll, in seconds.
MAX_ROLL_INTERVAL_S = 0.7
# How long an endpoint names a rate limit, in seconds, and the limits that it may name,
# in requests a second.
LIMITED_S = 9.0
RATES = (1.0, 4.0, 15.0)
# From when on a limit binds all gateways after it was first named, and the time in
# which requests are counted, in seconds.
BINDING_AFTER_S = 4.0
WINDOW_S = 4.0
# For how long an endpoint turns requests away, and the backoffs that it may ask for, in
# seconds; from when on a backoff binds, and the requests of a gateway that it allows.
BACKING_OFF_S = 5.0
BACKOFFS_S = (1.0, 3.0)
BACKOFF_AFTER_S = 0.5
ALLOWED_IN_BACKOFF = 2
# Longest time between two signals to a gateway that is stopping, in seconds.
MAX_SIGNAL_INTERVAL_S = 0.3


def fault(function):
    """Register a fault under its function's name."""
    FAULTS[function.__name__] = function
    return function


def planned_work(function):
    """Register planned work under its function's name."""
    PLANNED_WORK[function.__name__] = function
    return function


def random_duration_s(random):
    return random.uniform(MIN_FAULT_S, MAX_FAULT_S)


@fault
async def kill(run, random, name):
    run.gateways[name].process.send(signal.SIGKILL)
    await run.gateways[name].process.wait()
    await asyncio.sleep(random_duration_s(random))
    await run.start_gateway(name)


@fault
@planned_work
async def planned_stop(run, random, name):
    await run.stop_gateway(name)
    await run.start_gateway(name)


@fault
async def stop_among_signals(run, random, name):
    """Stop a gateway; send it SIGHUP, SIGTERM and SIGSTOP at random until it ends."""
    stopping = asyncio.create_task(run.stop_gateway(name))
    process = run.gateways[name].process
    while not stopping.done():
        await asyncio.sleep(MAX_SIGNAL_INTERVAL_S * random.random())
        signal_number = random.choice((signal.SIGHUP, signal.SIGTERM, signal.SIGSTOP))
        process.send(signal_number)
        if signal_number is signal.SIGSTOP:
            await asyncio.sleep(MAX_SIGNAL_INTERVAL_S * random.random())
            process.send(signal.SIGCONT)
    await stopping
    await run.start_gateway(name)


@planned_work
async def stop_among_requests_to_stop(run, random, name):
    """Stop a gateway; ask for the stop and for reloads again until it ends."""
    stopping = asyncio.create_task(run.stop_gateway(name))
    process = run.gateways[name].process
    while not stopping.done():
        await asyncio.sleep(2.0 * random.random())
        process.send(random.choice((signal.SIGHUP, signal.SIGTERM, signal.SIGINT)))
    await stopping
    await run.start_gateway(name)


@fault
async def pause(run, random, name):
    run.gateways[name].process.send(signal.SIGSTOP)
    await asyncio.sleep(random_duration_s(random))
    run.gateways[name].process.send(signal.SIGCONT)


@fault
@planned_work
async def reload(run, random, name):
    run.gateways[name].process.send(signal.SIGHUP)


@fault
async def store_link(run, random, name):
    """Fail the link between a gateway and the store."""
    relay = run.relays[name]
    relay.fail(random.choice(list(LinkFault)))
    with run.disturbed(name):
        await asyncio.sleep(2.0 * random_duration_s(random))
        relay.clear_fault()


@fault
async def store_down(run, random, name):
    await _store_fault(run, random, "unavailable")


async def roll_in_outage(run, random):
    """Stop all gateways that have no fault, one after the other, without the store."""
    outage = asyncio.create_task(
        _store_fault(run, random, random.choice(("unavailable", "unanswered_watches")))
    )
    names = [name for name in run.names if name not in run.faulted]
    run.faulted.update(names)
    rolls = []
    for rolled in names:
        rolls.append(asyncio.create_task(planned_stop(run, random, rolled)))
        await asyncio.sleep(MAX_ROLL_INTERVAL_S * random.random())
    try:
        with run.disturbed():
            await asyncio.gather(outage, *rolls)
    finally:
        run.faulted.difference_update(names)
        run.last_fault_at.update(dict.fromkeys(names, time.monotonic()))


async def name_limit(run, random):
    """Let an endpoint name a rate limit; check that all gateways keep to it."""
    name = random.choice(sorted(run.scripts))
    script = run.scripts[name]
    rate = random.choice(RATES)
    script.rate = rate
    before = len(script.arrivals)
    give_up_at = time.monotonic() + LIMITED_S
    while len(script.arrivals) == before:
        if time.monotonic() > give_up_at:
            # Its data centre is evacuated, or the callers have ended: nobody hears it.
            script.rate = None
            return
        await asyncio.sleep(0.05)
    named_at = time.monotonic()
    await asyncio.sleep(LIMITED_S)
    script.rate = None
    bound = [at for at in script.arrivals if at >= named_at + BINDING_AFTER_S]
    for first in bound:
        count = sum(first <= at < first + WINDOW_S for at in bound)
        if count > 1.5 * rate * WINDOW_S + 5:
            run.violations.append(f"{name}: {count} requests in 4 s at {rate} a second")
            return


async def ask_backoff(run, random):
    """Let an endpoint ask for backoffs; check that all gateways keep to them."""
    name = random.choice(
        sorted(n for n, s in run.scripts.items() if s.kind != "pieces")
    )
    script = run.scripts[name]
    await asyncio.sleep(random_duration_s(random))
    script.backoff_s = random.choice(BACKOFFS_S)
    backoff_s = script.backoff_s
    await asyncio.sleep(BACKING_OFF_S)
    script.backoff_s = 0.0
    for asked_at, request_id in script.turned_away:
        gateway = run.sent_to[request_id]
        count = sum(
            run.sent_to[other] is gateway
            and BACKOFF_AFTER_S < at - asked_at < backoff_s
            for at, other in script.received
        )
        is_excused = run.last_fault_at.get(gateway.process.name, 0.0) >= asked_at
        if count > ALLOWED_IN_BACKOFF and not is_excused:
            run.violations.append(
                f"{name}: {count} requests in a backoff of {backoff_s} s"
            )
            return


@fault
async def store_answers_lost(run, random, name):
    await _store_fault(run, random, "lost_responses")


@fault
async def store_silent(run, random, name):
    """Leave watches without a response."""
    await _store_fault(run, random, "unanswered_watches")


@fault
async def store_forgets(run, random, name):
    """Compact the store's history, so that gateways must read the keys again."""
    run.store.compact_history()


@fault
async def lease_lapses(run, random, name):
    """Remove a gateway's record, as the store does when its lease expires."""
    run.store.remove(f"entries/{name}")


@fault
@planned_work
async def new_version(run, random, name):
    run.configure()


@fault
@planned_work
async def large_version(run, random, name):
    run.write_larger_version(random)


@fault
async def endpoint_fails(run, random, name):
    script = run.scripts[random.choice(sorted(run.scripts))]
    script.inject_fault(random.choice(ENDPOINT_FAULTS), random.randint(1, 4))


@fault
@planned_work
async def endpoint_leaves(run, random, name):
    """Drain an endpoint, remove its record and register it again."""
    endpoint = random.choice(sorted(run.endpoints))
    run.register(endpoint, state="draining")
    await asyncio.sleep(random_duration_s(random))
    run.store.remove(f"servers/{endpoint}")
    await asyncio.sleep(random_duration_s(random))
    run.register(endpoint)


async def _store_fault(run, random, kind):
    setattr(run.store.faults, kind, True)
    run.store_fault_at = float("inf")
    with run.disturbed():
        await asyncio.sleep(random_duration_s(random))
        setattr(run.store.faults, kind, False)
    run.store_fault_at = time.monotonic()
