"""Checks the responses of a randomised run against the records of the stand-ins."""

from collections import defaultdict

from amaranthtally.standins.chaos.callers import Callers
from amaranthtally.standins.chaos.chaos_run import ChaosRun

__all__ = ["EFFECT_POOL", "ENGINE_POOL", "check_records"]

EFFECT_POOL = "dispatch"
ENGINE_POOL = "assessment"


async def check_records(run: ChaosRun, callers: Callers) -> None:
    """Add a violation for each response that contradicts the records."""
    await _check_effects(run, callers)
    await _check_not_run(run, callers)


async def _check_effects(run: ChaosRun, callers: Callers) -> None:
    recorded_orders: dict[str, list[str]] = defaultdict(list)
    for pair in run.deployment.pool(EFFECT_POOL):
        for record in await run.deployment.records(pair.service):
            key = record["input"]["to"]
            recorded_orders[key].append(f"{pair.service.name}-{record['number']}")
    for outcomes in callers.key_outcomes:
        orders = recorded_orders[outcomes.key]
        confirmed = set(outcomes.orders)
        if len(orders) > 1:
            run.add_violation(f"{outcomes.key} has {len(orders)} effects: {orders}")
        if not confirmed <= set(orders):
            run.add_violation(
                f"{outcomes.key} got responses for {confirmed}, recorded {orders}"
            )
        if orders and not confirmed and not outcomes.unknown:
            run.add_violation(
                f"{outcomes.key} has an effect, but every response was not_run"
            )
    run.counts["effects recorded"] = sum(
        len(orders) for orders in recorded_orders.values()
    )


async def _check_not_run(run: ChaosRun, callers: Callers) -> None:
    run_ids = set()
    for pair in run.deployment.pool(ENGINE_POOL):
        run_ids |= {
            record.get("request_id")
            for record in await run.deployment.records(pair.service)
        }
    for request_id in callers.not_run_ids:
        if request_id in run_ids:
            run.add_violation(f"{request_id} got the outcome not_run, but was run")
