"""Routes prompts to the engine that caches their shared parts, unless it is busy."""

from amaranthtally.policy.events import Arrival
from amaranthtally.policy.loads import EndpointLoad
from amaranthtally.policy.rendezvous import rendezvous_weight
from amaranthtally.policy.routing import NO_ENDPOINTS, Router
from amaranthtally.policy.scoring import Choice, RouteRequest
from amaranthtally.policy.stage_times import StageStats

__all__ = [
    "CONCURRENCY_DELAY_S",
    "DEFAULT_STATS",
    "FAILURE_PENALTY_S",
    "FIRST_RANK_SHARE",
    "PREFILL_S_PER_TOKEN",
    "RANK_PENALTY_S",
    "TRANSFER_S_PER_BYTE",
    "AffinityRouter",
    "prefix_rank_key",
    "shared_share",
]

# Time in which an engine prefills one token of a prompt, in seconds: 32 tokens per
# millisecond, from the users' data sheet of their engines.
PREFILL_S_PER_TOKEN = 1.0 / 32_400
# Time by which each running request delays the first token of a new one, in seconds: it
# lengthens an engine step of 6 ms by 0.4%, and a prompt waits for a few steps.
CONCURRENCY_DELAY_S = 0.002
# Cost of a byte of a result that is transferred between data centres, as a delay in
# seconds: a result of 1.5 MB counts as 0.015 s. At the users' prices its transfer costs
# a sixth of prefilling the shared parts of its prompt once more.
TRANSFER_S_PER_BYTE = 0.01e-6
# Share of a prompt's shared parts that the engine ranked first is assumed to cache even
# if the prefix index has no entry. Entries that know nothing of each other's requests
# thus send a shared part to the same engine. Another engine is chosen where prefilling
# the part once more takes less time than waiting, as in a burst for one session.
FIRST_RANK_SHARE = 0.8
# Penalty for each further rank, in seconds: just enough to decide between equals.
RANK_PENALTY_S = 0.001
# Cost of a failed attempt to its caller, in seconds: the retry waits for new inputs.
FAILURE_PENALTY_S = 1.0
DEFAULT_STATS = StageStats()


class AffinityRouter(Router):
    """
    Chooses engines by the time to the first token, other endpoints like ``Router``.

    A shared part that one engine has prefilled should not be prefilled by another: by
    the users' data sheet, prefilling a long prompt takes 0.28 s, and the part that is
    not shared takes a third of that.
    """

    def predicted_data_centre(
        self, now: float, arrival: Arrival, closed: frozenset[str] = NO_ENDPOINTS
    ) -> str:
        """Return the data centre of the engine that a request's prompt would get."""
        if not arrival.prefix:
            return ""
        stage = arrival.pipeline.stages[-1]
        request = RouteRequest(
            stage,
            arrival.deadline,
            arrival.deadline,
            arrival.pipeline.weight_attainment,
            arrival.input_bytes,
            arrival.prefix,
            closed,
            prefix_sizes=arrival.prefix_sizes,
            version=arrival.origin.version if arrival.origin else None,
            objective=arrival.objective,
        )
        choice = self._predicted_engine(now, request)
        return "" if choice is None else choice.endpoint.data_centre

    def choose(
        self, now: float, request: RouteRequest, stats: StageStats
    ) -> Choice | None:
        """Return the best candidate, or ``None`` when no endpoint takes work."""
        if not request.prefix:
            return super().choose(now, request, stats)
        return self._choose_engine(now, request, stats)

    def _predicted_engine(self, now: float, request: RouteRequest) -> Choice | None:
        return self._choose_engine(now, request, DEFAULT_STATS)

    def _choose_engine(
        self, now: float, request: RouteRequest, stats: StageStats
    ) -> Choice | None:
        regions = self._groups.candidates(request.stage, request.version)
        group = [endpoint for members in regions.values() for endpoint in members]
        usable = self._usable(now, group, request)
        matches = self._prefixes.matches(now, request.prefix, request.prefix_sizes)
        cached_shares = {match.endpoint: match.share for match in matches}
        ranks = self._ranks(request, usable)
        first_rank_share = FIRST_RANK_SHARE * shared_share(request.prefix_sizes)
        best: Choice | None = None
        for load in usable:
            rank = ranks[load.endpoint.id]
            indexed_share = cached_shares.get(load.endpoint.id, 0.0)
            share = indexed_share if rank else max(indexed_share, first_rank_share)
            penalty_s = RANK_PENALTY_S * rank
            choice = self._predict(now, request, stats, load, share, penalty_s)
            if best is None or choice.score < best.score:
                best = choice
        return best

    def _predict(
        self,
        now: float,
        request: RouteRequest,
        stats: StageStats,
        load: EndpointLoad,
        share: float,
        penalty_s: float,
    ) -> Choice:
        occupancy = load.occupancy(now)
        delay_s = self.round_trip_s(load.endpoint.region)
        if occupancy + 1 > load.limit:
            delay_s += load.wait_s(occupancy, stats.mean_s)
        tokens = load.pending_prefill_tokens + sum(request.prefix_sizes) * (1.0 - share)
        prefill_s = (
            tokens * PREFILL_S_PER_TOKEN + CONCURRENCY_DELAY_S * occupancy
        ) * load.slowness(now)
        transfer_s = TRANSFER_S_PER_BYTE * sum(
            result.size_bytes
            for result in request.inputs
            if result.data_centre != load.endpoint.data_centre
        )
        risk = load.failure_rate(now)
        score = delay_s + prefill_s + transfer_s + penalty_s + FAILURE_PENALTY_S * risk
        concurrent = load.concurrent(occupancy)
        run_s = stats.loaded_mean_s(concurrent) * load.slowness(now)
        return Choice(
            load.endpoint, delay_s, run_s, concurrent, share, risk, 0.0, score
        )

    def _ranks(
        self, request: RouteRequest, usable: list[EndpointLoad]
    ) -> dict[str, int]:
        """Return each engine's rendezvous rank for the prompt, from 0."""
        key = prefix_rank_key(request.prefix)
        ids = [load.endpoint.id for load in usable]
        ranked = sorted(ids, key=lambda name: rendezvous_weight(name, key))
        return {name: rank for rank, name in enumerate(ranked)}


def prefix_rank_key(prefix: tuple[int, ...]) -> str:
    """Return the key by which engines are ranked for a prompt."""
    # The last part belongs to the request alone; the one before it is shared.
    shared = prefix[-2] if len(prefix) > 1 else prefix[0]
    return f"{shared:x}"


def shared_share(sizes: tuple[int, ...]) -> float:
    """Return the share of a prompt's tokens that other requests have, too."""
    return sum(sizes[:-1]) / max(1, sum(sizes))
