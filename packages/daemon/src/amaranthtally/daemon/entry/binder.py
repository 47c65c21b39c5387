"""Binds requests with effects to incarnations before anything is sent."""

import asyncio
import itertools
from dataclasses import dataclass

from result import Err

from amaranthtally.daemon.entry.bound import (
    BoundRequest,
    effect_stages,
    fingerprint_of,
)
from amaranthtally.daemon.entry.claims import Claims, claim_path
from amaranthtally.daemon.entry.inquiries import Inquirer
from amaranthtally.daemon.entry.outage import LONG_OUTAGE_S
from amaranthtally.daemon.entry.problems import Problem
from amaranthtally.daemon.entry.tokens import TokenSigner, is_token, new_token
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import Pipeline, RequestOutcome, Stage
from amaranthtally.policy.at_most_once import Binding, rank_binding_candidates
from amaranthtally.wire import OutcomeQuery, PeerLostError, StageReply, Status

__all__ = ["Binder", "EffectRequest"]

BIND_TRIES = 3
RETRY_AFTER_S = 1
PATIENCE_SHARE = 0.5

log = get_logger()


@dataclass(frozen=True, slots=True)
class EffectRequest:
    """
    A request to a pipeline with effects; ``key`` is a token or the caller's own.

    ``deadline_s`` is the time for its whole answer, in seconds.
    """

    account: str
    pipeline: Pipeline
    key: str
    input: bytes
    deadline_s: float


class Binder:
    """Finds or makes the bindings of a request."""

    def __init__(
        self, region: str, claims: Claims, signer: TokenSigner, inquirer: Inquirer
    ) -> None:
        self._region = region
        self._claims = claims
        self._signer = signer
        self._inquirer = inquirer
        self._turns = itertools.count()

    async def issue(self, account: str, pipeline: Pipeline) -> str | Problem:
        """Return a signed token for one run of a pipeline."""
        bindings = await self._new_bindings(pipeline)
        if isinstance(bindings, Problem):
            return bindings
        return self._signer.sign(new_token(account, pipeline.name, bindings))

    async def bind(self, request: EffectRequest) -> BoundRequest | Problem:
        """Return the one binding of a request's key, or why it is refused."""
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
            fresh = False
        else:
            bound, fresh = await self._claim(request)
        if isinstance(bound, Problem):
            return bound
        labels = effect_stages(request.pipeline)
        if labels.keys() != bound.bindings.keys():
            return _PIPELINE_CHANGED
        return bound if fresh else await self._look(bound)

    # Ways to a binding

    def _read_token(self, request: EffectRequest) -> BoundRequest | Problem:
        verified = self._signer.verify(request.key)
        if isinstance(verified, Err):
            return _BAD_TOKEN
        token = verified.ok_value
        # The same answer as to a forged one: it must not tell of other accounts.
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
        # Refused at once, a caller would hear unknown, as an earlier try may have
        # run; a part of its own deadline bridges most outages.
        patience_s = min(LONG_OUTAGE_S, request.deadline_s * PATIENCE_SHARE)
        claimed = await self._claims.claim(path, fingerprint, bindings, patience_s)
        if isinstance(claimed, Err):
            log.warning("claim_failed", cause=str(claimed.err_value))
            return _NO_CLAIM, False
        claim = claimed.ok_value.claim
        if claim.fingerprint != fingerprint:
            return KEY_CONFLICT, False
        bound = BoundRequest(
            f"{request.account}/{name}/key/{request.key}",
            fingerprint,
            {binding.stage: binding for binding in claim.bindings},
        )
        return bound, claimed.ok_value.fresh

    async def _new_bindings(self, pipeline: Pipeline) -> list[Binding] | Problem:
        stages = effect_stages(pipeline)
        found = await asyncio.gather(
            *(self._new_binding(label, stage) for label, stage in stages.items())
        )
        bindings = [binding for binding in found if binding is not None]
        return bindings if len(bindings) == len(stages) else _NO_ENDPOINT

    async def _new_binding(self, label: str, stage: Stage) -> Binding | None:
        ranked = rank_binding_candidates(
            stage.pool,
            self._region,
            self._inquirer.endpoints.values(),
            self._inquirer.loads,
            next(self._turns),
        )
        # Only a sidecar that is heard of now: a binding to one that is gone could
        # never be run and never be proved not to have been.
        for endpoint in ranked[:BIND_TRIES]:
            try:
                return await self._inquirer.bind(label, endpoint)
            except PeerLostError as error:
                log.info("bind_failed", endpoint=endpoint.id, cause=str(error))
        return None

    # Repeats

    async def _look(self, bound: BoundRequest) -> BoundRequest | Problem:
        """Learn the permits of a request that may be a repeat."""
        replies = await self._inquirer.inquire_all(bound, OutcomeQuery.POLL)
        statuses = {_status(reply) for reply in replies}
        if Status.CONFLICT in statuses:
            return KEY_CONFLICT
        if None in statuses:
            return _UNREACHABLE
        bindings = bound.bindings.values()
        if any(map(_has_ended, replies, bindings)):
            return _BINDING_ENDED
        return bound


def _status(reply: StageReply | None) -> Status | None:
    return None if reply is None else reply.status


def _has_ended(reply: StageReply | None, binding: Binding) -> bool:
    """Tell whether a stopped incarnation's records hold no call under the key."""
    if reply is None or reply.status is not Status.NOT_RUN:
        return False
    return reply.load.incarnation != binding.incarnation


# Refusals before anything is sent

KEY_CONFLICT = Problem(
    422,
    "Key conflict",
    "The key was used with another input; this input was not run. Take a new key.",
)
_BAD_TOKEN = Problem(
    403, "Bad token", "The token is not valid here; ask for a new one and send it."
)
_NO_CLAIM = Problem(
    503,
    "Platform unreachable",
    "Nothing was sent now; an earlier try under the same key may have run. Repeat "
    "it with the same key, or take a token for the next: it needs no platform.",
    retry_after=RETRY_AFTER_S,
)
_NO_ENDPOINT = Problem(
    503,
    "No endpoint",
    "Nothing was sent now; an earlier try under the same key may have run. Repeat "
    "it with the same key.",
    retry_after=RETRY_AFTER_S,
)
_UNREACHABLE = Problem(
    503,
    "Binding unreachable",
    "The endpoint that alone may run this key does not answer; repeat with the "
    "same key.",
    outcome=RequestOutcome.UNKNOWN,
    retry_after=RETRY_AFTER_S,
)
_BINDING_ENDED = Problem(
    410,
    "Binding ended",
    "The endpoint that alone could run this key has left, and nothing ran under it: "
    "take a new key.",
)
_PIPELINE_CHANGED = Problem(
    409,
    "Pipeline changed",
    "The pipeline's stages changed since the key was bound; look at the service's "
    "own list before you take a new key.",
    outcome=RequestOutcome.UNKNOWN,
)
