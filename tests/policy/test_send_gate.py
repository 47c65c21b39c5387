"""No path by which an entry sends passes the gate by, whatever is in force."""

from dataclasses import replace

from hypothesis import HealthCheck, given, settings as run_settings, strategies as st

from amaranthtally.policy import (
    Arrival,
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    FreeResults,
    HomeRegions,
    PieceFault,
    PieceOutcome,
    PiecesEnded,
    PieceStage,
    PieceWork,
    Pipeline,
    Planner,
    PolicySettings,
    Pool,
    Refuse,
    RequestOutcome,
    RunPieces,
    Send,
    Stage,
    StreamOrigin,
)
from tests.policy.pieces import CATALOGUE

PLACES = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
REGIONS = sorted(set(PLACES.values()))
POOLS = {
    "engine": Pool("engine", cold_rate=4.0, cold_start_s=2.0),
    "stage": Pool("stage", pieces=CATALOGUE),
}
ROUTES = ("open", "confined")
ACCOUNTS = ("x", "y")
STEP_S = 0.05

region_sets = st.frozensets(st.sampled_from(REGIONS), min_size=1)
homes = st.builds(
    HomeRegions,
    st.dictionaries(st.just("confined"), region_sets),
    st.dictionaries(st.just("x"), region_sets),
)
evacuations = st.frozensets(st.sampled_from(sorted(PLACES)))
events = st.one_of(
    st.tuples(
        st.just("arrive"),
        st.sampled_from(ROUTES),
        st.sampled_from(ACCOUNTS),
        st.booleans(),
        st.sampled_from(["", "v1", "v2"]),
    ),
    st.tuples(st.just("reply"), st.integers(0, 9), st.sampled_from(AttemptOutcome)),
    st.tuples(st.just("pieces"), st.integers(0, 9), st.booleans()),
    st.tuples(st.just("homes"), homes),
    st.tuples(st.just("evacuate"), evacuations),
    st.tuples(st.just("cold"), st.integers(0, 7), st.sampled_from([0.0, 3.0])),
    st.tuples(st.just("backoff"), st.integers(0, 7)),
    st.tuples(st.just("limit"), st.integers(0, 7), st.sampled_from([None, 0.0, 3.0])),
    st.tuples(st.just("leaving"), st.integers(0, 7)),
    st.tuples(st.just("tick"), st.integers(1, 30)),
)


def all_endpoints():
    return {
        f"{pool}-{place}": Endpoint(
            f"{pool}-{place}",
            pool,
            "h",
            region,
            place,
            "10.0.0.1:1",
            version="v1" if place.endswith("1") else "v2",
        )
        for pool in POOLS
        for place, region in PLACES.items()
    }


