"""Queries bound sidecar incarnations for the outcomes of at-most-once calls."""

import asyncio
from collections.abc import Coroutine, Mapping
from dataclasses import replace
from typing import Any

from amaranthtally.daemon.entry.bound import BoundRequest
from amaranthtally.daemon.entry.sidecar_connections import SidecarConnections
from amaranthtally.policy import (
    CallEnd,
    Endpoint,
    LoadReport,
    RequestOutcome,
    proof_of_not_run,
)
from amaranthtally.policy.at_most_once import Binding
from amaranthtally.policy.handover import rank_successors
from amaranthtally.wire import Load, OutcomeQuery, PeerLostError, StageReply, Status

__all__ = ["OutcomeQuerier", "load_report"]

# Bounds how long a sidecar that does not answer, such as a paused one, can delay the
# refusal of a request.
QUERY_TIMEOUT_S = 0.5
# Lowest rate at which a sidecar's clock is assumed to run relative to the entry's; the
# highest is the reciprocal.
MIN_CLOCK_RATE = 0.999
# Added to a call's expiry time because the entry knows the sidecar's clock only
# approximately.
EXPIRY_MARGIN_S = 2.0
MAX_SUCCESSORS = 4


class OutcomeQuerier:
    """Keeps the loads and clocks of sidecars and queries the outcomes of calls."""

    def __init__(self, connections: SidecarConnections) -> None:
        self._connections = connections
        self._endpoints: Mapping[str, Endpoint] = {}
        self._loads: dict[str, LoadReport] = {}
        self._clock_readings: dict[str, tuple[float, float]] = {}
        self._loop = asyncio.get_running_loop()

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """Registered endpoints by id."""
        return self._endpoints

    @property
    def loads(self) -> dict[str, LoadReport]:
        """The last reported load of each endpoint."""
        return self._loads

    def settings_changed(self, endpoints: Mapping[str, Endpoint]) -> None:
        """Replace the registered endpoints."""
        self._endpoints = endpoints

    def note_load(self, endpoint: str, load: Load) -> None:
        """Store the load and the clock that a sidecar reported."""
        self._loads[endpoint] = load_report(load)
        self._clock_readings[endpoint] = (load.clock_s, self._loop.time())

    async def bind(self, label: str, endpoint: Endpoint) -> Binding:
        """Bind a stage to an endpoint's incarnation; raises ``PeerLostError``."""
        await self._connections.client(endpoint)
        clock_s, read_at = self._clock_readings[endpoint.id]
        elapsed_s = (self._loop.time() - read_at) * MIN_CLOCK_RATE
        return Binding(
            label,
            endpoint.id,
            self._loads[endpoint.id].incarnation,
            clock_s + elapsed_s,
        )

    def expiry(self, endpoint: str, remaining_s: float) -> float:
        """
        Return when a call sent now expires, in seconds on the sidecar's clock.

        A stalled link may deliver a call long after its caller received the outcome
        ``unknown``, checked the service and sent a new order. The sidecar does not
        start a call after this time. The time is never too early: the sidecar's clock
        is assumed to run at its highest rate.
        """
        clock_s, read_at = self._clock_readings[endpoint]
        elapsed_s = (self._loop.time() - read_at) / MIN_CLOCK_RATE
        return clock_s + elapsed_s + remaining_s + EXPIRY_MARGIN_S

    async def query_all(
        self, bound: BoundRequest, mode: OutcomeQuery
    ) -> list[StageReply | None]:
        """Query the outcome of each at-most-once call; ``None`` without an answer."""
        return await asyncio.gather(
            *(
                _bounded(self.query(bound, binding, mode))
                for binding in list(bound.bindings.values())
            )
        )

    async def query(
        self, bound: BoundRequest, binding: Binding, mode: OutcomeQuery
    ) -> StageReply | None:
        """
        Query the outcome of one call; ``None`` if no sidecar can be reached.

        If the bound incarnation has ended, the query goes to its successors: a sidecar
        that is stopped and not killed hands its records over to one of them.
        """
        reply = await self._query_endpoint(bound, binding, mode, binding.endpoint)
        if reply is None or _is_unrelated(reply, binding):
            reply = await self._query_successors(bound, binding, mode) or reply
        if reply is not None and reply.status is Status.NOT_RUN:
            bound.permits[binding.stage] = reply.permit
        return reply

    async def _query_successors(
        self, bound: BoundRequest, binding: Binding, mode: OutcomeQuery
    ) -> StageReply | None:
        ranked = rank_successors(
            binding.incarnation, binding.endpoint, self._endpoints.values()
        )
        endpoint_ids = [endpoint.id for endpoint in ranked[:MAX_SUCCESSORS]]
        replies = await asyncio.gather(
            *(
                _bounded(self._query_endpoint(bound, binding, mode, endpoint_id))
                for endpoint_id in endpoint_ids
            )
        )
        for endpoint_id, reply in zip(endpoint_ids, replies, strict=True):
            if reply is not None and reply.status is not Status.UNKNOWN:
                bound.bindings[binding.stage] = replace(binding, endpoint=endpoint_id)
                return reply
        return None

    async def _query_endpoint(
        self,
        bound: BoundRequest,
        binding: Binding,
        mode: OutcomeQuery,
        endpoint_id: str,
    ) -> StageReply | None:
        endpoint = self._endpoints.get(endpoint_id)
        if endpoint is None:
            return None
        try:
            client = await self._connections.client(endpoint)
            reply = await client.query_outcome(
                bound.call_key(binding), bound.terms(binding), mode
            )
        except PeerLostError:
            return None
        self._connections.note_load(endpoint.id, reply.load)
        return reply

    async def withdraw(self, bound: BoundRequest) -> RequestOutcome | None:
        """
        Withdraw a request's at-most-once calls and return their joint outcome.

        The outcome is ``NOT_RUN`` only if every sidecar confirmed that; otherwise it is
        ``UNKNOWN``. Returns ``None`` if the key was used with another input.
        """
        replies = await self.query_all(bound, OutcomeQuery.WITHDRAW)
        if any(reply and reply.status is Status.CONFLICT for reply in replies):
            return None
        proofs = [proof_of_not_run(_end_of(reply)) for reply in replies]
        is_proved = all(proof is not None for proof in proofs)
        return RequestOutcome.NOT_RUN if is_proved else RequestOutcome.UNKNOWN


async def _bounded(query: Coroutine[Any, Any, StageReply | None]) -> StageReply | None:
    try:
        async with asyncio.timeout(QUERY_TIMEOUT_S):
            return await query
    except TimeoutError:
        return None


def _end_of(reply: StageReply | None) -> CallEnd:
    """Return what a sidecar's reply to a query says of a call."""
    states_not_run = reply is not None and reply.status is Status.NOT_RUN
    return CallEnd(is_own=reply is not None, states_not_run=states_not_run)


def _is_unrelated(reply: StageReply, binding: Binding) -> bool:
    """Whether a reply is from another incarnation that has no record of the call."""
    is_other_incarnation = reply.load.incarnation != binding.incarnation
    return is_other_incarnation and reply.status is Status.UNKNOWN


def load_report(load: Load) -> LoadReport:
    """Convert a sidecar's load to the policy's report."""
    return LoadReport(
        incarnation=load.incarnation,
        running=load.running,
        queued=load.queued,
        limit=load.limit,
        service_s=load.service_s,
        backlog_s=load.backlog_s,
        leaving=load.leaving,
        models=None if load.models is None else load.models.served,
        ended=load.ended_calls,
    )
