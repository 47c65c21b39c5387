"""Binds at-most-once requests to sidecar incarnations before sending any call."""

import asyncio
import itertools
from dataclasses import dataclass

from result import Err

from amaranthtally.daemon.entry.bound import (
    BoundRequest,
    effect_stages,
    fingerprint_of,
)
from amaranthtally.daemon.entry.claims import ClaimStore, claim_path
from amaranthtally.daemon.entry.outage import LONG_OUTAGE_S
from amaranthtally.daemon.entry.outcome_queries import OutcomeQuerier
from amaranthtally.daemon.entry.problems import Problem
from amaranthtally.daemon.entry.tokens import TokenSigner, is_token, new_token
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import Pipeline, RequestOutcome, Stage
from amaranthtally.policy.at_most_once import Binding, rank_binding_candidates
from amaranthtally.wire import OutcomeQuery, PeerLostError, StageReply, Status

__all__ = ["Binder", "EffectRequest"]

MAX_BIND_ATTEMPTS = 3
RETRY_AFTER_S = 1
CLAIM_WAIT_SHARE = 0.5

log = get_logger()


@dataclass(frozen=True, slots=True)
class EffectRequest:
    """
    A request to a pipeline with at-most-once stages.

    ``key`` is a token, or a key of the caller's choice. ``deadline_s`` is the time
    limit for the complete response, in seconds.
    """

    account: str
    pipeline: Pipeline
    key: str
    input: bytes
    deadline_s: float


class Binder:
    """Reads or creates the bindings of a request."""

    def __init__(
        self,
        region: str,
        claims: ClaimStore,
        signer: TokenSigner,
        outcome_querier: OutcomeQuerier,
    ) -> None:
        self._region = region
        self._claims = claims
        self._signer = signer
        self._outcome_querier = outcome_querier
        self._binding_numbers = itertools.count()

    async def issue(self, account: str, pipeline: Pipeline) -> str | Problem:
        """Return a signed token that permits one run of a pipeline."""
        bindings = await self._new_bindings(pipeline)
        if isinstance(bindings, Problem):
            return bindings
        return self._signer.sign(new_token(account, pipeline.name, bindings))

    async def bind(self, request: EffectRequest) -> BoundRequest | Problem:
        """Return the bindings of a request's key, or the reason for its refusal."""
        bound = await self._bind(request)
        if isinstance(bound, Problem):
            log.info(
                "bind_refused",
                pipeline=request.pipeline.name,
                status=bound.status,
                cause=bound.title,
            )
        return bound

    async def _bind(self, request: EffectRequest) -> BoundRequest | Problem:
        if is_token(request.key):
            bound: BoundRequest | Problem = self._read_token(request)
            is_new = False
        else:
            bound, is_new = await self._claim(request)
        if isinstance(bound, Problem):
            return bound
        stages = effect_stages(request.pipeline)
        if stages.keys() != bound.bindings.keys():
            return _PIPELINE_CHANGED
        return bound if is_new else await self._check_outcomes(bound)

    # Sources of bindings

    def _read_token(self, request: EffectRequest) -> BoundRequest | Problem:
        verified = self._signer.verify(request.key)
        if isinstance(verified, Err):
            return _BAD_TOKEN
        token = verified.ok_value
        # Respond as to a forged token, to reveal nothing about other accounts.
        if (token.account, token.pipeline) != (request.account, request.pipeline.name):
            return _BAD_TOKEN
        return BoundRequest(
            f"{token.account}/{token.pipeline}/token/{token.serial}",
            fingerprint_of(request.input),
            {binding.stage: binding for binding in token.bindings},
        )

    async def _claim(
        self, request: EffectRequest
    ) -> tuple[BoundRequest | Problem, bool]:
        bindings = await self._new_bindings(request.pipeline)
        if isinstance(bindings, Problem):
            return bindings, False
        name = request.pipeline.name
        fingerprint = fingerprint_of(request.input)
        path = claim_path(request.account, name, request.key)
        # A request that is refused at once has the outcome ``unknown``, as an earlier
        # attempt may have run. Waiting for part of its deadline bridges most outages.
        max_wait_s = min(LONG_OUTAGE_S, request.deadline_s * CLAIM_WAIT_SHARE)
        claimed = await self._claims.claim(path, fingerprint, bindings, max_wait_s)
        if isinstance(claimed, Err):
            log.warning("claim_failed", cause=str(claimed.err_value))
            return _PLATFORM_UNREACHABLE, False
        claim = claimed.ok_value.claim
        if claim.fingerprint != fingerprint:
            return KEY_CONFLICT, False
        bound = BoundRequest(
            f"{request.account}/{name}/key/{request.key}",
            fingerprint,
            {binding.stage: binding for binding in claim.bindings},
        )
        return bound, claimed.ok_value.is_new

    async def _new_bindings(self, pipeline: Pipeline) -> list[Binding] | Problem:
        stages = effect_stages(pipeline)
        results = await asyncio.gather(
            *(self._new_binding(label, stage) for label, stage in stages.items())
        )
        bindings = [binding for binding in results if binding is not None]
        return bindings if len(bindings) == len(stages) else _NO_ENDPOINT

    async def _new_binding(self, label: str, stage: Stage) -> Binding | None:
        ranked = rank_binding_candidates(
            stage.pool,
            self._region,
            self._outcome_querier.endpoints.values(),
            self._outcome_querier.loads,
            next(self._binding_numbers),
        )
        # Bind only to a sidecar that responds now. A call bound to a sidecar that has
        # ended could not run, and nothing could confirm that it has not run.
        for endpoint in ranked[:MAX_BIND_ATTEMPTS]:
            try:
                binding = await self._outcome_querier.bind(label, endpoint)
            except PeerLostError as error:
                log.info("bind_failed", endpoint=endpoint.id, cause=str(error))
                continue
            if not self._outcome_querier.loads[endpoint.id].leaving:
                return binding
        loads = self._outcome_querier.loads
        log.warning(
            "bind_impossible",
            pool=stage.pool,
            candidates=len(ranked),
            leaving=",".join(sorted(name for name in loads if loads[name].leaving)),
        )
        return None

    # Repeated requests

    async def _check_outcomes(self, bound: BoundRequest) -> BoundRequest | Problem:
        """Query the outcomes and permits of a request that may be a repeat."""
        replies = await self._outcome_querier.query_all(bound, OutcomeQuery.POLL)
        statuses = {_status(reply) for reply in replies}
        if Status.CONFLICT in statuses:
            return KEY_CONFLICT
        if None in statuses:
            return _BINDING_UNREACHABLE
        bindings = bound.bindings.values()
        if any(map(_has_ended, replies, bindings)):
            return _BINDING_ENDED
        return bound


