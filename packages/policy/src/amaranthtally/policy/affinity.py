"""Which engine reads a prompt: the one that holds its shared parts, unless busy."""

from amaranthtally.policy.events import Arrival
from amaranthtally.policy.loads import EndpointLoad
from amaranthtally.policy.rendezvous import rendezvous_weight
from amaranthtally.policy.routing import Router
from amaranthtally.policy.scoring import Choice, RouteRequest
from amaranthtally.policy.stage_times import StageStats

__all__ = ["AffinityRouter"]

# Seconds in which an engine reads one token of a prompt: 32 tokens in a millisecond,
# from the users' sheet of their engines.
READ_S_PER_TOKEN = 1.0 / 32_400
# By how much one more running request delays the first token of the next, in seconds:
# a step of 6 ms becomes 0.4 in 100 longer for each, and a prompt waits for a few.
CROWD_S = 0.002
# What a byte of a result costs that crosses data centres, as a delay in seconds: a
# result of 1.5 MB counts like 0.015 s. By the users' prices it costs a sixth of what
# reading the shared parts of its prompt once more does.
CROSSING_S_PER_BYTE = 0.01e-6
# The share of its shared parts that the engine to which a prompt belongs is taken to
# hold though nobody remembers it. Entries that know nothing of each other then still
# send one part to one engine; it goes elsewhere where reading it once more is sooner
# than waiting, which a burst for one session makes it.
PLACE_SHARE = 0.8
# What each further place counts, in seconds: enough to decide between equals.
PLACE_S = 0.001
# What a failed attempt costs its caller, in seconds: the retry waits for new inputs.
FAILURE_S = 1.0
NOTHING_KNOWN = StageStats()


class AffinityRouter(Router):
    """
    Chooses engines by the time to the first token, and others as ``Router`` does.

    A shared part that was read once is read again by no other engine: on the users'
    sheet a long prompt takes 0.28 s to read and its own part a third of that.
    """

    def predicted_data_centre(self, now: float, arrival: Arrival) -> str:
        """Return where the engine stands that a request's prompt belongs to."""
        if not arrival.prefix:
            return ""
        stage = arrival.pipeline.stages[-1]
        wanted = RouteRequest(
            stage,
            arrival.deadline,
            arrival.deadline,
            arrival.pipeline.weight_attainment,
            arrival.input_bytes,
            arrival.prefix,
            prefix_sizes=arrival.prefix_sizes,
        )
        choice = self._choose_engine(now, wanted, NOTHING_KNOWN)
        return "" if choice is None else choice.endpoint.data_centre

    def choose(
        self, now: float, wanted: RouteRequest, stats: StageStats
    ) -> Choice | None:
        """Return the best candidate, or ``None`` when the pool takes no work."""
        if not wanted.prefix:
            return super().choose(now, wanted, stats)
        return self._choose_engine(now, wanted, stats)

    def _choose_engine(
        self, now: float, wanted: RouteRequest, stats: StageStats
    ) -> Choice | None:
        regions = self._groups.candidates(wanted.stage)
        group = [endpoint for members in regions.values() for endpoint in members]
        usable = self._usable(now, group, wanted)
        matches = self._prefixes.matches(now, wanted.prefix, wanted.prefix_sizes)
        held = {match.endpoint: match.share for match in matches}
        places = self._places(wanted, usable)
        owned = PLACE_SHARE * _shared_share(wanted.prefix_sizes)
        best: Choice | None = None
        for load in usable:
            place = places[load.endpoint.id]
            known = held.get(load.endpoint.id, 0.0)
            share = known if place else max(known, owned)
            place_s = PLACE_S * place
            choice = self._predict(now, wanted, stats, load, share, place_s)
            if best is None or choice.score < best.score:
                best = choice
        return best

    def _predict(
        self,
        now: float,
        wanted: RouteRequest,
        stats: StageStats,
        load: EndpointLoad,
        share: float,
        place_s: float,
    ) -> Choice:
        occupancy = load.occupancy(now)
        before = self.round_trip_s(load.endpoint.region)
        if occupancy + 1 > load.limit:
            before += load.wait_s(occupancy, stats.mean_s)
        tokens = load.pending_prefill_tokens + sum(wanted.prefix_sizes) * (1.0 - share)
        read_s = (tokens * READ_S_PER_TOKEN + CROWD_S * occupancy) * load.slowness(now)
        away_s = CROSSING_S_PER_BYTE * sum(
            result.size_bytes
            for result in wanted.inputs
            if result.data_centre != load.endpoint.data_centre
        )
        failing = load.failure_rate(now)
        score = before + read_s + away_s + place_s + FAILURE_S * failing
        beside = load.concurrent(occupancy)
        run_s = stats.loaded_mean_s(beside) * load.slowness(now)
        return Choice(load.endpoint, before, run_s, beside, share, failing, 0.0, score)

    def _places(
        self, wanted: RouteRequest, usable: list[EndpointLoad]
    ) -> dict[str, int]:
        """Return each engine's place for the prompt, from 0."""
        # The last part is the request's own: the one before it is what it shares.
        shared = wanted.prefix[-2] if len(wanted.prefix) > 1 else wanted.prefix[0]
        key = f"{shared:x}"
        ids = [load.endpoint.id for load in usable]
        ranked = sorted(ids, key=lambda name: rendezvous_weight(name, key))
        return {name: place for place, name in enumerate(ranked)}


def _shared_share(sizes: tuple[int, ...]) -> float:
    return sum(sizes[:-1]) / max(1, sum(sizes))
