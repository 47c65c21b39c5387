"""Checks the answers of a randomised run against the records of the stand-ins."""

from collections import defaultdict

from amaranthtally.standins.chaos.callers import Callers
from amaranthtally.standins.chaos.chaos_run import ChaosRun

__all__ = ["EFFECT_POOL", "ENGINE_POOL", "check_records"]

EFFECT_POOL = "dispatch"
ENGINE_POOL = "assessment"


async def check_records(run: ChaosRun, callers: Callers) -> None:
    """Add a violation for each answer that contradicts the records."""
    await _check_effects(run, callers)
    await _check_not_run(run, callers)


async def _check_effects(run: ChaosRun, callers: Callers) -> None:
    recorded_orders: dict[str, list[str]] = defaultdict(list)
    for pair in run.deployment.pool(EFFECT_POOL):
        for record in await run.deployment.records(pair.service):
            key = record["input"]["to"]
            recorded_orders[key].append(f"{pair.service.name}-{record['number']}")
    for effect in callers.effects:
        orders = recorded_orders[effect.key]
        answered = set(effect.orders)
        if len(orders) > 1:
            run.add_violation(f"{effect.key} has {len(orders)} effects: {orders}")
        if not answered <= set(orders):
            run.add_violation(
                f"{effect.key} was answered {answered}, recorded {orders}"
            )
        if orders and not answered and not effect.unknown:
            run.add_violation(
                f"{effect.key} has an effect, but every answer was not_run"
            )
    run.counts["effects recorded"] = sum(
        len(orders) for orders in recorded_orders.values()
    )


async def _check_not_run(run: ChaosRun, callers: Callers) -> None:
    run_ids = set()
    for pair in run.deployment.pool(ENGINE_POOL):
        run_ids |= {
            r.get("request_id") for r in await run.deployment.records(pair.service)
        }
    for request_id in callers.not_run_ids:
        if request_id in run_ids:
            run.add_violation(f"{request_id} was answered not_run but has run")
