"""Faults of a randomised run, registered by the ``_fault`` decorator."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from amaranthtally.standins.chaos.chaos_run import ChaosRun, EntryDisruption
from amaranthtally.standins.deployment import ADMIN_KEY
from amaranthtally.standins.process import Process
from amaranthtally.standins.relay import LinkFault

__all__ = ["Fault", "fault_names", "inject"]

Fault = Callable[[ChaosRun], Awaitable[None]]
_FAULTS: dict[str, Fault] = {}
# Shortest and longest duration of a fault, in seconds.
MIN_FAULT_S = 0.3
MAX_FAULT_S = 2.5
# Kinds of endpoints whose calls have no recorded effect and may be repeated.
REPEATABLE_KINDS = ("encoder", "retriever", "reranker", "engine")
ALL_KINDS = (*REPEATABLE_KINDS, "plain")


def fault_names() -> list[str]:
    """Return the names of the registered faults, sorted."""
    return sorted(_FAULTS)


async def inject(run: ChaosRun, name: str) -> None:
    """Inject a fault, undo it, and return once it is undone."""
    run.counts[f"fault {name}"] += 1
    await _FAULTS[name](run)


def _fault(function: Fault) -> Fault:
    _FAULTS[function.__name__.lstrip("_")] = function
    return function


def _random_duration_s(run: ChaosRun) -> float:
    return run.random.uniform(MIN_FAULT_S, MAX_FAULT_S)


async def _with_knobs(
    run: ChaosRun, process: Process, knobs: dict[str, Any], normal_knobs: dict[str, Any]
) -> None:
    await run.deployment.set_knobs(process, **knobs)
    await asyncio.sleep(_random_duration_s(run))
    await run.deployment.set_knobs(process, **normal_knobs)


# Sidecars


@_fault
async def _kill_sidecar(run: ChaosRun) -> None:
    async with run.reserve_target(run.random_pool_endpoints(*ALL_KINDS)) as name:
        pair = run.pair(name)
        await pair.sidecar.kill()
        await asyncio.sleep(MIN_FAULT_S)
        await run.start_sidecar(pair)


@_fault
async def _freeze_sidecar(run: ChaosRun) -> None:
    async with run.reserve_target(run.random_pool_endpoints(*ALL_KINDS)) as name:
        await run.freeze(run.pair(name).sidecar, _random_duration_s(run))


@_fault
async def _stop_sidecar(run: ChaosRun) -> None:
    async with run.reserve_target(run.random_pool_endpoints(*ALL_KINDS)) as name:
        await run.restart_sidecar(run.pair(name))


# Links between entries and sidecars


async def _fail_link(run: ChaosRun, fault: LinkFault) -> None:
    async with run.reserve_target(run.random_relayed_endpoints()) as name:
        relay = run.relays[name]
        relay.fail(fault)
        await asyncio.sleep(_random_duration_s(run))
        relay.clear_fault()


@_fault
async def _link_resets(run: ChaosRun) -> None:
    await _fail_link(run, LinkFault.RESET)


@_fault
async def _link_holds(run: ChaosRun) -> None:
    await _fail_link(run, LinkFault.HELD)


@_fault
async def _link_half_open(run: ChaosRun) -> None:
    await _fail_link(run, LinkFault.HALF_OPEN)


@_fault
async def _link_loses_answers(run: ChaosRun) -> None:
    await _fail_link(run, LinkFault.REPLIES_LOST)


# Endpoints


@_fault
async def _freeze_endpoint(run: ChaosRun) -> None:
    async with run.reserve_target(run.random_pool_endpoints(*ALL_KINDS)) as name:
        await run.freeze(run.pair(name).service, _random_duration_s(run))


@_fault
async def _cut_streams(run: ChaosRun) -> None:
    async with run.reserve_target(run.random_pool_endpoints("engine")) as name:
        cut = {"cut_after_tokens": run.random.randint(1, 4)}
        normal_knobs = {"cut_after_tokens": 0}
        await _with_knobs(run, run.pair(name).service, cut, normal_knobs)


@_fault
async def _fail_calls(run: ChaosRun) -> None:
    async with run.reserve_target(run.random_pool_endpoints(*ALL_KINDS)) as name:
        service = run.pair(name).service
        await _with_knobs(run, service, {"fail_rate": 0.5}, {"fail_rate": 0.0})


@_fault
async def _slow_endpoint(run: ChaosRun) -> None:
    async with run.reserve_target(run.random_pool_endpoints(*ALL_KINDS)) as name:
        service = run.pair(name).service
        await _with_knobs(run, service, {"slow": 0.5}, {"slow": 0.0})


@_fault
async def _stuck_after_effect(run: ChaosRun) -> None:
    async with run.reserve_target(run.random_pool_endpoints("plain")) as name:
        service = run.pair(name).service
        await _with_knobs(run, service, {"stuck_after": True}, {"stuck_after": False})


# Platform


@_fault
async def _platform_outage(run: ChaosRun) -> None:
    async with run.reserve_target(["platform"]):
        platform = run.deployment.platform
        await _with_knobs(run, platform, {"outage": True}, {"outage": False})


@_fault
async def _platform_slow(run: ChaosRun) -> None:
    async with run.reserve_target(["platform"]):
        await _with_knobs(run, run.deployment.platform, {"slow": 0.7}, {"slow": 0.0})


@_fault
async def _platform_loses_answers(run: ChaosRun) -> None:
    async with run.reserve_target(["platform"]):
        lost = {"lose_answers": run.random.randint(1, 5)}
        platform = run.deployment.platform
        await _with_knobs(run, platform, lost, {"lose_answers": 0})


# Entries


@_fault
async def _kill_entry(run: ChaosRun) -> None:
    async with run.reserve_target(run.entry_names()) as name:
        number = run.entry_names().index(name)
        disruption = _start_disruption(run, number)
        await run.deployment.entries[number].kill()
        await run.start_entry(number)
        await run.balancer.wait_ready(number)
        disruption.end = asyncio.get_running_loop().time()


@_fault
async def _freeze_entry(run: ChaosRun) -> None:
    async with run.reserve_target(run.entry_names()) as name:
        number = run.entry_names().index(name)
        disruption = _start_disruption(run, number)
        await run.freeze(run.deployment.entries[number], _random_duration_s(run))
        disruption.end = asyncio.get_running_loop().time()


@_fault
async def _stop_entry(run: ChaosRun) -> None:
    async with run.reserve_target(run.entry_names()) as name:
        number = run.entry_names().index(name)
        await run.restart_entry(number)
        await run.balancer.wait_ready(number)


def _start_disruption(run: ChaosRun, number: int) -> EntryDisruption:
    disruption = EntryDisruption(number, asyncio.get_running_loop().time())
    run.disruptions.append(disruption)
    return disruption


# Operators


@_fault
async def _race_operators(run: ChaosRun) -> None:
    numbers = sorted(run.balancer.ready)
    changes = [
        _commit(run, number, {"pipeline:race": {"deadline_ms": 1000 + number}})
        for number in numbers
    ]
    committed = [number for number in await asyncio.gather(*changes) if number]
    if len(committed) != len(set(committed)):
        run.add_violation(f"two operators got the same change number: {committed}")


@_fault
async def _drain_host(run: ChaosRun) -> None:
    async with run.reserve_target(run.random_pool_endpoints(*REPEATABLE_KINDS)) as name:
        host = run.pair(name).host
        for drained in (True, False):
            while not await _commit_at_random_entry(run, {f"drain.{host}": drained}):
                await asyncio.sleep(MIN_FAULT_S)
            await asyncio.sleep(MIN_FAULT_S)


async def _commit_at_random_entry(run: ChaosRun, firm_settings: dict[str, Any]) -> int:
    number = await run.balancer.pick(run.random)
    return await _commit(run, number, {"firm": firm_settings})


async def _commit(run: ChaosRun, entry: int, tree: dict[str, dict[str, Any]]) -> int:
    """Return the number of the committed change, or 0 if the commit failed."""
    ops = [
        {"scope": scope, "key": key, "value": value}
        for scope, table in tree.items()
        for key, value in table.items()
    ]
    try:
        async with run.deployment.http.post(
            run.deployment.admin_url(entry) + "/admin/v1/changes",
            json={"who": f"operator-{entry}", "why": "randomised run", "ops": ops},
            headers={"Authorization": f"Bearer {ADMIN_KEY}"},
            timeout=aiohttp.ClientTimeout(total=10.0),
        ) as response:
            document = await response.json(content_type=None)
            return int(document["number"]) if response.status == 200 else 0
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return 0


# A killed stand-in loses its records. The checks need the records of plain services,
# which list every effect, so this fault never kills plain services. Other faults freeze
# them or make their calls fail or hang.


@_fault
async def _kill_endpoint(run: ChaosRun) -> None:
    async with run.reserve_target(run.random_pool_endpoints(*REPEATABLE_KINDS)) as name:
        pair = run.pair(name)
        port = pair.service.ports["port"]
        pool = next(p for p in run.deployment.plan.pools if p.name == pair.pool)
        pair.service.send(signal.SIGKILL)
        await pair.service.wait()
        await asyncio.sleep(MIN_FAULT_S)
        pair.service = await run.deployment.start_standin_at(
            pair.id, pool.kind, port, pool.knobs
        )