def _status(reply: StageReply | None) -> Status | None:
    return None if reply is None else reply.status


def _has_ended(reply: StageReply | None, binding: Binding) -> bool:
    """Whether the bound incarnation has stopped and its records have no such call."""
    if reply is None or reply.status is not Status.NOT_RUN:
        return False
    return reply.load.incarnation != binding.incarnation


# Refusals before any call is sent

KEY_CONFLICT = Problem(
    422,
    "Key conflict",
    "The key was used with another input; this input was not run. Take a new key.",
)
_BAD_TOKEN = Problem(
    403, "Bad token", "The token is not valid here; ask for a new one and send it."
)
_PLATFORM_UNREACHABLE = Problem(
    503,
    "Platform unreachable",
    "Nothing was sent now; an earlier try under the same key may have run. "
    "Repeat it with the same key, or take a token for the next: it needs no platform.",
    retry_after=RETRY_AFTER_S,
)
_NO_ENDPOINT = Problem(
    503,
    "No endpoint",
    "Nothing was sent now; an earlier try under the same key may have run. "
    "Repeat it with the same key.",
    retry_after=RETRY_AFTER_S,
)
_BINDING_UNREACHABLE = Problem(
    503,
    "Binding unreachable",
    "The endpoint that alone may run this key does not answer; "
    "repeat with the same key.",
    outcome=RequestOutcome.UNKNOWN,
    retry_after=RETRY_AFTER_S,
)
_BINDING_ENDED = Problem(
    410,
    "Binding ended",
    "The endpoint that alone could run this key has left, and nothing ran "
    "under it: take a new key.",
)
_PIPELINE_CHANGED = Problem(
    409,
    "Pipeline changed",
    "The pipeline's stages changed since the key was bound; look at the "
    "service's own list before you take a new key.",
    outcome=RequestOutcome.UNKNOWN,
)
