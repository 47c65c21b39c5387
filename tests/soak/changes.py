"""Changes of a soak run whose effect is checked at every gateway in touch."""

import asyncio
import time

import aiohttp

from amaranthtally.standins.relay import LinkFault
from tests.gateway.support import route
from tests.soak.endpoints import EndpointScript

# The users' bounds, in seconds: after them a route that was added is known, and an
# endpoint that has said that it leaves gets nothing.
CONFIGURATION_S = 2.5
DRAIN_S = 2.5
# Pause between two changes, and how long an endpoint serves before it leaves, in
# seconds.
BETWEEN_S = (0.2, 1.2)
SERVED_S = 0.6
# Endpoints that are registered from the start, so that their leaving is all that the
# store has to tell of them.
LEAVERS = 6
# Calls to a route that was added at each gateway, and the pause after each of them.
CALLS = 3
CALL_PAUSE_S = 0.2
CALL_TIMEOUT_S = 4.0
# How long a link is silent, in seconds: shorter and longer than calls to the store.
SILENT_S = (1.0, 6.0)
SILENCES = (LinkFault.HALF_OPEN, LinkFault.REPLIES_LOST, LinkFault.HELD)
# Background tasks that are made to fail, and for how long those of one gateway fail
# again and again, in seconds.
TASKS = ("store_watcher", "store_follower", "record_expiry", "decision_loop")
FAILING_S = (0.5, 3.0)
# Share of the failures that are single ones, after which a gateway stays in touch.
SINGLE_SHARE = 0.7
# Refusals that say that a route or a key is not known; of 503, those with this text.
UNKNOWN = (401, 404)
UNAVAILABLE = 503
NO_CONFIGURATION = b"configuration"


async def silence_links(run, random, count, end_at):
    """Let links between the store and single gateways go silent, until a time stamp."""
    left_s = max(0.0, end_at - time.monotonic())
    await asyncio.gather(
        *(_silence(run, random, random.random() * left_s) for _ in range(count))
    )


async def _silence(run, random, after_s):
    name = random.choice(run.names)
    duration_s = random.uniform(*SILENT_S)
    kind = random.choice(SILENCES)
    await asyncio.sleep(after_s)
    if name in run.silenced:
        return
    run.silenced.add(name)
    with run.disturbed(name):
        run.silent_links[name].fail(kind)
        await asyncio.sleep(duration_s)
        run.silent_links[name].clear_fault()
    run.silenced.discard(name)


async def fail_tasks(run, random, count, end_at):
    """Let background tasks fail, once each or for a while, until a time stamp."""
    left_s = max(0.0, end_at - time.monotonic())
    await asyncio.gather(
        *(_fail_task(run, random, random.random() * left_s) for _ in range(count))
    )


async def _fail_task(run, random, after_s):
    name, task = random.choice(run.names), random.choice(TASKS)
    is_single = random.random() < SINGLE_SHARE
    duration_s = random.uniform(*FAILING_S)
    await asyncio.sleep(after_s)
    file = run.cluster.folder / f"{name}.faults" / task
    if file.exists():
        return
    if is_single:
        file.write_text("once")
        return
    with run.disturbed(name):
        file.write_text("always")
        await asyncio.sleep(duration_s)
        file.unlink(missing_ok=True)


async def play_changes(run, random, end_at):
    """Add routes and let endpoints leave until a time stamp; check each change."""
    checks = []
    known = [await _register(run, number) for number in range(LEAVERS)]
    serial = 0
    while time.monotonic() < end_at:
        await asyncio.sleep(random.uniform(*BETWEEN_S))
        serial += 1
        work = _add_route(run, serial) if serial % 2 else _let_leave(run, serial, known)
        checks.append(asyncio.create_task(work))
    leaving = [left for left in await asyncio.gather(*checks) if left is not None]
    for endpoint, left_at in leaving:
        _check_unused(run, endpoint, left_at)
    if not all(run.checked.values()):
        run.violations.append(f"too many disturbances to check changes: {run.checked}")


async def _register(run, serial):
    """Register an endpoint that will leave, and return it."""
    script = EndpointScript(run.records, "work", "v1")
    return await run.cluster.endpoint(f"leaves-{serial}", "read", script)


async def _add_route(run, serial):
    name = f"added-{serial}"
    version = run.add_route(route(name, service="read", timeoutMs=3000))
    await asyncio.sleep(CONFIGURATION_S)
    known_from = time.monotonic()
    for number in range(CALLS):
        await asyncio.gather(
            *(
                _check_known(run, gateway, f"{name}-{number}", version, known_from)
                for gateway in list(run.gateways.values())
            )
        )
        await asyncio.sleep(CALL_PAUSE_S)


async def _check_known(run, gateway, request, version, known_from):
    """Call an added route at a gateway; it must be known if that one is in touch."""
    own_name = gateway.process.name
    sent_at = time.monotonic()
    path = f"/{request.rpartition('-')[0]}/"
    headers = gateway.headers(f"{request}-{own_name}")
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            async with gateway.session.post(
                f"{gateway.url}{path}", headers=headers
            ) as response:
                body = await response.read()
                status = response.status
    except (aiohttp.ClientError, OSError, TimeoutError):
        return
    if not run.is_in_touch(own_name, sent_at):
        return
    run.checked["routes"] += 1
    if status in UNKNOWN or (status == UNAVAILABLE and NO_CONFIGURATION in body):
        late_s = CONFIGURATION_S + sent_at - known_from
        run.violations.append(
            f"{own_name}: {status} for {path} {late_s:.1f} s after version {version}"
        )


async def _let_leave(run, serial, known):
    """Let an endpoint leave; return it and when it did. New ones serve for a while."""
    if known:
        endpoint = known.pop()
    else:
        endpoint = await _register(run, LEAVERS + serial)
        await asyncio.sleep(SERVED_S)
    left_at = time.monotonic()
    run.store.put(f"servers/{endpoint.name}", endpoint.record("read", state="draining"))
    return endpoint, left_at


def _check_unused(run, endpoint, left_at):
    """Check that no gateway in touch has sent anything to an endpoint that left."""
    ended = time.monotonic()
    for own_name in run.names:
        seconds = range(int(ended - left_at - DRAIN_S))
        run.checked["seconds without an endpoint"] += sum(
            run.is_in_touch(own_name, left_at + DRAIN_S + second) for second in seconds
        )
    counts = {}
    for at, request_id in endpoint.script.received:
        gateway = run.sent_to.get(request_id)
        if gateway is None or at < left_at + DRAIN_S:
            continue
        own_name = gateway.process.name
        if run.is_in_touch(own_name, at):
            count, last_s = counts.get(own_name, (0, 0.0))
            counts[own_name] = (count + 1, max(last_s, at - left_at))
    for own_name, (count, last_s) in counts.items():
        run.violations.append(
            f"{own_name}: {count} requests to {endpoint.name}, the last {last_s:.1f} s "
            "after it left"
        )


def check_processes(run):
    """Check that no gateway without a process fault has ended."""
    for name, gateway in run.gateways.items():
        code = gateway.process.exit_code
        if code is not None and name not in run.faulted:
            run.violations.append(f"{name} has ended with code {code}")