class Play:
    """Feeds events to a planner, and judges each send by what was told to it."""

    def __init__(self):
        self.now = 0.0
        self.settings = PolicySettings(
            1, "a", "a1", all_endpoints(), entry="me", pools=POOLS
        )
        self.planner = Planner(self.settings)
        self.backoffs = {}
        self.leaving = set()
        self.arrivals = {}
        self.allowed = {}
        self.sends = []
        self.calls = []
        self.cold_sends = {}
        self.revision = 1

    @property
    def names(self):
        return list(self.settings.endpoints)

    def play(self, event):
        self.now += STEP_S
        actions = getattr(self, f"on_{event[0]}")(*event[1:])
        self.check(actions)

    def on_arrive(self, route, account, has_pieces, version):
        name = f"r{len(self.arrivals)}"
        stage = Stage(route, "engine", streams=True, max_attempts=3)
        pipeline = Pipeline(route, (stage,), 8.0)
        work = PieceWork((PieceStage("stage", (), 1e5),), (2,), "k")
        arrival = Arrival(
            name,
            account,
            pipeline,
            self.now + 8.0,
            prefix=(1, 2, 3),
            prefix_sizes=(100, 100, 50),
            piece_work=work if has_pieces else None,
            origin=StreamOrigin("engine", version) if version else None,
        )
        self.arrivals[name] = arrival
        self.allowed[name] = self.settings.homes.allowed(route, account)
        return self.planner.request_arrived(self.now, arrival)

    def on_reply(self, index, outcome):
        if not self.sends:
            return []
        send = self.sends.pop(index % len(self.sends))
        return self.planner.reply(self.now, send.attempt, AttemptResult(outcome))

    def on_pieces(self, index, succeeds):
        if not self.calls:
            return []
        call = self.calls.pop(index % len(self.calls))
        outcome = (
            PieceOutcome(f"handle-{call.call}")
            if succeeds
            else PieceOutcome(fault=PieceFault.FAILED)
        )
        ended = PiecesEnded((outcome,) * len(call.pieces))
        return self.planner.pieces.call_ended(self.now, call.call, ended)

    def on_homes(self, changed):
        for name, arrival in self.arrivals.items():
            allowed = changed.allowed(arrival.pipeline.name, arrival.account)
            if allowed is not None:
                self.allowed[name] = allowed
        return self.change(homes=changed)

    def on_evacuate(self, data_centres):
        return self.change(evacuated=data_centres)

    def on_cold(self, index, cold_s):
        name = self.names[index % len(self.names)]
        self.revision += 1
        changed = replace(
            self.settings.endpoints[name], cold_s=cold_s, revision=self.revision
        )
        return self.change(endpoints={**self.settings.endpoints, name: changed})

    def on_backoff(self, index):
        name = self.names[index % len(self.names)]
        self.backoffs[name] = self.now + 1.0
        endpoint = self.settings.endpoints[name]
        self.planner.backoffs.backoff_requested(self.now, endpoint, 1.0)
        return []

    def on_limit(self, index, rate):
        name = self.names[index % len(self.names)]
        return self.planner.limits.response_received(self.now, name, rate, self.now)

    def on_leaving(self, index):
        name = self.names[index % len(self.names)]
        self.leaving.add(name)
        endpoint = self.settings.endpoints[name]
        return self.planner.leaving_announced(self.now, endpoint)

    def on_tick(self, steps):
        for _ in range(steps):
            self.now += STEP_S
            self.check(self.planner.tick(self.now))
        return []

    def change(self, **fields):
        self.settings = replace(
            self.settings, revision=self.settings.revision + 1, **fields
        )
        return self.planner.settings_changed(self.now, self.settings)

    # Judgement

    def check(self, actions):
        for action in actions:
            if isinstance(action, Send):
                self.check_send(action)
                self.sends.append(action)
            elif isinstance(action, RunPieces):
                self.check_place(action.endpoint)
                self.check_open(action.endpoint)
                self.calls.append(action)
            elif isinstance(action, FreeResults):
                self.check_place(action.endpoint)
            elif isinstance(action, Refuse):
                assert action.outcome in RequestOutcome

    def check_send(self, send):
        request = send.attempt.request_id
        endpoint = self.settings.endpoints[send.endpoint]
        allowed = self.allowed[request]
        assert allowed is None or endpoint.region in allowed
        origin = self.arrivals[request].origin
        assert origin is None or endpoint.version == origin.version
        self.check_place(send.endpoint)
        self.check_open(send.endpoint)
        if self.planner.limits.is_cold(send.endpoint):
            recent = [
                at
                for at in self.cold_sends.get(send.endpoint, [])
                if at > self.now - 1.0
            ]
            recent.append(self.now)
            self.cold_sends[send.endpoint] = recent
            assert len(recent) <= 1.5 * POOLS["engine"].cold_rate + 5

    def check_place(self, name):
        assert self.settings.endpoints[name].data_centre not in self.settings.evacuated

    def check_open(self, name):
        assert name not in self.leaving
        assert self.backoffs.get(name, 0.0) <= self.now


@run_settings(
    max_examples=300, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
@given(st.lists(events, min_size=5, max_size=60))
def test_no_send_escapes_what_is_in_force(listed):
    """Guards against one path (a retry, hedge, probe, stage call) that asks nobody."""
    play = Play()
    for event in listed:
        play.play(event)
