"""Three of six gateways lose power; a configuration follows at once."""

import asyncio
import resource
import signal
import sys
from pathlib import Path

from review.common2.http import call
from review.common2.world import BOUNDS, PORTS, Gateway, World, route, run_case

ZONES = {"cluj-a": "transilvania", "bucuresti-a": "muntenia", "iasi-a": "moldova-reg"}
# The site kills a share of .55 at once (herd_kill), and keeps machines that lose power
# dark for 3.5 s (node_kill).
DARK_S = 3.5
CALM_S = BOUNDS["stableWindowMs"] / 1000
APPLY_S = BOUNDS["configApplyMs"] / 1000
ASK_INTERVAL_S = 0.05
SETTLE_S = 8.0
ROUNDS = 3
# More than a listener lets wait.
MOST_CONNECTIONS = 2000
CONNECT_S = 0.1
# Descriptors of this process: those of three accept queues and of the clients.
DESCRIPTORS = 8192


async def case(world: World, has_trouble: bool) -> bool:
    """Return whether every request was handled as a configuration in force says."""
    present, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    if present < DESCRIPTORS <= most:
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, most))
    await world.add_server("i-old", "old", "cluj-a")
    await world.add_server("i-new", "new", "cluj-a")
    world.configure(1, [route("job", "idempotent", "old")])
    await world.add_gateways(ZONES, 2)
    await asyncio.sleep(SETTLE_S)
    version, held = 1, True
    for number in range(ROUNDS):
        version += 1
        service = ("new", "old")[number % 2]
        held &= await play_round(world, has_trouble, version, service)
        await asyncio.sleep(SETTLE_S)
    return held


async def play_round(world: World, has_trouble: bool, version: int, to: str) -> bool:
    """Move the route to a service; return whether the others follow in time."""
    watchers = [n for n, count in world.store.watching.items() if count]
    lost = [world.gateways[name] for name in sorted(watchers)[:3]]
    calm = [g for g in world.gateways.values() if g not in lost]
    world.record.note(f"watching the store: {', '.join(sorted(watchers))}")
    held: list[asyncio.StreamWriter] = []
    if has_trouble:
        for gateway in lost:
            gateway.send(signal.SIGSTOP)
            world.record.note(f"{gateway.name} has lost power")
    acknowledged = world.configure(version, [route("job", "idempotent", to)])
    if has_trouble:
        await asyncio.gather(*(fill_backlog(world, g, held) for g in lost))
    late = await asyncio.gather(*(ask(world, g, acknowledged, to) for g in calm))
    if has_trouble:
        for gateway in lost:
            await gateway.kill()
            await gateway.start()
        for writer in held:
            writer.transport.abort()
        for gateway in lost:
            await gateway.wait_ready()
            world.record.note(f"{gateway.name} is back")
    return not any(late)


async def fill_backlog(
    world: World, gateway: Gateway, held: list[asyncio.StreamWriter]
) -> None:
    """
    Let new connections between gateways hang, as those to a machine without power do.

    The kernel would accept them for the stopped process.
    """
    count = 0
    try:
        while count < MOST_CONNECTIONS:
            async with asyncio.timeout(CONNECT_S):
                _, writer = await asyncio.open_connection(
                    gateway.ip, PORTS["controlPlane"]
                )
            held.append(writer)
            count += 1
    except TimeoutError:
        pass
    world.record.note(f"{gateway.name}: new connections hang after {count}")


async def ask(world: World, gateway: Gateway, acknowledged: float, to: str) -> int:
    """Send requests to a gateway; return how many went by the older version."""
    loop = asyncio.get_running_loop()
    late = 0
    while loop.time() < acknowledged + DARK_S:
        outcome = await call(gateway.front, "POST", "/job/1", world.headers(), b"x")
        age_s = outcome.sent_at - acknowledged
        ran_at = outcome.body.decode()
        is_old = outcome.status == 200 and ran_at != to
        late += is_old and age_s > APPLY_S
        world.record.note(
            f"{gateway.name}: {outcome.request_id} sent {age_s:.3f} s after the "
            f"acknowledgement: {outcome.status} {ran_at}"
            + (" BROKEN" if is_old and age_s > APPLY_S else "")
        )
        await asyncio.sleep(ASK_INTERVAL_S)
    return late


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
