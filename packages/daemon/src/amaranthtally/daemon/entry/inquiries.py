"""Asks the bound incarnations what became of calls that may not be repeated."""

import asyncio
from collections.abc import Coroutine, Mapping
from dataclasses import replace
from typing import Any

from amaranthtally.daemon.entry.bound import BoundRequest
from amaranthtally.daemon.entry.peers import Peers
from amaranthtally.policy import Endpoint, LoadReport, RequestOutcome
from amaranthtally.policy.at_most_once import Binding
from amaranthtally.policy.handover import rank_successors
from amaranthtally.wire import Load, OutcomeQuery, PeerLostError, StageReply, Status

__all__ = ["Inquirer", "load_report"]

# A refusal is not held back for a sidecar that is silent, such as a paused one.
INQUIRY_TIMEOUT_S = 0.5
# Share of the entry's own time that is certain to have passed for a sidecar too.
CLOCK_RATE = 0.999
# Beyond a call's time, for what the entry does not know of the sidecar's clock.
LATE_MARGIN_S = 2.0
SUCCESSORS_ASKED = 4


class Inquirer:
    """What an entry knows of incarnations, and its questions to them."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._endpoints: Mapping[str, Endpoint] = {}
        self._loads: dict[str, LoadReport] = {}
        self._clocks: dict[str, tuple[float, float]] = {}
        self._loop = asyncio.get_running_loop()

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """Registered endpoints by id."""
        return self._endpoints

    @property
    def loads(self) -> dict[str, LoadReport]:
        """Loads last heard of, by endpoint."""
        return self._loads

    def settings_changed(self, endpoints: Mapping[str, Endpoint]) -> None:
        """Use newer registrations for what comes."""
        self._endpoints = endpoints

    def note_load(self, endpoint: str, load: Load) -> None:
        """Take a sidecar's load and clock."""
        self._loads[endpoint] = load_report(load)
        self._clocks[endpoint] = (load.clock_s, self._loop.time())

    async def bind(self, label: str, endpoint: Endpoint) -> Binding:
        """Bind a stage to an endpoint's incarnation; raises ``PeerLostError``."""
        await self._peers.client(endpoint)
        clock, heard = self._clocks[endpoint.id]
        passed = (self._loop.time() - heard) * CLOCK_RATE
        return Binding(
            label, endpoint.id, self._loads[endpoint.id].incarnation, clock + passed
        )

    def expiry(self, endpoint: str, remaining_s: float) -> float:
        """
        Return when a call sent now is too late to start, on the sidecar's clock.

        A link that stands still may deliver it long after its caller was told that
        the outcome is unknown, and has looked, and has ordered anew. Never too
        early: the sidecar's clock is taken to run as fast as it may.
        """
        clock, heard = self._clocks[endpoint]
        passed = (self._loop.time() - heard) / CLOCK_RATE
        return clock + passed + remaining_s + LATE_MARGIN_S

    async def inquire_all(
        self, bound: BoundRequest, inquiry: OutcomeQuery
    ) -> list[StageReply | None]:
        """Ask after every effect of a request; ``None`` where no answer came."""
        return await asyncio.gather(
            *(
                _bounded(self.inquire(bound, binding, inquiry))
                for binding in list(bound.bindings.values())
            )
        )

    async def inquire(
        self, bound: BoundRequest, binding: Binding, inquiry: OutcomeQuery
    ) -> StageReply | None:
        """
        Ask after one effect; ``None`` where the sidecar can't be reached.

        Where the bound incarnation is gone, the peers are asked that would have
        its records if it was stopped and not killed.
        """
        reply = await self._ask(bound, binding, inquiry, binding.endpoint)
        if reply is None or _is_stranger(reply, binding):
            reply = await self._ask_successors(bound, binding, inquiry) or reply
        if reply is not None and reply.status is Status.NOT_RUN:
            bound.permits[binding.stage] = reply.permit
        return reply

    async def _ask_successors(
        self, bound: BoundRequest, binding: Binding, inquiry: OutcomeQuery
    ) -> StageReply | None:
        ranked = rank_successors(
            binding.incarnation, binding.endpoint, self._endpoints.values()
        )
        names = [endpoint.id for endpoint in ranked[:SUCCESSORS_ASKED]]
        replies = await asyncio.gather(
            *(_bounded(self._ask(bound, binding, inquiry, name)) for name in names)
        )
        for name, reply in zip(names, replies, strict=True):
            if reply is not None and reply.status is not Status.UNKNOWN:
                bound.bindings[binding.stage] = replace(binding, endpoint=name)
                return reply
        return None

    async def _ask(
        self, bound: BoundRequest, binding: Binding, inquiry: OutcomeQuery, name: str
    ) -> StageReply | None:
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return None
        try:
            client = await self._peers.client(endpoint)
            reply = await client.query_outcome(
                bound.call_key(binding), bound.terms(binding), inquiry
            )
        except PeerLostError:
            return None
        self._peers.note_load(endpoint.id, reply.load)
        return reply

    async def give_up(self, bound: BoundRequest) -> RequestOutcome | None:
        """
        Withdraw a request's effects, and say what is proved of them.

        ``None`` where the key stands for another input.
        """
        replies = await self.inquire_all(bound, OutcomeQuery.WITHDRAW)
        statuses = [reply.status if reply else Status.UNKNOWN for reply in replies]
        if Status.CONFLICT in statuses:
            return None
        proved = all(status is Status.NOT_RUN for status in statuses)
        return RequestOutcome.NOT_RUN if proved else RequestOutcome.UNKNOWN


async def _bounded(asking: Coroutine[Any, Any, StageReply | None]) -> StageReply | None:
    try:
        async with asyncio.timeout(INQUIRY_TIMEOUT_S):
            return await asking
    except TimeoutError:
        return None


def _is_stranger(reply: StageReply, binding: Binding) -> bool:
    """Tell whether a reply is another incarnation's, and says nothing."""
    other = reply.load.incarnation != binding.incarnation
    return other and reply.status is Status.UNKNOWN


def load_report(load: Load) -> LoadReport:
    """Return a sidecar's load as the policy takes it."""
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
