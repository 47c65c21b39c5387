"""Faults of a randomised run, registered by the ``_fault`` decorator."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from amaranthtally.standins.chaos.world import EntryDisruption, World
from amaranthtally.standins.deployment import ADMIN_KEY
from amaranthtally.standins.process import Process
from amaranthtally.standins.relay import LinkFault

__all__ = ["Fault", "fault_names", "inject"]

Fault = Callable[[World], Awaitable[None]]
_FAULTS: dict[str, Fault] = {}
SHORT_S = 0.3
LONG_S = 2.5
REPEATABLE_KINDS = ("encoder", "retriever", "reranker", "engine")
ALL_KINDS = (*REPEATABLE_KINDS, "plain")


def fault_names() -> list[str]:
    """Return the names of the registered faults, sorted."""
    return sorted(_FAULTS)


async def inject(world: World, name: str) -> None:
    """Cause a fault and undo it; return once it is undone."""
    world.counts[f"fault {name}"] += 1
    await _FAULTS[name](world)


def _fault(function: Fault) -> Fault:
    _FAULTS[function.__name__.lstrip("_")] = function
    return function


def _random_duration_s(world: World) -> float:
    return world.random.uniform(SHORT_S, LONG_S)


async def _with_knobs(
    world: World, process: Process, knobs: dict[str, Any], normal_knobs: dict[str, Any]
) -> None:
    await world.deployment.set_knobs(process, **knobs)
    await asyncio.sleep(_random_duration_s(world))
    await world.deployment.set_knobs(process, **normal_knobs)


# Sidecars


@_fault
async def _kill_sidecar(world: World) -> None:
    async with world.reserve_target(world.endpoints(*ALL_KINDS)) as name:
        pair = world.pair(name)
        await pair.sidecar.kill()
        await asyncio.sleep(SHORT_S)
        await world.start_sidecar(pair)


@_fault
async def _freeze_sidecar(world: World) -> None:
    async with world.reserve_target(world.endpoints(*ALL_KINDS)) as name:
        await world.freeze(world.pair(name).sidecar, _random_duration_s(world))


@_fault
async def _stop_sidecar(world: World) -> None:
    async with world.reserve_target(world.endpoints(*ALL_KINDS)) as name:
        await world.stop_sidecar(world.pair(name))


# Links between entries and sidecars


async def _fail_link(world: World, fault: LinkFault) -> None:
    async with world.reserve_target(world.linked_endpoints()) as name:
        relay = world.relays[name]
        relay.fail(fault)
        await asyncio.sleep(_random_duration_s(world))
        relay.clear_fault()


@_fault
async def _link_resets(world: World) -> None:
    await _fail_link(world, LinkFault.RESET)


@_fault
async def _link_holds(world: World) -> None:
    await _fail_link(world, LinkFault.HELD)


@_fault
async def _link_half_open(world: World) -> None:
    await _fail_link(world, LinkFault.HALF_OPEN)


@_fault
async def _link_loses_answers(world: World) -> None:
    await _fail_link(world, LinkFault.ANSWERS_LOST)


# Endpoints


@_fault
async def _freeze_endpoint(world: World) -> None:
    async with world.reserve_target(world.endpoints(*ALL_KINDS)) as name:
        await world.freeze(world.pair(name).service, _random_duration_s(world))


@_fault
async def _cut_streams(world: World) -> None:
    async with world.reserve_target(world.endpoints("engine")) as name:
        cut = {"cut_after_tokens": world.random.randint(1, 4)}
        normal_knobs = {"cut_after_tokens": 0}
        await _with_knobs(world, world.pair(name).service, cut, normal_knobs)


@_fault
async def _fail_calls(world: World) -> None:
    async with world.reserve_target(world.endpoints(*ALL_KINDS)) as name:
        service = world.pair(name).service
        await _with_knobs(world, service, {"fail_rate": 0.5}, {"fail_rate": 0.0})


@_fault
async def _slow_endpoint(world: World) -> None:
    async with world.reserve_target(world.endpoints(*ALL_KINDS)) as name:
        service = world.pair(name).service
        await _with_knobs(world, service, {"slow": 0.5}, {"slow": 0.0})


@_fault
async def _stuck_after_effect(world: World) -> None:
    async with world.reserve_target(world.endpoints("plain")) as name:
        service = world.pair(name).service
        await _with_knobs(world, service, {"stuck_after": True}, {"stuck_after": False})


# Platform


@_fault
async def _platform_outage(world: World) -> None:
    async with world.reserve_target(["platform"]):
        platform = world.deployment.platform
        await _with_knobs(world, platform, {"outage": True}, {"outage": False})


@_fault
async def _platform_slow(world: World) -> None:
    async with world.reserve_target(["platform"]):
        await _with_knobs(
            world, world.deployment.platform, {"slow": 0.7}, {"slow": 0.0}
        )


@_fault
async def _platform_loses_answers(world: World) -> None:
    async with world.reserve_target(["platform"]):
        lost = {"lose_answers": world.random.randint(1, 5)}
        platform = world.deployment.platform
        await _with_knobs(world, platform, lost, {"lose_answers": 0})


# Entries


@_fault
async def _kill_entry(world: World) -> None:
    async with world.reserve_target(world.entries()) as name:
        number = world.entries().index(name)
        disruption = _start_disruption(world, number)
        await world.deployment.entries[number].kill()
        await world.start_entry(number)
        await world.balancer.wait_ready(number)
        disruption.end = asyncio.get_running_loop().time()


@_fault
async def _freeze_entry(world: World) -> None:
    async with world.reserve_target(world.entries()) as name:
        number = world.entries().index(name)
        disruption = _start_disruption(world, number)
        await world.freeze(world.deployment.entries[number], _random_duration_s(world))
        disruption.end = asyncio.get_running_loop().time()


@_fault
async def _stop_entry(world: World) -> None:
    async with world.reserve_target(world.entries()) as name:
        number = world.entries().index(name)
        await world.stop_entry(number)
        await world.balancer.wait_ready(number)


def _start_disruption(world: World, number: int) -> EntryDisruption:
    disruption = EntryDisruption(number, asyncio.get_running_loop().time())
    world.disruptions.append(disruption)
    return disruption


# Operators


@_fault
async def _race_operators(world: World) -> None:
    numbers = sorted(world.balancer.ready)
    changes = [
        _commit(world, number, {"pipeline:race": {"deadline_ms": 1000 + number}})
        for number in numbers
    ]
    committed = [number for number in await asyncio.gather(*changes) if number]
    if len(committed) != len(set(committed)):
        world.add_violation(f"two operators got the same change number: {committed}")


@_fault
async def _drain_host(world: World) -> None:
    async with world.reserve_target(world.endpoints(*REPEATABLE_KINDS)) as name:
        host = world.pair(name).host
        for drained in (True, False):
            while not await _commit_anywhere(world, {f"drain.{host}": drained}):
                await asyncio.sleep(SHORT_S)
            await asyncio.sleep(SHORT_S)


async def _commit_anywhere(world: World, firm: dict[str, Any]) -> int:
    number = await world.balancer.pick(world.random)
    return await _commit(world, number, {"firm": firm})


async def _commit(world: World, entry: int, tree: dict[str, dict[str, Any]]) -> int:
    ops = [
        {"scope": scope, "key": key, "value": value}
        for scope, table in tree.items()
        for key, value in table.items()
    ]
    try:
        async with world.deployment.http.post(
            world.deployment.admin_url(entry) + "/admin/v1/changes",
            json={"who": f"operator-{entry}", "why": "randomised run", "ops": ops},
            headers={"Authorization": f"Bearer {ADMIN_KEY}"},
            timeout=aiohttp.ClientTimeout(total=10.0),
        ) as response:
            document = await response.json(content_type=None)
            return int(document["number"]) if response.status == 200 else 0
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return 0


# A killed stand-in loses its records. The checks need the records of plain services,
# which list every effect, so plain services are frozen, made to fail or made to hang,
# but never killed.


@_fault
async def _kill_endpoint(world: World) -> None:
    async with world.reserve_target(world.endpoints(*REPEATABLE_KINDS)) as name:
        pair = world.pair(name)
        port = pair.service.ports["port"]
        pool = next(p for p in world.deployment.plan.pools if p.name == pair.pool)
        pair.service.send(signal.SIGKILL)
        await pair.service.wait()
        await asyncio.sleep(SHORT_S)
        pair.service = await world.deployment.start_standin_at(
            pair.id, pool.kind, port, pool.knobs
        )
