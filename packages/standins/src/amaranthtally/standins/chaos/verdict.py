"""Checks a randomised run against what the stand-ins recorded."""

from collections import defaultdict

from amaranthtally.standins.chaos.callers import Callers
from amaranthtally.standins.chaos.world import World

__all__ = ["EFFECT_POOL", "ENGINE_POOL", "check_records"]

EFFECT_POOL = "dispatch"
ENGINE_POOL = "assessment"


async def check_records(world: World, callers: Callers) -> None:
    """Note each promise that the records show to be broken."""
    await _check_effects(world, callers)
    await _check_not_run(world, callers)


async def _check_effects(world: World, callers: Callers) -> None:
    found: dict[str, list[str]] = defaultdict(list)
    for pair in world.deployment.pool(EFFECT_POOL):
        for record in await world.deployment.records(pair.service):
            key = record["input"]["to"]
            found[key].append(f"{pair.service.name}-{record['number']}")
    for effect in callers.effects:
        orders = found[effect.key]
        told = set(effect.orders)
        if len(orders) > 1:
            world.violated(f"{effect.key} has {len(orders)} effects: {orders}")
        if not told <= set(orders):
            world.violated(f"{effect.key} was told {told}, recorded {orders}")
        if orders and not told and not effect.unknown:
            world.violated(f"{effect.key} has an effect, all were told not_run")
    world.counts["effects recorded"] = sum(len(orders) for orders in found.values())


async def _check_not_run(world: World, callers: Callers) -> None:
    ran = set()
    for pair in world.deployment.pool(ENGINE_POOL):
        ran |= {
            r.get("request_id") for r in await world.deployment.records(pair.service)
        }
    for request_id in callers.not_run_ids:
        if request_id in ran:
            world.violated(f"{request_id} was told not_run and has run")
