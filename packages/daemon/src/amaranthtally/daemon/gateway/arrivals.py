"""Converts callers' requests into the policy's ``Arrival`` events."""

from random import Random

from amaranthtally.adapter.messages import CallerRequest
from amaranthtally.daemon.gateway.held_body import HeldBody
from amaranthtally.policy import (
    RESPONSE_MARGIN_S,
    Account,
    Arrival,
    PieceWork,
    Route,
    StreamOrigin,
    request_key,
    request_rank,
    route_arrival,
    route_pipeline,
)

__all__ = ["ArrivalBuilder"]


class ArrivalBuilder:
    """Builds arrivals; ``random`` splits a route's requests among its pools."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def build(
        self,
        now: float,
        caller: CallerRequest,
        route: Route,
        account: Account | None,
        method: str,
        target: str,
        body: HeldBody,
        origin: StreamOrigin | None,
    ) -> Arrival:
        """
        Return the arrival of a request that was received at ``now``.

        ``target`` is the request target as it was sent. ``origin`` is that of the
        stream which the request takes up, ``None`` for a new one.
        """
        requested_s = caller.deadline_s or route.timeout_s
        deadline = now + max(0.0, min(requested_s, route.timeout_s) - RESPONSE_MARGIN_S)
        parts = tuple(part.id for part in caller.prompt)
        return route_arrival(
            now,
            deadline,
            route,
            route_pipeline(route, origin.pool if origin else self._choose_pool(route)),
            request_id=caller.id,
            account=account.name if account else "",
            rank=request_rank(route, account, is_resumed=origin is not None),
            size_bytes=body.size,
            prefix=parts,
            prefix_sizes=tuple(part.tokens for part in caller.prompt),
            piece_work=_piece_work(caller, route),
            key=request_key(method, caller.host, target, parts, *body.parts()),
            origin=origin,
        )

    def _choose_pool(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].pool
        pools = [target.pool for target in route.targets]
        weights = [target.weight for target in route.targets]
        return self._random.choices(pools, weights)[0]


def _piece_work(caller: CallerRequest, route: Route) -> PieceWork | None:
    if not route.stages:
        return None
    return PieceWork(route.stages, caller.piece_counts, caller.piece_key)
